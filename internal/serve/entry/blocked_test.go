package entry

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"gotest.tools/v3/assert"

	"basilspan/internal/config/process"
	"basilspan/internal/standin/blocked"
)

// TestNoGoroutineWaitsInSystemCall guards against timers that fire late since a goroutine waits in a system call.
func TestNoGoroutineWaitsInSystemCall(t *testing.T) {
	hlog.SetOutput(io.Discard)
	settings := process.Settings{
		Node: "e1", Centre: "here", Caller: "127.0.0.1:0", Operator: "127.0.0.1:0", Peer: "127.0.0.1:0",
		Platform: "127.0.0.1:1",
	}
	e, err := New(settings, Options{Now: time.Now, Log: slog.New(slog.DiscardHandler)})
	assert.NilError(t, err)
	assert.NilError(t, e.Start(context.Background()))
	defer func() { assert.NilError(t, e.Close()) }()
	assert.DeepEqual(t, blocked.InSystemCall(), []string(nil))
}
