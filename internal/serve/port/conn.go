package port

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"basilspan/internal/core/memory"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/intake"
)

const (
	// LateTimeout is how long a connection may go on after its timeout. A timeout that passes while the process is
	// paused expires as soon as the process goes on, before it takes up what the other side did meanwhile.
	LateTimeout = time.Second
	// stallPeriod is the time between two checks of whether the caller still reads a response.
	stallPeriod = 500 * time.Millisecond
	// maxDiscards is how many reads discardInput makes at most.
	maxDiscards = 64
)

// errOversized is the error of a Read beyond Bounds.Unanswered.
var errOversized = errors.New("the caller has sent too much without a response")

// errUnread is the error of a Write whose caller does not read while Bounds.Answers is short.
var errUnread = errors.New("the caller does not read the response")

// errNoMemory is the error of a Read or a Write beyond Bounds.Memory.
var errNoMemory = errors.New("too little memory is free for the request or its response")

// Bounds bound how long a connection may wait for its other side, and how much that may send. Zero means no bound.
type Bounds struct {
	// Idle bounds the wait for the first byte of a connection.
	Idle time.Duration
	// Read bounds the wait for each further byte of a request. Hertz sets it only when four bytes of a later request
	// have come.
	Read time.Duration
	// Write bounds each write, together with LateTimeout.
	Write time.Duration
	// Unanswered bounds the bytes that are read since the last write. The encoding of chunks may be of any size.
	Unanswered unit.Bytes
	// Memory bounds what the requests of all connections take until they have been answered.
	Memory *memory.Account
	// Answers is the account that has the responses of all connections. While it is short, a response whose caller does not
	// read is given up before Write.
	Answers *memory.Account
	// Output charges Memory also for responses while they wait for the other side to read. Without it, they have an account
	// of their own.
	Output bool
	// Expendable lets connections give way to others also while their responses wait.
	Expendable bool
	// Intake bounds each request before hertz gets it; nil hands on each byte as it comes. Hertz parses a request that is
	// not whole again at each read, keeps a copy each time, and reserves memory for the lengths that it states.
	Intake *intake.Limits
	// Whole bounds the wait for the last byte of a request, from its first one.
	Whole time.Duration
	// Connections bounds the number of open connections.
	Connections int
	// OnRefuse is called for each request that is refused, and each connection that is closed, because of these bounds. It
	// may be nil.
	OnRefuse func(intake.Reason)
}

// Conn is an accepted TCP connection, which waits in the poller of the Go runtime. Its context ends with the connection,
// whichever side closes it.
//
// A goroutine waits for input in place of Read, so that a close by the caller is noticed while its request is handled,
// also behind input that has not been read.
type Conn struct {
	net.Conn

	raw      syscall.RawConn
	listener *Listener
	// ctx ends when the caller has closed the connection or this side does.
	ctx    context.Context
	cancel context.CancelFunc
	// readable has an element when input has come since Read last waited. It is closed when no more can come.
	readable chan struct{}
	// watched is closed when the watch goroutine has returned.
	watched chan struct{}
	// received reports whether a byte has been read.
	received atomic.Bool
	// unanswered reports whether a byte has been read, or a request has begun, since the last response.
	unanswered atomic.Bool
	// sinceWrite is the number of bytes that have been read since the last Write.
	sinceWrite atomic.Int64
	// readTimeout bounds the wait of one Read.
	readTimeout atomic.Int64
	// hold is what the current request takes of Bounds.Memory, until it has been answered and its buffers are given up.
	hold *memory.Hold
	// timer is used by Read only.
	timer *time.Timer
	// assembly is what has come of requests for which hertz has to wait. It is used by Read only.
	assembly assembly
	// stage is what the connection waits for, a stage.
	stage atomic.Int32
	// unfinished is how many bytes have come of a request that is not whole.
	unfinished atomic.Int64
	// output is how many bytes of a response wait for the other side to read, with Bounds.Output.
	output atomic.Int64
	// waitingSince is when the last request was answered, or else when the connection was accepted, in nanoseconds on the
	// listener's clock, and served whether one was answered.
	waitingSince atomic.Int64
	served       atomic.Bool

	mu sync.Mutex
	// closed reports whether Close has been called.
	closed bool
	// onClose has the functions that Close calls.
	onClose []func()
}

// connKey is the context key of a Conn.
type connKey struct{}

// FromContext returns the connection to which the context of a request belongs, or nil if there is none.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Context returns the context of a connection that a Listener has accepted.
func Context(conn net.Conn) context.Context {
	c, ok := conn.(*Conn)
	if !ok {
		return context.Background()
	}
	return c.ctx
}

// newConn returns a connection. The caller starts its watch.
func newConn(tcp *net.TCPConn, l *Listener) (*Conn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &Conn{
		Conn:     tcp,
		raw:      raw,
		listener: l,
		readable: make(chan struct{}, 1),
		watched:  make(chan struct{}),
		timer:    time.NewTimer(time.Hour),
		hold:     l.bounds.Memory.NewHold(),
	}
	c.timer.Stop()
	if l.bounds.Intake != nil {
		c.assembly.meter.Limits = *l.bounds.Intake
	}
	c.waitingSince.Store(int64(l.now()))
	c.readTimeout.Store(int64(l.bounds.Idle))
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.ctx = context.WithValue(c.ctx, connKey{}, c)
	return c, nil
}

