package upstream

import (
	"bytes"
	"errors"
	"slices"
	"time"

	"wickarch/choice"
	"wickarch/internal/reactor"
)

// state says what a connection does, and with it what is known of its attempt.
type state uint8

const (
	waiting    state = iota // for a descriptor. Its attempt never ran
	connecting              // coming up. Its attempt never ran
	writing                 // up, and the last byte is not written. Its attempt never ran
	written                 // the last byte is written. Its attempt may have run
	answering               // part of the answer is here. Its attempt may have run
	streaming               // the head of a large value is here, and its attempt has ended; a Stream reads on
	trailing                // that value is whole, and the figures behind it are not here
	idle                    // it carries none
	closed
)

// mayHaveRun tells whether the attempt on the connection may have run.
func (s state) mayHaveRun() bool { return s == written || s == answering }

// conn is a connection to a backend. It carries one attempt at a time: answers
// come in order, and giving one up closes the connection.
type conn struct {
	pool    *Pool
	to      *backend
	net     reactor.Conn // nil while waiting
	attempt *Attempt
	timer   reactor.Timer
	retry   time.Duration // while waiting: the next time it waits so long
	upBy    time.Duration // connecting: it must be up before then
	rest    []byte        // writing: what is not written yet, once a part is
	builtAt time.Duration // writing: when the message was made, and the time that it tells was true
	part    []byte        // answering: what is here
	since   time.Duration // idle: since when
	stallBy time.Duration // answering: the end must be here by then
	last    uint64        // mark of the last value
	history *history      // of what it has carried, while it is used without a full rest; else nil
	state   state
	stream  *Stream
	carried *Attempt // streaming: the attempt whose value it is
	plain   bool     // the last answer was no value: a copy of it could not be told
	ended   bool     // the other side sends nothing more, or the connection is gone; told once
}

// longestWrite is how long a message may take from its making to its last byte: the time that it tells its
// backend counts from the making, and may be 150 ms too long.
const longestWrite = 100 * time.Millisecond

// dial opens a connection for an attempt.
func (p *Pool) dial(b *backend, a *Attempt) {
	c := &conn{pool: p, to: b, attempt: a, retry: dialRetry}
	c.timer.Owner = c
	a.conn = c
	p.open++
	c.connect()
}

// connect begins to connect, or waits for a descriptor.
func (c *conn) connect() {
	p := c.pool
	now := p.loop.Now()
	nc, err := p.loop.Dial(c.to.addr, c)
	short := errors.Is(err, reactor.ErrFiles)
	if (short || errors.Is(err, reactor.ErrBusy)) && c.retry <= dialRetryMost {
		// No fault of the backend's.
		if short { // clients at rest make room
			p.sink.OutOfDescriptors()
		}
		c.state = waiting
		p.loop.Set(&c.timer, min(now+c.retry, c.attempt.Deadline))
		c.retry *= 2
		return
	}
	if err != nil {
		c.fail(choice.ConnectFailed, CauseDialFailed, err)
		return
	}
	c.net, c.state = nc, connecting
	c.upBy = min(now+p.cfg.ConnectTimeout, c.attempt.Deadline)
	p.loop.Set(&c.timer, c.upBy)
}

// carry sends an attempt on an idle connection. It returns false if that can't
// be used: nothing was written.
func (c *conn) carry(a *Attempt) bool {
	// What came since the poller was asked is seen here alone: an end, or a
	// second copy of the last answer. Written to such a connection, a payment
	// would be lost. Where rests have been empty, what can be repeated goes
	// without the look.
	if (c.history == nil || !a.Repeatable) && c.net.Pending() {
		c.closeUnsolicited()
		return false
	}
	c.attempt, a.conn = a, c
	c.send()
	return true
}

// send writes the attempt on a connection that is up.
func (c *conn) send() {
	p, a := c.pool, c.attempt
	// The last look before the first byte: a backend that was told to drain
	// while the attempt waited for its connection must get nothing new.
	// One that waited past the time for which it was decided goes no more, either.
	now := p.loop.Now()
	if c.to.stopped {
		c.fail(choice.ConnectFailed, CauseBackendGone, nil)
		return
	}
	if now >= a.until() {
		c.fail(choice.ConnectFailed, CauseExpired, nil)
		return
	}
	if !p.sink.MayWrite(a) {
		p.Withdraw(a)
		return
	}
	p.out = a.Message.AppendTo(p.out[:0], a.Deadline-now)
	c.state, c.builtAt = writing, now
	p.loop.Set(&c.timer, a.until())
	c.write(p.out)
	if cap(p.out) > 2*sharedBuffer {
		p.out = nil
	}
}

