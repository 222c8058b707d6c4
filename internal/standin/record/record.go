// Package record records traces from real processes under faults and reduces them to the relevant records, for the
// replay tests.
//
// To record the committed traces again, run:
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

// AnswersByRun returns the answers in a trace by run.
func AnswersByRun(records []replay.Record) map[replay.RunID]fanout.Answer {
	answers := make(map[replay.RunID]fanout.Answer)
	for _, r := range records {
		if r.Kind == replay.KindAnswer {
			answers[r.Run] = r.Fanout.Answer
		}
	}
	return answers
}

// SelectQuery returns the records of the first query for whose answer shouldKeep returns true. ok is false if there is
// none.
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

// recordsOfRun returns the records of one run.
func recordsOfRun(records []replay.Record, id replay.RunID) []replay.Record {
	var kept []replay.Record
	for _, r := range records {
		if r.Run == id {
			kept = append(kept, r)
		}
	}
	return kept
}

// SelectOffers returns the KindOffer records, which hold a received configuration and the verdict on it.
func SelectOffers(records []replay.Record) []replay.Record {
	var kept []replay.Record
	for _, r := range records {
		if r.Kind == replay.KindOffer {
			kept = append(kept, r)
		}
	}
	return kept
}

// WriteTrace writes records as a complete trace that starts at the time of the first one. It returns an error if there
// are no records.
func WriteTrace(w io.Writer, records []replay.Record) error {
	if len(records) == 0 {
		return errors.New("no records to write")
	}
	e := trace.NewEncoder(w, records[0].At)
	for _, r := range records {
		if err := e.Encode(r); err != nil {
			return err
		}
	}
	return e.Encode(replay.Record{At: records[0].At, Kind: replay.KindEnd})
}

// SelectGates returns the first records, at most limit, of the first search's admission. They replay on their own,
// because an admission decision depends only on the records before it.
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
