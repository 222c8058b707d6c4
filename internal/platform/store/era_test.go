package store

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPagesWithAndWithoutEra guards against a listing that begins again without a pause while some pages have no era.
func TestPagesWithAndWithoutEra(t *testing.T) {
	tests := []struct {
		name string
		// without is the remainder by two of the number of a read without an era.
		without int64
	}{
		{"first page", 1},
		{"second page", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var reads atomic.Int64
			c := newScriptedStore(t, func(w http.ResponseWriter, _ *http.Request) {
				n := reads.Add(1)
				if n%2 != tt.without {
					w.Header().Set(headerEra, "1")
				}
				key := strconv.Quote("servers/" + strconv.FormatInt(n, 10))
				_, _ = fmt.Fprintf(w, `{"items":[{"key":%s,"value":"YQ==","revision":5}],"truncated":true,"at":5}`, key)
			})
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, err := c.List(ctx, PrefixEndpoints)
			assert.Assert(t, err != nil)
			assert.Equal(t, reads.Load(), int64(2))
		})
	}
}
