// Package registry follows what operators and endpoints publish in the registry. It lists a prefix of keys, watches it
// for changes, and lists it again when it may have missed changes. The values go to the control goroutine as events.
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
	// maxWatchWait is the longest that one watch waits for a change. Each watch counts as a read of the registry.
	maxWatchWait = 4 * time.Second
	// catchUpTime is the part of Follower.DetectionTime that is left for the read after a watch without a response.
	catchUpTime = 500 * time.Millisecond
	// relayingWatchWait is the wait of a watch at a VM that relays to others. They have to notice in time that it is
	// cut off from the registry.
	relayingWatchWait = time.Second
	// watchResponseMargin is how much longer than its wait the response to a watch may take.
	watchResponseMargin = 500 * time.Millisecond
	// listTimeout bounds a full listing, which may take several responses of a slow registry.
	listTimeout = 4 * time.Second
	// minRetryDelay is the delay after the first failed read. Each further failure doubles it, up to maxRetryDelay,
	// which bounds how late this VM notices that the registry has recovered.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// maxFollowingRetryDelay replaces maxRetryDelay at a VM that follows peers: it polls them every peerPollPeriod, and
	// they notice that the registry has recovered.
	maxFollowingRetryDelay = 2 * time.Second
	peerPollPeriod         = 500 * time.Millisecond
	// relayWait is how long a peer waits for a change before it answers that there is none. relayResponseMargin is how
	// much longer its response may take, with a large table over a slow link. Both are short, since the missing
	// response is what shows that a peer has failed.
	relayWait           = time.Second
	relayResponseMargin = 700 * time.Millisecond
	// maxRelayAge is the oldest confirmation of a peer's values that this VM accepts; with an older one it
	// switches to another peer or the registry.
	maxRelayAge = relayingWatchWait + watchResponseMargin
	// maxPeerFailures is how many peers in a row may fail before this VM reads the registry itself. The second one
	// answers in most cases, and a third would take longer than a change may take to arrive.
	maxPeerFailures = 2
	// catchUpWait is how long a read that only catches up waits for a change.
	catchUpWait = 10 * time.Millisecond
	// eraMissingTime is how long responses without an era are refused by a VM that knows one. None from before a restore
	// takes that long.
	eraMissingTime = 5 * time.Second
	// directReadPeriod is how long this VM reads the registry itself before it relies on peers again.
	directReadPeriod = 10 * time.Second
)

// ErrCompacted is returned by a watch when the registry does not have the changes since the requested revision, because
// its history was compacted or a restore has taken back the revision.
var ErrCompacted = errors.New("the registry has compacted the changes since the requested revision")

// ErrEraMissing is the failure of a read whose response has no era although one is known.
var ErrEraMissing = errors.New("the response lacks the registry's era")

// Key names one published value.
type Key string

// Prefix is the common start of the keys of several values.
type Prefix string

// Item is a published value, or its deletion. Its position has the revision of its last change and the era in which it
// was read.
type Item struct {
	unit.Position
	Key     Key
	Value   []byte
	Deleted bool
}

// Listing is the result of a read.
type Listing struct {
	// Position is the position from which a watch continues.
	unit.Position
	Items []Item
	// EraMissing reports that the registry sent no era. That of the positions is 0 then.
	EraMissing bool
}

// Listed is the event that all values of a prefix were read.
type Listed struct {
	unit.Position
	Prefix Prefix
	Items  []Item
	// FromPeer reports that a peer sent the values because this VM can't read the registry. They may be out of date.
	FromPeer bool
}

// Changed is the event that values of a prefix have changed. Items is empty when a read found no change.
type Changed struct {
	unit.Position
	Prefix Prefix
	Items  []Item
	// Age is the time since the registry was known to hold nothing newer; 0 for a response of the registry itself.
	Age time.Duration
}

// Edition tells apart what a peer relays at one position. It changes when a value that another VM has offered takes the
// place of the registry's, which has no position of its own. It is 0 until then.
type Edition int64

// EditionUnknown is the edition of a peer of a release that sends none.
const EditionUnknown Edition = -1

// Cursor is what a VM has caught up with at a peer.
type Cursor struct {
	unit.Position
	Edition Edition
}

// Update is what a peer knows that is newer than a cursor.
type Update struct {
	Listing
	Edition Edition
	// Full reports that Items holds all values, not only the changes.
	Full bool
	// ConfirmedAt is when the registry was last known to hold nothing newer, on the clock of the VM that holds the
	// Update. It is zero if the registry has never answered.
	ConfirmedAt time.Time
}

