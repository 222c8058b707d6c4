package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a caller got.
type answer struct {
	// status is 0 if the connection ended without an answer.
	status int
	seal   string
	body   string
}

// call sends one request on a new connection, as one attempt of a client, and waits for its answer until the deadline.
func (r *run) call(v *vm, method, uri, id, body string, deadline time.Duration) answer {
	c, err := net.DialTimeout("tcp", v.callers, time.Second)
	if err != nil {
		r.note("caller of %s to %s: no connection", id, v.node)
		return answer{}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline))
	r.note("caller sends %s to %s: %s %s", id, v.node, method, uri)
	_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nBasilspan-Request-Id: %s\r\nBasilspan-Deadline-Ms: %d\r\n"+
		"Content-Length: %d\r\n\r\n%s", method, uri, hostName, id, deadline.Milliseconds(), len(body), body)
	var a answer
	if err == nil {
		var resp *http.Response
		if resp, err = http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method}); err == nil {
			var content []byte
			content, err = io.ReadAll(resp.Body)
			a = answer{status: resp.StatusCode, seal: resp.Header.Get("Basilspan-Response-Seal"), body: string(content)}
		}
	}
	if err != nil {
		a = answer{}
	}
	r.note("caller of %s gets status %d", id, a.status)
	return a
}
