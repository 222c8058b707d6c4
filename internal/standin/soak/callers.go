package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/unit"
)

const (
	// callerCount is how many callers there are at usual times, and callerMost in the largest burst.
	callerCount = 8
	callerMost  = 24
	// checkPeriod is the time between two of the balancer's questions; misses of them in a row take a VM out.
	checkPeriod = 300 * time.Millisecond
	misses      = 2
	// connectTime bounds the making of a caller's connection.
	connectTime = time.Second
	// keepMost is how many requests a connection carries at the most.
	keepMost = 30
	// pauseMost is the longest pause of a caller between two requests.
	pauseMost = 60 * time.Millisecond
	// leaveShare is the share of the requests whose caller leaves early, within leaveMost.
	leaveShare = 0.03
	leaveMost  = 50 * time.Millisecond
	// askTime is how long a caller waits for an answer.
	askTime = 1800 * time.Millisecond
	// patience is how much longer its connection stays open, so that late answers are seen.
	patience = 2 * time.Second
)

// errLeft means that the caller has left by itself.
var errLeft = errors.New("the caller has left")

// serial numbers the requests of all runs.
var serial atomic.Uint64

// balance asks the VMs whether they take callers, as the platform's balancer does.
func (w *world) balance() {
	for _, v := range w.vms {
		w.wg.Add(1)
		go func() {
			defer w.wg.Done()
			missed := 0
			for w.running() {
				if v.isReady() {
					missed = 0
				} else {
					missed++
				}
				v.mu.Lock()
				v.rotation = missed < misses
				v.mu.Unlock()
				time.Sleep(checkPeriod)
			}
		}()
	}
}

func (w *world) running() bool {
	select {
	case <-w.quit:
		return false
	default:
		return true
	}
}

// pick gives the VM that a new connection goes to; with fewer than half in rotation, all are.
func (w *world) pick(r *rand.Rand) *vm {
	var in []*vm
	for _, v := range w.vms {
		v.mu.Lock()
		if v.rotation {
			in = append(in, v)
		}
		v.mu.Unlock()
	}
	if 2*len(in) < len(w.vms) {
		in = w.vms
	}
	return in[r.IntN(len(in))]
}

// call has callers send requests until the run is over; some of them only take part in bursts.
func (w *world) call(seed uint64) {
	for i := range callerMost {
		w.wg.Add(1)
		go func() {
			defer w.wg.Done()
			r := rand.New(rand.NewPCG(seed, uint64(2+i)))
			for w.running() {
				w.mu.Lock()
				idle := i >= callerCount*w.burst
				w.mu.Unlock()
				if idle {
					time.Sleep(checkPeriod)
					continue
				}
				w.connect(r)
			}
		}()
	}
}

// connect makes one connection and sends requests over it until it ends.
func (w *world) connect(r *rand.Rand) {
	v := w.pick(r)
	c, err := net.DialTimeout("tcp", string(v.callers), connectTime)
	if err != nil {
		time.Sleep(pauseMost)
		return
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for range 1 + r.IntN(keepMost) {
		if !w.running() || !w.ask(r, v, c, reader) {
			return
		}
		time.Sleep(time.Duration(r.Int64N(int64(pauseMost))))
	}
}

// ask sends one request and reads its answer; it says whether the connection takes another one.
func (w *world) ask(r *rand.Rand, v *vm, c net.Conn, reader *bufio.Reader) (more bool) {
	a := Ask{
		ID: unit.RequestID("r" + strconv.FormatUint(serial.Add(1), 36)), Path: PathAll, Method: http.MethodGet, VM: v.number,
		Left: askTime,
	}
	if r.Float64() < 0.5 {
		a.Path = []Path{PathOne, PathOnce, PathMoved}[r.IntN(3)]
	}
	if a.Path == PathOnce {
		a.Method, a.Body = http.MethodPost, "order "+string(a.ID)
	}
	limit := askTime + patience
	if r.Float64() < leaveShare {
		a.GaveUp = true
		limit = time.Duration(r.Int64N(int64(leaveMost)))
	}
	a.Sent = time.Now()
	err := c.SetDeadline(a.Sent.Add(limit))
	if err == nil {
		_, err = io.WriteString(c, a.encode())
	}
	if err == nil {
		a.Sent = time.Now()
		more, err = a.read(reader)
	}
	a.Ended, a.Err = time.Now(), err
	if a.GaveUp && err != nil {
		a.Err = errLeft
	}
	w.history.add(func(h *History) { h.Asks = append(h.Asks, a) })
	return more && err == nil
}

func (a *Ask) encode() string {
	head := fmt.Sprintf("%s %s%s HTTP/1.1\r\nHost: %s\r\nBasilspan-Request-Id: %s\r\nBasilspan-Deadline-Ms: %d\r\n", a.Method,
		a.Path, a.ID, hostName, a.ID, a.Left.Milliseconds())
	if a.Body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(a.Body))
	}
	return head + "\r\n" + a.Body
}

// read reads the answer.
func (a *Ask) read(reader *bufio.Reader) (more bool, err error) {
	resp, err := http.ReadResponse(reader, &http.Request{Method: a.Method})
	if err != nil {
		return false, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return false, err
	}
	a.Status, a.Answer, a.Seal = resp.StatusCode, string(body), resp.Header.Get("Basilspan-Response-Seal")
	for _, seal := range strings.Split(strings.Join(resp.Header.Values("Basilspan-Part-Stamps"), ","), ",") {
		if seal = strings.TrimSpace(seal); seal != "" {
			a.Seals = append(a.Seals, seal)
		}
	}
	if text := resp.Header.Get("Basilspan-Missing-Parts"); text != "" {
		a.Missing, err = strconv.Atoi(text)
	}
	return !resp.Close, err
}
