package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"time"

	"wickarch/choice"
	"wickarch/internal/reactor"
)

// state is what a connection does. It also tells whether the connection's attempt may have run.
type state uint8

const (
	awaitingDescriptor state = iota // the dial waits for a descriptor. The attempt never ran
	connecting                      // the connection is being established. The attempt never ran
	writing                         // connected, and the last byte is not written. The attempt never ran
	written                         // the last byte is written. The attempt may have run
	receiving                       // part of the reply has arrived. The attempt may have run
	streaming                       // the head of a large value has arrived, and the attempt has ended; a Stream reads on
	receivingTrailer                // the large value is complete, and its trailer is not
	idle                            // no attempt
	closed
)

// mayHaveRun reports whether the connection's attempt may have run.
func (s state) mayHaveRun() bool { return s == written || s == receiving }

// conn is a connection to a backend. It carries one attempt at a time, because a
// backend replies in order and aborting an attempt closes the connection.
type conn struct {
	pool          *Pool
	target        *backend
	net           reactor.Conn // nil while awaitingDescriptor
	attempt       *Attempt
	timer         reactor.Timer
	dialBackoff   time.Duration // awaitingDescriptor: delay before the next dial
	connectBy     time.Duration // connecting: deadline
	unwritten     []byte        // writing: rest of a message that was written in part
	builtAt       time.Duration // writing: when the message, with the time left in it, was built
	partial       []byte        // receiving: the part of the reply that has arrived
	idleSince     time.Duration // idle
	stallBy       time.Duration // receiving: deadline for the rest of the reply
	lastHash      uint64        // of the last value
	history       *history      // recent replies, while the connection is reused without a full cooldown; else nil
	state         state
	stream        *Stream
	streamAttempt *Attempt // streaming: the attempt that the value belongs to
	lastUnhashed  bool     // the last reply had no value to hash, so a copy of it can't be recognized
	peerEnded     bool     // the peer sends nothing more or the connection is closed; an event reports it only once
}

// maxWriteTime limits the time from building a message to writing its last byte. The time limit that a message
// gives its backend counts from when it is built, and may be at most 150 ms too long.
const maxWriteTime = 100 * time.Millisecond

// dial opens a connection for an attempt.
func (p *Pool) dial(b *backend, a *Attempt) {
	c := &conn{pool: p, target: b, attempt: a, dialBackoff: minDialBackoff}
	c.timer.Owner = c
	a.conn = c
	p.open++
	c.connect()
}

// connect dials the backend, or schedules the next dial if the system can't dial now.
func (c *conn) connect() {
	p := c.pool
	now := p.loop.Now()
	nc, err := p.loop.Dial(c.target.addr, c)
	outOfDescriptors := errors.Is(err, reactor.ErrOutOfResources)
	if (outOfDescriptors || errors.Is(err, reactor.ErrTemporary)) && c.dialBackoff <= maxDialBackoff {
		// The cause is local and says nothing about the backend.
		if outOfDescriptors { // the sink closes idle clients
			p.sink.OutOfDescriptors()
		}
		c.state = awaitingDescriptor
		p.loop.Set(&c.timer, min(now+c.dialBackoff, c.attempt.Deadline))
		c.dialBackoff *= 2
		return
	}
	if err != nil {
		c.fail(choice.ConnectFailed, CauseDialFailed, err)
		return
	}
	c.net, c.state = nc, connecting
	c.connectBy = min(now+p.cfg.ConnectTimeout, c.attempt.Deadline)
	p.loop.Set(&c.timer, c.connectBy)
}

// tryReuse sends an attempt on an idle connection. It returns false, with nothing
// written, if the connection can't be used.
func (c *conn) tryReuse(a *Attempt) bool {
	// Only this check sees what has arrived since the last poll: the connection's
	// end, or a second copy of the last reply. A payment written to such a
	// connection would be lost. A repeatable attempt skips the check on a trusted
	// backend's connection that is reused without a full cooldown.
	if (c.history == nil || !a.Repeatable) && c.net.Pending() {
		c.closeUnsolicited()
		return false
	}
	c.attempt, a.conn = a, c
	c.send()
	return true
}

