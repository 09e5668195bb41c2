// Package distsim plays the distribution of configuration in virtual time, under
// faults, and checks it from the world's own truth.
//
// The coordinators are the real raft library with a distribution.Catalog and, at the
// leader, a distribution.Publisher; the followers are distribution.Follower. Links,
// disks and operators are models. A seed gives the same run again.
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

// end is one of a link: a coordinator by its number, or a follower from 1000 on.
type end struct{ region, id int }

// version is one as the log has it.
type version struct {
	hash     distribution.Hash
	ceilings [plans]float64
	bad      bool // some can't use it
	at       time.Duration
	halted   time.Duration // 0: it is not
}

// pending is a version that is not in force at all who run yet.
type pending struct {
	version   uint64
	since     time.Duration
	disturbed bool // by a fault since it was committed
}

// World is one run.
type World struct {
	Scenario
	virtualtime.Scheduler
	virtualtime.Recorder
	rng *rand.Rand

	coordinators []*coordinator
	followers    []*follower
	cut          map[int]func(from, to end) bool // by their number
	cuts         int
	loss         float64
	mixed        float64 // share of replies that a proxy mixes up
	active       int     // faults that are on
	quiet        time.Duration

	log         *distribution.Catalog // as the majority has it
	logIndex    uint64
	versions    []version
	mostSettled uint64
	requests    map[string]int // versions that each made
	pending     []pending
	Report      Report
}

// Report tells what came of a run.
type Report struct {
	Faults                                                                                        []string
	Events                                                                                        uint64
	Polls, Applied, RejectedReplies, Versions, Leaders, Halts, Settles, Conflicts, InjectedFaults int
	MaxUncounted                                                                                  int             // most followers that were not counted at once
	UndisturbedTimes, DisturbedTimes                                                              []time.Duration // commit, or a fault's end, to in force at the last one
}

// Add adds the counts of another run, and its times.
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
		panic(err) // of the model, and not of what it checks
	}
}

func (w *World) drawRate() float64 { return 1 + 0.01*(2*w.rng.Float64()-1) }

func (w *World) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.rng.Int64N(int64(b-a)))
}

func (w *World) severed(from, to end) bool {
	for _, cut := range w.cut {
		if cut(from, to) {
			return true
		}
	}
	return false
}

// carry delivers something from an end to another: late, twice or not at all.
func (w *World) carry(from, to end, do func()) {
	if w.severed(from, to) || w.loss > 0 && w.rng.Float64() < w.loss {
		return
	}
	least := 1.0
	if from.region != to.region {
		least = 10
	}
	d := time.Duration((least + w.rng.ExpFloat64()*2) * float64(time.Millisecond))
	arrive := func() {
		if !w.severed(from, to) {
			do()
		}
	}
	if w.loss > 0 && w.rng.IntN(20) == 0 { // again, and overtaken
		w.After(w.between(d, 6*time.Second), arrive)
	}
	w.After(d, arrive)
}

// leader is who leads in the highest term; nil for nobody.
func (w *World) leader() (lead *coordinator) {
	for _, c := range w.coordinators {
		if c.pub != nil && (lead == nil || c.term > lead.term) {
			lead = c
		}
	}
	return lead
}

// committed takes an entry when the first coordinator learns that a majority has it.
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
			w.Fault("a change from version %d makes version %d of %d (%v)", base, v, was, err)
		}
		if w.requests[e.Request]++; w.requests[e.Request] > 1 {
			w.Fault("request %s counts twice", e.Request)
		}
		next := version{hash: w.log.Set().Sum(), at: w.Now()}
		_, next.bad = w.log.Set()[bad]
		for i := range plans {
			p, err := w.log.Set()[planKey(i)].Plan()
			w.must(err)
			next.ceilings[i] = p.CeilingRate
		}
		w.versions = append(w.versions, next)
		w.pending = append(w.pending, pending{v, w.Now(), w.active > 0})
		w.Report.Versions++
		w.Note("version %d is committed, by %s", v, e.Request)
	}
	if w.log.Halt != nil && w.versions[w.log.Version].halted == 0 {
		w.versions[w.log.Version].halted = w.Now()
		w.Report.Halts++
		w.Note("%v", w.log.Halt)
		// It is not to be in force anywhere else.
		w.pending = slices.DeleteFunc(w.pending, func(p pending) bool { return p.version == w.log.Version })
	}
	if e.Settle > 0 && w.log.Settled == e.Settle {
		w.Report.Settles++
		w.Note("version %d has settled", e.Settle)
	}
	w.mostSettled = max(w.mostSettled, w.log.Settled)
	w.ceilings()
}

