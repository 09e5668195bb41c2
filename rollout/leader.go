package rollout

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// Config is what all coordinators decide by.
type Config struct {
	Budgets []Budget
	Timing
}

// Timing holds the times of coordinators and agents.
type Timing struct {
	ReportInterval    time.Duration // agents report so often
	MaxStaleness      time.Duration // what was heard longer ago counts for nothing, and its member as out
	LearnPeriod       time.Duration // a new leader grants nothing before: who is there has told it by then
	BeginTimeout      time.Duration // an agent begins to go out so long after it asked at most
	OverBudgetTimeout time.Duration // losses may pass a budget for so long before rollouts halt
	WatchInterval     time.Duration // a leader writes so often how long it has watched a rollout
}

// DefaultTiming suits a fleet on one site.
func DefaultTiming() Timing {
	return Timing{ReportInterval: time.Second, MaxStaleness: 4 * time.Second, LearnPeriod: 5 * time.Second, BeginTimeout: 4 * time.Second,
		OverBudgetTimeout: 15 * time.Second, WatchInterval: 10 * time.Second}
}

// Check finds times that do not go together.
func (t Timing) Check() error {
	switch {
	case t.ReportInterval <= 0 || t.WatchInterval <= 0 || t.OverBudgetTimeout <= 0:
		return &BadRequest{"report, watch and bear are above 0"}
	case t.MaxStaleness < 3*t.ReportInterval:
		return &BadRequest{"fresh is three times report at least: one lost report must not make a member count as out"}
	case t.LearnPeriod < 2*t.ReportInterval:
		return &BadRequest{"learn is twice report at least, so that every agent has been heard by then"}
	case t.BeginTimeout < 2*t.ReportInterval || t.BeginTimeout > t.MaxStaleness:
		return &BadRequest{"begin lies between twice report and fresh"}
	}
	return nil
}

// ServiceState is what an agent tells of its member.
type ServiceState string

// What a member does.
const (
	InService ServiceState = "serves"   // in service, and proven
	Draining  ServiceState = "leaves"   // draining
	Down      ServiceState = "down"     // its program does not run, or is not ready
	Unproven  ServiceState = "proves"   // ready, not proven yet
	Detached  ServiceState = "detached" // out by a drain, as ordered
)

// Stamp is a leader's time, which agents send back: what comes with it was sent
// after it. So a leader tells how old a report is by its own clock alone.
type Stamp struct {
	Term uint64        `json:"term"`
	At   time.Duration `json:"at"`
}

// Report is what an agent tells.
type Report struct {
	Member      Member       `json:"member"`
	Incarnation uint64       `json:"incarnation"` // of the agent, another one after each of its starts
	Seq         uint64       `json:"seq"`         // counts its reports
	Stamp       Stamp        `json:"stamp"`       // of the last reply
	Index       uint64       `json:"index"`       // the highest log position it was told
	IndexTerm   uint64       `json:"index_term"`  // and the term of the entry there
	State       ServiceState `json:"does"`
	Version     string       `json:"version"` // of the program that runs, or would
	HeldGrant   *Grant       `json:"holds,omitempty"`
	SeenFence   uint64       `json:"seen"` // it begins no grant with a fence up to this
	Failed      string       `json:"failed,omitempty"`
	Stats       Stats        `json:"figures"`
}

// Reply is what the leader answers.
type Reply struct {
	Stamp          Stamp  `json:"stamp"`
	Index          uint64 `json:"index"`
	Term           uint64 `json:"term"`            // of the entry at Index
	Reset          bool   `json:"reset,omitempty"` // the log is another one than the member was told of; this one counts
	Order          *Order `json:"order,omitempty"`
	VoidFence      uint64 `json:"void,omitempty"` // a fence not to begin
	RestartVersion string `json:"run,omitempty"`  // the version to start should the program end by itself; "" for the same
	Denied         string `json:"denied,omitempty"`
	Halted         string `json:"halted,omitempty"`
}

// Order is a grant as its member gets it.
type Order struct {
	Fence   uint64 `json:"fence"`
	Kind    Kind   `json:"kind"`
	Version string `json:"version"` // "" for the one it has
	Return  bool   `json:"return"`  // a drain that has been lifted
}

// hearing is what a leader has heard of one member.
type hearing struct {
	report   Report
	stamp    time.Duration // it was so at this time or later; -1 for never
	earlier  []uint64      // incarnations before this one
	conflict time.Duration // two agents were heard; until then
}

