// Package intake decides what an entry VM takes in of requests that are not whole yet: when a request may go on to the
// parser, when a connection is over its bounds, how fast it is read, and which connection gives way to others.
//
// It answers the load of callers that send without limits: input that never becomes a request costs no more than its own
// bytes, in sum over all connections, and ordinary callers come first.
package intake

import (
	"bytes"
	"strconv"

	"basilspan/internal/core/unit"
)

// Reason is why input is refused, or a connection closed for others.
type Reason string

// The reasons. None means that nothing is wrong.
const (
	None Reason = ""
	// Head means that the header or the trailer of a request is too large.
	Head Reason = "head"
	// Body means that the body of a request is too large.
	Body Reason = "body"
	// Framing means that the input is no request.
	Framing Reason = "framing"
	// Late means that a request has not come whole in time.
	Late Reason = "late"
	// Memory means that a connection had to leave its memory to others.
	Memory Reason = "memory"
	// Connections means that a connection had to leave its place to others.
	Connections Reason = "connections"
	// Unread means that a response was given up which its caller did not read, so that others find memory.
	Unread Reason = "unread"
)

// Limits bound one request. Zero means no bound.
type Limits struct {
	// Head bounds the bytes of the header, and of the trailer.
	Head unit.Bytes
	// Lines bounds the lines of the header, and of the trailer. Parsed lines take many times their bytes.
	Lines int
	// Body bounds the decoded body.
	Body unit.Bytes
	// Stream reports that the parser gets a body beyond Body as it comes, to refuse it, in place of what it states only.
	Stream bool
}

// phase is the part of a request that the next byte belongs to.
type phase int

const (
	phaseHead phase = iota
	phaseBody
	phaseChunkSize
	phaseChunk
	phaseTrailer
)

// maxKept is how many bytes of a line are kept; longer lines have no meaning for the framing.
const maxKept = 128

// chunkEnd is the length of the line end behind a chunk.
const chunkEnd = 2

// Meter follows the framing of the requests of one connection, byte by byte and without keeping them. The parser behind
// it decides what a request is: the meter only decides when the parser gets which bytes, so that a parser that reads a
// growing request again and again does it once. The zero value with its Limits is ready.
type Meter struct {
	Limits Limits

	phase phase
	// size and lines are those of the header or trailer so far, and body that of the decoded body.
	size  unit.Bytes
	lines int
	body  unit.Bytes
	// left is how many bytes of the body, or of a chunk with its line end, are still to come.
	left unit.Bytes
	// line is the start of the current line, and length its whole length without the line end.
	line   []byte
	length int
	// passing reports whether the rest of the body goes to the parser as it comes.
	passing bool
	// chunked, stated and expects are what the header says so far, and lengths how often it states a length.
	chunked bool
	stated  unit.Bytes
	lengths int
	expects bool
	fault   Reason
	// total is the number of lines of headers and trailers since Lines was last called.
	total int
}

// Lines returns how many lines of headers and trailers have come since it was last called.
func (m *Meter) Lines() int {
	n := m.total
	m.total = 0
	return n
}

// Whole reports whether no request is under way.
func (m *Meter) Whole() bool {
	return m.phase == phaseHead && m.size == 0
}

// AwaitsLeave reports whether the caller waits for leave to send a body within the bounds. The parser would reserve memory
// for all of it when it gives leave, and so gets the header only with the body, like that of other requests.
func (m *Meter) AwaitsLeave() bool {
	return m.expects && m.fault == None && !m.passing && (m.phase == phaseBody || m.phase == phaseChunkSize)
}

// Scan follows further input. The parser may have the first ready bytes of b, and everything before b if ready is above
// 0. Input behind a reason other than None is not for the parser.
func (m *Meter) Scan(b []byte) (ready int, reason Reason) {
	for i := 0; i < len(b) && m.fault == None; {
		n, release := m.step(b[i:])
		i += n
		if release {
			ready = i
		}
	}
	if m.fault == Body {
		// The parser refuses it itself, by what the request states.
		ready = len(b)
	}
	return ready, m.fault
}

