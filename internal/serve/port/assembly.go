package port

import (
	"bytes"
	"context"
	"io"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/intake"
)

const (
	// minBlock and maxBlock are the sizes of the first and of the largest block of an assembly, in bytes.
	minBlock = 4 << 10
	maxBlock = 32 << 10
)

// responses has the responses to requests that hertz does not get, none of which has run.
var responses = map[intake.Reason]string{
	intake.Framing: "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	intake.Head:    "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	intake.Late:    "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
}

// interimResponse tells a caller to send the body of its request.
const interimResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// lineEnd ends the lines of a header.
var lineEnd = []byte("\n")

// assembly collects the input of a connection until hertz may have it. Its connection's Read uses it, and drop may be
// called at the same time.
type assembly struct {
	mu    sync.Mutex
	meter intake.Meter
	// blocks hold the input; off is where the first one begins.
	blocks [][]byte
	off    int
	// ready is how many bytes hertz may have, of size.
	ready, size int
	// reads is how many reads the current request has taken since hertz got something, and began when the first one
	// returned. partial reports whether hertz has got a part of it.
	reads int
	// last is how many bytes the last read brought.
	last    int
	began   time.Time
	partial bool
	// leaveGiven reports whether the caller of the current request has been told to send its body.
	leaveGiven bool
	// dropped reports whether drop has been called.
	dropped bool
	// ended is the error of each further Read once hertz has got what is ready.
	ended error
}

// room returns the free part of the last block.
func (a *assembly) room() []byte {
	if n := len(a.blocks); n > 0 {
		if last := a.blocks[n-1]; len(last) < cap(last) {
			return last[len(last):cap(last)]
		}
	}
	a.blocks = append(a.blocks, make([]byte, 0, min(max(a.size, minBlock), maxBlock)))
	return a.room()
}

// add adds n bytes that have been written to room.
func (a *assembly) add(n int) {
	last := &a.blocks[len(a.blocks)-1]
	*last = (*last)[:len(*last)+n]
	a.size += n
}

// take moves ready bytes to b.
func (a *assembly) take(b []byte) int {
	total := 0
	for len(b) > 0 && a.ready > 0 {
		first := a.blocks[0][a.off:]
		n := copy(b, first[:min(len(first), a.ready)])
		b, a.off, total = b[n:], a.off+n, total+n
		a.ready, a.size = a.ready-n, a.size-n
		if n == len(first) {
			a.blocks[0] = nil
			a.blocks, a.off = a.blocks[1:], 0
		}
	}
	if a.size == 0 {
		a.blocks, a.off = nil, 0
	}
	return total
}

// drop gives up what hertz has not got. Further reads return io.EOF.
func (a *assembly) drop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.blocks, a.off, a.ready, a.size = nil, 0, 0, 0
	a.dropped = true
}

// isDropped reports whether drop has been called.
func (a *assembly) isDropped() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dropped
}

// target returns where the next input goes, which is b if nothing is kept yet. direct reports that.
func (a *assembly) target(b []byte) (into []byte, direct bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.size == 0 {
		return b, true
	}
	return a.room(), false
}

// accept adds input that has been read to the target. whole reports that the target is b and hertz may have all of it.
func (a *assembly) accept(input []byte, direct bool) (whole bool, fault intake.Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dropped {
		return false, intake.None
	}
	ready, fault := a.meter.Scan(input)
	if ready > 0 {
		a.reads = 0
	}
	if ready > 0 && !a.meter.Whole() {
		a.began = time.Now()
	}
	if direct && ready == len(input) && ready > 0 && fault == intake.None {
		a.partial = !a.meter.Whole()
		return true, intake.None
	}
	if direct {
		for rest := input; len(rest) > 0; {
			n := copy(a.room(), rest)
			a.add(n)
			rest = rest[n:]
		}
	} else {
		a.add(len(input))
	}
	if ready > 0 {
		a.ready = a.size - len(input) + ready
	}
	return false, fault
}

// deliver moves ready bytes to b. It returns false if there are none.
func (a *assembly) deliver(b []byte) (n int, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ready == 0 {
		return 0, false
	}
	a.partial = !a.meter.Whole()
	return a.take(b), true
}

// begin begins the next request.
func (a *assembly) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reads, a.partial, a.leaveGiven = 0, false, false
}

// awaitsLeave reports whether the caller waits for leave to send the body, and has not got it.
func (a *assembly) awaitsLeave() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.leaveGiven && a.ready == 0 && a.meter.AwaitsLeave()
}

