package health

const (
	// extraShare is the share of the first attempts that hedges and retries may add.
	extraShare = 0.05
	// slowShare replaces extraShare while the endpoints are slow as a whole.
	slowShare = 0.002
	// budgetStart is what a budget holds at first.
	budgetStart = 8
	// budgetMax is the most that a budget saves up, and budgetSlow while the endpoints are slow as a whole.
	budgetMax  = 40
	budgetSlow = 2
	// queryShare is the share of a query's shards that it may reserve extra attempts for.
	queryShare = 0.1
)

// budget caps the hedges and retries of one search together as a share of its first attempts.
type budget struct {
	tokens float64
}

// reserve adds what the first attempts at that many shards earn, and sets extra attempts aside for one query.
func (b *budget) reserve(shards int, slow bool) int {
	share, most := extraShare, float64(budgetMax)
	if slow {
		share, most = slowShare, budgetSlow
	}
	b.tokens = min(most, b.tokens+share*float64(shards))
	n := min(int(b.tokens), max(1, int(queryShare*float64(shards))))
	b.tokens -= float64(n)
	return n
}

// refund takes back what a query has not used.
func (b *budget) refund(n int) {
	b.tokens = min(budgetMax, b.tokens+float64(n))
}
