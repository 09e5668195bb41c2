package ingress

import (
	"fmt"
	"testing"
	"time"
)

const (
	// maxBeginAfterClose is how long after its client's close an attempt may begin: the close has to arrive, and one
	// round has to run.
	maxBeginAfterClose = latency + 100*ms
	// waitTime is the time from the arrival of a request to the end of its wait.
	waitTime = 400 * ms
	// roundDelay is how late the round comes that ends the wait, where the process is stalled.
	roundDelay = 100 * ms
)

// waitCase is something that a request waits for when its client disconnects.
type waitCase struct {
	backends      int
	class         string
	attempts      int                   // that begin before the wait
	change        func(*Config)         // changes the configuration
	beforeRequest func(sim *simulation) // called before the request is sent
	afterRequest  func(sim *simulation) // called directly after the request is sent
	endWait       func(sim *simulation) // called when the wait ends, waitTime after
}

var waitCases = map[string]waitCase{
	"slow connect": {backends: 1, class: "payment",
		afterRequest: func(sim *simulation) { sim.net.Faults.Latency = waitTime }}, // affects only the connect
	"no descriptor for a backend connection": {backends: 1, class: "payment",
		afterRequest: func(sim *simulation) { sim.node.MaxDescriptors = sim.node.OpenDescriptors() },
		endWait:      func(sim *simulation) { sim.node.MaxDescriptors = 0 }},
	"no descriptor to accept the client": {backends: 1, class: "payment",
		beforeRequest: func(sim *simulation) { sim.node.MaxDescriptors = sim.node.OpenDescriptors() },
		endWait:       func(sim *simulation) { sim.node.MaxDescriptors = 0 }},
	"retry after a rejection": {backends: 2, class: "payment", attempts: 1,
		endWait: func(sim *simulation) { sim.attempts[0].write("-BUSY\r\n") }},
	"retry after an error": {backends: 2, class: "lookup", attempts: 1,
		endWait: func(sim *simulation) { sim.attempts[0].write("-ERR failed\r\n") }},
	"retry after a reset": {backends: 2, class: "lookup", attempts: 1,
		endWait: func(sim *simulation) { sim.attempts[0].backend.node.Kill() }},
	"hedged attempt": {backends: 2, class: "lookup", attempts: 1,
		change: func(cfg *Config) {
			cfg.Choice.Hedging = true
			cfg.Choice.Classes[0].Aim = 616 * ms // the hedged attempt starts after 0.65 of it
		}},
}

// play runs a wait case. leave, which may be nil, disconnects the client the given time before the end of the wait.
// The process is stalled for the time stall, until roundDelay after the end of the wait; 0: it is not stalled.
func (w waitCase) play(t *testing.T, seed uint64, cancelling bool, leave func(*virtualClient),
	before, stall time.Duration) (sim *simulation, closedAt time.Duration) {
	t.Helper()
	sim = newSimulation(t, seed, w.backends, func(cfg *Config) {
		cfg.Choice.Cancelling = cancelling
		if w.change != nil {
			w.change(cfg)
		}
	})
	call := func(f func(*simulation)) {
		if f != nil {
			f(sim)
		}
	}
	call(w.beforeRequest)
	c := sim.dial("")
	sim.advance(3 * ms)
	endAt := sim.net.Now() + waitTime + latency
	c.send(encodeRequest(w.class, newID(), 5000))
	call(w.afterRequest)
	sim.advance(2 * ms)
	sim.net.Faults.Latency = latency
	sim.advance(5 * ms)
	if len(sim.attempts) != w.attempts {
		t.Fatalf("%d attempts have begun, want %d", len(sim.attempts), w.attempts)
	}
	stallAt, leaveAt := endAt+roundDelay-stall, endAt-before
	sim.net.RunUntil(min(stallAt, leaveAt))
	if stall > 0 && stallAt <= leaveAt {
		sim.node.Pause()
	}
	sim.net.RunUntil(leaveAt)
	if closedAt = sim.net.Now(); leave != nil {
		leave(c)
	}
	sim.net.RunUntil(min(max(stallAt, leaveAt), endAt))
	if stall > 0 {
		sim.node.Pause()
	}
	sim.net.RunUntil(endAt)
	call(w.endWait)
	if stall > 0 {
		sim.advance(roundDelay)
		sim.node.Resume()
	}
	sim.advance(6 * time.Second) // beyond the request's deadline
	return sim, closedAt
}

