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
	client      *client
	request     *request // nil for what needs no backend
	data        []byte   // the answer as it is written, or the value alone
	next        *slot
	stream      valueStream // in place of data: a value passed on as it comes, until that has ended
	buffered    []byte      // what has come of the body, where all of it is waited for
	filled      bool
	headWritten bool // the head of the body has been written
	bulk        bool // data is a value, to be written as a bulk string
}

// size is how many bytes the answer has as it is written.
func (s *slot) size() int {
	if !s.bulk {
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
	if s.bulk {
		return redcon.AppendBulk(b, s.data)
	}
	return append(b, s.data...)
}

var (
	failedReply    = []byte("-ERR failed\r\n")
	duplicateReply = []byte("-ERR the request id is in use\r\n")
)

// Disconnected tells whether the client has left.
func (s *slot) Disconnected() bool { return s.client.net == nil || s.client.net.Gone() }

// Answer gives the slot its one answer.
func (s *slot) Answer(o outcome) {
	c := s.client
	if c.net == nil || c.lingerUntil > 0 {
		if s.stream = o.stream; s.stream != nil {
			s.closeStream()
		}
		return
	}
	if o.stream != nil {
		s.stream, s.filled = o.stream, true
		s.stream.Notify(c.markDirty)
		if c.first == s {
			c.markDirty()
		}
		return
	}
	switch o.kind {
	case served:
		s.data, s.bulk = o.value, true
	case refused:
		s.data = append(make([]byte, 0, len("-BUSY 1000\r\n")), "-BUSY"...)
		if ms := o.retryAfter.Milliseconds(); ms > 0 {
			s.data = strconv.AppendInt(append(s.data, ' '), ms, 10)
		}
		s.data = append(s.data, "\r\n"...)
	case failed:
		s.data = failedReply
	case duplicate:
		s.data = duplicateReply
		c.invalidCommands++
	}
	s.filled = true
	n := s.size()
	c.front.loop.memory.reserve(n) // until it is written
	c.addReplyBytes(n)
	if c.first == s && c.net != nil {
		c.markDirty()
	}
}

// markDirty notes that there may be something to write.
func (c *client) markDirty() {
	if !c.flushQueued {
		c.flushQueued = true
		c.front.dirty = append(c.front.dirty, c)
	}
}

// pushSlot appends a slot.
func (c *client) pushSlot(s *slot) {
	if c.last != nil {
		c.last.next = s
	} else {
		c.first = s
	}
	c.last = s
	c.pending++
}

// writeReplies writes the answers that are due, in order, and ends the connection if
// it is to end and nothing is left.
func (c *client) writeReplies() {
	if c.net == nil {
		return
	}
	f := c.front
	if len(c.unwritten) > 0 {
		if !c.write(c.unwritten) {
			return
		}
		c.writeDeadline = 0
		f.stalledBytes -= c.replyBytes
		f.unstall(c)
		c.resetTimer()
	}
	for c.first != nil && c.first.filled {
		if c.first.stream != nil {
			if !c.forwardStream() {
				return
			}
			continue
		}
		out := f.writeBuffer[:0]
		for s := c.first; s != nil && s.filled && s.stream == nil && (len(out) == 0 || len(out)+s.size() <= sharedBufferSize); s = c.first {
			out = s.appendTo(out)
			c.popSlot()
		}
		if f.writeBuffer = out; cap(out) > 2*sharedBufferSize {
			f.writeBuffer = nil
		}
		if !c.write(out) {
			return
		}
	}
	// What has come already is not lost to the end that follows.
	if c.first == nil && !c.closing && (c.hasBacklog || c.readable || f.draining && c.hasInput()) {
		c.processInput()
		if c.first != nil || c.net == nil {
			return
		}
	}
	if c.first == nil && (c.closing || f.draining) && c.lingerUntil == 0 && (c.hasRequested || c.closing || c.place.Leaving()) {
		if !c.closing {
			c.reason = closedDraining
		}
		c.lingeringClose()
		return
	}
	if c.readable || len(c.partial) > 0 {
		c.processInput() // what was not taken while so much was due
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
	f.loop.memory.release(n)
	if c.stallEntry != nil {
		f.stalledBytes -= n
	}
	switch {
	case err == nil:
	case errors.Is(err, reactor.ErrWait) && c.stallEntry != nil:
		c.unwritten = b[n:]
		if n > 0 { // it does read, if slowly
			c.writeDeadline = f.loop.Now() + writeTimeout
			c.resetTimer()
		}
		return false
	case errors.Is(err, reactor.ErrWait):
		c.unwritten = append([]byte(nil), b[n:]...)
		c.writeDeadline = f.loop.Now() + writeTimeout
		c.stallEntry = f.stalled.PushBack(c)
		f.stalledBytes += c.replyBytes
		c.resetTimer()
		c.enforceReplyLimits()
		return false
	default:
		c.close(closedWriteFailed, err)
		return false
	}
	c.unwritten = nil
	return true
}

// addReplyBytes takes note of an answer that is due.
func (c *client) addReplyBytes(n int) {
	c.replyBytes += n
	if c.stallEntry != nil {
		c.front.stalledBytes += n
		c.enforceReplyLimits()
	}
}

// enforceReplyLimits closes connections whose clients do not read, where they hold too much:
// this one by its own enforceReplyLimits, and the one that stalls for longest by that of all.
// Their answers have failed, and are not kept for ever.
func (c *client) enforceReplyLimits() {
	f := c.front
	if c.replyBytes > maxStalledReplyBytes {
		c.close(closedUnreadAnswers, nil)
	}
	for int64(f.stalledBytes) > f.loop.memory.limit/stalledMemoryDivisor && f.stalled.Len() > 0 {
		f.stalled.Front().Value.(*client).close(closedUnreadAnswers, nil)
	}
}
