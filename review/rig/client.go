package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// try is one request of a client.
type try struct {
	id       string
	class    string
	plan     string
	customer uint64
	ms       int // how long the client waits
	spread   int
	first    int
	body     string
	repeat   bool
}

// words returns the command.
func (t try) words() []string {
	options := fmt.Sprintf("c=%s,t=%s,d=%d,units=1,spread=%d,first=%d", t.class, t.plan, t.ms, t.spread, t.first)
	if t.repeat {
		options += ",r=1"
	}
	w := []string{"Q.ASK", fmt.Sprintf("%016x", t.customer), t.id, options}
	if t.class == "payment" {
		w[0] = "Q.DO"
		w = append(w, t.body)
	}
	return w
}

var (
	idMu   sync.Mutex
	lastID = uint64(time.Now().UnixNano())
)

func newID() string {
	idMu.Lock()
	defer idMu.Unlock()
	lastID += 1 + rand.Uint64N(1000)
	return fmt.Sprintf("%016x", lastID)
}

// result is what a client got.
type result struct {
	kind  string // served, refused, failed, late, unanswered (its connection ended), unreachable
	value string
	took  time.Duration
}

// pool is the connections of clients to one ingress.
type pool struct {
	addr string
	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	in *bufio.Reader
}

func (p *pool) dial() (*clientConn, error) {
	nc, err := net.DialTimeout("tcp", p.addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{nc, bufio.NewReaderSize(nc, 70<<10)}, nil
}

// do sends one request on a connection at rest and waits for its answer, half a second
// past its time. If the connection ends with no answer, it is sent once more on a new one.
func (p *pool) do(t try) result {
	begin := time.Now()
	for again := false; ; again = true {
		var c *clientConn
		p.mu.Lock()
		if n := len(p.idle); n > 0 && !again {
			c, p.idle = p.idle[n-1], p.idle[:n-1]
		}
		p.mu.Unlock()
		if c == nil {
			var err error
			if c, err = p.dial(); err != nil {
				return result{"unreachable", err.Error(), time.Since(begin)}
			}
		}
		_ = c.SetDeadline(begin.Add(time.Duration(t.ms)*time.Millisecond + 550*time.Millisecond))
		_, err := c.Write(encode(t.words()...))
		kind, value := "", ""
		if err == nil {
			kind, value, err = c.answer()
		}
		if err != nil {
			_ = c.Close()
			var timeout net.Error
			switch {
			case errors.As(err, &timeout) && timeout.Timeout():
				return result{"late", "", time.Since(begin)}
			case again:
				return result{"unanswered", err.Error(), time.Since(begin)}
			}
			continue
		}
		_ = c.SetDeadline(time.Time{})
		p.mu.Lock()
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return result{kind, value, time.Since(begin)}
	}
}

// answer reads one answer.
func (c *clientConn) answer() (kind, value string, err error) {
	line, err := c.in.ReadString('\n')
	if err != nil {
		return "", "", err
	}
	line = strings.TrimSuffix(line, "\r\n")
	switch {
	case strings.HasPrefix(line, "-BUSY"):
		return "refused", line, nil
	case strings.HasPrefix(line, "$") && line != "$-1":
		n, err := strconv.Atoi(line[1:])
		if err != nil {
			return "failed", line, nil
		}
		data := make([]byte, n+2)
		if _, err := io.ReadFull(c.in, data); err != nil {
			return "", "", err
		}
		return "served", string(data[:n]), nil
	}
	return "failed", line, nil
}

// closeAll closes the connections at rest.
func (p *pool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}