// given checks a reply when it goes out.
func (w *World) given(c *coordinator, f *follower, r distribution.Reply) {
	v := uint64(0)
	if r.State != nil {
		v = r.State.Version
	} else if r.Difference != nil {
		v = r.Difference.Version
	}
	if v == 0 || v > w.log.Version || f.used >= v {
		return
	}
	slack := time.Duration(0) // a leader that is deposed may not know it for so long
	if w.leader() != c {
		slack = time.Duration(1.02 * float64(w.Timing.MaxStaleness))
	}
	if h := w.versions[v].halted; h > 0 && w.Now() > h+slack && f.disk.kept() != nil && f.disk.version < v {
		w.Fault("%s is given version %d, which was halted at %.3f s", f.name, v, h.Seconds())
	}
}

// ceilings checks that all that count keep each plan's ceiling together, each its part.
func (w *World) ceilings() {
	if w.log.Version == 0 {
		return
	}
	apart := 0
	var sum [plans]float64
	for _, f := range w.followers {
		if f.apart() {
			apart++
			continue
		}
		for i, c := range f.ceilings {
			sum[i] += c / float64(len(w.followers))
		}
	}
	if w.log.Settled > 0 {
		w.Report.MaxUncounted = max(w.Report.MaxUncounted, apart)
	}
	for i := range plans {
		most := 0.0
		for v := max(1, w.log.Settled); v <= w.log.Version; v++ {
			most = max(most, w.versions[v].ceilings[i])
		}
		if sum[i] > most*(1+1e-9) {
			w.Fault("plan %d: all together %v, and %v is the most of versions %d to %d", i, sum[i], most, w.log.Settled, w.log.Version)
		}
	}
}

// reached looks which versions are in force at all who run.
func (w *World) reached() {
	if len(w.pending) == 0 || w.active > 0 {
		return
	}
	least := w.log.Version
	for _, f := range w.followers {
		if f.f == nil {
			continue
		}
		// One that can't use a version that is in force elsewhere, as it was away when that came, tells so.
		if r := f.f.Refused(); r != nil && f.refuses && w.versions[r.Version].bad {
			continue
		}
		least = min(least, f.used)
	}
	w.pending = slices.DeleteFunc(w.pending, func(p pending) bool {
		took := w.Now() - max(p.since, w.quiet)
		if least < p.version {
			if took > Within {
				w.Fault("version %d is not in force everywhere %v after its commit or the last fault's end: %s", p.version, took, w.behind(p.version))
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

func (w *World) behind(v uint64) (s string) {
	n := 0
	for _, f := range w.followers {
		if f.f != nil && f.used < v {
			if n++; n <= 5 {
				s += fmt.Sprintf("%s (%d) ", f.name, f.used)
			}
		}
	}
	return fmt.Sprintf("%d are behind, %s", n, s)
}

// Run plays a scenario. tell gets a line for each thing that happens; nil for none.
func Run(s Scenario, tell func(time.Duration, string)) Report {
	w := &World{Scenario: s, rng: rand.New(rand.NewPCG(s.Seed, 43)), cut: map[int]func(from, to end) bool{}, log: distribution.NewCatalog(),
		versions: []version{{hash: distribution.Set{}.Sum()}}, requests: map[string]int{}}
	w.Recorder = virtualtime.NewRecorder(&w.Scheduler, tell)
	for i := range 3 {
		w.coordinators = append(w.coordinators, newCoordinator(w, uint64(i+1), i/2))
	}
	for i := range s.Followers {
		f := &follower{w: w, id: i, name: fmt.Sprintf("n%03d", i), region: i % 2, zone: i % 5, rate: w.drawRate(), refuses: w.rng.IntN(20) == 0}
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
		w.reached()
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
		w.Fault("%d versions: too little to show anything", w.Report.Versions)
	}
	w.Report.Faults = w.Faults()
	return w.Report
}

// turned is a resource with one bit turned.
func (w *World) turned(r distribution.Resource) distribution.Resource {
	data := slices.Clone(r.Data)
	// Of a digit, so that it still reads.
	for i := len(data) - 1; i >= 0; i-- {
		if data[i] >= '2' && data[i] <= '7' {
			data[i] ^= 1
			break
		}
	}
	r.Data = data
	return r
}

// garble is a reply of which a resource came out wrong, or is missing.
func (w *World) garble(r distribution.Reply) distribution.Reply {
	change := func(list []distribution.Resource) []distribution.Resource {
		if len(list) == 0 {
			return list
		}
		list = slices.Clone(list)
		i := w.rng.IntN(len(list))
		if w.rng.IntN(2) == 0 {
			return slices.Delete(list, i, i+1)
		}
		list[i] = w.turned(list[i])
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
