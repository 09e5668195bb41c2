package ingress

import (
	"errors"
	"io"
	"strconv"

	"wickarch/internal/reactor"
)

// valueStream is a large value that is forwarded as it arrives instead of being held. See upstream.Stream for the
// contract of its methods.
type valueStream interface {
	Size() int
	Read(b []byte) (int, error)
	Notify(func())
	Close()
}

const (
	streamChunk   = 16 << 10 // bytes of a stream read at a time, and so buffered for a client that reads slowly
	chunksPerTurn = 8        // chunks forwarded before other connections get their turn
)

// forwardStream forwards what has arrived of the value that is first in the queue. It reports whether the value
// is done, the connection is still open, and the next reply may follow.
func (c *client) forwardStream() bool {
	f, s := c.front, c.first
	if !s.headWritten && c.shouldBuffer(s) {
		return c.bufferStream(s)
	}
	for range chunksPerTurn {
		if cap(f.writeBuffer) < streamChunk+64 {
			f.writeBuffer = make([]byte, 0, streamChunk+64)
		}
		b := f.writeBuffer[:0]
		if !s.headWritten {
			s.headWritten = true
			b = append(strconv.AppendInt(append(b, '$'), int64(s.stream.Size()), 10), "\r\n"...)
		}
		n, err := s.stream.Read(b[len(b) : len(b)+streamChunk])
		b = b[:len(b)+n]
		switch {
		case errors.Is(err, io.EOF):
			b = append(b, "\r\n"...) // the terminator is sent only once the value is proven complete
			s.endStream(true)
			c.popSlot()
		case errors.Is(err, reactor.ErrWouldBlock):
			if len(b) == 0 {
				return false
			}
		case err != nil:
			// The client can tell from the end of its connection that the value is incomplete. There is no other way
			// to signal it within a bulk string.
			s.endStream(false)
			c.closeAfterBrokenStream()
			return false
		}
		c.replyBytes += len(b)
		f.loop.memory.reserve(len(b))
		if !c.write(b) {
			return false
		}
		if s.stream == nil {
			return true
		}
		if err != nil {
			return false
		}
	}
	f.queueRead(c)
	return false
}

// shouldBuffer reports whether a value is to be buffered whole, in memory reserved for it. A value that breaks
// off while it is forwarded ends its connection, on which other requests wait for their replies.
func (c *client) shouldBuffer(s *slot) bool {
	if _, whole := s.stream.(*bufferedValue); whole {
		return false
	}
	if s.buffered != nil {
		return true
	}
	if !s.hasRequestBehind() || !c.front.loop.memory.tryReserve(s.stream.Size()) {
		return false
	}
	s.buffered = make([]byte, 0, s.stream.Size())
	c.bufferDeadline = s.request.deadline
	c.resetTimer()
	return true
}

// hasRequestBehind reports whether another request waits for its reply behind this slot.
func (s *slot) hasRequestBehind() bool {
	for next := s.next; next != nil; next = next.next {
		if next.request != nil {
			return true
		}
	}
	return false
}

// bufferStream reads what has arrived of a value that is buffered. It reports whether there is a reply to
// continue with: the complete value, or an error.
func (c *client) bufferStream(s *slot) bool {
	for range chunksPerTurn {
		room := s.buffered[len(s.buffered):min(cap(s.buffered), len(s.buffered)+streamChunk)]
		n, err := s.stream.Read(room)
		s.buffered = s.buffered[:len(s.buffered)+n]
		switch {
		case errors.Is(err, io.EOF):
			c.bufferDeadline = 0
			s.stream = &bufferedValue{rest: s.buffered}
			return true
		case errors.Is(err, reactor.ErrWouldBlock):
			return false
		case err != nil:
			c.failStream(s)
			return true
		}
	}
	c.front.queueRead(c)
	return false
}

// failStream replaces a value of which nothing has been sent to the client by an error reply.
func (c *client) failStream(s *slot) {
	c.bufferDeadline = 0
	s.closeStream()
	s.data = failedReply
	c.front.loop.memory.reserve(len(s.data)) // released when it is written
	c.addReplyBytes(len(s.data))
	c.markDirty()
}

// bufferedValue is a valueStream that has been received completely.
type bufferedValue struct{ rest []byte }

// Size returns the length of what is left.
func (h *bufferedValue) Size() int { return len(h.rest) }

// Read reads the next part.
func (h *bufferedValue) Read(b []byte) (int, error) {
	n := copy(b, h.rest)
	if h.rest = h.rest[n:]; len(h.rest) == 0 {
		return n, io.EOF
	}
	return n, nil
}

// Notify does nothing, as all data is present.
func (*bufferedValue) Notify(func()) {}

// Close does nothing.
func (*bufferedValue) Close() {}

// popSlot removes the first slot from the reply queue.
func (c *client) popSlot() {
	c.first.release()
	c.first = c.first.next
	if c.first == nil {
		c.last = nil
	}
	c.pending--
}

// release releases the memory of a slot that has left the reply queue.
func (s *slot) release() {
	if s.request == nil {
		s.client.front.loop.memory.release(slotBytes)
	} else {
		s.client.front.loop.releaseRequest(s.request)
	}
}

// closeStream closes the stream before its end.
func (s *slot) closeStream() {
	s.stream.Close()
	s.endStream(false)
}

// endStream releases the stream and records whether it was delivered completely.
func (s *slot) endStream(whole bool) {
	s.client.front.loop.memory.release(cap(s.buffered))
	s.stream, s.buffered = nil, nil
	s.client.front.loop.streamEnded(s.request, whole)
}
