package ingress

import (
	"testing"
	"time"
)

// maxLimitExcess is by how much the time limit in an attempt may exceed what is left to the client.
const maxLimitExcess = 150 * ms

// Guards against attempts that carry the time that was left to the client when a wait began, so that the backend
// works beyond the client's deadline. The waits are for a slow connect, for a descriptor, for another backend's
// answer, or for a stalled process.
func TestAttemptTimeLimitIsWhatClientHasLeft(t *testing.T) {
	const limit = 3 * time.Second
	slowConnect := func(sim *simulation) {
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
	for name, tc := range map[string]struct {
		before        func(sim *simulation)                     // called before the client connects
		commandsAhead int                                       // commands sent just before the request
		sent          func(sim *simulation)                     // called just after the request is sent
		arrived       func(sim *simulation, a *scriptedAttempt) // called when an attempt arrives at its backend
		attempts      int                                       // minimum number of attempts
	}{
		"no wait":              {attempts: 1},
		"rejected immediately": {attempts: 3, arrived: func(sim *simulation, a *scriptedAttempt) { busy(sim, a, 0) }},
		"rejected late":        {attempts: 3, arrived: func(sim *simulation, a *scriptedAttempt) { busy(sim, a, waitTime) }},
		"slow connect":         {attempts: 1, sent: slowConnect},
		"slow connect of a retry": {attempts: 2, arrived: func(sim *simulation, a *scriptedAttempt) {
			if len(sim.attempts) == 1 {
				a.write("-BUSY\r\n")
				sim.net.After(latency/2, func() { sim.net.Faults.Latency = waitTime })
				sim.net.After(2*ms, func() { sim.net.Faults.Latency = latency })
			}
		}},
		"no descriptor for a backend connection": {attempts: 1, sent: func(sim *simulation) {
			sim.node.MaxDescriptors = sim.node.OpenDescriptors()
			sim.advance(waitTime)
			sim.node.MaxDescriptors = 0
		}},
		"no descriptor to accept the client": {attempts: 1,
			before: func(sim *simulation) { sim.node.MaxDescriptors = sim.node.OpenDescriptors() },
			sent: func(sim *simulation) {
				sim.advance(waitTime)
				sim.node.MaxDescriptors = 0
			}},
		"pipelined behind many commands": {attempts: 1,
			commandsAhead: maxPending,
			sent: func(sim *simulation) {
				sim.advance(waitTime)
				if n := sim.ingress.front.clients[0].pending; n != maxPending {
					sim.Fatalf("%d commands are pending, want %d", n, maxPending)
				}
				for _, a := range sim.attempts {
					a.serve("v")
				}
				sim.attempts = nil
			}},
		"stall before the request is read": {attempts: 1, sent: stall},
		"stall during connect": {attempts: 1, sent: func(sim *simulation) {
			sim.advance(latency + ms/10)
			stall(sim)
		}},
		"stall before a retry": {attempts: 2, arrived: func(sim *simulation, a *scriptedAttempt) {
			if len(sim.attempts) == 1 {
				sim.node.Pause()
				a.write("-BUSY\r\n")
				sim.net.After(waitTime, sim.node.Resume)
			}
		}},
		"stall during the connect of a retry": {attempts: 2, arrived: func(sim *simulation, a *scriptedAttempt) {
			if len(sim.attempts) == 1 {
				a.write("-BUSY\r\n")
				sim.net.After(latency+ms/10, sim.node.Pause)
				sim.net.After(waitTime, sim.node.Resume)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, class := range []string{"lookup", "payment"} {
				for _, reused := range []bool{false, true} { // connections of earlier requests are idle
					for seed := uint64(1); seed <= 4; seed++ {
						sim := newSimulation(t, seed, 3, nil)
						if tc.before != nil {
							tc.before(sim)
						}
						c := sim.dial("")
						sim.advance(3 * ms)
						if reused && tc.before == nil {
							sim.onAttempt = func(a *scriptedAttempt) { a.serve("v") }
							for range 12 {
								c.send(encodeRequest("lookup", newID(), 1000))
								sim.advance(50 * ms)
							}
							sim.attempts, sim.onAttempt = nil, nil
						}
						if tc.arrived != nil {
							sim.onAttempt = func(a *scriptedAttempt) { tc.arrived(sim, a) }
						}
						for range tc.commandsAhead {
							c.send(encodeRequest(class, newID(), int(limit/ms)))
						}
						if tc.commandsAhead > 0 {
							sim.advance(3 * ms)
						}
						sent := sim.net.Now()
						c.send(encodeRequest(class, newID(), int(limit/ms)))
						if tc.sent != nil {
							tc.sent(sim)
						}
						sim.advance(limit)
						if len(sim.attempts) < tc.attempts {
							t.Fatalf("%s, reused connections %v, seed %d: %d attempts, want at least %d", class, reused, seed, len(sim.attempts), tc.attempts)
						}
						for n, a := range sim.attempts {
							if left := sent + limit - a.begunAt; a.timeLimit > left+maxLimitExcess {
								t.Fatalf("%s, reused connections %v, seed %d: attempt %d has a limit of %v, but the client has %v left",
									class, reused, seed, n, a.timeLimit, left)
							}
						}
					}
				}
			}
		})
	}
}
