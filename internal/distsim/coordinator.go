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
	election = 10 // ticks without a leader before an election, at least; at most twice that
)

// coordinator is one, on the real raft library. Its disk is log, which outlives it.
type coordinator struct {
	w        *World
	id       uint64
	region   int
	rate     float64 // of its clock
	node     *raft.RawNode
	log      *raft.MemoryStorage
	catalog  *distribution.Catalog
	pub      *distribution.Publisher // while it leads, and knows all of earlier terms
	leads    bool
	term     uint64 // of pub
	silent   int
	patience int
	waiting  map[string]func(error)
	polls    map[string]func(uint64, distribution.Reply) // how a held question is answered

	virtualtime.Process
}

func newCoordinator(w *World, id uint64, region int) *coordinator {
	c := &coordinator{w: w, id: id, region: region, rate: w.drawRate(), log: raft.NewMemoryStorage(), Process: virtualtime.NewProcess(&w.Scheduler)}
	w.must(c.log.ApplySnapshot(&pb.Snapshot{Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1),
		ConfState: &pb.ConfState{Voters: []uint64{1, 2, 3}}}}))
	w.must(c.log.SetHardState(&pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}))
	return c
}

func (c *coordinator) now() time.Duration { return time.Duration(float64(c.w.Now()) * c.rate) }

func (c *coordinator) restless() { c.silent, c.patience = 0, election+c.w.rng.IntN(election) }

func (c *coordinator) start() {
	if c.node != nil {
		return
	}
	var err error
	c.node, err = raft.NewRawNode(&raft.Config{ID: c.id, ElectionTick: election, HeartbeatTick: 1, Storage: c.log, Applied: 1, MaxSizePerMsg: 1 << 20,
		MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, Logger: raftlog.Silent{}})
	c.w.must(err)
	c.catalog, c.waiting, c.polls = distribution.NewCatalog(), map[string]func(error){}, map[string]func(uint64, distribution.Reply){}
	c.Start()
	c.restless()
	life := c.Incarnation()
	var beat func()
	beat = func() {
		if c.Incarnation() != life {
			return
		}
		if c.Paused() {
			c.w.At(c.ResumesAt(), beat)
			return
		}
		c.do(c.beat)
		c.w.After(time.Duration(float64(tick)/c.rate), beat)
	}
	c.w.After(time.Duration(c.w.rng.Int64N(int64(tick))), beat)
}

func (c *coordinator) kill() {
	c.node, c.pub, c.leads = nil, nil, false
	c.Stop()
}

// do runs something here, now or when a pause is over.
func (c *coordinator) do(f func()) {
	if c.node == nil || c.HoldIfPaused(f) {
		return
	}
	f()
	if c.node != nil {
		c.work()
	}
}

func (c *coordinator) pause(d time.Duration) {
	if c.node == nil {
		return
	}
	c.Pause(d, c.do)
}

func (c *coordinator) beat() {
	if c.leads {
		c.node.Tick()
	} else {
		c.node.TickQuiesced() //nolint:staticcheck // as rollout/replica does, and for its reason
		if c.silent++; c.silent >= c.patience {
			c.restless()
			c.w.must(c.node.Campaign())
		}
	}
	if c.pub != nil {
		c.node.ReadIndex(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, c.term), uint64(c.now())))
		for _, e := range c.pub.Tick(c.now()) {
			_ = c.propose(e) // what is not applied is made again by a later tick
		}
		c.answer()
	}
}

func (c *coordinator) propose(e distribution.Entry) error {
	data, err := json.Marshal(e)
	c.w.must(err)
	return c.node.Propose(data)
}

func (c *coordinator) answer() {
	if c.pub == nil {
		return
	}
	for _, a := range c.pub.Due(c.now()) {
		if send := c.polls[a.Follower]; send != nil {
			send(a.Number, a.Reply)
		}
	}
}

