package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/unit"
	"basilspan/internal/link/peer"
	"basilspan/internal/policy/divide"
	"basilspan/internal/policy/gather"
	"basilspan/internal/policy/merge"
)

// planPortions divides the shards of a job among VMs. It returns nil if the request is not divided.
func (d *Dispatcher) planPortions(j *job) []divide.Portion {
	groups := j.view.Groups(j.route.Name)
	if len(groups) == 0 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.portionTracker.Plan(j.request.Arrived, groups)
}

// assignPortion returns the portion of a group, or of some of its shards, that has to be served again.
func (d *Dispatcher) assignPortion(group divide.Group) divide.Portion {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.portionTracker.Assign(d.Now(), group)
}

// dividedRequest is a request whose shards are served by several VMs. One goroutine makes all decisions; each portion
// runs on a goroutine of its own.
type dividedRequest struct {
	*job
	dispatcher *Dispatcher
	collector  *divide.Collector
	ends       *endQueue[portionEnd]
	// seals holds the seal of each shard's reply, which is the endpoint's signature, empty while there is none. sent
	// counts the endpoints that each shard was sent to, and ran those of them that may have run it.
	seals []string
	sent  []int
	ran   []int
	// pending marks the shards of portions in progress, also of held ones.
	pending []bool
	// held are the portions that were returned incomplete and can be resumed.
	held    []servedPortion
	records [][]byte
	totals  Record
}

// servedPortion is a portion and the VM that serves it. local is set if it is this one. last is the latest result of a
// portion that was returned incomplete.
type servedPortion struct {
	shards []int
	vm     divide.Candidate
	local  bool
	last   wirePortionResult
}

// portionEnd reports that a portion has ended or was returned incomplete. vms are the other VMs of its group that have not
// been asked yet.
type portionEnd struct {
	servedPortion
	vms    []divide.Candidate
	result portionResult
	err    error
}

// serveDivided serves a request in portions and merges their results. When it returns, portions still in progress are
// cancelled.
func (d *Dispatcher) serveDivided(ctx context.Context, j *job, plan []divide.Portion) Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	v := &dividedRequest{
		job:        j,
		dispatcher: d,
		collector: &divide.Collector{
			Shards: len(j.services), MinShare: j.params.MinShare, Started: d.Now(),
			PartialDeadline: j.params.PartialDeadline, Deadline: j.params.Deadline,
		},
		seals:   make([]string, len(j.services)),
		sent:    make([]int, len(j.services)),
		ran:     make([]int, len(j.services)),
		pending: make([]bool, len(j.services)),
		ends:    newEndQueue[portionEnd](len(plan)),
	}
	d.Metrics.Add("request.divided", 1)
	if ctx.Err() != nil {
		v.collector.Cancel()
		plan = nil
	}
	for _, p := range plan {
		v.startPortion(ctx, p)
	}
	v.awaitVerdict(ctx)
	a := v.answer()
	d.recordFinishLag(j, a)
	d.OnRequestEnd(v.endRecord(a))
	return a
}

// startPortion starts a portion on this VM or calls the VM that the plan assigns it to.
func (v *dividedRequest) startPortion(ctx context.Context, p divide.Portion) {
	if p.Local {
		v.startLocal(ctx, p.Shards)
		return
	}
	v.setPending(p.Shards, true)
	v.collector.AddPortion()
	services := v.servicesOf(p.Shards)
	extra := v.dispatcher.startRemote(v.job, p.VM.Node, services)
	go func() {
		result, err := v.dispatcher.callPortion(ctx, v.job, services, extra, p.VM)
		v.dispatcher.recordPeerDepartures(result.Leaving)
		v.dispatcher.endRemote(v.job, services, extra, result, err)
		v.dispatcher.recordPortionEnd(p.VM.Node, v.vmFailed(ctx, err) || v.vmMissedEndpoints(p.Shards, result))
		v.ends.add(portionEnd{
			servedPortion: servedPortion{shards: p.Shards, vm: p.VM}, vms: p.Others(),
			result: portionResult{wirePortionResult: result}, err: err,
		})
	}()
}

// vmFailed reports whether another VM failed to return its portion. A call that was cancelled counts as a failure
// only if it ended at or after the partial deadline, when its result was due.
func (v *dividedRequest) vmFailed(ctx context.Context, err error) bool {
	return err != nil && (ctx.Err() == nil || !v.dispatcher.Now().Before(v.params.PartialDeadline))
}

