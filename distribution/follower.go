package distribution

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// FollowerConfig is what a follower goes by.
type FollowerConfig struct {
	Name         string
	Region       string
	Incarnation  uint64        // greater at each start, such as the system's time in nanoseconds
	Coordinators int           // how many there are to ask
	PollTimeout  time.Duration // with one question: more than the publisher holds it
	// Check tells why resources that are new or have changed can't be used here, as a *Refused
	// where it is for one of them. It has no effects. Each is sound by itself by then, and the
	// whole is what the log has, which was checked there.
	Check func(changed []Resource) error
}

// The waits of a follower.
const (
	minPollInterval    = 50 * time.Millisecond  // between the beginnings of two questions at least
	minRetryDelay      = 100 * time.Millisecond // after a failure
	maxRetryDelay      = 800 * time.Millisecond
	maxRetryAfter      = time.Second     // for a whole state, before it is asked for again: the lease has to stay on
	storeRetryInterval = 2 * time.Second // between two tries to keep what could not be kept
)

// DefaultPatience goes with the Hold of [DefaultTiming].
const DefaultPollTimeout = 1800 * time.Millisecond

// Kept is what a follower keeps on its disk, all or nothing.
type StoredConfig struct {
	State
	Settled       uint64             `json:"settled"`
	PreviousPlans []PreviousResource `json:"before,omitempty"`
}

// Save is what is to be kept in place of what was before, whole or not at all.
type StoreUpdate struct {
	Version       uint64
	Hash          Hash
	Settled       uint64
	PreviousPlans []PreviousResource
	Set           []Resource // that have changed
	Delete        []Key      // that are gone
	Full          bool       // nothing of before stays; Set is all
}

// InUse is what an ingress decides by.
type ActiveConfig struct {
	Version       uint64
	Hash          Hash
	Set           Set            // not to be changed
	PreviousPlans map[Key][]byte // data of plans that some ingress may still decide by
	Settled       uint64
}

// Plan is a plan as it holds now: its ceiling is the lower one of its own and of the one that
// others may still decide by, so that all together keep within the higher of both from the
// first moment on, and within the new one from when all have it.
func (u *ActiveConfig) Plan(k Key) (Plan, error) {
	p, err := u.Set[k].Plan()
	if err != nil {
		return p, err
	}
	if data, there := u.PreviousPlans[k]; there {
		old, err := (Resource{Key: k, Data: data}).Plan()
		if err != nil {
			return p, err
		}
		if old.CeilingRate > 0 {
			if p.CeilingRate <= 0 {
				p.CeilingRate, p.CeilingBurst, p.CeilingTolerance = old.CeilingRate, old.CeilingBurst, old.CeilingTolerance
			} else {
				p.CeilingRate = min(p.CeilingRate, old.CeilingRate)
				p.CeilingBurst = min(p.CeilingBurst, old.CeilingBurst)
				p.CeilingTolerance = min(p.CeilingTolerance, old.CeilingTolerance)
			}
		}
	}
	return p, nil
}

// Ask is a question to one of the coordinators.
type PollRequest struct {
	Coordinator int
	Poll        Poll
}

// Follower is the end of distribution in one ingress. A question is out, or it waits for the
// next, or what came is being kept (Save, then Saved) and put in force (InUse, then Using):
// one thing after the other. What is kept comes before what is in force, so that a process
// that is killed at any moment begins again with no older version than it decided by.
type Follower struct {
	cfg           FollowerConfig
	rng           *rand.Rand
	now           time.Duration
	active        ActiveConfig // in force
	pending       *ActiveConfig
	needFullState bool // ours can't be built on
	poll          Poll // the last one

	inFlight     bool // poll is out
	deadline     time.Duration
	coordinator  int           // coordinator that is asked
	failures     int           // in a row
	nextPoll     time.Duration // of the next question
	lastReply    time.Duration // the last reply
	storageError string        // why the last version could not be kept
	storeTriedAt time.Duration // when that was tried last
	refused      *Halted
}

// NewFollower starts a follower by what it kept; nil for nothing. The error tells that it
// can't be used: the follower works all the same, from version 0.
func NewFollower(cfg FollowerConfig, kept *StoredConfig, seed uint64, now time.Duration) (*Follower, error) {
	f := &Follower{cfg: cfg, rng: rand.New(rand.NewPCG(seed, cfg.Incarnation)), now: now, lastReply: now, nextPoll: now}
	f.active = ActiveConfig{Set: Set{}, Hash: Set{}.Sum()}
	f.coordinator = f.rng.IntN(max(1, cfg.Coordinators))
	if kept == nil || kept.Version == 0 {
		return f, nil
	}
	set := Set{}.with(kept.Resources, nil)
	if sum := set.Sum(); sum != kept.Hash {
		return f, &StateDamaged{(&WrongHash{kept.Version, sum, kept.Hash}).Error()}
	}
	if err := f.check(kept.Resources); err != nil {
		return f, &StateDamaged{err.Error()}
	}
	f.active = newActiveConfig(kept.Version, kept.Hash, set, kept.Settled, kept.PreviousPlans)
	return f, nil
}

