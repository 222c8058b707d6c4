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

// planPortions divides the shards of a job among the VMs that share requests; one portion means that it is not divided.
func (d *Dispatcher) planPortions(j *job) []divide.Portion {
	if !j.route.Gathers() {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.portionTracker.Plan(j.request.Arrived, len(j.services), j.view.Candidates)
}

// dividedRequest is a request whose shards are served by several VMs. Its goroutine decides; each portion has one of its own.
type dividedRequest struct {
	*job
	dispatcher *Dispatcher
	collector  *divide.Collector
	ends       chan portionEnd
	// seals are by shard; empty ones are missing. sent counts the endpoints that each shard was sent to.
	seals []string
	sent  []int
	// pending marks the shards of the portions that are under way.
	pending    []bool
	records    [][]byte
	totals     Record
	mayHaveRun bool
}

// portionEnd is the end of a portion. here says that it was served by this VM.
type portionEnd struct {
	shards []int
	local  bool
	result portionResult
	err    error
}

// serveDivided answers a request by portions.
func (d *Dispatcher) serveDivided(ctx context.Context, j *job, plan []divide.Portion) Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	v := &dividedRequest{
		job:        j,
		dispatcher: d,
		collector: &divide.Collector{
			Shards: len(j.services), MinShare: j.params.MinShare, Started: j.request.Arrived, PartialDeadline: j.params.PartialDeadline, Deadline: j.params.Deadline,
		},
		seals:   make([]string, len(j.services)),
		sent:    make([]int, len(j.services)),
		pending: make([]bool, len(j.services)),
		// Each portion ends once, may be served anew here once, and so may all that is missing.
		ends: make(chan portionEnd, 2*len(plan)+1),
	}
	d.Metrics.Add("request.divided", 1)
	for _, p := range plan {
		v.startPortion(ctx, p)
	}
	v.awaitVerdict(ctx)
	a := v.answer()
	d.recordFinishLag(j, a)
	d.OnRequestEnd(v.endRecord(a))
	return a
}

// startPortion starts a portion.
func (v *dividedRequest) startPortion(ctx context.Context, p divide.Portion) {
	shards := make([]int, 0, p.End-p.First)
	for i := p.First; i < p.End; i++ {
		shards = append(shards, i)
	}
	if p.Local {
		v.startLocal(ctx, shards)
		return
	}
	v.setPending(shards, true)
	v.collector.AddPortion()
	v.dispatcher.recordPortionStart(p.VM.Node)
	go func() {
		result, err := v.dispatcher.callPortion(ctx, v.job, v.servicesOf(shards), p.VM.Address)
		v.dispatcher.recordPortionEnd(p.VM.Node, v.vmFailed(ctx, err) || v.lacksEndpoints(shards, result))
		v.ends <- portionEnd{shards: shards, result: portionResult{wirePortionResult: result, mayHaveRun: true}, err: err}
	}()
}

// vmFailed says whether another VM has failed to answer. One that is not waited for any longer has, if its answer was due.
func (v *dividedRequest) vmFailed(ctx context.Context, err error) bool {
	return err != nil && (ctx.Err() == nil || !v.dispatcher.Now().Before(v.params.PartialDeadline))
}

// lacksEndpoints says whether another VM has not sent a shard because it knows none of the endpoints that are known here.
func (v *dividedRequest) lacksEndpoints(shards []int, result wirePortionResult) bool {
	for i, n := range result.Sent {
		if n == 0 && result.Seals[i] == "" && len(v.view.Endpoints[v.services[shards[i]]]) > 0 {
			return true
		}
	}
	return false
}

// startLocal starts a portion at this VM, which gives what has come by the cut. Its shards may have been sent to before; one
// that was sent to as many endpoints as the route allows is left out.
func (v *dividedRequest) startLocal(ctx context.Context, shards []int) {
	params := v.params
	params.MinShare = 0
	v.startLocalPortion(ctx, shards, params)
}

// startMissing starts all missing shards at this VM. Without them there is no answer, so they are waited for beyond the
// cut until there are enough.
func (v *dividedRequest) startMissing(ctx context.Context) {
	params := v.params
	missing := v.missingShards()
	params.MinShare = unit.Share(v.collector.Needed()) / unit.Share(len(missing))
	v.startLocalPortion(ctx, missing, params)
}

// startLocalPortion starts a portion at this VM under those terms.
func (v *dividedRequest) startLocalPortion(ctx context.Context, shards []int, params gather.Params) {
	var eligible []int
	var sentBefore []bool
	for _, s := range shards {
		if v.sent[s] < v.route.Attempts && !v.pending[s] {
			eligible = append(eligible, s)
			sentBefore = append(sentBefore, v.sent[s] > 0)
			params.AttemptsPerShard = min(params.AttemptsPerShard, v.route.Attempts-v.sent[s])
		}
	}
	if len(eligible) == 0 {
		return
	}
	// As many shards are needed, of fewer.
	params.MinShare *= unit.Share(len(shards)) / unit.Share(len(eligible))
	v.setPending(eligible, true)
	v.collector.AddPortion()
	go func() {
		p := v.dispatcher.serveShards(ctx, v.job, v.servicesOf(eligible), params, sentBefore)
		v.ends <- portionEnd{shards: eligible, local: true, result: p}
	}()
}

// setPending notes whether shards are of a portion that is under way.
func (v *dividedRequest) setPending(shards []int, pending bool) {
	for _, s := range shards {
		v.pending[s] = pending
	}
}

