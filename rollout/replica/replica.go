// Package replica is one coordinator as a state machine: the decisions of packages
// rollout and distribution on the log of the raft library (go.etcd.io/raft). It has no
// I/O of its own, no goroutine and no clock: time, messages, reports, questions and
// orders come in, messages and answers go out, and what has to be kept goes to a Disk,
// which keeps it before anything that rests on it is said.
//
// The library draws its election times from the system's random numbers. So that
// a seed gives the same run again, elections are begun here, by a generator of our
// own, and the library counts time only.
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

// Disk keeps what a coordinator must not forget.
type Disk interface {
	// Save keeps all of it, or returns an error, upon which the coordinator stops.
	// A nil part stays as it was. Entries take the place of all from the first
	// one's index on. A snapshot, which came from another coordinator, takes the
	// place of all entries.
	Save(state *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error
	// Compact keeps a snapshot of our own in the place of the entries up to its index.
	Compact(snapshot *pb.Snapshot) error
}

// Stored is what a disk holds.
type Stored struct {
	State    *pb.HardState
	Entries  []*pb.Entry
	Snapshot *pb.Snapshot
}

// Config is what one coordinator goes by.
type Config struct {
	ID       uint64 // new with each new disk: an empty disk under an old number could vote twice
	Rollout  rollout.Config
	Publish  distribution.Timing // the zero value for the default
	Tick     time.Duration       // between calls of Tick
	Election int                 // ticks without a leader before an election, at least; at most twice that
	Compact  uint64              // entries applied before a snapshot takes their place
	Decide   time.Duration       // between decisions of the leader
}

// publishEvery is the time between two looks at whose question is due.
const publishEvery = 50 * time.Millisecond

// publish is the timing that the publisher goes by.
func (c *Config) publish() distribution.Timing {
	if c.Publish == (distribution.Timing{}) {
		return distribution.DefaultTiming()
	}
	return c.Publish
}

const keepEntries = 100 // behind a snapshot, for those that are a little late

// Founding is the disk of a new set of coordinators, by their numbers and addresses.
func Founding(peers map[uint64]string) (Stored, error) {
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
	Catalog *distribution.Catalog `json:"catalog,omitempty"` // nil in one of a build that had none
}

// proposal is the data of an entry.
type proposal struct {
	From   uint64              `json:"from"`
	N      uint64              `json:"n"`
	Entry  rollout.Entry       `json:"entry"`
	Config *distribution.Entry `json:"config,omitempty"` // in place of Entry
}

// Message is one to another coordinator.
type Message struct {
	To   uint64
	Data []byte
}

// Replica is one coordinator.
type Replica struct {
	cfg   Config
	disk  Disk
	rng   *rand.Rand
	node  *raft.RawNode
	log   *raft.MemoryStorage
	state *rollout.State
	peers map[uint64]string
	conf  *pb.ConfState

	now         time.Duration
	applied     uint64
	snapped     uint64 // index of the last snapshot
	silent      int    // ticks since a leader was heard or a vote given
	patience    int    // ticks until an election is begun
	leader      *rollout.Leader
	catalog     *distribution.Catalog
	publisher   *distribution.Publisher // nil while this one does not lead
	held        map[string]question     // by follower
	published   uint64                  // index of the catalog that questions were answered by
	nextPublish time.Duration
	term        uint64 // of leader and publisher
	leads       bool   // by the library's word
	nextDecide  time.Duration
	asked       time.Duration // when the majority was last asked who leads
	n           uint64
	waiting     map[uint64]func(error) // orders, by the number of their proposal
	out         []Message
	err         error
}

// question is one of a follower that is held.
type question struct {
	number uint64
	answer func(distribution.Reply, error)
}

// New starts a coordinator on what its disk holds. With nothing on it, it waits
// until the others take it in.
func New(cfg Config, stored Stored, disk Disk, seed uint64, now time.Duration) (*Replica, error) {
	r := &Replica{cfg: cfg, disk: disk, rng: rand.New(rand.NewPCG(seed, cfg.ID)), log: raft.NewMemoryStorage(), state: rollout.NewState(),
		catalog: distribution.NewCatalog(), held: map[string]question{}, peers: map[uint64]string{}, conf: &pb.ConfState{}, now: now, waiting: map[uint64]func(error){}}
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
	err := r.guard(func() error {
		var err error
		r.node, err = raft.NewRawNode(&raft.Config{ID: cfg.ID, ElectionTick: cfg.Election, HeartbeatTick: 1, Storage: r.log, Applied: r.applied,
			MaxSizePerMsg: 256 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 4 << 20, CheckQuorum: true, PreVote: true,
			DisableProposalForwarding: true, Logger: raftlog.Silent{}}) // what its lines would tell stands in Status
		return err
	})
	if err != nil {
		return nil, err
	}
	r.restless()
	return r, nil
}

// restless draws anew how long this coordinator bears having no leader.
func (r *Replica) restless() {
	r.silent, r.patience = 0, r.cfg.Election+r.rng.IntN(r.cfg.Election)
}

func (r *Replica) restore(s *pb.Snapshot) error {
	var data snapshot
	if err := json.Unmarshal(s.GetData(), &data); err != nil || data.State == nil {
		return fmt.Errorf("replica: a snapshot that can't be read: %w", err)
	}
	if data.Catalog == nil {
		data.Catalog = distribution.NewCatalog()
	}
	if err := data.Catalog.Verify(); err != nil {
		return fmt.Errorf("replica: a snapshot that can't be used: %w", err)
	}
	r.catalog = data.Catalog
	r.state, r.peers, r.conf = data.State, data.Peers, s.GetMetadata().GetConfState()
	if r.state.Members == nil {
		r.state.Members = map[string]*rollout.Seat{}
	}
	r.applied = s.GetMetadata().GetIndex()
	r.snapped = r.applied
	return nil
}

// guard turns the library's panics into an error: it panics where its log holds
// less than it has acknowledged, which is what an older disk looks like.
func (r *Replica) guard(f func() error) (err error) {
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

// Err is why this coordinator has stopped; nil while it has not.
func (r *Replica) Err() error { return r.err }

// Take hands out the messages to send.
func (r *Replica) Take() []Message {
	out := r.out
	r.out = nil
	return out
}

// Peers are the coordinators' addresses by their numbers.
func (r *Replica) Peers() map[uint64]string { return r.peers }

// Voters are the coordinators of which a majority decides; during a replacement
// there are two sets, and a majority of each is needed.
func (r *Replica) Voters() (now, before []uint64) {
	return r.conf.GetVoters(), r.conf.GetVotersOutgoing()
}

// State is what the log says, for reading.
func (r *Replica) State() *rollout.State { return r.state }

// Leads tells who leads, as far as this coordinator knows; 0 for nobody.
func (r *Replica) Leads() uint64 { return r.node.BasicStatus().Lead }

// Leading tells whether this coordinator decides.
func (r *Replica) Leading() bool { return r.leader != nil && r.err == nil }

// Term is the library's term.
func (r *Replica) Term() uint64 { return r.node.BasicStatus().GetTerm() }

// Tick counts time: it is called once each Config.Tick, and after a pause once only.
func (r *Replica) Tick(now time.Duration) error {
	r.now = max(r.now, now)
	return r.guard(func() error {
		if r.leads {
			r.node.Tick()
			if r.leader != nil && r.now-r.asked >= r.cfg.Decide {
				r.asked = r.now
				r.node.ReadIndex(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, r.term), uint64(r.now)))
			}
		} else {
			// Counting only: see the package's comment. The method is marked as one to go; a
			// release without it is not taken before elections can be seeded in another way.
			r.node.TickQuiesced() //nolint:staticcheck
			if r.silent++; r.silent >= r.patience {
				r.restless()
				if err := r.node.Campaign(); err != nil {
					return err
				}
			}
		}
		if r.leader != nil && r.now >= r.nextDecide {
			r.nextDecide = r.now + r.cfg.Decide
			r.propose(r.leader.Tick(r.now))
		}
		if err := r.work(); err != nil {
			return err
		}
		return r.publish()
	})
}

