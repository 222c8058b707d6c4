package dispatch

import (
	"net/http"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/link/leaf"
	"basilspan/internal/policy/directory"
	"basilspan/internal/policy/gather"
	"basilspan/internal/policy/routing"
)

// outcomeOf classifies the result of a call. A reply that is encoded or has no seal cannot be used. If replies
// are gathered, only a success can be merged. For a single request, a status that any other endpoint would return as
// well (see isDefinitive) also counts as a reply to forward.
func outcomeOf(e leaf.Result, gathered bool) gather.Outcome {
	switch {
	case e.Kind == leaf.KindNotSent:
		return gather.OutcomeNotSent
	case e.Kind == leaf.KindLost:
		return gather.OutcomeLost
	case e.Reply.Misdirected:
		return gather.OutcomeMisdirected
	case e.Reply.NotExecuted:
		return gather.OutcomeRejected
	case e.Reply.Encoded || e.Reply.Seal == "":
		return gather.OutcomeLost
	case isSuccess(e.Reply.Status):
		return gather.OutcomeWhole
	case !gathered && isDefinitive(e.Reply.Status):
		return gather.OutcomeWhole
	default:
		return gather.OutcomeFailed
	}
}

// isSuccess reports whether an HTTP status is one of success (2xx).
func isSuccess(status int) bool {
	return status >= 200 && status < 300
}

// isDefinitive reports whether any other endpoint would return the same status, because it depends on the request
// alone.
func isDefinitive(status int) bool {
	return status >= 300 && status < 500 && !signalsNotRun(status)
}

// signalsNotRun reports whether a status tells the caller that its request has not run.
func signalsNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// stageEndpoint is the name of the latency histogram of single attempts.
const stageEndpoint unit.RankName = "endpoint"

// recordResult updates the state of an endpoint, its load report included, from the result of a call to it. It is
// called for every call, also one that the request no longer waits for. sent is when the call was sent.
func (d *Dispatcher) recordResult(route *routing.Route, to directory.Endpoint, sent time.Time, e leaf.Result) {
	id := to.ID
	now := d.Now()
	outcome := outcomeOf(e, route.Gathers())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordLoad(now, id, e.Reply)
	d.recordBackoff(now, to, e.Reply)
	if e.Reply.Leaving && !e.Reply.Misdirected {
		d.recordLeaving(now, d.departureOf(to))
	}
	switch outcome {
	case gather.OutcomeWhole:
		d.Metrics.RecordStage(unit.SearchName(route.Name), stageEndpoint, now.Sub(sent))
		d.endpointTracker.RecordReply(now, id, route.Name, sent)
	case gather.OutcomeMisdirected:
		d.endpointTracker.RecordMisdirected(now, id, to.Position, sent)
		d.Metrics.Add("endpoint.misdirected", 1)
		d.Log.Info("endpoint gone, another has its address", "endpoint", id, "address", to.Address,
			"era", to.Era, "revision", to.Revision)
	case gather.OutcomeRejected:
		d.endpointTracker.RecordRejection(now, id, route.Name, sent)
	case gather.OutcomeNotSent:
		if leaf.IsLocalFailure(e.Err) {
			d.endpointTracker.RecordAbandoned(now, id, route.Name, sent)
			return
		}
		d.recordFailure(now, id, sent, e)
	default:
		d.recordFailure(now, id, sent, e)
	}
}

// recordLoad records the load report of an endpoint's reply, unless another endpoint replied. The caller holds mu.
func (d *Dispatcher) recordLoad(now time.Time, id unit.EndpointID, r leaf.Reply) {
	if r.Misdirected {
		return
	}
	if r.LoadInvalid {
		d.Metrics.Add("endpoint.load.invalid", 1)
		if d.endpointTracker.RecordInvalidLoad(id) {
			d.Log.Warn("malformed load report ignored", "endpoint", id)
		}
	}
	if r.Load != nil && d.endpointTracker.RecordLoad(now, id, *r.Load) {
		d.Metrics.Add("endpoint.slow", 1)
		d.Log.Info("endpoint reports that it is slow", "endpoint", id, "slowness", r.Load.Slowness,
			"running", r.Load.Running, "waiting", r.Load.Waiting, "slots", r.Load.Slots)
	}
}

// recordBackoff keeps requests away from an endpoint that has turned one away, for as long as its reply asks. The caller
// holds mu.
func (d *Dispatcher) recordBackoff(now time.Time, to directory.Endpoint, r leaf.Reply) {
	if r.RetryAfterInvalid {
		d.Metrics.Add("endpoint.retryafter.invalid", 1)
		d.Log.Warn("malformed Retry-After ignored", "endpoint", to.ID)
	}
	if r.RetryAfter <= 0 {
		return
	}
	d.Metrics.Add("endpoint.backoff", 1)
	if until, begun := d.endpointTracker.RecordBackoff(now, to, r.RetryAfter); begun {
		d.Log.Info("endpoint turned requests away", "endpoint", to.ID, "retry_after_ms", r.RetryAfter.Milliseconds(),
			"for_ms", until.Sub(now).Milliseconds())
	}
}

// mayUse reports whether a call may be sent to an endpoint at now: not if it has left, its data centre was evacuated or its
// address has been taken over since it was chosen, or if it is cold and was chosen too long ago.
func (d *Dispatcher) mayUse(now, chosen time.Time, e directory.Endpoint) bool {
	v := d.Views.Load()
	if !v.HasEndpoint(e) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.endpointTracker.MayUse(now, e) && d.mayWriteCold(now, chosen, v, e)
}

// recordFailure demotes an endpoint after a failed call, and logs it. The caller holds mu.
func (d *Dispatcher) recordFailure(now time.Time, id unit.EndpointID, sent time.Time, e leaf.Result) {
	failures, demotion := d.endpointTracker.RecordFailure(now, id, sent)
	d.Metrics.Add("endpoint.failed", 1)
	d.Log.Info("endpoint set aside", "endpoint", id, "failures", failures, "for_ms", demotion.Milliseconds(),
		"attempt_ms", now.Sub(sent).Milliseconds(), "status", e.Reply.Status, "error", e.Err)
}
