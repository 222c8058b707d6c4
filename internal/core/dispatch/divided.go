package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/unit"
	"basilspan/internal/link/peer"
	"basilspan/internal/policy/divide"
	"basilspan/internal/policy/gather"
	"basilspan/internal/policy/merge"
)

// plan divides the shards of a job among the VMs that share requests; one portion means that it is not divided.
func (d *Dispatcher) plan(j *job) []divide.Portion {
	if !j.route.Gathers() {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mates.Plan(j.request.Arrived, len(j.services), j.view.Mates)
}

// divided is a request whose shards are served by several VMs. Its goroutine decides; each portion has one of its own.
type divided struct {
	*job
	dispatcher *Dispatcher
	union      *divide.Collector
	ends       chan portionEnd
	// seals are by shard; empty ones are missing. sent counts the endpoints that each shard was sent to.
	seals []string
	sent  []int
	// pending marks the shards of the portions that are under way.
	pending []bool
	records [][]byte
	record  Record
	ran     bool
}

// portionEnd is the end of a portion. here says that it was served by this VM.
type portionEnd struct {
	shards []int
	here   bool
	part   part
	err    error
}

// serveDivided answers a request by portions.
func (d *Dispatcher) serveDivided(ctx context.Context, j *job, plan []divide.Portion) Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	v := &divided{
		job:        j,
		dispatcher: d,
		union: &divide.Collector{
			Shards: len(j.services), MinShare: j.terms.MinShare, Started: j.request.Arrived, PartialDeadline: j.terms.PartialDeadline, Deadline: j.terms.Deadline,
		},
		seals:   make([]string, len(j.services)),
		sent:    make([]int, len(j.services)),
		pending: make([]bool, len(j.services)),
		// Each portion ends once, may be served anew here once, and so may all that is missing.
		ends: make(chan portionEnd, 2*len(plan)+1),
	}
	d.Metrics.Add("request.divided", 1)
	for _, p := range plan {
		v.begin(ctx, p)
	}
	v.wait(ctx)
	a := v.answer()
	d.lagged(j, a)
	d.Ended(v.report(a))
	return a
}

// begin starts a portion.
func (v *divided) begin(ctx context.Context, p divide.Portion) {
	shards := make([]int, 0, p.End-p.First)
	for i := p.First; i < p.End; i++ {
		shards = append(shards, i)
	}
	if p.Local {
		v.beginHere(ctx, shards)
		return
	}
	v.mark(shards, true)
	v.union.AddPortion()
	v.dispatcher.mateSent(p.VM.Node)
	go func() {
		result, err := v.dispatcher.ask(ctx, v.job, v.pick(shards), p.VM.Address)
		v.dispatcher.mateEnded(p.VM.Node, v.letDown(ctx, err) || v.isBehind(shards, result))
		v.ends <- portionEnd{shards: shards, part: part{wirePart: result, ran: true}, err: err}
	}()
}

// letDown says whether another VM has failed to answer. One that is not waited for any longer has, if its answer was due.
func (v *divided) letDown(ctx context.Context, err error) bool {
	return err != nil && (ctx.Err() == nil || !v.dispatcher.Now().Before(v.terms.PartialDeadline))
}

// isBehind says whether another VM has not sent a shard because it knows none of the endpoints that are known here.
func (v *divided) isBehind(shards []int, result wirePart) bool {
	for i, n := range result.Sent {
		if n == 0 && result.Seals[i] == "" && len(v.view.Endpoints[v.services[shards[i]]]) > 0 {
			return true
		}
	}
	return false
}

// beginHere starts a portion at this VM, which gives what has come by the cut. Its shards may have been sent to before; one
// that was sent to as many endpoints as the route allows is left out.
func (v *divided) beginHere(ctx context.Context, shards []int) {
	terms := v.terms
	terms.MinShare = 0
	v.serveHere(ctx, shards, terms)
}

// beginMissing starts all missing shards at this VM. Without them there is no answer, so they are waited for beyond the
// cut until there are enough.
func (v *divided) beginMissing(ctx context.Context) {
	terms := v.terms
	missing := v.missing()
	terms.MinShare = unit.Share(v.union.Needed()) / unit.Share(len(missing))
	v.serveHere(ctx, missing, terms)
}

// serveHere starts a portion at this VM under those terms.
func (v *divided) serveHere(ctx context.Context, shards []int, terms gather.Params) {
	var open []int
	var again []bool
	for _, s := range shards {
		if v.sent[s] < v.route.Attempts && !v.pending[s] {
			open = append(open, s)
			again = append(again, v.sent[s] > 0)
			terms.AttemptsPerShard = min(terms.AttemptsPerShard, v.route.Attempts-v.sent[s])
		}
	}
	if len(open) == 0 {
		return
	}
	// As many shards are needed, of fewer.
	terms.MinShare *= unit.Share(len(shards)) / unit.Share(len(open))
	v.mark(open, true)
	v.union.AddPortion()
	go func() {
		p := v.dispatcher.serveServices(ctx, v.job, v.pick(open), terms, again)
		v.ends <- portionEnd{shards: open, here: true, part: p}
	}()
}

// mark notes whether shards are of a portion that is under way.
func (v *divided) mark(shards []int, pending bool) {
	for _, s := range shards {
		v.pending[s] = pending
	}
}

