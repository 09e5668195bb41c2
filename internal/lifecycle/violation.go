package lifecycle

// Violation is a step that breaks an invariant of request handling.
type Violation uint8

// The violations. Each constant is named like its printed value.
const (
	None               Violation = iota
	BeginAfterEnd                // an attempt begins after the request was answered or abandoned
	BeginAfterDeadline           // an attempt begins after the request's deadline
	BeginBeside                  // an attempt begins while Rules.MaxInFlight attempts are in flight
	BeginTooMany                 // an attempt begins after Rules.MaxAttempts attempts
	RepeatMayRunTwice            // a retry, though an earlier attempt may have run and the request must not run twice
	WriteAfterEnd                // the first byte of an attempt after the request was answered or abandoned
	RefuseMayHaveRun             // -BUSY, though an attempt may have run and the request must not run twice
	CloseOverOpen                // the ingress closes a connection that has an open request
	EndOverOpen                  // the process exits with an open request
	NumViolations
)

var violationNames = [NumViolations]string{"none", "begin-after-end", "begin-after-deadline", "begin-beside", "begin-too-many", "repeat-may-run-twice",
	"write-after-end", "refuse-may-have-run", "close-over-open", "end-over-open"}

// String returns the name used in logs and in the event counts.
func (v Violation) String() string { return violationNames[v] }

// Counts holds the number of occurrences of each violation.
type Counts [NumViolations]uint64

// Add counts v and reports whether it is a violation.
func (c *Counts) Add(v Violation) bool {
	if v == None {
		return false
	}
	c[v]++
	return true
}

// Total returns the number of all violations.
func (c *Counts) Total() (n uint64) {
	for _, k := range c {
		n += k
	}
	return n
}
