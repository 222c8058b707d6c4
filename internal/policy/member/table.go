package member

import (
	"sort"
	"time"

	"basilspan/internal/core/unit"
)

const (
	// HeartbeatPeriod is the time between two heartbeats of a VM.
	HeartbeatPeriod = time.Second
	// SuspectAfter is the silence after which a VM takes no new work from others.
	SuspectAfter = 3 * HeartbeatPeriod
	// DeadAfter is the silence after which a VM counts as lost.
	DeadAfter = 10 * HeartbeatPeriod
	// ForgetAfter is the silence after which a VM is no longer remembered.
	ForgetAfter = 10 * time.Minute
)

// row is what is known of one other VM.
type row struct {
	// record holds what the VM says of itself, and state what silence makes of it.
	record        Record
	state         State
	lastHeartbeat time.Time
	// listedState is the state that the platform's list showed last.
	listedState State
}

// Table holds the known VMs. It belongs to the control goroutine.
type Table struct {
	self Record
	// ownListedState is the state that the platform's list showed last of the own VM.
	ownListedState State
	rows           map[unit.NodeID]*row
}

// New makes a table that knows its own VM alone.
func New(self Record) *Table {
	return &Table{self: self, rows: make(map[unit.NodeID]*row)}
}

// CountHeartbeat counts a heartbeat of the own VM.
func (t *Table) CountHeartbeat() {
	t.self.Beat++
}

// AdvanceOwnState changes what the own VM says of itself; it never goes back.
func (t *Table) AdvanceOwnState(s State) bool {
	if statePrecedence(s) <= statePrecedence(t.self.State) {
		return false
	}
	t.self.State = s
	return true
}

// SetOwnAddress changes the address at which the own VM is reached; it says whether that is another one.
func (t *Table) SetOwnAddress(peer unit.Address) bool {
	changed := t.self.Peer != peer
	t.self.Peer = peer
	return changed
}

// Merge takes a record that a peer has sent; it says whether a state, an incarnation or an address has changed.
func (t *Table) Merge(now time.Time, r Record) bool {
	if r.ID == t.self.ID {
		return t.mergeOwn(r)
	}
	known := t.rows[r.ID]
	if known == nil {
		known = &row{record: Record{Member: Member{ID: r.ID}}, state: StateSuspect}
		t.rows[r.ID] = known
	}
	before := known.member()
	known.merge(now, r)
	return known.member() != before
}

// mergeOwn takes a record of the own VM. One of a higher incarnation is of an earlier process whose clock was ahead:
// the own incarnation goes beyond it, or no peer would listen. One that says leaving comes from a peer to which the
// platform's list said so.
func (t *Table) mergeOwn(r Record) bool {
	switch {
	case r.Incarnation < t.self.Incarnation:
		return false
	case r.Incarnation == t.self.Incarnation && r.Beat <= t.self.Beat:
		return r.State == StateLeaving && t.AdvanceOwnState(StateLeaving)
	}
	t.self.Incarnation = r.Incarnation + 1
	return true
}

// Seed takes the platform's list; it says whether a state has changed. A VM that is new to the table is suspect until
// it is heard. Only the change to leaving counts: a list that lags takes out no later incarnation and revives none.
func (t *Table) Seed(now time.Time, list []Member) bool {
	changed := false
	for _, m := range list {
		if m.ID == t.self.ID {
			changed = t.seedOwn(m.State) || changed
			continue
		}
		changed = t.seed(now, m) || changed
	}
	return changed
}

// seedOwn takes the list's line on the own VM. The first one may be of the life before.
func (t *Table) seedOwn(s State) bool {
	before := t.ownListedState
	t.ownListedState = s
	return before == StateLive && s == StateLeaving && t.AdvanceOwnState(StateLeaving)
}

func (t *Table) seed(now time.Time, m Member) bool {
	known := t.rows[m.ID]
	added := known == nil
	if added {
		known = &row{record: Record{Member: m}, state: StateSuspect, lastHeartbeat: now}
		known.record.State = StateStarting
		t.rows[m.ID] = known
	}
	before := known.member()
	if known.record.Incarnation == 0 {
		known.record.Peer, known.record.Centre = m.Peer, m.Centre
	}
	if m.State == StateLeaving && known.listedState != StateLeaving {
		known.record.State = StateLeaving
		known.applyReportedState(StateLeaving)
	}
	known.listedState = m.State
	return added || known.member() != before
}

