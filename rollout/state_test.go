package rollout

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawEntry draws any entry, valid or not, on a few names.
func drawEntry(t *rapid.T) Entry {
	member := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "member")
	id := rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "rollout")
	fence := rapid.Uint64Range(0, 6).Draw(t, "fence")
	e := Entry{}
	if rapid.Bool().Draw(t, "ordered") {
		e.Request = fmt.Sprint("q", rapid.IntRange(0, 40).Draw(t, "request"))
	}
	switch rapid.IntRange(0, 12).Draw(t, "kind") {
	case 0, 1:
		e.Join = &MemberRecord{Member: Member{Name: member, Role: "ingress", Zone: "z", Weight: 1},
			Version: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "v")}
	case 2, 3:
		e.Grant = &GrantEntry{member, rapid.SampledFrom([]Kind{Release, Drain}).Draw(t, "k"),
			rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "v"), id}
	case 4:
		e.Stage = &StageEntry{member, fence, Out, ""}
	case 5:
		e.Release = &ReleaseEntry{member, fence, "v2", ""}
	case 6:
		e.Adopt = &AdoptEntry{member, Grant{Fence: fence, Kind: Release, Stage: Out}, 9, 1}
	case 7:
		e.Forget = member
	case 8:
		e.Start = &Spec{ID: id, Role: "ingress", Version: "v2", Waves: []float64{1, AllMembers}, Gate: DefaultGate()}
	case 9:
		e.Halt = NewHaltEntry(rapid.SampledFrom([]string{"", id}).Draw(t, "which"), &HaltedByOperator{"op", "why"})
	case 10:
		e.Resume = &ResumeEntry{rapid.SampledFrom([]string{"", id}).Draw(t, "which"), uint64(rapid.IntRange(0, 30).Draw(t, "number"))}
	case 11:
		e.Rollback = id
	case 12:
		e.Drain = member
	}
	return e
}

// The same entries give the same state, also across a snapshot; no fence is issued
// twice; nothing is granted while a rollout is halted or everything is stopped.
func TestApplyIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOfN(rapid.Custom(drawEntry), 1, 60).Draw(t, "entries")
		cut := rapid.IntRange(0, len(entries)).Draw(t, "cut")
		one, two := NewState(), NewState()
		issued := map[uint64]bool{}
		for i, e := range entries {
			if i == cut {
				b, err := two.Encode()
				if err != nil {
					t.Fatal(err)
				}
				if two, err = DecodeState(b); err != nil {
					t.Fatal(err)
				}
			}
			before := one.Fence
			var halted bool
			if e.Grant != nil {
				r := one.Rollout(e.Grant.Rollout)
				halted = one.Stop != nil || e.Grant.Kind == Release && (r == nil || r.Halt != nil || r.Phase.Ended())
			}
			first, second := one.Apply(uint64(i+1), e), two.Apply(uint64(i+1), e)
			if fmt.Sprint(first) != fmt.Sprint(second) {
				t.Fatalf("entry %d: %v and %v", i, first, second)
			}
			if e.Grant != nil && one.Fence > before {
				if halted {
					t.Fatalf("entry %d: granted while halted or stopped", i)
				}
				if issued[one.Fence] {
					t.Fatalf("fence %d is issued twice", one.Fence)
				}
				issued[one.Fence] = true
			}
		}
		a, _ := one.Encode()
		b, _ := two.Encode()
		if !bytes.Equal(a, b) {
			t.Fatalf("%s\nand\n%s", a, b)
		}
	})
}

