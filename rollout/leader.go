package rollout

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// Config holds the settings that all coordinators share.
type Config struct {
	Budgets []Budget
	Timing
}

// Timing holds the timing settings of coordinators and agents.
type Timing struct {
	ReportInterval    time.Duration // interval between an agent's reports
	MaxStaleness      time.Duration // an older report is ignored, and its member counts as out
	LearnPeriod       time.Duration // a new leader grants nothing for this long: every live agent has reported by then
	BeginTimeout      time.Duration // an agent begins a grant at most this long after the report that the grant answers
	OverBudgetTimeout time.Duration // losses may exceed a budget for this long before rollouts halt
	WatchInterval     time.Duration // interval at which a leader logs for how long it has watched a rollout
}

// DefaultTiming returns timing for a fleet on one site.
func DefaultTiming() Timing {
	return Timing{ReportInterval: time.Second, MaxStaleness: 4 * time.Second, LearnPeriod: 5 * time.Second, BeginTimeout: 4 * time.Second,
		OverBudgetTimeout: 15 * time.Second, WatchInterval: 10 * time.Second}
}

// Check reports settings that do not fit each other.
func (t Timing) Check() error {
	switch {
	case t.ReportInterval <= 0 || t.WatchInterval <= 0 || t.OverBudgetTimeout <= 0:
		return &BadRequest{"report, watch and bear must be above 0"}
	case t.MaxStaleness < 3*t.ReportInterval:
		return &BadRequest{"fresh must be at least three times report: one lost report must not make a member count as out"}
	case t.LearnPeriod < 2*t.ReportInterval:
		return &BadRequest{"learn must be at least twice report, so that every agent has reported by then"}
	case t.BeginTimeout < 2*t.ReportInterval || t.BeginTimeout > t.MaxStaleness:
		return &BadRequest{"begin must lie between twice report and fresh"}
	}
	return nil
}

// ServiceState is a member's state as its agent reports it.
type ServiceState string

// The states of a member.
const (
	InService ServiceState = "serves"   // in service and proven
	Draining  ServiceState = "leaves"   // letting its clients go
	Down      ServiceState = "down"     // its program does not run or is not ready
	Unproven  ServiceState = "proves"   // ready, not proven yet
	Detached  ServiceState = "detached" // drained and stopped, as ordered
)

// Stamp is a time of the leader's clock that agents echo: a report with it was sent
// after it. So a leader bounds the age of a report by its own clock alone.
type Stamp struct {
	Term uint64        `json:"term"`
	At   time.Duration `json:"at"`
}

// Report is what an agent sends to the leader.
type Report struct {
	Member      Member       `json:"member"`
	Incarnation uint64       `json:"incarnation"` // of the agent; differs after each of its starts
	Seq         uint64       `json:"seq"`         // number of the report
	Stamp       Stamp        `json:"stamp"`       // of the last reply
	Index       uint64       `json:"index"`       // the highest log index that the member was notified of
	IndexTerm   uint64       `json:"index_term"`  // the term of the entry at Index
	State       ServiceState `json:"does"`
	Version     string       `json:"version"` // of the program that runs, or is to be started
	HeldGrant   *Grant       `json:"holds,omitempty"`
	SeenFence   uint64       `json:"seen"` // the member begins no grant with a fence up to this one
	Failed      string       `json:"failed,omitempty"`
	Stats       Stats        `json:"figures"`
}

// Reply is the leader's answer to a report.
type Reply struct {
	Stamp          Stamp  `json:"stamp"`
	Index          uint64 `json:"index"`
	Term           uint64 `json:"term"`            // of the entry at Index
	Reset          bool   `json:"reset,omitempty"` // the log differs from the one that the member was notified of; this one is valid
	Order          *Order `json:"order,omitempty"`
	VoidFence      uint64 `json:"void,omitempty"` // fence of a grant that must not be begun
	RestartVersion string `json:"run,omitempty"`  // version to start if the program exits on its own; "" for the same
	Denied         string `json:"denied,omitempty"`
	Halted         string `json:"halted,omitempty"`
}

// Order is a grant as it is sent to its member.
type Order struct {
	Fence   uint64 `json:"fence"`
	Kind    Kind   `json:"kind"`
	Version string `json:"version"` // "" for the current one
	Return  bool   `json:"return"`  // the drain was lifted: the member comes back
}

