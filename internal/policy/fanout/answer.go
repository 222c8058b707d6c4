package fanout

import "basilspan/internal/core/unit"

// Answer gives the answer as far as it has come, from the round with the greatest coverage; of rounds with the same
// coverage the latest counts.
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

// resultCode gives the result code of an answer that is drawn from r.
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

// worstCode gives the code that says most among the missing shards of all rounds.
func (m *Machine) worstCode() unit.Code {
	code := unit.CodeNoEndpoint
	for _, r := range m.rounds {
		for _, s := range r.shards {
			code = worseCode(code, s.missingCode())
		}
	}
	return code
}

// missingCode gives the code that says most of one shard over all rounds, since an earlier round may have run it.
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
