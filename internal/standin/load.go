package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// Load generates requests at a constant rate from clients that reuse connections and
// open more when all are busy, as the platform's load balancer does. It is an open-loop
// generator (Run): a request is due at its time whether or not earlier ones were
// answered, and its latency counts from that time.
type Load struct {
	Addr        string
	PerSecond   float64
	Payments    float64 // share of requests that must not be executed twice; the others are lookups
	Deadline    time.Duration
	Customers   []Customer // chosen by weight; if nil, all requests are for customer 1
	NoKeepAlive bool       // open a connection per request
	// FirstRequestTimeout is the time from opening a connection within which the
	// client must send for the ingress to owe it a reply; 0 for no limit. If the
	// client itself was slower, as on an overloaded machine, and the connection is
	// closed, the request counts as Tardy and not as Unreached.
	FirstRequestTimeout time.Duration

	mu        sync.Mutex
	idle      []*Client
	tally     Tally
	latencies []time.Duration
	lapStart  int // index in latencies where the next LapLatencies begins
}

// Customer is a customer for whom requests are sent.
type Customer struct {
	Number uint64
	Weight float64
}

// Tally counts requests by outcome, as their clients saw it. Its fields are printed by name.
type Tally struct {
	Asked, Served, Refused, Failed int
	Lost, Wrong                    int // must be 0
	Unreached                      int // no connection could be opened, or it closed without a reply
	Tardy                          int // sent later than Load.FirstRequestTimeout, on a connection closed by then
	Resent                         int // sent again because the ingress closed a reused connection without a reply
	Extra                          int // requests whose reply was followed by unexpected bytes
	Open                           int // in flight
}

// Check returns an error if requests were lost, served with another request's value or
// answered twice, or if the counts don't add up.
func (t Tally) Check() error {
	if t.Lost+t.Wrong+t.Extra > 0 {
		return fmt.Errorf("%d requests lost, %d served with another request's value, %d answered twice", t.Lost, t.Wrong, t.Extra)
	}
	if ends := t.Served + t.Refused + t.Failed + t.Unreached + t.Tardy; ends+t.Open != t.Asked {
		return fmt.Errorf("%d requests sent, %d finished and %d in flight", t.Asked, ends, t.Open)
	}
	return nil
}

// PaymentID reports whether an id is that of a payment sent by Load or Front.
func PaymentID(id string) bool { return strings.HasPrefix(id, "f") }

// Run sends requests until ctx ends, and then waits for those in flight.
func (l *Load) Run(ctx context.Context) {
	var open sync.WaitGroup
	start := time.Now()
	for n := 0; ; n++ {
		due := start.Add(time.Duration(float64(n) / l.PerSecond * float64(time.Second)))
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(due)):
		}
		if ctx.Err() != nil {
			break
		}
		open.Add(1)
		go func() {
			defer open.Done()
			l.sendOne(due)
		}()
	}
	open.Wait()
	l.closeIdle()
}

// RunClosed is a closed-loop load: each client sends one request after the other until
// ctx ends, on at most one connection per client. Closed connections are reopened.
func (l *Load) RunClosed(ctx context.Context, clients int) {
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			for ctx.Err() == nil {
				l.sendOne(time.Now())
			}
		})
	}
	all.Wait()
	l.closeIdle()
}

func (l *Load) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.idle {
		c.Close()
	}
	l.idle = nil
}

func (l *Load) customer() uint64 {
	total := 0.0
	for _, c := range l.Customers {
		total += c.Weight
	}
	at := rand.Float64() * total
	for _, c := range l.Customers {
		if at -= c.Weight; at < 0 {
			return c.Number
		}
	}
	return 1
}

// sendOne sends a request and records its outcome.
func (l *Load) sendOne(due time.Time) {
	id := "0" + NewID()[1:]
	words := Lookup(l.customer(), id, int(l.Deadline.Milliseconds()))
	if rand.Float64() < l.Payments {
		id = "f" + id[1:]
		words = Payment(l.customer(), id, int(l.Deadline.Milliseconds()))
	}
	l.mu.Lock()
	l.tally.Asked++
	l.tally.Open++
	l.mu.Unlock()
	outcome, tardy := Unsent, false
	ask := func(c *Client, started time.Time) {
		if c == nil {
			return
		}
		c.SetDeadline(time.Now().Add(l.Deadline + time.Second))
		sent := c.Send(words...)
		tardy = l.FirstRequestTimeout > 0 && time.Since(started) > l.FirstRequestTimeout
		if sent == nil {
			outcome = c.Outcome(id)
		}
	}
	started := time.Now()
	c, reused := l.acquire()
	ask(c, started)
	resent := false
	if outcome == Unsent && reused { // retry once, on a new connection
		c.Close()
		resent = true
		started = time.Now()
		c, _ = l.dial()
		ask(c, started)
	}
	took := time.Since(due)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tally.Open--
	if resent {
		l.tally.Resent++
	}
	l.count(outcome, took, c != nil && tardy)
	if c == nil {
		return
	}
	if c.In.Buffered() > 0 {
		l.tally.Extra++
	}
	if l.NoKeepAlive || outcome > Failed || c.In.Buffered() > 0 {
		c.Close()
		return
	}
	l.idle = append(l.idle, c)
}

// acquire returns the most recently used idle connection, or a new one.
func (l *Load) acquire() (c *Client, reused bool) {
	l.mu.Lock()
	if n := len(l.idle); n > 0 {
		c, l.idle = l.idle[n-1], l.idle[:n-1]
	}
	l.mu.Unlock()
	if c != nil {
		return c, true
	}
	return l.dial()
}

func (l *Load) dial() (*Client, bool) {
	c, err := Dial(l.Addr, l.Deadline)
	if err != nil {
		return nil, false
	}
	return c, false
}

// Tally returns the counts up to now.
func (l *Load) Tally() Tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tally
}

// LapLatencies returns the sorted latencies of requests served since the last call.
func (l *Load) LapLatencies() []time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	part := slices.Clone(l.latencies[l.lapStart:])
	l.lapStart = len(l.latencies)
	slices.Sort(part)
	return part
}

// Latencies returns the sorted latencies of all served requests.
func (l *Load) Latencies() []time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := slices.Clone(l.latencies)
	slices.Sort(all)
	return all
}

// Percentile returns the value below which the given share of a sorted list lies, by
// nearest rank; 0 for an empty list.
func Percentile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// count records the outcome of a request. took is the time since it was due. The caller
// holds the mutex.
func (l *Load) count(outcome Outcome, took time.Duration, tardy bool) {
	switch outcome {
	case Served:
		l.tally.Served++
		l.latencies = append(l.latencies, took)
	case Refused:
		l.tally.Refused++
	case Failed:
		l.tally.Failed++
	case Wrong:
		l.tally.Wrong++
	case Lost:
		l.tally.Lost++
	case Unsent:
		if tardy {
			l.tally.Tardy++
		} else {
			l.tally.Unreached++
		}
	}
}
