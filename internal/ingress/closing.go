package ingress

// How a connection ends, and the deadlines that end it.

import (
	"time"

	"wickarch/internal/lifecycle"
)

// end lets the answers still due be written, and then ends the connection: one
// that closes under them loses requests. What the client sends meanwhile is not
// read: at full speed it would cost the others their CPU.
func (c *client) end(why closeReason) {
	c.closing, c.why = true, why
	c.readBy, c.resume = 0, 0
	c.keep(nil)
	c.soil()
	c.arm()
}

// shut ends the connection for the client, and keeps its end for a moment: closed
// at once, what comes meanwhile would turn it into a reset that eats answers. None
// of that is read. A request that crosses the end of its connection unread is sent
// anew by its client; one that was read would be taken, and lost.
func (c *client) shut() {
	if c.first != nil {
		c.front.loop.recordViolation(lifecycle.CheckClose(c.pending, false), c.first.request)
	}
	c.front.loop.events.connectionClosed(c, c.why, nil)
	c.net.CloseWrite()
	c.closing = true
	c.keep(nil)
	c.readBy, c.resume = 0, 0
	c.endedAt = c.front.loop.Now()
	c.endBy = c.endedAt + lingerTime
	c.reportActivity()
	c.arm()
}

// finish reads what has come, and then no more: the connection ends behind the
// answers to all that was read.
func (c *client) finish() {
	if c.net == nil || c.closing {
		return
	}
	c.speaks()
	c.pump()
	if c.inputClosed = true; c.net != nil && !c.closing && !c.behind {
		c.end(closedShutdown)
	}
}

// dismiss closes the connection for the admission controller, unless something has come on it
// that was not read yet: the poller tells so many events a round, and a round may
// be late, so the clock alone would put our delay down to the client. A command
// that crosses the close counts as not read, and the client sends it elsewhere.
func (c *client) dismiss() (stays bool) {
	if c.speaks() {
		c.front.later(c)
		return true
	}
	if c.front.draining {
		c.why = closedDraining
		c.shut()
	} else {
		c.close(closedIdle, nil)
	}
	return false
}

// arm sets the timer to the first of the connection's deadlines.
func (c *client) arm() {
	at := time.Duration(0)
	for _, by := range [...]time.Duration{c.readBy, c.writeBy, c.resume, c.endBy, c.gatherBy} {
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
	case over(&c.endBy):
		// One that reads slowly has not got its answers yet. What crossed the end lies
		// unread, and to close on it drops what is still to be sent.
		if c.net.Unsent() && now-c.endedAt < writeTimeout {
			c.endBy = now + lingerTime
			break
		}
		c.close(closedLingerExpired, nil)
		return
	case over(&c.writeBy):
		c.close(closedSlowReader, nil)
		return
	case over(&c.gatherBy):
		if s := c.first; s != nil && s.held != nil {
			c.giveUpBody(s)
		}
	case over(&c.resume):
		c.pump()
	case over(&c.readBy):
		// What has come by now counts, though a late round has not read it yet.
		if c.speaks() {
			c.pump()
		}
		if c.net == nil || c.readBy > 0 || !c.timed {
			break // it was whole, or has moved the bound
		}
		if len(c.partial) > 0 {
			c.fail(closedIncompleteCommand, errHalf)
		} else {
			c.fail(closedNoCommand, errSilent)
		}
		c.reportActivity()
	}
	c.arm()
}

// close closes the connection and ends its open requests. err is what the system said,
// nil where it said nothing.
func (c *client) close(why closeReason, err error) {
	f := c.front
	if c.net == nil {
		return
	}
	if c.endBy == 0 && why != closedLingerExpired { // its end has been told already
		f.loop.events.connectionClosed(c, why, err)
	}
	c.net.Close()
	c.net = nil
	f.leave(c)
	f.loop.Unset(&c.timer)
	f.admission.Release(&c.place)
	open := c.forsake()
	if len(open) > 0 {
		f.loop.recordViolation(lifecycle.CheckClose(len(open), why.allowsOpenRequests()), open[0])
	}
	f.loop.gone(open)
}

// breakOff ends the connection behind what has been written, and its open
// requests. To close it over commands that are not read would be a reset, which
// takes the answers before with it.
func (c *client) breakOff() {
	open := c.forsake()
	c.why = closedValueTruncated
	c.shut()
	c.front.loop.gone(open)
}

// forsake drops all answers that are due and returns the requests that are open.
func (c *client) forsake() (open []*request) {
	f := c.front
	if c.stall != nil {
		f.unstall(c)
		f.held -= c.replyBytes
	}
	f.loop.memory.give(c.replyBytes)
	c.replyBytes, c.unwritten = 0, nil
	c.keep(nil)
	for s := c.first; s != nil; s = s.next {
		if !s.filled && s.request != nil {
			open = append(open, s.request)
		}
		if s.body != nil {
			s.abandon()
		}
	}
	c.first, c.last, c.pending = nil, nil, 0
	return open
}
