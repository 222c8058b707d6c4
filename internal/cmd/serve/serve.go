// Package serve is the command that runs an entry VM.
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

	"basilspan/internal/cmd/stream"
	"basilspan/internal/config/process"
	"basilspan/internal/policy/place"
	"basilspan/internal/serve/entry"
)

// defaultLag is the usual time for a balancer to notice that an entry VM is not ready.
const defaultLag = 5 * time.Second

// Options are what the command works with.
type Options struct {
	Streams  stream.Streams
	Settings process.Settings
	// File is the settings file; it may be empty.
	File string
	// Now gives the present time.
	Now func() time.Time
	// ReadFile reads the settings file.
	ReadFile func(name string) ([]byte, error)
	// StopContext gives a context that ends when the process is asked to stop.
	StopContext func(ctx context.Context) (context.Context, context.CancelFunc)
}

// New makes the command; run replaces Run in tests and may be nil.
func New(streams stream.Streams, run func(ctx context.Context, opts *Options) error) *cli.Command {
	opts := &Options{Streams: streams, Now: time.Now, ReadFile: os.ReadFile, StopContext: stream.StopContext}
	if run == nil {
		run = Run
	}
	return &cli.Command{
		Name:  "serve",
		Usage: "run an entry VM",
		Description: "Each setting is taken from its flag, else from its environment variable, else from the settings " +
			"file, else from its default. SIGTERM, SIGINT and \"basilspan drain\" begin a planned stop.\n\n" +
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

// completeSettings adds the settings file to the flags and checks the whole.
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
		stringFlag("operator", "address for operators and the balancer's check", "127.0.0.1:8081", (*string)(&s.Operator)),
		stringFlag("peer", "address for the other entry VMs", "127.0.0.1:8082", (*string)(&s.Peer)),
		stringFlag("advertise", "peer address as the other entry VMs reach it, if not --peer", "", (*string)(&s.Advertise)),
		stringFlag("platform", "address of the platform's service", "", (*string)(&s.Platform)),
		&cli.StringSliceFlag{
			Name:    "peers",
			Usage:   "peer addresses of other entry VMs, for a start while the platform is down",
			Sources: cli.EnvVars(process.Env("peers")),
			Action: func(_ context.Context, _ *cli.Command, peers []string) error {
				s.Peers = process.Addresses(peers)
				return nil
			},
		},
		&cli.DurationFlag{
			Name:        "lag",
			Usage:       "time for which the balancer may send callers on after a planned stop has begun",
			Value:       defaultLag,
			Sources:     cli.EnvVars(process.Env("lag")),
			Destination: &s.Lag,
		},
		stringFlag("route", "which entry VMs call an endpoint: its owner, or all (shared)", string(place.ModeOwner), (*string)(&s.Route)),
		&cli.IntFlag{
			Name:        "extra",
			Usage:       "calls that may wait at an endpoint beside those in its slots",
			Sources:     cli.EnvVars(process.Env("extra")),
			Destination: &s.Extra,
		},
		boolFlag("pprof", "add profiles to the operators' port, under /debug/pprof", &s.Pprof),
		boolFlag("trace", "print the records of the decisions for replay", &s.Trace),
		boolFlag("log-json", "print log lines as JSON", &s.LogJSON),
	}
}

// Run runs the entry VM until it is asked to stop.
func Run(ctx context.Context, opts *Options) error {
	stop, cancel := opts.StopContext(ctx)
	defer cancel()
	hlog.SetOutput(io.Discard)
	log := newLogger(opts).With("node", string(opts.Settings.Node))
	e, err := entry.New(opts.Settings, entry.Options{Now: opts.Now, Log: log, Trace: traceOutput(opts)})
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

// traceOutput gives where the records of the decisions go, or nil.
func traceOutput(opts *Options) io.Writer {
	if !opts.Settings.Trace {
		return nil
	}
	return opts.Streams.Out
}

func newLogger(opts *Options) *slog.Logger {
	if opts.Settings.LogJSON {
		return slog.New(slog.NewJSONHandler(opts.Streams.Err, nil))
	}
	return slog.New(slog.NewTextHandler(opts.Streams.Err, nil))
}
