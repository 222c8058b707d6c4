// Package admit decides which whole queries may run at the same time: the most urgent first, with a floor for every
// other rank, and a refusal for those that would end after their deadline.
package admit

import (
	"time"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/catalog"
	"basilspan/internal/policy/rank"
)

const (
	// queriesPerSlot is how many queries may run for each slot of the search's smallest shard. A query holds its
	// slots for a part of its time only, since its slowest shard decides when it ends.
	queriesPerSlot = 4
	// minRunning is how many queries an entry VM may always run.
	minRunning = 2
	// runTimeWeight is the weight of a sample in a rank's average running time.
	runTimeWeight = 1.0 / 16
	// censoredFactor stretches the running time of a query that its deadline ended, since it would have taken longer.
	censoredFactor = 1.5
)

// Settings bound one gate.
type Settings struct {
	// MaxRunning is how many queries may run at once, counting those of a rank and of the more urgent ones.
	MaxRunning int
	// MaxWaiting is how many queries of one rank may wait.
	MaxWaiting int
	// Ranks are the configured ranks.
	Ranks map[unit.RankName]rank.Rank
}

// MaxRunning gives an entry VM's share of the queries that a search can run: its smallest shard's slots decide, and the
// live entry VMs share them.
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

// rankState is what a gate knows of one rank.
type rankState struct {
	running int
	runTime rank.Average
	// lastEnded is when a query of the rank last ended.
	lastEnded time.Time
	// trial says that the query under way runs against the estimate, to find out whether it still holds.
	trial bool
}

// Gate admits the queries of one search. It is not safe for use by several goroutines.
type Gate struct {
	settings Settings
	waiting  *rank.Queue
	states   map[unit.RankName]*rankState
}

// New makes a gate.
func New(settings Settings) *Gate {
	return &Gate{
		settings: settings,
		waiting:  rank.New(settings.MaxWaiting, settings.Ranks),
		states:   make(map[unit.RankName]*rankState),
	}
}

// Change takes new settings after a change of the configuration or of the entry VMs, and gives the verdicts that
// follow.
func (g *Gate) Change(now time.Time, settings Settings) []rank.Verdict {
	g.settings = settings
	g.waiting.Change(settings.MaxWaiting, settings.Ranks)
	return g.grant(now)
}

// Offer takes a new ticket and gives the verdicts that follow; a ticket without a verdict waits.
func (g *Gate) Offer(now time.Time, t rank.Ticket) []rank.Verdict {
	if !now.Before(t.Deadline) || g.wouldMissDeadline(now, t, g.waiting.EstimatedWait(now, t.Rank)) {
		return []rank.Verdict{{Ticket: t, Code: unit.CodeTooLate}}
	}
	if !g.waiting.Push(now, t) {
		return []rank.Verdict{{Ticket: t, Code: unit.CodeOverloaded}}
	}
	return g.grant(now)
}

// Done takes the end of a running query of that rank and its charged running time, and gives the verdicts that follow.
func (g *Gate) Done(now time.Time, name unit.RankName, took time.Duration) []rank.Verdict {
	s := g.state(name)
	s.running--
	s.lastEnded = now
	if s.trial {
		s.trial = false
		s.runTime = rank.Average{Weight: runTimeWeight}
	}
	s.runTime.Add(took)
	return g.grant(now)
}

// ChargedRunTime gives the running time that a query counts for: one that its deadline ended would have taken longer.
func ChargedRunTime(now, deadline time.Time, took time.Duration) time.Duration {
	if now.Before(deadline) {
		return took
	}
	return time.Duration(float64(took) * censoredFactor)
}

// Withdraw takes back a waiting ticket; it says false when the ticket does not wait.
func (g *Gate) Withdraw(id uint64) bool {
	return g.waiting.Remove(id)
}

// Waiting gives how many queries of a rank wait.
func (g *Gate) Waiting(name unit.RankName) int {
	return g.waiting.Waiting(name)
}

// Running gives how many queries of a rank run.
func (g *Gate) Running(name unit.RankName) int {
	return g.state(name).running
}

// grant admits waiting tickets while there is room.
func (g *Gate) grant(now time.Time) []rank.Verdict {
	var verdicts []rank.Verdict
	for {
		t, ok := g.waiting.Pop(now, g.hasRoom)
		if !ok {
			return verdicts
		}
		if !now.Before(t.Deadline) || g.wouldMissDeadline(now, t, 0) {
			verdicts = append(verdicts, rank.Verdict{Ticket: t, Code: unit.CodeTooLate})
			continue
		}
		g.recordStart(now, t)
		verdicts = append(verdicts, rank.Verdict{Ticket: t, Code: unit.CodeWhole})
	}
}

// hasRoom says whether one more query of that rank may run: while fewer than its floor's share of its own rank run, and
// while there is room beside its own rank and the more urgent ones. Less urgent work never keeps it out.
func (g *Gate) hasRoom(name unit.RankName) bool {
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

// recordStart counts a query that runs from now on.
func (g *Gate) recordStart(now time.Time, t rank.Ticket) {
	s := g.state(t.Rank)
	s.trial = s.running == 0 && now.Add(s.runTime.UpperEstimate()).After(t.Deadline)
	s.running++
}

// wouldMissDeadline says whether a query is expected to end after its deadline when it first waits that long. Once none of its rank
// has run for half as long as one is expected to take, it says no, so that a running time of long ago can't keep every
// query away; the running time of the query that follows replaces the estimate.
func (g *Gate) wouldMissDeadline(now time.Time, t rank.Ticket, wait time.Duration) bool {
	s := g.state(t.Rank)
	estimate := s.runTime.UpperEstimate()
	if s.running == 0 && now.Sub(s.lastEnded) >= estimate/2 {
		return false
	}
	return now.Add(wait + estimate).After(t.Deadline)
}

func (g *Gate) state(name unit.RankName) *rankState {
	s := g.states[name]
	if s == nil {
		s = &rankState{runTime: rank.Average{Weight: runTimeWeight}}
		g.states[name] = s
	}
	return s
}