// dropIfUntouched is drop if hertz has got nothing of the current request, and reports that.
func (a *assembly) dropIfUntouched() bool {
	if !a.untouched() {
		return false
	}
	a.drop()
	return true
}

// untouched reports whether hertz has got nothing of the current request, and gets nothing.
func (a *assembly) untouched() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.partial && a.ready == 0 && !a.dropped
}

// kept returns how many bytes are kept, whether hertz may have them or not.
func (a *assembly) kept() unit.Bytes {
	a.mu.Lock()
	defer a.mu.Unlock()
	return unit.Bytes(a.size)
}

// countLines returns how many line ends the kept bytes have.
func (a *assembly) countLines() (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, block := range a.blocks {
		if i == 0 {
			block = block[a.off:]
		}
		n += bytes.Count(block, lineEnd)
	}
	return n
}

// available returns how many bytes hertz may have at once.
func (a *assembly) available() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ready
}

// unfinished returns how many bytes are kept that hertz may not have yet.
func (a *assembly) unfinished() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int64(a.size - a.ready)
}

// readAssembled is Read with Bounds.Intake.
func (c *Conn) readAssembled(b []byte) (int, error) {
	a := &c.assembly
	if len(b) == 0 {
		return 0, nil
	}
	if n, ok := a.deliver(b); ok {
		return n, nil
	}
	c.stage.CompareAndSwap(int32(stageServing), int32(stageWaiting))
	for a.ended == nil && !a.isDropped() {
		c.giveLeave()
		// Most requests come whole in one read, and need no copy.
		into, direct := a.target(b)
		n, err := c.receiveUnfinished(into)
		whole, fault := a.accept(into[:n], direct)
		if lines := a.meter.Lines(); lines > 0 && !c.takeMemory(intake.Holding{Lines: lines}.Charge()) {
			c.Disconnect()
			a.ended = errNoMemory
			break
		}
		c.unfinished.Store(a.unfinished())
		if whole {
			if !c.serve() {
				break
			}
			return n, nil
		}
		if a.reads <= 1 && !a.meter.Whole() {
			a.began = time.Now()
		}
		a.ended = c.endOf(fault, err)
		c.unfinished.Store(a.unfinished())
		if n, ok := a.deliver(b); ok {
			if !c.serve() {
				break
			}
			return n, nil
		}
	}
	a.drop()
	if a.ended == nil {
		a.ended = io.EOF
	}
	return 0, a.ended
}

// giveLeave tells a caller that waits for it to send its body. Hertz would do so only when it has the header, and reserve
// memory for the whole body at once.
func (c *Conn) giveLeave() {
	if !c.assembly.awaitsLeave() {
		return
	}
	c.assembly.leaveGiven = true
	// A failed write is followed by a failed read.
	_, _ = io.WriteString(c, interimResponse)
}

// receiveUnfinished receives input of a request, of which some may have come, within the bound on its time.
func (c *Conn) receiveUnfinished(b []byte) (int, error) {
	a := &c.assembly
	if a.meter.Whole() {
		a.begin()
	} else if bound := c.listener.bounds.Whole; bound > 0 && time.Since(a.began) > bound {
		return 0, os.ErrDeadlineExceeded
	}
	if unfinished := unit.Bytes(c.unfinished.Load()); unfinished > 0 {
		wait := max(intake.Pace(a.reads, unfinished), c.listener.excessWait(unfinished, unit.Bytes(a.last)))
		if wait > 0 && !sleep(c.ctx, wait) {
			return 0, io.EOF
		}
	}
	n, err := c.receive(b)
	a.reads, a.last = a.reads+1, n
	return n, err
}

// endOf returns the error of further reads after input with that fault, or a read with that error, or nil. It answers a
// request that hertz does not get. A request that ended early is not answered.
func (c *Conn) endOf(fault intake.Reason, err error) error {
	late := errors.Is(err, os.ErrDeadlineExceeded) && !c.assembly.meter.Whole()
	switch {
	case fault != intake.None:
	case late:
		fault = intake.Late
	default:
		return err
	}
	c.listener.refuse(fault)
	if response := responses[fault]; response != "" && c.assembly.untouched() {
		_, _ = io.WriteString(c, response)
	}
	return io.EOF
}

// serve records that hertz gets a request. It returns false if the connection has been closed for others.
func (c *Conn) serve() bool {
	return c.stage.CompareAndSwap(int32(stageWaiting), int32(stageServing)) ||
		stage(c.stage.Load()) == stageServing
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
