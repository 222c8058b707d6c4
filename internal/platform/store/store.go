// Package store reads the platform's metadata store, in which operators publish the routing table and endpoints
// register. It makes no decisions; the caller chooses when to read.
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
	// idleTimeout is how long an idle connection to the store is kept open between two reads.
	idleTimeout = 30 * time.Second
	// dialTimeout bounds the setup of a connection to the store, which answers in milliseconds.
	dialTimeout = 700 * time.Millisecond
	// pageTimeout bounds the read of one page. A slow store responds within it, and a store that stopped responding is
	// detected by it, however many pages there are.
	pageTimeout = time.Second
	// maxResponseBytes is the size of the largest response that is read, in bytes. A page holds 1 MB of values, which
	// base64 makes longer.
	maxResponseBytes = 8 << 20
	// keepAliveInterval and keepAliveProbes detect a dead connection between two responses.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// pathRange and pathWatch are the paths of the reads.
	pathRange = "/api/kv-range"
	pathWatch = "/api/kv-watch"
	// headerEra is the header field with the registry's era. A store that was never restored may omit it.
	headerEra = "Store-Era"
)

// Client reads one store. It is safe for concurrent use.
type Client struct {
	address unit.Address
	http    *http.Client
}

// New returns a client of the store at the given address.
func New(address unit.Address) *Client {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
	}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{address: address, http: &http.Client{Transport: transport}}
}

// Close closes the idle connections. It does not end reads in progress.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// item is a key of the store with its value, or the deletion of a key.
type item struct {
	Key      string        `json:"key"`
	Value    []byte        `json:"value"`
	Revision unit.Revision `json:"revision"`
	Deleted  bool          `json:"deleted"`
}

// UnmarshalJSON decodes an item. It returns no error for one that cannot be read, which would make the whole response
// unreadable, but an item without a value, and without the key and the revision if those cannot be read either.
func (i *item) UnmarshalJSON(data []byte) error {
	type plain item
	if json.Unmarshal(data, (*plain)(i)) == nil {
		return nil
	}
	var w struct {
		Key      json.RawMessage `json:"key"`
		Revision json.RawMessage `json:"revision"`
	}
	*i = item{}
	_ = json.Unmarshal(data, &w)
	_ = json.Unmarshal(w.Key, &i.Key)
	_ = json.Unmarshal(w.Revision, &i.Revision)
	return nil
}

// era is the era in the header of a response, 0 if it is missing.
type era struct {
	unit.Era
	missing bool
}

// page is the response to a read of several keys.
type page struct {
	era       era
	Items     []item        `json:"items"`
	Truncated bool          `json:"truncated"`
	Revision  unit.Revision `json:"at"`
}

// changes is the response to a watch.
type changes struct {
	era      era
	Events   []item        `json:"events"`
	Revision unit.Revision `json:"at"`
}

// List reads all keys with the given prefix, page by page. The listing's revision is that of the first page, so that
// a watch from there returns every change that a later page may not show. When the store is restored between two pages,
// the listing starts again.
func (c *Client) List(ctx context.Context, prefix registry.Prefix) (registry.Listing, error) {
	var all registry.Listing
	query := url.Values{"prefix": {string(prefix)}}
	for first := true; ; first = false {
		p, err := c.page(ctx, query)
		if err != nil {
			return registry.Listing{}, err
		}
		if !first && p.era.missing != all.EraMissing {
			return registry.Listing{}, errors.Newf("the store returned some pages without the header field %s", headerEra)
		}
		if !first && p.era.Era != all.Era {
			return c.List(ctx, prefix)
		}
		at := unit.Position{Era: p.era.Era, Revision: p.Revision}
		if first {
			all.Position, all.EraMissing = at, p.era.missing
		}
		for _, i := range p.Items {
			all.Items = append(all.Items, i.decode(at))
		}
		if !p.Truncated || len(p.Items) == 0 {
			return all, nil
		}
		next := p.lastKey()
		if next <= query.Get("after") {
			return registry.Listing{}, errors.New("the store returned a page that does not continue the last one")
		}
		query.Set("after", next)
	}
}

// lastKey returns the greatest key of the page, behind which the next page begins.
func (p page) lastKey() string {
	last := ""
	for _, i := range p.Items {
		last = max(last, i.Key)
	}
	return last
}

// page reads one page of keys.
func (c *Client) page(ctx context.Context, query url.Values) (page, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	var p page
	var err error
	p.era, err = c.get(ctx, pathRange, query, &p)
	return p, err
}

// Watch waits for changes to keys with the given prefix after the given revision, at most for the given time. It
// returns registry.ErrCompacted if the store no longer has the history. The listing's revision is the one to watch from
// next; items may be deletions.
func (c *Client) Watch(
	ctx context.Context, prefix registry.Prefix, after unit.Revision, wait time.Duration,
) (registry.Listing, error) {
	query := url.Values{
		"prefix":  {string(prefix)},
		"after":   {strconv.FormatUint(uint64(after), 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var w changes
	var err error
	if w.era, err = c.get(ctx, pathWatch, query, &w); err != nil {
		return registry.Listing{}, err
	}
	all := registry.Listing{
		Position: unit.Position{Era: w.era.Era, Revision: w.Revision}, EraMissing: w.era.missing,
	}
	for _, e := range w.Events {
		all.Items = append(all.Items, e.decode(all.Position))
	}
	return all, nil
}

// decode returns the item of a response at that position. One without a readable revision gets that of the response,
// which is not older.
func (i item) decode(response unit.Position) registry.Item {
	at := unit.Position{Era: response.Era, Revision: i.Revision}
	if at.Revision == 0 {
		at = response
	}
	return registry.Item{Position: at, Key: registry.Key(i.Key), Value: i.Value, Deleted: i.Deleted}
}

// decodeEra returns the era in the header of a response.
func decodeEra(h http.Header) (era, error) {
	text := h.Get(headerEra)
	if text == "" {
		return era{missing: true}, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return era{Era: unit.Era(n)}, errors.Wrapf(err, "parse the header field %s", headerEra)
}

// get sends a GET request to the store, decodes the JSON response into the value that into points to and returns the
// era of the response. It returns registry.ErrCompacted for status 410 of a watch. Only ctx bounds how long it takes.
func (c *Client) get(ctx context.Context, path string, query url.Values, into any) (era, error) {
	target := "http://" + string(c.address) + path + "?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return era{}, errors.Wrap(err, "build the request to the store")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return era{}, errors.Wrap(err, "send the request to the store")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return era{}, errors.Wrap(err, "read the store's response")
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		e, err := decodeEra(resp.Header)
		if err != nil {
			return era{}, err
		}
		return e, errors.Wrap(json.Unmarshal(body, into), "decode the store's response")
	case resp.StatusCode == http.StatusGone && path == pathWatch:
		return era{}, registry.ErrCompacted
	default:
		return era{}, errors.Newf("the store responded with status %d", resp.StatusCode)
	}
}
