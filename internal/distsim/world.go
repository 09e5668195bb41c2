// Package distsim simulates the distribution of configuration in virtual time, under
// injected faults, and checks it against the simulated state.
//
// The coordinators are the real raft library with a distribution.Catalog and, at the
// leader, a distribution.Publisher; the followers are distribution.Follower. Links,
// disks and operators are models. The same seed gives the same run.
package distsim

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"wickarch/distribution"
	"wickarch/internal/virtualtime"
)

// endpoint is one end of a link: a coordinator with its ID, or a follower with 1000 plus its ID.
type endpoint struct{ region, id int }

// version is a version as committed in the log.
type version struct {
	hash     distribution.Hash
	ceilings [plans]float64
	unusable bool // some followers can't use it
	at       time.Duration
	haltedAt time.Duration // time of the halt; 0 for none
}

// pending is a version that is not yet in force at all running followers.
type pending struct {
	version   uint64
	since     time.Duration
	disturbed bool // a fault was active since it was committed
}

// World is one run.
type World struct {
	Scenario
	virtualtime.Scheduler
	virtualtime.Recorder
	rng *rand.Rand

	coordinators []*coordinator
	followers    []*follower
	cut          map[int]func(from, to endpoint) bool // predicates of the links that are cut, by sequence number
	cutSequence  int
	lossRate     float64
	corruptShare float64 // share of replies that a broken proxy swaps or corrupts
	activeFaults int
	lastFaultEnd time.Duration

	log        *distribution.Catalog // as a majority of the coordinators has it
	logIndex   uint64
	versions   []version
	maxSettled uint64
	requests   map[string]int // number of versions made, by request
	pending    []pending
	Report     Report
}

// Report summarizes a run.
type Report struct {
	Faults                                                                                        []string
	Events                                                                                        uint64
	Polls, Applied, RejectedReplies, Versions, Leaders, Halts, Settles, Conflicts, InjectedFaults int
	// maximum number of followers not counted in the ceilings at one time
	MaxUncounted int
	// from the commit, or the last fault's end, until in force at the last follower
	UndisturbedTimes, DisturbedTimes []time.Duration
}

// Add adds the counts and times of another run.
func (r *Report) Add(other Report) {
	r.Events += other.Events
	r.Polls += other.Polls
	r.Applied += other.Applied
	r.RejectedReplies += other.RejectedReplies
	r.Versions += other.Versions
	r.Leaders += other.Leaders
	r.Halts += other.Halts
	r.Settles += other.Settles
	r.Conflicts += other.Conflicts
	r.InjectedFaults += other.InjectedFaults
	r.MaxUncounted = max(r.MaxUncounted, other.MaxUncounted)
	r.UndisturbedTimes = append(r.UndisturbedTimes, other.UndisturbedTimes...)
	r.DisturbedTimes = append(r.DisturbedTimes, other.DisturbedTimes...)
}

func (w *World) must(err error) {
	if err != nil {
		panic(err) // an error of the model, not of the code under test
	}
}

func (w *World) drawRate() float64 { return 1 + 0.01*(2*w.rng.Float64()-1) }

func (w *World) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.rng.Int64N(int64(b-a)))
}

func (w *World) isCut(from, to endpoint) bool {
	for _, cut := range w.cut {
		if cut(from, to) {
			return true
		}
	}
	return false
}

// transmit delivers a message from one endpoint to another, possibly late, twice or not at all.
func (w *World) transmit(from, to endpoint, do func()) {
	if w.isCut(from, to) || w.lossRate > 0 && w.rng.Float64() < w.lossRate {
		return
	}
	minLatency := 1.0
	if from.region != to.region {
		minLatency = 10
	}
	d := time.Duration((minLatency + w.rng.ExpFloat64()*2) * float64(time.Millisecond))
	arrive := func() {
		if !w.isCut(from, to) {
			do()
		}
	}
	if w.lossRate > 0 && w.rng.IntN(20) == 0 { // a duplicate, overtaken by newer messages
		w.After(w.between(d, 6*time.Second), arrive)
	}
	w.After(d, arrive)
}

