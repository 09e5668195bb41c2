//go:build linux

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
	"golang.org/x/sys/unix"

	"wickarch/internal/standin"
)

// faultProfile is how a backend responds to commands for a while. Shares are probabilities per command.
type faultProfile struct {
	maxLatency     time.Duration // upper bound of the random delay before an answer
	hangShare      float64       // no answer; the connection stays open
	resetShare     float64       // connection reset after the command was executed
	refuseShare    float64       // refused with -BUSY, not executed
	errorShare     float64       // answered with an error
	malformedShare float64       // answered with invalid RESP
	duplicateShare float64       // answered twice
	fragmentShare  float64       // answer written a few bytes at a time
	idleTimeout    time.Duration // idle connections are closed after this time; 0 disables
}

// backend is a test backend.
type backend struct {
	id        string
	run       *run
	ln        net.Listener
	startedAt time.Time // zero: long before the run, so it is not cold
	notified  time.Time // when discovery was notified that it drains or is gone; zero: it was not

	mu      sync.Mutex
	profile faultProfile
	conns   map[*backendConn]struct{}
	closed  bool
}

// backendConn is a connection of a backend.
type backendConn struct {
	net.Conn
	lastValue *attempt // the last one whose value was written
	truncated bool     // it was reset before the peer's kernel had acknowledged all that was written
}

// resetOnClose makes Close reset the connection.
func (c *backendConn) resetOnClose() { _ = c.Conn.(*net.TCPConn).SetLinger(0) }

// unacknowledged reports whether bytes that were written are still on this side. A reset drops them.
func (c *backendConn) unacknowledged() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	n := 0
	control := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return control != nil || err != nil || n > 0
}

func newBackend(r *run, id string, startedAt time.Time) (*backend, error) {
	ln, err := standin.Listen()
	if err != nil {
		return nil, err
	}
	b := &backend{id: id, run: r, ln: ln, startedAt: startedAt, conns: map[*backendConn]struct{}{}, profile: healthyProfile}
	go b.accept()
	return b, nil
}

// healthyProfile is the profile of a backend without faults.
var healthyProfile = faultProfile{maxLatency: 12 * time.Millisecond}

// member returns the entry of the backend in discovery.
func (b *backend) member(phase string) standin.Member {
	m := standin.Member{ID: b.id, HostPort: b.ln.Addr().String(), Locality: "a", Flavor: "std", Phase: phase, Size: 1}
	if !b.startedAt.IsZero() {
		m.UpSince = b.startedAt.UnixMilli()
	}
	return m
}

// markNotified records that discovery is being notified that the backend takes no new requests.
func (b *backend) markNotified() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notified = time.Now()
}

func (b *backend) notifiedAt() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.notified
}

func (b *backend) setProfile(next faultProfile) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.profile = next
}

// close stops the backend and resets its connections, as the death of its process does.
func (b *backend) close() {
	b.ln.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for nc := range b.conns {
		if nc.truncated = nc.unacknowledged(); nc.truncated && nc.lastValue != nil {
			b.run.record.setValueWritten(nc.lastValue, false)
		}
		nc.resetOnClose()
		nc.Close()
	}
}

// recordValue records that the value of an attempt was written. A write returns once the kernel has all bytes: unless
// the connection was reset then, they reach the peer.
func (b *backend) recordValue(nc *backendConn, a *attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	nc.lastValue = a
	b.run.record.setValueWritten(a, !nc.truncated)
}

func (b *backend) accept() {
	for {
		accepted, err := b.ln.Accept()
		if err != nil {
			return
		}
		nc := &backendConn{Conn: accepted}
		b.mu.Lock()
		if b.closed {
			nc.Close()
		} else {
			b.conns[nc] = struct{}{}
			go b.serve(nc)
		}
		b.mu.Unlock()
	}
}

// receivedCommand is a command with the time at which its last byte was read.
type receivedCommand struct {
	args   [][]byte
	readAt time.Time
}

