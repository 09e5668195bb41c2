package distribution

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// FollowerConfig configures a follower.
type FollowerConfig struct {
	Name         string
	Region       string
	Incarnation  uint64        // increases with each start, for example the system time in nanoseconds
	Coordinators int           // number of coordinators
	PollTimeout  time.Duration // of one poll: longer than the publisher holds it
	// Check reports why new or changed resources can't be used here, as a *Refused if one of them
	// is the cause. It has no side effects. Each resource is valid by itself by then, and the whole
	// set was checked by the log.
	Check func(changed []Resource) error
}

// Delays of a follower.
const (
	minPollInterval    = 50 * time.Millisecond  // between the starts of two polls
	minRetryDelay      = 100 * time.Millisecond // after a failure
	maxRetryDelay      = 800 * time.Millisecond
	maxRetryAfter      = time.Second     // cap on Reply.RetryAfter: the lease must not expire
	storeRetryInterval = 2 * time.Second // between attempts to store what could not be stored
)

// DefaultPollTimeout fits the Hold of [DefaultTiming].
const DefaultPollTimeout = 1800 * time.Millisecond

// StoredConfig is what a follower persists, atomically.
type StoredConfig struct {
	State
	Settled       uint64             `json:"settled"`
	PreviousPlans []PreviousResource `json:"before,omitempty"`
}

// StoreUpdate is a change to the stored configuration, to be applied atomically.
type StoreUpdate struct {
	Version       uint64
	Hash          Hash
	Settled       uint64
	PreviousPlans []PreviousResource
	Set           []Resource // new or changed
	Delete        []Key      // removed
	Full          bool       // Set replaces all stored resources
}

// ActiveConfig is the configuration that an ingress uses.
type ActiveConfig struct {
	Version       uint64
	Hash          Hash
	Set           Set            // read-only
	PreviousPlans map[Key][]byte // data of earlier plans that some ingress may still use
	Settled       uint64
}