// Tick judges the silence of the others at now; it says whether a state has changed. Pause is how long the own
// process has not run; it is no silence of theirs.
func (t *Table) Tick(now time.Time, pause time.Duration) bool {
	changed := false
	for id, known := range t.rows {
		known.lastHeartbeat = known.lastHeartbeat.Add(pause)
		silence := now.Sub(known.lastHeartbeat)
		before := known.state
		switch {
		case silence > ForgetAfter:
			delete(t.rows, id)
			changed = true
			continue
		case silence > DeadAfter:
			known.fire(triggerLost)
		case silence > SuspectAfter:
			known.fire(triggerSilent)
		}
		changed = changed || known.state != before
	}
	return changed
}

// Members gives every known VM, the own one included, ordered by id.
func (t *Table) Members() []Member {
	all := make([]Member, 0, len(t.rows)+1)
	all = append(all, t.self.Member)
	for _, known := range t.rows {
		all = append(all, known.member())
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// Records gives what to pass on to a peer: the own record and those of the others that have been heard and are not
// lost.
func (t *Table) Records() []Record {
	all := make([]Record, 0, len(t.rows)+1)
	all = append(all, t.self)
	for _, known := range t.rows {
		if known.record.Incarnation > 0 && known.state != StateDead {
			all = append(all, known.record)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// Targets gives the peer addresses for the next round of heartbeats: at most limit of the VMs that are not lost, and
// one that is, so that a healed partition is noticed. Pick gives a random number below n.
func (t *Table) Targets(limit int, pick func(n int) int) []unit.Address {
	var alive, lost []unit.Address
	for _, m := range t.Members() {
		switch {
		case m.ID == t.self.ID || m.Peer == "":
		case m.State == StateDead:
			lost = append(lost, m.Peer)
		default:
			alive = append(alive, m.Peer)
		}
	}
	for i := 0; i < limit && i < len(alive); i++ {
		j := i + pick(len(alive)-i)
		alive[i], alive[j] = alive[j], alive[i]
	}
	alive = alive[:min(limit, len(alive))]
	if len(lost) > 0 {
		alive = append(alive, lost[pick(len(lost))])
	}
	return alive
}

func (r *row) member() Member {
	m := r.record.Member
	m.State = r.state
	return m
}

// merge takes a record of the VM. The result does not depend on the order in which records come.
func (r *row) merge(now time.Time, from Record) {
	if from.Peer == "" {
		// The VM does not know its address yet; the list may.
		from.Peer = r.record.Peer
	}
	switch {
	case from.Incarnation > r.record.Incarnation:
		r.record = from
		r.state = StateSuspect
		r.recordHeartbeat(now)
	case from.Incarnation < r.record.Incarnation:
	case from.Beat > r.record.Beat:
		if statePrecedence(r.record.State) > statePrecedence(from.State) {
			from.State = r.record.State
		}
		r.record = from
		r.recordHeartbeat(now)
	case statePrecedence(from.State) > statePrecedence(r.record.State):
		r.record.State = from.State
		r.applyReportedState(from.State)
	}
}

// recordHeartbeat takes a heartbeat.
func (r *row) recordHeartbeat(now time.Time) {
	r.lastHeartbeat = now
	switch r.record.State {
	case StateLeaving:
		r.applyReportedState(StateLeaving)
	case StateStarting:
		r.fire(triggerStartingHeartbeat)
	default:
		r.fire(triggerLiveHeartbeat)
	}
}

// applyReportedState takes a change in what the VM says of itself without a heartbeat.
func (r *row) applyReportedState(s State) {
	switch s {
	case StateLeaving:
		r.fire(triggerLeave)
	case StateLive:
		if r.state == StateStarting {
			r.fire(triggerLiveHeartbeat)
		}
	}
}

// fire moves the state. A trigger that is for the state it is in already is left without the cost of the machine.
func (r *row) fire(t trigger) {
	if targetState[t] == r.state {
		return
	}
	r.state = nextState(r.state, t)
}

// targetState gives the state that each trigger leads to where it is permitted.
var targetState = map[trigger]State{
	triggerLiveHeartbeat:     StateLive,
	triggerStartingHeartbeat: StateStarting,
	triggerSilent:            StateSuspect,
	triggerLost:              StateDead,
	triggerLeave:             StateLeaving,
}
