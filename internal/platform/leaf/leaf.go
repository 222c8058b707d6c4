// Package leaf encodes calls to endpoints and decodes their replies in the platform's format: header fields and
// status codes. It makes no decisions.
package leaf

import (
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
	// fieldRequestID is the ID of the caller's request. The endpoint returns it in its reply.
	fieldRequestID = "Basilspan-Request-Id"
	// fieldDeadline is how long the endpoint may work, in milliseconds.
	fieldDeadline = "Basilspan-Deadline-Ms"
	// fieldExpected is the ID of the endpoint that the call is meant for.
	fieldExpected = "Basilspan-Expected-Instance"
	// fieldSeal is the endpoint's signature of its reply. Replies that report a failure carry it too.
	fieldSeal = "Basilspan-Response-Seal"
	// fieldNotExecuted is set if the endpoint did not execute the call.
	fieldNotExecuted = "Basilspan-Not-Executed"
	// fieldLoad is the endpoint's load report in the form "running,waiting,slots" or "running,waiting,slots,percent",
	// where percent is how long work takes now, 100 being the usual time.
	fieldLoad = "Basilspan-Server-Load"
	// fieldRetryAfter of a 503 is for how long the endpoint wants no requests from this VM: seconds, which may have a
	// fraction, or a date.
	fieldRetryAfter = "Retry-After"
	// fieldLeaving is "1" in the replies of an endpoint that is leaving.
	fieldLeaving = "Server-Leaving"
)

const (
	// initialBodyBytes is how much memory is reserved for a body by its stated length alone.
	initialBodyBytes = 64 << 10
	// minBodyBytes is the first buffer for a body without a stated length.
	minBodyBytes = 512
	// maxErrorBytes is the length of the longest error text that is kept. Errors of net/http quote the malformed line.
	maxErrorBytes = 200
	// loadFigures is the number of figures of a load report that are understood.
	loadFigures = 4
	// maxLoadCount bounds the requests and slots that an endpoint can report.
	maxLoadCount = 1_000_000
	// minSlownessPercent and maxSlownessPercent bound what an endpoint can report of its speed.
	minSlownessPercent = 1
	maxSlownessPercent = 100_000
	// maxRetryAfter bounds the time for which one reply can keep requests away from its endpoint.
	maxRetryAfter = 10 * time.Minute
)

// headerEnd terminates the header of a message.
var headerEnd = []byte("\r\n\r\n")

// EncodeMessage encodes the parts that all calls for one request share. The fields must not include those that apply
// to a single connection.
func EncodeMessage(
	id unit.RequestID, method, uri, host string, fields []leaf.Field, body []byte,
) (*leaf.Message, error) {
	header := make(http.Header, len(fields)+2)
	for _, f := range fields {
		header[f.Name] = append(header[f.Name], f.Value)
	}
	header[fieldRequestID] = []string{string(id)}
	if _, ok := header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
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
		return nil, errors.Wrap(err, "encode the request for the endpoints")
	}
	head, _, ok := bytes.Cut(b.Bytes(), headerEnd)
	if !ok {
		return nil, errors.New("the encoded request does not contain the end of its header")
	}
	return &leaf.Message{ID: id, Method: method, Head: head, Body: body}, nil
}

// Encode returns the encoded call with the time that remains until its deadline at now. It is called right before the
// call is written.
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

// appendFieldName appends the end of the previous line and the name of a new header field, without its value.
func appendFieldName(b []byte, name string) []byte {
	b = append(b, "\r\n"...)
	b = append(b, name...)
	return append(b, ": "...)
}

