package lifecycle

import (
	"testing"
	"time"
)

func newRequest(idempotency Idempotency) *Request {
	return &Request{Rules: &Rules{Idempotency: idempotency, DedupWindow: time.Second, MaxInFlight: 1, MaxAttempts: 4}, Deadline: 3 * time.Second}
}

func checkViolation(t *testing.T, step string, got, want Violation) {
	t.Helper()
	if got != want {
		t.Errorf("%s: violation %s, want %s", step, got, want)
	}
}

// Guards against a second run of a request that must run once: through a retry by the ingress, or through a
// refusal after which the client retries.
func TestRequestThatMayHaveRunIsNeitherRetriedNorRefused(t *testing.T) {
	for _, c := range []struct {
		name        string
		idempotency Idempotency
		mayHaveRun  bool
		retryAt     time.Duration
		wantRetry   Violation
		wantRefusal Violation
	}{
		{"idempotent", Idempotent, true, 2 * time.Second, None, None},
		{"deduplicated, within the window", Deduplicated, true, 900 * time.Millisecond, None, RefuseMayHaveRun},
		{"deduplicated, after the window", Deduplicated, true, time.Second, RepeatMayRunTwice, RefuseMayHaveRun},
		{"non-idempotent, never ran", NonIdempotent, false, 2 * time.Second, None, None},
		{"non-idempotent, may have run", NonIdempotent, true, time.Millisecond, RepeatMayRunTwice, RefuseMayHaveRun},
	} {
		r := newRequest(c.idempotency)
		checkViolation(t, c.name+", first attempt", r.BeginAttempt(0), None)
		checkViolation(t, c.name+", write", r.CheckWrite(0), None)
		r.AttemptEnded(c.mayHaveRun)
		checkViolation(t, c.name+", retry", r.BeginAttempt(c.retryAt), c.wantRetry)
		if c.wantRetry == None {
			r.AttemptEnded(false)
		}
		give, violation := r.Answer(true)
		checkViolation(t, c.name+", refusal", violation, c.wantRefusal)
		if !give {
			t.Errorf("%s: Answer gives no final answer to an open request", c.name)
		}
	}
}

// Guards against attempts of requests that were answered, abandoned or are past their deadline, and against
// attempts beyond the limits.
func TestAttemptLimitsAndStepsAfterTheEnd(t *testing.T) {
	r := newRequest(Idempotent)
	checkViolation(t, "first attempt", r.BeginAttempt(0), None)
	checkViolation(t, "second attempt in flight", r.BeginAttempt(0), BeginBeside)
	r.AttemptEnded(true)
	checkViolation(t, "attempt past the deadline", r.BeginAttempt(3*time.Second+maxProcessStall), BeginAfterDeadline)
	for range 3 {
		checkViolation(t, "retry", r.BeginAttempt(time.Second), None)
		r.AttemptEnded(false)
	}
	checkViolation(t, "attempt beyond MaxAttempts", r.BeginAttempt(time.Second), BeginTooMany)
	if !r.Abandon() || r.Abandon() || !r.Finished() {
		t.Error("Abandon does not report true exactly once, or the request is not finished after it")
	}
	checkViolation(t, "attempt of an abandoned request", r.BeginAttempt(0), BeginAfterEnd)
	checkViolation(t, "write of an abandoned request", r.CheckWrite(0), WriteAfterEnd)
	if give, _ := r.Answer(false); give {
		t.Error("Answer gives an answer to an abandoned request")
	}
	r = newRequest(Idempotent)
	if give, _ := r.Answer(false); !give {
		t.Error("Answer gives no answer to an open request")
	}
	if give, _ := r.Answer(false); give {
		t.Error("Answer gives a second answer")
	}
	checkViolation(t, "attempt of an answered request", r.BeginAttempt(0), BeginAfterEnd)
}

// Guards against violations that are not counted, or that share a name.
func TestViolationsAreCountedByName(t *testing.T) {
	var counts Counts
	names := map[string]bool{}
	for v := range NumViolations {
		if counted := counts.Add(v); counted != (v != None) {
			t.Errorf("Add(%s) = %v", v, counted)
		}
		names[v.String()] = true
	}
	if counts.Total() != uint64(NumViolations)-1 || len(names) != int(NumViolations) {
		t.Errorf("%d violations counted under %d names, want %d names, each counted once except none", counts.Total(), len(names), NumViolations)
	}
}
