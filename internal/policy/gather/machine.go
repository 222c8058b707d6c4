package gather

import (
	"math"
	"slices"
	"time"

	"basilspan/internal/core/unit"
)

const (
	// maxImmediateRetries limits the retries of a shard that follow at once on attempts that have not run, each at
	// another endpoint. After it, the shard waits for room.
	maxImmediateRetries = 2
	// minRetryTime is the minimum time before the deadline at which a retry is sent. Later, no reply could arrive in
	// time.
	minRetryTime = 2 * time.Millisecond
	// pauseGrowth is by how much the pause of a shard that waits for room grows each time it finds none.
	pauseGrowth = 1.5
	// maxPauseShare bounds a pause as a share of the time that is left, so that a shard is not out of time after a few of them.
	maxPauseShare = 0.125
	// minPauseShare is the smallest part of a pause after which a shard is sent again. The rest is spread at random so
	// that the shards and VMs that wait for an endpoint don't all return in one moment.
	minPauseShare = 0.5
	// yieldShare is the share of the time from the partial deadline to the end for which a request yields to others. After
	// it, the request needs its shards soon.
	yieldShare = 0.5
)

// Machine is the state machine of one request, from its first attempts to its verdict. Its methods return the actions
// that its driver has to carry out, in a slice that is valid until the next call. It is not safe for concurrent use.
type Machine struct {
	Params Params
	// Choose returns the endpoint for the next attempt of a shard; ok is false when there is none. tried lists the
	// endpoints that the shard has been sent to.
	Choose func(now time.Time, shard int, tried []int, reason Reason) (endpoint int, ok bool)
	// AllowExtra reports whether an extra attempt, a hedge or a retry, may be sent to the shard's service, and counts
	// it against the allowance if so.
	AllowExtra func(now time.Time, shard int) bool
	// RoomAt returns when an endpoint of the shard is expected to accept a further attempt: a time that is not after now
	// if one has room, and the zero time if the shard has no endpoint that may be used.
	RoomAt func(now time.Time, shard int) time.Time
	// Rand returns a random number from 0 to 1.
	Rand func() float64

	attempts []Attempt
	shards   []shardState
	actions  []Action
	// answered counts the shards that have a reply, failed those that can't get one any more.
	answered int
	failed   int
	// waiting counts the shards that wait for room, held those that SecondAfter holds back, open the attempts in progress.
	waiting int
	held    int
	open    int
	verdict Verdict
	cause   Cause
	// mayHaveRun is set once an attempt has ended that an endpoint may have run.
	mayHaveRun bool
	// pastPartialDeadline is set once PartialDeadline has passed.
	pastPartialDeadline bool
}

// shardState is the state of one shard of the request.
type shardState struct {
	// reply is the attempt that returned the shard's complete reply, -1 while there is none.
	reply AttemptID
	open  int
	// ran counts the attempts that may have run or may still, reached those that may have reached an endpoint, which
	// includes rejected ones, and unspent those that ended without having run.
	ran     int
	reached int
	unspent int
	// tried holds the endpoints of the attempts that count in ran, and refused those of the others since the last wait.
	tried   []int
	refused []int
	// hedgeAt is when the shard is hedged; the zero time means never.
	hedgeAt time.Time
	// retryAt is when a shard that waits for room is sent; the zero time means that it does not wait. It has waited since
	// waitingSince, and for waited before. pause is its last pause.
	retryAt      time.Time
	waitingSince time.Time
	waited       time.Duration
	pause        time.Duration
	// heldUntil is when an attempt that may have run is handled that ended before Params.SecondAfter; the zero time means
	// that there is none.
	heldUntil time.Time
	failed    bool
	// lastOutcome is the outcome of the attempt that ended last.
	lastOutcome Outcome
}

