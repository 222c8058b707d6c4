package peer

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"basilspan/internal/core/memory"
	"basilspan/internal/core/unit"
	"basilspan/internal/policy/intake"
)

// maxMessageBytes is the size of the largest message that is read from a peer. It exceeds that of the largest message
// that is written, which is maxPendingBytes.
const maxMessageBytes = 2 * maxPendingBytes

// errOversized means that a peer has sent a message that is too large.
var errOversized = errors.New("the message of the peer is too large")

// errNoMemory means that too little memory is free for a message.
var errNoMemory = errors.New("too little memory is free for the message of the peer")

// maxKeptIncoming is the size of the largest message behind which the decoder's buffer is kept, on connections that others
// have opened, and maxKeptOutgoing that on this VM's own, of which it has one to each peer.
const (
	maxKeptIncoming = 4 << 10
	maxKeptOutgoing = 64 << 10
)

// jsonSpace has the white space between JSON values. Encoders end a message with some.
const jsonSpace = " \t\r\n"

// boundedStream is a stream of JSON-RPC messages that bounds the size of each message as it is read. The JSON decoder
// would collect a message of any size, and keep the buffer for as long as the connection is open.
type boundedStream struct {
	jsonrpc2.ObjectStream
	conn *boundedConn
	// hold is what the connection holds of the account of its link.
	hold *memory.Hold
	// decoder reads the messages. It keeps what it has read of a message, and is dropped at the first error. offset is where
	// the next message begins in its input.
	decoder *json.Decoder
	offset  int64
	// maxKept is the size of the largest message behind which the decoder is kept.
	maxKept int64
	// message is what the account is charged for the last message, until it is handled.
	message unit.Bytes
	// ended is closed when nothing more is read: at the first error, or at Close between two messages.
	ended chan struct{}

	mu sync.Mutex
	// reading reports whether ReadObject runs, and closed whether Close has been called.
	reading, closed bool
}

// newBoundedStream returns a stream over c, whose messages take memory from hold as they are read. It keeps the buffer for
// messages of up to maxKept bytes.
func newBoundedStream(c io.ReadWriteCloser, hold *memory.Hold, maxKept int64) *boundedStream {
	conn := &boundedConn{ReadWriteCloser: c, hold: hold}
	return &boundedStream{
		ObjectStream: jsonrpc2.NewBufferedStream(conn, jsonrpc2.PlainObjectCodec{}),
		conn:         conn,
		hold:         hold,
		maxKept:      maxKept,
		decoder:      json.NewDecoder(conn),
		ended:        make(chan struct{}),
	}
}

// ReadObject reads the next message into the value that v points to. The one before it has been handled, or claimed.
func (s *boundedStream) ReadObject(v any) error {
	s.mu.Lock()
	s.reading = true
	s.mu.Unlock()
	err := s.read(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading = false
	if err != nil || s.closed {
		s.end()
	}
	return err
}

// Close closes the connection. A ReadObject that runs returns an error.
func (s *boundedStream) Close() error {
	s.mu.Lock()
	s.closed = true
	if !s.reading {
		s.end()
	}
	s.mu.Unlock()
	return s.ObjectStream.Close()
}

// end closes ended. The caller holds mu.
func (s *boundedStream) end() {
	select {
	case <-s.ended:
	default:
		close(s.ended)
	}
}

// read is ReadObject without the record of whether it runs.
func (s *boundedStream) read(v any) error {
	if s.decoder == nil {
		return net.ErrClosed
	}
	s.dropMessage()
	s.conn.left = maxMessageBytes
	if err := s.decoder.Decode(v); err != nil {
		s.decoder = nil
		s.hold.Return(intake.Holding{Input: s.conn.unread}.Charge())
		return err
	}
	n := s.decoder.InputOffset() - s.offset + s.bufferedSpace()
	s.offset += n
	s.conn.unread -= unit.Bytes(n)
	s.message = intake.Holding{Input: unit.Bytes(n)}.Charge()
	if n <= s.maxKept {
		return nil
	}
	// Reading from a buffer does not fail.
	buffered, _ := io.ReadAll(s.decoder.Buffered())
	s.conn.rest = bytes.TrimLeft(buffered, jsonSpace)
	s.decoder, s.offset = json.NewDecoder(s.conn), 0
	return nil
}

// bufferedSpace returns the length of the white space behind the last message that has been read.
func (s *boundedStream) bufferedSpace() (n int64) {
	buffered := s.decoder.Buffered()
	var next [1]byte
	for {
		if read, _ := buffered.Read(next[:]); read == 0 || !strings.Contains(jsonSpace, string(next[:])) {
			return n
		}
		n++
	}
}

// dropMessage gives back what the last message takes, unless it has been claimed.
func (s *boundedStream) dropMessage() {
	s.hold.Return(s.message)
	s.message = 0
}

// claim passes on the charge for the last message, a call, to its handling, with that for the handling itself. The caller
// returns the charge to the hold. ok is false if too little memory is free to handle it.
func (s *boundedStream) claim() (charge unit.Bytes, ok bool) {
	call := intake.Holding{Calls: 1}.Charge()
	if !s.hold.Take(call) {
		return 0, false
	}
	charge, s.message = s.message+call, 0
	return charge, true
}

// boundedConn reads at most left bytes. Only the goroutine that reads the messages uses left and rest.
type boundedConn struct {
	io.ReadWriteCloser
	left int
	// rest is what an earlier decoder has read too much. It is read first, and has been charged.
	rest []byte
	// unread is how many bytes have been read and charged that are no part of a message yet.
	unread unit.Bytes
	hold   *memory.Hold
}

func (c *boundedConn) Read(p []byte) (int, error) {
	if len(c.rest) > 0 {
		n := copy(p, c.rest)
		if c.rest = c.rest[n:]; len(c.rest) == 0 {
			c.rest = nil
		}
		return n, nil
	}
	if c.left <= 0 {
		return 0, errOversized
	}
	n, err := c.ReadWriteCloser.Read(p[:min(len(p), c.left)])
	c.left -= n
	if !c.hold.Take(intake.Holding{Input: unit.Bytes(n)}.Charge()) {
		return 0, errNoMemory
	}
	c.unread += unit.Bytes(n)
	return n, err
}
