// Package simulate runs whole installations in virtual time: the real shell of
// several ingresses on a simulated network, between clients, backends and a
// discovery that stand in, under faults far denser than life. One seed draws
// all of it, and gives the same run each time.
//
// What must never happen is checked from outside, at the stand-ins and on the
// wire, after every event (check.go). A seed that shows a fault is played again
// alone, with a trace, by cmd/bench/seeds -seed N -trace.
package simulate

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"wickarch/internal/ingress"
	"wickarch/internal/reactor"
	"wickarch/internal/reactor/simnet"
)

const ms = time.Millisecond

// Scenario is one drawn installation and what goes wrong in it.
type Scenario struct {
	Seed      uint64
	Ingresses int
	Backends  int
	Customers int
	Rate      float64       // requests a second, over all ingresses
	For       time.Duration // of load
	Net       simnet.Faults
	Drift     float64 // clocks are so much fast or slow at most

	Kills, Pauses, Cuts, Shortages, Changes int // of ingresses, links, descriptors, the list of backends
	Drains                                  int // of ingresses, as by SIGTERM; they start again

	Busy, Err, Silent, Close, Spoil, Copy, Noise, Halves float64 // chances of a backend's answers
	Leave, Pipeline, Slow                                float64 // of clients: gone early, several at once, a byte now and then
	Values                                               int     // bytes of a value at most
	Large                                                float64 // chance of a value that is passed on as it comes
	Sockets                                              int     // descriptors of an ingress, by its configuration
	Proof                                                int     // rests that earn a backend trust
	Calm                                                 bool    // nothing in it can make a request fail

	Spread   int           // ingresses through which a customer's requests come; 0: all
	Cold     time.Duration // after a start a backend is cold for so long
	ColdRule coldRule
	Replaced int     // backends that are replaced within a second
	Cores    float64 // what a warm backend can do, in seconds of work a second; 0: not counted
	Queue    bool    // and it takes no more at a time; else a command takes as long whatever else is there

	Joins, Returns int       // backends that join, and that end and come back cold under their name, in a release
	Release        span      // when that is
	Burst          float64   // so many times the rate ...
	BurstIn        span      // ... in this time
	Shares         []float64 // of the traffic, by ingress, relative to the others'; nil: alike
}

// DrawCrowd draws a large installation in which much happens to many at once:
// seven in ten ingresses die within a moment, backends are replaced in steps,
// lists come late and differ meanwhile. The network is sound.
func DrawCrowd(seed uint64) Scenario {
	r := rand.New(rand.NewPCG(seed, 3))
	s := Scenario{
		Seed: seed, Ingresses: 60, Backends: 40, Customers: 150, Spread: 3, Rate: 500 + 700*r.Float64(), For: 4 * time.Second,
		Net:   simnet.Faults{Latency: 50*time.Microsecond + time.Duration(r.Int64N(int64(ms))), Jitter: time.Duration(r.Int64N(int64(ms)))},
		Drift: 0.005 * r.Float64(), Values: 1 + r.IntN(200), Sockets: 256, Proof: 1 + r.IntN(8), Cold: 5 * time.Second,
	}
	switch r.IntN(3) {
	case 0:
		s.Kills = 42
	case 1:
		s.Changes = 20 + r.IntN(30)
	default:
		s.Kills, s.Changes = 20+r.IntN(40), 10+r.IntN(30)
	}
	if r.IntN(2) == 0 {
		s.Busy, s.Err = 0.1*r.Float64(), 0.1*r.Float64()
	}
	if r.IntN(3) == 0 {
		s.Replaced = 12 + r.IntN(13)
	}
	// A busy fleet: an even share is more than a backend that has just started can bear.
	s.Cores = s.Rate * meanService.Seconds() / float64(s.Backends) / (0.8 + 0.3*r.Float64())
	return s
}

