package fanout

import (
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
)

const (
	// secondPass is how many attempts a shard may have beyond one at each replica, after a lost connection.
	secondPass = 1
	// stragglerShare is the share of a round's shards that may be open when a hedge is sent; with more of them open
	// the endpoints are slow as a whole, and a hedge would only add load.
	stragglerShare = 0.1
	// mergeShare is the share of a query's time that is kept for its merge under AimLatency.
	mergeShare = 0.05
	// mergeMost bounds the time kept for the merge under AimLatency, and mergeLeast under AimCoverage.
	mergeMost  = 25 * time.Millisecond
	mergeLeast = 2 * time.Millisecond
	// settleTime bounds the wait for the ends of the attempts that are cancelled when the query's time is over.
	settleTime = 2 * time.Millisecond
)

// phase is where a query stands.
type phase int

const (
	phaseRunning phase = iota
	// phaseSettling follows Stop: nothing more is sent, and the ends of the cancelled attempts say which of them ran.
	phaseSettling
	phaseDone
)

// Machine decides one query from its start to its answer. It is not safe for use by several goroutines.
//
// A query runs in rounds: each asks every shard of one snapshot, and the answer is drawn from one round alone.
type Machine struct {
	query    Query
	terms    Terms
	versions []Version
	rounds   []*round
	attempts []*attemptState
	// stop is when the answer is final at the latest.
	stop  time.Time
	extra Extra
	phase phase
	// stopCode is the reason that Stop was given.
	stopCode unit.Code
}

// New makes the machine of one query; nothing is asked before Start.
func New(query Query, plan Plan) *Machine {
	versions := []Version{{Snapshot: plan.Snapshot, Shards: plan.Shards}}
	m := &Machine{query: query, terms: plan.Terms, versions: append(versions, plan.Fallback...), stop: query.Deadline}
	m.rounds = []*round{newRound(m.versions[0])}
	return m
}

// Start gives the first attempt of each shard; a query whose deadline has passed gets none.
func (m *Machine) Start(now time.Time) []Action {
	if !now.Before(m.query.Deadline) {
		for _, s := range m.current().shards {
			s.unasked = unit.CodeTooLate
		}
		m.phase = phaseDone
		return nil
	}
	m.stop = m.query.Deadline.Add(-m.mergeTime(now))
	return m.begin(now)
}

// mergeTime is how long before the deadline the query ends.
func (m *Machine) mergeTime(now time.Time) time.Duration {
	most := mergeLeast
	if m.terms.Aim == catalog.AimLatency {
		most = mergeMost
	}
	left := m.query.Deadline.Sub(now)
	return min(most, time.Duration(float64(left)*mergeShare))
}

// begin sends the first attempts of the current round.
func (m *Machine) begin(now time.Time) []Action {
	var actions []Action
	r := m.current()
	for _, s := range r.shards {
		if len(s.shard.Replicas) == 0 {
			continue
		}
		r.pending++
		actions = append(actions, m.send(now, s))
	}
	m.finish()
	return actions
}

// Reply takes the end of an attempt. A reply to an attempt that has ended already is counted and dropped.
func (m *Machine) Reply(now time.Time, reply Reply) []Action {
	a := m.find(reply.Attempt)
	if a == nil || m.Done() {
		m.extra.Late++
		return nil
	}
	code := check(a, reply)
	if !a.open {
		m.extra.Late++
		a.late(code)
		return nil
	}
	if m.phase == phaseSettling {
		code = m.settledCode(code)
	}
	a.end(code)
	var actions []Action
	switch {
	case code == unit.CodeWhole:
		actions = m.answered(a, reply)
	case m.phase == phaseSettling:
		m.settled(a.shard)
	default:
		actions = m.failed(now, a.shard, code)
	}
	return append(actions, m.Tick(now)...)
}

// Tick takes the passing of time: hedges that are due are sent, and at the end of the query's time the open attempts
// are cancelled.
func (m *Machine) Tick(now time.Time) []Action {
	switch {
	case m.Done():
		return nil
	case m.phase == phaseSettling:
		m.expire(now)
		return nil
	case !now.Before(m.stop):
		return m.Stop(unit.CodeDeadline)
	default:
		return m.hedge(now)
	}
}

// Stop ends the query for the reason that code gives: the open attempts are cancelled, and the answer is final once
// they have ended or a short time has passed.
func (m *Machine) Stop(code unit.Code) []Action {
	if m.phase != phaseRunning {
		return nil
	}
	m.phase = phaseSettling
	m.stopCode = code
	var actions []Action
	for _, a := range m.attempts {
		if a.open {
			actions = append(actions, Action{Kind: ActionCancel, Attempt: a.attempt})
		}
	}
	return actions
}

// settledCode gives the code of an attempt that Stop has cancelled.
func (m *Machine) settledCode(code unit.Code) unit.Code {
	switch {
	case code == unit.CodeCancelled:
		return m.stopCode
	case code == unit.CodeNotSent && m.stopCode == unit.CodeDeadline:
		return unit.CodeTooLate
	default:
		return code
	}
}

// settled takes the end of an attempt that Stop has cancelled.
func (m *Machine) settled(s *shardState) {
	if s.open == 0 {
		m.current().pending--
		m.finish()
	}
}

// expire ends the wait for cancelled attempts; what became of those still open is unknown.
func (m *Machine) expire(now time.Time) {
	if now.Before(m.stop.Add(settleTime)) {
		return
	}
	m.abandon(m.stopCode)
	m.phase = phaseDone
}

