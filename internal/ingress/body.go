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
		c.unread += len(b)
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
	s.body = nil
	s.client.front.loop.streamEnded(s.request, whole)
}
