// Package query runs queries: it admits them, drives the fan-out's decisions and carries out what they ask for. Any
// front end can use it.
package query

import (
	"context"
	"sync"
	"time"

	"basilspan/internal/core/metric"
	"basilspan/internal/core/trace"
	"basilspan/internal/core/unit"
	"basilspan/internal/core/view"
	"basilspan/internal/link/endpoint"
	"basilspan/internal/policy/fanout"
)

// MaxTimeout is the longest time that a caller may give a query.
const MaxTimeout = 60 * time.Second

// Runner runs queries. The function fields are its seams.
type Runner struct {
	Now     func() time.Time
	Views   *view.Store
	Metrics *metric.Set
	// Centre is this VM's data centre; endpoints there are preferred to those that are as fast.
	Centre unit.CentreName
	// Send makes one attempt and waits for its end.
	Send func(ctx context.Context, call endpoint.Call) fanout.Reply
	// RecordQuery begins the log of a query's decisions; nil records nothing.
	RecordQuery func(now time.Time, q fanout.Query, plan fanout.Plan) *trace.FanoutLog

	gates gates
	fleet fleet
	// wg counts the queries and attempts under way.
	wg sync.WaitGroup
}

// RecordGates has record begin a log for each search's admission; it must be called before the first query.
func (r *Runner) RecordGates(record func(now time.Time, search unit.SearchName) *trace.GateLog) {
	r.gates.record = record
}

// Run answers one query; it returns by the query's deadline.
func (r *Runner) Run(ctx context.Context, q fanout.Query) fanout.Answer {
	r.wg.Add(1)
	defer r.wg.Done()
	began := r.Now()
	answer := r.run(ctx, q)
	r.Metrics.RecordResult(q.Search, q.Rank, answer.Code, r.Now().Sub(began))
	return answer
}

// Close waits for the queries and attempts under way.
func (r *Runner) Close() error {
	r.wg.Wait()
	return nil
}

func (r *Runner) run(ctx context.Context, q fanout.Query) fanout.Answer {
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	v, fresh := r.Views.AwaitFresh(ctx, r.Now)
	if !fresh {
		return fanout.Refusal(q.ID, unit.CodeStaleView, unit.CodeStaleView.String())
	}
	code, message := check(v, q, r.Now())
	if code != 0 {
		return fanout.Refusal(q.ID, code, message)
	}
	search := v.Catalog.Searches[q.Search]
	q.Once = q.Once || search.Once
	if code := r.gates.enter(ctx, r.Now(), v, q); code != unit.CodeWhole {
		return fanout.Refusal(q.ID, code, code.String())
	}
	defer r.leave(q, r.Now())
	plan, ok := r.fleet.plan(r.Now(), v, q, r.Centre)
	if !ok {
		return fanout.Refusal(q.ID, unit.CodeNoEndpoint, "the search has no snapshot")
	}
	answer := r.drive(ctx, fanout.New(q, plan), newDriver(r, q, search, plan.MaxAttempts()), r.record(q, plan))
	r.fleet.refund(q.Search, plan.Options.Allowance-answer.Extra.Spent)
	r.count(answer)
	return answer
}

// check gives the reason to refuse a query, or 0.
func check(v *view.View, q fanout.Query, now time.Time) (code unit.Code, message string) {
	if v.Catalog == nil {
		return unit.CodeNoConfig, unit.CodeNoConfig.String()
	}
	if _, ok := v.Catalog.Searches[q.Search]; !ok {
		return unit.CodeUnknownSearch, "search: " + unit.CodeUnknownSearch.String()
	}
	if _, ok := v.Catalog.Ranks[q.Rank]; !ok {
		return unit.CodeUnknownRank, "rank: " + unit.CodeUnknownRank.String()
	}
	left := q.Deadline.Sub(now)
	if left <= 0 || left > MaxTimeout {
		return unit.CodeBadDeadline, "timeout: " + unit.CodeBadDeadline.String()
	}
	return 0, ""
}

// record begins the log of a query's decisions; a nil log takes every call and does nothing.
func (r *Runner) record(q fanout.Query, plan fanout.Plan) *trace.FanoutLog {
	if r.RecordQuery == nil {
		return nil
	}
	return r.RecordQuery(r.Now(), q, plan)
}

// drive carries out the machine's actions until the answer is final.
func (r *Runner) drive(
	ctx context.Context, m *fanout.Machine, d *driver, log *trace.FanoutLog,
) fanout.Answer {
	defer d.close()
	now := r.Now()
	d.do(ctx, log.Start(now, m.Start(now)))
	timer := time.NewTimer(m.NextTick().Sub(r.Now()))
	defer timer.Stop()
	ended := ctx.Done()
	for !m.Done() {
		select {
		case reply := <-d.replies:
			now = r.Now()
			d.do(ctx, log.Reply(now, reply, m.HandleReply(now, reply)))
		case <-timer.C:
			now = r.Now()
			d.do(ctx, log.Tick(now, m.Tick(now)))
		case <-ended:
			ended = nil
			code := stopCode(ctx)
			d.do(ctx, log.Stop(r.Now(), code, m.Stop(code)))
		}
		timer.Reset(m.NextTick().Sub(r.Now()))
	}
	return log.Answer(r.Now(), m.Answer())
}

// attempt makes one attempt, waits for its end and has the fleet learn from it.
func (r *Runner) attempt(ctx context.Context, call endpoint.Call) fanout.Reply {
	began := r.Now()
	reply := r.Send(ctx, call)
	r.fleet.ended(r.Now(), began, call, reply.Code)
	return reply
}

// count adds up what a query's attempts cost.
func (r *Runner) count(answer fanout.Answer) {
	r.Metrics.Add("fanout.attempts", int64(answer.Extra.Attempts))
	r.Metrics.Add("fanout.hedges", int64(answer.Extra.Hedges))
	r.Metrics.Add("fanout.retries", int64(answer.Extra.Retries))
	r.Metrics.Add("fanout.restarts", int64(answer.Extra.Restarts))
	r.Metrics.Add("fanout.late", int64(answer.Extra.Late))
}

// stopCode gives the reason for a query that ends with its context.
func stopCode(ctx context.Context) unit.Code {
	if ctx.Err() == context.DeadlineExceeded {
		return unit.CodeDeadline
	}
	return unit.CodeCancelled
}