// CheckFollows returns an error if a VM at the position after must not take the update at now: its values are older than
// maxRelayAge or than that position, or it holds only changes although its era is another one.
func (u Update) CheckFollows(now time.Time, after unit.Position) error {
	age := now.Sub(u.ConfirmedAt)
	if age > maxRelayAge || after.After(u.Position) {
		return errors.Newf("the peer's values are out of date: era %d, revision %d, confirmed %v ago",
			u.Era, u.Revision, age)
	}
	if !u.Full && u.Era != after.Era {
		return errors.Newf("the peer's changes are of era %d, not %d", u.Era, after.Era)
	}
	return nil
}

// Offered is the event that a peer knows values that the registry may have lost in a restore. They have no position in
// the registry's history any more, and count only if they show themselves that they are newer.
type Offered struct {
	Prefix Prefix
	Items  []Item
}

// ReadFailed is the event that a read of the registry has failed. Began is when the read began.
type ReadFailed struct {
	Prefix Prefix
	Began  time.Time
	Err    error
}

// Role is how a VM gets what the registry holds. In a large deployment a few VMs read the registry and relay it to the
// others.
type Role int

// The roles of an entry VM.
const (
	// RoleStandalone reads the registry for itself only.
	RoleStandalone Role = iota
	// RoleRelaying reads the registry and relays it to others.
	RoleRelaying
	// RoleFollowing gets its values from a VM that relays.
	RoleFollowing
)

// Follower follows one prefix. The function fields are its seams.
type Follower struct {
	Prefix Prefix
	Now    func() time.Time
	// List returns all values under the prefix. Watch waits for changes after a revision, for wait at most, and returns
	// them, or ErrCompacted if the registry no longer has them.
	List  func(ctx context.Context, prefix Prefix) (Listing, error)
	Watch func(ctx context.Context, prefix Prefix, after unit.Revision, wait time.Duration) (Listing, error)
	// PeerListing returns all that a peer knows under the prefix, if that is newer than a position. It is called when
	// the registry can't be read.
	PeerListing func(ctx context.Context, prefix Prefix, after unit.Position) (Listing, error)
	// PeerValues returns what each peer that answers knows under the prefix. It is called after each listing. nil does
	// nothing.
	PeerValues func(ctx context.Context, prefix Prefix) []Listing
	// Relay waits for the next update from a peer that reads the registry. Role determines whether to rely on it.
	Relay func(ctx context.Context, prefix Prefix, after Cursor, wait time.Duration) (Update, error)
	Role  func() Role
	// Rand returns a random number from 0 to 1, which spreads the retries of several VMs.
	Rand func() float64
	Log  *slog.Logger
	// Post sends an event to the control goroutine.
	Post func(ctx context.Context, event any) error
	// DetectionTime is the time within which a silent connection to the registry has to be noticed and replaced.
	DetectionTime time.Duration
	// BatchDelay is the delay between a watch that found changes and the next watch. It lets changes accumulate, since
	// each watch counts as a read.
	BatchDelay time.Duration

	// position is the position that this VM has caught up with. Its revision is 0 while a listing is needed.
	position unit.Position
	// edition is that of the last update from a peer.
	edition Edition
	// directUntil is the end of the period in which this VM reads the registry itself, whatever its role.
	directUntil time.Time
	// failures is the number of failed reads in a row.
	failures int
	// reached is the latest position that was given up for a new listing.
	reached unit.Position
	// eraMissingSince is when the registry began to send no era although one is known; it is zero while it sends it.
	eraMissingSince time.Time
	// compactions is the number of reads since the last successful watch that ended with ErrCompacted.
	compactions int
}

// Service returns the follower as a kernel service with that name.
func (f *Follower) Service(name kernel.Name) kernel.Service {
	return kernel.Background(name, f, f.run)
}

// run follows the prefix until ctx ends. The first read that ends with ErrCompacted is followed by a listing at once; any
// other one counts as failed.
func (f *Follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		began, err := f.followThenRead(ctx)
		switch {
		case err == nil:
			f.failures = 0
		case errors.Is(err, ErrCompacted) && f.compactions == 0:
			f.Log.Info("history compacted; listing anew", "prefix", f.Prefix)
			f.requireListing()
			f.compactions = 1
		case ctx.Err() == nil:
			f.handleFailure(ctx, began, err)
		}
	}
}

// handleFailure handles a failed read that began at began: it takes a listing from a peer and backs off. After
// ErrCompacted the next read is a listing, and listings that succeed between such reads do not shorten the delay.
func (f *Follower) handleFailure(ctx context.Context, began time.Time, err error) {
	_ = f.post(ctx, ReadFailed{Prefix: f.Prefix, Began: began, Err: err})
	f.takePeerListing(ctx)
	if errors.Is(err, ErrCompacted) {
		f.requireListing()
		f.failures = max(f.failures, f.compactions-1)
		f.compactions++
	}
	f.backOff(ctx)
	f.failures++
}