// Wake gives the time at which Tick has something to do.
func (m *Machine) Wake() time.Time {
	if m.phase == phaseSettling {
		return m.stop.Add(settleTime)
	}
	wake := m.stop
	if !m.mayHedge() {
		return wake
	}
	for _, s := range m.current().shards {
		if due := s.sent.Add(m.terms.HedgeAfter); s.mayHedge() && due.Before(wake) {
			wake = due
		}
	}
	return wake
}

// Done says whether the answer is final.
func (m *Machine) Done() bool {
	return m.phase == phaseDone
}

// finish ends the query once no shard is pending.
func (m *Machine) finish() {
	if m.current().pending == 0 {
		m.phase = phaseDone
	}
}

func (m *Machine) current() *round {
	return m.rounds[len(m.rounds)-1]
}

// answered takes the first whole reply of a shard.
func (m *Machine) answered(a *attemptState, reply Reply) []Action {
	s := a.shard
	s.answered = &Part{Shard: s.shard.ID, Endpoint: a.attempt.Endpoint, Body: reply.Body}
	m.current().pending--
	m.finish()
	return m.cancel(nil, s, unit.CodeCancelled)
}

// failed decides what follows an attempt without a usable reply.
func (m *Machine) failed(now time.Time, s *shardState, code unit.Code) []Action {
	if s.open > 0 {
		return nil
	}
	if m.mayRetry(now, s, code) {
		m.extra.Retries++
		return []Action{m.send(now, s)}
	}
	if s.absent && m.mayRestart(now) {
		return m.restart(now)
	}
	m.current().pending--
	m.finish()
	return nil
}

// mayRetry says whether a shard gets a further attempt, and takes it from the allowance where it adds load.
func (m *Machine) mayRetry(now time.Time, s *shardState, code unit.Code) bool {
	if m.query.Once && code.Outcome() != unit.OutcomeNotRun {
		return false
	}
	if !now.Before(m.stop) {
		return false
	}
	if s.next < len(s.shard.Replicas) {
		return addsNoLoad(code) || m.spend()
	}
	return s.next < len(s.shard.Replicas)+secondPass && connectionLost(code) && m.spend()
}

// hedge sends a second attempt for each shard that is slow while most of the others have answered.
func (m *Machine) hedge(now time.Time) []Action {
	var actions []Action
	if !m.mayHedge() {
		return nil
	}
	for _, s := range m.current().shards {
		if !s.mayHedge() || now.Before(s.sent.Add(m.terms.HedgeAfter)) {
			continue
		}
		if !m.spend() {
			return actions
		}
		m.extra.Hedges++
		actions = append(actions, m.send(now, s))
	}
	return actions
}

func (m *Machine) mayHedge() bool {
	if m.query.Once || m.terms.HedgeAfter <= 0 || m.extra.Spent >= m.terms.Allowance {
		return false
	}
	r := m.current()
	return r.pending <= max(1, int(stragglerShare*float64(len(r.shards))))
}

// spend takes one attempt from the allowance; it says false when none is left.
func (m *Machine) spend() bool {
	if m.extra.Spent >= m.terms.Allowance {
		return false
	}
	m.extra.Spent++
	return true
}

// mayRestart says whether the whole query may be repeated on the next version.
func (m *Machine) mayRestart(now time.Time) bool {
	if len(m.rounds) >= len(m.versions) || !now.Add(m.terms.Expected).Before(m.stop) {
		return false
	}
	return !m.query.Once || m.nothingRan()
}

// nothingRan says whether every attempt so far is known not to have run.
func (m *Machine) nothingRan() bool {
	for _, a := range m.attempts {
		if a.open || a.code.Outcome() != unit.OutcomeNotRun {
			return false
		}
	}
	return true
}

// restart gives up the current round and asks every shard of the next version.
func (m *Machine) restart(now time.Time) []Action {
	m.extra.Restarts++
	actions := m.abandon(unit.CodeCancelled)
	m.rounds = append(m.rounds, newRound(m.versions[len(m.rounds)]))
	return append(actions, m.begin(now)...)
}

// send opens an attempt at the shard's next replica, which the caller knows to exist.
func (m *Machine) send(now time.Time, s *shardState) Action {
	attempt := Attempt{
		ID:       unit.AttemptID(len(m.attempts) + 1),
		Shard:    s.shard.ID,
		Endpoint: s.shard.Replicas[s.next%len(s.shard.Replicas)],
		Snapshot: m.current().snapshot,
	}
	s.next++
	s.open++
	s.sent = now
	m.extra.Attempts++
	a := &attemptState{attempt: attempt, shard: s, open: true}
	s.attempts = append(s.attempts, a)
	m.attempts = append(m.attempts, a)
	return Action{Kind: ActionSend, Attempt: attempt}
}

// abandon gives up every open attempt of the current round, with code as the reason.
func (m *Machine) abandon(code unit.Code) []Action {
	var actions []Action
	for _, s := range m.current().shards {
		actions = m.cancel(actions, s, code)
	}
	return actions
}

// cancel gives up the open attempts of a shard, with code as the reason.
func (m *Machine) cancel(actions []Action, s *shardState, code unit.Code) []Action {
	for _, a := range s.attempts {
		if a.open {
			a.end(code)
			a.cancelled = true
			actions = append(actions, Action{Kind: ActionCancel, Attempt: a.attempt})
		}
	}
	return actions
}

func (m *Machine) find(id unit.AttemptID) *attemptState {
	if id < 1 || int64(id) > int64(len(m.attempts)) {
		return nil
	}
	return m.attempts[id-1]
}
