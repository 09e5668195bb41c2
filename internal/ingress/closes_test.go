package ingress

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// sendsOn has the client send text again and again for a time.
func (c *virtualClient) sendsOn(text string, every, d time.Duration) {
	for at := time.Duration(0); at < d; at += every {
		c.net.After(at, func() {
			if !c.ended {
				c.say(text)
			}
		})
	}
}

// A close over unread bytes is a reset, which takes answers with it. So wherever the
// ingress ends a client's connection, what was due before comes first, though the
// client sends on all the while.
func TestEndOverUnreadBytesTakesNoAnswer(t *testing.T) {
	const served = "$1\r\nv\r\n"
	for name, play := range map[string]struct {
		say  string              // by the client
		more string              // by the client, again and again; PING if empty
		then func(i *simulation) // 10 ms later
		want string              // what is due; lines to commands that were taken may follow
		last string              // and then this, if not empty
	}{
		"broken frame": {say: ask("payment", newID(), 5000) + "junk\r\n", last: "-ERR ",
			then: func(i *simulation) { i.attempts[0].serve("v") }, want: served},
		"too many wrong commands": {say: strings.Repeat(encode("GET", "x"), mostWrong), then: func(*simulation) {},
			want: strings.Repeat("-ERR unknown command\r\n", mostWrong-1), last: "-ERR too many"},
		"half a command": {say: "*3\r\n$60000\r\n", more: "x", then: func(*simulation) {}, last: "-ERR the command did not"},
		"drain": {say: ask("payment", newID(), 5000), want: served, then: func(i *simulation) {
			i.do(i.ingress.Drain)
			i.attempts[0].serve("v")
		}},
		"finish": {say: ask("payment", newID(), 5000), want: served, then: func(i *simulation) {
			i.do(i.ingress.Drain)
			i.do(i.ingress.CloseListener)
			i.do(i.ingress.Finish)
			i.attempts[0].serve("v")
		}},
		"a value that breaks off": {say: ask("payment", newID(), 5000) + ask("lookup", newID(), 5000), want: served, last: "$2000000\r\n",
			then: func(i *simulation) {
				first, large := i.attempts[0], i.attempts[1]
				if first.args[0] != "Q.DO" {
					first, large = large, first
				}
				large.say(fmt.Sprintf("*3\r\n$%d\r\nhalf", 2_000_000))
				large.conn.Close()
				i.run(5 * ms)
				first.serve("v")
			}},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= 4; seed++ {
				i := newSimulation(t, seed, 2, nil)
				c := i.dial("")
				i.run(3 * ms)
				c.say(play.say)
				i.run(10 * ms)
				if play.more != "" {
					c.sendsOn(play.more, 5*ms, 3*time.Second)
				} else {
					c.sendsOn(encode("PING"), ms/4, 500*ms)
				}
				i.run(50*ms + time.Duration(seed)*ms/16) // till no more is read
				play.then(i)
				i.run(4 * time.Second)
				got := string(c.in)
				rest, due := strings.CutPrefix(got, play.want)
				if at := strings.LastIndex(strings.TrimSuffix(rest, "\r\n"), "\n") + 1; play.last != "" {
					due = due && strings.Contains(rest[at:]+rest, play.last)
				}
				if !due || !c.ended {
					t.Fatalf("seed %d: the client got %.200q (ended %v), want %q and then %q", seed, got, c.ended, play.want, play.last)
				}
				if n := len(i.ingress.front.clients); n > 0 || i.ingress.Usage().Memory != 0 {
					t.Fatalf("seed %d: %d clients are left, %+v", seed, n, i.ingress.Usage())
				}
			}
		})
	}
}
