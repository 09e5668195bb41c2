package ingress

import (
	"container/list"
	"errors"
	"io"
	"time"

	"github.com/tidwall/redcon"

	"wickarch/admission"
	"wickarch/internal/reactor"
	"wickarch/internal/resp"
)

const (
	lingerTimeout         = 200 * time.Millisecond  // for a client to close its side after the ingress has ended the connection
	maxPending            = 128                     // commands awaiting their replies on one connection
	firstCommandTimeout   = 2200 * time.Millisecond // for the first command on a connection
	partialCommandTimeout = 2 * time.Second         // for the rest of a command that has begun
	maxInvalidCommands    = 8                       // invalid commands after which a connection ends
	invalidCommandDelay   = 50 * time.Millisecond   // after the second one, and each further one
	minPartialBuffer      = 512                     // bytes of buffer for a command that has begun
	maxReplyBytes         = 256 << 10               // bytes of unwritten replies beyond which nothing more is read
)

var (
	errNoCommand      = errors.New("no command came in time")
	errPartialCommand = errors.New("the command did not become whole in time")
	errTooManyInvalid = errors.New("too many wrong commands")
	errNoMemory       = errors.New("no memory is left for the command")
)

// client is the connection of a client. Commands start as they arrive; replies are written in the order of the
// commands.
type client struct {
	front           *front
	net             reactor.Conn // nil once closed
	number          uint64       // in the order of acceptance, for logs
	index           int          // in front.clients
	invalidCommands int32        // so far
	turnRound       uint32       // front.round in which the connection last had its turn to read
	admissionConn   admission.Conn[*client]
	timer           reactor.Timer

	first, last *slot // replies due, in order
	pending     int
	partial     []byte // what has been read of a command that is incomplete or not to be started yet
	unwritten   []byte // what the socket did not accept of the last write
	replyBytes  int    // bytes of replies that are due or unwritten

	readAt         time.Duration // when the bytes last read had arrived
	readDeadline   time.Duration // for the first command, or for the rest of one; 0: none
	writeDeadline  time.Duration // when a stalled connection is checked next; 0: it is not stalled
	progressAt     time.Duration // when a stalled connection's client last took some of its replies, or the stall began
	resumeAt       time.Duration // after invalid commands nothing is read before then; 0: no pause
	bufferDeadline time.Duration // for the value that is buffered whole; 0: none is
	lingerUntil    time.Duration // the connection has been ended and is closed then; 0: it has not been ended
	endedAt        time.Duration // when the connection was ended

	stallEntry *list.Element // in front.stalled; nil while the socket accepts all replies

	hasRequested bool        // has sent a request that was accepted
	readTimed    bool        // readDeadline has been set for this command or the one before
	readable     bool        // the socket may have more to read
	readDelayed  bool        // readable input has waited for this process
	hasBacklog   bool        // partial may hold complete commands, which arrived while none was accepted
	closeQueued  bool        // is in front.closeQueue, as its client has ended it
	readQueued   bool        // is in front.readQueue
	flushQueued  bool        // is in front.dirty
	closing      bool        // accepts no further command, and ends when all are answered
	inputClosed  bool        // reads nothing more; only what has been read is processed
	reason       closeReason // why the connection closes, if it does
}

// reply answers a command immediately, in command order.
func (c *client) reply(data []byte) {
	c.front.loop.memory.reserve(len(data))
	c.pushSlot(&slot{client: c, data: data, filled: true})
	c.addReplyBytes(len(data))
	c.markDirty()
}

// replyError answers an invalid command.
func (c *client) replyError(err error) { c.reply(redcon.AppendError(nil, "ERR "+err.Error())) }

// endWithError sends the client an error and ends the connection.
func (c *client) endWithError(reason closeReason, err error) {
	c.replyError(err)
	c.closeAfterReplies(reason)
}

// acceptsCommands reports whether a further command may be read.
func (c *client) acceptsCommands() bool {
	return c.net != nil && !c.closing && !c.closeQueued && c.resumeAt == 0 &&
		c.pending < maxPending && c.replyBytes < maxReplyBytes && !c.streaming()
}

// streaming reports whether a value is being forwarded as it arrives. If it breaks off, the connection ends, and
// commands read behind it would be lost.
func (c *client) streaming() bool { return c.first != nil && c.first.headWritten }

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
	return c.acceptsCommands() && (c.hasBacklog || !c.inputClosed && (c.readable || c.front.draining && c.hasInput()))
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
		if c.hasBacklog {
			c.startCommands(nil)
			if !c.acceptsCommands() {
				break
			}
		}
		if !c.readable || c.inputClosed {
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
	buf := c.front.readBuffer
	if len(c.partial) > 0 {
		if len(c.partial) == cap(c.partial) && !c.growPartial() {
			c.endWithError(closedNoMemory, errNoMemory)
			return
		}
		buf = c.partial[len(c.partial):cap(c.partial)]
	}
	// A request's time limit counts from its arrival: it may have waited for an admission place, for its
	// connection's turn, or while the process was stalled.
	waited := time.Duration(0)
	if c.readAt == 0 || c.readDelayed || c.front.loop.InputMayBeStale() {
		waited = c.net.SinceLastReceive()
	}
	n, err := c.net.Read(buf)
	if errors.Is(err, reactor.ErrWouldBlock) {
		c.readable = false
		return
	}
	if err != nil {
		if errors.Is(err, io.EOF) {
			c.close(closedByClient, nil)
		} else {
			c.close(closedReadFailed, err)
		}
		return
	}
	c.readDelayed = false // readable stays set: a read may return less than there is, and no further event reports the rest
	c.readAt = c.front.loop.Now() - waited
	if len(c.partial) > 0 {
		c.partial = c.partial[:len(c.partial)+n]
		c.startCommands(nil)
	} else {
		c.startCommands(buf[:n])
	}
}

