package distribution

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Timing is the times and the pace that a publisher goes by.
type Timing struct {
	Hold         time.Duration // a question is held for so long at most while there is nothing new
	Lease        time.Duration // who was heard longer ago counts as gone; a new publisher waits for so long to hear all
	MaxStaleness time.Duration // nothing is given out if a majority confirmed longer ago that this one leads; 0: none has to
	Rate         float64       // bytes a second of large replies, to all followers together
	Burst        float64       // bytes of these that may go at once
}

const (
	largeReplyBytes = 32 << 10    // bytes from which on a reply is paced
	minInterval     = time.Second // between two large replies to one follower at least, and two tries at an entry of the log
	maxReasonBytes  = 1024        // bytes of a follower's words that are kept

	maxPreviousLists = 64 // lists of what plans were before that are kept made
)

// DefaultTiming keeps a change within 4 s of the end of a fault: a question that was lost is
// made anew after Hold and the follower's patience. The pace is half of what a link of a gigabit
// carries: 2,200 routes that all change, 440 KB to each of 480, take 3.3 s.
func DefaultTiming() Timing {
	return Timing{Hold: time.Second, Lease: 4 * time.Second, MaxStaleness: 2 * time.Second, Rate: 64 << 20, Burst: 8 << 20}
}

// Poll is what a follower tells and asks: what it decides by, and for what is newer.
type Poll struct {
	Follower      string  `json:"follower"`
	Region        string  `json:"region,omitempty"`
	Incarnation   uint64  `json:"life"`              // of its process: a later start has a greater one
	Number        uint64  `json:"number"`            // of the question in this life, from 1
	Version       uint64  `json:"version"`           // in force; 0: none
	Hash          Hash    `json:"hash"`              // of that version as it is there
	Settled       uint64  `json:"settled"`           // as it was told last
	NeedFullState bool    `json:"whole,omitempty"`   // its own is damaged
	Refused       *Halted `json:"refused,omitempty"` // the last version that it could not use, if none was since
	StorageError  string  `json:"disk,omitempty"`    // why it can't keep what it has
}

// State is a whole version as it is sent and kept.
type State struct {
	Version   uint64     `json:"version"`
	Hash      Hash       `json:"hash"`
	Resources []Resource `json:"resources"`
}

// Difference leads from one version to another.
type Difference struct {
	Base     uint64     `json:"base"`
	BaseHash Hash       `json:"base_hash"`
	Version  uint64     `json:"version"`
	Hash     Hash       `json:"hash"`
	Set      []Resource `json:"set,omitempty"`
	Delete   []Key      `json:"delete,omitempty"`
}

// Reply answers a Poll. Without State and Difference the follower has what there is for it.
type Reply struct {
	State         *State             `json:"state,omitempty"` // shared with other replies: not to be changed
	Difference    *Difference        `json:"difference,omitempty"`
	RetryAfter    time.Duration      `json:"wait,omitempty"`    // the whole state comes then: other followers are before it
	Settled       uint64             `json:"settled,omitempty"` // no follower that is heard decides by an older version than this; 0: says nothing
	PreviousPlans []PreviousResource `json:"before,omitempty"`  // what the resources changed since Settled were in it, up to the follower's version
	Newest        uint64             `json:"newest"`            // version in the log
}

// empty tells that a reply has nothing that its follower lacks.
func (r *Reply) empty() bool {
	return r.State == nil && r.Difference == nil && r.RetryAfter == 0 && r.Settled == 0
}

// Answer is the reply to a question that was held.
type HeldReply struct {
	Follower string
	Number   uint64
	Reply    Reply
}

// followerState is what a publisher knows of one follower, since it publishes.
type followerState struct {
	poll      Poll
	lastPoll  time.Duration
	held      bool
	holdUntil time.Duration // when a held question is answered in any case
	sendAt    time.Duration // when its large reply is due
	queued    bool          // it has such a place in the row
	lastLarge time.Duration // when it was sent one last
}

