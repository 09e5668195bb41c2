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

// Limits on what the state holds.
const (
	MaxMembers       = 20_000
	maxOpenRollouts  = 16  // rollouts that have not ended
	maxEndedRollouts = 16  // rollouts that have ended, kept for status
	maxRequests      = 256 // operators' requests kept, so that a repeated one is applied once
)

// Kind is the purpose of a grant.
type Kind string

// The kinds of grant.
const (
	Release Kind = "release" // go out and come back with another version
	Drain   Kind = "drain"   // go out and stay out until the drain is lifted
)

// Stage is a member's progress under its grant, as the log has it.
type Stage string

// The stages of a grant.
const (
	Reserved Stage = "reserved" // the member may have been notified, and may be about to go out
	Out      Stage = "out"      // the member has begun to go out
	Proving  Stage = "proving"  // the member is back, and not proven yet
)

// Grant is the right of one member to be out: a lease with a fencing token. It counts
// against all budgets from when it is in the log until its member returns it or an
// operator forgets the member. It does not expire.
type Grant struct {
	Fence   uint64 `json:"fence"`
	Kind    Kind   `json:"kind"`
	Stage   Stage  `json:"stage"`
	Version string `json:"version,omitempty"` // to come back with; "" for the current one
	Rollout string `json:"rollout,omitempty"`
}

// MemberRecord is what the state holds of a member.
type MemberRecord struct {
	Member
	Version string `json:"version"`          // last version that it reported in service
	Grant   *Grant `json:"grant,omitempty"`  // nil if it holds none
	Drain   string `json:"drain,omitempty"`  // the operator who drains it; "" for none
	Failed  string `json:"failed,omitempty"` // why it fails to start its version
}

// Phase is the phase of a rollout.
type Phase string

// The phases of a rollout. One that has not ended may be halted as well.
const (
	Waiting     Phase = "waiting" // for the rollout that it comes after
	InProgress  Phase = "going"
	RollingBack Phase = "back" // members return to their prior versions
	Done        Phase = "done"
	RolledBack  Phase = "undone" // every member that could has returned to its prior version
)

// Ended reports whether the rollout is over.
func (p Phase) Ended() bool { return p == Done || p == RolledBack }

// Spec is a rollout as ordered by an operator.
type Spec struct {
	ID      string    `json:"id"`
	Role    string    `json:"role"`
	Zones   []string  `json:"zones,omitempty"` // nil for all
	Version string    `json:"version"`
	After   string    `json:"after,omitempty"` // a rollout that must be done first
	Waves   []float64 `json:"waves"`           // members changed by the end of each wave: a number from 1, a share below 1, or AllMembers
	ByZone  bool      `json:"by_zone,omitempty"`
	Gate    Gate      `json:"gate"`
}

// Halt is why a rollout is halted. It stays until an operator lifts this particular halt.
type Halt struct {
	Number uint64 `json:"number"` // of the log entry that set it
	Kind   string `json:"kind"`
	Text   string `json:"text"`
	Remedy string `json:"remedy"`
}

// Rollout is the rollout of one release through the fleet.
type Rollout struct {
	Spec
	Phase   Phase             `json:"phase"`
	Halt    *Halt             `json:"halt,omitempty"`
	Wave    int               `json:"wave"`  // from 0
	Prior   map[string]string `json:"prior"` // the version that each member had before the rollout granted it a change
	Idle    time.Duration     `json:"idle"`  // time without progress while a leader watched
	Watched time.Duration     `json:"watched"`
}

// State is the result of applying the log.
type State struct {
	Index        uint64                   `json:"index"` // of the last entry applied
	Fence        uint64                   `json:"fence"`
	Members      map[string]*MemberRecord `json:"members"`
	Rollouts     []*Rollout               `json:"rollouts"` // in the order in which they were started
	Stop         *Halt                    `json:"stop,omitempty"`
	Requests     []Request                `json:"requests"` // the last ones, oldest first
	LostPosition LogPosition              `json:"lost_to"`  // the last position in a lost log that a member was notified of
	Terms        []LogPosition            `json:"terms"`    // the term of each entry, as runs, oldest first

	names             []string // of the members, sorted; nil after a change
	membershipVersion uint64   // counts the changes of members
}

// LogPosition is a position in the log. In State.Terms it is that of a term's first entry.
type LogPosition struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

