package ingress

// The answers of a connection: their order, and how they are written.

import (
	"errors"
	"strconv"

	"github.com/tidwall/redcon"

	"wickarch/internal/reactor"
)

// slot is the place of one answer in the order of its connection.
type slot struct {
	client  *client
	request *request // nil for what needs no backend
	data    []byte   // the answer as it is written, or the value alone
	next    *slot
	body    body   // in place of data: a value passed on as it comes, until that has ended
	held    []byte // what has come of the body, where all of it is waited for
	filled  bool
	begun   bool // the head of the body has been written
	value   bool // data is a value, to be written as a bulk string
}

// size is how many bytes the answer has as it is written.
func (s *slot) size() int {
	if !s.value {
		return len(s.data)
	}
	n := len("$0\r\n\r\n") + len(s.data)
	for left := len(s.data); left >= 10; left /= 10 {
		n++
	}
	return n
}

// appendTo appends the answer as it is written.
func (s *slot) appendTo(b []byte) []byte {
	if s.value {
		return redcon.AppendBulk(b, s.data)
	}
	return append(b, s.data...)
}

var (
	failedLine = []byte("-ERR failed\r\n")
	knownLine  = []byte("-ERR the request id is in use\r\n")
)

// Disconnected tells whether the client has left.
func (s *slot) Disconnected() bool { return s.client.net == nil || s.client.net.Gone() }

// Answer gives the slot its one answer.
func (s *slot) Answer(o outcome) {
	c := s.client
	if c.net == nil || c.endBy > 0 {
		if s.body = o.body; s.body != nil {
			s.abandon()
		}
		return
	}
	if o.body != nil {
		s.body, s.filled = o.body, true
		s.body.Notify(c.soil)
		if c.first == s {
			c.soil()
		}
		return
	}
	switch o.kind {
	case served:
		s.data, s.value = o.value, true
	case refused:
		s.data = append(make([]byte, 0, len("-BUSY 1000\r\n")), "-BUSY"...)
		if ms := o.after.Milliseconds(); ms > 0 {
			s.data = strconv.AppendInt(append(s.data, ' '), ms, 10)
		}
		s.data = append(s.data, "\r\n"...)
	case failed:
		s.data = failedLine
	case duplicate:
		s.data = knownLine
		c.wrong++
	}
	s.filled = true
	n := s.size()
	c.front.loop.memory.force(n) // until it is written
	c.owe(n)
	if c.first == s && c.net != nil {
		c.soil()
	}
}

// soil notes that there may be something to write.
func (c *client) soil() {
	if !c.soiled {
		c.soiled = true
		c.front.dirty = append(c.front.dirty, c)
	}
}

// push appends a slot.
func (c *client) push(s *slot) {
	if c.last != nil {
		c.last.next = s
	} else {
		c.first = s
	}
	c.last = s
	c.pending++
}

// settle writes the answers that are due, in order, and ends the connection if
// it is to end and nothing is left.
func (c *client) settle() {
	if c.net == nil {
		return
	}
	f := c.front
	if len(c.unwritten) > 0 {
		if !c.write(c.unwritten) {
			return
		}
		c.writeBy = 0
		f.held -= c.replyBytes
		f.unstall(c)
		c.arm()
	}
	for c.first != nil && c.first.filled {
		if c.first.body != nil {
			if !c.pour() {
				return
			}
			continue
		}
		out := f.out[:0]
		for s := c.first; s != nil && s.filled && s.body == nil && (len(out) == 0 || len(out)+s.size() <= sharedBuffer); s = c.first {
			out = s.appendTo(out)
			c.drop()
		}
		if f.out = out; cap(out) > 2*sharedBuffer {
			f.out = nil
		}
		if !c.write(out) {
			return
		}
	}
	// What has come already is not lost to the end that follows.
	if c.first == nil && !c.closing && (c.behind || c.readable || f.draining && c.speaks()) {
		c.pump()
		if c.first != nil || c.net == nil {
			return
		}
	}
	if c.first == nil && (c.closing || f.draining) && c.endBy == 0 && (c.asked || c.closing || c.place.Leaving()) {
		if !c.closing {
			c.why = closedDraining
		}
		c.shut()
		return
	}
	if c.readable || len(c.partial) > 0 {
		c.pump() // what was not taken while so much was due
		return
	}
	c.reportActivity()
}

// write writes b, and tells whether the client has taken all of it. What it
// does not take now is held, by this connection alone; the others go on.
func (c *client) write(b []byte) bool {
	f := c.front
	n, err := c.net.Write(b)
	c.replyBytes -= n
	f.loop.memory.give(n)
	if c.stall != nil {
		f.held -= n
	}
	switch {
	case err == nil:
	case errors.Is(err, reactor.ErrWait) && c.stall != nil:
		c.unwritten = b[n:]
		if n > 0 { // it does read, if slowly
			c.writeBy = f.loop.Now() + writeTimeout
			c.arm()
		}
		return false
	case errors.Is(err, reactor.ErrWait):
		c.unwritten = append([]byte(nil), b[n:]...)
		c.writeBy = f.loop.Now() + writeTimeout
		c.stall = f.stalled.PushBack(c)
		f.held += c.replyBytes
		c.arm()
		c.bound()
		return false
	default:
		c.close(closedWriteFailed, err)
		return false
	}
	c.unwritten = nil
	return true
}

// owe takes note of an answer that is due.
func (c *client) owe(n int) {
	c.replyBytes += n
	if c.stall != nil {
		c.front.held += n
		c.bound()
	}
}

// bound closes connections whose clients do not read, where they hold too much:
// this one by its own bound, and the one that stalls for longest by that of all.
// Their answers have failed, and are not kept for ever.
func (c *client) bound() {
	f := c.front
	if c.replyBytes > mostHeld {
		c.close(closedUnreadAnswers, nil)
	}
	for int64(f.held) > f.loop.memory.most/heldPart && f.stalled.Len() > 0 {
		f.stalled.Front().Value.(*client).close(closedUnreadAnswers, nil)
	}
}
