// Package admit decides which queries run when not all of them can. It admits the most urgent rank first, guarantees every
// other rank a minimum share (its floor), and rejects queries that are expected to end after their deadline.
//
// Two limits say how many run. Settings.MaxRunning is a number for one entry VM, computed from the slots of the endpoints.
// Gate.Wait is how long the endpoints make a query wait, as all VMs see it: where many VMs run a query or two each, only
// that tells them that there is too little room. A gate may have either or both.
package admit

import (
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
	"basilspan/internal/policy/rank"
)

const (
	// queriesPerSlot is how many queries may run for each slot of the search's smallest shard. It is above 1 because a
	// query occupies its slots for only part of its run time: its slowest shard decides when it ends.
	queriesPerSlot = 4
	// minRunning is how many queries an entry VM may run at least.
	minRunning = 2
	// runTimeWeight is the weight of a new sample in a rank's average run time.
	runTimeWeight = 1.0 / 16
	// censoredFactor extends the measured run time of a query that was ended by its deadline, because it would have
	// run for longer.
	censoredFactor = 1.5
)

// Settings configures one gate.
type Settings struct {
	// MaxRunning is how many queries of a rank and of the more urgent ranks together may run at once. A rank's floor,
	// which is a share of it, admits queries of the rank even beyond that. 0 means that the number is not limited.
	MaxRunning int
	// MaxWaiting is how many queries of one rank may wait.
	MaxWaiting int
	// Ranks holds the configured ranks.
	Ranks map[unit.RankName]rank.Rank
}

// MaxRunning returns how many queries of a search this entry VM may run at once. The slots of the search's smallest
// shard set the total, which the live entry VMs share.
func MaxRunning(search *catalog.Search, live int) int {
	snapshot, ok := search.NewestSnapshot()
	if !ok {
		return minRunning
	}
	slots := make(map[unit.ShardID]int, len(snapshot.Shards))
	for _, e := range search.Endpoints {
		if !e.Leaving {
			slots[e.Shard] += int(e.Slots)
		}
	}
	smallest := 0
	for _, shard := range snapshot.Shards {
		if n := slots[shard]; n > 0 && (smallest == 0 || n < smallest) {
			smallest = n
		}
	}
	live = max(live, 1)
	return max(minRunning, (smallest*queriesPerSlot+live-1)/live)
}

// rankState is a gate's state for one rank.
type rankState struct {
	running int
	runTime rank.Average
	// lastEnded is when a query of the rank last ended.
	lastEnded time.Time
	// trial is set if the running query was admitted although its estimated run time exceeds its deadline, to find out
	// whether the estimate still holds.
	trial bool
	// offered is the rank's share of the queries that have lately asked for admission.
	offered unit.Share
}

// Gate admits the queries of one search. It is not safe for concurrent use. The function fields are its seams and are set
// before the first query.
type Gate struct {
	// Wait returns how long a query of a rank is expected to wait at the endpoints; nil means that it is not known. Rand
	// returns a random number from 0 to 1; it is called only if the expected wait is above 0.
	Wait func(now time.Time, name unit.RankName) time.Duration
	Rand func() float64
	// Since is when this VM first got queries, of any search. It tells whether the VM knows what was before; the zero time
	// means that it does not.
	Since time.Time

	settings Settings
	waiting  *rank.Queue
	states   map[unit.RankName]*rankState
	pressure pressure
	// waits holds the results of Wait while release runs, and is nil otherwise.
	waits map[waitKey]time.Duration
}

// New returns a gate with no running or waiting queries.
func New(settings Settings) *Gate {
	g := &Gate{
		settings: settings,
		waiting:  rank.New(settings.MaxWaiting, settings.Ranks),
		states:   make(map[unit.RankName]*rankState),
	}
	g.waiting.Pick = g.pickWaiting
	return g
}

// Change applies new settings after the configuration or the number of entry VMs has changed, and returns the
// resulting decisions.
func (g *Gate) Change(now time.Time, settings Settings) []rank.Decision {
	g.settings = settings
	g.waiting.Change(settings.MaxWaiting, settings.Ranks)
	if g.Wait != nil {
		return g.release(now)
	}
	return g.grant(now)
}

// Offer submits a new ticket and returns the resulting decisions, on this ticket or others. A ticket without a decision
// waits.
func (g *Gate) Offer(now time.Time, t rank.Ticket) []rank.Decision {
	g.recordOffer(t.Rank)
	if !now.Before(t.Deadline) || g.wouldMissDeadline(now, t, g.waiting.EstimatedWait(now, t.Rank)) {
		return []rank.Decision{{Ticket: t, Code: unit.CodeTooLate}}
	}
	if g.Wait != nil {
		return g.offerUnderPressure(now, t)
	}
	if !g.waiting.Push(now, t) {
		return []rank.Decision{{Ticket: t, Code: unit.CodeOverloaded}}
	}
	return g.grant(now)
}

