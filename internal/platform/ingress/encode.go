package ingress

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"basilspan/internal/core/dispatch"
	"basilspan/internal/core/unit"
)

// The header fields of a response.
const (
	// fieldSeals lists the seals, that is, the endpoints' signatures, of the replies that a merged response was built
	// from.
	fieldSeals = "Basilspan-Part-Stamps"
	// fieldMissing is the number of shards that are missing from a merged response.
	fieldMissing = "Basilspan-Missing-Parts"
	// fieldRetryAfter is in seconds with a fraction.
	fieldRetryAfter = "Retry-After"
)

// writeAnswer writes the response. If it is not based on an endpoint's reply, its status shows the outcome: only a
// request that was not run gets a status which guarantees that.
func writeAnswer(rc *app.RequestContext, a dispatch.Answer) {
	switch {
	case a.Merged:
		rc.Response.Header.Set(fieldSeals, strings.Join(a.Seals, ", "))
		rc.Response.Header.Set(fieldMissing, strconv.Itoa(a.Missing))
		rc.SetStatusCode(http.StatusOK)
		rc.Response.SetBodyRaw(a.Body)
	case a.Status != 0:
		for _, f := range a.Fields {
			rc.Response.Header.Add(f.Name, f.Value)
		}
		rc.SetStatusCode(a.Status)
		rc.Response.SetBodyRaw(a.Body)
	default:
		writeResultCode(rc, a)
	}
}

// writeResultCode writes a response that is not based on an endpoint's reply.
func writeResultCode(rc *app.RequestContext, a dispatch.Answer) {
	if a.RetryAfter > 0 {
		seconds := strconv.FormatFloat(a.RetryAfter.Round(time.Millisecond).Seconds(), 'f', 3, 64)
		rc.Response.Header.Set(fieldRetryAfter, seconds)
	}
	rc.SetStatusCode(httpStatus(a.Code))
	rc.SetBodyString(strconv.Itoa(int(a.Code)) + " " + a.Code.String() + "\n")
}

// httpStatus returns the HTTP status for a result code. Among the codes without a status of their own, 503 means that
// the request was not run, and 502 that it may have been.
func httpStatus(code unit.Code) int {
	switch code {
	case unit.CodeNoRoute:
		return http.StatusNotFound
	case unit.CodeBadRequest:
		return http.StatusBadRequest
	case unit.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case unit.CodeHeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case unit.CodeDeadline:
		return http.StatusGatewayTimeout
	}
	if code.Outcome() == unit.OutcomeNotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
