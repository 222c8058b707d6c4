package leaf_test

import (
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/memory"
	"basilspan/internal/core/unit"
	"basilspan/internal/link/leaf"
)

// TestFloodsShareMemory guards against many replies without end at a time that together take more memory than the VM has.
func TestFloodsShareMemory(t *testing.T) {
	const (
		floods = 48
		limit  = 8 << 20
		// maxHeap allows for the garbage that the collector leaves and for the servers of the test.
		maxHeap = 6 * limit
		head    = "HTTP/1.1 200 OK\r\nBasilspan-Request-Id: ID\r\n"
	)
	tests := []struct {
		name   string
		text   string
		repeat string
		// denied reports whether replies end for lack of memory, rather than by their own bounds.
		denied bool
	}{
		{"body without a length", head + "\r\n", "x", true},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n", true},
		{"bodies with a length", head + "Content-Length: 8000000\r\n\r\n", "x", true},
		{"heads", head, "X: 1\r\n", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			servers := make([]*floodServer, floods)
			for i := range servers {
				servers[i] = startFlood(t, &floodServer{text: tt.text, repeat: tt.repeat})
			}
			sound := startScripted(t, &scriptedServer{replies: repeated(wholeReply("ID", strings.Repeat("a", 16<<10)), 10_000)})
			p := newPool(t)
			p.Memory = memory.NewAccount(limit)
			var counts countedNames
			p.Count = counts.add
			runtime.GC()
			ended := make(chan leaf.Result, floods)
			for _, s := range servers {
				p.Send(time.Now(), newCall(t, &s.scriptedServer, "r", 1), func(e leaf.Result) { ended <- e })
			}
			heap := uint64(0)
			for left := floods; left > 0; {
				select {
				case e := <-ended:
					assert.Equal(t, e.Kind, leaf.KindLost)
					left--
				case <-time.After(time.Millisecond):
				}
				e := call(t, p, sound, unit.RequestID(time.Now().String()), 1)
				assert.Equal(t, e.Kind, leaf.KindReply, "%v", e.Err)
				e.Reply.Memory.Close()
				var stats runtime.MemStats
				runtime.ReadMemStats(&stats)
				heap = max(heap, stats.HeapAlloc)
			}
			assert.Assert(t, heap < maxHeap, "%d MB of heap", heap>>20)
			assert.Assert(t, p.Memory.Peak() <= limit)
			assert.Equal(t, counts.count("leaf.closed.memory") > 0, tt.denied)
			for end := time.Now().Add(5 * time.Second); p.Memory.Used() > 0; time.Sleep(time.Millisecond) {
				assert.Assert(t, time.Now().Before(end), "%d bytes are never given back", p.Memory.Used())
			}
		})
	}
}

// TestStatedLength checks that a reply whose stated length can't be taken ends at once, before its body comes.
func TestStatedLength(t *testing.T) {
	tests := []struct {
		name  string
		limit unit.Bytes
		want  leaf.ResultKind
	}{
		{"enough memory", 8 << 20, leaf.KindReply},
		{"too little memory", 3 << 20, leaf.KindLost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			reply := wholeReply("ID", strings.Repeat("a", 1<<20))
			if tt.want == leaf.KindLost {
				// The body never comes.
				reply = reply[:strings.Index(reply, "\r\n\r\n")+4]
			}
			s := startScripted(t, &scriptedServer{replies: []string{reply}})
			p := newPool(t)
			p.Memory = memory.NewAccount(tt.limit)
			e := call(t, p, s, "r", 1)
			assert.Equal(t, e.Kind, tt.want, "%v", e.Err)
			if tt.want == leaf.KindLost {
				assert.ErrorIs(t, e.Err, leaf.ErrNoMemory)
				return
			}
			assert.Assert(t, p.Memory.Used() >= 2<<20)
			e.Reply.Memory.Close()
			assert.Equal(t, p.Memory.Used(), unit.Bytes(0))
		})
	}
}
