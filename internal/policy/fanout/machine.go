package fanout

import (
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
)

const (
	// reconnectAttempts is how many attempts a shard may have after one at each replica, to retry a failed connection.
	reconnectAttempts = 1
	// stragglerShare is the largest share of a round's shards that may be pending when a hedge is sent. With more of
	// them pending the endpoints are slow as a whole, and a hedge would only add load.
	stragglerShare = 0.1
	// mergeTimeShare is the share of a query's time that is reserved for merging its parts, up to a limit that depends
	// on the aim of the search.
	mergeTimeShare = 0.05
	// maxMergeTimeLatency is the longest time reserved for merging under AimLatency, and maxMergeTimeCoverage that under
	// AimCoverage.
	maxMergeTimeLatency  = 25 * time.Millisecond
	maxMergeTimeCoverage = 2 * time.Millisecond
	// stopTimeout is how long after the cutoff of a query its cancelled attempts may report their ends.
	stopTimeout = 2 * time.Millisecond
)

// phase is the stage that a query has reached.
type phase int

const (
	phaseRunning phase = iota
	// phaseStopping follows Stop: nothing more is sent, and the cancelled attempts report whether they have run.
	phaseStopping
	phaseDone
)

// Machine is the state machine of one query, from its start to its answer. Its methods return the actions to carry
// out; the caller reports replies to HandleReply and calls Tick at NextTick. It is not safe for concurrent use.
//
// A query runs in rounds. Each round queries every shard of one snapshot, and the answer is taken from one round alone.
type Machine struct {
	query   Query
	options Options
	// snapshots lists the snapshots that the query may use, one per round.
	snapshots []SnapshotPlan
	rounds    []*round
	attempts  []*attemptState
	// cutoff is when a query that still runs is stopped, so that time is left for merging before the deadline.
	cutoff time.Time
	extra  Extra
	phase  phase
	// stopCode is the reason that was passed to Stop.
	stopCode unit.Code
}

// New returns the state machine of a query; nothing is sent before Start.
func New(query Query, plan Plan) *Machine {
	snapshots := []SnapshotPlan{{Snapshot: plan.Snapshot, Shards: plan.Shards}}
	m := &Machine{
		query:     query,
		options:   plan.Options,
		snapshots: append(snapshots, plan.Fallback...),
		cutoff:    query.Deadline,
	}
	m.rounds = []*round{newRound(m.snapshots[0])}
	return m
}

// Start returns the actions that send the first attempt at each shard. If the deadline has passed, it returns none and
// the query is done.
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

// mergeTime returns how long before its deadline the query stops, to leave time for merging.
func (m *Machine) mergeTime(now time.Time) time.Duration {
	limit := maxMergeTimeCoverage
	if m.options.Aim == catalog.AimLatency {
		limit = maxMergeTimeLatency
	}
	left := m.query.Deadline.Sub(now)
	return min(limit, time.Duration(float64(left)*mergeTimeShare))
}

// sendFirstAttempts sends the first attempt of each shard in the current round. A round without any replica ends the
// query.
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

// HandleReply records the end of an attempt and returns the actions that follow: cancellations after a valid reply, or
// a retry or restart after a failure. A reply that comes late, or whose attempt is not known, is counted; it can only
// change the code of a cancelled attempt.
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

// Tick sends the hedges that are due. At the cutoff, which leaves time for merging before the deadline, it stops the
// query and cancels the open attempts. Call it at the time that NextTick returns.
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

// Stop ends the query early, with code as the reason, and returns the cancellations of its open attempts. The answer is
// final once they have all ended, or stopTimeout after the cutoff at the latest.
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

// stoppedAttemptCode returns the code to record for an attempt that ended with code after Stop had cancelled it: a
// cancellation is recorded with the reason passed to Stop.
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

// finishStoppedShard is called when an attempt that Stop cancelled has ended without a part. The shard is no longer
// pending once none of its attempts is open.
func (m *Machine) finishStoppedShard(s *shardState) {
	if s.openAttempts == 0 {
		m.currentRound().pending--
		m.finishIfNonePending()
	}
}

// checkStopTimeout ends the query if its cancelled attempts have not reported their ends in time. Those still open get
// the reason passed to Stop as their code: whether they have run is unknown.
func (m *Machine) checkStopTimeout(now time.Time) {
	if now.Before(m.cutoff.Add(stopTimeout)) {
		return
	}
	m.cancelRound(m.stopCode)
	m.phase = phaseDone
}

