// Package simnet is the reactor's second world: a network of nodes in virtual
// time, all on one goroutine and driven by one seed. The programs that run in
// it are the real ones; what fails in it fails far more often than in life.
//
// It knows latency and jitter by link, streams cut into segments at any byte,
// readiness told in any order, short writes and full send buffers, listen
// queues that overflow, descriptors that run out, resets, half-open peers,
// partitions one way and both, nodes that stand still, are killed and come back
// under their address, clocks at other rates, and rounds that come late.
//
// The same seed and the same calls give the same run, to the byte: nothing here
// reads a clock, ranges over a map or depends on an address in memory.
package simnet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Faults are how often, as a chance, and how far things go wrong. The zero
// value is a quiet network.
type Faults struct {
	Latency   time.Duration // one way, at least
	Jitter    time.Duration // and up to so much more
	Cut       float64       // a segment is cut in two at a byte, again and again
	ShortSend float64       // a write takes a part alone, though there is room
	Reset     float64       // a connection is reset, at each segment
	Refuse    float64       // a connect is refused
	Lose      float64       // a connect is never answered
	Lag       time.Duration // a round comes late by up to so much
	Buffer    int           // bytes that wait in each direction at most; 0: 64 KB
	Backlog   int           // connections that wait to be accepted at most; 0: 128
}

const (
	usualBuffer  = 64 << 10
	usualBacklog = 128
)

// Net is one simulated network.
type Net struct {
	Faults Faults
	Rand   *rand.Rand
	// Trace, if set, is told each thing that happens, as one line.
	Trace func(at time.Duration, line string)

	now    time.Duration
	queue  events
	serial uint64 // of events: those of one instant happen in the order of their making
	nodes  []*Node
	byIP   map[string]*Node
	conns  int // made so far; names them in the trace
	cuts   map[[2]string]bool
	held   []*conn // with something that a cut holds back
	bytes  uint64  // a running hash of all that is delivered, with its times
}

// New makes a network from a seed.
func New(seed uint64) *Net {
	return &Net{Rand: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), byIP: map[string]*Node{}, cuts: map[[2]string]bool{},
		bytes: 14695981039346656037}
}

// Now is the time of the network.
func (n *Net) Now() time.Duration { return n.now }

// Hash tells one run from another: it covers every byte delivered and when.
func (n *Net) Hash() uint64 { return n.bytes }

func (n *Net) note(b []byte) {
	const prime = 1099511628211
	h := (n.bytes ^ uint64(n.now)) * prime
	for _, c := range b {
		h = (h ^ uint64(c)) * prime
	}
	n.bytes = h
}

func (n *Net) trace(format string, args ...any) {
	if n.Trace != nil {
		n.Trace(n.now, fmt.Sprintf(format, args...))
	}
}

// After has f run at a time from now.
func (n *Net) After(wait time.Duration, f func()) { n.at(n.now+wait, f) }

func (n *Net) at(t time.Duration, f func()) {
	n.serial++
	heap.Push(&n.queue, event{max(t, n.now), n.serial, f})
}

// Step lets the next thing happen. It returns false if there is none.
func (n *Net) Step() bool {
	if n.queue.Len() == 0 {
		return false
	}
	e := heap.Pop(&n.queue).(event)
	n.now = e.at
	e.do()
	return true
}

// Until lets things happen up to a time.
func (n *Net) RunUntil(t time.Duration) {
	for n.queue.Len() > 0 && n.queue[0].at <= t {
		n.Step()
	}
	n.now = max(n.now, t)
}

// Cut stops what goes from one address to another, until Mend. What is under
// way is held back, as TCP sends it again later.
func (n *Net) Partition(from, to string) { n.cuts[[2]string{from, to}] = true }

// Mend lets it through again, with what was held back.
func (n *Net) Heal(from, to string) {
	delete(n.cuts, [2]string{from, to})
	held := n.held
	n.held = nil
	for _, c := range held { // in the order in which they were held back
		c.depart()
	}
}

func (n *Net) chance(p float64) bool { return p > 0 && n.Rand.Float64() < p }

// span draws a time from 0 up to a bound.
func (n *Net) span(most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	return time.Duration(n.Rand.Int64N(int64(most)))
}

func (n *Net) latency() time.Duration { return n.Faults.Latency + n.span(n.Faults.Jitter) }

type event struct {
	at     time.Duration
	serial uint64
	do     func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return e
}

// split takes an address apart.
func split(address string) (ip string, port int, err error) {
	at := strings.LastIndexByte(address, ':')
	if at < 0 {
		return "", 0, fmt.Errorf("simnet: address %q has no port", address)
	}
	port, err = strconv.Atoi(address[at+1:])
	if err != nil {
		return "", 0, fmt.Errorf("simnet: address %q: %w", address, err)
	}
	return address[:at], port, nil
}
