package listen

import (
	"bufio"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCloseAnswersPipelinedRequest guards against a stop that cuts a request which came together with the one before.
func TestCloseAnswersPipelinedRequest(t *testing.T) {
	const quick, work = "GET /quick HTTP/1.1\r\nHost: h\r\n\r\n", "GET /work HTTP/1.1\r\nHost: h\r\n\r\n"
	tests := []struct {
		name   string
		writes []string
	}{
		{"each request in a write of its own", []string{quick, work}},
		{"both requests in one write", []string{quick + work, ""}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := start(t, never)
			conn := f.dial(t)
			defer func() { _ = conn.Close() }()
			r := bufio.NewReader(conn)
			for i, text := range tt.writes {
				_, err := io.WriteString(conn, text)
				assert.NilError(t, err)
				if i == 0 {
					resp, err := http.ReadResponse(r, nil)
					assert.NilError(t, err)
					assert.NilError(t, resp.Body.Close())
				}
			}
			<-f.began
			done := f.closeServer()
			<-f.server.done
			close(f.release)
			resp, err := http.ReadResponse(r, nil)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			assert.NilError(t, resp.Body.Close())
			assert.NilError(t, <-done)
		})
	}
}