// leader returns the leader of the highest term, or nil.
func (w *World) leader() (lead *coordinator) {
	for _, c := range w.coordinators {
		if c.publisher != nil && (lead == nil || c.term > lead.term) {
			lead = c
		}
	}
	return lead
}

// committed records an entry when the first coordinator learns of its commit.
func (w *World) committed(entry *pb.Entry) {
	if entry.GetIndex() <= w.logIndex {
		return
	}
	w.logIndex = entry.GetIndex()
	if len(entry.GetData()) == 0 {
		return
	}
	var e distribution.Entry
	w.must(json.Unmarshal(entry.GetData(), &e))
	was := w.log.Version
	err := w.log.Apply(entry.GetIndex(), e)
	if v := w.log.Version; v != was {
		base := was
		if e.Push != nil {
			base = e.Push.Base
		} else if e.Rollback != nil {
			base = e.Rollback.Base
		}
		if err != nil || v != was+1 || base != was {
			w.Fault("a change based on version %d made version %d out of version %d (error: %v)", base, v, was, err)
		}
		if w.requests[e.Request]++; w.requests[e.Request] > 1 {
			w.Fault("request %s was applied twice", e.Request)
		}
		next := version{hash: w.log.Set().Sum(), at: w.Now()}
		_, next.unusable = w.log.Set()[unusableKey]
		for i := range plans {
			p, err := w.log.Set()[planKey(i)].Plan()
			w.must(err)
			next.ceilings[i] = p.CeilingRate
		}
		w.versions = append(w.versions, next)
		w.pending = append(w.pending, pending{v, w.Now(), w.activeFaults > 0})
		w.Report.Versions++
		w.Note("version %d is committed, by %s", v, e.Request)
	}
	if w.log.Halt != nil && w.versions[w.log.Version].haltedAt == 0 {
		w.versions[w.log.Version].haltedAt = w.Now()
		w.Report.Halts++
		w.Note("%v", w.log.Halt)
		// A halted version need not reach further followers.
		w.pending = slices.DeleteFunc(w.pending, func(p pending) bool { return p.version == w.log.Version })
	}
	if e.Settle > 0 && w.log.Settled == e.Settle {
		w.Report.Settles++
		w.Note("version %d has settled", e.Settle)
	}
	w.maxSettled = max(w.maxSettled, w.log.Settled)
	w.checkCeilings()
}

// checkReply checks a reply when it is sent.
func (w *World) checkReply(c *coordinator, f *follower, r distribution.Reply) {
	v := uint64(0)
	if r.State != nil {
		v = r.State.Version
	} else if r.Difference != nil {
		v = r.Difference.Version
	}
	if v == 0 || v > w.log.Version || f.activeVersion >= v {
		return
	}
	slack := time.Duration(0) // a deposed leader may believe that it leads for this long
	if w.leader() != c {
		slack = time.Duration(1.02 * float64(w.Timing.MaxStaleness))
	}
	if h := w.versions[v].haltedAt; h > 0 && w.Now() > h+slack && f.disk.stored() != nil && f.disk.version < v {
		w.Fault("%s is given version %d, which was halted at %.3f s", f.name, v, h.Seconds())
	}
}

// checkCeilings checks that the shares of all counted followers together stay within each plan's ceiling.
func (w *World) checkCeilings() {
	if w.log.Version == 0 {
		return
	}
	excluded := 0
	var sum [plans]float64
	for _, f := range w.followers {
		if f.uncounted() {
			excluded++
			continue
		}
		for i, c := range f.ceilings {
			sum[i] += c / float64(len(w.followers))
		}
	}
	if w.log.Settled > 0 {
		w.Report.MaxUncounted = max(w.Report.MaxUncounted, excluded)
	}
	for i := range plans {
		limit := 0.0
		for v := max(1, w.log.Settled); v <= w.log.Version; v++ {
			limit = max(limit, w.versions[v].ceilings[i])
		}
		if sum[i] > limit*(1+1e-9) {
			w.Fault("plan %d: the followers' ceilings add up to %v, but the limit is %v, the maximum of versions %d to %d",
				i, sum[i], limit, w.log.Settled, w.log.Version)
		}
	}
}

