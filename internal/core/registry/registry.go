// Package registry follows what operators and endpoints publish: it lists a prefix of keys, watches it for changes and
// lists it anew when changes may have been missed. What it reads goes to the control goroutine.
package registry

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/core/kernel"
	"basilspan/internal/core/unit"
)

const (
	// watchMost is how long one watch waits for a change at the most; each wait counts as a read.
	watchMost = 4 * time.Second
	// catchUpTime is what is left of Follower.Notice for the read that follows a watch without an answer.
	catchUpTime = 500 * time.Millisecond
	// leadTime replaces the usual wait at a VM that others follow, since they have to notice in time that it is cut off.
	leadTime = time.Second
	// watchSlack is how much longer the answer to a watch may take.
	watchSlack = 500 * time.Millisecond
	// listTime bounds the read of all values, which may take several answers of a slow registry.
	listTime = 4 * time.Second
	// retryFirst is the pause after a failed read; each further one doubles it up to retryMost, which bounds how late
	// the registry's return is noticed.
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// retryFollowing replaces retryMost at a VM that follows others: they notice the registry's return for it. Every peerPause
	// it asks them.
	retryFollowing = 2 * time.Second
	peerPause      = 500 * time.Millisecond
	// relayTime is how long a peer waits for a change before it answers that there is none, and relaySlack how much
	// longer its answer may take, with a large table over a small link; both are short, since a peer that is gone is
	// noticed by the lack of an answer.
	relayTime  = time.Second
	relaySlack = 700 * time.Millisecond
	// relayAge is how old a peer's knowledge may be; with an older one this VM reads the registry itself.
	relayAge = leadTime + watchSlack
	// relayTries is how many peers in a row may fail before this VM reads the registry itself: a second one answers in most
	// cases, and a third would take longer than a change may.
	relayTries = 2
	// glanceTime is how long a read that only catches up waits for a change.
	glanceTime = 10 * time.Millisecond
	// directTime is how long this VM reads the registry itself before it relies on peers again.
	directTime = 10 * time.Second
)

// ErrCompacted means that the registry no longer holds the changes since the revision that was asked for.
var ErrCompacted = errors.New("the registry no longer has the history")

// Key names one published value.
type Key string

// Prefix begins the keys of several values.
type Prefix string

// Item is a published value at a revision, or its end.
type Item struct {
	Key      Key
	Value    []byte
	Revision unit.Revision
	Deleted  bool
}

// Listing is the answer to a read.
type Listing struct {
	Items []Item
	// Revision is the revision that a watch continues from.
	Revision unit.Revision
}

// Listed is the event that all values with the prefix were read.
type Listed struct {
	Prefix   Prefix
	Items    []Item
	Revision unit.Revision
	// FromPeer says that a peer has told them, while the registry cannot be read.
	FromPeer bool
}

// Changed is the event that values with the prefix have changed; Items may be empty.
type Changed struct {
	Prefix   Prefix
	Items    []Item
	Revision unit.Revision
	// Age is how long ago the registry held nothing newer, 0 when it has just said so itself.
	Age time.Duration
}

// Update is what a peer knows that is newer than a revision.
type Update struct {
	Listing
	// Full says that Items are all values, and not changes.
	Full bool
	// ConfirmedAt is when the registry last answered the peer, on the clock of whoever holds the News.
	ConfirmedAt time.Time
}

// ReadFailed is the event that a read of the registry, which began at that time, has failed.
type ReadFailed struct {
	Prefix Prefix
	Began  time.Time
	Err    error
}

// Role says who reads the registry for whom. In a large deployment a few VMs read it, and the others follow them.
type Role int

// The roles.
const (
	// RoleStandalone reads for itself.
	RoleStandalone Role = iota
	// RoleRelaying reads for others as well.
	RoleRelaying
	// RoleFollowing relies on a VM that leads.
	RoleFollowing
)

// Follower follows one prefix. The function fields are its seams.
type Follower struct {
	Prefix Prefix
	Now    func() time.Time
	List   func(ctx context.Context, prefix Prefix) (Listing, error)
	Watch  func(ctx context.Context, prefix Prefix, after unit.Revision, wait time.Duration) (Listing, error)
	// PeerListing gives what a peer knows under the prefix if that is newer than a revision; it is asked while the registry
	// cannot be read.
	PeerListing func(ctx context.Context, prefix Prefix, after unit.Revision) (Listing, error)
	// Relay waits for what a peer that reads the registry learns, and Role says whether to rely on that.
	Relay func(ctx context.Context, prefix Prefix, after unit.Revision, wait time.Duration) (Update, error)
	Role  func() Role
	// Rand gives a number from 0 to 1, by which the retries of several VMs are spread.
	Rand func() float64
	Log  *slog.Logger
	// Post hands an event to the control goroutine.
	Post func(ctx context.Context, event any) error
	// DetectionTime is the time within which a connection to the registry that has gone silent is to be noticed and replaced.
	DetectionTime time.Duration
	// BatchDelay is the pause between the answer to a watch and the next one, in which changes gather; each read counts.
	BatchDelay time.Duration

	// at is the revision that this VM has caught up with, direct until when it reads the registry itself, and failures how
	// often in a row it could not.
	at       unit.Revision
	direct   time.Time
	failures int
}

// Service gives the follower as a service with that name.
func (f *Follower) Service(name kernel.Name) kernel.Service {
	return kernel.Background(name, f, f.run)
}

// run follows the prefix until ctx ends.
func (f *Follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		began, err := f.round(ctx)
		switch {
		case err == nil:
			f.failures = 0
		case errors.Is(err, ErrCompacted):
			f.Log.Info("history compacted; listing anew", "prefix", f.Prefix)
			f.at = 0
		case ctx.Err() == nil:
			f.post(ctx, ReadFailed{Prefix: f.Prefix, Began: began, Err: err})
			f.askPeers(ctx)
			f.pause(ctx)
			f.failures++
		}
	}
}