// Start returns the actions that send the first attempt of every shard. It sends nothing if the request has ended
// already, because it begins after its deadlines, or if so many shards have no endpoint that an answer is impossible; the
// verdict is VerdictFailed then.
func (m *Machine) Start(now time.Time) []Action {
	m.actions = m.actions[:0]
	m.initShards()
	if m.updateVerdict(now); m.verdict != VerdictNone {
		return nil
	}
	m.attempts = make([]Attempt, 0, m.Params.Shards+m.Params.Shards/4+1)
	for i := range m.shards {
		if endpoint, ok := m.Choose(now, i, nil, ReasonFirst); ok {
			m.send(now, i, endpoint, ReasonFirst)
		} else if !m.wait(now, i) {
			m.failShard(i, CauseNoEndpoint)
		}
	}
	if len(m.shards)-m.failed < m.minShards() || m.refusesIdle() {
		m.failUnsent()
		return nil
	}
	m.updateVerdict(now)
	return m.actions
}

// initShards creates the states of the shards, which have no reply.
func (m *Machine) initShards() {
	m.shards = make([]shardState, m.Params.Shards)
	for i := range m.shards {
		m.shards[i].reply = -1
	}
}

// failUnsent ends the request with VerdictFailed before any of its attempts has been sent. It drops the actions and
// attempts that Start has prepared.
func (m *Machine) failUnsent() {
	m.attempts = nil
	m.actions = m.actions[:0]
	m.open = 0
	for i := range m.shards {
		s := &m.shards[i]
		s.open, s.ran, s.reached = 0, 0, 0
	}
	m.verdict = VerdictFailed
}

// RecordOutcome records how an attempt ended, and returns the actions that follow. The end of an attempt that was
// abandoned before is ignored.
func (m *Machine) RecordOutcome(now time.Time, id AttemptID, outcome Outcome) []Action {
	m.actions = m.actions[:0]
	a := &m.attempts[id]
	if !a.Open || m.verdict != VerdictNone {
		return nil
	}
	a.Open = false
	a.Outcome = outcome
	s := &m.shards[a.Shard]
	s.open--
	m.open--
	s.lastOutcome = outcome
	m.mayHaveRun = m.mayHaveRun || outcome.MayHaveRun()
	s.release(a.Endpoint, outcome)
	switch {
	case outcome == OutcomeWhole:
		m.acceptReply(a.Shard, id)
	default:
		m.handleFailure(now, a.Shard, outcome)
	}
	m.updateVerdict(now)
	return m.actions
}

// RecordWithdrawn records that an attempt was abandoned before any byte of it was sent, and will never be sent.
func (m *Machine) RecordWithdrawn(id AttemptID) {
	a := &m.attempts[id]
	if a.Open || a.Outcome != 0 {
		return
	}
	a.Outcome = OutcomeNotSent
	m.shards[a.Shard].release(a.Endpoint, OutcomeNotSent)
}

// Tick sends the shards whose wait is over and the hedges that are due, checks the deadlines against now, and returns the
// actions that follow. Call it at the time that NextTick returns.
func (m *Machine) Tick(now time.Time) []Action {
	m.actions = m.actions[:0]
	if m.verdict != VerdictNone {
		return nil
	}
	m.sendWaiting(now)
	m.sendHedges(now)
	m.releaseHeld(now)
	m.updateVerdict(now)
	return m.actions
}

// Cancel ends the request because the caller has disconnected, and returns the actions that abandon its open
// attempts. A request that is cancelled in place of Start sends nothing.
func (m *Machine) Cancel() []Action {
	m.actions = m.actions[:0]
	if m.shards == nil {
		m.initShards()
	}
	if m.verdict == VerdictNone {
		m.finish(VerdictGone)
	}
	return m.actions
}

// Limit sets Params.AnswerBy for a request that has begun before the stop of its VM. Tick must be called at the new
// NextTick.
func (m *Machine) Limit(answerBy time.Time) {
	m.Params.AnswerBy = answerBy
}