// servicesOf gives the services of shards.
func (v *dividedRequest) servicesOf(shards []int) []unit.ServiceName {
	all := make([]unit.ServiceName, 0, len(shards))
	for _, s := range shards {
		all = append(all, v.services[s])
	}
	return all
}

// awaitVerdict leads the request to its verdict.
func (v *dividedRequest) awaitVerdict(ctx context.Context) {
	timer := time.NewTimer(v.untilWake())
	defer timer.Stop()
	for v.collector.Verdict(v.dispatcher.Now()) == gather.VerdictNone {
		select {
		case e := <-v.ends:
			v.handleEnd(ctx, e)
		case <-timer.C:
			timer.Reset(v.untilWake())
		case <-ctx.Done():
			v.collector.Cancel()
		}
		if v.collector.AllowRetryMissing(v.dispatcher.Now()) {
			v.dispatcher.Metrics.Add("portion.missing", 1)
			v.startMissing(ctx)
		}
	}
}

func (v *dividedRequest) untilWake() time.Duration {
	now := v.dispatcher.Now()
	return max(0, v.collector.NextCheck(now).Sub(now))
}

// handleEnd takes the end of a portion. One that was lost is asked for anew here while that can still help.
func (v *dividedRequest) handleEnd(ctx context.Context, e portionEnd) {
	v.setPending(e.shards, false)
	if e.err != nil {
		v.handleLost(ctx, e)
		return
	}
	n := 0
	var unsent []int
	for i, shard := range e.shards {
		v.sent[shard] += e.result.Sent[i]
		if seal := e.result.Seals[i]; seal != "" {
			v.seals[shard] = seal
			n++
		} else if v.sent[shard] == 0 {
			unsent = append(unsent, shard)
		}
	}
	v.collector.RecordPortion(n)
	if n > 0 {
		v.records = append(v.records, e.result.Records)
	}
	v.mayHaveRun = v.mayHaveRun || e.result.mayHaveRun
	v.totals.Hedges += e.result.Hedges
	v.totals.Retries += e.result.Retries
	v.totals.Denied += e.result.Denied
	v.totals.Details = append(v.totals.Details, e.result.details...)
	if len(unsent) > 0 && !e.local && v.collector.ShouldRetry(v.dispatcher.Now()) {
		v.dispatcher.Metrics.Add("portion.unsent", 1)
		v.startLocal(ctx, unsent)
	}
}

// handleLost takes a portion whose VM has not answered.
func (v *dividedRequest) handleLost(ctx context.Context, e portionEnd) {
	now := v.dispatcher.Now()
	v.dispatcher.Metrics.Add("portion.lost", 1)
	v.collector.RecordPortion(0)
	sent := v.assumedSent(now, e.err)
	v.mayHaveRun = v.mayHaveRun || sent > 0
	for _, s := range e.shards {
		v.sent[s] += sent
	}
	if v.collector.ShouldRetry(now) {
		v.startLocal(ctx, e.shards)
	}
}

// assumedSent gives how many endpoints a VM that has not answered may have sent each shard to.
func (v *dividedRequest) assumedSent(now time.Time, err error) int {
	switch {
	case errors.Is(err, peer.ErrNotSent):
		return 0
	case now.Sub(v.request.Arrived) < v.params.HedgeAfter/2:
		// The other VM's hedges may be due earlier than this one's, but not by that much.
		return 1
	default:
		return v.route.Attempts
	}
}

// missingShards gives the shards without a reply.
func (v *dividedRequest) missingShards() []int {
	var all []int
	for shard, seal := range v.seals {
		if seal == "" {
			all = append(all, shard)
		}
	}
	return all
}

// answer puts the answer together.
func (v *dividedRequest) answer() Answer {
	switch v.collector.Verdict(v.dispatcher.Now()) {
	case gather.VerdictAnswered:
		return v.mergedAnswer()
	case gather.VerdictGone:
		return Answer{Code: unit.CodeCallerGone}
	case gather.VerdictTimedOut:
		return Answer{Code: unit.CodeDeadline}
	}
	if !v.mayHaveRun {
		return Answer{Code: unit.CodeNoEndpoint, RetryAfter: v.dispatcher.retryAfter(unit.CodeNoEndpoint, v.route)}
	}
	return Answer{Code: unit.CodeBelowMinimum}
}

func (v *dividedRequest) mergedAnswer() Answer {
	a := Answer{Code: unit.CodeWhole, Merged: true, Missing: v.collector.Missing()}
	for _, seal := range v.seals {
		if seal != "" {
			a.Seals = append(a.Seals, seal)
		}
	}
	if a.Missing > 0 {
		a.Code = unit.CodePartial
	}
	a.Body = merge.TopRecords(v.route.TopK, v.records)
	return a
}

// endRecord tells the end of the request.
func (v *dividedRequest) endRecord(a Answer) Record {
	r := v.job.baseRecord(a, v.dispatcher.Now())
	r.Verdict = v.collector.Verdict(v.dispatcher.Now())
	r.Shards, r.Answered = len(v.services), len(v.services)-v.collector.Missing()
	r.Hedges, r.Retries, r.Denied = v.totals.Hedges, v.totals.Retries, v.totals.Denied
	r.Details = v.totals.Details
	if len(r.Details) > maxDetailedShards {
		r.Details = r.Details[:maxDetailedShards]
	}
	return r
}

func (d *Dispatcher) recordPortionStart(node unit.NodeID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.portionTracker.RecordSent(node)
}

func (d *Dispatcher) recordPortionEnd(node unit.NodeID, failed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.portionTracker.RecordEnd(d.Now(), node, failed)
}
