// Package upstream is the pool of connections to backends; attempts and probes run
// on them. It makes no decisions about requests: the caller chooses the backend, and
// the pool reports how each attempt ended and whether it may have run.
//
// All of it runs on the reactor's goroutine. Each connection is a small state
// machine (conn.go), whose state tells whether its attempt may have run. trust.go
// decides how soon a connection is reused.
package upstream

import (
	"maps"
	"slices"
	"time"

	"wickarch/choice"
	"wickarch/internal/reactor"
)

const (
	idleTimeoutShare = 0.6 // idle connections are closed after this share of the backend's idle timeout
	// A reused connection may be reset at its next request, which then may have run.
	// While the recent share of such resets exceeds maxResetRate, attempts that are not
	// repeatable use new connections. resetRateWeight is the weight of one attempt in
	// that moving average.
	maxResetRate    = 0.02
	resetRateWeight = 0.05
	// replyStallTimeout is how long a reply that has begun may pause before its end.
	replyStallTimeout = 300 * time.Millisecond
	// A dial for which the system has no descriptor, port, buffer or route is retried
	// after minDialBackoff, which doubles each time up to maxDialBackoff.
	minDialBackoff = 2 * time.Millisecond
	maxDialBackoff = 64 * time.Millisecond
)

// Config configures a Pool.
type Config struct {
	MaxConnections     int           // at the same time, including those being established
	BackendIdleTimeout time.Duration // after which a backend closes an idle connection
	ConnectTimeout     time.Duration
	ReportFields       []string // names of the fields of a load report, in the order of choice.Load.Values
	TrustThreshold     int      // clean cooldowns in a row until a backend is trusted (trust.go); 0: 1,000
}

// Message builds what an attempt sends. wait is the time left until the attempt's
// deadline.
type Message interface {
	AppendTo(b []byte, wait time.Duration) []byte
}

// Attempt is one attempt of a request, or a probe. The owner sets the exported
// fields and must not change them until Sink.Ended.
type Attempt struct {
	Message    Message
	Deadline   time.Duration // on the reactor's clock
	WriteBy    time.Duration // its last byte must be written before then; 0: no such limit
	Repeatable bool          // running it twice does no harm
	Backend    uint32
	Number     int // index among the request's attempts
	Probe      bool
	Owner      any // the request

	started     time.Duration
	firstByteAt time.Duration // when the first byte of the reply arrived; 0: none has
	conn        *conn         // nil before it has one, and after the attempt has ended
	singleUse   bool          // uses a new connection that is closed afterwards
	reused      bool          // uses a connection that was idle
}

// writeDeadline returns when the last byte of the attempt must be written.
func (a *Attempt) writeDeadline() time.Duration {
	if a.WriteBy > 0 {
		return min(a.WriteBy, a.Deadline)
	}
	return a.Deadline
}

// Sink receives the pool's reports.
type Sink interface {
	// Ended reports the outcome of an attempt, once for each. The attempt's connection
	// is closed by then or has delivered the complete reply, except for a Stream. It is
	// never called from within Start or Abort.
	Ended(a *Attempt, r Reply, elapsed time.Duration)
	// Written reports that the last byte of an attempt has been written, once for
	// each. It may be called from within Start.
	Written(a *Attempt)
	// Trailer reports the usage and load that followed a large value, whose attempt has ended.
	Trailer(a *Attempt, r Reply)
	// MayWrite decides whether an attempt may be written now. It is called before the first byte.
	MayWrite(a *Attempt) bool
	// OutOfDescriptors reports that a dial failed because descriptors have run out.
	OutOfDescriptors()
}

// Pool holds the backends and their connections.
type Pool struct {
	cfg         Config
	loop        *reactor.Loop
	sink        Sink
	byName      map[string]*backend
	byID        map[uint32]*backend
	byAddr      map[string][]*backend // of those in byName
	lastID      uint32
	resetRate   float64   // moving average of reused connections that were reset at their next request
	open        int       // connections, including those being established
	unsolicited uint64    // number of times that something other than the reply to a request arrived
	connected   []*conn   // established in this round, and their attempts are not sent yet
	outcomes    []outcome // not reported to the sink yet
	reporting   []outcome // being reported by Round
	writeBuffer []byte    // shared by all connections
	readBuffer  []byte    // shared by all connections
}