// vmMissedEndpoints reports whether another VM left a shard unsent, but not because the shard's endpoints take none of
// its requests, although this VM knows endpoints of it. The portion then counts as failed at that VM, which gets no
// portions for a while. handleEnd retries the shards.
func (v *dividedRequest) vmMissedEndpoints(shards []int, result wirePortionResult) bool {
	for i, n := range result.Sent {
		away := slices.Contains(result.Away, i)
		if n == 0 && result.Seals[i] == "" && !away && len(v.view.Endpoints[v.services[shards[i]]]) > 0 {
			return true
		}
	}
	return false
}

// startLocal starts a portion on this VM that returns the replies which are there at the partial deadline. Its shards
// may have been sent before.
func (v *dividedRequest) startLocal(ctx context.Context, shards []int) {
	params := v.params
	params.MinShare = 0
	v.startLocalPortion(ctx, shards, params, true)
}

// retryMissing starts all missing shards on this VM. It runs at most once per request, when all portions have ended
// with too few shards answered. The missing shards are needed for an answer, so the portion continues beyond the
// partial deadline until enough of them have replied.
func (v *dividedRequest) retryMissing(ctx context.Context) {
	params := v.params
	missing := v.missingShards()
	params.MinShare = unit.Share(v.collector.Needed()) / unit.Share(len(missing))
	v.startLocalPortion(ctx, missing, params, false)
}

// startLocalPortion starts a portion on this VM with those parameters. It skips shards that are in progress or may have
// run at as many endpoints as the route allows. With goesOn, it is held at its partial deadline if it is incomplete.
func (v *dividedRequest) startLocalPortion(ctx context.Context, shards []int, params gather.Params, goesOn bool) {
	var eligible []int
	var sentBefore []bool
	for _, s := range shards {
		if v.ran[s] < v.route.Attempts && !v.pending[s] {
			eligible = append(eligible, s)
			sentBefore = append(sentBefore, v.sent[s] > 0)
			params.AttemptsPerShard = min(params.AttemptsPerShard, v.route.Attempts-v.ran[s])
		}
	}
	if len(eligible) == 0 {
		return
	}
	if slices.ContainsFunc(v.ran, func(n int) bool { return n > 0 }) {
		// The search can't be refused as not run any more, so that these shards wait for room as long as it takes.
		params.RefuseBy = time.Time{}
	}
	// The same number of shards is needed, out of fewer.
	params.MinShare *= unit.Share(len(shards)) / unit.Share(len(eligible))
	v.setPending(eligible, true)
	v.collector.AddPortion()
	go func() {
		f := v.dispatcher.newFanout(v.job, v.servicesOf(eligible), params, sentBefore)
		if goesOn {
			f.goOnAfter(params.PartialDeadline)
		}
		p := v.dispatcher.serveShards(ctx, f)
		v.ends.add(portionEnd{servedPortion: servedPortion{shards: eligible, local: true}, result: p})
	}()
}

// resumeHeld has the VMs go on with the portions that they hold.
func (v *dividedRequest) resumeHeld(ctx context.Context) {
	for _, p := range v.held {
		v.collector.AddPortion()
		go func() {
			result, err := v.dispatcher.callRest(ctx, p)
			v.ends.add(portionEnd{servedPortion: p, result: result, err: err})
		}()
	}
	v.held = nil
}

// setPending records whether shards belong to a portion in progress.
func (v *dividedRequest) setPending(shards []int, pending bool) {
	for _, s := range shards {
		v.pending[s] = pending
	}
}

// servicesOf returns the names of the services that the shards with these indexes are.
func (j *job) servicesOf(shards []int) []unit.ServiceName {
	all := make([]unit.ServiceName, 0, len(shards))
	for _, s := range shards {
		all = append(all, j.services[s])
	}
	return all
}

// awaitVerdict handles the ends of portions and timeouts until the collector has decided how the request ended.
func (v *dividedRequest) awaitVerdict(ctx context.Context) {
	timer := time.NewTimer(v.untilNextCheck())
	defer timer.Stop()
	stopping := v.dispatcher.stopping
	for {
		// Results that have come are used, also when the deadline has passed meanwhile.
		v.drainEnds(ctx)
		if v.hasEnded() {
			return
		}
		if v.startMore(ctx); v.hasEnded() {
			return
		}
		select {
		case <-v.ends.added:
		case <-timer.C:
			timer.Reset(v.untilNextCheck())
		case <-stopping:
			stopping = nil
			v.collector.AnswerBy = v.dispatcher.schedule().AnswerBy
			timer.Reset(v.untilNextCheck())
		case <-ctx.Done():
			v.collector.Cancel()
		}
	}
}

