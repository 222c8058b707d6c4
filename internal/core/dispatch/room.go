package dispatch

import (
	"context"
	"sync"
	"time"

	"basilspan/internal/core/discovery"
	"basilspan/internal/core/unit"
	"basilspan/internal/link/peer"
	"basilspan/internal/policy/divide"
)

// methodRoom asks another VM how long requests wait at the endpoints of services that it calls.
const methodRoom peer.Method = "room"

// maxAskedVMs is how many VMs are asked about a service whose requests all VMs send themselves.
const maxAskedVMs = 8

// wireRoom is the request of methodRoom, and wireRoomResult its response: the waits in microseconds, in the order of the
// services, or nothing if there are none. With Newest, they are those that the newest request to each service has met, and
// Age says how long ago, in microseconds, -1 if there is none.
type (
	wireRoom struct {
		Services []unit.ServiceName `json:"services"`
		Newest   bool               `json:"newest,omitempty"`
	}
	wireRoomResult struct {
		Room []int64 `json:"room,omitempty"`
		Age  []int64 `json:"age,omitempty"`
	}
)

// encodeRoom returns waits in the form of a message.
func encodeRoom(waits []time.Duration) []int64 {
	if waits == nil {
		return nil
	}
	all := make([]int64, len(waits))
	for i, w := range waits {
		all[i] = w.Microseconds()
	}
	return all
}

// decodeRoom returns waits from a message.
func decodeRoom(room []int64) []time.Duration {
	if room == nil {
		return nil
	}
	all := make([]time.Duration, len(room))
	for i, w := range room {
		all[i] = micros(w)
	}
	return all
}

// handleRoom registers the handler that tells other VMs how long requests wait.
func (d *Dispatcher) handleRoom(link *peer.Link) {
	peer.Handle(link, methodRoom, func(_ context.Context, w wireRoom) (wireRoomResult, error) {
		return d.room(w), nil
	})
}

// room returns how long requests of this VM wait at the endpoints of services.
func (d *Dispatcher) room(w wireRoom) wireRoomResult {
	if !w.Newest {
		return wireRoomResult{Room: encodeRoom(d.admission.own(d.Now(), w.Services))}
	}
	waits, ages := d.admission.newest(d.Now(), w.Services)
	return wireRoomResult{Room: encodeRoom(waits), Age: encodeRoom(ages)}
}

// askWaits asks other VMs how long the requests of a job would wait at the endpoints: those that would serve its portions
// or, for a service whose requests all VMs send themselves, some of them. A VM that does not answer in time, or is of a
// release that can't, leaves what this VM knows as it is.
func (d *Dispatcher) askWaits(j *job) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	var wg sync.WaitGroup
	if j.route.Gathers() {
		for _, p := range d.planPortions(j) {
			if !p.Local {
				wg.Go(func() { d.askWaitsOfGroup(ctx, p.VM, j.servicesOf(p.Shards)) })
			}
		}
	} else {
		for _, vm := range d.someVMs(j.view) {
			wg.Go(func() { d.askNewest(ctx, vm, j.services) })
		}
	}
	wg.Wait()
}

// someVMs returns up to maxAskedVMs other VMs.
func (d *Dispatcher) someVMs(v *discovery.View) []divide.Candidate {
	var some []divide.Candidate
	first := int(d.Rand() * float64(len(v.Candidates)))
	for i := range v.Candidates {
		vm := v.Candidates[(first+i)%len(v.Candidates)]
		if vm.Node != d.node && len(some) < maxAskedVMs {
			some = append(some, vm)
		}
	}
	return some
}

// askWaitsOfGroup asks a VM that serves portions with these services.
func (d *Dispatcher) askWaitsOfGroup(ctx context.Context, vm divide.Candidate, services []unit.ServiceName) {
	if result, ok := d.askRoom(ctx, vm, wireRoom{Services: services}); ok {
		d.admission.learn(d.Now(), services, decodeRoom(result.Room))
	}
}

// askNewest asks a VM what its newest requests to the services have met.
func (d *Dispatcher) askNewest(ctx context.Context, vm divide.Candidate, services []unit.ServiceName) {
	if result, ok := d.askRoom(ctx, vm, wireRoom{Services: services, Newest: true}); ok {
		d.admission.learnNewest(d.Now(), services, decodeRoom(result.Room), decodeRoom(result.Age))
	}
}

// askRoom calls methodRoom of a VM; ok is false if it has not answered.
func (d *Dispatcher) askRoom(ctx context.Context, vm divide.Candidate, w wireRoom) (result wireRoomResult, ok bool) {
	d.Metrics.Add("admission.asked", 1)
	if err := d.Call(ctx, vm.Address, methodRoom, w, &result); err != nil {
		d.Metrics.Add("admission.unanswered", 1)
		return wireRoomResult{}, false
	}
	return result, true
}
