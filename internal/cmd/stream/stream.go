// Package stream holds what the commands share: input and output streams, exit codes, stop signals, and a client for
// the operators' port of an entry VM.
package stream

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
)

// ExitCode is the exit code of a process. docs/RESULTS.md lists the codes.
type ExitCode int

// The exit codes.
const (
	// ExitOK means that the command succeeded.
	ExitOK ExitCode = 0
	// ExitFailed means that the command failed.
	ExitFailed ExitCode = 1
	// ExitUsage means that the arguments or settings are invalid.
	ExitUsage ExitCode = 2
	// ExitNegative means that the command succeeded with a negative finding, such as an invalid folder.
	ExitNegative ExitCode = 3
)

// Streams are the input and output streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Terminal is set if Out is a terminal.
	Terminal bool
}

// SystemStreams returns the standard streams of the process.
func SystemStreams() Streams {
	return Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Terminal: isTerminal(os.Stdout)}
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// PrintJSON prints v as indented JSON to the standard output.
func (s Streams) PrintJSON(v any) error {
	e := json.NewEncoder(s.Out)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(v), "print as JSON")
}

// Printf prints to the standard output and ignores errors.
func (s Streams) Printf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.Out, format, args...)
}

// exitError is an error with the exit code that the process ends with.
type exitError struct {
	error
	code ExitCode
}

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.error }

// WithExitCode wraps err so that ExitCodeOf returns code for it.
func WithExitCode(err error, code ExitCode) error {
	return &exitError{error: err, code: code}
}

// ExitCodeOf returns the exit code for err: ExitOK for nil, the code set by WithExitCode, or else ExitFailed.
func ExitCodeOf(err error) ExitCode {
	if err == nil {
		return ExitOK
	}
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	return ExitFailed
}
