package ingress

import (
	"errors"
	"io"
	"strconv"

	"wickarch/internal/reactor"
)

// body is a value too large to be held: it is passed on as it comes. See
// upstream.Stream for what its methods promise.
type body interface {
	Size() int
	Read(b []byte) (int, error)
	Notify(func())
	Close()
}

const (
	pourChunk = 16 << 10 // bytes of a body read at a time, and so held for a client that reads slowly
	pourTurn  = 8        // such chunks before the others have their turn
)

// pour passes on what is here of the value whose turn it is. It tells whether
// that is done with, the connection open, and the next answer may follow.
func (c *client) pour() bool {
	f, s := c.front, c.first
	if !s.begun && c.holds(s) {
		return c.gather(s)
	}
	for range pourTurn {
		if cap(f.out) < pourChunk+64 {
			f.out = make([]byte, 0, pourChunk+64)
		}
		b := f.out[:0]
		if !s.begun {
			s.begun = true
			b = append(strconv.AppendInt(append(b, '$'), int64(s.body.Size()), 10), "\r\n"...)
		}
		n, err := s.body.Read(b[len(b) : len(b)+pourChunk])
		b = b[:len(b)+n]
		switch {
		case errors.Is(err, io.EOF):
			b = append(b, "\r\n"...) // what makes it whole for the client comes with the proof that it is
			s.ended(true)
			c.drop()
		case errors.Is(err, reactor.ErrWait):
			if len(b) == 0 {
				return false
			}
		case err != nil:
			// The client can tell by the end of its connection that the value is
			// not whole. There is no other way to say so within a bulk string.
			s.ended(false)
			c.breakOff()
			return false
		}
		c.replyBytes += len(b)
		f.loop.memory.force(len(b))
		if !c.write(b) {
			return false
		}
		if s.body == nil {
			return true
		}
		if err != nil {
			return false
		}
	}
	f.later(c)
	return false
}

// holds tells whether a value is to be waited for as a whole, in memory taken for it: one that breaks off
// ends its connection, and others wait for their answers behind it there.
func (c *client) holds(s *slot) bool {
	if _, whole := s.body.(*heldValue); whole {
		return false
	}
	if s.held != nil {
		return true
	}
	if !s.owesBehind() || !c.front.loop.memory.take(s.body.Size()) {
		return false
	}
	s.held = make([]byte, 0, s.body.Size())
	c.gatherBy = s.request.deadline
	c.arm()
	return true
}

// owesBehind tells whether a request waits for its answer behind this one.
func (s *slot) owesBehind() bool {
	for next := s.next; next != nil; next = next.next {
		if next.request != nil {
			return true
		}
	}
	return false
}

// gather reads what is here of a value that is held. It tells whether there is an answer to go on with: the
// whole value, or that it failed.
func (c *client) gather(s *slot) bool {
	for range pourTurn {
		room := s.held[len(s.held):min(cap(s.held), len(s.held)+pourChunk)]
		n, err := s.body.Read(room)
		s.held = s.held[:len(s.held)+n]
		switch {
		case errors.Is(err, io.EOF):
			c.gatherBy = 0
			s.body = &heldValue{rest: s.held}
			return true
		case errors.Is(err, reactor.ErrWait):
			return false
		case err != nil:
			c.giveUpBody(s)
			return true
		}
	}
	c.front.later(c)
	return false
}

// giveUpBody answers in place of a value of which nothing has gone to the client that its request has failed.
func (c *client) giveUpBody(s *slot) {
	c.gatherBy = 0
	s.abandon()
	s.data = failedLine
	c.front.loop.memory.force(len(s.data)) // until it is written
	c.owe(len(s.data))
	c.soil()
}

// heldValue is a body that is here as a whole.
type heldValue struct{ rest []byte }

// Size is the length of what is left.
func (h *heldValue) Size() int { return len(h.rest) }

// Read reads the next part.
func (h *heldValue) Read(b []byte) (int, error) {
	n := copy(b, h.rest)
	if h.rest = h.rest[n:]; len(h.rest) == 0 {
		return n, io.EOF
	}
	return n, nil
}

// Notify has nothing to tell of.
func (*heldValue) Notify(func()) {}

// Close gives it up.
func (*heldValue) Close() {}

// drop takes the first answer off the connection's order.
func (c *client) drop() {
	c.first = c.first.next
	if c.first == nil {
		c.last = nil
	}
	c.pending--
}

// abandon gives the body up.
func (s *slot) abandon() {
	s.body.Close()
	s.ended(false)
}

// ended notes how the answer's body ended.
func (s *slot) ended(whole bool) {
	s.client.front.loop.memory.give(cap(s.held))
	s.body, s.held = nil, nil
	s.client.front.loop.streamEnded(s.request, whole)
}
