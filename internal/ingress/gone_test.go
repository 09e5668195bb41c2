package ingress

import (
	"fmt"
	"testing"
	"time"
)

const (
	// maxBeginAfterClose is how long after its client's close an attempt may begin: the end
	// has to come, and one round to be played.
	maxBeginAfterClose = latency + 100*ms
	// waitTime is from when a request has come to when its wait is over.
	waitTime = 400 * ms
	// roundDelay is how late the round comes that ends it where the process stands still.
	roundDelay = 100 * ms
)

// A wait is what a request waits for when its client leaves.
type waitCase struct {
	backends      int
	class         string
	attempts      int                   // that begin before
	change        func(*Config)         // of the configuration
	beforeRequest func(sim *simulation) // the request is sent
	afterRequest  func(sim *simulation) // it, at once
	endWait       func(sim *simulation) // it is, waitMost after
}

var waitCases = map[string]waitCase{
	"a connection that comes up late": {backends: 1, class: "payment",
		afterRequest: func(sim *simulation) { sim.net.Faults.Latency = waitTime }}, // of the connection alone
	"a descriptor": {backends: 1, class: "payment",
		afterRequest: func(sim *simulation) { sim.node.Files = sim.node.Open() },
		endWait:      func(sim *simulation) { sim.node.Files = 0 }},
	"a place at the ingress": {backends: 1, class: "payment",
		beforeRequest: func(sim *simulation) { sim.node.Files = sim.node.Open() },
		endWait:       func(sim *simulation) { sim.node.Files = 0 }},
	"a repeat of what was turned away": {backends: 2, class: "payment", attempts: 1,
		endWait: func(sim *simulation) { sim.attempts[0].write("-BUSY\r\n") }},
	"a repeat of what has failed": {backends: 2, class: "lookup", attempts: 1,
		endWait: func(sim *simulation) { sim.attempts[0].write("-ERR failed\r\n") }},
	"a repeat of what was reset": {backends: 2, class: "lookup", attempts: 1,
		endWait: func(sim *simulation) { sim.attempts[0].backend.node.Kill() }},
	"a second copy": {backends: 2, class: "lookup", attempts: 1,
		change: func(cfg *Config) {
			cfg.Choice.Hedging = true
			cfg.Choice.Classes[0].Aim = 616 * ms // the copy goes after 0.65 of it
		}},
}

// play plays a wait. leave, which may be nil, is called so long before its end. The
// process may stand still for a time up to roundLate behind the end.
func (w waitCase) play(t *testing.T, seed uint64, cancelling bool, leave func(*virtualClient), before, still time.Duration) (sim *simulation, gone time.Duration) {
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
	over := sim.net.Now() + waitTime + latency
	c.send(encodeRequest(w.class, newID(), 5000))
	call(w.afterRequest)
	sim.advance(2 * ms)
	sim.net.Faults.Latency = latency
	sim.advance(5 * ms)
	if len(sim.attempts) != w.attempts {
		t.Fatalf("%d attempts have begun, want %d", len(sim.attempts), w.attempts)
	}
	stop, leaves := over+roundDelay-still, over-before
	sim.net.Until(min(stop, leaves))
	if still > 0 && stop <= leaves {
		sim.node.Pause()
	}
	sim.net.Until(leaves)
	if gone = sim.net.Now(); leave != nil {
		leave(c)
	}
	sim.net.Until(min(max(stop, leaves), over))
	if still > 0 {
		sim.node.Pause()
	}
	sim.net.Until(over)
	call(w.endWait)
	if still > 0 {
		sim.advance(roundDelay)
		sim.node.Resume()
	}
	sim.advance(6 * time.Second) // past the request's own time
	return sim, gone
}

// No attempt, first or further, begins once its client has closed its connection:
// whether or not work can be cancelled, whatever it waits for, and also where the
// process stood still, so that the end of the wait and the client's own are told in
// one round, in any order.
func TestNothingIsSentOnOnceTheClientHasGone(t *testing.T) {
	for name, w := range waitCases {
		for _, cancelling := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, cancelling %v", name, cancelling), func(t *testing.T) {
				for _, still := range []time.Duration{0, 150 * ms, 300 * ms} {
					// So that what is to be seen would be: a client that stays has another attempt.
					if sim, _ := w.play(t, 1, cancelling, nil, waitTime/2, still); len(sim.attempts) <= w.attempts {
						t.Fatalf("still %v: %d attempts for a client that stays, want more", still, len(sim.attempts))
					}
					for way, leave := range virtualDepartures {
						for _, before := range []time.Duration{waitTime / 2, 50 * ms, 2 * ms, latency, 0} {
							for seed := uint64(1); seed <= 4; seed++ {
								sim, gone := w.play(t, seed, cancelling, leave, before, still)
								for _, a := range sim.attempts {
									if a.begunAt > gone+maxBeginAfterClose {
										t.Fatalf("%s %v before the end of the wait, still %v, seed %d: an attempt begins %v after the client's close",
											way, before, still, seed, a.begunAt-gone)
									}
								}
								if h := sim.ingress.Usage(); h.Requests+h.Clients > 0 {
									t.Fatalf("%s %v before the end of the wait, still %v, seed %d: the ingress holds %+v", way, before, still, seed, h)
								}
							}
						}
					}
				}
			})
		}
	}
}