// Leader is what a coordinator decides while it leads.
type Leader struct {
	cfg       Config
	state     *State
	term      uint64
	since     time.Duration
	confirmed time.Duration // a majority held it for the leader at this time; -1 for never
	heard     map[string]*hearing
	pending   map[string]bool // entries on their way into the log
	tracks    map[string]*track
	watches   map[string]*watch
	passed    time.Duration // since when losses pass a budget; -1 while none does
	denied    map[string]error
	now       time.Duration
}

// watch is what a leader keeps of one rollout.
type watch struct {
	judge
	wave     int
	turned   Phase
	whole    time.Duration // since when all of the wave have been changed and proven; -1 while not
	nextLook time.Duration
	nextTold time.Duration
	verdict  Verdict
	waits    []string
	done, of int

	order []string // the members that it is for; see Leader.order
	crew  uint64   // of the state, when order was made
}

// NewLeader begins a term, with all entries of earlier terms applied to state.
func NewLeader(cfg Config, state *State, term uint64, now time.Duration) *Leader {
	return &Leader{cfg: cfg, state: state, term: term, since: now, confirmed: -1, heard: map[string]*hearing{}, pending: map[string]bool{},
		tracks: map[string]*track{}, watches: map[string]*watch{}, passed: -1, denied: map[string]error{}, now: now}
}

// Confirmed tells that a majority held this coordinator for the leader at a time.
func (l *Leader) Confirmed(at time.Duration) { l.confirmed = max(l.confirmed, at) }

// key names what an entry is about, so that it is on its way once.
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

// add puts an entry on its way, unless one like it is.
func (l *Leader) add(to []Entry, e Entry) []Entry {
	if k := e.key(); !l.pending[k] {
		l.pending[k] = true
		return append(to, e)
	}
	return to
}

// Applied tells that an entry of this term has been applied, or was dropped.
func (l *Leader) Applied(e Entry) { delete(l.pending, e.key()) }

// sure tells whether this leader may act on what it believes: nil, or why not.
func (l *Leader) sure(now time.Duration) error {
	if l.confirmed < 0 || now-l.confirmed > l.cfg.MaxStaleness {
		heard := time.Duration(-1)
		if l.confirmed >= 0 {
			heard = now - l.confirmed
		}
		return &NoMajority{heard}
	}
	if now-l.since < l.cfg.LearnPeriod {
		return &NotFresh{Member: "the fleet", SinceReport: -1}
	}
	return nil
}

// gone tells whether a member counts as out, and why.
func (l *Leader) gone(name string) (why string) {
	seat, h := l.state.Members[name], l.heard[name]
	switch {
	case seat != nil && seat.Grant != nil:
		return fmt.Sprintf("%s by grant %d (%s)", seat.Grant.Stage, seat.Grant.Fence, seat.Grant.Kind)
	case l.pending["grant "+name]:
		return "a grant is on its way"
	case h == nil || h.stamp < 0:
		return (&NotFresh{name, -1}).Error()
	case l.now-h.stamp > l.cfg.MaxStaleness:
		return (&NotFresh{name, l.now - h.stamp}).Error()
	case h.conflict > l.now:
		return (&TwoAgents{name}).Error()
	case h.report.State != InService:
		return "without a grant, " + string(h.report.State)
	}
	return ""
}

func (l *Leader) ledger() *Ledger {
	return NewLedger(l.cfg.Budgets, l.state.MemberList(), func(name string) bool { return l.gone(name) != "" })
}