// DrawThrong draws some twenty to thirty ingresses before backends of which some join and others end and come back
// cold, under a burst, a part of the traffic uneven. The rule on cold backends is one of those that deployments have.
func DrawThrong(seed uint64) Scenario {
	r := rand.New(rand.NewPCG(seed, 4))
	s := Scenario{
		Seed: seed, Ingresses: 20 + r.IntN(11), Backends: 10 + r.IntN(11), For: 6 * time.Second,
		Net:   simnet.Faults{Latency: 50*time.Microsecond + time.Duration(r.Int64N(int64(ms))), Jitter: time.Duration(r.Int64N(int64(ms)))},
		Drift: 0.005 * r.Float64(), Values: 1 + r.IntN(200), Sockets: 256, Proof: 1 + r.IntN(8),
		Cold:     7*time.Second + time.Duration(r.Int64N(int64(10*time.Second))),
		ColdRule: coldRule{From: 0.15 + 0.35*r.Float64(), Multiple: 3, For: 1500 * ms},
		Release:  span{time.Second, 1500*ms + time.Duration(r.Int64N(int64(2*time.Second)))},
		Burst:    1.5 + 0.5*r.Float64(),
	}
	switch r.IntN(4) {
	case 0:
		s.ColdRule.Multiple = 2.5
	case 1:
		s.ColdRule.Multiple, s.ColdRule.For = 4, 3*time.Second
	}
	s.Joins, s.Returns = r.IntN(s.Backends/2), 1+r.IntN(s.Backends)
	// From a second before the release to two behind its begin.
	begin := time.Duration(r.Int64N(int64(3 * time.Second)))
	s.BurstIn = span{begin, begin + time.Second + time.Duration(r.Int64N(int64(2*time.Second)))}
	// Some twenty or sixty requests a second bring one to its full capacity; few, and a window holds few.
	load := 0.5 + 0.6*r.Float64()
	if s.Queue = r.IntN(2) == 0; s.Queue {
		s.Cores, load = 1, 0.7*load // beyond that it is mostly refused
	} else {
		s.Cores = (15 + 25*r.Float64()) * meanService.Seconds()
	}
	s.Rate = float64(s.Backends) * s.Cores / meanService.Seconds() * load
	s.Customers, s.Spread = 50+int(s.Rate/2), 3+r.IntN(4) // quotas hold little back
	if r.IntN(3) > 0 {                                    // some get several times the mean
		for range s.Ingresses {
			s.Shares = append(s.Shares, [...]float64{0.3, 0.5, 0.7, 1, 1, 1.2, 2, 4}[r.IntN(8)])
		}
	}
	if r.IntN(2) == 0 {
		s.Busy, s.Err, s.Spoil = 0.1*r.Float64(), 0.1*r.Float64(), 0.03*r.Float64()
	}
	if r.IntN(2) == 0 {
		s.Slow, s.Leave = 0.03*r.Float64(), 0.05*r.Float64()
	}
	return s
}

// Draw draws a scenario. Each fault is left out of half of them: what two faults
// do together shows best where the others are quiet.
func Draw(seed uint64) Scenario {
	r := rand.New(rand.NewPCG(seed, 1))
	chance := func(most float64) float64 {
		if r.IntN(2) == 0 {
			return 0
		}
		return most * r.Float64()
	}
	count := func(most int) int {
		if r.IntN(2) == 0 {
			return 0
		}
		return 1 + r.IntN(most)
	}
	span := func(most time.Duration) time.Duration { return time.Duration(chance(float64(most))) }
	s := Scenario{
		Seed: seed, Ingresses: 3, Backends: 10, Customers: 12, Rate: 60 + 200*r.Float64(), For: 1500 * ms,
		Net: simnet.Faults{
			Latency: 50*time.Microsecond + span(ms), Jitter: span(2 * ms), Cut: chance(0.5), ShortSend: chance(0.2),
			Reset: chance(0.02), Refuse: chance(0.05), Lose: chance(0.05), Lag: span(2 * ms),
		},
		Drift: chance(0.005),
		Kills: count(2), Pauses: count(3), Cuts: count(4), Shortages: count(2), Changes: count(12),
		Busy: chance(0.2), Err: chance(0.1), Silent: chance(0.05), Close: chance(0.1), Spoil: chance(0.05),
		Copy: chance(0.1), Noise: chance(0.05), Halves: chance(0.2),
		Leave: chance(0.1), Pipeline: chance(0.3), Slow: chance(0.05), Values: 1 + r.IntN(200),
		Sockets: 256, Proof: 1 + r.IntN(8),
	}
	if s.Calm = r.IntN(8) == 0; s.Calm {
		s.Net.Reset, s.Net.Refuse, s.Net.Lose, s.Leave, s.Slow = 0, 0, 0, 0, 0
		s.Kills, s.Pauses, s.Cuts, s.Shortages, s.Changes = 0, 0, 0, 0, 0
		s.Err, s.Silent, s.Close, s.Spoil, s.Copy, s.Noise = 0, 0, 0, 0, 0, 0
	}
	if r.IntN(4) == 0 {
		s.Values = 20_000
		s.Net.Buffer = 2000 + r.IntN(8000)
	}
	if r.IntN(4) == 0 && !s.Calm {
		s.Sockets = 20 + r.IntN(60)
	}
	if r.IntN(4) == 0 && !s.Calm {
		s.Net.Backlog = 1 + r.IntN(8)
	}
	if r.IntN(4) == 0 {
		s.Large = 0.1 * r.Float64()
	}
	if r.IntN(3) == 0 && !s.Calm {
		s.Drains = 1 + r.IntN(3)
	}
	return s
}