// write writes b, and keeps what is not taken now.
func (c *conn) write(b []byte) {
	n, err := c.net.Write(b)
	switch {
	case err == nil:
		c.rest, c.state = nil, written
		c.pool.loop.Set(&c.timer, c.attempt.Deadline) // until now it was that of the writing
		c.pool.sink.Written(c.attempt)
	case errors.Is(err, reactor.ErrWait) && n == 0 && len(c.rest) == 0:
		// Nothing of it has gone: it is made anew when something can, by what is true then.
	case errors.Is(err, reactor.ErrWait):
		if len(c.rest) == 0 {
			c.rest = slices.Clone(b[n:])
			c.pool.loop.Set(&c.timer, min(c.attempt.until(), c.builtAt+longestWrite))
		} else {
			c.rest = b[n:]
		}
	default:
		c.fail(choice.ConnectFailed, CauseWriteFailed, err)
	}
}

// Ready takes what happened on the connection.
func (c *conn) Ready(e reactor.Event) {
	c.ended = c.ended || e&(reactor.Ended|reactor.Gone) != 0
	switch c.state {
	case connecting:
		if e&reactor.Gone != 0 || e&reactor.Writable == 0 {
			c.fail(choice.ConnectFailed, CauseRefused, nil)
			return
		}
		// Its attempt goes in the pool's turn: where the process stood still, what
		// speaks against it (its client has left) may be told in this round, behind this.
		c.pool.up = append(c.pool.up, c)
	case writing:
		if e&(reactor.Gone|reactor.Readable|reactor.Ended) != 0 {
			// An answer to half a request is nobody's.
			c.fail(choice.ConnectFailed, CauseAnsweredEarly, nil)
			return
		}
		if c.pool.loop.Now() >= c.attempt.until() {
			c.fail(choice.ConnectFailed, CauseExpired, nil)
			return
		}
		if len(c.rest) == 0 {
			c.send()
		} else {
			c.write(c.rest)
		}
	case written, answering:
		if e&(reactor.Readable|reactor.Ended|reactor.Gone) != 0 {
			c.read()
		}
	case streaming, trailing:
		if e&(reactor.Readable|reactor.Ended|reactor.Gone) != 0 {
			c.stream.ready()
		}
	case idle:
		if e&(reactor.Readable|reactor.Ended|reactor.Gone) != 0 {
			c.closeUnsolicited()
		}
	}
}

// cameUp sends the attempt on a connection that has come up in this round.
func (c *conn) cameUp() {
	switch {
	case c.state != connecting: // withdrawn, or given up, meanwhile
	case c.net.Pending():
		// A backend that takes no more connections may end it, or say so,
		// before the first byte is written.
		c.fail(choice.ConnectFailed, CauseRefused, nil)
	case c.pool.loop.Now() >= c.upBy:
		c.fail(choice.ConnectFailed, CauseConnectLate, nil)
	default:
		c.send()
	}
}

// closeUnsolicited closes a connection on which something came, or that ended, while it
// carried nothing.
func (c *conn) closeUnsolicited() {
	var one [1]byte
	if n, _ := c.net.Read(one[:]); n > 0 {
		c.pool.countViolation()
	}
	c.close()
}

// read takes the answer, or the part of it that is here.
func (c *conn) read() {
	for c.state.mayHaveRun() {
		buf := c.pool.in[:streamBuffer]
		if c.part != nil {
			if len(c.part) == cap(c.part) {
				c.part = slices.Grow(c.part, len(c.part))
			}
			buf = c.part[len(c.part):cap(c.part)]
		}
		n, err := c.net.Read(buf)
		if errors.Is(err, reactor.ErrWait) {
			return
		}
		if err != nil {
			c.fail(choice.Reset, CauseReadFailed, err)
			return
		}
		if c.state == written {
			c.attempt.heard = c.pool.loop.Now()
		}
		got := buf[:n]
		if c.part != nil {
			c.part = c.part[:len(c.part)+n]
			got = c.part
		}
		reply, used, err := c.pool.nextReply(got)
		switch {
		case err != nil: // the backend lives and has run it
			c.pool.countViolation()
			c.fail(choice.Error, CauseMalformed, err)
			return
		case used > 0 && reply.large > 0:
			if c.attempt.Probe {
				c.pool.countViolation()
				c.fail(choice.Error, CauseUnexpected, nil)
				return
			}
			c.begin(reply, got[used:])
			return
		case used > 0 && reply.Status == choice.Refused:
			c.refused(reply, got[:used], c.behind(got[used:]))
			return
		case used > 0:
			c.answered(reply, len(got) > used)
			return
		case c.part == nil:
			c.part = append(make([]byte, 0, max(partLeast, 2*n)), got...)
		}
		c.state = answering
		// It has the request, and may not say more of it: the client's time is
		// worth more than the hope for the rest.
		c.stallBy = c.pool.loop.Now() + answerStall
		c.pool.loop.Set(&c.timer, min(c.stallBy, c.attempt.Deadline))
	}
}

