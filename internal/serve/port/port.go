// Package port holds what the ports for callers and for operators share.
package port

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// awaitTimeout bounds the wait for a server that has begun to listen.
const awaitTimeout = 5 * time.Second

// AwaitServing waits until the server at that address answers. A hertz server that is shut down before then starts all the
// same and never ends, so a port must not count as started earlier.
func AwaitServing(ctx context.Context, address net.Addr) error {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	transport := &http.Transport{Proxy: nil, DisableKeepAlives: true}
	req, err := http.NewRequestWithContext(ctx, http.MethodHead, "http://"+address.String()+"/", nil)
	if err != nil {
		return errors.Wrap(err, "ask the port")
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return errors.Wrap(err, "the port does not answer")
	}
	return resp.Body.Close()
}
