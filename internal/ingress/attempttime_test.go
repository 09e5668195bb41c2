package ingress

import (
	"testing"
	"time"
)

// maxToldExcess is by how much the time that an attempt tells its backend may be more
// than what is left to the client.
const maxToldExcess = 150 * ms

// The time that an attempt tells is what is left to its client then, and not what
// was left when its wait began: for a connection that comes up late, for a
// descriptor, for another backend's answer, or for the process that stood still.
func TestAttemptTellsNoMoreThanIsLeft(t *testing.T) {
	const limit = 3 * time.Second
	lateConnection := func(sim *simulation) {
		sim.net.Faults.Latency = waitTime
		sim.advance(2 * ms)
		sim.net.Faults.Latency = latency
	}
	stall := func(sim *simulation) {
		sim.node.Pause()
		sim.advance(waitTime)
		sim.node.Resume()
	}
	busy := func(sim *simulation, a *scriptedAttempt, after time.Duration) {
		if len(sim.attempts) < 3 {
			sim.net.After(after, func() { a.write("-BUSY\r\n") })
		}
	}
	for name, play := range map[string]struct {
		before   func(sim *simulation)                     // the client connects
		ahead    int                                       // commands in the same breath
		sent     func(sim *simulation)                     // the request, just now
		came     func(sim *simulation, a *scriptedAttempt) // an attempt came to its backend
		attempts int                                       // that come in all, at least
	}{
		"at once":                         {attempts: 1},
		"turned away at once":             {attempts: 3, came: func(sim *simulation, a *scriptedAttempt) { busy(sim, a, 0) }},
		"turned away late":                {attempts: 3, came: func(sim *simulation, a *scriptedAttempt) { busy(sim, a, waitTime) }},
		"a connection that comes up late": {attempts: 1, sent: lateConnection},
		"a further one on a connection that comes up late": {attempts: 2, came: func(sim *simulation, a *scriptedAttempt) {
			if len(sim.attempts) == 1 {
				a.write("-BUSY\r\n")
				sim.net.After(latency/2, func() { sim.net.Faults.Latency = waitTime })
				sim.net.After(2*ms, func() { sim.net.Faults.Latency = latency })
			}
		}},
		"a descriptor": {attempts: 1, sent: func(sim *simulation) {
			sim.node.Files = sim.node.Open()
			sim.advance(waitTime)
			sim.node.Files = 0
		}},
		"a place at the ingress": {attempts: 1,
			before: func(sim *simulation) { sim.node.Files = sim.node.Open() },
			sent: func(sim *simulation) {
				sim.advance(waitTime)
				sim.node.Files = 0
			}},
		"its turn behind a crowd of commands": {attempts: 1,
			ahead: maxPending,
			sent: func(sim *simulation) {
				sim.advance(waitTime)
				if n := sim.ingress.front.clients[0].pending; n != maxPending {
					sim.Fatalf("%d commands are open, want %d", n, maxPending)
				}
				for _, a := range sim.attempts {
					a.serve("v")
				}
				sim.attempts = nil
			}},
		"a stall before the request is read": {attempts: 1, sent: stall},
		"a stall while the connection comes up": {attempts: 1, sent: func(sim *simulation) {
			sim.advance(latency + ms/10)
			stall(sim)
		}},
		"a stall before a further one": {attempts: 2, came: func(sim *simulation, a *scriptedAttempt) {
			if len(sim.attempts) == 1 {
				sim.node.Pause()
				a.write("-BUSY\r\n")
				sim.net.After(waitTime, sim.node.Resume)
			}
		}},
		"a stall while the connection of a further one comes up": {attempts: 2, came: func(sim *simulation, a *scriptedAttempt) {
			if len(sim.attempts) == 1 {
				a.write("-BUSY\r\n")
				sim.net.After(latency+ms/10, sim.node.Pause)
				sim.net.After(waitTime, sim.node.Resume)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, class := range []string{"lookup", "payment"} {
				for _, rested := range []bool{false, true} { // connections of requests before
					for seed := uint64(1); seed <= 4; seed++ {
						sim := newSimulation(t, seed, 3, nil)
						if play.before != nil {
							play.before(sim)
						}
						c := sim.dial("")
						sim.advance(3 * ms)
						if rested && play.before == nil {
							sim.onAttempt = func(a *scriptedAttempt) { a.serve("v") }
							for range 12 {
								c.send(encodeRequest("lookup", newID(), 1000))
								sim.advance(50 * ms)
							}
							sim.attempts, sim.onAttempt = nil, nil
						}
						if play.came != nil {
							sim.onAttempt = func(a *scriptedAttempt) { play.came(sim, a) }
						}
						for range play.ahead {
							c.send(encodeRequest(class, newID(), int(limit/ms)))
						}
						if play.ahead > 0 {
							sim.advance(3 * ms)
						}
						sent := sim.net.Now()
						c.send(encodeRequest(class, newID(), int(limit/ms)))
						if play.sent != nil {
							play.sent(sim)
						}
						sim.advance(limit)
						if len(sim.attempts) < play.attempts {
							t.Fatalf("%s, rested %v, seed %d: %d attempts, want %d", class, rested, seed, len(sim.attempts), play.attempts)
						}
						for n, a := range sim.attempts {
							if left := sent + limit - a.begunAt; a.timeLimit > left+maxToldExcess {
								t.Fatalf("%s, rested %v, seed %d: attempt %d tells %v, and %v is left to the client", class, rested, seed, n, a.timeLimit, left)
							}
						}
					}
				}
			}
		})
	}
}