// growPartial enlarges partial to read on. It reports false if there is no memory.
func (c *client) growPartial() bool {
	size := min(2*cap(c.partial), resp.MaxMessage+minPartialBuffer)
	if size == cap(c.partial) || !c.front.loop.memory.tryReserve(size-cap(c.partial)) {
		return false
	}
	c.partial = append(make([]byte, 0, size), c.partial...)
	return true
}

// keepPartial holds what is left of the bytes read, in place of what was held. It reports false if there is no
// memory.
func (c *client) keepPartial(rest []byte) bool {
	memory := c.front.loop.memory
	if len(rest) == 0 {
		memory.release(cap(c.partial))
		c.partial = nil
		return true
	}
	if cap(c.partial) >= len(rest) {
		c.partial = c.partial[:copy(c.partial[:cap(c.partial)], rest)]
		return true
	}
	size := max(minPartialBuffer, len(rest))
	if !memory.tryReserve(size - cap(c.partial)) {
		return false
	}
	c.partial = append(make([]byte, 0, size), rest...)
	return true
}

// startCommands starts all complete commands in read, or in partial if read is nil, and keeps the rest.
func (c *client) startCommands(read []byte) {
	buf := read
	if buf == nil {
		buf = c.partial
	}
	all := len(buf)
	for len(buf) > 0 && c.acceptsCommands() {
		args, n, err := nextCommand(buf)
		if err != nil {
			c.endWithError(closedMalformed, err)
			return
		}
		if n == 0 {
			break
		}
		buf = buf[n:]
		if len(args) > 0 { // an empty array requests nothing
			c.startCommand(args, n)
		}
	}
	if c.closing || c.net == nil {
		return
	}
	c.hasBacklog = len(buf) > 0 && !c.acceptsCommands()
	// A client that sends half a command and no more would keep its descriptor forever, and so would one that
	// trickles bytes. Only complete commands extend the deadline, not bytes. A command that waits for this
	// process has no deadline.
	switch {
	case len(buf) == 0 || c.hasBacklog:
		c.readDeadline, c.readTimed = 0, false
	case !c.readTimed || len(buf) < all:
		c.readDeadline, c.readTimed = c.front.loop.Now()+partialCommandTimeout, true
	}
	if !c.keepPartial(buf) {
		c.endWithError(closedNoMemory, errNoMemory)
		return
	}
	c.resetTimer()
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
		// Limited per connection, so that a client that sends invalid commands as fast as they are rejected leaves
		// the CPU to the others.
		c.invalidCommands++
		if c.invalidCommands >= maxInvalidCommands {
			c.endWithError(closedInvalidCommands, errTooManyInvalid)
			return
		}
		if c.invalidCommands > 1 {
			c.resumeAt = c.front.loop.Now() + invalidCommandDelay
		}
		c.replyError(err)
		return
	}
	if !owner.memory.tryReserve(size) {
		// Nothing has run, so the client may retry. Accepting more would exhaust the memory of the whole process.
		owner.metrics.classes[cmd.class].Busy++
		c.reply(redcon.AppendError(nil, "BUSY"))
		return
	}
	cmd.args = copyArgs(args, size)
	limit := min(cmd.timeLimit, cfg.Choice.Classes[cmd.class].Deadline)
	r := &request{command: cmd, size: size, deadline: c.readAt + limit - min(answerMargin, limit/answerMarginDivisor)}
	r.slot = slot{client: c, request: r}
	r.replyTo = &r.slot
	c.hasRequested = true
	c.pushSlot(&r.slot)
	owner.events.requestAccepted(c, r)
	owner.startRequest(r)
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

// reportActivity tells the admission controller whether anything is open on the connection; an incomplete
// command counts as open.
func (c *client) reportActivity() {
	switch {
	case c.net == nil:
	case c.first != nil, len(c.unwritten) > 0, len(c.partial) > 0, c.closing:
		c.front.admission.MarkBusy(&c.admissionConn, c.hasRequested)
	default:
		c.front.admission.MarkIdle(&c.admissionConn, c.front.loop.Now())
	}
}

// hasInput reports whether there is something to read, whatever the poller has reported.
func (c *client) hasInput() bool {
	c.readable = c.readable || c.net.Pending()
	return c.readable
}
