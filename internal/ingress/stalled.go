package ingress

import (
	"container/list"
	"time"
)

const (
	writeTimeout = 5 * time.Second // for a client that takes none of its replies
	// stallGrace is how long a client may take none of its replies while the stalled ones hold too much memory. It
	// allows for a machine on which the client waits for a processor.
	stallGrace = time.Second
	// shortStallGrace is the same where they leave too little memory to others.
	shortStallGrace      = 100 * time.Millisecond
	stalledMemoryDivisor = 2 // stallGrace counts while they hold more than the memory for clients divided by this
	spareMemoryDivisor   = 4 // shortStallGrace counts while they leave less than the memory for clients divided by this
)

// stalledClients are the connections with replies that their sockets do not accept now. That says nothing about the
// clients: a socket is full whenever more is due than it holds. A client that takes nothing for a time does not read.
type stalledClients struct {
	byProgress list.List // of *client: the one that has taken nothing for longest first
	bytes      int64     // of replies that are due to them
	memory     *memory
}

// add adds a connection whose socket did not accept all of its replies.
func (s *stalledClients) add(c *client, now time.Duration) {
	c.stallEntry = s.byProgress.PushBack(c)
	s.bytes += int64(c.replyBytes)
	s.noteProgress(c, now)
}

// remove removes a connection, if it is stalled.
func (s *stalledClients) remove(c *client) {
	if c.stallEntry == nil {
		return
	}
	s.byProgress.Remove(c.stallEntry)
	s.bytes -= int64(c.replyBytes)
	c.stallEntry, c.writeDeadline = nil, 0
}

// noteProgress records that the client has taken some of its replies.
func (s *stalledClients) noteProgress(c *client, now time.Duration) {
	s.byProgress.MoveToBack(c.stallEntry)
	c.progressAt = now
	c.writeDeadline = now + stallGrace
	c.resetTimer()
}

// enforceLimits closes the connections whose clients have taken nothing for as long as what all stalled ones hold
// allows. Meanwhile new requests are refused for want of memory, so that this does not grow without bound.
func (s *stalledClients) enforceLimits(now time.Duration) {
	for s.byProgress.Len() > 0 {
		c := s.byProgress.Front().Value.(*client)
		grace, reason := s.grace()
		if now-c.progressAt < grace {
			return
		}
		// The process may have been held up, and its next write with it.
		if !c.takesMore() {
			c.close(reason, nil)
		}
	}
}

// takesMore writes the rest of the last write, and reports whether the socket accepted any of it.
func (c *client) takesMore() bool {
	stalled := &c.front.stalled
	before := len(c.unwritten)
	if c.write(c.unwritten) {
		stalled.remove(c)
		c.resetTimer()
		c.markDirty()
		return true
	}
	return c.net == nil || len(c.unwritten) < before
}

// grace returns for how long a client may take none of its replies, and the reason for closing it after that.
func (s *stalledClients) grace() (time.Duration, closeReason) {
	switch limit := s.memory.limit; {
	case s.bytes > limit-limit/spareMemoryDivisor:
		return shortStallGrace, closedUnreadAnswers
	case s.bytes > limit/stalledMemoryDivisor:
		return stallGrace, closedUnreadAnswers
	}
	return writeTimeout, closedSlowReader
}

// checkStalled enforces the limits, and sets when the connection is checked again.
func (c *client) checkStalled(now time.Duration) {
	c.front.stalled.enforceLimits(now)
	if c.stallEntry != nil && c.writeDeadline == 0 {
		c.writeDeadline = c.progressAt + writeTimeout
	}
}
