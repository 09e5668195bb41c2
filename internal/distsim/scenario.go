package distsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"wickarch/distribution"
)

// plans is how many there are with ceilings.
const plans = 3

// Within is the time in which a version is in force at all who can be reached.
const Within = 4 * time.Second

// Scenario is one run, drawn by its seed.
type Scenario struct {
	Seed         uint64
	Followers    int
	Timing       distribution.Timing
	InjectFaults bool
	FaultKinds   []string // the kinds of fault to draw from
	Changes      int      // by each of two operators, about
	End          time.Duration
}

// Troubles are the kinds of fault, by name.
var Troubles = []string{"loss", "regions apart", "coordinator cut off", "one way", "leader cut off from coordinators", "leader pauses", "coordinator pauses",
	"leader dies", "coordinators die", "followers pause", "followers die", "zone lost", "disks full", "replies mixed up"}

// Draw makes the scenario of a seed.
func Draw(seed uint64, followers int) Scenario {
	rng := rand.New(rand.NewPCG(seed, 5))
	s := Scenario{Seed: seed, Followers: followers, Timing: distribution.DefaultTiming(), InjectFaults: true, FaultKinds: Troubles, Changes: 4 + rng.IntN(12), End: 75 * time.Second}
	if rng.IntN(3) > 0 { // few kinds, and many of each (swarm testing)
		s.FaultKinds = nil
		for range 1 + rng.IntN(4) {
			s.FaultKinds = append(s.FaultKinds, Troubles[rng.IntN(len(Troubles))])
		}
	}
	return s
}

func planKey(i int) distribution.Key {
	return distribution.KeyOf(distribution.KindPlan, fmt.Sprint("p", i))
}

func (w *World) encode(k distribution.Key, v any) distribution.Resource {
	data, err := distribution.Encode(v)
	w.must(err)
	return distribution.Resource{Key: k, Data: data, Line: 1 + w.rng.IntN(100)}
}

func (w *World) ceiling(i int) distribution.Resource {
	c := float64(20 + 10*w.rng.IntN(60))
	return w.encode(planKey(i), distribution.Plan{Rate: 10, Burst: 20, Price: 1, CeilingRate: c, CeilingBurst: 2 * c})
}

// plan schedules faults and operators.
func (w *World) plan() {
	w.At(3*time.Second, func() {
		push := distribution.Push{}
		for i := range plans {
			push.Set = append(push.Set, w.ceiling(i))
		}
		w.push("op0", push)
	})
	for op := range 2 {
		for range w.Changes {
			w.At(w.between(5*time.Second, w.End-8*time.Second), func() { w.operate(fmt.Sprint("op", op)) })
		}
		// At once with the other.
		w.At(20*time.Second, func() { w.operate(fmt.Sprint("op", op)) })
		w.At(21*time.Second, func() { w.operate(fmt.Sprint("op", op)) })
	}
	if w.InjectFaults {
		for range 3 + w.rng.IntN(7) {
			w.At(w.between(4*time.Second, w.End-25*time.Second), w.trouble)
		}
	}
}

// operate is what an operator does: by what the log was when it was looked at.
func (w *World) operate(by string) {
	if w.log.Version == 0 {
		return
	}
	switch n := w.rng.IntN(10); {
	case n == 0 && w.log.Version > 2:
		w.order(distribution.Entry{By: by, Rollback: &distribution.Rollback{Base: w.log.Version, To: w.log.Version - 1}})
	case n == 1:
		w.push(by, distribution.Push{Set: []distribution.Resource{w.encode(bad, distribution.Service{Owner: by})}})
	case n == 2:
		svc := distribution.KeyOf(distribution.KindService, "s")
		w.push(by, distribution.Push{Set: []distribution.Resource{w.encode(svc, distribution.Service{AimMS: 1 + w.rng.IntN(500)})}})
	default:
		push := distribution.Push{Set: []distribution.Resource{w.ceiling(w.rng.IntN(plans))}}
		if _, there := w.log.Set()[bad]; there {
			push.Delete = []distribution.Key{bad}
		}
		w.push(by, push)
	}
}

func (w *World) push(by string, p distribution.Push) {
	p.Base = w.log.Version
	next := distribution.Set{}
	for k, r := range w.log.Set() {
		next[k] = r
	}
	for _, k := range p.Delete {
		delete(next, k)
	}
	for _, r := range p.Set {
		next[r.Key] = r
	}
	p.Hash = next.Sum()
	w.order(distribution.Entry{By: by, Push: &p})
}

