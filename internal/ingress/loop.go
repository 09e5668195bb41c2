package ingress

import (
	"fmt"
	"log/slog"
	"time"

	"wickarch/choice"
	"wickarch/internal/fleet"
	"wickarch/internal/lifecycle"
	"wickarch/internal/reactor"
	"wickarch/internal/upstream"
	"wickarch/subset"
)

const (
	// answerMargin is subtracted from a client's time limit, so that an answer given at the end of it still arrives
	// before the client gives up.
	answerMargin          = 15 * time.Millisecond
	answerMarginDivisor   = 10 // answerMargin is at most the time limit divided by this
	probeTimeout          = 250 * time.Millisecond
	clientMemoryDivisor   = 6    // memory held for clients: the process's memory divided by this
	customerMemoryDivisor = 5    // memory for customer records: the process's memory divided by this
	customerBytes         = 1400 // memory of one customer record, with its entries in the gateway's map and row
	idMemoryDivisor       = 32   // memory for request ids: the process's memory divided by this
	idBytes               = 32   // memory of one request id
	recentRead            = 5 * time.Millisecond
	idsMargin             = time.Second // request ids are remembered for so long beyond the longest deadline
)

// loop owns the gateway and all that it decides on. It belongs to the reactor's goroutine, as front and upstream
// do: a request passes from one to the other by plain calls. None of these may call the gateway while it is
// running itself, so its answers are delivered by deliverAnswers, and the ends of attempts are reported in the
// pool's turn of the round.
type loop struct {
	*reactor.Loop
	cfg              *Config
	gateway          *choice.Gateway
	fleet            *fleet.Fleet // of the gateway's backends
	ready            bool         // discovery was asked and backends are known
	discoveryAsked   bool         // discovery was asked at least once
	pool             *upstream.Pool
	outOfDescriptors bool // descriptors have run out in a dial; the front makes room in its turn
	requests         map[uint32]*request
	lastID           uint32
	ids              recentIDs
	memory           *memory
	replySizes       replySizes
	answers          []answer // given by the gateway and not delivered yet
	delivering       bool
	metrics          metrics
	events           eventLog
	starts           startClock
	rules            []lifecycle.Rules // by class
	freeAlarms       *alarm            // of the gateway's timers, to be reused
	runtimeConfig    *runtimeConfig    // nil while no version of the configuration was in force
}

// outcomeKind is how a request ends for its client.
type outcomeKind uint8

const (
	served outcomeKind = iota
	refused
	failed
	duplicate // not accepted: a request with its id is open, or was recently
)

// outcome is the final answer of a request, independent of the protocol.
type outcome struct {
	kind       outcomeKind
	value      []byte        // served: as the backend sent it
	stream     valueStream   // in place of value, if that is large; the receiver reads it to its end or closes it
	retryAfter time.Duration // refused: the advised delay before a retry; 0: no advice
}

// answerer receives the final answer of a request. It does not block, and is never called while the gateway is
// running.
type answerer interface {
	Answer(outcome)
	// MayHaveLeft reports whether the receiver of the answer has left, or may have unnoticed.
	MayHaveLeft() bool
}

type answer struct {
	to answerer
	outcome
}

// request is one try of a client, from its last byte to its final answer and the end of its last attempt.
type request struct {
	*command
	id          uint32 // the id that the gateway uses: the clients' ids are longer
	size        int    // of its message
	replyMemory int    // reserved for its reply; 0 once it has one
	holders     uint8  // of it: its slot, and loop.requests; its memory is released when none is left
	replyTo     answerer
	slot        slot // the place of the reply, if the client speaks RESP
	deadline    time.Duration
	arrivedAt   time.Duration // when its last byte had arrived
	firstSentAt time.Duration // when its first attempt began
	holdsID     bool          // its id was not known, and is remembered for it
	state       lifecycle.Request
	attempts    []*upstream.Attempt

	firstAttempt  upstream.Attempt // most requests need no other
	attemptsArray [1]*upstream.Attempt
}