// round follows peers for as long as that is possible, and then reads the registry once. began is when the last read began.
func (f *Follower) round(ctx context.Context) (began time.Time, err error) {
	if f.Role() == RoleFollowing && f.Now().After(f.direct) {
		if began, err = f.followPeers(ctx); err != nil || ctx.Err() != nil {
			return began, err
		}
	}
	began = f.Now()
	return began, f.read(ctx)
}

// read reads the registry once: all values at first, and then what has changed.
func (f *Follower) read(ctx context.Context) error {
	if f.at == 0 {
		return f.readAll(ctx)
	}
	return f.readChanges(ctx, f.watchTime())
}

// askPeers takes what a peer knows, which may be less than what the registry holds.
func (f *Follower) askPeers(ctx context.Context) {
	listing, err := f.PeerListing(ctx, f.Prefix, f.at)
	if err != nil {
		f.Log.Debug("no news from peers", "prefix", f.Prefix, "error", err)
		return
	}
	f.at = listing.Revision
	f.post(ctx, Listed{Prefix: f.Prefix, Items: listing.Items, Revision: listing.Revision, FromPeer: true})
}

func (f *Follower) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTime)
	defer cancel()
	listing, err := f.List(ctx, f.Prefix)
	if err != nil {
		return err
	}
	f.post(ctx, Listed{Prefix: f.Prefix, Items: listing.Items, Revision: listing.Revision})
	f.at = listing.Revision
	return nil
}

func (f *Follower) readChanges(ctx context.Context, wait time.Duration) error {
	changes, err := f.watch(ctx, wait)
	if err != nil {
		return err
	}
	f.post(ctx, Changed{Prefix: f.Prefix, Items: changes.Items, Revision: changes.Revision})
	f.at = max(f.at, changes.Revision)
	if len(changes.Items) > 0 {
		kernel.Wait(ctx, f.BatchDelay)
	}
	return nil
}

func (f *Follower) watch(ctx context.Context, wait time.Duration) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	return f.Watch(ctx, f.Prefix, f.at, wait)
}

// watchTime is how long one watch waits for a change. A connection that has gone silent is noticed when it is over.
func (f *Follower) watchTime() time.Duration {
	if f.Role() == RoleRelaying {
		return leadTime
	}
	return min(watchMost, max(leadTime, f.DetectionTime-watchSlack-catchUpTime))
}

// followPeers follows a peer until that fails or knows too little, and then the next one, after a glance at the registry
// for what the first one may have missed. After several failures in a row, or a first one while the registry is lost, this
// VM is to read the registry itself. The error says why the glance that began at that time has failed.
func (f *Follower) followPeers(ctx context.Context) (began time.Time, err error) {
	failed := 0
	for ctx.Err() == nil {
		lost := f.relay(ctx)
		if lost == nil {
			failed, f.failures = 0, 0
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if failed++; failed == relayTries || f.failures > 0 {
			f.direct = f.Now().Add(directTime)
			f.Log.Info("reading the registry instead of a peer", "prefix", f.Prefix, "at", f.at, "error", lost)
			break
		}
		f.Log.Info("following another peer", "prefix", f.Prefix, "at", f.at, "error", lost)
		began = f.Now()
		if err := f.glance(ctx); err != nil {
			return began, err
		}
	}
	return began, nil
}

// glance reads what is published now, without waiting for changes.
func (f *Follower) glance(ctx context.Context) error {
	if f.at == 0 {
		return f.readAll(ctx)
	}
	return f.readChanges(ctx, glanceTime)
}

// relay takes what a peer learns next.
func (f *Follower) relay(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, relayTime+relaySlack)
	defer cancel()
	news, err := f.Relay(ctx, f.Prefix, f.at, relayTime)
	if err != nil {
		return err
	}
	age := f.Now().Sub(news.ConfirmedAt)
	if age > relayAge || news.Revision < f.at {
		return errors.Newf("the peer knows revision %d as of %v ago", news.Revision, age)
	}
	if news.Full {
		f.post(ctx, Listed{Prefix: f.Prefix, Items: news.Items, Revision: news.Revision})
	} else {
		f.post(ctx, Changed{Prefix: f.Prefix, Items: news.Items, Revision: news.Revision, Age: age})
	}
	f.at = max(f.at, news.Revision)
	return nil
}

// pause waits before the next try.
func (f *Follower) pause(ctx context.Context) {
	following := f.Role() == RoleFollowing
	most := retryMost
	if following {
		most = retryFollowing
	}
	pause := retryFirst
	for range f.failures {
		pause = min(2*pause, most)
	}
	pause = time.Duration(float64(pause) * (0.75 + 0.5*f.Rand()))
	if !following {
		kernel.Wait(ctx, pause)
		return
	}
	f.direct = time.Time{}
	f.awaitPeers(ctx, pause)
}

// awaitPeers waits until a peer knows what is published, for that long at most: one may learn of the registry's return
// first.
func (f *Follower) awaitPeers(ctx context.Context, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for ctx.Err() == nil {
		kernel.Wait(ctx, peerPause)
		if ctx.Err() == nil && f.relay(ctx) == nil {
			return
		}
	}
}

// post hands an event to the control goroutine; after the loop's end nobody needs it.
func (f *Follower) post(ctx context.Context, event any) {
	if err := f.Post(ctx, event); err != nil && ctx.Err() == nil {
		f.Log.Warn("event not delivered", "prefix", f.Prefix, "error", err)
	}
}
