package place

// Mode says which entry VMs call an endpoint.
type Mode string

// The modes.
const (
	// ModeOwner has one entry VM, its owner, make all calls of an endpoint.
	ModeOwner Mode = "owner"
	// ModeShared has every entry VM call every endpoint, each within its share.
	ModeShared Mode = "shared"
)

// MaxExtra bounds the calls that wait at an endpoint beside those in its slots, where nobody sorts them by rank.
const MaxExtra = 8