// Plan returns a plan as it applies now. Its ceiling is the lower of its own and of the earlier one
// that other ingresses may still use. Together they thus keep to the higher of both from the first
// moment on, and to the new one from when all of them have it.
func (u *ActiveConfig) Plan(k Key) (Plan, error) {
	p, err := u.Set[k].Plan()
	if err != nil {
		return p, err
	}
	if data, ok := u.PreviousPlans[k]; ok {
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

// PollRequest is a poll to one of the coordinators.
type PollRequest struct {
	Coordinator int
	Poll        Poll
}

// Follower receives the configuration in one ingress. It has a poll in flight, or waits for the next
// one, or a reply is being stored (StoreUpdate, then Saved) and activated (ActiveConfig, then
// Activated): one after the other. A version is stored before it is activated, so that a process
// that is killed at any moment restarts with no older version than it used.
type Follower struct {
	cfg           FollowerConfig
	rng           *rand.Rand
	now           time.Duration
	active        ActiveConfig
	pending       *ActiveConfig
	needFullState bool // the active state may be damaged, so no difference can be applied
	poll          Poll // in flight, or the last one

	inFlight     bool
	deadline     time.Duration
	coordinator  int // index of the coordinator to poll
	failures     int // consecutive
	nextPoll     time.Duration
	lastReply    time.Duration // when the last reply came
	storageError string        // why the last version could not be stored
	storeTriedAt time.Duration // when storing was last attempted
	refused      *Halted
}

// NewFollower starts a follower from its stored configuration; nil for none. The error reports that
// this can't be used; the follower then starts from version 0.
func NewFollower(cfg FollowerConfig, stored *StoredConfig, seed uint64, now time.Duration) (*Follower, error) {
	f := &Follower{cfg: cfg, rng: rand.New(rand.NewPCG(seed, cfg.Incarnation)), now: now, lastReply: now, nextPoll: now}
	f.active = ActiveConfig{Set: Set{}, Hash: Set{}.Sum()}
	f.coordinator = f.rng.IntN(max(1, cfg.Coordinators))
	if stored == nil || stored.Version == 0 {
		return f, nil
	}
	set := Set{}.with(stored.Resources, nil)
	if sum := set.Sum(); sum != stored.Hash {
		return f, &StateDamaged{(&WrongHash{stored.Version, sum, stored.Hash}).Error()}
	}
	if err := f.check(stored.Resources); err != nil {
		return f, &StateDamaged{err.Error()}
	}
	f.active = newActiveConfig(stored.Version, stored.Hash, set, stored.Settled, stored.PreviousPlans)
	return f, nil
}

func newActiveConfig(version uint64, hash Hash, set Set, settled uint64, previous []PreviousResource) ActiveConfig {
	u := ActiveConfig{Version: version, Hash: hash, Set: set, Settled: settled, PreviousPlans: map[Key][]byte{}}
	for _, o := range previous {
		u.PreviousPlans[o.Key] = o.Data
	}
	return u
}

// previousPlans returns PreviousPlans as it is stored, in key order.
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

// Active returns the active configuration.
func (f *Follower) Active() *ActiveConfig { return &f.active }

// LastReply returns when a coordinator last answered.
func (f *Follower) LastReply() time.Duration { return f.lastReply }

// Refused returns the last version that could not be used, or nil if a newer one was activated since.
func (f *Follower) Refused() *Halted { return f.refused }

// Next returns when Tick has something to do; false while a reply is being stored or activated.
func (f *Follower) Next() (at time.Duration, ok bool) {
	switch {
	case f.inFlight:
		return f.deadline, true
	case f.pending != nil:
		return 0, false
	}
	return f.nextPoll, true
}

// Tick advances the time and returns the next poll, if one is due. A poll in flight for longer than
// its timeout has failed: a later reply to it is ignored.
func (f *Follower) Tick(now time.Duration) *PollRequest {
	f.now = max(f.now, now)
	if f.inFlight && f.now >= f.deadline {
		f.Failed(now, f.poll.Number, -1)
	}
	if f.inFlight || f.pending != nil || f.now < f.nextPoll {
		return nil
	}
	f.poll = Poll{Follower: f.cfg.Name, Region: f.cfg.Region, Incarnation: f.cfg.Incarnation, Number: f.poll.Number + 1,
		Version: f.active.Version, Hash: f.active.Hash, Settled: f.active.Settled,
		NeedFullState: f.needFullState, Refused: f.refused, StorageError: f.storageError}
	f.inFlight, f.deadline = true, f.now+f.cfg.PollTimeout
	f.nextPoll = f.now + minPollInterval
	return &PollRequest{f.coordinator, f.poll}
}

// Failed reports that a poll got no reply. leader is the index of the leading coordinator if the
// polled one named it, else negative.
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

// Replied handles a reply. The caller stores the returned update and then calls Saved; nil means
// that there is nothing to store. The error reports why the reply was rejected.
func (f *Follower) Replied(now time.Duration, number uint64, r Reply) (*StoreUpdate, error) {
	f.now = max(f.now, now)
	if !f.inFlight || number != f.poll.Number {
		return nil, nil // timed out, or a duplicate
	}
	f.inFlight, f.failures, f.lastReply = false, 0, f.now
	if r.RetryAfter > 0 {
		f.nextPoll = max(f.nextPoll, f.now+min(r.RetryAfter, maxRetryAfter))
		return nil, nil
	}
	save, next, err := f.apply(r)
	if err == nil && next == nil && f.storageError != "" && f.now-f.storeTriedAt >= storeRetryInterval {
		unchanged := f.active
		save, next = &StoreUpdate{Version: unchanged.Version, Hash: unchanged.Hash, Settled: unchanged.Settled,
			PreviousPlans: unchanged.previousPlans()}, &unchanged
	}
	if err != nil || next == nil {
		if _, refused := err.(*Halted); err != nil && !refused {
			f.nextPoll = f.now + 2*minRetryDelay
		}
		return nil, err
	}
	if f.storageError != "" { // the stored version is older than the base of the difference
		save.Full, save.Set, save.Delete = true, next.Set.List(), nil
	}
	f.pending = next
	return save, nil
}

// apply computes the configuration that results from a reply to the active one.
func (f *Follower) apply(r Reply) (*StoreUpdate, *ActiveConfig, error) {
	var next ActiveConfig
	save := &StoreUpdate{}
	switch {
	case r.State != nil:
		s := r.State
		if s.Version < f.active.Version || s.Version == f.active.Version && s.Hash == f.active.Hash && !f.needFullState {
			return nil, nil, nil // never go back to an older version
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
			f.needFullState = true // the active state may be the damaged one
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
		// From an earlier leader, or for a version that has been halted. The settled version does
		// not go back here: ceilings are derived from it.
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

// halted turns the fault of a version into the refusal that the publisher is sent.
func (f *Follower) halted(next *ActiveConfig, fault error) *Halted {
	refused, ok := fault.(*Refused)
	if !ok {
		refused = &Refused{Why: fault.Error()}
	}
	if refused.Line == 0 {
		refused.Line = next.Set[refused.Key].Line
	}
	return &Halted{Version: next.Version, Follower: f.cfg.Name, Refused: *refused}
}

// Saved reports that the update of Replied is stored, or why not: it is activated all the same, and
// the error is shown to operators. The caller activates the returned configuration and then calls
// Activated or ActivationFailed.
func (f *Follower) Saved(now time.Duration, err error) *ActiveConfig {
	f.now = max(f.now, now)
	if f.storageError, f.storeTriedAt = "", f.now; err != nil {
		f.storageError = err.Error()
	}
	return f.pending
}

// Activated reports that the ingress uses the configuration that Saved returned.
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

// ActivationFailed reports, in place of Activated, that the ingress could not use the configuration
// that Saved returned, though it had passed the check: the version is refused as if the check had
// failed.
func (f *Follower) ActivationFailed(now time.Duration, why error) {
	f.now = max(f.now, now)
	if f.pending == nil {
		return
	}
	f.refused = &Halted{Version: f.pending.Version, Follower: f.cfg.Name, Refused: Refused{Why: why.Error()}}
	f.pending, f.storageError = nil, "it holds a version that can't be used"
}

// Describe summarizes the configuration in one line, for logs and status.
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

// Keys returns the keys of a kind, sorted.
func (u *ActiveConfig) Keys(kind string) (keys []Key) {
	for k := range u.Set {
		if is, _ := k.Split(); is == kind {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}
