// Package replica is one coordinator as a state machine: the decisions of packages
// rollout and distribution on the log of the raft library (go.etcd.io/raft). It has no
// I/O of its own, no goroutine and no clock: time, messages, reports, polls and orders
// are passed in, messages and answers are returned, and a Disk persists the state before
// anything that depends on it is sent.
//
// The library draws its election timeouts from the system's random numbers. So that a
// seed reproduces a run, elections are started here, by a seeded generator, and the
// library counts time only.
package replica

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"wickarch/distribution"
	"wickarch/internal/raftlog"
	"wickarch/rollout"
)

// Disk persists the state of a coordinator.
type Disk interface {
	// Save persists all arguments, or returns an error, upon which the coordinator
	// stops. A nil argument leaves the stored one unchanged. Entries replace all from
	// the first one's index on. A snapshot, which came from another coordinator,
	// replaces all entries.
	Save(state *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error
	// Compact replaces the entries up to a snapshot's index by the snapshot, which this coordinator has made.
	Compact(snapshot *pb.Snapshot) error
}

// Stored is the content of a disk.
type Stored struct {
	State    *pb.HardState
	Entries  []*pb.Entry
	Snapshot *pb.Snapshot
}

// Config configures one coordinator.
type Config struct {
	ID             uint64 // a new one for each new disk: with an empty disk, an old ID could vote twice in a term
	Rollout        rollout.Config
	PublishTiming  distribution.Timing // zero for the default
	TickInterval   time.Duration       // between calls of Tick
	ElectionTicks  int                 // minimum election timeout in ticks; the maximum is twice that
	CompactAfter   uint64              // entries applied before a snapshot replaces them
	DecideInterval time.Duration       // between decisions of the leader
}

// publishInterval is the time between two checks for polls that are due.
const publishInterval = 50 * time.Millisecond

// publisherTiming returns the timing of the publisher.
func (c *Config) publisherTiming() distribution.Timing {
	if c.PublishTiming == (distribution.Timing{}) {
		return distribution.DefaultTiming()
	}
	return c.PublishTiming
}

const retainedEntries = 100 // kept before a snapshot, for coordinators that lag a little

// Bootstrap returns the initial disk content of a new set of coordinators, given their addresses by ID.
func Bootstrap(peers map[uint64]string) (Stored, error) {
	data, err := json.Marshal(snapshot{Peers: peers, State: rollout.NewState(), Catalog: distribution.NewCatalog()})
	if err != nil {
		return Stored{}, err
	}
	var voters []uint64
	for id := range peers {
		voters = append(voters, id)
	}
	slices.Sort(voters)
	return Stored{
		State: &pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)},
		Snapshot: &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1),
			ConfState: &pb.ConfState{Voters: voters}}},
	}, nil
}

// snapshot is the data of a snapshot.
type snapshot struct {
	Peers   map[uint64]string     `json:"peers"`
	State   *rollout.State        `json:"state"`
	Catalog *distribution.Catalog `json:"catalog,omitempty"` // nil if a build without catalogs wrote it
}

// proposal is the data of an entry.
type proposal struct {
	From   uint64              `json:"from"`
	Number uint64              `json:"n"`
	Entry  rollout.Entry       `json:"entry"`
	Config *distribution.Entry `json:"config,omitempty"` // instead of Entry
}

// Message is a message to another coordinator.
type Message struct {
	To   uint64
	Data []byte
}

// Replica is one coordinator.
type Replica struct {
	cfg       Config
	disk      Disk
	rng       *rand.Rand
	node      *raft.RawNode
	log       *raft.MemoryStorage
	state     *rollout.State
	peers     map[uint64]string
	confState *pb.ConfState

	now             time.Duration
	applied         uint64
	snapshotIndex   uint64 // index of the last snapshot
	leaderlessTicks int    // ticks since the last message of a leader or vote for a candidate
	electionTimeout int    // leaderlessTicks that start an election
	leader          *rollout.Leader
	catalog         *distribution.Catalog
	publisher       *distribution.Publisher // nil unless this coordinator leads
	heldPolls       map[string]heldPoll     // by follower
	publishedIndex  uint64                  // catalog index by which polls were last answered
	nextPublishAt   time.Duration
	term            uint64 // of leader and publisher
	raftLeader      bool   // according to the library
	nextDecideAt    time.Duration
	readIndexAt     time.Duration // when leadership was last checked with the majority
	lastProposal    uint64
	pendingOrders   map[uint64]func(error) // callbacks of orders, by the number of their proposal
	outbox          []Message
	err             error
}

