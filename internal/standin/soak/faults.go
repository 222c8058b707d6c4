package soak

import (
	"strconv"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/standin/proc"
	"basilspan/internal/standin/registry"
	"basilspan/internal/standin/shard"
)

const (
	// linkDelay is the latency that a delayed link adds to each chunk of bytes.
	linkDelay = 150 * time.Millisecond
	// reuseDelay is how long an address is unused before an endpoint of another service gets it.
	reuseDelay = 2 * time.Second
	// deregisterDelay is how long a draining endpoint stays registered and serves.
	deregisterDelay = time.Second
	// announceTime is how long after the drain time an endpoint still says in its replies that it is leaving.
	announceTime = time.Second
	// restoreDelay is how long the registry is away for a restore, and how long after it operators and endpoints have
	// published again what was lost.
	restoreDelay = 500 * time.Millisecond
	// burstFactor is the number of callers in a burst, as a multiple of the usual number.
	burstFactor = 4
)

// inject runs the faults of a plan, each on its own goroutine, and waits until all have ended.
func (dep *deployment) inject(plan []Fault) {
	began := time.Now()
	done := make(chan struct{}, len(plan))
	for _, f := range plan {
		go func() {
			defer func() { done <- struct{}{} }()
			time.Sleep(time.Until(began.Add(f.At)))
			dep.startFault(f)()
		}()
	}
	for range plan {
		<-done
	}
}

// startFault starts a fault. The returned function waits for the fault's duration and ends it.
func (dep *deployment) startFault(f Fault) (end func()) {
	v := dep.vms[f.Target%len(dep.vms)]
	e := f.Target % len(dep.endpoints)
	switch f.Kind {
	case KindFreeze:
		return dep.freeze(v, f.For)
	case KindKill:
		now := time.Now()
		v.signalProcess((*proc.Process).Kill, func(l *Lifetime) { l.Killed = now })
	case KindStop:
		dep.stop(v)
	case KindHangup:
		v.signalProcess((*proc.Process).Hangup, func(*Lifetime) {})
	case KindRegistry:
		return dep.failRegistry(f)
	case KindCompact:
		dep.store.Compact()
	case KindRestore:
		return dep.restoreRegistry(f)
	case KindRegistryLink:
		return dep.disruptLink(v.registryLink, f, dep.recordVMFault(v.number))
	case KindPeerLink:
		return dep.disruptLink(v.peerLink, f, dep.recordVMFault(v.number))
	case KindEndpointLink:
		return dep.disruptLink(dep.endpointLinks[e], f, dep.recordEndpointFault(e))
	case KindEndpoint:
		return dep.disruptEndpoint(e, f)
	case KindDrain:
		return dep.startRegistrationFault(e, func() func() { return dep.drain(e, f.For) })
	case KindReuse:
		return dep.startRegistrationFault(e, func() func() { return dep.reuseAddress(e, f) })
	case KindTurnAway:
		return dep.turnAway(e, f.For)
	case KindAnnounce:
		return dep.startRegistrationFault(e, func() func() { return dep.announce(e) })
	case KindEvacuate:
		return dep.evacuate(centreOf(f.Target%replicas), f.For)
	case KindTable:
		dep.publishTable()
	case KindBurst:
		return dep.startBurst(f.For)
	}
	return func() {}
}

// recordVMFault records a fault of a VM that starts now. The returned function ends it.
func (dep *deployment) recordVMFault(vm int) func() {
	return dep.recordSpan(func(h *History, s Span) { h.VMFaults[vm] = append(h.VMFaults[vm], s) })
}

// recordEndpointFault records a fault of the connections to an endpoint that starts now. The returned function ends it.
func (dep *deployment) recordEndpointFault(i int) func() {
	id := unit.EndpointID(dep.endpoints[i].ID)
	return dep.recordSpan(func(h *History, s Span) { h.EndpointFaults[id] = append(h.EndpointFaults[id], s) })
}

