package ingress

import (
	"bytes"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"basilspan/internal/core/dispatch"
	"basilspan/internal/core/unit"
	"basilspan/internal/link/leaf"
	platform "basilspan/internal/platform/leaf"
)

// The header fields of a request that are not forwarded unchanged, in lower case.
const (
	// fieldRequestID is the caller's ID of this attempt.
	fieldRequestID = "basilspan-request-id"
	// fieldDeadline is how long the caller waits from now, in milliseconds.
	fieldDeadline = "basilspan-deadline-ms"
	// fieldExpected is set only by this VM. A caller's value is dropped.
	fieldExpected = "basilspan-expected-instance"
)

// decodeRequest decodes the request into memory of its own, since hertz reuses the memory of a request while abandoned
// attempts may still refer to it.
func decodeRequest(rc *app.RequestContext, now time.Time) *dispatch.Request {
	h := &rc.Request.Header
	uri := string(h.RequestURI())
	path, _, _ := strings.Cut(uri, "?")
	q := &requestDecoder{dispatch.Request{
		Host:       unit.HostName(h.Host()),
		Method:     string(h.Method()),
		URI:        uri,
		Path:       path,
		Body:       bytes.Clone(rc.Request.Body()),
		HeaderSize: unit.Bytes(len(h.RawHeaders())),
		Arrived:    now,
	}}
	dropped := connectionFields(string(h.Peek("Connection")))
	h.VisitAll(func(key, value []byte) {
		q.addField(string(key), string(value), dropped)
	})
	return &q.Request
}

// requestDecoder collects the fields of a request that is being decoded.
type requestDecoder struct {
	dispatch.Request
}

// connectionFields returns the names of the fields that the caller's Connection field marks as specific to the
// connection.
func connectionFields(connection string) []string {
	var names []string
	for _, name := range strings.Split(connection, ",") {
		names = append(names, strings.ToLower(strings.TrimSpace(name)))
	}
	return names
}

// framingFault returns a description of what makes the end of a request ambiguous, or "". A request is ambiguous if
// it has several fields that determine the length of its body, or a form of them that another server may interpret
// differently.
func framingFault(raw []byte) string {
	lengths, codings := 0, 0
	for _, line := range bytes.Split(raw, []byte("\n")) {
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			return "a folded header field"
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch strings.ToLower(strings.TrimSpace(string(name))) {
		case "content-length":
			lengths++
			if _, err := strconv.ParseUint(strings.TrimSpace(string(value)), 10, 63); err != nil {
				return "a length that is no number"
			}
		case "transfer-encoding":
			codings++
			if !strings.EqualFold(strings.TrimSpace(string(value)), "chunked") {
				return "a transfer encoding other than chunked"
			}
		}
	}
	if lengths+codings > 1 {
		return "more than one length"
	}
	return ""
}

// addField adds a header field to the request. It drops the fields of the connection and those that this VM sets
// itself.
func (q *requestDecoder) addField(name, value string, dropped []string) {
	lower := strings.ToLower(name)
	switch {
	case lower == "host", lower == fieldExpected, slices.Contains(dropped, lower), platform.IsConnectionField(name):
	case lower == fieldRequestID:
		q.ID = unit.RequestID(value)
	case lower == fieldDeadline:
		q.Remaining = parseMillis(value)
	default:
		q.Fields = append(q.Fields, leaf.Field{Name: name, Value: value})
	}
}

// parseMillis decodes a number of milliseconds. It returns 0, which means not stated, if the text is malformed
// or negative.
func parseMillis(text string) time.Duration {
	n, err := strconv.ParseInt(strings.TrimSpace(text), 10, 32)
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}
