package standin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Front distributes requests over ingresses as the platform's load balancer does: it uses
// an ingress while PING is answered with +PONG, and skips it otherwise.
type Front struct {
	Addrs     []string
	PerSecond float64
	Payments  float64 // share of requests that must not be executed twice
	Deadline  time.Duration
	Effects   *Effects // executions at the backends behind the ingresses

	mu    sync.Mutex
	up    []bool
	idle  map[string][]*Client
	tally FrontTally
}

// FrontTally counts requests by outcome. Its fields are printed by name.
type FrontTally struct {
	Tally
	Cut     int // executed, but no reply: the connection ended, as when an ingress is killed
	MostOut int // maximum number of ingresses unavailable at the same time, by PING
	Nobody  int // requests for which no ingress was available
}

// Run sends requests until ctx ends, waits for those in flight, and returns the tally.
func (f *Front) Run(ctx context.Context) FrontTally {
	f.up, f.idle = make([]bool, len(f.Addrs)), map[string][]*Client{}
	var all, open sync.WaitGroup
	for i := range f.Addrs {
		all.Go(func() { f.ping(ctx, i) })
	}
	start := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		select {
		case <-ctx.Done():
			continue
		case <-time.After(time.Until(start.Add(time.Duration(float64(n) / f.PerSecond * float64(time.Second))))):
		}
		open.Go(f.sendOne)
	}
	open.Wait()
	all.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, list := range f.idle {
		for _, c := range list {
			c.Close()
		}
	}
	return f.tally
}

// Seen returns the tally up to now.
func (f *Front) Seen() FrontTally {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tally
}

// Unavailable returns how many ingresses currently fail PING.
func (f *Front) Unavailable() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, up := range f.up {
		if !up {
			n++
		}
	}
	return n
}

// pingTimeout limits the wait for a reply to PING. It is long so that an overloaded test
// machine does not make an ingress count as unavailable.
const pingTimeout = 3 * time.Second

// ping checks one ingress with PING until ctx ends.
func (f *Front) ping(ctx context.Context, i int) {
	var c *Client
	for ctx.Err() == nil {
		line := ""
		var err error
		if c == nil {
			c, err = Dial(f.Addrs[i], pingTimeout)
		}
		if err == nil {
			c.SetDeadline(time.Now().Add(pingTimeout))
			if err = c.Send("PING"); err == nil {
				line, err = c.ReadReply()
			}
		}
		if err != nil && c != nil {
			c.Close()
			c = nil
			if line == "" { // the ingress may have closed an idle connection: retry on a new one
				if c, err = Dial(f.Addrs[i], pingTimeout); err == nil {
					if err = c.Send("PING"); err == nil {
						line, err = c.ReadReply()
					}
				}
				if err != nil && c != nil {
					c.Close()
					c = nil
				}
			}
		}
		f.mu.Lock()
		f.up[i] = line == "+PONG"
		f.mu.Unlock()
		if unavailable := f.Unavailable(); unavailable < len(f.Addrs) { // ignore the time before the first ingress is up
			f.mu.Lock()
			f.tally.MostOut = max(f.tally.MostOut, unavailable)
			f.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
	}
	if c != nil {
		c.Close()
	}
}

// ResetMostOut sets MostOut back to 0.
func (f *Front) ResetMostOut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tally.MostOut = 0
}

// acquire picks a random available ingress and returns a connection to it (nil if dialing
// fails), its address, and whether any ingress is available. With fresh it dials a new one.
func (f *Front) acquire(fresh bool) (*Client, string, bool) {
	f.mu.Lock()
	var up []string
	for i, ok := range f.up {
		if ok {
			up = append(up, f.Addrs[i])
		}
	}
	if len(up) == 0 {
		f.mu.Unlock()
		return nil, "", false
	}
	addr := up[rand.IntN(len(up))]
	if list := f.idle[addr]; len(list) > 0 && !fresh {
		c := list[len(list)-1]
		f.idle[addr] = list[:len(list)-1]
		f.mu.Unlock()
		return c, addr, true
	}
	f.mu.Unlock()
	c, err := Dial(addr, f.Deadline)
	if err != nil {
		return nil, addr, true
	}
	return c, addr, true
}

func (f *Front) sendOne() {
	id := "0" + NewID()[1:]
	words := Lookup(uint64(1+rand.IntN(50)), id, int(f.Deadline.Milliseconds()))
	if rand.Float64() < f.Payments {
		id = "f" + id[1:]
		words = Payment(uint64(1+rand.IntN(50)), id, int(f.Deadline.Milliseconds()))
	}
	f.mu.Lock()
	f.tally.Asked++
	f.tally.Open++
	f.mu.Unlock()
	outcome, cut, noIngress := Unsent, false, false
	end := time.Now().Add(f.Deadline)
	var c *Client
	var addr string
	for attempt := 0; outcome == Unsent && !cut && time.Now().Before(end); attempt++ {
		var available bool
		if c, addr, available = f.acquire(attempt > 0); !available || c == nil {
			noIngress = !available
			time.Sleep(2 * time.Millisecond)
			continue
		}
		noIngress = false
		c.SetDeadline(time.Now().Add(f.Deadline + time.Second))
		if outcome = c.Ask(id, words...); outcome == Unsent {
			c.Close()
			// An ingress may close a connection before it reads the request, which is then
			// sent again. If the request was executed, its ingress was killed or lost it.
			cut = f.Effects.Count(id) > 0
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count(outcome, cut, noIngress)
	if outcome > Failed || cut || c == nil {
		if c != nil {
			c.Close()
		}
		return
	}
	if c.In.Buffered() > 0 {
		f.tally.Extra++
		c.Close()
		return
	}
	f.idle[addr] = append(f.idle[addr], c)
}

// Check returns an error if requests were lost, served with another request's value or
// answered twice, or if any were cut off although no ingress was killed.
func (t FrontTally) Check(killed bool) error {
	u := t.Tally
	u.Failed += t.Cut
	if err := u.Check(); err != nil {
		return err
	}
	if t.Cut > 0 && !killed {
		return fmt.Errorf("%d requests were cut off although no ingress was killed", t.Cut)
	}
	return nil
}

// Reserve returns a free loopback address that can be listened on repeatedly. Outgoing
// connections take no ports there: their local address is 127.0.0.1.
func Reserve() (string, error) {
	for range 100 {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 16+rand.IntN(200), rand.IntN(250), 2+rand.IntN(250)))
		if err != nil {
			continue
		}
		defer ln.Close()
		return ln.Addr().String(), nil
	}
	return "", errors.New("found no free loopback address")
}

// count records the outcome of a request. The caller holds the mutex.
func (f *Front) count(outcome Outcome, cut, noIngress bool) {
	f.tally.Open--
	switch {
	case cut:
		f.tally.Cut++
	case outcome == Served:
		f.tally.Served++
	case outcome == Refused:
		f.tally.Refused++
	case outcome == Failed:
		f.tally.Failed++
	case outcome == Wrong:
		f.tally.Wrong++
	case outcome == Lost:
		f.tally.Lost++
	default:
		f.tally.Unreached++
		if noIngress {
			f.tally.Nobody++
		}
	}
}
