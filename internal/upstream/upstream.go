// Package upstream holds the connections to backends and carries attempts and
// probes out on them. It decides nothing of requests: it is told which backend,
// and tells how each attempt ended and whether it may have run.
//
// All of it runs on the reactor's goroutine. Each connection is a small state
// machine (conn.go); its state says what is known of the attempt that it
// carries. How soon a connection is used again is decided in trust.go.
package upstream

import (
	"maps"
	"slices"
	"time"

	"wickarch/choice"
	"wickarch/internal/reactor"
)

const (
	idleShare = 0.6 // of the time after which a backend closes an idle connection
	// Kept connections may be reset at their next request, which then may have
	// run. While more than staleMost of them are, of late, what can't be repeated
	// goes on new ones; staleWeight is the weight of one attempt in that share.
	staleMost   = 0.02
	staleWeight = 0.05
	// answerStall is how long an answer that has begun may say nothing before its end.
	answerStall = 300 * time.Millisecond
	// A dial that finds no descriptor is tried again after dialRetry and twice
	// as long each time, up to dialRetryMost.
	dialRetry     = 2 * time.Millisecond
	dialRetryMost = 64 * time.Millisecond
)

// Config bounds the connections.
type Config struct {
	MaxConnections     int           // at once, those coming up among them
	BackendIdleTimeout time.Duration // a backend closes connections idle for so long
	ConnectTimeout     time.Duration
	ReportFields       []string // the fields of a load report, in their order
	TrustThreshold     int      // rests in a row that earn a backend trust (trust.go); 0: 1,000
}

// Message is what an attempt sends. wait is how long its answer is waited for.
type Message interface {
	AppendTo(b []byte, wait time.Duration) []byte
}

// Attempt is one attempt of a request, or a probe. The owner sets the exported
// fields and keeps them until Ended.
type Attempt struct {
	Message    Message
	Deadline   time.Duration // on the reactor's clock
	WriteBy    time.Duration // its last byte must be written before then; 0: no such bound
	Repeatable bool          // may run twice
	Backend    uint32
	Number     int // of the request's attempts
	Probe      bool
	Owner      any // the request

	started time.Duration
	heard   time.Duration // the first byte of its answer came; 0: none has
	conn    *conn         // on which it is out; nil once it has ended
	fresh   bool          // on a connection of its own, which is not kept
	kept    bool          // on one that was kept
}

// until is when its last byte must be written.
func (a *Attempt) until() time.Duration {
	if a.WriteBy > 0 {
		return min(a.WriteBy, a.Deadline)
	}
	return a.Deadline
}

// Sink is told what the pool can't decide.
type Sink interface {
	// Ended tells the outcome of an attempt, once for each. Its connection is
	// closed by then, or has carried the whole answer. It is never called from
	// within Start or Abort.
	Ended(a *Attempt, r Reply, elapsed time.Duration)
	// Written tells that the last byte of an attempt has been written, once for
	// each. It may be called from within Start.
	Written(a *Attempt)
	// Trailer tells what stood behind a large value whose attempt had ended.
	Trailer(a *Attempt, r Reply)
	// MayWrite tells whether an attempt may be written now. It is asked before its first byte.
	MayWrite(a *Attempt) bool
	// OutOfDescriptors tells that descriptors have run out in a dial.
	OutOfDescriptors()
}

// Pool holds the backends and the connections to them.
type Pool struct {
	cfg        Config
	loop       *reactor.Loop
	sink       Sink
	byName     map[string]*backend
	byID       map[uint32]*backend
	byAddr     map[string][]*backend // of those in byName
	lastID     uint32
	stale      float64 // share of kept connections that were reset at their next request
	open       int     // connections, those coming up among them
	violations uint64  // bytes that came though nobody asked for them
	up         []*conn // have come up in this round, and their attempts are not sent yet
	ends       []end   // outcomes not told yet
	told       []end
	out        []byte // written from by every connection in turn
	in         []byte // read into by every connection in turn
}

