package ingress

import (
	"fmt"
	"testing"
	"time"
)

const (
	// goneMost is how long after its client's close an attempt may begin: the end
	// has to come, and one round to be played.
	goneMost = latency + 100*ms
	// waitMost is from when a request has come to when its wait is over.
	waitMost = 400 * ms
	// roundLate is how late the round comes that ends it where the process stands still.
	roundLate = 100 * ms
)

// A wait is what a request waits for when its client leaves.
type aWait struct {
	backends int
	class    string
	attempts int                 // that begin before
	change   func(*Config)       // of the configuration
	before   func(i *simulation) // the request is sent
	behind   func(i *simulation) // it, at once
	over     func(i *simulation) // it is, waitMost after
}

var waits = map[string]aWait{
	"a connection that comes up late": {backends: 1, class: "payment",
		behind: func(i *simulation) { i.net.Faults.Latency = waitMost }}, // of the connection alone
	"a descriptor": {backends: 1, class: "payment",
		behind: func(i *simulation) { i.node.Files = i.node.Open() },
		over:   func(i *simulation) { i.node.Files = 0 }},
	"a place at the ingress": {backends: 1, class: "payment",
		before: func(i *simulation) { i.node.Files = i.node.Open() },
		over:   func(i *simulation) { i.node.Files = 0 }},
	"a repeat of what was turned away": {backends: 2, class: "payment", attempts: 1,
		over: func(i *simulation) { i.attempts[0].say("-BUSY\r\n") }},
	"a repeat of what has failed": {backends: 2, class: "lookup", attempts: 1,
		over: func(i *simulation) { i.attempts[0].say("-ERR failed\r\n") }},
	"a repeat of what was reset": {backends: 2, class: "lookup", attempts: 1,
		over: func(i *simulation) { i.attempts[0].at.node.Kill() }},
	"a second copy": {backends: 2, class: "lookup", attempts: 1,
		change: func(cfg *Config) {
			cfg.Choice.Hedging = true
			cfg.Choice.Classes[0].Aim = 616 * ms // the copy goes after 0.65 of it
		}},
}

// play plays a wait. leave, which may be nil, is called so long before its end. The
// process may stand still for a time up to roundLate behind the end.
func (w aWait) play(t *testing.T, seed uint64, cancelling bool, leave func(*virtualClient), before, still time.Duration) (i *simulation, gone time.Duration) {
	t.Helper()
	i = newSimulation(t, seed, w.backends, func(cfg *Config) {
		cfg.Choice.Cancelling = cancelling
		if w.change != nil {
			w.change(cfg)
		}
	})
	call := func(f func(*simulation)) {
		if f != nil {
			f(i)
		}
	}
	call(w.before)
	c := i.dial("")
	i.run(3 * ms)
	over := i.net.Now() + waitMost + latency
	c.say(ask(w.class, newID(), 5000))
	call(w.behind)
	i.run(2 * ms)
	i.net.Faults.Latency = latency
	i.run(5 * ms)
	if len(i.attempts) != w.attempts {
		t.Fatalf("%d attempts have begun, want %d", len(i.attempts), w.attempts)
	}
	stop, leaves := over+roundLate-still, over-before
	i.net.Until(min(stop, leaves))
	if still > 0 && stop <= leaves {
		i.node.Pause()
	}
	i.net.Until(leaves)
	if gone = i.net.Now(); leave != nil {
		leave(c)
	}
	i.net.Until(min(max(stop, leaves), over))
	if still > 0 {
		i.node.Pause()
	}
	i.net.Until(over)
	call(w.over)
	if still > 0 {
		i.run(roundLate)
		i.node.Resume()
	}
	i.run(6 * time.Second) // past the request's own time
	return i, gone
}

// No attempt, first or further, begins once its client has closed its connection:
// whether or not work can be cancelled, whatever it waits for, and also where the
// process stood still, so that the end of the wait and the client's own are told in
// one round, in any order.
func TestNothingIsSentOnOnceTheClientHasGone(t *testing.T) {
	for name, w := range waits {
		for _, cancelling := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, cancelling %v", name, cancelling), func(t *testing.T) {
				for _, still := range []time.Duration{0, 150 * ms, 300 * ms} {
					// So that what is to be seen would be: a client that stays has another attempt.
					if i, _ := w.play(t, 1, cancelling, nil, waitMost/2, still); len(i.attempts) <= w.attempts {
						t.Fatalf("still %v: %d attempts for a client that stays, want more", still, len(i.attempts))
					}
					for way, leave := range leavingVirtually {
						for _, before := range []time.Duration{waitMost / 2, 50 * ms, 2 * ms, latency, 0} {
							for seed := uint64(1); seed <= 4; seed++ {
								i, gone := w.play(t, seed, cancelling, leave, before, still)
								for _, a := range i.attempts {
									if a.begun > gone+goneMost {
										t.Fatalf("%s %v before the end of the wait, still %v, seed %d: an attempt begins %v after the client's close",
											way, before, still, seed, a.begun-gone)
									}
								}
								if h := i.ingress.Usage(); h.Requests+h.Clients > 0 {
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
