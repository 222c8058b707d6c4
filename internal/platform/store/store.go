// Package store reads the platform's metadata store, in which operators publish the routing table and endpoints
// register. It decides nothing; the caller chooses when to read.
package store

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/registry"
	"basilspan/internal/core/unit"
)

const (
	// idleTimeout is how long the connection to the store is kept between two reads.
	idleTimeout = 30 * time.Second
	// dialTimeout bounds the making of a connection to the store, which answers in milliseconds.
	dialTimeout = 700 * time.Millisecond
	// pageTimeout bounds the read of one page: a store that is slow answers within it, and one that has gone silent is noticed
	// by it, however many pages there are.
	pageTimeout = time.Second
	// maxResponseBytes bounds one answer of the store, in bytes; a page holds 1 MB of values, which base64 lengthens.
	maxResponseBytes = 8 << 20
	// keepAliveInterval and aliveProbes find a connection that has gone silent between two answers.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// Client reads one store. It is safe for use by several goroutines.
type Client struct {
	address unit.Address
	http    *http.Client
}

// New makes a client of the store at that address.
func New(address unit.Address) *Client {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
	}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{address: address, http: &http.Client{Transport: transport}}
}

// Close closes the free connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// item is one key of the store, or the end of one.
type item struct {
	Key      string        `json:"key"`
	Value    []byte        `json:"value"`
	Revision unit.Revision `json:"revision"`
	Deleted  bool          `json:"deleted"`
}

// page is an answer to a read of several keys.
type page struct {
	Items     []item        `json:"items"`
	Truncated bool          `json:"truncated"`
	Revision  unit.Revision `json:"at"`
}

// changes is an answer to a watch.
type changes struct {
	Events   []item        `json:"events"`
	Revision unit.Revision `json:"at"`
}

// List reads all keys with the prefix, page by page. At is the revision of the first page, from which a watch misses
// nothing that a later page does not show.
func (c *Client) List(ctx context.Context, prefix registry.Prefix) (registry.Listing, error) {
	var all registry.Listing
	query := url.Values{"prefix": {string(prefix)}}
	for first := true; ; first = false {
		p, err := c.page(ctx, query)
		if err != nil {
			return registry.Listing{}, err
		}
		if first {
			all.Revision = p.Revision
		}
		for _, i := range p.Items {
			all.Items = append(all.Items, i.decode())
		}
		if !p.Truncated || len(p.Items) == 0 {
			return all, nil
		}
		query.Set("after", p.Items[len(p.Items)-1].Key)
	}
}

// page reads one page of keys.
func (c *Client) page(ctx context.Context, query url.Values) (page, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	var p page
	err := c.get(ctx, "/api/kv-range", query, &p)
	return p, err
}

// Watch waits for changes of keys with the prefix after that revision, for that long at most. The error is
// registry.ErrCompacted when the store no longer has the history.
func (c *Client) Watch(
	ctx context.Context, prefix registry.Prefix, after unit.Revision, wait time.Duration,
) (registry.Listing, error) {
	query := url.Values{
		"prefix":  {string(prefix)},
		"after":   {strconv.FormatUint(uint64(after), 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var w changes
	if err := c.get(ctx, "/api/kv-watch", query, &w); err != nil {
		return registry.Listing{}, err
	}
	all := registry.Listing{Revision: w.Revision}
	for _, e := range w.Events {
		all.Items = append(all.Items, e.decode())
	}
	return all, nil
}

func (i item) decode() registry.Item {
	return registry.Item{Key: registry.Key(i.Key), Value: i.Value, Revision: i.Revision, Deleted: i.Deleted}
}

// get reads one answer into into.
func (c *Client) get(ctx context.Context, path string, query url.Values, into any) error {
	target := "http://" + string(c.address) + path + "?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return errors.Wrap(err, "build the read of the store")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "read the store")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "read the store's answer")
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return errors.Wrap(json.Unmarshal(body, into), "decode the store's answer")
	case http.StatusGone:
		return registry.ErrCompacted
	default:
		return errors.Newf("the store answers with status %d", resp.StatusCode)
	}
}
