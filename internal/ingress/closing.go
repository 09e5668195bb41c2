package ingress

// This file holds how a connection ends, and the deadlines that end it.

import (
	"time"

	"wickarch/internal/lifecycle"
)

// closeAfterReplies ends the connection once the pending replies are written: ending it earlier would lose
// requests. What the client sends meanwhile is not read: a client at full speed would take CPU from the others.
func (c *client) closeAfterReplies(reason closeReason) {
	c.closing, c.reason = true, reason
	c.readDeadline, c.resumeAt = 0, 0
	c.dropInput()
	c.markDirty()
	c.resetTimer()
}

// lingeringClose ends the connection for the client, and keeps the socket open for lingerTimeout: if it were
// closed immediately, data that arrives meanwhile would cause a reset, which destroys replies in transit. None of
// that data is read. A request that crosses the end of its connection unread is sent again by its client; one that
// was read would be accepted, and lost.
func (c *client) lingeringClose() {
	if c.first != nil {
		c.front.loop.recordViolation(lifecycle.CheckClose(c.pending, false), c.first.request)
	}
	c.front.loop.events.connectionClosed(c, c.reason, nil)
	c.net.CloseWrite()
	c.closing = true
	c.dropInput()
	c.readDeadline, c.resumeAt = 0, 0
	c.endedAt = c.front.loop.Now()
	c.lingerUntil = c.endedAt + lingerTimeout
	c.reportActivity()
	c.resetTimer()
}

// closeForAdmission closes the connection for the admission controller, unless it has input that was not read
// yet: the poller reports a limited number of events per round, and a round may be late, so the clock alone would
// blame the client for a delay of this process. A command that crosses the close counts as not read, and the
// client sends it elsewhere.
func (c *client) closeForAdmission() (stays bool) {
	if c.hasInput() {
		c.front.queueRead(c)
		return true
	}
	if c.front.draining {
		c.reason = closedDraining
		c.lingeringClose()
	} else {
		c.close(closedIdle, nil)
	}
	return false
}

// resetTimer sets the timer to the earliest of the connection's deadlines.
func (c *client) resetTimer() {
	earliest := time.Duration(0)
	for _, deadline := range [...]time.Duration{c.readDeadline, c.writeDeadline, c.resumeAt, c.lingerUntil, c.bufferDeadline} {
		if deadline > 0 && (earliest == 0 || deadline < earliest) {
			earliest = deadline
		}
	}
	if earliest > 0 && c.net != nil {
		c.front.loop.Set(&c.timer, earliest)
	} else {
		c.front.loop.Unset(&c.timer)
	}
}

// TimerFired handles the deadlines that have passed.
func (c *client) TimerFired() {
	now := c.front.loop.Now()
	expired := func(deadline *time.Duration) bool {
		if *deadline == 0 || now < *deadline {
			return false
		}
		*deadline = 0
		return true
	}
	switch {
	case expired(&c.lingerUntil):
		// A client that reads slowly has not received its replies yet. Data that crossed the end lies unread, and
		// closing the socket over it drops what is still to be sent.
		if c.net.HasUnacked() && now-c.endedAt < writeTimeout {
			c.lingerUntil = now + lingerTimeout
			break
		}
		c.close(closedLingerExpired, nil)
		return
	case expired(&c.writeDeadline):
		c.checkStalled(now)
	case expired(&c.bufferDeadline):
		if s := c.first; s != nil && s.buffered != nil {
			c.failStream(s)
		}
	case expired(&c.resumeAt):
		c.processInput()
	case expired(&c.readDeadline):
		if !c.acceptsCommands() { // what is missing may have arrived, and waits for this process
			c.readDeadline = now + partialCommandTimeout
			break
		}
		// Input that has arrived by now counts, even if a late round has not read it yet.
		if c.hasInput() {
			c.processInput()
		}
		if c.net == nil || c.readDeadline > 0 || !c.readTimed {
			break // the command was complete, or has moved the deadline
		}
		if len(c.partial) > 0 || c.skipped != nil {
			c.endWithError(closedIncompleteCommand, errPartialCommand)
		} else {
			c.endWithError(closedNoCommand, errNoCommand)
		}
		c.reportActivity()
	}
	c.resetTimer()
}

// close closes the connection and abandons its open requests. err is the error of the system, nil if there was
// none.
func (c *client) close(reason closeReason, err error) {
	f := c.front
	if c.net == nil {
		return
	}
	if c.lingerUntil == 0 && reason != closedLingerExpired { // its end has been counted already
		f.loop.events.connectionClosed(c, reason, err)
	}
	c.net.Close()
	c.net = nil
	f.removeClient(c)
	f.loop.Unset(&c.timer)
	f.admission.Release(&c.admissionConn)
	open := c.dropReplies()
	if len(open) > 0 {
		f.loop.recordViolation(lifecycle.CheckClose(len(open), reason.allowsOpenRequests()), open[0])
	}
	f.loop.abandonRequests(open)
}

// closeAfterBrokenStream ends the connection behind what has been written, and abandons its open requests. Closing
// the socket over commands that are not read would cause a reset, which destroys the replies before it.
func (c *client) closeAfterBrokenStream() {
	open := c.dropReplies()
	c.reason = closedValueTruncated
	c.lingeringClose()
	c.front.loop.abandonRequests(open)
}

// dropReplies drops all replies that are due and returns the requests that are open.
func (c *client) dropReplies() (open []*request) {
	f := c.front
	f.stalled.remove(c)
	f.loop.memory.release(c.replyBytes)
	c.replyBytes, c.unwritten = 0, nil
	c.dropInput()
	for s := c.first; s != nil; s = s.next {
		if !s.filled && s.request != nil {
			open = append(open, s.request)
		}
		if s.stream != nil {
			s.closeStream()
		}
		s.release()
	}
	c.first, c.last, c.pending = nil, nil, 0
	return open
}
