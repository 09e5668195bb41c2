package distribution

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"
)

// testLog applies entries to one catalog, for tests that proceed event by event.
type testLog struct {
	t       *testing.T
	catalog *Catalog
	index   uint64
}

func newTestLog(t *testing.T) *testLog { return &testLog{t: t, catalog: NewCatalog()} }

func (g *testLog) apply(e Entry) error { g.index++; return g.catalog.Apply(g.index, e) }

func (g *testLog) mustApply(e Entry) {
	g.t.Helper()
	if err := g.apply(e); err != nil {
		g.t.Fatal(err)
	}
}

// pushOf returns the entry that sets resources on top of the newest version.
func (g *testLog) pushOf(set ...Resource) Entry {
	return Entry{Push: &Push{Base: g.catalog.Version, Set: set, Hash: g.catalog.Set().with(set, nil).Sum()}}
}

func (g *testLog) push(rate float64) { g.t.Helper(); g.mustApply(g.pushOf(planOf(g.t, "gold", rate))) }

// newPublisher begins a term, with the named followers in the log.
func (g *testLog) newPublisher(now time.Duration, names ...string) *Publisher {
	g.t.Helper()
	for _, n := range names {
		g.mustApply(Entry{Join: &Join{map[string]string{n: "r"}}})
	}
	timing := DefaultTiming()
	timing.MaxStaleness = 0 // covered by a test of its own
	return NewPublisher(timing, g.catalog, now)
}

func (g *testLog) newFollower(name string, stored *StoredConfig) *Follower {
	g.t.Helper()
	f, err := NewFollower(FollowerConfig{Name: name, Region: "r", Incarnation: 1, Coordinators: 3,
		PollTimeout: DefaultPollTimeout}, stored, 1, 0)
	if err != nil {
		g.t.Fatal(err)
	}
	return f
}

// nextPoll returns the next poll of a follower, which must be due.
func nextPoll(t *testing.T, follower *Follower, now time.Duration) Poll {
	t.Helper()
	a := follower.Tick(now)
	if a == nil {
		t.Fatal("no poll is due")
	}
	return a.Poll
}

// exchangePoll sends the next poll of a follower, delivers the reply, and stores and activates it.
func exchangePoll(t *testing.T, follower *Follower, publisher *Publisher, now time.Duration) (Reply, error) {
	t.Helper()
	q := nextPoll(t, follower, now)
	r, held, err := publisher.Poll(now, q)
	if err != nil {
		t.Fatal(err)
	}
	if held {
		_, _ = follower.Replied(now, q.Number, Reply{})
		return r, nil
	}
	return r, deliver(follower, now, q.Number, r)
}

// mustExchangePoll is exchangePoll where the follower must accept the reply.
func mustExchangePoll(t *testing.T, follower *Follower, publisher *Publisher, now time.Duration) {
	t.Helper()
	if _, err := exchangePoll(t, follower, publisher, now); err != nil {
		t.Fatalf("at %v: %v", now, err)
	}
}

// deliver hands a reply to a follower, and stores and activates what comes of it.
func deliver(follower *Follower, now time.Duration, number uint64, reply Reply) error {
	save, err := follower.Replied(now, number, reply)
	if save != nil {
		follower.Saved(now, nil)
		follower.Activated(now)
	}
	return err
}

func storedConfigOf(c *Catalog) *StoredConfig {
	return &StoredConfig{State: State{c.Version, c.Hash, c.Resources}, Settled: c.Settled}
}

func goldRate(t *testing.T, u *ActiveConfig) float64 {
	t.Helper()
	p, err := u.Plan(KeyOf(KindPlan, "gold"))
	if err != nil {
		t.Fatal(err)
	}
	return p.CeilingRate
}

// isError reports whether an error is of type E.
func isError[E error](err error) bool { var e E; return errors.As(err, &e) }

