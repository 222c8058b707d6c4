package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"basilspan/internal/policy/replay"
)

const (
	// formatVersion is the version of the trace format.
	formatVersion = 1
	// kindHeader is the kind of the first line, which holds the version.
	kindHeader = "trace"
	// maxLineBytes is the length of the longest line that Decode accepts, in bytes.
	maxLineBytes = 4 << 20
)

// epoch is the start time of a decoded trace. Only the differences between the times of a trace matter.
var epoch = time.Unix(0, 0).UTC()

// offset is a time in microseconds since the start of a trace. Its fraction keeps the nanoseconds, so that a decision
// close to a deadline is replayed as it was made.
type offset float64

// offsetSince returns the offset of the time at in a trace that began at start.
func offsetSince(start, at time.Time) offset {
	return toOffset(at.Sub(start))
}

// toOffset returns a duration in microseconds.
func toOffset(d time.Duration) offset {
	return offset(d) / offset(time.Microsecond)
}

// time returns o as a time of a decoded trace.
func (o offset) time() time.Time {
	return epoch.Add(o.duration())
}

// duration returns o as a duration. Values outside the range of a duration, which no recorder writes, become the
// longest duration.
func (o offset) duration() time.Duration {
	ns := math.Round(float64(o) * float64(time.Microsecond))
	if ns >= math.MaxInt64 || ns <= math.MinInt64 {
		return math.MaxInt64
	}
	return time.Duration(ns)
}

type (
	// wireHeader is the first line of a trace.
	wireHeader struct {
		Kind    string `json:"kind"`
		Version int    `json:"version"`
	}

	// wireRecord is any other line: one record. Which fields are present depends on its kind.
	wireRecord struct {
		Kind    string       `json:"kind"`
		Run     uint64       `json:"run,omitempty"`
		At      offset       `json:"at"`
		Query   *wireQuery   `json:"query,omitempty"`
		Plan    *wirePlan    `json:"plan,omitempty"`
		Reply   *wireReply   `json:"reply,omitempty"`
		Code    int          `json:"code,omitempty"`
		Actions []wireAction `json:"actions,omitempty"`
		Answer  *wireAnswer  `json:"answer,omitempty"`
		Offer   *wireOffer   `json:"offer,omitempty"`
		Gate    *wireGate    `json:"gate,omitempty"`
		Dropped int64        `json:"dropped,omitempty"`
	}
)

// Encoder writes records as lines of JSON.
type Encoder struct {
	start         time.Time
	json          *json.Encoder
	headerWritten bool
}

// NewEncoder returns an encoder of a trace that began at start.
func NewEncoder(w io.Writer, start time.Time) *Encoder {
	return &Encoder{start: start, json: json.NewEncoder(w)}
}

// WriteHeader writes the header of the trace unless it has been written.
func (e *Encoder) WriteHeader() error {
	if e.headerWritten {
		return nil
	}
	e.headerWritten = true
	return errors.Wrap(e.json.Encode(wireHeader{Kind: kindHeader, Version: formatVersion}), "write trace header")
}

// Encode writes one record, and the header before the first one.
func (e *Encoder) Encode(r replay.Record) error {
	if err := e.WriteHeader(); err != nil {
		return err
	}
	return errors.Wrap(e.json.Encode(encodeRecord(e.start, r)), "write trace record")
}

// Decode reads a whole trace. Errors name the line.
func Decode(r io.Reader) ([]replay.Record, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	var records []replay.Record
	n := 0
	for lines.Scan() {
		n++
		if n == 1 {
			if err := checkHeader(lines.Bytes()); err != nil {
				return nil, err
			}
			continue
		}
		var w wireRecord
		if err := decodeStrict(lines.Bytes(), &w); err != nil {
			return nil, errors.Wrapf(err, "line %d", n)
		}
		record, err := w.decode()
		if err != nil {
			return nil, errors.Wrapf(err, "line %d", n)
		}
		record.Line = n
		records = append(records, record)
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrapf(err, "line %d", n+1)
	}
	if n == 0 {
		return nil, errors.New("the trace is empty")
	}
	return records, nil
}

// checkHeader returns an error unless the first line is the header of a trace of this format version.
func checkHeader(line []byte) error {
	var w wireHeader
	if err := decodeStrict(line, &w); err != nil {
		return errors.Wrap(err, "line 1: not a trace header")
	}
	if w.Kind != kindHeader || w.Version != formatVersion {
		return errors.Newf("line 1: not a trace of version %d", formatVersion)
	}
	return nil
}

// decodeStrict decodes a line that must be a single JSON value without unknown fields.
func decodeStrict(line []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(line))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if d.More() {
		return errors.New("more than one JSON value")
	}
	return nil
}

// encodeRecord returns the wire form of a record with the fields of its kind.
func encodeRecord(start time.Time, r replay.Record) wireRecord {
	w := wireRecord{Kind: string(r.Kind), Run: uint64(r.Run), At: offsetSince(start, r.At), Dropped: r.Dropped}
	if r.Offer != nil {
		w.Offer = encodeOffer(*r.Offer)
	}
	if r.Gate != nil {
		w.Gate = encodeGate(start, r.Kind, *r.Gate)
	}
	if r.Fanout == nil {
		return w
	}
	switch r.Kind {
	case replay.KindPlan:
		w.Query = encodeQuery(start, r.Fanout.Query)
		w.Plan = encodePlan(r.Fanout.Plan)
	case replay.KindReply:
		w.Reply = encodeReply(r.Fanout.Reply)
	case replay.KindStop:
		w.Code = int(r.Fanout.Code)
	case replay.KindAnswer:
		w.Answer = encodeAnswer(r.Fanout.Answer)
	}
	w.Actions = encodeActions(r.Fanout.Actions)
	return w
}
