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

// operation is what a customer wants done, over all requests that the client submits for it.
type operation struct {
	class       string
	effects     int // how often it took effect
	submissions int // requests sent for it
}

// request is one request with an ID of its own.
type request struct {
	*operation
	id, customer string
	gateway      *gateway
	conn         *clientConn
	answerBy     time.Duration // deadline of the answer, counted from the last byte sent; 0: not sent completely yet
	sentAt       time.Duration // when its last byte was sent
	timeout      time.Duration // how long its client waits
	attempts     []*attempt
	executions   int                   // at backends; a repeat that a cell drops does not count
	executedAt   map[int]time.Duration // by cell, of transfers: when the cell last ran it
	resent       bool                  // sent again, because the ingress closed the connection while it was on its way
	refused      bool
	ended        bool // answered, abandoned, or excused
	valueStarted bool // the first bytes of a large value have arrived
	closedUnsent bool // the ingress closed its connection without having passed it on
}

// hasHardLimit reports whether a customer has the plan "district", which has a hard rate limit.
func hasHardLimit(customer string) bool { return customer[len(customer)-1]%2 == 0 }

// client is a program that sends requests of many customers, and keeps
// connections to all ingresses.
type client struct {
	*run
	node  *simnet.Node
	conns []*clientConn
}

func newClient(r *run, n int) *client {
	c := &client{run: r, node: r.net.Node(fmt.Sprintf("10.0.2.%d", n+1))}
	c.node.Start(func(*reactor.Loop) {})
	return c
}

// clientConn is one connection to an ingress.
type clientConn struct {
	*client
	peer        *gateway
	conn        reactor.Conn
	openedAt    time.Duration
	connected   bool
	closed      bool
	answered    bool // an answer has arrived on it
	partialSend bool // the rest of a command is still to be sent
	out         []byte
	in          []byte
	queue       []*request // not answered yet, in order
}

func (r *run) newRequest() {
	w := &operation{class: [...]string{"lookup", "payment", "transfer"}[r.rand.IntN(3)]}
	c := r.clients[r.rand.IntN(len(r.clients))]
	c.submit(w, fmt.Sprintf("%016x", 1+r.rand.IntN(r.Customers)))
}

// submit sends a new request for an operation.
func (c *client) submit(w *operation, customer string) {
	r := c.run
	w.submissions++
	id := fmt.Sprintf("%016x", r.rand.Uint64())
	t := &request{operation: w, id: id, customer: customer, executedAt: map[int]time.Duration{}}
	r.requests[id] = t
	r.report.Requests++
	c.send(t)
}

// send sends a request to an ingress.
func (c *client) send(t *request) {
	r := c.run
	first := 0
	if r.Spread > 0 {
		n, _ := strconv.ParseInt(t.customer, 16, 64)
		first = int(n*7) % r.Ingresses
	}
	t.gateway = r.gateways[r.pickGateway(first)]
	var l *clientConn
	for _, k := range c.conns {
		if k.peer == t.gateway && !k.partialSend && (len(k.queue) == 0 || r.rand.Float64() < r.Pipeline) {
			l = k
			break
		}
	}
	if l == nil {
		l = &clientConn{client: c, peer: t.gateway, openedAt: r.net.Now()}
		conn, err := c.node.Dial(t.gateway.address(), l)
		if err != nil {
			panic(err) // clients have no limit of descriptors
		}
		l.conn = conn
		c.conns = append(c.conns, l)
	}
	t.conn, t.answerBy = l, 0
	l.queue = append(l.queue, t)
	deadline := map[string]time.Duration{"lookup": 900, "payment": 600, "transfer": 700}[t.class] * ms
	deadline -= time.Duration(r.rand.Int64N(int64(deadline / 2)))
	t.timeout = deadline
	verb, body, plan := "Q.DO", []string{"BODY"}, "basic"
	if t.class == "lookup" {
		verb, body = "Q.ASK", nil
	}
	if hasHardLimit(t.customer) {
		plan = "district"
	}
	words := append([]string{verb, t.customer, t.id, fmt.Sprintf("c=%s,t=%s,d=%d,units=1,spread=%d,first=%d", t.class, plan,
		deadline.Milliseconds(), r.spread(), first)}, body...)
	command := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, w := range words {
		command = fmt.Appendf(command, "$%d\r\n%s\r\n", len(w), w)
	}
	if r.rand.Float64() < r.Slow && len(l.queue) == 1 { // one part now, the rest later
		at := 1 + r.rand.IntN(len(command)-1)
		rest := command[at:]
		command = command[:at]
		l.partialSend = true
		r.net.After(time.Duration(r.rand.Int64N(int64(100*ms))), func() {
			if l.partialSend = false; !l.closed {
				l.out = append(l.out, rest...)
				l.flush()
				l.startDeadlines()
			}
		})
		l.out = append(l.out, command...)
		l.flush()
	} else {
		l.out = append(l.out, command...)
		l.flush()
		l.startDeadlines()
	}
	if r.rand.Float64() < r.Leave {
		r.net.After(time.Duration(r.rand.Int64N(int64(60*ms))), l.abandon)
	}
	// The client's timeout applies whether or not the request could be sent.
	r.net.After(deadline+2*timeSlack, func() {
		if !t.ended && t.conn == l && t.answerBy == 0 {
			l.abandon()
		}
	})
}