// memberContact is what a leader knows of one member from its reports.
type memberContact struct {
	report              Report
	asOf                time.Duration // the report was sent at this time or later; -1 for never
	earlierIncarnations []uint64      // previous incarnations
	conflictUntil       time.Duration // two agents reported under this name; valid until then
}

// Leader makes the decisions of a coordinator while it leads.
type Leader struct {
	cfg             Config
	state           *State
	term            uint64
	since           time.Duration
	confirmedAt     time.Duration // when a majority last confirmed it as leader; -1 for never
	contacts        map[string]*memberContact
	pending         map[string]bool // keys of the entries proposed and not applied yet
	windows         map[string]*statsWindow
	monitors        map[string]*rolloutMonitor
	overBudgetSince time.Duration // since when losses exceed a budget; -1 if they do not
	denied          map[string]error
	now             time.Duration
}

// rolloutMonitor is what a leader tracks of one rollout.
type rolloutMonitor struct {
	gateEvaluator
	wave           int
	phase          Phase
	completeSince  time.Duration // since when all members of the wave are changed and proven; -1 if they are not
	nextEvaluation time.Duration
	nextWatchEntry time.Duration
	verdict        Verdict
	waitingFor     []string
	done, total    int

	order             []string // the rollout's members; see Leader.memberOrder
	membershipVersion uint64   // of the state from which order was computed
}

// NewLeader starts a term as leader. All entries of earlier terms must be applied to state.
func NewLeader(cfg Config, state *State, term uint64, now time.Duration) *Leader {
	return &Leader{cfg: cfg, state: state, term: term, since: now, confirmedAt: -1, contacts: map[string]*memberContact{},
		pending: map[string]bool{}, windows: map[string]*statsWindow{}, monitors: map[string]*rolloutMonitor{},
		overBudgetSince: -1, denied: map[string]error{}, now: now}
}

// Confirmed notes that a majority confirmed this coordinator as leader at a time.
func (l *Leader) Confirmed(at time.Duration) { l.confirmedAt = max(l.confirmedAt, at) }

// key identifies the subject of an entry, so that only one entry of a key is pending.
func (e Entry) key() string {
	switch {
	case e.Join != nil:
		return "join " + e.Join.Name
	case e.Grant != nil:
		return "grant " + e.Grant.Member
	case e.Stage != nil:
		return "stage " + e.Stage.Member
	case e.Release != nil:
		return "release " + e.Release.Member
	case e.Adopt != nil:
		return "adopt " + e.Adopt.Member
	case e.Advance != nil:
		return "advance " + e.Advance.Rollout
	case e.Halt != nil:
		return "halt " + e.Halt.Rollout
	case e.RolledBack != "":
		return "undone " + e.RolledBack
	case e.Watch != nil:
		return "watch " + e.Watch.Rollout
	}
	return ""
}

// add appends an entry to be proposed, unless one of its key is pending.
func (l *Leader) add(to []Entry, e Entry) []Entry {
	if k := e.key(); !l.pending[k] {
		l.pending[k] = true
		return append(to, e)
	}
	return to
}

// Applied notes that an entry of this term was applied or dropped.
func (l *Leader) Applied(e Entry) { delete(l.pending, e.key()) }

// checkAuthority returns nil if this leader may act on what it knows, else the reason.
func (l *Leader) checkAuthority(now time.Duration) error {
	if l.confirmedAt < 0 || now-l.confirmedAt > l.cfg.MaxStaleness {
		sinceConfirmed := time.Duration(-1)
		if l.confirmedAt >= 0 {
			sinceConfirmed = now - l.confirmedAt
		}
		return &NoMajority{sinceConfirmed}
	}
	if now-l.since < l.cfg.LearnPeriod {
		return &NotFresh{Member: "the fleet", SinceReport: -1}
	}
	return nil
}