// pick gives the services of shards.
func (v *divided) pick(shards []int) []unit.ServiceName {
	all := make([]unit.ServiceName, 0, len(shards))
	for _, s := range shards {
		all = append(all, v.services[s])
	}
	return all
}

// wait leads the request to its verdict.
func (v *divided) wait(ctx context.Context) {
	timer := time.NewTimer(v.untilWake())
	defer timer.Stop()
	for v.union.Verdict(v.dispatcher.Now()) == gather.VerdictNone {
		select {
		case e := <-v.ends:
			v.take(ctx, e)
		case <-timer.C:
			timer.Reset(v.untilWake())
		case <-ctx.Done():
			v.union.Cancel()
		}
		if v.union.AllowRetryMissing(v.dispatcher.Now()) {
			v.dispatcher.Metrics.Add("portion.missing", 1)
			v.beginMissing(ctx)
		}
	}
}

func (v *divided) untilWake() time.Duration {
	now := v.dispatcher.Now()
	return max(0, v.union.NextCheck(now).Sub(now))
}

// take takes the end of a portion. One that was lost is asked for anew here while that can still help.
func (v *divided) take(ctx context.Context, e portionEnd) {
	v.mark(e.shards, false)
	if e.err != nil {
		v.lost(ctx, e)
		return
	}
	n := 0
	var unsent []int
	for i, shard := range e.shards {
		v.sent[shard] += e.part.Sent[i]
		if seal := e.part.Seals[i]; seal != "" {
			v.seals[shard] = seal
			n++
		} else if v.sent[shard] == 0 {
			unsent = append(unsent, shard)
		}
	}
	v.union.RecordPortion(n)
	if n > 0 {
		v.records = append(v.records, e.part.Records)
	}
	v.ran = v.ran || e.part.ran
	v.record.Hedges += e.part.Hedges
	v.record.Retries += e.part.Retries
	v.record.Denied += e.part.Denied
	v.record.Details = append(v.record.Details, e.part.details...)
	if len(unsent) > 0 && !e.here && v.union.ShouldRetry(v.dispatcher.Now()) {
		v.dispatcher.Metrics.Add("portion.unsent", 1)
		v.beginHere(ctx, unsent)
	}
}

// lost takes a portion whose VM has not answered.
func (v *divided) lost(ctx context.Context, e portionEnd) {
	now := v.dispatcher.Now()
	v.dispatcher.Metrics.Add("portion.lost", 1)
	v.union.RecordPortion(0)
	sent := v.sentLost(now, e.err)
	v.ran = v.ran || sent > 0
	for _, s := range e.shards {
		v.sent[s] += sent
	}
	if v.union.ShouldRetry(now) {
		v.beginHere(ctx, e.shards)
	}
}

// sentLost gives how many endpoints a VM that has not answered may have sent each shard to.
func (v *divided) sentLost(now time.Time, err error) int {
	switch {
	case errors.Is(err, peer.ErrNotSent):
		return 0
	case now.Sub(v.request.Arrived) < v.terms.HedgeAfter/2:
		// The other VM's hedges may be due earlier than this one's, but not by that much.
		return 1
	default:
		return v.route.Attempts
	}
}

// missing gives the shards without a reply.
func (v *divided) missing() []int {
	var all []int
	for shard, seal := range v.seals {
		if seal == "" {
			all = append(all, shard)
		}
	}
	return all
}

// answer puts the answer together.
func (v *divided) answer() Answer {
	switch v.union.Verdict(v.dispatcher.Now()) {
	case gather.VerdictAnswered:
		return v.merged()
	case gather.VerdictGone:
		return Answer{Code: unit.CodeCallerGone}
	case gather.VerdictTimedOut:
		return Answer{Code: unit.CodeDeadline}
	}
	if !v.ran {
		return Answer{Code: unit.CodeNoEndpoint, ComeBack: v.dispatcher.comeBack(unit.CodeNoEndpoint, v.route)}
	}
	return Answer{Code: unit.CodeBelowMinimum}
}

func (v *divided) merged() Answer {
	a := Answer{Code: unit.CodeWhole, Gathered: true, Missing: v.union.Missing()}
	for _, seal := range v.seals {
		if seal != "" {
			a.Seals = append(a.Seals, seal)
		}
	}
	if a.Missing > 0 {
		a.Code = unit.CodePartial
	}
	a.Body = merge.TopRecords(v.route.Top, v.records)
	return a
}

// report tells the end of the request.
func (v *divided) report(a Answer) Record {
	r := v.job.record(a, v.dispatcher.Now())
	r.Verdict = v.union.Verdict(v.dispatcher.Now())
	r.Shards, r.Answered = len(v.services), len(v.services)-v.union.Missing()
	r.Hedges, r.Retries, r.Denied = v.record.Hedges, v.record.Retries, v.record.Denied
	r.Details = v.record.Details
	if len(r.Details) > maxDetails {
		r.Details = r.Details[:maxDetails]
	}
	return r
}

func (d *Dispatcher) mateSent(node unit.NodeID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mates.RecordSent(node)
}

func (d *Dispatcher) mateEnded(node unit.NodeID, failed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mates.RecordEnd(d.Now(), node, failed)
}
