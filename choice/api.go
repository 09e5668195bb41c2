// Package choice makes the decisions of a gateway that enforces quotas: which
// requests of a customer to admit, which backend to send each attempt to, when
// to retry and what to answer.
//
// A [Gateway] is a deterministic state machine. The caller reports events
// ([Gateway.Request], [Gateway.Outcome], [Gateway.Members], [Gateway.Probed],
// [Gateway.Timer], [Gateway.Disconnected]) and the gateway acts through
// [Actions]. It starts no goroutine and reads no clock: time is a
// [time.Duration] on the caller's monotonic clock, whose origin is arbitrary.
// The same seed and events give the same actions. A Gateway is not safe for
// concurrent use.
package choice

import "time"

// Config holds a deployment's settings for each of its gateways. New returns an
// error that names the field if a value is invalid.
type Config struct {
	Gateways int // gateways in this tier
	Self     int // index of this gateway, from 0
	Zone     int // zone of this gateway
	Tick     time.Duration

	Classes []Class
	Plans   []Plan

	MeterPeriod time.Duration // period over which the meter sums use; 0: no meter
	MaxUnits    float64       // max units that one request counts

	MaxAttempts   int  // max attempts of a request
	Hedging       bool // a request may have two attempts in flight at once
	Probing       bool // Actions.Probe is permitted
	Cancelling    bool // Actions.Cancel is permitted
	MaxRetryAfter time.Duration
	RetryAfter    bool // clients receive the delay passed to Refuse

	WeightsTrusted bool     // Backend.Weight is the registered size, at least approximately
	ReportFields   []string // order of the values in a load report; "inflight" and "latency_ms" are known

	ColdCapacity  float64       // min share of its capacity that a backend has when it starts
	WarmUpTime    time.Duration // max time until it has its full capacity
	CrashMultiple float64       // a cold backend sent more than this multiple of its capacity
	CrashAfter    time.Duration // for this long crashes
	DrainGrace    time.Duration // a draining backend must get no new attempts after this
	CrossZoneCost float64       // cost of an attempt that leaves the zone, as a share of the request's worth

	Limit        Limiter // of attempts in flight; nil: the gateway's own
	MaxCustomers int     // max customer records, except those with attempts in flight; 0: no bound
}

// Effect says whether a request of a class may run more than once.
type Effect int

// The effects of a class.
const (
	Idempotent   Effect = iota // may run any number of times
	Deduplicated               // a group of backends drops duplicates for a time
	AtMostOnce                 // must never run twice
)

// Group is the set of backends that drop each other's duplicates.
type Group int

// The groups of a deduplicated class.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class is a class of requests.
type Class struct {
	Aim       time.Duration // latency objective: an answer within this time has the full worth
	Deadline  time.Duration // max time that a client waits
	Worth     float64       // value of an answer, relative to other classes
	LateWorth float64       // share of the worth that an answer after the aim has
	Effect    Effect
	Group     Group         // for Deduplicated
	Window    time.Duration // for Deduplicated: how long duplicates are dropped
}

// Plan is the contract of a customer. Its quotas hold for each customer over
// all gateways together.
type Plan struct {
	Rate             float64 // units per second that fill the token bucket; 0: no rate quota
	Burst            float64 // size of the token bucket in units; it starts full
	Open             int     // max attempts in flight at once; 0: no such quota
	Price            float64 // multiplier of the worth
	OverCost         float64 // cost of a request admitted beyond the quota, as a share of its worth
	CeilingRate      float64 // units per second that fill the hard limit's token bucket; 0: no hard limit
	CeilingBurst     float64 // size of that bucket
	CeilingTolerance float64 // how far that bucket may go below 0
}

// Terms are the settings that may change while a gateway runs.
type Terms struct {
	Plans         []Plan // existing plans keep their index; new ones are appended
	MaxAttempts   int
	MaxRetryAfter time.Duration
}

// State is the state of a backend in discovery's list.
type State int

// The states of a backend.
const (
	Ready State = iota
	Draining
	Removed
)

// Backend is an entry of discovery's list.
type Backend struct {
	ID         uint32
	Zone       int // below 0: unknown
	Kind       int
	Cell       int
	State      State
	Weight     float64
	Started    time.Duration // time of its last start
	StartKnown bool          // Started is set; otherwise the backend counts as warm
}

// Candidate is a backend that a gateway may use; see
// [Gateway.SetCandidates].
type Candidate struct {
	Backend    uint32
	PickWeight float64 // how often it is considered, relative to the others
}

// BackendView is what a gateway knows of one backend.
type BackendView struct {
	ID           uint32
	PickWeight   float64 // as in [Candidate]
	Capacity     float64 // min share of its full capacity that it has now
	Latency      float64 // mean, relative to the fleet's mean for the same classes
	FailureRate  float64 // recent share of failed attempts
	InFlight     int     // attempts in flight
	Used         bool    // it gets new work
	Ejected      bool    // skipped because of its failures
	Unresponsive bool    // skipped because it has answered none of its attempts
}

// ListKind says what a list of backends contains.
type ListKind int

// The kinds of list.
const (
	Delta  ListKind = iota // changed entries only
	Full                   // the complete list
	Cached                 // the complete list as last stored; may be out of date
	Failed                 // no list: the query failed and the last list stays in force
)

// Request is one try of a client.
type Request struct {
	ID          uint32
	Class       int
	Plan        int
	Customer    uint64
	TimeLeft    time.Duration // the client gives up after this time
	Units       float64       // units that it draws from the quota
	Spread      int           // number of gateways that the customer's requests are spread over
	First       int           // index of the first of these gateways
	ClientRetry bool          // the client marks it as a retry: another gateway refused the customer
}

// Status is how an attempt ended.
type Status int

// The results of an attempt. Refused, ConnectFailed and Unsent prove that it never ran.
const (
	OK Status = iota
	Error
	Refused
	Timeout
	ConnectFailed
	Reset
	Cancelled
	Unsent
)

// Load is a backend's report of its load, in the order of
// Config.ReportFields; N is 0 if there was none.
type Load struct {
	N      int
	Values [4]float64
}

// Outcome is the end of an attempt. Each attempt has exactly one.
type Outcome struct {
	ID      uint32
	Attempt int
	Backend uint32
	Status  Status
	Elapsed time.Duration
	Done    bool // the request has its final answer
	// Metered says that Used was reported: the customer's use over all gateways
	// in the last metered period, as a fraction of its rate (of the limit on
	// open attempts if the plan has no rate).
	Metered bool
	Used    float64
	// Age is the time since the answer began to arrive, and so the age of its readings.
	Age  time.Duration
	Load Load
}

// ProbeResult is the answer to one Actions.Probe.
type ProbeResult struct {
	Backend uint32
	Status  Status
	Elapsed time.Duration
	Load    Load
}

// Actions are the effects of a Gateway. They are called only from within its
// methods and must not call back into it.
type Actions interface {
	// Send starts the next attempt of a request; it times out after timeout.
	Send(id, backend uint32, timeout time.Duration)
	// Refuse is a final answer: the request is safe to retry. An after of 0 gives no delay.
	Refuse(id uint32, after time.Duration)
	// Fail is a final answer that does not say whether the request ran.
	Fail(id uint32)
	// Cancel stops waiting for an attempt.
	Cancel(id uint32, attempt int)
	// Probe asks a backend for its load.
	Probe(backend uint32)
	// SetTimer asks for a Timer call with the token after wait.
	SetTimer(wait time.Duration, token uint64)
}
