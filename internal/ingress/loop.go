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
	// answerMargin is kept back from a client's time, so that an answer given
	// at the end of it still arrives before the client gives up.
	answerMargin   = 15 * time.Millisecond
	marginPart     = 10 // at most this part of the time is kept back
	probeTimeout   = 250 * time.Millisecond
	heldShare      = 6    // what is held for clients may take this part of the memory
	customersShare = 5    // and what is known of customers this one, at
	customerBytes  = 1400 // for each, with its places in the gateway's map and row
	recentRead     = 5 * time.Millisecond
	idsMargin      = time.Second // ids are known for so long beyond the longest time of a request
)

// loop owns the gateway and all that is decided by it. It belongs to the
// reactor's goroutine, as front and upstream do: a request passes from one to
// the other by plain calls. None of these may reach the gateway while it is at
// work itself, so what it asks for is answered, and what attempts end with is
// told, by settle and by the pool's turn in the round.
type loop struct {
	*reactor.Loop
	cfg      *Config
	gateway  *choice.Gateway
	fleet    *fleet.Fleet // of the gateway's backends
	ready    bool         // discovery was asked and backends are known
	asked    bool         // discovery was asked at least once
	pool     *upstream.Pool
	starved  bool // descriptors have run out in a dial; the front makes room at its turn
	requests map[uint32]*request
	lastID   uint32
	ids      recentIDs
	memory   *memory
	answers  []answer // given and not handed out yet
	settling bool
	figures  metrics
	events   eventLog
	starts   startClock
	rules    []lifecycle.Rules // by class
	spare    *alarm            // of the gateway's timers, to be used again
	terms    *runtimeConfig    // nil while no version of configuration was in force
}

// outcomeKind is how a request ends for its client.
type outcomeKind uint8

const (
	served outcomeKind = iota
	refused
	failed
	duplicate // not taken: a request with its id is open, or was of late
)

// outcome is the one final answer of a request, in no protocol's words.
type outcome struct {
	kind  outcomeKind
	value []byte        // served: as the backend gave it
	body  body          // in place of value, where that is large; whoever gets it reads it to its end or closes it
	after time.Duration // refused: when to come again; 0: no advice
}

// answerer takes the one final answer of a request. It does not block, and is
// never called while the gateway is at work.
type answerer interface {
	Answer(outcome)
	// Disconnected tells whether whoever waits for the answer has left, as far as the system knows.
	Disconnected() bool
}

type answer struct {
	to answerer
	outcome
}

// request is one try of a client, from its last byte to its final answer and
// the end of its last attempt.
type request struct {
	*command
	id       uint32 // the gateway's: the clients' ids are longer
	size     int
	replyTo  answerer
	slot     slot // the answer's place, where the client speaks RESP
	deadline time.Duration
	takenAt  time.Duration // when it was taken
	sent     time.Duration // its first attempt
	state    lifecycle.Request
	attempts []*upstream.Attempt

	initial upstream.Attempt // most need no other
	list    [1]*upstream.Attempt
}

func newLoop(cfg *Config, on *reactor.Loop) (*loop, error) {
	l := &loop{
		Loop: on, cfg: cfg, requests: map[uint32]*request{}, figures: metrics{classes: make([]ClassCounters, len(cfg.Choice.Classes))},
		memory: &memory{most: int64(cfg.Limits.MemoryMB) << 20 / heldShare},
	}
	l.rules = rulesOf(cfg.Choice)
	if cfg.Options.Log.LogsRequests() {
		l.events.details = slog.Default()
	}
	longest := time.Duration(0)
	for _, c := range cfg.Choice.Classes {
		longest = max(longest, c.Deadline)
	}
	l.ids.span = longest + idsMargin
	l.pool = upstream.New(upstream.Config{MaxConnections: cfg.Limits.maxBackendConns(), BackendIdleTimeout: cfg.backendIdleTimeout,
		ConnectTimeout: cfg.connectTimeout, ReportFields: cfg.Choice.ReportFields, TrustThreshold: cfg.Proof}, on, l)
	on.Add(l.pool)
	var err error
	decide := cfg.Choice
	decide.MaxCustomers = cfg.Limits.MemoryMB << 20 / customersShare / customerBytes
	if l.gateway, err = choice.New(decide, cfg.Seed, l.Now(), l); err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	if l.fleet, err = fleet.New(cfg.Choice, l.gateway, l.Now()); err != nil {
		return nil, err
	}
	l.updateMembers(choice.Cached, cfg.CachedMembers)
	return l, nil
}