// A difference that is late, repeated, for another base or of wrong content must not be applied:
// the follower would have a state that no version has.
func TestDifferenceAppliesOnceAndToItsBaseOnly(t *testing.T) {
	log := newTestLog(t)
	publisher := log.newPublisher(0, "a")
	log.push(1)
	follower := log.newFollower("a", nil)
	mustExchangePoll(t, follower, publisher, 0)
	log.push(2)
	q := nextPoll(t, follower, time.Second)
	r2, _, _ := publisher.Poll(time.Second, q)
	if r2.Difference == nil || r2.Difference.Base != 1 {
		t.Fatalf("%+v, want the difference from 1", r2)
	}
	// Lost: the next poll gets it again, and the late reply is ignored.
	follower.Failed(2*time.Second, q.Number, -1)
	q3 := nextPoll(t, follower, 4*time.Second)
	if err := deliver(follower, 4*time.Second, q.Number, r2); err != nil || follower.Active().Version != 1 {
		t.Fatalf("a reply to a timed-out poll is accepted: %v, version %d", err, follower.Active().Version)
	}
	r3, _, _ := publisher.Poll(4*time.Second, q3)
	if err := deliver(follower, 4*time.Second, q3.Number, r3); err != nil || follower.Active().Version != 2 {
		t.Fatal(err, follower.Active().Version)
	}
	// Repeated to another poll: it is for another base.
	log.push(3)
	q4 := nextPoll(t, follower, 5*time.Second)
	if err := deliver(follower, 5*time.Second, q4.Number, r2); !isError[*WrongBase](err) || follower.Active().Version != 2 {
		t.Fatalf("%v, version %d", err, follower.Active().Version)
	}
	// For the same base version with another hash.
	q5 := nextPoll(t, follower, 6*time.Second)
	r5, _, _ := publisher.Poll(6*time.Second, q5)
	other := *r5.Difference
	other.BaseHash[0] ^= 1
	if err := deliver(follower, 6*time.Second, q5.Number, Reply{Difference: &other}); !isError[*WrongBase](err) {
		t.Fatal(err)
	}
	// With content that does not match its hash: the full state is requested.
	q6 := nextPoll(t, follower, 7*time.Second)
	other = *r5.Difference
	other.Set = []Resource{planOf(t, "gold", 9)}
	if err := deliver(follower, 7*time.Second, q6.Number, Reply{Difference: &other}); !isError[*WrongHash](err) ||
		follower.Active().Version != 2 || goldRate(t, follower.Active()) > 2 {
		t.Fatal(err)
	}
	if r, err := exchangePoll(t, follower, publisher, 8*time.Second); err != nil || r.State == nil || follower.Active().Version != 3 {
		t.Fatalf("%v; %+v; version %d", err, r, follower.Active().Version)
	}
}

// A full state that is older than the active one, or does not match its hash, must be rejected.
func TestFullStateIsVerifiedAndNeverOlder(t *testing.T) {
	log := newTestLog(t)
	log.push(1)
	old := storedConfigOf(log.catalog).State
	log.push(2)
	follower := log.newFollower("a", storedConfigOf(log.catalog))
	if err := deliver(follower, 0, nextPoll(t, follower, 0).Number, Reply{State: &old, Settled: 1}); err != nil ||
		follower.Active().Version != 2 {
		t.Fatalf("the follower goes back to version %d (%v)", follower.Active().Version, err)
	}
	follower = log.newFollower("b", nil)
	bad := old
	bad.Resources = []Resource{planOf(t, "gold", 7)}
	if err := deliver(follower, 0, nextPoll(t, follower, 0).Number, Reply{State: &bad}); !isError[*WrongHash](err) ||
		follower.Active().Version != 0 {
		t.Fatal(err, follower.Active().Version)
	}
}

// A deposed leader still sends versions and settled versions that are older than a follower's. The
// follower must not go back, or it would apply a raised ceiling that has not settled.
func TestDeposedPublisherDoesNotRevertFollowers(t *testing.T) {
	g, stale := newTestLog(t), newTestLog(t)
	for _, rate := range []float64{200, 50, 200} {
		g.push(rate)
		stale.push(rate)
	}
	publisher := g.newPublisher(0, "a")
	g.mustApply(Entry{Settle: 2})
	stale.mustApply(Entry{Settle: 1})
	before := stale.newPublisher(0, "a")
	set, _ := g.catalog.At(2)
	hash, _ := g.catalog.hashAt(2)
	follower := g.newFollower("a", &StoredConfig{State: State{2, hash, set.List()}, Settled: 2})
	// To version 3 from the publisher that has not settled 2: the ceiling of 2 still applies.
	if _, err := exchangePoll(t, follower, before, time.Second); err != nil || follower.Active().Version != 3 ||
		follower.Active().Settled != 2 || goldRate(t, follower.Active()) != 50 {
		t.Fatalf("%v; version %d, settled %d, %v", err, follower.Active().Version, follower.Active().Settled, goldRate(t, follower.Active()))
	}
	g.push(300)
	mustExchangePoll(t, follower, publisher, 2*time.Second)
	if _, err := exchangePoll(t, follower, before, 3*time.Second); err != nil || follower.Active().Version != 4 {
		t.Fatalf("%v, version %d", err, follower.Active().Version)
	}
}

// A publisher whose leadership is no longer confirmed must send nothing: it may be deposed and its
// log stale. It holds the polls of its followers.
func TestUnconfirmedPublisherSendsNothing(t *testing.T) {
	log := newTestLog(t)
	log.newPublisher(0, "a")
	log.push(1)
	publisher := NewPublisher(DefaultTiming(), log.catalog, 0)
	follower := log.newFollower("a", nil)
	publisher.LeadershipConfirmed(0)
	for now := time.Duration(0); now <= 6*time.Second; now += time.Second {
		publisher.Tick(now)
	}
	publisher.LeadershipConfirmed(3 * time.Second) // confirmed too long ago
	q := nextPoll(t, follower, 6*time.Second)
	if r, held, _ := publisher.Poll(6*time.Second, q); !held {
		t.Fatalf("%+v is sent", r)
	}
	publisher.LeadershipConfirmed(6 * time.Second)
	if a := publisher.Due(6 * time.Second); len(a) != 1 || a[0].Reply.Difference == nil {
		t.Fatalf("%+v, want the difference from version 0", a)
	}
}

