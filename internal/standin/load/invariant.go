package load

import (
	"bytes"
	"strconv"

	"basilspan/internal/core/unit"
	"basilspan/internal/standin/endpoint"
)

// violatesInvariant reports whether an answer breaks an invariant. It does if it belongs to another request, has parts
// although its code is not an answered one, accounts for more or fewer shards than the query had, is called whole with
// shards missing, names a shard twice, or has a part whose body is of another request, shard or snapshot.
func violatesInvariant(answer wireAnswer, id string) bool {
	if answer.ID != id {
		return true
	}
	if unit.Code(answer.Code).Outcome() != unit.OutcomeAnswered {
		return len(answer.Parts) > 0
	}
	if len(answer.Parts)+len(answer.Missing) != answer.Shards {
		return true
	}
	if unit.Code(answer.Code) == unit.CodeWhole && len(answer.Missing) > 0 {
		return true
	}
	seen := make(map[string]bool)
	snapshot := strconv.FormatUint(answer.Snapshot, 10)
	for _, p := range answer.Parts {
		want := endpoint.ReplyBody(unit.RequestID(id), unit.ShardID(p.Shard), snapshot)
		if seen[p.Shard] || !bytes.Equal(p.Body, want) {
			return true
		}
		seen[p.Shard] = true
	}
	return false
}
