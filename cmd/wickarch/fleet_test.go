package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wickarch/internal/standin"
)

// fleet is 20 ingress processes and 24 stand-in backends that count the requests they get.
type fleet struct {
	*testing.T
	balancers int
	backends  []*standin.Backend
	received  []atomic.Int32 // requests by backend
	usedPairs sync.Map       // used pairs of a process, as the customer of its client, and a backend
	effects   standin.Effects
	discovery *standin.Discovery
	processes []*standin.Process
	served    atomic.Int32
}

const fleetSize = 20

// requestInterval is the time between a client's requests. At higher rates a process uses more backends, as many as
// it gets requests within the longest aim (aim_ms), and then subsets would save nothing.
const requestInterval = 100 * time.Millisecond

func newFleet(t *testing.T, balancers int, cold func(backend int) bool) *fleet {
	h := &fleet{T: t, balancers: balancers, received: make([]atomic.Int32, 24), processes: make([]*standin.Process, fleetSize)}
	var members []standin.Member
	work := h.effects.Handler(func() time.Duration { return 2 * time.Millisecond }, nil)
	for i := range h.received {
		b, err := standin.NewBackend(func(r standin.Received) {
			h.received[i].Add(1)
			h.usedPairs.Store(r.Args[1]+" "+fmt.Sprint(i), nil)
			work(r)
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.Close)
		m := b.Member(fmt.Sprint("b", i))
		if cold(i) {
			m.UpSince = time.Now().UnixMilli()
		}
		h.backends, members = append(h.backends, b), append(members, m)
	}
	h.discovery = standin.NewDiscovery(members...)
	t.Cleanup(h.discovery.Stop)
	h.discovery.Open()
	for i := range h.processes {
		h.startProcess(i)
	}
	return h
}

func (h *fleet) startProcess(i int) {
	settings := strings.Replace(fmt.Sprintf(standin.Settings, 60_000, 1e6, 1e6), `"balancers":1,"self_index":0`,
		fmt.Sprintf(`"balancers":%d,"self_index":%d`, h.balancers, i), 1)
	settings = strings.Replace(settings, `"cold_ms":1000`, `"cold_ms":60000`, 1)
	config := standin.Node{Name: fmt.Sprint("n", i), Listen: "127.0.0.1:0", Discovery: h.discovery.Addr(), Seed: fmt.Sprintf("%x", i+1),
		Limits: defaultLimits, Settings: json.RawMessage(settings)}
	p, err := config.Start(h.Context(), []string{deployedBinary(h.T)}, h.TempDir())
	if err == nil {
		err = standin.WaitReady(p.Addr, waitTimeout)
	}
	if err != nil {
		h.Fatal(err)
	}
	h.processes[i] = p
}

// sendRequests has one client per process send that many requests, one after the other.
func (h *fleet) sendRequests(requests int) {
	h.Helper()
	var running sync.WaitGroup
	for i := range h.processes {
		running.Go(func() {
			c, err := standin.Dial(h.processes[i].Addr, waitTimeout)
			if err != nil {
				h.Error(err)
				return
			}
			defer c.Close()
			for range requests {
				id := standin.NewID()
				if got := c.Ask(id, standin.Lookup(uint64(i), id, int(clientDeadline.Milliseconds()))...); got != standin.Served {
					h.Errorf("process %d: request outcome %v, want served", i, got)
				}
				h.served.Add(1)
				time.Sleep(requestInterval)
			}
		})
	}
	running.Wait()
}

func (h *fleet) connections() (n int) {
	for _, b := range h.backends {
		n += b.Accepted()
	}
	return n
}

// Guards against large fleets in which each ingress connects to most backends, and against cold backends that
// restarted ingresses overload: configured for more ingresses, a process must use fewer backends and connections.
// Seven in ten processes are killed and restarted; each request must be served and run once.
func TestFleetUsesSubsetsOfBackends(t *testing.T) {
	const requestsPerProcess = 25
	connectionsPerRequest, pairs := map[int]float64{}, map[int]int{}
	for _, balancers := range []int{fleetSize, 100} {
		t.Run(fmt.Sprint("balancers ", balancers), func(t *testing.T) {
			cold := func(i int) bool { return i%4 == 1 }
			h := newFleet(t, balancers, cold)
			h.sendRequests(requestsPerProcess)
			for i := range h.processes {
				if i%10 < 7 {
					h.processes[i].Cmd.Process.Kill()
				}
			}
			for i := range h.processes {
				if i%10 < 7 {
					h.startProcess(i)
				}
			}
			h.sendRequests(requestsPerProcess)
			total, toCold, warm := 0, 0, 0
			for i := range h.received {
				n := int(h.received[i].Load())
				total += n
				if cold(i) {
					toCold += n
				} else if n > 0 {
					warm++
				}
			}
			if total != fleetSize*requestsPerProcess*2 || len(h.effects.Duplicates()) > 0 {
				t.Errorf("%d requests ran %d times, %v more than once", fleetSize*requestsPerProcess*2, total, h.effects.Duplicates())
			}
			if toCold > total/8 { // a quarter of the backends are cold
				t.Errorf("cold backends got %d of %d requests", toCold, total)
			}
			if warm < 14 {
				t.Errorf("%d of the 18 warm backends got requests, want at least 14", warm)
			}
			connectionsPerRequest[balancers] = float64(h.connections()) / float64(total)
			h.usedPairs.Range(func(any, any) bool { pairs[balancers]++; return true })
			t.Logf("%d used pairs, %.3f connections per request; cold backends got %d of %d requests",
				pairs[balancers], connectionsPerRequest[balancers], toCold, total)
		})
	}
	if pairs[100] > pairs[fleetSize]*6/10 || connectionsPerRequest[100] > 0.75*connectionsPerRequest[fleetSize] {
		t.Errorf("%d used pairs of a process and a backend and %.3f connections per request with subsets, %d and %.3f without",
			pairs[100], connectionsPerRequest[100], pairs[fleetSize], connectionsPerRequest[fleetSize])
	}
}
