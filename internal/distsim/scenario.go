package distsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"wickarch/distribution"
)

// plans is the number of plans with ceilings.
const plans = 3

// PropagationTimeout is the time within which a version must be in force at all reachable followers.
const PropagationTimeout = 4 * time.Second

// Scenario describes one run, drawn from its seed.
type Scenario struct {
	Seed         uint64
	Followers    int
	Timing       distribution.Timing
	InjectFaults bool
	FaultKinds   []string // the kinds of fault to draw from
	Changes      int      // approximate number by each of two operators
	End          time.Duration
}

// AllFaultKinds lists the kinds of fault by name.
var AllFaultKinds = []string{"loss", "regions apart", "coordinator cut off", "one way", "leader cut off from coordinators", "leader pauses", "coordinator pauses",
	"leader dies", "coordinators die", "followers pause", "followers die", "zone lost", "disks full", "replies mixed up"}

// Draw returns the scenario of a seed.
func Draw(seed uint64, followers int) Scenario {
	rng := rand.New(rand.NewPCG(seed, 5))
	s := Scenario{Seed: seed, Followers: followers, Timing: distribution.DefaultTiming(), InjectFaults: true, FaultKinds: AllFaultKinds, Changes: 4 + rng.IntN(12), End: 75 * time.Second}
	if rng.IntN(3) > 0 { // few kinds of fault and many of each (swarm testing)
		s.FaultKinds = nil
		for range 1 + rng.IntN(4) {
			s.FaultKinds = append(s.FaultKinds, AllFaultKinds[rng.IntN(len(AllFaultKinds))])
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

// plan schedules the faults and the operators' actions.
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
			w.At(w.between(5*time.Second, w.End-8*time.Second), func() { w.operatorAction(fmt.Sprint("op", op)) })
		}
		// Both operators at the same time.
		w.At(20*time.Second, func() { w.operatorAction(fmt.Sprint("op", op)) })
		w.At(21*time.Second, func() { w.operatorAction(fmt.Sprint("op", op)) })
	}
	if w.InjectFaults {
		for range 3 + w.rng.IntN(7) {
			w.At(w.between(4*time.Second, w.End-25*time.Second), w.injectFault)
		}
	}
}

