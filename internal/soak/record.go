//go:build linux && amd64

package soak

import (
	"sync"
	"time"
)

// kind is the class of a request, by what a second run of it does.
type kind int

const (
	lookup  kind = iota // may run at will
	order               // keyed: backends drop repeats for a time
	payment             // must run once
	kinds
)

// answerKind is how a request ended for its client.
type answerKind int

const (
	none    answerKind = iota // nothing came
	served                    // with the value made for it
	refused                   // -BUSY
	failed                    // any other answer
	wrong                     // a value made for another, or what can't be read
	partial                   // a value that broke off, as its client can tell
)

// request is one request as its client saw it.
type request struct {
	id       string
	kind     kind
	customer uint64
	capped   bool // its plan has a hard ceiling
	ingress  *ingress
	life     int       // of the ingress's processes, at the time
	first    bool      // the first on its connection
	sent     time.Time // its last byte
	begun    time.Time // the connection's dial
	limit    time.Duration
	body     int           // bytes
	inOrder  time.Duration // the longest limit of it and of those before it, whose answers come first

	answer   answerKind
	answered time.Time
	left     time.Time // its client closed the connection; zero: it did not
	cut      time.Time // the ingress ended the connection with no answer; zero: it did not
	attempts []*attempt
}

// attempt is one command that came whole to a backend.
type attempt struct {
	backend *backend
	begun   time.Time
	limit   time.Duration // as it was told
	ended   time.Time     // answered, or its connection ended; zero: neither
	ran     bool          // it was not turned away
	whole   bool          // its value was written whole, as it should be
}

// record holds all requests of a run.
type record struct {
	mu       sync.Mutex
	requests map[string]*request
	order    []*request
}

func (r *record) add(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[q.id] = q
	r.order = append(r.order, q)
}

// wrote notes that the value of an attempt was written whole.
func (r *record) wrote(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.whole = true
}

// change changes a request under the record's lock.
func (r *record) change(q *request, f func(*request)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(q)
}

// attempt notes an attempt of the request with this id; nil where no client sent one.
func (r *record) attempt(id string, a *attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.requests[id]
	if q == nil {
		return false
	}
	q.attempts = append(q.attempts, a)
	return true
}

func (r *record) end(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.ended.IsZero() {
		a.ended = time.Now()
	}
}
