package member

import (
	"sort"
	"time"

	"basilspan/internal/core/unit"
)

const (
	// HeartbeatPeriod is the time between two heartbeats of a VM.
	HeartbeatPeriod = time.Second
	// SuspectAfter is the time without a heartbeat after which a VM gets no new work from others.
	SuspectAfter = 3 * HeartbeatPeriod
	// DeadAfter is the time without a heartbeat after which a VM counts as lost.
	DeadAfter = 10 * HeartbeatPeriod
	// ForgetAfter is the time without a heartbeat after which a VM is removed from the table.
	ForgetAfter = 10 * time.Minute
)

// row is the entry of one other VM.
type row struct {
	// record is what the VM reports about itself; state also accounts for missing heartbeats.
	record Record
	state  State
	// lastHeartbeat is when the latest heartbeat arrived or, before the first one, when the VM was first listed. Pauses
	// of the own process are added to it.
	lastHeartbeat time.Time
	// listedState is the state in the most recent platform list.
	listedState State
}

// Table holds the known VMs. Only the control goroutine may use it.
type Table struct {
	self Record
	// ownListedState is the own VM's state in the most recent platform list.
	ownListedState State
	rows           map[unit.NodeID]*row
}

// New returns a table that contains only the own VM.
func New(self Record) *Table {
	return &Table{self: self, rows: make(map[unit.NodeID]*row)}
}

// CountHeartbeat increments the own VM's heartbeat counter, once per HeartbeatPeriod. A higher counter is what shows
// the other VMs that this one is alive.
func (t *Table) CountHeartbeat() {
	t.self.Beat++
}

// AdvanceOwnState changes the state that the own VM reports and reports whether it changed. It ignores a state of
// equal or lower precedence, so the VM never returns from leaving to live.
func (t *Table) AdvanceOwnState(s State) bool {
	if statePrecedence(s) <= statePrecedence(t.self.State) {
		return false
	}
	t.self.State = s
	return true
}

// SetOwnAddress sets the address at which peers reach the own VM and reports whether it changed.
func (t *Table) SetOwnAddress(peer unit.Address) bool {
	changed := t.self.Peer != peer
	t.self.Peer = peer
	return changed
}

// Merge adds a record received from a peer. It reports whether the VM's entry changed other than in its heartbeat
// counter.
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

// mergeOwn handles a record of the own VM received from a peer. A higher incarnation, or the same one with a higher
// counter, comes from an earlier process whose clock was ahead: the own incarnation is raised above it, because peers
// would otherwise ignore this VM. A record of this incarnation that reports leaving comes from a peer that read it in
// the platform's list.
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

// Seed merges the platform's list and reports whether an entry changed. A VM that is new to the table is suspect until
// its first heartbeat; until then the list also provides its address and data centre. Afterwards only a change to
// leaving in the list has an effect, because a list that lags must neither remove a later incarnation nor revive an
// earlier one.
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

// seedOwn handles the list's entry for the own VM. The first list may still describe the previous incarnation, so only
// a change from live to leaving counts.
func (t *Table) seedOwn(s State) bool {
	before := t.ownListedState
	t.ownListedState = s
	return before == StateLive && s == StateLeaving && t.AdvanceOwnState(StateLeaving)
}

// seed handles the list's entry for another VM and reports whether the VM's entry in the table changed.
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

// Tick moves VMs without recent heartbeats to suspect or dead, and removes them after ForgetAfter. It reports whether
// an entry changed. The time for which the own process was paused does not count as silence of the other VMs.
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

// Members returns every known VM including the own one, ordered by id.
func (t *Table) Members() []Member {
	all := make([]Member, 0, len(t.rows)+1)
	all = append(all, t.self.Member)
	for _, known := range t.rows {
		all = append(all, known.member())
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// Records returns the records to send to a peer: the own record, and those of other VMs that have sent a heartbeat and
// are not dead.
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

// Targets returns the peer addresses for the next round of heartbeats: up to limit random VMs that are not dead, plus
// one dead VM if there is any, so that a healed network partition is noticed. pick must return a random number below n.
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

// member returns the VM with the state that accounts for missing heartbeats.
func (r *row) member() Member {
	m := r.record.Member
	m.State = r.state
	return m
}

// merge merges a record of the VM. The result does not depend on the order in which records arrive.
func (r *row) merge(now time.Time, from Record) {
	if from.Peer == "" {
		// The VM does not know its own address yet; keep the one from the platform's list.
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

// recordHeartbeat notes the time of a heartbeat and moves the VM to the state that it reports.
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

// applyReportedState applies a state that the VM or the platform's list reports, without counting it as a heartbeat.
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

// fire applies a trigger. To save the cost of a state machine it returns early when the VM is already in the trigger's
// target state.
func (r *row) fire(t trigger) {
	if targetState[t] == r.state {
		return
	}
	r.state = nextState(r.state, t)
}

// targetState is the state that each trigger leads to where it is permitted.
var targetState = map[trigger]State{
	triggerLiveHeartbeat:     StateLive,
	triggerStartingHeartbeat: StateStarting,
	triggerSilent:            StateSuspect,
	triggerLost:              StateDead,
	triggerLeave:             StateLeaving,
}