// requireListing makes the next read of the registry a listing.
func (f *Follower) requireListing() {
	f.reached = f.latest()
	f.position.Revision = 0
}

// latest returns the latest position that this VM has caught up with.
func (f *Follower) latest() unit.Position {
	if f.reached.After(f.position) {
		return f.reached
	}
	return f.position
}

// followThenRead follows peers for as long as the role and the peers allow it, and then reads the registry once. began
// is when the last read of the registry began.
func (f *Follower) followThenRead(ctx context.Context) (began time.Time, err error) {
	if f.Role() == RoleFollowing && f.Now().After(f.directUntil) {
		if began, err = f.followPeers(ctx); err != nil || ctx.Err() != nil {
			return began, err
		}
	}
	began = f.Now()
	return began, f.read(ctx)
}

// read reads the registry once: a full listing at first, and then the changes since the last read. After a failed read
// it does not wait for changes, since the registry may have been restored meanwhile, and only a response shows that.
func (f *Follower) read(ctx context.Context) error {
	if f.failures > 0 {
		return f.catchUp(ctx)
	}
	if f.position.Revision == 0 {
		return f.readAll(ctx)
	}
	return f.readChanges(ctx, f.watchWait())
}

// takePeerListing posts what a peer knows, which may be out of date. It is called when the registry can't be read.
func (f *Follower) takePeerListing(ctx context.Context) {
	listing, err := f.PeerListing(ctx, f.Prefix, f.position)
	if err != nil {
		f.Log.Debug("no newer values from peers", "prefix", f.Prefix, "error", err)
		return
	}
	e := Listed{Position: listing.Position, Prefix: f.Prefix, Items: listing.Items, FromPeer: true}
	if f.post(ctx, e) == nil {
		f.position = listing.Position
	}
}

// readAll lists all values in the registry and posts them. A registry that has been restored may have lost some that
// peers still know.
func (f *Follower) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, err := f.List(ctx, f.Prefix)
	if err != nil {
		return err
	}
	if err := f.checkEra(&listing); err != nil {
		return err
	}
	if err := f.post(ctx, Listed{Position: listing.Position, Prefix: f.Prefix, Items: listing.Items}); err != nil {
		return err
	}
	f.position = listing.Position
	if f.PeerValues != nil {
		for _, known := range f.PeerValues(ctx, f.Prefix) {
			_ = f.post(ctx, Offered{Prefix: f.Prefix, Items: known.Items})
		}
	}
	return nil
}

// readChanges watches the registry once, for that long at most, and posts the changes. After changes it waits for
// BatchDelay. Changes of a later era do not follow on what this VM knows, since the revision that it has caught up with
// was given out again. They are dropped, and the next read is a full listing.
func (f *Follower) readChanges(ctx context.Context, wait time.Duration) error {
	changes, err := f.watch(ctx, wait)
	if err != nil {
		return err
	}
	f.compactions = 0
	if err := f.checkEra(&changes); err != nil {
		return err
	}
	if changes.Era > f.position.Era {
		f.position = unit.Position{Era: changes.Era}
		return nil
	}
	if err := f.post(ctx, Changed{Position: changes.Position, Prefix: f.Prefix, Items: changes.Items}); err != nil {
		return err
	}
	f.position.Revision = max(f.position.Revision, changes.Revision)
	if len(changes.Items) > 0 {
		kernel.Wait(ctx, f.BatchDelay)
	}
	return nil
}

// checkEra returns an error if a response of the registry is from before a restore that this VM knows of.
func (f *Follower) checkEra(l *Listing) error {
	if l.EraMissing && f.position.Era > 0 {
		return f.assumeEra(l)
	}
	f.eraMissingSince = time.Time{}
	if l.Era < f.position.Era {
		return errors.Newf("the response is from era %d of the registry, before era %d", l.Era, f.position.Era)
	}
	return nil
}

// assumeEra gives a response without an era the known one. It returns an error while the registry may only be behind, for
// eraMissingTime, and if the revision shows that the response does not follow on what this VM knows.
func (f *Follower) assumeEra(l *Listing) error {
	now := f.Now()
	if f.eraMissingSince.IsZero() {
		f.eraMissingSince = now
		f.Log.Warn("registry sends no era", "prefix", f.Prefix, "era", f.position.Era, "at", f.position.Revision)
	}
	if now.Before(f.eraMissingSince.Add(eraMissingTime)) {
		return errors.Wrapf(ErrEraMissing, "era %d is known", f.position.Era)
	}
	assumed := unit.Position{Era: f.position.Era, Revision: l.Revision}
	if latest := f.latest(); latest.After(assumed) {
		return errors.Wrapf(ErrEraMissing, "revision %d is before %d of era %d", l.Revision, latest.Revision, latest.Era)
	}
	l.Position = assumed
	for i := range l.Items {
		l.Items[i].Era = assumed.Era
	}
	return nil
}

