package dispatch

import (
	"log/slog"
	"strconv"
	"time"

	"basilspan/internal/core/discovery"
	"basilspan/internal/core/metric"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/gather"
)

const (
	// sampleOneIn is the sampling of log lines for requests that were answered without extra attempts: one in so
	// many.
	sampleOneIn = 256
	// maxDetailedShards is the number of shards that a log line describes in detail at most.
	maxDetailedShards = 6
)

// Record describes a finished request, for logs and metrics.
type Record struct {
	ID    unit.RequestID
	Route unit.RouteName
	Code  unit.Code
	// Status is that of the endpoint's reply if one was forwarded, otherwise 0.
	Status int
	Took   time.Duration
	// Remaining is how long the caller waits from the request's arrival, 0 if it did not say, and Target is the
	// route's target latency.
	Remaining time.Duration
	Target    time.Duration
	// Table is the version of the routing table that was used, and TableAge is how long it had been in force.
	Table    unit.TableVersion
	TableAge time.Duration
	// Endpoints is the registry's revision of the known endpoints.
	Endpoints unit.Revision
	Verdict   gather.Verdict
	Shards    int
	Answered  int
	Hedges    int
	Retries   int
	// Denied counts the extra attempts that the allowance did not permit.
	Denied int
	// Waits is how many shards have waited for room at their endpoints, and Waited the longest such time. Cause is why the
	// last shard that failed has no reply, 0 if none has or it is not known.
	Waits  int
	Waited time.Duration
	Cause  gather.Cause
	// Details describes the shards without a reply, at most maxDetailedShards of them.
	Details []Detail

	// stop is nil unless this VM was stopping when the request ended.
	stop *stopTimes
}

// Detail describes the attempts at one shard.
type Detail struct {
	Service  unit.ServiceName
	Attempts []AttemptDetail
}

// AttemptDetail describes one attempt.
type AttemptDetail struct {
	Endpoint unit.EndpointID
	Reason   gather.Reason
	Outcome  gather.Outcome
	// After is the time from the request's arrival to the start of the attempt.
	After time.Duration
	Err   error
}

// baseRecord returns the record of a request without its shards and attempts.
func (d *Dispatcher) baseRecord(j *job, a Answer) Record {
	now := d.Now()
	r := Record{
		stop:      newStopTimes(d.schedule(), j.request.Arrived, j.params.Deadline),
		ID:        j.request.ID,
		Route:     j.route.Name,
		Code:      a.Code,
		Status:    a.Status,
		Took:      now.Sub(j.request.Arrived),
		Remaining: j.request.Remaining,
		Target:    j.route.TargetLatency,
		Endpoints: j.view.EndpointsRevision,
	}
	if j.view.Table != nil {
		r.Table = j.view.Table.Version
		r.TableAge = now.Sub(j.view.TableSince)
	}
	return r
}

// endRecord returns the record of the request with its attempts.
func (f *fanout) endRecord(a Answer) Record {
	r := f.dispatcher.baseRecord(f.job, a)
	r.Verdict = f.machine.Verdict()
	r.Shards, r.Answered = len(f.services), f.machine.Answered()
	r.Denied = f.denied
	r.Waits, r.Waited = f.machine.Waits(f.dispatcher.Now())
	r.Cause = f.machine.Cause()
	for _, attempt := range f.machine.Attempts() {
		switch attempt.Reason {
		case gather.ReasonHedge:
			r.Hedges++
		case gather.ReasonRetry:
			r.Retries++
		}
	}
	if r.Code != unit.CodeWhole {
		r.Details = f.details()
	}
	return r
}

// details describes the attempts at the shards without a reply, for the first maxDetailedShards of them.
func (f *fanout) details() []Detail {
	var all []Detail
	for shard, service := range f.services {
		if _, ok := f.machine.Reply(shard); ok || len(all) >= maxDetailedShards {
			continue
		}
		d := Detail{Service: service}
		for id, a := range f.machine.Attempts() {
			if a.Shard == shard {
				d.Attempts = append(d.Attempts, AttemptDetail{
					Endpoint: f.endpoint(a).ID,
					Reason:   a.Reason,
					Outcome:  a.Outcome,
					After:    a.Sent.Sub(f.request.Arrived),
					Err:      f.attemptError(id),
				})
			}
		}
		all = append(all, d)
	}
	return all
}

// attemptError returns why an attempt has no reply, nil if it has one, is in progress or was abandoned.
func (f *fanout) attemptError(id int) error {
	if f.replies[id] == nil {
		return nil
	}
	return f.replies[id].Err
}

