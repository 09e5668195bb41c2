package simulate

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"wickarch/internal/reactor"
	"wickarch/internal/reactor/simnet"
	"wickarch/internal/resp"
)

// want is what somebody wants done, over all the tries that its client makes.
type want struct {
	class string
	ran   int // times its effect happened
	tries int
}

// try is one request, under an id of its own.
type try struct {
	*want
	id, customer string
	gateway      *gateway
	conn         *link
	limit        time.Duration // the ingress owes the answer by then, whole once it has the request; 0: not sent whole
	sent         time.Duration // its last byte was taken
	wait         time.Duration // its client waits so long
	attempts     []*attempt
	runs         int // at backends, by those that drop repeats once
	cells        map[int]time.Duration
	again        bool // sent once more, as a close crossed it
	refused      bool
	ended        bool // answered, given up, or excused
	begun        bool // the first bytes of a large value have come
	cut          bool // the ingress ended its connection, with nothing sent on
}

func district(customer string) bool { return customer[len(customer)-1]%2 == 0 }

// client is a program that asks in the name of many customers, and keeps
// connections to all ingresses.
type client struct {
	*run
	node  *simnet.Node
	links []*link
}

func newClient(r *run, n int) *client {
	c := &client{run: r, node: r.net.Node(fmt.Sprintf("10.0.2.%d", n+1))}
	c.node.Start(func(*reactor.Loop) {})
	return c
}

// link is one connection to an ingress.
type link struct {
	*client
	to     *gateway
	conn   reactor.Conn
	opened time.Duration
	up     bool
	closed bool
	used   bool // has carried an answer
	slow   bool // the rest of a command is still to come
	out    []byte
	in     []byte
	queue  []*try // not answered, in order
}

func (r *run) newRequest() {
	w := &want{class: [...]string{"lookup", "payment", "transfer"}[r.rand.IntN(3)]}
	c := r.clients[r.rand.IntN(len(r.clients))]
	c.ask(w, fmt.Sprintf("%016x", 1+r.rand.IntN(r.Customers)))
}

// ask sends a new try.
func (c *client) ask(w *want, customer string) {
	r := c.run
	w.tries++
	id := fmt.Sprintf("%016x", r.rand.Uint64())
	t := &try{want: w, id: id, customer: customer, cells: map[int]time.Duration{}}
	r.tries[id] = t
	r.report.Requests++
	c.send(t)
}

// send sends a try to an ingress.
func (c *client) send(t *try) {
	r := c.run
	first := 0
	if r.Spread > 0 {
		n, _ := strconv.ParseInt(t.customer, 16, 64)
		first = int(n*7) % r.Ingresses
	}
	t.gateway = r.gateways[r.via(first)]
	var l *link
	for _, k := range c.links {
		if k.to == t.gateway && !k.slow && (len(k.queue) == 0 || r.rand.Float64() < r.Pipeline) {
			l = k
			break
		}
	}
	if l == nil {
		l = &link{client: c, to: t.gateway, opened: r.net.Now()}
		conn, err := c.node.Dial(t.gateway.address(), l)
		if err != nil {
			panic(err) // clients have descriptors
		}
		l.conn = conn
		c.links = append(c.links, l)
	}
	t.conn, t.limit = l, 0
	l.queue = append(l.queue, t)
	deadline := map[string]time.Duration{"lookup": 900, "payment": 600, "transfer": 700}[t.class] * ms
	deadline -= time.Duration(r.rand.Int64N(int64(deadline / 2)))
	t.wait = deadline
	verb, body, plan := "Q.DO", []string{"BODY"}, "basic"
	if t.class == "lookup" {
		verb, body = "Q.ASK", nil
	}
	if district(t.customer) {
		plan = "district"
	}
	words := append([]string{verb, t.customer, t.id, fmt.Sprintf("c=%s,t=%s,d=%d,units=1,spread=%d,first=%d", t.class, plan,
		deadline.Milliseconds(), r.spread(), first)}, body...)
	command := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, w := range words {
		command = fmt.Appendf(command, "$%d\r\n%s\r\n", len(w), w)
	}
	if r.rand.Float64() < r.Slow && len(l.queue) == 1 { // a part now, the rest later
		at := 1 + r.rand.IntN(len(command)-1)
		rest := command[at:]
		command = command[:at]
		l.slow = true
		r.net.After(time.Duration(r.rand.Int64N(int64(100*ms))), func() {
			if l.slow = false; !l.closed {
				l.out = append(l.out, rest...)
				l.flush()
				l.sentAll()
			}
		})
		l.out = append(l.out, command...)
		l.flush()
	} else {
		l.out = append(l.out, command...)
		l.flush()
		l.sentAll()
	}
	if r.rand.Float64() < r.Leave {
		r.net.After(time.Duration(r.rand.Int64N(int64(60*ms))), l.leave)
	}
	// Its client's patience ends, whether or not it could be sent.
	r.net.After(deadline+2*bench, func() {
		if !t.ended && t.conn == l && t.limit == 0 {
			l.leave()
		}
	})
}

