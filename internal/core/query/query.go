// Package query runs queries: it admits them, drives the fan-out's decisions and carries out what they ask for. Any
// front end can use it.
package query

import (
	"context"
	"sync"
	"time"

	"basilspan/internal/core/metric"
	"basilspan/internal/core/unit"
	"basilspan/internal/core/view"
	"basilspan/internal/link/endpoint"
	"basilspan/internal/policy/catalog"
	"basilspan/internal/policy/fanout"
)

// MaxTimeout is the longest time that a caller may give a query.
const MaxTimeout = 60 * time.Second

// Runner runs queries. The function fields are its seams.
type Runner struct {
	Now     func() time.Time
	Views   *view.Store
	Metrics *metric.Set
	// Send makes one attempt and waits for its end.
	Send func(ctx context.Context, call endpoint.Call) fanout.Reply

	gates gates
	wg    sync.WaitGroup
}

// Run answers one query; it returns by the query's deadline.
func (r *Runner) Run(ctx context.Context, q fanout.Query) fanout.Answer {
	r.wg.Add(1)
	defer r.wg.Done()
	began := r.Now()
	answer := r.run(ctx, q, began)
	r.Metrics.Ended(q.Search, q.Rank, answer.Code, r.Now().Sub(began))
	return answer
}

// Close waits for the queries under way.
func (r *Runner) Close() error {
	r.wg.Wait()
	return nil
}

func (r *Runner) run(ctx context.Context, q fanout.Query, now time.Time) fanout.Answer {
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	v, fresh := r.Views.Fresh(ctx, r.Now)
	if !fresh {
		return fanout.Refuse(q.ID, unit.CodeStaleView, unit.CodeStaleView.String())
	}
	code, message := check(v, q, r.Now())
	if code != 0 {
		return fanout.Refuse(q.ID, code, message)
	}
	search := v.Catalog.Searches[q.Search]
	q.Once = q.Once || search.Once
	if code := r.gates.enter(ctx, now, v, q); code != unit.CodeWhole {
		return fanout.Refuse(q.ID, code, code.String())
	}
	defer func() { r.gates.leave(r.Now(), q.Search) }()
	plan, ok := fanout.Choose(search, func(e catalog.Endpoint) fanout.Condition {
		return fanout.Condition{Leaving: v.Leaving[e.ID]}
	})
	if !ok {
		return fanout.Refuse(q.ID, unit.CodeNoEndpoint, "the search has no snapshot")
	}
	return r.drive(ctx, fanout.New(q, plan), q, search)
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

// drive carries out the machine's actions until the answer is final.
func (r *Runner) drive(ctx context.Context, m *fanout.Machine, q fanout.Query, search *catalog.Search) fanout.Answer {
	d := newDriver(r, q, search)
	defer d.close()
	d.do(ctx, m.Start(r.Now()))
	timer := time.NewTimer(time.Until(m.Wake()))
	defer timer.Stop()
	for !m.Done() {
		select {
		case reply := <-d.replies:
			d.do(ctx, m.Reply(r.Now(), reply))
		case <-timer.C:
			d.do(ctx, m.Tick(r.Now()))
		case <-ctx.Done():
			d.do(ctx, m.Stop(stopCode(ctx)))
		}
		timer.Reset(time.Until(m.Wake()))
	}
	return m.Answer()
}

// stopCode gives the reason for a query that ends with its context.
func stopCode(ctx context.Context) unit.Code {
	if ctx.Err() == context.DeadlineExceeded {
		return unit.CodeDeadline
	}
	return unit.CodeCancelled
}