// A delayed or repeated poll reports outdated state, and a corrupt one a version that the follower
// does not have: neither may let a version settle or halt.
func TestDelayedAndRepeatedPollsAreRejected(t *testing.T) {
	log := newTestLog(t)
	publisher := log.newPublisher(0, "a")
	log.push(1)
	log.push(2)
	h1, _ := log.catalog.hashAt(1)
	at := func(life, number, version uint64) Poll {
		q := Poll{Follower: "a", Region: "r", Incarnation: life, Number: number, Version: version, Settled: 0}
		q.Hash, _ = log.catalog.hashAt(version)
		return q
	}
	poll := func(now time.Duration, q Poll) error { _, _, err := publisher.Poll(now, q); return err }
	if err := poll(0, at(2, 5, 1)); err != nil {
		t.Fatal(err)
	}
	for _, q := range []Poll{at(2, 5, 2), at(2, 4, 2), at(1, 99, 2)} {
		if err := poll(time.Millisecond, q); !isError[*BadPoll](err) {
			t.Errorf("incarnation %d, poll %d: %v", q.Incarnation, q.Number, err)
		}
	}
	if to := publisher.oldestActive(); to != 1 {
		t.Errorf("version %d settles after a delayed poll, want 1", to)
	}
	// A repeated poll of one incarnation is always rejected; an older incarnation is accepted once
	// the lease has expired.
	if err := poll(time.Minute, at(2, 5, 2)); !isError[*BadPoll](err) {
		t.Error(err)
	}
	if err := poll(time.Minute, at(1, 1, 2)); err != nil {
		t.Error(err)
	}
	// A follower that reports a version it never got blocks settling: with another hash it gets the
	// full state, with a version ahead of the log it is shown as ahead.
	q := at(3, 1, 2)
	q.Hash = h1
	if r, _, err := publisher.Poll(time.Minute+time.Second, q); err != nil || r.State == nil || publisher.oldestActive() != 0 {
		t.Errorf("%+v, %v, settles %d", r, err, publisher.oldestActive())
	}
	if r, _, err := publisher.Poll(time.Minute+2*time.Second, at(3, 2, 9)); err != nil || !r.empty() || publisher.oldestActive() != 0 {
		t.Errorf("%+v, %v, settles %d", r, err, publisher.oldestActive())
	}
	if s := publisher.Status(time.Minute + 2*time.Second).Followers[0]; s.Sync != SyncAhead {
		t.Errorf("%+v", s)
	}
	// A refusal can't halt version 0, or any other than the newest.
	for i, v := range []uint64{0, 1, 9} {
		bad := at(4, uint64(i+1), 1)
		bad.Refused = &Halted{Version: v}
		_ = poll(time.Minute+3*time.Second, bad) // whether this is accepted or not, no version may be halted
		for _, e := range publisher.Tick(time.Minute + 3*time.Second) {
			if e.Halt != nil {
				t.Errorf("a refusal of version %d halts it", v)
			}
		}
	}
}

// A restarted follower must get exactly what its stored configuration lacks, and the full state if
// that is damaged.
func TestFollowerStartsFromStoredConfig(t *testing.T) {
	log := newTestLog(t)
	publisher := log.newPublisher(0, "a")
	for i := range maxHistory { // so that version 0 is too old for a difference
		log.push(float64(1000 + i))
		log.mustApply(Entry{Settle: log.catalog.Version})
	}
	log.push(1)
	log.mustApply(Entry{Settle: log.catalog.Version})
	stale := storedConfigOf(log.catalog)
	log.push(2)
	good := storedConfigOf(log.catalog)
	turned := storedConfigOf(log.catalog)
	data := append([]byte(nil), turned.Resources[0].Data...)
	data[len(data)-3] ^= 1
	turned.Resources = []Resource{{Key: turned.Resources[0].Key, Data: data}}
	for _, c := range []struct {
		name    string
		stored  *StoredConfig
		version uint64
		damaged bool
		want    string
	}{{"empty", nil, 0, false, "state"}, {"stale", stale, maxHistory + 1, false, "difference"},
		{"newest", good, maxHistory + 2, false, "nothing"}, {"one bit turned", turned, 0, true, "state"}} {
		f, err := NewFollower(FollowerConfig{Name: "a", Incarnation: 1, Coordinators: 3, PollTimeout: DefaultPollTimeout}, c.stored, 1, 0)
		if isError[*StateDamaged](err) != c.damaged || f.Active().Version != c.version {
			t.Errorf("%s: %v, version %d", c.name, err, f.Active().Version)
		}
		publisher.followers = map[string]*followerState{}
		r, err := exchangePoll(t, f, publisher, 0)
		got := "nothing"
		if r.State != nil {
			got = "state"
		} else if r.Difference != nil {
			got = "difference"
		}
		if err != nil || got != c.want || f.Active().Version != maxHistory+2 {
			t.Errorf("%s: %s, version %d, %v", c.name, got, f.Active().Version, err)
		}
	}
}