// Publisher is what the coordinator that leads does. It lives for one term; who leads next
// begins with a new one.
type Publisher struct {
	timing           Timing
	catalog          *Catalog
	listeningSince   time.Duration // to hear followers; again after a pause
	now              time.Duration
	confirmedAt      time.Duration // a majority confirmed then that this one leads
	lastInputs       replyInputs   // what there was when Due looked last
	followers        map[string]*followerState
	paceFree         time.Duration // the row of large replies is worked off then
	fullState        *State        // of the version that is given out
	differences      map[uint64]*Difference
	differencesTo    uint64 // the version that these lead to
	previousLists    map[[2]uint64][]PreviousResource
	settleProposed   uint64        // the version whose settling is on its way into the log
	settleProposedAt time.Duration // when that was asked
	haltProposed     uint64        // the version whose halt is
	haltProposedAt   time.Duration
	joinProposedAt   time.Duration // when followers were last taken into the log
}

// NewPublisher begins to publish what a catalog holds, which the caller goes on applying
// entries to.
func NewPublisher(timing Timing, catalog *Catalog, now time.Duration) *Publisher {
	return &Publisher{timing: timing, catalog: catalog, listeningSince: now, now: now, confirmedAt: now, followers: map[string]*followerState{}, joinProposedAt: now - minInterval,
		previousLists: map[[2]uint64][]PreviousResource{}}
}

// Confirmed tells that a majority held this coordinator for the leader at a time: that at which
// it was asked, not that of its answer. The caller asks at least twice in Timing.Fresh. So a
// leader that was paused or cut off, and deposed meanwhile, gives out nothing by its old log:
// no version that the others have halted since.
func (p *Publisher) LeadershipConfirmed(at time.Duration) { p.confirmedAt = max(p.confirmedAt, at) }

// confirmed tells whether this publisher may give out anything.
func (p *Publisher) confirmed() bool {
	return p.timing.MaxStaleness == 0 || p.now-p.confirmedAt < p.timing.MaxStaleness
}

// setTime sets the current time. A publisher that was paused for long has heard nobody meanwhile; that
// says nothing about them, so it waits for all once more.
func (p *Publisher) setTime(now time.Duration) {
	if now-p.now >= p.timing.Lease/2 {
		p.listeningSince = now
	}
	p.now = max(p.now, now)
}

// news is all that the replies to held questions depend on.
type replyInputs struct {
	version, settled  uint64
	halted, confirmed bool
	followers         int
}

func (p *Publisher) replyInputs() replyInputs {
	c := p.catalog
	return replyInputs{c.Version, c.Settled, c.Halt != nil, p.confirmed(), len(c.Followers)}
}

// target is the version that is given out: the newest, or while that is halted the newest one
// before it that was not.
func (p *Publisher) target() uint64 {
	if p.catalog.Halt != nil {
		return p.catalog.Fallback()
	}
	return p.catalog.Version
}

// Poll takes a question. It is answered at once, or held: then [Publisher.Due] answers it.
func (p *Publisher) Poll(now time.Duration, q Poll) (reply Reply, held bool, err error) {
	p.setTime(now)
	if q.Follower == "" || len(q.Follower) > maxFollowerName || len(q.Region) > maxFollowerName || q.Number == 0 {
		return reply, false, &BadPoll{"a follower has a name and a region of 1 to 64 characters, and counts its questions from 1"}
	}
	s := p.followers[q.Follower]
	if s == nil {
		if _, known := p.catalog.Followers[q.Follower]; !known && max(len(p.followers), len(p.catalog.Followers)) >= MaxFollowers {
			return reply, false, &TooMany{MaxFollowers}
		}
		s = &followerState{}
		p.followers[q.Follower] = s
	}
	// Repeated, or come late: it tells of what was before. A clock that was set back makes a
	// later life's number the lower one; it is taken once nobody else is heard under the name.
	if q.Incarnation == s.poll.Incarnation && q.Number <= s.poll.Number || q.Incarnation < s.poll.Incarnation && p.leaseValid(s) {
		return reply, false, &BadPoll{"a later one has come under this name"}
	}
	if q.Incarnation != s.poll.Incarnation {
		s.queued = false
	}
	q.StorageError = q.StorageError[:min(len(q.StorageError), maxReasonBytes)]
	if q.Refused != nil {
		q.Refused = &Halted{q.Refused.Version, q.Follower, q.Refused.Refused.bounded()}
	}
	s.poll, s.lastPoll, s.holdUntil, s.held = q, p.now, p.now+p.timing.Hold, false
	if reply = p.nextReply(s); !reply.empty() {
		return reply, false, nil
	}
	s.held = true
	return Reply{}, true, nil
}

