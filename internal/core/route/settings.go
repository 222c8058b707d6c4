package route

import "basilspan/internal/policy/place"

// Settings are the router's own settings; docs/design/limits.md says what each is good for.
type Settings struct {
	Mode place.Mode
	// Extra is how many calls may wait at an endpoint beside those in its slots, from 0 to place.MaxExtra. One or more
	// fill a slot that comes free at once, and an urgent call then waits for them.
	Extra int
}