// via picks one of the ingresses of a customer, of which first is the first.
func (r *run) via(first int) int {
	n := r.spread()
	if r.Shares == nil {
		return (first + r.rand.IntN(n)) % len(r.gateways)
	}
	all := 0.0
	for k := range n {
		all += r.Shares[(first+k)%len(r.gateways)]
	}
	at := r.rand.Float64() * all
	for k := range n - 1 {
		i := (first + k) % len(r.gateways)
		if at -= r.Shares[i]; at < 0 {
			return i
		}
	}
	return (first + n - 1) % len(r.gateways)
}

// sentAll notes, once all is written, from when the ingress owes an answer.
func (l *link) sentAll() {
	if l.closed || l.slow {
		return
	}
	if !l.up || len(l.out) > 0 {
		l.net.After(ms, func() { l.sentAll() })
		return
	}
	last := time.Duration(0)
	for _, t := range l.queue {
		if t.limit == 0 {
			t.sent = l.net.Now()
			t.limit = max(last, t.sent+t.wait) // it may have to wait for those before it
			l.net.After(t.limit+bench+l.Net.Latency+l.Net.Jitter*4+l.Net.Lag*2-t.sent, func() { l.judge(t) })
		}
		last = max(last, t.limit)
	}
}

// judge looks whether a request has its answer in time.
func (l *link) judge(t *try) {
	if t.ended || t.conn != l {
		return
	}
	if t.begun { // the first bytes are timed, and the rest may not be held back
		l.net.After(restTime, func() {
			if !t.ended && t.conn == l {
				if !l.excused(t) {
					l.fault("the rest of the answer to %s %s does not come", t.class, t.id)
				}
				l.leave()
			}
		})
		return
	}
	if !l.excused(t) {
		l.fault("%s %s has no answer within its time", t.class, t.id)
	}
	l.leave()
}

const restTime = 1900 * ms // of a large value, behind the time for its first bytes

// excused tells that what became of a request is not the ingress's doing.
func (l *link) excused(t *try) bool {
	now := l.net.Now()
	since := min(t.sent, now)
	if t.limit == 0 {
		since = l.opened
	}
	if at, yes := simnet.Accepted(l.conn); (!yes || at > t.sent+ms) && over(l.to.short, 0, now) {
		return true // it waited for a descriptor, or for admission to count on having one
	}
	return simnet.ResetByNetwork(l.conn) || over(l.to.down, l.opened, now) || over(l.cuts[l.to.node.IP+l.node.IP], since-time.Second, now)
}

// leave closes the connection as a client that has gone does.
func (l *link) leave() {
	if l.closed {
		return
	}
	l.close()
	for _, t := range l.queue {
		if !t.ended {
			t.ended = true
			l.report.Excused++
		}
	}
	l.queue = nil
}

func (l *link) close() {
	l.closed = true
	l.conn.Close()
	if i := slices.Index(l.links, l); i >= 0 {
		l.links = slices.Delete(l.links, i, i+1)
	}
}

func (c *client) closeAll() {
	for _, l := range slices.Clone(c.links) {
		l.leave()
	}
}