// Report takes what an agent tells, and answers it. The entries are to be proposed.
func (l *Leader) Report(now time.Duration, r Report) (reply Reply, add []Entry, err error) {
	l.now = max(l.now, now)
	if err := r.Member.check(); err != nil {
		return reply, nil, err
	}
	reply = Reply{Stamp: Stamp{l.term, now}, Index: l.state.Index, Term: l.state.termAt(l.state.Index)}
	if l.state.Stop != nil {
		reply.Halted = l.state.Stop.Text
	}
	name := r.Member.Name
	seat := l.state.Members[name]
	if seat == nil || seat.Member != r.Member || seat.Grant == nil && r.State == InService && seat.Version != r.Version {
		joined := MemberRecord{Member: r.Member, Version: r.Version}
		if seat != nil {
			joined.Failed = seat.Failed
		} else if len(l.state.Members) >= MaxMembers {
			return reply, nil, &Full{"members", MaxMembers}
		}
		add = l.add(add, Entry{Join: &joined})
	}
	h := l.hear(r)
	if seat == nil || h.report.Seq != r.Seq || h.report.Incarnation != r.Incarnation {
		return reply, add, nil // not in the log yet, or overtaken by a later report
	}
	// The log was further, or another one, or had granted more, than it has now.
	was := l.state.termAt(r.Index)
	if r.Index > l.state.Index || was != 0 && r.IndexTerm != 0 && was != r.IndexTerm || r.SeenFence > l.state.Fence || r.HeldGrant != nil && r.HeldGrant.Fence > l.state.Fence {
		a := AdoptEntry{Member: name, NotifiedIndex: r.Index, Term: r.IndexTerm}
		if r.HeldGrant != nil {
			a.Grant = *r.HeldGrant
		}
		a.Grant.Fence = max(a.Grant.Fence, r.SeenFence)
		if r.HeldGrant == nil {
			a.Grant.Stage, a.Grant.Kind = Proving, Release
		}
		known := seat.Grant != nil && seat.Grant.Fence >= a.Grant.Fence || r.HeldGrant == nil && a.Grant.Fence <= l.state.Fence
		if !known || !l.state.LostPosition.covers(r.IndexTerm, r.Index) {
			return reply, l.add(add, Entry{Adopt: &a}), nil
		}
		reply.Reset = true // all that it knows stands in this log, and operators were told
	}
	l.figures(r)
	g := seat.Grant
	fresh := h.stamp >= 0 && now-h.stamp <= l.cfg.MaxStaleness
	switch {
	case g == nil:
		for _, ro := range l.state.Rollouts {
			if v := ro.Prior[name]; ro.Phase == RollingBack && l.state.Active(ro) && v != "" && v != r.Version && l.sure(now) == nil {
				reply.RestartVersion = v
			}
		}
		return reply, add, nil
	case r.HeldGrant != nil && r.HeldGrant.Fence == g.Fence:
		if stage := stageOf(r.State); stage != g.Stage || clip(r.Failed) != seat.Failed {
			add = l.add(add, Entry{Stage: &StageEntry{name, g.Fence, stage, clip(r.Failed)}})
		}
		// Who is out gets its order again: it may come back with another version, or at all.
		reply.Order = &Order{g.Fence, g.Kind, g.Version, g.Kind == Drain && seat.Drain == ""}
	case r.SeenFence >= g.Fence && r.State == InService && fresh:
		add = l.add(add, Entry{Release: &ReleaseEntry{name, g.Fence, r.Version, clip(r.Failed)}})
	case r.SeenFence < g.Fence && r.HeldGrant == nil:
		reply.VoidFence, reply.Order, reply.Denied = l.hand(now, seat, h, fresh)
	}
	return reply, add, nil
}

// hand decides whether a member may begin the grant that the log has for it. Here,
// and not when the grant came into the log, it is granted: what has been lost since
// counts, and so does that others may lead by now.
func (l *Leader) hand(now time.Duration, seat *MemberRecord, h *hearing, fresh bool) (void uint64, o *Order, denied string) {
	g := seat.Grant
	if err := l.sure(now); err != nil {
		return 0, nil, err.Error()
	}
	if !fresh {
		return 0, nil, (&NotFresh{seat.Name, now - h.stamp}).Error()
	}
	if h.conflict > now {
		return 0, nil, (&TwoAgents{seat.Name}).Error()
	}
	if h.report.State != InService {
		return 0, nil, "the member does not serve"
	}
	if g.Kind == Drain && seat.Drain == "" || g.Kind == Release && !l.state.Active(l.state.Rollout(g.Rollout)) || l.state.Stop != nil {
		return g.Fence, nil, "halted, or no longer wanted"
	}
	if g.Kind == Release && g.Version == h.report.Version {
		return g.Fence, nil, "it has the version already"
	}
	if err := l.ledger().Fits(seat.Member, true); err != nil {
		return g.Fence, nil, err.Error()
	}
	return 0, &Order{g.Fence, g.Kind, g.Version, false}, ""
}

func clip(s string) string { return s[:min(len(s), 300)] }

func stageOf(d ServiceState) Stage {
	if d == Unproven || d == InService {
		return Proving
	}
	return Out
}

