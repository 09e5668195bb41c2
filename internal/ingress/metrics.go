package ingress

import (
	"fmt"
	runtimemetrics "runtime/metrics"
	"strconv"

	"wickarch/choice"
)

// ClassCounters count the requests of one class since the process started. A request
// is counted by its final answer; one abandoned by its client is not counted.
type ClassCounters struct {
	Success, Busy, Failure uint64 // requests served, refused, failed
	Calls                  uint64 // attempts written completely to backends
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

// metrics are the values reported at the admin address.
type metrics struct {
	classes []ClassCounters // by index of the class
	open    int             // accepted requests without a final answer
}

// metricsPrefix is the prefix of each name, as the platform specifies it.
const metricsPrefix = "edge_node."

// AppendMetrics appends the current values, one name=value per line.
func (i *Ingress) AppendMetrics(b []byte) []byte {
	l := i.loop
	line := func(name, class string, v uint64) {
		b = append(append(b, metricsPrefix...), name...)
		if class != "" {
			b = append(append(b, '.'), class...)
		}
		b = strconv.AppendUint(append(b, '='), v, 10)
		b = append(b, '\n')
	}
	for n, c := range l.metrics.classes {
		name := l.cfg.classNames[n]
		line("success", name, c.Success)
		line("busy", name, c.Busy)
		line("failure", name, c.Failure)
		line("backend_calls", name, c.Calls)
	}
	line("inflight", "", uint64(l.metrics.open))
	line("hosts_listed", "", uint64(l.pool.BackendCount()))
	line("hosts_down", "", uint64(l.gateway.UnavailableBackends(l.Now())))
	if t := l.runtimeConfig; t != nil {
		line("config_version", "", t.version)
		line("config_settled", "", t.settled)
	}
	return b
}

// AppendBackends appends one line per backend that accepts new requests (those in use
// first, in the order in which this ingress prefers them), one for the limit on attempts
// in flight, one with requests refused immediately, by cause, and one with the number of
// discarded meter readings.
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

// AppendEvents appends counts of closed connections, ended attempts and failed system calls,
// by reason, and one line with what holds memory.
func (i *Ingress) AppendEvents(b []byte) []byte {
	b = i.loop.events.append(b)
	b = fmt.Appendf(b, "longest-round-ms=%d\n", i.loop.LongestRound().Milliseconds())
	return i.appendMemory(b)
}

// heapMetrics are the runtime's metrics of the heap: what the last collection found in use, and that with what has been
// allocated since.
var heapMetrics = [...]string{"/gc/heap/live:bytes", "/memory/classes/heap/objects:bytes"}

// appendMemory appends how many bytes are held for clients, how many request ids and customers are remembered, and the
// size of the heap.
func (i *Ingress) appendMemory(b []byte) []byte {
	samples := make([]runtimemetrics.Sample, len(heapMetrics))
	for n, name := range heapMetrics {
		samples[n].Name = name
	}
	runtimemetrics.Read(samples)
	return fmt.Appendf(b, "memory clients=%d request-ids=%d customers=%d heap-live=%d heap=%d\n", i.loop.memory.used, i.loop.ids.count(),
		i.loop.gateway.CustomerRecords(), samples[0].Value.Uint64(), samples[1].Value.Uint64())
}
