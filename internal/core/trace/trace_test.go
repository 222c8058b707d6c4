package trace

import (
	"bytes"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/fanout"
	"basilspan/internal/policy/rank"
	"basilspan/internal/policy/replay"
)

// testStart is the current time of newTestRecorder.
var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newTestRecorder returns a recorder whose clock stands at testStart.
func newTestRecorder() *Recorder {
	return New(func() time.Time { return testStart })
}

// fill sets every field under v to a non-zero value, so that a field without a wire form is detected as lost.
func fill(t *testing.T, v reflect.Value, n *int) {
	t.Helper()
	*n++
	switch v.Kind() {
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[time.Time]() {
			v.Set(reflect.ValueOf(epoch.Add(time.Duration(*n)*time.Millisecond + 7)))
			return
		}
		for i := range v.NumField() {
			fill(t, v.Field(i), n)
		}
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			v.SetBytes([]byte("digest" + strconv.Itoa(*n)))
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(t, v.Index(0), n)
		fill(t, v.Index(1), n)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(t, key, n)
		fill(t, value, n)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString("text" + strconv.Itoa(*n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(*n) / 1024)
	case reflect.Int, reflect.Int64:
		if v.Type() == reflect.TypeFor[fanout.ActionKind]() {
			v.SetInt(int64(fanout.ActionSend))
			return
		}
		v.SetInt(int64(*n))
	case reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*n))
	default:
		t.Fatalf("fill does not support type %s", v.Type())
	}
}

// TestEncodeKeepsEveryField encodes and decodes records whose fields are all set. It fails when a field was added to
// an input or outcome but not to the trace format.
func TestEncodeKeepsEveryField(t *testing.T) {
	var query fanout.Query
	var plan fanout.Plan
	var reply fanout.Reply
	var answer fanout.Answer
	var offer replay.Offer
	var actions []fanout.Action
	var gate replay.Gate
	n := 0
	for _, v := range []any{&query, &plan, &reply, &answer, &offer, &actions, &gate} {
		fill(t, reflect.ValueOf(v).Elem(), &n)
	}
	tests := []replay.Record{
		{Line: 2, Run: 1, Kind: replay.KindPlan, Fanout: &replay.Fanout{Query: query, Plan: plan}},
		{Line: 3, Run: 1, Kind: replay.KindStart, Fanout: &replay.Fanout{Actions: actions}},
		{Line: 4, Run: 1, Kind: replay.KindReply, Fanout: &replay.Fanout{Reply: reply, Actions: actions}},
		{Line: 5, Run: 1, Kind: replay.KindTick, Fanout: &replay.Fanout{Actions: actions}},
		{Line: 6, Run: 1, Kind: replay.KindStop, Fanout: &replay.Fanout{Code: unit.CodeCancelled, Actions: actions}},
		{Line: 7, Run: 1, Kind: replay.KindAnswer, Fanout: &replay.Fanout{Answer: answer}},
		{Line: 8, Kind: replay.KindOffer, Offer: &offer},
		{Line: 9, Run: 2, Kind: replay.KindGate, Gate: &replay.Gate{Search: gate.Search}},
		{Line: 10, Run: 2, Kind: replay.KindChange, Gate: &replay.Gate{Settings: gate.Settings, Decisions: gate.Decisions}},
		{Line: 11, Run: 2, Kind: replay.KindTicket, Gate: &replay.Gate{Ticket: gate.Ticket, Decisions: gate.Decisions}},
		{Line: 12, Run: 2, Kind: replay.KindDone, Gate: &replay.Gate{Rank: gate.Rank, Took: gate.Took}},
		{Line: 13, Run: 2, Kind: replay.KindWithdraw, Gate: &replay.Gate{
			Ticket: rank.Ticket{ID: gate.Ticket.ID, Deadline: epoch}, WasWaiting: gate.WasWaiting,
		}},
		{Line: 14, Kind: replay.KindEnd, Dropped: 3},
	}
	var b bytes.Buffer
	e := NewEncoder(&b, epoch)
	for i := range tests {
		tests[i].At = epoch.Add(time.Duration(i) * 1001 * time.Nanosecond)
		assert.NilError(t, e.Encode(tests[i]))
	}
	got, err := Decode(&b)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, tests)
}

