// Package proc runs a deployment as separate processes for tests: a platform, its endpoints and several entry VMs. A
// test can kill, freeze and stop them. Only tests use it.
package proc

import (
	"bytes"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
)

// stopTimeout bounds the wait for a process to end after a signal.
const stopTimeout = 30 * time.Second

var (
	buildOnce sync.Once
	buildDir  string
	errBuild  error
)

// programPath builds all programs of this source tree once and returns the path of the named one. An absolute path to
// another build is returned as it is.
func programPath(t testing.TB, name string) string {
	t.Helper()
	if filepath.IsAbs(name) {
		return name
	}
	buildOnce.Do(func() {
		if buildDir, errBuild = os.MkdirTemp("", "basilspan"); errBuild != nil {
			return
		}
		build := exec.Command("go", "build", "-o", buildDir, "basilspan/cmd/...")
		build.Stderr = os.Stderr
		errBuild = build.Run()
	})
	assert.NilError(t, errBuild)
	return filepath.Join(buildDir, name)
}

// Cleanup removes the built programs. TestMain calls it at the end.
func Cleanup() {
	if buildDir != "" {
		_ = os.RemoveAll(buildDir)
	}
}

// Process is a program that a test has started.
type Process struct {
	t      testing.TB
	cmd    *exec.Cmd
	output *Output
	done   chan struct{}
}

// Output collects what a process or command prints. It is safe for concurrent use.
type Output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write appends to the output.
func (o *Output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

// String returns the output so far.
func (o *Output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.String()
}

// Run starts a program of this source tree. It is killed at the end of the test.
func Run(t testing.TB, name string, args ...string) *Process {
	t.Helper()
	return start(t, name, args...)
}

// start starts a program, which is killed at the end of the test. If the test has failed, its output is logged.
func start(t testing.TB, name string, args ...string) *Process {
	t.Helper()
	p := &Process{t: t, cmd: exec.Command(programPath(t, name), args...), output: &Output{}, done: make(chan struct{})}
	p.cmd.Stdout = p.output
	p.cmd.Stderr = p.output
	assert.NilError(t, p.cmd.Start())
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait()
	}()
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			t.Logf("%s %v printed:\n%s", name, args, p.Output())
		}
	})
	return p
}

// Kill kills the process, as the loss of its VM would, and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Freeze suspends the process until Thaw.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

// Terminate sends the signal for a planned stop.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Hangup sends the signal to reload the settings file.
func (p *Process) Hangup() { p.signal(syscall.SIGHUP) }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// ExitCode waits for the end of the process and returns its exit code, or -1 if a signal terminated it.
func (p *Process) ExitCode() int {
	<-p.done
	return p.cmd.ProcessState.ExitCode()
}

// Wait waits for the end of the process and returns its exit code. It fails the test if the process does not end within
// stopTimeout.
func (p *Process) Wait() int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		p.t.Fatalf("process has not ended; it printed:\n%s", p.Output())
	}
	return p.ExitCode()
}

// Output returns what the process has printed so far.
func (p *Process) Output() string { return p.output.String() }

// signal sends a signal unless the process has ended.
func (p *Process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

const (
	// firstPort and lastPort bound the ports that FreePort returns.
	firstPort = 10_000
	lastPort  = 32_000
	portTries = 100
)

// usedAddresses are the addresses that FreePort has returned.
var usedAddresses sync.Map

// FreePort returns an address of 127.0.0.1 that nothing listens on. Its port is outside the range from which the system
// takes the ports of outgoing connections. No address is returned twice.
func FreePort(t testing.TB) unit.Address {
	t.Helper()
	for range portTries {
		address := "127.0.0.1:" + strconv.Itoa(firstPort+rand.IntN(lastPort-firstPort))
		if _, used := usedAddresses.LoadOrStore(address, true); used {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return unit.Address(address)
		}
	}
	t.Fatal("no free port")
	return ""
}

// Eventually polls check until it returns true, or fails the test after limit. what describes the expected condition.
func Eventually(t testing.TB, limit time.Duration, what string, check func() bool) {
	t.Helper()
	end := time.Now().Add(limit)
	for !check() {
		if time.Now().After(end) {
			t.Fatalf("condition not met within %s: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// nodeName returns the name of the entry VM with index i: e1 for the first.
func nodeName(i int) string { return "e" + strconv.Itoa(i+1) }