func newLoop(cfg *Config, on *reactor.Loop) (*loop, error) {
	l := &loop{
		Loop: on, cfg: cfg, requests: map[uint32]*request{}, metrics: metrics{classes: make([]ClassCounters, len(cfg.Choice.Classes))},
		memory: &memory{limit: int64(cfg.Limits.MemoryMB) << 20 / clientMemoryDivisor},
	}
	l.replySizes = make(replySizes, len(cfg.Choice.Classes))
	l.rules = lifecycleRules(cfg.Choice)
	if cfg.Options.Log.LogsRequests() {
		l.events.details = slog.Default()
	}
	longest := time.Duration(0)
	for _, c := range cfg.Choice.Classes {
		longest = max(longest, c.Deadline)
	}
	l.ids = recentIDs{retention: longest + idsMargin, limit: cfg.Limits.MemoryMB << 20 / idMemoryDivisor / idBytes}
	l.pool = upstream.New(upstream.Config{MaxConnections: cfg.Limits.maxBackendConns(), BackendIdleTimeout: cfg.backendIdleTimeout,
		ConnectTimeout: cfg.connectTimeout, ReportFields: cfg.Choice.ReportFields, TrustThreshold: cfg.TrustThreshold}, on, l)
	on.Add(l.pool)
	var err error
	choiceConfig := cfg.Choice
	choiceConfig.MaxCustomers = cfg.Limits.MemoryMB << 20 / customerMemoryDivisor / customerBytes
	if l.gateway, err = choice.New(choiceConfig, cfg.Seed, l.Now(), l); err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	if l.fleet, err = fleet.New(cfg.Choice, l.gateway, l.Now()); err != nil {
		return nil, err
	}
	l.updateMembers(choice.Cached, cfg.CachedMembers)
	return l, nil
}

// deliverAnswers delivers the answers that the gateway has given. It is called after every call of the gateway.
// A delivery may end other requests, whose clients do not read; what these lead to is also delivered before it
// returns.
func (l *loop) deliverAnswers() {
	if l.delivering {
		return
	}
	l.delivering = true
	for i := 0; i < len(l.answers); i++ {
		a := l.answers[i]
		l.answers[i] = answer{}
		a.to.Answer(a.outcome)
	}
	l.answers = l.answers[:0]
	l.delivering = false
}

// startRequest submits a client's request to the gateway.
func (l *loop) startRequest(r *request) {
	l.lastID++
	for l.requests[l.lastID] != nil {
		l.lastID++
	}
	r.id = l.lastID
	l.requests[r.id] = r
	r.state = lifecycle.Request{Rules: &l.rules[r.class], Deadline: r.deadline}
	l.metrics.open++
	now := l.Now()
	switch l.ids.add(r.requestID, now) {
	case idAdded:
		r.holdsID = true
		l.gateway.Request(now, choice.Request{
			ID: r.id, Class: r.class, Plan: r.plan, Customer: r.customer, TimeLeft: r.deadline - now,
			Units: r.units, Spread: r.spread, First: r.first, ClientRetry: r.repeat,
		})
	case idKnown: // a copy of another client's request: the value belongs to that request alone
		l.answer(r, outcome{kind: duplicate})
	case idsFull: // a copy of this request could not be told from it
		l.events.memoryRefusals++
		l.answer(r, outcome{kind: refused})
	}
	l.fleet.Step(now)
	l.forgetIfDone(r)
	l.deliverAnswers()
}

// forgetIfDone drops a request that has ended and has no attempt in flight. Its id is remembered only if it may have
// run: otherwise a copy of it does no harm, and a flood of requests that are refused would use up the memory for ids.
func (l *loop) forgetIfDone(r *request) {
	if !r.state.Finished() || r.state.InFlight() > 0 || l.requests[r.id] != r {
		return
	}
	delete(l.requests, r.id)
	l.releaseReplyMemory(r)
	l.memory.release(r.size)
	r.args = nil // the rest may have to stay until the replies before its own are written
	l.releaseRequest(r)
	if r.holdsID && !r.state.MayHaveRun() {
		l.ids.remove(r.requestID)
	}
}

