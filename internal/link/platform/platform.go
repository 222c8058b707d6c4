// Package platform reads and watches what the platform's service publishes: the configuration and the list of VMs.
// docs/PROTOCOLS.md describes the messages.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/config/folder"
	"basilspan/internal/core/kernel"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/member"
)

const (
	// watchTime is how long one watch waits at the service.
	watchTime = 5 * time.Second
	// callSlack is how much longer than watchTime a call may take.
	callSlack = 2 * time.Second
	// retryPause is the pause after a failed call.
	retryPause = 200 * time.Millisecond
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
	Members []member.Member
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
		Peer   string `json:"peer"`
		State  string `json:"state"`
	}
)

// Watcher follows the service and posts what it shows to the control goroutine.
type Watcher struct {
	base   unit.Address
	loop   *kernel.Loop
	client *http.Client
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New makes a watcher of the service at base.
func New(base unit.Address, loop *kernel.Loop) *Watcher {
	return &Watcher{
		base:   base,
		loop:   loop,
		client: &http.Client{Transport: &http.Transport{Proxy: nil}, Timeout: watchTime + callSlack},
	}
}

// Service gives the watcher as a service with that name.
func (w *Watcher) Service(name kernel.Name) kernel.Service {
	return kernel.Service{Name: name, Value: w, Start: w.start, Close: w.close}
}

func (w *Watcher) start(ctx context.Context) error {
	ctx, w.cancel = context.WithCancel(ctx)
	w.wg.Add(2)
	go w.follow(ctx, w.watchConfig)
	go w.follow(ctx, w.listVMs)
	return nil
}

func (w *Watcher) close() error {
	w.cancel()
	w.wg.Wait()
	w.client.CloseIdleConnections()
	return nil
}

// follow calls step until ctx ends, with a pause after each failure.
func (w *Watcher) follow(ctx context.Context, step func(ctx context.Context) error) {
	defer w.wg.Done()
	for ctx.Err() == nil {
		if err := step(ctx); err != nil {
			pause(ctx, retryPause)
		}
	}
}

// watchConfig waits for a configuration newer than the one that was shown last and posts it.
func (w *Watcher) watchConfig(ctx context.Context) error {
	seen := unit.Revision(0)
	for {
		path := "/config?after=" + strconv.FormatUint(uint64(seen), 10) +
			"&wait=" + strconv.FormatInt(watchTime.Milliseconds(), 10)
		var answer wireConfig
		if err := w.get(ctx, path, &answer); err != nil {
			return err
		}
		event := Config{Revision: unit.Revision(answer.Revision)}
		if event.Revision == seen {
			continue
		}
		for _, f := range answer.Files {
			event.Files = append(event.Files, folder.File{Name: f.Name, Content: []byte(f.Content)})
		}
		if err := kernel.Post(ctx, w.loop, event); err != nil {
			return err
		}
		seen = event.Revision
	}
}

// listVMs reads the list of VMs once, posts it, and waits for the next turn.
func (w *Watcher) listVMs(ctx context.Context) error {
	var answer []wireVM
	if err := w.get(ctx, "/vms", &answer); err != nil {
		return err
	}
	event := VMs{}
	for _, vm := range answer {
		event.Members = append(event.Members, member.Member{
			ID:     unit.NodeID(vm.ID),
			Centre: unit.CentreName(vm.Centre),
			Peer:   unit.Address(vm.Peer),
			State:  member.State(vm.State),
		})
	}
	if err := kernel.Post(ctx, w.loop, event); err != nil {
		return err
	}
	pause(ctx, listPeriod)
	return nil
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
