package distsim

import (
	"encoding/binary"
	"encoding/json"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"wickarch/distribution"
	"wickarch/internal/raftlog"
	"wickarch/internal/virtualtime"
)

const (
	tick     = 100 * time.Millisecond
	election = 10 // minimum number of ticks without a leader before an election; the maximum is less than twice that
)

// coordinator is one coordinator on the real raft library. Its disk is log, which survives a crash.
type coordinator struct {
	w                *World
	id               uint64
	region           int
	rate             float64 // rate of its clock
	node             *raft.RawNode
	log              *raft.MemoryStorage
	catalog          *distribution.Catalog
	publisher        *distribution.Publisher // set while it leads and has applied all entries of earlier terms
	leading          bool
	term             uint64 // term of publisher
	ticksSinceLeader int
	electionTimeout  int
	pendingOrders    map[string]func(error)
	heldPolls        map[string]func(uint64, distribution.Reply) // by follower: sends the reply to a held poll

	virtualtime.Process
}

func newCoordinator(w *World, id uint64, region int) *coordinator {
	c := &coordinator{w: w, id: id, region: region, rate: w.drawRate(), log: raft.NewMemoryStorage(),
		Process: virtualtime.NewProcess(&w.Scheduler)}
	w.must(c.log.ApplySnapshot(&pb.Snapshot{Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1),
		ConfState: &pb.ConfState{Voters: []uint64{1, 2, 3}}}}))
	w.must(c.log.SetHardState(&pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}))
	return c
}

func (c *coordinator) now() time.Duration { return time.Duration(float64(c.w.Now()) * c.rate) }

func (c *coordinator) resetElectionTimer() {
	c.ticksSinceLeader, c.electionTimeout = 0, election+c.w.rng.IntN(election)
}

func (c *coordinator) start() {
	if c.node != nil {
		return
	}
	var err error
	c.node, err = raft.NewRawNode(&raft.Config{ID: c.id, ElectionTick: election, HeartbeatTick: 1, Storage: c.log, Applied: 1, MaxSizePerMsg: 1 << 20,
		MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, Logger: raftlog.Silent{}})
	c.w.must(err)
	c.catalog, c.pendingOrders, c.heldPolls =
		distribution.NewCatalog(), map[string]func(error){}, map[string]func(uint64, distribution.Reply){}
	c.Start()
	c.resetElectionTimer()
	incarnation := c.Incarnation()
	var loop func()
	loop = func() {
		if c.Incarnation() != incarnation {
			return
		}
		if c.Paused() {
			c.w.At(c.ResumesAt(), loop)
			return
		}
		c.do(c.onTick)
		c.w.After(time.Duration(float64(tick)/c.rate), loop)
	}
	c.w.After(time.Duration(c.w.rng.Int64N(int64(tick))), loop)
}

func (c *coordinator) kill() {
	c.node, c.publisher, c.leading = nil, nil, false
	c.Stop()
}

// do runs f at the coordinator, now or at the end of a pause.
func (c *coordinator) do(f func()) {
	if c.node == nil || c.HoldIfPaused(f) {
		return
	}
	f()
	if c.node != nil {
		c.processReady()
	}
}

func (c *coordinator) pause(d time.Duration) {
	if c.node == nil {
		return
	}
	c.Pause(d, c.do)
}

func (c *coordinator) onTick() {
	if c.leading {
		c.node.Tick()
	} else {
		c.node.TickQuiesced() //nolint:staticcheck // for the same reason as in rollout/replica
		if c.ticksSinceLeader++; c.ticksSinceLeader >= c.electionTimeout {
			c.resetElectionTimer()
			c.w.must(c.node.Campaign())
		}
	}
	if c.publisher != nil {
		c.node.ReadIndex(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, c.term), uint64(c.now())))
		for _, e := range c.publisher.Tick(c.now()) {
			_ = c.propose(e) // a later tick proposes again what is not applied
		}
		c.answerPolls()
	}
}

func (c *coordinator) propose(e distribution.Entry) error {
	data, err := json.Marshal(e)
	c.w.must(err)
	return c.node.Propose(data)
}

func (c *coordinator) answerPolls() {
	if c.publisher == nil {
		return
	}
	for _, a := range c.publisher.Due(c.now()) {
		if send := c.heldPolls[a.Follower]; send != nil {
			send(a.Number, a.Reply)
		}
	}
}

