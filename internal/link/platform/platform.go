// Package platform reads and watches what the platform's service publishes: the configuration and the list of VMs.
// docs/PROTOCOLS.md describes the messages.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/config/folder"
	"basilspan/internal/core/kernel"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/freshness"
	"basilspan/internal/policy/member"
	"basilspan/internal/policy/revision"
)

const (
	// watchTimeout is how long the service may hold a watch open while the configuration does not change.
	watchTimeout = 5 * time.Second
	// readTimeout bounds a request that does not wait. A watch may take watchTimeout longer.
	readTimeout = 2 * time.Second
	// watchInterval is the minimum time between two watches, so that a configuration that changes constantly is not read
	// in a tight loop.
	watchInterval = 100 * time.Millisecond
	// listInterval is the time between two reads of the list of VMs.
	listInterval = time.Second
	// maxResponseBytes is the size of the largest response that is read.
	maxResponseBytes = 4 << 20
)

// Config is the event that the service returned a new configuration.
type Config struct {
	Revision unit.Revision
	Files    []folder.File
}

// VMs is the event that the service returned its list of VMs.
type VMs struct {
	// Members holds the entry VMs.
	Members []member.Member
	// Leaving holds the endpoints that the list marks as leaving.
	Leaving []unit.EndpointID
	// Unreadable is the number of entries of the list that could not be decoded.
	Unreadable int
}

// ReadEnded is the event that an attempt to read the configuration or the list of VMs has ended. New data of a
// successful read was posted before it.
type ReadEnded struct {
	Source    freshness.Source
	Began     time.Time
	Succeeded bool
}

type (
	wireConfig struct {
		Revision uint64     `json:"revision"`
		Files    []wireFile `json:"files"`
	}

	wireFile struct {
		Name    string `json:"name"`
		Content string `json:"content"`
	}

	wireVM struct {
		ID     string `json:"id"`
		Centre string `json:"centre"`
		// Peer is empty for the VM of an endpoint.
		Peer  string `json:"peer"`
		State string `json:"state"`
	}
)

// Watcher polls the service and posts the results to the control goroutine. The function fields are its seams.
type Watcher struct {
	Now func() time.Time
	// Random returns a random number from 0 to 1.
	Random func() float64

	base   unit.Address
	loop   *kernel.Loop
	client *http.Client
	config readCycle
	list   readCycle
	// lastConfig is the version of the configuration that was posted last. Only the goroutine that watches uses it.
	lastConfig revision.Version
	cancel     context.CancelFunc
	wg         sync.WaitGroup
}

// New returns a watcher of the service at the base address.
func New(base unit.Address, loop *kernel.Loop, now func() time.Time) *Watcher {
	return &Watcher{
		Now:    now,
		Random: rand.Float64,
		base:   base,
		loop:   loop,
		client: &http.Client{Transport: &http.Transport{Proxy: nil}},
	}
}

// Service returns the watcher as a service with the given name.
func (w *Watcher) Service(name kernel.Name) kernel.Service {
	return kernel.Service{Name: name, Value: w, Start: w.start, Close: w.close}
}

// Refresh interrupts the current reads of the configuration and of the list of VMs, and starts new ones that do not
// wait for a change.
func (w *Watcher) Refresh() {
	w.config.interrupt()
	w.list.interrupt()
}

// start starts the two goroutines that poll the configuration and the list of VMs.
func (w *Watcher) start(ctx context.Context) error {
	ctx, w.cancel = context.WithCancel(ctx)
	w.wg.Add(2)
	go w.poll(ctx, &w.config, freshness.SourceConfig, watchInterval, w.readConfig)
	go w.poll(ctx, &w.list, freshness.SourceVMs, listInterval, w.readVMs)
	return nil
}

// close interrupts the reads and waits for both goroutines to end.
func (w *Watcher) close() error {
	w.cancel()
	w.wg.Wait()
	w.client.CloseIdleConnections()
	return nil
}

// poll calls read until ctx ends, and posts ReadEnded after each call, also a failed one. It pauses for the interval
// after a success and backs off exponentially after failures.
func (w *Watcher) poll(ctx context.Context, cycle *readCycle, source freshness.Source, interval time.Duration,
	read func(ctx context.Context, wait time.Duration) error,
) {
	defer w.wg.Done()
	failures := 0
	for ctx.Err() == nil {
		current, wait := cycle.begin(ctx)
		began := w.Now()
		err := read(current, wait)
		_ = kernel.Post(ctx, w.loop, ReadEnded{Source: source, Began: began, Succeeded: err == nil})
		delay := interval
		failures++
		if err == nil {
			failures = 0
		} else {
			delay = freshness.Backoff(failures, w.Random())
		}
		sleep(current, delay)
		cycle.end()
	}
}

// readConfig reads the configuration and posts it if it is new. The service may wait for a change until wait has
// passed.
func (w *Watcher) readConfig(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	path := "/config?after=" + strconv.FormatUint(uint64(w.lastConfig.Revision), 10) +
		"&wait=" + strconv.FormatInt(wait.Milliseconds(), 10)
	var response wireConfig
	if err := w.getJSON(ctx, path, &response); err != nil {
		return err
	}
	event := Config{Revision: unit.Revision(response.Revision)}
	for _, f := range response.Files {
		event.Files = append(event.Files, folder.File{Name: f.Name, Content: []byte(f.Content)})
	}
	version := revision.Version{Revision: event.Revision, Digest: folder.Sum(event.Files)}
	if version.Revision == 0 || version == w.lastConfig {
		return nil
	}
	if err := kernel.Post(ctx, w.loop, event); err != nil {
		return err
	}
	w.lastConfig = version
	return nil
}

// readVMs reads the list of VMs and posts it, also if it has not changed. It leaves out entries that cannot be decoded.
// The request does not wait for a change.
func (w *Watcher) readVMs(ctx context.Context, _ time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var response []json.RawMessage
	if err := w.getJSON(ctx, "/vms", &response); err != nil {
		return err
	}
	event := VMs{}
	for _, raw := range response {
		var vm wireVM
		if json.Unmarshal(raw, &vm) != nil {
			event.Unreadable++
			continue
		}
		state := member.State(vm.State)
		switch {
		case vm.Peer != "":
			event.Members = append(event.Members, member.Member{
				ID:     unit.NodeID(vm.ID),
				Centre: unit.CentreName(vm.Centre),
				Peer:   unit.Address(vm.Peer),
				State:  state,
			})
		case state == member.StateLeaving:
			event.Leaving = append(event.Leaving, unit.EndpointID(vm.ID))
		}
	}
	return kernel.Post(ctx, w.loop, event)
}

// getJSON sends a GET request to the service and decodes the JSON response into the value that into points to.
func (w *Watcher) getJSON(ctx context.Context, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(w.base)+path, nil)
	if err != nil {
		return errors.Wrap(err, "build the request to the platform")
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "send the request to the platform")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("the platform responded with status %s", resp.Status)
	}
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "read the platform's response")
	}
	return errors.Wrap(json.Unmarshal(content, into), "decode the platform's response")
}

// sleep waits until d has passed or ctx has ended.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
