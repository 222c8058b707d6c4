package replica

import "basilspan/internal/policy/directory"

// IsBusy reports whether this VM has as many requests open at the endpoint as it runs at a time.
func (t *Tracker) IsBusy(e directory.Endpoint) bool {
	s := t.states[e.ID]
	return s != nil && len(s.open) >= int(max(e.Slots, 1))
}