// atOrAfter reports whether the position is the given one or a later one.
func (t LogPosition) atOrAfter(term, index uint64) bool {
	return term < t.Term || term == t.Term && index <= t.Index
}

const maxTerms = 128

// RecordTerm records the term of an applied entry, also of an empty one. An index and its
// term identify one entry for good: they reveal a log that has lost entries and has grown
// again since.
func (s *State) RecordTerm(term, index uint64) {
	if n := len(s.Terms); n == 0 || s.Terms[n-1].Term < term {
		s.Terms = append(s.Terms, LogPosition{term, index})
		if n >= maxTerms {
			s.Terms = slices.Delete(s.Terms, 0, n+1-maxTerms)
		}
	}
}

// termAt returns the term of an applied entry; 0 if it is no longer known.
func (s *State) termAt(index uint64) (term uint64) {
	for _, t := range s.Terms {
		if t.Index > index {
			break
		}
		term = t.Term
	}
	return term
}

// Request is an operator's order that was applied, with its result.
type Request struct {
	ID  string       `json:"id"`
	Err *RemoteError `json:"err,omitempty"`
}

// NewState returns the state of an empty log.
func NewState() *State { return &State{Members: map[string]*MemberRecord{}} }

// Entry is one entry of the log. One field is set besides Request and By.
type Entry struct {
	Request string `json:"request,omitempty"` // ID of an operator's request, to apply it once
	By      string `json:"by,omitempty"`

	Join       *MemberRecord `json:"join,omitempty"`    // a member is new, or has changed
	Grant      *GrantEntry   `json:"grant,omitempty"`   // a member may go out
	Stage      *StageEntry   `json:"stage,omitempty"`   // a member's progress under its grant
	Release    *ReleaseEntry `json:"release,omitempty"` // a member is back and proven, or did not go out
	Adopt      *AdoptEntry   `json:"adopt,omitempty"`   // a member holds a grant that the log has lost
	Forget     string        `json:"forget,omitempty"`  // a member that will not come back
	Start      *Spec         `json:"start,omitempty"`
	Advance    *AdvanceEntry `json:"advance,omitempty"` // a wave has passed its gate
	Halt       *HaltEntry    `json:"halt,omitempty"`
	Resume     *ResumeEntry  `json:"resume,omitempty"`
	Rollback   string        `json:"back,omitempty"` // a rollout to roll back
	RolledBack string        `json:"undone,omitempty"`
	Watch      *WatchEntry   `json:"watch,omitempty"`
	Drain      string        `json:"drain,omitempty"` // a member to drain
	Undrain    string        `json:"undrain,omitempty"`
}

// The payloads of entries.
type (
	// GrantEntry gives a member a grant.
	GrantEntry struct {
		Member  string `json:"member"`
		Kind    Kind   `json:"kind"`
		Version string `json:"version,omitempty"`
		Rollout string `json:"rollout,omitempty"`
	}
	// StageEntry updates the stage of a grant.
	StageEntry struct {
		Member string `json:"member"`
		Fence  uint64 `json:"fence"`
		Stage  Stage  `json:"stage"`
		Failed string `json:"failed,omitempty"`
	}
	// ReleaseEntry returns a grant.
	ReleaseEntry struct {
		Member  string `json:"member"`
		Fence   uint64 `json:"fence"`
		Version string `json:"version"`
		Failed  string `json:"failed,omitempty"`
	}
	// AdoptEntry adds a grant to the log that its member holds already.
	AdoptEntry struct {
		Member        string `json:"member"`
		Grant         Grant  `json:"grant"`
		NotifiedIndex uint64 `json:"told"` // index and term of the last entry that the member was notified of
		Term          uint64 `json:"term"`
	}
	// AdvanceEntry ends a wave of a rollout.
	AdvanceEntry struct {
		Rollout string `json:"rollout"`
		Wave    int    `json:"wave"`
	}
	// HaltEntry halts a rollout, or all grants if it names none.
	HaltEntry struct {
		Rollout string `json:"rollout"`
		Kind    string `json:"kind"`
		Text    string `json:"text"`
		Remedy  string `json:"remedy"`
	}
	// ResumeEntry lifts one halt.
	ResumeEntry struct {
		Rollout string `json:"rollout"`
		Number  uint64 `json:"number"` // 0 for any
	}
	// WatchEntry adds to the time for which a rollout was watched.
	WatchEntry struct {
		Rollout string        `json:"rollout"`
		Elapsed time.Duration `json:"for"`
	}
)

