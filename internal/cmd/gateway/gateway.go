// Package gateway implements the command that runs an entry VM on a platform that publishes routes and endpoints.
package gateway

import (
	"context"
	"io"
	"log/slog"
	"os"
	"runtime"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"basilspan/internal/cmd/rlimit"
	"basilspan/internal/cmd/stream"
	config "basilspan/internal/config/gateway"
	"basilspan/internal/core/logline"
	"basilspan/internal/core/unit"
	gateway "basilspan/internal/serve/gateway"
)

const (
	// minMemory is the least limit on the memory of the process, in MB.
	minMemory = 64
	// maxThreads is the number of threads that run Go code, since an entry VM has one core or less.
	maxThreads = 1
	// fileCheckPeriod is the time between two checks of the settings file for a change.
	fileCheckPeriod = 2 * time.Second
	// envSettings is the environment variable with the name of the settings file.
	envSettings = "BASILSPAN_CONFIG"
)

// Options are the arguments and dependencies of the command.
type Options struct {
	Streams stream.Streams
	// File is the name of the settings file.
	File string
	// Memory is the limit on the memory of the process in MB; 0 means a default.
	Memory int
	// Now returns the current time.
	Now func() time.Time
	// ReadFile reads the settings file.
	ReadFile func(name string) ([]byte, error)
	// Stat returns the file information of the settings file, of which the modification time is used.
	Stat func(name string) (os.FileInfo, error)
	// StopContext returns a context that is cancelled by a signal to stop.
	StopContext func(ctx context.Context) (context.Context, context.CancelFunc)
	// HangupSignals returns the channel of SIGHUP signals, at which the settings file is read again.
	HangupSignals func() <-chan os.Signal
}

// New returns the command. Tests pass run in place of Run; nil means Run.
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
		Description: "The settings come from one JSON file; deploy/gateway.json.tmpl shows its format. SIGTERM and SIGINT " +
			"begin a planned stop. The settings are reloaded at SIGHUP and when the file changes.\n\n" +
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
			&cli.IntFlag{
				Name:        "memory",
				Usage:       "limit on the memory of the process in MB",
				Sources:     cli.EnvVars("BASILSPAN_MEMORY"),
				Value:       int(gateway.DefaultMemory >> 20),
				Destination: &opts.Memory,
				Validator: func(n int) error {
					if n < minMemory {
						return errors.Newf("must be at least %d", minMemory)
					}
					return nil
				},
			},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, opts) },
	}
}

// Run runs the entry VM until a signal stops it, and reloads changed settings meanwhile. It returns when everything has
// ended.
func Run(ctx context.Context, opts *Options) error {
	stop, cancel := opts.StopContext(ctx)
	defer cancel()
	hangup := opts.HangupSignals()
	settings, unknown, err := loadSettings(opts)
	if err != nil {
		return stream.WithExitCode(err, stream.ExitUsage)
	}
	limit := unit.Bytes(opts.Memory) << 20
	configureRuntime(limit)
	out, closeOut := stream.Polled(opts.Streams.Out)
	defer closeOut()
	lines := logline.NewWriter(out)
	defer func() { _ = lines.Close() }()
	handler := logline.NewHandler(lines, logLevel(settings))
	defer func() { _ = handler.Close() }()
	log := slog.New(handler).With("node", settings.Node)
	if len(unknown) > 0 {
		log.Warn("unknown settings ignored", "keys", unknown)
	}
	g, err := gateway.New(settings, gateway.Options{Now: opts.Now, Log: log, Memory: limit, Descriptors: rlimit.Descriptors()})
	if err != nil {
		return err
	}
	if err := g.Start(ctx); err != nil {
		return err
	}
	log.Info("started", "callers", settings.Callers, "registry", settings.Registry, "memory_mb", opts.Memory)
	watchSettings(stop, hangup, opts, g, log)
	log.Info("stopping", "grace_s", settings.Grace.Seconds())
	err = g.Close()
	log.Info("stopped")
	return err
}

// watchSettings reloads the settings at each SIGHUP, and when the file's modification time changes, until ctx ends.
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

// modifiedAt returns the modification time of the settings file, or zero if it is not available.
func modifiedAt(opts *Options) time.Time {
	info, err := opts.Stat(opts.File)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings file and applies it. A file that can't be read or is not valid leaves the settings
// unchanged.
func reload(opts *Options, g *gateway.Gateway, log *slog.Logger) {
	settings, unknown, err := loadSettings(opts)
	if err != nil {
		log.Error("settings not reloaded", "error", err)
		return
	}
	kept := g.Reload(settings)
	log.Info("settings reloaded", "unknown", unknown, "kept_until_restart", kept)
}

// configureRuntime sets the garbage collector and the number of threads for a small VM with that limit on its memory, 0
// for none, and discards the log of the HTTP library.
func configureRuntime(limit unit.Bytes) {
	rlimit.SetMemory(limit)
	runtime.GOMAXPROCS(maxThreads)
	hlog.SetOutput(io.Discard)
}

// loadSettings reads and checks the settings file. It also returns the unknown keys.
func loadSettings(opts *Options) (config.Settings, []string, error) {
	content, err := opts.ReadFile(opts.File)
	if err != nil {
		return config.Settings{}, nil, errors.Wrap(err, "settings")
	}
	return config.Parse(opts.File, content)
}

// logLevel returns the minimum level of log lines, info by default.
func logLevel(settings config.Settings) slog.Level {
	var level slog.Level
	// The check of the settings accepts only known levels. An empty one fails and leaves the default, info.
	_ = level.UnmarshalText([]byte(settings.Level))
	return level
}
