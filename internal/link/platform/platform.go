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
	// watchTimeout is how long one watch waits at the service.
	watchTimeout = 5 * time.Second
	// readTimeout bounds a call that does not wait, and what a watch may take beyond watchTime.
	readTimeout = 2 * time.Second
	// watchInterval is the least time between two watches, so that an answer that changes all the time is not read
	// without end.
	watchInterval = 100 * time.Millisecond
	// listInterval is the time between two reads of the list of VMs.
	listInterval = time.Second
	// maxResponseBytes is the largest answer that is read.
	maxResponseBytes = 4 << 20
)

// Config is the event that the service has shown a configuration.
type Config struct {
	Revision unit.Revision
	Files    []folder.File
}

// VMs is the event that the service has shown its list of VMs.
type VMs struct {
	// Members are the entry VMs.
	Members []member.Member
	// Leaving are the endpoints that the list shows as leaving.
	Leaving []unit.EndpointID
}

// ReadEnded is the event that an attempt to read has ended; what it has shown was posted before.
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

// Watcher follows the service and posts what it shows to the control goroutine. The function fields are its seams.
type Watcher struct {
	Now func() time.Time
	// Random gives a number from 0 to 1.
	Random func() float64

	base   unit.Address
	loop   *kernel.Loop
	client *http.Client
	config readCycle
	list   readCycle
	// lastConfig is the configuration that was shown last; it belongs to the goroutine that watches.
	lastConfig revision.Version
	cancel     context.CancelFunc
	wg         sync.WaitGroup
}

// New makes a watcher of the service at base.
func New(base unit.Address, loop *kernel.Loop, now func() time.Time) *Watcher {
	return &Watcher{
		Now:    now,
		Random: rand.Float64,
		base:   base,
		loop:   loop,
		client: &http.Client{Transport: &http.Transport{Proxy: nil}},
	}
}

// Service gives the watcher as a service with that name.
func (w *Watcher) Service(name kernel.Name) kernel.Service {
	return kernel.Service{Name: name, Value: w, Start: w.start, Close: w.close}
}

// Refresh has both reads begin anew at once and not wait at the service.
func (w *Watcher) Refresh() {
	w.config.interrupt()
	w.list.interrupt()
}

func (w *Watcher) start(ctx context.Context) error {
	ctx, w.cancel = context.WithCancel(ctx)
	w.wg.Add(2)
	go w.poll(ctx, &w.config, freshness.SourceConfig, watchInterval, w.readConfig)
	go w.poll(ctx, &w.list, freshness.SourceVMs, listInterval, w.readVMs)
	return nil
}

func (w *Watcher) close() error {
	w.cancel()
	w.wg.Wait()
	w.client.CloseIdleConnections()
	return nil
}

// poll calls read until ctx ends, with a pause after each success and a growing one after failures.
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

// readConfig waits for another configuration than the one that was shown last, at most for wait, and posts it.
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

// readVMs reads the list of VMs once and posts it.
func (w *Watcher) readVMs(ctx context.Context, _ time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var response []wireVM
	if err := w.getJSON(ctx, "/vms", &response); err != nil {
		return err
	}
	event := VMs{}
	for _, vm := range response {
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

func (w *Watcher) getJSON(ctx context.Context, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(w.base)+path, nil)
	if err != nil {
		return errors.Wrap(err, "build a call of the platform")
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "call the platform")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("the platform answered %s", resp.Status)
	}
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "read the platform's answer")
	}
	return errors.Wrap(json.Unmarshal(content, into), "decode the platform's answer")
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