// outReason returns why a member counts as out; "" if it does not.
func (l *Leader) outReason(name string) (reason string) {
	record, contact := l.state.Members[name], l.contacts[name]
	switch {
	case record != nil && record.Grant != nil:
		return fmt.Sprintf("%s by grant %d (%s)", record.Grant.Stage, record.Grant.Fence, record.Grant.Kind)
	case l.pending["grant "+name]:
		return "a grant is pending"
	case contact == nil || contact.asOf < 0:
		return (&NotFresh{name, -1}).Error()
	case l.now-contact.asOf > l.cfg.MaxStaleness:
		return (&NotFresh{name, l.now - contact.asOf}).Error()
	case contact.conflictUntil > l.now:
		return (&TwoAgents{name}).Error()
	case contact.report.State != InService:
		return "without a grant, " + string(contact.report.State)
	}
	return ""
}

func (l *Leader) ledger() *Ledger {
	return NewLedger(l.cfg.Budgets, l.state.MemberList(), func(name string) bool { return l.outReason(name) != "" })
}

// Report handles an agent's report. The caller proposes the entries.
func (l *Leader) Report(now time.Duration, report Report) (reply Reply, entries []Entry, err error) {
	l.now = max(l.now, now)
	if err := report.Member.check(); err != nil {
		return reply, nil, err
	}
	reply = Reply{Stamp: Stamp{l.term, now}, Index: l.state.Index, Term: l.state.termAt(l.state.Index)}
	if l.state.Stop != nil {
		reply.Halted = l.state.Stop.Text
	}
	name := report.Member.Name
	record := l.state.Members[name]
	if record == nil || record.Member != report.Member || record.Grant == nil && report.State == InService &&
		record.Version != report.Version {
		joining := MemberRecord{Member: report.Member, Version: report.Version}
		if record != nil {
			joining.Failed = record.Failed
		} else if len(l.state.Members) >= MaxMembers {
			return reply, nil, &Full{"members", MaxMembers}
		}
		entries = l.add(entries, Entry{Join: &joining})
	}
	contact := l.recordReport(report)
	if record == nil || contact.report.Seq != report.Seq || contact.report.Incarnation != report.Incarnation {
		return reply, entries, nil // the member is not in the log yet, or a later report came first
	}
	// The member knows of entries or fences that this log does not hold: the log has lost entries.
	termHere := l.state.termAt(report.Index)
	if report.Index > l.state.Index || termHere != 0 && report.IndexTerm != 0 && termHere != report.IndexTerm ||
		report.SeenFence > l.state.Fence || report.HeldGrant != nil && report.HeldGrant.Fence > l.state.Fence {
		adopt := AdoptEntry{Member: name, NotifiedIndex: report.Index, Term: report.IndexTerm}
		if report.HeldGrant != nil {
			adopt.Grant = *report.HeldGrant
		}
		adopt.Grant.Fence = max(adopt.Grant.Fence, report.SeenFence)
		if report.HeldGrant == nil {
			adopt.Grant.Stage, adopt.Grant.Kind = Proving, Release
		}
		known := record.Grant != nil && record.Grant.Fence >= adopt.Grant.Fence || report.HeldGrant == nil && adopt.Grant.Fence <= l.state.Fence
		if !known || !l.state.LostPosition.atOrAfter(report.IndexTerm, report.Index) {
			return reply, l.add(entries, Entry{Adopt: &adopt}), nil
		}
		reply.Reset = true // all that the member knows is in this log again, and operators were notified
	}
	l.recordStats(report)
	grant := record.Grant
	fresh := contact.asOf >= 0 && now-contact.asOf <= l.cfg.MaxStaleness
	switch {
	case grant == nil:
		for _, rollout := range l.state.Rollouts {
			if v := rollout.Prior[name]; rollout.Phase == RollingBack && l.state.Active(rollout) && v != "" && v != report.Version &&
				l.checkAuthority(now) == nil {
				reply.RestartVersion = v
			}
		}
		return reply, entries, nil
	case report.HeldGrant != nil && report.HeldGrant.Fence == grant.Fence:
		if stage := stageOf(report.State); stage != grant.Stage || truncate(report.Failed) != record.Failed {
			entries = l.add(entries, Entry{Stage: &StageEntry{name, grant.Fence, stage, truncate(report.Failed)}})
		}
		// A member that is out gets its order again: its version may have changed, or its drain may have been lifted.
		reply.Order = &Order{grant.Fence, grant.Kind, grant.Version, grant.Kind == Drain && record.Drain == ""}
	case report.SeenFence >= grant.Fence && report.State == InService && fresh:
		entries = l.add(entries, Entry{Release: &ReleaseEntry{name, grant.Fence, report.Version, truncate(report.Failed)}})
	case report.SeenFence < grant.Fence && report.HeldGrant == nil:
		reply.VoidFence, reply.Order, reply.Denied = l.offerGrant(now, record, contact, fresh)
	}
	return reply, entries, nil
}

