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

// Settings for cold backends: one starts with a warmth of coldFrom, is warm after coldDuration, and is overloaded by
// overloadMultiple times the requests that it can serve within overloadWindow.
const (
	coldFrom         = 0.15
	coldDuration     = 17 * time.Second
	overloadMultiple = 3.0
	overloadWindow   = 1500 * time.Millisecond
)

// coldFleet is a fleet of ingress processes with stand-in backends that count the requests they get while cold.
type coldFleet struct {
	*testing.T
	registry  *standin.Registry
	processes []*standin.Process
	warmRate  float64      // requests per second that a warm backend can serve
	received  atomic.Int64 // requests that backends received
	toCold    atomic.Int64
	arrived   chan struct{} // signalled when a backend has received a request
	lost      atomic.Int64
	served    atomic.Int64
}

// coldBackend is a stand-in backend that counts the requests it gets while cold.
type coldBackend struct {
	*standin.Backend
	member standin.Member
	start  time.Time // zero for a warm backend

	mu       sync.Mutex
	arrivals []time.Time // of requests within the last overloadWindow
	maxLoad  float64     // highest number of requests in a window, as a share of the limit
	overload string      // describes the first overload; empty without one
}

// warmth returns a lower bound of the share of its capacity that the backend has.
func (b *coldBackend) warmth(now time.Time) float64 {
	if age := now.Sub(b.start); !b.start.IsZero() && age < coldDuration {
		return coldFrom + (1-coldFrom)*age.Seconds()/coldDuration.Seconds()
	}
	return 1
}

// count counts a request and returns the backend's warmth. All requests cost the same work. An ingress knows a cold
// backend only from discovery's list, which contains its start time, so each sender knows that it is cold.
func (b *coldBackend) count(warmRate float64) (warmth float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if warmth = b.warmth(now); warmth >= 1 {
		return warmth
	}
	b.arrivals = append(b.arrivals, now)
	for now.Sub(b.arrivals[0]) > overloadWindow {
		b.arrivals = b.arrivals[1:]
	}
	expected := overloadMultiple * warmth * warmRate * overloadWindow.Seconds()
	limit := expected + 2*math.Sqrt(expected)
	b.maxLoad = max(b.maxLoad, float64(len(b.arrivals))/limit)
	if float64(len(b.arrivals)) > limit && b.overload == "" {
		b.overload = fmt.Sprintf("%s, up for %v, is overloaded: it gets %d requests within %v, limit %.1f", b.member.ID,
			now.Sub(b.start).Round(time.Millisecond), len(b.arrivals), overloadWindow, limit)
	}
	return warmth
}