// NextTick returns the time at which Tick must be called next: the next hedge, the next end of a wait, the partial deadline
// or the end of the request.
func (m *Machine) NextTick() time.Time {
	next := m.Params.End()
	if !m.pastPartialDeadline && !m.Params.PartialDeadline.IsZero() && m.Params.PartialDeadline.Before(next) {
		next = m.Params.PartialDeadline
	}
	for i := range m.shards {
		s := &m.shards[i]
		if !s.hedgeAt.IsZero() && s.hedgeAt.Before(next) {
			next = s.hedgeAt
		}
		if !s.retryAt.IsZero() && s.retryAt.Before(next) {
			next = s.retryAt
		}
		if !s.heldUntil.IsZero() && s.heldUntil.Before(next) {
			next = s.heldUntil
		}
	}
	return next
}

// Verdict returns how the request ended, or VerdictNone while it is in progress.
func (m *Machine) Verdict() Verdict {
	return m.verdict
}

// MayHaveRun reports whether an endpoint may have run any part of the request or may still run it. Attempts that are
// open or were abandoned count, because their outcome is unknown.
func (m *Machine) MayHaveRun() bool {
	if m.mayHaveRun {
		return true
	}
	for i := range m.attempts {
		if m.attempts[i].Outcome == 0 {
			return true
		}
	}
	return false
}

// Attempt returns the attempt with this number.
func (m *Machine) Attempt(id AttemptID) Attempt {
	return m.attempts[id]
}

// Attempts returns all attempts in the order in which they were created, so an AttemptID is an index into it. It is
// empty if the request failed before anything was sent.
func (m *Machine) Attempts() []Attempt {
	return m.attempts
}

// Reply returns the attempt that got the shard's complete reply; ok is false when there is none.
func (m *Machine) Reply(shard int) (id AttemptID, ok bool) {
	id = m.shards[shard].reply
	return id, id >= 0
}

// LastOutcome returns the outcome of the shard's attempt that ended last, or 0 if none has ended. Abandoned attempts
// don't count as ended.
func (m *Machine) LastOutcome(shard int) Outcome {
	return m.shards[shard].lastOutcome
}

// Reached returns how many endpoints may have received the shard's request. Attempts that ended with OutcomeNotSent
// don't count.
func (m *Machine) Reached(shard int) int {
	return m.shards[shard].reached
}

// Ran returns how many endpoints may have run the shard's request or may still run it.
func (m *Machine) Ran(shard int) int {
	return m.shards[shard].ran
}

// KnowsEndpoint reports whether an endpoint was chosen for the shard, or one was expected to have room later.
func (m *Machine) KnowsEndpoint(shard int) bool {
	s := &m.shards[shard]
	return len(s.tried)+s.unspent > 0 || s.pause > 0
}

// Waits returns how many shards have waited for room, and the longest time that one of them has by now.
func (m *Machine) Waits(now time.Time) (shards int, longest time.Duration) {
	for i := range m.shards {
		s := &m.shards[i]
		if s.pause == 0 {
			continue
		}
		shards++
		waited := s.waited
		if !s.retryAt.IsZero() {
			waited += now.Sub(s.waitingSince)
		}
		longest = max(longest, waited)
	}
	return shards, longest
}

// Cause returns why the shard that failed last can't get a reply, or 0 if none has failed.
func (m *Machine) Cause() Cause {
	return m.cause
}

// InProgress reports whether a shard has neither a reply nor failed.
func (m *Machine) InProgress(shard int) bool {
	s := &m.shards[shard]
	return m.verdict == VerdictNone && s.reply < 0 && !s.failed
}

// Answered returns how many shards have a reply.
func (m *Machine) Answered() int {
	return m.answered
}

// send creates an attempt of the shard at an endpoint.
func (m *Machine) send(now time.Time, shard, endpoint int, reason Reason) {
	s := &m.shards[shard]
	id := AttemptID(len(m.attempts))
	m.attempts = append(m.attempts, Attempt{Shard: shard, Endpoint: endpoint, Reason: reason, Sent: now, Open: true})
	s.open++
	m.open++
	s.ran++
	s.reached++
	s.tried = append(s.tried, endpoint)
	s.hedgeAt = m.hedgeTime(now, s)
	m.actions = append(m.actions, Action{Kind: ActionSend, Attempt: id})
}

