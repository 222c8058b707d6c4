// Package gateway holds the settings of an entry VM that serves routes and endpoints from a registry. They come from
// one JSON file, which the platform renders from deploy/gateway.json.tmpl at each start and change.
package gateway

import (
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/config/strict"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/allowance"
	"basilspan/internal/policy/warming"
)

// Settings are the settings of an entry VM.
type Settings struct {
	Node   unit.NodeID
	Centre unit.CentreName
	// Callers, Ready, Peers and Metrics are listen addresses. Peers and Metrics may be empty.
	Callers unit.Address
	Ready   unit.Address
	Peers   unit.Address
	Metrics unit.Address
	// Seeds are the peer addresses of some entry VMs, through which the others are found.
	Seeds []unit.Address
	// Registry is the address of the store in which routes and endpoints are published.
	Registry unit.Address
	// Power is the share of a CPU core that the VM has.
	Power unit.Cores
	// Grace is how long a shutdown may take before the platform kills the process.
	Grace time.Duration
	// Extra limits the hedges and retries of all entry VMs together.
	Extra allowance.Limits
	// Calm is the time within which the VM must be up to date with the registry again after a disturbance.
	Calm time.Duration
	// Drain is how long endpoints serve at least after they have said that they are leaving; 0 if it is not set.
	Drain time.Duration
	// Cold bounds the requests of all entry VMs together to an endpoint that is cold.
	Cold warming.Limits
	// Level is the minimum level of log lines.
	Level string
	// Intake bounds what callers send.
	Intake Intake
}

// Intake bounds the requests of callers before they are served. Zero means the default of each.
type Intake struct {
	// Head and Body bound the sizes of a request's header, or trailer, and of its body.
	Head unit.Bytes
	Body unit.Bytes
	// Lines bounds the lines of a header or trailer.
	Lines int
	// Connections bounds the number of open connections.
	Connections int
	// Whole bounds the time from the first to the last byte of a request.
	Whole time.Duration
}

// wireSettings is the settings file.
type wireSettings struct {
	Node     string     `json:"node"`
	Centre   string     `json:"centre"`
	Listen   wireListen `json:"listen"`
	Seeds    string     `json:"seeds"`
	Registry string     `json:"registry"`
	Power    float64    `json:"power"`
	// Grace is in seconds.
	Grace float64   `json:"grace"`
	Extra wireExtra `json:"extra"`
	// Calm is in milliseconds.
	Calm float64 `json:"calm"`
	// Drain is in milliseconds.
	Drain float64  `json:"drain"`
	Cold  wireCold `json:"cold"`
	// Fresh is set if the whole system starts for the first time.
	Fresh bool   `json:"fresh"`
	Level string `json:"level"`

	Intake wireIntake `json:"intake"`
}

type wireIntake struct {
	// Head and Body are in bytes.
	Head  int64 `json:"head"`
	Body  int64 `json:"body"`
	Lines int   `json:"lines"`
	Conns int   `json:"conns"`
	// Time is in seconds.
	Time float64 `json:"time"`
}

type wireListen struct {
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	Peers   string `json:"peers"`
	Metrics string `json:"metrics"`
}

type wireExtra struct {
	Ratio float64 `json:"ratio"`
	Slack float64 `json:"slack"`
	// Window is in seconds.
	Window float64 `json:"window"`
}

// wireCold has no limit beyond the published rates where it is missing.
type wireCold struct {
	Overshoot *float64 `json:"overshoot"`
	Slack     float64  `json:"slack"`
}

// Parse decodes and checks a settings file. The error names every problem of the JSON by line, or else every missing or
// invalid setting. Unknown keys are no error; unknown has their paths.
func Parse(file string, content []byte) (s Settings, unknown []string, err error) {
	var w wireSettings
	result := strict.Decode(content, &w, strict.Options{AllowUnknownKeys: true})
	for _, p := range result.Problems {
		err = errors.Join(err, errors.Newf("%s:%d: %s: %s", file, p.Line, p.Field, p.Text))
	}
	if err != nil {
		return Settings{}, result.UnknownKeys, err
	}
	s = w.settings()
	return s, result.UnknownKeys, errors.Wrap(s.check(), file)
}

// settings converts the decoded file. It does not check the values.
func (w wireSettings) settings() Settings {
	s := Settings{
		Node:     unit.NodeID(w.Node),
		Centre:   unit.CentreName(w.Centre),
		Callers:  unit.Address(w.Listen.Callers),
		Ready:    unit.Address(w.Listen.Ready),
		Peers:    unit.Address(w.Listen.Peers),
		Metrics:  unit.Address(w.Listen.Metrics),
		Registry: unit.Address(w.Registry),
		Power:    unit.Cores(w.Power),
		Grace:    seconds(w.Grace),
		Extra: allowance.Limits{
			Ratio: w.Extra.Ratio, Slack: w.Extra.Slack, Window: seconds(w.Extra.Window), Fresh: w.Fresh,
		},
		Calm:  time.Duration(w.Calm * float64(time.Millisecond)),
		Drain: time.Duration(w.Drain * float64(time.Millisecond)),
		Cold:  w.Cold.limits(),
		Level: w.Level,
		Intake: Intake{
			Head: unit.Bytes(w.Intake.Head), Body: unit.Bytes(w.Intake.Body), Lines: w.Intake.Lines,
			Connections: w.Intake.Conns, Whole: seconds(w.Intake.Time),
		},
	}
	for _, seed := range strings.Split(w.Seeds, ",") {
		if seed != "" {
			s.Seeds = append(s.Seeds, unit.Address(seed))
		}
	}
	return s
}