// hasEnded reports whether the request has its verdict.
func (v *dividedRequest) hasEnded() bool {
	return v.collector.Verdict(v.dispatcher.Now()) != gather.VerdictNone
}

// drainEnds handles the ends of portions that are in the queue, without waiting.
func (v *dividedRequest) drainEnds(ctx context.Context) {
	for e, ok := v.ends.take(); ok; e, ok = v.ends.take() {
		v.handleEnd(ctx, e)
	}
}

// startMore goes on with held portions, or retries the missing shards, if the request needs them.
func (v *dividedRequest) startMore(ctx context.Context) {
	now := v.dispatcher.Now()
	if len(v.held) > 0 && v.collector.ShouldResume(now) {
		v.resumeHeld(ctx)
	}
	if v.collector.AllowRetryMissing(now) {
		v.dispatcher.Metrics.Add("portion.missing", 1)
		v.retryMissing(ctx)
	}
}

// untilNextCheck returns the time until the collector's verdict has to be checked again if no portion ends before.
func (v *dividedRequest) untilNextCheck() time.Duration {
	now := v.dispatcher.Now()
	return max(0, v.collector.NextCheck(now).Sub(now))
}

// handleEnd handles the end of a portion, or the result of one that is held. Shards that another VM did not send to any
// endpoint are retried on this VM if enough time is left.
func (v *dividedRequest) handleEnd(ctx context.Context, e portionEnd) {
	v.setPending(e.shards, false)
	if e.err != nil {
		v.handleLost(ctx, e)
		return
	}
	r, last := e.result.wirePortionResult, e.last
	n := 0
	for i, shard := range e.shards {
		v.sent[shard] += r.Sent[i]
		v.ran[shard] += r.ran(i)
		if last.Sent != nil {
			v.sent[shard] -= last.Sent[i]
			v.ran[shard] -= last.ran(i)
		}
		if seal := r.Seals[i]; seal != "" {
			v.seals[shard] = seal
			n++
		}
	}
	v.collector.RecordPortion(n)
	if n > 0 {
		v.records = append(v.records, r.Records)
	}
	v.totals.Hedges += r.Hedges - last.Hedges
	v.totals.Retries += r.Retries - last.Retries
	v.totals.Denied += r.Denied - last.Denied
	v.totals.Waits += r.Waits - last.Waits
	v.totals.Waited = max(v.totals.Waited, micros(r.Waited))
	if r.Rest != "" {
		e.last = r
		v.held = append(v.held, e.servedPortion)
		for _, i := range r.Open {
			v.pending[e.shards[i]] = true
		}
	} else {
		v.totals.Details = append(v.totals.Details, e.result.details...)
	}
	v.retryUnsent(ctx, e)
}

// retryUnsent retries the shards of a portion that another VM has neither sent to any endpoint nor goes on with.
func (v *dividedRequest) retryUnsent(ctx context.Context, e portionEnd) {
	var unsent []int
	for _, shard := range e.shards {
		if v.seals[shard] == "" && v.sent[shard] == 0 && !v.pending[shard] {
			unsent = append(unsent, shard)
		}
	}
	if len(unsent) > 0 && !e.local && v.collector.ShouldRetry(v.dispatcher.Now()) {
		v.dispatcher.Metrics.Add("portion.unsent", 1)
		v.startLocal(ctx, unsent)
	}
}

// handleLost handles a portion whose VM returned no result, and retries it if enough time is left: at another VM of the
// group if nothing of it can have been sent to an endpoint, otherwise on this VM.
func (v *dividedRequest) handleLost(ctx context.Context, e portionEnd) {
	now := v.dispatcher.Now()
	v.dispatcher.Metrics.Add("portion.lost", 1)
	v.collector.RecordPortion(0)
	if e.last.Rest != "" {
		v.assumeRestRan(e)
		return
	}
	sent := v.assumedSent(now, e.err)
	for _, s := range e.shards {
		v.sent[s] += sent
		v.ran[s] += sent
	}
	switch {
	case !v.collector.ShouldRetry(now):
	case sent == 0:
		v.startPortion(ctx, v.dispatcher.assignPortion(divide.Group{Shards: e.shards, VMs: e.vms}))
	default:
		v.startLocal(ctx, e.shards)
	}
}