func newActiveConfig(version uint64, hash Hash, set Set, settled uint64, before []PreviousResource) ActiveConfig {
	u := ActiveConfig{Version: version, Hash: hash, Set: set, Settled: settled, PreviousPlans: map[Key][]byte{}}
	for _, o := range before {
		u.PreviousPlans[o.Key] = o.Data
	}
	return u
}

// before is Before as it is kept, in the order of the keys.
func (u *ActiveConfig) previousPlans() (list []PreviousResource) {
	for _, k := range slices.Sorted(maps.Keys(u.PreviousPlans)) {
		list = append(list, PreviousResource{Key: k, Data: u.PreviousPlans[k]})
	}
	return list
}

func (f *Follower) check(changed []Resource) error {
	for _, r := range changed {
		if why := r.check(); why != "" {
			return &Refused{Key: r.Key, Line: r.Line, Why: why}
		}
	}
	if f.cfg.Check != nil {
		return f.cfg.Check(changed)
	}
	return nil
}

// InUse is what is in force here.
func (f *Follower) Active() *ActiveConfig { return &f.active }

// Heard tells when a coordinator answered last.
func (f *Follower) LastReply() time.Duration { return f.lastReply }

// Refused tells the last version that could not be used, if none was in force since; or nil.
func (f *Follower) Refused() *Halted { return f.refused }

// Next tells when Tick has something to do; false while a reply is being kept or put in force.
func (f *Follower) Next() (at time.Duration, any bool) {
	switch {
	case f.inFlight:
		return f.deadline, true
	case f.pending != nil:
		return 0, false
	}
	return f.nextPoll, true
}

// Tick takes the time. It returns the question to ask, if one is due. One that is out longer
// than the patience with it is given up: what comes of it later counts no more.
func (f *Follower) Tick(now time.Duration) *PollRequest {
	f.now = max(f.now, now)
	if f.inFlight && f.now >= f.deadline {
		f.Failed(now, f.poll.Number, -1)
	}
	if f.inFlight || f.pending != nil || f.now < f.nextPoll {
		return nil
	}
	f.poll = Poll{Follower: f.cfg.Name, Region: f.cfg.Region, Incarnation: f.cfg.Incarnation, Number: f.poll.Number + 1, Version: f.active.Version, Hash: f.active.Hash,
		Settled: f.active.Settled, NeedFullState: f.needFullState, Refused: f.refused, StorageError: f.storageError}
	f.inFlight, f.deadline = true, f.now+f.cfg.PollTimeout
	f.nextPoll = f.now + minPollInterval
	return &PollRequest{f.coordinator, f.poll}
}

// Failed tells that a question has no answer. leader is the place of the coordinator to ask
// instead, where the one that was asked knows it, and else below 0.
func (f *Follower) Failed(now time.Duration, number uint64, leader int) {
	f.now = max(f.now, now)
	if !f.inFlight || number != f.poll.Number {
		return
	}
	f.inFlight = false
	wait := min(maxRetryDelay, minRetryDelay<<min(f.failures, 10))
	if leader >= 0 && leader < f.cfg.Coordinators && leader != f.coordinator {
		f.coordinator, wait = leader, minRetryDelay
	} else {
		f.coordinator = (f.coordinator + 1) % max(1, f.cfg.Coordinators)
	}
	f.failures++
	f.nextPoll = max(f.nextPoll, f.now+wait/2+time.Duration(f.rng.Int64N(int64(wait/2)+1)))
}

// Replied takes a reply. What it returns is to be kept, and then told by Saved; nil where there
// is nothing to keep. The error tells why the reply was not taken.
func (f *Follower) Replied(now time.Duration, number uint64, r Reply) (*StoreUpdate, error) {
	f.now = max(f.now, now)
	if !f.inFlight || number != f.poll.Number {
		return nil, nil // given up, or told twice
	}
	f.inFlight, f.failures, f.lastReply = false, 0, f.now
	if r.RetryAfter > 0 {
		f.nextPoll = max(f.nextPoll, f.now+min(r.RetryAfter, maxRetryAfter))
		return nil, nil
	}
	save, next, err := f.apply(r)
	if err == nil && next == nil && f.storageError != "" && f.now-f.storeTriedAt >= storeRetryInterval {
		same := f.active
		save, next = &StoreUpdate{Version: same.Version, Hash: same.Hash, Settled: same.Settled, PreviousPlans: same.previousPlans()}, &same
	}
	if err != nil || next == nil {
		if _, refused := err.(*Halted); err != nil && !refused {
			f.nextPoll = f.now + 2*minRetryDelay
		}
		return nil, err
	}
	if f.storageError != "" { // what is on the disk is older than what differences begin from
		save.Full, save.Set, save.Delete = true, next.Set.List(), nil
	}
	f.pending = next
	return save, nil
}