// deliverAnswers hands out the answers that the gateway has given. It is called behind
// every call of the gateway. To hand out one may end other requests, whose
// clients do not read; their part is done before it returns, too.
func (l *loop) deliverAnswers() {
	if l.settling {
		return
	}
	l.settling = true
	for i := 0; i < len(l.answers); i++ {
		a := l.answers[i]
		l.answers[i] = answer{}
		a.to.Answer(a.outcome)
	}
	l.answers = l.answers[:0]
	l.settling = false
}

// request takes a client's try.
func (l *loop) request(r *request) {
	l.lastID++
	for l.requests[l.lastID] != nil {
		l.lastID++
	}
	r.id = l.lastID
	l.requests[r.id] = r
	r.takenAt = l.Now()
	r.state = lifecycle.Request{Rules: &l.rules[r.class], Deadline: r.deadline}
	l.figures.open++
	now := l.Now()
	if l.ids.add(r.requestID, now) {
		l.gateway.Request(now, choice.Request{
			ID: r.id, Class: r.class, Plan: r.plan, Customer: r.customer, TimeLeft: r.deadline - now,
			Units: r.units, Spread: r.spread, First: r.first, ClientRetry: r.repeat,
		})
	} else {
		// The copy of another's open request: its value belongs to that one alone.
		l.answer(r, outcome{kind: duplicate})
	}
	l.fleet.Step(now)
	l.forget(r)
	l.deliverAnswers()
}

// recentIDs knows the clients' ids for a span at least, and for two at most.
type recentIDs struct {
	span         time.Duration
	turned       time.Duration
	young, older map[uint64]struct{}
}

// add returns false if the id is known.
func (r *recentIDs) add(id uint64, now time.Duration) bool {
	if r.young == nil || now-r.turned >= r.span {
		r.older, r.young, r.turned = r.young, map[uint64]struct{}{}, now
	}
	if _, known := r.older[id]; known {
		return false
	}
	n := len(r.young)
	r.young[id] = struct{}{}
	return len(r.young) > n
}

func (r *recentIDs) remove(id uint64) {
	delete(r.young, id)
	delete(r.older, id)
}

// forget drops a request that is over and has nothing out.
func (l *loop) forget(r *request) {
	if r.state.Finished() && r.state.InFlight() == 0 && l.requests[r.id] == r {
		delete(l.requests, r.id)
		l.memory.give(r.size)
	}
}

// gone ends open requests whose client has left.
func (l *loop) gone(open []*request) {
	if len(open) == 0 {
		return
	}
	for _, r := range open {
		if r.state.Abandon() {
			l.figures.open--
			l.events.requestAbandoned(r)
			if len(r.attempts) == 0 {
				l.ids.remove(r.requestID) // nothing was sent on: it may come again
			}
			l.withdraw(r)
			l.gateway.Disconnected(l.Now(), r.id)
			l.forget(r)
		}
	}
	l.deliverAnswers()
}

// withdraw drops what a request that is over waits to send, whether or not the
// settings let work be cancelled: what has not been written whole never ran.
func (l *loop) withdraw(r *request) {
	for _, a := range r.attempts {
		l.pool.Withdraw(a)
	}
}

// Ended takes the end of an attempt or a probe.
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
			l.answer(r, outcome{kind: served, body: reply.Stream})
		}
	} else if reply.Status == choice.OK {
		l.answer(r, outcome{kind: served, value: reply.Value})
	}
	l.gateway.Outcome(l.Now(), choice.Outcome{
		ID: r.id, Attempt: a.Number, Backend: a.Backend, Status: reply.Status, Elapsed: elapsed, Done: r.state.Finished(),
		Metered: reply.Metered, Used: reply.Used, Age: reply.Age, Load: reply.Load,
	})
	l.forget(r)
}