// offerGrant decides whether a member may begin the grant that the log holds for it. The
// decision is made here and not when the grant is logged: members lost since then count,
// and another coordinator may lead by now.
func (l *Leader) offerGrant(now time.Duration, record *MemberRecord, contact *memberContact, fresh bool) (
	voidFence uint64, order *Order, denied string,
) {
	grant := record.Grant
	if err := l.checkAuthority(now); err != nil {
		return 0, nil, err.Error()
	}
	if !fresh {
		return 0, nil, (&NotFresh{record.Name, now - contact.asOf}).Error()
	}
	if contact.conflictUntil > now {
		return 0, nil, (&TwoAgents{record.Name}).Error()
	}
	if contact.report.State != InService {
		return 0, nil, "the member is not in service"
	}
	if grant.Kind == Drain && record.Drain == "" || grant.Kind == Release && !l.state.Active(l.state.Rollout(grant.Rollout)) ||
		l.state.Stop != nil {
		return grant.Fence, nil, "the rollout is halted or the grant is no longer wanted"
	}
	if grant.Kind == Release && grant.Version == contact.report.Version {
		return grant.Fence, nil, "the member runs the version already"
	}
	if err := l.ledger().Fits(record.Member, true); err != nil {
		return grant.Fence, nil, err.Error()
	}
	return 0, &Order{grant.Fence, grant.Kind, grant.Version, false}, ""
}

func truncate(s string) string { return s[:min(len(s), 300)] }

func stageOf(d ServiceState) Stage {
	if d == Unproven || d == InService {
		return Proving
	}
	return Out
}

// recordReport stores a report as the member's last one, unless a later one came first.
func (l *Leader) recordReport(r Report) *memberContact {
	contact := l.contacts[r.Member.Name]
	if contact == nil {
		if len(l.contacts) > 2*MaxMembers {
			return &memberContact{asOf: -1}
		}
		contact = &memberContact{asOf: -1, report: r}
		l.contacts[r.Member.Name] = contact
	}
	switch {
	case contact.report.Incarnation != r.Incarnation:
		if slices.Contains(contact.earlierIncarnations, r.Incarnation) {
			contact.conflictUntil = l.now + 4*l.cfg.MaxStaleness // a previous incarnation still reports
		}
		if contact.earlierIncarnations = append(contact.earlierIncarnations, contact.report.Incarnation); len(contact.earlierIncarnations) > 4 {
			contact.earlierIncarnations = contact.earlierIncarnations[1:]
		}
	case r.Seq < contact.report.Seq:
		return contact // a later report came first
	}
	contact.report = r
	if r.Stamp.Term == l.term && r.Stamp.At <= l.now {
		contact.asOf = max(contact.asOf, r.Stamp.At)
	}
	return contact
}

// recordStats adds a report's stats to the member's window.
func (l *Leader) recordStats(r Report) {
	window := l.windows[r.Member.Name]
	if window == nil {
		window = &statsWindow{zone: r.Member.Zone}
		l.windows[r.Member.Name] = window
	}
	changed := false
	for _, rollout := range l.state.Rollouts {
		if rollout.Phase == InProgress && rollout.covers(r.Member) {
			changed = rollout.Version == r.Version
		}
	}
	window.record(l.now, r.Stats, changed, r.State == InService || r.State == Unproven)
}

