// Package bench runs a whole deployment in one process on loopback, from the stand-ins and real entry VMs, for the
// demo and for tests.
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
	"basilspan/internal/policy/place"
	"basilspan/internal/serve/entry"
	"basilspan/internal/serve/operator"
	"basilspan/internal/standin/endpoint"
	"basilspan/internal/standin/platform"
)

const (
	// readyPollInterval is the time between two looks at whether an entry VM is ready.
	readyPollInterval = 10 * time.Millisecond
	// overlayFile is the file that moves the endpoints to loopback; it comes last.
	overlayFile = "90-loopback.json"
)

// Settings describe a bench.
type Settings struct {
	// Deployment is the name of a shipped example.
	Deployment string
	EntryVMs   int
	Fleet      endpoint.FleetSettings
	Log        *slog.Logger
}

// Bench is a running deployment.
type Bench struct {
	Platform *platform.Server
	Fleet    *endpoint.Fleet
	EntryVMs []*entry.Entry
	// Files are the published configuration.
	Files []folder.File
}

// Start starts the endpoints, the platform and the entry VMs.
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

func (b *Bench) start(ctx context.Context, settings Settings) error {
	files, err := example.Files(settings.Deployment)
	if err != nil {
		return err
	}
	built, problems := folder.Build(files)
	if len(problems) > 0 {
		return errors.Newf("the example is not valid: %s", problems[0])
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
		one, listed, err := b.startEntryVM(ctx, i, settings.Log)
		if err != nil {
			return err
		}
		b.EntryVMs = append(b.EntryVMs, one)
		members = append(members, listed)
	}
	b.Platform.SetVMs(members)
	return nil
}

// startEntryVM starts one entry VM and gives its line of the platform's list.
func (b *Bench) startEntryVM(ctx context.Context, i int, log *slog.Logger) (*entry.Entry, member.Member, error) {
	id := unit.NodeID("e" + strconv.Itoa(i+1))
	one, err := entry.New(process.Settings{
		Node:     id,
		Centre:   "loopback",
		Caller:   "127.0.0.1:0",
		Operator: "127.0.0.1:0",
		Peer:     "127.0.0.1:0",
		Platform: b.Platform.Address(),
		Route:    place.ModeOwner,
	}, entry.Options{Now: time.Now, Log: log.With("node", string(id))})
	if err != nil {
		return nil, member.Member{}, err
	}
	if err := one.Start(ctx); err != nil {
		return nil, member.Member{}, err
	}
	listed := member.Member{ID: id, Centre: "loopback", Peer: one.PeerAddress(), State: member.StateLive}
	return one, listed, nil
}

// WaitReady waits until every entry VM is ready.
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

// CallerAddresses gives the callers' addresses of all entry VMs.
func (b *Bench) CallerAddresses() []unit.Address {
	var all []unit.Address
	for _, e := range b.EntryVMs {
		all = append(all, e.CallerAddress())
	}
	return all
}

// Close ends everything that Start began.
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
