package choice

// State of customers, requests and backends. Nothing in this file decides.

import (
	"math/rand/v2"
	"time"
)

// Gateway makes the decisions of one gateway. See the package comment for its contract.
type Gateway struct {
	cfg              Config
	act              Actions
	rng              *rand.Rand
	now              time.Duration
	created          time.Duration
	ceilingsEmptyAt  time.Duration   // until then others may have used up the ceilings of unknown customers
	planEmptyAt      []time.Duration // the same by plan, converted to the current terms; nil: unchanged
	ceilingChangedAt time.Duration   // last change of a ceiling
	slotLength       time.Duration   // of the local history
	customers        map[account]*customer
	records          []*customer // the same as a slice: evictions must not depend on map order
	clockHand        int         // index in records: where the next eviction starts
	requests         map[uint32]*request
	backends         map[uint32]*backend
	fleet            []*backend // ready backends in order of arrival: results must not depend on map order
	candidates       []*backend // backends to use, in order of preference; empty: the fleet
	subsetSize       int        // how many of the candidates are used at a time
	eligible         []*backend // scratch
	classes          []classLatency
	retryAfter       time.Duration   // given with a refusal
	retryBudget      float64         // further attempts that may be made
	zoneFailures     map[int]float64 // failure rate by zone: shows a zone's outage sooner than by backend
	nextSweep        time.Duration
	nextLimitStep    time.Duration
	inflightField    int           // index of "inflight" in a load report, or -1
	probeCredit      float64       // probes earned
	lastFirstAt      time.Duration // time of the last first attempt
	firstGap         float64       // mean time between first attempts, seconds
	firstCount       float64       // number of first attempts
	lastProbed       int           // index of the backend probed last
	meanReported     float64       // mean of the reported loads
	maxAim           time.Duration // longest aim of a class
	inFlight         int           // attempts
	notShed          float64       // recent share of requests that the limit has not held back
	meter            meterClock
	limiter          Limiter
	limitFactor      float64 // last result of limiter, in baselines
	peakInFlight     int     // max attempts in flight since its last step
	limited          bool    // it has held requests back since then
	refusals         [causeCount]uint64
	invalidReadings  uint64
	usage            []planUsage // by plan
}

// meterClock estimates when the meter switches to its next period, and how long before that the period ended.
type meterClock struct {
	lo, hi   time.Duration // a switch happened between these times, and one in each period since
	known    bool
	readings int
	lag      int // slots from the end of a period to its first reading
	lagError [maxLag * slotsPerPeriod]float64
}

// classLatency is the latency of successful answers of a class, in seconds.
type classLatency struct {
	mean   float64
	lowest float64 // recent minimum of the mean: latency without load
}

// account is the key of a customer record.
type account struct {
	customer uint64
	plan     int
}

type customer struct {
	key         account
	index       int // in Gateway.records
	plan        *Plan
	spread      float64       // number of gateways that share this customer
	lastSeen    time.Duration // last request
	probability float64       // admission probability a = 1 - b, between two updates
	measured    bool          // a reading has been counted
	referenced  bool          // requested again since the clock hand passed
	reading     float64       // last reading
	readingAt   time.Duration // its time
	period      int64         // number of the last period counted
	meanUse     float64       // mean use per period over all gateways, units (open plans: peak, in limits)
	meanApplied float64       // mean admission probability applied in those periods
	meanPassed  float64       // mean units admitted here per period
	meanOffered float64       // mean units requested here per period
	shownLevel  float64       // token bucket level at the end of the last counted period
	dither      float64       // random in [0, 1), for each reading: a share of 0.8 units passes 80 % of times
	shownAt     time.Duration // time of shownLevel
	open        int           // own attempts in flight
	// ceilingLevel is this gateway's share of the hard limit's token bucket, as of ceilingAt.
	ceilingLevel float64
	ceilingAt    time.Duration
	head         int64 // number of the newest slot
	slots        [slotsKept]slotUse
}

// slotUse is the local history of a customer in one slot.
// A customer has many, so they are kept small.
type slotUse struct {
	offered, passed    float32 // units
	probSum, probCount float32 // admission probabilities: that of the slot and those of its requests
}

// windowUse is the sum of several slots.
type windowUse struct {
	offered, passed float64 // units
	probability     float64 // mean
}

type request struct {
	Request
	record   *customer
	deadline time.Duration
	attempts []attempt
	inFlight int
	done     bool
}

type attempt struct {
	target           *backend
	sent             time.Duration
	ended, cancelled bool
	neverRan         bool // proved by its outcome
}

type backend struct {
	Backend
	inFlight       int           // own attempts
	othersInFlight float64       // attempts of other gateways, as last reported
	reportedAt     time.Duration // time of that report
	latency        float64       // mean latency relative to the class's mean
	failureRate    float64
	waitingSince   time.Duration // first send after the last answer
	outcomeAt      time.Duration // last answer or timeout
	ejectedUntil   time.Duration
	pickWeight     float64       // how often it is considered, relative to the others
	tokens         float64       // attempts that may be sent to it while it is cold
	tokensAt       time.Duration // time of tokens
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
