package ingress

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestRecentIDsExpire(t *testing.T) {
	r := recentIDs{retention: 10, limit: 3}
	for _, step := range []struct {
		at   time.Duration
		id   uint64
		want idResult
	}{{0, 1, idAdded}, {9, 1, idKnown}, {10, 2, idAdded}, {19, 1, idKnown}, {20, 3, idAdded}, {20, 2, idKnown}, {30, 1, idAdded}} {
		if got := r.add(step.id, step.at); got != step.want {
			t.Errorf("id %d at %d: result %v, want %v", step.id, step.at, got, step.want)
		}
	}
	if n := r.count(); n > 3 {
		t.Errorf("%d ids are remembered, want at most 3", n)
	}
	r.remove(3)
	if r.add(3, 31) != idAdded {
		t.Error("a removed id is still known")
	}
}

func TestRecentIDsAreLimited(t *testing.T) {
	r := recentIDs{retention: 10, limit: 2}
	for _, step := range []struct {
		at   time.Duration
		id   uint64
		want idResult
	}{{0, 1, idAdded}, {0, 2, idAdded}, {0, 3, idsFull}, {0, 2, idKnown}, {10, 3, idsFull}, {20, 3, idAdded}} {
		if got := r.add(step.id, step.at); got != step.want {
			t.Errorf("id %d at %d: result %v, want %v", step.id, step.at, got, step.want)
		}
	}
}

// Guards against a flood of requests that takes the memory of the process: the id of each was remembered for seconds,
// also where the request was refused at once.
func TestIDsOfRequestsThatNeverRanAreNotRemembered(t *testing.T) {
	for name, answer := range map[string]string{"no backend": "", "refused by the backend": "-BUSY\r\n"} {
		t.Run(name, func(t *testing.T) {
			backends := 0
			if answer != "" {
				backends = 1
			}
			sim := newSimulation(t, 1, backends, nil)
			sim.onAttempt = func(a *scriptedAttempt) { a.write(answer) }
			flood := ""
			for n := range 1000 {
				flood += encodeRequest("lookup", fmt.Sprintf("%016x", n+1), 5000)
			}
			sim.dial(flood)
			sim.advance(time.Second)
			if n := sim.ingress.loop.ids.count(); n > 0 || sim.ingress.Usage().Requests > 0 {
				t.Errorf("%d ids are remembered of 1000 requests that never ran; %+v", n, sim.ingress.Usage())
			}
		})
	}
}

// Beyond the limit of ids that are remembered, requests are refused until older ids have expired: one that could not be
// told from a copy of it might run twice.
func TestRequestsBeyondTheLimitOfIDsAreRefused(t *testing.T) {
	const limit = 20
	sim := newSimulation(t, 1, 4, nil)
	sim.serveAll()
	sim.ingress.loop.ids.limit = limit
	ask := func(n int) (served, refused int) {
		text := ""
		for range n {
			text += encodeRequest("payment", newID(), 5000)
		}
		c := sim.dial(text)
		sim.advance(100 * ms)
		return strings.Count(string(c.received), "$1\r\nv\r\n"), strings.Count(string(c.received), "-BUSY")
	}
	if served, refused := ask(limit + 10); served != limit || refused != 10 {
		t.Errorf("%d served, %d refused, want %d and 10", served, refused, limit)
	}
	sim.advance(2 * sim.ingress.loop.ids.retention)
	if served, refused := ask(limit); served != limit || refused > 0 {
		t.Errorf("after the ids have expired: %d served, %d refused, want %d and none", served, refused, limit)
	}
}

// The id of a request that may have run stays known after its client has left; that of one that never ran does not.
func TestIDStaysKnownAfterItsClientLeftIfItMayHaveRun(t *testing.T) {
	for _, backends := range []int{0, 1} {
		sim := newSimulation(t, 1, 1, nil)
		if backends == 0 { // its connection comes up too late to be written to
			sim.net.Partition(sim.node.IP, sim.backends[0].node.IP)
		}
		c := sim.dial(encodeRequest("payment", someID, 2000))
		sim.advance(10 * ms)
		c.conn.Close()
		sim.advance(10 * ms)
		if known := sim.ingress.loop.ids.count(); known != backends {
			t.Errorf("attempts that arrived: %d; %d ids are known", backends, known)
		}
	}
}
