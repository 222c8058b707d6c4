package caller

import (
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/fanout"
)

type (
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

	wirePart struct {
		Shard    string `json:"shard"`
		Endpoint string `json:"endpoint"`
		Body     []byte `json:"body"`
	}

	wireMissing struct {
		Shard   string `json:"shard"`
		Code    int    `json:"code"`
		Outcome string `json:"outcome"`
	}

	wireExtra struct {
		Attempts int `json:"attempts"`
		Hedges   int `json:"hedges"`
		Retries  int `json:"retries"`
		Late     int `json:"late"`
	}
)

func writeAnswer(rc *app.RequestContext, answer fanout.Answer) {
	rc.JSON(httpStatus(answer.Code), encode(answer))
}

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

// httpStatus gives the HTTP status of a result code; the code in the body says more.
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
