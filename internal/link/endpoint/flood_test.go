package endpoint

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
)

// TestEndlessReplies checks that a reply without end ends its call well before the deadline and closes the connection.
func TestEndlessReplies(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	tests := []struct {
		name   string
		text   string
		repeat string
		code   unit.Code
	}{
		{"status line", "HTTP/1.1 200 ", "x", unit.CodeConnection},
		{"header", "HTTP/1.1 200 OK\r\n", "X: 1\r\n", unit.CodeConnection},
		{"interim replies", "", "HTTP/1.1 100 Continue\r\n\r\n", unit.CodeConnection},
		{"body without a length", "HTTP/1.1 200 OK\r\n\r\n", "x", unit.CodeBadReply},
		{"body longer than the limit", "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", "x", unit.CodeBadReply},
		{"chunks", "HTTP/1.1 200 OK\r\n" + chunked, "3\r\nabc\r\n", unit.CodeBadReply},
		{"chunk extension", "HTTP/1.1 200 OK\r\n" + chunked + "1;", "x", unit.CodeConnection},
		{"trailer", "HTTP/1.1 200 OK\r\n" + chunked + "0\r\n", "X: 1\r\n", unit.CodeConnection},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startScriptedServer(t, func(c net.Conn, _ *http.Request, _ int64) bool {
				_, err := io.WriteString(c, tt.text)
				for err == nil {
					_, err = io.WriteString(c, strings.Repeat(tt.repeat, 1000))
				}
				return false
			})
			began := time.Now()
			reply := newClient(t, 1).Send(context.Background(), newCall(s.address(), "r", 20*time.Second))
			assert.Equal(t, reply.Code, tt.code)
			assert.Assert(t, time.Since(began) < 10*time.Second)
			<-s.closed
		})
	}
}