// Done records the end of a running query of a rank with its run time, as returned by ChargedRunTime, and returns the
// resulting decisions.
func (g *Gate) Done(now time.Time, name unit.RankName, runTime time.Duration) []rank.Decision {
	s := g.state(name)
	s.running--
	s.lastEnded = now
	if g.Wait != nil {
		g.recordRunTime(now, name, runTime)
		return g.release(now)
	}
	if s.trial {
		s.trial = false
		s.runTime = rank.Average{Weight: runTimeWeight}
	}
	s.runTime.Add(runTime)
	return g.grant(now)
}

// ChargedRunTime returns the run time that a query counts for. It is longer than the measured time if the deadline
// ended the query, which would have run for longer.
func ChargedRunTime(now, deadline time.Time, took time.Duration) time.Duration {
	if now.Before(deadline) {
		return took
	}
	return time.Duration(float64(took) * censoredFactor)
}

// Withdraw removes a waiting ticket whose caller has given up. It reports false if the ticket is not waiting, because
// it has received its decision.
func (g *Gate) Withdraw(id uint64) bool {
	return g.waiting.Remove(id)
}

// Waiting returns how many queries of a rank are waiting. Only tests call it.
func (g *Gate) Waiting(name unit.RankName) int {
	return g.waiting.Waiting(name)
}

// Running returns how many queries of a rank are running. Only tests call it.
func (g *Gate) Running(name unit.RankName) int {
	return g.state(name).running
}

// grant admits waiting tickets while hasRoom allows, and rejects those that would miss their deadline. It returns the
// decisions on both, nil if there are none.
func (g *Gate) grant(now time.Time) []rank.Decision {
	var decisions []rank.Decision
	for {
		t, ok := g.waiting.Pop(now, g.hasRoom)
		if !ok {
			return decisions
		}
		if !now.Before(t.Deadline) || g.wouldMissDeadline(now, t, 0) {
			decisions = append(decisions, rank.Decision{Ticket: t, Code: unit.CodeTooLate})
			continue
		}
		g.recordStart(now, t)
		decisions = append(decisions, rank.Decision{Ticket: t, Code: unit.CodeWhole})
	}
}

// hasRoom reports whether another query of a rank may run; grant passes it to Pop. A query may run if one of two
// conditions holds:
//
//   - The rank runs fewer queries than its floor, as a share of MaxRunning, allows. This counts as at least one, so
//     every rank may run one query at any time, also with floor 0 and beyond MaxRunning.
//   - The running queries of the rank and of the more urgent ranks are together fewer than MaxRunning. Less urgent
//     queries never block it.
//
// A gate that knows the wait at the endpoints may have no MaxRunning; there is room then.
func (g *Gate) hasRoom(name unit.RankName) bool {
	if g.settings.MaxRunning == 0 && g.Wait != nil {
		return true
	}
	r := g.settings.Ranks[name]
	own := g.state(name).running
	if float64(own) < max(1, float64(r.Floor)*float64(g.settings.MaxRunning)) {
		return true
	}
	ahead := 0
	for other, s := range g.states {
		if other == name || g.settings.Ranks[other].Urgency < r.Urgency {
			ahead += s.running
		}
	}
	return ahead < g.settings.MaxRunning
}

// recordStart counts a query that starts to run at now, and notes whether it is a trial.
func (g *Gate) recordStart(now time.Time, t rank.Ticket) {
	s := g.state(t.Rank)
	s.trial = s.running == 0 && now.Add(s.runTime.UpperEstimate()).After(t.Deadline)
	s.running++
}

// wouldMissDeadline reports whether a query is expected to end after its deadline if it first waits for the given
// time. It reports false if the rank has been idle for at least half of the estimated run time, so that an outdated
// estimate cannot block every query. The run time of a query admitted in this way replaces the estimate.
func (g *Gate) wouldMissDeadline(now time.Time, t rank.Ticket, wait time.Duration) bool {
	if g.Wait != nil {
		return g.isHopeless(now, t)
	}
	s := g.state(t.Rank)
	estimate := s.runTime.UpperEstimate()
	if s.running == 0 && now.Sub(s.lastEnded) >= estimate/2 {
		return false
	}
	return now.Add(wait + estimate).After(t.Deadline)
}

// state returns the state of a rank and creates it if needed.
func (g *Gate) state(name unit.RankName) *rankState {
	s := g.states[name]
	if s == nil {
		s = &rankState{runTime: rank.Average{Weight: runTimeWeight}}
		g.states[name] = s
	}
	return s
}