// heldPoll is a follower's poll that is held until there is something new.
type heldPoll struct {
	number uint64
	answer func(distribution.Reply, error)
}

// New starts a coordinator from the content of its disk. With an empty one, it waits
// until the other coordinators add it.
func New(cfg Config, stored Stored, disk Disk, seed uint64, now time.Duration) (*Replica, error) {
	r := &Replica{cfg: cfg, disk: disk, rng: rand.New(rand.NewPCG(seed, cfg.ID)), log: raft.NewMemoryStorage(), state: rollout.NewState(),
		catalog: distribution.NewCatalog(), heldPolls: map[string]heldPoll{}, peers: map[uint64]string{},
		confState: &pb.ConfState{}, now: now, pendingOrders: map[uint64]func(error){}}
	if s := stored.Snapshot; s != nil {
		if err := r.restore(s); err != nil {
			return nil, err
		}
		if err := r.log.ApplySnapshot(s); err != nil {
			return nil, fmt.Errorf("replica: %w", err)
		}
	}
	if stored.State != nil {
		if err := r.log.SetHardState(stored.State); err != nil {
			return nil, fmt.Errorf("replica: %w", err)
		}
	}
	if len(stored.Entries) > 0 {
		if err := r.log.Append(stored.Entries); err != nil {
			return nil, fmt.Errorf("replica: %w", err)
		}
	}
	err := r.recoverPanics(func() error {
		var err error
		r.node, err = raft.NewRawNode(&raft.Config{ID: cfg.ID, ElectionTick: cfg.ElectionTicks, HeartbeatTick: 1, Storage: r.log,
			Applied: r.applied, MaxSizePerMsg: 256 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 4 << 20, CheckQuorum: true, PreVote: true,
			DisableProposalForwarding: true, Logger: raftlog.Silent{}}) // Status tells what its log lines would
		return err
	})
	if err != nil {
		return nil, err
	}
	r.resetElectionTimer()
	return r, nil
}

// resetElectionTimer restarts the election timer with a new random timeout.
func (r *Replica) resetElectionTimer() {
	r.leaderlessTicks, r.electionTimeout = 0, r.cfg.ElectionTicks+r.rng.IntN(r.cfg.ElectionTicks)
}

func (r *Replica) restore(s *pb.Snapshot) error {
	var data snapshot
	if err := json.Unmarshal(s.GetData(), &data); err != nil || data.State == nil {
		return fmt.Errorf("replica: cannot decode snapshot: %w", err)
	}
	if data.Catalog == nil {
		data.Catalog = distribution.NewCatalog()
	}
	if err := data.Catalog.Verify(); err != nil {
		return fmt.Errorf("replica: invalid snapshot: %w", err)
	}
	r.catalog = data.Catalog
	r.state, r.peers, r.confState = data.State, data.Peers, s.GetMetadata().GetConfState()
	if r.state.Members == nil {
		r.state.Members = map[string]*rollout.MemberRecord{}
	}
	r.applied = s.GetMetadata().GetIndex()
	r.snapshotIndex = r.applied
	return nil
}

// recoverPanics runs f and turns the library's panics into an error: the library panics if
// its log holds less than it has acknowledged, as with an older disk.
func (r *Replica) recoverPanics(f func() error) (err error) {
	if r.err != nil {
		return r.err
	}
	defer func() {
		if p := recover(); p != nil {
			r.err = &LogBehind{ID: r.cfg.ID, What: fmt.Sprint(p)}
			err = r.err
			r.stepDown("this coordinator has stopped")
		}
	}()
	return f()
}

// Err returns why this coordinator has stopped; nil while it runs.
func (r *Replica) Err() error { return r.err }

// TakeMessages returns the messages to send, and removes them.
func (r *Replica) TakeMessages() []Message {
	out := r.outbox
	r.outbox = nil
	return out
}

// Peers returns the coordinators' addresses by ID.
func (r *Replica) Peers() map[uint64]string { return r.peers }