func (l *link) flush() {
	if !l.up || l.closed || len(l.out) == 0 {
		return
	}
	n, _ := l.conn.Write(l.out) // an end is seen by the read
	l.out = l.out[n:]
}

// Ready reads answers and writes what is left to write.
func (l *link) Ready(e reactor.Event) {
	if e&reactor.Writable != 0 {
		l.up = true
	}
	l.flush()
	var buf [4096]byte
	for !l.closed {
		n, err := l.conn.Read(buf[:])
		l.in = append(l.in, buf[:n]...)
		if err == reactor.ErrWouldBlock {
			break
		}
		if err != nil {
			l.ended()
			return
		}
		l.answers()
	}
}

// answers takes the answers that are whole.
func (l *link) answers() {
	for !l.closed {
		end := bytes.Index(l.in, []byte("\r\n"))
		if end < 0 {
			return
		}
		head, used := string(l.in[:end]), end+2
		value := ""
		if head[0] == '$' {
			size, err := strconv.Atoi(head[1:])
			if err != nil || size < 0 {
				l.fault("an answer begins with %q", head)
				return
			}
			if len(l.in) < used+size+2 {
				if size > resp.MaxValue && len(l.queue) > 0 {
					l.queue[0].begun = true
				}
				return
			}
			value = string(l.in[used : used+size])
			used += size + 2
		}
		l.in = l.in[used:]
		if len(l.queue) == 0 {
			l.fault("%q comes though nothing is asked", head)
			return
		}
		t := l.queue[0]
		l.queue = l.queue[1:]
		l.used = true
		l.took(t, head, value)
	}
}

// took ends a request with its answer.
func (l *link) took(t *try, head, value string) {
	r := l.run
	if t.ended {
		l.fault("%s %s has a second answer, %q", t.class, t.id, head)
		return
	}
	t.ended = true
	switch {
	case head[0] == '$':
		r.report.Served++
		if got, ok := strings.CutPrefix(value, t.id); !ok || strings.Trim(got, ".") != "" {
			l.fault("%s %s is served with %.40q", t.class, t.id, value)
		}
		return
	case strings.HasPrefix(head, "-BUSY"):
		r.report.Refused++
		t.refused = true
		if t.class != "lookup" && t.runs > 0 {
			l.fault("%s %s is refused, and has run", t.class, t.id)
		}
	case head == "-ERR failed":
		r.report.Failed++
		if t.class != "transfer" { // one that is slow is given up, and may not go on outside its cell
			r.causeless++
		}
		if t.class != "lookup" {
			return // it may have run
		}
	default:
		l.fault("%s %s is answered %q", t.class, t.id, head)
		return
	}
	l.retry(t)
}

// retry has the client try once more, where that does no harm.
func (c *client) retry(t *try) {
	if t.tries > 2 || c.over {
		return
	}
	c.net.After(time.Duration(c.rand.Int64N(int64(100*ms))), func() {
		if !c.over {
			c.ask(t.want, t.customer)
		}
	})
}

// ended takes the end of the connection from the other side.
func (l *link) ended() {
	r := l.run
	l.close()
	open := l.queue
	l.queue = nil
	broken := len(open) > 0 && open[0].begun
	for i, t := range open {
		switch {
		case t.ended:
		case !l.up: // no connection: it was never sent
			t.ended = true
			l.report.Unreached++
			l.retry(t)
		case broken && i > 0, l.excused(t):
			// Behind a value that has broken off nothing can be answered any more:
			// whatever came would count as a part of it.
			t.ended = true
			l.report.Excused++
			if t.class == "lookup" {
				l.retry(t)
			}
		case t.begun: // a backend's end broke its value off, and its client can tell
			t.ended = true
			r.report.Failed++
			r.causeless++
			if t.class == "lookup" {
				l.retry(t)
			}
		case len(t.attempts) > 0 && !t.again:
			t.ended = true
			l.fault("the connection of %s %s ended under it, though it was sent on", t.class, t.id)
		case l.used && !t.again && i == 0 && !l.over: // the close crossed it
			t.again = true
			l.send(t)
		default:
			t.ended, t.cut = true, true
			l.report.Unreached++
		}
	}
}
