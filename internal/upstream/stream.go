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

// Values larger than resp.MaxValue are not buffered: their attempt ends with a Stream,
// from which the client's side reads the value at its own pace. While it does not read,
// nothing is read from the backend. Of one value, at most streamBuffer bytes are
// buffered.

const (
	// streamBuffer limits what is read of a reply before its value is known to be large.
	streamBuffer = 16 << 10
	// streamStallTimeout is how long a backend may send nothing within a value while
	// the reader waits for more.
	streamStallTimeout = 5 * time.Second
	// trailerTimeout is how long the trailer of a value may take; its reports are not worth a longer wait.
	trailerTimeout = 300 * time.Millisecond
)

// ErrBroken means that the rest of a value will never arrive or is not as announced.
// The part of it that was passed on can't be taken back.
var ErrBroken = errors.New("the stream ended before the value was complete")

// Stream is a large value that is being received from a backend. Its methods must be
// called on the reactor's goroutine. It must be read to its end or closed.
type Stream struct {
	conn      *conn
	size      int
	remaining int    // bytes of the value that Read has not returned
	buffered  []byte // received, but not returned by Read
	trailer   []byte // what follows the value: CRLF, usage report, load report
	closed    bool
	broken    bool
	complete  bool // the CRLF after the value has arrived
	notify    func()
}

// Size returns the length of the value in bytes.
func (s *Stream) Size() int { return s.size }

// Notify sets the function that is called when a Read that returned reactor.ErrWouldBlock
// should be tried again. f must not call Read itself.
func (s *Stream) Notify(f func()) { s.notify = f }

// Read reads the next part of the value. It returns reactor.ErrWouldBlock if nothing has
// arrived, io.EOF once the value is complete, and ErrBroken if it never will be. The
// CRLF after the value is checked before io.EOF is returned, so a caller that forwards
// the value in parts can withhold what would make it complete.
func (s *Stream) Read(b []byte) (int, error) {
	switch {
	case s.broken || s.closed:
		return 0, ErrBroken
	case s.remaining == 0:
		return 0, s.readEnd()
	}
	c := s.conn
	if len(s.buffered) > 0 {
		n := copy(b, s.buffered[:min(len(s.buffered), s.remaining)])
		s.buffered = s.buffered[n:]
		s.remaining -= n
		c.pool.loop.Unset(&c.timer)
		return n, nil
	}
	n, err := c.net.Read(b[:min(len(b), s.remaining)])
	switch {
	case errors.Is(err, reactor.ErrWouldBlock):
		c.pool.loop.Set(&c.timer, c.pool.loop.Now()+streamStallTimeout)
		return 0, err
	case err != nil:
		s.fail()
		return 0, ErrBroken
	}
	// No timeout runs while the reader does not ask for more.
	c.pool.loop.Unset(&c.timer)
	s.remaining -= n
	return n, nil
}

// Close aborts the stream. It does nothing after the value was read to its end.
func (s *Stream) Close() {
	if !s.closed && !s.complete {
		s.closed = true
		s.notify = nil
		s.conn.close()
	}
}

// readEnd reads and checks the CRLF after the value.
func (s *Stream) readEnd() error {
	if s.complete {
		return io.EOF
	}
	c := s.conn
	if s.trailer == nil {
		s.trailer, s.buffered = append(make([]byte, 0, 256), s.buffered...), nil
	}
	for {
		if n := min(len(s.trailer), len(crlf)); !bytes.Equal(s.trailer[:n], crlf[:n]) {
			s.fail() // longer or shorter than announced
			return ErrBroken
		} else if n == len(crlf) {
			s.complete = true
			s.notify = nil
			s.finishTrailer()
			return io.EOF
		}
		if err := s.readMore(); errors.Is(err, reactor.ErrWouldBlock) {
			c.pool.loop.Set(&c.timer, c.pool.loop.Now()+streamStallTimeout)
			return err
		} else if err != nil {
			s.fail()
			return ErrBroken
		}
	}
}

var crlf = []byte("\r\n")

// readMore reads more of the trailer.
func (s *Stream) readMore() error {
	c := s.conn
	n, err := c.net.Read(c.pool.readBuffer[:maxTrailer])
	s.trailer = append(s.trailer, c.pool.readBuffer[:n]...)
	return err
}

const maxTrailer = 2*maxReportLength + 64 // bytes of the two reports with their framing

// finishTrailer reads the reports after the value, passes them to the sink and closes the
// connection: a second copy of a large value could not be told from the next reply.
func (s *Stream) finishTrailer() {
	c := s.conn
	p := c.pool
	c.state = receivingTrailer
	for {
		var r Reply
		consumed, err := p.parseTrailer(&r, s.trailer[len(crlf):], replyElements-1)
		if err == nil && consumed > 0 {
			r.Age = p.loop.Now() - c.streamAttempt.firstByteAt
			p.sink.Trailer(c.streamAttempt, r)
			break
		}
		if err != nil || len(s.trailer) > maxTrailer {
			break
		}
		if err := s.readMore(); errors.Is(err, reactor.ErrWouldBlock) {
			p.loop.Set(&c.timer, p.loop.Now()+trailerTimeout)
			return
		} else if err != nil {
			break
		}
	}
	c.close()
}

// fail ends a stream whose value can't become complete.
func (s *Stream) fail() {
	s.broken = true
	s.conn.close()
	if s.notify != nil {
		s.notify()
	}
}

// ready handles an event that there is something to read.
func (s *Stream) ready() {
	if s.conn.state == receivingTrailer {
		s.finishTrailer()
	} else if s.notify != nil {
		s.notify()
	}
}

// startStream ends the attempt with a stream, after the head of a large value. received
// is what has been read after the head.
func (c *conn) startStream(r Reply, received []byte) {
	a := c.attempt
	s := &Stream{conn: c, size: r.streamSize, remaining: r.streamSize, buffered: append([]byte(nil), received...)}
	c.stream, c.streamAttempt, c.state = s, a, streaming
	c.attempt, c.partial = nil, nil
	c.pool.loop.Unset(&c.timer)
	c.pool.recordOutcome(a, Reply{Status: choice.OK, Stream: s})
}

// isStreamed reports whether a value of this many bytes is streamed.
func isStreamed(size int) bool { return size > resp.MaxValue && size <= resp.MaxStreamedValue }