// makeRoutes returns n routes with data of about the given size each, and their service.
func makeRoutes(t *testing.T, n, bytes, percent int) []Resource {
	t.Helper()
	data, err := Encode(Service{Owner: "o"})
	if err != nil {
		t.Fatal(err)
	}
	all := []Resource{{Key: KeyOf(KindService, "s"), Data: data}}
	for i := range n {
		data, err := Encode(Route{Service: "s", Prefix: fmt.Sprintf("%0*d", bytes-40, i), Percent: percent})
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, Resource{Key: KeyOf(KindRoute, fmt.Sprint("r", i)), Data: data})
	}
	return all
}

// The largest version that is allowed must be delivered. A larger one must be rejected, whether it
// is pushed at once or step by step, or it would fill the log and the disks.
func TestSizeLimits(t *testing.T) {
	log := newTestLog(t)
	publisher := log.newPublisher(0, "a")
	big := log.pushOf(makeRoutes(t, 2200, 900, 0)...) // 2 MB
	if err := big.Check(); err != nil {
		t.Fatal(err)
	}
	log.mustApply(big)
	follower := log.newFollower("a", nil)
	for now := time.Duration(0); follower.Active().Version != 1; now += 100 * time.Millisecond {
		if now > 3*time.Second {
			t.Fatal("2 MB are not delivered within 3 s")
		}
		if _, due := follower.Next(); due {
			if follower.Tick(now) == nil {
				continue
			}
			r, held, err := publisher.Poll(now, follower.poll)
			if err != nil || held {
				t.Fatal(err, held)
			}
			if err := deliver(follower, now, follower.poll.Number, r); err != nil {
				t.Fatal(err)
			}
		}
	}
	// All of them change at once.
	log.mustApply(log.pushOf(makeRoutes(t, 2200, 900, 50)...))
	if d, err := exchangePoll(t, follower, publisher, 10*time.Second); err != nil || d.Difference == nil ||
		len(d.Difference.Set) != 2200 || follower.Active().Version != 2 {
		t.Fatal(err, follower.Active().Version)
	}
	if follower.Active().Set.Sum() != log.catalog.Hash {
		t.Error("the active set has another hash")
	}
	// 100 MB are rejected both before and within the log.
	huge := Entry{Push: &Push{Base: 2}}
	for i := range 6400 {
		huge.Push.Set = append(huge.Push.Set, Resource{Key: KeyOf(KindLimit, fmt.Sprint(i)), Data: make([]byte, 16<<10)})
	}
	if err := huge.Check(); !isError[*TooLarge](err) {
		t.Error(err)
	}
	if err := log.apply(huge); !isError[*TooLarge](err) || log.catalog.Version != 2 {
		t.Error(err, log.catalog.Version)
	}
	// So is a push that exceeds the limit together with the resources before.
	more := makeRoutes(t, 1400, 900, 0)[1:]
	for i := range more {
		more[i].Key = KeyOf(KindRoute, fmt.Sprint("more", i))
	}
	if err := log.apply(log.pushOf(more...)); !isError[*TooLarge](err) || log.catalog.Version != 2 {
		t.Error(err, log.catalog.Version)
	}
}

// Large replies to many followers must keep to the rate limit. A follower that waits for one must
// keep its lease, or versions would settle without it.
func TestLargeRepliesAreRateLimited(t *testing.T) {
	log := newTestLog(t)
	const n = 96
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("n", i))
	}
	publisher := log.newPublisher(0, names...)
	publisher.timing.Rate, publisher.timing.Burst = 1<<20, 1<<20
	log.mustApply(log.pushOf(makeRoutes(t, 200, 200, 0)...))
	size := float64(publisher.state().size())
	var all []*Follower
	for _, name := range names {
		all = append(all, log.newFollower(name, nil))
	}
	sent := 0
	for now := time.Duration(0); now < 12*time.Second; now += 20 * time.Millisecond {
		for _, f := range all {
			a := f.Tick(now)
			if a == nil {
				continue
			}
			r, held, err := publisher.Poll(now, a.Poll)
			if err != nil {
				t.Fatal(err)
			}
			if held {
				f.Failed(now, a.Poll.Number, -1)
				continue
			}
			if r.State != nil || r.Difference != nil { // from version 0 a difference is as large as the state
				sent++
			}
			if err := deliver(f, now, a.Poll.Number, r); err != nil {
				t.Fatal(err)
			}
		}
		if most := publisher.timing.Burst + publisher.timing.Rate*now.Seconds() + size; float64(sent)*size > most {
			t.Fatalf("%d states of %v bytes by %v, want %v bytes at most", sent, size, now, most)
		}
		for _, f := range publisher.Status(now).Followers {
			if f.Sync == SyncSilent {
				t.Fatalf("%s waits and its lease expires at %v", f.Name, now)
			}
		}
	}
	if sent != n {
		t.Errorf("%d states were sent, want one to each of %d", sent, n)
	}
}