// serve reads commands on one goroutine and handles them on another, so that the end of the connection is
// noticed while a command is being handled.
func (b *backend) serve(nc *backendConn) {
	received, connEnded := make(chan receivedCommand, 64), make(chan struct{})
	var current *attempt
	var mu sync.Mutex
	go func() {
		defer close(connEnded)
		reader := redcon.NewReader(nc)
		for {
			cmd, err := reader.ReadCommand()
			if err != nil {
				mu.Lock()
				if current != nil {
					b.run.record.endAttempt(current)
				}
				mu.Unlock()
				return
			}
			received <- receivedCommand{cmd.Args, time.Now()}
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
		active := b.profile
		b.mu.Unlock()
		var idle <-chan time.Time
		if active.idleTimeout > 0 {
			idle = time.After(active.idleTimeout)
		}
		select {
		case <-connEnded:
			return
		case <-idle:
			return
		case command := <-received:
			if string(command.args[0]) == "INFO" {
				_, _ = fmt.Fprintf(nc, "$%d\r\n%s\r\n", len(standin.LoadReport), standin.LoadReport)
				continue
			}
			a := &attempt{backend: b, receivedAt: command.readAt, timeout: timeoutOf(command.args)}
			mu.Lock()
			current = a
			mu.Unlock()
			if !b.handle(nc, command, a, active, connEnded) {
				return
			}
			mu.Lock()
			current = nil
			mu.Unlock()
		}
	}
}

// timeoutOf returns the timeout in the options of a command, 0 if it has none.
func timeoutOf(args [][]byte) time.Duration {
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

// handle executes one command and reports whether the connection stays open.
func (b *backend) handle(nc *backendConn, command receivedCommand, a *attempt, profile faultProfile, connEnded <-chan struct{}) bool {
	id := ""
	if len(command.args) > 2 {
		id = string(command.args[2])
	}
	draw := rand.Float64()
	pick := func(share float64) bool {
		draw -= share
		return draw < 0 && draw+share >= 0
	}
	refuse := pick(profile.refuseShare)
	a.executed = !refuse
	if !b.run.record.addAttempt(id, a) {
		b.run.addViolation(nil, "a backend received a command that no client sent: %q", command.args)
	}
	defer b.run.record.endAttempt(a)
	if refuse {
		_, _ = nc.Write([]byte("-BUSY\r\n"))
		return true
	}
	if profile.maxLatency > 0 {
		time.Sleep(time.Duration(rand.Int64N(int64(profile.maxLatency))))
	}
	value := valueOf(id)
	reply := fmt.Appendf(nil, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
	corrupt := false
	switch {
	case pick(profile.hangShare):
		<-connEnded
		return false
	case pick(profile.resetShare):
		nc.resetOnClose()
		return false
	case pick(profile.errorShare):
		reply, corrupt = []byte("-ERR failed\r\n"), true
	case pick(profile.malformedShare):
		reply, corrupt = []byte(malformedAnswers[rand.IntN(len(malformedAnswers))]), true
	case pick(profile.duplicateShare):
		reply = append(reply, reply...)
	}
	if rand.Float64() < profile.fragmentShare {
		maxPiece := 8 + len(reply)/8
		for len(reply) > 0 {
			n := min(len(reply), 1+rand.IntN(maxPiece))
			if _, err := nc.Write(reply[:n]); err != nil {
				return false
			}
			reply = reply[n:]
			time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
		}
	} else if _, err := nc.Write(reply); err != nil {
		return false
	}
	if !corrupt {
		b.recordValue(nc, a)
	}
	return true
}

// malformedAnswers are not valid RESP answers of a backend.
var malformedAnswers = []string{"%noise\r\n", "*3\r\n$999999999999\r\n", "*3\r\n$5\r\nab\r\n$-1\r\n$-1\r\n",
	"*2\r\n$1\r\na\r\n$-1\r\n", "\x00\x01\x02"}

// valueOf returns the value with which every backend answers a request: usually short, sometimes some thousand
// bytes, sometimes too large for the ingress to buffer.
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
