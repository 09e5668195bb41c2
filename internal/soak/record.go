//go:build linux

package soak

import (
	"sync"
	"time"
)

// class is the class of a request. Classes differ in what a second execution does.
type class int

const (
	lookup  class = iota // may be executed any number of times
	order                // has a deduplication key: backends drop repeats within dedupWindow
	payment              // must not be executed twice
	numClasses
)

// answerOutcome is how a request ended for its client.
type answerOutcome int

const (
	noAnswer        answerOutcome = iota // nothing was received
	served                               // with the value of this request
	refused                              // -BUSY
	failed                               // any other error
	invalidAnswer                        // the value of another request, or malformed
	truncatedAnswer                      // a value that ends early, which the client notices
)

// request is a request as its client saw it.
type request struct {
	id              string
	class           class
	customer        uint64
	capped          bool // its plan has a hard rate limit
	ingress         *ingress
	processIndex    int       // of the ingress process that the client connected to
	firstOnConn     bool      // the first request on its connection
	sentAt          time.Time // when its last byte was written
	dialedAt        time.Time // when the client began to connect
	timeout         time.Duration
	bodySize        int           // in bytes
	pipelineTimeout time.Duration // the longest timeout among it and the pipelined requests before it, which are answered first

	outcome        answerOutcome
	answeredAt     time.Time
	clientClosedAt time.Time // when the client closed the connection; zero: it did not
	connClosedAt   time.Time // when the ingress closed the connection without an answer; zero: it did not
	attempts       []*attempt
}

// attempt is a complete command that a backend received.
type attempt struct {
	backend      *backend
	receivedAt   time.Time
	timeout      time.Duration // as the command states it
	endedAt      time.Time     // when it was answered or its connection ended; zero: neither
	executed     bool          // the backend did not refuse it
	valueWritten bool          // the backend wrote the complete, correct value, and no reset of its connection dropped any of it
}

// record holds all requests of a run, by ID and in the order in which clients wrote them.
type record struct {
	mu       sync.Mutex
	byID     map[string]*request
	sequence []*request
}

func (r *record) add(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[q.id] = q
	r.sequence = append(r.sequence, q)
}

// setValueWritten records whether a backend wrote the complete value of an attempt, and its connection carried it.
func (r *record) setValueWritten(a *attempt, written bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.valueWritten = written
}

// update changes a request while the record is locked.
func (r *record) update(q *request, f func(*request)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(q)
}

// addAttempt adds an attempt to the request with this ID. It returns false if no client sent such a request.
func (r *record) addAttempt(id string, a *attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.byID[id]
	if q == nil {
		return false
	}
	q.attempts = append(q.attempts, a)
	return true
}

func (r *record) endAttempt(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.endedAt.IsZero() {
		a.endedAt = time.Now()
	}
}