// Two operators that change the same version must not overwrite each other, and a request that is
// sent twice must be applied once and get the same answer, also from a restored catalog.
func TestConflictingAndRepeatedRequests(t *testing.T) {
	log := newTestLog(t)
	first, second := log.pushOf(planOf(t, "gold", 1)), log.pushOf(planOf(t, "gold", 2))
	first.Request, first.By, second.Request, second.By = "q1", "ann", "q2", "bob"
	log.mustApply(first)
	var conflict *Conflict
	if err := log.apply(second); !errors.As(err, &conflict) || conflict.By != "ann" || conflict.Version != 1 {
		t.Fatal(err)
	}
	// Repeated, also with a restored catalog: the same answers, and nothing is applied twice.
	data, err := json.Marshal(log.catalog)
	if err != nil {
		t.Fatal(err)
	}
	again := NewCatalog()
	if err := json.Unmarshal(data, again); err != nil {
		t.Fatal(err)
	}
	if err := again.Verify(); err != nil {
		t.Fatal(err)
	}
	for _, c := range []*Catalog{log.catalog, again} {
		if err := c.Apply(log.index+1, first); err != nil || c.Version != 1 {
			t.Error(err, c.Version)
		}
		if err := c.Apply(log.index+2, second); !reflect.DeepEqual(err, error(conflict)) || c.Version != 1 {
			t.Error(err, c.Version)
		}
		if err := c.Apply(log.index+2, first); err != nil || c.Version != 1 { // an index that was applied already
			t.Error(err)
		}
	}
	log.index += 2
	wrong := log.pushOf(planOf(t, "gold", 3))
	wrong.Push.Hash[0] ^= 1
	if err := log.apply(wrong); !isError[*WrongHash](err) {
		t.Error(err)
	}
	if err := log.apply(log.pushOf(planOf(t, "gold", 1))); !isError[*NothingChanged](err) {
		t.Error(err)
	}
	if err := log.apply(Entry{Rollback: &Rollback{Base: 1, To: 7}}); !isError[*NoSuchVersion](err) {
		t.Error(err)
	}
}

// 440 changes within a minute must reach a slow follower as merged differences, one in flight at a
// time. The history must stay bounded, and pushes be rejected while no version settles.
func TestManyChangesAreMerged(t *testing.T) {
	log := newTestLog(t)
	publisher := log.newPublisher(0, "a")
	follower := log.newFollower("a", nil)
	replies, out, due := 0, false, time.Duration(0)
	var q Poll
	for i := range 440 {
		now := time.Duration(i) * time.Minute / 440
		log.push(float64(i + 1))
		if !out {
			if a := follower.Tick(now); a != nil {
				q = a.Poll
				if _, held, err := publisher.Poll(now, q); err != nil || held {
					t.Fatal(err, held)
				}
				out, due = true, now+time.Second // the reply takes a second
			}
			continue
		}
		if now >= due {
			r := publisher.nextReply(publisher.followers["a"])
			if err := deliver(follower, now, q.Number, r); err != nil {
				t.Fatal(err)
			}
			replies, out = replies+1, false
		}
	}
	if replies < 30 || replies > 60 {
		t.Errorf("%d replies for 440 changes, want about one per second", replies)
	}
	if follower.Active().Version < 420 {
		t.Errorf("version %d after 440 changes, want 420 or more", follower.Active().Version)
	}
	if n := len(log.catalog.History); n != 440 || log.catalog.Oldest() != 0 {
		t.Errorf("%d versions are kept while none has settled, want all 440", n)
	}
	var err error
	for i := 0; err == nil; i++ {
		err = log.apply(log.pushOf(planOf(t, "gold", 1000+float64(i))))
	}
	if !isError[*Unsettled](err) || log.catalog.Version != maxHistory {
		t.Errorf("%v at version %d", err, log.catalog.Version)
	}
	log.mustApply(Entry{Settle: log.catalog.Version})
	log.push(1)
	log.mustApply(Entry{Settle: log.catalog.Version})
	if n := len(log.catalog.History); n != maxHistory {
		t.Errorf("%d versions are kept, want %d", n, maxHistory)
	}
	// A follower with a version older than the history gets the full state.
	if r, _, err := publisher.Poll(2*time.Minute, Poll{Follower: "a", Incarnation: 2, Number: 1,
		Version: log.catalog.Oldest() - 1}); err != nil || r.State == nil {
		t.Errorf("%+v, %v", r, err)
	}
}