// Voters returns the coordinators of which a majority decides; during a replacement
// there are two sets, and a majority of each is needed.
func (r *Replica) Voters() (now, before []uint64) {
	return r.confState.GetVoters(), r.confState.GetVotersOutgoing()
}

// State returns the replicated state, for reading.
func (r *Replica) State() *rollout.State { return r.state }

// LeaderID returns the coordinator that leads, as far as this one knows; 0 for none.
func (r *Replica) LeaderID() uint64 { return r.node.BasicStatus().Lead }

// IsLeader reports whether this coordinator makes the decisions.
func (r *Replica) IsLeader() bool { return r.leader != nil && r.err == nil }

// Term returns the library's term.
func (r *Replica) Term() uint64 { return r.node.BasicStatus().GetTerm() }

// Tick advances time: it is called once each Config.TickInterval, and only once after a pause.
func (r *Replica) Tick(now time.Duration) error {
	r.now = max(r.now, now)
	return r.recoverPanics(func() error {
		if r.raftLeader {
			r.node.Tick()
			if r.leader != nil && r.now-r.readIndexAt >= r.cfg.DecideInterval {
				r.readIndexAt = r.now
				r.node.ReadIndex(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, r.term), uint64(r.now)))
			}
		} else {
			// This only counts time: see the package comment. The method is deprecated; a release
			// without it must not be adopted before elections can be seeded in another way.
			r.node.TickQuiesced() //nolint:staticcheck
			if r.leaderlessTicks++; r.leaderlessTicks >= r.electionTimeout {
				r.resetElectionTimer()
				if err := r.node.Campaign(); err != nil {
					return err
				}
			}
		}
		if r.leader != nil && r.now >= r.nextDecideAt {
			r.nextDecideAt = r.now + r.cfg.DecideInterval
			r.proposeAll(r.leader.Tick(r.now))
		}
		if err := r.processReady(); err != nil {
			return err
		}
		return r.publish()
	})
}

// Step handles a message of another coordinator.
func (r *Replica) Step(now time.Duration, data []byte) error {
	r.now = max(r.now, now)
	var m pb.Message
	if err := proto.Unmarshal(data, &m); err != nil {
		return &rollout.BadRequest{What: "cannot decode message: " + err.Error()}
	}
	if m.GetTo() != r.cfg.ID {
		return nil // to a coordinator that this one has replaced, at the same address
	}
	return r.recoverPanics(func() error {
		switch m.GetType() {
		case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
			if m.GetTerm() < r.Term() {
				break // from a former leader that does not know yet that it is one
			}
			r.leaderlessTicks = 0
			if err := r.checkDivergence(&m); err != nil {
				r.err = err
				r.stepDown("this coordinator has stopped")
				return err
			}
		}
		if err := r.node.Step(&m); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) && !errors.Is(err, raft.ErrStepLocalMsg) {
			return &rollout.BadRequest{What: err.Error()}
		}
		if err := r.processReady(); err != nil {
			return err
		}
		return r.publish()
	})
}

// checkDivergence checks whether a leader's entries differ from what is committed here. The
// library assumes that this is impossible, and retries without end.
func (r *Replica) checkDivergence(m *pb.Message) error {
	committed := r.node.BasicStatus().GetCommit()
	differs := func(index, term uint64) bool {
		have, err := r.log.Term(index)
		return index <= committed && err == nil && have != term
	}
	if m.GetType() == pb.MsgApp {
		if differs(m.GetIndex(), m.GetLogTerm()) {
			return &LogSplit{r.cfg.ID, m.GetFrom(), m.GetIndex()}
		}
		for _, e := range m.GetEntries() {
			if differs(e.GetIndex(), e.GetTerm()) {
				return &LogSplit{r.cfg.ID, m.GetFrom(), e.GetIndex()}
			}
		}
	}
	return nil
}

// Report handles an agent's report.
func (r *Replica) Report(now time.Duration, report rollout.Report) (reply rollout.Reply, err error) {
	r.now = max(r.now, now)
	err = r.recoverPanics(func() error {
		if r.leader == nil {
			return &rollout.NotLeader{Leader: r.LeaderID()}
		}
		answer, add, refused := r.leader.Report(r.now, report)
		reply = answer
		if refused != nil {
			return refused
		}
		r.proposeAll(add)
		return r.processReady()
	})
	return reply, err
}

