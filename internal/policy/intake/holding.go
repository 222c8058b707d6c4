package intake

import "basilspan/internal/core/unit"

// Holding is what a connection holds of the bytes of others, at any moment from accept to close. A connection holds them
// only while a request is on the way, is handled or is being answered: between two requests it holds nothing. What it takes
// without any of them is bounded by MaxConnections.
type Holding struct {
	// Input is how many bytes have come of requests that are not answered to the end.
	Input unit.Bytes
	// Lines is how many lines of their headers and trailers have come.
	Lines int
	// Output is how many bytes of answers wait for the other side to read, unless another account has them.
	Output unit.Bytes
	// Calls is how many requests are handled at the same time, on a connection that allows more than one.
	Calls int
}

const (
	// inputFactor is how much memory a request takes for each byte that has come of it: besides the parser's buffer, there
	// is a copy of the request and one in the encoding of its attempts, and a buffer that grows is copied.
	inputFactor = 4
	// lineBytes is what a line takes once it is parsed and decoded, beside its bytes.
	lineBytes unit.Bytes = 256
	// callBytes is what a request that is handled takes beside its bytes, with its goroutine.
	callBytes unit.Bytes = 8 << 10
)

// Charge returns what an account is charged for it.
func (h Holding) Charge() unit.Bytes {
	return inputFactor*h.Input + unit.Bytes(h.Lines)*lineBytes + h.Output + unit.Bytes(h.Calls)*callBytes
}
