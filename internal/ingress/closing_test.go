package ingress

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// keepSending has the client send text at intervals for a time.
func (c *virtualClient) keepSending(text string, every, d time.Duration) {
	for at := time.Duration(0); at < d; at += every {
		c.net.After(at, func() {
			if !c.ended {
				c.send(text)
			}
		})
	}
}

// Guards against lost replies when the ingress ends a connection while its client keeps sending: closing a socket
// over unread bytes causes a reset, which destroys replies in transit.
func TestEndOverUnreadBytesLosesNoReply(t *testing.T) {
	const served = "$1\r\nv\r\n"
	for name, tc := range map[string]struct {
		text string                // sent by the client
		more string                // then sent by the client repeatedly; PING if empty
		then func(sim *simulation) // called 10 ms after the first text is sent
		want string                // expected reply; replies to the commands sent later may follow
		last string                // expected in the last line, if not empty
	}{
		"malformed frame": {text: encodeRequest("payment", newID(), 5000) + "junk\r\n", last: "-ERR ",
			then: func(sim *simulation) { sim.attempts[0].serve("v") }, want: served},
		"too many invalid commands": {text: strings.Repeat(encode("GET", "x"), maxInvalidCommands), then: func(*simulation) {},
			want: strings.Repeat("-ERR unknown command\r\n", maxInvalidCommands-1), last: "-ERR too many"},
		"half a command": {text: "*3\r\n$60000\r\n", more: "x", then: func(*simulation) {}, last: "-ERR the command did not"},
		"drain": {text: encodeRequest("payment", newID(), 5000), want: served, then: func(sim *simulation) {
			sim.do(sim.ingress.Drain)
			sim.attempts[0].serve("v")
		}},
		"finish": {text: encodeRequest("payment", newID(), 5000), want: served, then: func(sim *simulation) {
			sim.do(sim.ingress.Drain)
			sim.do(sim.ingress.CloseListener)
			sim.do(sim.ingress.Finish)
			sim.attempts[0].serve("v")
		}},
		"broken large value": {text: encodeRequest("payment", newID(), 5000) + encodeRequest("lookup", newID(), 5000),
			want: served, last: "$2000000\r\n",
			then: func(sim *simulation) {
				first, large := sim.attempts[0], sim.attempts[1]
				if first.args[0] != "Q.DO" {
					first, large = large, first
				}
				large.write(fmt.Sprintf("*3\r\n$%d\r\nhalf", 2_000_000))
				large.conn.Close()
				sim.advance(5 * ms)
				first.serve("v")
			}},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= 4; seed++ {
				sim := newSimulation(t, seed, 2, nil)
				c := sim.dial("")
				sim.advance(3 * ms)
				c.send(tc.text)
				sim.advance(10 * ms)
				if tc.more != "" {
					c.keepSending(tc.more, 5*ms, 3*time.Second)
				} else {
					c.keepSending(encode("PING"), ms/4, 500*ms)
				}
				sim.advance(50*ms + time.Duration(seed)*ms/16) // until nothing more is read
				tc.then(sim)
				sim.advance(4 * time.Second)
				got := string(c.received)
				rest, due := strings.CutPrefix(got, tc.want)
				if at := strings.LastIndex(strings.TrimSuffix(rest, "\r\n"), "\n") + 1; tc.last != "" {
					due = due && strings.Contains(rest[at:]+rest, tc.last)
				}
				if !due || !c.ended {
					t.Fatalf("seed %d: the client got %.200q (ended %v), want %q followed by %q", seed, got, c.ended, tc.want, tc.last)
				}
				if n := len(sim.ingress.front.clients); n > 0 || sim.ingress.Usage().Memory != 0 {
					t.Fatalf("seed %d: %d clients are left, the ingress holds %+v", seed, n, sim.ingress.Usage())
				}
			}
		})
	}
}