// hear notes a report.
func (l *Leader) hear(r Report) *hearing {
	h := l.heard[r.Member.Name]
	if h == nil {
		if len(l.heard) > 2*MaxMembers {
			return &hearing{stamp: -1}
		}
		h = &hearing{stamp: -1, report: r}
		l.heard[r.Member.Name] = h
	}
	switch {
	case h.report.Incarnation != r.Incarnation:
		if slices.Contains(h.earlier, r.Incarnation) {
			h.conflict = l.now + 4*l.cfg.MaxStaleness // one that was thought to be over
		}
		if h.earlier = append(h.earlier, h.report.Incarnation); len(h.earlier) > 4 {
			h.earlier = h.earlier[1:]
		}
	case r.Seq < h.report.Seq:
		return h // overtaken
	}
	h.report = r
	if r.Stamp.Term == l.term && r.Stamp.At <= l.now {
		h.stamp = max(h.stamp, r.Stamp.At)
	}
	return h
}

// figures notes what a member's program has done.
func (l *Leader) figures(r Report) {
	t := l.tracks[r.Member.Name]
	if t == nil {
		t = &track{zone: r.Member.Zone}
		l.tracks[r.Member.Name] = t
	}
	changed := false
	for _, ro := range l.state.Rollouts {
		if ro.Phase == InProgress && ro.covers(r.Member) {
			changed = ro.Version == r.Version
		}
	}
	t.record(l.now, r.Stats, changed, r.State == InService || r.State == Unproven)
}

// Tick decides what time alone brings: grants, waves, halts.
func (l *Leader) Tick(now time.Duration) (add []Entry) {
	l.now = max(l.now, now)
	if l.sure(now) != nil {
		l.passed = -1
		return nil
	}
	ledger := l.ledger()
	lost := l.losses(ledger)
	for _, r := range l.state.Rollouts {
		if l.state.Active(r) {
			add = l.watch(add, r, lost)
		}
	}
	clear(l.denied)
	if l.state.Stop != nil {
		return add
	}
	give := func(seat *MemberRecord, g GrantEntry) {
		if l.gone(seat.Name) != "" {
			return
		}
		if err := ledger.Fits(seat.Member, false); err != nil {
			l.denied[seat.Name] = err
			return
		}
		ledger.Take(seat.Member)
		add = l.add(add, Entry{Grant: &g})
	}
	// Drains by hand first, then those that go back, then those that go on.
	for _, name := range l.state.MemberNames() {
		if seat := l.state.Members[name]; seat.Drain != "" && seat.Grant == nil {
			give(seat, GrantEntry{Member: name, Kind: Drain})
		}
	}
	for _, phase := range []Phase{RollingBack, InProgress} {
		for _, r := range l.state.Rollouts {
			if r.Phase != phase || !l.state.Active(r) || l.pending["halt "+r.ID] {
				continue
			}
			for _, name := range l.todo(r) {
				if seat := l.state.Members[name]; seat.Grant == nil && seat.Drain == "" {
					give(seat, GrantEntry{Member: name, Kind: Release, Version: r.target(name), Rollout: r.ID})
				}
			}
		}
	}
	return add
}

// losses tells by which budget those that are lost are too many, for how long
// they have been so, and who they are.
func (l *Leader) losses(ledger *Ledger) *Lost {
	over := ledger.Exceeded()
	if len(over) == 0 {
		l.passed = -1
		return nil
	}
	if l.passed < 0 {
		l.passed = l.now
	}
	if l.now-l.passed < l.cfg.OverBudgetTimeout {
		return nil
	}
	lost := &Lost{OverBudget: over[0].Error(), Waited: l.now - l.passed}
	for _, name := range l.state.MemberNames() {
		if l.state.Members[name].Grant == nil && l.gone(name) != "" && len(lost.LostMembers) < 20 {
			lost.LostMembers = append(lost.LostMembers, name)
		}
	}
	return lost
}

// order sorts the members that a rollout is for: by a hash of their names, so that
// the first few are spread, and with ByZone a zone at a time.
func (l *Leader) order(r *Rollout) []string {
	w := l.watches[r.ID]
	if w != nil && w.order != nil && w.crew == l.state.crew {
		return w.order
	}
	type placed struct {
		zone string
		hash uint64
		name string
	}
	var list []placed
	for name, seat := range l.state.Members {
		if !r.covers(seat.Member) {
			continue
		}
		h := fnv.New64a()
		h.Write([]byte(r.ID + "\x00" + name))
		p := placed{hash: h.Sum64(), name: name}
		if r.ByZone {
			p.zone = seat.Zone
		}
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b placed) int {
		return cmp.Or(strings.Compare(a.zone, b.zone), cmp.Compare(a.hash, b.hash), strings.Compare(a.name, b.name))
	})
	names := make([]string, len(list))
	for i, p := range list {
		names[i] = p.name
	}
	if w != nil {
		w.order, w.crew = names, l.state.crew
	}
	return names
}