// recordSpan notes the present time. The returned function calls add with the span from then until its own call, with
// the history locked.
func (dep *deployment) recordSpan(add func(h *History, s Span)) func() {
	from := time.Now()
	return func() {
		dep.history.update(func(h *History) { add(h, Span{From: from, To: time.Now()}) })
	}
}

// freeze suspends a VM's process. The returned function resumes it after d.
func (dep *deployment) freeze(v *vm, d time.Duration) func() {
	ended := dep.recordVMFault(v.number)
	v.signalProcess((*proc.Process).Freeze, func(*Lifetime) {})
	return func() {
		time.Sleep(d)
		v.signalProcess((*proc.Process).Thaw, func(*Lifetime) {})
		ended()
	}
}

// stop tells a VM's process to stop as planned. It may be called again for the same process.
func (dep *deployment) stop(v *vm) {
	now := time.Now()
	v.signalProcess((*proc.Process).Terminate, func(l *Lifetime) {
		if l.StopRequested.IsZero() {
			l.StopRequested = now
			dep.history.update(func(h *History) {
				h.VMFaults[v.number] = append(h.VMFaults[v.number], Span{From: now, To: now.Add(defaultBounds.Grace)})
			})
		}
	})
}

// failRegistry makes the registry fail in the way that the fault's variant selects.
func (dep *deployment) failRegistry(f Fault) func() {
	faults := []registry.Fault{registry.Fault503, registry.Fault429, registry.FaultNoResponse, registry.FaultReset}
	ended := dep.recordSpan(func(h *History, s Span) { h.GlobalFaults = append(h.GlobalFaults, s) })
	dep.store.SetFault(faults[f.Variant%len(faults)])
	return func() {
		time.Sleep(f.For)
		dep.store.SetFault(registry.FaultNone)
		ended()
	}
}

// restoreRegistry copies the registry. The returned function waits for the fault's duration, lets the registry come back
// from the copy, and publishes again what it has lost: half a second later or, as the fault's variant selects, before
// the entry VMs can read it, behind a new table.
func (dep *deployment) restoreRegistry(f Fault) func() {
	copied := dep.store.Copy()
	// Without changes after the copy, no revision would be given out twice.
	dep.publishAgain()
	return func() {
		time.Sleep(f.For)
		ended := dep.recordSpan(func(h *History, s Span) { h.GlobalFaults = append(h.GlobalFaults, s) })
		dep.store.SetFault(registry.Fault503)
		time.Sleep(restoreDelay)
		dep.store.Restore(copied)
		if f.Variant%2 == 0 {
			dep.publishTable()
			dep.publishOthersAgain()
			dep.store.SetFault(registry.FaultNone)
		} else {
			dep.store.SetFault(registry.FaultNone)
			time.Sleep(restoreDelay)
			dep.publishAgain()
		}
		ended()
	}
}

