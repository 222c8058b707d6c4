package store

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"basilspan/internal/core/registry"
	"basilspan/internal/core/unit"
)

// newScriptedStore returns a client of a store whose response to each read is what respond writes.
func newScriptedStore(t *testing.T, respond func(w http.ResponseWriter, r *http.Request)) *Client {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(respond))
	c := New(unit.Address(s.Listener.Addr().String()))
	t.Cleanup(func() {
		assert.NilError(t, c.Close())
		s.CloseClientConnections()
		s.Close()
	})
	return c
}

// TestOddItemSparesTheOthers guards against one unreadable item that spoils its whole response.
func TestOddItemSparesTheOthers(t *testing.T) {
	const good = `{"key":"servers/b","value":"Yg==","revision":7}`
	tests := []struct {
		name string
		odd  string
		key  registry.Key
	}{
		{"damaged base64", `{"key":"servers/a","value":"Y*==","revision":6}`, "servers/a"},
		{"base64 without its padding", `{"key":"servers/a","value":"YQ","revision":6}`, "servers/a"},
		{"value of another type", `{"key":"servers/a","value":{"a":1},"revision":6}`, "servers/a"},
		{"revision of another type", `{"key":"servers/a","value":"YQ==","revision":"6"}`, "servers/a"},
		{"fractional revision", `{"key":"servers/a","value":"YQ==","revision":6.5}`, "servers/a"},
		{"negative revision", `{"key":"servers/a","value":"YQ==","revision":-6}`, "servers/a"},
		{"revision too large", `{"key":"servers/a","value":"YQ==","revision":18446744073709551616}`, "servers/a"},
		{"revision beyond float64", `{"key":"servers/a","value":"YQ==","revision":1e400}`, "servers/a"},
		{"key of another type", `{"key":["servers/a"],"value":"YQ==","revision":6}`, ""},
		{
			"nested value",
			`{"key":"servers/a","value":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `}`, "servers/a",
		},
		{"deletion of another type", `{"key":"servers/a","revision":6,"deleted":"yes"}`, "servers/a"},
		{"number", `6`, ""},
		{"list", `[]`, ""},
	}
	for _, tt := range tests {
		for _, items := range []string{tt.odd + "," + good, good + "," + tt.odd} {
			t.Run(tt.name, func(t *testing.T) {
				c := newScriptedStore(t, func(w http.ResponseWriter, _ *http.Request) {
					_, _ = fmt.Fprintf(w, `{"items":[%s],"events":[%s],"truncated":false,"at":9}`, items, items)
				})
				listing, err := c.List(context.Background(), PrefixEndpoints)
				assert.NilError(t, err)
				changes, err := c.Watch(context.Background(), PrefixEndpoints, 5, time.Second)
				assert.NilError(t, err)
				for _, got := range []registry.Listing{listing, changes} {
					assert.Equal(t, got.Revision, unit.Revision(9))
					assert.Equal(t, len(got.Items), 2)
					for _, i := range got.Items {
						if i.Key == "servers/b" {
							assert.DeepEqual(t, i, registry.Item{Key: "servers/b", Value: []byte("b"), Position: unit.Position{Revision: 7}})
							continue
						}
						assert.Equal(t, i.Key, tt.key)
						assert.Equal(t, len(i.Value), 0)
						assert.Assert(t, i.Revision >= 6)
						assert.Assert(t, !i.Deleted)
					}
				}
			})
		}
	}
}

// TestMalformedResponses checks that a response that cannot be read as a whole is an error within a bounded time.
func TestMalformedResponses(t *testing.T) {
	const item = `{"key":"servers/a","value":"YQ==","revision":6}`
	repeat := func(text string) func(w http.ResponseWriter, r *http.Request) {
		return func(w http.ResponseWriter, _ *http.Request) {
			for {
				if _, err := io.WriteString(w, text); err != nil {
					return
				}
			}
		}
	}
	write := func(text string) func(w http.ResponseWriter, r *http.Request) {
		return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
	}
	tests := []struct {
		name    string
		respond func(w http.ResponseWriter, r *http.Request)
	}{
		{"nothing", write("")},
		{"not JSON", write("\x00\xff")},
		{"cut", write(`{"items":[` + item)},
		{"nested deeply", write(`{"items":` + strings.Repeat("[", 1_000_000))},
		{"item nested deeply", write(`{"items":[{"value":` + strings.Repeat(`{"a":`, 100_000) + `}]}`)},
		{"revision too large", write(`{"items":[],"at":1e300}`)},
		{"negative revision", write(`{"items":[],"at":-1}`)},
		{"body without end", repeat(strings.Repeat(" ", 4096))},
		{"items without end", repeat(strings.Repeat(item+",", 100))},
		{"pages without end", write(`{"items":[` + item + `],"truncated":true,"at":9}`)},
		{"header without end", func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			for err == nil {
				_, err = io.WriteString(c, strings.Repeat("X: 1\r\n", 500))
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			requests := 0
			c := newScriptedStore(t, func(w http.ResponseWriter, r *http.Request) {
				requests++
				tt.respond(w, r)
			})
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err := c.List(ctx, PrefixEndpoints)
			assert.Assert(t, err != nil)
			assert.NilError(t, ctx.Err(), "the client did not end the read on its own")
			assert.Assert(t, len(err.Error()) < 1000)
			assert.Assert(t, requests <= 2, "%d requests", requests)
		})
	}
}

// TestGoneListingIsNoCompaction guards against a follower that lists again at once because a listing got 410.
func TestGoneListingIsNoCompaction(t *testing.T) {
	tests := []struct {
		name      string
		read      func(ctx context.Context, c *Client) error
		compacted bool
	}{
		{"list", func(ctx context.Context, c *Client) error {
			_, err := c.List(ctx, PrefixEndpoints)
			return err
		}, false},
		{"watch", func(ctx context.Context, c *Client) error {
			_, err := c.Watch(ctx, PrefixEndpoints, 1, time.Second)
			return err
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newScriptedStore(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusGone) })
			err := tt.read(t.Context(), c)
			assert.Assert(t, err != nil)
			assert.Equal(t, errors.Is(err, registry.ErrCompacted), tt.compacted)
		})
	}
}