type end struct {
	attempt *Attempt
	reply   Reply
	elapsed time.Duration
}

type backend struct {
	id      uint32
	name    string // discovery's id
	addr    string
	since   int64   // when it last started, as discovery tells it
	idle    []*conn // the longest idle first
	stopped bool    // told to be draining or gone
	proof   proof
}

const sharedBuffer = 64 << 10

// New makes an empty pool.
func New(cfg Config, loop *reactor.Loop, sink Sink) *Pool {
	if cfg.TrustThreshold == 0 {
		cfg.TrustThreshold = usualProof
	}
	return &Pool{cfg: cfg, loop: loop, sink: sink, byName: map[string]*backend{}, byID: map[uint32]*backend{},
		byAddr: map[string][]*backend{},
		in:     make([]byte, sharedBuffer)}
}

// Round sends what waited for its connection, and tells the outcomes that have
// gathered.
func (p *Pool) Round() {
	for i, c := range p.up {
		c.cameUp()
		p.up[i] = nil
	}
	p.up = p.up[:0]
	for len(p.ends) > 0 {
		p.told, p.ends = p.ends, p.told[:0]
		for i, e := range p.told {
			p.sink.Ended(e.attempt, e.reply, e.elapsed)
			p.told[i] = end{}
		}
	}
}

// Next tells when Round has something to do.
func (p *Pool) Next() (at time.Duration, any bool) { return 0, len(p.ends)+len(p.up) > 0 }

// BackendIDs are the backends, each with the gateway's id for it.
func (p *Pool) BackendIDs() map[string]uint32 {
	known := make(map[string]uint32, len(p.byName))
	for name, b := range p.byName {
		known[name] = b.id
	}
	return known
}

// BackendCount is how many backends discovery names, those that drain among them.
func (p *Pool) BackendCount() int { return len(p.byName) }

// Reusable is how many connections could carry an attempt now.
func (p *Pool) Reusable() (n int) {
	now := p.loop.Now()
	for _, b := range p.byID {
		for _, c := range b.idle {
			if p.trusted(b) || now-c.since >= fullRest {
				n++
			}
		}
	}
	return n
}

// Open is the number of connections, those coming up among them.
func (p *Pool) Open() int { return p.open }

// Member is what discovery says of one backend.
type Member struct {
	Name      string // discovery's id
	Address   string
	StartedAt int64 // when it last started, Unix time in milliseconds
	State     choice.State
}

// Update takes what discovery says of one backend and returns the gateway's id for it.
func (p *Pool) Update(m Member) uint32 {
	b := p.byName[m.Name]
	if b == nil {
		p.lastID++
		b = &backend{id: p.lastID, name: m.Name, addr: m.Address}
		p.list(b)
	}
	if b.addr != m.Address && m.Address != "" {
		b.stop()
		// Attempts under way keep the old record, and their connections with it.
		p.drop(b)
		b = &backend{id: b.id, name: m.Name, addr: m.Address}
		p.list(b)
	}
	b.since = m.StartedAt
	if b.stopped = m.State != choice.Ready; b.stopped {
		b.stop()
	}
	if m.State == choice.Removed {
		p.drop(b)
	}
	return b.id
}

func (p *Pool) list(b *backend) {
	p.byName[b.name], p.byID[b.id] = b, b
	p.byAddr[b.addr] = append(p.byAddr[b.addr], b)
}

func (p *Pool) drop(b *backend) {
	delete(p.byName, b.name)
	delete(p.byID, b.id)
	if at := slices.DeleteFunc(p.byAddr[b.addr], func(o *backend) bool { return o == b }); len(at) > 0 {
		p.byAddr[b.addr] = at
	} else {
		delete(p.byAddr, b.addr)
	}
}

// OtherAtAddress returns another backend at the address of m, which serves as far as
// discovery has told.
func (p *Pool) OtherAtAddress(m Member) (other Member, any bool) {
	for _, b := range p.byAddr[m.Address] {
		if b.name != m.Name && !b.stopped && (!any || b.name < other.Name) {
			other, any = Member{Name: b.name, Address: b.addr, StartedAt: b.since}, true
		}
	}
	return other, any
}