func (c *coordinator) work() {
	news := false
	for c.node.HasReady() {
		ready := c.node.Ready()
		if !raft.IsEmptySnap(ready.Snapshot) {
			panic("distsim: nothing is compacted, and a snapshot comes")
		}
		c.w.must(c.log.Append(ready.Entries))
		if ready.HardState != nil {
			c.w.must(c.log.SetHardState(ready.HardState))
		}
		if s := ready.SoftState; s != nil {
			if c.leads = s.RaftState == raft.StateLeader; !c.leads {
				c.pub = nil
				clear(c.polls)
				clear(c.waiting) // their operators ask again
			}
		}
		for _, m := range ready.Messages {
			if (m.GetType() == pb.MsgVoteResp || m.GetType() == pb.MsgPreVoteResp) && !m.GetReject() {
				c.silent = 0
			}
			data, err := proto.Marshal(m)
			c.w.must(err)
			to := c.w.coordinators[m.GetTo()-1]
			c.w.carry(end{c.region, int(c.id)}, end{to.region, int(to.id)}, func() { to.do(func() { to.step(data) }) })
		}
		for _, r := range ready.ReadStates {
			if b := r.RequestCtx; len(b) == 16 && c.pub != nil && binary.BigEndian.Uint64(b) == c.term {
				c.pub.LeadershipConfirmed(time.Duration(binary.BigEndian.Uint64(b[8:])))
			}
		}
		for _, e := range ready.CommittedEntries {
			news = true
			c.apply(e)
		}
		c.node.Advance(ready)
	}
	if news {
		c.answer()
	}
}

func (c *coordinator) step(data []byte) {
	var m pb.Message
	c.w.must(proto.Unmarshal(data, &m))
	switch m.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat:
		if m.GetTerm() >= c.node.BasicStatus().GetTerm() {
			c.silent = 0
		}
	}
	_ = c.node.Step(&m) // a message that is refused counts as one that was lost
}

func (c *coordinator) apply(entry *pb.Entry) {
	c.w.committed(entry)
	if len(entry.GetData()) > 0 {
		var e distribution.Entry
		c.w.must(json.Unmarshal(entry.GetData(), &e))
		err := c.catalog.Apply(entry.GetIndex(), e)
		if done := c.waiting[e.Request]; e.Request != "" && done != nil {
			delete(c.waiting, e.Request)
			done(err)
		}
	}
	if c.leads && c.pub == nil && entry.GetTerm() == c.node.BasicStatus().GetTerm() {
		c.term = entry.GetTerm()
		c.pub = distribution.NewPublisher(c.w.Timing, c.catalog, c.now())
		c.w.Report.Leaders++
		c.w.Note("coordinator %d leads in term %d", c.id, c.term)
	}
}

// order takes an operator's entry.
func (c *coordinator) order(e distribution.Entry, done func(error)) {
	if c.pub == nil {
		return // the operator asks again, elsewhere
	}
	c.waiting[e.Request] = done
	if c.propose(e) != nil {
		delete(c.waiting, e.Request)
	}
}

// poll takes a follower's question.
func (c *coordinator) poll(f *follower, q distribution.Poll) {
	back := func(do func(life int)) {
		life := f.life
		c.w.carry(end{c.region, int(c.id)}, f.end(), func() { do(life) })
	}
	if c.pub == nil {
		lead := int(c.node.BasicStatus().Lead) - 1
		back(func(life int) { f.told(life, func() { f.f.Failed(f.now(), q.Number, lead) }) })
		return
	}
	legit := c.w.leader() == c
	send := func(number uint64, r distribution.Reply) {
		c.w.given(c, f, r)
		back(func(life int) { f.reply(life, number, r) })
	}
	r, held, err := c.pub.Poll(c.now(), q)
	if err != nil {
		back(func(life int) { f.told(life, func() { f.f.Failed(f.now(), q.Number, -1) }) })
		return
	}
	if legit {
		f.heardBy()
	}
	if held {
		c.polls[q.Follower] = send
		return
	}
	send(q.Number, r)
}
