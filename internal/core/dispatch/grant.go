package dispatch

import (
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/unit"
	"basilspan/internal/link/peer"
)

// bitmap marks some of the shards of a portion, the first one in the lowest bit of the first byte.
type bitmap []byte

// has reports whether a shard is marked.
func (b bitmap) has(shard int) bool {
	return shard/8 < len(b) && b[shard/8]&(1<<(shard%8)) != 0
}

// set marks a shard.
func (b *bitmap) set(shard int) {
	for len(*b) <= shard/8 {
		*b = append(*b, 0)
	}
	(*b)[shard/8] |= 1 << (shard % 8)
}

// startRemote counts a portion as in progress at another VM until recordPortionEnd, and reserves an extra attempt for
// each of its shards as far as this VM's allowance permits. It returns the shards that have one. Each call must be
// followed by one of endRemote.
func (d *Dispatcher) startRemote(j *job, node unit.NodeID, services []unit.ServiceName) bitmap {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.portionTracker.RecordSent(node)
	now := d.Now()
	var extra bitmap
	if j.route.Attempts < 2 {
		return nil
	}
	for i, s := range services {
		if d.allowance.Reserve(now, s, j.view.VMs) {
			extra.set(i)
		}
	}
	return extra
}

// endRemote settles the extra attempts that startRemote has reserved. Where the other VM returned no result, they
// count as sent, and only once it can send none any more.
func (d *Dispatcher) endRemote(
	j *job, services []unit.ServiceName, extra bitmap, result wirePortionResult, err error,
) {
	settle := func(used func(shard int) bool) {
		d.mu.Lock()
		defer d.mu.Unlock()
		now := d.Now()
		for i, s := range services {
			if extra.has(i) {
				d.allowance.Settle(now, s, used(i))
			}
		}
	}
	switch {
	case err == nil:
		settle(result.Extra.has)
	case errors.Is(err, peer.ErrNotSent):
		settle(func(int) bool { return false })
	default:
		time.AfterFunc(max(0, j.params.End().Sub(d.Now())), func() { settle(func(int) bool { return true }) })
	}
}
