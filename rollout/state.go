package rollout

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Bounds on what the log keeps.
const (
	MaxMembers   = 20_000
	mostOpen     = 16  // rollouts that have not ended
	mostEnded    = 16  // rollouts that have, kept to be looked at
	mostRequests = 256 // operators' requests remembered, so that one sent again counts once
)

// Kind is what a grant lets a member do.
type Kind string

// The kinds of grant.
const (
	Release Kind = "release" // go out, come back with another version
	Drain   Kind = "drain"   // go out and stay out until the drain is lifted
)

// Stage is how far a member with a grant is, as the log has it.
type Stage string

// The stages of a grant.
const (
	Reserved Stage = "reserved" // it may have been told, and may be about to go out
	Out      Stage = "out"      // it has begun
	Proving  Stage = "proving"  // it is back, and not proven yet
)

// Grant is the right of one member to be out: a lease with a fencing number. It
// counts against all budgets from when it is in the log until its member, or an
// operator who forgets the member, gives it back. No clock ends it.
type Grant struct {
	Fence   uint64 `json:"fence"`
	Kind    Kind   `json:"kind"`
	Stage   Stage  `json:"stage"`
	Version string `json:"version,omitempty"` // to come back with; "" for the one it has
	Rollout string `json:"rollout,omitempty"`
}

// MemberRecord is what the log has of a member.
type MemberRecord struct {
	Member
	Version string `json:"version"`          // what it served last, as it told
	Grant   *Grant `json:"grant,omitempty"`  // nil while it holds none
	Drain   string `json:"drain,omitempty"`  // who wants it out; "" for nobody
	Failed  string `json:"failed,omitempty"` // why it does not start what it should
}

// Phase is where a rollout stands.
type Phase string

// The phases of a rollout. Beside them it may be halted.
const (
	Waiting     Phase = "waiting" // for the one it comes after
	InProgress  Phase = "going"
	RollingBack Phase = "back" // on its way back
	Done        Phase = "done"
	RolledBack  Phase = "undone" // all that could has gone back
)

// Ended tells whether nothing more comes of it.
func (p Phase) Ended() bool { return p == Done || p == RolledBack }

// Spec is a rollout as an operator orders it.
type Spec struct {
	ID      string    `json:"id"`
	Role    string    `json:"role"`
	Zones   []string  `json:"zones,omitempty"` // nil for all
	Version string    `json:"version"`
	After   string    `json:"after,omitempty"` // a rollout that has to be done before
	Waves   []float64 `json:"waves"`           // members changed after each wave: a number from 1, or a share below 1; the last is All
	ByZone  bool      `json:"by_zone,omitempty"`
	Gate    Gate      `json:"gate"`
}

// Halt is why a rollout stands. It holds until an operator lifts this very one.
type Halt struct {
	Number uint64 `json:"number"` // of the log entry that set it
	Kind   string `json:"kind"`
	Text   string `json:"text"`
	Remedy string `json:"remedy"`
}

// Rollout is one release on its way through the fleet.
type Rollout struct {
	Spec
	Phase   Phase             `json:"phase"`
	Halt    *Halt             `json:"halt,omitempty"`
	Wave    int               `json:"wave"`  // from 0
	Prior   map[string]string `json:"prior"` // the version of each member that it touched, before
	Idle    time.Duration     `json:"idle"`  // without progress, as leaders watched it
	Watched time.Duration     `json:"watched"`
}

// State is what the log says.
type State struct {
	Index        uint64                   `json:"index"` // of the last entry applied
	Fence        uint64                   `json:"fence"`
	Members      map[string]*MemberRecord `json:"members"`
	Rollouts     []*Rollout               `json:"rollouts"` // in the order in which they were started
	Stop         *Halt                    `json:"stop,omitempty"`
	Requests     []Request                `json:"requests"` // the last ones, oldest first
	LostPosition LogPosition              `json:"lost_to"`  // the last place that a member was told of in a log that is gone
	Terms        []LogPosition            `json:"terms"`    // in which term each entry was written, as runs, oldest first

	names []string // of the members, in order; nil after one has come or gone
	crew  uint64   // counts those changes
}