type outcome struct {
	attempt *Attempt
	reply   Reply
	elapsed time.Duration
}

type backend struct {
	id        uint32
	name      string // id in discovery
	addr      string
	startedAt int64   // when it last started, according to discovery
	idle      []*conn // longest idle first
	stopped   bool    // draining or removed, according to discovery
	trust     trustRecord
}

const sharedBufferSize = 64 << 10

// New returns an empty pool.
func New(cfg Config, loop *reactor.Loop, sink Sink) *Pool {
	if cfg.TrustThreshold == 0 {
		cfg.TrustThreshold = defaultTrustThreshold
	}
	return &Pool{cfg: cfg, loop: loop, sink: sink, byName: map[string]*backend{}, byID: map[uint32]*backend{},
		byAddr:     map[string][]*backend{},
		readBuffer: make([]byte, sharedBufferSize)}
}

// Round sends the attempts whose connections were established, and reports the
// outcomes since the last call.
func (p *Pool) Round() {
	for i, c := range p.connected {
		c.sendConnected()
		p.connected[i] = nil
	}
	p.connected = p.connected[:0]
	for len(p.outcomes) > 0 {
		p.reporting, p.outcomes = p.outcomes, p.reporting[:0]
		for i, o := range p.reporting {
			p.sink.Ended(o.attempt, o.reply, o.elapsed)
			p.reporting[i] = outcome{}
		}
	}
}

// Next reports whether Round has work to do.
func (p *Pool) Next() (at time.Duration, any bool) { return 0, len(p.outcomes)+len(p.connected) > 0 }

// BackendIDs returns the gateway's id of each backend, by its id in discovery.
func (p *Pool) BackendIDs() map[string]uint32 {
	known := make(map[string]uint32, len(p.byName))
	for name, b := range p.byName {
		known[name] = b.id
	}
	return known
}

// BackendCount returns the number of backends in discovery, including those that drain.
func (p *Pool) BackendCount() int { return len(p.byName) }

// Reusable returns the number of idle connections that could carry an attempt now.
func (p *Pool) Reusable() (n int) {
	now := p.loop.Now()
	for _, b := range p.byID {
		for _, c := range b.idle {
			if p.trusted(b) || now-c.idleSince >= reuseCooldown {
				n++
			}
		}
	}
	return n
}

// Open returns the number of connections, including those being established.
func (p *Pool) Open() int { return p.open }

// Member is one backend in discovery.
type Member struct {
	Name      string // id in discovery
	Address   string
	StartedAt int64 // when it last started, Unix time in milliseconds
	State     choice.State
}

// Update takes over the state of one backend from discovery and returns the gateway's id for it.
func (p *Pool) Update(m Member) uint32 {
	b := p.byName[m.Name]
	if b == nil {
		p.lastID++
		b = &backend{id: p.lastID, name: m.Name, addr: m.Address}
		p.add(b)
	}
	if b.addr != m.Address && m.Address != "" {
		b.stop()
		// Attempts in flight keep the old record and its connections.
		p.remove(b)
		b = &backend{id: b.id, name: m.Name, addr: m.Address}
		p.add(b)
	}
	b.startedAt = m.StartedAt
	if b.stopped = m.State != choice.Ready; b.stopped {
		b.stop()
	}
	if m.State == choice.Removed {
		p.remove(b)
	}
	return b.id
}

func (p *Pool) add(b *backend) {
	p.byName[b.name], p.byID[b.id] = b, b
	p.byAddr[b.addr] = append(p.byAddr[b.addr], b)
}

func (p *Pool) remove(b *backend) {
	delete(p.byName, b.name)
	delete(p.byID, b.id)
	if others := slices.DeleteFunc(p.byAddr[b.addr], func(o *backend) bool { return o == b }); len(others) > 0 {
		p.byAddr[b.addr] = others
	} else {
		delete(p.byAddr, b.addr)
	}
}

// OtherAtAddress returns another backend at the address of m that is ready, according
// to discovery.
func (p *Pool) OtherAtAddress(m Member) (other Member, found bool) {
	for _, b := range p.byAddr[m.Address] {
		if b.name != m.Name && !b.stopped && (!found || b.name < other.Name) {
			other, found = Member{Name: b.name, Address: b.addr, StartedAt: b.startedAt}, true
		}
	}
	return other, found
}

