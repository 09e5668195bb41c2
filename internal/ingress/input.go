package ingress

// This file holds what is read from a connection: its turns, the commands that are complete, and the rest of what was
// read.

import (
	"errors"
	"io"
	"time"

	"github.com/tidwall/redcon"

	"wickarch/internal/reactor"
	"wickarch/internal/resp"
)

// takeTurn processes input if the connection has not had its turn in this round, and otherwise queues it for the
// next one. The replies to the commands of one turn must not lead to another turn in the same round: a client that
// sends as fast as it is answered would keep the loop from all others.
func (c *client) takeTurn() {
	if c.turnRound == c.front.round {
		c.front.queueRead(c)
		return
	}
	c.processInput()
}

// hasMoreCommands reports whether the connection may take further commands now and there may be some.
func (c *client) hasMoreCommands() bool {
	return c.acceptsCommands() && (c.hasBacklog || c.readable || c.front.draining && c.hasInput())
}

// processInput reads and starts commands, for as long as there are any and it is this connection's turn.
func (c *client) processInput() {
	c.turnRound = c.front.round
	for turn := 0; c.net != nil; turn++ {
		if c.lingerUntil > 0 {
			return
		}
		if !c.acceptsCommands() {
			c.readDelayed = c.readable
			break
		}
		if c.awaitsPresence() {
			c.resumeAt = c.front.loop.Now() + presenceCheckInterval
			c.resetTimer()
			break
		}
		if c.hasBacklog {
			c.startCommands(c.partial)
			if !c.acceptsCommands() {
				break
			}
		}
		if !c.readable {
			break
		}
		if turn == readBatch {
			c.front.queueRead(c)
			break
		}
		c.read()
	}
	c.reportActivity()
}

// read reads once, and starts the commands that are complete.
func (c *client) read() {
	if len(c.partial) > 0 && len(c.partial) == cap(c.partial) && !c.growPartial() {
		c.readWithoutMemory()
		return
	}
	buf := c.inputBuffer()
	n := c.receive(buf)
	switch {
	case n == 0:
	case len(c.partial) > 0:
		c.partial = c.partial[:len(c.partial)+n]
		c.startCommands(c.partial)
	default:
		c.startCommands(buf[:n])
	}
}

// receive reads into buf. It returns 0 if nothing has arrived, or the connection has ended.
func (c *client) receive(buf []byte) int {
	// A request's time limit counts from its arrival: it may have waited for an admission place, for its
	// connection's turn, or while the process was stalled.
	waited := time.Duration(0)
	if c.readAt == 0 || c.readDelayed || c.front.loop.InputMayBeStale() {
		waited = c.net.SinceLastReceive()
	}
	n, err := c.net.Read(buf)
	switch {
	case errors.Is(err, reactor.ErrWouldBlock):
		c.readable = false
		return 0
	case errors.Is(err, io.EOF):
		c.close(closedByClient, nil)
		return 0
	case err != nil:
		c.close(closedReadFailed, err)
		return 0
	}
	c.readDelayed = false // readable stays set: a read may return less than there is, and no further event reports the rest
	c.readAt = c.front.loop.Now() - waited
	return n
}

// inputBuffer returns the buffer to read into. While memory is short it is small: what is left of the bytes read has to
// be held, as their client awaits answers to the commands in them.
func (c *client) inputBuffer() []byte {
	shared := c.front.readBuffer
	switch {
	case len(c.partial) > 0:
		return c.partial[len(c.partial):cap(c.partial)]
	case c.skipped != nil:
		return shared[:min(len(shared), c.skipped.bytesLeft+minPartialBuffer)]
	case c.front.loop.memory.freeForInput() < int64(len(shared)):
		return shared[:minPartialBuffer]
	}
	return shared
}

// readWithoutMemory reads on in a command that there is no memory to hold a part of. If all of it has arrived, it is
// started from the shared buffer. Otherwise it is skipped.
func (c *client) readWithoutMemory() {
	shared := c.front.readBuffer
	buf := shared[:copy(shared, c.partial)]
	c.keepInput(nil)
	skipped, consumed, err := c.front.cfg.skipCommand(buf)
	for complete := false; err == nil && len(buf) < len(shared); {
		n := c.receive(shared[len(buf):min(len(shared), len(buf)+skipped.minMissing(len(buf)-consumed))])
		if c.net == nil {
			return
		}
		if n == 0 {
			break
		}
		buf = shared[:len(buf)+n]
		n, complete, err = skipped.consume(buf[consumed:])
		if consumed += n; complete {
			c.startCommands(buf)
			return
		}
	}
	if err != nil {
		c.endWithError(closedMalformed, err)
		return
	}
	c.skipped = skipped
	c.keepInput(buf[consumed:])
}

// growPartial enlarges partial to read on. It reports false if there is no memory.
func (c *client) growPartial() bool {
	size := min(2*cap(c.partial), resp.MaxMessage+minPartialBuffer)
	if size == cap(c.partial) || !c.front.loop.memory.tryReserveInput(size-cap(c.partial)) {
		return false
	}
	c.partial = append(make([]byte, 0, size), c.partial...)
	return true
}

// keepInput holds what is left of the bytes read, in place of what was held.
func (c *client) keepInput(rest []byte) {
	size := 0
	if len(rest) > 0 {
		size = max(minPartialBuffer, len(rest))
	}
	if held := cap(c.partial); size > 0 && size <= held && held <= maxBufferExcess*size {
		c.partial = c.partial[:copy(c.partial[:held], rest)]
		return
	}
	c.front.loop.memory.reserveInput(size - cap(c.partial))
	c.partial = nil
	if size > 0 {
		c.partial = append(make([]byte, 0, size), rest...)
	}
}

