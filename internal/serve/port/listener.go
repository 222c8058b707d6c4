package port

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/intake"
)

// acceptRetryDelay is the wait after a failed accept, such as one without a free file descriptor.
const acceptRetryDelay = 50 * time.Millisecond

// Listener accepts connections as Conn.
type Listener struct {
	tcp    *net.TCPListener
	bounds Bounds
	// started is when the listener was created, the origin of its clock.
	started time.Time
	// open counts the connections that have not been closed.
	open sync.WaitGroup

	mu sync.Mutex
	// excess spreads the reading of large unfinished requests.
	excess intake.Excess
	// conns has the connections that have neither been closed nor told to.
	conns map[*Conn]bool
	// yielding is how many connections have been told to close for others and have not done so, and yielded tells of those
	// that have.
	yielding int
	yielded  sync.Cond
}

// Listen listens at a TCP address.
func Listen(address unit.Address, bounds Bounds) (*Listener, error) {
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return nil, errors.Wrapf(err, "listen at %s", address)
	}
	l := &Listener{
		tcp: listener.(*net.TCPListener), bounds: bounds, started: time.Now(), conns: make(map[*Conn]bool),
	}
	l.yielded.L = &l.mu
	return l, nil
}

// Accept returns the next connection, a *Conn. It returns an error only after Close; hertz stops serving at any error.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.acceptUnwatched()
	if err != nil {
		return nil, err
	}
	go conn.watch()
	return conn, nil
}

// acceptUnwatched returns the next connection without starting its watch.
func (l *Listener) acceptUnwatched() (*Conn, error) {
	for {
		l.awaitYielding()
		tcp, err := l.tcp.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		conn, err := newConn(tcp, l)
		if err != nil {
			_ = tcp.Close()
			continue
		}
		if !l.admit(conn) {
			_ = tcp.Close()
			continue
		}
		l.open.Add(1)
		return conn, nil
	}
}

// Addr returns the address that the listener listens at.
func (l *Listener) Addr() net.Addr {
	return l.tcp.Addr()
}

// Close stops accepting. Accepted connections stay open.
func (l *Listener) Close() error {
	return l.tcp.Close()
}

// AwaitConns waits until all accepted connections have been closed, at most for the timeout. It may be called only
// when Accept is not called any more.
func (l *Listener) AwaitConns(timeout time.Duration) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		l.open.Wait()
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-closed:
	case <-timer.C:
	}
}