// An order that is sent again is applied once and gets the same answer, and a halt is
// lifted only by an operator who has seen that one.
func TestOrdersApplyOnceAndLiftOnlyTheHaltSeen(t *testing.T) {
	s := NewState()
	index := uint64(0)
	apply := func(e Entry) error { index++; return s.Apply(index, e) }
	spec := Spec{ID: "r1", Role: "ingress", Version: "v2", Waves: []float64{AllMembers}, Gate: DefaultGate()}
	for range 2 {
		if err := apply(Entry{Request: "a", Start: &spec}); err != nil {
			t.Fatal(err)
		}
		if err := apply(Entry{Request: "b", Start: &Spec{ID: "x"}}); err == nil {
			t.Fatal("an invalid order is accepted")
		}
	}
	if len(s.Rollouts) != 1 {
		t.Fatalf("%d rollouts", len(s.Rollouts))
	}
	halt := func() uint64 {
		if err := apply(Entry{Halt: NewHaltEntry("r1", &HaltedByOperator{"op", "look"})}); err != nil {
			t.Fatal(err)
		}
		return s.Rollout("r1").Halt.Number
	}
	seen := halt()
	later := halt()
	if err := apply(Entry{Resume: &ResumeEntry{"r1", seen}}); err == nil || s.Rollout("r1").Halt == nil {
		t.Fatal("a halt is lifted by the number of an earlier one")
	}
	if err := apply(Entry{Resume: &ResumeEntry{"r1", later}}); err != nil || s.Rollout("r1").Halt != nil {
		t.Fatal("a halt is not lifted:", err)
	}
}

// A rollback takes no more of the budgets: members that are out return to their prior
// version under the grant that they hold.
func TestRollbackChangesGrantsOfMembersOut(t *testing.T) {
	s := NewState()
	for i, e := range []Entry{
		{Join: &MemberRecord{Member: Member{Name: "a", Role: "ingress", Weight: 1}, Version: "v1"}},
		{Start: &Spec{ID: "r1", Role: "ingress", Version: "v2", Waves: []float64{AllMembers}, Gate: DefaultGate()}},
		{Grant: &GrantEntry{"a", Release, "v2", "r1"}},
		{Rollback: "r1"},
	} {
		if err := s.Apply(uint64(i+1), e); err != nil {
			t.Fatal(err)
		}
	}
	if g := s.Members["a"].Grant; g == nil || g.Fence != 1 || g.Version != "v1" {
		t.Fatalf("the grant is %+v", g)
	}
	// A grant that was pending when the rollback was ordered is void.
	if err := s.Apply(5, Entry{Release: &ReleaseEntry{"a", 1, "v1", ""}}); err != nil {
		t.Fatal(err)
	}
	if err := s.Apply(6, Entry{Grant: &GrantEntry{"a", Release, "v2", "r1"}}); err == nil {
		t.Fatal("a rollout that is rolling back is granted a change to its new version")
	}
}

// Limits on the number of members and on the share of their weight apply, each by group.
func TestBudgets(t *testing.T) {
	var members []Member
	for i := range 10 {
		members = append(members, Member{Name: fmt.Sprint(i), Role: "ingress", Zone: fmt.Sprint("z", i%2), Weight: float64(1 + i)})
	}
	out := map[string]bool{"0": true, "2": true}
	for _, c := range []struct {
		b    Budget
		m    Member
		fits bool
	}{
		{Budget{Name: "x", MaxOut: 3}, members[1], true},
		{Budget{Name: "x", MaxOut: 2}, members[1], false},
		{Budget{Name: "x", MaxOut: 2, GroupBy: "zone"}, members[1], true},
		{Budget{Name: "x", MaxOut: 2, GroupBy: "zone"}, members[4], false},
		{Budget{Name: "x", MaxOut: 2, Zone: "z1"}, members[4], true},
		{Budget{Name: "x", MaxOut: 1, Role: "backend"}, members[4], true},
		{Budget{Name: "x", Share: 0.11}, members[1], true},  // 1+3+2 of 55
		{Budget{Name: "x", Share: 0.10}, members[1], false}, // 5.5 allowed
	} {
		l := NewLedger([]Budget{c.b}, members, func(name string) bool { return out[name] })
		if err := l.Fits(c.m, false); (err == nil) != c.fits {
			t.Errorf("%+v, %s: %v", c.b, c.m.Name, err)
		}
	}
}

func TestTimingCheck(t *testing.T) {
	good := DefaultTiming()
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	for _, invalidate := range []func(*Timing){
		func(t *Timing) { t.MaxStaleness = 2 * t.ReportInterval }, func(t *Timing) { t.LearnPeriod = t.ReportInterval },
		func(t *Timing) { t.BeginTimeout = t.MaxStaleness + 1 },
		func(t *Timing) { t.ReportInterval = 0 }, func(t *Timing) { t.BeginTimeout = time.Millisecond },
	} {
		bad := good
		invalidate(&bad)
		if bad.Check() == nil {
			t.Errorf("invalid timing %+v passes", bad)
		}
	}
}
