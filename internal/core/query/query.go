// Package query runs queries: it admits them and carries out the decisions of the fan-out machine. It is independent of
// the front end and its message encoding.
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

// MaxTimeout is the longest timeout that a caller may set for a query.
const MaxTimeout = 60 * time.Second

// Runner runs queries. The function fields are its seams.
type Runner struct {
	Now     func() time.Time
	Views   *view.Store
	Metrics *metric.Set
	// Centre is this VM's data centre. Its endpoints are preferred to equally fast ones elsewhere.
	Centre unit.CentreName
	// Send makes one attempt and returns its reply.
	Send func(ctx context.Context, call endpoint.Call) fanout.Reply
	// RecordQuery starts the trace log of a query's decisions; nil records nothing.
	RecordQuery func(now time.Time, q fanout.Query, plan fanout.Plan) *trace.FanoutLog

	gates  gates
	health endpointHealth
	// wg counts the queries and attempts in flight.
	wg sync.WaitGroup
}

// RecordGates sets the function that starts the trace log of each search's admission gate. It must be called before the
// first query.
func (r *Runner) RecordGates(record func(now time.Time, search unit.SearchName) *trace.GateLog) {
	r.gates.newLog = record
}

// Run runs one query and returns its answer by the query's deadline. The answer to a refused query has the reason as
// its code.
func (r *Runner) Run(ctx context.Context, q fanout.Query) fanout.Answer {
	r.wg.Add(1)
	defer r.wg.Done()
	began := r.Now()
	answer := r.run(ctx, q)
	r.Metrics.RecordResult(q.Search, q.Rank, answer.Code, r.Now().Sub(began))
	return answer
}

// Close waits for the queries and attempts in flight.
func (r *Runner) Close() error {
	r.wg.Wait()
	return nil
}

// run checks, admits and drives one query, and returns the answer or the reason for a refusal.
func (r *Runner) run(ctx context.Context, q fanout.Query) fanout.Answer {
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	v, fresh := r.Views.AwaitFresh(ctx, r.Now)
	if !fresh {
		return fanout.Refusal(q.ID, unit.CodeStaleView, unit.CodeStaleView.String())
	}
	code, message := checkQuery(v, q, r.Now())
	if code != 0 {
		return fanout.Refusal(q.ID, code, message)
	}
	search := v.Catalog.Searches[q.Search]
	q.Once = q.Once || search.Once
	if code := r.gates.admit(ctx, r.Now(), v, q); code != unit.CodeWhole {
		return fanout.Refusal(q.ID, code, code.String())
	}
	defer r.release(q, r.Now())
	plan, ok := r.health.plan(r.Now(), v, q, r.Centre)
	if !ok {
		return fanout.Refusal(q.ID, unit.CodeNoEndpoint, "the search has no snapshot")
	}
	answer := r.drive(ctx, fanout.New(q, plan), newDriver(r, q, search, plan.MaxAttempts()), r.newLog(q, plan))
	r.health.refund(q.Search, plan.Options.Allowance-answer.Extra.Spent)
	r.countAttempts(answer)
	return answer
}

// checkQuery returns why a query is refused, as the code and message for its caller, or code 0 if it may run.
func checkQuery(v *view.View, q fanout.Query, now time.Time) (code unit.Code, message string) {
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

// newLog starts the trace log of a query's decisions. It returns nil if nothing is recorded; the methods of a nil log
// do nothing.
func (r *Runner) newLog(q fanout.Query, plan fanout.Plan) *trace.FanoutLog {
	if r.RecordQuery == nil {
		return nil
	}
	return r.RecordQuery(r.Now(), q, plan)
}

// drive passes replies, timer ticks and the end of ctx to the fan-out machine and carries out its actions, until the
// answer is final.
func (r *Runner) drive(
	ctx context.Context, m *fanout.Machine, d *driver, log *trace.FanoutLog,
) fanout.Answer {
	defer d.close()
	now := r.Now()
	d.execute(ctx, log.RecordStart(now, m.Start(now)))
	timer := time.NewTimer(m.NextTick().Sub(r.Now()))
	defer timer.Stop()
	ended := ctx.Done()
	for !m.Done() {
		select {
		case reply := <-d.replies:
			now = r.Now()
			d.execute(ctx, log.RecordReply(now, reply, m.HandleReply(now, reply)))
		case <-timer.C:
			now = r.Now()
			d.execute(ctx, log.RecordTick(now, m.Tick(now)))
		case <-ended:
			ended = nil
			code := stopCode(ctx)
			d.execute(ctx, log.RecordStop(r.Now(), code, m.Stop(code)))
		}
		timer.Reset(m.NextTick().Sub(r.Now()))
	}
	return log.RecordAnswer(r.Now(), m.Answer())
}

// makeAttempt makes one attempt, records its result in the health of the endpoint and returns the reply.
func (r *Runner) makeAttempt(ctx context.Context, call endpoint.Call) fanout.Reply {
	began := r.Now()
	reply := r.Send(ctx, call)
	r.health.recordEnded(r.Now(), began, call, reply.Code)
	return reply
}

// countAttempts adds the attempts of a query, by reason, to the metrics.
func (r *Runner) countAttempts(answer fanout.Answer) {
	r.Metrics.Add("fanout.attempts", int64(answer.Extra.Attempts))
	r.Metrics.Add("fanout.hedges", int64(answer.Extra.Hedges))
	r.Metrics.Add("fanout.retries", int64(answer.Extra.Retries))
	r.Metrics.Add("fanout.restarts", int64(answer.Extra.Restarts))
	r.Metrics.Add("fanout.late", int64(answer.Extra.Late))
}

// stopCode returns the code of a query whose ctx has ended, by its deadline or by cancellation.
func stopCode(ctx context.Context) unit.Code {
	if ctx.Err() == context.DeadlineExceeded {
		return unit.CodeDeadline
	}
	return unit.CodeCancelled
}
