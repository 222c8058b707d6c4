package exchange

import (
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/config/folder"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/leaving"
	"basilspan/internal/policy/member"
	"basilspan/internal/policy/revision"
)

// newState returns a state with the records of n VMs.
func newState(n int) *State {
	state := &State{Config: Config{Version: revision.Version{Revision: 7, Digest: "58a92e28a1f3c1b4"}}}
	for i := range n {
		state.Records = append(state.Records, member.Record{
			Member: member.Member{
				ID:          unit.NodeID("entry-" + strconv.Itoa(i)),
				Incarnation: 1796381447878,
				Centre:      "amman",
				Peer:        unit.Address("10.0.0.1:" + strconv.Itoa(i+1)),
				State:       member.StateLive,
			},
			Beat: 100_000,
		})
	}
	return state
}

// TestHeartbeatRoundTrip checks that a heartbeat survives encoding and decoding.
func TestHeartbeatRoundTrip(t *testing.T) {
	state := newState(3)
	state.Leaving = []leaving.Sign{{Endpoint: "s0-a", Incarnation: 2, Address: "10.1.0.1:80"}}
	raw, err := json.Marshal(encodeHeartbeat("10.0.0.9:1", state))
	assert.NilError(t, err)
	var w wireHeartbeat
	assert.NilError(t, json.Unmarshal(raw, &w))
	heartbeat := decodeHeartbeat(unit.Address(w.From), w)
	assert.Equal(t, heartbeat.From, unit.Address("10.0.0.9:1"))
	assert.Equal(t, heartbeat.Version, state.Config.Version)
	assert.DeepEqual(t, heartbeat.Records, state.Records)
	assert.DeepEqual(t, heartbeat.Leaving, state.Leaving)
}

// TestHeartbeatSkipsRecordsWithoutID checks that records without an id or an incarnation are skipped.
func TestHeartbeatSkipsRecordsWithoutID(t *testing.T) {
	tests := []struct {
		name string
		wire string
		want int
	}{
		{"whole", `{"vms": [{"id": "a", "inc": 1}]}`, 1},
		{"no id", `{"vms": [{"inc": 1}]}`, 0},
		{"no incarnation", `{"vms": [{"id": "a"}]}`, 0},
	}
	for _, tt := range tests {
		var w wireHeartbeat
		assert.NilError(t, json.Unmarshal([]byte(tt.wire), &w))
		assert.Equal(t, len(decodeHeartbeat("", w).Records), tt.want, tt.name)
	}
}

// FuzzHeartbeat checks that no heartbeat that decodes makes the merge of its records panic.
func FuzzHeartbeat(f *testing.F) {
	f.Add([]byte(`{"from": "10.0.0.1:1", "rev": 3, "sum": "x", "vms": [{"id": "a", "inc": 1, "beat": 2, "state": "live"}]}`))
	f.Add([]byte(`{"vms": [{"id": "self", "inc": 18446744073709551615}], "leaving": [{"id": "e", "addr": "?"}]}`))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		var w wireHeartbeat
		if json.Unmarshal(raw, &w) != nil {
			return
		}
		heartbeat := decodeHeartbeat(unit.Address(w.From), w)
		table := member.New(member.Record{Member: member.Member{ID: "self", Incarnation: 1}})
		for _, r := range heartbeat.Records {
			table.Merge(time.Unix(0, 0), r)
		}
		table.Records()
	})
}

// TestFilesKeepTheirContent checks that the files of a configuration survive encoding and decoding.
func TestFilesKeepTheirContent(t *testing.T) {
	files := []folder.File{{Name: "10.json", Content: []byte(`{"a": "\u00e9"}`)}, {Name: "20.json", Content: []byte("\n")}}
	assert.DeepEqual(t, decodeFiles(encodeFiles(files)), files)
	// An empty configuration must not look like a failed fetch, which has nil files.
	assert.Assert(t, decodeFiles(nil) != nil)
}

// BenchmarkHeartbeat measures the cost of one heartbeat for its sender and its receiver together, in a fleet of n VMs.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{7, 100, 1000, 7900} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			state := newState(n)
			table := member.New(member.Record{Member: member.Member{ID: "self", Incarnation: 1}})
			now := time.Unix(0, 0)
			size := 0
			for b.Loop() {
				raw, err := json.Marshal(encodeHeartbeat("10.0.0.9:1", state))
				assert.NilError(b, err)
				size = len(raw)
				var w wireHeartbeat
				assert.NilError(b, json.Unmarshal(raw, &w))
				for i := range state.Records {
					state.Records[i].Beat++
				}
				for _, r := range decodeHeartbeat("", w).Records {
					table.Merge(now, r)
				}
			}
			b.ReportMetric(float64(size), "bytes")
			b.ReportMetric(float64(size)/float64(n), "bytes/member")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/member")
		})
	}
}
