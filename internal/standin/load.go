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

// Load is a steady stream of requests from clients that keep connections and
// open more when all are busy, as the platform's front does. It is open: a
// request is due at its time, whether or not those before it are answered, and
// its latency counts from then.
type Load struct {
	Addr        string
	PerSecond   float64
	Payments    float64 // share of the requests that must not run twice; the others are lookups
	Deadline    time.Duration
	Customers   []Customer // by weight; nil for one
	NoKeepAlive bool       // a connection for each request
	// Prompt is how soon on a new connection a client must ask for the ingress
	// to owe it an answer; 0 for no bound. A client that was itself slower, as
	// on a machine that is kept busy, and finds the connection closed is counted
	// as Tardy and not as Unreached.
	FirstRequestTimeout time.Duration

	mu        sync.Mutex
	idle      []*Client
	tally     Tally
	latencies []time.Duration
	lapStart  int // of late, where the part for Lap begins
}

// Customer is one of those in whose name requests are sent.
type Customer struct {
	Number uint64
	Weight float64
}

// Tally counts what became of requests, as their clients saw it.
type Tally struct {
	Asked, Served, Refused, Failed int
	Lost, Wrong                    int // these must stay 0
	Unreached                      int // no connection was to be had
	Tardy                          int // asked later than Load.Prompt, on a connection closed by then
	Resent                         int // sent once more, as a close crossed them
	Extra                          int // bytes that nobody asked for behind an answer
	Open                           int // asked and not ended yet
}

// Sound tells what no ingress may cause: lost, wrong or second answers.
func (t Tally) Check() error {
	if t.Lost+t.Wrong+t.Extra > 0 {
		return fmt.Errorf("%d requests lost, %d served with another's value, %d answered twice", t.Lost, t.Wrong, t.Extra)
	}
	if ends := t.Served + t.Refused + t.Failed + t.Unreached + t.Tardy; ends+t.Open != t.Asked {
		return fmt.Errorf("%d requests asked, %d ended and %d open", t.Asked, ends, t.Open)
	}
	return nil
}

// PaymentID tells whether the id is that of a payment of a Load.
func PaymentID(id string) bool { return strings.HasPrefix(id, "f") }

// Run sends until ctx ends, and then waits for what is open.
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

// RunClosed has so many clients ask one request after the other, each on a
// connection of its own, until ctx ends. A connection that ends is opened anew.
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

// one sends a request and follows it to its end.
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
	ask := func(c *Client, begun time.Time) {
		if c == nil {
			return
		}
		c.SetDeadline(time.Now().Add(l.Deadline + time.Second))
		sent := c.Send(words...)
		tardy = l.FirstRequestTimeout > 0 && time.Since(begun) > l.FirstRequestTimeout
		if sent == nil {
			outcome = c.Outcome(id)
		}
	}
	begun := time.Now()
	c, kept := l.acquire()
	ask(c, begun)
	resent := false
	if outcome == Unsent && kept { // once more, on a new connection
		c.Close()
		resent = true
		begun = time.Now()
		c, _ = l.dial()
		ask(c, begun)
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

// take gives the connection that was used last, or a new one.
func (l *Load) acquire() (c *Client, kept bool) {
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

// Tally is what was seen up to now.
func (l *Load) Tally() Tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tally
}

// Lap gives the latencies of what was served since the last Lap, in order of size.
func (l *Load) LapLatencies() []time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	part := slices.Clone(l.latencies[l.lapStart:])
	l.lapStart = len(l.latencies)
	slices.Sort(part)
	return part
}

// Latencies are those of all that was served, in order of size.
func (l *Load) Latencies() []time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := slices.Clone(l.latencies)
	slices.Sort(all)
	return all
}

// Percentile takes the value below which a share of a sorted list lies, by the
// nearest rank; 0 of an empty one.
func Percentile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// count counts how a request ended, took being its time from when it was due. The caller
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
