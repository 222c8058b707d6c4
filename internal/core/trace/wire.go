package trace

import (
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
	"basilspan/internal/policy/fanout"
	"basilspan/internal/policy/replay"
	"basilspan/internal/policy/revision"
)

type (
	wireQuery struct {
		ID       string `json:"id"`
		Search   string `json:"search"`
		Rank     string `json:"rank"`
		Deadline offset `json:"deadline"`
		Once     bool   `json:"once,omitempty"`
		Body     string `json:"body,omitempty"`
	}

	wirePlan struct {
		Snapshot uint64             `json:"snapshot"`
		Shards   []wireShard        `json:"shards"`
		Options  wireOptions        `json:"terms"`
		Fallback []wireSnapshotPlan `json:"fallback,omitempty"`
	}

	wireSnapshotPlan struct {
		Snapshot uint64      `json:"snapshot"`
		Shards   []wireShard `json:"shards"`
	}

	// wireOptions has its times in microseconds.
	wireOptions struct {
		Aim       string  `json:"aim"`
		Minimum   float64 `json:"minimum,omitempty"`
		Hedge     offset  `json:"hedge,omitempty"`
		Allowance int     `json:"allowance,omitempty"`
		Expected  offset  `json:"expected,omitempty"`
	}

	wireShard struct {
		ID       string   `json:"id"`
		Replicas []string `json:"replicas,omitempty"`
		Healthy  int      `json:"healthy,omitempty"`
		Leaving  bool     `json:"leaving,omitempty"`
	}

	wireReply struct {
		Attempt  uint32 `json:"attempt"`
		Code     int    `json:"code"`
		Snapshot uint64 `json:"snapshot,omitempty"`
		Shard    string `json:"shard,omitempty"`
		Body     string `json:"body,omitempty"`
	}

	wireAction struct {
		Kind     string `json:"kind"`
		Attempt  uint32 `json:"attempt"`
		Shard    string `json:"shard"`
		Endpoint string `json:"endpoint"`
		Snapshot uint64 `json:"snapshot"`
	}

	wireAnswer struct {
		ID       string        `json:"id"`
		Code     int           `json:"code"`
		Message  string        `json:"message,omitempty"`
		Snapshot uint64        `json:"snapshot,omitempty"`
		Asked    int           `json:"asked"`
		Parts    []wirePart    `json:"parts,omitempty"`
		Missing  []wireMissing `json:"missing,omitempty"`
		Attempts int           `json:"attempts,omitempty"`
		Hedges   int           `json:"hedges,omitempty"`
		Retries  int           `json:"retries,omitempty"`
		Restarts int           `json:"restarts,omitempty"`
		Spent    int           `json:"spent,omitempty"`
		Late     int           `json:"late,omitempty"`
	}

	wirePart struct {
		Shard    string `json:"shard"`
		Endpoint string `json:"endpoint"`
		Body     string `json:"body,omitempty"`
	}

	wireMissing struct {
		Shard string `json:"shard"`
		Code  int    `json:"code"`
	}

	wireOffer struct {
		Before  wireConfigVersion `json:"held"`
		Offered wireConfigVersion `json:"offered"`
		Valid   bool              `json:"valid,omitempty"`
		Problem string            `json:"problem,omitempty"`
		Verdict int               `json:"verdict"`
		// After is the revision in force afterwards.
		After uint64 `json:"force"`
	}

	wireConfigVersion struct {
		Revision uint64 `json:"revision"`
		Digest   string `json:"digest,omitempty"`
	}
)

// actionNames gives the word of each kind of action.
var actionNames = map[fanout.ActionKind]string{
	fanout.ActionSend:   "send",
	fanout.ActionCancel: "cancel",
}

func encodeQuery(start time.Time, q fanout.Query) *wireQuery {
	return &wireQuery{
		ID:       string(q.ID),
		Search:   string(q.Search),
		Rank:     string(q.Rank),
		Deadline: offsetSince(start, q.Deadline),
		Once:     q.Once,
		Body:     string(q.Body),
	}
}

