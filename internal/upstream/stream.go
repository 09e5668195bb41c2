package upstream

import (
	"bytes"
	"errors"
	"io"
	"time"

	"wickarch/choice"
	"wickarch/internal/reactor"
	"wickarch/internal/resp"
)

// Values past resp.MaxValue are not held: their attempt ends with a stream, and
// whoever it is for takes the value from it at its own pace. While it does not
// read, nothing is read from the backend either. What is held of one is bounded
// by streamBuffer on the way in.

const (
	// streamBuffer bounds what is read of an answer before it is known to be large.
	streamBuffer = 16 << 10
	// streamStall is how long a backend may say nothing within a value while
	// somebody waits for more.
	streamStall = 5 * time.Second
	// tailStall is how long the figures behind a value may take; they are worth no more.
	tailStall = 300 * time.Millisecond
)

// ErrBroken tells that the rest of a value will never come, or that what came is
// none. What was passed on of it can't be taken back.
var ErrBroken = errors.New("the value broke off")

// Stream is a large value on its way from a backend. Its methods belong to the
// reactor's goroutine. It must be read to its end or closed.
type Stream struct {
	conn   *conn
	size   int
	left   int    // bytes of the value that were not read
	held   []byte // read from the connection already
	tail   []byte // behind the value: its end, figures on use, load report
	closed bool
	broken bool
	whole  bool // the value's end has been seen
	notify func()
}

// Size is the length of the value in bytes.
func (s *Stream) Size() int { return s.size }

// Notify names what is called when a Read that returned reactor.ErrWait is worth
// another try. It must not call Read itself.
func (s *Stream) Notify(f func()) { s.notify = f }

// Read reads the next part of the value. It returns reactor.ErrWait if nothing is
// here now, io.EOF once the value is whole, and ErrBroken if it never will be.
// The value's end is checked before io.EOF is told: who passes it on bit by bit
// can keep back what makes it whole.
func (s *Stream) Read(b []byte) (int, error) {
	switch {
	case s.broken || s.closed:
		return 0, ErrBroken
	case s.left == 0:
		return 0, s.end()
	}
	c := s.conn
	if len(s.held) > 0 {
		n := copy(b, s.held[:min(len(s.held), s.left)])
		s.held = s.held[n:]
		s.left -= n
		c.pool.loop.Unset(&c.timer)
		return n, nil
	}
	n, err := c.net.Read(b[:min(len(b), s.left)])
	switch {
	case errors.Is(err, reactor.ErrWait):
		c.pool.loop.Set(&c.timer, c.pool.loop.Now()+streamStall)
		return 0, err
	case err != nil:
		s.fail()
		return 0, ErrBroken
	}
	// No deadline runs while it is not asked for more.
	c.pool.loop.Unset(&c.timer)
	s.left -= n
	return n, nil
}

// Close gives the value up. It does nothing to one that was read to its end.
func (s *Stream) Close() {
	if !s.closed && !s.whole {
		s.closed = true
		s.notify = nil
		s.conn.close()
	}
}

// end reads what stands behind the value.
func (s *Stream) end() error {
	if s.whole {
		return io.EOF
	}
	c := s.conn
	if s.tail == nil {
		s.tail, s.held = append(make([]byte, 0, 256), s.held...), nil
	}
	for {
		if n := min(len(s.tail), len(lineEnd)); !bytes.Equal(s.tail[:n], lineEnd[:n]) {
			s.fail() // longer or shorter than it said
			return ErrBroken
		} else if n == len(lineEnd) {
			s.whole = true
			s.notify = nil
			s.figures()
			return io.EOF
		}
		if err := s.more(); errors.Is(err, reactor.ErrWait) {
			c.pool.loop.Set(&c.timer, c.pool.loop.Now()+streamStall)
			return err
		} else if err != nil {
			s.fail()
			return ErrBroken
		}
	}
}

var lineEnd = []byte("\r\n")

// more reads on behind the value.
func (s *Stream) more() error {
	c := s.conn
	n, err := c.net.Read(c.pool.in[:tailMost])
	s.tail = append(s.tail, c.pool.in[:n]...)
	return err
}

const tailMost = 2*maxFigures + 64 // the longest figures

// figures reads the figures behind the value, tells them, and ends the connection:
// a second copy of a large value could not be told from the next answer.
func (s *Stream) figures() {
	c := s.conn
	p := c.pool
	c.state = trailing
	for {
		var r Reply
		at, err := p.figures(&r, s.tail[len(lineEnd):], answerParts-1)
		if err == nil && at > 0 {
			r.Age = p.loop.Now() - c.carried.heard
			p.sink.Trailer(c.carried, r)
			break
		}
		if err != nil || len(s.tail) > tailMost {
			break
		}
		if err := s.more(); errors.Is(err, reactor.ErrWait) {
			p.loop.Set(&c.timer, p.loop.Now()+tailStall)
			return
		} else if err != nil {
			break
		}
	}
	c.close()
}

// fail ends a value that can't become whole.
func (s *Stream) fail() {
	s.broken = true
	s.conn.close()
	if s.notify != nil {
		s.notify()
	}
}

// ready tells that there is something to read.
func (s *Stream) ready() {
	if s.conn.state == trailing {
		s.figures()
	} else if s.notify != nil {
		s.notify()
	}
}

// begin turns the connection to a stream, behind the head of a large value. rest
// is what has been read behind the head.
func (c *conn) begin(r Reply, rest []byte) {
	a := c.attempt
	s := &Stream{conn: c, size: r.large, left: r.large, held: append([]byte(nil), rest...)}
	c.stream, c.carried, c.state = s, a, streaming
	c.attempt, c.part = nil, nil
	c.pool.loop.Unset(&c.timer)
	c.pool.end(a, Reply{Status: choice.OK, Stream: s})
}

// large tells whether a value of so many bytes is one to be streamed.
func large(size int) bool { return size > resp.MaxValue && size <= resp.MaxStreamedValue }
