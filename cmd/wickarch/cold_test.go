package main

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wickarch/internal/standin"
)

// What the settings of the test say of cold backends.
const (
	coldFrom     = 0.15
	coldFor      = 17 * time.Second
	fallMultiple = 3.0
	fallFor      = 1500 * time.Millisecond
)

// crowd is many processes before stand-in backends of which each counts what it gets while it is cold.
type crowd struct {
	*testing.T
	registry *standin.Registry
	nodes    []*standin.Process
	capacity float64      // requests a second that a warm backend does
	all      atomic.Int64 // requests that came to backends
	toCold   atomic.Int64
	more     chan struct{} // a token when one has come
	lost     atomic.Int64
	served   atomic.Int64
}

// coldBackend is a stand-in backend that counts what comes to it.
type coldBackend struct {
	*standin.Backend
	member standin.Member
	start  time.Time // zero: it was up long before

	mu   sync.Mutex
	came []time.Time // within the window
	most float64     // that came, over what it bears
	fell string      // how, the first time
}

// warmth is the part of its capacity that it has, at least.
func (b *coldBackend) warmth(now time.Time) float64 {
	if age := now.Sub(b.start); !b.start.IsZero() && age < coldFor {
		return coldFrom + (1-coldFrom)*age.Seconds()/coldFor.Seconds()
	}
	return 1
}

// count counts a request. All are of the same work, and no ingress knows of a cold backend but by its list, which
// tells of its start: so each that comes is from one that had been told.
func (b *coldBackend) count(capacity float64) (warmth float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if warmth = b.warmth(now); warmth >= 1 {
		return warmth
	}
	b.came = append(b.came, now)
	for now.Sub(b.came[0]) > fallFor {
		b.came = b.came[1:]
	}
	n := fallMultiple * warmth * capacity * fallFor.Seconds()
	most := n + 2*math.Sqrt(n)
	b.most = max(b.most, float64(len(b.came))/most)
	if float64(len(b.came)) > most && b.fell == "" {
		b.fell = fmt.Sprintf("%s, up for %v, falls: it gets %d requests within %v and bears %.1f", b.member.ID,
			now.Sub(b.start).Round(time.Millisecond), len(b.came), fallFor, most)
	}
	return warmth
}

// backend starts one and has discovery tell of it.
func (c *crowd) backend(id string, cold bool) *coldBackend {
	c.Helper()
	const work = 10 * time.Millisecond
	b := &coldBackend{}
	var err error
	b.Backend, err = standin.NewBackend(func(r standin.Received) {
		warmth := b.count(c.capacity)
		c.all.Add(1)
		if warmth < 1 {
			c.toCold.Add(1)
		}
		select {
		case c.more <- struct{}{}:
		default:
		}
		time.Sleep(time.Duration(float64(work) / warmth))
		r.Answer(r.ID())
	})
	if err != nil {
		c.Fatal(err)
	}
	c.Cleanup(b.Close)
	b.member = b.Member(id)
	if cold {
		b.start = time.Now().Truncate(time.Millisecond)
		b.member.UpSince = b.start.UnixMilli()
	}
	c.registry.Set(b.member)
	return b
}

// told has discovery tell of another phase of a backend.
func (c *crowd) told(b *coldBackend, phase string) {
	b.member.Phase = phase
	c.registry.Set(b.member)
}

// wait waits until so many more requests have come to backends.
func (c *crowd) wait(more int64) {
	c.Helper()
	after := time.After(patience)
	for want := c.all.Load() + more; c.all.Load() < want; {
		select {
		case <-c.more:
		case <-after:
			c.Fatalf("%d of %d requests have come within %v", c.all.Load(), want, patience)
		}
	}
}

// ask has a client ask a process, one request after the other with a pause between, until stop is closed. So a
// machine that is kept busy makes it slower, and never quicker.
func (c *crowd) ask(node int, pause time.Duration, stop <-chan struct{}) {
	var conn *standin.Client
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		var err error
		if conn == nil {
			if conn, err = standin.Dial(c.nodes[node].Addr, patience); err != nil {
				c.Error(err)
				return
			}
		}
		conn.SetDeadline(time.Now().Add(patience))
		id := standin.NewID()
		switch conn.Ask(id, standin.Lookup(uint64(node+1), id, int(deadline.Milliseconds()))...) {
		case standin.Served:
			c.served.Add(1)
		case standin.Lost, standin.Wrong:
			c.lost.Add(1)
		case standin.Unsent:
			conn.Close()
			conn = nil
		}
	}
}