// disruptLink makes a link fail in the way that the fault's variant selects, and heals it at the end.
func (dep *deployment) disruptLink(link *proc.Relay, f Fault, ended func()) func() {
	variants := []func(){
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
	variants[f.Variant%len(variants)]()
	return func() {
		time.Sleep(f.For)
		link.Heal()
		ended()
	}
}

// disruptEndpoint switches an endpoint to the failure mode that the fault's variant selects.
func (dep *deployment) disruptEndpoint(i int, f Fault) func() {
	modes := []shard.Mode{
		shard.ModeReject, shard.ModeDrop, shard.ModeFail, shard.ModeBusy, shard.ModeHang, shard.ModeEncode,
		shard.ModeUnsigned, shard.ModeAbsent,
	}
	dep.endpoints[i].SetMode(modes[f.Variant%len(modes)])
	return func() {
		time.Sleep(f.For)
		dep.endpoints[i].SetMode(shard.ModeServe)
	}
}

// turnAway makes an endpoint turn requests away for the first half of d, with a Retry-After of that half.
func (dep *deployment) turnAway(i int, d time.Duration) func() {
	d /= 2
	dep.endpoints[i].TurnAway(strconv.FormatFloat(d.Seconds(), 'f', 3, 64))
	return func() {
		time.Sleep(d)
		dep.endpoints[i].SetMode(shard.ModeServe)
	}
}

// announce makes an endpoint say in its replies that it is leaving, until somewhat after the drain time, while it stays
// registered as ready. It then starts again.
func (dep *deployment) announce(i int) func() {
	e := dep.endpoints[i]
	ended := dep.recordSpan(func(h *History, s Span) {
		h.Announced = append(h.Announced, LeavingPeriod{Endpoint: unit.EndpointID(e.ID), Span: s})
	})
	e.SetLeaving(true)
	return func() {
		time.Sleep(defaultBounds.DrainTime + announceTime)
		ended()
		e.Restart(time.Now())
		dep.register(i, "ready")
	}
}

// evacuate evacuates a data centre, until somewhat after the drain time.
func (dep *deployment) evacuate(centre string, d time.Duration) func() {
	dep.publish(evacuationKey+centre, "{}")
	ended := dep.recordSpan(func(h *History, s Span) {
		for _, e := range dep.endpoints {
			if e.Centre == centre {
				h.Evacuated = append(h.Evacuated, LeavingPeriod{Endpoint: unit.EndpointID(e.ID), Span: s})
			}
		}
	})
	return func() {
		time.Sleep(d + defaultBounds.DrainTime)
		ended()
		dep.unpublish(evacuationKey + centre)
	}
}

// startRegistrationFault calls begin to start a fault that changes the registration of endpoint e. The returned
// function ends it. While another such fault of the endpoint is active, neither does anything.
func (dep *deployment) startRegistrationFault(e int, begin func() func()) func() {
	set := func(changed bool) (before bool) {
		dep.mu.Lock()
		defer dep.mu.Unlock()
		before = dep.registrationChanged[e]
		dep.registrationChanged[e] = changed
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

// drain sets an endpoint's registration to draining and then removes it. At the end the endpoint is registered again.
func (dep *deployment) drain(i int, d time.Duration) func() {
	endLeaving := dep.recordSpan(func(h *History, s Span) {
		h.Leaving = append(h.Leaving, LeavingPeriod{Endpoint: unit.EndpointID(dep.endpoints[i].ID), Span: s})
	})
	dep.register(i, "draining")
	return func() {
		time.Sleep(deregisterDelay)
		dep.unpublish(dep.endpoints[i].Key())
		time.Sleep(d + defaultBounds.DrainTime)
		endLeaving()
		dep.register(i, "ready")
	}
}

// reuseAddress removes an endpoint and lets an endpoint of another service take over its address. At the end both are
// as before.
func (dep *deployment) reuseAddress(i int, f Fault) func() {
	other := (i + replicas) % len(dep.endpoints)
	ended := dep.recordEndpointFault(i)
	dep.unpublish(dep.endpoints[i].Key())
	dep.endpointLinks[i].Cut()
	return func() {
		time.Sleep(reuseDelay)
		dep.endpointLinks[i].SetTarget(unit.Address(dep.endpoints[other].Address()))
		dep.endpointLinks[i].Heal()
		time.Sleep(f.For)
		dep.endpointLinks[i].Reset()
		dep.endpointLinks[i].SetTarget(unit.Address(dep.endpoints[i].Address()))
		ended()
		dep.register(i, "ready")
	}
}

// startBurst multiplies the number of callers by burstFactor. The returned function waits for d and then restores the
// number.
func (dep *deployment) startBurst(d time.Duration) func() {
	change := func(n int) {
		dep.mu.Lock()
		defer dep.mu.Unlock()
		dep.callerFactor += n
	}
	change(burstFactor - 1)
	return func() {
		time.Sleep(d)
		change(1 - burstFactor)
	}
}
