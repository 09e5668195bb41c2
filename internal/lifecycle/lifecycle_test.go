package lifecycle

import (
	"testing"
	"time"
)

func request(repeats Repeats) *Request {
	return &Request{Rules: &Rules{Repeats: repeats, Window: time.Second, MostOut: 1, MostInAll: 4}, Deadline: 3 * time.Second}
}

func want(t *testing.T, what string, got, want Violation) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %s, want %s", what, got, want)
	}
}

// Guards against a second run of what must run once: by a repeat, or by a refusal that has its client repeat it.
func TestWhatMayHaveRunIsNeitherRepeatedNorRefused(t *testing.T) {
	for _, c := range []struct {
		name       string
		repeats    Repeats
		mayHaveRun bool
		at         time.Duration
		begin      Violation
		refuse     Violation
	}{
		{"at will", RunsAtWill, true, 2 * time.Second, None, None},
		{"keyed, in its window", RunsOnceAway, true, 900 * time.Millisecond, None, RefuseMayHaveRun},
		{"keyed, behind it", RunsOnceAway, true, time.Second, RepeatMayRunTwice, RefuseMayHaveRun},
		{"once, never ran", RunsOnce, false, 2 * time.Second, None, None},
		{"once, may have run", RunsOnce, true, time.Millisecond, RepeatMayRunTwice, RefuseMayHaveRun},
	} {
		r := request(c.repeats)
		want(t, c.name+", the first", r.Begin(0), None)
		want(t, c.name+", written", r.Write(0), None)
		r.Ended(c.mayHaveRun)
		want(t, c.name+", the second", r.Begin(c.at), c.begin)
		if c.begin == None {
			r.Ended(false)
		}
		give, v := r.Answer(true)
		want(t, c.name+", the refusal", v, c.refuse)
		if !give {
			t.Errorf("%s: no final answer", c.name)
		}
	}
}

// Guards against attempts that begin where nothing is owed any more.
func TestNothingBeginsBehindTheEnd(t *testing.T) {
	r := request(RunsAtWill)
	want(t, "begins", r.Begin(0), None)
	want(t, "beside", r.Begin(0), BeginBeside)
	r.Ended(true)
	want(t, "past its time", r.Begin(3*time.Second+heldUp), BeginAfterDeadline)
	for range 3 {
		want(t, "repeat", r.Begin(time.Second), None)
		r.Ended(false)
	}
	want(t, "one too many", r.Begin(time.Second), BeginTooMany)
	if !r.Abandon() || r.Abandon() || !r.Over() {
		t.Error("it is abandoned once")
	}
	want(t, "abandoned", r.Begin(0), BeginAfterEnd)
	want(t, "abandoned", r.Write(0), WriteAfterEnd)
	if give, _ := r.Answer(false); give {
		t.Error("an answer to an abandoned request")
	}
	r = request(RunsAtWill)
	if give, _ := r.Answer(false); !give {
		t.Error("no answer to an open request")
	}
	if give, _ := r.Answer(false); give {
		t.Error("a second answer")
	}
	want(t, "answered", r.Begin(0), BeginAfterEnd)
}

// Guards against violations that nobody hears of.
func TestViolationsAreCountedByName(t *testing.T) {
	var c Counts
	names := map[string]bool{}
	for v := range Violations {
		if counted := c.Add(v); counted != (v != None) {
			t.Errorf("%s: counted %v", v, counted)
		}
		names[v.String()] = true
	}
	if c.Total() != uint64(Violations)-1 || len(names) != int(Violations) {
		t.Errorf("%d counted under %d names, want %d of each but none", c.Total(), len(names), Violations)
	}
}
