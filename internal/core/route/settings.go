package route

import (
	"strconv"

	"github.com/cockroachdb/errors"
)

// Mode says which entry VMs call an endpoint.
type Mode string

// The modes.
const (
	// ModeOwner has one entry VM, its owner, make all calls of an endpoint.
	ModeOwner Mode = "owner"
	// ModeShared has every entry VM call every endpoint, each within its share.
	ModeShared Mode = "shared"
)

// The environment variables of the settings.
const (
	envMode  = "BASILSPAN_ROUTE"
	envExtra = "BASILSPAN_EXTRA"
)

const (
	// defaultExtra is how many calls wait at an endpoint beside those in its slots. One or more fill a slot that comes
	// free at once, and an urgent call then waits for them.
	defaultExtra = 0
	// maxExtra bounds the calls that wait at an endpoint, where nobody sorts them by rank.
	maxExtra = 8
)

// Settings are the router's own settings.
type Settings struct {
	Mode Mode
	// Extra is how many calls may wait at an endpoint beside those in its slots.
	Extra int
}

// ReadSettings reads the settings from environment variables; what is not set takes its default.
func ReadSettings(getenv func(name string) string) (Settings, error) {
	s := Settings{Mode: ModeOwner, Extra: defaultExtra}
	switch mode := Mode(getenv(envMode)); mode {
	case "":
	case ModeOwner, ModeShared:
		s.Mode = mode
	default:
		return s, errors.Newf("%s: %q must be %q or %q", envMode, mode, ModeOwner, ModeShared)
	}
	text := getenv(envExtra)
	if text == "" {
		return s, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > maxExtra {
		return s, errors.Newf("%s: %q must be a whole number from 0 to %d", envExtra, text, maxExtra)
	}
	s.Extra = n
	return s, nil
}
