package distsim

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"wickarch/distribution"
)

var errFull = errors.New("no space left on the disk")

// disk is a follower's: what it kept, whole.
type disk struct {
	version, settled uint64
	hash             distribution.Hash
	before           []distribution.PreviousResource
	set              distribution.Set
}

func (d *disk) kept() *distribution.StoredConfig {
	if d == nil {
		return nil
	}
	return &distribution.StoredConfig{State: distribution.State{Version: d.version, Hash: d.hash, Resources: d.set.List()}, Settled: d.settled, PreviousPlans: d.before}
}

// follower is one ingress.
type follower struct {
	w            *World
	id           int
	name         string
	region, zone int
	rate         float64
	f            *distribution.Follower // nil while down
	disk, older  *disk
	lost         bool // the disk may be behind what was in force
	full         time.Duration
	life         int
	until        time.Duration // paused until then
	wakes        uint64
	refuses      bool // the version that is marked so
	last         distribution.Reply

	used     uint64 // version in force in the newest life
	settled  uint64
	ceilings [plans]float64
	heard    time.Duration // by who led
	mark     uint64        // apart from the others until it has this version
}

func (f *follower) end() end           { return end{f.region, 1000 + f.id} }
func (f *follower) now() time.Duration { return time.Duration(float64(f.w.Now()) * f.rate) }

func (f *follower) start() {
	if f.f != nil {
		return
	}
	f.life++
	f.until = 0
	before := f.used
	var err error
	f.f, err = distribution.NewFollower(distribution.FollowerConfig{Name: f.name, Region: fmt.Sprint("r", f.region), Incarnation: uint64(f.life), Coordinators: 3,
		PollTimeout: distribution.DefaultPollTimeout, Check: f.check}, f.disk.kept(), f.w.Seed*7919+uint64(f.id), f.now())
	if err != nil {
		f.disk = nil
	}
	u := f.f.Active()
	if u.Version < before {
		if !f.lost {
			f.w.Fault("%s starts by version %d, and decided by %d", f.name, u.Version, before)
		}
		f.mark = f.w.log.Version
	}
	f.lost = false
	f.used, f.settled = u.Version, u.Settled
	f.holds(u)
	f.w.ceilings()
	f.wake()
}

func (f *follower) kill() {
	f.f = nil
	f.life++
	f.wakes++
}

// bad names the resource that some can't use.
var bad = distribution.KeyOf(distribution.KindService, "bad")

func (f *follower) check(changed []distribution.Resource) error {
	for _, r := range changed {
		if r.Key == bad && f.refuses {
			return &distribution.Refused{Key: bad, Why: "can't be used here"}
		}
	}
	return nil
}

// wake lets it do what is due, when it is.
func (f *follower) wake() {
	if f.f == nil {
		return
	}
	due, any := f.f.Next()
	if !any {
		return
	}
	f.wakes++ // what was planned before counts no more
	n := f.wakes
	f.w.At(max(f.w.Now(), f.until, time.Duration(float64(due)/f.rate)+time.Microsecond), func() {
		if f.wakes != n || f.f == nil {
			return
		}
		if f.w.Now() >= f.until {
			if a := f.f.Tick(f.now()); a != nil {
				c, q := f.w.coordinators[a.Coordinator], a.Poll
				f.w.Report.Polls++
				f.w.carry(f.end(), end{c.region, int(c.id)}, func() { c.do(func() { c.poll(f, q) }) })
			}
		}
		f.wake()
	})
}

// told is called with what comes to one life.
func (f *follower) told(life int, do func()) {
	if f.life != life || f.f == nil {
		return
	}
	if f.w.Now() < f.until {
		f.w.At(f.until, func() { f.told(life, do) })
		return
	}
	do()
	f.wake()
}