// todo lists the members that the rollout, as far as its waves are, has still to change.
func (l *Leader) todo(r *Rollout) (names []string) {
	all := l.order(r)
	if r.Phase == InProgress {
		all = all[:size(r.Waves[min(r.Wave, len(r.Waves)-1)], len(all))]
	}
	for _, name := range all {
		want := r.target(name)
		if want != "" && l.state.Members[name].Version != want {
			names = append(names, name)
		}
	}
	return names
}

// watch looks at one rollout: whether its wave is whole, what its gate says, and
// whether it stands still.
func (l *Leader) watch(add []Entry, r *Rollout, lost *Lost) []Entry {
	w := l.watches[r.ID]
	if w == nil || w.wave != r.Wave || w.turned != r.Phase {
		w = &watch{judge: judge{gate: r.Gate, rollout: r.ID, waves: len(r.Waves)}, wave: r.Wave, turned: r.Phase, whole: -1, nextTold: l.now + l.cfg.WatchInterval}
		l.watches[r.ID] = w
		for _, name := range l.order(r) { // figures count from here on
			if t := l.tracks[name]; t != nil {
				t.older, t.mid = t.last, t.last
			}
		}
	}
	todo := map[string]bool{}
	for _, name := range l.todo(r) {
		todo[name] = true
	}
	w.waits = nil
	busy := false // by a grant of this rollout
	var changed, unchanged []delta
	of := l.order(r)
	w.of, w.done = len(of), 0
	if r.Phase == RollingBack {
		w.of = len(r.Prior)
	}
	inWave := size(r.Waves[min(r.Wave, len(r.Waves)-1)], len(of))
	for i, name := range of {
		seat := l.state.Members[name]
		mine := seat.Grant != nil && seat.Grant.Rollout == r.ID
		busy = busy || mine
		why := l.gone(name)
		if seat.Version == r.target(name) && !mine {
			w.done++
		}
		if t := l.tracks[name]; t != nil && t.mayCompare && why == "" {
			if t.changed {
				changed = append(changed, t.delta())
			} else {
				unchanged = append(unchanged, t.delta())
			}
		}
		switch {
		case todo[name] || mine:
			switch {
			case seat.Failed != "":
				why = (&CannotStart{name, cmp.Or(r.target(name), seat.Version), seat.Failed}).Error()
			case seat.Drain != "":
				why = "drained by " + seat.Drain
			case why == "" && l.denied[name] != nil:
				why = l.denied[name].Error()
			}
			if len(w.waits) < 20 {
				w.waits = append(w.waits, strings.TrimSuffix(name+": "+why, ": "))
			}
		case r.Phase == InProgress && i < inWave && why != "":
			if len(w.waits) < 20 {
				w.waits = append(w.waits, name+": "+why) // changed, but not proven to serve
			}
		}
		if seat.Failed != "" && r.Phase == InProgress && (mine || todo[name]) {
			add = l.add(add, Entry{Halt: NewHaltEntry(r.ID, &CannotStart{name, r.Version, seat.Failed})})
		}
	}
	if l.now >= w.nextTold {
		w.nextTold = l.now + l.cfg.WatchInterval
		add = l.add(add, Entry{Watch: &WatchEntry{r.ID, l.cfg.WatchInterval}})
	}
	if r.Phase == RollingBack {
		if len(todo) == 0 && !busy {
			return l.add(add, Entry{RolledBack: r.ID})
		}
		if r.Idle > r.Gate.StallTimeout {
			add = l.add(add, Entry{Halt: NewHaltEntry(r.ID, &Stalled{r.ID, r.Idle, w.waits})})
		}
		return add
	}
	if lost != nil {
		return l.add(add, Entry{Halt: NewHaltEntry(r.ID, lost)})
	}
	if len(w.waits) > 0 {
		w.whole = -1
	} else if w.whole < 0 {
		w.whole = l.now
	}
	if len(changed) > 0 && l.now >= w.nextLook {
		w.nextLook = l.now + max(r.Gate.Soak/8, l.cfg.ReportInterval)
		w.verdict = w.look(changed, unchanged)
		if w.verdict.Insufficient == nil {
			l.slide(r)
		}
	}
	switch {
	case w.verdict.Failure != nil:
		add = l.add(add, Entry{Halt: NewHaltEntry(r.ID, w.verdict.Failure)})
	case w.whole >= 0 && l.now-w.whole >= r.Gate.Soak && w.verdict.Insufficient == nil && w.nextLook > w.whole:
		add = l.add(add, Entry{Advance: &AdvanceEntry{r.ID, r.Wave}})
	case r.Idle > r.Gate.StallTimeout:
		var f Fault = &Stalled{r.ID, r.Idle, w.waits}
		if few, ok := w.verdict.Insufficient.(*TooFew); ok && len(w.waits) == 0 {
			few.Waited = r.Idle
			f = few
		}
		add = l.add(add, Entry{Halt: NewHaltEntry(r.ID, f)})
	}
	return add
}

