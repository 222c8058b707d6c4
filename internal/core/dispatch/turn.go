package dispatch

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/retryafter"
	"basilspan/internal/policy/routing"
)

// turn is the place of one request in its gate, from its arrival to its end.
type turn struct {
	gate    *requestGate
	rank    unit.RankName
	started time.Time
	// held is how long the request waited for the decision. If that was long or it is refused, wait is the expected wait at
	// the endpoints then, and pressed for how long there has been too little room.
	wait, pressed, held time.Duration
}

// AdmissionWait returns the longest wait at the endpoints that requests are admitted by, and how old the word of it is.
func (d *Dispatcher) AdmissionWait() (wait, age time.Duration) {
	return d.admission.longest()
}

// admit waits until a request may run. If it may not, it returns the answer that refuses it, which has been recorded.
func (d *Dispatcher) admit(ctx context.Context, j *job) (t turn, refusal Answer, ok bool) {
	t, code := d.admission.enter(ctx, j, func() { d.askWaits(j) })
	if code == unit.CodeWhole {
		d.countAdmission("admitted", j)
		if t.pressed > 0 && t.held > delayLogTime {
			d.countAdmission("delayed", j)
			d.Log.Info("request delayed for lack of room", t.logAttrs(j)...)
		}
		j.postpone(t)
		return t, Answer{}, true
	}
	answer := Answer{Code: code}
	if ctx.Err() != nil {
		answer.Code = unit.CodeCallerGone
	} else {
		d.countAdmission("refused", j)
		d.Log.Info("request refused for lack of room", append(t.logAttrs(j), slog.Int("code", int(code)))...)
		answer.RetryAfter = retryafter.AfterOverload(t.wait, t.pressed, j.route.Urgency, d.Rand())
	}
	if code == unit.CodeStopping {
		answer.RetryAfter = d.retryAfter(code, j.route)
	}
	r := refusalRecord(j.request, j.view, j.route.Name, answer.Code, d.Now())
	r.stop = newStopTimes(d.schedule(), j.request.Arrived, j.params.Deadline)
	d.OnRequestEnd(r)
	return t, answer, false
}

// countAdmission counts what became of a request at its gate, by the urgency of its route.
func (d *Dispatcher) countAdmission(what string, j *job) {
	d.Metrics.Add("admission."+what+"."+strconv.Itoa(int(j.route.Urgency)), 1)
}

// logAttrs returns what was known when a request was decided on.
func (t turn) logAttrs(j *job) []any {
	return []any{
		slog.String("id", string(j.request.ID)),
		slog.String("route", string(j.route.Name)),
		slog.Int("urgency", int(j.route.Urgency)),
		slog.Int("shards", len(j.services)),
		slog.Float64("wait_ms", millis(t.wait)),
		slog.Float64("pressed_ms", millis(t.pressed)),
		slog.Float64("held_ms", millis(t.held)),
		slog.Float64("target_ms", millis(j.target.Sub(t.started))),
		slog.Float64("left_ms", millis(j.params.Deadline.Sub(t.started))),
	}
}

// postpone moves the times of a request that has waited for its admission: until when its shards may wait for room and, if
// it is past, the partial deadline. A portion that began after it would return nothing.
func (j *job) postpone(t turn) {
	if !j.params.RefuseBy.IsZero() {
		j.params.RefuseBy = j.params.RefuseBy.Add(t.held)
	}
	if j.params.PartialDeadline.IsZero() || t.started.Before(j.params.PartialDeadline) {
		return
	}
	usual := j.params.PartialDeadline.Sub(j.request.Arrived)
	j.params.PartialDeadline = t.started.Add(usual)
	if j.params.Deadline.Before(j.params.PartialDeadline) {
		j.params.PartialDeadline = j.params.Deadline
	}
}

// targetTime returns until when an answer has its full value to the caller, the zero time if the route has no target. The
// caller holds mu.
func (d *Dispatcher) targetTime(route *routing.Route, q *Request) time.Time {
	if route.TargetLatency <= 0 {
		return time.Time{}
	}
	return d.callerOf(route, q).FirstAttemptAt().Add(route.TargetLatency)
}
