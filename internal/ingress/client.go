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
	writeTimeout  = 5 * time.Second         // for a client to read on, once it does not
	lingerTime    = 200 * time.Millisecond  // for a client to end a connection that was ended for it
	mostPending   = 128                     // open requests on one connection
	firstPatience = 2200 * time.Millisecond // for the first command on a connection
	halfPatience  = 2 * time.Second         // for the rest of one that has begun
	mostWrong     = 8                       // wrong commands after which a connection ends
	wrongPause    = 50 * time.Millisecond   // after the second one, and each further one
	leastHalf     = 512                     // bytes of buffer for a command that has begun
	mostUnread    = 256 << 10               // answers not written, past which nothing more is read
	mostHeld      = 1 << 20                 // and past which a client that does not read is closed
	heldPart      = 2                       // of the memory for clients, at most so much for answers not read
)

var (
	errSilent   = errors.New("no command came in time")
	errHalf     = errors.New("the command did not become whole in time")
	errWrong    = errors.New("too many wrong commands")
	errNoMemory = errors.New("no memory is left for the command")
)

// client is a client's connection. Commands start as they come; answers go in
// the order of the commands.
type client struct {
	front  *front
	net    reactor.Conn // nil once closed
	number uint64       // in the order of acceptance, for logs
	index  int          // in front.clients
	wrong  int32        // wrong commands so far
	place  admission.Place[*client]
	timer  reactor.Timer

	first, last *slot // answers due, in order
	pending     int
	partial     []byte // what has been read of a command that is not whole, or is not to be taken yet
	unwritten   []byte // what its client did not take of the answers last written
	replyBytes  int    // bytes of answers that are due or unwritten

	readAt   time.Duration // when what was last read had come
	readBy   time.Duration // the first command, or the rest of one, must be here; 0: no bound
	writeBy  time.Duration // the client must have taken unwritten; 0: nothing is
	resume   time.Duration // wrong commands: nothing is read before; 0: no pause
	gatherBy time.Duration // the value that is waited for as a whole must be here; 0: none is
	endBy    time.Duration // the connection has been ended and closes then; 0: it has not
	endedAt  time.Duration // when it has been

	stall *list.Element // its place among those that do not read

	asked       bool        // has sent a request that could be taken
	timed       bool        // readBy runs, for this command or the one before
	readable    bool        // the socket may have more
	heldUp      bool        // what can be read has waited for us
	behind      bool        // half may hold whole commands: they came while none was taken
	parting     bool        // is in front.parting: its client has ended it
	queued      bool        // is in front.again
	soiled      bool        // is in front.dirty
	closing     bool        // takes no further command, and ends when all is answered
	inputClosed bool        // reads nothing more: what has been read is all that it takes
	why         closeReason // closing: why
}

// reply answers a command at once, in its order.
func (c *client) reply(data []byte) {
	c.front.loop.memory.force(len(data))
	c.push(&slot{client: c, data: data, filled: true})
	c.owe(len(data))
	c.soil()
}

// refuse answers what is no valid request.
func (c *client) refuse(err error) { c.reply(redcon.AppendError(nil, "ERR "+err.Error())) }

// fail tells the client what is wrong and ends the connection.
func (c *client) fail(why closeReason, err error) {
	c.refuse(err)
	c.end(why)
}

// takes tells whether a further command may be read.
func (c *client) takes() bool {
	return c.net != nil && !c.closing && !c.parting && c.resume == 0 && c.pending < mostPending && c.replyBytes < mostUnread && !c.pouring()
}

// pouring tells whether a value is being passed on as it comes. If it breaks off the connection ends, and
// what was read behind it would be lost.
func (c *client) pouring() bool { return c.first != nil && c.first.begun }

// pump reads and starts commands, for as long as there are any and it is this
// connection's turn.
func (c *client) pump() {
	for turn := 0; c.net != nil; turn++ {
		if c.endBy > 0 {
			return
		}
		if !c.takes() {
			c.heldUp = c.readable
			break
		}
		if c.behind {
			c.commands(nil)
			if !c.takes() {
				break
			}
		}
		if !c.readable || c.inputClosed {
			break
		}
		if turn == readBatch {
			c.front.later(c)
			break
		}
		c.read()
	}
	c.reportActivity()
}

