package merge

import (
	"bytes"
	"math"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// makeRecord returns a record that begins with text.
func makeRecord(text string) string {
	return text + strings.Repeat(".", RecordSize-len(text))
}

func TestTopRecords(t *testing.T) {
	tests := []struct {
		name  string
		n     int
		parts []string
		want  string
	}{
		{"nothing", 3, nil, ""},
		{
			"fewer records than requested", 3,
			[]string{makeRecord("a") + makeRecord("c"), makeRecord("b")},
			makeRecord("c") + makeRecord("b") + makeRecord("a"),
		},
		{
			"more records than requested", 2,
			[]string{makeRecord("a") + makeRecord("c"), makeRecord("b")},
			makeRecord("c") + makeRecord("b"),
		},
		{
			"equal records all count", 3,
			[]string{makeRecord("b"), makeRecord("b") + makeRecord("a"), makeRecord("b")},
			makeRecord("b") + makeRecord("b") + makeRecord("b"),
		},
		{"a remainder shorter than a record", 2, []string{makeRecord("a") + "zzz", "zzz"}, makeRecord("a")},
		{"more records requested than fit into memory", 1 << 40, []string{makeRecord("a")}, makeRecord("a")},
		{"the largest number of records requested", math.MaxInt, []string{makeRecord("a")}, makeRecord("a")},
		{"a negative number of records requested", -1, []string{makeRecord("a")}, ""},
		{"no records requested", 0, []string{makeRecord("a")}, ""},
		{"bytes compare unsigned", 1, []string{makeRecord("\x7f"), makeRecord("\xff")}, makeRecord("\xff")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var parts [][]byte
			for _, p := range tt.parts {
				parts = append(parts, []byte(p))
			}
			assert.Equal(t, string(TopRecords(tt.n, parts)), tt.want)
		})
	}
}

// TestTopRecordsMatchesSort checks that the result is the same as sorting all records and taking the first n.
func TestTopRecordsMatchesSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 100), 0, 8).Draw(t, "parts")
		n := rapid.IntRange(0, 20).Draw(t, "n")
		var all [][]byte
		for _, p := range parts {
			for ; len(p) >= RecordSize; p = p[RecordSize:] {
				all = append(all, p[:RecordSize])
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(all[:min(n, len(all))], nil)
		if got := TopRecords(n, parts); !bytes.Equal(got, want) {
			t.Fatalf("got %x, want %x", got, want)
		}
	})
}
