// Package stream holds what commands share: where they read and print, how they end, and how they print results.
package stream

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
)

// ExitCode is how a process ends; docs/RESULTS.md lists them.
type ExitCode int

// The exit codes.
const (
	// ExitOK means that the command did what was asked.
	ExitOK ExitCode = 0
	// ExitFailed means that the command could not do it.
	ExitFailed ExitCode = 1
	// ExitUsage means that the arguments or settings are wrong.
	ExitUsage ExitCode = 2
	// ExitNegative means that the command worked and the finding is negative, as with an invalid folder.
	ExitNegative ExitCode = 3
)

// Streams are where a command reads and prints.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Terminal says whether Out is a person's terminal.
	Terminal bool
}

// SystemStreams gives the process's own streams.
func SystemStreams() Streams {
	return Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Terminal: isTerminal(os.Stdout)}
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// PrintJSON prints v as indented JSON.
func (s Streams) PrintJSON(v any) error {
	e := json.NewEncoder(s.Out)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(v), "print as JSON")
}

// Printf prints to the standard output.
func (s Streams) Printf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.Out, format, args...)
}

// exitError is an error with the exit code that it stands for.
type exitError struct {
	error
	code ExitCode
}

// Unwrap gives the error within.
func (e *exitError) Unwrap() error { return e.error }

// WithExitCode gives err the exit code that the process is to end with.
func WithExitCode(err error, code ExitCode) error {
	return &exitError{error: err, code: code}
}

// ExitCodeOf gives the exit code that err stands for.
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