// LogPosition tells from which entry on a term's entries stand in the log.
type LogPosition struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

// covers tells whether a place comes no later.
func (t LogPosition) covers(term, index uint64) bool {
	return term < t.Term || term == t.Term && index <= t.Index
}

const mostTerms = 128

// RecordTerm tells the term of an entry that is applied, empty ones among them. A place
// in the log and its term name one entry for good: by them a log is known that has
// lost what it had, and has grown again since.
func (s *State) RecordTerm(term, index uint64) {
	if n := len(s.Terms); n == 0 || s.Terms[n-1].Term < term {
		s.Terms = append(s.Terms, LogPosition{term, index})
		if n >= mostTerms {
			s.Terms = slices.Delete(s.Terms, 0, n+1-mostTerms)
		}
	}
}

// termAt is the term of an entry that has been applied; 0 if it is not known any more.
func (s *State) termAt(index uint64) (term uint64) {
	for _, t := range s.Terms {
		if t.Index > index {
			break
		}
		term = t.Term
	}
	return term
}

// Request is an operator's order that has been applied, and what came of it.
type Request struct {
	ID  string       `json:"id"`
	Err *RemoteError `json:"err,omitempty"`
}

// NewState is the state of an empty log.
func NewState() *State { return &State{Members: map[string]*MemberRecord{}} }

// Entry is one entry of the log. One of its fields but Request is set.
type Entry struct {
	Request string `json:"request,omitempty"` // an operator's, so that it counts once
	By      string `json:"by,omitempty"`

	Join       *MemberRecord `json:"join,omitempty"`    // a member is there, or has changed
	Grant      *GrantEntry   `json:"grant,omitempty"`   // a member may go out
	Stage      *StageEntry   `json:"stage,omitempty"`   // how far it is
	Release    *ReleaseEntry `json:"release,omitempty"` // it is back and proven, or did not go
	Adopt      *AdoptEntry   `json:"adopt,omitempty"`   // it holds a grant that the log has forgotten
	Forget     string        `json:"forget,omitempty"`  // it will not come back
	Start      *Spec         `json:"start,omitempty"`
	Advance    *AdvanceEntry `json:"advance,omitempty"` // a wave was judged well
	Halt       *HaltEntry    `json:"halt,omitempty"`
	Resume     *ResumeEntry  `json:"resume,omitempty"`
	Rollback   string        `json:"back,omitempty"` // a rollout that goes back
	RolledBack string        `json:"undone,omitempty"`
	Watch      *WatchEntry   `json:"watch,omitempty"`
	Drain      string        `json:"drain,omitempty"` // a member that an operator wants out
	Undrain    string        `json:"undrain,omitempty"`
}

// The parts of entries.
type (
	// GrantEntry gives a member a grant.
	GrantEntry struct {
		Member  string `json:"member"`
		Kind    Kind   `json:"kind"`
		Version string `json:"version,omitempty"`
		Rollout string `json:"rollout,omitempty"`
	}
	// StageEntry tells how far a grant's member is.
	StageEntry struct {
		Member string `json:"member"`
		Fence  uint64 `json:"fence"`
		Stage  Stage  `json:"stage"`
		Failed string `json:"failed,omitempty"`
	}
	// ReleaseEntry gives a grant back.
	ReleaseEntry struct {
		Member  string `json:"member"`
		Fence   uint64 `json:"fence"`
		Version string `json:"version"`
		Failed  string `json:"failed,omitempty"`
	}
	// AdoptEntry takes a grant into the log that its member holds.
	AdoptEntry struct {
		Member        string `json:"member"`
		Grant         Grant  `json:"grant"`
		NotifiedIndex uint64 `json:"told"` // place and term of the last entry that it was told of
		Term          uint64 `json:"term"`
	}
	// AdvanceEntry is a wave of a rollout.
	AdvanceEntry struct {
		Rollout string `json:"rollout"`
		Wave    int    `json:"wave"`
	}
	// HaltEntry halts a rollout, or with no name all that is granted.
	HaltEntry struct {
		Rollout string `json:"rollout"`
		Kind    string `json:"kind"`
		Text    string `json:"text"`
		Remedy  string `json:"remedy"`
	}
	// ResumeEntry lifts one halt.
	ResumeEntry struct {
		Rollout string `json:"rollout"`
		Number  uint64 `json:"number"` // 0 for whichever it is
	}
	// WatchEntry tells that a rollout was watched for so long.
	WatchEntry struct {
		Rollout string        `json:"rollout"`
		Elapsed time.Duration `json:"for"`
	}
)

