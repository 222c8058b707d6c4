package gather

import (
	"math"
	"time"

	"basilspan/internal/core/unit"
)

const (
	// maxUnsentAttempts is how many attempts that could not be sent a shard may have; none of them reached an endpoint.
	maxUnsentAttempts = 3
	// minRetryTime is the time before the end from which nothing more is sent, since no reply can come in time.
	minRetryTime = 2 * time.Millisecond
)

// Machine decides one request from its start to its verdict. It is not safe for use by several goroutines.
type Machine struct {
	Params Params
	// Choose gives the endpoint of a shard for an attempt, or ok false when there is none. tried are the endpoints
	// that the shard was sent to before.
	Choose func(now time.Time, shard int, tried []int, reason Reason) (endpoint int, ok bool)
	// AllowExtra says whether the shard's service may be sent an extra attempt, and counts it.
	AllowExtra func(now time.Time, shard int) bool

	attempts []Attempt
	shards   []shardState
	actions  []Action
	// answered and dead count the shards with a reply and those that can have none.
	answered int
	failed   int
	verdict  Verdict
	// mayHaveRun is set once an attempt may have run.
	mayHaveRun bool
	// pastPartialDeadline is set when Cut has passed.
	pastPartialDeadline bool
}

// shardState is what is known of one shard.
type shardState struct {
	// reply is the attempt with the whole reply, or -1.
	reply AttemptID
	open  int
	// reached counts the attempts that may have reached an endpoint, and unsent those that did not leave.
	reached int
	unsent  int
	tried   []int
	// hedgeAt is when the shard is hedged; zero means never.
	hedgeAt time.Time
	failed  bool
	// lastOutcome is the outcome of the attempt that ended last.
	lastOutcome Outcome
}

// Start sends the first attempt of every shard, unless so many shards have no endpoint that there can be no answer.
func (m *Machine) Start(now time.Time) []Action {
	m.actions = m.actions[:0]
	m.shards = make([]shardState, m.Params.Shards)
	m.attempts = make([]Attempt, 0, m.Params.Shards+m.Params.Shards/4+1)
	for i := range m.shards {
		m.shards[i].reply = -1
		m.send(now, i, ReasonFirst)
	}
	if len(m.attempts) < m.minShards() {
		m.failUnsent()
		return nil
	}
	for i := range m.shards {
		if m.shards[i].open == 0 {
			m.failShard(i)
		}
	}
	m.updateVerdict(now)
	return m.actions
}

// failUnsent ends a request of which nothing has been sent yet.
func (m *Machine) failUnsent() {
	m.attempts = nil
	m.actions = m.actions[:0]
	for i := range m.shards {
		m.shards[i].open = 0
	}
	m.verdict = VerdictFailed
}

// RecordOutcome takes the end of an attempt. The end of one that was abandoned changes nothing.
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
	s.lastOutcome = outcome
	m.mayHaveRun = m.mayHaveRun || outcome.MayHaveRun()
	switch {
	case outcome == OutcomeWhole:
		m.acceptReply(a.Shard, id)
	default:
		m.handleFailure(now, a.Shard, outcome)
	}
	m.updateVerdict(now)
	return m.actions
}

// Tick takes the passing of time.
func (m *Machine) Tick(now time.Time) []Action {
	m.actions = m.actions[:0]
	if m.verdict != VerdictNone {
		return nil
	}
	m.sendHedges(now)
	m.updateVerdict(now)
	return m.actions
}

// Cancel takes that the caller has left.
func (m *Machine) Cancel() []Action {
	m.actions = m.actions[:0]
	if m.verdict == VerdictNone {
		m.finish(VerdictGone)
	}
	return m.actions
}

// NextTick gives the time at which Tick has something to do.
func (m *Machine) NextTick() time.Time {
	next := m.Params.Deadline
	if !m.pastPartialDeadline && !m.Params.PartialDeadline.IsZero() && m.Params.PartialDeadline.Before(next) {
		next = m.Params.PartialDeadline
	}
	for i := range m.shards {
		s := &m.shards[i]
		if !s.hedgeAt.IsZero() && s.hedgeAt.Before(next) {
			next = s.hedgeAt
		}
	}
	return next
}

// Verdict gives how the request ended, VerdictNone while it goes on.
func (m *Machine) Verdict() Verdict {
	return m.verdict
}

// MayHaveRun says whether an endpoint may have run or may yet run any part of the request.
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

// Attempt gives an attempt.
func (m *Machine) Attempt(id AttemptID) Attempt {
	return m.attempts[id]
}

// Attempts gives all attempts.
func (m *Machine) Attempts() []Attempt {
	return m.attempts
}

// Reply gives the attempt with the shard's whole reply; ok is false when there is none.
func (m *Machine) Reply(shard int) (id AttemptID, ok bool) {
	id = m.shards[shard].reply
	return id, id >= 0
}

// LastOutcome gives the outcome of the attempt of the shard that ended last, 0 when none has ended.
func (m *Machine) LastOutcome(shard int) Outcome {
	return m.shards[shard].lastOutcome
}

// Reached gives how many endpoints the shard may have arrived at.
func (m *Machine) Reached(shard int) int {
	return m.shards[shard].reached
}

// Answered gives how many shards have a reply.
func (m *Machine) Answered() int {
	return m.answered
}

