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
	maxCallers  = 24
	// healthCheckPeriod is the time between two of the balancer's questions; misses of them in a row take a VM out.
	healthCheckPeriod = 300 * time.Millisecond
	maxMissedChecks   = 2
	// connectTimeout bounds the making of a caller's connection.
	connectTimeout = time.Second
	// maxRequestsPerConnection is how many requests a connection carries at the most.
	maxRequestsPerConnection = 30
	// maxPause is the longest pause of a caller between two requests.
	maxPause = 60 * time.Millisecond
	// abandonShare is the share of the requests whose caller leaves early, within leaveMost.
	abandonShare    = 0.03
	maxAbandonDelay = 50 * time.Millisecond
	// callerTimeout is how long a caller waits for an answer.
	callerTimeout = 1800 * time.Millisecond
	// lateResponseTime is how much longer its connection stays open, so that late answers are seen.
	lateResponseTime = 2 * time.Second
)

// errAbandoned means that the caller has left by itself.
var errAbandoned = errors.New("the caller has left")

// lastRequestNumber numbers the requests of all runs.
var lastRequestNumber atomic.Uint64

// startBalancer asks the VMs whether they take callers, as the platform's balancer does.
func (w *deployment) startBalancer() {
	for _, v := range w.vms {
		w.wg.Add(1)
		go func() {
			defer w.wg.Done()
			missed := 0
			for w.isRunning() {
				if v.isReady() {
					missed = 0
				} else {
					missed++
				}
				v.mu.Lock()
				v.inRotation = missed < maxMissedChecks
				v.mu.Unlock()
				time.Sleep(healthCheckPeriod)
			}
		}()
	}
}

func (w *deployment) isRunning() bool {
	select {
	case <-w.quit:
		return false
	default:
		return true
	}
}

// pickVM gives the VM that a new connection goes to; with fewer than half in rotation, all are.
func (w *deployment) pickVM(r *rand.Rand) *vm {
	var in []*vm
	for _, v := range w.vms {
		v.mu.Lock()
		if v.inRotation {
			in = append(in, v)
		}
		v.mu.Unlock()
	}
	if 2*len(in) < len(w.vms) {
		in = w.vms
	}
	return in[r.IntN(len(in))]
}

// startCallers has callers send requests until the run is over; some of them only take part in bursts.
func (w *deployment) startCallers(seed uint64) {
	for i := range maxCallers {
		w.wg.Add(1)
		go func() {
			defer w.wg.Done()
			r := rand.New(rand.NewPCG(seed, uint64(2+i)))
			for w.isRunning() {
				w.mu.Lock()
				idle := i >= callerCount*w.callerFactor
				w.mu.Unlock()
				if idle {
					time.Sleep(healthCheckPeriod)
					continue
				}
				w.runConnection(r)
			}
		}()
	}
}

// runConnection makes one connection and sends requests over it until it ends.
func (w *deployment) runConnection(r *rand.Rand) {
	v := w.pickVM(r)
	c, err := net.DialTimeout("tcp", string(v.callersAddress), connectTimeout)
	if err != nil {
		time.Sleep(maxPause)
		return
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for range 1 + r.IntN(maxRequestsPerConnection) {
		if !w.isRunning() || !w.sendRequest(r, v, c, reader) {
			return
		}
		time.Sleep(time.Duration(r.Int64N(int64(maxPause))))
	}
}

// sendRequest sends one request and reads its answer; it says whether the connection takes another one.
func (w *deployment) sendRequest(r *rand.Rand, v *vm, c net.Conn, reader *bufio.Reader) (more bool) {
	a := Request{
		ID: unit.RequestID("r" + strconv.FormatUint(lastRequestNumber.Add(1), 36)), Path: PathAll, Method: http.MethodGet, VM: v.number,
		Remaining: callerTimeout,
	}
	if r.Float64() < 0.5 {
		a.Path = []Path{PathOne, PathOnce, PathMoved}[r.IntN(3)]
	}
	if a.Path == PathOnce {
		a.Method, a.Body = http.MethodPost, "order "+string(a.ID)
	}
	limit := callerTimeout + lateResponseTime
	if r.Float64() < abandonShare {
		a.GaveUp = true
		limit = time.Duration(r.Int64N(int64(maxAbandonDelay)))
	}
	a.Sent = time.Now()
	err := c.SetDeadline(a.Sent.Add(limit))
	if err == nil {
		_, err = io.WriteString(c, a.encode())
	}
	if err == nil {
		a.Sent = time.Now()
		more, err = a.readResponse(reader)
	}
	a.Ended, a.Err = time.Now(), err
	if a.GaveUp && err != nil {
		a.Err = errAbandoned
	}
	w.history.update(func(h *History) { h.Requests = append(h.Requests, a) })
	return more && err == nil
}

func (a *Request) encode() string {
	head := fmt.Sprintf("%s %s%s HTTP/1.1\r\nHost: %s\r\nBasilspan-Request-Id: %s\r\nBasilspan-Deadline-Ms: %d\r\n", a.Method,
		a.Path, a.ID, hostName, a.ID, a.Remaining.Milliseconds())
	if a.Body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(a.Body))
	}
	return head + "\r\n" + a.Body
}

// readResponse reads the answer.
func (a *Request) readResponse(reader *bufio.Reader) (more bool, err error) {
	resp, err := http.ReadResponse(reader, &http.Request{Method: a.Method})
	if err != nil {
		return false, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return false, err
	}
	a.Status, a.ResponseBody, a.Seal = resp.StatusCode, string(body), resp.Header.Get("Basilspan-Response-Seal")
	for _, seal := range strings.Split(strings.Join(resp.Header.Values("Basilspan-Part-Stamps"), ","), ",") {
		if seal = strings.TrimSpace(seal); seal != "" {
			a.Seals = append(a.Seals, seal)
		}
	}
	if text := resp.Header.Get("Basilspan-Missing-Parts"); text != "" {
		a.MissingShards, err = strconv.Atoi(text)
	}
	return !resp.Close, err
}
