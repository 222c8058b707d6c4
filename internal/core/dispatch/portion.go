package dispatch

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/unit"
	"basilspan/internal/link/leaf"
	"basilspan/internal/link/peer"
	"basilspan/internal/policy/divide"
	"basilspan/internal/policy/gather"
	"basilspan/internal/policy/merge"
	"basilspan/internal/policy/routing"
)

const (
	// methodPortion has another VM serve some of a request's shards.
	methodPortion peer.Method = "portion"
	// portionReturnTime is how long before a request's partial deadline, besides the round trip, the VMs that serve its
	// portions respond. It covers the merge.
	portionReturnTime = 3 * time.Millisecond
	// disconnectNoticeTime is how long the VM that serves a portion may take to notice that its connection was lost.
	disconnectNoticeTime = 10 * time.Millisecond
	// maxRoundTripShare bounds the round trip to a part of the time until the partial deadline.
	maxRoundTripShare = 8
	// methodRest has another VM go on with a portion that it has returned incomplete.
	methodRest peer.Method = "rest"
	// restHoldTime is how long a VM holds an incomplete portion for methodRest after it has returned it. A busy VM needs up to
	// this time until it knows whether its search is short of shards.
	restHoldTime = 100 * time.Millisecond
	// stopReturnTime is how long before the end of a planned stop's time for answers portions return.
	stopReturnTime = 20 * time.Millisecond
)

// errStopping is returned to a VM that sends a portion to a VM which is stopping.
var errStopping = errors.New("the entry VM is stopping")

// errNotHeld is returned for the rest of a portion that is not held any more. Its open attempts have been abandoned.
var errNotHeld = errors.New("the portion is no longer held")

// wirePortion is the request of methodPortion: some of the shards of a request. Target, PartialDeadline and Deadline
// are in microseconds; the deadlines count from the sending of the call.
type wirePortion struct {
	ID              string             `json:"id"`
	Method          string             `json:"method"`
	Head            []byte             `json:"head"`
	Body            []byte             `json:"body,omitempty"`
	Route           string             `json:"route"`
	Services        []unit.ServiceName `json:"services"`
	TopK            int                `json:"top"`
	Attempts        int                `json:"attempts"`
	Target          int64              `json:"target"`
	PartialDeadline int64              `json:"cut"`
	Deadline        int64              `json:"end"`
	// Hold is how long, in microseconds from the arrival of the call, a shard that an endpoint may have run is not sent to
	// another one; older releases don't say.
	Hold int64 `json:"hold,omitempty"`
	// Extra marks the shards that may be sent one extra attempt which counts at the VM that asks.
	Extra bitmap `json:"extra,omitempty"`
	// Refuse is until when shards may wait for room while nothing of the portion has run, in microseconds from the sending of
	// the call; 0 means until the end.
	Refuse int64 `json:"refuse,omitempty"`
	// Rest is set if the VM that asks may ask for the rest of an incomplete portion; older releases don't.
	Rest bool `json:"rest,omitempty"`
}

// wireRest is the request of methodRest: the name of a portion by wirePortionResult.Rest. The response is another
// wirePortionResult for the same shards, as soon as one more of them has replied or the portion has ended.
type wireRest struct {
	Portion string `json:"portion"`
}

// wirePortionResult is the response: the greatest records of the shards that replied and, by shard, the seal of
// the reply, empty if there is none, and the number of endpoints that the shard was sent to. Records and seals that an
// earlier response had are left out; all counts are those since the portion's start. Away lists the shards that were not
// sent because their endpoints take no requests from that VM or are full, and Leaving the endpoints that have said in a
// reply that they are leaving; older releases have neither.
type wirePortionResult struct {
	Records []byte          `json:"records"`
	Seals   []string        `json:"seals"`
	Sent    []int           `json:"sent"`
	Away    []int           `json:"away,omitempty"`
	Leaving []wireDeparture `json:"leaving,omitempty"`
	Hedges  int             `json:"hedges,omitempty"`
	Retries int             `json:"retries,omitempty"`
	Denied  int             `json:"denied,omitempty"`
	// Refused lists, by shard, how many of the endpoints that it was sent to have stated that they did not run it; it is
	// empty if none has. Older releases don't say.
	Refused []int `json:"refused,omitempty"`
	// Rest names the portion for methodRest if Open is not empty, the shards that the VM goes on with then.
	Rest string `json:"rest,omitempty"`
	Open []int  `json:"open,omitempty"`
	// Waits is how many shards have waited for room, and Waited the longest such time in microseconds.
	Waits  int   `json:"waits,omitempty"`
	Waited int64 `json:"waited,omitempty"`
	// Extra marks the shards whose extra attempt of wirePortion.Extra was sent. Took is for how long the VM has worked on
	// the portion, in microseconds; older releases don't say.
	Extra bitmap `json:"extra,omitempty"`
	Took  int64  `json:"took,omitempty"`
	// Room is how long requests wait at the endpoints of the shards, in microseconds, if they do.
	Room []int64 `json:"room,omitempty"`
}

