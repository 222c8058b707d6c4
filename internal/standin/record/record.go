// Package record records traces from real processes under faults and cuts them to what matters, for the replay tests.
//
// This is the command that records the committed traces again:
//
//	go test -count=1 ./internal/standin/record -record ../../policy/replay/testdata
package record

import (
	"io"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/trace"
	"basilspan/internal/policy/fanout"
	"basilspan/internal/policy/replay"
)

// AnswersByRun gives the answers of a trace by run.
func AnswersByRun(records []replay.Record) map[replay.RunID]fanout.Answer {
	answers := make(map[replay.RunID]fanout.Answer)
	for _, r := range records {
		if r.Kind == replay.KindAnswer {
			answers[r.Run] = r.Fanout.Answer
		}
	}
	return answers
}

// SelectQuery keeps the first query whose answer matters; ok is false when there is none.
func SelectQuery(records []replay.Record, shouldKeep func(answer fanout.Answer) bool) (kept []replay.Record, ok bool) {
	answers := AnswersByRun(records)
	for _, r := range records {
		answer, answered := answers[r.Run]
		if r.Kind == replay.KindPlan && answered && shouldKeep(answer) {
			return recordsOfRun(records, r.Run), true
		}
	}
	return nil, false
}

// recordsOfRun gives the records of one run.
func recordsOfRun(records []replay.Record, id replay.RunID) []replay.Record {
	var kept []replay.Record
	for _, r := range records {
		if r.Run == id {
			kept = append(kept, r)
		}
	}
	return kept
}

// SelectOffers gives the records of the acceptance of configuration.
func SelectOffers(records []replay.Record) []replay.Record {
	var kept []replay.Record
	for _, r := range records {
		if r.Kind == replay.KindOffer {
			kept = append(kept, r)
		}
	}
	return kept
}

// WriteTrace writes records as a whole trace that starts at the first of them.
func WriteTrace(w io.Writer, records []replay.Record) error {
	if len(records) == 0 {
		return errors.New("there is nothing to write")
	}
	e := trace.NewEncoder(w, records[0].At)
	for _, r := range records {
		if err := e.Encode(r); err != nil {
			return err
		}
	}
	return e.Encode(replay.Record{At: records[0].At, Kind: replay.KindEnd})
}

// SelectGates keeps the first records of the admission of the first search; what a gate decides follows from all before.
func SelectGates(records []replay.Record, limit int) []replay.Record {
	var kept []replay.Record
	for _, r := range records {
		if r.Gate == nil || len(kept) == limit {
			continue
		}
		if len(kept) == 0 || r.Run == kept[0].Run {
			kept = append(kept, r)
		}
	}
	return kept
}
