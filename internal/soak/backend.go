//go:build linux && amd64

package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/redcon"

	"wickarch/internal/standin"
)

// mood is how a backend treats commands for a while.
type mood struct {
	latency   time.Duration // at most
	hang      float64       // share that gets no answer
	reset     float64       // share whose connection is reset, having run
	refuse    float64       // share turned away
	fail      float64       // share answered as failed
	spoilt    float64       // share answered by what can't be read
	twice     float64       // share answered twice
	pieces    float64       // share answered a few bytes at a time
	idleClose time.Duration // a connection at rest is closed after it; 0: it is not
}

// backend is one stand-in backend.
type backend struct {
	id    string
	run   *run
	ln    net.Listener
	since time.Time // when it started; zero: long ago
	told  time.Time // when discovery was told that it drains or is gone; zero: it does not

	mu    sync.Mutex
	mood  mood
	conns map[net.Conn]struct{}
	gone  bool
}

// newBackend starts a backend.
func newBackend(r *run, id string, since time.Time) (*backend, error) {
	ln, err := standin.Listen()
	if err != nil {
		return nil, err
	}
	b := &backend{id: id, run: r, ln: ln, since: since, conns: map[net.Conn]struct{}{}, mood: calm}
	go b.accept()
	return b, nil
}

// calm is the mood of a backend that is well.
var calm = mood{latency: 12 * time.Millisecond}

// member is the backend as discovery lists it.
func (b *backend) member(phase string) standin.Member {
	m := standin.Member{ID: b.id, HostPort: b.ln.Addr().String(), Locality: "a", Flavor: "std", Phase: phase, Size: 1}
	if !b.since.IsZero() {
		m.UpSince = b.since.UnixMilli()
	}
	return m
}

// tell notes that discovery is told that nothing new may come.
func (b *backend) tell() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.told = time.Now()
}

func (b *backend) toldAt() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.told
}

func (b *backend) set(m mood) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mood = m
}

// close ends the backend, as a process that dies.
func (b *backend) close() {
	b.ln.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gone = true
	for nc := range b.conns {
		_ = nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
	}
}

func (b *backend) accept() {
	for {
		nc, err := b.ln.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		if b.gone {
			nc.Close()
		} else {
			b.conns[nc] = struct{}{}
			go b.serve(nc)
		}
		b.mu.Unlock()
	}
}

// arrival is a command with the time at which its last byte was read.
type arrival struct {
	args [][]byte
	at   time.Time
}

// serve reads commands on one goroutine, so that the end of the connection is seen while one is worked
// on, and answers them on another.
func (b *backend) serve(nc net.Conn) {
	arrivals, ended := make(chan arrival, 64), make(chan struct{})
	var open *attempt
	var mu sync.Mutex
	go func() {
		defer close(ended)
		commands := redcon.NewReader(nc)
		for {
			cmd, err := commands.ReadCommand()
			if err != nil {
				mu.Lock()
				if open != nil {
					b.run.record.end(open)
				}
				mu.Unlock()
				return
			}
			arrivals <- arrival{cmd.Args, time.Now()}
		}
	}()
	defer func() {
		nc.Close()
		b.mu.Lock()
		delete(b.conns, nc)
		b.mu.Unlock()
	}()
	for {
		b.mu.Lock()
		m := b.mood
		b.mu.Unlock()
		var rest <-chan time.Time
		if m.idleClose > 0 {
			rest = time.After(m.idleClose)
		}
		select {
		case <-ended:
			return
		case <-rest:
			return
		case c := <-arrivals:
			if string(c.args[0]) == "INFO" {
				_, _ = fmt.Fprintf(nc, "$%d\r\n%s\r\n", len(standin.LoadReport), standin.LoadReport)
				continue
			}
			a := &attempt{backend: b, begun: c.at, limit: limitOf(c.args)}
			mu.Lock()
			open = a
			mu.Unlock()
			if !b.answer(nc, c, a, m, ended) {
				return
			}
			mu.Lock()
			open = nil
			mu.Unlock()
		}
	}
}

// limitOf is the time that a command tells, 0 for none.
func limitOf(args [][]byte) time.Duration {
	if len(args) < 4 {
		return 0
	}
	for _, pair := range strings.Split(string(args[3]), ",") {
		if v, ok := strings.CutPrefix(pair, "d="); ok {
			if ms, err := strconv.ParseFloat(v, 64); err == nil {
				return time.Duration(ms * float64(time.Millisecond))
			}
		}
	}
	return 0
}

// answer works on one command, and tells whether the connection goes on.
func (b *backend) answer(nc net.Conn, c arrival, a *attempt, m mood, ended <-chan struct{}) bool {
	id := ""
	if len(c.args) > 2 {
		id = string(c.args[2])
	}
	draw := rand.Float64()
	pick := func(share float64) bool {
		draw -= share
		return draw < 0 && draw+share >= 0
	}
	refuse := pick(m.refuse)
	a.ran = !refuse
	if !b.run.record.attempt(id, a) {
		b.run.violate(nil, "a backend got a command that no client sent: %q", c.args)
	}
	defer b.run.record.end(a)
	if refuse {
		_, _ = nc.Write([]byte("-BUSY\r\n"))
		return true
	}
	if m.latency > 0 {
		time.Sleep(time.Duration(rand.Int64N(int64(m.latency))))
	}
	value := valueOf(id)
	good := fmt.Appendf(nil, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
	spoils := false
	switch {
	case pick(m.hang):
		<-ended
		return false
	case pick(m.reset):
		_ = nc.(*net.TCPConn).SetLinger(0)
		return false
	case pick(m.fail):
		good, spoils = []byte("-ERR failed\r\n"), true
	case pick(m.spoilt):
		good, spoils = []byte(spoilt[rand.IntN(len(spoilt))]), true
	case pick(m.twice):
		good = append(good, good...)
	}
	if rand.Float64() < m.pieces {
		most := 8 + len(good)/8
		for len(good) > 0 {
			n := min(len(good), 1+rand.IntN(most))
			if _, err := nc.Write(good[:n]); err != nil {
				return false
			}
			good = good[n:]
			time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
		}
	} else if _, err := nc.Write(good); err != nil {
		return false
	}
	if !spoils {
		b.run.record.wrote(a)
	}
	return true
}

// spoilt are answers that can't be read.
var spoilt = []string{"%noise\r\n", "*3\r\n$999999999999\r\n", "*3\r\n$5\r\nab\r\n$-1\r\n$-1\r\n", "*2\r\n$1\r\na\r\n$-1\r\n", "\x00\x01\x02"}

// valueOf is the value that every backend makes for a request: mostly a short one, now and then one of some
// thousand bytes, or one too large to be held by the ingress.
func valueOf(id string) string {
	value := "value-of-" + id
	switch id[len(id)-2:] {
	case "00", "01", "02", "03", "04", "05":
		return strings.Repeat(value, 1000)
	case "10", "11", "12":
		return strings.Repeat(value, 8000)
	}
	return value
}