// portionResult is the outcome of a portion.
type portionResult struct {
	wirePortionResult
	details []Detail
}

// ran returns how many endpoints may have run a shard of the portion.
func (r wirePortionResult) ran(shard int) int {
	n := r.Sent[shard]
	if shard < len(r.Refused) {
		n -= r.Refused[shard]
	}
	return n
}

// checkShards returns an error unless the result is one of that many shards.
func (r wirePortionResult) checkShards(vm unit.NodeID, n int) error {
	outside := func(shard int) bool { return shard < 0 || shard >= n }
	if len(r.Seals) != n || len(r.Sent) != n || slices.ContainsFunc(r.Open, outside) {
		return errors.Newf("entry VM %s returned %d shard results, want %d", vm, len(r.Seals), n)
	}
	return nil
}

// callPortion has a VM serve a portion and waits for the result. A result whose number of shards does not match is an
// error.
func (d *Dispatcher) callPortion(
	ctx context.Context, j *job, services []unit.ServiceName, extra bitmap, vm divide.Candidate,
) (wirePortionResult, error) {
	now := d.Now()
	params := j.params
	untilPartial := max(0, j.params.PartialDeadline.Sub(now))
	roundTrip := min(d.portionRoundTrip(vm.Centre), untilPartial/maxRoundTripShare)
	if s := d.schedule(); s.InProgress() {
		params.AnswerBy = s.AnswerBy.Add(-stopReturnTime)
	}
	call := wirePortion{
		ID:              string(j.message.ID),
		Method:          j.message.Method,
		Head:            j.message.Head,
		Body:            j.message.Body,
		Route:           string(j.route.Name),
		Services:        services,
		TopK:            j.route.TopK,
		Attempts:        j.route.Attempts,
		Target:          j.route.TargetLatency.Microseconds(),
		PartialDeadline: (untilPartial - roundTrip).Microseconds(),
		Deadline:        params.End().Sub(now).Microseconds(),
		Hold:            secondDelay(j.params).Microseconds(),
		Extra:           extra,
		Rest:            true,
	}
	if !j.params.RefuseBy.IsZero() {
		call.Refuse = max(1, (j.params.RefuseBy.Sub(now) - roundTrip).Microseconds())
	}
	var result wirePortionResult
	if err := d.Call(ctx, vm.Address, methodPortion, call, &result); err != nil {
		return wirePortionResult{}, err
	}
	if err := result.checkShards(vm.Node, len(services)); err != nil {
		return wirePortionResult{}, err
	}
	d.admission.learn(d.Now(), services, decodeRoom(result.Room))
	if result.Took > 0 {
		d.recordPortionRoundTrip(vm.Centre, d.Now().Sub(now)-micros(result.Took))
	}
	return result, nil
}

// callRest has the VM that holds a portion go on with it, and waits for the next result.
func (d *Dispatcher) callRest(ctx context.Context, p servedPortion) (portionResult, error) {
	if p.local {
		result, ok := d.resumePortion(ctx, p.last.Rest)
		if !ok {
			return portionResult{}, errors.Mark(errNotHeld, peer.ErrNotSent)
		}
		return result, nil
	}
	d.mu.Lock()
	d.portionTracker.RecordSent(p.vm.Node)
	d.mu.Unlock()
	var result wirePortionResult
	err := d.Call(ctx, p.vm.Address, methodRest, wireRest{Portion: p.last.Rest}, &result)
	if err == nil {
		err = result.checkShards(p.vm.Node, len(p.shards))
	}
	d.recordPortionEnd(p.vm.Node, err != nil && ctx.Err() == nil && !errors.Is(err, peer.ErrNotSent))
	d.recordPeerDepartures(result.Leaving)
	return portionResult{wirePortionResult: result}, err
}

