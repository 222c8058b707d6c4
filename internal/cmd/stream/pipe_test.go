package stream

import (
	"bytes"
	"io"
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"basilspan/internal/standin/blocked"
)

// TestFullPipeBlocksNoThread guards against timers that fire late since the reader of the log lines is slow.
func TestFullPipeBlocksNoThread(t *testing.T) {
	tests := []struct {
		name    string
		open    func(f *os.File) (io.Writer, func())
		blocked int
	}{
		{"the standard output as it is", func(f *os.File) (io.Writer, func()) { return f, func() {} }, 1},
		{"polled", func(f *os.File) (io.Writer, func()) { return Polled(f) }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var fds [2]int
			assert.NilError(t, syscall.Pipe2(fds[:], syscall.O_CLOEXEC))
			r, f := os.NewFile(uintptr(fds[0]), "r"), os.NewFile(uintptr(fds[1]), "w")
			w, closeWriter := tt.open(f)
			want := bytes.Repeat([]byte("line\n"), 1<<18)
			wrote := make(chan error, 1)
			go func() {
				_, err := w.Write(want)
				closeWriter()
				_ = f.Close()
				wrote <- err
			}()
			awaitFull(t, fds[0])
			assert.Equal(t, len(blocked.InSystemCall()), tt.blocked)
			got, err := io.ReadAll(r)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, want))
			assert.NilError(t, <-wrote)
			assert.NilError(t, r.Close())
		})
	}
}

// awaitFull waits until the pipe with this read end holds as many bytes as it can, so that its writer has to wait.
func awaitFull(t *testing.T, fd int) {
	t.Helper()
	size, err := unix.FcntlInt(uintptr(fd), unix.F_GETPIPE_SZ, 0)
	assert.NilError(t, err)
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		n, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
		assert.NilError(t, err)
		if n == size {
			return
		}
		assert.Assert(t, time.Now().Before(end), "%d of %d bytes in the pipe", n, size)
	}
}

// TestPolledKeepsOthers checks that a writer that is no pipe is returned as it is.
func TestPolledKeepsOthers(t *testing.T) {
	regular, err := os.CreateTemp(t.TempDir(), "out")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, regular.Close()) }()
	tests := []struct {
		name string
		w    io.Writer
	}{
		{"a buffer", &bytes.Buffer{}},
		{"a regular file", regular},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w, closeWriter := Polled(tt.w)
			closeWriter()
			assert.Assert(t, w == tt.w)
		})
	}
}
