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
	// maxIDBytes is the maximum length of a request id.
	maxIDBytes = 128
	// maxReportedProblems is the maximum number of problems of a request that a message lists.
	maxReportedProblems = 8
)

// wireQuery is the JSON body of POST /query.
type wireQuery struct {
	ID     string `json:"id"`
	Search string `json:"search"`
	Rank   string `json:"rank"`
	// Timeout is in milliseconds.
	Timeout int64  `json:"timeout"`
	Once    bool   `json:"once"`
	Body    []byte `json:"body"`
}

// decode decodes a query. If the query is valid, code is 0 and message is empty; else message lists the invalid fields,
// at most maxReportedProblems. q has the request id if the id itself is valid. The first pass leaves out the fields of
// problems, which takes less time; only an invalid body is decoded again to name them.
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

// hasProblem reports whether decoding found a problem in that field.
func hasProblem(result strict.Result, field string) bool {
	at, exact := result.Location.Find(field)
	return exact && at.Invalid
}

// idProblem returns why a request id is not valid as the value of the header that is sent to endpoints, or "" if it is.
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

// joinProblems returns the first problems as one message.
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