// NewHaltEntry makes the entry that halts a rollout for a fault.
func NewHaltEntry(rollout string, f Fault) *HaltEntry {
	t := ToRemoteError(f)
	return &HaltEntry{rollout, t.Kind, t.Text, t.Advice}
}

// Rollout finds a rollout by name; nil if there is none.
func (s *State) Rollout(id string) *Rollout {
	for _, r := range s.Rollouts {
		if r.ID == id {
			return r
		}
	}
	return nil
}

// MemberNames lists the members in order of their names.
func (s *State) MemberNames() []string {
	if s.names == nil {
		s.names = slices.Sorted(maps.Keys(s.Members))
	}
	return s.names
}

// changed notes that members have come, gone or moved.
func (s *State) changed() {
	s.names = nil
	s.crew++
}

// MemberList lists the members in order of their names.
func (s *State) MemberList() []Member {
	list := make([]Member, 0, len(s.Members))
	for _, name := range s.MemberNames() {
		list = append(list, s.Members[name].Member)
	}
	return list
}

// covers tells whether a rollout is for a member.
func (r *Rollout) covers(m Member) bool {
	return r.Role == m.Role && (len(r.Zones) == 0 || slices.Contains(r.Zones, m.Zone))
}

// target is the version that a rollout wants a member to have; "" for none.
func (r *Rollout) target(name string) string {
	if r.Phase == RollingBack || r.Phase == RolledBack {
		return r.Prior[name]
	}
	return r.Version
}

// Active tells whether the rollout may send members out now.
func (s *State) Active(r *Rollout) bool {
	return s.Stop == nil && r != nil && r.Halt == nil && (r.Phase == InProgress || r.Phase == RollingBack)
}

// Apply applies one entry with its place in the log. The error is why it changed
// nothing. The same entries give the same state everywhere.
func (s *State) Apply(index uint64, e Entry) error {
	if index <= s.Index {
		return nil
	}
	s.Index = index
	if e.Request == "" {
		return s.apply(index, e)
	}
	for _, done := range s.Requests {
		if done.ID == e.Request { // sent again: it counts once, and gets the same answer
			if done.Err != nil {
				return done.Err
			}
			return nil
		}
	}
	err := s.apply(index, e)
	s.Requests = append(s.Requests, Request{e.Request, ToRemoteError(err)})
	if len(s.Requests) > mostRequests {
		s.Requests = slices.Delete(s.Requests, 0, len(s.Requests)-mostRequests)
	}
	return err
}

