package ingress

import (
	"errors"
	"io"
	"strconv"

	"wickarch/internal/reactor"
)

// valueStream is a value too large to be held: it is passed on as it comes. See
// upstream.Stream for what its methods promise.
type valueStream interface {
	Size() int
	Read(b []byte) (int, error)
	Notify(func())
	Close()
}

const (
	streamChunk   = 16 << 10 // bytes of a body read at a time, and so held for a client that reads slowly
	chunksPerTurn = 8        // such chunks before the others have their turn
)

// forwardStream passes on what is here of the value whose turn it is. It tells whether
// that is done with, the connection open, and the next answer may follow.
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
			b = append(b, "\r\n"...) // what makes it whole for the client comes with the proof that it is
			s.endStream(true)
			c.popSlot()
		case errors.Is(err, reactor.ErrWait):
			if len(b) == 0 {
				return false
			}
		case err != nil:
			// The client can tell by the end of its connection that the value is
			// not whole. There is no other way to say so within a bulk string.
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

// shouldBuffer tells whether a value is to be waited for as a whole, in memory taken for it: one that breaks off
// ends its connection, and others wait for their answers behind it there.
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

// hasRequestBehind tells whether a request waits for its answer behind this one.
func (s *slot) hasRequestBehind() bool {
	for next := s.next; next != nil; next = next.next {
		if next.request != nil {
			return true
		}
	}
	return false
}

// bufferStream reads what is here of a value that is held. It tells whether there is an answer to go on with: the
// whole value, or that it failed.
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
		case errors.Is(err, reactor.ErrWait):
			return false
		case err != nil:
			c.failStream(s)
			return true
		}
	}
	c.front.queueRead(c)
	return false
}

// failStream answers in place of a value of which nothing has gone to the client that its request has failed.
func (c *client) failStream(s *slot) {
	c.bufferDeadline = 0
	s.closeStream()
	s.data = failedReply
	c.front.loop.memory.reserve(len(s.data)) // until it is written
	c.addReplyBytes(len(s.data))
	c.markDirty()
}

// bufferedValue is a body that is here as a whole.
type bufferedValue struct{ rest []byte }

// Size is the length of what is left.
func (h *bufferedValue) Size() int { return len(h.rest) }

// Read reads the next part.
func (h *bufferedValue) Read(b []byte) (int, error) {
	n := copy(b, h.rest)
	if h.rest = h.rest[n:]; len(h.rest) == 0 {
		return n, io.EOF
	}
	return n, nil
}

// Notify has nothing to tell of.
func (*bufferedValue) Notify(func()) {}

// Close gives it up.
func (*bufferedValue) Close() {}

// popSlot takes the first answer off the connection's order.
func (c *client) popSlot() {
	c.first = c.first.next
	if c.first == nil {
		c.last = nil
	}
	c.pending--
}

// closeStream gives the body up.
func (s *slot) closeStream() {
	s.stream.Close()
	s.endStream(false)
}

// endStream notes how the answer's body endStream.
func (s *slot) endStream(whole bool) {
	s.client.front.loop.memory.release(cap(s.buffered))
	s.stream, s.buffered = nil, nil
	s.client.front.loop.streamEnded(s.request, whole)
}