func (w *wireQuery) decode() fanout.Query {
	return fanout.Query{
		ID:       unit.RequestID(w.ID),
		Search:   unit.SearchName(w.Search),
		Rank:     unit.RankName(w.Rank),
		Deadline: w.Deadline.time(),
		Once:     w.Once,
		Body:     digestBytes(w.Body),
	}
}

func encodePlan(p fanout.Plan) *wirePlan {
	w := &wirePlan{
		Snapshot: uint64(p.Snapshot),
		Shards:   encodeShards(p.Shards),
		Options: wireOptions{
			Aim:       string(p.Options.Aim),
			Minimum:   float64(p.Options.Minimum),
			Hedge:     toOffset(p.Options.HedgeAfter),
			Allowance: p.Options.Allowance,
			Expected:  toOffset(p.Options.ExpectedDuration),
		},
	}
	for _, v := range p.Fallback {
		w.Fallback = append(w.Fallback, wireSnapshotPlan{Snapshot: uint64(v.Snapshot), Shards: encodeShards(v.Shards)})
	}
	return w
}

func (w *wirePlan) decode() fanout.Plan {
	p := fanout.Plan{
		Snapshot: unit.SnapshotID(w.Snapshot),
		Shards:   decodeShards(w.Shards),
		Options: fanout.Options{
			Aim:              catalog.Aim(w.Options.Aim),
			Minimum:          unit.Share(w.Options.Minimum),
			HedgeAfter:       w.Options.Hedge.duration(),
			Allowance:        w.Options.Allowance,
			ExpectedDuration: w.Options.Expected.duration(),
		},
	}
	for _, v := range w.Fallback {
		version := fanout.SnapshotPlan{Snapshot: unit.SnapshotID(v.Snapshot), Shards: decodeShards(v.Shards)}
		p.Fallback = append(p.Fallback, version)
	}
	return p
}

func encodeShards(shards []fanout.Shard) []wireShard {
	wires := make([]wireShard, 0, len(shards))
	for _, s := range shards {
		w := wireShard{ID: string(s.ID), Healthy: s.Healthy, Leaving: s.AllLeaving}
		for _, id := range s.Replicas {
			w.Replicas = append(w.Replicas, string(id))
		}
		wires = append(wires, w)
	}
	return wires
}

func decodeShards(wires []wireShard) []fanout.Shard {
	var shards []fanout.Shard
	for _, w := range wires {
		shard := fanout.Shard{ID: unit.ShardID(w.ID), Healthy: w.Healthy, AllLeaving: w.Leaving}
		for _, id := range w.Replicas {
			shard.Replicas = append(shard.Replicas, unit.EndpointID(id))
		}
		shards = append(shards, shard)
	}
	return shards
}

func encodeReply(r fanout.Reply) *wireReply {
	return &wireReply{
		Attempt:  uint32(r.Attempt),
		Code:     int(r.Code),
		Snapshot: uint64(r.Snapshot),
		Shard:    string(r.Shard),
		Body:     string(r.Body),
	}
}

func (w *wireReply) decode() fanout.Reply {
	return fanout.Reply{
		Attempt:  unit.AttemptID(w.Attempt),
		Code:     unit.Code(w.Code),
		Snapshot: unit.SnapshotID(w.Snapshot),
		Shard:    unit.ShardID(w.Shard),
		Body:     digestBytes(w.Body),
	}
}

func encodeActions(actions []fanout.Action) []wireAction {
	var wires []wireAction
	for _, a := range actions {
		wires = append(wires, wireAction{
			Kind:     actionNames[a.Kind],
			Attempt:  uint32(a.Attempt.ID),
			Shard:    string(a.Attempt.Shard),
			Endpoint: string(a.Attempt.Endpoint),
			Snapshot: uint64(a.Attempt.Snapshot),
		})
	}
	return wires
}

