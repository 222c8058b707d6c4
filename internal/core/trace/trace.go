// Package trace records the inputs and outcomes of the decision logic for replay and encodes them as lines of JSON.
//
// Nothing is recorded until a capture begins, and recording never blocks traffic: records that do not fit into the
// buffer of a capture are dropped and counted. docs/design/replay.md describes the format.
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
	// maxPendingBatches is the maximum number of batches of records that may wait to be written.
	maxPendingBatches = 1 << 13
	// maxPendingRecords is the maximum number of records in all those batches.
	maxPendingRecords = 1 << 15
)

// ErrBusy means that another capture is running.
var ErrBusy = errors.New("a trace is being recorded already")

// Recorder passes records to the running capture and discards them if there is none. The methods of a nil recorder
// that record do nothing.
type Recorder struct {
	Now func() time.Time
	// Out receives a trace from start to close. If it is nil, recording begins only with BeginCapture.
	Out io.Writer

	writerDone chan struct{}
	capture    atomic.Pointer[Capture]
	lastRun    atomic.Uint64
}

// New returns a recorder that reads the time from now.
func New(now func() time.Time) *Recorder {
	return &Recorder{Now: now}
}

// Service returns the recorder as a service with the given name.
func (r *Recorder) Service(name kernel.Name) kernel.Service {
	return kernel.Service{Name: name, Value: r, Start: r.start, Close: r.close}
}

// start begins the capture for Out, if it is set, and writes it in the background until the capture ends.
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

// BeginCapture starts a capture. It returns ErrBusy if one is running.
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

// EndCapture ends a capture; it does nothing if that is not the running one. Write of the capture then writes the
// pending records and returns.
func (r *Recorder) EndCapture(c *Capture) {
	if r.capture.CompareAndSwap(c, nil) {
		close(c.quit)
	}
}

// close ends the running capture and waits until the trace for Out has been written.
func (r *Recorder) close() error {
	if c := r.capture.Load(); c != nil {
		r.EndCapture(c)
	}
	if r.writerDone != nil {
		<-r.writerDone
	}
	return nil
}

// NewFanoutLog starts the log of one query's fan-out. It returns nil when no capture is running; the methods of a nil
// log record nothing.
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

// RecordOffer records a configuration that was offered to this VM and the decision on it.
func (r *Recorder) RecordOffer(now time.Time, offer replay.Offer) {
	if r == nil {
		return
	}
	if c := r.capture.Load(); c != nil {
		c.enqueue([]replay.Record{{At: now, Kind: replay.KindOffer, Offer: &offer}})
	}
}

// Capture is one recording. It collects records until it is ended and writes them as a trace.
type Capture struct {
	start   time.Time
	batches chan []replay.Record
	pending atomic.Int64
	dropped atomic.Int64
	quit    chan struct{}
}

// enqueue queues a batch of records that belong together. If the buffer cannot hold all of them, it drops the batch
// and returns false.
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

// Dropped returns the number of records that were dropped because too many were waiting to be written. A batch is
// dropped as a whole when maxPendingRecords or maxPendingBatches would be exceeded. Only tests call it; the end record
// of the trace holds the same number.
func (c *Capture) Dropped() int64 {
	return c.dropped.Load()
}

// Write writes the header and the records of the capture until the capture ends, and then the end record.
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

// drain writes the pending records and the end record after the capture has ended.
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

// encodeBatch writes the records of one batch.
func (c *Capture) encodeBatch(e *Encoder, batch []replay.Record) error {
	c.pending.Add(-int64(len(batch)))
	for _, r := range batch {
		if err := e.Encode(r); err != nil {
			return err
		}
	}
	return nil
}

// Digest returns the hash and the size of a body, nil for an empty one. A trace holds them in place of the body, so
// that no body leaves the process in a trace.
func Digest(body []byte) []byte {
	if len(body) == 0 {
		return nil
	}
	return []byte(strconv.FormatUint(xxhash.Sum64(body), 16) + "/" + strconv.Itoa(len(body)))
}
