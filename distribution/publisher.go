package distribution

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Timing holds the timeouts and the rate limit of a publisher.
type Timing struct {
	Hold         time.Duration // max time that a poll is held while there is nothing new (long poll)
	Lease        time.Duration // a follower that polled longer ago counts as gone; a new publisher waits this long for all to poll
	MaxStaleness time.Duration // nothing is sent if a majority last confirmed the leadership longer ago; 0: no confirmation needed
	Rate         float64       // bytes per second of large replies, over all followers
	Burst        float64       // bytes of large replies that may be sent at once
}

const (
	largeReplyBytes = 32 << 10    // bytes from which a reply is rate limited
	minInterval     = time.Second // min time between large replies to one follower, and before a log entry is proposed again
	maxReasonBytes  = 1024        // bytes kept of a text that a follower sends

	maxPreviousLists = 64 // cached lists of previous plans
)

// DefaultTiming delivers a change within 4 s of the end of a fault: a lost poll is repeated after
// Hold and the follower's poll timeout. The rate is half of the capacity of a gigabit link: a change
// of all of 2,200 routes, 440 KB to each of 480 followers, takes 3.3 s.
func DefaultTiming() Timing {
	return Timing{Hold: time.Second, Lease: 4 * time.Second, MaxStaleness: 2 * time.Second, Rate: 64 << 20, Burst: 8 << 20}
}

// Poll is a follower's request: it reports the active version and asks for a newer one.
type Poll struct {
	Follower      string  `json:"follower"`
	Region        string  `json:"region,omitempty"`
	Incarnation   uint64  `json:"life"`              // of the follower's process; a later start has a greater one
	Number        uint64  `json:"number"`            // of the poll within the incarnation, from 1
	Version       uint64  `json:"version"`           // active; 0: none
	Hash          Hash    `json:"hash"`              // of the active version, as the follower has it
	Settled       uint64  `json:"settled"`           // settled version that the follower was last sent
	NeedFullState bool    `json:"whole,omitempty"`   // its own state is damaged
	Refused       *Halted `json:"refused,omitempty"` // the last version that it could not use, unless a newer one was activated since
	StorageError  string  `json:"disk,omitempty"`    // why it can't persist its configuration
}

// State is the full state of a version, as it is sent and stored.
type State struct {
	Version   uint64     `json:"version"`
	Hash      Hash       `json:"hash"`
	Resources []Resource `json:"resources"`
}

// Difference is the change from one version to another.
type Difference struct {
	Base     uint64     `json:"base"`
	BaseHash Hash       `json:"base_hash"`
	Version  uint64     `json:"version"`
	Hash     Hash       `json:"hash"`
	Set      []Resource `json:"set,omitempty"`
	Delete   []Key      `json:"delete,omitempty"`
}

// Reply answers a Poll. Without State and Difference the follower is up to date.
type Reply struct {
	State         *State             `json:"state,omitempty"` // shared between replies: read-only
	Difference    *Difference        `json:"difference,omitempty"`
	RetryAfter    time.Duration      `json:"wait,omitempty"`    // time until a large reply can be sent: other followers are ahead in the queue
	Settled       uint64             `json:"settled,omitempty"` // no follower with a valid lease uses an older version; 0: unchanged
	PreviousPlans []PreviousResource `json:"before,omitempty"`  // earlier values of plans changed since Settled, up to the follower's version
	Newest        uint64             `json:"newest"`            // newest version in the log
}

// empty reports whether a reply has nothing new for its follower.
func (r *Reply) empty() bool {
	return r.State == nil && r.Difference == nil && r.RetryAfter == 0 && r.Settled == 0
}

// HeldReply is the reply to a poll that was held.
type HeldReply struct {
	Follower string
	Number   uint64
	Reply    Reply
}

// followerState is what a publisher has learned of one follower in this term.
type followerState struct {
	poll      Poll
	lastPoll  time.Duration
	held      bool
	holdUntil time.Duration // deadline of a held poll
	sendAt    time.Duration // when its queued large reply may be sent
	queued    bool          // a large reply is queued at sendAt
	lastLarge time.Duration // when it was last sent a large reply
}

