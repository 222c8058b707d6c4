// Package endpoint sends calls to endpoints over HTTP. docs/PROTOCOLS.md describes the messages.
//
// It uses the standard library's client instead of hertz's, which does not end a call when its context ends.
// Cancellation has to reach the endpoint.
package endpoint

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/fanout"
)

// The header fields of a call and its reply.
const (
	headerRequest   = "X-Request"
	headerShard     = "X-Shard"
	headerSnapshot  = "X-Snapshot"
	headerRank      = "X-Rank"
	headerRemaining = "X-Remaining-Ms"
	headerOnce      = "X-Once"
)

const (
	// maxReplyBytes is the size of the largest reply body that is read.
	maxReplyBytes = 1 << 20
	// maxHeaderBytes is the size of the largest reply header that is read.
	maxHeaderBytes = 1 << 16
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 90 * time.Second
	// dialTimeout bounds the setup of a connection.
	dialTimeout = time.Second
)

// Call is one attempt at an endpoint.
type Call struct {
	Query    fanout.Query
	Attempt  fanout.Attempt
	Address  unit.Address
	MaxConns unit.Connections
}

// Client sends calls to endpoints. Now returns the current time.
type Client struct {
	Now func() time.Time

	transport *http.Transport
}

// New returns a client that opens at most the given number of connections to each endpoint.
func New(now func() time.Time, connections unit.Connections) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		Now: now,
		transport: &http.Transport{
			Proxy: nil,
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &conn{Conn: c}, nil
			},
			MaxConnsPerHost:        int(connections),
			MaxIdleConnsPerHost:    int(connections),
			MaxResponseHeaderBytes: maxHeaderBytes,
			IdleConnTimeout:        idleTimeout,
			DisableCompression:     true,
		},
	}
}

// Close closes the idle connections.
func (c *Client) Close() error {
	c.transport.CloseIdleConnections()
	return nil
}

// Send makes one attempt and waits for its result. The outcome is "not run" only if no byte of the request was sent
// and none will be, or if the endpoint replied that it refused the call. The outcome of any failure after the first
// byte is unknown.
func (c *Client) Send(ctx context.Context, call Call) fanout.Reply {
	reply := fanout.Reply{Attempt: call.Attempt.ID}
	ctx, cancel := context.WithDeadline(ctx, call.Query.Deadline)
	defer cancel()
	g := &writeGuard{now: c.Now, deadline: call.Query.Deadline}
	req, err := c.newRequest(ctx, call, g)
	if err != nil {
		reply.Code = unit.CodeNotConnected
		return reply
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		reply.Code = failureCode(ctx, err, g.close())
		return reply
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		reply.Code = failureCode(ctx, err, true)
		return reply
	}
	return decodeReply(reply, call, resp, body)
}

// newRequest builds the HTTP request and attaches g to whichever connection the transport chooses for it.
func (c *Client) newRequest(ctx context.Context, call Call, g *writeGuard) (*http.Request, error) {
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if guarded, ok := info.Conn.(*conn); ok {
				guarded.guard.Store(g)
			}
		},
	}
	ctx = httptrace.WithClientTrace(ctx, trace)
	url := "http://" + string(call.Address) + "/leaf"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(call.Query.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build the request to the endpoint")
	}
	// Without GetBody the transport cannot send the body a second time.
	req.GetBody = nil
	remaining := unit.Remaining(call.Query.Deadline.Sub(c.Now()))
	req.Header.Set(headerRequest, string(call.Query.ID))
	req.Header.Set(headerShard, string(call.Attempt.Shard))
	req.Header.Set(headerSnapshot, strconv.FormatUint(uint64(call.Attempt.Snapshot), 10))
	req.Header.Set(headerRank, string(call.Query.Rank))
	req.Header.Set(headerRemaining, strconv.FormatInt(remaining.Millis(), 10))
	if call.Query.Once {
		req.Header.Set(headerOnce, "1")
	}
	return req, nil
}

// decodeReply completes reply from a response that was read in full. A successful response with a missing or wrong
// request ID or an invalid snapshot gets CodeBadReply. The shard is not checked here.
func decodeReply(reply fanout.Reply, call Call, resp *http.Response, body []byte) fanout.Reply {
	reply.Code = replyCode(resp, len(body))
	if reply.Code != unit.CodeWhole {
		return reply
	}
	n, err := strconv.ParseUint(resp.Header.Get(headerSnapshot), 10, 64)
	if err != nil || resp.Header.Get(headerRequest) != string(call.Query.ID) {
		reply.Code = unit.CodeBadReply
		return reply
	}
	reply.Body = body
	reply.Shard = unit.ShardID(resp.Header.Get(headerShard))
	reply.Snapshot = unit.SnapshotID(n)
	return reply
}

// replyCode returns the result code for a response that was read in full.
func replyCode(resp *http.Response, size int) unit.Code {
	// The transport also reads replies of other versions as if they were of HTTP/1.
	if resp.ProtoMajor != 1 {
		return unit.CodeBadReply
	}
	switch resp.StatusCode {
	case http.StatusOK:
		// A body that ends with the connection does not show whether it was truncated.
		unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
		if size > maxReplyBytes || unframed {
			return unit.CodeBadReply
		}
		return unit.CodeWhole
	case http.StatusTooManyRequests:
		return unit.CodeRefused
	case http.StatusServiceUnavailable:
		return unit.CodeDraining
	case http.StatusConflict:
		return unit.CodeSnapshotAbsent
	default:
		return unit.CodeEndpointError
	}
}

// failureCode returns the result code for a call without a reply. sent reports whether a byte of it may have been
// sent.
func failureCode(ctx context.Context, err error, sent bool) unit.Code {
	late := errors.Is(err, errTooLate) || errors.Is(ctx.Err(), context.DeadlineExceeded)
	cancelled := errors.Is(ctx.Err(), context.Canceled)
	switch {
	case !sent && late:
		return unit.CodeTooLate
	case !sent && cancelled:
		return unit.CodeNotSent
	case !sent:
		return unit.CodeNotConnected
	case late:
		return unit.CodeDeadline
	case cancelled:
		return unit.CodeCancelled
	default:
		return unit.CodeConnection
	}
}
