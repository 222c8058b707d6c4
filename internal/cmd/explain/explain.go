// Package explain implements the command that prints the log lines of one request from the logs of entry VMs.
package explain

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"basilspan/internal/cmd/stream"
)

// maxLineBytes is the maximum length of a log line. A longer one is an error.
const maxLineBytes = 1 << 20

// contextWindow is how long before a line of the request the state changes of its entry VM are printed too.
const contextWindow = 5 * time.Second

// Options are the arguments and dependencies of the command.
type Options struct {
	Streams stream.Streams
	// ID is the request id.
	ID string
	// Files are the names of the log files; without any, the standard input is read.
	Files []string
	JSON  bool
	// Open opens a log file.
	Open func(name string) (io.ReadCloser, error)
}

// New returns the command. Tests pass run in place of Run; nil means Run.
func New(streams stream.Streams, run func(opts *Options) error) *cli.Command {
	opts := &Options{Streams: streams, Open: func(name string) (io.ReadCloser, error) { return os.Open(name) }}
	if run == nil {
		run = Run
	}
	return &cli.Command{
		Name:  "explain",
		Usage: "print the decisions on a request from the logs of entry VMs",
		Description: "The log files are the standard output of \"basilspan gateway\" on one or more entry VMs. Without " +
			"a file, the standard input is read. The lines of the request are printed by time, together with the state " +
			"changes that its entry VM logged in the seconds before.\n\n" +
			"Examples:\n" +
			"   basilspan explain --id 9c41d07be2a35f68 e1.log e2.log\n" +
			"   cat *.log | basilspan explain --id 9c41d07be2a35f68 --json",
		ArgsUsage: "[LOGFILE...]",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "id", Usage: "request id", Required: true, Destination: &opts.ID},
			&cli.BoolFlag{Name: "json", Usage: "print the lines as they were logged", Destination: &opts.JSON},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			opts.Files = cmd.Args().Slice()
			return run(opts)
		},
	}
}

// line is one log line in JSON. A line without an id belongs to no request; it logs a change of the VM's state or
// configuration.
type line struct {
	at      time.Time
	node    string
	message string
	id      string
	fields  map[string]any
	// text is the JSON as it was logged.
	text string
}

// Run prints the lines of the request by time. If there are none, the error ends with ExitNegative.
func Run(opts *Options) error {
	all, err := readLines(opts)
	if err != nil {
		return err
	}
	slices.SortStableFunc(all, func(a, b line) int { return a.at.Compare(b.at) })
	found := selectLines(all, opts.ID)
	if len(found) == 0 {
		err := errors.Newf("no log line has the request id %q; either it was answered whole, of which only a sample is "+
			"logged, or its lines were suppressed by a rate limit (see \"lines left out\" and the counters of the entry VM)",
			opts.ID)
		return stream.WithExitCode(err, stream.ExitNegative)
	}
	for _, l := range found {
		printLine(opts, l)
	}
	return nil
}

// readLines reads the log lines of all files, or of the standard input.
func readLines(opts *Options) ([]line, error) {
	if len(opts.Files) == 0 {
		return scanLines(opts.Streams.In)
	}
	var all []line
	for _, name := range opts.Files {
		file, err := opts.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "open a log file")
		}
		lines, err := scanLines(file)
		if err = errors.CombineErrors(err, file.Close()); err != nil {
			return nil, errors.Wrapf(err, "read %s", name)
		}
		all = append(all, lines...)
	}
	return all, nil
}

// scanLines reads log lines. It skips lines without a JSON object that has a valid time, and text before the JSON, such
// as a prefix that a log collector adds. A line longer than maxLineBytes is an error.
func scanLines(r io.Reader) ([]line, error) {
	var all []line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if l, ok := parseLine(s.Text()); ok {
			all = append(all, l)
		}
	}
	return all, errors.Wrap(s.Err(), "read the log")
}

// parseLine parses the JSON object in text. It returns false if there is none or it has no valid time.
func parseLine(text string) (line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return line{}, false
	}
	l := line{text: text[start:]}
	if json.Unmarshal([]byte(l.text), &l.fields) != nil {
		return line{}, false
	}
	l.node, _ = l.fields["node"].(string)
	l.message, _ = l.fields["msg"].(string)
	l.id, _ = l.fields["id"].(string)
	stamp, _ := l.fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	l.at = at
	return l, err == nil
}

// selectLines returns the lines of the request, and the state changes of its VMs shortly before them. The lines must be
// sorted by time.
func selectLines(all []line, id string) []line {
	var found []line
	for i, l := range all {
		if l.id == id || precedesRequest(all[i:], l, id) {
			found = append(found, l)
		}
	}
	return found
}

// precedesRequest reports whether l is a state change at most contextWindow before a line of the request on the same
// VM. The sorted lines rest begin with l.
func precedesRequest(rest []line, l line, id string) bool {
	if l.id != "" {
		return false
	}
	for _, later := range rest {
		if later.at.Sub(l.at) > contextWindow {
			return false
		}
		if later.id == id && later.node == l.node {
			return true
		}
	}
	return false
}

// printLine prints one line: with --json as it was logged, otherwise with one indented line for each field.
func printLine(opts *Options, l line) {
	if opts.JSON {
		opts.Streams.Printf("%s\n", l.text)
		return
	}
	opts.Streams.Printf("%s %s: %s\n", l.at.Format("15:04:05.000"), l.node, l.message)
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		if !slices.Contains([]string{"time", "level", "msg", "node", "id"}, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		printField(opts, name, l.fields[name])
	}
}

// printField prints one field. A list is printed with one line for each item.
func printField(opts *Options, name string, value any) {
	items, ok := value.([]any)
	if !ok {
		opts.Streams.Printf("    %s: %v\n", name, value)
		return
	}
	opts.Streams.Printf("    %s:\n", name)
	for _, item := range items {
		opts.Streams.Printf("      %v\n", item)
	}
}