// Publisher distributes configuration from the leading coordinator. It lasts for one term; the
// next leader begins with a new one.
type Publisher struct {
	timing           Timing
	catalog          *Catalog
	listeningSince   time.Duration // start of the wait for all followers' polls; reset after a pause of the process
	now              time.Duration
	confirmedAt      time.Duration // when a majority last confirmed the leadership
	lastInputs       replyInputs   // at the last call of Due
	followers        map[string]*followerState
	paceFree         time.Duration // when the queue of large replies is empty
	fullState        *State        // of the target version
	differences      map[uint64]*Difference
	differencesTo    uint64 // the target version of differences
	previousLists    map[[2]uint64][]PreviousResource
	settleProposed   uint64 // the version last proposed as settled
	settleProposedAt time.Duration
	haltProposed     uint64 // the version whose halt was last proposed
	haltProposedAt   time.Duration
	joinProposedAt   time.Duration // when new followers were last proposed
}

// NewPublisher starts to publish a catalog. The caller goes on applying entries to it.
func NewPublisher(timing Timing, catalog *Catalog, now time.Duration) *Publisher {
	return &Publisher{timing: timing, catalog: catalog, listeningSince: now, now: now, confirmedAt: now,
		followers: map[string]*followerState{}, joinProposedAt: now - minInterval, previousLists: map[[2]uint64][]PreviousResource{}}
}

// LeadershipConfirmed records that a majority confirmed this coordinator as the leader. The time is
// that of the question, not that of the answer. The caller asks at least twice within
// Timing.MaxStaleness. A leader that was paused or partitioned, and deposed meanwhile, therefore
// sends nothing from its stale log, such as a version that the others have halted since.
func (p *Publisher) LeadershipConfirmed(at time.Duration) { p.confirmedAt = max(p.confirmedAt, at) }

// confirmed reports whether this publisher may send anything.
func (p *Publisher) confirmed() bool {
	return p.timing.MaxStaleness == 0 || p.now-p.confirmedAt < p.timing.MaxStaleness
}

// setTime sets the current time. A publisher that was paused for long received no polls meanwhile,
// which does not mean that followers are gone: it waits for all of them again.
func (p *Publisher) setTime(now time.Duration) {
	if now-p.now >= p.timing.Lease/2 {
		p.listeningSince = now
	}
	p.now = max(p.now, now)
}

// replyInputs is all that the replies to held polls depend on.
type replyInputs struct {
	version, settled  uint64
	halted, confirmed bool
	followers         int
}

func (p *Publisher) replyInputs() replyInputs {
	c := p.catalog
	return replyInputs{c.Version, c.Settled, c.Halt != nil, p.confirmed(), len(c.Followers)}
}

// target is the version to distribute: the newest, or while that is halted the newest earlier one
// that was not.
func (p *Publisher) target() uint64 {
	if p.catalog.Halt != nil {
		return p.catalog.Fallback()
	}
	return p.catalog.Version
}

// Poll handles a follower's poll. It is answered at once, or held: then [Publisher.Due] answers it.
func (p *Publisher) Poll(now time.Duration, request Poll) (reply Reply, held bool, err error) {
	p.setTime(now)
	if request.Follower == "" || len(request.Follower) > maxFollowerName || len(request.Region) > maxFollowerName || request.Number == 0 {
		return reply, false, &BadPoll{"a follower has a name and a region of 1 to 64 characters, and counts its questions from 1"}
	}
	follower := p.followers[request.Follower]
	if follower == nil {
		if _, known := p.catalog.Followers[request.Follower]; !known && max(len(p.followers), len(p.catalog.Followers)) >= MaxFollowers {
			return reply, false, &TooMany{MaxFollowers}
		}
		follower = &followerState{}
		p.followers[request.Follower] = follower
	}
	// A repeated or delayed poll reports outdated state. After a clock was set back, a later process
	// has the lower incarnation; it is accepted once no other polls under the name.
	if request.Incarnation == follower.poll.Incarnation && request.Number <= follower.poll.Number ||
		request.Incarnation < follower.poll.Incarnation && p.leaseValid(follower) {
		return reply, false, &BadPoll{"a later one has come under this name"}
	}
	if request.Incarnation != follower.poll.Incarnation {
		follower.queued = false
	}
	request.StorageError = request.StorageError[:min(len(request.StorageError), maxReasonBytes)]
	if request.Refused != nil {
		request.Refused = &Halted{request.Refused.Version, request.Follower, request.Refused.Refused.bounded()}
	}
	follower.poll, follower.lastPoll, follower.holdUntil, follower.held = request, p.now, p.now+p.timing.Hold, false
	if reply = p.nextReply(follower); !reply.empty() {
		return reply, false, nil
	}
	follower.held = true
	return Reply{}, true, nil
}

