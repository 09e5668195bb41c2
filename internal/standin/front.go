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

// Front deals requests out among ingresses, as the platform's front does: it takes in
// one that answers PING with +PONG, and leaves out one that does not.
type Front struct {
	Addrs     []string
	PerSecond float64
	Payments  float64 // share of the requests that must not run twice
	Deadline  time.Duration
	Effects   *Effects // of the backends behind

	mu    sync.Mutex
	up    []bool
	idle  map[string][]*Client
	tally FrontTally
}

// FrontTally counts what became of requests.
type FrontTally struct {
	Tally
	Cut     int // lost with an ingress that was killed
	MostOut int // ingresses that did not take clients, at once, as seen by PING
	Nobody  int // requests for which no ingress was to be had
}

// Run sends until ctx ends, waits for what is open, and tells what was seen.
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

// Seen is what was seen up to now.
func (f *Front) Seen() FrontTally {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tally
}

// Out is how many ingresses take no clients now, as seen by PING.
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

// pingTime is how long an answer to PING may take: long, as a machine that is kept
// busy is no ingress that is out.
const pingTimeout = 3 * time.Second

// ping asks one ingress again and again whether it takes clients.
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
			if line == "" { // a connection at rest may be closed; a new one tells
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
		if out := f.Unavailable(); out < len(f.Addrs) { // not before the first has come up
			f.mu.Lock()
			f.tally.MostOut = max(f.tally.MostOut, out)
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

// Mark begins the count of MostOut anew.
func (f *Front) ResetMostOut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tally.MostOut = 0
}

// take picks an ingress and a connection to it.
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
	outcome, cut, nobody := Unsent, false, false
	end := time.Now().Add(f.Deadline)
	var c *Client
	var addr string
	for try := 0; outcome == Unsent && !cut && time.Now().Before(end); try++ {
		var some bool
		if c, addr, some = f.acquire(try > 0); !some || c == nil {
			nobody = !some
			time.Sleep(2 * time.Millisecond)
			continue
		}
		nobody = false
		c.SetDeadline(time.Now().Add(f.Deadline + time.Second))
		if outcome = c.Ask(id, words...); outcome == Unsent {
			c.Close()
			// A close may cross a request that was not read, which is then sent again. One
			// that has run was taken: its ingress has been killed, or has lost it.
			cut = f.Effects.Count(id) > 0
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count(outcome, cut, nobody)
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

// Sound tells what may not be: requests lost, served wrongly or answered twice, and
// more cut than were killed with their ingress.
func (t FrontTally) Check(killed bool) error {
	u := t.Tally
	u.Failed += t.Cut
	if err := u.Check(); err != nil {
		return err
	}
	if t.Cut > 0 && !killed {
		return fmt.Errorf("%d requests were cut off, and nothing was killed", t.Cut)
	}
	return nil
}

// Reserve finds an address on loopback of its own that nothing else listens on and that
// can be listened on again and again: outgoing connections do not take ports there.
func Reserve() (string, error) {
	for range 100 {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 16+rand.IntN(200), rand.IntN(250), 2+rand.IntN(250)))
		if err != nil {
			continue
		}
		defer ln.Close()
		return ln.Addr().String(), nil
	}
	return "", errors.New("no address on loopback is free")
}

// count counts how a request ended. The caller holds the mutex.
func (f *Front) count(outcome Outcome, cut, nobody bool) {
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
		if nobody {
			f.tally.Nobody++
		}
	}
}