// Trailer takes what stood behind a large value.
func (l *loop) Trailer(a *upstream.Attempt, reply upstream.Reply) {
	if r := a.Owner.(*request); reply.Metered {
		l.gateway.LateReading(l.Now(), r.customer, r.plan, reply.Used, reply.Age)
		l.deliverAnswers()
	}
}

// streamEnded notes the end of a large value's way to its client. One that did not get
// all of it has no answer.
func (l *loop) streamEnded(r *request, whole bool) {
	l.figures.open--
	if whole {
		l.figures.classes[r.class].Success++
	} else {
		l.figures.classes[r.class].Failure++
	}
}

// OutOfDescriptors notes that a dial wants room. Connections are closed for it later: this
// is called while the gateway is at work, and a connection closed may end requests.
func (l *loop) OutOfDescriptors() { l.starved = true }

// Written counts an attempt that has come whole to a backend.
func (l *loop) Written(a *upstream.Attempt) {
	if !a.Probe {
		l.figures.classes[a.Owner.(*request).class].Calls++
	}
}

// answer gives a request its one final answer.
func (l *loop) answer(r *request, o outcome) {
	if r == nil {
		return
	}
	give, wrong := r.state.Answer(o.kind == refused)
	if !give {
		return
	}
	if l.recordViolation(wrong, r) {
		o = outcome{kind: failed} // promises nothing
	}
	l.events.requestAnswered(r, o.kind)
	l.withdraw(r) // a second copy that has not gone out yet
	if o.body == nil {
		l.figures.open--
		l.figures.classes[r.class].count(o.kind)
	}
	l.answers = append(l.answers, answer{r.replyTo, o})
}