// nextReply is what a follower lacks.
func (p *Publisher) nextReply(follower *followerState) Reply {
	c, request, target := p.catalog, &follower.poll, p.target()
	reply := Reply{Newest: c.Version}
	have, known := c.hashAt(request.Version)
	at := request.Version
	if _, joined := c.Followers[request.Follower]; !joined || !p.confirmed() {
		return reply // the next leader must know every follower that uses a version
	}
	switch {
	case request.Version > c.Version, target == 0 && request.Version == 0:
		return reply
	case request.Refused != nil && request.Refused.Version == target && request.Version < target:
		return reply // until there is another version
	case request.NeedFullState && request.Version <= target,
		request.Version < target && (!known || have != request.Hash), request.Version == target && have != request.Hash:
		if reply.RetryAfter = p.paceDelay(follower, p.state().size()); reply.RetryAfter > 0 {
			return reply
		}
		reply.State, at = p.state(), target
	case request.Version < target:
		difference := p.differenceFrom(request.Version)
		if reply.RetryAfter = p.paceDelay(follower, difference.size()); reply.RetryAfter > 0 {
			return reply
		}
		reply.Difference, at = difference, target
	}
	if at != request.Version || reply.State != nil || c.Settled > request.Settled && c.Settled <= at {
		reply.Settled = min(c.Settled, at)
		reply.PreviousPlans = p.previousPlans(reply.Settled, at)
	}
	return reply
}

// previousPlans returns the plans that changed after a version, up to another, as they were in the
// first. Most followers get the same list, so it is cached.
func (p *Publisher) previousPlans(settled, at uint64) []PreviousResource {
	span := [2]uint64{settled, at}
	list, cached := p.previousLists[span]
	if !cached {
		for _, o := range p.catalog.replacedSince(settled, at) {
			// Only plans: the lower of the old and the new ceiling applies until the new one settles.
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

// state is the full state of the target version.
func (p *Publisher) state() *State {
	target := p.target()
	if p.fullState == nil || p.fullState.Version != target {
		set, err := p.catalog.At(target)
		if err != nil {
			panic(err) // the newest version and its fallback are always kept
		}
		hash, _ := p.catalog.hashAt(target)
		p.fullState = &State{target, hash, set.List()}
	}
	return p.fullState
}

// differenceFrom returns the difference from a kept version to the target. Most followers have the
// same version, so it is cached.
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
			panic(err) // both versions are kept
		}
		p.differences[from] = d
	}
	return d
}

// paceDelay queues a large reply and returns how long its follower has to wait for it; 0 if it may
// be sent now. The queue is served at Timing.Rate, after an initial burst.
func (p *Publisher) paceDelay(follower *followerState, size int) time.Duration {
	if size < largeReplyBytes {
		return 0
	}
	if !follower.queued || p.now > follower.sendAt+p.timing.Lease { // not queued, or it missed its time
		span := time.Duration(float64(size) / p.timing.Rate * float64(time.Second))
		burst := time.Duration(p.timing.Burst / p.timing.Rate * float64(time.Second))
		p.paceFree = max(p.paceFree, p.now-burst) + span
		follower.queued, follower.sendAt = true, max(p.paceFree, p.now)
		if follower.lastLarge > 0 {
			follower.sendAt = max(follower.sendAt, follower.lastLarge+minInterval)
		}
	}
	if follower.sendAt > p.now {
		return follower.sendAt - p.now
	}
	follower.queued, follower.lastLarge = false, p.now
	return 0
}

