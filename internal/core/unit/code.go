package unit

// Code is a numbered result code; docs/RESULTS.md lists them.
//
// The hundreds digit is the outcome: 1xx answered, 2xx not run, 3xx unknown.
type Code int

// Outcome is what is known about a request or attempt once it has ended.
type Outcome int

// The outcomes. Every component that forwards a result preserves the distinction between them.
const (
	// OutcomeAnswered means that an answer with its snapshot and coverage was returned.
	OutcomeAnswered Outcome = 1
	// OutcomeNotRun means that no endpoint ran any part of the request.
	OutcomeNotRun Outcome = 2
	// OutcomeUnknown means that an endpoint may have run the request.
	OutcomeUnknown Outcome = 3
)

// The result codes; codeText describes them.
const (
	CodeWhole   Code = 100
	CodePartial Code = 101

	CodeBadRequest     Code = 200
	CodeTooLarge       Code = 201
	CodeUnknownSearch  Code = 202
	CodeUnknownRank    Code = 203
	CodeBadDeadline    Code = 204
	CodeOverloaded     Code = 205
	CodeStopping       Code = 206
	CodeNoConfig       Code = 207
	CodeTooLate        Code = 208
	CodeNoEndpoint     Code = 209
	CodeRefused        Code = 210
	CodeSnapshotAbsent Code = 211
	CodeDraining       Code = 212
	CodeNotConnected   Code = 213
	CodeStaleView      Code = 214
	CodeNotSent        Code = 215
	CodeNoRoute        Code = 216
	CodeHeaderTooLarge Code = 217

	CodeDeadline      Code = 300
	CodeConnection    Code = 301
	CodeCancelled     Code = 302
	CodeBadReply      Code = 303
	CodeEndpointError Code = 304
	CodeOwnerLost     Code = 305
	CodeBelowMinimum  Code = 306
	CodeCallerGone    Code = 307
	CodeStopped       Code = 308
)

// codeText holds the short text of each code. Callers receive these texts.
var codeText = map[Code]string{
	CodeWhole:          "answered with full coverage",
	CodePartial:        "answered with less than full coverage",
	CodeBadRequest:     "the request is not valid",
	CodeTooLarge:       "the request body is too large",
	CodeUnknownSearch:  "the search is not configured",
	CodeUnknownRank:    "the rank is not configured",
	CodeBadDeadline:    "the deadline is past or too far away",
	CodeOverloaded:     "refused to protect more urgent or earlier work",
	CodeStopping:       "this entry VM is stopping",
	CodeNoConfig:       "no configuration has been accepted yet",
	CodeTooLate:        "the request cannot finish before its deadline",
	CodeNoEndpoint:     "no endpoint can be asked",
	CodeRefused:        "the endpoint refused the attempt before running it",
	CodeSnapshotAbsent: "the endpoint does not hold the snapshot",
	CodeDraining:       "the endpoint is leaving",
	CodeNotConnected:   "no connection to the endpoint could be made",
	CodeStaleView:      "this entry VM's view is too old to send work",
	CodeNotSent:        "given up before the request was sent",
	CodeNoRoute:        "no route has the request's host and path",
	CodeHeaderTooLarge: "the request header is too large",
	CodeDeadline:       "the deadline passed after the request was sent",
	CodeConnection:     "the connection failed after the request was sent",
	CodeCancelled:      "cancelled after the request was sent",
	CodeBadReply:       "the endpoint's reply is not valid",
	CodeEndpointError:  "the endpoint failed while it ran the request",
	CodeBelowMinimum:   "the coverage is below the minimum of the search, so its parts are withheld",
	CodeCallerGone:     "the caller left before its answer",
	CodeStopped:        "this entry VM stopped before the request could end",
	CodeOwnerLost:      "the entry VM that owns the endpoint was lost after the request was sent",
}

// Outcome returns the outcome that c belongs to, which its hundreds digit encodes.
func (c Code) Outcome() Outcome {
	return Outcome(int(c) / 100)
}

// String returns the short text of c.
func (c Code) String() string {
	text, ok := codeText[c]
	if !ok {
		return "unlisted code"
	}
	return text
}

// Codes returns every result code with its text, for the check of the documentation.
func Codes() map[Code]string {
	all := make(map[Code]string, len(codeText))
	for code, text := range codeText {
		all[code] = text
	}
	return all
}

// String returns the outcome as it appears in answers.
func (o Outcome) String() string {
	switch o {
	case OutcomeAnswered:
		return "answered"
	case OutcomeNotRun:
		return "not run"
	default:
		return "unknown"
	}
}
