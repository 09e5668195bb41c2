package upstream

// Cause is the reason why an attempt ended as it did. It is for logs and counts. No decision depends on it, but
// an attempt that ends with CauseForbidden never began and is not counted as one that did.
type Cause uint8

// The causes. Each constant is named like its printed value.
const (
	CauseNone          Cause = iota // the reply was accepted as it came
	CauseBackendGone                // discovery reported the backend as draining or removed
	CauseNoPlace                    // Config.MaxConnections connections are busy
	CauseNoDescriptor               // no descriptor was free before the attempt's deadline
	CauseDialFailed                 // the dial failed at once
	CauseRefused                    // the connection ended before it was established or before the first byte was written
	CauseConnectLate                // the connection was not established in time
	CauseExpired                    // the time for writing the attempt was over
	CauseWriteFailed                // the connection failed while the request was written
	CauseAnsweredEarly              // data or an end arrived before the request was written completely
	CauseReadFailed                 // the connection failed or ended before the reply was complete
	CauseMalformed                  // the reply can't be parsed
	CauseMerged                     // the reply's line may be the beginning of one line, continued by another reply
	CauseUnexpected                 // the reply belongs to something else
	CauseCopy                       // the reply repeats an earlier one
	CauseStalled                    // the reply began but was not completed in time
	CauseDeadline                   // no reply arrived before the deadline
	CauseCancelled                  // the gateway aborted the attempt
	CauseWithdrawn                  // the request was over before the attempt was written
	CauseForbidden                  // the request's lifecycle rules forbid the attempt
	NumCauses
)

var causeNames = [NumCauses]string{"none", "backend-gone", "no-place", "no-descriptor", "dial-failed", "refused", "connect-late",
	"expired", "write-failed", "answered-early", "read-failed", "malformed", "merged", "unexpected", "copy",
	"stalled", "deadline", "cancelled", "withdrawn", "forbidden"}

// String returns the name used in logs and in the event counts.
func (c Cause) String() string { return causeNames[c] }