// Tick makes the decisions that depend on time: grants, waves, halts.
func (l *Leader) Tick(now time.Duration) (entries []Entry) {
	l.now = max(l.now, now)
	if l.checkAuthority(now) != nil {
		l.overBudgetSince = -1
		return nil
	}
	ledger := l.ledger()
	lost := l.excessLosses(ledger)
	for _, r := range l.state.Rollouts {
		if l.state.Active(r) {
			entries = l.monitor(entries, r, lost)
		}
	}
	clear(l.denied)
	if l.state.Stop != nil {
		return entries
	}
	grant := func(record *MemberRecord, g GrantEntry) {
		if l.outReason(record.Name) != "" {
			return
		}
		if err := ledger.Fits(record.Member, false); err != nil {
			l.denied[record.Name] = err
			return
		}
		ledger.Take(record.Member)
		entries = l.add(entries, Entry{Grant: &g})
	}
	// Operators' drains first, then rollbacks, then rollouts in progress.
	for _, name := range l.state.MemberNames() {
		if record := l.state.Members[name]; record.Drain != "" && record.Grant == nil {
			grant(record, GrantEntry{Member: name, Kind: Drain})
		}
	}
	for _, phase := range []Phase{RollingBack, InProgress} {
		for _, r := range l.state.Rollouts {
			if r.Phase != phase || !l.state.Active(r) || l.pending["halt "+r.ID] {
				continue
			}
			for _, name := range l.remaining(r) {
				if record := l.state.Members[name]; record.Grant == nil && record.Drain == "" {
					grant(record, GrantEntry{Member: name, Kind: Release, Version: r.targetVersion(name), Rollout: r.ID})
				}
			}
		}
	}
	return entries
}

// excessLosses returns a budget that losses have exceeded for OverBudgetTimeout or longer,
// for how long, and the lost members; nil if there is none.
func (l *Leader) excessLosses(ledger *Ledger) *Lost {
	over := ledger.Exceeded()
	if len(over) == 0 {
		l.overBudgetSince = -1
		return nil
	}
	if l.overBudgetSince < 0 {
		l.overBudgetSince = l.now
	}
	if l.now-l.overBudgetSince < l.cfg.OverBudgetTimeout {
		return nil
	}
	lost := &Lost{OverBudget: over[0].Error(), Waited: l.now - l.overBudgetSince}
	for _, name := range l.state.MemberNames() {
		if l.state.Members[name].Grant == nil && l.outReason(name) != "" && len(lost.LostMembers) < 20 {
			lost.LostMembers = append(lost.LostMembers, name)
		}
	}
	return lost
}

// memberOrder sorts the members of a rollout by a hash of their names, so that the first
// few are spread over the fleet, and with ByZone one zone at a time.
func (l *Leader) memberOrder(r *Rollout) []string {
	mon := l.monitors[r.ID]
	if mon != nil && mon.order != nil && mon.membershipVersion == l.state.membershipVersion {
		return mon.order
	}
	type position struct {
		zone string
		hash uint64
		name string
	}
	var list []position
	for name, record := range l.state.Members {
		if !r.covers(record.Member) {
			continue
		}
		hasher := fnv.New64a()
		hasher.Write([]byte(r.ID + "\x00" + name))
		pos := position{hash: hasher.Sum64(), name: name}
		if r.ByZone {
			pos.zone = record.Zone
		}
		list = append(list, pos)
	}
	slices.SortFunc(list, func(a, b position) int {
		return cmp.Or(strings.Compare(a.zone, b.zone), cmp.Compare(a.hash, b.hash), strings.Compare(a.name, b.name))
	})
	names := make([]string, len(list))
	for i, pos := range list {
		names[i] = pos.name
	}
	if mon != nil {
		mon.order, mon.membershipVersion = names, l.state.membershipVersion
	}
	return names
}

// remaining lists the members that the rollout still has to change, up to its current wave.
func (l *Leader) remaining(r *Rollout) (names []string) {
	all := l.memberOrder(r)
	if r.Phase == InProgress {
		all = all[:waveSize(r.Waves[min(r.Wave, len(r.Waves)-1)], len(all))]
	}
	for _, name := range all {
		target := r.targetVersion(name)
		if target != "" && l.state.Members[name].Version != target {
			names = append(names, name)
		}
	}
	return names
}

