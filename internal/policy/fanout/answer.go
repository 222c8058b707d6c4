package fanout

import "basilspan/internal/core/unit"

// Answer returns the current answer, which is final once Done returns true. It is taken from the round with the highest
// coverage; of rounds with equal coverage the latest is used.
func (m *Machine) Answer() Answer {
	best := m.rounds[0]
	for _, r := range m.rounds[1:] {
		if r.coverage() >= best.coverage() {
			best = r
		}
	}
	answer := Answer{ID: m.query.ID, Snapshot: best.snapshot, Asked: len(best.shards), Extra: m.extra}
	for _, s := range best.shards {
		if s.part != nil {
			answer.Parts = append(answer.Parts, *s.part)
			continue
		}
		answer.Missing = append(answer.Missing, Missing{Shard: s.shard.ID, Code: m.missingCode(s.shard.ID)})
	}
	answer.Code = m.resultCode(best)
	if answer.Code.Outcome() != unit.OutcomeAnswered {
		answer.Parts = nil
	}
	return answer
}

// resultCode returns the result code of an answer that is taken from r: CodeWhole if all shards have a part, the worst
// code of all rounds if none of its shards has, CodeBelowMinimum if too few have, and otherwise CodePartial.
func (m *Machine) resultCode(r *round) unit.Code {
	coverage := r.coverage()
	switch {
	case coverage == 1:
		return unit.CodeWhole
	case coverage == 0 && (len(r.shards) > 0 || m.options.Minimum > 0):
		return m.worstCode()
	case coverage < m.options.Minimum:
		return unit.CodeBelowMinimum
	default:
		return unit.CodePartial
	}
}

// worstCode returns the worst code, in the order of worseCode, of all shards in all rounds.
func (m *Machine) worstCode() unit.Code {
	code := unit.CodeNoEndpoint
	for _, r := range m.rounds {
		for _, s := range r.shards {
			code = worseCode(code, s.missingCode())
		}
	}
	return code
}

// missingCode returns the reason why the answer lacks the shard: the worst code of the shard over all rounds, since an
// earlier round may have run it.
func (m *Machine) missingCode(id unit.ShardID) unit.Code {
	code := unit.CodeNoEndpoint
	for _, r := range m.rounds {
		for _, s := range r.shards {
			if s.shard.ID == id {
				code = worseCode(code, s.missingCode())
			}
		}
	}
	return code
}
