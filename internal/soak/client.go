//go:build linux && amd64

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
	answerGrace = 500 * time.Millisecond // behind a request's time, until which its answer may come
	waitsOn     = time.Second            // how long a client waits beyond a request's time
	mostPiece   = 60                     // bytes of a short command written at a time
	// fewestPieces of a long one, each followed by up to 3 ms: no client takes seconds to write a command, which the
	// ingress would take for one that has stopped in it.
	fewestPieces = 100
	mostBody     = 40_000                 // bytes
	mostBehind   = 4                      // requests written behind each other
	rudeSpare    = 300 * time.Millisecond // of that, what the ingress leaves unused
	rudePeriod   = 3 * time.Second        // in which a client that stops in a command is owed an error or a close
)

// clients send until ctx ends, each on one connection at a time.
func (r *run) client(ctx context.Context) {
	for ctx.Err() == nil {
		in := r.ingresses[rand.IntN(len(r.ingresses))]
		n, yes := in.takes()
		if !yes {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		begun := time.Now()
		nc, err := net.DialTimeout("tcp", in.node.Listen, time.Second)
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		s := &session{run: r, in: in, life: n, nc: nc, answers: bufio.NewReader(nc), begun: begun}
		if rand.Float64() < r.cfg.PartialCommandShare {
			s.rude()
		} else {
			s.converse(ctx)
		}
		nc.Close()
	}
}

// session is one connection of a client.
type session struct {
	run     *run
	in      *ingress
	life    int
	nc      net.Conn
	answers *bufio.Reader
	begun   time.Time
	asked   int
}

// converse sends requests one after the other until either side ends the connection.
func (s *session) converse(ctx context.Context) {
	for left := 1 + rand.IntN(40); left > 0 && ctx.Err() == nil; left-- {
		batch := make([]*request, 1)
		var latest time.Duration
		if rand.Float64() < 0.1 {
			batch = make([]*request, 1+rand.IntN(mostBehind))
		}
		for n := range batch {
			batch[n] = s.request()
			latest = max(latest, batch[n].limit)
			batch[n].inOrder = latest
		}
		if !s.send(batch) {
			return
		}
		if rand.Float64() < s.run.cfg.DisconnectShare {
			s.leave(batch)
			return
		}
		for _, q := range batch {
			if !s.answer(q, batch) {
				return
			}
		}
		if s.answers.Buffered() > 0 {
			s.run.violate(batch[0], "bytes behind the last answer")
			return
		}
		time.Sleep(s.pause())
	}
}

// pause is how long the client rests.
func (s *session) pause() time.Duration {
	if rand.Float64() < 0.03 {
		return time.Duration(rand.IntN(1500)) * time.Millisecond
	}
	return time.Duration(rand.IntN(60)) * time.Millisecond
}

// request makes one.
func (s *session) request() *request {
	s.asked++
	limits := []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, s.run.cfg.longest()}
	q := &request{id: standin.NewID(), kind: kind(rand.IntN(int(kinds))), customer: uint64(1 + rand.IntN(40)), ingress: s.in, life: s.life,
		first: s.asked == 1, begun: s.begun, limit: limits[rand.IntN(len(limits))], body: 4}
	if rand.Float64() < 0.1 {
		q.capped, q.customer = true, cappedCustomer
	}
	if rand.Float64() < 0.05 {
		q.body = rand.IntN(mostBody)
	}
	return q
}

// words are the request as it is sent.
func (q *request) words(spread int) []string {
	plan := "basic"
	if q.capped {
		plan = "capped"
	}
	options := fmt.Sprintf("c=%s,t=%s,d=%d,units=1,spread=%d,first=0", classNames[q.kind], plan, q.limit.Milliseconds(), spread)
	if q.kind == lookup {
		return []string{"Q.ASK", fmt.Sprintf("%016x", q.customer), q.id, options}
	}
	return []string{"Q.DO", fmt.Sprintf("%016x", q.customer), q.id, options, strings.Repeat("B", q.body)}
}

// cappedCustomer is the one whose plan has a hard ceiling.
const cappedCustomer = 99

