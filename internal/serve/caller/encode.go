package caller

import (
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/fanout"
)

type (
	// wireAnswer is the JSON body of the response to POST /query.
	wireAnswer struct {
		ID       string        `json:"id"`
		Code     int           `json:"code"`
		Outcome  string        `json:"outcome"`
		Message  string        `json:"message,omitempty"`
		Snapshot uint64        `json:"snapshot,omitempty"`
		Asked    int           `json:"asked"`
		Parts    []wirePart    `json:"parts,omitempty"`
		Missing  []wireMissing `json:"missing,omitempty"`
		Extra    wireExtra     `json:"extra"`
	}

	// wirePart is the part of an answer that one shard returned.
	wirePart struct {
		Shard    string `json:"shard"`
		Endpoint string `json:"endpoint"`
		Body     []byte `json:"body"`
	}

	// wireMissing is a shard without a part, and the reason.
	wireMissing struct {
		Shard   string `json:"shard"`
		Code    int    `json:"code"`
		Outcome string `json:"outcome"`
	}

	// wireExtra counts all attempts of a query, the hedges and retries among them, and late replies.
	wireExtra struct {
		Attempts int `json:"attempts"`
		Hedges   int `json:"hedges"`
		Retries  int `json:"retries"`
		Late     int `json:"late"`
	}
)

// writeAnswer writes an answer as a JSON response.
func writeAnswer(rc *app.RequestContext, answer fanout.Answer) {
	rc.JSON(httpStatus(answer.Code), encode(answer))
}

// encode converts an answer to its JSON form. An answer without a message gets the text of its code.
func encode(answer fanout.Answer) wireAnswer {
	w := wireAnswer{
		ID:       string(answer.ID),
		Code:     int(answer.Code),
		Outcome:  answer.Code.Outcome().String(),
		Message:  answer.Message,
		Snapshot: uint64(answer.Snapshot),
		Asked:    answer.Asked,
		Extra: wireExtra{
			Attempts: answer.Extra.Attempts,
			Hedges:   answer.Extra.Hedges,
			Retries:  answer.Extra.Retries,
			Late:     answer.Extra.Late,
		},
	}
	if w.Message == "" {
		w.Message = answer.Code.String()
	}
	for _, p := range answer.Parts {
		w.Parts = append(w.Parts, wirePart{Shard: string(p.Shard), Endpoint: string(p.Endpoint), Body: p.Body})
	}
	for _, m := range answer.Missing {
		outcome := m.Code.Outcome().String()
		w.Missing = append(w.Missing, wireMissing{Shard: string(m.Shard), Code: int(m.Code), Outcome: outcome})
	}
	return w
}

// httpStatus returns the HTTP status for a result code. Several codes share a status; the body has the exact code.
func httpStatus(code unit.Code) int {
	switch {
	case code.Outcome() == unit.OutcomeAnswered:
		return http.StatusOK
	case code == unit.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case code <= unit.CodeBadDeadline:
		return http.StatusBadRequest
	case code == unit.CodeOverloaded:
		return http.StatusTooManyRequests
	case code.Outcome() == unit.OutcomeNotRun:
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}
