// Package serve is the command that runs an entry VM.
package serve

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"basilspan/internal/cmd/stream"
	"basilspan/internal/config/process"
	"basilspan/internal/core/unit"
	"basilspan/internal/serve/entry"
)

// defaultLag is the usual time for a balancer to notice that an entry VM is not ready.
const defaultLag = 5 * time.Second

// Options are what the command works with.
type Options struct {
	Streams  stream.Streams
	Settings process.Settings
	LogJSON  bool
	// Trace prints the records of the decisions to the standard output.
	Trace bool
	// Now gives the present time.
	Now func() time.Time
	// Signals gives a context that ends when the process is asked to stop.
	Signals func(ctx context.Context) (context.Context, context.CancelFunc)
}

// New makes the command; run replaces Run in tests and may be nil.
func New(streams stream.Streams, run func(ctx context.Context, opts *Options) error) *cli.Command {
	opts := &Options{Streams: streams, Now: time.Now, Signals: signals}
	if run == nil {
		run = Run
	}
	return &cli.Command{
		Name:  "serve",
		Usage: "run an entry VM",
		Description: "Examples:\n   basilspan serve --node e1 --centre amman --caller 10.0.0.1:8080 " +
			"--peer 10.0.0.1:8082 --platform 10.0.9.9:80",
		Flags: flags(opts),
		Action: func(ctx context.Context, _ *cli.Command) error {
			if err := opts.Settings.Check(); err != nil {
				return stream.WithExit(err, stream.ExitUsage)
			}
			return run(ctx, opts)
		},
	}
}

func flags(opts *Options) []cli.Flag {
	s := &opts.Settings
	text := func(name, usage, fallback string, into *string) cli.Flag {
		env := cli.EnvVars("BASILSPAN_" + envName(name))
		return &cli.StringFlag{Name: name, Usage: usage, Value: fallback, Sources: env, Destination: into}
	}
	return []cli.Flag{
		text("node", "name of this entry VM", "", (*string)(&s.Node)),
		text("centre", "data centre of this entry VM", "", (*string)(&s.Centre)),
		text("caller", "address for callers", "127.0.0.1:8080", (*string)(&s.Caller)),
		text("operator", "address for operators and the balancer's check", "127.0.0.1:8081", (*string)(&s.Operator)),
		text("peer", "address for the other entry VMs", "127.0.0.1:8082", (*string)(&s.Peer)),
		text("advertise", "peer address as the other entry VMs reach it, if not --peer", "", (*string)(&s.Advertise)),
		text("platform", "address of the platform's service", "", (*string)(&s.Platform)),
		&cli.StringSliceFlag{
			Name:    "peers",
			Usage:   "peer addresses of other entry VMs, for a start while the platform is down",
			Sources: cli.EnvVars("BASILSPAN_PEERS"),
			Action: func(_ context.Context, _ *cli.Command, peers []string) error {
				s.Peers = addresses(peers)
				return nil
			},
		},
		&cli.DurationFlag{
			Name:        "lag",
			Usage:       "time for which the balancer may send callers on after a planned stop has begun",
			Value:       defaultLag,
			Sources:     cli.EnvVars("BASILSPAN_LAG"),
			Destination: &s.Lag,
		},
		&cli.BoolFlag{Name: "log-json", Usage: "print log lines as JSON", Destination: &opts.LogJSON},
		&cli.BoolFlag{Name: "trace", Usage: "print the records of the decisions for replay", Destination: &opts.Trace},
	}
}

// addresses gives the texts as addresses; Settings.Check says which are wrong.
func addresses(texts []string) []unit.Address {
	all := make([]unit.Address, 0, len(texts))
	for _, text := range texts {
		all = append(all, unit.Address(text))
	}
	return all
}

// envName gives the environment variable's part for a flag, in upper case.
func envName(flag string) string {
	upper := []byte(flag)
	for i, c := range upper {
		if c >= 'a' && c <= 'z' {
			upper[i] = c - 'a' + 'A'
		}
	}
	return string(upper)
}

// signals ends the context at the first SIGINT or SIGTERM.
func signals(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
}

// Run runs the entry VM until it is asked to stop.
func Run(ctx context.Context, opts *Options) error {
	stop, cancel := opts.Signals(ctx)
	defer cancel()
	log := logger(opts).With("node", string(opts.Settings.Node))
	e, err := entry.New(opts.Settings, entry.Options{Now: opts.Now, Log: log, Trace: traceOut(opts)})
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

// traceOut gives where the records of the decisions go, or nil.
func traceOut(opts *Options) io.Writer {
	if !opts.Trace {
		return nil
	}
	return opts.Streams.Out
}

func logger(opts *Options) *slog.Logger {
	if opts.LogJSON {
		return slog.New(slog.NewJSONHandler(opts.Streams.Err, nil))
	}
	return slog.New(slog.NewTextHandler(opts.Streams.Err, nil))
}
