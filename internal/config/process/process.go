// Package process holds the settings of one process, such as its name, data centre and addresses. They come from flags,
// environment variables and a settings file, not from the operators' configuration folder. docs/CONFIG.md lists them.
package process

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/config/strict"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/ownership"
)

// MaxLag is the maximum of Settings.Lag, the time in which a load balancer notices that an entry VM is not ready.
const MaxLag = 5 * time.Minute

// minMemory is the least limit on the memory of the process, in MB.
const minMemory = 64

// EnvPrefix is the prefix of the environment variables of all settings.
const EnvPrefix = "BASILSPAN_"

// Settings are the settings of an entry VM.
type Settings struct {
	Node   unit.NodeID
	Centre unit.CentreName
	// Caller, Operator and Peer are the listen addresses for callers, operators and other entry VMs.
	Caller   unit.Address
	Operator unit.Address
	Peer     unit.Address
	// Platform is the address of the platform's service.
	Platform unit.Address
	// Advertise is the peer address under which other entry VMs reach this one. If empty, it is Peer.
	Advertise unit.Address
	// Peers are the peer addresses of entry VMs to query if the platform's list cannot be read. It may be empty.
	Peers []unit.Address
	// Lag is how long the load balancer may still send callers after this entry VM reports that it is not ready.
	Lag time.Duration
	// Route decides which entry VMs call an endpoint: its owner or all of them.
	Route ownership.Mode
	// Extra is how many calls may queue at an endpoint beyond those in its slots.
	Extra int
	// Memory is the limit on the memory of the process in MB, of which callers' requests and the messages of other entry
	// VMs may take a part; 0 means no bound.
	Memory int
	// Pprof serves profiles on the operators' port.
	Pprof bool
	// Trace writes the records of decisions, for replay, to the standard output.
	Trace bool
	// LogJSON writes log lines as JSON.
	LogJSON bool
}

// wireSettings is the settings file. A nil field is not set.
type wireSettings struct {
	Node      *string  `json:"node"`
	Centre    *string  `json:"centre"`
	Caller    *string  `json:"caller"`
	Operator  *string  `json:"operator"`
	Peer      *string  `json:"peer"`
	Platform  *string  `json:"platform"`
	Advertise *string  `json:"advertise"`
	Peers     []string `json:"peers"`
	Lag       *string  `json:"lag"`
	Route     *string  `json:"route"`
	Extra     *int     `json:"extra"`
	Memory    *int     `json:"memory"`
	Pprof     *bool    `json:"pprof"`
	Trace     *bool    `json:"trace"`
	LogJSON   *bool    `json:"log-json"`
}

