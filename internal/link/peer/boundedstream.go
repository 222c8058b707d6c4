package peer

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// maxMessageBytes is the size of the largest message that is read from a peer. It exceeds that of the largest message
// that is written, which is maxPendingBytes.
const maxMessageBytes = 2 * maxPendingBytes

// errOversized means that a peer has sent a message that is too large.
var errOversized = errors.New("the message of the peer is too large")

// boundedStream is a stream of JSON-RPC messages that bounds the size of each message as it is read. The JSON decoder
// would collect a message of any size.
type boundedStream struct {
	jsonrpc2.ObjectStream
	conn *boundedConn
}

// newBoundedStream returns a stream over c.
func newBoundedStream(c io.ReadWriteCloser) *boundedStream {
	conn := &boundedConn{ReadWriteCloser: c}
	return &boundedStream{
		ObjectStream: jsonrpc2.NewBufferedStream(conn, jsonrpc2.PlainObjectCodec{}),
		conn:         conn,
	}
}

// ReadObject reads the next message into the value that v points to.
func (s *boundedStream) ReadObject(v any) error {
	s.conn.left = maxMessageBytes
	return s.ObjectStream.ReadObject(v)
}

// boundedConn reads at most left bytes. Only the goroutine that reads the messages uses left.
type boundedConn struct {
	io.ReadWriteCloser
	left int
}

func (c *boundedConn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, errOversized
	}
	n, err := c.ReadWriteCloser.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}
