package caller

import (
	"strconv"
	"strings"
	"time"

	"basilspan/internal/config/strict"
	"basilspan/internal/core/query"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/fanout"
)

const (
	// maxIDBytes is the longest request id, in bytes.
	maxIDBytes = 128
	// maxReportedProblems is how many faults of a request a message names.
	maxReportedProblems = 8
)

// wireQuery is the body of POST /query.
type wireQuery struct {
	ID     string `json:"id"`
	Search string `json:"search"`
	Rank   string `json:"rank"`
	// Timeout is in milliseconds.
	Timeout int64  `json:"timeout"`
	Once    bool   `json:"once"`
	Body    []byte `json:"body"`
}

// decode reads a query; code is 0 when it is valid, and message then empty. The message names every field at fault.
func decode(body []byte, now time.Time) (q fanout.Query, code unit.Code, message string) {
	var w wireQuery
	result := strict.Decode(body, &w, strict.Options{SkipLocations: true})
	if len(result.Problems) > 0 {
		w = wireQuery{}
		result = strict.Decode(body, &w, strict.Options{})
	}
	q = fanout.Query{
		ID:       unit.RequestID(w.ID),
		Search:   unit.SearchName(w.Search),
		Rank:     unit.RankName(w.Rank),
		Once:     w.Once,
		Body:     w.Body,
		Deadline: now.Add(time.Duration(w.Timeout) * time.Millisecond),
	}
	if fault := idProblem(w.ID); fault != "" {
		q.ID = ""
		if !result.InvalidJSON && !hasProblem(result, "id") {
			result.Problems = append(result.Problems, strict.Problem{Field: "id", Text: fault})
		}
	}
	maxTimeoutMillis := query.MaxTimeout.Milliseconds()
	badTimeout := !result.InvalidJSON && (hasProblem(result, "timeout") || w.Timeout <= 0 || w.Timeout > maxTimeoutMillis)
	if badTimeout && !hasProblem(result, "timeout") {
		text := "must be from 1 to " + strconv.FormatInt(maxTimeoutMillis, 10) + " milliseconds"
		result.Problems = append(result.Problems, strict.Problem{Field: "timeout", Text: text})
	}
	switch {
	case len(result.Problems) == 0:
		return q, 0, ""
	case badTimeout && len(result.Problems) == 1:
		return q, unit.CodeBadDeadline, joinProblems(result.Problems)
	default:
		return q, unit.CodeBadRequest, joinProblems(result.Problems)
	}
}

// hasProblem says whether that field has a problem.
func hasProblem(result strict.Result, field string) bool {
	at, exact := result.Location.Find(field)
	return exact && at.Invalid
}

// idProblem gives the reason to refuse a request id, which goes to endpoints as a header, or "".
func idProblem(id string) string {
	if id == "" || len(id) > maxIDBytes {
		return "must have 1 to " + strconv.Itoa(maxIDBytes) + " bytes"
	}
	if strings.TrimSpace(id) != id {
		return "must not begin or end with a space"
	}
	for _, c := range []byte(id) {
		if c < ' ' || c > '~' {
			return "must have printable ASCII characters only"
		}
	}
	return ""
}

// joinProblems gives the problems as one message.
func joinProblems(problems []strict.Problem) string {
	var all []string
	for _, p := range problems[:min(len(problems), maxReportedProblems)] {
		field := p.Field
		if field == "" {
			field = "body"
		}
		all = append(all, field+": "+p.Text)
	}
	return strings.Join(all, "; ")
}