func (s *State) apply(index uint64, e Entry) error {
	switch {
	case e.Join != nil:
		return s.join(*e.Join)
	case e.Grant != nil:
		return s.grant(*e.Grant)
	case e.Stage != nil:
		seat := s.Members[e.Stage.Member]
		if seat == nil || seat.Grant == nil || seat.Grant.Fence != e.Stage.Fence {
			return &StaleOrder{"the grant is another one by now"}
		}
		seat.Grant.Stage, seat.Failed = e.Stage.Stage, e.Stage.Failed
	case e.Release != nil:
		return s.release(*e.Release)
	case e.Adopt != nil:
		return s.adopt(index, *e.Adopt)
	case e.Forget != "":
		if s.Members[e.Forget] == nil {
			return &Unknown{"member", e.Forget}
		}
		delete(s.Members, e.Forget)
		s.changed()
	case e.Start != nil:
		return s.start(*e.Start)
	case e.Advance != nil:
		return s.advance(*e.Advance)
	case e.Halt != nil:
		return s.halt(index, *e.Halt)
	case e.Resume != nil:
		return s.resume(*e.Resume)
	case e.Rollback != "":
		return s.back(e.Rollback)
	case e.RolledBack != "":
		r := s.Rollout(e.RolledBack)
		if !s.Active(r) || r.Phase != RollingBack {
			return &StaleOrder{"the rollout is not going back"}
		}
		r.Phase = RolledBack
		s.trim()
	case e.Watch != nil:
		if r := s.Rollout(e.Watch.Rollout); s.Active(r) {
			r.Idle += e.Watch.Elapsed
			r.Watched += e.Watch.Elapsed
		}
	case e.Drain != "":
		if s.Members[e.Drain] == nil {
			return &Unknown{"member", e.Drain}
		}
		s.Members[e.Drain].Drain = cmp.Or(e.By, "an operator")
	case e.Undrain != "":
		if s.Members[e.Undrain] == nil {
			return &Unknown{"member", e.Undrain}
		}
		s.Members[e.Undrain].Drain = ""
	}
	return nil
}

func (s *State) join(j MemberRecord) error {
	if err := j.Member.check(); err != nil {
		return err
	}
	seat := s.Members[j.Name]
	if seat == nil {
		if len(s.Members) >= MaxMembers {
			return &Full{"members", MaxMembers}
		}
		seat = &MemberRecord{}
		s.Members[j.Name] = seat
	}
	if seat.Member != j.Member {
		s.changed()
	}
	seat.Member, seat.Version, seat.Failed = j.Member, j.Version, j.Failed
	return nil
}

func (s *State) grant(g GrantEntry) error {
	seat := s.Members[g.Member]
	switch {
	case seat == nil:
		return &Unknown{"member", g.Member}
	case seat.Grant != nil:
		return &StaleOrder{"the member holds a grant already"}
	case s.Stop != nil:
		return &StaleOrder{"everything is stopped: " + s.Stop.Text}
	case g.Kind == Drain && seat.Drain == "":
		return &StaleOrder{"nobody wants the member out any more"}
	}
	if g.Kind == Release {
		// A halt, or a turn back, that came into the log before the grant goes before it.
		r := s.Rollout(g.Rollout)
		if !s.Active(r) || r.target(g.Member) != g.Version {
			return &StaleOrder{"the rollout has been halted, has ended or has turned"}
		}
		if r.Phase == InProgress {
			if _, touched := r.Prior[g.Member]; !touched {
				r.Prior[g.Member] = seat.Version
			}
		}
	}
	s.Fence++
	seat.Failed = ""
	seat.Grant = &Grant{Fence: s.Fence, Kind: g.Kind, Stage: Reserved, Version: g.Version, Rollout: g.Rollout}
	return nil
}

func (s *State) release(e ReleaseEntry) error {
	seat := s.Members[e.Member]
	if seat == nil || seat.Grant == nil || seat.Grant.Fence != e.Fence {
		return &StaleOrder{"the grant is another one by now"}
	}
	if r := s.Rollout(seat.Grant.Rollout); r != nil {
		r.Idle = 0
	}
	seat.Grant, seat.Version, seat.Failed = nil, e.Version, e.Failed
	return nil
}

// adopt takes in what a member holds and the log has forgotten: what is out stays
// counted, and nothing is granted until an operator has looked.
func (s *State) adopt(index uint64, a AdoptEntry) error {
	seat := s.Members[a.Member]
	if seat == nil {
		return &Unknown{"member", a.Member}
	}
	s.Fence = max(s.Fence, a.Grant.Fence)
	if !s.LostPosition.covers(a.Term, a.NotifiedIndex) {
		s.LostPosition = LogPosition{a.Term, a.NotifiedIndex}
	}
	if a.Grant.Fence > 0 && (seat.Grant == nil || seat.Grant.Fence < a.Grant.Fence) {
		g := a.Grant
		seat.Grant = &g
	}
	if s.Stop == nil {
		h := NewHaltEntry("", &LogWentBack{Member: a.Member, NotifiedIndex: a.NotifiedIndex, LogIndex: index})
		s.Stop = &Halt{index, h.Kind, h.Text, h.Remedy}
	}
	return nil
}

