package distribution

import (
	"testing"
	"time"
)

func planOf(t *testing.T, name string, rate float64) Resource {
	t.Helper()
	data, err := Encode(Plan{Rate: 10, Burst: 10, Price: 1, CeilingRate: rate, CeilingBurst: rate})
	if err != nil {
		t.Fatal(err)
	}
	return Resource{Key: KeyOf(KindPlan, name), Data: data}
}

// A version must reach a follower as a difference, and a raised ceiling must apply only once
// all followers with valid leases have the version.
func TestVersionIsActivatedAndSettles(t *testing.T) {
	catalog := NewCatalog()
	publisher := NewPublisher(DefaultTiming(), catalog, 0)
	follower, err := NewFollower(FollowerConfig{Name: "n1", Incarnation: 1, Coordinators: 3, PollTimeout: DefaultPollTimeout}, nil, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	index := uint64(0)
	put := func(e Entry) {
		t.Helper()
		index++
		if err := catalog.Apply(index, e); err != nil {
			t.Fatal(err)
		}
	}
	push := func(rate float64) {
		t.Helper()
		r := planOf(t, "gold", rate)
		put(Entry{Push: &Push{Base: catalog.Version, Set: []Resource{r}, Hash: catalog.Set().with([]Resource{r}, nil).Sum()}})
	}
	run := func(from, to time.Duration) {
		t.Helper()
		for now := from; now < to; now += 10 * time.Millisecond {
			publisher.LeadershipConfirmed(now) // confirmed by a majority throughout
			take := func(n uint64, r Reply) {
				save, err := follower.Replied(now, n, r)
				if err != nil {
					t.Fatal(err)
				}
				if save != nil {
					follower.Saved(now, nil)
					follower.Activated(now)
				}
			}
			if request := follower.Tick(now); request != nil {
				if r, held, err := publisher.Poll(now, request.Poll); err != nil {
					t.Fatal(err)
				} else if !held {
					take(request.Poll.Number, r)
				}
			}
			for _, a := range publisher.Due(now) {
				take(a.Number, a.Reply)
			}
			for _, e := range publisher.Tick(now) {
				put(e)
			}
		}
	}
	ceiling := func() float64 {
		plan, err := follower.Active().Plan(KeyOf(KindPlan, "gold"))
		if err != nil {
			t.Fatal(err)
		}
		return plan.CeilingRate
	}
	push(100)
	run(0, time.Second)
	if follower.Active().Version != 1 || catalog.Settled != 1 || ceiling() != 100 {
		t.Fatalf("version %d, settled %d, ceiling %v", follower.Active().Version, catalog.Settled, ceiling())
	}
	// Another follower stays behind: the raise must not apply before its lease has expired.
	if _, held, err := publisher.Poll(time.Second, Poll{Follower: "n2", Incarnation: 1, Number: 1,
		Version: 1, Hash: catalog.Hash, Settled: 1}); err != nil || !held {
		t.Fatal(held, err)
	}
	push(200)
	run(time.Second, 2*time.Second)
	if follower.Active().Version != 2 || catalog.Settled != 1 || ceiling() != 100 {
		t.Fatalf("version %d, settled %d, ceiling %v", follower.Active().Version, catalog.Settled, ceiling())
	}
	run(2*time.Second, 7*time.Second)
	if catalog.Settled != 2 || ceiling() != 200 {
		t.Fatalf("settled %d, ceiling %v; %+v", catalog.Settled, ceiling(), publisher.Status(7*time.Second))
	}
}
