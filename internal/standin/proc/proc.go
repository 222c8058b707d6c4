// Package proc runs a deployment as separate processes for tests: a platform, its endpoints and several entry VMs,
// which a test can kill, freeze and stop. Only tests use it.
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

// programPath builds both programs once and gives the path of one; a path to another build is given as it is.
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

// Cleanup removes the built programs; a TestMain calls it at the end.
func Cleanup() {
	if buildDir != "" {
		_ = os.RemoveAll(buildDir)
	}
}

// Process is one running process.
type Process struct {
	t      testing.TB
	cmd    *exec.Cmd
	output *Output
	done   chan struct{}
}

// Output collects what a process or command prints; several goroutines may use it.
type Output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write adds to the output.
func (o *Output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

// String gives the output so far.
func (o *Output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.String()
}

// Run starts a program of this tree; it is killed at the end of the test.
func Run(t testing.TB, name string, args ...string) *Process {
	t.Helper()
	return start(t, name, args...)
}

// start starts a program; it is killed at the end of the test.
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

// Kill ends the process at once, as a lost VM does.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Freeze stops the process where it stands, until Thaw.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

// Terminate asks the process for a planned stop.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Hangup tells the process that its settings file has changed.
func (p *Process) Hangup() { p.signal(syscall.SIGHUP) }

// Done is closed once the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// ExitCode gives the exit code of a process that has ended, -1 when a signal has ended it.
func (p *Process) ExitCode() int {
	<-p.done
	return p.cmd.ProcessState.ExitCode()
}

// Wait waits for the process's end and gives its exit code; a process that does not end fails the test.
func (p *Process) Wait() int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		p.t.Fatalf("the process has not ended; it printed:\n%s", p.Output())
	}
	return p.ExitCode()
}

// Output gives what the process has printed so far.
func (p *Process) Output() string { return p.output.String() }

func (p *Process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

const (
	// firstPort and lastPort bound the ports that FreePort gives.
	firstPort = 10_000
	lastPort  = 32_000
	portTries = 100
)

// usedAddresses are the addresses that FreePort has given.
var usedAddresses sync.Map

// FreePort gives an address of 127.0.0.1 that nothing listens at. It is outside the range from which the system takes
// the ports of outgoing connections, and differs from those given before.
func FreePort(t testing.TB) unit.Address {
	t.Helper()
	for range portTries {
		address := "127.0.0.1:" + strconv.Itoa(firstPort+rand.IntN(lastPort-firstPort))
		if _, given := usedAddresses.LoadOrStore(address, true); given {
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

// Eventually waits until check says true, or fails the test after limit.
func Eventually(t testing.TB, limit time.Duration, what string, check func() bool) {
	t.Helper()
	end := time.Now().Add(limit)
	for !check() {
		if time.Now().After(end) {
			t.Fatalf("not within %s: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func nodeName(i int) string { return "e" + strconv.Itoa(i+1) }
