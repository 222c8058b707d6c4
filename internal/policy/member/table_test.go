package member

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"basilspan/internal/core/unit"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func record(id unit.NodeID, inc unit.Incarnation, beat Beat, s State) Record {
	return Record{Member: Member{ID: id, Incarnation: inc, Peer: "10.0.0.2:1", State: s}, Beat: beat}
}

func listed(id unit.NodeID, s State) []Member {
	return []Member{{ID: id, Peer: "10.0.0.2:1", State: s}}
}

func stateOf(table *Table, id unit.NodeID) State {
	for _, m := range table.Members() {
		if m.ID == id {
			return m.State
		}
	}
	return ""
}

// step is one thing that happens to a table that belongs to VM "a"; at is the time since the start.
type step struct {
	at    time.Duration
	beat  *Record
	list  []Member
	pause time.Duration
	want  State
}

func beats(r Record) *Record { return &r }

func TestTableFollowsOneVM(t *testing.T) {
	tests := []struct {
		name  string
		steps []step
	}{
		{"the list seeds, the heartbeat decides", []step{
			{list: listed("b", StateLive), want: StateSuspect},
			{beat: beats(record("b", 5, 1, StateStarting)), want: StateStarting},
			{beat: beats(record("b", 5, 2, StateLive)), want: StateLive},
		}},
		{"silence leads to suspect and dead, a list does not help, a heartbeat does", []step{
			{beat: beats(record("b", 5, 1, StateLive)), want: StateLive},
			{at: 2 * time.Second, want: StateLive},
			{at: 4 * time.Second, want: StateSuspect},
			{at: 5 * time.Second, list: listed("b", StateLive), want: StateSuspect},
			{at: 5 * time.Second, beat: beats(record("b", 5, 1, StateLive)), want: StateSuspect},
			{at: 11 * time.Second, want: StateDead},
			{at: 12 * time.Second, beat: beats(record("b", 5, 2, StateLive)), want: StateLive},
		}},
		{"an unknown VM on a stale list never becomes live", []step{
			{list: listed("b", StateLive), want: StateSuspect},
			{at: 11 * time.Second, list: listed("b", StateLive), want: StateDead},
		}},
		{"leaving is kept for the incarnation", []step{
			{beat: beats(record("b", 5, 1, StateLive)), want: StateLive},
			{beat: beats(record("b", 5, 2, StateLeaving)), want: StateLeaving},
			{list: listed("b", StateLive), want: StateLeaving},
			{beat: beats(record("b", 5, 3, StateLive)), want: StateLeaving},
			{at: 11 * time.Second, want: StateDead},
			{at: 12 * time.Second, beat: beats(record("b", 5, 4, StateLive)), want: StateLeaving},
			{at: 12 * time.Second, beat: beats(record("b", 6, 1, StateLive)), want: StateLive},
		}},
		{"the list's leaving counts for the incarnation of its time only", []step{
			{beat: beats(record("b", 5, 1, StateLive)), list: listed("b", StateLive), want: StateLive},
			{list: listed("b", StateLeaving), want: StateLeaving},
			{list: listed("b", StateLive), want: StateLeaving},
			{list: listed("b", StateLeaving), want: StateLeaving},
			{beat: beats(record("b", 6, 1, StateLive)), want: StateLive},
			{list: listed("b", StateLeaving), want: StateLive},
		}},
		{"an earlier incarnation is passed over", []step{
			{beat: beats(record("b", 6, 1, StateLive)), want: StateLive},
			{beat: beats(record("b", 5, 9, StateLeaving)), want: StateLive},
		}},
		{"the own pause is no silence of others", []step{
			{beat: beats(record("b", 5, 1, StateLive)), want: StateLive},
			{at: 60 * time.Second, pause: 59 * time.Second, want: StateLive},
			{at: 63 * time.Second, want: StateSuspect},
		}},
		{"a VM that was lost for long is forgotten", []step{
			{beat: beats(record("b", 5, 1, StateLive)), want: StateLive},
			{at: 11 * time.Minute, want: ""},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := New(record("a", 1, 1, StateLive))
			for i, s := range tt.steps {
				now := start.Add(s.at)
				if s.beat != nil {
					table.Merge(now, *s.beat)
				}
				if s.list != nil {
					table.Seed(now, s.list)
				}
				table.Tick(now, s.pause)
				assert.Equal(t, stateOf(table, "b"), s.want, "step %d", i)
			}
		})
	}
}

