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
	// watchTime is how long one watch waits at the service.
	watchTime = 5 * time.Second
	// readTime bounds a call that does not wait, and what a watch may take beyond watchTime.
	readTime = 2 * time.Second
	// watchPause is the least time between two watches, so that an answer that changes all the time is not read
	// without end.
	watchPause = 100 * time.Millisecond
	// listPeriod is the time between two reads of the list of VMs.
	listPeriod = time.Second
	// maxAnswer is the largest answer that is read.
	maxAnswer = 4 << 20
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

// Asked is the event that an attempt to read has ended; what it has shown was posted before.
type Asked struct {
	Source   freshness.Source
	Began    time.Time
	Answered bool
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
	config turn
	list   turn
	// seen is the configuration that was shown last; it belongs to the goroutine that watches.
	seen   revision.Version
	cancel context.CancelFunc
	wg     sync.WaitGroup
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
	go w.follow(ctx, &w.config, freshness.SourceConfig, watchPause, w.readConfig)
	go w.follow(ctx, &w.list, freshness.SourceVMs, listPeriod, w.readVMs)
	return nil
}

func (w *Watcher) close() error {
	w.cancel()
	w.wg.Wait()
	w.client.CloseIdleConnections()
	return nil
}

// follow calls read until ctx ends, with a pause after each success and a growing one after failures.
func (w *Watcher) follow(ctx context.Context, t *turn, source freshness.Source, period time.Duration,
	read func(ctx context.Context, wait time.Duration) error,
) {
	defer w.wg.Done()
	failures := 0
	for ctx.Err() == nil {
		current, wait := t.begin(ctx)
		began := w.Now()
		err := read(current, wait)
		_ = kernel.Post(ctx, w.loop, Asked{Source: source, Began: began, Answered: err == nil})
		rest := period
		failures++
		if err == nil {
			failures = 0
		} else {
			rest = freshness.Backoff(failures, w.Random())
		}
		pause(current, rest)
		t.end()
	}
}

// readConfig waits for another configuration than the one that was shown last, at most for wait, and posts it.
func (w *Watcher) readConfig(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+readTime)
	defer cancel()
	path := "/config?after=" + strconv.FormatUint(uint64(w.seen.Revision), 10) +
		"&wait=" + strconv.FormatInt(wait.Milliseconds(), 10)
	var answer wireConfig
	if err := w.get(ctx, path, &answer); err != nil {
		return err
	}
	event := Config{Revision: unit.Revision(answer.Revision)}
	for _, f := range answer.Files {
		event.Files = append(event.Files, folder.File{Name: f.Name, Content: []byte(f.Content)})
	}
	shown := revision.Version{Revision: event.Revision, Digest: folder.Sum(event.Files)}
	if shown.Revision == 0 || shown == w.seen {
		return nil
	}
	if err := kernel.Post(ctx, w.loop, event); err != nil {
		return err
	}
	w.seen = shown
	return nil
}

// readVMs reads the list of VMs once and posts it.
func (w *Watcher) readVMs(ctx context.Context, _ time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	var answer []wireVM
	if err := w.get(ctx, "/vms", &answer); err != nil {
		return err
	}
	event := VMs{}
	for _, vm := range answer {
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

func (w *Watcher) get(ctx context.Context, path string, into any) error {
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
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return errors.Wrap(err, "read the platform's answer")
	}
	return errors.Wrap(json.Unmarshal(content, into), "decode the platform's answer")
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
