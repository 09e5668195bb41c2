package ingress

// How a connection ends, and the deadlines that end it.

import (
	"time"

	"wickarch/internal/lifecycle"
)

// closeAfterReplies lets the answers still due be written, and then ends the connection: one
// that closes under them loses requests. What the client sends meanwhile is not
// read: at full speed it would cost the others their CPU.
func (c *client) closeAfterReplies(reason closeReason) {
	c.closing, c.reason = true, reason
	c.readDeadline, c.resumeAt = 0, 0
	c.keepPartial(nil)
	c.markDirty()
	c.resetTimer()
}

// lingeringClose ends the connection for the client, and keeps its end for a moment: closed
// at once, what comes meanwhile would turn it into a reset that eats answers. None
// of that is read. A request that crosses the end of its connection unread is sent
// anew by its client; one that was read would be taken, and lost.
func (c *client) lingeringClose() {
	if c.first != nil {
		c.front.loop.recordViolation(lifecycle.CheckClose(c.pending, false), c.first.request)
	}
	c.front.loop.events.connectionClosed(c, c.reason, nil)
	c.net.CloseWrite()
	c.closing = true
	c.keepPartial(nil)
	c.readDeadline, c.resumeAt = 0, 0
	c.endedAt = c.front.loop.Now()
	c.lingerUntil = c.endedAt + lingerTimeout
	c.reportActivity()
	c.resetTimer()
}

// finish reads what has come, and then no more: the connection ends behind the
// answers to all that was read.
func (c *client) finish() {
	if c.net == nil || c.closing {
		return
	}
	c.hasInput()
	c.processInput()
	if c.inputClosed = true; c.net != nil && !c.closing && !c.hasBacklog {
		c.closeAfterReplies(closedShutdown)
	}
}

// closeForAdmission closes the connection for the admission controller, unless something has come on it
// that was not read yet: the poller tells so many events a round, and a round may
// be late, so the clock alone would put our delay down to the client. A command
// that crosses the close counts as not read, and the client sends it elsewhere.
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

// resetTimer sets the timer to the first of the connection's deadlines.
func (c *client) resetTimer() {
	at := time.Duration(0)
	for _, by := range [...]time.Duration{c.readDeadline, c.writeDeadline, c.resumeAt, c.lingerUntil, c.bufferDeadline} {
		if by > 0 && (at == 0 || by < at) {
			at = by
		}
	}
	if at > 0 && c.net != nil {
		c.front.loop.Set(&c.timer, at)
	} else {
		c.front.loop.Unset(&c.timer)
	}
}

// Ring takes the deadlines that are over.
func (c *client) Ring() {
	now := c.front.loop.Now()
	over := func(by *time.Duration) bool {
		if *by == 0 || now < *by {
			return false
		}
		*by = 0
		return true
	}
	switch {
	case over(&c.lingerUntil):
		// One that reads slowly has not got its answers yet. What crossed the end lies
		// unread, and to close on it drops what is still to be sent.
		if c.net.Unsent() && now-c.endedAt < writeTimeout {
			c.lingerUntil = now + lingerTimeout
			break
		}
		c.close(closedLingerExpired, nil)
		return
	case over(&c.writeDeadline):
		c.close(closedSlowReader, nil)
		return
	case over(&c.bufferDeadline):
		if s := c.first; s != nil && s.buffered != nil {
			c.failStream(s)
		}
	case over(&c.resumeAt):
		c.processInput()
	case over(&c.readDeadline):
		// What has come by now counts, though a late round has not read it yet.
		if c.hasInput() {
			c.processInput()
		}
		if c.net == nil || c.readDeadline > 0 || !c.readTimed {
			break // it was whole, or has moved the bound
		}
		if len(c.partial) > 0 {
			c.endWithError(closedIncompleteCommand, errPartialCommand)
		} else {
			c.endWithError(closedNoCommand, errNoCommand)
		}
		c.reportActivity()
	}
	c.resetTimer()
}

// close closes the connection and ends its open requests. err is what the system said,
// nil where it said nothing.
func (c *client) close(reason closeReason, err error) {
	f := c.front
	if c.net == nil {
		return
	}
	if c.lingerUntil == 0 && reason != closedLingerExpired { // its end has been told already
		f.loop.events.connectionClosed(c, reason, err)
	}
	c.net.Close()
	c.net = nil
	f.removeClient(c)
	f.loop.Unset(&c.timer)
	f.admission.Release(&c.place)
	open := c.dropReplies()
	if len(open) > 0 {
		f.loop.recordViolation(lifecycle.CheckClose(len(open), reason.allowsOpenRequests()), open[0])
	}
	f.loop.abandonRequests(open)
}

// closeAfterBrokenStream ends the connection behind what has been written, and its open
// requests. To close it over commands that are not read would be a reset, which
// takes the answers before with it.
func (c *client) closeAfterBrokenStream() {
	open := c.dropReplies()
	c.reason = closedValueTruncated
	c.lingeringClose()
	c.front.loop.abandonRequests(open)
}

// dropReplies drops all answers that are due and returns the requests that are open.
func (c *client) dropReplies() (open []*request) {
	f := c.front
	if c.stallEntry != nil {
		f.unstall(c)
		f.stalledBytes -= c.replyBytes
	}
	f.loop.memory.release(c.replyBytes)
	c.replyBytes, c.unwritten = 0, nil
	c.keepPartial(nil)
	for s := c.first; s != nil; s = s.next {
		if !s.filled && s.request != nil {
			open = append(open, s.request)
		}
		if s.stream != nil {
			s.closeStream()
		}
	}
	c.first, c.last, c.pending = nil, nil, 0
	return open
}
