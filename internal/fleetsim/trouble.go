package fleetsim

import (
	"slices"
	"time"

	"wickarch/rollout/replica"
)

func founding(peers map[uint64]string) (replica.Stored, error) { return replica.Bootstrap(peers) }

// Troubles are the kinds of fault, by name.
var Troubles = []string{"coordinator dies", "coordinators die", "coordinator pauses", "leader pauses", "leader dies", "disk full", "disk older", "disk damaged",
	"disk empty", "write fails", "cut off", "one way", "loss", "agent dies", "agents die", "agent forgets", "agent pauses", "agent's disk full", "two agents",
	"program dies", "programs die", "program hangs", "program flaps", "zone lost"}

// trouble causes one fault, and plans its end.
func (w *World) trouble() {
	kinds := w.FaultKinds
	if kinds == nil {
		kinds = Troubles
	}
	kind := kinds[w.rng.IntN(len(kinds))]
	w.Note("trouble: %s", kind)
	c := w.slots[w.rng.IntN(len(w.slots))]
	if lead := w.leader(); lead != nil && (kind == "leader pauses" || kind == "leader dies" || w.rng.IntN(3) == 0) {
		c = lead
	}
	m := w.members[w.rng.IntN(len(w.members))]
	// Those whose turn it is are hit more often than others.
	var out []*member
	for _, o := range w.members {
		if o.granted != 0 {
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
		c.disk.full = until
		w.At(until+time.Second, c.start)
	case "write fails": // the process ends in the midst of keeping something
		c.disk.crashAt = c.disk.writes + 1 + w.rng.IntN(4)
		w.At(until+time.Second, func() { c.disk.crashAt = 0; c.start() })
	case "disk older", "disk damaged", "disk empty":
		// One at a time: what a majority has forgotten nobody can know.
		if w.replaced {
			return
		}
		w.replaced = true
		c.disk.keep()
		c.lost = true
		w.At(until, func() {
			c.kill()
			switch kind {
			case "disk older":
				c.disk.saved = *c.disk.older
				w.After(time.Second, c.start)
			case "disk damaged":
				c.disk.damaged = true
				w.After(time.Second, c.start)
			}
			w.After(w.between(2*time.Second, 20*time.Second), func() { w.replace(c.place) })
		})
	case "cut off":
		// A minority of the coordinators, with half of the agents, apart from the rest.
		few := map[int]bool{}
		for range 1 + w.rng.IntN(max(1, len(w.slots)/2)) {
			few[w.rng.IntN(len(w.slots))] = true
		}
		side := func(end int) bool {
			if end < agentEnd {
				return few[end]
			}
			return end%2 == 0
		}
		w.cutWhere(func(a, b int) bool { return side(a) != side(b) }, until)
	case "one way":
		from := c.place
		in := w.rng.IntN(2) == 0
		w.cutWhere(func(a, b int) bool { return in && b == from || !in && a == from }, until)
	case "loss":
		w.loss = 0.05 + 0.25*w.rng.Float64()
		w.At(until, func() { w.loss = 0 })
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
		m.mem.Grant, m.mem.SeenFence, m.mem.Index, m.mem.Version, m.mem.Failed, m.mem.Prior = nil, 0, 0, "", "", ""
		w.At(until, m.startAgent)
	case "agent pauses":
		m.until = w.between(w.Now(), w.Now()+30*time.Second)
	case "agent's disk full":
		m.full = until
	case "two agents":
		twin := &member{w: w, end: m.end, clock: m.clock, cfg: m.cfg, shadow: m, prog: program{version: m.prog.version, classes: m.prog.classes}}
		twin.prog.rate = 1
		twin.startAgent()
		w.At(until, twin.killAgent)
	case "program dies":
		m.exit(m.prog.boot, "signal 9")
	case "programs die":
		for range 1 + len(w.members)/20 {
			o := w.members[w.rng.IntN(len(w.members))]
			o.exit(o.prog.boot, "signal 9")
		}
	case "program hangs":
		// For longer than between two looks of the agent: shorter ones nobody can see.
		until = max(until, w.Now()+time.Duration(1.1*float64(w.Timing.ReportInterval)))
		boot := m.prog.boot
		m.lapse(func() { m.prog.unready = true })
		w.At(until, func() {
			if m.prog.boot == boot && m.prog.unready { // and not brought back by another one's end
				m.prog.unready, m.prog.readyAt, m.prog.was = false, w.Now(), false
			}
		})
	case "program flaps":
		for i := range 6 {
			w.After(time.Duration(i*7)*time.Second, func() { m.exit(m.prog.boot, "signal 11") })
		}
	case "zone lost":
		zone := m.cfg.Member.Zone
		if w.Zones < 2 {
			return
		}
		for _, o := range w.members {
			if o.cfg.Member.Zone == zone {
				o.killAgent()
				o.lapse(func() { o.prog.running = false })
				w.At(w.between(until, until+5*time.Second), o.startAgent)
			}
		}
	}
}

// cutWhere cuts links until a time.
func (w *World) cutWhere(where func(from, to int) bool, until time.Duration) {
	var cut [][2]int
	ends := make([]int, 0, len(w.slots)+len(w.members))
	for i := range w.slots {
		ends = append(ends, i)
	}
	for _, m := range w.members {
		ends = append(ends, m.end)
	}
	for i := range w.slots {
		for _, e := range ends {
			if e == i {
				continue
			}
			for _, link := range [][2]int{{i, e}, {e, i}} {
				if where(link[0], link[1]) && !w.cut[link] {
					w.cut[link] = true
					cut = append(cut, link)
				}
			}
		}
	}
	w.At(until, func() {
		for _, link := range cut {
			delete(w.cut, link)
		}
	})
}

// mend ends all faults that do not end by themselves.
func (w *World) mend() {
	w.Note("all faults are over")
	w.calm = true
	clear(w.cut)
	w.loss = 0
	for _, c := range w.slots {
		c.disk.full, c.disk.crashAt = 0, 0
		c.start()
	}
	for _, m := range w.members {
		m.full = 0
		m.startAgent()
	}
}