// slide moves the windows on from which figures are counted, once there is enough
// in them: what a member does now must not drown in what it did long ago.
func (l *Leader) slide(r *Rollout) {
	for _, name := range l.order(r) {
		if t := l.tracks[name]; t != nil && t.last.at-t.mid.at >= r.Gate.Soak/2 {
			t.older, t.mid = t.mid, t.last
		}
	}
}

// MemberStatus is how a member stands.
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

// Progress tells how far a rollout has come.
type Progress struct {
	ID         string        `json:"id"`
	Version    string        `json:"version"`
	Phase      Phase         `json:"phase"`
	Halt       *Halt         `json:"halt,omitempty"`
	Wave       int           `json:"wave"` // from 1
	Waves      int           `json:"waves"`
	Done       int           `json:"done"` // members that have what they should have
	Total      int           `json:"of"`
	Gate       string        `json:"gate,omitempty"`
	WaitingFor []string      `json:"waits,omitempty"`
	Idle       time.Duration `json:"idle"`
	Watched    time.Duration `json:"watched"`
	TimeLeft   time.Duration `json:"left"` // a guess by the pace so far; 0 for none
}

// Status is how all stands, as the leader knows it.
type Status struct {
	Index         uint64         `json:"index"`
	Term          uint64         `json:"term"`
	GrantsBlocked string         `json:"unsure,omitempty"` // why nothing is granted
	Stop          *Halt          `json:"stop,omitempty"`
	Budgets       []BudgetUsage  `json:"budgets"`
	Rollouts      []Progress     `json:"rollouts"`
	Members       []MemberStatus `json:"members"`
}

// Status tells how all stands.
func (l *Leader) Status(now time.Duration) Status {
	l.now = max(l.now, now)
	s := Status{Index: l.state.Index, Term: l.term, Stop: l.state.Stop, Budgets: l.ledger().Usage()}
	if err := l.sure(now); err != nil {
		s.GrantsBlocked = err.Error()
	}
	for _, r := range l.state.Rollouts {
		rs := Progress{ID: r.ID, Version: r.Version, Phase: r.Phase, Halt: r.Halt, Wave: min(r.Wave+1, len(r.Waves)), Waves: len(r.Waves),
			Idle: r.Idle, Watched: r.Watched}
		if w := l.watches[r.ID]; w != nil && !r.Phase.Ended() {
			rs.Done, rs.Total, rs.WaitingFor = w.done, w.of, w.waits
			if r.Phase == InProgress {
				rs.Gate = w.verdict.String()
			}
			if w.done > 0 && r.Watched > 0 {
				rs.TimeLeft = time.Duration(float64(r.Watched) * float64(w.of-w.done) / float64(w.done))
			}
		}
		s.Rollouts = append(s.Rollouts, rs)
	}
	for _, name := range l.state.MemberNames() {
		seat := l.state.Members[name]
		m := MemberStatus{Member: seat.Member, Version: seat.Version, Out: l.gone(name), Failed: seat.Failed, Drain: seat.Drain, Grant: seat.Grant}
		if h := l.heard[name]; h != nil {
			m.State = h.report.State
		}
		if err := l.denied[name]; err != nil {
			m.Denied = err.Error()
		}
		s.Members = append(s.Members, m)
	}
	return s
}
