package stream

import (
	"fmt"
	"io"
	"os"
	"syscall"
)

// Polled returns a writer to the same pipe as w that waits in the poller of the Go runtime while the pipe is full. A
// write to the standard output or error waits in a system call instead, which delays the timers of a process with one
// thread for Go code. It returns w itself if that is no pipe. The caller closes the writer with close.
//
// A write to a pipe that nobody reads any more returns an error, where one to the standard output ends the process.
func Polled(w io.Writer) (polled io.Writer, closePolled func()) {
	f, ok := w.(*os.File)
	if !ok {
		return w, func() {}
	}
	info, err := f.Stat()
	if err != nil || info.Mode()&os.ModeNamedPipe == 0 {
		return w, func() {}
	}
	again, err := reopen(f)
	if err != nil {
		return w, func() {}
	}
	return again, func() { _ = again.Close() }
}

// reopen opens a pipe once more for writing. The mode without blocking of f itself may be shared with other processes.
func reopen(f *os.File) (*os.File, error) {
	conn, err := f.SyscallConn()
	if err != nil {
		return nil, err
	}
	var name string
	if err := conn.Control(func(fd uintptr) { name = fmt.Sprintf("/proc/self/fd/%d", fd) }); err != nil {
		return nil, err
	}
	return os.OpenFile(name, os.O_WRONLY|syscall.O_NONBLOCK, 0)
}