// send begins an attempt of the shard and says whether there was an endpoint for it.
func (m *Machine) send(now time.Time, shard int, reason Reason) bool {
	s := &m.shards[shard]
	endpoint, ok := m.Choose(now, shard, s.tried, reason)
	if !ok {
		return false
	}
	id := AttemptID(len(m.attempts))
	m.attempts = append(m.attempts, Attempt{Shard: shard, Endpoint: endpoint, Reason: reason, Sent: now, Open: true})
	s.open++
	s.reached++
	s.tried = append(s.tried, endpoint)
	s.hedgeAt = m.hedgeTime(now, s)
	m.actions = append(m.actions, Action{Kind: ActionSend, Attempt: id})
	return true
}

// hedgeTime gives when the shard is to be hedged after an attempt was sent at now.
func (m *Machine) hedgeTime(now time.Time, s *shardState) time.Time {
	if m.Params.HedgeAfter <= 0 || !m.Params.Idempotent || s.reached >= m.Params.AttemptsPerShard {
		return time.Time{}
	}
	return now.Add(m.Params.HedgeAfter)
}

// acceptReply takes the whole reply of a shard; its other attempts are not waited for.
func (m *Machine) acceptReply(shard int, id AttemptID) {
	s := &m.shards[shard]
	s.reply = id
	s.hedgeAt = time.Time{}
	m.answered++
	if s.open > 0 {
		m.abandon(shard)
	}
}

// handleFailure takes an attempt without a whole reply, and sends another where that is allowed.
func (m *Machine) handleFailure(now time.Time, shard int, outcome Outcome) {
	s := &m.shards[shard]
	if outcome == OutcomeNotSent {
		s.reached--
		s.unsent++
	}
	if s.open > 0 || m.retry(now, shard, outcome) {
		return
	}
	m.failShard(shard)
}

// retry sends the shard to another endpoint and says whether it did.
func (m *Machine) retry(now time.Time, shard int, outcome Outcome) bool {
	s := &m.shards[shard]
	switch {
	case outcome.MayHaveRun() && !m.Params.Idempotent:
		return false
	case s.reached >= m.Params.AttemptsPerShard || s.unsent >= maxUnsentAttempts:
		return false
	case m.Params.Deadline.Sub(now) < minRetryTime:
		return false
	case s.reached > 0 && !m.AllowExtra(now, shard):
		return false
	default:
		return m.send(now, shard, ReasonRetry)
	}
}

// sendHedges sends a second attempt for the shards whose first has been open for too long.
func (m *Machine) sendHedges(now time.Time) {
	for i := range m.shards {
		s := &m.shards[i]
		if s.hedgeAt.IsZero() || now.Before(s.hedgeAt) {
			continue
		}
		s.hedgeAt = time.Time{}
		if s.open != 1 || s.reached >= m.Params.AttemptsPerShard {
			continue
		}
		m.hedgeShard(now, i)
	}
}

// hedgeShard spends an extra attempt only where there is an endpoint for it.
func (m *Machine) hedgeShard(now time.Time, shard int) {
	if _, ok := m.Choose(now, shard, m.shards[shard].tried, ReasonHedge); !ok {
		return
	}
	if m.AllowExtra(now, shard) {
		m.send(now, shard, ReasonHedge)
	}
}

// failShard marks a shard that can have no reply any more.
func (m *Machine) failShard(shard int) {
	m.shards[shard].failed = true
	m.shards[shard].hedgeAt = time.Time{}
	m.failed++
}

// updateVerdict decides whether the request is over.
func (m *Machine) updateVerdict(now time.Time) {
	if m.verdict != VerdictNone {
		return
	}
	m.pastPartialDeadline = m.pastPartialDeadline || (!m.Params.PartialDeadline.IsZero() && !now.Before(m.Params.PartialDeadline))
	enough := m.answered >= m.minShards()
	switch {
	case enough && (m.pastPartialDeadline || m.answered+m.failed == len(m.shards)):
		m.finish(VerdictAnswered)
	case len(m.shards)-m.failed < m.minShards():
		m.finish(VerdictFailed)
	case !now.Before(m.Params.Deadline):
		m.finish(VerdictTimedOut)
	}
}

// minShards gives how many shards an answer needs.
func (m *Machine) minShards() int {
	return MinShards(m.Params.MinShare, len(m.shards))
}

// MinShards gives how many of the shards a share of them is, rounded up.
func MinShards(share unit.Share, shards int) int {
	// The share is a decimal fraction; without the tolerance 0.89 of 100 could come out as 90.
	const tolerance = 1e-9
	return int(math.Ceil(float64(share)*float64(shards) - tolerance))
}

// finish ends the request and abandons what is open.
func (m *Machine) finish(v Verdict) {
	m.verdict = v
	for i := range m.shards {
		if m.shards[i].open > 0 {
			m.abandon(i)
		}
	}
}

// abandon gives up the open attempts of a shard.
func (m *Machine) abandon(shard int) {
	for id := range m.attempts {
		a := &m.attempts[id]
		if a.Shard == shard && a.Open {
			a.Open = false
			m.shards[shard].open--
			m.actions = append(m.actions, Action{Kind: ActionAbandon, Attempt: AttemptID(id)})
		}
	}
}