// next is what a follower lacks.
func (p *Publisher) nextReply(s *followerState) Reply {
	c, q, target := p.catalog, &s.poll, p.target()
	reply := Reply{Newest: c.Version}
	have, known := c.hashAt(q.Version)
	at := q.Version
	if _, joined := c.Followers[q.Follower]; !joined || !p.confirmed() {
		return reply // who leads next must know of whoever decides by something
	}
	switch {
	case q.Version > c.Version, target == 0 && q.Version == 0:
		return reply
	case q.Refused != nil && q.Refused.Version == target && q.Version < target:
		return reply // until there is another
	case q.NeedFullState && q.Version <= target, q.Version < target && (!known || have != q.Hash), q.Version == target && have != q.Hash:
		if reply.RetryAfter = p.paceDelay(s, p.state().size()); reply.RetryAfter > 0 {
			return reply
		}
		reply.State, at = p.state(), target
	case q.Version < target:
		d := p.differenceFrom(q.Version)
		if reply.RetryAfter = p.paceDelay(s, d.size()); reply.RetryAfter > 0 {
			return reply
		}
		reply.Difference, at = d, target
	}
	if at != q.Version || reply.State != nil || c.Settled > q.Settled && c.Settled <= at {
		reply.Settled = min(c.Settled, at)
		reply.PreviousPlans = p.previousPlans(reply.Settled, at)
	}
	return reply
}

// before is what plans changed after a version, up to another, were in it. Most followers get
// the same, so it is made once.
func (p *Publisher) previousPlans(settled, at uint64) []PreviousResource {
	span := [2]uint64{settled, at}
	list, made := p.previousLists[span]
	if !made {
		for _, o := range p.catalog.replacedSince(settled, at) {
			// Of plans alone: their ceilings hold together with those of before.
			if kind, _ := o.Key.Split(); kind == KindPlan && o.Data != nil {
				list = append(list, o)
			}
		}
		if len(p.previousLists) >= maxPreviousLists {
			clear(p.previousLists)
		}
		p.previousLists[span] = list
	}
	return list
}

func sizeOf(list []Resource) (n int) {
	for _, r := range list {
		n += r.size()
	}
	return n
}

func (s *State) size() int { return sizeOf(s.Resources) }

func (d *Difference) size() int { return sizeOf(d.Set) }

// state is the whole of the version that is given out.
func (p *Publisher) state() *State {
	target := p.target()
	if p.fullState == nil || p.fullState.Version != target {
		set, err := p.catalog.At(target)
		if err != nil {
			panic(err) // it is the newest or the way back from it, which are kept always
		}
		hash, _ := p.catalog.hashAt(target)
		p.fullState = &State{target, hash, set.List()}
	}
	return p.fullState
}

// step is the difference from a version that is kept to the one that is given out. Most
// followers have the same, so it is made once.
func (p *Publisher) differenceFrom(from uint64) *Difference {
	target := p.target()
	if p.differences == nil || p.differencesTo != target {
		p.differences, p.differencesTo = map[uint64]*Difference{}, target
	}
	d := p.differences[from]
	if d == nil {
		d = &Difference{Base: from, Version: target}
		d.BaseHash, _ = p.catalog.hashAt(from)
		d.Hash, _ = p.catalog.hashAt(target)
		var err error
		if d.Set, d.Delete, err = p.catalog.difference(from, target); err != nil {
			panic(err) // both are kept
		}
		p.differences[from] = d
	}
	return d
}