func decodeActions(wires []wireAction) ([]fanout.Action, error) {
	var actions []fanout.Action
	for _, w := range wires {
		kind, ok := actionKind(w.Kind)
		if !ok {
			return nil, errors.Newf("actions: unknown kind %q", w.Kind)
		}
		actions = append(actions, fanout.Action{Kind: kind, Attempt: fanout.Attempt{
			ID:       unit.AttemptID(w.Attempt),
			Shard:    unit.ShardID(w.Shard),
			Endpoint: unit.EndpointID(w.Endpoint),
			Snapshot: unit.SnapshotID(w.Snapshot),
		}})
	}
	return actions, nil
}

func actionKind(name string) (kind fanout.ActionKind, ok bool) {
	for k, n := range actionNames {
		if n == name {
			return k, true
		}
	}
	return 0, false
}

func encodeAnswer(a fanout.Answer) *wireAnswer {
	w := &wireAnswer{
		ID:       string(a.ID),
		Code:     int(a.Code),
		Message:  a.Message,
		Snapshot: uint64(a.Snapshot),
		Asked:    a.Asked,
		Attempts: a.Extra.Attempts,
		Hedges:   a.Extra.Hedges,
		Retries:  a.Extra.Retries,
		Restarts: a.Extra.Restarts,
		Spent:    a.Extra.Spent,
		Late:     a.Extra.Late,
	}
	for _, p := range a.Parts {
		w.Parts = append(w.Parts, wirePart{Shard: string(p.Shard), Endpoint: string(p.Endpoint), Body: string(p.Body)})
	}
	for _, m := range a.Missing {
		w.Missing = append(w.Missing, wireMissing{Shard: string(m.Shard), Code: int(m.Code)})
	}
	return w
}

func (w *wireAnswer) decode() fanout.Answer {
	a := fanout.Answer{
		ID:       unit.RequestID(w.ID),
		Code:     unit.Code(w.Code),
		Message:  w.Message,
		Snapshot: unit.SnapshotID(w.Snapshot),
		Asked:    w.Asked,
		Extra: fanout.Extra{
			Attempts: w.Attempts,
			Hedges:   w.Hedges,
			Retries:  w.Retries,
			Restarts: w.Restarts,
			Late:     w.Late,
			Spent:    w.Spent,
		},
	}
	for _, p := range w.Parts {
		part := fanout.Part{Shard: unit.ShardID(p.Shard), Endpoint: unit.EndpointID(p.Endpoint), Body: digestBytes(p.Body)}
		a.Parts = append(a.Parts, part)
	}
	for _, m := range w.Missing {
		a.Missing = append(a.Missing, fanout.Missing{Shard: unit.ShardID(m.Shard), Code: unit.Code(m.Code)})
	}
	return a
}

func encodeOffer(o replay.Offer) *wireOffer {
	return &wireOffer{
		Before:  encodeConfigVersion(o.Before),
		Offered: encodeConfigVersion(o.Offered),
		Valid:   o.Valid,
		Problem: o.Problem,
		Verdict: int(o.Verdict),
		After:   uint64(o.After),
	}
}

func (w *wireOffer) decode() *replay.Offer {
	return &replay.Offer{
		Before:  w.Before.decode(),
		Offered: w.Offered.decode(),
		Valid:   w.Valid,
		Problem: w.Problem,
		Verdict: revision.Verdict(w.Verdict),
		After:   unit.Revision(w.After),
	}
}

func encodeConfigVersion(c replay.ConfigVersion) wireConfigVersion {
	return wireConfigVersion{Revision: uint64(c.Revision), Digest: string(c.Digest)}
}

func (w wireConfigVersion) decode() replay.ConfigVersion {
	return replay.ConfigVersion{Revision: unit.Revision(w.Revision), Digest: revision.Digest(w.Digest)}
}

// digestBytes gives a digest, nil when there is none.
func digestBytes(text string) []byte {
	if text == "" {
		return nil
	}
	return []byte(text)
}