// NewHaltEntry returns the entry that halts a rollout for a fault.
func NewHaltEntry(rollout string, fault Fault) *HaltEntry {
	remote := ToRemoteError(fault)
	return &HaltEntry{rollout, remote.Kind, remote.Text, remote.Advice}
}

// Rollout returns the rollout of a name; nil if there is none.
func (s *State) Rollout(id string) *Rollout {
	for _, r := range s.Rollouts {
		if r.ID == id {
			return r
		}
	}
	return nil
}

// MemberNames lists the names of the members, sorted.
func (s *State) MemberNames() []string {
	if s.names == nil {
		s.names = slices.Sorted(maps.Keys(s.Members))
	}
	return s.names
}

// membersChanged notes that members were added, removed or changed.
func (s *State) membersChanged() {
	s.names = nil
	s.membershipVersion++
}

// MemberList lists the members, sorted by name.
func (s *State) MemberList() []Member {
	list := make([]Member, 0, len(s.Members))
	for _, name := range s.MemberNames() {
		list = append(list, s.Members[name].Member)
	}
	return list
}

// covers reports whether the rollout includes a member.
func (r *Rollout) covers(m Member) bool {
	return r.Role == m.Role && (len(r.Zones) == 0 || slices.Contains(r.Zones, m.Zone))
}

// targetVersion returns the version that the rollout wants a member to have; "" for none.
func (r *Rollout) targetVersion(name string) string {
	if r.Phase == RollingBack || r.Phase == RolledBack {
		return r.Prior[name]
	}
	return r.Version
}

// Active reports whether the rollout may take members out of service now.
func (s *State) Active(r *Rollout) bool {
	return s.Stop == nil && r != nil && r.Halt == nil && (r.Phase == InProgress || r.Phase == RollingBack)
}