// step follows the input up to the end of a line or of the part of the body that has come, and returns its length. release
// reports whether the parser may have it.
func (m *Meter) step(b []byte) (n int, release bool) {
	if m.phase == phaseBody || m.phase == phaseChunk {
		return m.skip(b)
	}
	n = bytes.IndexByte(b, '\n') + 1
	ended := n > 0
	if !ended {
		n = len(b)
	}
	m.keep(b[:n])
	m.size += unit.Bytes(n)
	if limit := m.Limits.Head; limit > 0 && m.size > limit && m.phase != phaseChunkSize || m.lineTooLong() {
		m.fault = Head
		return n, false
	}
	if !ended {
		return n, false
	}
	line := bytes.TrimSuffix(bytes.TrimSuffix(m.line, []byte("\n")), []byte("\r"))
	empty := m.length <= chunkEnd && len(line) == 0
	m.line, m.length = m.line[:0], 0
	return n, m.endLine(line, empty)
}

// lineTooLong reports whether the line of a chunk's size exceeds the bound on the header.
func (m *Meter) lineTooLong() bool {
	return m.phase == phaseChunkSize && m.Limits.Head > 0 && unit.Bytes(m.length) > m.Limits.Head
}

// keep adds input to the current line.
func (m *Meter) keep(b []byte) {
	m.length += len(b)
	m.line = append(m.line, b[:min(len(b), maxKept-len(m.line))]...)
}

// skip follows input of the body.
func (m *Meter) skip(b []byte) (n int, release bool) {
	n = int(min(m.left, unit.Bytes(len(b))))
	m.left -= unit.Bytes(n)
	if m.left > 0 {
		return n, m.passing
	}
	if m.phase == phaseChunk {
		m.phase = phaseChunkSize
		return n, m.passing
	}
	m.begin()
	return n, true
}

// endLine follows a whole line, and reports whether the parser may have it.
func (m *Meter) endLine(line []byte, empty bool) (release bool) {
	switch m.phase {
	case phaseChunkSize:
		return m.beginChunk(line)
	case phaseTrailer:
		if empty {
			m.begin()
			return true
		}
	case phaseHead:
		if empty {
			return m.endHead()
		}
		m.note(line)
	case phaseBody, phaseChunk:
	}
	m.lines++
	m.total++
	if m.Limits.Lines > 0 && m.lines > m.Limits.Lines {
		m.fault = Head
	}
	return false
}

// note records what a line of the header says of the request's end. A short first line names its protocol.
func (m *Meter) note(line []byte) {
	if m.lines == 0 {
		if !bytes.Contains(line, []byte(" HTTP/")) && len(line) < maxKept-chunkEnd {
			m.fault = Framing
		}
		return
	}
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return
	}
	switch value = bytes.TrimSpace(value); {
	case bytes.EqualFold(name, []byte("transfer-encoding")):
		m.chunked = m.chunked || string(value) != "identity"
	case bytes.EqualFold(name, []byte("content-length")):
		m.lengths++
		if n, err := strconv.ParseInt(string(value), 10, 63); err == nil && n >= 0 {
			m.stated = unit.Bytes(n)
		}
	case bytes.EqualFold(name, []byte("expect")):
		m.expects = m.expects || bytes.EqualFold(value, []byte("100-continue"))
	}
}

// endHead follows the empty line behind a header, and reports whether the parser may have the header now.
func (m *Meter) endHead() bool {
	switch {
	case m.lines == 0, m.lengths > 1 && !m.chunked:
		m.fault = Framing
		return false
	case m.chunked:
		m.phase, m.size, m.lines, m.stated = phaseChunkSize, 0, 0, 0
	case m.stated == 0:
		m.begin()
		return true
	default:
		m.phase, m.left = phaseBody, m.stated
		m.checkBody(m.stated)
	}
	return m.passing
}

// checkBody checks a body of n bytes against the bound.
func (m *Meter) checkBody(n unit.Bytes) {
	switch {
	case m.Limits.Body == 0 || n <= m.Limits.Body:
	case m.Limits.Stream:
		m.passing = true
	default:
		m.fault = Body
	}
}

// beginChunk follows the line with the size of a chunk.
func (m *Meter) beginChunk(line []byte) (release bool) {
	n, err := strconv.ParseInt(string(bytes.TrimRight(line, " ")), 16, 63)
	switch {
	case err != nil || n < 0:
		m.fault = Framing
		return false
	case n == 0:
		m.phase, m.size, m.lines = phaseTrailer, 0, 0
		return false
	}
	m.body += unit.Bytes(n)
	m.phase, m.left = phaseChunk, unit.Bytes(n)+chunkEnd
	m.checkBody(m.body)
	return m.passing
}

// begin begins the next request.
func (m *Meter) begin() {
	*m = Meter{Limits: m.Limits, line: m.line[:0], total: m.total}
}
