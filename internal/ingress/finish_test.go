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