// Due answers the held polls that can be answered now: because there is something new, or
// because their deadline has passed.
func (p *Publisher) Due(now time.Duration) (answers []HeldReply) {
	p.setTime(now)
	inputs := p.replyInputs()
	var names []string
	for name, s := range p.followers {
		if s.held && (inputs != p.lastInputs || p.now >= s.holdUntil) {
			names = append(names, name)
		}
	}
	p.lastInputs = inputs
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

// Next returns the earliest deadline of a held poll; false if none is held.
func (p *Publisher) Next() (at time.Duration, found bool) {
	for _, s := range p.followers {
		if s.held && (!found || s.holdUntil < at) {
			at, found = s.holdUntil, true
		}
	}
	return at, found
}

// leaseValid reports whether a follower has polled within the lease.
func (p *Publisher) leaseValid(s *followerState) bool {
	return s != nil && p.now-s.lastPoll < p.timing.Lease
}

// Tick returns the entries that the log lacks: new followers, the settled version, a halt. The
// caller proposes them; those that are not applied are returned again later.
func (p *Publisher) Tick(now time.Duration) (entries []Entry) {
	p.setTime(now)
	c := p.catalog
	if p.now-p.joinProposedAt >= minInterval {
		joined := map[string]string{}
		for name, s := range p.followers {
			if region, known := c.Followers[name]; p.leaseValid(s) && (!known || region != s.poll.Region) &&
				len(c.Followers)+len(joined) < MaxFollowers {
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

// oldestActive is the oldest version that a follower with a valid lease may use. A follower in the
// log that has not polled yet may use any version until one lease after the start. A halted version
// does not settle: it is sent to no further follower.
func (p *Publisher) oldestActive() uint64 {
	c, oldest := p.catalog, p.target()
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
			return 0 // it uses a version that is not in the log
		}
		oldest = min(oldest, s.poll.Version)
	}
	return oldest
}

// SyncStatus compares a follower's configuration with the target version.
type SyncStatus string

// The values of SyncStatus.
const (
	SyncInForce   SyncStatus = "in force" // it uses the target version
	SyncBehind    SyncStatus = "behind"
	SyncRefused   SyncStatus = "refused"
	SyncSilent    SyncStatus = "silent"      // its lease has expired
	SyncNeverSeen SyncStatus = "never heard" // no poll in this publisher's term
	SyncAhead     SyncStatus = "ahead"
)

// FollowerStatus is the status of one follower.
type FollowerStatus struct {
	Name          string        `json:"name"`
	Region        string        `json:"region,omitempty"`
	Sync          SyncStatus    `json:"standing"`
	Version       uint64        `json:"version"`
	SinceLastPoll time.Duration `json:"heard"` // 0 if it has not polled
	Why           string        `json:"why,omitempty"`
}

// Status is the state of the configuration and of all followers.
type Status struct {
	Version   uint64           `json:"version"`
	Hash      Hash             `json:"hash"`
	By        string           `json:"by,omitempty"`
	Resources int              `json:"resources"`
	Bytes     int              `json:"bytes"`
	Oldest    uint64           `json:"oldest"`
	Settled   uint64           `json:"settled"`
	Halt      *Halted          `json:"halt,omitempty"`
	Followers []FollowerStatus `json:"followers"` // by region and name
}

// Status returns the state of the configuration and of all followers.
func (p *Publisher) Status(now time.Duration) Status {
	p.setTime(now)
	c := p.catalog
	status := Status{Version: c.Version, Hash: c.Hash, By: c.By, Resources: len(c.Resources), Bytes: c.Set().Size(),
		Oldest: c.Oldest(), Settled: c.Settled, Halt: c.Halt}
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
		status.Followers = append(status.Followers, f)
	}
	slices.SortFunc(status.Followers, func(a, b FollowerStatus) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Name, b.Name))
	})
	return status
}

// SinceLastPoll returns the time since a follower's last poll; false if there was none in this
// publisher's term.
func (p *Publisher) SinceLastPoll(now time.Duration, follower string) (ago time.Duration, ever bool) {
	s := p.followers[follower]
	if s == nil {
		return 0, false
	}
	return max(p.now, now) - s.lastPoll, true
}
