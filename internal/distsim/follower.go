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

// disk is a follower's stored configuration, complete.
type disk struct {
	version, settled uint64
	hash             distribution.Hash
	previousPlans    []distribution.PreviousResource
	set              distribution.Set
}

func (d *disk) stored() *distribution.StoredConfig {
	if d == nil {
		return nil
	}
	return &distribution.StoredConfig{State: distribution.State{Version: d.version, Hash: d.hash, Resources: d.set.List()}, Settled: d.settled, PreviousPlans: d.previousPlans}
}

// follower is one ingress.
type follower struct {
	w               *World
	id              int
	name            string
	region, zone    int
	rate            float64
	protocol        *distribution.Follower // nil while down
	disk, oldDisk   *disk
	diskMayBeStale  bool // the disk may hold an older version than was in force, or none
	diskFullUntil   time.Duration
	incarnation     int
	pausedUntil     time.Duration
	wakeSequence    uint64
	refusesUnusable bool // it cannot use a version that contains unusableKey
	last            distribution.Reply

	activeVersion     uint64 // version in force in the newest incarnation
	settledVersion    uint64
	ceilings          [plans]float64
	lastLeaderContact time.Duration // last poll that reached the actual leader
	catchUpVersion    uint64        // not counted in the ceilings until it has this version
}

func (f *follower) end() endpoint      { return endpoint{f.region, 1000 + f.id} }
func (f *follower) now() time.Duration { return time.Duration(float64(f.w.Now()) * f.rate) }

func (f *follower) start() {
	if f.protocol != nil {
		return
	}
	f.incarnation++
	f.pausedUntil = 0
	before := f.activeVersion
	var err error
	f.protocol, err = distribution.NewFollower(distribution.FollowerConfig{Name: f.name, Region: fmt.Sprint("r", f.region), Incarnation: uint64(f.incarnation), Coordinators: 3,
		PollTimeout: distribution.DefaultPollTimeout, Check: f.check}, f.disk.stored(), f.w.Seed*7919+uint64(f.id), f.now())
	if err != nil {
		f.disk = nil
	}
	u := f.protocol.Active()
	if u.Version < before {
		if !f.diskMayBeStale {
			f.w.Fault("%s starts with version %d after it had activated %d", f.name, u.Version, before)
		}
		f.catchUpVersion = f.w.log.Version
	}
	f.diskMayBeStale = false
	f.activeVersion, f.settledVersion = u.Version, u.Settled
	f.checkActive(u)
	f.w.checkCeilings()
	f.wake()
}

func (f *follower) kill() {
	f.protocol = nil
	f.incarnation++
	f.wakeSequence++
}

// unusableKey is the key of a resource that some followers can't use.
var unusableKey = distribution.KeyOf(distribution.KindService, "bad")

func (f *follower) check(changed []distribution.Resource) error {
	for _, r := range changed {
		if r.Key == unusableKey && f.refusesUnusable {
			return &distribution.Refused{Key: unusableKey, Why: "can't be used here"}
		}
	}
	return nil
}

// wake schedules the follower's next tick.
func (f *follower) wake() {
	if f.protocol == nil {
		return
	}
	due, any := f.protocol.Next()
	if !any {
		return
	}
	f.wakeSequence++ // invalidates the wake-up scheduled before
	n := f.wakeSequence
	f.w.At(max(f.w.Now(), f.pausedUntil, time.Duration(float64(due)/f.rate)+time.Microsecond), func() {
		if f.wakeSequence != n || f.protocol == nil {
			return
		}
		if f.w.Now() >= f.pausedUntil {
			if a := f.protocol.Tick(f.now()); a != nil {
				c, q := f.w.coordinators[a.Coordinator], a.Poll
				f.w.Report.Polls++
				f.w.transmit(f.end(), endpoint{c.region, int(c.id)}, func() { c.do(func() { c.poll(f, q) }) })
			}
		}
		f.wake()
	})
}

// deliver passes an event to one incarnation of the follower, after its pause if it is paused.
func (f *follower) deliver(incarnation int, do func()) {
	if f.incarnation != incarnation || f.protocol == nil {
		return
	}
	if f.w.Now() < f.pausedUntil {
		f.w.At(f.pausedUntil, func() { f.deliver(incarnation, do) })
		return
	}
	do()
	f.wake()
}