// Order proposes an operator's order. done is called once it is applied, or with
// *rollout.Undecided when that can no longer be known.
func (r *Replica) Order(now time.Duration, e rollout.Entry, done func(error)) {
	r.now = max(r.now, now)
	err := r.recoverPanics(func() error {
		if r.leader == nil {
			return &rollout.NotLeader{Leader: r.LeaderID()}
		}
		n := r.lastProposal + 1
		r.pendingOrders[n] = done
		if err := r.proposeEntry(e); err != nil {
			delete(r.pendingOrders, n)
			return err
		}
		return r.processReady()
	})
	if err != nil {
		done(err)
	}
}

// Poll handles a follower's poll. answer is called once: immediately, when there is something
// new, or when the poll times out; with *rollout.NotLeader if this coordinator does not lead.
func (r *Replica) Poll(now time.Duration, poll distribution.Poll, answer func(distribution.Reply, error)) {
	r.now = max(r.now, now)
	err := r.recoverPanics(func() error {
		if r.publisher == nil {
			return &rollout.NotLeader{Leader: r.LeaderID()}
		}
		reply, hold, err := r.publisher.Poll(r.now, poll)
		if err != nil {
			return err
		}
		if previous, ok := r.heldPolls[poll.Follower]; ok && (hold || previous.number < poll.Number) {
			delete(r.heldPolls, poll.Follower)
			previous.answer(distribution.Reply{Newest: r.catalog.Version}, nil)
		}
		if hold {
			r.heldPolls[poll.Follower] = heldPoll{poll.Number, answer}
		} else {
			answer(reply, nil)
		}
		return r.publish()
	})
	if err != nil {
		answer(distribution.Reply{}, err)
	}
}

// publish handles what the publisher has ready: entries for the log, and answers to followers.
// Usually there is nothing, and to check for it takes one step per follower.
func (r *Replica) publish() error {
	if r.publisher == nil {
		return nil
	}
	unsettled := r.catalog.Settled < r.catalog.Version
	if unsettled || r.now >= r.nextPublishAt {
		for _, e := range r.publisher.Tick(r.now) {
			_ = r.propose(proposal{Config: &e}) // if dropped, the publisher makes it again
		}
		if err := r.processReady(); err != nil || r.publisher == nil {
			return err
		}
	}
	if r.catalog.Index == r.publishedIndex && r.now < r.nextPublishAt {
		return nil
	}
	r.publishedIndex, r.nextPublishAt = r.catalog.Index, r.now+publishInterval
	for _, due := range r.publisher.Due(r.now) {
		if poll, ok := r.heldPolls[due.Follower]; ok && poll.number == due.Number {
			delete(r.heldPolls, due.Follower)
			poll.answer(due.Reply, nil)
		}
	}
	return nil
}

// Configure proposes an operator's change of configuration. done is called once it is
// applied, or with *rollout.Undecided when that can no longer be known.
func (r *Replica) Configure(now time.Duration, e distribution.Entry, done func(error)) {
	r.now = max(r.now, now)
	err := r.recoverPanics(func() error {
		if r.publisher == nil {
			return &rollout.NotLeader{Leader: r.LeaderID()}
		}
		if e.Forget != "" {
			if ago, ever := r.publisher.SinceLastPoll(r.now, e.Forget); ever && ago < r.cfg.publisherTiming().Lease {
				return &distribution.StillThere{Follower: e.Forget, Heard: ago}
			}
		}
		n := r.lastProposal + 1
		r.pendingOrders[n] = done
		if err := r.propose(proposal{Config: &e}); err != nil {
			delete(r.pendingOrders, n)
			return err
		}
		if err := r.processReady(); err != nil {
			return err
		}
		return r.publish()
	})
	if err != nil {
		done(err)
	}
}

// Catalog returns the replicated configuration, for reading, if this coordinator leads.
func (r *Replica) Catalog() (*distribution.Catalog, error) {
	if r.err != nil {
		return nil, r.err
	}
	if r.publisher == nil {
		return nil, &rollout.NotLeader{Leader: r.LeaderID()}
	}
	return r.catalog, nil
}

// ConfigStatus returns which configuration version is in force where, if this coordinator leads.
func (r *Replica) ConfigStatus(now time.Duration) (distribution.Status, error) {
	if _, err := r.Catalog(); err != nil {
		return distribution.Status{}, err
	}
	return r.publisher.Status(now), nil
}

