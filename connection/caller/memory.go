package caller

import (
	"io"
	"net"
	"time"
)

const (
	// connBytes is what an idle connection takes: two buffers of 4 KiB, the stacks of its goroutines and its structures.
	connBytes = 24 << 10
	// headFactor is the ratio of the memory that a long header takes to the size of its buffer: the buffer, the one
	// before it, and the parsed header.
	headFactor = 3
	// maxEmptyLines is the number of empty lines in front of a request that are discarded. RFC 9112 asks for one at
	// least.
	maxEmptyLines = 64
	// maxShortRefusals is the number of connections that are read on, at a time, after they were refused because the account
	// is short. Each holds a descriptor that is not counted.
	maxShortRefusals = 16
	// refuseTimeout limits the writing of a refusal to a new connection, which has room for it.
	refuseTimeout = 10 * time.Millisecond
)

// refuse closes a connection for which there is no room, with a response that says that nothing was run. Beyond
// maxShortRefusals it does not read on, so that its caller may see a reset after the response.
func (s *Server) refuse(c net.Conn) {
	if s.refusals.refuse(c, maxShortRefusals) {
		return
	}
	_ = c.SetWriteDeadline(time.Now().Add(refuseTimeout))
	_, _ = io.WriteString(c, refusal) // the caller may have gone
	_ = c.Close()
}

// takeBuffer draws the memory for a header in a buffer of a size.
func (h *headReader) takeBuffer(size int) error {
	more := int64(size)*headFactor - h.taken
	if err := h.holder.Take(more); err != nil {
		return err
	}
	h.taken += more
	return nil
}