// send writes the attempt on an established connection.
func (c *conn) send() {
	p, a := c.pool, c.attempt
	// Last checks before the first byte: a backend that began to drain while the
	// attempt waited for its connection must get nothing new, and an attempt that
	// has waited past its write deadline is not sent.
	now := p.loop.Now()
	if c.target.stopped {
		c.fail(choice.ConnectFailed, CauseBackendGone, nil)
		return
	}
	if now >= a.writeDeadline() {
		c.fail(choice.ConnectFailed, CauseExpired, nil)
		return
	}
	if !p.sink.MayWrite(a) {
		p.Withdraw(a)
		return
	}
	p.writeBuffer = a.Message.AppendTo(p.writeBuffer[:0], a.Deadline-now)
	c.state, c.builtAt = writing, now
	p.loop.Set(&c.timer, a.writeDeadline())
	c.write(p.writeBuffer)
	if cap(p.writeBuffer) > 2*sharedBufferSize {
		p.writeBuffer = nil
	}
}

// write writes b, and keeps what the socket does not take now.
func (c *conn) write(b []byte) {
	n, err := c.net.Write(b)
	switch {
	case err == nil:
		c.unwritten, c.state = nil, written
		c.pool.loop.Set(&c.timer, c.attempt.Deadline) // replaces the timer for writing
		c.pool.sink.Written(c.attempt)
	case errors.Is(err, reactor.ErrWouldBlock) && n == 0 && len(c.unwritten) == 0:
		// Nothing was written: send builds the message again, with the time left then, once the
		// connection is writable.
	case errors.Is(err, reactor.ErrWouldBlock):
		if len(c.unwritten) == 0 {
			c.unwritten = slices.Clone(b[n:])
			c.pool.loop.Set(&c.timer, min(c.attempt.writeDeadline(), c.builtAt+maxWriteTime))
		} else {
			c.unwritten = b[n:]
		}
	default:
		c.fail(choice.ConnectFailed, CauseWriteFailed, err)
	}
}

// Ready handles an event of the connection.
func (c *conn) Ready(e reactor.Event) {
	c.peerEnded = c.peerEnded || e&(reactor.ReadClosed|reactor.Disconnected) != 0
	switch c.state {
	case connecting:
		if e&reactor.Disconnected != 0 || e&reactor.Writable == 0 {
			c.fail(choice.ConnectFailed, CauseRefused, nil)
			return
		}
		// Pool.Round sends the attempt after all events of this round: after a stall of
		// the process, a later event may withdraw it (its client has disconnected).
		c.pool.connected = append(c.pool.connected, c)
	case writing:
		if e&(reactor.Disconnected|reactor.Readable|reactor.ReadClosed) != 0 {
			// Data before the request is complete can't be its reply.
			c.fail(choice.ConnectFailed, CauseAnsweredEarly, nil)
			return
		}
		if c.pool.loop.Now() >= c.attempt.writeDeadline() {
			c.fail(choice.ConnectFailed, CauseExpired, nil)
			return
		}
		if len(c.unwritten) == 0 {
			c.send()
		} else {
			c.write(c.unwritten)
		}
	case written, receiving:
		if e&(reactor.Readable|reactor.ReadClosed|reactor.Disconnected) != 0 {
			c.read()
		}
	case streaming, receivingTrailer:
		if e&(reactor.Readable|reactor.ReadClosed|reactor.Disconnected) != 0 {
			c.stream.ready()
		}
	case idle:
		if e&(reactor.Readable|reactor.ReadClosed|reactor.Disconnected) != 0 {
			c.closeUnsolicited()
		}
	}
}

// sendConnected sends the attempt on a connection that was established in this round.
func (c *conn) sendConnected() {
	switch {
	case c.state != connecting: // withdrawn or aborted since
	case c.net.Pending():
		// A backend that accepts no more connections may close this one or send an
		// error before the first byte is written.
		c.fail(choice.ConnectFailed, CauseRefused, nil)
	case c.pool.loop.Now() >= c.connectBy:
		c.fail(choice.ConnectFailed, CauseConnectLate, nil)
	default:
		c.send()
	}
}