func (c *coordinator) processReady() {
	applied := false
	for c.node.HasReady() {
		ready := c.node.Ready()
		if !raft.IsEmptySnap(ready.Snapshot) {
			panic("distsim: received a snapshot although logs are never compacted")
		}
		c.w.must(c.log.Append(ready.Entries))
		if ready.HardState != nil {
			c.w.must(c.log.SetHardState(ready.HardState))
		}
		if s := ready.SoftState; s != nil {
			if c.leading = s.RaftState == raft.StateLeader; !c.leading {
				c.publisher = nil
				clear(c.heldPolls)
				clear(c.pendingOrders) // their operators retry
			}
		}
		for _, m := range ready.Messages {
			if (m.GetType() == pb.MsgVoteResp || m.GetType() == pb.MsgPreVoteResp) && !m.GetReject() {
				c.ticksSinceLeader = 0
			}
			data, err := proto.Marshal(m)
			c.w.must(err)
			to := c.w.coordinators[m.GetTo()-1]
			c.w.transmit(endpoint{c.region, int(c.id)}, endpoint{to.region, int(to.id)}, func() { to.do(func() { to.step(data) }) })
		}
		for _, r := range ready.ReadStates {
			if b := r.RequestCtx; len(b) == 16 && c.publisher != nil && binary.BigEndian.Uint64(b) == c.term {
				c.publisher.LeadershipConfirmed(time.Duration(binary.BigEndian.Uint64(b[8:])))
			}
		}
		for _, e := range ready.CommittedEntries {
			applied = true
			c.apply(e)
		}
		c.node.Advance(ready)
	}
	if applied {
		c.answerPolls()
	}
}

func (c *coordinator) step(data []byte) {
	var m pb.Message
	c.w.must(proto.Unmarshal(data, &m))
	switch m.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat:
		if m.GetTerm() >= c.node.BasicStatus().GetTerm() {
			c.ticksSinceLeader = 0
		}
	}
	_ = c.node.Step(&m) // a refused message counts as lost
}

func (c *coordinator) apply(entry *pb.Entry) {
	c.w.committed(entry)
	if len(entry.GetData()) > 0 {
		var e distribution.Entry
		c.w.must(json.Unmarshal(entry.GetData(), &e))
		err := c.catalog.Apply(entry.GetIndex(), e)
		if done := c.pendingOrders[e.Request]; e.Request != "" && done != nil {
			delete(c.pendingOrders, e.Request)
			done(err)
		}
	}
	if c.leading && c.publisher == nil && entry.GetTerm() == c.node.BasicStatus().GetTerm() {
		c.term = entry.GetTerm()
		c.publisher = distribution.NewPublisher(c.w.Timing, c.catalog, c.now())
		c.w.Report.Leaders++
		c.w.Note("coordinator %d leads in term %d", c.id, c.term)
	}
}

// order accepts an operator's entry.
func (c *coordinator) order(e distribution.Entry, done func(error)) {
	if c.publisher == nil {
		return // the operator retries at another coordinator
	}
	c.pendingOrders[e.Request] = done
	if c.propose(e) != nil {
		delete(c.pendingOrders, e.Request)
	}
}

// poll handles a follower's poll.
func (c *coordinator) poll(f *follower, q distribution.Poll) {
	back := func(do func(incarnation int)) {
		incarnation := f.incarnation
		c.w.transmit(endpoint{c.region, int(c.id)}, f.end(), func() { do(incarnation) })
	}
	if c.publisher == nil {
		lead := int(c.node.BasicStatus().Lead) - 1
		back(func(incarnation int) { f.deliver(incarnation, func() { f.protocol.Failed(f.now(), q.Number, lead) }) })
		return
	}
	isLeader := c.w.leader() == c
	send := func(number uint64, r distribution.Reply) {
		c.w.checkReply(c, f, r)
		back(func(incarnation int) { f.reply(incarnation, number, r) })
	}
	r, held, err := c.publisher.Poll(c.now(), q)
	if err != nil {
		back(func(incarnation int) { f.deliver(incarnation, func() { f.protocol.Failed(f.now(), q.Number, -1) }) })
		return
	}
	if isLeader {
		f.recordLeaderContact()
	}
	if held {
		c.heldPolls[q.Follower] = send
		return
	}
	send(q.Number, r)
}
