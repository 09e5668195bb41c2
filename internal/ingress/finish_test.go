package ingress

import (
	"strings"
	"testing"
	"time"
)

// stopAndFinish takes the ingress through the phases of its shutdown, up to Finish.
func (i *simulation) stopAndFinish() {
	i.do(i.ingress.Drain)
	i.advance(acceptAfterStop)
	i.do(i.ingress.CloseListener)
	i.advance(firstRequestGrace)
	i.do(i.ingress.Finish)
}

// Guards against requests that were written before the shutdown and never read: nothing is read behind the limit of
// open commands, and the connection was ended once these were answered.
func TestFinishAnswersRequestsThatWaitUnread(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		const first, second = maxPending + 72, 60
		sim := newSimulation(t, seed, 4, nil)
		text := ""
		for range first {
			text += encodeRequest("payment", newID(), 1500)
		}
		c := sim.dial(text) // the backends do not answer
		sim.advance(100 * ms)
		for range second {
			c.send(encodeRequest("payment", newID(), 1500))
		}
		sim.advance(100 * ms)
		sim.stopAndFinish()
		sim.advance(1500 * ms)
		servedCount, refusedCount, failedCount := c.outcomes()
		if got := servedCount + refusedCount + failedCount; got != first+second || !c.ended || c.reset {
			t.Errorf("seed %d: %d answers to %d requests; ended %v, reset %v", seed, got, first+second, c.ended, c.reset)
		}
		if usage := sim.ingress.Usage(); usage != (Usage{}) {
			t.Errorf("seed %d: the ingress holds %+v", seed, usage)
		}
	}
}

// What arrives after Finish is refused, in order behind the open requests, and never reaches a backend.
func TestRequestsAfterFinishAreRefused(t *testing.T) {
	sim := newSimulation(t, 1, 2, nil)
	c := sim.dial(encodeRequest("payment", newID(), 2000))
	sim.advance(10 * ms)
	sim.stopAndFinish()
	sim.advance(10 * ms)
	c.send(encodeRequest("lookup", newID(), 2000) + encodeRequest("payment", newID(), 2000) + encode("PING"))
	sim.advance(10 * ms)
	sim.attempts[0].serve("v")
	sim.advance(300 * ms)
	if got, want := string(c.received), "$1\r\nv\r\n-BUSY\r\n-BUSY\r\n-ERR draining\r\n"; got != want || !c.ended || c.reset {
		t.Errorf("the client got %q, want %q; ended %v, reset %v", got, want, c.ended, c.reset)
	}
	if len(sim.attempts) != 1 {
		t.Errorf("%d attempts, want one", len(sim.attempts))
	}
}

// A client that goes on sending at full speed is ended once all accepted requests have been answered, and gets all
// replies that were written before.
func TestClientThatFloodsIsEndedAtTheEndOfTheShutdown(t *testing.T) {
	sim := newSimulation(t, 1, 2, nil)
	c := sim.dial(encodeRequest("payment", newID(), 1000))
	sim.advance(10 * ms)
	c.keepSending(encode("PING"), ms/8, 5*time.Second)
	sim.stopAndFinish()
	sim.attempts[0].serve("v")
	sim.advance(200 * ms)
	sim.do(sim.ingress.EndConnections)
	sim.advance(2 * lingerTimeout)
	if got := string(c.received); !strings.HasPrefix(got, "$1\r\nv\r\n-ERR draining\r\n") || !strings.HasSuffix(got, "\r\n") || !c.ended {
		t.Errorf("the client got %.60q and %d more bytes; ended %v", got, len(got)-min(60, len(got)), c.ended)
	}
	if n := len(sim.ingress.front.clients); n > 0 {
		t.Errorf("%d clients are left", n)
	}
}

// Guards against commands that are lost in a drain because their connection was paused after invalid ones.
func TestDrainAnswersCommandsBehindInvalidOnes(t *testing.T) {
	invalid, request := encode("GET", "x")+encode("GET", "x"), encodeRequest("lookup", newID(), 1000)
	for name, send := range map[string]func(sim *simulation, c *virtualClient){
		"unread": func(sim *simulation, c *virtualClient) {
			c.send(invalid)
			sim.advance(5 * ms)
			c.send(request)
			sim.advance(5 * ms)
			sim.do(sim.ingress.Drain)
		},
		"read": func(sim *simulation, c *virtualClient) {
			c.send(invalid + request)
			sim.advance(5 * ms)
			sim.do(sim.ingress.Drain)
		},
		"read in the round of the drain": func(sim *simulation, c *virtualClient) {
			c.send(invalid + request)
			sim.net.After(latency, func() { sim.node.Loop.Post(sim.ingress.Drain) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1, 1, nil)
			sim.serveAll()
			c := sim.dial(encodeRequest("lookup", newID(), 1000))
			sim.advance(20 * ms)
			send(sim, c)
			sim.advance(2 * invalidCommandDelay)
			const served, rejected = "$1\r\nv\r\n", "-ERR unknown command\r\n"
			if got, want := string(c.received), served+rejected+rejected+served; got != want || !c.ended || c.reset {
				t.Errorf("the client got %q, want %q; ended %v, reset %v", got, want, c.ended, c.reset)
			}
		})
	}
}

// Guards against a command that is lost because a part of it had been read when the drain ended its connection.
func TestDrainAwaitsTheRestOfACommand(t *testing.T) {
	for _, size := range []int{40, 5000} {
		sim := newSimulation(t, 1, 1, nil)
		sim.serveAll()
		c := sim.dial(encodeRequest("lookup", newID(), 1000))
		sim.advance(20 * ms)
		part, rest := partOfPayment(size)
		c.send(part)
		sim.advance(5 * ms)
		sim.do(sim.ingress.Drain)
		sim.advance(100 * ms)
		c.send(rest)
		sim.advance(100 * ms)
		if got, want := string(c.received), strings.Repeat("$1\r\nv\r\n", 2); got != want || !c.ended || c.reset {
			t.Errorf("cut after %d bytes: the client got %q, want %q; ended %v, reset %v", size, got, want, c.ended, c.reset)
		}
	}
}