// reserveRequest reserves the memory for a request with a message of this size. It returns the part for its reply, and
// reports false if there is no memory.
func (l *loop) reserveRequest(class, size int) (replyMemory int, ok bool) {
	replyMemory = l.replySizes.expected(class)
	return replyMemory, l.memory.tryReserve(size + requestBytes + replyMemory)
}

// releaseReplyMemory releases what was reserved for a reply, which is counted by its own size from now on.
func (l *loop) releaseReplyMemory(r *request) {
	l.memory.release(r.replyMemory)
	r.replyMemory = 0
}

// releaseRequest releases the memory of a request itself once none of its holders is left.
func (l *loop) releaseRequest(r *request) {
	if r.holders--; r.holders == 0 {
		l.memory.release(requestBytes)
	}
}

// abandonRequests ends open requests whose client has disconnected.
func (l *loop) abandonRequests(open []*request) {
	if len(open) == 0 {
		return
	}
	for _, r := range open {
		if r.state.Abandon() {
			l.metrics.open--
			l.events.requestAbandoned(r)
			l.withdraw(r)
			l.gateway.Disconnected(l.Now(), r.id)
			l.forgetIfDone(r)
		}
	}
	l.deliverAnswers()
}

// withdraw discards what a request that has ended still waits to send, whether or not the settings allow work to
// be cancelled: what has not been written whole never ran.
func (l *loop) withdraw(r *request) {
	for _, a := range r.attempts {
		l.pool.Withdraw(a)
	}
}

// Ended handles the end of an attempt or a probe.
func (l *loop) Ended(a *upstream.Attempt, reply upstream.Reply, elapsed time.Duration) {
	defer l.deliverAnswers()
	if a.Probe {
		l.gateway.Probed(l.Now(), choice.ProbeResult{
			Backend: a.Backend, Status: reply.Status, Elapsed: elapsed, Load: reply.Load})
		return
	}
	r := a.Owner.(*request)
	if reply.Cause != upstream.CauseForbidden {
		r.state.AttemptEnded(mayHaveRun(reply.Status))
	}
	l.events.attemptEnded(r, a, reply)
	l.fleet.Ended()
	if reply.Stream != nil {
		if r.state.Finished() {
			reply.Stream.Close()
		} else {
			l.answer(r, outcome{kind: served, stream: reply.Stream})
		}
	} else if reply.Status == choice.OK {
		l.answer(r, outcome{kind: served, value: reply.Value})
	}
	l.gateway.Outcome(l.Now(), choice.Outcome{
		ID: r.id, Attempt: a.Number, Backend: a.Backend, Status: reply.Status, Elapsed: elapsed, Done: r.state.Finished(),
		Metered: reply.Metered, Used: reply.Used, Age: reply.Age, Load: reply.Load,
	})
	l.forgetIfDone(r)
}

// Trailer handles the usage report that follows a large value.
func (l *loop) Trailer(a *upstream.Attempt, reply upstream.Reply) {
	if r := a.Owner.(*request); reply.Metered {
		l.gateway.LateReading(l.Now(), r.customer, r.plan, reply.Used, reply.Age)
		l.deliverAnswers()
	}
}

// streamEnded records the end of a large value's transfer to its client. The request counts as failed if the
// client did not get all of it.
func (l *loop) streamEnded(r *request, whole bool) {
	l.metrics.open--
	if whole {
		l.metrics.classes[r.class].Success++
	} else {
		l.metrics.classes[r.class].Failure++
	}
}

// OutOfDescriptors notes that a dial needs a descriptor. Connections are closed for it later: this is called while
// the gateway is running, and closing a connection may end requests.
func (l *loop) OutOfDescriptors() { l.outOfDescriptors = true }

// Written counts an attempt that was written whole to a backend.
func (l *loop) Written(a *upstream.Attempt) {
	if !a.Probe {
		l.metrics.classes[a.Owner.(*request).class].Calls++
	}
}