// Decode reads one complete reply, which began to arrive at now, to a request with the given method, and skips the interim
// replies before it. It returns an error if the end of the reply was not reached, and with it, if the header is complete,
// only the ID, Misdirected and Leaving.
func Decode(now time.Time, r *leaf.Reader, method string) (leaf.Reply, error) {
	resp, err := readHead(r, method)
	if err != nil {
		return leaf.Reply{}, errors.Wrap(readError(r, err), "header")
	}
	r.BeginBody()
	body, err := readBody(r, resp, method)
	reply := leaf.Reply{
		ID:          unit.RequestID(resp.Header.Get(fieldRequestID)),
		Misdirected: resp.StatusCode == http.StatusMisdirectedRequest,
		Leaving:     resp.Header.Get(fieldLeaving) == "1",
	}
	if err != nil {
		return reply, errors.Wrap(readError(r, err), "body")
	}
	reply = leaf.Reply{
		ID:               reply.ID,
		Status:           resp.StatusCode,
		Fields:           forwardedFields(resp.Header),
		Body:             body,
		Seal:             resp.Header.Get(fieldSeal),
		NotExecuted:      resp.Header.Get(fieldNotExecuted) != "" || reply.Misdirected,
		Misdirected:      reply.Misdirected,
		Encoded:          resp.Header.Get("Content-Encoding") != "",
		Leaving:          reply.Leaving,
		ClosesConnection: resp.Close,
		IdleTimeout:      parseIdleTimeout(resp.Header.Get("Keep-Alive")),
	}
	load, ok := parseLoad(resp.Header.Get(fieldLoad))
	reply.Load, reply.LoadInvalid = load, !ok
	if text := resp.Header.Get(fieldRetryAfter); text != "" && resp.StatusCode == http.StatusServiceUnavailable {
		wait, ok := parseRetryAfter(now, text)
		reply.RetryAfter, reply.RetryAfterInvalid = wait, !ok
	}
	return reply, nil
}

// readHead reads the status line and the header of a reply to a request with the given method. It skips interim replies
// (1xx), whose size counts towards the bound on the head.
func readHead(r *leaf.Reader, method string) (*http.Response, error) {
	for {
		sound := beginsStatusLine(r)
		resp, err := http.ReadResponse(r.Reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		switch {
		case !sound:
			return nil, errors.Newf("malformed status line: %s %s", resp.Proto, resp.Status)
		case resp.StatusCode >= 200 && resp.StatusCode < 600:
			return resp, nil
		case resp.StatusCode < 100 || resp.StatusCode >= 600 || resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.Newf("status %d", resp.StatusCode)
		}
	}
}

// statusLine is the form of the beginning of a status line; 0 stands for any digit.
const statusLine = "HTTP/1.0 000"

// beginsStatusLine reports whether the next bytes are the beginning of a status line of HTTP/1. ReadResponse also accepts
// other versions, and spaces before the status. It takes no bytes, and waits for none behind a wrong one.
func beginsStatusLine(r *leaf.Reader) bool {
	for i := range len(statusLine) {
		next, err := r.Peek(i + 1)
		if err != nil {
			return false
		}
		got, want := next[i], statusLine[i]
		if isDigit := got >= '0' && got <= '9'; got != want && (want != '0' || !isDigit) {
			return false
		}
	}
	return true
}

// readBody reads the complete body of a reply to a request with the given method. It leaves the body open, since
// closing one that failed would read on to its end.
func readBody(r *leaf.Reader, resp *http.Response, method string) ([]byte, error) {
	switch n := resp.ContentLength; {
	case method == http.MethodHead:
		// The length is that of the body that a GET would return.
		return nil, nil
	case n >= 0:
		if err := r.CheckBody(n); err != nil {
			return nil, err
		}
		body, err := readUpTo(resp.Body, int(min(n, initialBodyBytes)), int(n))
		if err == nil && len(body) < int(n) {
			err = io.ErrUnexpectedEOF
		}
		return body, err
	}
	body, err := readUpTo(&chunkedBody{reader: r, body: resp.Body}, minBodyBytes, leaf.MaxBodyBytes+1)
	if err == nil && len(body) > leaf.MaxBodyBytes {
		return nil, leaf.ErrOversized
	}
	return body, err
}

// readUpTo reads n bytes, or fewer if the input ends. Its buffer has initial bytes at first and doubles as bytes come, so that it takes at most twice what
// has come, and growing leaves little garbage.
func readUpTo(r io.Reader, initial, n int) ([]byte, error) {
	body := make([]byte, 0, initial)
	for len(body) < n {
		if len(body) == cap(body) {
			larger := make([]byte, len(body), min(n, 2*len(body)))
			copy(larger, body)
			body = larger
		}
		got, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+got]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return body, err
		}
	}
	return body, nil
}

