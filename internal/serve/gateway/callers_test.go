package gateway

import (
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// TestEndlessRequests guards against a request without end that takes memory without bound.
func TestEndlessRequests(t *testing.T) {
	const (
		head    = "POST /one/x HTTP/1.1\r\nHost: h\r\nBasilspan-Request-Id: endless\r\n"
		chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
		// maxSent is above the sum of what the port reads, 32.5 MB, and of the largest buffers of both sockets, 36 MB.
		maxSent = 128 << 20
	)
	tests := []struct {
		name   string
		text   string
		repeat string
	}{
		{"method", "", "x"},
		{"path", "GET /", "x"},
		{"line ends", "", "\r\n"},
		{"field name", head + "X", "x"},
		{"field value", head + "X: ", "x"},
		{"fields", head, "X: 1\r\n"},
		{"folded field", head + "X: 1", "\r\n 1"},
		{"body", head + "Content-Length: 999999999999\r\n\r\n", "x"},
		{"chunks", chunked, "64\r\n" + strings.Repeat("x", 100) + "\r\n"},
		{"one chunk", chunked + "fffffff\r\n", "x"},
		{"chunk size", chunked, "1"},
		{"chunk extension", chunked + "1;", "x"},
		{"chunk extensions", chunked, "1;" + strings.Repeat("x", 1000) + "\r\na\r\n"},
		{"trailer", chunked + "0\r\n", "X: " + strings.Repeat("x", 1000) + "\r\n"},
		{"trailer value", chunked + "0\r\nX: ", "x"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t).start()
			c := f.dial()
			defer func() { _ = c.Close() }()
			assert.NilError(t, c.SetDeadline(time.Now().Add(3*waitTimeout)))
			go func() { _, _ = io.Copy(io.Discard, c) }()
			_, err := io.WriteString(c, tt.text)
			block := strings.Repeat(tt.repeat, 1+(32<<10)/len(tt.repeat))
			for n := 0; err == nil; n += len(block) {
				assert.Assert(t, n < maxSent, "the connection stays open")
				_, err = io.WriteString(c, block)
			}
			assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the connection stays open")
			assert.Equal(t, f.runs("endless"), 0)
			assert.Equal(t, f.request("GET", "/one/x", "next", "").status, 200)
		})
	}
}