// refused ends the attempt with a refusal, if that is all there is. Half a line that came between
// requests may stand in the same line, with the answer to this one behind it: it may have run.
func (c *conn) refused(r Reply, line, behind []byte) {
	if !repeats(behind, line) {
		c.pool.countViolation()
		c.fail(choice.Error, CauseUnexpected, nil)
		return
	}
	c.answered(r, len(behind) > 0)
}

// behind reads what stands behind an answer, of which some has been read already.
func (c *conn) behind(some []byte) []byte {
	all := slices.Clone(some)
	var more [mostBehind]byte
	for len(all) < mostBehind {
		n, err := c.net.Read(more[:])
		if err != nil {
			break // nothing more, or an end
		}
		all = append(all, more[:n]...)
	}
	return all
}

const mostBehind = 256 // bytes read behind an answer, to tell whose it is

// repeats tells whether what stands behind an answer is it once more, or a part of that.
func repeats(behind, answer []byte) bool {
	n := min(len(behind), len(answer))
	return bytes.Equal(behind[:n], answer[:n])
}

const partLeast = 4 << 10

// answered ends the attempt with the answer; more tells that something stands
// behind it already.
func (c *conn) answered(r Reply, more bool) {
	p, a := c.pool, c.attempt
	now := p.loop.Now()
	if more {
		p.countViolation()
	}
	if r.Status == choice.OK && a.Probe != (r.Value == nil) { // the answer to something else
		p.countViolation()
		c.fail(choice.Error, CauseUnexpected, nil)
		return
	}
	switch {
	case a.Probe: // reports may well be alike, and can't be taken for an answer
	case r.Value == nil: // so may refusals, but these can
		c.plain = true
	default:
		c.plain, c.last = false, markOf(r)
		c.to.proof.note(c.last, p.cfg.TrustThreshold)
		if c.history != nil {
			// As of when the request was written: a process that stood still reads
			// late what came in time.
			if c.history.has(c.last, a.started) { // once more: whose it is nobody can tell
				p.countViolation()
				c.fail(choice.Error, CauseCopy, nil)
				return
			}
			c.history.add(c.last, now)
		}
	}
	c.attempt, c.part = nil, nil
	if more || c.ended || a.fresh || c.to.stopped || p.byID[c.to.id] != c.to {
		c.close()
	} else {
		c.state, c.since = idle, now
		c.to.idle = append(c.to.idle, c)
		// Well before the backend closes it: a request written to a connection
		// that the backend has closed ends as a reset, which an unsafe request
		// cannot repeat.
		p.loop.Set(&c.timer, c.since+time.Duration(idleShare*float64(p.cfg.BackendIdleTimeout)))
	}
	p.end(a, r)
}

// Ring takes the end of the time that the state has.
func (c *conn) Ring() {
	now := c.pool.loop.Now()
	switch c.state {
	case waiting:
		if now >= c.attempt.Deadline {
			c.fail(choice.ConnectFailed, CauseNoDescriptor, nil)
		} else {
			c.connect()
		}
	case connecting:
		c.fail(choice.ConnectFailed, CauseConnectLate, nil)
	case writing:
		c.fail(choice.ConnectFailed, CauseExpired, nil)
	case written, answering:
		// What has come by now counts: a round that is late must not.
		if c.net.Pending() {
			c.read()
		}
		switch {
		case !c.state.mayHaveRun():
		case now >= c.attempt.Deadline:
			c.fail(choice.Timeout, CauseDeadline, nil)
		case c.state == answering && now >= c.stallBy:
			c.fail(choice.Error, CauseStalled, nil)
		}
	case streaming:
		if c.net.Pending() {
			c.stream.ready() // a round that is late must not count
		} else {
			c.stream.fail()
		}
	case trailing, idle:
		c.close()
	}
}

// fail closes the connection and ends its attempt: as told if it may have run,
// and else as one that never did. err is what the system said, nil where it said nothing.
func (c *conn) fail(status choice.Status, cause Cause, err error) {
	a := c.attempt
	if !c.state.mayHaveRun() {
		status = choice.ConnectFailed
	}
	c.close() // before the outcome is told: a second attempt must not overlap
	if a != nil {
		c.pool.end(a, Reply{Status: status, Cause: cause, Err: err})
	}
}

// close closes the connection. Its attempt, if any, is the caller's.
func (c *conn) close() {
	if c.state == closed {
		return
	}
	if c.state == idle {
		if i := slices.Index(c.to.idle, c); i >= 0 { // not one that was taken just now
			c.to.idle = slices.Delete(c.to.idle, i, i+1)
		}
	}
	if c.net != nil {
		c.net.Close()
	}
	c.state, c.attempt, c.part, c.rest, c.carried = closed, nil, nil, nil, nil
	c.pool.loop.Unset(&c.timer)
	c.pool.open--
}
