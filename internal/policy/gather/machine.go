package gather

import (
	"math"
	"time"

	"basilspan/internal/core/unit"
)

const (
	// unsentTries is how many attempts that could not be sent a shard may have; none of them reached an endpoint.
	unsentTries = 3
	// retryLeast is the time before the end from which nothing more is sent, since no reply can come in time.
	retryLeast = 2 * time.Millisecond
)

// Machine decides one request from its start to its verdict. It is not safe for use by several goroutines.
type Machine struct {
	Terms Terms
	// Choose gives the endpoint of a shard for an attempt, or ok false when there is none. tried are the endpoints
	// that the shard was sent to before.
	Choose func(now time.Time, shard int, tried []int, reason Reason) (endpoint int, ok bool)
	// Spend says whether the shard's service may be sent an extra attempt, and counts it.
	Spend func(now time.Time, shard int) bool

	attempts []Attempt
	shards   []shardState
	actions  []Action
	// answered and dead count the shards with a reply and those that can have none.
	answered int
	dead     int
	verdict  Verdict
	// ran is set once an attempt may have run.
	ran bool
	// late is set when Cut has passed.
	late bool
}

// shardState is what is known of one shard.
type shardState struct {
	// reply is the attempt with the whole reply, or -1.
	reply AttemptID
	open  int
	// arrived counts the attempts that may have reached an endpoint, and unsent those that did not leave.
	arrived int
	unsent  int
	tried   []int
	// hedgeAt is when the shard is hedged; zero means never.
	hedgeAt time.Time
	dead    bool
	// last is the outcome of the attempt that ended last.
	last Outcome
}

// Start sends the first attempt of every shard, unless so many shards have no endpoint that there can be no answer.
func (m *Machine) Start(now time.Time) []Action {
	m.actions = m.actions[:0]
	m.shards = make([]shardState, m.Terms.Shards)
	m.attempts = make([]Attempt, 0, m.Terms.Shards+m.Terms.Shards/4+1)
	for i := range m.shards {
		m.shards[i].reply = -1
		m.send(now, i, ReasonFirst)
	}
	if len(m.attempts) < m.least() {
		m.withdraw()
		return nil
	}
	for i := range m.shards {
		if m.shards[i].open == 0 {
			m.kill(i)
		}
	}
	m.settle(now)
	return m.actions
}

// withdraw ends a request of which nothing has been sent yet.
func (m *Machine) withdraw() {
	m.attempts = nil
	m.actions = m.actions[:0]
	for i := range m.shards {
		m.shards[i].open = 0
	}
	m.verdict = VerdictFailed
}

// Ended takes the end of an attempt. The end of one that was abandoned changes nothing.
func (m *Machine) Ended(now time.Time, id AttemptID, outcome Outcome) []Action {
	m.actions = m.actions[:0]
	a := &m.attempts[id]
	if !a.Open || m.verdict != VerdictNone {
		return nil
	}
	a.Open = false
	a.Outcome = outcome
	s := &m.shards[a.Shard]
	s.open--
	s.last = outcome
	m.ran = m.ran || outcome.MayHaveRun()
	switch {
	case outcome == OutcomeWhole:
		m.answer(a.Shard, id)
	default:
		m.failed(now, a.Shard, outcome)
	}
	m.settle(now)
	return m.actions
}

// Tick takes the passing of time.
func (m *Machine) Tick(now time.Time) []Action {
	m.actions = m.actions[:0]
	if m.verdict != VerdictNone {
		return nil
	}
	m.hedge(now)
	m.settle(now)
	return m.actions
}

// Leave takes that the caller has left.
func (m *Machine) Leave() []Action {
	m.actions = m.actions[:0]
	if m.verdict == VerdictNone {
		m.finish(VerdictGone)
	}
	return m.actions
}

// Wake gives the time at which Tick has something to do.
func (m *Machine) Wake() time.Time {
	wake := m.Terms.End
	if !m.late && !m.Terms.Cut.IsZero() && m.Terms.Cut.Before(wake) {
		wake = m.Terms.Cut
	}
	for i := range m.shards {
		s := &m.shards[i]
		if !s.hedgeAt.IsZero() && s.hedgeAt.Before(wake) {
			wake = s.hedgeAt
		}
	}
	return wake
}