// Guards against attempts, first ones or retries, that begin after their client has closed its connection, whether
// or not work can be cancelled. Where the process is stalled, the end of the wait and the disconnect are reported
// in one round, in any order.
func TestNoAttemptBeginsAfterTheClientDisconnects(t *testing.T) {
	for name, w := range waitCases {
		for _, cancelling := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, cancelling %v", name, cancelling), func(t *testing.T) {
				for _, stall := range []time.Duration{0, 150 * ms, 300 * ms} {
					// Control: a client that stays connected gets another attempt.
					if sim, _ := w.play(t, 1, cancelling, nil, waitTime/2, stall); len(sim.attempts) <= w.attempts {
						t.Fatalf("stall %v: %d attempts for a client that stays connected, want more", stall, len(sim.attempts))
					}
					for departure, leave := range virtualDepartures {
						for _, before := range []time.Duration{waitTime / 2, 50 * ms, 2 * ms, latency, 0} {
							for seed := uint64(1); seed <= 4; seed++ {
								sim, closedAt := w.play(t, seed, cancelling, leave, before, stall)
								for _, a := range sim.attempts {
									if a.begunAt > closedAt+maxBeginAfterClose {
										t.Fatalf("%s %v before the end of the wait, stall %v, seed %d: an attempt begins %v after the client's close",
											departure, before, stall, seed, a.begunAt-closedAt)
									}
								}
								if h := sim.ingress.Usage(); h.Requests+h.Clients > 0 {
									t.Fatalf("%s %v before the end of the wait, stall %v, seed %d: the ingress holds %+v", departure, before, stall, seed, h)
								}
							}
						}
					}
				}
			})
		}
	}
}

// Guards against requests that are sent on for a client that has closed its connection: its end lay behind more than
// the socket holds, and nothing was read while the first answer was awaited.
func TestRequestsBehindAFullWindowAreNotSentAfterTheirClientClosed(t *testing.T) {
	const behind = 1200
	for _, latency := range []time.Duration{ms / 2, 15 * ms} {
		for seed := uint64(1); seed <= 4; seed++ {
			sim := newSimulation(t, seed, 4, nil)
			sim.net.Faults.Latency, sim.net.Faults.Window, sim.net.Faults.Buffer = latency, 32<<10, 1<<20
			unanswered := map[string]bool{}
			sim.onAttempt = func(a *scriptedAttempt) {
				if !unanswered[a.args[2]] {
					a.serve("v")
				}
			}
			send := func(class string, limit int, answered bool) string {
				id := newID()
				unanswered[id] = !answered
				return encodeRequest(class, id, limit)
			}
			c := sim.dial(send("payment", 1000, false))
			sim.advance(2*latency + ms)
			for n := range behind {
				c.send(send("lookup", 20_000, n%40 > 0)) // those that are not answered are tried again
			}
			sim.advance(300 * ms)
			c.conn.Close()
			closedAt := sim.net.Now()
			sim.advance(5 * time.Second)
			late := 0
			for _, a := range sim.attempts {
				if a.begunAt > closedAt+100*ms {
					late++
				}
			}
			if late > 0 || len(sim.attempts) < 2 || sim.ingress.Usage() != (Usage{Backends: sim.ingress.Usage().Backends}) {
				t.Errorf("latency %v, seed %d: %d of %d attempts began over 0.1 s after the close; the ingress holds %+v",
					latency, seed, late, len(sim.attempts), sim.ingress.Usage())
			}
		}
	}
}

// A client that is still there gets all its answers, however long they waited behind one that hangs, and whether or not
// its machine acknowledges what it does not read.
func TestRequestsBehindAFullWindowAreAnswered(t *testing.T) {
	const behind = 1200
	sim := newSimulation(t, 1, 4, nil)
	sim.net.Faults.Window, sim.net.Faults.Buffer = 32<<10, 1<<20
	sim.onAttempt = func(a *scriptedAttempt) {
		if a.args[0] == "Q.ASK" {
			a.serve("v")
		}
	}
	c := sim.dial(encodeRequest("payment", newID(), 1000)) // never answered
	sim.advance(5 * ms)
	for range behind {
		c.send(encodeRequest("lookup", newID(), 20_000))
	}
	sim.advance(3 * time.Second)
	servedCount, refusedCount, failedCount := c.outcomes()
	if servedCount+refusedCount != behind || failedCount != 1 || c.ended {
		t.Errorf("%d served, %d refused, %d failed; ended %v, want %d answers and the failed payment", servedCount, refusedCount,
			failedCount, c.ended, behind)
	}
}