// watch calls Watch for changes after the revision of the last read, with a timeout a little over its wait.
func (f *Follower) watch(ctx context.Context, wait time.Duration) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchResponseMargin)
	defer cancel()
	return f.Watch(ctx, f.Prefix, f.position.Revision, wait)
}

// watchWait returns how long one watch waits for a change. A silent connection is noticed only when the watch times
// out, so the wait has to leave time for the next read within DetectionTime.
func (f *Follower) watchWait() time.Duration {
	if f.Role() == RoleRelaying {
		return relayingWatchWait
	}
	return min(maxWatchWait, max(relayingWatchWait, f.DetectionTime-watchResponseMargin-catchUpTime))
}

// followPeers follows a peer until it fails or its values are too old. It then catches up with the registry, for what
// that peer may have missed, and follows the next peer. After maxPeerFailures in a row, or after one while the registry
// can't be read, it returns so that this VM reads the registry itself. err is the failure of a catch-up read that began
// at began.
func (f *Follower) followPeers(ctx context.Context) (began time.Time, err error) {
	failed := 0
	for ctx.Err() == nil {
		peerErr := f.takeUpdate(ctx)
		if peerErr == nil {
			failed, f.failures, f.compactions = 0, 0, 0
			f.eraMissingSince = time.Time{}
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if failed++; failed == maxPeerFailures || f.failures > 0 {
			f.directUntil = f.Now().Add(directReadPeriod)
			f.logPeerFailure("reading the registry instead of a peer", peerErr)
			break
		}
		f.logPeerFailure("switching to another peer", peerErr)
		began = f.Now()
		if err := f.catchUp(ctx); err != nil {
			return began, err
		}
	}
	return began, nil
}

// logPeerFailure logs what follows the failure of a peer, and the position that this VM has reached.
func (f *Follower) logPeerFailure(message string, err error) {
	f.Log.Info(message, "prefix", f.Prefix, "era", f.position.Era, "at", f.position.Revision, "error", err)
}

// catchUp reads what the registry holds now: everything if this VM has no values yet, or the changes since the last
// read, with a wait of at most catchUpWait.
func (f *Follower) catchUp(ctx context.Context) error {
	if f.position.Revision == 0 {
		return f.readAll(ctx)
	}
	return f.readChanges(ctx, catchUpWait)
}

// takeUpdate waits for one update from a peer and posts it. It returns an error if the peer fails or its update does not
// follow on what this VM knows.
func (f *Follower) takeUpdate(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, relayWait+relayResponseMargin)
	defer cancel()
	update, err := f.Relay(ctx, f.Prefix, Cursor{Position: f.position, Edition: f.edition}, relayWait)
	if err != nil {
		return err
	}
	now := f.Now()
	if err := update.CheckFollows(now, f.position); err != nil {
		return err
	}
	var event any = Changed{
		Position: update.Position, Prefix: f.Prefix, Items: update.Items, Age: now.Sub(update.ConfirmedAt),
	}
	if update.Full {
		event = Listed{Position: update.Position, Prefix: f.Prefix, Items: update.Items}
	}
	if err := f.post(ctx, event); err != nil {
		return err
	}
	f.position, f.edition = update.Position, update.Edition
	return nil
}

// backOff waits before the next read with exponential backoff and jitter. A VM that follows peers polls them meanwhile.
func (f *Follower) backOff(ctx context.Context) {
	following := f.Role() == RoleFollowing
	maxDelay := maxRetryDelay
	if following {
		maxDelay = maxFollowingRetryDelay
	}
	delay := minRetryDelay
	for range f.failures {
		delay = min(2*delay, maxDelay)
	}
	delay = time.Duration(float64(delay) * (0.75 + 0.5*f.Rand()))
	if !following {
		kernel.Wait(ctx, delay)
		return
	}
	f.directUntil = time.Time{}
	f.pollPeers(ctx, delay)
}

// pollPeers polls the peers until one returns an update or the time is over, since a peer may notice first that the
// registry has recovered.
func (f *Follower) pollPeers(ctx context.Context, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for ctx.Err() == nil {
		kernel.Wait(ctx, peerPollPeriod)
		if ctx.Err() == nil && f.takeUpdate(ctx) == nil {
			return
		}
	}
}

// post sends an event to the control goroutine. An event that was not delivered, for example because the time for the
// read ended meanwhile, must not count as read: its values would be missing until they change again. A failure is not
// logged once ctx has ended.
func (f *Follower) post(ctx context.Context, event any) error {
	err := f.Post(ctx, event)
	if err != nil && ctx.Err() == nil {
		f.Log.Warn("registry event not delivered", "prefix", f.Prefix, "error", err)
	}
	return errors.Wrap(err, "deliver what was read")
}