// closeUnsolicited closes an idle connection on which data or the connection's end
// has arrived.
func (c *conn) closeUnsolicited() {
	var one [1]byte
	if n, _ := c.net.Read(one[:]); n > 0 {
		c.pool.countUnsolicited()
	}
	c.close()
}

// read reads the reply, or the part of it that has arrived.
func (c *conn) read() {
	for c.state.mayHaveRun() {
		buf := c.pool.readBuffer[:streamBuffer]
		if c.partial != nil {
			if len(c.partial) == cap(c.partial) {
				c.partial = slices.Grow(c.partial, len(c.partial))
			}
			buf = c.partial[len(c.partial):cap(c.partial)]
		}
		n, err := c.net.Read(buf)
		if errors.Is(err, reactor.ErrWouldBlock) {
			return
		}
		if err != nil {
			c.fail(choice.Reset, CauseReadFailed, err)
			return
		}
		if c.state == written {
			c.attempt.firstByteAt = c.pool.loop.Now()
		}
		received := buf[:n]
		if c.partial != nil {
			c.partial = c.partial[:len(c.partial)+n]
			received = c.partial
		}
		reply, consumed, err := c.pool.parseReply(received)
		switch {
		case err != nil: // the backend is alive and has run the request
			c.pool.countUnsolicited()
			c.fail(choice.Error, CauseMalformed, err)
			return
		case consumed > 0 && reply.merged:
			// What follows may be the rest of another reply, now or later: the connection is lost.
			c.pool.countUnsolicited()
			c.fail(choice.Error, CauseMerged, fmt.Errorf("line %q", received[:consumed]))
			return
		case consumed > 0 && reply.streamSize > 0:
			if c.attempt.Probe {
				c.pool.countUnsolicited()
				c.fail(choice.Error, CauseUnexpected, nil)
				return
			}
			c.startStream(reply, received[consumed:])
			return
		case consumed > 0 && reply.Status == choice.Refused:
			c.finishRefused(reply, received[:consumed], received[consumed:])
			return
		case consumed > 0:
			c.finish(reply, len(received) > consumed)
			return
		case c.partial == nil:
			c.partial = append(make([]byte, 0, max(minPartial, 2*n)), received...)
		}
		c.state = receiving
		// The backend has the request but may never complete the reply: fail early, so
		// that the client does not wait until its deadline.
		c.stallBy = c.pool.loop.Now() + replyStallTimeout
		c.pool.loop.Set(&c.timer, min(c.stallBy, c.attempt.Deadline))
	}
}

// finishRefused ends the attempt with a refusal if it is certain that nothing but a copy of it follows. A refusal
// that the backend sent between requests is not the reply to this one; that reply then follows, and the attempt
// may have run.
func (c *conn) finishRefused(r Reply, line, alreadyRead []byte) {
	extra, err := c.readExtra(alreadyRead)
	if err != nil || !isCopyOf(extra, line) {
		c.pool.countUnsolicited()
		c.fail(choice.Error, CauseUnexpected, err)
		return
	}
	c.finish(r, len(extra) > 0)
}

// readExtra returns the bytes that follow a reply: those read already, and those that have arrived since. It
// returns reactor.ErrReadFailed if it is unknown whether any have.
func (c *conn) readExtra(alreadyRead []byte) ([]byte, error) {
	extra := slices.Clone(alreadyRead)
	var buf [maxExtra]byte
	for len(extra) < maxExtra {
		n, err := c.net.Read(buf[:])
		if errors.Is(err, reactor.ErrReadFailed) {
			return nil, err
		}
		if err != nil {
			break // nothing more, or an end
		}
		extra = append(extra, buf[:n]...)
	}
	return extra, nil
}

const maxExtra = 256 // bytes read after a reply, to tell which request it belongs to

// isCopyOf reports whether the bytes that follow a reply are a copy of it or the beginning of one.
func isCopyOf(extra, reply []byte) bool {
	n := min(len(extra), len(reply))
	return bytes.Equal(extra[:n], reply[:n])
}

const minPartial = 4 << 10 // initial size of conn.partial

