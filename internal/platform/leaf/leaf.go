// Package leaf is the platform's form of a call to an endpoint and of its reply: header fields and status codes. It
// decides nothing.
package leaf

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/unit"
	"basilspan/internal/link/leaf"
	"basilspan/internal/policy/replica"
)

// The header fields of a call and its reply.
const (
	// fieldRequestID is the id of the caller's request, which the endpoint repeats in its reply.
	fieldRequestID = "Basilspan-Request-Id"
	// fieldDeadline is how many milliseconds the endpoint may work.
	fieldDeadline = "Basilspan-Deadline-Ms"
	// fieldExpected is the id of the endpoint that is meant.
	fieldExpected = "Basilspan-Expected-Instance"
	// fieldSeal is the endpoint's signature of its reply; failures bear one as well.
	fieldSeal = "Basilspan-Response-Seal"
	// fieldNotExecuted says that the endpoint has not run the call.
	fieldNotExecuted = "Basilspan-Not-Executed"
	// fieldLoad is "running,waiting,slots".
	fieldLoad = "Basilspan-Server-Load"
)

// maxReplyBytes is the largest reply body that is read, in bytes; it bounds the memory that a faulty endpoint can take.
const maxReplyBytes = 8 << 20

// headerEnd ends the header of a message.
var headerEnd = []byte("\r\n\r\n")

// EncodeMessage encodes what the calls of one request have in common. The fields must not include those of one connection.
func EncodeMessage(id unit.RequestID, method, uri, host string, fields []leaf.Field, body []byte) (*leaf.Message, error) {
	header := make(http.Header, len(fields)+2)
	for _, f := range fields {
		header[f.Name] = append(header[f.Name], f.Value)
	}
	header[fieldRequestID] = []string{string(id)}
	if _, ok := header["User-Agent"]; !ok {
		// An empty value keeps the library from adding its own.
		header["User-Agent"] = []string{""}
	}
	req := &http.Request{
		Method:        method,
		URL:           &url.URL{Opaque: uri},
		Host:          host,
		Header:        header,
		ContentLength: int64(len(body)),
	}
	if len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
	}
	var b bytes.Buffer
	if err := req.Write(&b); err != nil {
		return nil, errors.Wrap(err, "encode the request")
	}
	head, _, ok := bytes.Cut(b.Bytes(), headerEnd)
	if !ok {
		return nil, errors.New("the encoded request has no end of its header")
	}
	return &leaf.Message{ID: id, Method: method, Head: head, Body: body}, nil
}

// Encode gives the bytes of a call.
func Encode(c leaf.Call, now time.Time) []byte {
	m := c.Message
	b := make([]byte, 0, len(m.Head)+len(m.Body)+len(c.Endpoint)+80)
	b = append(b, m.Head...)
	b = appendFieldName(b, fieldDeadline)
	b = strconv.AppendInt(b, unit.Remaining(c.Deadline.Sub(now)).Millis(), 10)
	b = appendFieldName(b, fieldExpected)
	b = append(b, c.Endpoint...)
	b = append(b, headerEnd...)
	return append(b, m.Body...)
}

func appendFieldName(b []byte, name string) []byte {
	b = append(b, "\r\n"...)
	b = append(b, name...)
	return append(b, ": "...)
}

// Decode reads one whole reply to a request of that method; an error means that its end is not known to have come.
func Decode(r *bufio.Reader, method string) (leaf.Reply, error) {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return leaf.Reply{}, errors.Wrap(err, "header")
	}
	body, err := readBody(resp, method)
	if err != nil {
		return leaf.Reply{}, errors.Wrap(err, "body")
	}
	return leaf.Reply{
		ID:               unit.RequestID(resp.Header.Get(fieldRequestID)),
		Status:           resp.StatusCode,
		Fields:           forwardedFields(resp.Header),
		Body:             body,
		Seal:             resp.Header.Get(fieldSeal),
		NotExecuted:      resp.Header.Get(fieldNotExecuted) != "" || resp.StatusCode == http.StatusMisdirectedRequest,
		Misdirected:      resp.StatusCode == http.StatusMisdirectedRequest,
		Encoded:          resp.Header.Get("Content-Encoding") != "",
		Load:             parseLoad(resp.Header.Get(fieldLoad)),
		ClosesConnection: resp.Close,
		IdleTimeout:      parseIdleTimeout(resp.Header.Get("Keep-Alive")),
	}, nil
}

func readBody(resp *http.Response, method string) ([]byte, error) {
	defer func() { _ = resp.Body.Close() }()
	if method == http.MethodHead {
		// The length is that of the body which a GET would have.
		return nil, nil
	}
	if n := resp.ContentLength; n >= 0 && n <= maxReplyBytes {
		body := make([]byte, n)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err == nil && len(body) > maxReplyBytes {
		return nil, errors.Newf("has more than %d bytes", maxReplyBytes)
	}
	return body, err
}

// forwardedFields gives the header fields that are passed on to the caller.
func forwardedFields(h http.Header) []leaf.Field {
	all := make([]leaf.Field, 0, len(h))
	for name, values := range h {
		if IsConnectionField(name) || name == fieldLoad {
			continue
		}
		for _, v := range values {
			all = append(all, leaf.Field{Name: name, Value: v})
		}
	}
	return all
}

// IsConnectionField says whether a header field concerns one connection alone or the framing of its message.
func IsConnectionField(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
		"content-length", "date", "server", "expect":
		return true
	default:
		return false
	}
}

// parseLoad decodes a load report; one that cannot be read says nothing.
func parseLoad(text string) *replica.Load {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return nil
	}
	var n [3]int
	for i, p := range parts {
		v, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil {
			return nil
		}
		n[i] = v
	}
	return &replica.Load{Running: n[0], Waiting: n[1], Slots: unit.Slots(n[2])}
}

// parseIdleTimeout decodes the time-out of a Keep-Alive field, 0 when there is none.
func parseIdleTimeout(text string) time.Duration {
	for _, p := range strings.Split(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(p), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n > 0 {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}