// TestTableKeepsListedAddress hears a VM that does not know its own address yet: the list's stays.
func TestTableKeepsListedAddress(t *testing.T) {
	table := New(record("a", 1, 1, StateLive))
	table.Seed(start, listed("b", StateLive))
	r := record("b", 5, 1, StateStarting)
	r.Peer = ""
	table.Merge(start, r)
	assert.DeepEqual(t, table.Targets(8, func(int) int { return 0 }), []unit.Address{"10.0.0.2:1"})
}

func TestTableOwnVM(t *testing.T) {
	tests := []struct {
		name string
		do   func(table *Table)
		want Record
	}{
		{
			"an earlier process had a later clock",
			func(table *Table) { table.Merge(start, record("a", 9, 40, StateLeaving)) },
			record("a", 10, 3, StateLive),
		},
		{
			"an earlier process is passed over",
			func(table *Table) { table.Merge(start, record("a", 2, 40, StateLeaving)) },
			record("a", 5, 3, StateLive),
		},
		{
			"the list said leaving to a peer",
			func(table *Table) { table.Merge(start, record("a", 5, 2, StateLeaving)) },
			record("a", 5, 3, StateLeaving),
		},
		{
			"the first list may be of the life before",
			func(table *Table) { table.Seed(start, listed("a", StateLeaving)) },
			record("a", 5, 3, StateLive),
		},
		{
			"the list changes to leaving, and back",
			func(table *Table) {
				table.Seed(start, listed("a", StateLive))
				table.Seed(start, listed("a", StateLeaving))
				table.Seed(start, listed("a", StateLive))
				table.AdvanceOwnState(StateLive)
			},
			record("a", 5, 3, StateLeaving),
		},
	}
	for _, tt := range tests {
		table := New(record("a", 5, 3, StateLive))
		tt.do(table)
		assert.DeepEqual(t, table.Records(), []Record{tt.want})
	}
}

func TestTableTargets(t *testing.T) {
	tests := []struct {
		name string
		live int
		dead int
		want int
	}{
		{"none", 0, 0, 0},
		{"all of a few", 6, 0, 6},
		{"a few of many", 50, 0, 8},
		{"and one that is lost", 50, 7, 9},
	}
	for _, tt := range tests {
		table := New(record("a", 1, 1, StateLive))
		for i := range tt.live + tt.dead {
			r := record(unit.NodeID("b"+strconv.Itoa(i)), 1, 1, StateLive)
			r.Peer = unit.Address("10.0.0.3:" + strconv.Itoa(i))
			at := start
			if i < tt.live {
				at = start.Add(time.Minute)
			}
			table.Merge(at, r)
		}
		table.Tick(start.Add(time.Minute), 0)
		targets := table.Targets(8, func(n int) int { return n - 1 })
		distinct := make(map[unit.Address]bool)
		for _, a := range targets {
			distinct[a] = true
		}
		assert.Equal(t, len(targets), tt.want, tt.name)
		assert.Equal(t, len(distinct), tt.want, tt.name)
	}
}

// TestTableMerge gives two nodes the same records in different orders and more than once: both end alike, and no
// record ever goes back.
func TestTableMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(drawRecord(), 1, 30).Draw(t, "records")
		again := rapid.Permutation(append(append([]Record(nil), records...), records[0])).Draw(t, "again")
		a, b := New(record("self", 1, 1, StateLive)), New(record("self", 1, 1, StateLive))
		mergeAll(t, a, records)
		mergeAll(t, b, again)
		assert.DeepEqual(t, a.Records(), b.Records())
		assert.DeepEqual(t, a.Members(), b.Members())
	})
}

func mergeAll(t *rapid.T, table *Table, records []Record) {
	for _, r := range records {
		before := table.Records()
		table.Merge(start, r)
		after := make(map[unit.NodeID]Record)
		for _, r := range table.Records() {
			after[r.ID] = r
		}
		for _, was := range before {
			if goesBack(was, after[was.ID]) {
				t.Fatalf("went back from %v to %v", was, after[was.ID])
			}
		}
	}
}

func goesBack(from, to Record) bool {
	if from.Incarnation != to.Incarnation {
		return from.Incarnation > to.Incarnation
	}
	return from.Beat > to.Beat || statePrecedence(from.State) > statePrecedence(to.State)
}

func drawRecord() *rapid.Generator[Record] {
	return rapid.Custom(func(t *rapid.T) Record {
		id := rapid.SampledFrom([]unit.NodeID{"b", "c"}).Draw(t, "id")
		inc := unit.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation"))
		beat := Beat(rapid.IntRange(1, 4).Draw(t, "beat"))
		s := rapid.SampledFrom([]State{StateStarting, StateLive, StateLeaving}).Draw(t, "state")
		return record(id, inc, beat, s)
	})
}