// A version that one follower refuses must be sent to no further follower. Those that use it keep
// it, all others stay at the version before, until a later version replaces it.
func TestRefusedVersionIsHaltedForFollowersNotUsingIt(t *testing.T) {
	log := newTestLog(t)
	publisher := log.newPublisher(0, "begun", "refuses", "other", "empty")
	log.push(100)
	active, refusing, other := log.newFollower("begun", nil), log.newFollower("refuses", nil), log.newFollower("other", nil)
	refusing.cfg.Check = func(changed []Resource) error {
		for _, r := range changed {
			if plan, err := r.Plan(); err == nil && plan.CeilingRate == 666 {
				return &Refused{Key: r.Key, Why: "not here"}
			}
		}
		return nil
	}
	for _, f := range []*Follower{active, refusing, other} {
		mustExchangePoll(t, f, publisher, 0)
	}
	bad := planOf(t, "gold", 666)
	bad.Line = 17
	log.mustApply(log.pushOf(bad))
	mustExchangePoll(t, active, publisher, time.Second)
	var halted *Halted
	if _, err := exchangePoll(t, refusing, publisher, time.Second); !errors.As(err, &halted) ||
		halted.Refused.Line != 17 || refusing.Active().Version != 1 {
		t.Fatal(err)
	}
	now := 1200 * time.Millisecond
	mustExchangePoll(t, refusing, publisher, now) // reports the refusal
	for _, e := range publisher.Tick(now) {
		if e.Settle > 0 {
			t.Errorf("version %d settles", e.Settle)
		}
		log.mustApply(e)
	}
	if log.catalog.Halt == nil || log.catalog.Halt.Refused.Line != 17 || log.catalog.Halt.Follower != "refuses" ||
		!strings.Contains(log.catalog.Halt.Error(), "line 17") {
		t.Fatalf("%+v", log.catalog.Halt)
	}
	mustExchangePoll(t, other, publisher, now)
	empty := log.newFollower("empty", nil) // restarted without stored configuration
	mustExchangePoll(t, empty, publisher, now)
	if active.Active().Version != 2 || other.Active().Version != 1 || empty.Active().Version != 1 {
		t.Errorf("begun %d, other %d, empty %d", active.Active().Version, other.Active().Version, empty.Active().Version)
	}
	for _, f := range []*Follower{active, refusing, other, empty} {
		mustExchangePoll(t, f, publisher, 1500*time.Millisecond)
	}
	// A halted version does not settle, even if a log entry says so.
	log.mustApply(Entry{Settle: 2})
	if log.catalog.Settled != 0 || publisher.oldestActive() != 1 {
		t.Errorf("settled %d, to settle %d", log.catalog.Settled, publisher.oldestActive())
	}
	// A rollback is a new version, and all followers get it.
	log.mustApply(Entry{By: "ann", Rollback: &Rollback{Base: 2, To: 1}})
	if log.catalog.Version != 3 || log.catalog.Halt != nil {
		t.Fatalf("version %d, halt %v", log.catalog.Version, log.catalog.Halt)
	}
	for _, f := range []*Follower{active, refusing, other, empty} {
		if _, err := exchangePoll(t, f, publisher, 2*time.Second); err != nil || f.Active().Version != 3 || goldRate(t, f.Active()) != 100 {
			t.Errorf("%s: %v, version %d", f.cfg.Name, err, f.Active().Version)
		}
	}
	if refusing.Refused() != nil {
		t.Errorf("the refusal %+v is still reported", refusing.Refused())
	}
}

// If a settled version is halted, new followers get the version before: that must become the settled
// version again, or their ceilings would not be taken into account.
func TestHaltOfSettledVersion(t *testing.T) {
	log := newTestLog(t)
	publisher := log.newPublisher(0, "a", "b")
	log.push(200)
	log.push(100)
	log.mustApply(Entry{Settle: 2})
	log.mustApply(Entry{Halt: &Halted{Version: 2, Follower: "b"}})
	for now := time.Duration(0); now <= publisher.timing.Lease; now += time.Second {
		publisher.Tick(now)
	}
	if log.catalog.Settled != 1 || publisher.oldestActive() != 1 {
		t.Errorf("settled %d, to settle %d, want 1: a new follower gets version 1", log.catalog.Settled, publisher.oldestActive())
	}
	if err := log.catalog.Verify(); err != nil {
		t.Error(err)
	}
}

// A change on top of a halted version that does not correct it is halted as well. Then the last
// version that was not halted must be sent, and not the first halted one (found by
// internal/distsim).
func TestHaltAfterHalt(t *testing.T) {
	log := newTestLog(t)
	publisher := log.newPublisher(0, "a")
	log.push(1)
	log.mustApply(Entry{Settle: 1})
	for v := uint64(2); v <= 4; v++ {
		log.push(float64(v))
		log.mustApply(Entry{Settle: v}) // only followers that use it have valid leases
		log.mustApply(Entry{Halt: &Halted{Version: v, Follower: "b"}})
		if publisher.target() != 1 || log.catalog.Settled != 1 {
			t.Fatalf("version %d is the target, %d has settled", publisher.target(), log.catalog.Settled)
		}
	}
	follower := log.newFollower("a", nil)
	if mustExchangePoll(t, follower, publisher, 0); follower.Active().Version != 1 || log.catalog.Verify() != nil {
		t.Fatalf("version %d, %v", follower.Active().Version, log.catalog.Verify())
	}
	// However many versions come before and after it, the fallback is kept.
	log.push(5)
	for range maxHistory + 5 {
		log.mustApply(Entry{Settle: log.catalog.Version})
		log.push(log.catalog.Set().goldCeiling() + 1)
	}
	log.mustApply(Entry{Settle: log.catalog.Version})
	log.mustApply(Entry{Halt: &Halted{Version: log.catalog.Version}})
	if publisher.target() != log.catalog.Version-1 || log.catalog.Verify() != nil || publisher.state().Version != log.catalog.Version-1 {
		t.Errorf("version %d of %d is the target", publisher.target(), log.catalog.Version)
	}
}