// Settings of the installation: a plan with quota and ceiling, and a class of
// each effect.
const settings = `{"name":"n%d","listen":"%s","discovery":"-","seed":"%x","limits":{"cores":1,"memory_mb":32,"sockets":%d},
"known":{"revision":1,"complete":true,"members":[%s]},
"settings":{"balancers":%d,"self_index":%d,"zone":0,"zones":["a"],"kinds":["std"],"tick_ms":2,"discovery":"push",
 "bounds":{"cancelling":true,"conn_idle_ms":4000,"connect_timeout_ms":80,"max_retry_after_ms":1000,"probing":true,
  "retry_after":true,"second_copies":false,"try_limit":4},
 "invariants":{"cold_from":%g,"cold_ms":%d,"drain_grace_ms":500,"fall_ms":%d,"tip_multiple":%g},
 "report":{"fields":["rif","lat_ms"],"how":"pull"},
 "request_classes":[
  {"name":"lookup","aim_ms":100,"give_up_ms":900,"effect":"free","dedup_scope":"all","worth":2,"window_ms":2000},
  {"name":"payment","aim_ms":100,"give_up_ms":600,"effect":"single_shot","dedup_scope":"all","worth":6,"window_ms":2000},
  {"name":"transfer","aim_ms":100,"give_up_ms":700,"effect":"guarded","dedup_scope":"cell","worth":4,"window_ms":150}],
 "specifics":{"max_units":1,"use_period_ms":500},
 "tiers_of_service":[{"name":"basic","quota_rate":20,"burst":20,"price":1},
  {"name":"district","quota_rate":10,"burst":10,"price":1.6,"hard_rate":%g,"hard_burst":%g,"tolerance":%g}],"weights":"nominal"}}`

const fewSockets = 256 // with fewer all places may be taken

const (
	replacing                                   = time.Second
	ceilingRate, ceilingBurst, ceilingTolerance = 20.0, 20.0, 2.0
	window                                      = 150 * ms // in which a cell drops repeats of a transfer
	grace                                       = 500 * ms // from when an ingress is told that a backend drains
	bench                                       = 50 * ms  // by which each limit of time is longer, as on the platform's bench
)

// gateway is one ingress and what it was told.
type gateway struct {
	*run
	number  int
	node    *simnet.Node
	ingress *ingress.Ingress
	told    map[string]time.Duration // by a backend's name: when it was told that it drains or is gone
	starts  map[string]int64         // by a backend's name: its start, as told
	down    []span                   // killed, or standing still
	short   []span                   // of descriptors
	late    time.Duration            // how late it hears of discovery
	ending  bool                     // told to end
}

type span struct{ from, to time.Duration }

// over tells whether any of the spans overlaps the interval [from, to].
func over(spans []span, from, to time.Duration) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.from <= to && from <= s.to })
}

// Report is what a run came to.
type Report struct {
	Requests, Served, Refused, Failed, Unreached, Excused int
	Runs                                                  int
	Fallen                                                int     // cold backends pushed over, whoever did it
	Coldest                                               float64 // most that a cold backend was sent, over what it can bear
	Hash                                                  uint64
	Faults                                                []string // what must not happen and did
}

// Add adds the counts of another run; Coldest is the most of both.
func (r *Report) Add(other Report) {
	r.Requests += other.Requests
	r.Served += other.Served
	r.Refused += other.Refused
	r.Failed += other.Failed
	r.Unreached += other.Unreached
	r.Excused += other.Excused
	r.Runs += other.Runs
	r.Fallen += other.Fallen
	r.Coldest = max(r.Coldest, other.Coldest)
}

// run is one scenario at work.
type run struct {
	Scenario
	net       *simnet.Net
	rand      *rand.Rand // of what the stand-ins do; the network has its own
	gateways  []*gateway
	backends  []*backend
	revision  int64
	clients   []*client
	meter     meter
	ceilings  map[string]*bucket
	tries     map[string]*try
	cuts      map[string][]span // by the two addresses
	report    Report
	causeless int // failed, and no transfer
	over      bool
}