// limits returns the bound for cold endpoints.
func (w wireCold) limits() warming.Limits {
	overshoot := 1.0
	if w.Overshoot != nil {
		overshoot = *w.Overshoot
	}
	return warming.Limits{Overshoot: overshoot, Slack: w.Slack}
}

// RestartRequired returns the names of the settings that differ in other and take effect only after a restart.
func (s Settings) RestartRequired(other Settings) []string {
	var names []string
	add := func(differs bool, name string) {
		if differs {
			names = append(names, name)
		}
	}
	add(s.Node != other.Node, "node")
	add(s.Centre != other.Centre, "centre")
	add(s.Callers != other.Callers, "listen.callers")
	add(s.Ready != other.Ready, "listen.ready")
	add(s.Peers != other.Peers, "listen.peers")
	add(s.Metrics != other.Metrics, "listen.metrics")
	add(s.Registry != other.Registry, "registry")
	add(s.Power != other.Power, "power")
	add(s.Calm != other.Calm, "calm")
	add(s.Level != other.Level, "level")
	add(s.Intake != other.Intake, "intake")
	return names
}

// seconds converts a number of seconds, which may have a fraction.
func seconds(n float64) time.Duration {
	return time.Duration(n * float64(time.Second))
}

// check returns an error that names every missing or invalid setting.
func (s Settings) check() error {
	var errs error
	addIf := func(bad bool, field, text string) {
		if bad {
			errs = errors.Join(errs, errors.Newf("%s: %s", field, text))
		}
	}
	addIf(s.Node == "", "node", "is missing")
	addIf(s.Centre == "", "centre", "is missing")
	addIf(!isAddress(s.Callers), "listen.callers", addressRule)
	addIf(!isAddress(s.Ready), "listen.ready", addressRule)
	addIf(s.Peers != "" && !isAddress(s.Peers), "listen.peers", addressRule)
	addIf(s.Metrics != "" && !isAddress(s.Metrics), "listen.metrics", addressRule)
	addIf(!isAddress(s.Registry), "registry", addressRule)
	for _, seed := range s.Seeds {
		addIf(!isAddress(seed), "seeds", addressRule)
	}
	addIf(s.Power <= 0, "power", "must be a share of a processor core above 0")
	addIf(s.Grace <= 0, "grace", "must be a number of seconds above 0")
	addIf(s.Extra.Ratio < 0, "extra.ratio", "must not be below 0")
	addIf(s.Extra.Slack < 0, "extra.slack", "must not be below 0")
	addIf(s.Extra.Window <= 0, "extra.window", "must be a number of seconds above 0")
	addIf(s.Calm <= 0, "calm", "must be a number of milliseconds above 0")
	addIf(s.Drain < 0, "drain", "must not be below 0")
	addIf(s.Cold.Overshoot < 0, "cold.overshoot", "must not be below 0")
	addIf(s.Cold.Slack < 0, "cold.slack", "must not be below 0")
	addIf(s.Intake.Head < 0 || s.Intake.Head > maxIntake, "intake.head", intakeRule)
	addIf(s.Intake.Body < 0 || s.Intake.Body > maxIntake, "intake.body", intakeRule)
	addIf(s.Intake.Lines < 0, "intake.lines", "must not be below 0")
	addIf(s.Intake.Connections < 0, "intake.conns", "must not be below 0")
	addIf(s.Intake.Whole < 0, "intake.time", "must not be below 0")
	addIf(!isLevel(s.Level), "level", `must be "debug", "info", "warn" or "error"`)
	return errs
}

// maxIntake is the largest bound on a header or body.
const maxIntake unit.Bytes = 1 << 30

// intakeRule is the error text for a bound on a header or body that is out of range.
const intakeRule = "must be a number of bytes from 0 to 1073741824"

// addressRule is the error text for an invalid address.
const addressRule = `must be an IP number and port, such as "10.0.0.1:8080"`

func isAddress(a unit.Address) bool {
	_, err := netip.ParseAddrPort(string(a))
	return err == nil
}

// isLevel reports whether level is a known log level or empty, which means info.
func isLevel(level string) bool {
	switch level {
	case "", "debug", "info", "warn", "error":
		return true
	default:
		return false
	}
}
