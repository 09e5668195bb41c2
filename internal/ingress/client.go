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
	writeTimeout          = 5 * time.Second         // for a client to read on, once it does not
	lingerTimeout         = 200 * time.Millisecond  // for a client to end a connection that was ended for it
	maxPending            = 128                     // open requests on one connection
	firstCommandTimeout   = 2200 * time.Millisecond // for the first command on a connection
	partialCommandTimeout = 2 * time.Second         // for the rest of one that has begun
	maxInvalidCommands    = 8                       // wrong commands after which a connection ends
	invalidCommandDelay   = 50 * time.Millisecond   // after the second one, and each further one
	minPartialBuffer      = 512                     // bytes of buffer for a command that has begun
	maxReplyBytes         = 256 << 10               // answers not written, past which nothing more is read
	maxStalledReplyBytes  = 1 << 20                 // and past which a client that does not read is closed
	stalledMemoryDivisor  = 2                       // of the memory for clients, at most so much for answers not read
)

var (
	errNoCommand      = errors.New("no command came in time")
	errPartialCommand = errors.New("the command did not become whole in time")
	errTooManyInvalid = errors.New("too many wrong commands")
	errNoMemory       = errors.New("no memory is left for the command")
)

// client is a client's connection. Commands start as they come; answers go in
// the order of the commands.
type client struct {
	front           *front
	net             reactor.Conn // nil once closed
	number          uint64       // in the order of acceptance, for logs
	index           int          // in front.clients
	invalidCommands int32        // wrong commands so far
	place           admission.Place[*client]
	timer           reactor.Timer

	first, last *slot // answers due, in order
	pending     int
	partial     []byte // what has been read of a command that is not whole, or is not to be taken yet
	unwritten   []byte // what its client did not take of the answers last written
	replyBytes  int    // bytes of answers that are due or unwritten

	readAt         time.Duration // when what was last read had come
	readDeadline   time.Duration // the first command, or the rest of one, must be here; 0: no bound
	writeDeadline  time.Duration // the client must have taken unwritten; 0: nothing is
	resumeAt       time.Duration // wrong commands: nothing is read before; 0: no pause
	bufferDeadline time.Duration // the value that is waited for as a whole must be here; 0: none is
	lingerUntil    time.Duration // the connection has been ended and closes then; 0: it has not
	endedAt        time.Duration // when it has been

	stallEntry *list.Element // its place among those that do not read

	hasRequested bool        // has sent a request that could be taken
	readTimed    bool        // readBy runs, for this command or the one before
	readable     bool        // the socket may have more
	readDelayed  bool        // what can be read has waited for us
	hasBacklog   bool        // half may hold whole commands: they came while none was taken
	closeQueued  bool        // is in front.parting: its client has ended it
	readQueued   bool        // is in front.again
	flushQueued  bool        // is in front.dirty
	closing      bool        // takes no further command, and ends when all is answered
	inputClosed  bool        // reads nothing more: what has been read is all that it takes
	reason       closeReason // closing: why
}

// reply answers a command at once, in its order.
func (c *client) reply(data []byte) {
	c.front.loop.memory.reserve(len(data))
	c.pushSlot(&slot{client: c, data: data, filled: true})
	c.addReplyBytes(len(data))
	c.markDirty()
}

// replyError answers what is no valid request.
func (c *client) replyError(err error) { c.reply(redcon.AppendError(nil, "ERR "+err.Error())) }

// endWithError tells the client what is wrong and ends the connection.
func (c *client) endWithError(reason closeReason, err error) {
	c.replyError(err)
	c.closeAfterReplies(reason)
}

// acceptsCommands tells whether a further command may be read.
func (c *client) acceptsCommands() bool {
	return c.net != nil && !c.closing && !c.closeQueued && c.resumeAt == 0 &&
		c.pending < maxPending && c.replyBytes < maxReplyBytes && !c.streaming()
}

// streaming tells whether a value is being passed on as it comes. If it breaks off the connection ends, and
// what was read behind it would be lost.
func (c *client) streaming() bool { return c.first != nil && c.first.headWritten }

// processInput reads and starts commands, for as long as there are any and it is this
// connection's turn.
func (c *client) processInput() {
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

// read reads once, and starts the commands that are whole.
func (c *client) read() {
	buf := c.front.readBuffer
	if len(c.partial) > 0 {
		if len(c.partial) == cap(c.partial) && !c.growPartial() {
			c.endWithError(closedNoMemory, errNoMemory)
			return
		}
		buf = c.partial[len(c.partial):cap(c.partial)]
	}
	// A request's time counts from when it came: it may have waited for a place,
	// for its connection's turn, or while the process stood still.
	waited := time.Duration(0)
	if c.readAt == 0 || c.readDelayed || c.front.loop.Late() {
		waited = c.net.Waited()
	}
	n, err := c.net.Read(buf)
	if errors.Is(err, reactor.ErrWait) {
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
	c.readDelayed = false // readable stays: a read may give less than there is, and what it leaves is not told again
	c.readAt = c.front.loop.Now() - waited
	if len(c.partial) > 0 {
		c.partial = c.partial[:len(c.partial)+n]
		c.startCommands(nil)
	} else {
		c.startCommands(buf[:n])
	}
}

// growPartial makes room in half to read on.
func (c *client) growPartial() bool {
	size := min(2*cap(c.partial), resp.MaxMessage+minPartialBuffer)
	if size == cap(c.partial) || !c.front.loop.memory.tryReserve(size-cap(c.partial)) {
		return false
	}
	c.partial = append(make([]byte, 0, size), c.partial...)
	return true
}

// keepPartial holds what is left of the commands read, in place of what was held.
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

// startCommands starts all whole startCommands of what was read, which is in half where
// read is nil, and keeps the rest.
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
		if len(args) > 0 { // an empty array asks for nothing
			c.startCommand(args, n)
		}
	}
	if c.closing || c.net == nil {
		return
	}
	c.hasBacklog = len(buf) > 0 && !c.acceptsCommands()
	// A client that says half a command and no more would keep its descriptor
	// for good, and one that trickles is as bad: bytes buy no further time, whole
	// commands do. One that waits for us is not to blame.
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

// startCommand starts a startCommand.
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
		// Bounded for each connection, so that who sends nonsense as fast as it
		// is turned away leaves the CPU to the others.
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
		// Nothing has run; holding more would end the whole process.
		owner.figures.classes[cmd.class].Busy++
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

// copyArgs copies the parts out of the read buffer.
func copyArgs(args [][]byte, size int) [][]byte {
	block := make([]byte, 0, size)
	for i, a := range args {
		at := len(block)
		block = append(block, a...)
		args[i] = block[at:len(block):len(block)]
	}
	return args
}

// reportActivity tells the admission controller whether anything is open on the connection; part of a
// command is.
func (c *client) reportActivity() {
	switch {
	case c.net == nil:
	case c.first != nil, len(c.unwritten) > 0, len(c.partial) > 0, c.closing:
		c.front.admission.MarkBusy(&c.place, c.hasRequested)
	default:
		c.front.admission.MarkIdle(&c.place, c.front.loop.Now())
	}
}

// hasInput tells whether there is something to read, whatever the poller has told.
func (c *client) hasInput() bool {
	c.readable = c.readable || c.net.Pending()
	return c.readable
}