// Replace replaces an old coordinator by a new one.
func (r *Replica) Replace(now time.Duration, oldID, newID uint64, address string) error {
	r.now = max(r.now, now)
	return r.recoverPanics(func() error {
		if r.leader == nil {
			return &rollout.NotLeader{Leader: r.LeaderID()}
		}
		if _, exists := r.peers[newID]; exists || r.peers[oldID] == "" || newID == 0 {
			return &rollout.BadRequest{What: fmt.Sprintf("old coordinator %d must exist, and new coordinator %d must be above 0 and not exist yet",
				oldID, newID)}
		}
		context, err := json.Marshal(map[uint64]string{newID: address})
		if err != nil {
			return err
		}
		if err := r.node.ProposeConfChange(&pb.ConfChangeV2{Context: context, Changes: []*pb.ConfChangeSingle{
			{Type: pb.ConfChangeAddNode.Enum(), NodeId: proto.Uint64(newID)},
			{Type: pb.ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(oldID)}}}); err != nil {
			return &rollout.Undecided{Why: err.Error()}
		}
		return r.processReady()
	})
}

// Status returns the status of the fleet, if this coordinator leads.
func (r *Replica) Status(now time.Duration) (rollout.Status, error) {
	r.now = max(r.now, now)
	if r.err != nil {
		return rollout.Status{}, r.err
	}
	if r.leader == nil {
		return rollout.Status{}, &rollout.NotLeader{Leader: r.LeaderID()}
	}
	return r.leader.Status(r.now), nil
}

func (r *Replica) proposeAll(entries []rollout.Entry) {
	for _, e := range entries {
		if r.proposeEntry(e) != nil {
			r.leader.Applied(e) // dropped: it may be proposed again
		}
	}
}

func (r *Replica) proposeEntry(e rollout.Entry) error { return r.propose(proposal{Entry: e}) }

func (r *Replica) propose(p proposal) error {
	r.lastProposal++
	p.From, p.Number = r.cfg.ID, r.lastProposal
	data, err := json.Marshal(p)
	if err != nil {
		return err
	}
	if err := r.node.Propose(data); err != nil {
		return &rollout.Undecided{Why: err.Error()}
	}
	return nil
}

// processReady handles what the library has ready: it persists before it sends and applies.
func (r *Replica) processReady() error {
	for r.node.HasReady() {
		ready := r.node.Ready()
		var snap *pb.Snapshot
		if !raft.IsEmptySnap(ready.Snapshot) {
			snap = ready.Snapshot
		}
		if ready.HardState != nil || len(ready.Entries) > 0 || snap != nil {
			if err := r.disk.Save(ready.HardState, ready.Entries, snap); err != nil {
				r.err = err
				r.stepDown("this coordinator has stopped")
				return err
			}
		}
		if snap != nil {
			if err := r.restore(snap); err != nil {
				return err
			}
			if err := r.log.ApplySnapshot(snap); err != nil {
				return err
			}
		}
		if err := r.log.Append(ready.Entries); err != nil {
			return err
		}
		if ready.HardState != nil {
			if err := r.log.SetHardState(ready.HardState); err != nil {
				return err
			}
		}
		if s := ready.SoftState; s != nil {
			if r.raftLeader = s.RaftState == raft.StateLeader; !r.raftLeader {
				r.stepDown("another coordinator leads")
			}
		}
		for _, m := range ready.Messages {
			if err := r.send(m); err != nil {
				return err
			}
		}
		for _, read := range ready.ReadStates {
			if c := read.RequestCtx; len(c) == 16 && r.leader != nil && binary.BigEndian.Uint64(c) == r.term {
				at := time.Duration(binary.BigEndian.Uint64(c[8:]))
				r.leader.Confirmed(at)
				r.publisher.LeadershipConfirmed(at)
			}
		}
		for _, e := range ready.CommittedEntries {
			if err := r.apply(e); err != nil {
				return err
			}
		}
		r.node.Advance(ready)
	}
	if r.applied-r.snapshotIndex >= r.cfg.CompactAfter {
		return r.compact()
	}
	return nil
}

