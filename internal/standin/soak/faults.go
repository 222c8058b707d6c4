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
	// reuseDelay is how long an address is unused before it goes to an endpoint of another service.
	reuseDelay = 2 * time.Second
	// deregisterDelay is how long an endpoint that is leaving stays registered and serves.
	deregisterDelay = time.Second
	// burstFactor is how many times the usual number of callers a burst brings.
	burstFactor = 4
)

// inject brings about the faults of a plan, each on its own goroutine, and waits until all are over.
func (w *deployment) inject(plan []Fault) {
	began := time.Now()
	done := make(chan struct{}, len(plan))
	for _, f := range plan {
		go func() {
			defer func() { done <- struct{}{} }()
			time.Sleep(time.Until(began.Add(f.At)))
			w.startFault(f)()
		}()
	}
	for range plan {
		<-done
	}
}

// startFault starts a fault; what it gives waits for the fault's time to pass and ends it.
func (w *deployment) startFault(f Fault) (end func()) {
	v := w.vms[f.Target%len(w.vms)]
	e := f.Target % len(w.endpoints)
	switch f.Kind {
	case KindFreeze:
		return w.freeze(v, f.For)
	case KindKill:
		now := time.Now()
		v.signalProcess((*proc.Process).Kill, func(l *Lifetime) { l.Killed = now })
	case KindStop:
		w.stop(v)
	case KindHangup:
		v.signalProcess((*proc.Process).Hangup, func(*Lifetime) {})
	case KindRegistry:
		return w.failRegistry(f)
	case KindCompact:
		w.store.Compact()
	case KindRegistryLink:
		return w.disruptLink(v.registryLink, f, w.recordVMFault(v.number))
	case KindPeerLink:
		return w.disruptLink(v.peerLink, f, w.recordVMFault(v.number))
	case KindEndpointLink:
		return w.disruptLink(w.endpointLinks[e], f, w.recordEndpointFault())
	case KindEndpoint:
		return w.disruptEndpoint(e, f)
	case KindDrain:
		return w.startRegistrationFault(e, func() func() { return w.drain(e, f.For) })
	case KindReuse:
		return w.startRegistrationFault(e, func() func() { return w.reuseAddress(e, f) })
	case KindTable:
		w.publishTable()
	case KindBurst:
		return w.startBurst(f.For)
	}
	return func() {}
}

// recordVMFault notes the start of a fault at a VM; what it gives notes its end.
func (w *deployment) recordVMFault(vm int) func() {
	return w.recordSpan(func(h *History, s Span) { h.VMFaults[vm] = append(h.VMFaults[vm], s) })
}

// recordEndpointFault notes the start of a fault at an endpoint.
func (w *deployment) recordEndpointFault() func() {
	return w.recordSpan(func(h *History, s Span) { h.EndpointFaults = append(h.EndpointFaults, s) })
}

// recordSpan gives a function that has add take the span from now until its call.
func (w *deployment) recordSpan(add func(h *History, s Span)) func() {
	from := time.Now()
	return func() {
		w.history.update(func(h *History) { add(h, Span{From: from, To: time.Now()}) })
	}
}

func (w *deployment) freeze(v *vm, d time.Duration) func() {
	ended := w.recordVMFault(v.number)
	v.signalProcess((*proc.Process).Freeze, func(*Lifetime) {})
	return func() {
		time.Sleep(d)
		v.signalProcess((*proc.Process).Thaw, func(*Lifetime) {})
		ended()
	}
}

// stop asks a VM's process for a planned stop; it may be asked again.
func (w *deployment) stop(v *vm) {
	now := time.Now()
	v.signalProcess((*proc.Process).Terminate, func(l *Lifetime) {
		if l.StopRequested.IsZero() {
			l.StopRequested = now
			w.history.update(func(h *History) {
				h.VMFaults[v.number] = append(h.VMFaults[v.number], Span{From: now, To: now.Add(defaultBounds.Grace)})
			})
		}
	})
}

func (w *deployment) failRegistry(f Fault) func() {
	faults := []registry.Fault{registry.Fault503, registry.Fault429, registry.FaultNoResponse, registry.FaultReset}
	ended := w.recordSpan(func(h *History, s Span) { h.GlobalFaults = append(h.GlobalFaults, s) })
	w.store.SetFault(faults[f.Variant%len(faults)])
	return func() {
		time.Sleep(f.For)
		w.store.SetFault(registry.FaultNone)
		ended()
	}
}

// disruptLink has a link misbehave in one of the ways.
func (w *deployment) disruptLink(link *proc.Relay, f Fault, ended func()) func() {
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

func (w *deployment) disruptEndpoint(i int, f Fault) func() {
	modes := []shard.Mode{
		shard.ModeReject, shard.ModeDrop, shard.ModeFail, shard.ModeBusy, shard.ModeHang, shard.ModeEncode,
		shard.ModeUnsigned, shard.ModeAbsent,
	}
	ended := w.recordEndpointFault()
	w.endpoints[i].SetMode(modes[f.Variant%len(modes)])
	return func() {
		time.Sleep(f.For)
		w.endpoints[i].SetMode(shard.ModeServe)
		ended()
	}
}

// startRegistrationFault begins a fault that changes an endpoint's registration, unless another one has not ended yet.
func (w *deployment) startRegistrationFault(e int, begin func() func()) func() {
	set := func(away bool) (before bool) {
		w.mu.Lock()
		defer w.mu.Unlock()
		before = w.registrationChanged[e]
		w.registrationChanged[e] = away
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
func (w *deployment) drain(i int, d time.Duration) func() {
	left := w.recordSpan(func(h *History, s Span) {
		h.Leaving = append(h.Leaving, LeavingPeriod{Endpoint: unit.EndpointID(w.endpoints[i].ID), Span: s})
	})
	w.register(i, "draining")
	return func() {
		time.Sleep(deregisterDelay)
		w.store.Delete(w.endpoints[i].Key())
		time.Sleep(d + defaultBounds.DrainTime)
		left()
		w.register(i, "ready")
	}
}

// reuseAddress has an endpoint vanish and another one, of another service, take over its address; later all is as before.
func (w *deployment) reuseAddress(i int, f Fault) func() {
	ended := w.recordEndpointFault()
	other := (i + replicas) % len(w.endpoints)
	w.store.Delete(w.endpoints[i].Key())
	w.endpointLinks[i].Cut()
	return func() {
		time.Sleep(reuseDelay)
		w.endpointLinks[i].SetTarget(unit.Address(w.endpoints[other].Address()))
		w.endpointLinks[i].Heal()
		time.Sleep(f.For)
		w.endpointLinks[i].Reset()
		w.endpointLinks[i].SetTarget(unit.Address(w.endpoints[i].Address()))
		w.register(i, "ready")
		ended()
	}
}

func (w *deployment) startBurst(d time.Duration) func() {
	change := func(n int) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.callerFactor += n
	}
	change(burstFactor - 1)
	return func() {
		time.Sleep(d)
		change(1 - burstFactor)
	}
}