// order sends an operator's request until it is decided, as the command does, and now and
// then once more.
func (w *World) order(e distribution.Entry) {
	e.Request = fmt.Sprint("q", w.Sequence())
	place := w.rng.IntN(len(w.coordinators))
	told := false
	var try func(n int)
	try = func(n int) {
		if told || n > 60 {
			return
		}
		c := w.coordinators[place]
		place = (place + 1) % len(w.coordinators)
		send := func() {
			c.do(func() {
				c.order(e, func(err error) {
					if told {
						return
					}
					told = true
					if _, conflict := err.(*distribution.Conflict); conflict {
						w.Report.Conflicts++
					}
					if err == nil && w.requests[e.Request] != 1 {
						w.Fault("%s was told that %s is done, and it made %d versions", e.By, e.Request, w.requests[e.Request])
					}
					if err != nil && w.requests[e.Request] != 0 {
						w.Fault("%s was told of %s that it is not done (%v), and it is", e.By, e.Request, err)
					}
				})
			})
		}
		send()
		if w.rng.IntN(4) == 0 { // late, when it may have been answered
			w.After(w.between(0, 5*time.Second), send)
		}
		w.After(500*time.Millisecond, func() { try(n + 1) })
	}
	try(0)
}

// begins counts a fault as on until a time, and then has end undo it.
func (w *World) begins(until time.Duration, end func()) {
	w.active++
	for i := range w.pending {
		w.pending[i].disturbed = true
	}
	w.At(until, func() {
		end()
		w.active--
		w.quiet = w.Now()
		w.Note("%d faults are on", w.active)
	})
}

// trouble causes one fault, and plans its end.
func (w *World) trouble() {
	kind := w.FaultKinds[w.rng.IntN(len(w.FaultKinds))]
	w.Note("trouble: %s", kind)
	w.Report.InjectedFaults++
	c := w.coordinators[w.rng.IntN(len(w.coordinators))]
	if lead := w.leader(); lead != nil && (len(kind) > 6 && kind[:6] == "leader" || w.rng.IntN(3) == 0) {
		c = lead
	}
	until := w.between(w.Now()+200*time.Millisecond, w.Now()+12*time.Second)
	sever := func(cut func(from, to end) bool) {
		w.cuts++
		n := w.cuts
		w.cut[n] = cut
		w.begins(until, func() { delete(w.cut, n) })
	}
	some := func() (list []*follower) {
		share := 0.02 + 0.5*w.rng.Float64()
		for _, f := range w.followers {
			if w.rng.Float64() < share {
				list = append(list, f)
			}
		}
		return list
	}
	is := func(e end) bool { return e.id == int(c.id) }
	switch kind {
	case "loss":
		loss := 0.02 + 0.25*w.rng.Float64()
		w.loss += loss
		w.begins(until, func() {
			if w.loss -= loss; w.loss < 0.01 {
				w.loss = 0
			}
		})
	case "regions apart":
		sever(func(from, to end) bool { return from.region != to.region })
	case "coordinator cut off":
		sever(func(from, to end) bool { return is(from) || is(to) })
	case "one way":
		in := w.rng.IntN(2) == 0
		sever(func(from, to end) bool { return in && is(to) || !in && is(from) })
	case "leader cut off from coordinators": // and its followers go on asking it
		sever(func(from, to end) bool { return from.id < 1000 && to.id < 1000 && (is(from) || is(to)) })
	case "leader pauses", "coordinator pauses":
		c.pause(until - w.Now())
		w.begins(until, func() {})
	case "leader dies":
		c.kill()
		w.begins(until, c.start)
	case "coordinators die":
		for _, o := range w.coordinators {
			o.kill()
		}
		w.begins(until, func() {
			for _, o := range w.coordinators {
				o.start()
			}
		})
	case "followers pause":
		for _, f := range some() {
			f.until = until
		}
		w.begins(until, func() {})
	case "followers die", "zone lost":
		list := some()
		if kind == "zone lost" {
			zone := w.rng.IntN(5)
			list = slices.DeleteFunc(slices.Clone(w.followers), func(f *follower) bool { return f.zone != zone })
		}
		how := w.rng.IntN(6)
		for _, f := range list {
			f.kill()
			switch how {
			case 0:
				f.disk, f.lost = nil, true
			case 1:
				f.disk, f.lost = f.older, true
			case 2:
				f.turn()
			}
			// At once again, or cold within a second before the fault counts as over.
			w.At(w.between(max(w.Now(), until-time.Second), until), f.start)
		}
		w.begins(until, func() {})
	case "disks full":
		for _, f := range some() {
			f.full = until
		}
		w.begins(until, func() {})
	case "replies mixed up":
		w.mixed = 0.02 + 0.2*w.rng.Float64()
		w.begins(until, func() { w.mixed = 0 })
	}
}