// release takes back what send has counted for an attempt that has not run.
func (s *shardState) release(endpoint int, outcome Outcome) {
	if outcome.MayHaveRun() {
		return
	}
	if i := slices.Index(s.tried, endpoint); i >= 0 {
		s.tried = slices.Delete(s.tried, i, i+1)
	}
	s.refused = append(s.refused, endpoint)
	s.ran--
	s.unspent++
	if outcome == OutcomeNotSent {
		s.reached--
	}
}

// hedgeTime returns when to hedge a shard whose latest attempt was sent at now, or the zero time if it must not be
// hedged.
func (m *Machine) hedgeTime(now time.Time, s *shardState) time.Time {
	if m.Params.HedgeAfter <= 0 || !m.Params.Idempotent || s.ran >= m.Params.AttemptsPerShard {
		return time.Time{}
	}
	return latest(now.Add(m.Params.HedgeAfter), m.Params.SecondAfter)
}

// latest returns the later one of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// acceptReply records the complete reply of a shard and abandons the shard's other attempts.
func (m *Machine) acceptReply(shard int, id AttemptID) {
	s := &m.shards[shard]
	s.reply = id
	s.hedgeAt = time.Time{}
	m.answered++
	if s.open > 0 {
		m.abandon(shard)
	}
}

// handleFailure handles an attempt that ended without a complete reply. If the shard has no other open attempt, it is
// retried, waits for room or, where neither is possible, fails.
func (m *Machine) handleFailure(now time.Time, shard int, outcome Outcome) {
	s := &m.shards[shard]
	ran := outcome.MayHaveRun()
	switch {
	case s.open > 0:
		if !ran && s.hedgeAt.IsZero() {
			s.hedgeAt = m.hedgeTime(now, s)
		}
		return
	case s.ran > 0 && !m.Params.Idempotent, s.ran >= m.Params.AttemptsPerShard:
		m.failShard(shard, CauseAttempts)
		return
	case m.Params.End().Sub(now) < minRetryTime:
		m.failShard(shard, CauseNoRoom)
		return
	}
	if ran && now.Before(m.Params.SecondAfter) {
		s.heldUntil, s.hedgeAt = m.Params.SecondAfter, time.Time{}
		m.held++
		return
	}
	if ran || s.pause == 0 && s.unspent <= maxImmediateRetries {
		endpoint, ok := m.Choose(now, shard, append(slices.Clip(s.tried), s.refused...), ReasonRetry)
		switch {
		case ok && !ran && slices.Contains(s.refused, endpoint):
			// All others have been tried, and this one had no room just now.
		case ok && m.retry(now, shard, endpoint):
			return
		case ok && ran:
			m.failShard(shard, CauseAllowance)
			return
		case ran && !m.RoomAt(now, shard).After(now):
			m.failShard(shard, CauseNoEndpoint)
			return
		}
	}
	if !m.wait(now, shard) {
		m.failShard(shard, CauseNoRoom)
	}
}

// releaseHeld handles the ends of the attempts that SecondAfter has held back.
func (m *Machine) releaseHeld(now time.Time) {
	if m.held == 0 {
		return
	}
	for i := range m.shards {
		s := &m.shards[i]
		if s.heldUntil.IsZero() || now.Before(s.heldUntil) {
			continue
		}
		s.heldUntil = time.Time{}
		m.held--
		m.handleFailure(now, i, s.lastOutcome)
	}
}

// retry sends the shard to an endpoint if the allowance permits it, and reports whether it did. Attempts that could not
// be sent need no allowance.
func (m *Machine) retry(now time.Time, shard, endpoint int) bool {
	if m.shards[shard].reached > 0 && !m.AllowExtra(now, shard) {
		return false
	}
	m.send(now, shard, endpoint, ReasonRetry)
	return true
}