// Apply applies one entry at its index in the log. The error is why it changed
// nothing. The same entries give the same state at every coordinator.
func (s *State) Apply(index uint64, e Entry) error {
	if index <= s.Index {
		return nil
	}
	s.Index = index
	if e.Request == "" {
		return s.apply(index, e)
	}
	for _, done := range s.Requests {
		if done.ID == e.Request { // sent again: it is not applied again, and gets the same answer
			if done.Err != nil {
				return done.Err
			}
			return nil
		}
	}
	err := s.apply(index, e)
	s.Requests = append(s.Requests, Request{e.Request, ToRemoteError(err)})
	if len(s.Requests) > maxRequests {
		s.Requests = slices.Delete(s.Requests, 0, len(s.Requests)-maxRequests)
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
		record := s.Members[e.Stage.Member]
		if record == nil || record.Grant == nil || record.Grant.Fence != e.Stage.Fence {
			return &StaleOrder{"the grant is another one by now"}
		}
		record.Grant.Stage, record.Failed = e.Stage.Stage, e.Stage.Failed
	case e.Release != nil:
		return s.release(*e.Release)
	case e.Adopt != nil:
		return s.adopt(index, *e.Adopt)
	case e.Forget != "":
		if s.Members[e.Forget] == nil {
			return &Unknown{"member", e.Forget}
		}
		delete(s.Members, e.Forget)
		s.membersChanged()
	case e.Start != nil:
		return s.start(*e.Start)
	case e.Advance != nil:
		return s.advance(*e.Advance)
	case e.Halt != nil:
		return s.halt(index, *e.Halt)
	case e.Resume != nil:
		return s.resume(*e.Resume)
	case e.Rollback != "":
		return s.rollBack(e.Rollback)
	case e.RolledBack != "":
		r := s.Rollout(e.RolledBack)
		if !s.Active(r) || r.Phase != RollingBack {
			return &StaleOrder{"the rollout is not going back"}
		}
		r.Phase = RolledBack
		s.trimEnded()
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

func (s *State) join(joining MemberRecord) error {
	if err := joining.Member.check(); err != nil {
		return err
	}
	record := s.Members[joining.Name]
	if record == nil {
		if len(s.Members) >= MaxMembers {
			return &Full{"members", MaxMembers}
		}
		record = &MemberRecord{}
		s.Members[joining.Name] = record
	}
	if record.Member != joining.Member {
		s.membersChanged()
	}
	record.Member, record.Version, record.Failed = joining.Member, joining.Version, joining.Failed
	return nil
}

func (s *State) grant(g GrantEntry) error {
	record := s.Members[g.Member]
	switch {
	case record == nil:
		return &Unknown{"member", g.Member}
	case record.Grant != nil:
		return &StaleOrder{"the member holds a grant already"}
	case s.Stop != nil:
		return &StaleOrder{"everything is stopped: " + s.Stop.Text}
	case g.Kind == Drain && record.Drain == "":
		return &StaleOrder{"nobody wants the member out any more"}
	}
	if g.Kind == Release {
		// A halt or a rollback that was logged before the grant takes precedence.
		r := s.Rollout(g.Rollout)
		if !s.Active(r) || r.targetVersion(g.Member) != g.Version {
			return &StaleOrder{"the rollout has been halted, has ended or has turned"}
		}
		if r.Phase == InProgress {
			if _, touched := r.Prior[g.Member]; !touched {
				r.Prior[g.Member] = record.Version
			}
		}
	}
	s.Fence++
	record.Failed = ""
	record.Grant = &Grant{Fence: s.Fence, Kind: g.Kind, Stage: Reserved, Version: g.Version, Rollout: g.Rollout}
	return nil
}

func (s *State) release(e ReleaseEntry) error {
	record := s.Members[e.Member]
	if record == nil || record.Grant == nil || record.Grant.Fence != e.Fence {
		return &StaleOrder{"the grant is another one by now"}
	}
	if r := s.Rollout(record.Grant.Rollout); r != nil {
		r.Idle = 0
	}
	record.Grant, record.Version, record.Failed = nil, e.Version, e.Failed
	return nil
}

// adopt adds the grant that a member holds and the log has lost: a member that is out
// stays counted, and nothing is granted until an operator lifts the stop.
func (s *State) adopt(index uint64, a AdoptEntry) error {
	record := s.Members[a.Member]
	if record == nil {
		return &Unknown{"member", a.Member}
	}
	s.Fence = max(s.Fence, a.Grant.Fence)
	if !s.LostPosition.atOrAfter(a.Term, a.NotifiedIndex) {
		s.LostPosition = LogPosition{a.Term, a.NotifiedIndex}
	}
	if a.Grant.Fence > 0 && (record.Grant == nil || record.Grant.Fence < a.Grant.Fence) {
		g := a.Grant
		record.Grant = &g
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
	openCount := 0
	for _, other := range s.Rollouts {
		if other.Phase.Ended() {
			continue
		}
		openCount++
		if other.Role == r.Role && other.ID != r.After && !s.precedes(other, r.After) && overlap(other.Zones, r.Zones) {
			return &Overlap{other.ID}
		}
	}
	if openCount >= maxOpenRollouts {
		return &Full{"rollouts that have not ended", maxOpenRollouts}
	}
	if r.After != "" {
		predecessor := s.Rollout(r.After)
		switch {
		case predecessor == nil:
			return &Unknown{"rollout", r.After}
		case predecessor.Phase == RolledBack:
			return &EndedAlready{predecessor.ID, string(predecessor.Phase)}
		case predecessor.Phase != Done:
			r.Phase = Waiting
		}
	}
	s.Rollouts = append(s.Rollouts, r)
	return nil
}

// precedes reports whether a rollout is the one named, or one that this waits for.
func (s *State) precedes(r *Rollout, id string) bool {
	for id != "" {
		if r.ID == id {
			return true
		}
		predecessor := s.Rollout(id)
		if predecessor == nil {
			return false
		}
		id = predecessor.After
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
	s.trimEnded()
	return nil
}

// trimEnded removes the oldest ended rollouts beyond maxEndedRollouts.
func (s *State) trimEnded() {
	ended := 0
	for _, r := range s.Rollouts {
		if r.Phase.Ended() {
			ended++
		}
	}
	s.Rollouts = slices.DeleteFunc(s.Rollouts, func(r *Rollout) bool {
		if ended > maxEndedRollouts && r.Phase.Ended() {
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
	halt := &s.Stop
	if e.Rollout != "" {
		r := s.Rollout(e.Rollout)
		if r == nil {
			return &Unknown{"rollout", e.Rollout}
		}
		halt = &r.Halt
	}
	// An operator lifts the halt that they have seen. One that was set since stays.
	if *halt != nil && e.Number != 0 && (*halt).Number != e.Number {
		return &StaleOrder{fmt.Sprintf("the halt is number %d by now: %s", (*halt).Number, (*halt).Text)}
	}
	*halt = nil
	if r := s.Rollout(e.Rollout); r != nil {
		r.Idle = 0
		for _, record := range s.Members { // failed starts are retried
			if r.covers(record.Member) {
				record.Failed = ""
			}
		}
	}
	return nil
}

func (s *State) rollBack(id string) error {
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
	// Members that are out come back with their prior version, under the same grant.
	r.Phase, r.Halt, r.Idle = RollingBack, nil, 0
	for name, record := range s.Members {
		if g := record.Grant; g != nil && g.Rollout == id && g.Kind == Release {
			g.Version = r.Prior[name]
		}
	}
	return nil
}

// Encode encodes the state for a snapshot.
func (s *State) Encode() ([]byte, error) { return json.Marshal(s) }

// DecodeState decodes a state that Encode has encoded.
func DecodeState(b []byte) (*State, error) {
	s := NewState()
	if err := json.Unmarshal(b, s); err != nil {
		return nil, fmt.Errorf("rollout: snapshot: %w", err)
	}
	return s, nil
}

// Check validates the order for a rollout.
func (s Spec) Check() error {
	invalid := func(format string, args ...any) error { return &BadRequest{fmt.Sprintf(format, args...)} }
	switch {
	case s.ID == "" || len(s.ID) > maxNameLength || strings.ContainsAny(s.ID, " /\n"):
		return invalid("a rollout's name has 1 to %d characters, no blanks and no slash", maxNameLength)
	case s.Role == "" || len(s.Role) > maxNameLength:
		return invalid("a rollout is for one role")
	case s.Version == "" || len(s.Version) > maxNameLength:
		return invalid("a version has 1 to %d characters", maxNameLength)
	case len(s.Waves) == 0 || len(s.Waves) > 50:
		return invalid("a rollout has 1 to 50 waves")
	case len(s.Zones) > 100:
		return invalid("a rollout names up to 100 zones")
	case s.Waves[len(s.Waves)-1] != AllMembers:
		return invalid("the last wave is %q", "100%")
	}
	for _, wave := range s.Waves[:len(s.Waves)-1] {
		if !(wave > 0) || wave > MaxMembers {
			return invalid("a wave is a number of members or a share of them above 0")
		}
	}
	return s.Gate.check()
}

// AllMembers is the wave that includes every member. A wave of 1 means one member.
const AllMembers = -1.0

// waveSize returns how many of n members a wave includes.
func waveSize(wave float64, n int) int {
	switch {
	case wave == AllMembers:
		return n
	case wave < 1:
		return min(n, max(1, int(wave*float64(n)+0.5)))
	}
	return min(n, int(wave))
}

// CheckOrder validates an entry that an operator sends: it needs a request ID, so that it
// is applied once, and must be one of those that operators may order.
func (e Entry) CheckOrder() error {
	switch {
	case e.Request == "" || len(e.Request) > maxNameLength || e.By == "" || len(e.By) > maxNameLength:
		return &BadRequest{fmt.Sprintf("an order has a request and a by of 1 to %d characters", maxNameLength)}
	case e.Join != nil || e.Grant != nil || e.Stage != nil || e.Release != nil || e.Adopt != nil || e.Advance != nil ||
		e.RolledBack != "" || e.Watch != nil:
		return &BadRequest{"only coordinators write such entries"}
	case e.Halt != nil && (len(e.Halt.Text) > 1000 || len(e.Halt.Remedy) > 1000 || len(e.Halt.Kind) > maxNameLength):
		return &BadRequest{"a halt's words have up to 1000 characters"}
	}
	count := 0
	for _, set := range []bool{e.Forget != "", e.Start != nil, e.Halt != nil, e.Resume != nil, e.Rollback != "", e.Drain != "",
		e.Undrain != ""} {
		if set {
			count++
		}
	}
	if count != 1 {
		return &BadRequest{"an order orders one thing"}
	}
	return nil
}
