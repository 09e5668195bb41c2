package ingress

import (
	"testing"
	"time"
)

// toldMost is by how much the time that an attempt tells its backend may be more
// than what is left to the client.
const toldMost = 150 * ms

// The time that an attempt tells is what is left to its client then, and not what
// was left when its wait began: for a connection that comes up late, for a
// descriptor, for another backend's answer, or for the process that stood still.
func TestAttemptTellsNoMoreThanIsLeft(t *testing.T) {
	const limit = 3 * time.Second
	lateConnection := func(i *simulation) {
		i.net.Faults.Latency = waitMost
		i.run(2 * ms)
		i.net.Faults.Latency = latency
	}
	stall := func(i *simulation) {
		i.node.Pause()
		i.run(waitMost)
		i.node.Resume()
	}
	busy := func(i *simulation, a *playedAttempt, after time.Duration) {
		if len(i.attempts) < 3 {
			i.net.After(after, func() { a.say("-BUSY\r\n") })
		}
	}
	for name, play := range map[string]struct {
		before   func(i *simulation)                   // the client connects
		ahead    int                                   // commands in the same breath
		sent     func(i *simulation)                   // the request, just now
		came     func(i *simulation, a *playedAttempt) // an attempt came to its backend
		attempts int                                   // that come in all, at least
	}{
		"at once":                         {attempts: 1},
		"turned away at once":             {attempts: 3, came: func(i *simulation, a *playedAttempt) { busy(i, a, 0) }},
		"turned away late":                {attempts: 3, came: func(i *simulation, a *playedAttempt) { busy(i, a, waitMost) }},
		"a connection that comes up late": {attempts: 1, sent: lateConnection},
		"a further one on a connection that comes up late": {attempts: 2, came: func(i *simulation, a *playedAttempt) {
			if len(i.attempts) == 1 {
				a.say("-BUSY\r\n")
				i.net.After(latency/2, func() { i.net.Faults.Latency = waitMost })
				i.net.After(2*ms, func() { i.net.Faults.Latency = latency })
			}
		}},
		"a descriptor": {attempts: 1, sent: func(i *simulation) {
			i.node.Files = i.node.Open()
			i.run(waitMost)
			i.node.Files = 0
		}},
		"a place at the ingress": {attempts: 1,
			before: func(i *simulation) { i.node.Files = i.node.Open() },
			sent: func(i *simulation) {
				i.run(waitMost)
				i.node.Files = 0
			}},
		"its turn behind a crowd of commands": {attempts: 1,
			ahead: mostPending,
			sent: func(i *simulation) {
				i.run(waitMost)
				if n := i.ingress.front.clients[0].pending; n != mostPending {
					i.Fatalf("%d commands are open, want %d", n, mostPending)
				}
				for _, a := range i.attempts {
					a.serve("v")
				}
				i.attempts = nil
			}},
		"a stall before the request is read": {attempts: 1, sent: stall},
		"a stall while the connection comes up": {attempts: 1, sent: func(i *simulation) {
			i.run(latency + ms/10)
			stall(i)
		}},
		"a stall before a further one": {attempts: 2, came: func(i *simulation, a *playedAttempt) {
			if len(i.attempts) == 1 {
				i.node.Pause()
				a.say("-BUSY\r\n")
				i.net.After(waitMost, i.node.Resume)
			}
		}},
		"a stall while the connection of a further one comes up": {attempts: 2, came: func(i *simulation, a *playedAttempt) {
			if len(i.attempts) == 1 {
				a.say("-BUSY\r\n")
				i.net.After(latency+ms/10, i.node.Pause)
				i.net.After(waitMost, i.node.Resume)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, class := range []string{"lookup", "payment"} {
				for _, rested := range []bool{false, true} { // connections of requests before
					for seed := uint64(1); seed <= 4; seed++ {
						i := newSimulation(t, seed, 3, nil)
						if play.before != nil {
							play.before(i)
						}
						c := i.dial("")
						i.run(3 * ms)
						if rested && play.before == nil {
							i.answer = func(a *playedAttempt) { a.serve("v") }
							for range 12 {
								c.say(ask("lookup", newID(), 1000))
								i.run(50 * ms)
							}
							i.attempts, i.answer = nil, nil
						}
						if play.came != nil {
							i.answer = func(a *playedAttempt) { play.came(i, a) }
						}
						for range play.ahead {
							c.say(ask(class, newID(), int(limit/ms)))
						}
						if play.ahead > 0 {
							i.run(3 * ms)
						}
						sent := i.net.Now()
						c.say(ask(class, newID(), int(limit/ms)))
						if play.sent != nil {
							play.sent(i)
						}
						i.run(limit)
						if len(i.attempts) < play.attempts {
							t.Fatalf("%s, rested %v, seed %d: %d attempts, want %d", class, rested, seed, len(i.attempts), play.attempts)
						}
						for n, a := range i.attempts {
							if left := sent + limit - a.begun; a.told > left+toldMost {
								t.Fatalf("%s, rested %v, seed %d: attempt %d tells %v, and %v is left to the client", class, rested, seed, n, a.told, left)
							}
						}
					}
				}
			}
		})
	}
}