// startBackend starts a backend and adds it to discovery's list.
func (c *coldFleet) startBackend(id string, cold bool) *coldBackend {
	c.Helper()
	const work = 10 * time.Millisecond
	b := &coldBackend{}
	var err error
	b.Backend, err = standin.NewBackend(func(r standin.Received) {
		warmth := b.count(c.warmRate)
		c.received.Add(1)
		if warmth < 1 {
			c.toCold.Add(1)
		}
		select {
		case c.arrived <- struct{}{}:
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

// setPhase changes a backend's phase in discovery's list.
func (c *coldFleet) setPhase(b *coldBackend, phase string) {
	b.member.Phase = phase
	c.registry.Set(b.member)
}

// waitForRequests waits until backends have received that many more requests.
func (c *coldFleet) waitForRequests(more int64) {
	c.Helper()
	after := time.After(waitTimeout)
	for want := c.received.Load() + more; c.received.Load() < want; {
		select {
		case <-c.arrived:
		case <-after:
			c.Fatalf("backends received %d of %d requests within %v", c.received.Load(), want, waitTimeout)
		}
	}
}

// runClient sends requests to a process one after the other, with a delay before each, until stop is closed. The
// load is closed-loop: a busy machine makes the client slower, never faster.
func (c *coldFleet) runClient(node int, interval time.Duration, stop <-chan struct{}) {
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
		case <-time.After(interval):
		}
		var err error
		if conn == nil {
			if conn, err = standin.Dial(c.processes[node].Addr, waitTimeout); err != nil {
				c.Error(err)
				return
			}
		}
		conn.SetDeadline(time.Now().Add(waitTimeout))
		id := standin.NewID()
		switch conn.Ask(id, standin.Lookup(uint64(node+1), id, int(clientDeadline.Milliseconds()))...) {
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

// Guards against cold backends that 25 ingresses overload together, under uneven load near capacity: some backends
// join cold, then a burst of clients starts, and all old backends are replaced during it. No cold backend may get
// more than N + 2*sqrt(N) requests in overloadWindow, N being what the settings allow at its warmth; counted at the
// backends.
func TestManyIngressesDoNotOverloadColdBackends(t *testing.T) {
	const (
		processCount, warm, joining = 25, 12, 4
		interval                    = 200 * time.Millisecond // of a client, before each request
		load                        = 0.9                    // share of the warm backends' capacity before the burst
	)
	c := &coldFleet{T: t, registry: standin.NewRegistry(), processes: make([]*standin.Process, processCount), arrived: make(chan struct{}, 1)}
	t.Cleanup(c.registry.Stop)
	clients := func(node int) int { return [...]int{1, 1, 1, 2, 4}[node%5] }
	burstClients := func(node int) int { return [...]int{0, 0, 1, 1, 2}[node%5] } // started for the burst
	total := 0
	for i := range processCount {
		total += clients(i)
	}
	c.warmRate = float64(total) / interval.Seconds() / warm / load // clients send at most this often, and seldom less
	var old, coldBackends []*coldBackend
	for i := range warm {
		old = append(old, c.startBackend(fmt.Sprint("old-", i), false))
	}
	program, dir := deployedBinary(t), t.TempDir()
	var starts sync.WaitGroup
	for i := range c.processes {
		starts.Go(func() {
			settings := fmt.Sprintf(standin.Settings, 60_000, 1e6, 1e6)
			for from, to := range map[string]string{
				`"balancers":1,"self_index":0`: fmt.Sprintf(`"balancers":%d,"self_index":%d`, processCount, i),
				`"cold_from":0.2`:              fmt.Sprintf(`"cold_from":%g`, coldFrom),
				`"cold_ms":1000`:               fmt.Sprintf(`"cold_ms":%d`, coldDuration.Milliseconds()),
				`"fall_ms":1500`:               fmt.Sprintf(`"fall_ms":%d`, overloadWindow.Milliseconds()),
				`"tip_multiple":3`:             fmt.Sprintf(`"tip_multiple":%g`, overloadMultiple),
			} {
				if !strings.Contains(settings, from) {
					t.Errorf("the settings do not contain %s", from)
				}
				settings = strings.Replace(settings, from, to, 1)
			}
			n := standin.Node{Name: fmt.Sprint("n", i), Listen: "127.0.0.1:0", Discovery: c.registry.Addr(), Seed: fmt.Sprintf("%x", i+1),
				Limits: defaultLimits, Settings: json.RawMessage(settings)}
			p, err := n.Start(t.Context(), []string{program}, dir)
			if err == nil {
				err = standin.WaitReady(p.Addr, waitTimeout)
			}
			if err != nil {
				t.Error(err)
				return
			}
			c.processes[i] = p
		})
	}
	starts.Wait()
	if t.Failed() {
		t.FailNow()
	}
	stop := make(chan struct{})
	var clientsRunning sync.WaitGroup
	startClients := func(clients func(node int) int) {
		for i := range c.processes {
			for range clients(i) {
				clientsRunning.Go(func() { c.runClient(i, interval, stop) })
			}
		}
	}
	stopClients := sync.OnceFunc(func() { close(stop); clientsRunning.Wait() })
	defer stopClients()
	startClients(clients)
	c.waitForRequests(300)
	for i := range joining {
		coldBackends = append(coldBackends, c.startBackend(fmt.Sprint("joined-", i), true))
		c.waitForRequests(5)
	}
	c.waitForRequests(200)
	startClients(burstClients)
	for i, b := range old {
		coldBackends = append(coldBackends, c.startBackend(fmt.Sprint("new-", i), true))
		c.setPhase(b, "DRAINING")
		c.waitForRequests(20)
	}
	for _, b := range old {
		c.setPhase(b, "DELETED")
	}
	c.waitForRequests(400)
	stopClients()
	if n := c.lost.Load(); n > 0 {
		t.Errorf("%d requests were lost or got the response of another request", n)
	}
	maxLoad := 0.0
	for _, b := range coldBackends {
		b.mu.Lock()
		maxLoad = max(maxLoad, b.maxLoad)
		if b.overload != "" {
			t.Error(b.overload)
		}
		b.mu.Unlock()
	}
	if c.toCold.Load() < 200 {
		t.Errorf("cold backends got %d requests: too few for the test to be conclusive", c.toCold.Load())
	}
	t.Logf("backends received %d requests, cold ones %d of them; %d were served; a cold backend got at most %.2f of its limit",
		c.received.Load(), c.toCold.Load(), c.served.Load(), maxLoad)
}
