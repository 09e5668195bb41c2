package upstream

// Cause tells why an attempt ended as it did, for logs and counts. Nothing decides by it.
type Cause uint8

// The causes. None tells of an answer that was taken as it came.
const (
	CauseNone          Cause = iota
	CauseBackendGone         // the backend was told to be draining or gone
	CauseNoPlace             // as many connections as there may be are busy
	CauseNoDescriptor        // no descriptor was to be had until its time was up
	CauseDialFailed          // the connection could not be begun
	CauseRefused             // the connection ended before it was up, or before the first byte
	CauseConnectLate         // the connection did not come up in time
	CauseExpired             // the time for writing it was over
	CauseWriteFailed         // the connection broke under the request
	CauseAnsweredEarly       // something came before the request was whole
	CauseReadFailed          // the connection broke or ended under the answer
	CauseMalformed           // what came can't be read
	CauseUnexpected          // what came is an answer to something else
	CauseCopy                // what came is an earlier answer once more
	CauseStalled             // the answer began and did not become whole
	CauseDeadline            // nothing came in time
	CauseCancelled           // the gateway gave it up
	CauseWithdrawn           // its request was over before it was written
	CauseForbidden           // the rule on requests forbids it
	NumCauses                // how many there are
)

var causeNames = [NumCauses]string{"none", "backend-gone", "no-place", "no-descriptor", "dial-failed", "refused", "connect-late", "expired",
	"write-failed", "answered-early", "read-failed", "malformed", "unexpected", "copy", "stalled", "deadline", "cancelled", "withdrawn", "forbidden"}

// String names a cause as logs have it.
func (c Cause) String() string { return causeNames[c] }
