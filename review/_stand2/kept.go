package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["kept-requests"] = func(w *world, trouble bool) bool {
		return load{clients: 1300, body: 262144, reply: 100}.play(w, trouble)
	}
	cases["kept-heads"] = func(w *world, trouble bool) bool {
		return load{clients: 600, head: 250000, body: 100, reply: 100}.play(w, trouble)
	}
}

const (
	// memoryMB is the memory of a machine in the settings.
	memoryMB = 284
	// usual is how many connections carry the same requests without trouble.
	usual = 20
	// keepTime is how long a client keeps its connection open for its next request, four fifths of idle_timeout_ms.
	keepTime = 12 * time.Second
	// rounds is how often a process has to end by itself until the rule is broken.
	rounds = 3
)

// load is what the clients of a machine send in one round, one request each, and what the leafs answer. Sizes are in bytes.
type load struct {
	clients int
	// head is the size of a header field that is added.
	head, body, reply int
}

// message returns the request with that id.
func (l load) message(id string) string {
	head := ""
	if l.head > 0 {
		head = "X-Note: " + strings.Repeat("h", l.head) + "\r\n"
	}
	return fmt.Sprintf("POST /q/a HTTP/1.1\r\nHost: shop.example\r\nBasilspan-Request-Id: %s\r\n"+
		"Basilspan-Deadline-Ms: 1500\r\n%sContent-Length: %d\r\n\r\n%s", id, head, l.body, strings.Repeat("b", l.body))
}

// memory returns the anonymous memory of the process in bytes, which leaves out the program's file.
func (n *node) memory() int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, l := range strings.Split(string(b), "\n") {
		if strings.HasPrefix(l, "RssAnon:") {
			kb, _ := strconv.Atoi(strings.Fields(l)[1])
			return kb << 10
		}
	}
	return 0
}

// play has many clients send one request each, read the answer and keep their connections for the next one. The platform
// kills a process that exceeds the memory of its machine, and starts it again.
func (l load) play(w *world, trouble bool) bool {
	for i := range 4 {
		s := w.newLeaf("orders", fmt.Sprintf("i-%d", i))
		s.quiet, s.text = true, strings.Repeat("r", l.reply)
		s.register("ready")
	}
	w.publish(11, []route{{
		"name": "q", "host": "shop.example", "prefix": "/q/", "route_kind": "idempotent", "timeout_ms": 1500,
		"target_latency_ms": 500, "priority": 0, "service": "orders", "max_attempts": 2,
	}}, []string{"orders"}, nil)
	var nodes []*node
	for i := range 2 {
		nodes = append(nodes, w.newNode(i+1, nil))
	}
	ends := make([]int, len(nodes))
	peaks := make([]int, len(nodes))
	for _, n := range nodes {
		n.fields["seeds"] = nodes[0].control + "," + nodes[1].control
		n.start()
	}
	for _, n := range nodes {
		n.awaitReady(10 * time.Second)
		n.fields["first_start"] = "false"
	}
	var machines sync.WaitGroup
	for i, n := range nodes {
		machines.Go(func() {
			for round := range rounds {
				stop := make(chan struct{})
				killed := make(chan struct{})
				var watching sync.WaitGroup
				watching.Go(func() {
					for {
						select {
						case <-stop:
							return
						case <-time.After(50 * time.Millisecond):
						}
						used := n.memory()
						peaks[i] = max(peaks[i], used)
						if used > memoryMB<<20 {
							ends[i]++
							w.rec.printf("%s takes %d MB of %d: the platform kills it", n.name, used>>20, memoryMB)
							n.signal(syscall.SIGKILL)
							<-n.done
							close(killed)
							return
						}
					}
				})
				answers := l.come(n, trouble, fmt.Sprintf("%d%d", i, round))
				w.rec.printf("%s, round %d: %d MB, answers %v", n.name, round+1, n.memory()>>20, answers)
				select {
				case <-killed:
					time.Sleep(500 * time.Millisecond)
				case <-time.After(time.Second):
				}
				close(stop)
				watching.Wait()
				if !n.running() {
					n.start()
					n.awaitReady(10 * time.Second)
				}
			}
		})
	}
	machines.Wait()
	ended := 0
	for i, n := range nodes {
		fmt.Printf("%s ended %d times for its memory, most %d MB of %d\n", n.name, ends[i], peaks[i]>>20, memoryMB)
		w.rec.printf("%s ended %d times for its memory, most %d MB of %d", n.name, ends[i], peaks[i]>>20, memoryMB)
		if ends[i] >= rounds {
			ended++
		}
	}
	return ended >= 2
}

// come has the clients of one round send their requests to a machine, and returns what they got. They keep their
// connections until each has been idle for keepTime or the process has ended.
func (l load) come(n *node, trouble bool, prefix string) map[string]int {
	var mu sync.Mutex
	answers := make(map[string]int)
	send := func(c net.Conn, r *bufio.Reader, k int) {
		_ = c.SetDeadline(time.Now().Add(3 * time.Second))
		_, err := io.WriteString(c, l.message(fmt.Sprintf("%s%06x", prefix, k)))
		a := answer{err: err}
		if err == nil {
			a = readAnswer(r, "POST")
		}
		result := strconv.Itoa(a.status)
		if a.err != nil {
			result = "connection lost"
		}
		mu.Lock()
		defer mu.Unlock()
		answers[result]++
	}
	var clients sync.WaitGroup
	// Eight clients send at a time.
	sending := make(chan struct{}, 8)
	if !trouble {
		for k := range usual {
			clients.Go(func() {
				c, err := net.DialTimeout("tcp", n.front, time.Second)
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for i := k; i < l.clients; i += usual {
					sending <- struct{}{}
					send(c, r, i)
					<-sending
				}
			})
		}
		clients.Wait()
		return answers
	}
	for i := range l.clients {
		sending <- struct{}{}
		c, err := net.DialTimeout("tcp", n.front, time.Second)
		if err != nil {
			<-sending
			mu.Lock()
			answers["no connection"]++
			mu.Unlock()
			if !n.running() {
				break
			}
			continue
		}
		clients.Go(func() {
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			send(c, r, i)
			<-sending
			_ = c.SetReadDeadline(time.Now().Add(keepTime))
			_, _ = r.Peek(1)
		})
	}
	clients.Wait()
	return answers
}