// chunkedBody reads a body and bounds the overhead of its chunks.
type chunkedBody struct {
	reader *leaf.Reader
	body   io.Reader
	// n is the number of bytes read without the encoding of the chunks.
	n int64
}

func (c *chunkedBody) Read(p []byte) (int, error) {
	n, err := c.body.Read(p)
	c.n += int64(n)
	if c.reader.BodyBytes()-c.n > leaf.MaxChunkOverhead {
		return n, leaf.ErrOversized
	}
	return n, err
}

// readError returns why a reply could not be read: the failure of the connection if there is one, and otherwise err. It
// keeps only the beginning of a long text.
func readError(r *leaf.Reader, err error) error {
	if cause := r.Err(); cause != nil && !errors.Is(cause, io.EOF) {
		return cause
	}
	if text := err.Error(); len(text) > maxErrorBytes {
		return errors.Newf("%.*q", maxErrorBytes, text)
	}
	return err
}

// forwardedFields returns the header fields of a reply that are forwarded to the caller.
func forwardedFields(h http.Header) []leaf.Field {
	all := make([]leaf.Field, 0, len(h))
	for name, values := range h {
		if IsConnectionField(name) || name == fieldLoad || name == fieldLeaving {
			continue
		}
		for _, v := range values {
			all = append(all, leaf.Field{Name: name, Value: v})
		}
	}
	return all
}

// IsConnectionField reports whether a header field applies to a single connection or to the framing of its message,
// so that it is not forwarded.
func IsConnectionField(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
		"content-length", "date", "server", "expect":
		return true
	default:
		return false
	}
}

// parseLoad decodes a load report: the numbers of running and waiting requests and of slots, and how long work takes in
// percent of the usual time. Figures at the end may be missing, and further ones are ignored. load is nil if one of the
// first three is malformed, and its Slowness 0 if only the fourth is; ok is false in both cases.
func parseLoad(text string) (load *replica.Load, ok bool) {
	if text == "" {
		return nil, true
	}
	figures := strings.SplitN(text, ",", loadFigures+1)
	var n [3]int
	for i, figure := range figures[:min(len(figures), len(n))] {
		if n[i], ok = parseCount(strings.TrimSpace(figure)); !ok {
			return nil, false
		}
	}
	load = &replica.Load{Running: n[0], Waiting: n[1], Slots: unit.Slots(n[2])}
	if len(figures) < loadFigures {
		return load, true
	}
	load.Slowness, ok = parseSlowness(strings.TrimSpace(figures[loadFigures-1]))
	return load, ok
}

// parseCount decodes a number of requests or slots.
func parseCount(text string) (n int, ok bool) {
	if strings.Trim(text, "0123456789") != "" {
		return 0, false
	}
	n, err := strconv.Atoi(text)
	if err != nil || n > maxLoadCount {
		return 0, false
	}
	return n, true
}

// parseSlowness decodes a percentage of the usual time. It returns it as a ratio.
func parseSlowness(text string) (ratio float64, ok bool) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	percent, err := strconv.ParseFloat(text, 64)
	if err != nil || percent < minSlownessPercent || percent > maxSlownessPercent {
		return 0, false
	}
	return percent / 100, true
}

// parseRetryAfter returns the time from now that a Retry-After field states, at most maxRetryAfter and 0 for a date in
// the past; ok is false if the field is malformed.
func parseRetryAfter(now time.Time, text string) (wait time.Duration, ok bool) {
	if date, err := http.ParseTime(text); err == nil {
		return min(max(date.Sub(now), 0), maxRetryAfter), true
	}
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, false
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second)), true
}

// parseIdleTimeout returns the timeout of a Keep-Alive field, or 0 if there is none or it is malformed.
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