// take works out what a reply makes of what is in force.
func (f *Follower) apply(r Reply) (*StoreUpdate, *ActiveConfig, error) {
	var next ActiveConfig
	save := &StoreUpdate{}
	switch {
	case r.State != nil:
		s := r.State
		if s.Version < f.active.Version || s.Version == f.active.Version && s.Hash == f.active.Hash && !f.needFullState {
			return nil, nil, nil // never back
		}
		set := Set{}.with(s.Resources, nil)
		if sum := set.Sum(); sum != s.Hash {
			return nil, nil, &WrongHash{s.Version, sum, s.Hash}
		}
		next = newActiveConfig(s.Version, s.Hash, set, r.Settled, r.PreviousPlans)
		save.Full, save.Set = true, s.Resources
	case r.Difference != nil:
		d := r.Difference
		if d.Base != f.active.Version || d.BaseHash != f.active.Hash || d.Version <= d.Base {
			return nil, nil, &WrongBase{d.Base, f.active.Version}
		}
		set := f.active.Set.with(d.Set, d.Delete)
		if sum := set.Sum(); sum != d.Hash {
			f.needFullState = true // what is here may be what is wrong
			return nil, nil, &WrongHash{d.Version, sum, d.Hash}
		}
		next = newActiveConfig(d.Version, d.Hash, set, r.Settled, r.PreviousPlans)
		save.Set, save.Delete = d.Set, d.Delete
	case r.Settled > f.active.Settled:
		next = newActiveConfig(f.active.Version, f.active.Hash, f.active.Set, r.Settled, r.PreviousPlans)
	default:
		return nil, nil, nil
	}
	if next.Settled < f.active.Settled {
		// From one that led before, or of a version that has been halted. What has settled here
		// stays so: ceilings go on from it.
		next.Settled = f.active.Settled
		next.PreviousPlans = maps.Clone(f.active.PreviousPlans)
		for k, r := range f.active.Set {
			if kind, _ := k.Split(); kind == KindPlan && string(next.Set[k].Data) != string(r.Data) && next.PreviousPlans[k] == nil {
				next.PreviousPlans[k] = r.Data
			}
		}
	}
	save.Version, save.Hash, save.Settled, save.PreviousPlans = next.Version, next.Hash, next.Settled, next.previousPlans()
	if r.State != nil || r.Difference != nil {
		if err := f.check(save.Set); err != nil {
			f.refused = f.halted(&next, err)
			return nil, nil, f.refused
		}
	}
	return save, &next, nil
}

// halted makes of the fault of a version the refusal that the publisher is sent.
func (f *Follower) halted(next *ActiveConfig, fault error) *Halted {
	refused, one := fault.(*Refused)
	if !one {
		refused = &Refused{Why: fault.Error()}
	}
	if refused.Line == 0 {
		refused.Line = next.Set[refused.Key].Line
	}
	return &Halted{Version: next.Version, Follower: f.cfg.Name, Refused: *refused}
}

// Saved tells that what Replied returned is kept, or why not: it is put in force all the same,
// and operators are told. What it returns is to be decided by from now on, and then told by
// Using.
func (f *Follower) Saved(now time.Duration, err error) *ActiveConfig {
	f.now = max(f.now, now)
	if f.storageError, f.storeTriedAt = "", f.now; err != nil {
		f.storageError = err.Error()
	}
	return f.pending
}

// Using tells that the ingress decides by what Saved returned.
func (f *Follower) Activated(now time.Duration) {
	f.now = max(f.now, now)
	if f.pending == nil {
		return
	}
	if f.pending.Version > f.active.Version {
		f.refused = nil
	}
	f.active, f.pending, f.needFullState = *f.pending, nil, false
}

// Unusable tells, in place of Using, that the ingress could not decide by what Saved returned,
// though it had been checked: it is refused as if the check had found it.
func (f *Follower) ActivationFailed(now time.Duration, why error) {
	f.now = max(f.now, now)
	if f.pending == nil {
		return
	}
	f.refused = &Halted{Version: f.pending.Version, Follower: f.cfg.Name, Refused: Refused{Why: why.Error()}}
	f.pending, f.storageError = nil, "it holds a version that can't be used"
}

// Describe tells in one line what is in force, for logs and status.
func (u *ActiveConfig) Describe() string {
	kinds := map[string]int{}
	for k := range u.Set {
		kind, _ := k.Split()
		kinds[kind]++
	}
	s := fmt.Sprintf("version %d (%.12s)", u.Version, u.Hash)
	for _, kind := range []string{KindPlan, KindLimit, KindService, KindRoute} {
		if kinds[kind] > 0 {
			s += fmt.Sprintf(", %d %ss", kinds[kind], kind)
		}
	}
	return s
}

// Keys are the keys of a kind, in order.
func (u *ActiveConfig) Keys(kind string) (keys []Key) {
	for k := range u.Set {
		if is, _ := k.Split(); is == kind {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}
