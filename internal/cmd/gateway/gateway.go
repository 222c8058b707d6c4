// Package gateway is the command that runs an entry VM on a platform that publishes routes and endpoints.
package gateway

import (
	"context"
	"io"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/netpoll"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"basilspan/internal/cmd/stream"
	config "basilspan/internal/config/gateway"
	"basilspan/internal/core/logline"
	gateway "basilspan/internal/serve/gateway"
)

const (
	// gcPercent is the growth of the heap, in percent, at which garbage is collected. On a fifth of a core a collection
	// delays the queries under way by milliseconds, and a larger heap costs memory.
	gcPercent = 75
	// maxThreads is how many threads run Go code; an entry VM has one core or less.
	maxThreads = 1
	// fileCheckPeriod is the time between two looks at whether the settings file has changed.
	fileCheckPeriod = 2 * time.Second
	// envSettings is the environment variable that names the settings file.
	envSettings = "BASILSPAN_CONFIG"
)

// Options are what the command works with.
type Options struct {
	Streams stream.Streams
	// File is the settings file.
	File string
	// Now gives the present time.
	Now func() time.Time
	// ReadFile reads the settings file.
	ReadFile func(name string) ([]byte, error)
	// Stat gives when the settings file was written.
	Stat func(name string) (os.FileInfo, error)
	// StopContext gives a context that ends when the process is asked to stop.
	StopContext func(ctx context.Context) (context.Context, context.CancelFunc)
	// HangupSignals gives the signals that the settings file has changed.
	HangupSignals func() <-chan os.Signal
}

// New makes the command; run replaces Run in tests and may be nil.
func New(streams stream.Streams, run func(ctx context.Context, opts *Options) error) *cli.Command {
	opts := &Options{
		Streams: streams, Now: time.Now, ReadFile: os.ReadFile, Stat: os.Stat, StopContext: stream.StopContext,
		HangupSignals: stream.HangupSignals,
	}
	if run == nil {
		run = Run
	}
	return &cli.Command{
		Name:  "gateway",
		Usage: "run an entry VM on a platform that publishes routes and endpoints",
		Description: "The settings come from one JSON file; deploy/gateway.json.tmpl shows its form. SIGTERM and SIGINT " +
			"begin a planned stop, and SIGHUP or a changed file has the settings read again.\n\n" +
			"Examples:\n" +
			"   basilspan gateway --settings /etc/basilspan/local.conf\n" +
			"   BASILSPAN_CONFIG=/etc/basilspan/local.conf basilspan gateway",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:        "settings",
				Usage:       "settings file",
				Sources:     cli.EnvVars(envSettings),
				Required:    true,
				Destination: &opts.File,
			},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, opts) },
	}
}

// Run runs the entry VM until it is asked to stop.
func Run(ctx context.Context, opts *Options) error {
	stop, cancel := opts.StopContext(ctx)
	defer cancel()
	hangup := opts.HangupSignals()
	settings, unknown, err := loadSettings(opts)
	if err != nil {
		return stream.WithExitCode(err, stream.ExitUsage)
	}
	configureRuntime()
	lines := logline.NewWriter(opts.Streams.Out)
	defer func() { _ = lines.Close() }()
	handler := logline.NewHandler(lines, logLevel(settings))
	defer func() { _ = handler.Close() }()
	log := slog.New(handler).With("node", settings.Node)
	if len(unknown) > 0 {
		log.Warn("unknown settings ignored", "keys", unknown)
	}
	g, err := gateway.New(settings, gateway.Options{Now: opts.Now, Log: log})
	if err != nil {
		return err
	}
	if err := g.Start(ctx); err != nil {
		return err
	}
	log.Info("started", "callers", settings.Callers, "registry", settings.Registry)
	watchSettings(stop, hangup, opts, g, log)
	log.Info("stopping", "grace_s", settings.Grace.Seconds())
	err = g.Close()
	log.Info("stopped")
	return err
}

// watchSettings takes changes of the settings file, which come with or without a signal, until ctx ends.
func watchSettings(ctx context.Context, hangup <-chan os.Signal, opts *Options, g *gateway.Gateway, log *slog.Logger) {
	ticker := time.NewTicker(fileCheckPeriod)
	defer ticker.Stop()
	last := modifiedAt(opts)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			last = modifiedAt(opts)
			reload(opts, g, log)
		case <-ticker.C:
			if now := modifiedAt(opts); !now.Equal(last) {
				last = now
				reload(opts, g, log)
			}
		}
	}
}

// modifiedAt gives when the settings file was written, zero when that can't be told.
func modifiedAt(opts *Options) time.Time {
	info, err := opts.Stat(opts.File)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload takes the settings file again; one that can't be read leaves the settings as they are.
func reload(opts *Options, g *gateway.Gateway, log *slog.Logger) {
	settings, unknown, err := loadSettings(opts)
	if err != nil {
		log.Error("settings not reloaded", "error", err)
		return
	}
	kept := g.Reload(settings)
	log.Info("settings reloaded", "unknown", unknown, "kept_until_restart", kept)
}

// configureRuntime fits the runtime to a small VM.
func configureRuntime() {
	debug.SetGCPercent(gcPercent)
	runtime.GOMAXPROCS(maxThreads)
	hlog.SetOutput(io.Discard)
	// A failure leaves the library's default, which costs memory only.
	_ = netpoll.Configure(netpoll.Config{PollerNum: maxThreads})
}

func loadSettings(opts *Options) (config.Settings, []string, error) {
	content, err := opts.ReadFile(opts.File)
	if err != nil {
		return config.Settings{}, nil, errors.Wrap(err, "settings")
	}
	return config.Parse(opts.File, content)
}

// logLevel gives the least level of the lines that are written.
func logLevel(settings config.Settings) slog.Level {
	var level slog.Level
	// The settings' check has let only known levels pass.
	_ = level.UnmarshalText([]byte(settings.Level))
	return level
}
