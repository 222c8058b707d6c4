package fanout

import (
	"time"

	"basilspan/internal/core/unit"
)

// shardState is what is known of one shard of a query under way.
type shardState struct {
	shard Shard
	// next is the index of the replica that a further attempt would go to.
	next int
	open int
	// answered holds the part once the first whole reply has come.
	answered *Part
	// worst is the code that the answer gives when the shard stays missing.
	worst unit.Code
}

// attemptState is one attempt under way or ended.
type attemptState struct {
	attempt Attempt
	shard   *shardState
	open    bool
}

// Machine decides one query from its start to its answer. It is not safe for use by several goroutines.
type Machine struct {
	query    Query
	plan     Plan
	shards   []*shardState
	attempts []*attemptState
	// pending counts the shards with an attempt under way and no part yet.
	pending int
	extra   Extra
	done    bool
}

// New makes the machine of one query; nothing is asked before Start.
func New(query Query, plan Plan) *Machine {
	m := &Machine{query: query, plan: plan}
	for _, shard := range plan.Shards {
		m.shards = append(m.shards, &shardState{shard: shard, worst: unit.CodeNoEndpoint})
	}
	return m
}

// Start gives the first attempt of each shard; a query whose deadline has passed gets none.
func (m *Machine) Start(now time.Time) []Action {
	var actions []Action
	if !now.Before(m.query.Deadline) {
		for _, s := range m.shards {
			s.worst = unit.CodeTooLate
		}
		m.done = true
		return nil
	}
	for _, s := range m.shards {
		if len(s.shard.Replicas) == 0 {
			continue
		}
		m.pending++
		actions = m.send(actions, s)
	}
	m.done = m.pending == 0
	return actions
}

// Reply takes the end of an attempt. A reply to an attempt that has ended already is counted and dropped.
func (m *Machine) Reply(now time.Time, reply Reply) []Action {
	a := m.find(reply.Attempt)
	if a == nil || !a.open || m.done {
		m.extra.Late++
		return nil
	}
	m.close(a)
	s := a.shard
	if s.answered != nil {
		m.extra.Late++
		return nil
	}
	code := m.check(a, reply)
	if code == unit.CodeWhole {
		s.answered = &Part{Shard: s.shard.ID, Endpoint: a.attempt.Endpoint, Body: reply.Body}
		m.pending--
		actions := m.cancel(s)
		m.done = m.pending == 0
		return actions
	}
	return m.failed(now, s, code)
}

// Tick takes the passing of time; at the deadline the open attempts are cancelled and the query is done.
func (m *Machine) Tick(now time.Time) []Action {
	if m.done || now.Before(m.query.Deadline) {
		return nil
	}
	return m.Stop(unit.CodeDeadline)
}

// Stop ends the query at once; shards with an open attempt are given code as the reason that they are missing.
func (m *Machine) Stop(code unit.Code) []Action {
	var actions []Action
	for _, s := range m.shards {
		if s.answered == nil && s.open > 0 {
			s.worst = worse(s.worst, code)
		}
		actions = append(actions, m.cancel(s)...)
	}
	m.done = true
	return actions
}

// Wake gives the time at which Tick has something to do.
func (m *Machine) Wake() time.Time {
	return m.query.Deadline
}

// Done says whether the answer is final.
func (m *Machine) Done() bool {
	return m.done
}

// Answer gives the answer as far as it has come.
func (m *Machine) Answer() Answer {
	answer := Answer{ID: m.query.ID, Snapshot: m.plan.Snapshot, Asked: len(m.shards), Extra: m.extra}
	worst := unit.CodeNoEndpoint
	for _, s := range m.shards {
		if s.answered != nil {
			answer.Parts = append(answer.Parts, *s.answered)
			continue
		}
		answer.Missing = append(answer.Missing, Missing{Shard: s.shard.ID, Code: s.worst})
		worst = worse(worst, s.worst)
	}
	answer.Code = m.code(answer, worst)
	return answer
}

// code gives the result code of an answer; worst is the worst reason among its missing shards.
func (m *Machine) code(answer Answer, worst unit.Code) unit.Code {
	switch {
	case len(answer.Parts) == 0 && len(m.shards) > 0:
		return worst
	case len(answer.Missing) > 0 || len(m.shards) == 0:
		return unit.CodePartial
	default:
		return unit.CodeWhole
	}
}

// check gives CodeWhole only for a reply of the attempt's own shard and snapshot.
func (m *Machine) check(a *attemptState, reply Reply) unit.Code {
	if reply.Code != unit.CodeWhole {
		return reply.Code
	}
	if reply.Shard != a.attempt.Shard || reply.Snapshot != a.attempt.Snapshot {
		return unit.CodeBadReply
	}
	return unit.CodeWhole
}

// failed decides what follows an attempt without a usable reply.
func (m *Machine) failed(now time.Time, s *shardState, code unit.Code) []Action {
	s.worst = worse(s.worst, code)
	mayRepeat := !m.query.Once || code.Outcome() == unit.OutcomeNotRun
	if mayRepeat && s.next < len(s.shard.Replicas) && now.Before(m.query.Deadline) {
		m.extra.Retries++
		return m.send(nil, s)
	}
	if s.open == 0 {
		m.pending--
	}
	m.done = m.pending == 0
	return nil
}

// send opens an attempt at the shard's next replica, which the caller knows to exist.
func (m *Machine) send(actions []Action, s *shardState) []Action {
	attempt := Attempt{
		ID:       unit.AttemptID(len(m.attempts) + 1),
		Shard:    s.shard.ID,
		Endpoint: s.shard.Replicas[s.next],
		Snapshot: m.plan.Snapshot,
	}
	s.next++
	s.open++
	m.extra.Attempts++
	m.attempts = append(m.attempts, &attemptState{attempt: attempt, shard: s, open: true})
	return append(actions, Action{Kind: ActionSend, Attempt: attempt})
}

// cancel gives up the open attempts of a shard.
func (m *Machine) cancel(s *shardState) []Action {
	var actions []Action
	for _, a := range m.attempts {
		if a.shard == s && a.open {
			m.close(a)
			actions = append(actions, Action{Kind: ActionCancel, Attempt: a.attempt})
		}
	}
	return actions
}

func (m *Machine) close(a *attemptState) {
	a.open = false
	a.shard.open--
}

func (m *Machine) find(id unit.AttemptID) *attemptState {
	if id < 1 || int(id) > len(m.attempts) {
		return nil
	}
	return m.attempts[id-1]
}

// worse gives the code that says more: an unknown outcome outweighs "not run", and a later code an earlier one.
func worse(a, b unit.Code) unit.Code {
	if b.Outcome() >= a.Outcome() {
		return b
	}
	return a
}