// TestDecodeErrors checks that a damaged trace is rejected with an error that names the line or the field.
func TestDecodeErrors(t *testing.T) {
	header := `{"kind":"trace","version":1}` + "\n"
	tests := []struct {
		name, text, want string
	}{
		{"nothing", "", "the trace is empty"},
		{"no header", `{"kind":"plan","at":0}`, "line 1"},
		{"another version", `{"kind":"trace","version":2}`, "version 1"},
		{"an unknown field", header + `{"kind":"tick","at":0,"colour":1}`, "line 2"},
		{"an unknown kind", header + `{"kind":"nap","at":0}`, "unknown kind"},
		{"a plan without its query", header + `{"kind":"plan","at":0,"plan":{"snapshot":1,"shards":[]}}`, "query and plan"},
		{"a reply without its fields", header + `{"kind":"reply","at":0}`, "reply"},
		{"an answer without its fields", header + `{"kind":"answer","at":0}`, "answer"},
		{"an offer without its fields", header + `{"kind":"offer","at":0}`, "offer"},
		{"an unknown action", header + `{"kind":"tick","at":0,"actions":[{"kind":"nap"}]}`, "unknown kind"},
		{"truncated line", header + `{"kind":"tick","at`, "line 2"},
		{"two values on a line", header + `{"kind":"tick","at":0} {"kind":"tick","at":0}`, "more than one"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Decode(strings.NewReader(tt.text))
			assert.ErrorContains(t, err, tt.want)
		})
	}
}

// TestNoRecordsWithoutCapture checks that the log of a query is nil without a capture, and that its methods still
// return their arguments.
func TestNoRecordsWithoutCapture(t *testing.T) {
	r := newTestRecorder()
	log := r.NewFanoutLog(testStart, fanout.Query{}, fanout.Plan{})
	assert.Assert(t, log == nil)
	actions := []fanout.Action{{Kind: fanout.ActionSend}}
	assert.DeepEqual(t, log.RecordStart(testStart, actions), actions)
	assert.DeepEqual(t, log.RecordReply(testStart, fanout.Reply{}, actions), actions)
	assert.Equal(t, log.RecordAnswer(testStart, fanout.Answer{ID: "r"}).ID, unit.RequestID("r"))
	var none *Recorder
	assert.Assert(t, none.NewFanoutLog(testStart, fanout.Query{}, fanout.Plan{}) == nil)
}

// TestOneCaptureAtATime checks that a second capture is rejected while the first one runs, and that a capture
// can be ended twice.
func TestOneCaptureAtATime(t *testing.T) {
	r := newTestRecorder()
	first, err := r.BeginCapture()
	assert.NilError(t, err)
	_, err = r.BeginCapture()
	assert.ErrorIs(t, err, ErrBusy)
	r.EndCapture(first)
	second, err := r.BeginCapture()
	assert.NilError(t, err)
	r.EndCapture(first)
	r.EndCapture(second)
}

// TestCaptureDropsWholeQueries fills a capture that nobody reads. Only whole queries may be dropped, and the end
// record must count all dropped records.
func TestCaptureDropsWholeQueries(t *testing.T) {
	r := newTestRecorder()
	c, err := r.BeginCapture()
	assert.NilError(t, err)
	const steps = 100
	const queries = maxPendingRecords/steps + 10
	for range queries {
		log := r.NewFanoutLog(testStart, fanout.Query{Deadline: testStart.Add(time.Second)}, fanout.Plan{})
		for range steps - 2 {
			log.RecordTick(testStart, nil)
		}
		log.RecordAnswer(testStart, fanout.Answer{})
	}
	assert.Assert(t, c.Dropped() > 0)
	assert.Equal(t, c.Dropped()%steps, int64(0))
	r.EndCapture(c)
	var b bytes.Buffer
	assert.NilError(t, c.Write(&b))
	records, err := Decode(&b)
	assert.NilError(t, err)
	last := records[len(records)-1]
	assert.Equal(t, last.Kind, replay.KindEnd)
	assert.Equal(t, last.Dropped, c.Dropped())
	assert.Equal(t, int64(len(records)-1)+last.Dropped, int64(queries*steps))
}

// FuzzDecode checks that a decoded trace encodes to records that decode to the same kinds, times and offers.
func FuzzDecode(f *testing.F) {
	f.Add(`{"kind":"trace","version":1}` + "\n" +
		`{"kind":"tick","run":1,"at":1.5,"actions":[{"kind":"send","attempt":1}]}`)
	f.Add(`{"kind":"trace","version":1}` + "\n" +
		`{"kind":"offer","at":0,"offer":{"offered":{"revision":2},"valid":true}}`)
	f.Fuzz(func(t *testing.T, text string) {
		first, err := Decode(strings.NewReader(text))
		if err != nil {
			return
		}
		replay.Run(first)
		var b bytes.Buffer
		e := NewEncoder(&b, epoch)
		for _, r := range first {
			if r.At.Sub(epoch).Abs() > 24*time.Hour {
				return
			}
			assert.NilError(t, e.Encode(r))
		}
		if len(first) == 0 {
			return
		}
		second, err := Decode(&b)
		assert.NilError(t, err)
		assert.Equal(t, len(second), len(first))
		for i := range first {
			assert.Equal(t, second[i].Kind, first[i].Kind)
			assert.Assert(t, second[i].At.Equal(first[i].At))
			if first[i].Offer != nil {
				assert.DeepEqual(t, second[i].Offer, first[i].Offer)
			}
		}
	})
}