// pace gives a large reply its place in the row, and tells how long its follower has to
// wait for it; 0 for now. The row is worked off at Timing.Rate, after a burst.
func (p *Publisher) paceDelay(s *followerState, size int) time.Duration {
	if size < largeReplyBytes {
		return 0
	}
	if !s.queued || p.now > s.sendAt+p.timing.Lease { // no place, or it let that one go by
		span := time.Duration(float64(size) / p.timing.Rate * float64(time.Second))
		burst := time.Duration(p.timing.Burst / p.timing.Rate * float64(time.Second))
		p.paceFree = max(p.paceFree, p.now-burst) + span
		s.queued, s.sendAt = true, max(p.paceFree, p.now)
		if s.lastLarge > 0 {
			s.sendAt = max(s.sendAt, s.lastLarge+minInterval)
		}
	}
	if s.sendAt > p.now {
		return s.sendAt - p.now
	}
	s.queued, s.lastLarge = false, p.now
	return 0
}

// Due answers the held questions that have an answer now: because there is something new,
// or because their time is over.
func (p *Publisher) Due(now time.Duration) (answers []HeldReply) {
	p.setTime(now)
	looked := p.replyInputs()
	var names []string
	for name, s := range p.followers {
		if s.held && (looked != p.lastInputs || p.now >= s.holdUntil) {
			names = append(names, name)
		}
	}
	p.lastInputs = looked
	slices.Sort(names)
	for _, name := range names {
		s := p.followers[name]
		if reply := p.nextReply(s); !reply.empty() || p.now >= s.holdUntil {
			s.held = false
			answers = append(answers, HeldReply{name, s.poll.Number, reply})
		}
	}
	return answers
}

// Next tells when Due has an answer though nothing happens; false for never.
func (p *Publisher) Next() (at time.Duration, any bool) {
	for _, s := range p.followers {
		if s.held && (!any || s.holdUntil < at) {
			at, any = s.holdUntil, true
		}
	}
	return at, any
}

// live tells whether a follower's lease is on.
func (p *Publisher) leaseValid(s *followerState) bool {
	return s != nil && p.now-s.lastPoll < p.timing.Lease
}

// Tick makes the entries that the log should have: who follows, which version has settled,
// and which is halted. The caller proposes them; what is not applied is made again.
func (p *Publisher) Tick(now time.Duration) (entries []Entry) {
	p.setTime(now)
	c := p.catalog
	if p.now-p.joinProposedAt >= minInterval {
		joined := map[string]string{}
		for name, s := range p.followers {
			if region, known := c.Followers[name]; p.leaseValid(s) && (!known || region != s.poll.Region) && len(c.Followers)+len(joined) < MaxFollowers {
				joined[name] = s.poll.Region
			}
		}
		if len(joined) > 0 {
			p.joinProposedAt = p.now
			entries = append(entries, Entry{Join: &Join{joined}})
		}
		maps.DeleteFunc(p.followers, func(name string, s *followerState) bool {
			_, known := c.Followers[name]
			return !known && !p.leaseValid(s) // forgotten
		})
	}
	if c.Halt == nil && c.Version > 0 && (p.haltProposed != c.Version || p.now-p.haltProposedAt >= minInterval) {
		for _, name := range slices.Sorted(maps.Keys(p.followers)) {
			if r := p.followers[name].poll.Refused; p.leaseValid(p.followers[name]) && r != nil && r.Version == c.Version {
				p.haltProposed, p.haltProposedAt = c.Version, p.now
				entries = append(entries, Entry{Halt: &Halted{c.Version, name, r.Refused}})
				break
			}
		}
	}
	if to := p.oldestActive(); to > c.Settled && (to > p.settleProposed || p.now-p.settleProposedAt >= minInterval) {
		p.settleProposed, p.settleProposedAt = to, p.now
		entries = append(entries, Entry{Settle: to})
	}
	return entries
}

