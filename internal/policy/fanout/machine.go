package fanout

import (
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
)

const (
	// reconnectAttempts is how many attempts a shard may have beyond one at each replica, after a lost connection.
	reconnectAttempts = 1
	// stragglerShare is the share of a round's shards that may be open when a hedge is sent; with more of them open
	// the endpoints are slow as a whole, and a hedge would only add load.
	stragglerShare = 0.1
	// mergeTimeShare is the share of a query's time that is kept for its merge under AimLatency.
	mergeTimeShare = 0.05
	// maxMergeTimeLatency bounds the time kept for the merge under AimLatency, and mergeLeast under AimCoverage.
	maxMergeTimeLatency  = 25 * time.Millisecond
	maxMergeTimeCoverage = 2 * time.Millisecond
	// stopTimeout bounds the wait for the ends of the attempts that are cancelled when the query's time is over.
	stopTimeout = 2 * time.Millisecond
)

// phase is where a query stands.
type phase int

const (
	phaseRunning phase = iota
	// phaseStopping follows Stop: nothing more is sent, and the ends of the cancelled attempts say which of them ran.
	phaseStopping
	phaseDone
)

// Machine decides one query from its start to its answer. It is not safe for use by several goroutines.
//
// A query runs in rounds: each asks every shard of one snapshot, and the answer is drawn from one round alone.
type Machine struct {
	query     Query
	options   Options
	snapshots []SnapshotPlan
	rounds    []*round
	attempts  []*attemptState
	// cutoff is when the answer is final at the latest.
	cutoff time.Time
	extra  Extra
	phase  phase
	// stopCode is the reason that Stop was given.
	stopCode unit.Code
}

// New makes the machine of one query; nothing is asked before Start.
func New(query Query, plan Plan) *Machine {
	snapshots := []SnapshotPlan{{Snapshot: plan.Snapshot, Shards: plan.Shards}}
	m := &Machine{query: query, options: plan.Options, snapshots: append(snapshots, plan.Fallback...), cutoff: query.Deadline}
	m.rounds = []*round{newRound(m.snapshots[0])}
	return m
}

// Start gives the first attempt of each shard; a query whose deadline has passed gets none.
func (m *Machine) Start(now time.Time) []Action {
	if !now.Before(m.query.Deadline) {
		for _, s := range m.currentRound().shards {
			s.noAttemptCode = unit.CodeTooLate
		}
		m.phase = phaseDone
		return nil
	}
	m.cutoff = m.query.Deadline.Add(-m.mergeTime(now))
	return m.sendFirstAttempts(now)
}

// mergeTime is how long before the deadline the query ends.
func (m *Machine) mergeTime(now time.Time) time.Duration {
	limit := maxMergeTimeCoverage
	if m.options.Aim == catalog.AimLatency {
		limit = maxMergeTimeLatency
	}
	left := m.query.Deadline.Sub(now)
	return min(limit, time.Duration(float64(left)*mergeTimeShare))
}

// sendFirstAttempts sends the first attempts of the current round.
func (m *Machine) sendFirstAttempts(now time.Time) []Action {
	var actions []Action
	r := m.currentRound()
	for _, s := range r.shards {
		if len(s.shard.Replicas) == 0 {
			continue
		}
		r.pending++
		actions = append(actions, m.send(now, s))
	}
	m.finishIfNonePending()
	return actions
}

// HandleReply takes the end of an attempt. A reply to an attempt that has ended already is counted and dropped.
func (m *Machine) HandleReply(now time.Time, reply Reply) []Action {
	a := m.findAttempt(reply.Attempt)
	if a == nil || m.Done() {
		m.extra.Late++
		return nil
	}
	code := replyCode(a, reply)
	if !a.open {
		m.extra.Late++
		a.recordLateEnd(code)
		return nil
	}
	if m.phase == phaseStopping {
		code = m.stoppedAttemptCode(code)
	}
	a.recordEnd(code)
	var actions []Action
	switch {
	case code == unit.CodeWhole:
		actions = m.acceptPart(a, reply)
	case m.phase == phaseStopping:
		m.finishStoppedShard(a.shard)
	default:
		actions = m.handleFailure(now, a.shard, code)
	}
	return append(actions, m.Tick(now)...)
}