// read reads once, and starts the commands that are whole.
func (c *client) read() {
	buf := c.front.buf
	if len(c.partial) > 0 {
		if len(c.partial) == cap(c.partial) && !c.grow() {
			c.fail(closedNoMemory, errNoMemory)
			return
		}
		buf = c.partial[len(c.partial):cap(c.partial)]
	}
	// A request's time counts from when it came: it may have waited for a place,
	// for its connection's turn, or while the process stood still.
	waited := time.Duration(0)
	if c.readAt == 0 || c.heldUp || c.front.loop.Late() {
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
	c.heldUp = false // readable stays: a read may give less than there is, and what it leaves is not told again
	c.readAt = c.front.loop.Now() - waited
	if len(c.partial) > 0 {
		c.partial = c.partial[:len(c.partial)+n]
		c.commands(nil)
	} else {
		c.commands(buf[:n])
	}
}

// grow makes room in half to read on.
func (c *client) grow() bool {
	size := min(2*cap(c.partial), resp.MaxMessage+leastHalf)
	if size == cap(c.partial) || !c.front.loop.memory.take(size-cap(c.partial)) {
		return false
	}
	c.partial = append(make([]byte, 0, size), c.partial...)
	return true
}

// keep holds what is left of the commands read, in place of what was held.
func (c *client) keep(rest []byte) bool {
	memory := c.front.loop.memory
	if len(rest) == 0 {
		memory.give(cap(c.partial))
		c.partial = nil
		return true
	}
	if cap(c.partial) >= len(rest) {
		c.partial = c.partial[:copy(c.partial[:cap(c.partial)], rest)]
		return true
	}
	size := max(leastHalf, len(rest))
	if !memory.take(size - cap(c.partial)) {
		return false
	}
	c.partial = append(make([]byte, 0, size), rest...)
	return true
}

// commands starts all whole commands of what was read, which is in half where
// read is nil, and keeps the rest.
func (c *client) commands(read []byte) {
	buf := read
	if buf == nil {
		buf = c.partial
	}
	all := len(buf)
	for len(buf) > 0 && c.takes() {
		args, n, err := nextCommand(buf)
		if err != nil {
			c.fail(closedMalformed, err)
			return
		}
		if n == 0 {
			break
		}
		buf = buf[n:]
		if len(args) > 0 { // an empty array asks for nothing
			c.command(args, n)
		}
	}
	if c.closing || c.net == nil {
		return
	}
	c.behind = len(buf) > 0 && !c.takes()
	// A client that says half a command and no more would keep its descriptor
	// for good, and one that trickles is as bad: bytes buy no further time, whole
	// commands do. One that waits for us is not to blame.
	switch {
	case len(buf) == 0 || c.behind:
		c.readBy, c.timed = 0, false
	case !c.timed || len(buf) < all:
		c.readBy, c.timed = c.front.loop.Now()+halfPatience, true
	}
	if !c.keep(buf) {
		c.fail(closedNoMemory, errNoMemory)
		return
	}
	c.arm()
}

// command starts a command.
func (c *client) command(args [][]byte, size int) {
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
		c.wrong++
		if c.wrong >= mostWrong {
			c.fail(closedInvalidCommands, errWrong)
			return
		}
		if c.wrong > 1 {
			c.resume = c.front.loop.Now() + wrongPause
		}
		c.refuse(err)
		return
	}
	if !owner.memory.take(size) {
		// Nothing has run; holding more would end the whole process.
		owner.figures.classes[cmd.class].Busy++
		c.reply(redcon.AppendError(nil, "BUSY"))
		return
	}
	cmd.args = own(args, size)
	limit := min(cmd.limit, cfg.Choice.Classes[cmd.class].Deadline)
	r := &request{command: cmd, size: size, deadline: c.readAt + limit - min(answerMargin, limit/marginPart)}
	r.slot = slot{client: c, request: r}
	r.replyTo = &r.slot
	c.asked = true
	c.push(&r.slot)
	owner.events.requestAccepted(c, r)
	owner.request(r)
}

// own copies the parts out of the read buffer.
func own(args [][]byte, size int) [][]byte {
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
		c.front.admission.MarkBusy(&c.place, c.asked)
	default:
		c.front.admission.MarkIdle(&c.place, c.front.loop.Now())
	}
}

// speaks tells whether there is something to read, whatever the poller has told.
func (c *client) speaks() bool {
	c.readable = c.readable || c.net.Pending()
	return c.readable
}
