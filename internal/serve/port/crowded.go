package port

import (
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/intake"
)

const (
	// maxYields is how many connections give way to one read at most.
	maxYields = 100
	// maxYielding is how many connections may be about to close for others when one is accepted.
	maxYielding = 16
	// yieldPause is how long a connection waits for the memory of one that gives way.
	yieldPause = 2 * time.Millisecond
)

// stage is what a connection waits for.
type stage int32

const (
	// stageWaiting is that of a connection without a whole request.
	stageWaiting stage = iota
	// stageServing is that of a connection whose request hertz has, until it is answered.
	stageServing
	// stageAnswering is that of a connection whose response waits for the other side, with Bounds.Expendable.
	stageAnswering
	// stageYielded is that of a connection that has been closed for others.
	stageYielded
)

// now returns the time on the listener's clock.
func (l *Listener) now() time.Duration {
	return time.Since(l.started)
}

// refuse counts input that is refused or a connection that is closed because of the bounds.
func (l *Listener) refuse(reason intake.Reason) {
	if l.bounds.OnRefuse != nil {
		l.bounds.OnRefuse(reason)
	}
}

// admit adds a new connection. If there are too many, another one is closed in its place; it returns false if none gives
// way.
func (l *Listener) admit(c *Conn) bool {
	admitted, crowded := l.add(c)
	if crowded {
		l.refuse(intake.Connections)
	}
	return admitted
}

// add is admit without the count; crowded reports whether a connection was closed, this one or another.
func (l *Listener) add(c *Conn) (added, crowded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit := l.bounds.Connections; limit > 0 && len(l.conns) >= limit {
		crowded = true
		now := time.Now()
		before := func(a, b intake.Connection) bool { return a.GivesPlaceBefore(now, b) }
		if !l.yieldOne(func(intake.Connection) bool { return true }, before) {
			return false, true
		}
	}
	l.conns[c] = true
	return true, crowded
}

// excessWait returns how long a connection waits after a read of n bytes of an unfinished request.
func (l *Listener) excessWait(unfinished, n unit.Bytes) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.excess.Wait(time.Now(), unfinished, n)
}

// awaitYielding waits until most connections that have given way are closed. A busy process accepts connections sooner than
// it closes others, so that they would be more than Bounds.Connections.
func (l *Listener) awaitYielding() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.yielding > maxYielding {
		l.yielded.Wait()
	}
}

// forget removes a connection that is closed.
func (l *Listener) forget(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns[c] {
		delete(l.conns, c)
		return
	}
	l.yielding--
	l.yielded.Signal()
}

// yieldMemory closes a connection in favour of one whose unfinished request has n bytes. It returns false if none gives
// way.
func (l *Listener) yieldMemory(n unit.Bytes) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.yieldOne(
		func(c intake.Connection) bool { return c.GivesMemoryTo(n) },
		func(a, b intake.Connection) bool { return a.Unfinished > b.Unfinished },
	)
}

// yieldOne closes the first connection, in the order of before, of those that may give way. The caller holds mu.
func (l *Listener) yieldOne(
	may func(intake.Connection) bool, before func(a, b intake.Connection) bool,
) bool {
	var chosen *Conn
	var state intake.Connection
	var from stage
	for c := range l.conns {
		at := stage(c.stage.Load())
		if at != stageWaiting && at != stageAnswering {
			continue
		}
		if s := c.intakeState(); may(s) && (chosen == nil || before(s, state)) {
			chosen, state, from = c, s, at
		}
	}
	if chosen == nil || !chosen.stage.CompareAndSwap(int32(from), int32(stageYielded)) {
		return false
	}
	delete(l.conns, chosen)
	l.yielding++
	chosen.Disconnect()
	if from == stageWaiting && chosen.assembly.dropIfUntouched() {
		// Otherwise hertz has a part, and gives it back when it closes the connection.
		chosen.hold.Close()
	}
	return true
}

// intakeState returns what decides whether the connection gives way.
func (c *Conn) intakeState() intake.Connection {
	return intake.Connection{
		Unfinished: c.excess(),
		Served:     c.served.Load(),
		Since:      c.listener.started.Add(time.Duration(c.waitingSince.Load())),
	}
}

// excess returns how many bytes the connection holds of a request that is not whole, or of a response that waits.
func (c *Conn) excess() unit.Bytes {
	return unit.Bytes(c.unfinished.Load() + c.output.Load())
}

// takeOutput takes memory for n bytes of a response that is about to be written.
func (c *Conn) takeOutput(n unit.Bytes) bool {
	if !c.takeMemory(intake.Holding{Output: n}.Charge()) {
		return false
	}
	c.output.Store(int64(n))
	if c.listener.bounds.Expendable {
		c.stage.CompareAndSwap(int32(stageServing), int32(stageAnswering))
	}
	return true
}

// returnOutput gives back the memory that takeOutput has taken.
func (c *Conn) returnOutput() {
	c.stage.CompareAndSwap(int32(stageAnswering), int32(stageServing))
	c.hold.Return(intake.Holding{Output: unit.Bytes(c.output.Swap(0))}.Charge())
}

// takeMemory takes n bytes for the connection. If too little is free, connections with more of an unfinished request, or of
// a response that may be cut, give way.
func (c *Conn) takeMemory(n unit.Bytes) bool {
	for range maxYields {
		if c.hold.Fits(n) || stage(c.stage.Load()) == stageYielded {
			break
		}
		if !c.listener.yieldMemory(c.excess()) {
			break
		}
		c.listener.refuse(intake.Memory)
		if !c.hold.Fits(n) && !sleep(c.ctx, yieldPause) {
			break
		}
	}
	return c.hold.Take(n)
}