// Twenty-five processes at near full load, unevenly asked: some backends join cold, then a burst comes, and the old
// ones are replaced under it. No cold one gets more than N + 2 x root of N requests in the time that the settings
// name, N being what the settings allow it then; counted at the backends.
func TestColdBackendsBeforeACrowd(t *testing.T) {
	const (
		size, warm, joining = 25, 12, 4
		pause               = 200 * time.Millisecond // of a client, between requests
		load                = 0.9                    // of what the warm ones do, before the burst
	)
	c := &crowd{T: t, registry: standin.NewRegistry(), nodes: make([]*standin.Process, size), more: make(chan struct{}, 1)}
	t.Cleanup(c.registry.Stop)
	clients := func(node int) int { return [...]int{1, 1, 1, 2, 4}[node%5] }
	further := func(node int) int { return [...]int{0, 0, 1, 1, 2}[node%5] } // of the burst
	total := 0
	for i := range size {
		total += clients(i)
	}
	c.capacity = float64(total) / pause.Seconds() / warm / load // clients ask no more often, and seldom less
	var old, fresh []*coldBackend
	for i := range warm {
		old = append(old, c.backend(fmt.Sprint("old-", i), false))
	}
	program, dir := binary(t), t.TempDir()
	var starts sync.WaitGroup
	for i := range c.nodes {
		starts.Go(func() {
			settings := fmt.Sprintf(standin.Settings, 60_000, 1e6, 1e6)
			for was, is := range map[string]string{
				`"balancers":1,"self_index":0`: fmt.Sprintf(`"balancers":%d,"self_index":%d`, size, i),
				`"cold_from":0.2`:              fmt.Sprintf(`"cold_from":%g`, coldFrom),
				`"cold_ms":1000`:               fmt.Sprintf(`"cold_ms":%d`, coldFor.Milliseconds()),
				`"fall_ms":1500`:               fmt.Sprintf(`"fall_ms":%d`, fallFor.Milliseconds()),
				`"tip_multiple":3`:             fmt.Sprintf(`"tip_multiple":%g`, fallMultiple),
			} {
				if !strings.Contains(settings, was) {
					t.Errorf("the settings hold no %s", was)
				}
				settings = strings.Replace(settings, was, is, 1)
			}
			n := standin.Node{Name: fmt.Sprint("n", i), Listen: "127.0.0.1:0", Discovery: c.registry.Addr(), Seed: fmt.Sprintf("%x", i+1),
				Limits: limits, Settings: json.RawMessage(settings)}
			p, err := n.Start(t.Context(), []string{program}, dir)
			if err == nil {
				err = standin.WaitReady(p.Addr, patience)
			}
			if err != nil {
				t.Error(err)
				return
			}
			c.nodes[i] = p
		})
	}
	starts.Wait()
	if t.Failed() {
		t.FailNow()
	}
	stop := make(chan struct{})
	var asking sync.WaitGroup
	begin := func(clients func(node int) int) {
		for i := range c.nodes {
			for range clients(i) {
				asking.Go(func() { c.ask(i, pause, stop) })
			}
		}
	}
	end := sync.OnceFunc(func() { close(stop); asking.Wait() })
	defer end()
	begin(clients)
	c.wait(300)
	for i := range joining {
		fresh = append(fresh, c.backend(fmt.Sprint("joined-", i), true))
		c.wait(5)
	}
	c.wait(200)
	begin(further)
	for i, b := range old {
		fresh = append(fresh, c.backend(fmt.Sprint("new-", i), true))
		c.told(b, "DRAINING")
		c.wait(20)
	}
	for _, b := range old {
		c.told(b, "DELETED")
	}
	c.wait(400)
	end()
	if n := c.lost.Load(); n > 0 {
		t.Errorf("%d requests have no answer, or another's", n)
	}
	most := 0.0
	for _, b := range fresh {
		b.mu.Lock()
		most = max(most, b.most)
		if b.fell != "" {
			t.Error(b.fell)
		}
		b.mu.Unlock()
	}
	if c.toCold.Load() < 200 {
		t.Errorf("cold backends got %d requests: too few to show anything", c.toCold.Load())
	}
	t.Logf("%d requests came to backends, %d of them to cold ones, %d were served; at most %.2f of what a cold one bears",
		c.all.Load(), c.toCold.Load(), c.served.Load(), most)
}
