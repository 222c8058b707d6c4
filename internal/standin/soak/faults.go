package soak

import (
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/standin/proc"
	"basilspan/internal/standin/registry"
	"basilspan/internal/standin/shard"
)

const (
	// linkDelay is how long a delayed link holds back each chunk.
	linkDelay = 150 * time.Millisecond
	// reuseAfter is how long an address is unused before it goes to an endpoint of another service.
	reuseAfter = 2 * time.Second
	// goneAfter is how long an endpoint that is leaving stays registered and serves.
	goneAfter = time.Second
	// burstFactor is how many times the usual number of callers a burst brings.
	burstFactor = 4
)

// inject brings about the faults of a plan, each on its own goroutine, and waits until all are over.
func (w *world) inject(plan []Fault) {
	began := time.Now()
	done := make(chan struct{}, len(plan))
	for _, f := range plan {
		go func() {
			defer func() { done <- struct{}{} }()
			time.Sleep(time.Until(began.Add(f.At)))
			w.begin(f)()
		}()
	}
	for range plan {
		<-done
	}
}

// begin starts a fault; what it gives waits for the fault's time to pass and ends it.
func (w *world) begin(f Fault) (end func()) {
	v := w.vms[f.Target%len(w.vms)]
	e := f.Target % len(w.endpoints)
	switch f.Kind {
	case KindFreeze:
		return w.freeze(v, f.For)
	case KindKill:
		now := time.Now()
		v.signal((*proc.Process).Kill, func(l *Life) { l.Killed = now })
	case KindStop:
		w.stop(v)
	case KindHangup:
		v.signal((*proc.Process).Hangup, func(*Life) {})
	case KindRegistry:
		return w.breakRegistry(f)
	case KindCompact:
		w.store.Compact()
	case KindRegistryLink:
		return w.trouble(v.registry, f, w.disturb(v.number))
	case KindPeerLink:
		return w.trouble(v.peers, f, w.disturb(v.number))
	case KindEndpointLink:
		return w.trouble(w.links[e], f, w.harm())
	case KindEndpoint:
		return w.misbehave(e, f)
	case KindDrain:
		return w.once(e, func() func() { return w.drain(e, f.For) })
	case KindReuse:
		return w.once(e, func() func() { return w.reuse(e, f) })
	case KindTable:
		w.publish()
	case KindBurst:
		return w.crowd(f.For)
	}
	return func() {}
}

// disturb notes the start of a fault at a VM; what it gives notes its end.
func (w *world) disturb(vm int) func() {
	return w.note(func(h *History, s Span) { h.Disturbed[vm] = append(h.Disturbed[vm], s) })
}

// harm notes the start of a fault at an endpoint.
func (w *world) harm() func() {
	return w.note(func(h *History, s Span) { h.Harmed = append(h.Harmed, s) })
}

// note gives a function that has add take the span from now until its call.
func (w *world) note(add func(h *History, s Span)) func() {
	from := time.Now()
	return func() {
		w.history.add(func(h *History) { add(h, Span{From: from, To: time.Now()}) })
	}
}

func (w *world) freeze(v *vm, d time.Duration) func() {
	ended := w.disturb(v.number)
	v.signal((*proc.Process).Freeze, func(*Life) {})
	return func() {
		time.Sleep(d)
		v.signal((*proc.Process).Thaw, func(*Life) {})
		ended()
	}
}

// stop asks a VM's process for a planned stop; it may be asked again.
func (w *world) stop(v *vm) {
	now := time.Now()
	v.signal((*proc.Process).Terminate, func(l *Life) {
		if l.Stopped.IsZero() {
			l.Stopped = now
			w.history.add(func(h *History) {
				h.Disturbed[v.number] = append(h.Disturbed[v.number], Span{From: now, To: now.Add(terms.Grace)})
			})
		}
	})
}

func (w *world) breakRegistry(f Fault) func() {
	faults := []registry.Fault{registry.Fault503, registry.Fault429, registry.FaultNoResponse, registry.FaultReset}
	ended := w.note(func(h *History, s Span) { h.Troubled = append(h.Troubled, s) })
	w.store.SetFault(faults[f.Variant%len(faults)])
	return func() {
		time.Sleep(f.For)
		w.store.SetFault(registry.FaultNone)
		ended()
	}
}

// trouble has a link misbehave in one of the ways.
func (w *world) trouble(link *proc.Relay, f Fault, ended func()) func() {
	ways := []func(){
		link.Cut,
		link.Reset,
		func() { link.Delay(linkDelay) },
		func() { link.Mute(proc.Forward) },
		func() { link.Mute(proc.Backward) },
		func() {
			link.Mute(proc.Forward)
			link.Mute(proc.Backward)
		},
	}
	ways[f.Variant%len(ways)]()
	return func() {
		time.Sleep(f.For)
		link.Heal()
		ended()
	}
}

func (w *world) misbehave(i int, f Fault) func() {
	modes := []shard.Mode{
		shard.ModeReject, shard.ModeDrop, shard.ModeFail, shard.ModeBusy, shard.ModeHang, shard.ModeEncode,
		shard.ModeUnsigned, shard.ModeAbsent,
	}
	ended := w.harm()
	w.endpoints[i].SetMode(modes[f.Variant%len(modes)])
	return func() {
		time.Sleep(f.For)
		w.endpoints[i].SetMode(shard.ModeServe)
		ended()
	}
}

// once begins a fault that changes an endpoint's registration, unless another one has not ended yet.
func (w *world) once(e int, begin func() func()) func() {
	set := func(away bool) (before bool) {
		w.mu.Lock()
		defer w.mu.Unlock()
		before = w.away[e]
		w.away[e] = away
		return before
	}
	if set(true) {
		return func() {}
	}
	end := begin()
	return func() {
		end()
		set(false)
	}
}

// drain has an endpoint's registration say that it leaves, and then end; later it is back.
func (w *world) drain(i int, d time.Duration) func() {
	left := w.note(func(h *History, s Span) {
		h.Leaves = append(h.Leaves, Leave{Endpoint: unit.EndpointID(w.endpoints[i].ID), Span: s})
	})
	w.register(i, "draining")
	return func() {
		time.Sleep(goneAfter)
		w.store.Delete(w.endpoints[i].Key())
		time.Sleep(d + terms.Drain)
		left()
		w.register(i, "ready")
	}
}

// reuse has an endpoint vanish and another one, of another service, take over its address; later all is as before.
func (w *world) reuse(i int, f Fault) func() {
	ended := w.harm()
	other := (i + replicas) % len(w.endpoints)
	w.store.Delete(w.endpoints[i].Key())
	w.links[i].Cut()
	return func() {
		time.Sleep(reuseAfter)
		w.links[i].Point(unit.Address(w.endpoints[other].Address()))
		w.links[i].Heal()
		time.Sleep(f.For)
		w.links[i].Reset()
		w.links[i].Point(unit.Address(w.endpoints[i].Address()))
		w.register(i, "ready")
		ended()
	}
}

func (w *world) crowd(d time.Duration) func() {
	change := func(n int) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.burst += n
	}
	change(burstFactor - 1)
	return func() {
		time.Sleep(d)
		change(1 - burstFactor)
	}
}