// operatorAction performs one random action of an operator, based on the current state of the log.
func (w *World) operatorAction(by string) {
	if w.log.Version == 0 {
		return
	}
	switch n := w.rng.IntN(10); {
	case n == 0 && w.log.Version > 2:
		w.order(distribution.Entry{By: by, Rollback: &distribution.Rollback{Base: w.log.Version, To: w.log.Version - 1}})
	case n == 1:
		w.push(by, distribution.Push{Set: []distribution.Resource{w.encode(unusableKey, distribution.Service{Owner: by})}})
	case n == 2:
		svc := distribution.KeyOf(distribution.KindService, "s")
		w.push(by, distribution.Push{Set: []distribution.Resource{w.encode(svc, distribution.Service{AimMS: 1 + w.rng.IntN(500)})}})
	default:
		push := distribution.Push{Set: []distribution.Resource{w.ceiling(w.rng.IntN(plans))}}
		if _, there := w.log.Set()[unusableKey]; there {
			push.Delete = []distribution.Key{unusableKey}
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

// order retries an operator's request until it is decided, as the command-line tool does, and
// sometimes sends a duplicate.
func (w *World) order(e distribution.Entry) {
	e.Request = fmt.Sprint("q", w.Sequence())
	place := w.rng.IntN(len(w.coordinators))
	notified := false
	var try func(n int)
	try = func(n int) {
		if notified || n > 60 {
			return
		}
		c := w.coordinators[place]
		place = (place + 1) % len(w.coordinators)
		send := func() {
			c.do(func() {
				c.order(e, func(err error) {
					if notified {
						return
					}
					notified = true
					if _, conflict := err.(*distribution.Conflict); conflict {
						w.Report.Conflicts++
					}
					if err == nil && w.requests[e.Request] != 1 {
						w.Fault("%s got a success for request %s, which made %d versions instead of 1", e.By, e.Request, w.requests[e.Request])
					}
					if err != nil && w.requests[e.Request] != 0 {
						w.Fault("%s got an error for request %s (%v), which was applied", e.By, e.Request, err)
					}
				})
			})
		}
		send()
		if w.rng.IntN(4) == 0 { // a late duplicate, possibly after the reply
			w.After(w.between(0, 5*time.Second), send)
		}
		w.After(500*time.Millisecond, func() { try(n + 1) })
	}
	try(0)
}

// beginFault counts a fault as active until the given time and then calls end to undo it.
func (w *World) beginFault(until time.Duration, end func()) {
	w.activeFaults++
	for i := range w.pending {
		w.pending[i].disturbed = true
	}
	w.At(until, func() {
		end()
		w.activeFaults--
		w.lastFaultEnd = w.Now()
		w.Note("%d faults are active", w.activeFaults)
	})
}

// injectFault injects one fault and schedules its end.
func (w *World) injectFault() {
	kind := w.FaultKinds[w.rng.IntN(len(w.FaultKinds))]
	w.Note("fault injected: %s", kind)
	w.Report.InjectedFaults++
	c := w.coordinators[w.rng.IntN(len(w.coordinators))]
	if lead := w.leader(); lead != nil && (len(kind) > 6 && kind[:6] == "leader" || w.rng.IntN(3) == 0) {
		c = lead
	}
	until := w.between(w.Now()+200*time.Millisecond, w.Now()+12*time.Second)
	sever := func(cut func(from, to endpoint) bool) {
		w.cutSequence++
		n := w.cutSequence
		w.cut[n] = cut
		w.beginFault(until, func() { delete(w.cut, n) })
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
	is := func(e endpoint) bool { return e.id == int(c.id) }
	switch kind {
	case "loss":
		loss := 0.02 + 0.25*w.rng.Float64()
		w.lossRate += loss
		w.beginFault(until, func() {
			if w.lossRate -= loss; w.lossRate < 0.01 {
				w.lossRate = 0
			}
		})
	case "regions apart":
		sever(func(from, to endpoint) bool { return from.region != to.region })
	case "coordinator cut off":
		sever(func(from, to endpoint) bool { return is(from) || is(to) })
	case "one way":
		in := w.rng.IntN(2) == 0
		sever(func(from, to endpoint) bool { return in && is(to) || !in && is(from) })
	case "leader cut off from coordinators": // its followers still reach it
		sever(func(from, to endpoint) bool { return from.id < 1000 && to.id < 1000 && (is(from) || is(to)) })
	case "leader pauses", "coordinator pauses":
		c.pause(until - w.Now())
		w.beginFault(until, func() {})
	case "leader dies":
		c.kill()
		w.beginFault(until, c.start)
	case "coordinators die":
		for _, o := range w.coordinators {
			o.kill()
		}
		w.beginFault(until, func() {
			for _, o := range w.coordinators {
				o.start()
			}
		})
	case "followers pause":
		for _, f := range some() {
			f.pausedUntil = until
		}
		w.beginFault(until, func() {})
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
				f.disk, f.diskMayBeStale = nil, true
			case 1:
				f.disk, f.diskMayBeStale = f.oldDisk, true
			case 2:
				f.flipStoredBit()
			}
			// A short fault restarts them at once; otherwise they restart cold within its last second.
			w.At(w.between(max(w.Now(), until-time.Second), until), f.start)
		}
		w.beginFault(until, func() {})
	case "disks full":
		for _, f := range some() {
			f.diskFullUntil = until
		}
		w.beginFault(until, func() {})
	case "replies mixed up":
		w.corruptShare = 0.02 + 0.2*w.rng.Float64()
		w.beginFault(until, func() { w.corruptShare = 0 })
	}
}