// Tick takes the passing of time: hedges that are due are sent, and at the end of the query's time the open attempts
// are cancelled.
func (m *Machine) Tick(now time.Time) []Action {
	switch {
	case m.Done():
		return nil
	case m.phase == phaseStopping:
		m.checkStopTimeout(now)
		return nil
	case !now.Before(m.cutoff):
		return m.Stop(unit.CodeDeadline)
	default:
		return m.sendHedges(now)
	}
}

// Stop ends the query for the reason that code gives: the open attempts are cancelled, and the answer is final once
// they have ended or a short time has passed.
func (m *Machine) Stop(code unit.Code) []Action {
	if m.phase != phaseRunning {
		return nil
	}
	m.phase = phaseStopping
	m.stopCode = code
	var actions []Action
	for _, a := range m.attempts {
		if a.open {
			actions = append(actions, Action{Kind: ActionCancel, Attempt: a.attempt})
		}
	}
	return actions
}

// stoppedAttemptCode gives the code of an attempt that Stop has cancelled.
func (m *Machine) stoppedAttemptCode(code unit.Code) unit.Code {
	switch {
	case code == unit.CodeCancelled:
		return m.stopCode
	case code == unit.CodeNotSent && m.stopCode == unit.CodeDeadline:
		return unit.CodeTooLate
	default:
		return code
	}
}

// finishStoppedShard takes the end of an attempt that Stop has cancelled.
func (m *Machine) finishStoppedShard(s *shardState) {
	if s.openAttempts == 0 {
		m.currentRound().pending--
		m.finishIfNonePending()
	}
}

// checkStopTimeout ends the wait for cancelled attempts; what became of those still open is unknown.
func (m *Machine) checkStopTimeout(now time.Time) {
	if now.Before(m.cutoff.Add(stopTimeout)) {
		return
	}
	m.cancelRound(m.stopCode)
	m.phase = phaseDone
}

// NextTick gives the time at which Tick has something to do.
func (m *Machine) NextTick() time.Time {
	if m.phase == phaseStopping {
		return m.cutoff.Add(stopTimeout)
	}
	next := m.cutoff
	if !m.mayHedge() {
		return next
	}
	for _, s := range m.currentRound().shards {
		if due := s.lastSent.Add(m.options.HedgeAfter); s.mayHedge() && due.Before(next) {
			next = due
		}
	}
	return next
}

// Done says whether the answer is final.
func (m *Machine) Done() bool {
	return m.phase == phaseDone
}

// finishIfNonePending ends the query once no shard is pending.
func (m *Machine) finishIfNonePending() {
	if m.currentRound().pending == 0 {
		m.phase = phaseDone
	}
}

func (m *Machine) currentRound() *round {
	return m.rounds[len(m.rounds)-1]
}

// acceptPart takes the first whole reply of a shard.
func (m *Machine) acceptPart(a *attemptState, reply Reply) []Action {
	s := a.shard
	s.part = &Part{Shard: s.shard.ID, Endpoint: a.attempt.Endpoint, Body: reply.Body}
	m.currentRound().pending--
	m.finishIfNonePending()
	return m.cancelShard(nil, s, unit.CodeCancelled)
}

// handleFailure decides what follows an attempt without a usable reply.
func (m *Machine) handleFailure(now time.Time, s *shardState, code unit.Code) []Action {
	if s.openAttempts > 0 {
		return nil
	}
	if m.mayRetry(now, s, code) {
		m.extra.Retries++
		return []Action{m.send(now, s)}
	}
	if s.snapshotAbsent && m.mayRestart(now) {
		return m.restart(now)
	}
	m.currentRound().pending--
	m.finishIfNonePending()
	return nil
}

