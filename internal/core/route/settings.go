package route

import "basilspan/internal/policy/ownership"

// Settings are the router's own settings. docs/design/limits.md describes their effects.
type Settings struct {
	Mode ownership.Mode
	// Extra is how many calls may wait at an endpoint in addition to those in its slots, from 0 to ownership.MaxExtra.
	// With one or more, a free slot is filled at once, but an urgent call has to wait for them.
	Extra int
}