// RemoveUnlisted drops all backends that a complete list does not name.
func (p *Pool) RemoveUnlisted(named map[string]bool) {
	for _, name := range slices.Sorted(maps.Keys(p.byName)) { // in the same order each time
		if b := p.byName[name]; !named[name] {
			b.stop()
			p.drop(b)
		}
	}
}

// AnyReady tells whether there is a backend to send to.
func (p *Pool) AnyReady() bool {
	for _, b := range p.byID {
		if !b.stopped {
			return true
		}
	}
	return false
}

// stop lets nothing new go to a backend, and closes its idle connections.
func (b *backend) stop() {
	b.stopped = true
	idle := b.idle
	b.idle = nil
	for _, c := range idle {
		c.close()
	}
}

// Start sets an attempt going, on a kept connection if one will do.
func (p *Pool) Start(a *Attempt) {
	a.started = p.loop.Now()
	b := p.byID[a.Backend]
	if b == nil || b.stopped { // told since the choice: nothing is sent
		p.end(a, Reply{Status: choice.ConnectFailed, Cause: CauseBackendGone})
		return
	}
	if a.fresh = !a.Repeatable && p.stale > staleMost; !a.fresh {
		for c := p.take(b, a.started); c != nil; c = p.take(b, a.started) {
			if c.carry(a) {
				a.kept = true
				return
			}
		}
	}
	if p.open >= p.cfg.MaxConnections {
		p.Evict()
	}
	if p.open >= p.cfg.MaxConnections {
		p.end(a, Reply{Status: choice.ConnectFailed, Cause: CauseNoPlace})
		return
	}
	p.dial(b, a)
}

// Forbid ends an attempt that must not begin, in place of Start.
func (p *Pool) Forbid(a *Attempt) {
	a.started = p.loop.Now()
	p.end(a, Reply{Status: choice.ConnectFailed, Cause: CauseForbidden})
}

// Abort stops the wait for an attempt. Its outcome comes as for any other; its
// connection is closed before, so that no second attempt overlaps it.
func (p *Pool) Abort(a *Attempt) {
	if a.conn != nil {
		a.conn.fail(choice.Cancelled, CauseCancelled, nil)
	}
}

// Withdraw drops an attempt of a request that is over, if its last byte has not
// been written. It never ran, and that is no fault of its backend's: it ends as
// moot. One that may have run goes on.
func (p *Pool) Withdraw(a *Attempt) {
	if c := a.conn; c != nil && !c.state.mayHaveRun() {
		c.close()
		p.end(a, Reply{Status: choice.Unsent, Cause: CauseWithdrawn})
	}
}

// end notes the outcome of an attempt.
func (p *Pool) end(a *Attempt, r Reply) {
	a.conn = nil
	if a.kept {
		reset := 0.0
		if r.Status == choice.Reset {
			reset = 1
		}
		p.stale += staleWeight * (reset - p.stale)
	}
	elapsed := p.loop.Now() - a.started
	if a.heard > 0 {
		r.Age = a.started + elapsed - a.heard
	}
	if r.Status == choice.OK && a.heard > 0 {
		// How long the backend took to serve it. What its answer then takes on
		// the way, written slowly or cut in pieces, tells nothing of its load.
		elapsed = a.heard - a.started
	}
	p.ends = append(p.ends, end{a, r, elapsed})
}

// Evict closes the connection that has been idle for longest, to make room for
// another backend's.
func (p *Pool) Evict() {
	var longest *conn
	for _, b := range p.byID {
		if len(b.idle) == 0 {
			continue
		}
		if c := b.idle[0]; longest == nil || c.since < longest.since || c.since == longest.since && b.id < longest.to.id {
			longest = c
		}
	}
	if longest != nil {
		longest.close()
	}
}

// Close ends all connections; the attempts on them end as cancelled.
func (p *Pool) Close() {
	for _, b := range p.byID {
		b.stop()
	}
}
