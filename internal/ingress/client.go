package ingress

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"curlewsail/door"
)

const (
	writeTimeout  = 5 * time.Second         // a client that does not read its answers
	lingerTime    = 200 * time.Millisecond  // to read what crosses the end of a connection
	lingerBytes   = 64 << 10                // and so much of it
	mostPending   = 128                     // open requests on one connection
	firstPatience = 2200 * time.Millisecond // for the first command on a connection
	halfPatience  = 2 * time.Second         // for the rest of one that has begun
	mostWrong     = 8                       // wrong commands after which a connection ends
	wrongPause    = 50 * time.Millisecond   // before the answer to the second one, and each further one
)

var (
	errSilent   = errors.New("no command came in time")
	errHalf     = errors.New("the command did not become whole in time")
	errWrong    = errors.New("too many wrong commands")
	errNoMemory = errors.New("no memory is left for the command")
	errEnds     = errors.New("the connection takes no further command")
	errLeft     = errors.New("the client is gone")
)

// slot is the place of one answer in the order of its connection.
type slot struct {
	request *request // nil for what needs no backend
	data    []byte
	filled  bool
}

// client is a client's connection. A reader takes commands off it and starts
// them at once; a writer sends the answers in the order of the commands.
type client struct {
	server  *Server
	nc      net.Conn
	opened  time.Time
	place   door.Place[*client] // the server's
	wake    chan struct{}       // the writer has something to do
	space   chan struct{}       // the reader may go on
	written chan struct{}       // closed when the writer has ended
	wrong   atomic.Int32        // wrong commands so far

	mu      sync.Mutex
	pending []*slot
	half    bool // a part of a command has come
	writing bool // the writer runs, or has run
	asked   bool // has sent a request that could be taken
	sending bool // the writer has answers that it has not written yet
	evicted bool // closed to make room
	closing bool // takes no further command, and ends when all is answered
	drained bool // closes between requests
	gone    bool
}

func newClient(s *Server, nc net.Conn) *client {
	c := &client{server: s, nc: nc, opened: time.Now(), wake: make(chan struct{}, 1),
		space: make(chan struct{}, 1), written: make(chan struct{})}
	c.place.Owner = c
	return c
}

func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// open tells whether anything is open on the connection, a part of a command
// among it, and whether it has ever asked.
func (c *client) open() (open, asked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) > 0 || c.sending || c.half || c.closing || c.drained, c.asked
}

// evict closes the connection at once. A command that crosses this counts as
// not read, and the client sends it elsewhere.
func (c *client) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted, c.closing = true, true
	c.nc.SetReadDeadline(longAgo)
}

func (c *client) drain() {
	c.mu.Lock()
	c.drained = true
	c.startWriter()
	c.mu.Unlock()
	notify(c.wake)
}

// startWriter starts the writer with the first that it has to do: most
// connections of bad clients never give it anything.
func (c *client) startWriter() {
	if !c.writing {
		c.writing = true
		go c.write()
	}
}

// fill gives a slot its answer. It does not block.
func (c *client) fill(s *slot, data []byte) {
	c.mu.Lock()
	if c.gone {
		c.mu.Unlock()
		return
	}
	c.server.loop.memory.force(len(data)) // until it is written
	s.data, s.filled = data, true
	first := len(c.pending) > 0 && c.pending[0] == s
	c.mu.Unlock()
	if first {
		notify(c.wake)
	}
}

// push appends a slot. It returns false if the connection takes no more: the
// command counts as not read, and the client sends it elsewhere.
func (c *client) push(s *slot) bool {
	for {
		c.mu.Lock()
		full := len(c.pending) >= mostPending && !c.gone
		closing := c.closing
		first := len(c.pending) == 0
		if !full && !closing {
			c.pending = append(c.pending, s)
			c.asked = c.asked || s.request != nil
			c.startWriter()
		}
		c.mu.Unlock()
		if !full || closing {
			if first && !closing {
				c.server.standing(c)
			}
			return !closing
		}
		<-c.space
	}
}

// abandoned returns the requests that still waited for an answer.
func (c *client) abandoned() (open []*request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.pending {
		if s.request != nil && !s.filled {
			open = append(open, s.request)
		}
		c.server.loop.memory.give(len(s.data))
	}
	c.pending = nil
	return open
}

// read takes commands until the client leaves, or sends what can't be read.
func (c *client) read() {
	if err := c.take(); !errors.Is(err, errLeft) {
		if !errors.Is(err, errEnds) {
			c.refuse(err)
		}
		c.finish()
	}
	c.nc.Close()
	c.mu.Lock()
	c.gone = true
	c.mu.Unlock()
	notify(c.wake)
	c.server.loop.post(func(l *loop) { l.gone(c) })
	c.server.remove(c)
}

// finish lets the writer send the answers still due: a connection that closes
// under them loses requests. What the client sends meanwhile is not read, and
// hardly after: at full speed it would cost the others their CPU.
func (c *client) finish() {
	c.mu.Lock()
	c.closing = true
	due := c.writing && !c.evicted
	c.mu.Unlock()
	if due {
		notify(c.wake)
		<-c.written
		io.CopyN(io.Discard, c.nc, lingerBytes)
	}
}