// Run plays a scenario. trace, if not nil, is told each thing that happens.
func Run(s Scenario, trace func(at time.Duration, line string)) Report {
	r := &run{Scenario: s, net: simnet.New(s.Seed), rand: rand.New(rand.NewPCG(s.Seed, 2)),
		tries: map[string]*try{}, ceilings: map[string]*bucket{}, cuts: map[string][]span{}}
	r.net.Faults, r.net.Trace = s.Net, trace
	r.ColdRule = cmp.Or(s.ColdRule, usualCold)
	r.meter.used = map[string]float64{}
	for n := range s.Backends {
		r.addBackend(fmt.Sprintf("10.0.1.%d", n+1))
	}
	for n := range s.Ingresses {
		g := &gateway{run: r, number: n, node: r.net.Node(fmt.Sprintf("10.0.0.%d", n+1)), late: time.Duration(r.rand.Int64N(int64(time.Second)))}
		if s.Sockets < fewSockets {
			g.short = []span{{0, time.Hour}}
		}
		g.node.ClockRate = 1 + s.Drift*(2*r.rand.Float64()-1)
		r.gateways = append(r.gateways, g)
		g.start()
	}
	for n := range 4 {
		r.clients = append(r.clients, newClient(r, n))
	}
	r.plan()
	for r.net.Now() < s.For && len(r.report.Faults) == 0 && r.net.Step() {
	}
	r.finish()
	r.report.Hash = r.net.Hash()
	return r.report
}

// fault notes what must not happen.
func (r *run) fault(format string, args ...any) {
	r.report.Faults = append(r.report.Faults, fmt.Sprintf("%.3f ms: ", float64(r.net.Now())/float64(ms))+fmt.Sprintf(format, args...))
}

// say adds a line to the trace.
func (r *run) say(format string, args ...any) {
	if r.net.Trace != nil {
		r.net.Trace(r.net.Now(), fmt.Sprintf(format, args...))
	}
}

// start starts the program of an ingress, with what discovery tells at its start.
func (g *gateway) start() {
	var members []string
	g.told, g.starts = map[string]time.Duration{}, map[string]int64{}
	for _, b := range g.backends {
		members = append(members, b.line())
		g.starts[b.name] = b.since
		if b.phase != ingress.PhaseServing {
			g.told[b.name] = g.net.Now()
		}
	}
	text := fmt.Sprintf(settings, g.number, g.address(), g.rand.Uint64(), g.Sockets, strings.Join(members, ","), g.Ingresses, g.number,
		g.ColdRule.From, g.cold().Milliseconds(), g.ColdRule.For.Milliseconds(), g.ColdRule.Multiple, ceilingRate, ceilingBurst, ceilingTolerance)
	cfg, err := ingress.ParseConfig([]byte(text))
	if err != nil {
		panic(err) // the settings are ours
	}
	cfg.TrustThreshold = g.Proof
	g.ending = false
	g.node.Start(func(l *reactor.Loop) {
		if g.ingress, err = ingress.New(cfg, l); err != nil {
			panic(err)
		}
	})
	g.node.Loop.Post(func() { g.ingress.DiscoveryQueried() })
	g.tell(true)
}

// cold is how long a backend is cold after its start.
func (s *Scenario) cold() time.Duration { return cmp.Or(s.Cold, time.Second) }

// spread is through how many ingresses a customer's requests come.
func (s *Scenario) spread() int { return cmp.Or(s.Spread, s.Ingresses) }

func (g *gateway) address() string { return g.node.IP + ":6379" }

// tell has discovery tell the ingress of backends as they are now, or of all,
// some time later. It keeps the order.
func (g *gateway) tell(whole bool, of ...*backend) {
	list := ingress.MemberList{Revision: g.revision, Complete: whole}
	if whole {
		of = g.backends
	}
	gone := map[string]bool{}
	for _, b := range of {
		if b.phase != ingress.PhaseServing {
			gone[b.name] = true
		}
		if !whole || b.phase != ingress.PhaseDeleted {
			list.Members = append(list.Members, b.member())
		}
	}
	loop := g.node.Loop
	g.net.After(g.late, func() {
		if loop != g.node.Loop || loop == nil {
			return // it has been killed since, and asks when it starts
		}
		loop.Post(func() {
			for _, m := range list.Members {
				g.starts[m.ID] = m.UpSince
			}
			for _, b := range of {
				if _, before := g.told[b.name]; !gone[b.name] {
					delete(g.told, b.name)
				} else if !before {
					g.told[b.name] = g.net.Now()
				}
			}
			g.ingress.UpdateMembers(list)
		})
	})
}

