// Package status is the command that prints the state of an entry VM.
package status

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"basilspan/internal/cmd/stream"
)

type (
	// wireStatus is what an entry VM answers to GET /status.
	wireStatus struct {
		Node      string         `json:"node"`
		State     string         `json:"state"`
		Revision  uint64         `json:"revision"`
		Held      int64          `json:"held"`
		Age       int64          `json:"age"`
		Refused   uint64         `json:"refused"`
		Problem   string         `json:"problem"`
		Members   []wireMember   `json:"members"`
		Leaving   []string       `json:"leaving"`
		Endpoints []wireEndpoint `json:"endpoints"`
	}

	wireMember struct {
		ID     string `json:"id"`
		Centre string `json:"centre"`
		Peer   string `json:"peer"`
		State  string `json:"state"`
	}

	wireEndpoint struct {
		ID      string `json:"id"`
		Search  string `json:"search"`
		Shard   string `json:"shard"`
		Address string `json:"address"`
		Idle    string `json:"idle"`
	}
)

// stateReady is the state in which an entry VM serves callers.
const stateReady = "ready"

// Options are what the command works with.
type Options struct {
	Streams stream.Streams
	Client  *stream.Client
	All     bool
	JSON    bool
}

// New makes the command; run replaces Run in tests and may be nil.
func New(streams stream.Streams, run func(ctx context.Context, opts *Options) error) *cli.Command {
	opts := &Options{Streams: streams, Client: stream.NewClient()}
	if run == nil {
		run = Run
	}
	return &cli.Command{
		Name:  "status",
		Usage: "print the members, the configuration's revision and the endpoints that get no work",
		Description: "The exit code is 3 when the entry VM is not ready.\n\n" +
			"Examples:\n   basilspan status\n   basilspan status --operator 10.0.0.1:8081 --all --json",
		Flags: []cli.Flag{
			opts.Client.AddressFlag(),
			&cli.BoolFlag{Name: "all", Usage: "print the endpoints that get work too", Destination: &opts.All},
			stream.JSONFlag(&opts.JSON),
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if _, err := stream.Args(cmd, 0, 0, "no argument"); err != nil {
				return err
			}
			return run(ctx, opts)
		},
	}
}

// Run prints the state. An entry VM that is not ready ends with ExitNegative.
func Run(ctx context.Context, opts *Options) error {
	var w wireStatus
	if err := opts.Client.Get(ctx, "/status", &w); err != nil {
		return err
	}
	total := len(w.Endpoints)
	if !opts.All {
		w.Endpoints = idleEndpoints(w.Endpoints)
	}
	if opts.JSON {
		if err := opts.Streams.PrintJSON(w); err != nil {
			return err
		}
	} else {
		opts.print(w, total)
	}
	if w.State != stateReady {
		return stream.WithExitCode(errors.Newf("%s is %s, not ready", w.Node, w.State), stream.ExitNegative)
	}
	return nil
}

func (o *Options) print(w wireStatus, total int) {
	p := o.Streams.Printf
	p("node      %s, %s\n", w.Node, w.State)
	p("revision  %d, in force for %s\n", w.Revision, formatMillis(w.Held))
	p("view      %s old\n", formatMillis(w.Age))
	if w.Refused > w.Revision {
		p("refused   revision %d: %s\n", w.Refused, w.Problem)
	}
	p("members   %d\n", len(w.Members))
	for _, m := range w.Members {
		p("  %s  %s  %s  %s\n", m.ID, m.Centre, m.Peer, m.State)
	}
	p("endpoints %d, %d listed here\n", total, len(w.Endpoints))
	for _, e := range w.Endpoints {
		reason := e.Idle
		if reason == "" {
			reason = "gets work"
		}
		p("  %s  %s  %s  %s  %s\n", e.Search, e.ID, e.Shard, e.Address, reason)
	}
}

// idleEndpoints gives the endpoints that have a reason to get no work.
func idleEndpoints(all []wireEndpoint) []wireEndpoint {
	some := []wireEndpoint{}
	for _, e := range all {
		if e.Idle != "" {
			some = append(some, e)
		}
	}
	return some
}

// formatMillis gives milliseconds as a time; below zero means that it is not known.
func formatMillis(ms int64) string {
	if ms < 0 {
		return "an unknown time"
	}
	if ms < 1000 {
		return strconv.FormatInt(ms, 10) + "ms"
	}
	return (time.Duration(ms) * time.Millisecond).Round(time.Second).String()
}
