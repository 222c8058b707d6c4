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
	// formatVersion is the version of the format.
	formatVersion = 1
	// kindHeader is the kind of the first line, which holds the version.
	kindHeader = "trace"
	// maxLineBytes is the longest line that is read, in bytes.
	maxLineBytes = 4 << 20
)

// epoch is what a decoded trace counts its times from; only the distances between its times matter.
var epoch = time.Unix(0, 0).UTC()

// offset is a time as microseconds from the start of a trace. Its fraction keeps the nanoseconds, so that a decision
// at the very edge of a deadline replays as it was.
type offset float64

func offsetSince(start, at time.Time) offset {
	return toOffset(at.Sub(start))
}

func toOffset(d time.Duration) offset {
	return offset(d) / offset(time.Microsecond)
}

func (o offset) time() time.Time {
	return epoch.Add(o.duration())
}

// duration gives o as a duration, which saturates for numbers that no recorder writes.
func (o offset) duration() time.Duration {
	ns := math.Round(float64(o) * float64(time.Microsecond))
	if ns >= math.MaxInt64 || ns <= math.MinInt64 {
		return math.MaxInt64
	}
	return time.Duration(ns)
}

type (
	wireHeader struct {
		Kind    string `json:"kind"`
		Version int    `json:"version"`
	}

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

// Encoder writes records as lines.
type Encoder struct {
	start         time.Time
	json          *json.Encoder
	headerWritten bool
}

// NewEncoder makes an encoder of a trace that started then.
func NewEncoder(w io.Writer, start time.Time) *Encoder {
	return &Encoder{start: start, json: json.NewEncoder(w)}
}

// WriteHeader writes the head of the trace, unless it is written already.
func (e *Encoder) WriteHeader() error {
	if e.headerWritten {
		return nil
	}
	e.headerWritten = true
	return errors.Wrap(e.json.Encode(wireHeader{Kind: kindHeader, Version: formatVersion}), "write the head of a trace")
}

// Encode writes one record; the first call writes the trace's head before it.
func (e *Encoder) Encode(r replay.Record) error {
	if err := e.WriteHeader(); err != nil {
		return err
	}
	return errors.Wrap(e.json.Encode(encodeRecord(e.start, r)), "write a record of a trace")
}

// Decode reads a whole trace. An error names the line.
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

// checkHeader checks the first line.
func checkHeader(line []byte) error {
	var w wireHeader
	if err := decodeStrict(line, &w); err != nil {
		return errors.Wrap(err, "line 1: not the head of a trace")
	}
	if w.Kind != kindHeader || w.Version != formatVersion {
		return errors.Newf("line 1: not a trace of version %d", formatVersion)
	}
	return nil
}

// decodeStrict decodes one JSON value that may hold known fields only.
func decodeStrict(line []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(line))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if d.More() {
		return errors.New("more than one value")
	}
	return nil
}

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