// NextTick returns when Tick must be called next: at the cutoff, at the next hedge that is due before it, or, after
// Stop, at the end of the wait for cancelled attempts.
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

// Done reports whether the answer is final.
func (m *Machine) Done() bool {
	return m.phase == phaseDone
}

// finishIfNonePending ends the query once no shard of the current round is pending.
func (m *Machine) finishIfNonePending() {
	if m.currentRound().pending == 0 {
		m.phase = phaseDone
	}
}

// currentRound returns the round that is being run; restart appends the next one.
func (m *Machine) currentRound() *round {
	return m.rounds[len(m.rounds)-1]
}

// acceptPart stores the first valid reply of a shard as its part and cancels the shard's other attempts.
func (m *Machine) acceptPart(a *attemptState, reply Reply) []Action {
	s := a.shard
	s.part = &Part{Shard: s.shard.ID, Endpoint: a.attempt.Endpoint, Body: reply.Body}
	m.currentRound().pending--
	m.finishIfNonePending()
	return m.cancelShard(nil, s, unit.CodeCancelled)
}

// handleFailure decides what follows an attempt that ended without a valid reply: it waits for a hedge that is still
// open, retries the shard, restarts the query on another snapshot, or gives up on the shard.
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

// mayRetry reports whether a shard gets another attempt after one that ended with code. If it does, and the attempt
// adds load, mayRetry also takes it from the allowance.
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

// sendHedges sends a second attempt for each shard whose attempt has been open for HedgeAfter, while most other shards
// have answered and the allowance lasts.
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

// mayHedge reports whether the query may send a hedge now: it may run more than once, hedging is enabled, the allowance
// is not used up, and only a few shards are pending.
func (m *Machine) mayHedge() bool {
	if m.query.Once || m.options.HedgeAfter <= 0 || m.extra.Spent >= m.options.Allowance {
		return false
	}
	r := m.currentRound()
	return r.pending <= max(1, int(stragglerShare*float64(len(r.shards))))
}

// takeAllowance takes one attempt from the query's allowance of hedges and retries; it reports false when none is left.
func (m *Machine) takeAllowance() bool {
	if m.extra.Spent >= m.options.Allowance {
		return false
	}
	m.extra.Spent++
	return true
}

// mayRestart reports whether the whole query may be restarted on the next snapshot: there is one, a restart is expected
// to end before the cutoff, and a request that may run only once has not run anywhere.
func (m *Machine) mayRestart(now time.Time) bool {
	if len(m.rounds) >= len(m.snapshots) || !now.Add(m.options.ExpectedDuration).Before(m.cutoff) {
		return false
	}
	return !m.query.Once || m.nothingRan()
}

// nothingRan reports whether every attempt so far is known not to have run.
func (m *Machine) nothingRan() bool {
	for _, a := range m.attempts {
		if a.open || a.code.Outcome() != unit.OutcomeNotRun {
			return false
		}
	}
	return true
}

// restart cancels the current round and begins a round on the next snapshot. It returns the cancellations and the first
// attempts. The caller must have checked mayRestart.
func (m *Machine) restart(now time.Time) []Action {
	m.extra.Restarts++
	actions := m.cancelRound(unit.CodeCancelled)
	m.rounds = append(m.rounds, newRound(m.snapshots[len(m.rounds)]))
	return append(actions, m.sendFirstAttempts(now)...)
}

// send opens an attempt at the shard's next replica and returns the action that sends it. The shard must have a
// replica.
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

// cancelRound cancels every open attempt of the current round and records code as their result.
func (m *Machine) cancelRound(code unit.Code) []Action {
	var actions []Action
	for _, s := range m.currentRound().shards {
		actions = m.cancelShard(actions, s, code)
	}
	return actions
}

// cancelShard cancels the open attempts of a shard, records code as their result and appends the cancellations to
// actions.
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

// findAttempt returns the attempt with the given id, or nil if there is none.
func (m *Machine) findAttempt(id unit.AttemptID) *attemptState {
	if id < 1 || int64(id) > int64(len(m.attempts)) {
		return nil
	}
	return m.attempts[id-1]
}
