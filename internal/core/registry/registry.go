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
	// listTime bounds a read; a slow registry answers within it.
	listTime = 1500 * time.Millisecond
	// retryFirst is the pause after a failed read; each further one doubles it up to retryMost, which bounds how late
	// the registry's return is noticed.
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// retryFollowing replaces retryMost at a VM that follows others: they notice the registry's return for it.
	retryFollowing = 3 * time.Second
	// relayTime is how long a peer waits for a change before it answers that there is none, and relaySlack how much
	// longer its answer may take, with a large table over a small link; both are short, since a peer that is gone is
	// noticed by the lack of an answer.
	relayTime  = time.Second
	relaySlack = 700 * time.Millisecond
	// relayAge is how old a peer's knowledge may be; with an older one this VM reads the registry itself.
	relayAge = leadTime + watchSlack
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
	// At is the revision that a watch continues from.
	At unit.Revision
}

// Listed is the event that all values with the prefix were read.
type Listed struct {
	Prefix Prefix
	Items  []Item
	At     unit.Revision
	// FromPeer says that a peer has told them, while the registry cannot be read.
	FromPeer bool
}

// Changed is the event that values with the prefix have changed; Items may be empty.
type Changed struct {
	Prefix Prefix
	Items  []Item
	At     unit.Revision
	// Age is how long ago the registry held nothing newer, 0 when it has just said so itself.
	Age time.Duration
}

// News is what a peer knows that is newer than a revision.
type News struct {
	Listing
	// Whole says that Items are all values, and not changes.
	Whole bool
	// Heard is when the registry last answered the peer, on the clock of whoever holds the News.
	Heard time.Time
}

// Lost is the event that the registry could not be read.
type Lost struct {
	Prefix Prefix
	Err    error
}

// Role says who reads the registry for whom. In a large deployment a few VMs read it, and the others follow them.
type Role int

// The roles.
const (
	// RoleAlone reads for itself.
	RoleAlone Role = iota
	// RoleLeading reads for others as well.
	RoleLeading
	// RoleFollowing relies on a VM that leads.
	RoleFollowing
)

// Follower follows one prefix. The function fields are its seams.
type Follower struct {
	Prefix Prefix
	Now    func() time.Time
	List   func(ctx context.Context, prefix Prefix) (Listing, error)
	Watch  func(ctx context.Context, prefix Prefix, after unit.Revision, wait time.Duration) (Listing, error)
	// Peers gives what a peer knows under the prefix if that is newer than a revision; it is asked while the registry
	// cannot be read.
	Peers func(ctx context.Context, prefix Prefix, after unit.Revision) (Listing, error)
	// Relay waits for what a peer that reads the registry learns, and Role says whether to rely on that.
	Relay func(ctx context.Context, prefix Prefix, after unit.Revision, wait time.Duration) (News, error)
	Role  func() Role
	// Rand gives a number from 0 to 1, by which the retries of several VMs are spread.
	Rand func() float64
	Log  *slog.Logger
	// Post hands an event to the control goroutine.
	Post func(ctx context.Context, event any) error
	// Notice is the time within which a connection to the registry that has gone silent is to be noticed and replaced.
	Notice time.Duration
	// Batch is the pause between the answer to a watch and the next one, in which changes gather; each read counts.
	Batch time.Duration

	// at is the revision that this VM has caught up with, and direct until when it reads the registry itself.
	at     unit.Revision
	direct time.Time
}

// Service gives the follower as a service with that name.
func (f *Follower) Service(name kernel.Name) kernel.Service {
	return kernel.Background(name, f, f.run)
}

// run follows the prefix until ctx ends.
func (f *Follower) run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if f.Role() == RoleFollowing && f.Now().After(f.direct) && f.followPeer(ctx) {
			failures = 0
		}
		if ctx.Err() != nil {
			return
		}
		err := f.read(ctx)
		switch {
		case err == nil:
			failures = 0
		case errors.Is(err, ErrCompacted):
			f.Log.Info("history compacted; listing anew", "prefix", f.Prefix)
			f.at = 0
		case ctx.Err() == nil:
			f.post(ctx, Lost{Prefix: f.Prefix, Err: err})
			f.askPeers(ctx)
			f.pause(ctx, failures)
			failures++
		}
	}
}