// answer gives a request its one final answer.
func (l *loop) answer(r *request, o outcome) {
	if r == nil {
		return
	}
	allowed, violation := r.state.Answer(o.kind == refused)
	if !allowed {
		return
	}
	if l.recordViolation(violation, r) {
		o = outcome{kind: failed} // makes no promise
	}
	l.events.requestAnswered(r, o.kind)
	l.withdraw(r) // a hedged attempt that has not been sent yet
	if o.stream == nil {
		l.metrics.open--
		l.metrics.classes[r.class].count(o.kind)
	}
	l.answers = append(l.answers, answer{r.replyTo, o})
}

// updateMembers applies a list of backends from discovery.
func (l *loop) updateMembers(kind choice.ListKind, list MemberList) {
	now := l.Now()
	l.starts.observe(now, l.WallTime())
	backends := make([]choice.Backend, 0, len(list.Members))
	keys := make(map[uint32]uint64, len(list.Members)) // the gateway's numbers are its own
	listed := make(map[string]bool, len(list.Members))
	for _, m := range list.Members {
		state := choice.Ready
		switch m.Phase {
		case PhaseDraining:
			state = choice.Draining
		case PhaseDeleted:
			state = choice.Removed
		}
		// Only one process serves at an address. The one that started last has taken it over; the other has ended,
		// even if discovery has not noticed it yet. Requests for the old one would reach the new one, which is
		// cold, and would not count as load on it.
		member := upstream.Member{Name: m.ID, Address: m.HostPort, StartedAt: m.UpSince}
		if other, any := l.pool.OtherAtAddress(member); state == choice.Ready && any {
			if other.StartedAt > m.UpSince {
				state = choice.Removed
			} else {
				other.State = choice.Removed
				backends = append(backends, choice.Backend{ID: l.pool.Update(other), State: choice.Removed})
			}
		}
		member.State = state
		listed[m.ID] = true
		b := choice.Backend{
			ID: l.pool.Update(member), Zone: indexOf(l.cfg.zones, m.Locality), Kind: indexOf(l.cfg.kinds, m.Flavor),
			Cell: m.Cell, State: state, Weight: m.Size,
		}
		b.Started, b.StartKnown = l.started(m)
		if state == choice.Removed {
			l.starts.forget(m.ID)
		}
		keys[b.ID] = subset.KeyOf(m.ID)
		backends = append(backends, b)
	}
	if kind != choice.Delta {
		l.pool.RemoveUnlisted(listed)
		l.starts.retain(listed)
	}
	l.fleet.Members(now, kind, backends, func(b choice.Backend) uint64 { return keys[b.ID] })
	l.deliverAnswers()
	l.checkReady()
}

// markAsked records that discovery was asked for the list, whether or not it answered.
func (l *loop) markAsked() {
	l.discoveryAsked = true
	l.checkReady()
}

// checkReady lets clients in once there is a backend. The list in the configuration may be old, so discovery is
// asked first.
func (l *loop) checkReady() {
	l.ready = l.ready || l.discoveryAsked && l.pool.AnyReady()
}

// started returns when a backend started, by the gateway's clock, and whether discovery states it. 0 stands for
// long ago.
func (l *loop) started(m Member) (at time.Duration, dated bool) {
	if m.UpSince <= 0 {
		return 0, false
	}
	return l.starts.startTime(m.ID, m.UpSince, l.Now()), true
}

// indexOf returns the position of a name in a list of the settings, or -1 for a name that is not listed.
func indexOf(positions map[string]int, name string) int {
	if i, ok := positions[name]; ok {
		return i
	}
	return -1
}

// The methods below are the gateway's choice.Actions.

// Send starts an attempt.
func (l *loop) Send(id, backend uint32, timeout time.Duration) {
	r := l.requests[id]
	a := &r.firstAttempt
	if len(r.attempts) > 0 {
		a = new(upstream.Attempt)
	} else {
		r.attempts = r.attemptsArray[:0]
	}
	*a = upstream.Attempt{Message: r, Owner: r, Number: len(r.attempts), Backend: backend, Deadline: l.Now() + timeout,
		Repeatable: l.cfg.Choice.Classes[r.class].Effect == choice.Idempotent}
	if class := &l.cfg.Choice.Classes[r.class]; class.Effect == choice.Deduplicated && a != &r.firstAttempt {
		a.WriteBy = r.firstSentAt + class.Window // later on, backends no longer drop its repeat
	} else if a == &r.firstAttempt {
		r.firstSentAt = l.Now()
	}
	r.attempts = append(r.attempts, a)
	l.events.attemptStarted(r, a)
	l.fleet.Sent()
	if l.recordViolation(r.state.BeginAttempt(l.Now()), r) {
		l.pool.Forbid(a)
		return
	}
	l.pool.Start(a)
}

