// Package crowd plays callers that keep to no limit: each sends a form of unfinished or oversized input again and again.
// Only tests use it.
package crowd

import (
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"basilspan/internal/core/unit"
)

const (
	// blockSize is how many bytes a caller writes at a time at least, unless the form has a pause.
	blockSize = 16 << 10
	// writeTimeout bounds a write to a process that doesn't read.
	writeTimeout = 2 * time.Second
	// reconnectPause is the wait before a caller connects again.
	reconnectPause = 20 * time.Millisecond
	// maxConnects is how often a caller connects at most.
	maxConnects = 200
	// unreadBuffer is the receive buffer of a caller that reads nothing.
	unreadBuffer = 4 << 10
)

// lastID is the number of request IDs that have been sent.
var lastID atomic.Int64

// Form is what a caller sends on each of its connections: First once, with each "ID" replaced by a request ID, then Repeat
// up to Size bytes, then Last. It leaves the connection open and connects again when it is closed.
type Form struct {
	Name   string
	First  string
	Repeat string
	Size   int
	Last   string
	// Pause is the wait between two writes of Repeat. Without one, Repeat is written in blocks.
	Pause time.Duration
	// Times is how often all of it is sent on one connection, 0 is once, with Gap between.
	Times int
	Gap   time.Duration
	// Brief is how long after its last byte a caller resets the connection, and connects again. 0 keeps it open.
	Brief time.Duration
	// Unread leaves what the other side sends unread.
	Unread bool
}

// Crowd is a number of callers that send their forms until Stop.
type Crowd struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Start starts n callers at that address, which take the forms in turn. The first requests of a form with a gap are spread
// over it.
func Start(to unit.Address, n int, forms ...Form) *Crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Crowd{cancel: cancel}
	for i := range n {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			f := forms[i%len(forms)]
			if sleep(ctx, f.Gap*time.Duration(i)/time.Duration(n)) {
				call(ctx, to, f)
			}
		}()
	}
	return c
}

// Stop closes all connections and waits until the callers have ended.
func (c *Crowd) Stop() {
	c.cancel()
	c.wg.Wait()
}

// call sends the form on one connection after the other.
func call(ctx context.Context, to unit.Address, f Form) {
	for range maxConnects {
		if conn, err := net.DialTimeout("tcp", string(to), writeTimeout); err == nil {
			hold(ctx, conn, f)
		}
		if !sleep(ctx, reconnectPause) {
			return
		}
	}
}

// hold sends the form on a connection and keeps it until the other side closes it or ctx ends.
func hold(ctx context.Context, conn net.Conn, f Form) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	read := make(chan struct{})
	if f.Brief > 0 {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	if f.Unread {
		_ = conn.(*net.TCPConn).SetReadBuffer(unreadBuffer)
		close(read)
	} else {
		go func() {
			defer close(read)
			defer cancel()
			_, _ = io.Copy(io.Discard, conn)
		}()
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		<-ctx.Done()
		_ = conn.Close()
	}()
	if f.sendTimes(ctx, conn) != nil || f.Brief > 0 && sleep(ctx, f.Brief) {
		cancel()
	}
	<-closed
	<-read
}

// sendTimes writes the form as often as Times says.
func (f Form) sendTimes(ctx context.Context, conn net.Conn) error {
	for i := range max(1, f.Times) {
		if i > 0 && !sleep(ctx, f.Gap) {
			return ctx.Err()
		}
		if err := f.send(ctx, conn); err != nil {
			return err
		}
	}
	return nil
}

// send writes the form once.
func (f Form) send(ctx context.Context, conn net.Conn) error {
	block := f.Repeat
	if f.Pause == 0 && block != "" {
		block = strings.Repeat(block, max(1, blockSize/len(block)))
	}
	if err := write(conn, WithIDs(f.First)); err != nil {
		return err
	}
	for sent := 0; sent < f.Size; sent += len(block) {
		if err := write(conn, block[:min(len(block), f.Size-sent)]); err != nil {
			return err
		}
		if f.Pause > 0 && !sleep(ctx, f.Pause) {
			return ctx.Err()
		}
	}
	return write(conn, f.Last)
}

// WithIDs returns the text with each "ID" replaced by a request ID of its own.
func WithIDs(text string) string {
	for strings.Contains(text, "ID") {
		text = strings.Replace(text, "ID", "r"+strconv.FormatInt(lastID.Add(1), 10), 1)
	}
	return text
}

// write writes text within the timeout.
func write(conn net.Conn, text string) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := io.WriteString(conn, text)
	return err
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
