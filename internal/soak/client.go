//go:build linux

package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"

	"wickarch/internal/standin"
)

const (
	answerGrace  = 500 * time.Millisecond // how long after its deadline a request may be answered
	readGrace    = time.Second            // how long after the deadline of a request a client reads
	maxPieceSize = 60                     // in bytes, for short commands
	// minPieces bounds the pieces of a long command, each followed by a delay of up to 3 ms. A client that took seconds
	// to write a command would look to the ingress like one that stopped in the middle of it, and be disconnected.
	minPieces             = 100
	maxBodySize           = 40_000                 // in bytes
	maxPipelined          = 4                      // requests written without waiting for answers
	partialCommandMargin  = 300 * time.Millisecond // part of partialCommandTimeout that the ingress does not need
	partialCommandTimeout = 3 * time.Second        // by which a client that stops within a command gets an error or a close
)

// runClient sends requests until ctx ends, on one connection at a time.
func (r *run) runClient(ctx context.Context) {
	for ctx.Err() == nil {
		in := r.ingresses[rand.IntN(len(r.ingresses))]
		n, accepts := in.acceptsClients()
		if !accepts {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		dialedAt := time.Now()
		nc, err := net.DialTimeout("tcp", in.node.Listen, time.Second)
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		s := &session{run: r, target: in, processIndex: n, conn: nc, reader: bufio.NewReader(nc), dialedAt: dialedAt}
		if rand.Float64() < r.cfg.PartialCommandShare {
			s.sendPartialCommand()
		} else {
			s.exchange(ctx)
		}
		nc.Close()
	}
}

// session is one connection of a client.
type session struct {
	run          *run
	target       *ingress
	processIndex int
	conn         net.Conn
	reader       *bufio.Reader
	dialedAt     time.Time
	requestCount int
}

// exchange sends requests, some of them pipelined, until either side closes the connection.
func (s *session) exchange(ctx context.Context) {
	for remaining := 1 + rand.IntN(40); remaining > 0 && ctx.Err() == nil; remaining-- {
		batch := make([]*request, 1)
		var longest time.Duration
		if rand.Float64() < 0.1 {
			batch = make([]*request, 1+rand.IntN(maxPipelined))
		}
		for n := range batch {
			batch[n] = s.newRequest()
			longest = max(longest, batch[n].timeout)
			batch[n].pipelineTimeout = longest
		}
		if !s.send(batch) {
			return
		}
		if rand.Float64() < s.run.cfg.DisconnectShare {
			s.disconnect(batch)
			return
		}
		for _, q := range batch {
			if !s.awaitAnswer(q, batch) {
				return
			}
		}
		if s.reader.Buffered() > 0 {
			s.run.addViolation(batch[0], "bytes after the last answer")
			return
		}
		time.Sleep(s.thinkTime())
	}
}

// thinkTime returns the time until the next request of the client.
func (s *session) thinkTime() time.Duration {
	if rand.Float64() < 0.03 {
		return time.Duration(rand.IntN(1500)) * time.Millisecond
	}
	return time.Duration(rand.IntN(60)) * time.Millisecond
}

// newRequest draws a request.
func (s *session) newRequest() *request {
	s.requestCount++
	timeouts := []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, s.run.cfg.maxTimeout()}
	q := &request{id: standin.NewID(), class: class(rand.IntN(int(numClasses))), customer: uint64(1 + rand.IntN(40)),
		ingress: s.target, processIndex: s.processIndex,
		firstOnConn: s.requestCount == 1, dialedAt: s.dialedAt, timeout: timeouts[rand.IntN(len(timeouts))], bodySize: 4}
	if rand.Float64() < 0.1 {
		q.capped, q.customer = true, cappedCustomerID
	}
	if rand.Float64() < 0.05 {
		q.bodySize = rand.IntN(maxBodySize)
	}
	return q
}

// command returns the words of the command that the client sends. spread is the number of ingresses that the
// customer uses.
func (q *request) command(spread int) []string {
	plan := "basic"
	if q.capped {
		plan = "capped"
	}
	options := fmt.Sprintf("c=%s,t=%s,d=%d,units=1,spread=%d,first=0", classNames[q.class], plan, q.timeout.Milliseconds(), spread)
	if q.class == lookup {
		return []string{"Q.ASK", fmt.Sprintf("%016x", q.customer), q.id, options}
	}
	return []string{"Q.DO", fmt.Sprintf("%016x", q.customer), q.id, options, strings.Repeat("B", q.bodySize)}
}

// cappedCustomerID is the customer whose plan has a hard rate limit.
const cappedCustomerID = 99

