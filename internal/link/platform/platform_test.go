package platform

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/kernel"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/member"
)

// newWatcher returns a watcher of a service that responds to each request with a text, and the lists of VMs that it
// posts.
func newWatcher(t *testing.T, text string) (*Watcher, <-chan VMs) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }))
	t.Cleanup(s.Close)
	lists := make(chan VMs, 1)
	loop := kernel.NewLoop(time.Now)
	kernel.On(loop, func(_ time.Time, event VMs) { lists <- event })
	service := loop.Service("control")
	assert.NilError(t, service.Start(context.Background()))
	t.Cleanup(func() { assert.NilError(t, service.Close()) })
	return New(unit.Address(s.Listener.Addr().String()), loop, time.Now), lists
}

// TestOddVMSparesTheOthers checks that an entry of the list of VMs that cannot be decoded leaves the others in force.
func TestOddVMSparesTheOthers(t *testing.T) {
	const good = `{"id":"e1","centre":"z","peer":"10.0.0.1:80","state":"live"}`
	tests := []struct {
		name string
		odd  string
	}{
		{"number as an ID", `{"id":5}`},
		{"state of another type", `{"id":"e2","peer":"10.0.0.2:80","state":{}}`},
		{"list", `[]`},
		{"text", `"e2"`},
		{"number too large", `1e400`},
		{"nested lists", strings.Repeat("[", 5000) + strings.Repeat("]", 5000)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w, lists := newWatcher(t, "["+tt.odd+","+good+"]")
			assert.NilError(t, w.readVMs(context.Background(), 0))
			assert.DeepEqual(t, <-lists, VMs{
				Members:    []member.Member{{ID: "e1", Centre: "z", Peer: "10.0.0.1:80", State: member.StateLive}},
				Unreadable: 1,
			})
		})
	}
}

// TestMalformedResponses checks that a response that cannot be read as a whole is an error.
func TestMalformedResponses(t *testing.T) {
	tests := []struct {
		name string
		text string
	}{
		{"nothing", ""},
		{"not JSON", "\x00\xff"},
		{"cut", `[{"id":"e1"}`},
		{"nested lists", strings.Repeat("[", 1_000_000)},
		{"nested objects", strings.Repeat(`{"a":`, 1_000_000)},
		{"larger than the limit", "[" + strings.Repeat(" ", maxResponseBytes) + "]"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w, _ := newWatcher(t, tt.text)
			assert.Assert(t, w.readVMs(context.Background(), 0) != nil)
			assert.Assert(t, w.readConfig(context.Background(), 0) != nil)
		})
	}
}