// Step takes a message of another coordinator.
func (r *Replica) Step(now time.Duration, data []byte) error {
	r.now = max(r.now, now)
	var m pb.Message
	if err := proto.Unmarshal(data, &m); err != nil {
		return &rollout.BadRequest{What: "a message that can't be read: " + err.Error()}
	}
	if m.GetTo() != r.cfg.ID {
		return nil // to one whose place, and address, this one has taken
	}
	return r.guard(func() error {
		switch m.GetType() {
		case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
			if m.GetTerm() < r.Term() {
				break // of one that leads no longer, and does not know it
			}
			r.silent = 0
			if err := r.split(&m); err != nil {
				r.err = err
				r.stepDown("this coordinator has stopped")
				return err
			}
		}
		if err := r.node.Step(&m); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) && !errors.Is(err, raft.ErrStepLocalMsg) {
			return &rollout.BadRequest{What: err.Error()}
		}
		if err := r.work(); err != nil {
			return err
		}
		return r.publish()
	})
}

// split looks whether a leader's entries differ from what is committed here. The
// library takes that as impossible, and goes on in circles.
func (r *Replica) split(m *pb.Message) error {
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

// Report takes an agent's report.
func (r *Replica) Report(now time.Duration, report rollout.Report) (reply rollout.Reply, err error) {
	r.now = max(r.now, now)
	err = r.guard(func() error {
		if r.leader == nil {
			return &rollout.NotLeader{Leader: r.Leads()}
		}
		answer, add, refused := r.leader.Report(r.now, report)
		reply = answer
		if refused != nil {
			return refused
		}
		r.propose(add)
		return r.work()
	})
	return reply, err
}

// Order takes an operator's order. done is called once it has been applied, or
// with *rollout.Undecided when that can't be told any more.
func (r *Replica) Order(now time.Duration, e rollout.Entry, done func(error)) {
	r.now = max(r.now, now)
	err := r.guard(func() error {
		if r.leader == nil {
			return &rollout.NotLeader{Leader: r.Leads()}
		}
		n := r.n + 1
		r.waiting[n] = done
		if err := r.put(e); err != nil {
			delete(r.waiting, n)
			return err
		}
		return r.work()
	})
	if err != nil {
		done(err)
	}
}

// Poll takes a follower's question. answer is called once, at once or when there is something
// new, or when the question's time is over; with *rollout.NotLeader where another leads.
func (r *Replica) Poll(now time.Duration, q distribution.Poll, answer func(distribution.Reply, error)) {
	r.now = max(r.now, now)
	err := r.guard(func() error {
		if r.publisher == nil {
			return &rollout.NotLeader{Leader: r.Leads()}
		}
		reply, held, err := r.publisher.Poll(r.now, q)
		if err != nil {
			return err
		}
		if before, any := r.held[q.Follower]; any && (held || before.number < q.Number) {
			delete(r.held, q.Follower)
			before.answer(distribution.Reply{Newest: r.catalog.Version}, nil)
		}
		if held {
			r.held[q.Follower] = question{q.Number, answer}
		} else {
			answer(reply, nil)
		}
		return r.publish()
	})
	if err != nil {
		answer(distribution.Reply{}, err)
	}
}

// publish does what the publisher has ready: entries for the log, and answers to followers.
// Most of the time there is nothing, and to look for it takes a step a follower.
func (r *Replica) publish() error {
	if r.publisher == nil {
		return nil
	}
	waits := r.catalog.Settled < r.catalog.Version
	if waits || r.now >= r.nextPublish {
		for _, e := range r.publisher.Tick(r.now) {
			_ = r.putProposal(proposal{Config: &e}) // dropped, it is made again
		}
		if err := r.work(); err != nil || r.publisher == nil {
			return err
		}
	}
	if r.catalog.Index == r.published && r.now < r.nextPublish {
		return nil
	}
	r.published, r.nextPublish = r.catalog.Index, r.now+publishEvery
	for _, a := range r.publisher.Due(r.now) {
		if q, any := r.held[a.Follower]; any && q.number == a.Number {
			delete(r.held, a.Follower)
			q.answer(a.Reply, nil)
		}
	}
	return nil
}

// Configure takes an operator's change of configuration. done is called once it has been
// applied, or with *rollout.Undecided when that can't be told any more.
func (r *Replica) Configure(now time.Duration, e distribution.Entry, done func(error)) {
	r.now = max(r.now, now)
	err := r.guard(func() error {
		if r.publisher == nil {
			return &rollout.NotLeader{Leader: r.Leads()}
		}
		if e.Forget != "" {
			if ago, ever := r.publisher.SinceLastPoll(r.now, e.Forget); ever && ago < r.cfg.publish().Lease {
				return &distribution.StillThere{Follower: e.Forget, Heard: ago}
			}
		}
		n := r.n + 1
		r.waiting[n] = done
		if err := r.putProposal(proposal{Config: &e}); err != nil {
			delete(r.waiting, n)
			return err
		}
		if err := r.work(); err != nil {
			return err
		}
		return r.publish()
	})
	if err != nil {
		done(err)
	}
}

// Catalog is what the log says of configuration, for reading, by the coordinator that leads.
func (r *Replica) Catalog() (*distribution.Catalog, error) {
	if r.err != nil {
		return nil, r.err
	}
	if r.publisher == nil {
		return nil, &rollout.NotLeader{Leader: r.Leads()}
	}
	return r.catalog, nil
}

// ConfigStatus tells where which version is in force, by the leader.
func (r *Replica) ConfigStatus(now time.Duration) (distribution.Status, error) {
	if _, err := r.Catalog(); err != nil {
		return distribution.Status{}, err
	}
	return r.publisher.Status(now), nil
}

// Replace puts a new coordinator in the place of an old one.
func (r *Replica) Replace(now time.Duration, old, new uint64, address string) error {
	r.now = max(r.now, now)
	return r.guard(func() error {
		if r.leader == nil {
			return &rollout.NotLeader{Leader: r.Leads()}
		}
		if _, there := r.peers[new]; there || r.peers[old] == "" || new == 0 {
			return &rollout.BadRequest{What: fmt.Sprintf("%d is a coordinator that is there and %d one that is not", old, new)}
		}
		context, err := json.Marshal(map[uint64]string{new: address})
		if err != nil {
			return err
		}
		if err := r.node.ProposeConfChange(&pb.ConfChangeV2{Context: context, Changes: []*pb.ConfChangeSingle{
			{Type: pb.ConfChangeAddNode.Enum(), NodeId: proto.Uint64(new)}, {Type: pb.ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(old)}}}); err != nil {
			return &rollout.Undecided{Why: err.Error()}
		}
		return r.work()
	})
}

// Status is how all stands, by the leader.
func (r *Replica) Status(now time.Duration) (rollout.Status, error) {
	r.now = max(r.now, now)
	if r.err != nil {
		return rollout.Status{}, r.err
	}
	if r.leader == nil {
		return rollout.Status{}, &rollout.NotLeader{Leader: r.Leads()}
	}
	return r.leader.Status(r.now), nil
}

func (r *Replica) propose(entries []rollout.Entry) {
	for _, e := range entries {
		if r.put(e) != nil {
			r.leader.Applied(e) // dropped: it may be tried again
		}
	}
}

func (r *Replica) put(e rollout.Entry) error { return r.putProposal(proposal{Entry: e}) }

func (r *Replica) putProposal(p proposal) error {
	r.n++
	p.From, p.N = r.cfg.ID, r.n
	data, err := json.Marshal(p)
	if err != nil {
		return err
	}
	if err := r.node.Propose(data); err != nil {
		return &rollout.Undecided{Why: err.Error()}
	}
	return nil
}

// work does what the library has ready: keeps, sends, applies.
func (r *Replica) work() error {
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
			if r.leads = s.RaftState == raft.StateLeader; !r.leads {
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
	if r.applied-r.snapped >= r.cfg.Compact {
		return r.compact()
	}
	return nil
}

func (r *Replica) send(m *pb.Message) error {
	if (m.GetType() == pb.MsgVoteResp || m.GetType() == pb.MsgPreVoteResp) && !m.GetReject() {
		r.silent = 0
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return fmt.Errorf("replica: %w", err)
	}
	r.out = append(r.out, Message{m.GetTo(), data})
	if m.GetType() == pb.MsgSnap {
		// Whether it comes is found out by probing, as with any other message.
		r.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
	}
	return nil
}

func (r *Replica) apply(e *pb.Entry) error {
	r.applied = e.GetIndex()
	r.state.Began(e.GetTerm(), r.applied)
	if r.leads && r.leader == nil && e.GetTerm() == r.Term() {
		// All of earlier terms has been applied: from here on this one decides.
		r.term = e.GetTerm()
		r.leader = rollout.NewLeader(r.cfg.Rollout, r.state, r.term, r.now)
		r.publisher = distribution.NewPublisher(r.cfg.publish(), r.catalog, r.now)
		r.nextDecide, r.asked = r.now, r.now-r.cfg.Decide
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
	if done := r.waiting[p.N]; done != nil && p.From == r.cfg.ID && r.leader != nil && e.GetTerm() == r.term {
		delete(r.waiting, p.N)
		done(err)
	}
	return nil
}

// applyConfChange applies a change of the coordinators' set.
func (r *Replica) applyConfChange(e *pb.Entry) error {
	var change pb.ConfChangeV2
	if err := proto.Unmarshal(e.GetData(), &change); err != nil {
		return fmt.Errorf("replica: entry %d: %w", r.applied, err)
	}
	r.conf = r.node.ApplyConfChange(&change)
	var added map[uint64]string
	if len(change.GetContext()) > 0 {
		if err := json.Unmarshal(change.GetContext(), &added); err != nil {
			return fmt.Errorf("replica: entry %d: %w", r.applied, err)
		}
	}
	for id, address := range added {
		r.peers[id] = address
	}
	if len(r.conf.GetVotersOutgoing()) == 0 {
		for id := range r.peers {
			if !slices.Contains(r.conf.GetVoters(), id) {
				delete(r.peers, id)
			}
		}
	}
	// One that is new can start only from a snapshot that knows it.
	return r.compact()
}

func (r *Replica) stepDown(why string) {
	r.leader, r.publisher, r.leads = nil, nil, false
	for follower, q := range r.held {
		delete(r.held, follower)
		q.answer(distribution.Reply{}, &rollout.NotLeader{Leader: r.Leads()})
	}
	for n, done := range r.waiting {
		delete(r.waiting, n)
		done(&rollout.Undecided{Why: why})
	}
}

// compact puts a snapshot in the place of the entries before it.
func (r *Replica) compact() error {
	data, err := json.Marshal(snapshot{r.peers, r.state, r.catalog})
	if err != nil {
		return fmt.Errorf("replica: %w", err)
	}
	snap, err := r.log.CreateSnapshot(r.applied, r.conf, data)
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
	r.snapped = r.applied
	if r.applied > keepEntries {
		if err := r.log.Compact(r.applied - keepEntries); err != nil && !errors.Is(err, raft.ErrCompacted) {
			return fmt.Errorf("replica: %w", err)
		}
	}
	return nil
}