var classNames = [kinds]string{"lookup", "order", "payment"}

// send writes requests behind each other, whole or in pieces, and tells whether all of them went.
func (s *session) send(batch []*request) bool {
	var text []byte
	for _, q := range batch {
		s.run.record.add(q)
		text = append(text, standin.Encode(q.words(len(s.run.ingresses))...)...)
	}
	pieces, whole := rand.Float64() < 0.15, len(text)
	for len(text) > 0 {
		n := len(text)
		if pieces {
			n = min(n, 1+rand.IntN(max(mostPiece, whole/fewestPieces)))
		}
		if n == len(text) {
			for _, q := range batch {
				s.run.record.change(q, func(q *request) { q.sent = time.Now() })
			}
		}
		if _, err := s.nc.Write(text[:n]); err != nil {
			s.cut(batch)
			return false
		}
		if text = text[n:]; len(text) > 0 {
			time.Sleep(time.Duration(rand.IntN(4)) * time.Millisecond)
		}
	}
	for _, q := range batch {
		s.run.record.change(q, func(q *request) { q.sent = time.Now() })
	}
	return true
}

// cut notes that the connection has ended under requests that have no answer.
func (s *session) cut(batch []*request) {
	now := time.Now()
	for _, q := range batch {
		s.run.record.change(q, func(q *request) {
			if q.answer == none {
				q.cut = now
			}
		})
	}
}

// leave closes the connection a moment later, without reading.
func (s *session) leave(batch []*request) {
	time.Sleep(time.Duration(rand.IntN(250)) * time.Millisecond)
	if rand.Float64() < 0.3 {
		_ = s.nc.(*net.TCPConn).SetLinger(0)
	}
	s.nc.Close()
	now := time.Now()
	for _, q := range batch {
		s.run.record.change(q, func(q *request) { q.left = now })
	}
}

// answer waits for one answer and tells whether the connection goes on.
func (s *session) answer(q *request, batch []*request) bool {
	_ = s.nc.SetReadDeadline(q.sent.Add(q.inOrder + waitsOn)) // the read returns the error
	got, err := s.read(q)
	now := time.Now()
	if err == nil {
		s.run.record.change(q, func(q *request) { q.answer, q.answered = got, now })
		return true
	}
	if !errors.Is(err, io.EOF) {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			// It waits no longer: to the ingress it has gone.
			s.nc.Close()
			now = time.Now()
			for _, q := range batch {
				s.run.record.change(q, func(q *request) {
					if q.answer == none {
						q.left = now
					}
				})
			}
			return false
		}
	}
	s.cut(batch)
	return false
}

// read reads one answer.
func (s *session) read(q *request) (answerKind, error) {
	line, err := s.answers.ReadString('\n')
	if err != nil {
		return none, err
	}
	switch {
	case strings.HasPrefix(line, "-BUSY"):
		return refused, nil
	case strings.HasPrefix(line, "-"):
		return failed, nil
	case !strings.HasPrefix(line, "$"):
		return wrong, nil
	}
	n, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	if err != nil || n != len(valueOf(q.id)) {
		return wrong, nil
	}
	value := make([]byte, n+2)
	if _, err = io.ReadFull(s.answers, value); err != nil {
		s.run.record.change(q, func(q *request) { q.answer, q.answered = partial, time.Now() })
		return none, err
	}
	if string(value[:n]) != valueOf(q.id) {
		return wrong, nil
	}
	return served, nil
}

// rude sends half a command and stays: it is owed an error or a close.
func (s *session) rude() {
	text := standin.Encode(s.request().words(1)...)
	begun := time.Now()
	if _, err := s.nc.Write(text[:1+rand.IntN(len(text)-1)]); err != nil {
		return
	}
	_ = s.nc.SetReadDeadline(begun.Add(rudePeriod)) // likewise
	_, err := s.answers.ReadByte()
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() && s.run.heldUp(begun, time.Now()) < rudeSpare {
		s.run.violate(nil, "%s leaves half a command without an error or a close for %v", s.in.node.Name, rudePeriod)
	}
}
