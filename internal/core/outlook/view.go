// Package outlook owns what an entry VM believes about routes and endpoints. It lives on the control goroutine, which
// publishes immutable views that traffic reads without a lock.
package outlook

import (
	"sync/atomic"
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/census"
	"basilspan/internal/policy/directory"
	"basilspan/internal/policy/routing"
)

// View is the belief at one moment; it is never changed once published.
type View struct {
	// Table is nil before the first routing table is known.
	Table *routing.Table
	// TableAt is when the table came into force here.
	TableAt time.Time
	// Endpoints are those that may get requests; it is nil before the first listing of the registry.
	Endpoints map[unit.ServiceName][]directory.Endpoint
	// EndpointsAt is the registry's revision that Endpoints stand for.
	EndpointsAt unit.Revision
	// Heard is when the registry last answered.
	Heard time.Time
	// VMs is how many entry VMs there are, this one included.
	VMs int
}

// Complete says whether requests can be served.
func (v *View) Complete() bool {
	return v.Table != nil && v.Endpoints != nil
}

// Views holds the latest view.
type Views struct {
	latest atomic.Pointer[View]
}

// NewViews makes a store with an empty view.
func NewViews() *Views {
	v := &Views{}
	v.latest.Store(&View{VMs: census.Unknown})
	return v
}

// Load gives the latest view; it is never nil.
func (v *Views) Load() *View {
	return v.latest.Load()
}

func (v *Views) publish(next *View) {
	v.latest.Store(next)
}
