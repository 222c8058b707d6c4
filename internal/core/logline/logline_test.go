package logline

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// output is a writer that blocks until hold is closed, if hold is set.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
	hold chan struct{}
}

func (o *output) Write(p []byte) (int, error) {
	if o.hold != nil {
		<-o.hold
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// TestMessageRateLimit checks that the lines of one message are limited in each second and that suppressed lines are counted.
func TestMessageRateLimit(t *testing.T) {
	second := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	tests := []struct {
		name string
		// lines holds the number of lines logged in each second, by message.
		lines []map[string]int
		want  map[string]int
		// left are the texts that report suppressed lines.
		left []string
	}{
		{"few", []map[string]int{{"a": 3}}, map[string]int{"a": 3}, nil},
		{
			"many of one message",
			[]map[string]int{{"a": 100, "b": 2}, {"b": 1}},
			map[string]int{"a": maxLinesPerSecond, "b": 3},
			[]string{`"of":"a","count":60`},
		},
		{
			"the next second has a limit of its own",
			[]map[string]int{{"a": 100}, {"a": 100}, {"b": 1}},
			map[string]int{"a": 2 * maxLinesPerSecond, "b": 1},
			[]string{`"of":"a","count":60`},
		},
		{
			"Close reports the last second",
			[]map[string]int{{"a": 100}},
			map[string]int{"a": maxLinesPerSecond},
			[]string{`"of":"a","count":60`},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			out := &output{}
			w := NewWriter(out)
			h := NewHandler(w, slog.LevelInfo)
			for i, messages := range tt.lines {
				for message, n := range messages {
					for range n {
						r := slog.NewRecord(second.Add(time.Duration(i)*time.Second), slog.LevelInfo, message, 0)
						assert.NilError(t, h.Handle(t.Context(), r))
					}
				}
			}
			assert.NilError(t, h.Close())
			assert.NilError(t, w.Close())
			text := out.text.String()
			for message, n := range tt.want {
				assert.Equal(t, strings.Count(text, `"msg":"`+message+`"`), n)
			}
			for _, line := range tt.left {
				assert.Assert(t, strings.Contains(text, line), text)
			}
		})
	}
}

// TestWriteNeverBlocks checks that a blocked output does not block those who log, and that dropped lines are counted.
func TestWriteNeverBlocks(t *testing.T) {
	out := &output{hold: make(chan struct{})}
	w := NewWriter(out)
	line := strings.Repeat("x", 1023) + "\n"
	for range 2 * queueSize {
		_, err := io.WriteString(w, line)
		assert.NilError(t, err)
	}
	lost := w.Dropped()
	// The queue is full; one batch and one further line have left it.
	assert.Assert(t, lost >= int64(queueSize-maxBatchBytes/len(line)-1), "%d lines dropped", lost)
	close(out.hold)
	assert.NilError(t, w.Close())
	assert.Equal(t, int64(strings.Count(out.text.String(), "\n")), 2*queueSize-lost)
}