// secondDelay returns how long another VM that serves a portion of the request must not send a shard to a second endpoint
// after the first may have run it.
func secondDelay(p gather.Params) time.Duration {
	return p.HedgeAfter / 2
}

// portionRoundTrip returns the time that the network takes for a portion at a VM of that data centre.
func (d *Dispatcher) portionRoundTrip(centre unit.CentreName) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.portionTracker.RoundTrip(centre)
}

// recordPortionRoundTrip records how much longer a portion took than its VM, in that data centre, worked on it.
func (d *Dispatcher) recordPortionRoundTrip(centre unit.CentreName, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.portionTracker.RecordRoundTrip(centre, took)
}

// HandlePortions registers the handler that serves portions of other VMs' requests. The handler refuses them while
// ready returns false.
func (d *Dispatcher) HandlePortions(link *peer.Link, ready func() bool) {
	d.handleRoom(link)
	peer.Handle(link, methodPortion, func(ctx context.Context, w wirePortion) (wirePortionResult, error) {
		if !ready() {
			return wirePortionResult{}, peer.RefusalError(errStopping)
		}
		d.Metrics.Add("portion.served", 1)
		return d.servePortion(ctx, w).wirePortionResult, nil
	})
	peer.Handle(link, methodRest, d.serveRest)
}

// serveRest serves methodRest, also while this VM stops: the portion was begun before.
func (d *Dispatcher) serveRest(ctx context.Context, w wireRest) (wirePortionResult, error) {
	p, ok := d.resumePortion(ctx, w.Portion)
	if !ok {
		return wirePortionResult{}, peer.RefusalError(errNotHeld)
	}
	return p.wirePortionResult, nil
}

// servePortion serves some of the shards of another VM's request. That VM has matched the request with its own
// routing table, so this VM's table may differ. The time for which the call waited unread counts against its deadlines.
func (d *Dispatcher) servePortion(ctx context.Context, w wirePortion) portionResult {
	now := d.Now().Add(-peer.QueueingDelay(ctx))
	route := &routing.Route{
		Name: unit.RouteName(w.Route), Repeatable: true, Attempts: routing.LimitAttempts(w.Attempts), TopK: w.TopK,
		Shards: w.Services, TargetLatency: micros(w.Target),
	}
	j := &job{
		view:    d.Views.Load(),
		route:   route,
		request: &Request{ID: unit.RequestID(w.ID), Method: w.Method, Arrived: now},
		message: &leaf.Message{ID: unit.RequestID(w.ID), Method: w.Method, Head: w.Head, Body: w.Body},
	}
	d.mu.Lock()
	timing := gather.Timing{
		TypicalLatency: d.endpointTracker.TypicalLatency(route.Name), Target: route.TargetLatency,
		UntilPartial: micros(w.PartialDeadline) - portionReturnTime,
	}
	d.mu.Unlock()
	j.params = gather.Params{
		AttemptsPerShard: route.Attempts,
		Idempotent:       true,
		HedgeAfter:       timing.HedgeAfter(),
		PartialDeadline:  now.Add(micros(w.PartialDeadline) - portionReturnTime),
		Deadline:         now.Add(micros(w.Deadline)),
		SecondAfter:      now.Add(micros(w.Hold)),
	}
	if w.Refuse > 0 {
		j.params.RefuseBy = now.Add(micros(w.Refuse))
	}
	f := d.newFanout(j, w.Services, j.params, nil)
	f.granted = w.Extra
	if w.Rest {
		f.goOnAfter(j.params.PartialDeadline)
	}
	p := d.serveShards(ctx, f)
	p.Took = max(1, d.Now().Sub(now).Microseconds())
	p.Room = encodeRoom(d.admission.own(d.Now(), w.Services))
	return p
}

// micros converts microseconds from a message into a duration.
func micros(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}

