package leaf

import (
	"strings"
	"testing"

	"basilspan/internal/link/leaf"
)

// BenchmarkReply measures encoding a call and decoding its reply of 12 records.
func BenchmarkReply(b *testing.B) {
	text := "HTTP/1.1 200 OK\r\nBasilspan-Request-Id: 9c41d07be2a35f68\r\nBasilspan-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
		"Basilspan-Server-Load: 1,0,2\r\nContent-Length: 192\r\n\r\n" + strings.Repeat("0123456789abcdef", 12)
	m, err := EncodeMessage("9c41d07be2a35f68", "GET", "/a/b", "h", nil, nil)
	if err != nil {
		b.Fatal(err)
	}
	source := strings.NewReader(text)
	r := leaf.NewReader(source, nil)
	b.ReportAllocs()
	for b.Loop() {
		Encode(leaf.Call{Message: m, Endpoint: "i-7f3a91c2", Deadline: now}, now)
		source.Reset(text)
		r.BeginHead()
		if _, err := Decode(now, r, "GET"); err != nil {
			b.Fatal(err)
		}
	}
}
