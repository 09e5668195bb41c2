package fleetsim

import (
	"slices"
	"time"

	"wickarch/rollout/replica"
)

func initialState(peers map[uint64]string) (replica.Stored, error) { return replica.Bootstrap(peers) }

// AllFaultKinds lists the kinds of fault by name.
var AllFaultKinds = []string{"coordinator dies", "coordinators die", "coordinator pauses", "leader pauses", "leader dies", "disk full", "disk older", "disk damaged",
	"disk empty", "write fails", "cut off", "one way", "loss", "agent dies", "agents die", "agent forgets", "agent pauses", "agent's disk full", "two agents",
	"program dies", "programs die", "program hangs", "program flaps", "zone lost"}

// injectFault injects one fault and schedules its end.
func (w *World) injectFault() {
	kinds := w.FaultKinds
	if kinds == nil {
		kinds = AllFaultKinds
	}
	kind := kinds[w.rng.IntN(len(kinds))]
	w.Note("fault injected: %s", kind)
	c := w.slots[w.rng.IntN(len(w.slots))]
	if lead := w.leader(); lead != nil && (kind == "leader pauses" || kind == "leader dies" || w.rng.IntN(3) == 0) {
		c = lead
	}
	m := w.members[w.rng.IntN(len(w.members))]
	// Members that hold a grant are chosen more often than others.
	var out []*member
	for _, o := range w.members {
		if o.grantFence != 0 {
			out = append(out, o)
		}
	}
	if len(out) > 0 && w.rng.IntN(2) == 0 {
		m = out[w.rng.IntN(len(out))]
	}
	until := w.between(w.Now()+time.Second, w.Now()+40*time.Second)
	switch kind {
	case "coordinator dies", "leader dies":
		c.kill()
		w.At(until, c.start)
	case "coordinators die":
		for _, o := range slices.Clone(w.slots) {
			o.kill()
			w.At(w.between(w.Now(), until), o.start)
		}
	case "coordinator pauses", "leader pauses":
		c.pause(w.between(time.Second, 30*time.Second))
	case "disk full":
		c.disk.fullUntil = until
		w.At(until+time.Second, c.start)
	case "write fails": // the process ends during a write
		c.disk.crashAtWrite = c.disk.writes + 1 + w.rng.IntN(4)
		w.At(until+time.Second, func() { c.disk.crashAtWrite = 0; c.start() })
	case "disk older", "disk damaged", "disk empty":
		// One disk per run: entries that a majority has lost cannot be recovered.
		if w.diskReplaced {
			return
		}
		w.diskReplaced = true
		c.disk.copyState()
		c.awaitsReplacement = true
		w.At(until, func() {
			c.kill()
			switch kind {
			case "disk older":
				c.disk.saved = *c.disk.oldCopy
				w.After(time.Second, c.start)
			case "disk damaged":
				c.disk.damaged = true
				w.After(time.Second, c.start)
			}
			w.After(w.between(2*time.Second, 20*time.Second), func() { w.replace(c.slot) })
		})
	case "cut off":
		// A minority of the coordinators is partitioned from the rest, together with half of the agents.
		few := map[int]bool{}
		for range 1 + w.rng.IntN(max(1, len(w.slots)/2)) {
			few[w.rng.IntN(len(w.slots))] = true
		}
		side := func(end int) bool {
			if end < firstAgentEndpoint {
				return few[end]
			}
			return end%2 == 0
		}
		w.cutWhere(func(a, b int) bool { return side(a) != side(b) }, until)
	case "one way":
		from := c.slot
		in := w.rng.IntN(2) == 0
		w.cutWhere(func(a, b int) bool { return in && b == from || !in && a == from }, until)
	case "loss":
		w.lossRate = 0.05 + 0.25*w.rng.Float64()
		w.At(until, func() { w.lossRate = 0 })
	case "agent dies", "agents die":
		n := 1
		if kind == "agents die" {
			n = 1 + len(w.members)/4
		}
		for range n {
			m.killAgent()
			w.At(w.between(w.Now(), until), m.startAgent)
			m = w.members[w.rng.IntN(len(w.members))]
		}
	case "agent forgets":
		m.killAgent()
		m.persisted.Grant, m.persisted.SeenFence, m.persisted.Index, m.persisted.Version,
			m.persisted.Failed, m.persisted.Prior = nil, 0, 0, "", "", ""
		w.At(until, m.startAgent)
	case "agent pauses":
		m.pausedUntil = w.between(w.Now(), w.Now()+30*time.Second)
	case "agent's disk full":
		m.diskFullUntil = until
	case "two agents":
		twin := &member{w: w, endpoint: m.endpoint, clock: m.clock, cfg: m.cfg, impersonated: m,
			prog: program{version: m.prog.version, classes: m.prog.classes}}
		twin.prog.requestRate = 1
		twin.startAgent()
		w.At(until, twin.killAgent)
	case "program dies":
		m.exit(m.prog.bootID, "signal 9")
	case "programs die":
		for range 1 + len(w.members)/20 {
			o := w.members[w.rng.IntN(len(w.members))]
			o.exit(o.prog.bootID, "signal 9")
		}
	case "program hangs":
		// Longer than the interval between two of the agent's checks: it cannot see a shorter hang.
		until = max(until, w.Now()+time.Duration(1.1*float64(w.Timing.ReportInterval)))
		boot := m.prog.bootID
		m.changeAvailability(func() { m.prog.unready = true })
		w.At(until, func() {
			if m.prog.bootID == boot && m.prog.unready { // not ended by another hang's end already
				m.prog.unready, m.prog.readyAt, m.prog.wasServing = false, w.Now(), false
			}
		})
	case "program flaps":
		for i := range 6 {
			w.After(time.Duration(i*7)*time.Second, func() { m.exit(m.prog.bootID, "signal 11") })
		}
	case "zone lost":
		zone := m.cfg.Member.Zone
		if w.Zones < 2 {
			return
		}
		for _, o := range w.members {
			if o.cfg.Member.Zone == zone {
				o.killAgent()
				o.changeAvailability(func() { o.prog.running = false })
				w.At(w.between(until, until+5*time.Second), o.startAgent)
			}
		}
	}
}

// cutWhere cuts the matching links until the given time.
func (w *World) cutWhere(where func(from, to int) bool, until time.Duration) {
	var cut [][2]int
	ends := make([]int, 0, len(w.slots)+len(w.members))
	for i := range w.slots {
		ends = append(ends, i)
	}
	for _, m := range w.members {
		ends = append(ends, m.endpoint)
	}
	for i := range w.slots {
		for _, e := range ends {
			if e == i {
				continue
			}
			for _, link := range [][2]int{{i, e}, {e, i}} {
				if where(link[0], link[1]) && !w.cutLinks[link] {
					w.cutLinks[link] = true
					cut = append(cut, link)
				}
			}
		}
	}
	w.At(until, func() {
		for _, link := range cut {
			delete(w.cutLinks, link)
		}
	})
}

// endFaults ends all faults that have not ended by their own schedule.
func (w *World) endFaults() {
	w.Note("all faults are over")
	w.faultsOver = true
	clear(w.cutLinks)
	w.lossRate = 0
	for _, c := range w.slots {
		c.disk.fullUntil, c.disk.crashAtWrite = 0, 0
		c.start()
	}
	for _, m := range w.members {
		m.diskFullUntil = 0
		m.startAgent()
	}
}
