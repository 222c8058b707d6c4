package gather

import "time"

// minPostponement is the shortest time between two tries to send the same hedge.
const minPostponement = 20 * time.Millisecond

// postponeHedge schedules the next try of a hedge that could not be sent, because the allowance did not permit it or no
// endpoint was fit for it. The endpoint of the open attempt may have died without a word, or be so slow that its shard
// would keep the request until its deadline.
func (m *Machine) postponeHedge(now time.Time, shard int) {
	m.shards[shard].hedgeAt = now.Add(max(minPostponement, m.Params.HedgeAfter))
}