// mayRetry says whether a shard gets a further attempt, and takes it from the allowance where it adds load.
func (m *Machine) mayRetry(now time.Time, s *shardState, code unit.Code) bool {
	if m.query.Once && code.Outcome() != unit.OutcomeNotRun {
		return false
	}
	if !now.Before(m.cutoff) {
		return false
	}
	if s.attemptCount < len(s.shard.Replicas) {
		return addsNoLoad(code) || m.takeAllowance()
	}
	return s.attemptCount < len(s.shard.Replicas)+reconnectAttempts && isConnectionFailure(code) && m.takeAllowance()
}

// sendHedges sends a second attempt for each shard that is slow while most of the others have answered.
func (m *Machine) sendHedges(now time.Time) []Action {
	var actions []Action
	if !m.mayHedge() {
		return nil
	}
	for _, s := range m.currentRound().shards {
		if !s.mayHedge() || now.Before(s.lastSent.Add(m.options.HedgeAfter)) {
			continue
		}
		if !m.takeAllowance() {
			return actions
		}
		m.extra.Hedges++
		actions = append(actions, m.send(now, s))
	}
	return actions
}

func (m *Machine) mayHedge() bool {
	if m.query.Once || m.options.HedgeAfter <= 0 || m.extra.Spent >= m.options.Allowance {
		return false
	}
	r := m.currentRound()
	return r.pending <= max(1, int(stragglerShare*float64(len(r.shards))))
}

// takeAllowance takes one attempt from the allowance; it says false when none is left.
func (m *Machine) takeAllowance() bool {
	if m.extra.Spent >= m.options.Allowance {
		return false
	}
	m.extra.Spent++
	return true
}

// mayRestart says whether the whole query may be repeated on the next version.
func (m *Machine) mayRestart(now time.Time) bool {
	if len(m.rounds) >= len(m.snapshots) || !now.Add(m.options.ExpectedDuration).Before(m.cutoff) {
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
	actions := m.cancelRound(unit.CodeCancelled)
	m.rounds = append(m.rounds, newRound(m.snapshots[len(m.rounds)]))
	return append(actions, m.sendFirstAttempts(now)...)
}

// send opens an attempt at the shard's next replica, which the caller knows to exist.
func (m *Machine) send(now time.Time, s *shardState) Action {
	attempt := Attempt{
		ID:       unit.AttemptID(len(m.attempts) + 1),
		Shard:    s.shard.ID,
		Endpoint: s.shard.Replicas[s.attemptCount%len(s.shard.Replicas)],
		Snapshot: m.currentRound().snapshot,
	}
	s.attemptCount++
	s.openAttempts++
	s.lastSent = now
	m.extra.Attempts++
	a := &attemptState{attempt: attempt, shard: s, open: true}
	s.attempts = append(s.attempts, a)
	m.attempts = append(m.attempts, a)
	return Action{Kind: ActionSend, Attempt: attempt}
}

// cancelRound gives up every open attempt of the current round, with code as the reason.
func (m *Machine) cancelRound(code unit.Code) []Action {
	var actions []Action
	for _, s := range m.currentRound().shards {
		actions = m.cancelShard(actions, s, code)
	}
	return actions
}

// cancelShard gives up the open attempts of a shard, with code as the reason.
func (m *Machine) cancelShard(actions []Action, s *shardState, code unit.Code) []Action {
	for _, a := range s.attempts {
		if a.open {
			a.recordEnd(code)
			a.cancelled = true
			actions = append(actions, Action{Kind: ActionCancel, Attempt: a.attempt})
		}
	}
	return actions
}

func (m *Machine) findAttempt(id unit.AttemptID) *attemptState {
	if id < 1 || int64(id) > int64(len(m.attempts)) {
		return nil
	}
	return m.attempts[id-1]
}