// take starts the commands as they come.
func (c *client) take() error {
	buf := make([]byte, 0, readBuffer)
	defer func() { c.server.loop.memory.give(cap(buf) - readBuffer) }()
	// A client that says nothing, or half a command and no more, would keep
	// its descriptor for good.
	c.await(c.opened.Add(firstPatience))
	timed := true
	for {
		n, err := c.nc.Read(buf[len(buf):cap(buf)])
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && !c.ends():
			if len(buf) > 0 {
				return errHalf
			}
			return errSilent
		case err != nil:
			return errLeft
		}
		at := time.Now()
		buf = buf[:len(buf)+n]
		rest, err := c.commands(buf, at)
		if err != nil {
			return err
		}
		if half := len(rest) > 0; half != c.half {
			c.mu.Lock()
			c.half = half
			c.mu.Unlock()
			c.server.standing(c)
		}
		switch half := len(rest) > 0; {
		case half && (!timed || len(rest) < len(buf)):
			c.await(at.Add(halfPatience))
			timed = true
		case !half && timed:
			c.await(time.Time{})
			timed = false
		}
		if buf, err = c.refit(buf, rest); err != nil {
			return err
		}
	}
}

// refit makes a buffer of what is left of buf, with room to read on.
func (c *client) refit(buf, rest []byte) ([]byte, error) {
	memory := c.server.loop.memory
	switch {
	case len(rest) == 0 && cap(buf) > readBuffer:
		memory.give(cap(buf) - readBuffer)
		return make([]byte, 0, readBuffer), nil
	case len(rest) == cap(buf):
		size := min(2*cap(buf), maxMessage+readBuffer)
		if !memory.take(size - cap(buf)) {
			return buf, errNoMemory
		}
		return append(make([]byte, 0, size), rest...), nil
	}
	return buf[:copy(buf[:cap(buf)], rest)], nil
}

// await lets the reader wait until then; the end of the connection goes before.
func (c *client) await(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		c.nc.SetReadDeadline(until)
	}
}

func (c *client) ends() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// commands starts all whole commands in buf and returns what is left.
func (c *client) commands(buf []byte, at time.Time) (rest []byte, err error) {
	for len(buf) > 0 {
		args, n, err := nextCommand(buf)
		if err != nil || n == 0 {
			return buf, err
		}
		buf = buf[n:]
		if len(args) == 0 { // an empty array asks for nothing
			continue
		}
		wrong, ok := c.command(args, n, at)
		if !ok {
			return nil, errEnds
		}
		if wrong == nil {
			continue
		}
		// Bounded for each connection, so that who sends nonsense as fast as
		// it is turned away leaves the CPU to the others.
		switch n := c.wrong.Add(1); {
		case n >= mostWrong:
			return nil, errWrong
		case n > 1:
			time.Sleep(wrongPause)
		}
		if !c.refuse(wrong) {
			return nil, errEnds
		}
	}
	return nil, nil
}

// command starts a command. It tells what is wrong with it, and whether the
// connection takes it: otherwise it counts as not read.
func (c *client) command(args [][]byte, size int, at time.Time) (wrong error, ok bool) {
	if equalFold(args[0], "PING") {
		if !c.server.loop.ready.Load() {
			return nil, c.reply(redcon.AppendError(nil, "ERR no backend is known"))
		}
		return nil, c.reply(redcon.AppendString(nil, "PONG"))
	}
	cmd, err := c.server.cfg.parseCommand(args)
	if err != nil {
		return err, true
	}
	memory := c.server.loop.memory
	if !memory.take(size) {
		// Nothing has run; holding more would end the whole process.
		return nil, c.reply(redcon.AppendError(nil, "BUSY"))
	}
	cmd.args = own(args, size)
	limit := min(cmd.limit, c.server.cfg.Choice.Classes[cmd.class].Deadline)
	r := &request{command: cmd, size: size, from: c, deadline: at.Add(limit - min(answerMargin, limit/marginPart))}
	r.slot = &slot{request: r}
	if !c.push(r.slot) {
		memory.give(size)
		return nil, false
	}
	c.server.loop.post(func(l *loop) { l.request(r) })
	return nil, true
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

func (c *client) reply(data []byte) bool {
	if !c.push(&slot{data: data, filled: true}) {
		return false
	}
	c.server.loop.memory.force(len(data))
	notify(c.wake)
	return true
}

// refuse answers what is no valid request.
func (c *client) refuse(err error) bool { return c.reply(redcon.AppendError(nil, "ERR "+err.Error())) }

// write sends the answers in order.
func (c *client) write() {
	defer close(c.written)
	var out []byte
	for range c.wake {
		c.mu.Lock()
		out = out[:0]
		n := 0
		for n < len(c.pending) && c.pending[n].filled {
			out = append(out, c.pending[n].data...)
			n++
		}
		c.pending = c.pending[n:]
		c.sending = n > 0
		empty := len(c.pending) == 0
		if empty {
			c.pending = nil
			c.closing = c.closing || c.drained
		}
		last, gone := empty && c.closing, c.gone
		c.mu.Unlock()
		notify(c.space)
		if gone {
			c.server.loop.memory.give(len(out))
			return
		}
		if len(out) > 0 {
			c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, err := c.nc.Write(out)
			c.server.loop.memory.give(len(out))
			c.mu.Lock()
			c.sending, c.gone = false, c.gone || err != nil
			c.mu.Unlock()
			if empty {
				c.server.standing(c)
			}
			if err != nil {
				c.nc.Close() // the reader notices
				notify(c.space)
				return
			}
			if cap(out) > maxMessage {
				out = nil
			}
		}
		if last {
			// The reader goes on for a moment, so that what the client sends
			// meanwhile does not turn the end into a reset that eats answers.
			c.nc.(*net.TCPConn).CloseWrite()
			c.nc.SetReadDeadline(time.Now().Add(lingerTime))
			return
		}
	}
}