// settles is the oldest version by which a follower may decide whose lease is on. Those that
// the log knows and that were not heard yet may decide by any until a lease after the start.
// A version that is halted does not settle: those that have not begun with it don't.
func (p *Publisher) oldestActive() uint64 {
	c, least := p.catalog, p.target()
	if p.now-p.listeningSince < p.timing.Lease {
		for name := range c.Followers {
			if s := p.followers[name]; s == nil || s.lastPoll < p.listeningSince {
				return 0
			}
		}
	}
	for _, s := range p.followers {
		if !p.leaseValid(s) {
			continue
		}
		if h, known := c.hashAt(s.poll.Version); !known || h != s.poll.Hash {
			return 0 // what it decides by is none of ours
		}
		least = min(least, s.poll.Version)
	}
	return least
}

// Standing is how one follower stands.
type SyncStatus string

// The standings.
const (
	SyncInForce   SyncStatus = "in force" // it decides by the version that is given out
	SyncBehind    SyncStatus = "behind"
	SyncRefused   SyncStatus = "refused"
	SyncSilent    SyncStatus = "silent"      // its lease has run out
	SyncNeverSeen SyncStatus = "never heard" // by this publisher
	SyncAhead     SyncStatus = "ahead"
)

// FollowerStatus is how one follower stands.
type FollowerStatus struct {
	Name          string        `json:"name"`
	Region        string        `json:"region,omitempty"`
	Sync          SyncStatus    `json:"standing"`
	Version       uint64        `json:"version"`
	SinceLastPoll time.Duration `json:"heard"` // ago
	Why           string        `json:"why,omitempty"`
}

// Status is how configuration stands.
type Status struct {
	Version   uint64           `json:"version"`
	Hash      Hash             `json:"hash"`
	By        string           `json:"by,omitempty"`
	Resources int              `json:"resources"`
	Bytes     int              `json:"bytes"`
	Oldest    uint64           `json:"oldest"`
	Settled   uint64           `json:"settled"`
	Halt      *Halted          `json:"halt,omitempty"`
	Followers []FollowerStatus `json:"followers"` // in the order of region and name
}

// Status tells how all stands.
func (p *Publisher) Status(now time.Duration) Status {
	p.setTime(now)
	c := p.catalog
	st := Status{Version: c.Version, Hash: c.Hash, By: c.By, Resources: len(c.Resources), Bytes: c.Set().Size(), Oldest: c.Oldest(), Settled: c.Settled, Halt: c.Halt}
	names := maps.Clone(c.Followers)
	for name, s := range p.followers {
		names[name] = s.poll.Region
	}
	for name, region := range names {
		s := p.followers[name]
		f := FollowerStatus{Name: name, Region: region, Sync: SyncNeverSeen}
		if s != nil {
			f.Version, f.SinceLastPoll, f.Why = s.poll.Version, p.now-s.lastPoll, s.poll.StorageError
			switch r := s.poll.Refused; {
			case !p.leaseValid(s):
				f.Sync = SyncSilent
			case s.poll.Version > c.Version:
				f.Sync, f.Why = SyncAhead, (&Ahead{name, s.poll.Version, c.Version}).Error()
			case r != nil && r.Version > s.poll.Version:
				f.Sync, f.Why = SyncRefused, r.Refused.Error()
			case s.poll.Version < p.target():
				f.Sync = SyncBehind
			default:
				f.Sync = SyncInForce
			}
		}
		st.Followers = append(st.Followers, f)
	}
	slices.SortFunc(st.Followers, func(a, b FollowerStatus) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Name, b.Name))
	})
	return st
}

// Heard tells how long ago a follower asked; false if it did not since this publisher began.
func (p *Publisher) SinceLastPoll(now time.Duration, follower string) (ago time.Duration, ever bool) {
	s := p.followers[follower]
	if s == nil {
		return 0, false
	}
	return max(p.now, now) - s.lastPoll, true
}
