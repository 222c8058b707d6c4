package trace

import (
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/unit"
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
		Snapshot uint64      `json:"snapshot"`
		Shards   []wireShard `json:"shards"`
	}

	wireShard struct {
		ID       string   `json:"id"`
		Replicas []string `json:"replicas,omitempty"`
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
		Held    wireContent `json:"held"`
		Offered wireContent `json:"offered"`
		Valid   bool        `json:"valid,omitempty"`
		Problem string      `json:"problem,omitempty"`
		Verdict int         `json:"verdict"`
		// Force is the revision in force afterwards.
		Force uint64 `json:"force"`
	}

	wireContent struct {
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
		Deadline: since(start, q.Deadline),
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
		Body:     body(w.Body),
	}
}

func encodePlan(p fanout.Plan) *wirePlan {
	w := &wirePlan{Snapshot: uint64(p.Snapshot), Shards: make([]wireShard, 0, len(p.Shards))}
	for _, s := range p.Shards {
		one := wireShard{ID: string(s.ID)}
		for _, id := range s.Replicas {
			one.Replicas = append(one.Replicas, string(id))
		}
		w.Shards = append(w.Shards, one)
	}
	return w
}

func (w *wirePlan) decode() fanout.Plan {
	p := fanout.Plan{Snapshot: unit.SnapshotID(w.Snapshot)}
	for _, s := range w.Shards {
		one := fanout.Shard{ID: unit.ShardID(s.ID)}
		for _, id := range s.Replicas {
			one.Replicas = append(one.Replicas, unit.EndpointID(id))
		}
		p.Shards = append(p.Shards, one)
	}
	return p
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
		Body:     body(w.Body),
	}
}

func encodeActions(actions []fanout.Action) []wireAction {
	var all []wireAction
	for _, a := range actions {
		all = append(all, wireAction{
			Kind:     actionNames[a.Kind],
			Attempt:  uint32(a.Attempt.ID),
			Shard:    string(a.Attempt.Shard),
			Endpoint: string(a.Attempt.Endpoint),
			Snapshot: uint64(a.Attempt.Snapshot),
		})
	}
	return all
}

func decodeActions(all []wireAction) ([]fanout.Action, error) {
	var actions []fanout.Action
	for _, w := range all {
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
		Extra:    fanout.Extra{Attempts: w.Attempts, Hedges: w.Hedges, Retries: w.Retries, Late: w.Late},
	}
	for _, p := range w.Parts {
		part := fanout.Part{Shard: unit.ShardID(p.Shard), Endpoint: unit.EndpointID(p.Endpoint), Body: body(p.Body)}
		a.Parts = append(a.Parts, part)
	}
	for _, m := range w.Missing {
		a.Missing = append(a.Missing, fanout.Missing{Shard: unit.ShardID(m.Shard), Code: unit.Code(m.Code)})
	}
	return a
}

func encodeOffer(o replay.Offer) *wireOffer {
	return &wireOffer{
		Held:    encodeContent(o.Held),
		Offered: encodeContent(o.Offered),
		Valid:   o.Valid,
		Problem: o.Problem,
		Verdict: int(o.Verdict),
		Force:   uint64(o.Force),
	}
}

func (w *wireOffer) decode() *replay.Offer {
	return &replay.Offer{
		Held:    w.Held.decode(),
		Offered: w.Offered.decode(),
		Valid:   w.Valid,
		Problem: w.Problem,
		Verdict: revision.Verdict(w.Verdict),
		Force:   unit.Revision(w.Force),
	}
}

func encodeContent(c replay.Content) wireContent {
	return wireContent{Revision: uint64(c.Revision), Digest: string(c.Digest)}
}

func (w wireContent) decode() replay.Content {
	return replay.Content{Revision: unit.Revision(w.Revision), Digest: revision.Digest(w.Digest)}
}

// body gives a digest, nil when there is none.
func body(text string) []byte {
	if text == "" {
		return nil
	}
	return []byte(text)
}