// wait has a shard without open attempts wait until an endpoint is expected to have room, and reports whether it does. It
// does not if the shard has no endpoint that may be used, or none has room in time.
func (m *Machine) wait(now time.Time, shard int) bool {
	s := &m.shards[shard]
	room := m.RoomAt(now, shard)
	if room.IsZero() {
		return false
	}
	room = latest(room, now)
	pause := m.Params.firstPause()
	if s.pause > 0 {
		longest := time.Duration(maxPauseShare * float64(m.Params.End().Sub(now)))
		pause = max(pause, min(time.Duration(pauseGrowth*float64(s.pause)), longest))
	}
	if m.Yields(now) {
		pause = max(pause, m.Params.HedgeAfter)
	}
	at := room.Add(time.Duration(float64(pause) * (minPauseShare + (1-minPauseShare)*m.Rand())))
	if m.Params.End().Sub(at) < minRetryTime {
		return false
	}
	s.pause, s.retryAt, s.waitingSince = pause, at, now
	s.refused = s.refused[:0]
	s.hedgeAt = time.Time{}
	m.waiting++
	return true
}

// Yields reports whether requests that can still be on time should go before this one: its partial deadline has passed, and
// its end is not near.
func (m *Machine) Yields(now time.Time) bool {
	cut := m.Params.PartialDeadline
	if cut.IsZero() || now.Before(cut) {
		return false
	}
	return now.Before(cut.Add(time.Duration(yieldShare * float64(m.Params.End().Sub(cut)))))
}

// sendWaiting sends the shards whose wait is over. A shard that finds no room, or no allowance, waits again.
func (m *Machine) sendWaiting(now time.Time) {
	if m.waiting == 0 {
		return
	}
	for i := range m.shards {
		s := &m.shards[i]
		if s.retryAt.IsZero() || now.Before(s.retryAt) {
			continue
		}
		s.retryAt = time.Time{}
		s.waited += now.Sub(s.waitingSince)
		m.waiting--
		if !m.sendAgain(now, i) && !m.wait(now, i) {
			m.failShard(i, CauseNoRoom)
		}
	}
}

// sendAgain sends a shard that has waited, and reports whether it did. Endpoints that have not run its earlier attempts may
// be chosen again.
func (m *Machine) sendAgain(now time.Time, shard int) bool {
	s := &m.shards[shard]
	if s.ran+s.unspent == 0 {
		endpoint, ok := m.Choose(now, shard, nil, ReasonFirst)
		if ok {
			m.send(now, shard, endpoint, ReasonFirst)
		}
		return ok
	}
	endpoint, ok := m.Choose(now, shard, s.tried, ReasonRetry)
	return ok && m.retry(now, shard, endpoint)
}

// sendHedges sends a second attempt for each shard whose hedge is due and that has one attempt open.
func (m *Machine) sendHedges(now time.Time) {
	for i := range m.shards {
		s := &m.shards[i]
		if s.hedgeAt.IsZero() || now.Before(s.hedgeAt) {
			continue
		}
		s.hedgeAt = time.Time{}
		if s.open != 1 || s.ran >= m.Params.AttemptsPerShard {
			continue
		}
		m.hedgeShard(now, i)
	}
}

// hedgeShard hedges one shard, or postpones its hedge. It looks for an endpoint first so that the allowance is charged only
// for a hedge that can be sent.
func (m *Machine) hedgeShard(now time.Time, shard int) {
	endpoint, ok := m.Choose(now, shard, m.shards[shard].tried, ReasonHedge)
	if ok && m.AllowExtra(now, shard) {
		m.send(now, shard, endpoint, ReasonHedge)
		return
	}
	m.postponeHedge(now, shard)
}

// failShard marks a shard that can't get a reply any more and stops its hedge.
func (m *Machine) failShard(shard int, cause Cause) {
	m.shards[shard].failed = true
	m.shards[shard].hedgeAt = time.Time{}
	m.cause = cause
	m.failed++
}