// monitor checks one rollout: whether its wave is complete, what its gate says, and
// whether it has stalled.
func (l *Leader) monitor(entries []Entry, r *Rollout, lost *Lost) []Entry {
	mon := l.monitors[r.ID]
	if mon == nil || mon.wave != r.Wave || mon.phase != r.Phase {
		mon = &rolloutMonitor{gateEvaluator: gateEvaluator{gate: r.Gate, rollout: r.ID, waves: len(r.Waves)},
			wave: r.Wave, phase: r.Phase, completeSince: -1, nextWatchEntry: l.now + l.cfg.WatchInterval}
		l.monitors[r.ID] = mon
		for _, name := range l.memberOrder(r) { // stats count from here on
			if window := l.windows[name]; window != nil {
				window.start, window.nextStart = window.last, window.last
			}
		}
	}
	remaining := map[string]bool{}
	for _, name := range l.remaining(r) {
		remaining[name] = true
	}
	mon.waitingFor = nil
	granted := false // a member holds a grant of this rollout
	var changed, unchanged []delta
	members := l.memberOrder(r)
	mon.total, mon.done = len(members), 0
	if r.Phase == RollingBack {
		mon.total = len(r.Prior)
	}
	inWave := waveSize(r.Waves[min(r.Wave, len(r.Waves)-1)], len(members))
	for i, name := range members {
		record := l.state.Members[name]
		ownGrant := record.Grant != nil && record.Grant.Rollout == r.ID
		granted = granted || ownGrant
		reason := l.outReason(name)
		if record.Version == r.targetVersion(name) && !ownGrant {
			mon.done++
		}
		if window := l.windows[name]; window != nil && window.comparable && reason == "" {
			if window.changed {
				changed = append(changed, window.delta())
			} else {
				unchanged = append(unchanged, window.delta())
			}
		}
		switch {
		case remaining[name] || ownGrant:
			switch {
			case record.Failed != "":
				reason = (&CannotStart{name, cmp.Or(r.targetVersion(name), record.Version), record.Failed}).Error()
			case record.Drain != "":
				reason = "drained by " + record.Drain
			case reason == "" && l.denied[name] != nil:
				reason = l.denied[name].Error()
			}
			if len(mon.waitingFor) < 20 {
				mon.waitingFor = append(mon.waitingFor, strings.TrimSuffix(name+": "+reason, ": "))
			}
		case r.Phase == InProgress && i < inWave && reason != "":
			if len(mon.waitingFor) < 20 {
				mon.waitingFor = append(mon.waitingFor, name+": "+reason) // changed, but not in service
			}
		}
		if record.Failed != "" && r.Phase == InProgress && (ownGrant || remaining[name]) {
			entries = l.add(entries, Entry{Halt: NewHaltEntry(r.ID, &CannotStart{name, r.Version, record.Failed})})
		}
	}
	if l.now >= mon.nextWatchEntry {
		mon.nextWatchEntry = l.now + l.cfg.WatchInterval
		entries = l.add(entries, Entry{Watch: &WatchEntry{r.ID, l.cfg.WatchInterval}})
	}
	if r.Phase == RollingBack {
		if len(remaining) == 0 && !granted {
			return l.add(entries, Entry{RolledBack: r.ID})
		}
		if r.Idle > r.Gate.StallTimeout {
			entries = l.add(entries, Entry{Halt: NewHaltEntry(r.ID, &Stalled{r.ID, r.Idle, mon.waitingFor})})
		}
		return entries
	}
	if lost != nil {
		return l.add(entries, Entry{Halt: NewHaltEntry(r.ID, lost)})
	}
	if len(mon.waitingFor) > 0 {
		mon.completeSince = -1
	} else if mon.completeSince < 0 {
		mon.completeSince = l.now
	}
	if len(changed) > 0 && l.now >= mon.nextEvaluation {
		mon.nextEvaluation = l.now + max(r.Gate.Soak/8, l.cfg.ReportInterval)
		mon.verdict = mon.evaluate(changed, unchanged)
		if mon.verdict.Insufficient == nil {
			l.slideWindows(r)
		}
	}
	switch {
	case mon.verdict.Failure != nil:
		entries = l.add(entries, Entry{Halt: NewHaltEntry(r.ID, mon.verdict.Failure)})
	case mon.completeSince >= 0 && l.now-mon.completeSince >= r.Gate.Soak && mon.verdict.Insufficient == nil &&
		mon.nextEvaluation > mon.completeSince:
		entries = l.add(entries, Entry{Advance: &AdvanceEntry{r.ID, r.Wave}})
	case r.Idle > r.Gate.StallTimeout:
		var fault Fault = &Stalled{r.ID, r.Idle, mon.waitingFor}
		if few, ok := mon.verdict.Insufficient.(*TooFew); ok && len(mon.waitingFor) == 0 {
			few.Waited = r.Idle
			fault = few
		}
		entries = l.add(entries, Entry{Halt: NewHaltEntry(r.ID, fault)})
	}
	return entries
}