// finish ends the attempt with its reply. hasExtra tells that more bytes have
// arrived after the reply.
func (c *conn) finish(r Reply, hasExtra bool) {
	p, a := c.pool, c.attempt
	now := p.loop.Now()
	if hasExtra {
		p.countUnsolicited()
	}
	if r.Status == choice.OK && a.Probe != (r.Value == nil) { // the reply to something else
		p.countUnsolicited()
		c.fail(choice.Error, CauseUnexpected, nil)
		return
	}
	switch {
	case a.Probe: // load reports may be equal, but are never taken for the reply to a request
	case r.Value == nil: // refusals may be equal, and could be taken for the reply to a request
		c.lastUnhashed = true
	default:
		c.lastUnhashed, c.lastHash = false, hashOf(r)
		c.target.trust.addReply(c.lastHash, p.cfg.TrustThreshold)
		if c.history != nil {
			// Compared as of when the request was written: after a stall, the process
			// reads late what arrived in time.
			if c.history.contains(c.lastHash, a.started) { // a copy, or an equal reply: they can't be told apart
				p.countUnsolicited()
				c.fail(choice.Error, CauseCopy, nil)
				return
			}
			c.history.add(c.lastHash, now)
		}
	}
	c.attempt, c.partial = nil, nil
	if hasExtra || c.peerEnded || a.singleUse || c.target.stopped || p.byID[c.target.id] != c.target {
		c.close()
	} else {
		c.state, c.idleSince = idle, now
		c.target.idle = append(c.target.idle, c)
		// Close it well before the backend does: a request written to a connection
		// that the backend has closed ends as a reset, and a request that is not
		// repeatable can't be retried then.
		p.loop.Set(&c.timer, c.idleSince+time.Duration(idleTimeoutShare*float64(p.cfg.BackendIdleTimeout)))
	}
	p.recordOutcome(a, r)
}

// TimerFired handles the timeout of the current state.
func (c *conn) TimerFired() {
	now := c.pool.loop.Now()
	switch c.state {
	case awaitingDescriptor:
		if now >= c.attempt.Deadline {
			c.fail(choice.ConnectFailed, CauseNoDescriptor, nil)
		} else {
			c.connect()
		}
	case connecting:
		c.fail(choice.ConnectFailed, CauseConnectLate, nil)
	case writing:
		c.fail(choice.ConnectFailed, CauseExpired, nil)
	case written, receiving:
		// A reply that has arrived by now counts, even if this round runs late.
		if c.net.Pending() {
			c.read()
		}
		switch {
		case !c.state.mayHaveRun():
		case now >= c.attempt.Deadline:
			c.fail(choice.Timeout, CauseDeadline, nil)
		case c.state == receiving && now >= c.stallBy:
			c.fail(choice.Error, CauseStalled, nil)
		}
	case streaming:
		if c.net.Pending() {
			c.stream.ready() // data that has arrived counts, even if this round runs late
		} else {
			c.stream.fail()
		}
	case receivingTrailer, idle:
		c.close()
	}
}

// fail closes the connection and ends its attempt, with the given status if it may
// have run and otherwise as one that never ran. err is the system's error, if any.
func (c *conn) fail(status choice.Status, cause Cause, err error) {
	a := c.attempt
	if !c.state.mayHaveRun() {
		status = choice.ConnectFailed
	}
	c.close() // before the outcome is reported, so that a retry can't overlap
	if a != nil {
		c.pool.recordOutcome(a, Reply{Status: status, Cause: cause, Err: err})
	}
}

// close closes the connection. The caller ends its attempt, if any.
func (c *conn) close() {
	if c.state == closed {
		return
	}
	if c.state == idle {
		if i := slices.Index(c.target.idle, c); i >= 0 { // takeIdle has removed it already if it was about to be reused
			c.target.idle = slices.Delete(c.target.idle, i, i+1)
		}
	}
	if c.net != nil {
		c.net.Close()
	}
	c.state, c.attempt, c.partial, c.unwritten, c.streamAttempt = closed, nil, nil, nil, nil
	c.pool.loop.Unset(&c.timer)
	c.pool.open--
}