// updateMembers takes a list of backends from discovery.
func (l *loop) updateMembers(kind choice.ListKind, list MemberList) {
	now := l.Now()
	l.starts.observe(now, l.Wall())
	backends := make([]choice.Backend, 0, len(list.Members))
	keys := make(map[uint32]uint64, len(list.Members)) // the gateway's numbers are its own
	named := make(map[string]bool, len(list.Members))
	for _, m := range list.Members {
		state := choice.Ready
		switch m.Phase {
		case PhaseDraining:
			state = choice.Draining
		case PhaseDeleted:
			state = choice.Removed
		}
		// One process serves at an address. The one that started last has taken
		// it over; the other is gone, though discovery has not noticed yet. What
		// is sent to that one would reach the new one, cold, and not be counted.
		known := upstream.Member{Name: m.ID, Address: m.HostPort, StartedAt: m.UpSince}
		if other, any := l.pool.OtherAtAddress(known); state == choice.Ready && any {
			if other.StartedAt > m.UpSince {
				state = choice.Removed
			} else {
				other.State = choice.Removed
				backends = append(backends, choice.Backend{ID: l.pool.Update(other), State: choice.Removed})
			}
		}
		known.State = state
		named[m.ID] = true
		b := choice.Backend{
			ID: l.pool.Update(known), Zone: index(l.cfg.zones, m.Locality), Kind: index(l.cfg.kinds, m.Flavor),
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
		l.pool.RemoveUnlisted(named)
		l.starts.retain(named)
	}
	l.fleet.Members(now, kind, backends, func(b choice.Backend) uint64 { return keys[b.ID] })
	l.deliverAnswers()
	l.checkReady()
}

// markAsked marks that discovery was asked for the list, whether or not it answered.
func (l *loop) markAsked() {
	l.asked = true
	l.checkReady()
}

// checkReady lets clients in once there is a backend. The list of the
// configuration may be old, so discovery is asked first.
func (l *loop) checkReady() {
	l.ready = l.ready || l.asked && l.pool.AnyReady()
}

// started tells when a backend started, by the gateway's clock. 0 stands for long ago.
func (l *loop) started(m Member) (at time.Duration, dated bool) {
	if m.UpSince <= 0 {
		return 0, false
	}
	return l.starts.startTime(m.ID, m.UpSince, l.Now()), true
}

// index is the place of a name in a list of the settings; a name that is not
// there is no place of ours.
func index(places map[string]int, name string) int {
	if i, ok := places[name]; ok {
		return i
	}
	return -1
}

// The gateway's actions.

// Send starts an attempt.
func (l *loop) Send(id, backend uint32, timeout time.Duration) {
	r := l.requests[id]
	a := &r.initial
	if len(r.attempts) > 0 {
		a = new(upstream.Attempt)
	} else {
		r.attempts = r.list[:0]
	}
	*a = upstream.Attempt{Message: r, Owner: r, Number: len(r.attempts), Backend: backend, Deadline: l.Now() + timeout,
		Repeatable: l.cfg.Choice.Classes[r.class].Effect == choice.Idempotent}
	if class := &l.cfg.Choice.Classes[r.class]; class.Effect == choice.Deduplicated && a != &r.initial {
		a.WriteBy = r.sent + class.Window // later its repeat is not dropped any more
	} else if a == &r.initial {
		r.sent = l.Now()
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

// MayWrite is the last look before the first byte of an attempt.
func (l *loop) MayWrite(a *upstream.Attempt) bool {
	if a.Probe {
		return true
	}
	r := a.Owner.(*request)
	if l.recordViolation(r.state.CheckWrite(l.Now()), r) {
		return false
	}
	// Just after its reading nothing can have happened that is not known. Later an event that tells of the
	// client's end may be late.
	return l.Now()-r.takenAt < recentRead && !l.Late() || !r.replyTo.Disconnected()
}

// recordViolation counts and logs a step that the rule on requests forbids. Whoever asked does not take it.
func (l *loop) recordViolation(v lifecycle.Violation, r *request) bool {
	if !l.events.violations.Add(v) {
		return false
	}
	name := uint64(0)
	if r != nil {
		name = r.requestID
	}
	slog.Error("a step that the rule on requests forbids was not taken", "violation", v, "request", fmt.Sprintf("%016x", name))
	return true
}

// mayHaveRun tells what the end of an attempt says of it.
func mayHaveRun(s choice.Status) bool {
	return s != choice.Refused && s != choice.ConnectFailed && s != choice.Unsent
}

// rulesOf are the rules of each class.
func rulesOf(cfg choice.Config) (rules []lifecycle.Rules) {
	mostOut := 1
	if cfg.Hedging {
		mostOut = 2
	}
	for _, c := range cfg.Classes {
		r := lifecycle.Rules{DedupWindow: c.Window, DedupAcrossBackends: c.Group == choice.GroupAll, MaxInFlight: mostOut, MaxAttempts: cfg.MaxAttempts}
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

// Refuse answers that trying again does no harm.
func (l *loop) Refuse(id uint32, after time.Duration) {
	l.answer(l.requests[id], outcome{kind: refused, after: after})
}

// Fail answers without a promise.
func (l *loop) Fail(id uint32) { l.answer(l.requests[id], outcome{kind: failed}) }

// Cancel stops the wait for an attempt. Its end comes as for any other.
func (l *loop) Cancel(id uint32, number int) {
	if r := l.requests[id]; r != nil && number < len(r.attempts) {
		l.pool.Abort(r.attempts[number])
	}
}

// Probe asks a backend for its load.
func (l *loop) Probe(backend uint32) {
	l.pool.Start(&upstream.Attempt{Message: loadProbe, Probe: true, Repeatable: true, Backend: backend, Deadline: l.Now() + probeTimeout})
}

// SetTimer sets a timer.
func (l *loop) SetTimer(wait time.Duration, token uint64) {
	a := l.spare
	if a == nil {
		a = &alarm{loop: l}
		a.timer.Owner = a
	} else {
		l.spare = a.next
	}
	a.token = token
	l.Set(&a.timer, l.Now()+wait)
}

// alarm is one timer of the gateway's.
type alarm struct {
	loop  *loop
	timer reactor.Timer
	token uint64
	next  *alarm
}

// Ring hands the timer to the gateway.
func (a *alarm) Ring() {
	l := a.loop
	token := a.token
	a.next, l.spare = l.spare, a
	l.gateway.Timer(l.Now(), token)
	l.deliverAnswers()
}