func (s Set) goldCeiling() float64 {
	p, _ := s[KeyOf(KindPlan, "gold")].Plan()
	return p.CeilingRate
}

// A raised ceiling must not apply while a follower may still use the lower one. So a version must not
// settle before each follower with a valid lease reports it as active, nor before followers that the
// publisher has not heard of had a lease's time to poll, after its start or a pause.
func TestSettlingWaitsForAllValidLeases(t *testing.T) {
	log := newTestLog(t)
	publisher := log.newPublisher(0, "a", "b")
	a, b := log.newFollower("a", nil), log.newFollower("b", nil)
	log.push(100)
	if mustExchangePoll(t, a, publisher, 0); publisher.oldestActive() != 0 {
		t.Error("the version settles before all followers in the log have polled")
	}
	mustExchangePoll(t, b, publisher, 0)
	mustExchangePoll(t, a, publisher, time.Second)
	if publisher.oldestActive() != 0 {
		t.Error("the version settles when it is sent, before it is reported as active")
	}
	mustExchangePoll(t, b, publisher, time.Second)
	if publisher.oldestActive() != 1 {
		t.Errorf("version %d settles, want 1", publisher.oldestActive())
	}
	// A follower that stops polling delays settling until its lease expires.
	log.mustApply(Entry{Settle: 1})
	log.push(200)
	mustExchangePoll(t, a, publisher, 2*time.Second)
	mustExchangePoll(t, a, publisher, 3*time.Second)
	if goldRate(t, a.Active()) != 100 {
		t.Error("the raise applies before it has settled")
	}
	for now := 4 * time.Second; now < 8*time.Second; now += 500 * time.Millisecond {
		mustExchangePoll(t, a, publisher, now)
		if want := uint64(1); now < 5*time.Second && publisher.oldestActive() != want {
			t.Fatalf("version %d settles at %v, want 1", publisher.oldestActive(), now)
		}
	}
	if publisher.oldestActive() != 2 {
		t.Fatalf("version %d settles, want 2: the lease of the silent follower has expired", publisher.oldestActive())
	}
	log.mustApply(Entry{Settle: 2})
	if mustExchangePoll(t, a, publisher, 8*time.Second); goldRate(t, a.Active()) != 200 {
		t.Error("the raise does not apply after it has settled")
	}
	// A new leader does not know who polled before, and waits for a lease.
	log.push(300)
	next := NewPublisher(publisher.timing, log.catalog, 10*time.Second)
	mustExchangePoll(t, a, next, 10*time.Second)
	mustExchangePoll(t, a, next, 11*time.Second)
	if next.oldestActive() != 0 {
		t.Errorf("version %d settles although b has not polled", next.oldestActive())
	}
	next.Tick(12 * time.Second)
	mustExchangePoll(t, a, next, 13900*time.Millisecond)
	if next.oldestActive() != 0 {
		t.Errorf("version %d settles although b has not polled", next.oldestActive())
	}
	mustExchangePoll(t, a, next, 14*time.Second)
	if next.oldestActive() != 3 {
		t.Errorf("version %d settles, want 3", next.oldestActive())
	}
	// A publisher that was paused for long has missed polls, so it waits again.
	log.push(400)
	next.Tick(30 * time.Second)
	if next.oldestActive() != 0 {
		t.Errorf("version %d settles right after a pause", next.oldestActive())
	}
}

// A follower that is not in the log yet must get nothing: a new leader would not wait for it, and
// would settle versions that it does not use.
func TestFollowerGetsNothingBeforeItIsInTheLog(t *testing.T) {
	log := newTestLog(t)
	publisher := log.newPublisher(0)
	log.push(1)
	follower := log.newFollower("a", nil)
	if _, held, _ := publisher.Poll(0, nextPoll(t, follower, 0)); !held {
		t.Fatal("the poll is answered before the follower is in the log")
	}
	for _, e := range publisher.Tick(0) {
		log.mustApply(e)
	}
	if a := publisher.Due(0); len(a) != 1 || a[0].Reply.Difference == nil {
		t.Errorf("%+v", a)
	}
}

