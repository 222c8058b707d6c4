// Package trace records the inputs and outcomes of the deciding code for replay, and encodes them as lines of JSON.
//
// Recording is off until a capture begins and never holds up traffic: what finds no room is dropped and counted.
// docs/design/replay.md describes the format.
package trace

import (
	"context"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"basilspan/internal/core/kernel"
	"basilspan/internal/policy/fanout"
	"basilspan/internal/policy/replay"
)

const (
	// maxPendingBatches is how many batches of records may wait for the reader of a capture.
	maxPendingBatches = 1 << 13
	// maxPendingRecords is how many records those batches may hold together.
	maxPendingRecords = 1 << 15
)

// ErrBusy means that a capture is under way already.
var ErrBusy = errors.New("a trace is being recorded already")

// Recorder hands records to the capture under way; without one it does nothing.
type Recorder struct {
	Now func() time.Time
	// Out gets a trace of the whole life of the process; nil records nothing until a capture begins.
	Out io.Writer

	writerDone chan struct{}
	capture    atomic.Pointer[Capture]
	lastRun    atomic.Uint64
}

// New makes a recorder that reads the time from now.
func New(now func() time.Time) *Recorder {
	return &Recorder{Now: now}
}

// Service gives the recorder as a service with that name.
func (r *Recorder) Service(name kernel.Name) kernel.Service {
	return kernel.Service{Name: name, Value: r, Start: r.start, Close: r.close}
}

// start begins the trace of the process's life, if there is to be one.
func (r *Recorder) start(context.Context) error {
	if r.Out == nil {
		return nil
	}
	c, err := r.BeginCapture()
	if err != nil {
		return err
	}
	r.writerDone = make(chan struct{})
	go func() {
		defer close(r.writerDone)
		_ = c.Write(r.Out)
		r.EndCapture(c)
	}()
	return nil
}

// BeginCapture starts a capture; only one runs at a time.
func (r *Recorder) BeginCapture() (*Capture, error) {
	c := &Capture{
		start:   r.Now(),
		batches: make(chan []replay.Record, maxPendingBatches),
		quit:    make(chan struct{}),
	}
	if !r.capture.CompareAndSwap(nil, c) {
		return nil, ErrBusy
	}
	return c, nil
}

// EndCapture ends a capture; its reader still gets what has been recorded.
func (r *Recorder) EndCapture(c *Capture) {
	if r.capture.CompareAndSwap(c, nil) {
		close(c.quit)
	}
}

// close ends the capture under way.
func (r *Recorder) close() error {
	if c := r.capture.Load(); c != nil {
		r.EndCapture(c)
	}
	if r.writerDone != nil {
		<-r.writerDone
	}
	return nil
}

// NewFanoutLog begins the log of one query's machine. It is nil, which takes every call and does nothing, without a capture.
func (r *Recorder) NewFanoutLog(now time.Time, q fanout.Query, plan fanout.Plan) *FanoutLog {
	if r == nil {
		return nil
	}
	c := r.capture.Load()
	if c == nil {
		return nil
	}
	l := &FanoutLog{capture: c, run: replay.RunID(r.lastRun.Add(1))}
	q.Body = Digest(q.Body)
	l.add(now, replay.KindPlan, &replay.Fanout{Query: q, Plan: plan})
	return l
}

// RecordOffer records a configuration that was shown and what became of it.
func (r *Recorder) RecordOffer(now time.Time, offer replay.Offer) {
	if r == nil {
		return
	}
	if c := r.capture.Load(); c != nil {
		c.enqueue([]replay.Record{{At: now, Kind: replay.KindOffer, Offer: &offer}})
	}
}

// Capture is one recording.
type Capture struct {
	start   time.Time
	batches chan []replay.Record
	pending atomic.Int64
	dropped atomic.Int64
	quit    chan struct{}
}

// enqueue hands on records that belong together: all of them, or none, and then false, when there is no room.
func (c *Capture) enqueue(batch []replay.Record) bool {
	n := int64(len(batch))
	if c.pending.Add(n) > maxPendingRecords {
		c.pending.Add(-n)
		c.dropped.Add(n)
		return false
	}
	select {
	case c.batches <- batch:
		return true
	default:
		c.pending.Add(-n)
		c.dropped.Add(n)
		return false
	}
}

// Dropped gives how many records found no room.
func (c *Capture) Dropped() int64 {
	return c.dropped.Load()
}

// Write writes the capture's records as lines until the capture ends, and then the end record.
func (c *Capture) Write(w io.Writer) error {
	e := NewEncoder(w, c.start)
	if err := e.WriteHeader(); err != nil {
		return err
	}
	for {
		select {
		case batch := <-c.batches:
			if err := c.encodeBatch(e, batch); err != nil {
				return err
			}
		case <-c.quit:
			return c.drain(e)
		}
	}
}

// drain writes what still waits, and the end record.
func (c *Capture) drain(e *Encoder) error {
	for {
		select {
		case batch := <-c.batches:
			if err := c.encodeBatch(e, batch); err != nil {
				return err
			}
		default:
			return e.Encode(replay.Record{At: c.start, Kind: replay.KindEnd, Dropped: c.dropped.Load()})
		}
	}
}

func (c *Capture) encodeBatch(e *Encoder, batch []replay.Record) error {
	c.pending.Add(-int64(len(batch)))
	for _, r := range batch {
		if err := e.Encode(r); err != nil {
			return err
		}
	}
	return nil
}

// Digest gives what a trace holds of a body, its hash and size, so that no body leaves the process by a trace.
func Digest(body []byte) []byte {
	if len(body) == 0 {
		return nil
	}
	return []byte(strconv.FormatUint(xxhash.Sum64(body), 16) + "/" + strconv.Itoa(len(body)))
}