// updateVerdict ends the request if it can be answered, has failed, or has reached its deadline or the end of its VM.
func (m *Machine) updateVerdict(now time.Time) {
	if m.verdict != VerdictNone {
		return
	}
	m.pastPartialDeadline = m.pastPartialDeadline ||
		(!m.Params.PartialDeadline.IsZero() && !now.Before(m.Params.PartialDeadline))
	enough := m.answered >= m.minShards()
	stopping := !m.Params.AnswerBy.IsZero() && !now.Before(m.Params.AnswerBy)
	switch {
	case enough && (m.pastPartialDeadline && !m.Params.GoesOn || stopping || m.answered+m.failed+m.late() == len(m.shards)):
		m.finish(VerdictAnswered)
	case len(m.shards)-m.failed < m.minShards(), m.refusesIdle():
		m.finish(VerdictFailed)
	case !now.Before(m.Params.Deadline):
		m.finish(VerdictTimedOut)
	case stopping:
		m.finish(VerdictStopped)
	}
}

// late returns how many shards wait for room beyond the partial deadline, at which an answer with enough other shards is
// final.
func (m *Machine) late() int {
	if m.Params.PartialDeadline.IsZero() || m.Params.GoesOn {
		return 0
	}
	return m.waitingBeyond(m.Params.PartialDeadline)
}

// waitingBeyond returns how many shards wait for room until that time at least.
func (m *Machine) waitingBeyond(until time.Time) int {
	n := 0
	if m.waiting == 0 {
		return n
	}
	for i := range m.shards {
		if at := m.shards[i].retryAt; !at.IsZero() && !at.Before(until) {
			n++
		}
	}
	return n
}

// SettledUntil reports whether nothing can change before that time: no attempt is open and no shard is sent.
func (m *Machine) SettledUntil(until time.Time) bool {
	return m.open+m.held == 0 && m.waitingBeyond(until) == m.waiting
}

// refusesIdle reports whether the request should be refused as not run: nothing of it is open or may have run, and no shard
// is sent before RefuseBy.
func (m *Machine) refusesIdle() bool {
	if m.open > 0 || m.waiting == 0 || m.Params.RefuseBy.IsZero() || m.MayHaveRun() {
		return false
	}
	for i := range m.shards {
		if at := m.shards[i].retryAt; !at.IsZero() && at.Before(m.Params.RefuseBy) {
			return false
		}
	}
	m.cause = CauseNoRoom
	return true
}

// minShards returns how many shards must have a reply for an answer.
func (m *Machine) minShards() int {
	return MinShards(m.Params.MinShare, len(m.shards))
}

// RequiredShare returns the smallest share of the shards for an answer to a caller. It covers at least one shard, also on
// a route that requires none: an answer without any would look like a success.
func RequiredShare(share unit.Share, shards int) unit.Share {
	return max(share, 1/unit.Share(max(shards, 1)))
}

// MinShards returns the share of the shards as a number of shards, rounded up.
func MinShards(share unit.Share, shards int) int {
	// The share is a decimal fraction: without the tolerance, 0.89 of 100 could come out as 90.
	const tolerance = 1e-9
	return int(math.Ceil(float64(share)*float64(shards) - tolerance))
}

// finish sets the verdict and abandons all open attempts.
func (m *Machine) finish(v Verdict) {
	m.verdict = v
	for i := range m.shards {
		if m.shards[i].open > 0 {
			m.abandon(i)
		}
	}
}

// abandon closes the open attempts of a shard, and adds the actions that stop waiting for their replies.
func (m *Machine) abandon(shard int) {
	for id := range m.attempts {
		a := &m.attempts[id]
		if a.Shard == shard && a.Open {
			a.Open = false
			m.shards[shard].open--
			m.open--
			m.actions = append(m.actions, Action{Kind: ActionAbandon, Attempt: AttemptID(id)})
		}
	}
}