// at has f happen at a time drawn from the time of load.
func (r *run) at(f func()) {
	r.net.After(time.Duration(r.rand.Int64N(int64(r.For))), func() {
		if !r.over {
			f()
		}
	})
}

// plan draws when things go wrong.
func (r *run) plan() {
	some := func(n int, f func()) {
		for range n {
			r.at(f)
		}
	}
	some(r.Kills, func() {
		g := r.gateways[r.rand.IntN(len(r.gateways))]
		if g.node.Loop == nil {
			return
		}
		down := span{r.net.Now(), r.net.Now() + 20*ms + time.Duration(r.rand.Int64N(int64(300*ms)))}
		g.down = append(g.down, down)
		g.node.Kill()
		r.net.After(down.to-down.from, g.start)
	})
	some(r.Drains, func() { r.gateways[r.rand.IntN(len(r.gateways))].drain() })
	some(r.Pauses, func() {
		g := r.gateways[r.rand.IntN(len(r.gateways))]
		down := span{r.net.Now(), r.net.Now() + 5*ms + time.Duration(r.rand.Int64N(int64(250*ms)))}
		g.down = append(g.down, down)
		loop := g.node.Loop
		g.node.Pause()
		r.net.After(down.to-down.from, func() {
			if g.node.Loop == loop {
				g.node.Resume()
			}
		})
	})
	some(r.Cuts, r.cut)
	some(r.Shortages, r.runShort)
	some(r.Changes, r.change)
	if r.Replaced > 0 {
		r.at(func() {
			for _, i := range r.rand.Perm(len(r.backends))[:r.Replaced] {
				r.net.After(time.Duration(r.rand.Int64N(int64(replacing))), func() { r.replace(r.backends[i]) })
			}
		})
	}
	during := func(s span, f func()) {
		r.net.After(s.from+time.Duration(r.rand.Int64N(int64(s.to-s.from))), func() {
			if !r.over {
				f()
			}
		})
	}
	for range r.Joins {
		during(r.Release, r.join)
	}
	if r.Returns > 0 {
		for _, i := range r.rand.Perm(len(r.backends))[:r.Returns] {
			during(r.Release, func() { r.comeBack(r.backends[i]) })
		}
	}
	interval := time.Duration(float64(time.Second) / r.Rate)
	for t := time.Duration(0); t < r.For; t += interval {
		r.at(r.newRequest)
	}
	for range int((r.Burst - 1) * r.Rate * (r.BurstIn.to - r.BurstIn.from).Seconds()) {
		during(r.BurstIn, r.newRequest)
	}
}

// cut parts a gateway from a client or a backend for a while.
func (r *run) cut() {
	a := r.gateways[r.rand.IntN(len(r.gateways))].node.IP
	b := r.clients[r.rand.IntN(len(r.clients))].node.IP
	if r.rand.IntN(3) > 0 {
		b = r.backends[r.rand.IntN(len(r.backends))].node.IP
	}
	ways := 1 + r.rand.IntN(3) // one way, the other, or both
	s := span{r.net.Now(), r.net.Now() + 10*ms + time.Duration(r.rand.Int64N(int64(600*ms)))}
	r.cuts[a+b] = append(r.cuts[a+b], s)
	r.say("cut %s %s, %d", a, b, ways)
	if ways&1 > 0 {
		r.net.Partition(a, b)
	}
	if ways&2 > 0 {
		r.net.Partition(b, a)
	}
	r.net.After(s.to-s.from, func() {
		r.say("mended %s %s", a, b)
		r.net.Heal(a, b)
		r.net.Heal(b, a)
	})
}

// runShort lets a gateway run out of descriptors for a while.
func (r *run) runShort() {
	g := r.gateways[r.rand.IntN(len(r.gateways))]
	g.node.MaxDescriptors = max(2, g.node.OpenDescriptors()-r.rand.IntN(10))
	r.say("%s may hold %d descriptors", g.node.IP, g.node.MaxDescriptors)
	lasts := time.Duration(r.rand.Int64N(int64(500 * ms)))
	g.short = append(g.short, span{r.net.Now(), r.net.Now() + lasts})
	r.net.After(lasts, func() { g.node.MaxDescriptors = 0 })
}