// A version that can't be stored must be activated all the same, the error reported with each poll,
// and storing retried with the full state.
func TestStorageErrorIsReportedAndRetried(t *testing.T) {
	log := newTestLog(t)
	publisher := log.newPublisher(0, "a")
	log.push(1)
	follower := log.newFollower("a", nil)
	full := errors.New("no space")
	q := nextPoll(t, follower, 0)
	r, _, _ := publisher.Poll(0, q)
	if save, err := follower.Replied(0, q.Number, r); save == nil || err != nil {
		t.Fatal(err)
	}
	if u := follower.Saved(0, full); u == nil || u.Version != 1 {
		t.Fatal("a version that could not be stored is not activated")
	}
	follower.Activated(0)
	for now := time.Second; now < 3*time.Second; now += time.Second {
		q := nextPoll(t, follower, now)
		if q.StorageError != "no space" {
			t.Errorf("storage error %q, want \"no space\"", q.StorageError)
		}
		_, _, _ = publisher.Poll(now, q)
		if s := publisher.Status(now).Followers[0]; s.Why != "no space" || s.Sync != SyncInForce {
			t.Errorf("%+v", s)
		}
		save, err := follower.Replied(now, q.Number, Reply{})
		if err != nil || (save != nil) != (now >= storeRetryInterval) {
			t.Fatalf("%v: %+v, %v", now, save, err)
		}
		if save != nil {
			if !save.Full || len(save.Set) != 1 || save.Version != 1 {
				t.Errorf("%+v, want the full state", save)
			}
			follower.Saved(now, nil)
			follower.Activated(now)
		}
	}
	if q := nextPoll(t, follower, 4*time.Second); q.StorageError != "" {
		t.Errorf("storage error %q is reported after storing succeeded", q.StorageError)
	}
}

func TestCeilingIsTheLowerOfOldAndNew(t *testing.T) {
	for _, c := range []struct{ old, own, want float64 }{{100, 200, 100}, {200, 100, 100}, {0, 100, 100}, {100, 0, 100}, {0, 0, 0}} {
		k := KeyOf(KindPlan, "gold")
		u := ActiveConfig{Set: Set{k: planOf(t, "gold", c.own)}, PreviousPlans: map[Key][]byte{k: planOf(t, "gold", c.old).Data}}
		if c.old == 0 || c.own == 0 { // a ceiling of rate 0 has burst 0
			u.Set[k], u.PreviousPlans[k] = ceilingOf(t, c.own), ceilingOf(t, c.old).Data
		}
		if got := goldRate(t, &u); got != c.want {
			t.Errorf("ceiling %v, then %v: got %v, want %v", c.old, c.own, got, c.want)
		}
	}
}

func ceilingOf(t *testing.T, rate float64) Resource {
	t.Helper()
	data, err := Encode(Plan{CeilingRate: rate, CeilingBurst: rate})
	if err != nil {
		t.Fatal(err)
	}
	return Resource{Key: KeyOf(KindPlan, "gold"), Data: data}
}

// Verify must detect each single damage to a stored catalog, or a coordinator would start from it.
func TestVerifyDetectsDamagedCatalog(t *testing.T) {
	make := func() *Catalog {
		g := newTestLog(t)
		g.push(1)
		g.push(2)
		g.push(3)
		return g.catalog
	}
	for name, damage := range map[string]func(*Catalog){
		"resource": func(c *Catalog) { c.Resources[0].Data = planOf(t, "gold", 8).Data },
		"hash":     func(c *Catalog) { c.Hash[3] ^= 1 },
		"past": func(c *Catalog) {
			c.History[1].Replaced[0].Data = planOf(t, "gold", 8).Data
			c.History[0].Replaced[0].Data = c.History[1].Replaced[0].Data
		},
		"hole":      func(c *Catalog) { c.History = append(c.History[:1], c.History[2:]...) },
		"no past":   func(c *Catalog) { c.History = nil },
		"settled":   func(c *Catalog) { c.Settled = 4 },
		"two alike": func(c *Catalog) { c.Resources = append(c.Resources, c.Resources[0]) },
	} {
		c := make()
		if err := c.Verify(); err != nil {
			t.Fatal(err)
		}
		damage(c)
		c.set = nil
		if c.Verify() == nil {
			t.Errorf("%s: the damage is not detected", name)
		}
	}
}

// The same entries must result in the same catalog, to the byte, also if a plan with several errors
// is refused: reporting a random one of them would make the coordinators' catalogs differ.
func TestOutcomesAreDeterministic(t *testing.T) {
	data, err := json.Marshal(Plan{Rate: -1, Burst: -1, Price: -1, OverCost: -1, CeilingRate: -1, CeilingBurst: -1})
	if err != nil {
		t.Fatal(err)
	}
	var first string
	for range 20 {
		g := newTestLog(t)
		e := g.pushOf(Resource{Key: KeyOf(KindPlan, "gold"), Data: data})
		e.Request = "q"
		if err := g.apply(e); !isError[*Refused](err) {
			t.Fatal(err)
		}
		b, err := json.Marshal(g.catalog)
		if err != nil {
			t.Fatal(err)
		}
		if first == "" {
			first = string(b)
		} else if first != string(b) {
			t.Fatalf("%s, and then %s", first, b)
		}
	}
}

func TestFaultsHaveRemediesAndAreRestored(t *testing.T) {
	for _, f := range Faults() {
		if f.Error() == "" || f.Remedy() == "" {
			t.Errorf("%T: %q, %q", f, f.Error(), f.Remedy())
		}
	}
	// An outcome restores each error unchanged.
	for _, f := range Faults() {
		var o Outcome
		o.setError(f)
		if got := o.error(); !reflect.DeepEqual(got, error(f)) {
			t.Errorf("%#v is restored as %#v", f, got)
		}
	}
}