// succeededWithoutExtra reports whether the request was answered completely and needed only a first attempt at each
// shard.
func (r Record) succeededWithoutExtra() bool {
	return r.Code == unit.CodeWhole && r.Hedges+r.Retries+r.Denied == 0
}

// Report returns a function that counts a finished request and logs it. It logs every request that failed, is
// incomplete or needed extra attempts, and a sample of the others.
func Report(log *slog.Logger, metrics *metric.Set, rand func() float64) func(Record) {
	return func(r Record) {
		metrics.RecordResult(unit.SearchName(r.Route), "", r.Code, r.Took)
		r.countWaits(metrics)
		switch {
		case r.Code.Outcome() != unit.OutcomeAnswered:
			log.Warn("request not answered", r.logAttrs()...)
		case r.Status != 0 && !isSuccess(r.Status):
			log.Info("request answered with an endpoint's failure", r.logAttrs()...)
		case r.Code == unit.CodePartial:
			log.Info("request answered in part", r.logAttrs()...)
		case !r.succeededWithoutExtra():
			log.Info("request answered with extra attempts", r.logAttrs()...)
		case rand()*sampleOneIn < 1:
			log.Info("request answered", r.logAttrs()...)
		}
	}
}

// stageRoom is the name of the latency histogram of the longest wait for room in each request that has waited.
const stageRoom unit.RankName = "room"

// counterGivenUp is the counter of requests that were given up, with the cause.
const counterGivenUp = "givenup."

// countWaits counts the shards that have waited for room, and a request that was given up by its cause.
func (r Record) countWaits(metrics *metric.Set) {
	if r.Waits > 0 {
		metrics.Add("room.waits", int64(r.Waits))
		metrics.RecordStage(unit.SearchName(r.Route), stageRoom, r.Waited)
	}
	if r.Verdict == gather.VerdictFailed && r.Cause != 0 {
		metrics.Add(counterGivenUp+r.Cause.String(), 1)
	}
}

// logAttrs returns the attributes of the request's log line.
func (r Record) logAttrs() []any {
	attrs := []any{
		slog.String("id", string(r.ID)),
		slog.String("route", string(r.Route)),
		slog.Int("code", int(r.Code)),
		slog.Float64("took_ms", millis(r.Took)),
		slog.Float64("left_ms", millis(r.Remaining)),
	}
	attrs = append(attrs, r.stop.logAttrs()...)
	if r.Status != 0 {
		attrs = append(attrs, slog.Int("status", r.Status))
	}
	if r.Shards == 0 {
		return attrs
	}
	attrs = append(attrs,
		slog.Float64("target_ms", millis(r.Target)),
		slog.String("verdict", r.Verdict.String()),
		slog.Uint64("table", uint64(r.Table)),
		slog.Float64("table_age_s", r.TableAge.Seconds()),
		slog.Uint64("endpoints", uint64(r.Endpoints)),
		slog.Int("shards", r.Shards),
		slog.Int("answered", r.Answered),
		slog.Int("hedges", r.Hedges),
		slog.Int("retries", r.Retries),
		slog.Int("denied", r.Denied),
	)
	if r.Waits > 0 {
		attrs = append(attrs, slog.Int("waits", r.Waits), slog.Float64("waited_ms", millis(r.Waited)))
	}
	if len(r.Details) > 0 {
		attrs = append(attrs, slog.Any("missing", r.detailLines()))
	}
	return attrs
}

// detailLines returns the details as texts of the form "service: endpoint reason@ms outcome; ...", with the error in
// parentheses.
func (r Record) detailLines() []string {
	all := make([]string, 0, len(r.Details))
	for _, d := range r.Details {
		text := string(d.Service) + ":"
		for _, a := range d.Attempts {
			text += " " + string(a.Endpoint) + " " + a.Reason.String() + "@" +
				strconv.FormatFloat(millis(a.After), 'f', 1, 64) + "ms " + a.Outcome.String()
			if a.Err != nil {
				text += " (" + a.Err.Error() + ")"
			}
			text += ";"
		}
		all = append(all, text)
	}
	return all
}

// millis converts a duration to milliseconds with a resolution of one microsecond.
func millis(d time.Duration) float64 {
	return float64(d.Microseconds()) / float64(time.Millisecond/time.Microsecond)
}

// refusalRecord returns the record of a request that is rejected before anything is sent.
func refusalRecord(q *Request, v *discovery.View, route unit.RouteName, code unit.Code, now time.Time) Record {
	r := Record{ID: q.ID, Route: route, Code: code, Took: now.Sub(q.Arrived), Remaining: q.Remaining}
	if v.Table != nil {
		r.Table = v.Table.Version
	}
	return r
}