// join adds a backend, cold.
func (r *run) join() {
	r.revision++
	r.addBackend(fmt.Sprintf("10.0.1.%d", len(r.backends)+1))
	b := r.backends[len(r.backends)-1]
	b.since = simnet.Epoch.Add(r.net.Now()).UnixMilli()
	r.tellAll(b)
}

// comeBack ends a backend's process and starts it again a moment later, cold. Discovery tells of its end in every
// other case, and of its start.
func (r *run) comeBack(b *backend) {
	b.node.Kill()
	if r.rand.IntN(2) == 0 {
		r.revision++
		b.phase = ingress.PhaseDeleted
		r.tellAll(b)
	}
	r.net.After(100*ms+time.Duration(r.rand.Int64N(int64(900*ms))), func() {
		if r.over {
			return
		}
		r.revision++
		b.phase, b.since = ingress.PhaseServing, simnet.Epoch.Add(r.net.Now()).UnixMilli()
		b.restart()
		r.tellAll(b)
	})
}

const (
	acceptAfterStop = 450 * ms                 // as ingress.Server has it
	lastRequests    = 50 * ms                  // likewise
	longest         = 900 * ms                 // deadline of a class
	mostEnding      = longest + 150*ms + bench // from the end of accepting
)

// drain ends an ingress as SIGTERM does, and starts it again. What it has taken by
// then it owes an answer: nothing of that is excused by its end.
func (g *gateway) drain() {
	if g.node.Loop == nil || g.ending {
		return
	}
	g.ending = true
	loop, in := g.node.Loop, g.ingress
	g.say("%s is told to end", g.node.IP)
	loop.Post(in.Drain)
	g.net.After(acceptAfterStop, func() {
		if g.node.Loop != loop {
			return // killed meanwhile
		}
		loop.Post(in.CloseListener)
		g.net.After(lastRequests, func() {
			if g.node.Loop == loop {
				loop.Post(in.Finish)
			}
		})
		until := g.net.Now() + mostEnding
		var look func()
		look = func() {
			if g.node.Loop != loop {
				return
			}
			if in.Usage().Clients > 0 && g.net.Now() < until {
				g.net.After(5*ms, look)
				return
			}
			if n := in.Usage().Requests; n > 0 && !over(g.down, until-2*mostEnding, g.net.Now()) {
				g.fault("%s ends with %d requests open", g.node.IP, n)
			}
			g.node.Kill()
			g.net.After(20*ms, g.start)
		}
		g.net.After(5*ms, look)
	})
}

// change changes the list of backends.
func (r *run) change() {
	b := r.backends[r.rand.IntN(len(r.backends))]
	r.revision++
	switch what := r.rand.IntN(3); {
	case b.phase != ingress.PhaseServing: // it comes back, started anew
		b.phase, b.since = ingress.PhaseServing, simnet.Epoch.Add(r.net.Now()).UnixMilli()
		if b.fell {
			b.restart()
		}
	case what == 0:
		b.phase = ingress.PhaseDraining
	case what == 1:
		b.phase = ingress.PhaseDeleted
	default:
		r.replace(b)
		return
	}
	r.tellAll(b)
}

// replace has another take over a backend's address. Discovery may not know yet that it is gone.
func (r *run) replace(b *backend) {
	r.revision++
	b.name, b.phase = fmt.Sprintf("%s'", b.name), ingress.PhaseServing
	b.since = simnet.Epoch.Add(r.net.Now()).UnixMilli()
	b.restart()
	r.tellAll(b)
}

func (r *run) tellAll(b *backend) {
	r.say("discovery: %s is %s", b.name, b.phase)
	for _, g := range r.gateways {
		if g.node.Loop != nil {
			g.tell(r.rand.IntN(5) == 0, b)
		}
	}
}

// finish lets all that is open end, and checks that nothing is left over.
func (r *run) finish() {
	r.over = true
	r.net.RunUntil(r.net.Now() + 3*time.Second) // past every deadline, cut and pause
	for _, c := range r.clients {
		c.closeAll()
	}
	for _, b := range r.backends {
		b.phase = ingress.PhaseDeleted
	}
	for _, g := range r.gateways {
		g.tell(true)
	}
	r.net.Faults = simnet.Faults{Latency: ms}
	// Discovery is late by a second at most. No connection idles out by then.
	r.net.RunUntil(r.net.Now() + 1500*ms)
	r.settle()
}