// assumeRestRan counts the attempts that a VM may have made with the rest of a portion which it has not returned: as many as
// the route allows, or none if it did not go on with it.
func (v *dividedRequest) assumeRestRan(e portionEnd) {
	if errors.Is(e.err, peer.ErrNotSent) {
		return
	}
	for _, i := range e.last.Open {
		more := max(0, v.route.Attempts-e.last.ran(i))
		v.sent[e.shards[i]] += more
		v.ran[e.shards[i]] += more
	}
}

// assumedSent returns the number of endpoints that a VM which returned no result may have sent each shard to.
func (v *dividedRequest) assumedSent(now time.Time, err error) int {
	switch {
	case errors.Is(err, peer.ErrNotSent):
		return 0
	case now.Sub(v.request.Arrived) < secondDelay(v.params)-min(disconnectNoticeTime, secondDelay(v.params)/2):
		// The other VM notices the loss of the connection before it may send a shard to a second endpoint.
		return 1
	default:
		return v.route.Attempts
	}
}

// missingShards returns the shards without a reply.
func (v *dividedRequest) missingShards() []int {
	var all []int
	for shard, seal := range v.seals {
		if seal == "" {
			all = append(all, shard)
		}
	}
	return all
}

// answer builds the answer to the request after awaitVerdict.
func (v *dividedRequest) answer() Answer {
	verdict := v.collector.Verdict(v.dispatcher.Now())
	switch {
	case verdict == gather.VerdictAnswered:
		return v.mergedAnswer()
	case verdict == gather.VerdictGone:
		return Answer{Code: unit.CodeCallerGone}
	case !v.mayHaveRun():
		return v.dispatcher.refusal(v.job, v.refusalCode(verdict))
	case verdict == gather.VerdictTimedOut:
		return Answer{Code: unit.CodeDeadline}
	case verdict == gather.VerdictStopped:
		return Answer{Code: unit.CodeStopped}
	default:
		return Answer{Code: unit.CodeBelowMinimum}
	}
}

// mayHaveRun reports whether an endpoint may have run any part of the request or may still run it. Portions that are pending
// may have.
func (v *dividedRequest) mayHaveRun() bool {
	return v.collector.Pending() > 0 || slices.ContainsFunc(v.ran, func(n int) bool { return n > 0 })
}

// refusalCode returns the result code of a request that no endpoint has run: CodeTooLate at the deadline, CodeStopping at the
// stop of this VM, CodeRefused if endpoints were full, and otherwise CodeNoEndpoint.
func (v *dividedRequest) refusalCode(verdict gather.Verdict) unit.Code {
	switch {
	case verdict == gather.VerdictTimedOut:
		return unit.CodeTooLate
	case verdict == gather.VerdictStopped:
		return unit.CodeStopping
	case v.totals.Waits > 0, slices.ContainsFunc(v.sent, func(n int) bool { return n > 0 }):
		return unit.CodeRefused
	default:
		return unit.CodeNoEndpoint
	}
}

// mergedAnswer merges the records of the portions.
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

// endRecord returns the record of the request for its log line and the metrics.
func (v *dividedRequest) endRecord(a Answer) Record {
	r := v.dispatcher.baseRecord(v.job, a)
	r.Verdict = v.collector.Verdict(v.dispatcher.Now())
	r.Shards, r.Answered = len(v.services), len(v.services)-v.collector.Missing()
	r.Hedges, r.Retries, r.Denied = v.totals.Hedges, v.totals.Retries, v.totals.Denied
	r.Waits, r.Waited = v.totals.Waits, v.totals.Waited
	if r.Verdict == gather.VerdictFailed {
		r.Cause = v.cause()
	}
	r.Details = v.totals.Details
	if len(r.Details) > maxDetailedShards {
		r.Details = r.Details[:maxDetailedShards]
	}
	return r
}

// cause returns why too few shards have a reply: most of the missing ones have spent their attempts, or have found no room.
func (v *dividedRequest) cause() gather.Cause {
	missing := v.missingShards()
	spent := 0
	for _, s := range missing {
		if v.ran[s] >= v.route.Attempts {
			spent++
		}
	}
	if 2*spent > len(missing) {
		return gather.CauseAttempts
	}
	return gather.CauseNoRoom
}

// recordPortionEnd records the end of a portion at another VM; after a failure the VM gets no portions for a while.
func (d *Dispatcher) recordPortionEnd(node unit.NodeID, failed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.portionTracker.RecordEnd(d.Now(), node, failed)
}