var classNames = [numClasses]string{"lookup", "order", "payment"}

// send writes the requests of a batch, at once or in pieces, and reports whether all of them were written.
func (s *session) send(batch []*request) bool {
	var text []byte
	for _, q := range batch {
		s.run.record.add(q)
		text = append(text, standin.Encode(q.command(len(s.run.ingresses))...)...)
	}
	inPieces, length := rand.Float64() < 0.15, len(text)
	for len(text) > 0 {
		n := len(text)
		if inPieces {
			n = min(n, 1+rand.IntN(max(maxPieceSize, length/minPieces)))
		}
		if n == len(text) {
			for _, q := range batch {
				s.run.record.update(q, func(q *request) { q.sentAt = time.Now() })
			}
		}
		if _, err := s.conn.Write(text[:n]); err != nil {
			s.markConnClosed(batch)
			return false
		}
		if text = text[n:]; len(text) > 0 {
			time.Sleep(time.Duration(rand.IntN(4)) * time.Millisecond)
		}
	}
	for _, q := range batch {
		s.run.record.update(q, func(q *request) { q.sentAt = time.Now() })
	}
	return true
}

// markConnClosed records that the connection ended before the requests without an outcome were answered.
func (s *session) markConnClosed(batch []*request) {
	now := time.Now()
	for _, q := range batch {
		s.run.record.update(q, func(q *request) {
			if q.outcome == noAnswer {
				q.connClosedAt = now
			}
		})
	}
}

// disconnect closes the connection after up to 250 ms without reading, in 3 of 10 cases by a reset.
func (s *session) disconnect(batch []*request) {
	time.Sleep(time.Duration(rand.IntN(250)) * time.Millisecond)
	if rand.Float64() < 0.3 {
		_ = s.conn.(*net.TCPConn).SetLinger(0)
	}
	s.conn.Close()
	now := time.Now()
	for _, q := range batch {
		s.run.record.update(q, func(q *request) { q.clientClosedAt = now })
	}
}

// awaitAnswer waits for one answer and reports whether the connection stays open.
func (s *session) awaitAnswer(q *request, batch []*request) bool {
	_ = s.conn.SetReadDeadline(q.sentAt.Add(q.pipelineTimeout + readGrace)) // a failure shows in the read
	got, err := s.readAnswer(q)
	now := time.Now()
	if err == nil {
		s.run.record.update(q, func(q *request) { q.outcome, q.answeredAt = got, now })
		return true
	}
	if !errors.Is(err, io.EOF) {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			// The client gives up: to the ingress it has disconnected.
			s.conn.Close()
			now = time.Now()
			for _, q := range batch {
				s.run.record.update(q, func(q *request) {
					if q.outcome == noAnswer {
						q.clientClosedAt = now
					}
				})
			}
			return false
		}
	}
	s.markConnClosed(batch)
	return false
}

// readAnswer reads one answer and classifies it.
func (s *session) readAnswer(q *request) (answerOutcome, error) {
	line, err := s.reader.ReadString('\n')
	if err != nil {
		return noAnswer, err
	}
	switch {
	case strings.HasPrefix(line, "-BUSY"):
		return refused, nil
	case strings.HasPrefix(line, "-"):
		return failed, nil
	case !strings.HasPrefix(line, "$"):
		return invalidAnswer, nil
	}
	n, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	if err != nil || n != len(valueOf(q.id)) {
		return invalidAnswer, nil
	}
	value := make([]byte, n+2)
	if _, err = io.ReadFull(s.reader, value); err != nil {
		s.run.record.update(q, func(q *request) { q.outcome, q.answeredAt = truncatedAnswer, time.Now() })
		return noAnswer, err
	}
	if string(value[:n]) != valueOf(q.id) {
		return invalidAnswer, nil
	}
	return served, nil
}

// sendPartialCommand sends the beginning of a command and keeps the connection open. The ingress has to answer with
// an error or close the connection.
func (s *session) sendPartialCommand() {
	text := standin.Encode(s.newRequest().command(1)...)
	startedAt := time.Now()
	if _, err := s.conn.Write(text[:1+rand.IntN(len(text)-1)]); err != nil {
		return
	}
	_ = s.conn.SetReadDeadline(startedAt.Add(partialCommandTimeout)) // a failure shows in the read
	_, err := s.reader.ReadByte()
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() && s.run.maxStall(startedAt, time.Now()) < partialCommandMargin {
		s.run.addViolation(nil, "%s neither answers nor closes a connection with a partial command within %v",
			s.target.node.Name, partialCommandTimeout)
	}
}
