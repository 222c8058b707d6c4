package health

const (
	// extraShare is the share of the first attempts that hedges and retries may add.
	extraShare = 0.05
	// slowExtraShare replaces extraShare while the endpoints are slow as a whole.
	slowExtraShare = 0.002
	// maxTokens is what a budget holds at first and the most that it saves up, so that a burst of failures, such as a
	// lost rack, can be retried; budgetSlow is the most while the endpoints are slow as a whole.
	maxTokens     = 80
	maxSlowTokens = 2
	// maxQueryTokenShare is the part of the budget, and queryShare the share of a query's shards, that one query may reserve,
	// so that queries under way at the same time each get some. A query over few shards may reserve queryLeast.
	maxQueryTokenShare = 0.25
	maxQueryShardShare = 0.5
	minQueryCap        = 4
)

// budget caps the hedges and retries of one search together as a share of its first attempts.
type budget struct {
	tokens float64
}

// reserve adds what the first attempts at that many shards earn, and sets extra attempts aside for one query.
func (b *budget) reserve(shards int, slow bool) int {
	share, most := extraShare, float64(maxTokens)
	if slow {
		share, most = slowExtraShare, maxSlowTokens
	}
	b.tokens = min(most, b.tokens+share*float64(shards))
	n := max(1, int(min(maxQueryTokenShare*b.tokens, max(minQueryCap, maxQueryShardShare*float64(shards)))))
	n = min(n, int(b.tokens))
	b.tokens -= float64(n)
	return n
}

// refund takes back what a query has not used.
func (b *budget) refund(n int) {
	b.tokens = min(maxTokens, b.tokens+float64(n))
}
