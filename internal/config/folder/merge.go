package folder

import "basilspan/internal/config/strict"

// The wire types hold one file, or several merged ones. A nil field is not set. A null entry of a map removes the entry
// of an earlier file.
type (
	wireFile struct {
		Ranks    map[string]*wireRank   `json:"ranks,omitempty"`
		Searches map[string]*wireSearch `json:"searches,omitempty"`
	}

	wireRank struct {
		Urgency *int     `json:"urgency,omitempty"`
		Floor   *float64 `json:"floor,omitempty"`
	}

	wireSearch struct {
		Tenant    *string                  `json:"tenant,omitempty"`
		Aim       *string                  `json:"aim,omitempty"`
		Once      *bool                    `json:"once,omitempty"`
		Hedge     *bool                    `json:"hedge,omitempty"`
		Minimum   *float64                 `json:"minimum,omitempty"`
		Snapshots map[string]*wireSnapshot `json:"snapshots,omitempty"`
		Endpoints map[string]*wireEndpoint `json:"endpoints,omitempty"`
	}

	wireSnapshot struct {
		Shards []string `json:"shards,omitempty"`
	}

	wireEndpoint struct {
		Shard       *string `json:"shard,omitempty"`
		Address     *string `json:"address,omitempty"`
		Centre      *string `json:"centre,omitempty"`
		Slots       *int    `json:"slots,omitempty"`
		Connections *int    `json:"connections,omitempty"`
		Incarnation *int    `json:"incarnation,omitempty"`
		Leaving     *bool   `json:"leaving,omitempty"`
	}
)

// decoded is the content of one file, with the problems found in it. Invalid values are left unset or cut to range.
type decoded struct {
	strict.Result
	wire wireFile
}

// decode decodes one file; unknown or repeated keys and misplaced nulls are problems.
func decode(f File, skipLocations bool) decoded {
	var one decoded
	one.Result = strict.Decode(f.Content, &one.wire, strict.Options{
		File:          f.Name,
		SkipLocations: skipLocations,
		CheckName:     strict.NameProblem,
		NullHint:      "; null removes only a whole rank, search, snapshot or endpoint",
	})
	return one
}

// mergeFile merges the ranks and searches of from into to, entry by entry. Fields that are set in from override those
// of to, and an entry that is null in from is removed.
func mergeFile(to *wireFile, from wireFile) {
	to.Ranks = mergeMap(to.Ranks, from.Ranks, mergeRank)
	to.Searches = mergeMap(to.Searches, from.Searches, mergeSearch)
}

// mergeMap merges from into to with merge for each entry, and removes the entries that are nil in from.
func mergeMap[T any](to, from map[string]*T, merge func(to, from *T)) map[string]*T {
	if to == nil {
		to = make(map[string]*T, len(from))
	}
	for name, entry := range from {
		if entry == nil {
			delete(to, name)
			continue
		}
		if to[name] == nil {
			to[name] = new(T)
		}
		merge(to[name], entry)
	}
	return to
}

// mergeRank overrides the urgency and the floor of a rank, a priority class of queries.
func mergeRank(to, from *wireRank) {
	override(&to.Urgency, from.Urgency)
	override(&to.Floor, from.Floor)
}

// mergeSearch overrides the settings of a search and merges its snapshots and endpoints entry by entry.
func mergeSearch(to, from *wireSearch) {
	override(&to.Tenant, from.Tenant)
	override(&to.Aim, from.Aim)
	override(&to.Once, from.Once)
	override(&to.Hedge, from.Hedge)
	override(&to.Minimum, from.Minimum)
	to.Snapshots = mergeMap(to.Snapshots, from.Snapshots, mergeSnapshot)
	to.Endpoints = mergeMap(to.Endpoints, from.Endpoints, mergeEndpoint)
}

// mergeSnapshot replaces the list of shards as a whole, if from has one.
func mergeSnapshot(to, from *wireSnapshot) {
	if from.Shards != nil {
		to.Shards = from.Shards
	}
}

// mergeEndpoint overrides the settings of an endpoint.
func mergeEndpoint(to, from *wireEndpoint) {
	override(&to.Shard, from.Shard)
	override(&to.Address, from.Address)
	override(&to.Centre, from.Centre)
	override(&to.Slots, from.Slots)
	override(&to.Connections, from.Connections)
	override(&to.Incarnation, from.Incarnation)
	override(&to.Leaving, from.Leaving)
}

// override replaces a field if it is set in from.
func override[T any](to **T, from *T) {
	if from != nil {
		*to = from
	}
}