func (f *follower) reply(incarnation int, number uint64, r distribution.Reply) {
	f.deliver(incarnation, func() {
		// Models a broken proxy: an earlier reply in place of this one, or a corrupted one.
		if f.w.corruptShare > 0 && f.w.rng.Float64() < f.w.corruptShare {
			if f.w.rng.IntN(2) == 0 {
				r, f.last = f.last, r
			} else {
				r = f.w.corrupt(r)
			}
		} else if r.State != nil || r.Difference != nil {
			f.last = r
		}
		save, err := f.protocol.Replied(f.now(), number, r)
		if err != nil {
			f.w.Report.RejectedReplies++
			f.w.Note("%s rejects a reply: %v", f.name, err)
		}
		if save == nil {
			return
		}
		f.w.After(time.Duration((1+f.w.rng.ExpFloat64()*5)*float64(time.Millisecond)), func() {
			f.deliver(incarnation, func() {
				var err error
				if f.w.Now() < f.diskFullUntil {
					err, f.diskMayBeStale = errFull, true
				} else {
					f.store(save)
				}
				u := f.protocol.Saved(f.now(), err)
				f.w.After(time.Duration(f.w.rng.Int64N(int64(3*time.Millisecond))), func() {
					f.deliver(incarnation, func() {
						f.activate(u, save.Full)
						f.protocol.Activated(f.now())
					})
				})
			})
		})
	})
}

func (f *follower) store(s *distribution.StoreUpdate) {
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
	if s.Version >= f.activeVersion {
		f.diskMayBeStale = false
	}
	if f.oldDisk == nil || f.w.rng.IntN(4) == 0 {
		f.oldDisk = f.disk
	}
}

// flipStoredBit flips one bit of a stored resource.
func (f *follower) flipStoredBit() {
	if f.disk == nil || len(f.disk.set) == 0 {
		return
	}
	f.diskMayBeStale = true
	d := *f.disk
	d.set = maps.Clone(d.set)
	keys := slices.Sorted(maps.Keys(d.set))
	k := keys[f.w.rng.IntN(len(keys))]
	d.set[k] = f.w.flipBit(d.set[k])
	f.disk = &d
}

// activate puts a version in force and checks the transition.
func (f *follower) activate(u *distribution.ActiveConfig, full bool) {
	w := f.w
	switch {
	case u.Version < f.activeVersion:
		w.Fault("%s goes from version %d back to %d", f.name, f.activeVersion, u.Version)
	case u.Version == f.activeVersion && u.Settled <= f.settledVersion && !full:
		w.Fault("%s activates version %d twice", f.name, u.Version)
	}
	if u.Settled < f.settledVersion {
		w.Fault("%s goes from settled %d back to %d", f.name, f.settledVersion, u.Settled)
	}
	f.activeVersion, f.settledVersion = u.Version, u.Settled
	f.checkActive(u)
	w.Report.Applied++
	w.checkPropagation()
	w.checkCeilings()
}

// checkActive checks the active configuration against the log and records its ceilings.
func (f *follower) checkActive(u *distribution.ActiveConfig) {
	w := f.w
	if u.Version > w.log.Version {
		w.Fault("%s has version %d but the log only has %d", f.name, u.Version, w.log.Version)
		return
	}
	if sum := u.Set.Sum(); sum != w.versions[u.Version].hash {
		w.Fault("%s has content that differs from version %d", f.name, u.Version)
	}
	if u.Settled > w.maxSettled {
		w.Fault("%s has version %d as settled but the log only has %d", f.name, u.Settled, w.maxSettled)
		return
	}
	if f.refusesUnusable && w.versions[u.Version].unusable {
		w.Fault("%s activated version %d, which it cannot use", f.name, u.Version)
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
			w.Fault("%s: the ceiling of plan %d is raised from %v to %v with version %d while only %d has settled",
				f.name, i, s, p.CeilingRate, u.Version, u.Settled)
		}
	}
}

// lease is how long a follower's contact is valid at least: the publisher's lease less the clocks' deviation.
const lease = 3950 * time.Millisecond

// recordLeaderContact records that a poll has reached the actual leader.
func (f *follower) recordLeaderContact() {
	if f.w.Now()-f.lastLeaderContact > lease {
		f.catchUpVersion = f.w.log.Version
	}
	f.lastLeaderContact = f.w.Now()
}

// uncounted reports whether the follower is not counted in the ceilings: it is down, has no version, its lease has
// expired, or it has not caught up since an expired lease or a restart from an older disk.
func (f *follower) uncounted() bool {
	return f.protocol == nil || f.activeVersion == 0 || f.w.Now()-f.lastLeaderContact > lease || f.activeVersion < f.catchUpVersion
}
