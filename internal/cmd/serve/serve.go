// Package serve implements the command that runs an entry VM.
package serve

import (
	"context"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"basilspan/internal/cmd/rlimit"
	"basilspan/internal/cmd/stream"
	"basilspan/internal/config/process"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/ownership"
	"basilspan/internal/serve/entry"
)

// defaultLag is the default of --lag, a typical time for a load balancer to notice that an entry VM is not ready.
const defaultLag = 5 * time.Second

// Options are the arguments and dependencies of the command.
type Options struct {
	Streams  stream.Streams
	Settings process.Settings
	// File is the name of the settings file; it may be empty.
	File string
	// Now returns the current time.
	Now func() time.Time
	// ReadFile reads the settings file.
	ReadFile func(name string) ([]byte, error)
	// StopContext returns a context that is cancelled by a signal to stop.
	StopContext func(ctx context.Context) (context.Context, context.CancelFunc)
}

// New returns the command. Tests pass run in place of Run; nil means Run.
func New(streams stream.Streams, run func(ctx context.Context, opts *Options) error) *cli.Command {
	opts := &Options{Streams: streams, Now: time.Now, ReadFile: os.ReadFile, StopContext: stream.StopContext}
	if run == nil {
		run = Run
	}
	return &cli.Command{
		Name:  "serve",
		Usage: "run an entry VM",
		Description: "Each setting comes from its flag, or else from its environment variable, the settings file or its " +
			"default, in this order. SIGTERM, SIGINT and \"basilspan drain\" begin a planned stop.\n\n" +
			"Examples:\n" +
			"   basilspan serve --node e1 --centre amman --caller 10.0.0.1:8080 --peer 10.0.0.1:8082 --platform 10.0.9.9:80\n" +
			"   BASILSPAN_NODE=e1 basilspan serve --settings /etc/basilspan.json",
		Flags: flags(opts),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := completeSettings(opts, cmd.IsSet); err != nil {
				return stream.WithExitCode(err, stream.ExitUsage)
			}
			return run(ctx, opts)
		},
	}
}

// completeSettings merges the settings file into the settings from flags and environment, and checks the result.
func completeSettings(opts *Options, isSet func(flag string) bool) error {
	if opts.File != "" {
		content, err := opts.ReadFile(opts.File)
		if err != nil {
			return errors.Wrap(err, "settings")
		}
		if err := opts.Settings.Merge(opts.File, content, isSet); err != nil {
			return err
		}
	}
	return opts.Settings.Check()
}

// flags returns the flags of all settings, which write to opts.
func flags(opts *Options) []cli.Flag {
	s := &opts.Settings
	stringFlag := func(name, usage, fallback string, into *string) cli.Flag {
		env := cli.EnvVars(process.Env(name))
		return &cli.StringFlag{Name: name, Usage: usage, Value: fallback, Sources: env, Destination: into}
	}
	boolFlag := func(name, usage string, into *bool) cli.Flag {
		return &cli.BoolFlag{Name: name, Usage: usage, Sources: cli.EnvVars(process.Env(name)), Destination: into}
	}
	return []cli.Flag{
		stringFlag("settings", "JSON file with any of the settings below, by the names of their flags", "", &opts.File),
		stringFlag("node", "name of this entry VM", "", (*string)(&s.Node)),
		stringFlag("centre", "data centre of this entry VM", "", (*string)(&s.Centre)),
		stringFlag("caller", "address for callers", "127.0.0.1:8080", (*string)(&s.Caller)),
		stringFlag("operator", "address for operators and the load balancer's health check", "127.0.0.1:8081",
			(*string)(&s.Operator)),
		stringFlag("peer", "address for the other entry VMs", "127.0.0.1:8082", (*string)(&s.Peer)),
		stringFlag("advertise", "peer address under which other entry VMs reach this one, if not --peer", "",
			(*string)(&s.Advertise)),
		stringFlag("platform", "address of the platform's service", "", (*string)(&s.Platform)),
		&cli.StringSliceFlag{
			Name:    "peers",
			Usage:   "peer addresses of other entry VMs, used if the platform is down at the start",
			Sources: cli.EnvVars(process.Env("peers")),
			Action: func(_ context.Context, _ *cli.Command, peers []string) error {
				s.Peers = process.Addresses(peers)
				return nil
			},
		},
		&cli.DurationFlag{
			Name:        "lag",
			Usage:       "time for which the load balancer may still send callers after a planned stop has begun",
			Value:       defaultLag,
			Sources:     cli.EnvVars(process.Env("lag")),
			Destination: &s.Lag,
		},
		stringFlag("route", "which entry VMs call an endpoint: its owner, or all (shared)", string(ownership.ModeOwner),
			(*string)(&s.Route)),
		&cli.IntFlag{
			Name:        "extra",
			Usage:       "calls that may queue at an endpoint beyond those in its slots",
			Sources:     cli.EnvVars(process.Env("extra")),
			Destination: &s.Extra,
		},
		&cli.IntFlag{
			Name:        "memory",
			Usage:       "limit on the memory of the process in MB, of which callers and other entry VMs may take a part; 0 for none",
			Sources:     cli.EnvVars(process.Env("memory")),
			Destination: &s.Memory,
		},
		boolFlag("pprof", "serve profiles on the operators' port, under /debug/pprof", &s.Pprof),
		boolFlag("trace", "print the records of decisions, for basilspan replay", &s.Trace),
		boolFlag("log-json", "print log lines as JSON", &s.LogJSON),
	}
}

// Run runs the entry VM until a signal or a drain request stops it. It returns when everything has ended.
func Run(ctx context.Context, opts *Options) error {
	stop, cancel := opts.StopContext(ctx)
	defer cancel()
	hlog.SetOutput(io.Discard)
	out, closeOut := stream.Polled(opts.Streams.Out)
	defer closeOut()
	errOut, closeErr := stream.Polled(opts.Streams.Err)
	defer closeErr()
	log := newLogger(opts, errOut).With("node", string(opts.Settings.Node))
	rlimit.SetMemory(unit.Bytes(opts.Settings.Memory) << 20)
	e, err := entry.New(opts.Settings, entry.Options{
		Now: opts.Now, Log: log, Trace: traceOutput(opts, out), Descriptors: rlimit.Descriptors(),
	})
	if err != nil {
		return err
	}
	if err := e.Start(ctx); err != nil {
		return err
	}
	log.Info("serving", "caller", string(e.CallerAddress()), "operator", string(e.OperatorAddress()))
	select {
	case <-stop.Done():
	case <-e.Draining():
	}
	return e.Close()
}

// traceOutput returns out, the writer for the records of decisions, or nil if tracing is off.
func traceOutput(opts *Options, out io.Writer) io.Writer {
	if !opts.Settings.Trace {
		return nil
	}
	return out
}

// newLogger returns a logger in JSON or text to the standard error.
func newLogger(opts *Options, out io.Writer) *slog.Logger {
	if opts.Settings.LogJSON {
		return slog.New(slog.NewJSONHandler(out, nil))
	}
	return slog.New(slog.NewTextHandler(out, nil))
}
