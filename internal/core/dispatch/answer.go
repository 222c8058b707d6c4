package dispatch

import (
	"net/http"

	"basilspan/internal/core/unit"
	"basilspan/internal/link/leaf"
	"basilspan/internal/policy/gather"
	"basilspan/internal/policy/merge"
)

// answer puts the answer together once the machine has its verdict.
func (f *fanout) answer() Answer {
	switch {
	case f.machine.Verdict() == gather.VerdictGone:
		return Answer{Code: unit.CodeCallerGone}
	case f.machine.Verdict() == gather.VerdictAnswered && f.route.Gathers():
		return f.merged()
	case f.machine.Verdict() == gather.VerdictAnswered:
		id, _ := f.machine.Reply(0)
		return passOn(unit.CodeWhole, f.replies[id].Reply)
	case !f.machine.MayHaveRun():
		code := f.refusal()
		return Answer{Code: code, ComeBack: f.dispatcher.comeBack(code, f.route)}
	case f.machine.Verdict() == gather.VerdictTimedOut:
		return Answer{Code: unit.CodeDeadline}
	default:
		return f.failure()
	}
}

// merged draws the answer from the replies that have come.
func (f *fanout) merged() Answer {
	a := Answer{Code: unit.CodeWhole, Gathered: true, Missing: len(f.services) - f.machine.Answered()}
	parts := make([][]byte, 0, f.machine.Answered())
	for shard := range f.services {
		id, ok := f.machine.Reply(shard)
		if !ok {
			continue
		}
		reply := f.replies[id].Reply
		parts = append(parts, reply.Body)
		a.Seals = append(a.Seals, reply.Seal)
	}
	if a.Missing > 0 {
		a.Code = unit.CodePartial
	}
	a.Body = merge.TopRecords(f.route.Top, parts)
	return a
}

func passOn(code unit.Code, r leaf.Reply) Answer {
	return Answer{Code: code, Status: r.Status, Fields: r.Fields, Body: r.Body}
}

// refusal gives the reason of a request that no endpoint has run.
func (f *fanout) refusal() unit.Code {
	if f.machine.Verdict() == gather.VerdictTimedOut {
		return unit.CodeTooLate
	}
	code := unit.CodeNoEndpoint
	for shard := range f.services {
		switch f.machine.LastOutcome(shard) {
		case gather.OutcomeRejected:
			return unit.CodeRefused
		case gather.OutcomeNotSent, gather.OutcomeMisdirected:
			code = unit.CodeNotConnected
		}
	}
	return code
}

// failure gives the answer to a request that may have run and has no usable reply. The endpoint's own report of a
// failure is passed on, unless its status would wrongly say that the request has not run.
func (f *fanout) failure() Answer {
	if f.route.Gathers() {
		return Answer{Code: unit.CodeBelowMinimum}
	}
	code := unit.CodeConnection
	for id, a := range f.machine.Attempts() {
		if a.Outcome != gather.OutcomeFailed {
			continue
		}
		code = unit.CodeEndpointError
		reply := f.replies[id].Reply
		if reply.Status >= http.StatusInternalServerError && !isPromise(reply.Status) {
			return passOn(code, reply)
		}
	}
	return Answer{Code: code}
}
