// Package bench runs a whole deployment in one process on loopback, with simulated endpoints, a simulated platform and
// real entry VMs. The demo and benchmarks use it.
package bench

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/config/example"
	"basilspan/internal/config/folder"
	"basilspan/internal/config/process"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/member"
	"basilspan/internal/policy/ownership"
	"basilspan/internal/serve/entry"
	"basilspan/internal/serve/operator"
	"basilspan/internal/standin/endpoint"
	"basilspan/internal/standin/platform"
)

const (
	// readyPollInterval is how often WaitReady checks the states of the entry VMs.
	readyPollInterval = 10 * time.Millisecond
	// overlayFile is the configuration file that moves the endpoints to loopback. It sorts last, so it overrides the
	// others.
	overlayFile = "90-loopback.json"
)

// Settings are the settings of a bench.
type Settings struct {
	// Deployment is the name of a shipped example configuration.
	Deployment string
	// EntryVMs is the number of entry VMs.
	EntryVMs int
	Fleet    endpoint.FleetSettings
	Log      *slog.Logger
}

// Bench is a running deployment.
type Bench struct {
	Platform *platform.Server
	Fleet    *endpoint.Fleet
	EntryVMs []*entry.Entry
	// Files is the published configuration.
	Files []folder.File
}

// Start starts the endpoints, the platform and the entry VMs; if one of them fails to start, it closes the others and
// returns the error.
func Start(ctx context.Context, settings Settings) (*Bench, error) {
	b := &Bench{Platform: platform.New()}
	if err := b.Platform.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	if err := b.start(ctx, settings); err != nil {
		return nil, errors.CombineErrors(err, b.Close())
	}
	return b, nil
}

// start starts the endpoints, publishes the configuration with their addresses, and starts the entry VMs.
func (b *Bench) start(ctx context.Context, settings Settings) error {
	files, err := example.Files(settings.Deployment)
	if err != nil {
		return err
	}
	built, problems := folder.Build(files)
	if len(problems) > 0 {
		return errors.Newf("example configuration is not valid: %s", problems[0])
	}
	if b.Fleet, err = endpoint.StartFleet(built, settings.Fleet); err != nil {
		return err
	}
	overlay, err := folder.Overlay(overlayFile, built, b.Fleet.Addresses())
	if err != nil {
		return err
	}
	b.Files = append(files, overlay)
	b.Platform.Publish(b.Files)
	var members []member.Member
	for i := range settings.EntryVMs {
		vm, listed, err := b.startEntryVM(ctx, i, settings.Log)
		if err != nil {
			return err
		}
		b.EntryVMs = append(b.EntryVMs, vm)
		members = append(members, listed)
	}
	b.Platform.SetVMs(members)
	return nil
}

// startEntryVM starts entry VM number i, counted from 0, and returns it with its entry in the platform's list of VMs.
func (b *Bench) startEntryVM(ctx context.Context, i int, log *slog.Logger) (*entry.Entry, member.Member, error) {
	id := unit.NodeID("e" + strconv.Itoa(i+1))
	vm, err := entry.New(process.Settings{
		Node:     id,
		Centre:   "loopback",
		Caller:   "127.0.0.1:0",
		Operator: "127.0.0.1:0",
		Peer:     "127.0.0.1:0",
		Platform: b.Platform.Address(),
		Route:    ownership.ModeOwner,
	}, entry.Options{Now: time.Now, Log: log.With("node", string(id))})
	if err != nil {
		return nil, member.Member{}, err
	}
	if err := vm.Start(ctx); err != nil {
		return nil, member.Member{}, err
	}
	listed := member.Member{ID: id, Centre: "loopback", Peer: vm.PeerAddress(), State: member.StateLive}
	return vm, listed, nil
}

// WaitReady waits until every entry VM is ready; it returns an error if limit passes or ctx ends first.
func (b *Bench) WaitReady(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		ready := 0
		for _, e := range b.EntryVMs {
			if e.State() == operator.StateReady {
				ready++
			}
		}
		if ready == len(b.EntryVMs) {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Newf("%d of %d entry VMs are ready", ready, len(b.EntryVMs))
		}
	}
}

// CallerAddresses returns the address at which each entry VM accepts callers.
func (b *Bench) CallerAddresses() []unit.Address {
	var all []unit.Address
	for _, e := range b.EntryVMs {
		all = append(all, e.CallerAddress())
	}
	return all
}

// Close stops everything that Start started.
func (b *Bench) Close() error {
	var all error
	for _, e := range b.EntryVMs {
		all = errors.CombineErrors(all, e.Close())
	}
	all = errors.CombineErrors(all, b.Platform.Close())
	if b.Fleet != nil {
		all = errors.CombineErrors(all, b.Fleet.Close())
	}
	return all
}
