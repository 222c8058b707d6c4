package trace

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"basilspan/internal/policy/rank"
	"basilspan/internal/policy/replay"
)

// TestGateLogStopsWhenFull fills a capture that nobody reads: what it keeps of an admission are its first records.
func TestGateLogStopsWhenFull(t *testing.T) {
	r := newTestRecorder()
	assert.Assert(t, r.NewGateLog(testStart, "before any capture") == nil)
	c, err := r.BeginCapture()
	assert.NilError(t, err)
	l := r.NewGateLog(testStart, "desk")
	const tickets = maxPendingBatches + 100
	for i := range tickets {
		l.RecordTicket(testStart, rank.Ticket{ID: uint64(i + 1), Deadline: testStart}, nil)
	}
	assert.Equal(t, c.Dropped(), int64(1))
	r.EndCapture(c)
	var b bytes.Buffer
	assert.NilError(t, c.Write(&b))
	l.RecordTicket(testStart, rank.Ticket{ID: tickets + 1}, nil)
	records, err := Decode(&b)
	assert.NilError(t, err)
	assert.Equal(t, records[0].Kind, replay.KindGate)
	assert.Equal(t, len(records), maxPendingBatches+1)
	for i, record := range records[1:maxPendingBatches] {
		assert.Equal(t, record.Gate.Ticket.ID, uint64(i+1))
	}
}
