// Package simnet is a simulated reactor.Driver: a network of nodes in virtual
// time, on one goroutine, with all randomness drawn from one seed. It runs the
// real programs, with faults far more frequent than on a real network.
//
// It simulates latency and jitter, streams split into segments at any byte,
// events reported in any order, short writes and full send buffers, listen
// queues that overflow, descriptors that run out, resets, half-open connections,
// one-way and two-way partitions, nodes that are paused, killed and restarted at
// the same address, clock drift, and rounds that run late.
//
// Runs are deterministic: the same seed and the same calls give the same bytes at
// the same times. Nothing here reads a clock, ranges over a map or depends on a
// memory address.
package simnet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Faults sets the probabilities and magnitudes of faults. The zero value is a
// network without faults or latency.
type Faults struct {
	Latency   time.Duration // minimum, one way
	Jitter    time.Duration // maximum added to Latency
	Cut       float64       // probability that a segment is split at a random byte; the rest may be split again
	ShortSend float64       // probability that a write is short though the send buffer has space
	Reset     float64       // probability per segment that the network resets the connection
	Refuse    float64       // probability that a connect is refused
	Lose      float64       // probability that a connect is never answered
	Lag       time.Duration // maximum delay of a round
	Buffer    int           // maximum unread bytes in each direction; 0: 64 KB
	Window    int           // of them, the maximum at the receiver's machine: the rest, and what follows it, waits at the sender's; 0: no maximum
	Backlog   int           // maximum connections waiting to be accepted; 0: 128
}

const (
	defaultBuffer  = 64 << 10
	defaultBacklog = 128
)

// Net is one simulated network.
type Net struct {
	Faults Faults
	Rand   *rand.Rand
	// Trace, if set, is called with one line for each event.
	Trace func(at time.Duration, line string)

	now        time.Duration
	queue      events
	sequence   uint64 // the last event's: events of one time run in the order in which they were scheduled
	nodes      []*Node
	byIP       map[string]*Node
	conns      int                // connections dialed so far; numbers them in the trace
	partitions map[[2]string]bool // by the addresses of sender and receiver
	blocked    []*conn            // have packets that a partition holds back
	hash       uint64             // running FNV-1a hash of all delivered bytes and their times
}

// New returns a network whose randomness comes from the seed.
func New(seed uint64) *Net {
	return &Net{Rand: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), byIP: map[string]*Node{}, partitions: map[[2]string]bool{},
		hash: 14695981039346656037}
}

// Now is the network's virtual time.
func (n *Net) Now() time.Duration { return n.now }

// Hash identifies a run: it covers every byte delivered and when.
func (n *Net) Hash() uint64 { return n.hash }

// hashDelivery adds the current time and the bytes delivered to the hash.
func (n *Net) hashDelivery(b []byte) {
	const prime = 1099511628211
	h := (n.hash ^ uint64(n.now)) * prime
	for _, c := range b {
		h = (h ^ uint64(c)) * prime
	}
	n.hash = h
}

func (n *Net) trace(format string, args ...any) {
	if n.Trace != nil {
		n.Trace(n.now, fmt.Sprintf(format, args...))
	}
}

// After schedules f to run after a delay.
func (n *Net) After(delay time.Duration, f func()) { n.schedule(n.now+delay, f) }

func (n *Net) schedule(t time.Duration, f func()) {
	n.sequence++
	heap.Push(&n.queue, event{max(t, n.now), n.sequence, f})
}

// Step runs the next event. It returns false if there is none.
func (n *Net) Step() bool {
	if n.queue.Len() == 0 {
		return false
	}
	e := heap.Pop(&n.queue).(event)
	n.now = e.at
	e.run()
	return true
}

// RunUntil runs the events up to and including a time, and moves the clock there.
func (n *Net) RunUntil(t time.Duration) {
	for n.queue.Len() > 0 && n.queue[0].at <= t {
		n.Step()
	}
	n.now = max(n.now, t)
}

// Partition stops the packets from one address to another, until Heal. Packets in
// transit are held back rather than lost, as TCP would retransmit them.
func (n *Net) Partition(from, to string) { n.partitions[[2]string{from, to}] = true }

// Heal ends a partition and delivers the packets that it held back.
func (n *Net) Heal(from, to string) {
	delete(n.partitions, [2]string{from, to})
	blocked := n.blocked
	n.blocked = nil
	for _, c := range blocked { // in the order in which they were held back
		c.deliver()
	}
}

// occurs returns true with the given probability.
func (n *Net) occurs(probability float64) bool {
	return probability > 0 && n.Rand.Float64() < probability
}

// randomDuration draws a duration from 0 up to, but not including, the limit.
func (n *Net) randomDuration(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(n.Rand.Int64N(int64(limit)))
}

func (n *Net) latency() time.Duration { return n.Faults.Latency + n.randomDuration(n.Faults.Jitter) }

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
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

// splitAddress splits "IP:port".
func splitAddress(address string) (ip string, port int, err error) {
	colon := strings.LastIndexByte(address, ':')
	if colon < 0 {
		return "", 0, fmt.Errorf("simnet: address %q has no port", address)
	}
	port, err = strconv.Atoi(address[colon+1:])
	if err != nil {
		return "", 0, fmt.Errorf("simnet: address %q: %w", address, err)
	}
	return address[:colon], port, nil
}
