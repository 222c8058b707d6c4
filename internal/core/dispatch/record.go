package dispatch

import (
	"log/slog"
	"strconv"
	"time"

	"basilspan/internal/core/metric"
	"basilspan/internal/core/outlook"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/gather"
)

const (
	// sampleOneIn is the share of the requests without any trouble that get a log line, as one in so many.
	sampleOneIn = 256
	// maxDetailedShards bounds the shards that a log line tells in detail.
	maxDetailedShards = 6
)

// Record is what is known of a request that has ended, for logs and metrics.
type Record struct {
	ID    unit.RequestID
	Route unit.RouteName
	Code  unit.Code
	// Status is that of the endpoint's reply which was passed on, 0 when none was.
	Status int
	Took   time.Duration
	// Remaining is how long the caller said that it waits, and Target the route's target.
	Remaining time.Duration
	Target    time.Duration
	// Table is the version of the routing table that decided, and TableAge how long it had been in force.
	Table    unit.TableVersion
	TableAge time.Duration
	// Endpoints is the registry's revision of the endpoints that were chosen from.
	Endpoints unit.Revision
	Verdict   gather.Verdict
	Shards    int
	Answered  int
	Hedges    int
	Retries   int
	// Denied counts the extra attempts that the allowance did not permit.
	Denied int
	// Details tell the shards that had more than one attempt or no reply.
	Details []Detail
}

// Detail is what became of one shard.
type Detail struct {
	Service  unit.ServiceName
	Attempts []AttemptDetail
}

// AttemptDetail is what became of one attempt.
type AttemptDetail struct {
	Endpoint unit.EndpointID
	Reason   gather.Reason
	Outcome  gather.Outcome
	// After is the time from the request's arrival to the attempt's start.
	After time.Duration
	Err   error
}

// baseRecord tells what is known of a request apart from its attempts.
func (j *job) baseRecord(a Answer, now time.Time) Record {
	r := Record{
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

// endRecord tells the end of the request.
func (f *fanout) endRecord(a Answer) Record {
	r := f.job.baseRecord(a, f.dispatcher.Now())
	r.Verdict = f.machine.Verdict()
	r.Shards, r.Answered = len(f.services), f.machine.Answered()
	r.Denied = f.denied
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

// details tells the first shards without a reply.
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

// attemptError gives why an attempt has no reply, nil when it has one or is under way.
func (f *fanout) attemptError(id int) error {
	if f.replies[id] == nil {
		return nil
	}
	return f.replies[id].Err
}

// succeededWithoutExtra says whether the request needed nothing beyond a first attempt at each shard.
func (r Record) succeededWithoutExtra() bool {
	return r.Code == unit.CodeWhole && r.Hedges+r.Retries+r.Denied == 0
}

// Report counts the end of a request and logs it: all that went otherwise than planned, and some of the rest.
func Report(log *slog.Logger, metrics *metric.Set, rand func() float64) func(Record) {
	return func(r Record) {
		metrics.RecordResult(unit.SearchName(r.Route), "", r.Code, r.Took)
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

// logAttrs gives the attributes of the request's line.
func (r Record) logAttrs() []any {
	attrs := []any{
		slog.String("id", string(r.ID)),
		slog.String("route", string(r.Route)),
		slog.Int("code", int(r.Code)),
		slog.Float64("took_ms", millis(r.Took)),
		slog.Float64("left_ms", millis(r.Remaining)),
	}
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
	if len(r.Details) > 0 {
		attrs = append(attrs, slog.Any("missing", r.detailLines()))
	}
	return attrs
}

// detailLines gives the details as texts, "service: endpoint reason@ms outcome, ...".
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

// millis gives a time in milliseconds, with microseconds as the last digits.
func millis(d time.Duration) float64 {
	return float64(d.Microseconds()) / float64(time.Millisecond/time.Microsecond)
}

// refusalRecord tells a request of which nothing was sent.
func refusalRecord(q *Request, v *outlook.View, route unit.RouteName, code unit.Code, now time.Time) Record {
	r := Record{ID: q.ID, Route: route, Code: code, Took: now.Sub(q.Arrived), Remaining: q.Remaining}
	if v.Table != nil {
		r.Table = v.Table.Version
	}
	return r
}
