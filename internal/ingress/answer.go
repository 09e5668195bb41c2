package ingress

// This file holds the replies of a connection: their order, and how they are written.

import (
	"errors"
	"strconv"

	"github.com/tidwall/redcon"

	"wickarch/internal/reactor"
)

// slot is the place of one reply in the command order of its connection.
type slot struct {
	client      *client
	request     *request // nil for commands that need no backend
	data        []byte   // the encoded reply, or the bare value if bulk is set
	next        *slot
	stream      valueStream // in place of data: a value forwarded while it arrives; nil once it has ended
	buffered    []byte      // what has arrived of the stream, if it is buffered whole
	filled      bool
	headWritten bool // the bulk header of the stream has been written
	bulk        bool // data is a value to be encoded as a bulk string
}

// size returns the length of the encoded reply.
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

// appendTo appends the encoded reply.
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

// MayHaveLeft reports whether the client has left, or may have unnoticed.
func (s *slot) MayHaveLeft() bool { return s.client.mayHaveLeft() }

// Answer fills the slot with the final outcome of its request.
func (s *slot) Answer(o outcome) {
	c := s.client
	c.front.loop.releaseReplyMemory(s.request)
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
		c.front.loop.replySizes.add(s.request.class, len(o.value))
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
	c.front.loop.memory.reserve(n) // released when it is written
	c.addReplyBytes(n)
	if c.first == s && c.net != nil {
		c.markDirty()
	}
}

// markDirty queues the connection for the next flush.
func (c *client) markDirty() {
	if !c.flushQueued {
		c.flushQueued = true
		c.front.dirty = append(c.front.dirty, c)
	}
}

// pushSlot appends a slot to the reply queue.
func (c *client) pushSlot(s *slot) {
	if s.request == nil {
		c.front.loop.memory.reserve(slotBytes)
	}
	if c.last != nil {
		c.last.next = s
	} else {
		c.first = s
	}
	c.last = s
	c.pending++
}

// writeReplies writes the replies that are due, in order, and ends the connection if it is to end and nothing is left
// to write.
func (c *client) writeReplies() {
	if c.net == nil {
		return
	}
	f := c.front
	if len(c.unwritten) > 0 {
		if !c.write(c.unwritten) {
			return
		}
		f.stalled.remove(c)
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
	// Commands that have already arrived are read before the connection ends, so that they are not lost.
	if c.hasMoreCommands() {
		c.takeTurn()
		if c.readQueued || c.first != nil || c.net == nil {
			return
		}
	}
	if c.first == nil && (c.closing || f.draining && c.betweenCommands()) && c.lingerUntil == 0 && (c.hasRequested || c.closing || c.admissionConn.Evicting()) {
		if !c.closing {
			c.reason = closedDraining
		}
		c.lingeringClose()
		return
	}
	c.reportActivity()
}

// write writes b and reports whether the socket accepted all of it. The rest is held for this connection
// alone; other connections are not delayed.
func (c *client) write(b []byte) bool {
	f := c.front
	if c.readDelayed {
		c.repliedAt = f.loop.Now()
	}
	n, err := c.net.Write(b)
	c.replyBytes -= n
	f.loop.memory.release(n)
	if c.stallEntry != nil {
		f.stalled.bytes -= int64(n)
	}
	switch {
	case err == nil:
	case errors.Is(err, reactor.ErrWouldBlock) && c.stallEntry != nil:
		c.unwritten = b[n:]
		if n > 0 {
			f.stalled.noteProgress(c, f.loop.Now())
		}
		return false
	case errors.Is(err, reactor.ErrWouldBlock):
		c.unwritten = append([]byte(nil), b[n:]...)
		f.stalled.add(c, f.loop.Now())
		f.stalled.enforceLimits(f.loop.Now())
		return false
	default:
		c.close(closedWriteFailed, err)
		return false
	}
	c.unwritten = nil
	return true
}

// addReplyBytes accounts for a reply of n bytes that is due.
func (c *client) addReplyBytes(n int) {
	c.replyBytes += n
	if c.stallEntry != nil {
		c.front.stalled.bytes += int64(n)
		c.front.stalled.enforceLimits(c.front.loop.Now())
	}
}
