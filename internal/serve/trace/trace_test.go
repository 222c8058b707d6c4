package trace

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"gotest.tools/v3/assert"

	"basilspan/internal/core/trace"
)

func TestParseDuration(t *testing.T) {
	tests := []struct {
		text string
		want time.Duration
		ok   bool
	}{
		{"", defaultDuration, true},
		{"0.5", 500 * time.Millisecond, true},
		{"600", maxDuration, true},
		{"0", 0, false},
		{"-1", 0, false},
		{"601", 0, false},
		{"NaN", 0, false},
		{"soon", 0, false},
	}
	for _, tt := range tests {
		got, ok := parseDuration(tt.text)
		assert.Equal(t, got, tt.want, tt.text)
		assert.Equal(t, ok, tt.ok, tt.text)
	}
}

// TestOneTraceAtATime has a second caller come during a trace that nobody reads, and then a planned stop.
func TestOneTraceAtATime(t *testing.T) {
	tests := []struct {
		uri  string
		want int
	}{
		{"/trace?seconds=0", http.StatusBadRequest},
		{"/trace?seconds=600", http.StatusOK},
		{"/trace?seconds=1", http.StatusConflict},
	}
	p := New(trace.New(time.Now))
	for _, tt := range tests {
		rc := app.NewContext(0)
		rc.Request.SetRequestURI(tt.uri)
		p.Handle(context.Background(), rc)
		assert.Equal(t, rc.Response.StatusCode(), tt.want, tt.uri)
	}
	p.Close()
	_, err := p.recorder.BeginCapture()
	assert.NilError(t, err)
}