// slideWindows moves the stats windows on once they hold enough, so that a member's current
// behavior is not hidden by its past.
func (l *Leader) slideWindows(r *Rollout) {
	for _, name := range l.memberOrder(r) {
		if window := l.windows[name]; window != nil && window.last.at-window.nextStart.at >= r.Gate.Soak/2 {
			window.start, window.nextStart = window.nextStart, window.last
		}
	}
}

// MemberStatus is the status of a member.
type MemberStatus struct {
	Member
	Version string       `json:"version"`
	State   ServiceState `json:"does,omitempty"`
	Out     string       `json:"out,omitempty"` // why it counts as out
	Denied  string       `json:"denied,omitempty"`
	Failed  string       `json:"failed,omitempty"`
	Drain   string       `json:"drain,omitempty"`
	Grant   *Grant       `json:"grant,omitempty"`
}

// Progress is the status of a rollout.
type Progress struct {
	ID         string        `json:"id"`
	Version    string        `json:"version"`
	Phase      Phase         `json:"phase"`
	Halt       *Halt         `json:"halt,omitempty"`
	Wave       int           `json:"wave"` // from 1
	Waves      int           `json:"waves"`
	Done       int           `json:"done"` // members that have their target version
	Total      int           `json:"of"`
	Gate       string        `json:"gate,omitempty"`
	WaitingFor []string      `json:"waits,omitempty"`
	Idle       time.Duration `json:"idle"`
	Watched    time.Duration `json:"watched"`
	TimeLeft   time.Duration `json:"left"` // estimate by the pace so far; 0 for none
}

// Status is the status of the fleet as the leader knows it.
type Status struct {
	Index         uint64         `json:"index"`
	Term          uint64         `json:"term"`
	GrantsBlocked string         `json:"unsure,omitempty"` // why nothing is granted
	Stop          *Halt          `json:"stop,omitempty"`
	Budgets       []BudgetUsage  `json:"budgets"`
	Rollouts      []Progress     `json:"rollouts"`
	Members       []MemberStatus `json:"members"`
}

// Status returns the status of the fleet.
func (l *Leader) Status(now time.Duration) Status {
	l.now = max(l.now, now)
	status := Status{Index: l.state.Index, Term: l.term, Stop: l.state.Stop, Budgets: l.ledger().Usage()}
	if err := l.checkAuthority(now); err != nil {
		status.GrantsBlocked = err.Error()
	}
	for _, r := range l.state.Rollouts {
		progress := Progress{ID: r.ID, Version: r.Version, Phase: r.Phase, Halt: r.Halt, Wave: min(r.Wave+1, len(r.Waves)), Waves: len(r.Waves),
			Idle: r.Idle, Watched: r.Watched}
		if mon := l.monitors[r.ID]; mon != nil && !r.Phase.Ended() {
			progress.Done, progress.Total, progress.WaitingFor = mon.done, mon.total, mon.waitingFor
			if r.Phase == InProgress {
				progress.Gate = mon.verdict.String()
			}
			if mon.done > 0 && r.Watched > 0 {
				progress.TimeLeft = time.Duration(float64(r.Watched) * float64(mon.total-mon.done) / float64(mon.done))
			}
		}
		status.Rollouts = append(status.Rollouts, progress)
	}
	for _, name := range l.state.MemberNames() {
		record := l.state.Members[name]
		member := MemberStatus{Member: record.Member, Version: record.Version, Out: l.outReason(name),
			Failed: record.Failed, Drain: record.Drain, Grant: record.Grant}
		if contact := l.contacts[name]; contact != nil {
			member.State = contact.report.State
		}
		if err := l.denied[name]; err != nil {
			member.Denied = err.Error()
		}
		status.Members = append(status.Members, member)
	}
	return status
}
