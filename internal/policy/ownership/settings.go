package ownership

// Mode selects which entry VMs call an endpoint.
type Mode string

// Modes.
const (
	// ModeOwner sends all calls of an endpoint through one entry VM, its owner.
	ModeOwner Mode = "owner"
	// ModeShared lets every entry VM call every endpoint, each up to its share of the calls in flight there.
	ModeShared Mode = "shared"
)

// MaxExtra is the maximum number of calls that may wait at an endpoint in addition to those in its slots. Calls that
// wait there are not ordered by rank.
const MaxExtra = 8
