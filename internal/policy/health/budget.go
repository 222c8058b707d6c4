package health

const (
	// extraShare is the number of hedges and retries allowed per first attempt.
	extraShare = 0.05
	// slowExtraShare replaces extraShare while the endpoints are slow as a whole.
	slowExtraShare = 0.002
	// maxTokens is both the initial and the largest number of tokens of a budget, so that a burst of failures, such
	// as the loss of a rack, can be retried. maxSlowTokens replaces it while the endpoints are slow as a whole.
	maxTokens     = 80
	maxSlowTokens = 2
	// A query may reserve up to maxQueryTokenShare of the tokens, and tokens for up to maxQueryShardShare of its
	// shards, so that concurrent queries each get some. A query over few shards may reserve up to minQueryCap
	// tokens.
	maxQueryTokenShare = 0.25
	maxQueryShardShare = 0.5
	minQueryCap        = 4
)

// budget is a retry budget. It limits the hedges and retries of all queries of one search to a share of their first
// attempts; a token allows one extra attempt.
type budget struct {
	tokens float64
}

// reserve adds the tokens earned by the first attempts at this many shards, takes tokens for the extra attempts of
// one query and returns their number, 0 if no whole token is left. slow means that the endpoints are slow as a whole.
func (b *budget) reserve(shards int, slow bool) int {
	share, limit := extraShare, float64(maxTokens)
	if slow {
		share, limit = slowExtraShare, maxSlowTokens
	}
	b.tokens = min(limit, b.tokens+share*float64(shards))
	n := max(1, int(min(maxQueryTokenShare*b.tokens, max(minQueryCap, maxQueryShardShare*float64(shards)))))
	n = min(n, int(b.tokens))
	b.tokens -= float64(n)
	return n
}

// refund puts back the n tokens that a query has reserved and not used.
func (b *budget) refund(n int) {
	b.tokens = min(maxTokens, b.tokens+float64(n))
}