// dropInput drops what was read of commands that have not been started.
func (c *client) dropInput() {
	c.skipped = nil
	c.keepInput(nil)
}

// startCommands starts all complete commands in buf, and keeps the rest.
func (c *client) startCommands(buf []byte) {
	anyComplete := false
	for len(buf) > 0 && c.acceptsCommands() {
		n, complete, err := c.startNext(buf)
		if err != nil {
			c.endWithError(closedMalformed, err)
			return
		}
		buf = buf[n:]
		if !complete {
			break
		}
		anyComplete = true
	}
	if c.closing || c.net == nil {
		return
	}
	c.hasBacklog = len(buf) > 0 && !c.acceptsCommands()
	// A client that sends half a command and no more would keep its descriptor forever, and so would one that
	// trickles bytes. Only complete commands extend the deadline, not bytes. A command that waits for this
	// process has no deadline.
	switch {
	case c.hasBacklog, len(buf) == 0 && c.skipped == nil:
		c.readDeadline, c.readTimed = 0, false
	case !c.readTimed || anyComplete:
		c.readDeadline, c.readTimed = c.front.loop.Now()+partialCommandTimeout, true
	}
	c.keepInput(buf)
	c.resetTimer()
}

// startNext starts the first command in buf, if it is complete, and returns the number of bytes to take off buf.
func (c *client) startNext(buf []byte) (n int, complete bool, err error) {
	if c.skipped != nil {
		if n, complete, err = c.skipped.consume(buf); complete {
			c.answerSkipped()
		}
		return n, complete, err
	}
	args, n, err := nextCommand(buf)
	if len(args) > 0 { // an empty array requests nothing
		c.startCommand(args, n)
	}
	return n, n > 0, err
}

// startCommand answers a PING or an invalid command, and starts any other as a request.
func (c *client) startCommand(args [][]byte, size int) {
	owner, cfg := c.front.loop, c.front.cfg
	if equalFold(args[0], "PING") {
		switch {
		case c.front.draining:
			c.reply(redcon.AppendError(nil, "ERR draining"))
		case !owner.ready:
			c.reply(redcon.AppendError(nil, "ERR no backend is known"))
		default:
			c.reply(redcon.AppendString(nil, "PONG"))
		}
		return
	}
	cmd, err := cfg.parseCommand(args)
	if err != nil {
		c.rejectCommand(err)
		return
	}
	if c.front.finished && c.readAt > c.front.acceptedUntil {
		owner.events.lateRefusals++
		c.refuseCommand(cmd.class) // it could not be answered before the process has to end
		return
	}
	replyMemory, ok := owner.reserveRequest(cmd.class, size)
	if !ok {
		owner.events.memoryRefusals++
		c.refuseCommand(cmd.class)
		return
	}
	limit := min(cmd.timeLimit, cfg.Choice.Classes[cmd.class].Deadline)
	r := &request{command: cmd, size: size, arrivedAt: c.readAt, replyMemory: replyMemory, holders: 2, deadline: c.readAt + limit - min(answerMargin, limit/answerMarginDivisor)}
	r.slot = slot{client: c, request: r}
	r.replyTo = &r.slot
	c.hasRequested = true
	c.pushSlot(&r.slot)
	owner.events.requestAccepted(c, r)
	owner.startRequest(r)
	if r.args != nil { // it is still open, and outlives the read buffer
		r.args = copyArgs(r.args, size)
	}
}

// rejectCommand answers an invalid command. Their rate and number are limited per connection, so that a client that sends
// them as fast as they are rejected leaves the CPU to the others.
func (c *client) rejectCommand(err error) {
	c.invalidCommands++
	if c.invalidCommands >= maxInvalidCommands {
		c.endWithError(closedInvalidCommands, errTooManyInvalid)
		return
	}
	if c.invalidCommands > 1 {
		c.resumeAt = c.front.loop.Now() + invalidCommandDelay
	}
	c.replyError(err)
}

// refuseCommand refuses a command that is not accepted as a request. Nothing has run, so the client may retry.
func (c *client) refuseCommand(class int) {
	if class != unknownClass {
		c.front.loop.metrics.classes[class].Busy++
	}
	c.reply(redcon.AppendError(nil, "BUSY"))
}

// answerSkipped answers the command that was skipped.
func (c *client) answerSkipped() {
	skipped := c.skipped
	c.skipped = nil
	if skipped.err != nil {
		c.rejectCommand(skipped.err)
		return
	}
	c.front.loop.events.memoryRefusals++
	c.refuseCommand(skipped.class)
}

// copyArgs copies the arguments out of the read buffer.
func copyArgs(args [][]byte, size int) [][]byte {
	block := make([]byte, 0, size)
	for i, a := range args {
		at := len(block)
		block = append(block, a...)
		args[i] = block[at:len(block):len(block)]
	}
	return args
}

// betweenCommands reports whether nothing has come of a command that has not been started.
func (c *client) betweenCommands() bool {
	paused := c.resumeAt > 0
	return len(c.partial) == 0 && c.skipped == nil && !(paused && c.hasInput())
}

// hasInput reports whether there is something to read, whatever the poller has reported.
func (c *client) hasInput() bool {
	c.readable = c.readable || c.net.Pending()
	return c.readable
}