// RemoveUnlisted removes all backends that are not in listed, a complete list from discovery.
func (p *Pool) RemoveUnlisted(listed map[string]bool) {
	for _, name := range slices.Sorted(maps.Keys(p.byName)) { // sorted, for a deterministic order
		if b := p.byName[name]; !listed[name] {
			b.stop()
			p.remove(b)
		}
	}
}

// AnyReady reports whether there is a backend that takes attempts.
func (p *Pool) AnyReady() bool {
	for _, b := range p.byID {
		if !b.stopped {
			return true
		}
	}
	return false
}

// stop stops sending new attempts to the backend, and closes its idle connections.
func (b *backend) stop() {
	b.stopped = true
	idle := b.idle
	b.idle = nil
	for _, c := range idle {
		c.close()
	}
}

// Start begins an attempt, on an idle connection if one can be reused.
func (p *Pool) Start(a *Attempt) {
	a.started = p.loop.Now()
	b := p.byID[a.Backend]
	if b == nil || b.stopped { // discovery changed it after the gateway chose it: nothing is sent
		p.recordOutcome(a, Reply{Status: choice.ConnectFailed, Cause: CauseBackendGone})
		return
	}
	if a.singleUse = !a.Repeatable && p.resetRate > maxResetRate; !a.singleUse {
		for c := p.takeIdle(b, a.started); c != nil; c = p.takeIdle(b, a.started) {
			if c.tryReuse(a) {
				a.reused = true
				return
			}
		}
	}
	if p.open >= p.cfg.MaxConnections {
		p.Evict()
	}
	if p.open >= p.cfg.MaxConnections {
		p.recordOutcome(a, Reply{Status: choice.ConnectFailed, Cause: CauseNoPlace})
		return
	}
	p.dial(b, a)
}

// Forbid is called in place of Start for an attempt that must not begin: it ends as one that never ran.
func (p *Pool) Forbid(a *Attempt) {
	a.started = p.loop.Now()
	p.recordOutcome(a, Reply{Status: choice.ConnectFailed, Cause: CauseForbidden})
}

// Abort ends an attempt. Its outcome is reported like any other; its connection is
// closed before, so that no second attempt overlaps it.
func (p *Pool) Abort(a *Attempt) {
	if a.conn != nil {
		a.conn.fail(choice.Cancelled, CauseCancelled, nil)
	}
}

// Withdraw ends an attempt of a request that is over, if the attempt's last byte has
// not been written. It never ran, through no fault of its backend, so it ends as
// moot. An attempt that may have run goes on.
func (p *Pool) Withdraw(a *Attempt) {
	if c := a.conn; c != nil && !c.state.mayHaveRun() {
		c.close()
		p.recordOutcome(a, Reply{Status: choice.Unsent, Cause: CauseWithdrawn})
	}
}

// recordOutcome records the outcome of an attempt, which Round reports.
func (p *Pool) recordOutcome(a *Attempt, r Reply) {
	a.conn = nil
	if a.reused {
		reset := 0.0
		if r.Status == choice.Reset {
			reset = 1
		}
		p.resetRate += resetRateWeight * (reset - p.resetRate)
	}
	elapsed := p.loop.Now() - a.started
	if a.firstByteAt > 0 {
		r.Age = a.started + elapsed - a.firstByteAt
	}
	if r.Status == choice.OK && a.firstByteAt > 0 {
		// The time that the backend took to serve it. The time to transfer the reply,
		// written slowly or in pieces, says nothing about the backend's load.
		elapsed = a.firstByteAt - a.started
	}
	p.outcomes = append(p.outcomes, outcome{a, r, elapsed})
}

// Evict closes the connection that has been idle for longest, to make room for one to
// another backend.
func (p *Pool) Evict() {
	var longest *conn
	for _, b := range p.byID {
		if len(b.idle) == 0 {
			continue
		}
		if c := b.idle[0]; longest == nil || c.idleSince < longest.idleSince || c.idleSince == longest.idleSince && b.id < longest.target.id {
			longest = c
		}
	}
	if longest != nil {
		longest.close()
	}
}

// Close stops all backends and closes their idle connections.
func (p *Pool) Close() {
	for _, b := range p.byID {
		b.stop()
	}
}