// read reads the registry once: all values at first, and then what has changed.
func (f *Follower) read(ctx context.Context) error {
	if f.at == 0 {
		return f.readAll(ctx)
	}
	return f.readChanges(ctx)
}

// askPeers takes what a peer knows, which may be less than what the registry holds.
func (f *Follower) askPeers(ctx context.Context) {
	listing, err := f.Peers(ctx, f.Prefix, f.at)
	if err != nil {
		f.Log.Debug("no news from peers", "prefix", f.Prefix, "error", err)
		return
	}
	f.at = listing.At
	f.post(ctx, Listed{Prefix: f.Prefix, Items: listing.Items, At: listing.At, FromPeer: true})
}

func (f *Follower) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTime)
	defer cancel()
	listing, err := f.List(ctx, f.Prefix)
	if err != nil {
		return err
	}
	f.post(ctx, Listed{Prefix: f.Prefix, Items: listing.Items, At: listing.At})
	f.at = listing.At
	return nil
}

func (f *Follower) readChanges(ctx context.Context) error {
	changes, err := f.watch(ctx)
	if err != nil {
		return err
	}
	f.post(ctx, Changed{Prefix: f.Prefix, Items: changes.Items, At: changes.At})
	f.at = max(f.at, changes.At)
	if len(changes.Items) > 0 {
		kernel.Wait(ctx, f.Batch)
	}
	return nil
}

func (f *Follower) watch(ctx context.Context) (Listing, error) {
	wait := f.watchTime()
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	return f.Watch(ctx, f.Prefix, f.at, wait)
}

// watchTime is how long one watch waits for a change. A connection that has gone silent is noticed when it is over.
func (f *Follower) watchTime() time.Duration {
	if f.Role() == RoleLeading {
		return leadTime
	}
	return min(watchMost, max(leadTime, f.Notice-watchSlack-catchUpTime))
}

// followPeer follows a peer until that fails or knows too little, after which this VM reads the registry itself. It says
// whether the peer has told anything.
func (f *Follower) followPeer(ctx context.Context) (told bool) {
	for ctx.Err() == nil {
		if err := f.relay(ctx); err != nil {
			f.direct = f.Now().Add(directTime)
			f.Log.Info("reading the registry instead of a peer", "prefix", f.Prefix, "at", f.at, "error", err)
			return told
		}
		told = true
	}
	return told
}

// relay takes what a peer learns next.
func (f *Follower) relay(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, relayTime+relaySlack)
	defer cancel()
	news, err := f.Relay(ctx, f.Prefix, f.at, relayTime)
	if err != nil {
		return err
	}
	age := f.Now().Sub(news.Heard)
	if age > relayAge || news.At < f.at {
		return errors.Newf("the peer knows revision %d as of %v ago", news.At, age)
	}
	if news.Whole {
		f.post(ctx, Listed{Prefix: f.Prefix, Items: news.Items, At: news.At})
	} else {
		f.post(ctx, Changed{Prefix: f.Prefix, Items: news.Items, At: news.At, Age: age})
	}
	f.at = max(f.at, news.At)
	return nil
}

// pause waits before the next try.
func (f *Follower) pause(ctx context.Context, failures int) {
	most := retryMost
	if f.Role() == RoleFollowing {
		most = retryFollowing
		// A peer may learn of the registry's return first.
		f.direct = time.Time{}
	}
	pause := retryFirst
	for range failures {
		pause = min(2*pause, most)
	}
	kernel.Wait(ctx, time.Duration(float64(pause)*(0.75+0.5*f.Rand())))
}

// post hands an event to the control goroutine; after the loop's end nobody needs it.
func (f *Follower) post(ctx context.Context, event any) {
	if err := f.Post(ctx, event); err != nil && ctx.Err() == nil {
		f.Log.Warn("event not delivered", "prefix", f.Prefix, "error", err)
	}
}