// pickGateway picks one of the r.spread() consecutive ingresses of a customer, starting at index first,
// by Shares as weights if these are set.
func (r *run) pickGateway(first int) int {
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

// startDeadlines sets, once all output is written, the time by which the ingress owes each answer.
func (l *clientConn) startDeadlines() {
	if l.closed || l.partialSend {
		return
	}
	if !l.connected || len(l.out) > 0 {
		l.net.After(ms, func() { l.startDeadlines() })
		return
	}
	last := time.Duration(0)
	for _, t := range l.queue {
		if t.answerBy == 0 {
			t.sentAt = l.net.Now()
			t.answerBy = max(last, t.sentAt+t.timeout) // answers come in order, so it may wait for those before it
			l.net.After(t.answerBy+timeSlack+l.Net.Latency+l.Net.Jitter*4+l.Net.Lag*2-t.sentAt, func() { l.checkAnswered(t) })
		}
		last = max(last, t.answerBy)
	}
}

// checkAnswered reports a fault if a request has no answer by its deadline.
func (l *clientConn) checkAnswered(t *request) {
	if t.ended || t.conn != l {
		return
	}
	if t.valueStarted { // the deadline is for the first bytes; the rest has largeValueTimeout
		l.net.After(largeValueTimeout, func() {
			if !t.ended && t.conn == l {
				if !l.excused(t) {
					l.fault("the rest of the answer to %s %s has not arrived", t.class, t.id)
				}
				l.abandon()
			}
		})
		return
	}
	if !l.excused(t) {
		l.fault("%s %s has no answer within its deadline", t.class, t.id)
	}
	l.abandon()
}

const largeValueTimeout = 1900 * ms // for the rest of a large value, after the deadline for its first bytes

// excused reports whether an injected fault, not the ingress, explains what became of a request.
func (l *clientConn) excused(t *request) bool {
	now := l.net.Now()
	since := min(t.sentAt, now)
	if t.answerBy == 0 {
		since = l.openedAt
	}
	if at, yes := simnet.Accepted(l.conn); (!yes || at > t.sentAt+ms) && overlaps(l.peer.shortages, 0, now) {
		return true // it waited for a descriptor, or for admission to expect a free one
	}
	return simnet.ResetByNetwork(l.conn) || overlaps(l.peer.down, l.openedAt, now) ||
		overlaps(l.linkCuts[l.peer.node.IP+l.node.IP], since-time.Second, now)
}

// abandon closes the connection as a client that disconnects does; its open requests are excused.
func (l *clientConn) abandon() {
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

func (l *clientConn) close() {
	l.closed = true
	l.conn.Close()
	if i := slices.Index(l.conns, l); i >= 0 {
		l.conns = slices.Delete(l.conns, i, i+1)
	}
}

func (c *client) closeAll() {
	for _, l := range slices.Clone(c.conns) {
		l.abandon()
	}
}

func (l *clientConn) flush() {
	if !l.connected || l.closed || len(l.out) == 0 {
		return
	}
	n, _ := l.conn.Write(l.out) // the read notices a closed connection
	l.out = l.out[n:]
}

// Ready reads answers and writes the rest of the output buffer.
func (l *clientConn) Ready(e reactor.Event) {
	if e&reactor.Writable != 0 {
		l.connected = true
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
			l.handleClose()
			return
		}
		l.readAnswers()
	}
}

// readAnswers takes all complete answers from the input buffer.
func (l *clientConn) readAnswers() {
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
				l.fault("an answer starts with %q", head)
				return
			}
			if len(l.in) < used+size+2 {
				if size > resp.MaxValue && len(l.queue) > 0 {
					l.queue[0].valueStarted = true
				}
				return
			}
			value = string(l.in[used : used+size])
			used += size + 2
		}
		l.in = l.in[used:]
		if len(l.queue) == 0 {
			l.fault("%q arrived though no request is pending", head)
			return
		}
		t := l.queue[0]
		l.queue = l.queue[1:]
		l.answered = true
		l.handleAnswer(t, head, value)
	}
}

