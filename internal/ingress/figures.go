package ingress

import (
	"fmt"
	"strconv"

	"wickarch/choice"
)

// ClassCounters are the counts of one class since the process started. A request
// counts once it has its final answer; one that its client gave up, nowhere.
type ClassCounters struct {
	Success, Busy, Failure uint64 // requests served, refused, failed
	Calls                  uint64 // attempts written whole to backends
}

func (c *ClassCounters) count(k outcomeKind) {
	switch k {
	case served:
		c.Success++
	case refused:
		c.Busy++
	default:
		c.Failure++
	}
}

// metrics are what the second address tells.
type metrics struct {
	classes []ClassCounters // by the number of the class
	open    int             // requests taken that have no final answer
}

// figuresPrefix begins each name, as the platform's page has them.
const figuresPrefix = "edge_node."

// AppendMetrics appends the figures as they are now, a name=value a line.
func (i *Ingress) AppendMetrics(b []byte) []byte {
	l := i.loop
	line := func(name, class string, v uint64) {
		b = append(append(b, figuresPrefix...), name...)
		if class != "" {
			b = append(append(b, '.'), class...)
		}
		b = strconv.AppendUint(append(b, '='), v, 10)
		b = append(b, '\n')
	}
	for n, c := range l.figures.classes {
		name := l.cfg.classNames[n]
		line("success", name, c.Success)
		line("busy", name, c.Busy)
		line("failure", name, c.Failure)
		line("backend_calls", name, c.Calls)
	}
	line("inflight", "", uint64(l.figures.open))
	line("hosts_listed", "", uint64(l.pool.BackendCount()))
	line("hosts_down", "", uint64(l.gateway.UnavailableBackends(l.Now())))
	if t := l.terms; t != nil {
		line("config_version", "", t.version)
		line("config_settled", "", t.settled)
	}
	return b
}

// AppendBackends appends a line for each backend that takes new work, those in
// use first, in the order in which this ingress turns to them, one for the limit on
// attempts out, and one that counts requests refused at once, by cause.
func (i *Ingress) AppendBackends(b []byte) []byte {
	l := i.loop
	names := map[uint32]string{}
	for name, id := range l.pool.BackendIDs() {
		names[id] = name
	}
	for _, v := range l.gateway.View(l.Now()) {
		state := "spare"
		switch {
		case v.Ejected:
			state = "ejected"
		case v.Unresponsive:
			state = "silent"
		case v.Used:
			state = "used"
		}
		b = fmt.Appendf(b, "%s state=%s part=%.2f warmth=%.2f latency=%.2f failures=%.2f out=%d\n",
			names[v.ID], state, v.PickWeight, v.Capacity, v.Latency, v.FailureRate, v.InFlight)
	}
	v := l.gateway.Limit()
	b = fmt.Appendf(b, "limit room=%.1f prior=%.1f out=%d latency=%.2f\nrefused", v.MaxInFlight, v.Baseline, v.InFlight, v.LatencyRatio)
	for _, c := range choice.Causes() {
		b = fmt.Appendf(b, " %s=%d", c, l.gateway.Refusals(c))
	}
	return fmt.Appendf(b, "\nreadings misread=%d\n", l.gateway.InvalidReadings())
}

// AppendEvents appends how often connections were closed, attempts ended and calls failed,
// by reason.
func (i *Ingress) AppendEvents(b []byte) []byte { return i.loop.events.append(b) }
