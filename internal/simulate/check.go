package simulate

import (
	"time"

	"wickarch/internal/reactor/simnet"
)

// attempt is one attempt of a request, as a backend received it.
type attempt struct {
	request     *request
	from        *gateway
	backendConn *serverConn
	done        bool // its answer has been written
}

// inFlight reports whether the attempt is not answered yet, on a connection that
// neither end has closed.
func (a *attempt) inFlight() bool {
	return !a.done && !a.backendConn.closed && !simnet.PeerClosed(a.backendConn.conn)
}

// recordAttempt records and checks an attempt whose last byte has arrived at a backend.
func (r *run) recordAttempt(s *serverConn, words []string) *attempt {
	now := r.net.Now()
	ip := simnet.PeerIP(s.conn)
	a := &attempt{backendConn: s}
	for _, g := range r.gateways {
		if g.node.IP == ip {
			a.from = g
		}
	}
	t := r.requests[words[2]]
	if t == nil || words[1] != t.customer {
		r.fault("%s received %q, which no client has sent", s.name, words)
		a.request = &request{operation: &operation{}, id: words[2], customer: words[1], executedAt: map[int]time.Duration{}}
		return a
	}
	a.request = t
	count := 1
	for _, p := range t.attempts {
		if p.inFlight() && a.inFlight() { // an attempt that arrived after it was abandoned does not count
			r.fault("%s %s has two attempts in flight, at %s and %s", t.class, t.id, p.backendConn.name, s.name)
		}
		if p.from == a.from {
			count++
		}
	}
	if count > 4 {
		r.fault("%s %s has attempt %d from one ingress, more than try_limit allows", t.class, t.id, count)
	}
	if t.closedUnsent && s.firstByteSentAt > t.sentAt+time.Second {
		r.fault("%s %s was passed on after its connection was closed", t.class, t.id)
	}
	if notifiedAt, ok := a.from.goneNotified[s.name]; ok && s.firstByteSentAt-notifiedAt > drainGrace+timeSlack {
		r.fault("%s received %s %s %v after %s was notified that it drains or was deleted",
			s.name, t.class, t.id, s.firstByteSentAt-notifiedAt, ip)
	}
	if len(t.attempts) == 0 {
		r.meter.advance(now)
		r.meter.used[t.customer]++
		if hasHardLimit(t.customer) {
			r.chargeHardLimit(t.customer, now)
		}
	}
	t.attempts = append(t.attempts, a)
	return a
}

// chargeHardLimit takes a token for a request's first attempt from its customer's hard rate limit.
func (r *run) chargeHardLimit(customer string, now time.Duration) {
	b := r.hardLimits[customer]
	if b == nil {
		b = &tokenBucket{level: hardBurst}
		r.hardLimits[customer] = b
	}
	b.level = min(hardBurst, b.level+hardRate*(now-b.at).Seconds()) - 1
	b.at = now
	if b.level < -hardTolerance-hardRate*0.15 {
		r.fault("customer %s is %.1f units over its hard rate limit", customer, -b.level)
	}
}

type tokenBucket struct {
	level float64
	at    time.Duration
}

// execute runs an attempt: its effect happens, unless the cell drops it as a repeat within dedupWindow.
func (s *serverConn) execute(a *attempt) {
	t, r := a.request, s.run
	now := r.net.Now()
	r.report.Runs++
	if t.class == "transfer" {
		if at, seen := t.executedAt[s.cell]; seen && now-at < dedupWindow {
			return
		}
		t.executedAt[s.cell] = now
	}
	t.executions++
	t.effects++
	if t.class == "lookup" {
		return
	}
	// An attempt that the network delayed for longer than the dedup window can still
	// run after its repeat: what was sent can't be recalled.
	if t.effects > 1 && now-s.firstByteSentAt < dedupWindow/2 {
		r.fault("%s %s took effect a second time, at %s", t.class, t.id, s.name)
	}
	if t.refused {
		r.fault("%s %s ran after it was refused", t.class, t.id)
	}
}

// checkFinalState checks that every request has ended, that the ingresses hold no
// resources, and that nothing failed in a calm scenario.
func (r *run) checkFinalState() {
	if r.Calm && r.unexplainedFailures+r.report.Unreached+r.report.Excused > 0 {
		r.fault("%d requests failed, %d reached no ingress, %d were abandoned, though the scenario has no fault that causes this",
			r.unexplainedFailures, r.report.Unreached, r.report.Excused)
	}
	for _, t := range r.requests {
		if !t.ended {
			r.fault("a %s request never ended", t.class)
		}
	}
	for _, g := range r.gateways {
		if h := g.ingress.Usage(); h.Clients+h.Backends+h.Requests != 0 || h.Memory != 0 {
			r.fault("%s holds %+v at the end", g.node.IP, h)
		}
		if n := g.node.OpenDescriptors(); n != 1 {
			r.fault("%s holds %d descriptors at the end, want only the listener's", g.node.IP, n)
		}
	}
}
