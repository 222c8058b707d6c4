// Package port has helpers for hertz servers and their connections, shared by the servers for callers and for
// operators.
package port

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// awaitTimeout bounds the wait for the first response of a server that has started to listen.
const awaitTimeout = 5 * time.Second

// AwaitServing sends a request to the server at that address and returns when it responds. A server must not count as
// started earlier: a hertz server that is shut down before it has started to serve starts nevertheless and never stops.
func AwaitServing(ctx context.Context, address net.Addr) error {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	transport := &http.Transport{Proxy: nil, DisableKeepAlives: true}
	req, err := http.NewRequestWithContext(ctx, http.MethodHead, "http://"+address.String()+"/", nil)
	if err != nil {
		return errors.Wrap(err, "create the readiness request")
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return errors.Wrap(err, "server does not respond")
	}
	return resp.Body.Close()
}
