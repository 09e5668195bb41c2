package ingress

import (
	"container/list"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"wickarch/admission"
	"wickarch/internal/lifecycle"
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

// slot is the place of one answer in the order of its connection.
type slot struct {
	client  *client
	request *request // nil for what needs no backend
	data    []byte   // the answer as it is written, or the value alone
	next    *slot
	body    body // in place of data: a value passed on as it comes, until that has ended
	filled  bool
	begun   bool // the head of the body has been written
	value   bool // data is a value, to be written as a bulk string
}

// size is how many bytes the answer has as it is written.
func (s *slot) size() int {
	if !s.value {
		return len(s.data)
	}
	n := len("$0\r\n\r\n") + len(s.data)
	for left := len(s.data); left >= 10; left /= 10 {
		n++
	}
	return n
}

// appendTo appends the answer as it is written.
func (s *slot) appendTo(b []byte) []byte {
	if s.value {
		return redcon.AppendBulk(b, s.data)
	}
	return append(b, s.data...)
}

var (
	failedLine = []byte("-ERR failed\r\n")
	knownLine  = []byte("-ERR the request id is in use\r\n")
)

// Gone tells whether the client has left.
func (s *slot) Gone() bool { return s.client.net == nil || s.client.net.Gone() }

// Answer gives the slot its one answer.
func (s *slot) Answer(o outcome) {
	c := s.client
	if c.net == nil || c.endBy > 0 {
		if s.body = o.body; s.body != nil {
			s.abandon()
		}
		return
	}
	if o.body != nil {
		s.body, s.filled = o.body, true
		s.body.Notify(c.soil)
		if c.first == s {
			c.soil()
		}
		return
	}
	switch o.kind {
	case served:
		s.data, s.value = o.value, true
	case refused:
		s.data = append(make([]byte, 0, len("-BUSY 1000\r\n")), "-BUSY"...)
		if ms := o.after.Milliseconds(); ms > 0 {
			s.data = strconv.AppendInt(append(s.data, ' '), ms, 10)
		}
		s.data = append(s.data, "\r\n"...)
	case failed:
		s.data = failedLine
	case known:
		s.data = knownLine
		c.wrong++
	}
	s.filled = true
	n := s.size()
	c.front.loop.memory.force(n) // until it is written
	c.owe(n)
	if c.first == s && c.net != nil {
		c.soil()
	}
}

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
	half        []byte // what has been read of a command that is not whole, or is not to be taken yet
	unwritten   []byte // what its client did not take of the answers last written
	unread      int    // bytes of answers that are due or unwritten

	readAt  time.Duration // when what was last read had come
	readBy  time.Duration // the first command, or the rest of one, must be here; 0: no bound
	writeBy time.Duration // the client must have taken unwritten; 0: nothing is
	resume  time.Duration // wrong commands: nothing is read before; 0: no pause
	endBy   time.Duration // the connection has been ended and closes then; 0: it has not
	endedAt time.Duration // when it has been

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

// soil notes that there may be something to write.
func (c *client) soil() {
	if !c.soiled {
		c.soiled = true
		c.front.dirty = append(c.front.dirty, c)
	}
}

// push appends a slot.
func (c *client) push(s *slot) {
	if c.last != nil {
		c.last.next = s
	} else {
		c.first = s
	}
	c.last = s
	c.pending++
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

// takes tells whether a further command may be read.
func (c *client) takes() bool {
	return c.net != nil && !c.closing && !c.parting && c.resume == 0 && c.pending < mostPending && c.unread < mostUnread
}

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
	if len(c.half) > 0 {
		if len(c.half) == cap(c.half) && !c.grow() {
			c.fail(closedNoMemory, errNoMemory)
			return
		}
		buf = c.half[len(c.half):cap(c.half)]
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
	if len(c.half) > 0 {
		c.half = c.half[:len(c.half)+n]
		c.commands(nil)
	} else {
		c.commands(buf[:n])
	}
}

// grow makes room in half to read on.
func (c *client) grow() bool {
	size := min(2*cap(c.half), resp.MaxMessage+leastHalf)
	if size == cap(c.half) || !c.front.loop.memory.take(size-cap(c.half)) {
		return false
	}
	c.half = append(make([]byte, 0, size), c.half...)
	return true
}

// keep holds what is left of the commands read, in place of what was held.
func (c *client) keep(rest []byte) bool {
	memory := c.front.loop.memory
	if len(rest) == 0 {
		memory.give(cap(c.half))
		c.half = nil
		return true
	}
	if cap(c.half) >= len(rest) {
		c.half = c.half[:copy(c.half[:cap(c.half)], rest)]
		return true
	}
	size := max(leastHalf, len(rest))
	if !memory.take(size - cap(c.half)) {
		return false
	}
	c.half = append(make([]byte, 0, size), rest...)
	return true
}

// commands starts all whole commands of what was read, which is in half where
// read is nil, and keeps the rest.
func (c *client) commands(read []byte) {
	buf := read
	if buf == nil {
		buf = c.half
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
			c.fail(closedWrong, errWrong)
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
	r.answer = &r.slot
	c.asked = true
	c.push(&r.slot)
	owner.events.taken(c, r)
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

// settle writes the answers that are due, in order, and ends the connection if
// it is to end and nothing is left.
func (c *client) settle() {
	if c.net == nil {
		return
	}
	f := c.front
	if len(c.unwritten) > 0 {
		if !c.write(c.unwritten) {
			return
		}
		c.writeBy = 0
		f.held -= c.unread
		f.unstall(c)
		c.arm()
	}
	for c.first != nil && c.first.filled {
		if c.first.body != nil {
			if !c.pour() {
				return
			}
			continue
		}
		out := f.out[:0]
		for s := c.first; s != nil && s.filled && s.body == nil && (len(out) == 0 || len(out)+s.size() <= sharedBuffer); s = c.first {
			out = s.appendTo(out)
			c.drop()
		}
		if f.out = out; cap(out) > 2*sharedBuffer {
			f.out = nil
		}
		if !c.write(out) {
			return
		}
	}
	// What has come already is not lost to the end that follows.
	if c.first == nil && !c.closing && (c.behind || c.readable || f.draining && c.speaks()) {
		c.pump()
		if c.first != nil || c.net == nil {
			return
		}
	}
	if c.first == nil && (c.closing || f.draining) && c.endBy == 0 && (c.asked || c.closing || c.place.Leaving()) {
		if !c.closing {
			c.why = closedDraining
		}
		c.shut()
		return
	}
	if c.readable || len(c.half) > 0 {
		c.pump() // what was not taken while so much was due
		return
	}
	c.reportActivity()
}

// write writes b, and tells whether the client has taken all of it. What it
// does not take now is held, by this connection alone; the others go on.
func (c *client) write(b []byte) bool {
	f := c.front
	n, err := c.net.Write(b)
	c.unread -= n
	f.loop.memory.give(n)
	if c.stall != nil {
		f.held -= n
	}
	switch {
	case err == nil:
	case errors.Is(err, reactor.ErrWait) && c.stall != nil:
		c.unwritten = b[n:]
		if n > 0 { // it does read, if slowly
			c.writeBy = f.loop.Now() + writeTimeout
			c.arm()
		}
		return false
	case errors.Is(err, reactor.ErrWait):
		c.unwritten = append([]byte(nil), b[n:]...)
		c.writeBy = f.loop.Now() + writeTimeout
		c.stall = f.stalled.PushBack(c)
		f.held += c.unread
		c.arm()
		c.bound()
		return false
	default:
		c.close(closedWriteFailed, err)
		return false
	}
	c.unwritten = nil
	return true
}

// owe takes note of an answer that is due.
func (c *client) owe(n int) {
	c.unread += n
	if c.stall != nil {
		c.front.held += n
		c.bound()
	}
}

// bound closes connections whose clients do not read, where they hold too much:
// this one by its own bound, and the one that stalls for longest by that of all.
// Their answers have failed, and are not kept for ever.
func (c *client) bound() {
	f := c.front
	if c.unread > mostHeld {
		c.close(closedUnread, nil)
	}
	for int64(f.held) > f.loop.memory.most/heldPart && f.stalled.Len() > 0 {
		f.stalled.Front().Value.(*client).close(closedUnread, nil)
	}
}

// shut ends the connection for the client, and keeps its end for a moment: closed
// at once, what comes meanwhile would turn it into a reset that eats answers. None
// of that is read. A request that crosses the end of its connection unread is sent
// anew by its client; one that was read would be taken, and lost.
func (c *client) shut() {
	if c.first != nil {
		c.front.loop.violates(lifecycle.Close(c.pending, false), c.first.request)
	}
	c.front.loop.events.closed(c, c.why, nil)
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
		c.end(closedFinished)
	}
}

// reportActivity tells the admission controller whether anything is open on the connection; part of a
// command is.
func (c *client) reportActivity() {
	switch {
	case c.net == nil:
	case c.first != nil, len(c.unwritten) > 0, len(c.half) > 0, c.closing:
		c.front.admission.MarkBusy(&c.place, c.asked)
	default:
		c.front.admission.MarkIdle(&c.place, c.front.loop.Now())
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

// speaks tells whether there is something to read, whatever the poller has told.
func (c *client) speaks() bool {
	c.readable = c.readable || c.net.Pending()
	return c.readable
}

// arm sets the timer to the first of the connection's deadlines.
func (c *client) arm() {
	at := time.Duration(0)
	for _, by := range [...]time.Duration{c.readBy, c.writeBy, c.resume, c.endBy} {
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
		c.close(closedEnded, nil)
		return
	case over(&c.writeBy):
		c.close(closedSlowReader, nil)
		return
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
		if len(c.half) > 0 {
			c.fail(closedHalf, errHalf)
		} else {
			c.fail(closedSilent, errSilent)
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
	if c.endBy == 0 && why != closedEnded { // its end has been told already
		f.loop.events.closed(c, why, err)
	}
	c.net.Close()
	c.net = nil
	f.leave(c)
	f.loop.Unset(&c.timer)
	f.admission.Release(&c.place)
	open := c.forsake()
	if len(open) > 0 {
		f.loop.violates(lifecycle.Close(len(open), why.frees()), open[0])
	}
	f.loop.gone(open)
}

// breakOff ends the connection behind what has been written, and its open
// requests. To close it over commands that are not read would be a reset, which
// takes the answers before with it.
func (c *client) breakOff() {
	open := c.forsake()
	c.why = closedValueBroken
	c.shut()
	c.front.loop.gone(open)
}

// forsake drops all answers that are due and returns the requests that are open.
func (c *client) forsake() (open []*request) {
	f := c.front
	if c.stall != nil {
		f.unstall(c)
		f.held -= c.unread
	}
	f.loop.memory.give(c.unread)
	c.unread, c.unwritten = 0, nil
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
