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
	// callerCount is the usual number of callers, and maxCallers the largest number during bursts.
	callerCount = 8
	maxCallers  = 24
	// healthCheckPeriod is the time between two health checks by the balancer. After maxMissedChecks failures in a row
	// the VM gets no new connections.
	healthCheckPeriod = 300 * time.Millisecond
	maxMissedChecks   = 2
	// connectTimeout bounds a caller's attempt to connect.
	connectTimeout           = time.Second
	maxRequestsPerConnection = 30
	// patientCallers is the number of further callers, which keep a connection open for up to maxPatience between two
	// requests, and so also use it late in a planned stop.
	patientCallers = 32
	maxPatience    = 4 * time.Second
	// maxPause is the longest pause of a caller between two requests on a connection, and the pause after a failure to
	// connect.
	maxPause = 60 * time.Millisecond
	// abandonShare is the share of requests whose caller disconnects early, after at most maxAbandonDelay.
	abandonShare    = 0.03
	maxAbandonDelay = 50 * time.Millisecond
	// callerTimeout is the time that a caller states in the Basilspan-Deadline-Ms header.
	callerTimeout = 1800 * time.Millisecond
	// lateResponseTime is how much longer the caller's connection stays open, to record late responses.
	lateResponseTime = 2 * time.Second
)

// errAbandoned is the error of a request whose caller disconnected early on purpose.
var errAbandoned = errors.New("caller disconnected early")

// lastRequestNumber makes request IDs unique over all runs of the test process.
var lastRequestNumber atomic.Uint64

// startBalancer starts a health check for each VM and removes failing VMs from rotation, as the platform's load
// balancer does.
func (dep *deployment) startBalancer() {
	for _, v := range dep.vms {
		dep.wg.Add(1)
		go func() {
			defer dep.wg.Done()
			missed := 0
			for dep.isRunning() {
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

// isRunning reports whether the run is not over yet.
func (dep *deployment) isRunning() bool {
	select {
	case <-dep.quit:
		return false
	default:
		return true
	}
}

// pickVM draws the VM for a new connection from those in rotation, or from all VMs if fewer than half are in rotation.
func (dep *deployment) pickVM(r *rand.Rand) *vm {
	var in []*vm
	for _, v := range dep.vms {
		v.mu.Lock()
		if v.inRotation {
			in = append(in, v)
		}
		v.mu.Unlock()
	}
	if 2*len(in) < len(dep.vms) {
		in = dep.vms
	}
	return in[r.IntN(len(in))]
}

// startCallers starts callers that send requests until the run is over. Callers beyond callerCount send requests only
// during bursts. It also starts the patient ones.
func (dep *deployment) startCallers(seed uint64) {
	for i := range maxCallers {
		dep.wg.Add(1)
		go func() {
			defer dep.wg.Done()
			r := rand.New(rand.NewPCG(seed, uint64(2+i)))
			for dep.isRunning() {
				dep.mu.Lock()
				idle := i >= callerCount*dep.callerFactor
				dep.mu.Unlock()
				if idle {
					time.Sleep(healthCheckPeriod)
					continue
				}
				dep.runConnection(r, maxPause)
			}
		}()
	}
	for i := range patientCallers {
		dep.wg.Add(1)
		go func() {
			defer dep.wg.Done()
			r := rand.New(rand.NewPCG(seed, uint64(2+maxCallers+i)))
			for dep.isRunning() {
				dep.runConnection(r, maxPatience)
			}
		}()
	}
}

// runConnection opens one connection and sends a random number of requests over it, at most maxRequestsPerConnection,
// until the connection or the run ends. It waits for up to pause between two requests. If it can't connect, it waits for
// maxPause.
func (dep *deployment) runConnection(r *rand.Rand, pause time.Duration) {
	v := dep.pickVM(r)
	c, err := net.DialTimeout("tcp", string(v.callersAddress), connectTimeout)
	if err != nil {
		time.Sleep(maxPause)
		return
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for range 1 + r.IntN(maxRequestsPerConnection) {
		if !dep.isRunning() || !dep.sendRequest(r, v, c, reader) {
			return
		}
		select {
		case <-time.After(time.Duration(r.Int64N(int64(pause)))):
		case <-dep.quit:
		}
	}
}

// sendRequest sends one request, reads its response and records both. more reports whether the connection can be
// reused.
func (dep *deployment) sendRequest(r *rand.Rand, v *vm, c net.Conn, reader *bufio.Reader) (more bool) {
	req := Request{
		ID: unit.RequestID("r" + strconv.FormatUint(lastRequestNumber.Add(1), 36)), Path: PathAll,
		Method: http.MethodGet, VM: v.number,
		Remaining: callerTimeout,
	}
	if r.Float64() < 0.5 {
		req.Path = []Path{PathOne, PathOnce, PathMoved}[r.IntN(3)]
	}
	if req.Path == PathOnce {
		req.Method, req.Body = http.MethodPost, "order "+string(req.ID)
	}
	limit := callerTimeout + lateResponseTime
	if r.Float64() < abandonShare {
		req.GaveUp = true
		limit = time.Duration(r.Int64N(int64(maxAbandonDelay)))
	}
	req.Sent = time.Now()
	err := c.SetDeadline(req.Sent.Add(limit))
	if err == nil {
		_, err = io.WriteString(c, req.encode())
	}
	if err == nil {
		req.Sent = time.Now()
		more, err = req.readResponse(reader)
	}
	req.Ended, req.Err = time.Now(), err
	if req.GaveUp && err != nil {
		req.Err = errAbandoned
	}
	dep.history.update(func(h *History) { h.Requests = append(h.Requests, req) })
	return more && err == nil
}

// encode returns the request as HTTP/1.1 text.
func (req *Request) encode() string {
	head := fmt.Sprintf("%s %s%s HTTP/1.1\r\nHost: %s\r\nBasilspan-Request-Id: %s\r\nBasilspan-Deadline-Ms: %d\r\n",
		req.Method, req.Path, req.ID, hostName, req.ID, req.Remaining.Milliseconds())
	if req.Body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(req.Body))
	}
	return head + "\r\n" + req.Body
}

// readResponse reads the response into the request. more reports whether the server keeps the connection open.
func (req *Request) readResponse(reader *bufio.Reader) (more bool, err error) {
	resp, err := http.ReadResponse(reader, &http.Request{Method: req.Method})
	if err != nil {
		return false, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return false, err
	}
	req.Status, req.ResponseBody, req.Seal = resp.StatusCode, string(body), resp.Header.Get("Basilspan-Response-Seal")
	for _, seal := range strings.Split(strings.Join(resp.Header.Values("Basilspan-Part-Stamps"), ","), ",") {
		if seal = strings.TrimSpace(seal); seal != "" {
			req.Seals = append(req.Seals, seal)
		}
	}
	if text := resp.Header.Get("Basilspan-Missing-Parts"); text != "" {
		req.MissingShards, err = strconv.Atoi(text)
	}
	return !resp.Close, err
}