func (s *State) start(spec Spec) error {
	if err := spec.Check(); err != nil {
		return err
	}
	if s.Rollout(spec.ID) != nil {
		return &BadRequest{fmt.Sprintf("there is a rollout %s already", spec.ID)}
	}
	r := &Rollout{Spec: spec, Phase: InProgress, Prior: map[string]string{}}
	open := 0
	for _, other := range s.Rollouts {
		if other.Phase.Ended() {
			continue
		}
		open++
		if other.Role == r.Role && other.ID != r.After && !s.behind(other, r.After) && overlap(other.Zones, r.Zones) {
			return &Overlap{other.ID}
		}
	}
	if open >= mostOpen {
		return &Full{"rollouts that have not ended", mostOpen}
	}
	if r.After != "" {
		before := s.Rollout(r.After)
		switch {
		case before == nil:
			return &Unknown{"rollout", r.After}
		case before.Phase == RolledBack:
			return &EndedAlready{before.ID, string(before.Phase)}
		case before.Phase != Done:
			r.Phase = Waiting
		}
	}
	s.Rollouts = append(s.Rollouts, r)
	return nil
}

// behind tells whether a rollout is the one named, or one that it waits for.
func (s *State) behind(r *Rollout, id string) bool {
	for id != "" {
		if r.ID == id {
			return true
		}
		before := s.Rollout(id)
		if before == nil {
			return false
		}
		id = before.After
	}
	return false
}

func overlap(a, b []string) bool {
	return len(a) == 0 || len(b) == 0 || slices.ContainsFunc(a, func(z string) bool { return slices.Contains(b, z) })
}

func (s *State) advance(w AdvanceEntry) error {
	r := s.Rollout(w.Rollout)
	if !s.Active(r) || r.Phase != InProgress || r.Wave != w.Wave {
		return &StaleOrder{"the wave is another one by now"}
	}
	r.Idle = 0
	if r.Wave++; r.Wave < len(r.Waves) {
		return nil
	}
	r.Phase = Done
	for _, next := range s.Rollouts {
		if next.Phase == Waiting && next.After == r.ID {
			next.Phase = InProgress
		}
	}
	s.trim()
	return nil
}

// trim forgets the rollouts that ended first.
func (s *State) trim() {
	ended := 0
	for _, r := range s.Rollouts {
		if r.Phase.Ended() {
			ended++
		}
	}
	s.Rollouts = slices.DeleteFunc(s.Rollouts, func(r *Rollout) bool {
		if ended > mostEnded && r.Phase.Ended() {
			ended--
			return true
		}
		return false
	})
}

func (s *State) halt(index uint64, h HaltEntry) error {
	halt := &Halt{index, h.Kind, h.Text, h.Remedy}
	if h.Rollout == "" {
		s.Stop = halt
		return nil
	}
	r := s.Rollout(h.Rollout)
	if r == nil {
		return &Unknown{"rollout", h.Rollout}
	}
	if r.Phase.Ended() {
		return &EndedAlready{r.ID, string(r.Phase)}
	}
	r.Halt = halt
	return nil
}

func (s *State) resume(e ResumeEntry) error {
	at := &s.Stop
	if e.Rollout != "" {
		r := s.Rollout(e.Rollout)
		if r == nil {
			return &Unknown{"rollout", e.Rollout}
		}
		at = &r.Halt
	}
	// Who lifts a halt has seen it. One that came since holds.
	if *at != nil && e.Number != 0 && (*at).Number != e.Number {
		return &StaleOrder{fmt.Sprintf("the halt is number %d by now: %s", (*at).Number, (*at).Text)}
	}
	*at = nil
	if r := s.Rollout(e.Rollout); r != nil {
		r.Idle = 0
		for _, seat := range s.Members { // what did not start is tried again
			if r.covers(seat.Member) {
				seat.Failed = ""
			}
		}
	}
	return nil
}

