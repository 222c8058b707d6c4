package trace

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"basilspan/internal/policy/rank"
	"basilspan/internal/policy/replay"
)

// TestGateLogIsABeginning fills a capture that nobody reads: what it keeps of an admission are its first records.
func TestGateLogIsABeginning(t *testing.T) {
	r := recorder()
	assert.Assert(t, r.Gate(begin, "before any capture") == nil)
	c, err := r.Begin()
	assert.NilError(t, err)
	l := r.Gate(begin, "desk")
	const tickets = maxBatches + 100
	for i := range tickets {
		l.Ticket(begin, rank.Ticket{ID: uint64(i + 1), Deadline: begin}, nil)
	}
	assert.Equal(t, c.Dropped(), int64(1))
	r.End(c)
	var b bytes.Buffer
	assert.NilError(t, c.Write(&b))
	l.Ticket(begin, rank.Ticket{ID: tickets + 1}, nil)
	records, err := Decode(&b)
	assert.NilError(t, err)
	assert.Equal(t, records[0].Kind, replay.KindGate)
	assert.Equal(t, len(records), maxBatches+1)
	for i, record := range records[1:maxBatches] {
		assert.Equal(t, record.Gate.Ticket.ID, uint64(i+1))
	}
}