// Verdict gives how the request ended, VerdictNone while it goes on.
func (m *Machine) Verdict() Verdict {
	return m.verdict
}

// MayHaveRun says whether an endpoint may have run or may yet run any part of the request.
func (m *Machine) MayHaveRun() bool {
	if m.ran {
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

// Last gives the outcome of the attempt of the shard that ended last, 0 when none has ended.
func (m *Machine) Last(shard int) Outcome {
	return m.shards[shard].last
}

// Arrived gives how many endpoints the shard may have arrived at.
func (m *Machine) Arrived(shard int) int {
	return m.shards[shard].arrived
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
	s.arrived++
	s.tried = append(s.tried, endpoint)
	s.hedgeAt = m.hedgeTime(now, s)
	m.actions = append(m.actions, Action{Kind: ActionSend, Attempt: id})
	return true
}

// hedgeTime gives when the shard is to be hedged after an attempt was sent at now.
func (m *Machine) hedgeTime(now time.Time, s *shardState) time.Time {
	if m.Terms.HedgeAfter <= 0 || !m.Terms.Repeatable || s.arrived >= m.Terms.Attempts {
		return time.Time{}
	}
	return now.Add(m.Terms.HedgeAfter)
}

// answer takes the whole reply of a shard; its other attempts are not waited for.
func (m *Machine) answer(shard int, id AttemptID) {
	s := &m.shards[shard]
	s.reply = id
	s.hedgeAt = time.Time{}
	m.answered++
	if s.open > 0 {
		m.abandon(shard)
	}
}

// failed takes an attempt without a whole reply, and sends another where that is allowed.
func (m *Machine) failed(now time.Time, shard int, outcome Outcome) {
	s := &m.shards[shard]
	if outcome == OutcomeNotSent {
		s.arrived--
		s.unsent++
	}
	if s.open > 0 || m.retry(now, shard, outcome) {
		return
	}
	m.kill(shard)
}

// retry sends the shard to another endpoint and says whether it did.
func (m *Machine) retry(now time.Time, shard int, outcome Outcome) bool {
	s := &m.shards[shard]
	switch {
	case outcome.MayHaveRun() && !m.Terms.Repeatable:
		return false
	case s.arrived >= m.Terms.Attempts || s.unsent >= unsentTries:
		return false
	case m.Terms.End.Sub(now) < retryLeast:
		return false
	case s.arrived > 0 && !m.Spend(now, shard):
		return false
	default:
		return m.send(now, shard, ReasonRetry)
	}
}

// hedge sends a second attempt for the shards whose first has been open for too long.
func (m *Machine) hedge(now time.Time) {
	for i := range m.shards {
		s := &m.shards[i]
		if s.hedgeAt.IsZero() || now.Before(s.hedgeAt) {
			continue
		}
		s.hedgeAt = time.Time{}
		if s.open != 1 || s.arrived >= m.Terms.Attempts {
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
	if m.Spend(now, shard) {
		m.send(now, shard, ReasonHedge)
	}
}

// kill marks a shard that can have no reply any more.
func (m *Machine) kill(shard int) {
	m.shards[shard].dead = true
	m.shards[shard].hedgeAt = time.Time{}
	m.dead++
}

// settle decides whether the request is over.
func (m *Machine) settle(now time.Time) {
	if m.verdict != VerdictNone {
		return
	}
	m.late = m.late || (!m.Terms.Cut.IsZero() && !now.Before(m.Terms.Cut))
	enough := m.answered >= m.least()
	switch {
	case enough && (m.late || m.answered+m.dead == len(m.shards)):
		m.finish(VerdictAnswered)
	case len(m.shards)-m.dead < m.least():
		m.finish(VerdictFailed)
	case !now.Before(m.Terms.End):
		m.finish(VerdictTimedOut)
	}
}

// least gives how many shards an answer needs.
func (m *Machine) least() int {
	return LeastShards(m.Terms.Least, len(m.shards))
}

// LeastShards gives how many of the shards a share of them is, rounded up.
func LeastShards(share unit.Share, shards int) int {
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