func (s *State) back(id string) error {
	r := s.Rollout(id)
	if r == nil {
		return &Unknown{"rollout", id}
	}
	switch {
	case r.Phase == RolledBack:
		return &EndedAlready{r.ID, string(r.Phase)}
	case r.Phase == RollingBack:
		return nil
	}
	for _, other := range s.Rollouts {
		if other != r && r.Phase == Done && !other.Phase.Ended() && other.Role == r.Role && overlap(other.Zones, r.Zones) {
			return &Overlap{other.ID}
		}
	}
	// Those that are out come back with what they had: the same grant, another version.
	r.Phase, r.Halt, r.Idle = RollingBack, nil, 0
	for name, seat := range s.Members {
		if g := seat.Grant; g != nil && g.Rollout == id && g.Kind == Release {
			g.Version = r.Prior[name]
		}
	}
	return nil
}

// Encode writes the state, for a snapshot.
func (s *State) Encode() ([]byte, error) { return json.Marshal(s) }

// DecodeState reads a state that Encode wrote.
func DecodeState(b []byte) (*State, error) {
	s := NewState()
	if err := json.Unmarshal(b, s); err != nil {
		return nil, fmt.Errorf("rollout: snapshot: %w", err)
	}
	return s, nil
}

// Check finds what is wrong with an order for a rollout.
func (s Spec) Check() error {
	bad := func(format string, args ...any) error { return &BadRequest{fmt.Sprintf(format, args...)} }
	switch {
	case s.ID == "" || len(s.ID) > mostName || strings.ContainsAny(s.ID, " /\n"):
		return bad("a rollout's name has 1 to %d characters, no blanks and no slash", mostName)
	case s.Role == "" || len(s.Role) > mostName:
		return bad("a rollout is for one role")
	case s.Version == "" || len(s.Version) > mostName:
		return bad("a version has 1 to %d characters", mostName)
	case len(s.Waves) == 0 || len(s.Waves) > 50:
		return bad("a rollout has 1 to 50 waves")
	case len(s.Zones) > 100:
		return bad("a rollout names up to 100 zones")
	case s.Waves[len(s.Waves)-1] != AllMembers:
		return bad("the last wave is %q", "100%")
	}
	for _, w := range s.Waves[:len(s.Waves)-1] {
		if !(w > 0) || w > MaxMembers {
			return bad("a wave is a number of members or a share of them above 0")
		}
	}
	return s.Gate.check()
}

// AllMembers is the wave that holds every member. A wave of 1 means one member.
const AllMembers = -1.0

// size is how many of n members a wave holds.
func size(wave float64, n int) int {
	switch {
	case wave == AllMembers:
		return n
	case wave < 1:
		return min(n, max(1, int(wave*float64(n)+0.5)))
	}
	return min(n, int(wave))
}

// CheckOrder finds what is wrong with an entry that an operator sends: it has a name
// to count it by, and is one of those that operators may order.
func (e Entry) CheckOrder() error {
	switch {
	case e.Request == "" || len(e.Request) > mostName || e.By == "" || len(e.By) > mostName:
		return &BadRequest{fmt.Sprintf("an order has a request and a by of 1 to %d characters", mostName)}
	case e.Join != nil || e.Grant != nil || e.Stage != nil || e.Release != nil || e.Adopt != nil || e.Advance != nil || e.RolledBack != "" || e.Watch != nil:
		return &BadRequest{"only coordinators write such entries"}
	case e.Halt != nil && (len(e.Halt.Text) > 1000 || len(e.Halt.Remedy) > 1000 || len(e.Halt.Kind) > mostName):
		return &BadRequest{"a halt's words have up to 1000 characters"}
	}
	n := 0
	for _, is := range []bool{e.Forget != "", e.Start != nil, e.Halt != nil, e.Resume != nil, e.Rollback != "", e.Drain != "", e.Undrain != ""} {
		if is {
			n++
		}
	}
	if n != 1 {
		return &BadRequest{"an order orders one thing"}
	}
	return nil
}
