package lifecycle

// Violation is a step that the rule forbids.
type Violation uint8

// The violations.
const (
	None               Violation = iota
	BeginAfterEnd                // an attempt of a request that has its answer, or whose client has gone
	BeginAfterDeadline           // an attempt past the request's time
	BeginBeside                  // an attempt beside as many as may be out
	BeginTooMany                 // an attempt more than a request may have
	RepeatMayRunTwice            // an attempt, though an earlier one may have run and must not run twice
	WriteAfterEnd                // the first byte of an attempt behind the request's end
	RefuseMayHaveRun             // -BUSY, though an attempt may have run and must not run twice
	CloseOverOpen                // a connection closed by the ingress with a request open on it
	EndOverOpen                  // the process ends with a request open
	NumViolations                // how many there are
)

var violationNames = [NumViolations]string{"none", "begin-after-end", "begin-after-deadline", "begin-beside", "begin-too-many", "repeat-may-run-twice",
	"write-after-end", "refuse-may-have-run", "close-over-open", "end-over-open"}

// String names a violation as logs and counts have it.
func (v Violation) String() string { return violationNames[v] }

// Counts are how often each violation was met.
type Counts [NumViolations]uint64

// Add counts one, and tells whether it was any.
func (c *Counts) Add(v Violation) bool {
	if v == None {
		return false
	}
	c[v]++
	return true
}

// Total is how many there were.
func (c *Counts) Total() (n uint64) {
	for _, k := range c {
		n += k
	}
	return n
}