func (r *Replica) send(m *pb.Message) error {
	if (m.GetType() == pb.MsgVoteResp || m.GetType() == pb.MsgPreVoteResp) && !m.GetReject() {
		r.leaderlessTicks = 0
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return fmt.Errorf("replica: %w", err)
	}
	r.outbox = append(r.outbox, Message{m.GetTo(), data})
	if m.GetType() == pb.MsgSnap {
		// Whether it arrives is found out by probing, as with any other message.
		r.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
	}
	return nil
}

func (r *Replica) apply(e *pb.Entry) error {
	r.applied = e.GetIndex()
	r.state.RecordTerm(e.GetTerm(), r.applied)
	if r.raftLeader && r.leader == nil && e.GetTerm() == r.Term() {
		// All entries of earlier terms are applied: from here on this coordinator decides.
		r.term = e.GetTerm()
		r.leader = rollout.NewLeader(r.cfg.Rollout, r.state, r.term, r.now)
		r.publisher = distribution.NewPublisher(r.cfg.publisherTiming(), r.catalog, r.now)
		r.nextDecideAt, r.readIndexAt = r.now, r.now-r.cfg.DecideInterval
	}
	switch e.GetType() {
	case pb.EntryConfChange, pb.EntryConfChangeV2:
		return r.applyConfChange(e)
	}
	if len(e.GetData()) == 0 {
		return nil
	}
	var p proposal
	if err := json.Unmarshal(e.GetData(), &p); err != nil {
		return fmt.Errorf("replica: entry %d: %w", r.applied, err)
	}
	var err error
	if p.Config != nil {
		err = r.catalog.Apply(r.applied, *p.Config)
	} else {
		err = r.state.Apply(r.applied, p.Entry)
		if r.leader != nil && e.GetTerm() == r.term {
			r.leader.Applied(p.Entry)
		}
	}
	if done := r.pendingOrders[p.Number]; done != nil && p.From == r.cfg.ID && r.leader != nil && e.GetTerm() == r.term {
		delete(r.pendingOrders, p.Number)
		done(err)
	}
	return nil
}

// applyConfChange applies a change of the set of coordinators.
func (r *Replica) applyConfChange(e *pb.Entry) error {
	var change pb.ConfChangeV2
	if err := proto.Unmarshal(e.GetData(), &change); err != nil {
		return fmt.Errorf("replica: entry %d: %w", r.applied, err)
	}
	r.confState = r.node.ApplyConfChange(&change)
	var added map[uint64]string
	if len(change.GetContext()) > 0 {
		if err := json.Unmarshal(change.GetContext(), &added); err != nil {
			return fmt.Errorf("replica: entry %d: %w", r.applied, err)
		}
	}
	for id, address := range added {
		r.peers[id] = address
	}
	if len(r.confState.GetVotersOutgoing()) == 0 {
		for id := range r.peers {
			if !slices.Contains(r.confState.GetVoters(), id) {
				delete(r.peers, id)
			}
		}
	}
	// A new coordinator can start only from a snapshot that lists it.
	return r.compact()
}

func (r *Replica) stepDown(reason string) {
	r.leader, r.publisher, r.raftLeader = nil, nil, false
	for follower, poll := range r.heldPolls {
		delete(r.heldPolls, follower)
		poll.answer(distribution.Reply{}, &rollout.NotLeader{Leader: r.LeaderID()})
	}
	for n, done := range r.pendingOrders {
		delete(r.pendingOrders, n)
		done(&rollout.Undecided{Why: reason})
	}
}

// compact replaces the applied entries by a snapshot.
func (r *Replica) compact() error {
	data, err := json.Marshal(snapshot{r.peers, r.state, r.catalog})
	if err != nil {
		return fmt.Errorf("replica: %w", err)
	}
	snap, err := r.log.CreateSnapshot(r.applied, r.confState, data)
	if errors.Is(err, raft.ErrSnapOutOfDate) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("replica: %w", err)
	}
	if err := r.disk.Compact(snap); err != nil {
		r.err = err
		r.stepDown("this coordinator has stopped")
		return err
	}
	r.snapshotIndex = r.applied
	if r.applied > retainedEntries {
		if err := r.log.Compact(r.applied - retainedEntries); err != nil && !errors.Is(err, raft.ErrCompacted) {
			return fmt.Errorf("replica: %w", err)
		}
	}
	return nil
}