// MayWrite is the last check before the first byte of an attempt.
func (l *loop) MayWrite(a *upstream.Attempt) bool {
	if a.Probe {
		return true
	}
	r := a.Owner.(*request)
	if l.recordViolation(r.state.CheckWrite(l.Now()), r) {
		return false
	}
	// Just after the request has arrived, its client can't have disconnected unnoticed. Later, the event that reports
	// the disconnect may be late.
	return l.Now()-r.arrivedAt < recentRead && !l.InputMayBeStale() || !r.replyTo.MayHaveLeft()
}

// recordViolation counts and logs a step that the rule on requests forbids, and reports whether v is one. The
// caller does not take such a step.
func (l *loop) recordViolation(v lifecycle.Violation, r *request) bool {
	if !l.events.violations.Add(v) {
		return false
	}
	requestID := uint64(0)
	if r != nil {
		requestID = r.requestID
	}
	slog.Error("blocked a step that the rule on requests forbids", "violation", v, "request", fmt.Sprintf("%016x", requestID))
	return true
}

// mayHaveRun reports whether an attempt that ended with this status may have run.
func mayHaveRun(s choice.Status) bool {
	return s != choice.Refused && s != choice.ConnectFailed && s != choice.Unsent
}

// lifecycleRules returns the lifecycle rules of each class.
func lifecycleRules(cfg choice.Config) (rules []lifecycle.Rules) {
	maxInFlight := 1
	if cfg.Hedging {
		maxInFlight = 2
	}
	for _, c := range cfg.Classes {
		r := lifecycle.Rules{DedupWindow: c.Window, DedupAcrossBackends: c.Group == choice.GroupAll,
			MaxInFlight: maxInFlight, MaxAttempts: cfg.MaxAttempts}
		switch c.Effect {
		case choice.Deduplicated:
			r.Idempotency = lifecycle.Deduplicated
		case choice.AtMostOnce:
			r.Idempotency = lifecycle.NonIdempotent
		}
		rules = append(rules, r)
	}
	return rules
}

// Refuse answers that a retry does no harm.
func (l *loop) Refuse(id uint32, after time.Duration) {
	l.answer(l.requests[id], outcome{kind: refused, retryAfter: after})
}

// Fail answers without a promise.
func (l *loop) Fail(id uint32) { l.answer(l.requests[id], outcome{kind: failed}) }

// Cancel stops waiting for an attempt. Its end is reported as for any other.
func (l *loop) Cancel(id uint32, number int) {
	if r := l.requests[id]; r != nil && number < len(r.attempts) {
		l.pool.Abort(r.attempts[number])
	}
}

// Probe asks a backend for its load.
func (l *loop) Probe(backend uint32) {
	l.pool.Start(&upstream.Attempt{Message: loadProbe, Probe: true, Repeatable: true, Backend: backend, Deadline: l.Now() + probeTimeout})
}

// SetTimer starts a timer of the gateway.
func (l *loop) SetTimer(wait time.Duration, token uint64) {
	a := l.freeAlarms
	if a == nil {
		a = &alarm{loop: l}
		a.timer.Owner = a
	} else {
		l.freeAlarms = a.next
	}
	a.token = token
	l.Set(&a.timer, l.Now()+wait)
}

// alarm is one timer of the gateway.
type alarm struct {
	loop  *loop
	timer reactor.Timer
	token uint64
	next  *alarm
}

// TimerFired reports the expired timer to the gateway.
func (a *alarm) TimerFired() {
	l := a.loop
	token := a.token
	a.next, l.freeAlarms = l.freeAlarms, a
	l.gateway.Timer(l.Now(), token)
	l.deliverAnswers()
}
