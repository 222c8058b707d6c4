// Package query is the command that sends one query to an entry VM and prints the answer.
package query

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"basilspan/internal/cmd/stream"
	"basilspan/internal/config/process"
	"basilspan/internal/core/unit"
)

// responseMargin is how much longer than the query's timeout the command waits for the answer.
const responseMargin = 5 * time.Second

// wireQuery is the query as the entry VM reads it.
type wireQuery struct {
	ID      string `json:"id"`
	Search  string `json:"search"`
	Rank    string `json:"rank"`
	Timeout int64  `json:"timeout"`
	Once    bool   `json:"once"`
	Body    []byte `json:"body"`
}

type (
	// wireAnswer is the answer as the entry VM writes it.
	wireAnswer struct {
		ID       string        `json:"id"`
		Code     unit.Code     `json:"code"`
		Message  string        `json:"message"`
		Snapshot uint64        `json:"snapshot"`
		Asked    int           `json:"asked"`
		Parts    []wirePart    `json:"parts"`
		Missing  []wireMissing `json:"missing"`
		Extra    wireExtra     `json:"extra"`
	}

	wirePart struct {
		Shard    string `json:"shard"`
		Endpoint string `json:"endpoint"`
		Body     []byte `json:"body"`
	}

	wireMissing struct {
		Shard string    `json:"shard"`
		Code  unit.Code `json:"code"`
	}

	wireExtra struct {
		Attempts int `json:"attempts"`
	}
)

// Options are what the command works with.
type Options struct {
	Streams stream.Streams
	Entry   string
	ID      string
	Search  string
	Rank    string
	Timeout time.Duration
	Once    bool
	Body    string
	JSON    bool
	Now     func() time.Time
	// Do sends an HTTP request.
	Do func(req *http.Request) (*http.Response, error)
}

// New makes the command; run replaces Run in tests and may be nil.
func New(streams stream.Streams, run func(ctx context.Context, opts *Options) error) *cli.Command {
	client := &http.Client{Transport: &http.Transport{Proxy: nil}}
	opts := &Options{Streams: streams, Now: time.Now, Do: client.Do}
	if run == nil {
		run = Run
	}
	return &cli.Command{
		Name:  "query",
		Usage: "send one query and print the answer",
		Description: "The exit code is 3 for an answer that is not whole; docs/RESULTS.md lists the codes.\n\n" +
			"Examples:\n   basilspan query --search fitter-desk --rank fitter --body 'tap 12'\n" +
			"   basilspan query --search order-track --rank fitter --once --json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entry", Usage: "address for callers", Value: "127.0.0.1:8080", Sources: cli.EnvVars(process.Env("caller")), Destination: &opts.Entry},
			&cli.StringFlag{Name: "id", Usage: "request id; made from the time if empty", Destination: &opts.ID},
			&cli.StringFlag{Name: "search", Usage: "name of the search", Required: true, Destination: &opts.Search},
			&cli.StringFlag{Name: "rank", Usage: "rank of the work", Required: true, Destination: &opts.Rank},
			&cli.DurationFlag{Name: "timeout", Usage: "time for the answer", Value: time.Second, Destination: &opts.Timeout},
			&cli.BoolFlag{Name: "once", Usage: "never run the request twice", Destination: &opts.Once},
			&cli.StringFlag{Name: "body", Usage: "body of the request", Destination: &opts.Body},
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

// Run sends the query. An answer that is not whole ends with ExitNegative.
func Run(ctx context.Context, opts *Options) error {
	if opts.ID == "" {
		opts.ID = "q" + strconv.FormatInt(opts.Now().UnixNano(), 36)
	}
	body, err := json.Marshal(wireQuery{
		ID:      opts.ID,
		Search:  opts.Search,
		Rank:    opts.Rank,
		Timeout: opts.Timeout.Milliseconds(),
		Once:    opts.Once,
		Body:    []byte(opts.Body),
	})
	if err != nil {
		return errors.Wrap(err, "encode the query")
	}
	ctx, cancel := context.WithTimeout(ctx, opts.Timeout+responseMargin)
	defer cancel()
	url := "http://" + opts.Entry + "/query"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return stream.WithExitCode(err, stream.ExitUsage)
	}
	resp, err := opts.Do(req)
	if err != nil {
		return errors.Wrap(err, "no answer; check --entry and that the entry VM runs")
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "read the answer")
	}
	return opts.print(content)
}

// print prints the answer and gives an error for one that is not whole.
func (o *Options) print(content []byte) error {
	var answer wireAnswer
	if err := json.Unmarshal(content, &answer); err != nil {
		return errors.Wrap(err, "decode the answer")
	}
	if o.JSON {
		o.Streams.Printf("%s\n", content)
	} else {
		o.printText(answer)
	}
	if answer.Code == unit.CodeWhole {
		return nil
	}
	err := errors.Newf("code %d: %s; see docs/RESULTS.md", answer.Code, answer.Message)
	return stream.WithExitCode(err, stream.ExitNegative)
}

// printText prints the answer for a person.
func (o *Options) printText(a wireAnswer) {
	p := o.Streams.Printf
	p("%s: code %d, %s\n", a.ID, a.Code, a.Message)
	p("snapshot %d, %d of %d shards, %d attempts\n", a.Snapshot, len(a.Parts), a.Asked, a.Extra.Attempts)
	for _, part := range a.Parts {
		p("  %s from %s: %q\n", part.Shard, part.Endpoint, part.Body)
	}
	for _, m := range a.Missing {
		p("  %s is missing: code %d, %s\n", m.Shard, m.Code, m.Code)
	}
}