// checkPropagation removes the pending versions that all running followers have, and checks the timeout.
func (w *World) checkPropagation() {
	if len(w.pending) == 0 || w.activeFaults > 0 {
		return
	}
	minVersion := w.log.Version
	for _, f := range w.followers {
		if f.protocol == nil {
			continue
		}
		// A follower that was away when an unusable version came into force elsewhere reports that it refuses it.
		if r := f.protocol.Refused(); r != nil && f.refusesUnusable && w.versions[r.Version].unusable {
			continue
		}
		minVersion = min(minVersion, f.activeVersion)
	}
	w.pending = slices.DeleteFunc(w.pending, func(p pending) bool {
		took := w.Now() - max(p.since, w.lastFaultEnd)
		if minVersion < p.version {
			if took > PropagationTimeout {
				w.Fault("version %d is not in force everywhere %v after its commit or the last fault's end: %s",
					p.version, took, w.describeBehind(p.version))
				return true
			}
			return false
		}
		if p.disturbed {
			w.Report.DisturbedTimes = append(w.Report.DisturbedTimes, took)
		} else {
			w.Report.UndisturbedTimes = append(w.Report.UndisturbedTimes, took)
		}
		return true
	})
}

func (w *World) describeBehind(v uint64) (s string) {
	n := 0
	for _, f := range w.followers {
		if f.protocol != nil && f.activeVersion < v {
			if n++; n <= 5 {
				s += fmt.Sprintf("%s (%d) ", f.name, f.activeVersion)
			}
		}
	}
	return fmt.Sprintf("%d followers are behind: %s", n, s)
}

// Run runs a scenario. tell, if not nil, is called with a line for each event.
func Run(s Scenario, tell func(time.Duration, string)) Report {
	w := &World{Scenario: s, rng: rand.New(rand.NewPCG(s.Seed, 43)),
		cut: map[int]func(from, to endpoint) bool{}, log: distribution.NewCatalog(),
		versions: []version{{hash: distribution.Set{}.Sum()}}, requests: map[string]int{}}
	w.Recorder = virtualtime.NewRecorder(&w.Scheduler, tell)
	for i := range 3 {
		w.coordinators = append(w.coordinators, newCoordinator(w, uint64(i+1), i/2))
	}
	for i := range s.Followers {
		f := &follower{w: w, id: i, name: fmt.Sprintf("n%03d", i), region: i % 2, zone: i % 5, rate: w.drawRate(),
			refusesUnusable: w.rng.IntN(20) == 0}
		w.followers = append(w.followers, f)
	}
	for _, c := range w.coordinators {
		c.start()
	}
	for _, f := range w.followers {
		w.At(w.between(0, time.Second), f.start)
	}
	w.plan()
	var sample func()
	sample = func() {
		w.checkPropagation()
		w.After(tick, sample)
	}
	sample()
	for len(w.Faults()) < virtualtime.MaxFaults {
		event, more := w.Next(w.End)
		if !more {
			break
		}
		w.Report.Events++
		event.Do()
	}
	if w.Report.Versions < 3 {
		w.Fault("%d versions are too few for a meaningful test", w.Report.Versions)
	}
	w.Report.Faults = w.Faults()
	return w.Report
}

// flipBit returns the resource with one bit flipped.
func (w *World) flipBit(r distribution.Resource) distribution.Resource {
	data := slices.Clone(r.Data)
	// Flips a bit of a digit, so that the data still parses.
	for i := len(data) - 1; i >= 0; i-- {
		if data[i] >= '2' && data[i] <= '7' {
			data[i] ^= 1
			break
		}
	}
	r.Data = data
	return r
}

// corrupt returns the reply with one resource altered or missing.
func (w *World) corrupt(r distribution.Reply) distribution.Reply {
	change := func(list []distribution.Resource) []distribution.Resource {
		if len(list) == 0 {
			return list
		}
		list = slices.Clone(list)
		i := w.rng.IntN(len(list))
		if w.rng.IntN(2) == 0 {
			return slices.Delete(list, i, i+1)
		}
		list[i] = w.flipBit(list[i])
		return list
	}
	if r.State != nil {
		s := *r.State
		s.Resources = change(s.Resources)
		r.State = &s
	}
	if r.Difference != nil {
		d := *r.Difference
		d.Set = change(d.Set)
		r.Difference = &d
	}
	return r
}