func (f *follower) reply(life int, number uint64, r distribution.Reply) {
	f.told(life, func() {
		// What a broken proxy does: an earlier reply in place of this one, or one that is garbled.
		if f.w.mixed > 0 && f.w.rng.Float64() < f.w.mixed {
			if f.w.rng.IntN(2) == 0 {
				r, f.last = f.last, r
			} else {
				r = f.w.garble(r)
			}
		} else if r.State != nil || r.Difference != nil {
			f.last = r
		}
		save, err := f.f.Replied(f.now(), number, r)
		if err != nil {
			f.w.Report.RejectedReplies++
			f.w.Note("%s does not take a reply: %v", f.name, err)
		}
		if save == nil {
			return
		}
		f.w.After(time.Duration((1+f.w.rng.ExpFloat64()*5)*float64(time.Millisecond)), func() {
			f.told(life, func() {
				var err error
				if f.w.Now() < f.full {
					err, f.lost = errFull, true
				} else {
					f.keep(save)
				}
				u := f.f.Saved(f.now(), err)
				f.w.After(time.Duration(f.w.rng.Int64N(int64(3*time.Millisecond))), func() {
					f.told(life, func() {
						f.use(u, save.Full)
						f.f.Activated(f.now())
					})
				})
			})
		})
	})
}

func (f *follower) keep(s *distribution.StoreUpdate) {
	set := distribution.Set{}
	if !s.Full && f.disk != nil {
		set = maps.Clone(f.disk.set)
	}
	for _, k := range s.Delete {
		delete(set, k)
	}
	for _, r := range s.Set {
		set[r.Key] = r
	}
	f.disk = &disk{s.Version, s.Settled, s.Hash, s.PreviousPlans, set}
	if s.Version >= f.used {
		f.lost = false
	}
	if f.older == nil || f.w.rng.IntN(4) == 0 {
		f.older = f.disk
	}
}

// turn turns one bit of what is on the disk.
func (f *follower) turn() {
	if f.disk == nil || len(f.disk.set) == 0 {
		return
	}
	f.lost = true
	d := *f.disk
	d.set = maps.Clone(d.set)
	keys := slices.Sorted(maps.Keys(d.set))
	k := keys[f.w.rng.IntN(len(keys))]
	d.set[k] = f.w.turned(d.set[k])
	f.disk = &d
}

// use puts a version in force, and checks it.
func (f *follower) use(u *distribution.ActiveConfig, whole bool) {
	w := f.w
	switch {
	case u.Version < f.used:
		w.Fault("%s goes from version %d back to %d", f.name, f.used, u.Version)
	case u.Version == f.used && u.Settled <= f.settled && !whole:
		w.Fault("%s applies version %d twice", f.name, u.Version)
	}
	if u.Settled < f.settled {
		w.Fault("%s goes from settled %d back to %d", f.name, f.settled, u.Settled)
	}
	f.used, f.settled = u.Version, u.Settled
	f.holds(u)
	w.Report.Applied++
	w.reached()
	w.ceilings()
}

// holds checks what is in force by itself, and notes its ceilings.
func (f *follower) holds(u *distribution.ActiveConfig) {
	w := f.w
	if u.Version > w.log.Version {
		w.Fault("%s has version %d, and the log %d", f.name, u.Version, w.log.Version)
		return
	}
	if sum := u.Set.Sum(); sum != w.versions[u.Version].hash {
		w.Fault("%s has what is not version %d", f.name, u.Version)
	}
	if u.Settled > w.mostSettled {
		w.Fault("%s has version %d as settled, and the log %d", f.name, u.Settled, w.mostSettled)
		return
	}
	if f.refuses && w.versions[u.Version].bad {
		w.Fault("%s decides by version %d, and can't", f.name, u.Version)
	}
	f.ceilings = [plans]float64{}
	if u.Version == 0 {
		return
	}
	for i := range plans {
		p, err := u.Plan(planKey(i))
		if err != nil {
			w.Fault("%s: %v", f.name, err)
			continue
		}
		f.ceilings[i] = p.CeilingRate
		if s := w.versions[u.Settled].ceilings[i]; u.Settled > 0 && p.CeilingRate > s {
			w.Fault("%s: the ceiling of plan %d is raised from %v to %v with version %d, and %d has settled", f.name, i, s, p.CeilingRate, u.Version, u.Settled)
		}
	}
}

// lease is by the truth how long somebody who was heard counts, less what clocks differ by.
const lease = 3950 * time.Millisecond

// heardBy notes that who leads has heard it.
func (f *follower) heardBy() {
	if f.w.Now()-f.heard > lease {
		f.mark = f.w.log.Version
	}
	f.heard = f.w.Now()
}

// apart tells whether it is not counted: its lease ran out, or it began again by an older
// disk, and it is not where the others are since.
func (f *follower) apart() bool {
	return f.f == nil || f.used == 0 || f.w.Now()-f.heard > lease || f.used < f.mark
}