// Env returns the name of the environment variable for a flag.
func Env(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Merge overrides the settings by those of the settings file, except those that isSet reports as set by a flag or
// environment variable. The error names every problem of the file, by line.
func (s *Settings) Merge(file string, content []byte, isSet func(flag string) bool) error {
	var w wireSettings
	var errs error
	for _, p := range strict.Decode(content, &w, strict.Options{}).Problems {
		errs = errors.Join(errs, errors.Newf("%s:%d: %s: %s", file, p.Line, p.Field, p.Text))
	}
	if errs != nil {
		return errs
	}
	mergeText(&s.Node, w.Node, isSet("node"))
	mergeText(&s.Centre, w.Centre, isSet("centre"))
	mergeText(&s.Caller, w.Caller, isSet("caller"))
	mergeText(&s.Operator, w.Operator, isSet("operator"))
	mergeText(&s.Peer, w.Peer, isSet("peer"))
	mergeText(&s.Platform, w.Platform, isSet("platform"))
	mergeText(&s.Advertise, w.Advertise, isSet("advertise"))
	mergeText(&s.Route, w.Route, isSet("route"))
	mergeValue(&s.Extra, w.Extra, isSet("extra"))
	mergeValue(&s.Memory, w.Memory, isSet("memory"))
	mergeValue(&s.Pprof, w.Pprof, isSet("pprof"))
	mergeValue(&s.Trace, w.Trace, isSet("trace"))
	mergeValue(&s.LogJSON, w.LogJSON, isSet("log-json"))
	if w.Peers != nil && !isSet("peers") {
		s.Peers = Addresses(w.Peers)
	}
	return s.mergeLag(file, w.Lag, isSet("lag"))
}

// mergeLag parses the lag of the file, if it has one, and sets it unless a flag or environment variable did.
func (s *Settings) mergeLag(file string, w *string, set bool) error {
	if w == nil || set {
		return nil
	}
	lag, err := time.ParseDuration(*w)
	if err != nil {
		return errors.Newf(`%s: lag: must be a time with its unit, such as "5s", not %q`, file, *w)
	}
	s.Lag = lag
	return nil
}

// mergeText sets a string to the value in the file, if there is one, unless a flag or environment variable set it
// already, which set reports.
func mergeText[T ~string](to *T, from *string, set bool) {
	if from != nil && !set {
		*to = T(*from)
	}
}

// mergeValue does for values of other types what mergeText does for strings.
func mergeValue[T any](to *T, from *T, set bool) {
	if from != nil && !set {
		*to = *from
	}
}

// Addresses converts texts to addresses without validation, which Check does.
func Addresses(texts []string) []unit.Address {
	all := make([]unit.Address, 0, len(texts))
	for _, text := range texts {
		all = append(all, unit.Address(text))
	}
	return all
}

// Check returns an error that names every missing or invalid setting.
func (s Settings) Check() error {
	c := &checker{}
	c.checkName("node", string(s.Node))
	c.checkName("centre", string(s.Centre))
	c.checkAddress("caller", s.Caller)
	c.checkAddress("operator", s.Operator)
	c.checkAddress("peer", s.Peer)
	c.checkAddress("platform", s.Platform)
	if s.Advertise != "" {
		c.checkAddress("advertise", s.Advertise)
	}
	for _, p := range s.Peers {
		c.checkAddress("peers", p)
	}
	c.checkDistinct("operator", s.Operator, "caller", s.Caller)
	c.checkDistinct("peer", s.Peer, "caller", s.Caller)
	c.checkDistinct("peer", s.Peer, "operator", s.Operator)
	if s.Lag < 0 || s.Lag > MaxLag {
		c.add("lag", "must be from 0s to "+MaxLag.String()+", not "+s.Lag.String())
	}
	if s.Route != ownership.ModeOwner && s.Route != ownership.ModeShared {
		c.add("route", `must be "owner" or "shared", not "`+string(s.Route)+`"`)
	}
	if s.Memory != 0 && s.Memory < minMemory {
		c.add("memory", "must be 0 or at least "+strconv.Itoa(minMemory)+" MB, not "+strconv.Itoa(s.Memory))
	}
	if s.Extra < 0 || s.Extra > ownership.MaxExtra {
		c.add("extra", "must be from 0 to "+strconv.Itoa(ownership.MaxExtra)+", not "+strconv.Itoa(s.Extra))
	}
	return c.err
}

// checker collects the problems that Check finds.
type checker struct {
	err error
}

// add records a problem of a setting, with the ways to set it: flag, environment variable and settings file.
func (c *checker) add(flag, text string) {
	c.err = errors.Join(c.err,
		errors.Newf(`%s: %s; set --%s, %s or "%s" in the settings file`, flag, text, flag, Env(flag), flag))
}

// checkName records a problem if a name is missing or not valid.
func (c *checker) checkName(flag, name string) {
	switch {
	case name == "":
		c.add(flag, "is missing")
	case strict.NameProblem(name) != "":
		c.add(flag, strict.NameRule)
	}
}

// checkAddress records a problem if an address is missing or not an IP address with a port.
func (c *checker) checkAddress(flag string, a unit.Address) {
	if a == "" {
		c.add(flag, "is missing")
		return
	}
	if _, err := netip.ParseAddrPort(string(a)); err != nil {
		c.add(flag, `must be an IP number and port, such as "10.0.0.1:8080", not "`+string(a)+`"`)
	}
}

// checkDistinct records a problem if two listen addresses are equal. Port 0 is exempt, as it stands for any free port.
func (c *checker) checkDistinct(flag string, a unit.Address, other string, b unit.Address) {
	parsed, err := netip.ParseAddrPort(string(a))
	if err == nil && a == b && parsed.Port() != 0 {
		c.add(flag, "is the same address as "+other)
	}
}
