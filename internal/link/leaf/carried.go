package leaf

import (
	"github.com/cespare/xxhash/v2"

	"basilspan/internal/core/unit"
)

// maxCarried is the number of calls after which a connection forgets that it has carried a request.
const maxCarried = 64

// carriedRequests remembers the requests of the last maxCarried calls on a connection. A reply names its request but not
// its call, so a late copy of a reply passes for the reply to a later call for the same request on that connection.
type carriedRequests struct {
	hashes []uint64
	// oldest is the index of the hash that is overwritten next, once all places are taken.
	oldest int
}

// add records a call for a request.
func (c *carriedRequests) add(id unit.RequestID) {
	hash := xxhash.Sum64String(string(id))
	if len(c.hashes) < maxCarried {
		c.hashes = append(c.hashes, hash)
		return
	}
	c.hashes[c.oldest] = hash
	c.oldest = (c.oldest + 1) % maxCarried
}

// has reports whether one of the remembered calls was for the request.
func (c *carriedRequests) has(id unit.RequestID) bool {
	if len(c.hashes) == 0 {
		return false
	}
	hash := xxhash.Sum64String(string(id))
	for _, h := range c.hashes {
		if h == hash {
			return true
		}
	}
	return false
}