// handleAnswer ends a request with its answer and checks that answer.
func (l *clientConn) handleAnswer(t *request, head, value string) {
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
			l.fault("%s %s was served with the wrong value %.40q", t.class, t.id, value)
		}
		return
	case strings.HasPrefix(head, "-BUSY"):
		r.report.Refused++
		t.refused = true
		if t.class != "lookup" && t.executions > 0 {
			l.fault("%s %s was refused though it has run", t.class, t.id)
		}
	case head == "-ERR failed":
		r.report.Failed++
		if t.class != "transfer" { // a slow transfer is abandoned, and may not be retried outside its cell
			r.unexplainedFailures++
		}
		if t.class != "lookup" {
			return // it may have run
		}
	default:
		l.fault("%s %s was answered with %q", t.class, t.id, head)
		return
	}
	l.retry(t)
}

// retry has the client submit the operation again, where that is safe: at most three requests for one
// operation, none after the load has ended.
func (c *client) retry(t *request) {
	if t.submissions > 2 || c.loadEnded {
		return
	}
	c.net.After(time.Duration(c.rand.Int64N(int64(100*ms))), func() {
		if !c.loadEnded {
			c.submit(t.operation, t.customer)
		}
	})
}

// handleClose ends or resends the open requests after the ingress has closed the connection.
func (l *clientConn) handleClose() {
	r := l.run
	l.close()
	open := l.queue
	l.queue = nil
	broken := len(open) > 0 && open[0].valueStarted
	for i, t := range open {
		switch {
		case t.ended:
		case !l.connected: // never connected, so it was not sent
			t.ended = true
			l.report.Unreached++
			l.retry(t)
		case broken && i > 0, l.excused(t):
			// After a truncated value nothing more can be answered on the connection:
			// whatever was sent would be read as a part of that value.
			t.ended = true
			l.report.Excused++
			if t.class == "lookup" {
				l.retry(t)
			}
		case t.valueStarted: // the backend closed its connection within the value, and the client can tell that it is truncated
			t.ended = true
			r.report.Failed++
			r.unexplainedFailures++
			if t.class == "lookup" {
				l.retry(t)
			}
		case len(t.attempts) > 0 && !t.resent:
			t.ended = true
			l.fault("the connection of %s %s was closed before its answer, though it was passed on", t.class, t.id)
		case l.answered && !t.resent && i == 0 && !l.loadEnded: // sent while the ingress closed the idle connection
			t.resent = true
			l.send(t)
		default:
			t.ended, t.closedUnsent = true, true
			l.report.Unreached++
		}
	}
}
