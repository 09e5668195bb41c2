// Package choice makes the decisions of a quota-keeping gateway: which
// requests of a customer to pass, which backend to send each attempt to, when
// to try again and what to answer.
//
// A [Gateway] is a pure state machine. The caller tells it what happened
// ([Gateway.Request], [Gateway.Outcome], [Gateway.Members], [Gateway.Probed],
// [Gateway.Timer], [Gateway.Disconnected]) and it acts through [Actions]. It starts no
// goroutine and reads no clock: time is a [time.Duration] on the caller's
// clock, which may begin anywhere and never goes back. The same seed and
// events give the same actions. A Gateway is not safe for concurrent use.
package choice

import "time"

// Config is what a deployment states to each of its gateways. Durations and
// rates are as stated; New returns an error that names what cannot be served.
type Config struct {
	Gateways int // gateways in this tier
	Self     int // number of this gateway, from 0
	Zone     int // zone of this gateway
	Tick     time.Duration

	Classes []Class
	Plans   []Plan

	MeterPeriod time.Duration // the period over which the meter adds up use; 0: no meter
	MaxUnits    float64       // the most units that one request counts

	MaxAttempts   int  // attempts a request may have
	Hedging       bool // a request may have two attempts out at once
	Probing       bool // Actions.Probe is permitted
	Cancelling    bool // Actions.Cancel is permitted
	MaxRetryAfter time.Duration
	RetryAfter    bool // clients receive the advice given with Refuse

	WeightsTrusted bool     // Backend.Weight is the registered size, at least roughly
	ReportFields   []string // order of the values in a load report; "inflight" and "latency_ms" are known

	ColdCapacity  float64       // a backend starts at this part of its capacity, or more
	WarmUpTime    time.Duration // and is warm after this at most
	CrashMultiple float64       // a cold backend sent more than this multiple of its capacity
	CrashAfter    time.Duration // for this long falls over
	DrainGrace    time.Duration // sends to a draining backend must have ceased by then
	CrossZoneCost float64       // price of an attempt that leaves the zone, as a part of a request's worth

	Limit        Limiter // on attempts out; nil: the gateway's own
	MaxCustomers int     // records of customers kept at most, but for those with an attempt out; 0: no bound
}

// Effect tells what repeating a request of a class may do.
type Effect int

// The effects of a class.
const (
	Idempotent   Effect = iota // may be repeated at will
	Deduplicated               // repeats are dropped inside a group of backends, for a time
	AtMostOnce                 // must never run twice
)

// Group is the set of backends that drop each other's repeats.
type Group int

// The groups of a guarded class.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class is a class of requests.
type Class struct {
	Aim       time.Duration // an answer within this earns the full worth
	Deadline  time.Duration // the longest a client waits
	Worth     float64
	LateWorth float64 // part of the worth that an answer after the aim earns
	Effect    Effect
	Group     Group         // for Deduplicated
	Window    time.Duration // for Deduplicated: how long repeats are dropped
}

// Plan is what a customer has bought. Its quotas hold for each customer over
// all gateways together.
type Plan struct {
	Rate             float64 // units a second that fill the store; 0: no such quota
	Burst            float64 // the most units the store holds; it starts full
	Open             int     // attempts that may be out at once; 0: no such quota
	Price            float64 // multiplier of the worth
	OverCost         float64 // part of its worth that a try sent on beyond the quota costs
	CeilingRate      float64 // units a second that fill the hard ceiling's store; 0: no ceiling
	CeilingBurst     float64 // the most units that store holds
	CeilingTolerance float64 // how far that store may go below 0
}

// Terms are what may change between two requests.
type Terms struct {
	Plans         []Plan // those that there were keep their numbers; new ones follow
	MaxAttempts   int
	MaxRetryAfter time.Duration
}

// State is what the list of backends says of one.
type State int

// The states of a backend.
const (
	Ready State = iota
	Draining
	Removed
)

// Backend is one line of the list of backends.
type Backend struct {
	ID         uint32
	Zone       int // below 0: not known
	Kind       int
	Cell       int
	State      State
	Weight     float64
	Started    time.Duration // clock time of its last start
	StartKnown bool          // Started is known; otherwise it started long ago
}

// Candidate is one backend in the order in which a gateway turns to them; see
// [Gateway.SetCandidates].
type Candidate struct {
	Backend    uint32
	PickWeight float64 // how often it is looked at, relative to the others
}

// BackendView is what a gateway knows of one backend.
type BackendView struct {
	ID           uint32
	PickWeight   float64 // of [Candidate]
	Capacity     float64 // the least part of its capacity that it can have
	Latency      float64 // mean, over that of its classes in the fleet
	FailureRate  float64 // share of its attempts, of late
	InFlight     int     // attempts
	Used         bool    // new work goes to it
	Ejected      bool    // left out for its failures
	Unresponsive bool    // left out, as it answers nothing
}

// ListKind tells what a list of backends holds.
type ListKind int

// The kinds of list.
const (
	Delta  ListKind = iota // changed entries only
	Full                   // the complete list
	Cached                 // the complete list as last held, perhaps out of date
	Failed                 // no list: asking failed, the last one stays in force
)

// Request is one try of a client.
type Request struct {
	ID          uint32
	Class       int
	Plan        int
	Customer    uint64
	TimeLeft    time.Duration // the client gives this try up after it
	Units       float64       // what it draws from the quota
	Spread      int           // gateways through which this customer's requests may come
	First       int           // the first of these
	ClientRetry bool          // a client's repeat, where clients mark it: another gateway refused the customer
}

// Status is how an attempt ended.
type Status int

// The ends of an attempt. Refused, ConnectFailed and Unsent prove that it never ran.
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
// Config.ReportFields; N is 0 where none came.
type Load struct {
	N      int
	Values [4]float64
}

// Outcome is the one end of one attempt.
type Outcome struct {
	ID      uint32
	Attempt int
	Backend uint32
	Status  Status
	Elapsed time.Duration
	Done    bool // the request has its final answer
	// Metered tells that Used was reported: the customer's use over all
	// gateways in the last period added up, as a fraction of its rate (of the
	// cap on open attempts where the plan has no rate).
	Metered bool
	Used    float64
	// Age is how long ago the answer began to come: its figures are so old.
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

// Actions is what a Gateway does. Calls come only from within its methods and
// must not call back into it.
type Actions interface {
	// Send starts the next attempt of a request, given up after timeout.
	Send(id, backend uint32, timeout time.Duration)
	// Refuse is a final answer: trying again does no harm. After 0 gives no advice.
	Refuse(id uint32, after time.Duration)
	// Fail is a final answer that promises nothing.
	Fail(id uint32)
	// Cancel stops the wait for an attempt.
	Cancel(id uint32, attempt int)
	// Probe checks a backend.
	Probe(backend uint32)
	// SetTimer asks for a Timer call with the token.
	SetTimer(wait time.Duration, token uint64)
}