// serveShards runs a fan-out to some of the shards of a job on this VM, for a portion of its own request or of another
// VM's. If its parameters require no share of the shards, it returns the replies that are there at the partial deadline. If
// the fan-out goes on after that, it is held for resumePortion.
func (d *Dispatcher) serveShards(ctx context.Context, f *fanout) portionResult {
	f.returnTime = stopReturnTime
	f.run(ctx)
	return d.returnPortion(f)
}

// goOnAfter has the fan-out pause at that time rather than end with the replies that are there.
func (f *fanout) goOnAfter(partialDeadline time.Time) {
	f.pauseAt = partialDeadline
	f.machine.Params.GoesOn = true
}

// heldPortion is an incomplete portion that has been returned. Nobody drives its fan-out until it is resumed.
type heldPortion struct {
	fanout *fanout
	expiry *time.Timer
}

// returnPortion returns what a portion has by now, and holds it if it has not ended.
func (d *Dispatcher) returnPortion(f *fanout) portionResult {
	p := f.portionResult()
	if f.machine.Verdict() != gather.VerdictNone {
		f.end()
		return p
	}
	// The VM that asked settles what it has granted with this result.
	f.granted = nil
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastHeld++
	// With the request's ID, the name of a portion that a restarted VM no longer has is not that of another one.
	name := string(f.message.ID) + "/" + strconv.FormatUint(d.lastHeld, 36)
	// A portion in which nothing can happen before its partial deadline returns before it.
	hold := max(0, f.pauseAt.Sub(d.Now())) + restHoldTime
	d.held[name] = heldPortion{fanout: f, expiry: time.AfterFunc(hold, func() { d.dropPortion(name) })}
	p.Rest = name
	return p
}

// resumePortion goes on with a held portion until one more of its shards has replied or it has ended; ok is false if it is
// not held any more.
func (d *Dispatcher) resumePortion(ctx context.Context, name string) (p portionResult, ok bool) {
	f := d.takePortion(name)
	if f == nil {
		return portionResult{}, false
	}
	d.Metrics.Add("portion.resumed", 1)
	f.resume(ctx)
	return d.returnPortion(f), true
}

// dropPortion ends a held portion that nobody has asked for.
func (d *Dispatcher) dropPortion(name string) {
	if f := d.takePortion(name); f != nil {
		f.cancel()
		f.end()
	}
}

// takePortion removes and returns a held portion, nil if it is not held.
func (d *Dispatcher) takePortion(name string) *fanout {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.held[name]
	if !ok {
		return nil
	}
	h.expiry.Stop()
	delete(d.held, name)
	return h.fanout
}

// turnedAway reports whether there are endpoints of a service and none of them gets a request from this VM now: they take
// none, or are cold.
func (d *Dispatcher) turnedAway(service unit.ServiceName) bool {
	return d.unwanted(d.Views.Load().Endpoints[service]) || d.allWithheld(service)
}

// portionResult returns what the fan-out has by now of the portion, without the replies that were returned before.
func (f *fanout) portionResult() portionResult {
	d := f.dispatcher
	var p portionResult
	p.Seals = make([]string, len(f.services))
	p.Sent = make([]int, len(f.services))
	p.Extra = f.grantsUsed
	var bodies [][]byte
	for shard := range f.services {
		p.Sent[shard] = f.machine.Reached(shard)
		if n := p.Sent[shard] - f.machine.Ran(shard); n > 0 {
			if p.Refused == nil {
				p.Refused = make([]int, len(f.services))
			}
			p.Refused[shard] = n
		}
		if p.Sent[shard] == 0 && (f.machine.KnowsEndpoint(shard) || d.turnedAway(f.services[shard])) {
			p.Away = append(p.Away, shard)
		}
		if f.machine.InProgress(shard) {
			p.Open = append(p.Open, shard)
		}
		if id, ok := f.machine.Reply(shard); ok && !f.returned.has(shard) {
			p.Seals[shard] = f.replies[id].Reply.Seal
			bodies = append(bodies, f.replies[id].Reply.Body)
			f.returned.set(shard)
		}
	}
	p.Leaving = f.departures()
	p.Records = merge.TopRecords(f.route.TopK, bodies)
	r := f.endRecord(Answer{Code: unit.CodePartial})
	p.Hedges, p.Retries, p.Denied, p.details = r.Hedges, r.Retries, r.Denied, r.Details
	p.Waits, p.Waited = r.Waits, r.Waited.Microseconds()
	return p
}