// watch tells Read of input until no more can come, and then ends the connection's context.
//
// The runtime's poller is edge-triggered: it wakes the watch once for each arrival of bytes or of the end, also while
// earlier bytes are unread.
func (c *Conn) watch() {
	defer close(c.watched)
	defer c.cancel()
	defer close(c.readable)
	_ = c.raw.Read(func(fd uintptr) (ended bool) {
		if peerEnded(fd) {
			return true
		}
		select {
		case c.readable <- struct{}{}:
		default:
		}
		return false
	})
}

// peerEnded reports whether the other side has closed the connection or its sending direction, or the connection has
// failed.
func peerEnded(fd uintptr) bool {
	const ended = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	for err == unix.EINTR {
		n, err = unix.Poll(fds, 0)
	}
	return err != nil || n > 0 && fds[0].Revents&ended != 0
}

// Read reads input. Only one goroutine may call it at a time. If the first byte does not come in time, it returns
// io.EOF, at which hertz closes the connection without a response. With Bounds.Intake, it waits until hertz can parse
// what it returns without waiting itself.
func (c *Conn) Read(b []byte) (int, error) {
	if c.listener.bounds.Intake == nil {
		return c.receive(b)
	}
	return c.readAssembled(b)
}

// receive reads the input that comes next within the bounds on the connection.
func (c *Conn) receive(b []byte) (int, error) {
	if bound := int64(c.listener.bounds.Unanswered); bound > 0 && c.sinceWrite.Load() >= bound {
		return 0, errOversized
	}
	n, err := c.awaitInput(b)
	c.sinceWrite.Add(int64(n))
	if n > 0 {
		// The connection must not count as idle while this one waits for memory.
		c.received.Store(true)
		if !c.unanswered.Swap(true) {
			c.readTimeout.Store(int64(c.listener.bounds.Read))
		}
	}
	if n > 0 && !c.takeMemory(intake.Holding{Input: unit.Bytes(n)}.Charge()) {
		// Hertz would answer with status 400, and the caller may send the request again.
		c.Disconnect()
		return 0, errNoMemory
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.received.Load() {
		return 0, io.EOF
	}
	return n, err
}

// awaitInput reads the input that has come, or waits for it within the read timeout. It looks for input once more when
// the timeout has passed, since the watch may not have noticed yet what came while the process was paused.
func (c *Conn) awaitInput(b []byte) (int, error) {
	n, err := c.readInput(b)
	if !errors.Is(err, unix.EAGAIN) {
		return n, err
	}
	if timeout := time.Duration(c.readTimeout.Load()); timeout > 0 {
		c.timer.Reset(timeout)
		defer c.timer.Stop()
	}
	for {
		noInput := error(nil)
		select {
		case _, open := <-c.readable:
			if !open {
				noInput = io.EOF
			}
		case <-c.timer.C:
			noInput = os.ErrDeadlineExceeded
		}
		n, err = c.readInput(b)
		switch {
		case !errors.Is(err, unix.EAGAIN):
			return n, err
		case noInput != nil:
			return 0, noInput
		}
	}
}

// readInput reads the input that has come, and returns unix.EAGAIN if there is none. It does without the Read of the
// embedded connection, which would wait for the watch.
func (c *Conn) readInput(b []byte) (n int, err error) {
	if len(b) == 0 {
		return 0, nil
	}
	controlErr := c.raw.Control(func(fd uintptr) {
		n, err = unix.Read(int(fd), b)
		for err == unix.EINTR {
			n, err = unix.Read(int(fd), b)
		}
	})
	switch {
	case controlErr != nil:
		return 0, controlErr
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// awaitRequest waits for the first byte of the next request, without a buffer. It returns false if none comes within the
// bound on idle connections, or the connection has ended.
func (c *Conn) awaitRequest() bool {
	var expired <-chan time.Time
	if idle := c.listener.bounds.Idle; idle > 0 {
		c.timer.Reset(idle)
		defer c.timer.Stop()
		expired = c.timer.C
	}
	for !c.hasInput() {
		select {
		case _, open := <-c.readable:
			if !open {
				return c.hasInput()
			}
		case <-expired:
			// Input may have come while the process was paused.
			return c.hasInput()
		}
	}
	return true
}

// endRequest gives back the memory of a request that has been answered. buffered is what has been read beyond it. It returns
// false if too little memory is free for that.
func (c *Conn) endRequest(buffered []byte) (ok bool) {
	c.hold.Release()
	rest := intake.Holding{
		Input: unit.Bytes(len(buffered)) + c.assembly.kept(),
		Lines: bytes.Count(buffered, lineEnd) + c.assembly.countLines(),
	}
	if limits := c.listener.bounds.Intake; limits != nil && limits.Lines > 0 {
		// Lines of a body count too, so that no more are reckoned than a header may have.
		rest.Lines = min(rest.Lines, limits.Lines)
	}
	if n := rest.Charge(); n > 0 && !c.hold.Take(n) {
		c.listener.refuse(intake.Memory)
		return false
	}
	if len(buffered) == 0 && c.assembly.available() == 0 {
		c.stage.CompareAndSwap(int32(stageServing), int32(stageWaiting))
	}
	return true
}

// SetReadDeadline bounds the wait of each further Read by the time until t. It does not change that of a Read under
// way. Hertz calls it with a timeout once for each request, and the timeout has to restart at each byte.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		c.readTimeout.Store(0)
		return nil
	}
	c.readTimeout.Store(int64(max(time.Until(t), 1)))
	return nil
}

// SetDeadline is SetReadDeadline and SetWriteDeadline.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Write writes b within the write timeout and LateTimeout. Hertz sets no write deadline itself.
func (c *Conn) Write(b []byte) (int, error) {
	c.sinceWrite.Store(0)
	if c.listener.bounds.Output {
		if !c.takeOutput(unit.Bytes(len(b))) {
			c.listener.refuse(intake.Memory)
			return 0, errNoMemory
		}
		defer c.returnOutput()
	}
	if c.listener.bounds.Write <= 0 {
		return c.Conn.Write(b)
	}
	n, err := c.writeWithin(c.listener.bounds.Write, b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		var late int
		late, err = c.writeWithin(LateTimeout, b[n:])
		n += late
	}
	return n, err
}

// writeWithin writes b within the timeout, or until the caller has not read for as long as Bounds.Answers allows. The time is
// counted in periods, of which a pause of the process takes one.
func (c *Conn) writeWithin(timeout time.Duration, b []byte) (int, error) {
	period := timeout
	if c.listener.bounds.Answers != nil {
		period = min(timeout, stallPeriod)
	}
	n := 0
	var waited, stalled time.Duration
	for {
		if err := c.SetWriteDeadline(time.Now().Add(period)); err != nil {
			return n, err
		}
		m, err := c.Conn.Write(b[n:])
		n += m
		waited += period
		if !errors.Is(err, os.ErrDeadlineExceeded) || waited >= timeout {
			return n, err
		}
		stalled += period
		if m > 0 {
			stalled = 0
		}
		if answers := c.listener.bounds.Answers; stalled >= intake.Patience(answers.Used(), answers.Limit(), timeout) {
			c.listener.refuse(intake.Unread)
			return n, errUnread
		}
	}
}

// Answered records that the response to the last request has been written.
func (c *Conn) Answered() {
	c.unanswered.Store(false)
	c.served.Store(true)
	c.waitingSince.Store(int64(c.listener.now()))
}

// Unanswered records that a request is handled whose bytes may have been read before the last response was written.
func (c *Conn) Unanswered() {
	c.unanswered.Store(true)
}

// Idle reports whether no byte of a request has come since the last response, read or unread.
func (c *Conn) Idle() bool {
	return !c.unanswered.Load() && c.assembly.kept() == 0 && !c.hasInput()
}

// hasInput reports whether input waits to be read.
func (c *Conn) hasInput() bool {
	var first [1]byte
	n := 0
	_ = c.raw.Control(func(fd uintptr) {
		n, _, _ = unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return n > 0
}

// Disconnect closes the connection while its server may still use it. The server has to call Close.
func (c *Conn) Disconnect() {
	c.cancel()
	_ = c.Conn.Close()
}

// OnClose registers a function that Close calls. It returns false if Close has been called.
func (c *Conn) OnClose(f func()) (ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onClose = append(c.onClose, f)
	return !c.closed
}

// Close closes the connection and waits for the goroutine that watches it. The server calls it when it needs the
// connection no more. Calls after the first do nothing.
func (c *Conn) Close() error {
	c.mu.Lock()
	again := c.closed
	c.closed = true
	callbacks := c.onClose
	c.mu.Unlock()
	if again {
		return nil
	}
	c.discardInput()
	c.Disconnect()
	c.hold.Close()
	c.listener.forget(c)
	<-c.watched
	for _, f := range callbacks {
		f()
	}
	c.listener.open.Done()
	return nil
}

// discardInput reads the input that has come. If some were left, closing the connection would reset it, and the caller
// could lose the response.
func (c *Conn) discardInput() {
	var discarded [4 << 10]byte
	_ = c.raw.Control(func(fd uintptr) {
		for range maxDiscards {
			n, _, err := unix.Recvfrom(int(fd), discarded[:], unix.MSG_DONTWAIT)
			if n <= 0 || err != nil {
				return
			}
		}
	})
}

// RoundTrip returns the round-trip time as estimated by the kernel. ok is false if it is not available.
func (c *Conn) RoundTrip() (rtt time.Duration, ok bool) {
	var info *unix.TCPInfo
	var err error
	controlErr := c.raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if controlErr != nil || err != nil {
		return 0, false
	}
	return time.Duration(info.Rtt) * time.Microsecond, true
}
