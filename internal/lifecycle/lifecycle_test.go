package lifecycle

import (
	"testing"
	"time"
)

func request(repeats Idempotency) *Request {
	return &Request{Rules: &Rules{Idempotency: repeats, DedupWindow: time.Second, MaxInFlight: 1, MaxAttempts: 4}, Deadline: 3 * time.Second}
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
		repeats    Idempotency
		mayHaveRun bool
		at         time.Duration
		begin      Violation
		refuse     Violation
	}{
		{"at will", Idempotent, true, 2 * time.Second, None, None},
		{"keyed, in its window", Deduplicated, true, 900 * time.Millisecond, None, RefuseMayHaveRun},
		{"keyed, behind it", Deduplicated, true, time.Second, RepeatMayRunTwice, RefuseMayHaveRun},
		{"once, never ran", NonIdempotent, false, 2 * time.Second, None, None},
		{"once, may have run", NonIdempotent, true, time.Millisecond, RepeatMayRunTwice, RefuseMayHaveRun},
	} {
		r := request(c.repeats)
		want(t, c.name+", the first", r.BeginAttempt(0), None)
		want(t, c.name+", written", r.CheckWrite(0), None)
		r.AttemptEnded(c.mayHaveRun)
		want(t, c.name+", the second", r.BeginAttempt(c.at), c.begin)
		if c.begin == None {
			r.AttemptEnded(false)
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
	r := request(Idempotent)
	want(t, "begins", r.BeginAttempt(0), None)
	want(t, "beside", r.BeginAttempt(0), BeginBeside)
	r.AttemptEnded(true)
	want(t, "past its time", r.BeginAttempt(3*time.Second+heldUp), BeginAfterDeadline)
	for range 3 {
		want(t, "repeat", r.BeginAttempt(time.Second), None)
		r.AttemptEnded(false)
	}
	want(t, "one too many", r.BeginAttempt(time.Second), BeginTooMany)
	if !r.Abandon() || r.Abandon() || !r.Finished() {
		t.Error("it is abandoned once")
	}
	want(t, "abandoned", r.BeginAttempt(0), BeginAfterEnd)
	want(t, "abandoned", r.CheckWrite(0), WriteAfterEnd)
	if give, _ := r.Answer(false); give {
		t.Error("an answer to an abandoned request")
	}
	r = request(Idempotent)
	if give, _ := r.Answer(false); !give {
		t.Error("no answer to an open request")
	}
	if give, _ := r.Answer(false); give {
		t.Error("a second answer")
	}
	want(t, "answered", r.BeginAttempt(0), BeginAfterEnd)
}

// Guards against violations that nobody hears of.
func TestViolationsAreCountedByName(t *testing.T) {
	var c Counts
	names := map[string]bool{}
	for v := range NumViolations {
		if counted := c.Add(v); counted != (v != None) {
			t.Errorf("%s: counted %v", v, counted)
		}
		names[v.String()] = true
	}
	if c.Total() != uint64(NumViolations)-1 || len(names) != int(NumViolations) {
		t.Errorf("%d counted under %d names, want %d of each but none", c.Total(), len(names), NumViolations)
	}
}
