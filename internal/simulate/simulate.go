// Package simulate runs whole installations in virtual time: the real code of
// several ingresses on a simulated network, between simulated clients, backends
// and a simulated discovery, under faults far more frequent than in production.
// A seed determines the scenario and the run, so every run can be repeated.
//
// Invariants are checked from outside, at the simulated clients and backends and
// on the wire, as events happen (check.go). To replay a seed that shows a fault
// alone and with a trace, use cmd/bench/seeds -seed N -trace.
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

// Scenario is one randomly drawn installation with the faults injected into it.
type Scenario struct {
	Seed      uint64
	Ingresses int
	Backends  int
	Customers int
	Rate      float64       // requests a second, over all ingresses
	For       time.Duration // duration of the load
	Net       simnet.Faults
	Drift     float64 // maximum relative error of the ingresses' clock rates

	Kills, Pauses, Cuts, Shortages, Changes int // counts; Changes are of the list of backends
	Drains                                  int // of ingresses, as on SIGTERM; they start again

	Busy, Err, Silent, Close, Spoil, Copy, Noise, Halves float64 // probabilities of faults in a backend's answers
	Leave, Pipeline, Slow                                float64 // probabilities: disconnect early, pipeline, send a request in two parts
	Values                                               int     // maximum padding of a value, in bytes
	Large                                                float64 // probability of a value so large that it is streamed
	Sockets                                              int     // descriptor limit in an ingress's configuration
	Proof                                                int     // ingress.Config.TrustThreshold
	Calm                                                 bool    // no fault in it can make a request fail

	Spread   int           // number of ingresses that get a customer's requests; 0: all
	Cold     time.Duration // how long a backend is cold after its start; 0: 1 s
	ColdRule coldRule
	Replaced int     // backends replaced within one second
	Cores    float64 // capacity of a warm backend, in seconds of work per second; 0: load is not checked
	Queue    bool    // commands queue for the backend's cores; otherwise service time does not depend on load

	Joins, Returns int       // backends that join, and that stop and come back cold under the same name, during Release
	Release        span      // when Joins and Returns happen
	Burst          float64   // multiple of Rate ...
	BurstIn        span      // ... during this span
	Shares         []float64 // relative traffic weight of each ingress; nil: equal
}

// DrawCrowd draws a large installation in which many members fail or change at
// once: seven in ten ingresses are killed, up to 24 backends are replaced within a
// second, member lists arrive late and differ meanwhile. The network has no faults.
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
	// A busy installation: an equal share is more than a newly started backend can take.
	s.Cores = s.Rate * meanService.Seconds() / float64(s.Backends) / (0.8 + 0.3*r.Float64())
	return s
}

// DrawThrong draws 20 to 30 ingresses with backends of which some join and others stop and come back cold, under
// a burst, in two of three seeds with uneven traffic. The rule on cold backends is one that deployments use.
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
	// The burst starts between one second before the release and two seconds after its start.
	begin := time.Duration(r.Int64N(int64(3 * time.Second)))
	s.BurstIn = span{begin, begin + time.Second + time.Duration(r.Int64N(int64(2*time.Second)))}
	// A backend's capacity is about 15 to 60 requests a second; so low that the rule's window holds few requests.
	load := 0.5 + 0.6*r.Float64()
	if s.Queue = r.IntN(2) == 0; s.Queue {
		s.Cores, load = 1, 0.7*load // above that most requests are refused
	} else {
		s.Cores = (15 + 25*r.Float64()) * meanService.Seconds()
	}
	s.Rate = float64(s.Backends) * s.Cores / meanService.Seconds() * load
	s.Customers, s.Spread = 50+int(s.Rate/2), 3+r.IntN(4) // enough customers that quotas refuse little
	if r.IntN(3) > 0 {                                    // some ingresses get several times the mean
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

// Draw draws a scenario. Each fault is left out of half of the scenarios, because
// the interaction of two faults shows best without the others.
func Draw(seed uint64) Scenario {
	r := rand.New(rand.NewPCG(seed, 1))
	probability := func(limit float64) float64 {
		if r.IntN(2) == 0 {
			return 0
		}
		return limit * r.Float64()
	}
	count := func(limit int) int {
		if r.IntN(2) == 0 {
			return 0
		}
		return 1 + r.IntN(limit)
	}
	duration := func(limit time.Duration) time.Duration { return time.Duration(probability(float64(limit))) }
	s := Scenario{
		Seed: seed, Ingresses: 3, Backends: 10, Customers: 12, Rate: 60 + 200*r.Float64(), For: 1500 * ms,
		Net: simnet.Faults{
			Latency: 50*time.Microsecond + duration(ms), Jitter: duration(2 * ms), Cut: probability(0.5), ShortSend: probability(0.2),
			Reset: probability(0.02), Refuse: probability(0.05), Lose: probability(0.05), Lag: duration(2 * ms),
		},
		Drift: probability(0.005),
		Kills: count(2), Pauses: count(3), Cuts: count(4), Shortages: count(2), Changes: count(12),
		Busy: probability(0.2), Err: probability(0.1), Silent: probability(0.05), Close: probability(0.1), Spoil: probability(0.05),
		Copy: probability(0.1), Noise: probability(0.05), Halves: probability(0.2),
		Leave: probability(0.1), Pipeline: probability(0.3), Slow: probability(0.05), Values: 1 + r.IntN(200),
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

// settings is the configuration of the installation: a plan with a quota only, one
// with a quota and a hard rate limit, and one class for each kind of effect.
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

const ampleSockets = 256 // with fewer, all descriptors may be in use

const (
	replaceWindow                      = time.Second
	hardRate, hardBurst, hardTolerance = 20.0, 20.0, 2.0
	dedupWindow                        = 150 * ms // within which a cell drops repeats of a transfer
	drainGrace                         = 500 * ms // drain_grace_ms, from when an ingress is notified that a backend drains
	timeSlack                          = 50 * ms  // added to each time limit, as the platform's benchmark does
)

// gateway is one ingress and what discovery has notified it of.
type gateway struct {
	*run
	number         int
	node           *simnet.Node
	ingress        *ingress.Ingress
	goneNotified   map[string]time.Duration // by backend name: when the ingress was notified that it drains or was deleted
	notifiedStarts map[string]int64         // by backend name: its start time, as notified
	down           []span                   // while it was killed or paused
	shortages      []span                   // while it lacked descriptors
	discoveryDelay time.Duration            // how late discovery's updates arrive
	draining       bool                     // it was told to drain
}

type span struct{ from, to time.Duration }

// overlaps reports whether any of the spans overlaps the interval [from, to].
func overlaps(spans []span, from, to time.Duration) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.from <= to && from <= s.to })
}

// Report is the result of a run.
type Report struct {
	Requests, Served, Refused, Failed, Unreached, Excused int
	Runs                                                  int
	Fallen                                                int     // cold backends that crashed from overload, whichever ingresses caused it
	Coldest                                               float64 // highest load of a cold backend, relative to its limit
	Hash                                                  uint64
	Faults                                                []string // violations of invariants
}

// Add adds the counts of another run; Coldest is the maximum of both.
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

// run is the state of one scenario's run.
type run struct {
	Scenario
	net                 *simnet.Net
	rand                *rand.Rand // for clients, backends and the schedule; the network has its own
	gateways            []*gateway
	backends            []*backend
	revision            int64
	clients             []*client
	meter               meter
	hardLimits          map[string]*tokenBucket
	requests            map[string]*request
	linkCuts            map[string][]span // by the two addresses, the ingress's first
	report              Report
	unexplainedFailures int // failed requests other than transfers
	loadEnded           bool
}

// Run runs a scenario. trace, if not nil, is called for each event.
func Run(s Scenario, trace func(at time.Duration, line string)) Report {
	r := &run{Scenario: s, net: simnet.New(s.Seed), rand: rand.New(rand.NewPCG(s.Seed, 2)),
		requests: map[string]*request{}, hardLimits: map[string]*tokenBucket{}, linkCuts: map[string][]span{}}
	r.net.Faults, r.net.Trace = s.Net, trace
	r.ColdRule = cmp.Or(s.ColdRule, defaultColdRule)
	r.meter.used = map[string]float64{}
	for n := range s.Backends {
		r.addBackend(fmt.Sprintf("10.0.1.%d", n+1))
	}
	for n := range s.Ingresses {
		g := &gateway{run: r, number: n, node: r.net.Node(fmt.Sprintf("10.0.0.%d", n+1)),
			discoveryDelay: time.Duration(r.rand.Int64N(int64(time.Second)))}
		if s.Sockets < ampleSockets {
			g.shortages = []span{{0, time.Hour}}
		}
		g.node.ClockRate = 1 + s.Drift*(2*r.rand.Float64()-1)
		r.gateways = append(r.gateways, g)
		g.start()
	}
	for n := range 4 {
		r.clients = append(r.clients, newClient(r, n))
	}
	r.schedule()
	for r.net.Now() < s.For && len(r.report.Faults) == 0 && r.net.Step() {
	}
	r.finish()
	r.report.Hash = r.net.Hash()
	return r.report
}

// fault records a violation of an invariant.
func (r *run) fault(format string, args ...any) {
	r.report.Faults = append(r.report.Faults, fmt.Sprintf("%.3f ms: ", float64(r.net.Now())/float64(ms))+fmt.Sprintf(format, args...))
}

// tracef adds a line to the trace.
func (r *run) tracef(format string, args ...any) {
	if r.net.Trace != nil {
		r.net.Trace(r.net.Now(), fmt.Sprintf(format, args...))
	}
}

// start starts an ingress; its configuration holds the backends known to discovery now.
func (g *gateway) start() {
	var members []string
	g.goneNotified, g.notifiedStarts = map[string]time.Duration{}, map[string]int64{}
	for _, b := range g.backends {
		members = append(members, b.memberJSON())
		g.notifiedStarts[b.name] = b.upSince
		if b.phase != ingress.PhaseServing {
			g.goneNotified[b.name] = g.net.Now()
		}
	}
	text := fmt.Sprintf(settings, g.number, g.address(), g.rand.Uint64(), g.Sockets, strings.Join(members, ","), g.Ingresses, g.number,
		g.ColdRule.From, g.cold().Milliseconds(), g.ColdRule.For.Milliseconds(), g.ColdRule.Multiple, hardRate, hardBurst, hardTolerance)
	cfg, err := ingress.ParseConfig([]byte(text))
	if err != nil {
		panic(err) // the settings are constant
	}
	cfg.TrustThreshold = g.Proof
	g.draining = false
	g.node.Start(func(l *reactor.Loop) {
		if g.ingress, err = ingress.New(cfg, l); err != nil {
			panic(err)
		}
	})
	g.node.Loop.Post(func() { g.ingress.DiscoveryQueried() })
	g.notify(true)
}

// cold returns how long a backend is cold after its start.
func (s *Scenario) cold() time.Duration { return cmp.Or(s.Cold, time.Second) }

// spread returns how many ingresses get a customer's requests.
func (s *Scenario) spread() int { return cmp.Or(s.Spread, s.Ingresses) }

func (g *gateway) address() string { return g.node.IP + ":6379" }

// notify sends the ingress the present state of the changed backends, or of all if
// complete, after its discovery delay. Updates arrive in order.
func (g *gateway) notify(complete bool, changed ...*backend) {
	list := ingress.MemberList{Revision: g.revision, Complete: complete}
	if complete {
		changed = g.backends
	}
	notServing := map[string]bool{}
	for _, b := range changed {
		if b.phase != ingress.PhaseServing {
			notServing[b.name] = true
		}
		if !complete || b.phase != ingress.PhaseDeleted {
			list.Members = append(list.Members, b.member())
		}
	}
	loop := g.node.Loop
	g.net.After(g.discoveryDelay, func() {
		if loop != g.node.Loop || loop == nil {
			return // it was killed since; it queries discovery when it starts
		}
		loop.Post(func() {
			for _, m := range list.Members {
				g.notifiedStarts[m.ID] = m.UpSince
			}
			for _, b := range changed {
				if _, before := g.goneNotified[b.name]; !notServing[b.name] {
					delete(g.goneNotified, b.name)
				} else if !before {
					g.goneNotified[b.name] = g.net.Now()
				}
			}
			g.ingress.UpdateMembers(list)
		})
	})
}

// atRandomTime calls f at a random time during the load.
func (r *run) atRandomTime(f func()) {
	r.net.After(time.Duration(r.rand.Int64N(int64(r.For))), func() {
		if !r.loadEnded {
			f()
		}
	})
}

// schedule draws the times of faults, changes and requests.
func (r *run) schedule() {
	repeat := func(n int, f func()) {
		for range n {
			r.atRandomTime(f)
		}
	}
	repeat(r.Kills, func() {
		g := r.gateways[r.rand.IntN(len(r.gateways))]
		if g.node.Loop == nil {
			return
		}
		down := span{r.net.Now(), r.net.Now() + 20*ms + time.Duration(r.rand.Int64N(int64(300*ms)))}
		g.down = append(g.down, down)
		g.node.Kill()
		r.net.After(down.to-down.from, g.start)
	})
	repeat(r.Drains, func() { r.gateways[r.rand.IntN(len(r.gateways))].drain() })
	repeat(r.Pauses, func() {
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
	repeat(r.Cuts, r.cutLink)
	repeat(r.Shortages, r.limitDescriptors)
	repeat(r.Changes, r.changeMembership)
	if r.Replaced > 0 {
		r.atRandomTime(func() {
			for _, i := range r.rand.Perm(len(r.backends))[:r.Replaced] {
				r.net.After(time.Duration(r.rand.Int64N(int64(replaceWindow))), func() { r.replace(r.backends[i]) })
			}
		})
	}
	during := func(s span, f func()) {
		r.net.After(s.from+time.Duration(r.rand.Int64N(int64(s.to-s.from))), func() {
			if !r.loadEnded {
				f()
			}
		})
	}
	for range r.Joins {
		during(r.Release, r.join)
	}
	if r.Returns > 0 {
		for _, i := range r.rand.Perm(len(r.backends))[:r.Returns] {
			during(r.Release, func() { r.restartCold(r.backends[i]) })
		}
	}
	interval := time.Duration(float64(time.Second) / r.Rate)
	for t := time.Duration(0); t < r.For; t += interval {
		r.atRandomTime(r.newRequest)
	}
	for range int((r.Burst - 1) * r.Rate * (r.BurstIn.to - r.BurstIn.from).Seconds()) {
		during(r.BurstIn, r.newRequest)
	}
}

// cutLink partitions an ingress from a client or a backend for a random time.
func (r *run) cutLink() {
	a := r.gateways[r.rand.IntN(len(r.gateways))].node.IP
	b := r.clients[r.rand.IntN(len(r.clients))].node.IP
	if r.rand.IntN(3) > 0 {
		b = r.backends[r.rand.IntN(len(r.backends))].node.IP
	}
	ways := 1 + r.rand.IntN(3) // one way, the other, or both
	s := span{r.net.Now(), r.net.Now() + 10*ms + time.Duration(r.rand.Int64N(int64(600*ms)))}
	r.linkCuts[a+b] = append(r.linkCuts[a+b], s)
	r.tracef("cut %s %s, %d", a, b, ways)
	if ways&1 > 0 {
		r.net.Partition(a, b)
	}
	if ways&2 > 0 {
		r.net.Partition(b, a)
	}
	r.net.After(s.to-s.from, func() {
		r.tracef("healed %s %s", a, b)
		r.net.Heal(a, b)
		r.net.Heal(b, a)
	})
}

// limitDescriptors makes an ingress run out of descriptors for a random time.
func (r *run) limitDescriptors() {
	g := r.gateways[r.rand.IntN(len(r.gateways))]
	g.node.MaxDescriptors = max(2, g.node.OpenDescriptors()-r.rand.IntN(10))
	r.tracef("%s may hold %d descriptors", g.node.IP, g.node.MaxDescriptors)
	lasts := time.Duration(r.rand.Int64N(int64(500 * ms)))
	g.shortages = append(g.shortages, span{r.net.Now(), r.net.Now() + lasts})
	r.net.After(lasts, func() { g.node.MaxDescriptors = 0 })
}

// join adds a cold backend.
func (r *run) join() {
	r.revision++
	r.addBackend(fmt.Sprintf("10.0.1.%d", len(r.backends)+1))
	b := r.backends[len(r.backends)-1]
	b.upSince = simnet.Epoch.Add(r.net.Now()).UnixMilli()
	r.notifyAll(b)
}

// restartCold stops a backend's process and starts it again 100 ms to 1 s later, cold. Discovery announces its stop
// in half of the cases, and its start always.
func (r *run) restartCold(b *backend) {
	b.node.Kill()
	if r.rand.IntN(2) == 0 {
		r.revision++
		b.phase = ingress.PhaseDeleted
		r.notifyAll(b)
	}
	r.net.After(100*ms+time.Duration(r.rand.Int64N(int64(900*ms))), func() {
		if r.loadEnded {
			return
		}
		r.revision++
		b.phase, b.upSince = ingress.PhaseServing, simnet.Epoch.Add(r.net.Now()).UnixMilli()
		b.restart()
		r.notifyAll(b)
	})
}

const (
	acceptAfterStop = 450 * ms                         // as in internal/ingress/server.go
	lastRequests    = 50 * ms                          // firstRequestGrace of internal/ingress/server.go
	maxDeadline     = 900 * ms                         // longest deadline of a class
	maxDrain        = maxDeadline + 150*ms + timeSlack // from when the listener closes
)

// drain stops an ingress as SIGTERM does, and starts it again. It owes an answer to
// every request that it has accepted: its stop excuses none of them.
func (g *gateway) drain() {
	if g.node.Loop == nil || g.draining {
		return
	}
	g.draining = true
	loop, in := g.node.Loop, g.ingress
	g.tracef("%s is told to drain", g.node.IP)
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
		until := g.net.Now() + maxDrain
		var poll func()
		poll = func() {
			if g.node.Loop != loop {
				return
			}
			if in.Usage().Clients > 0 && g.net.Now() < until {
				g.net.After(5*ms, poll)
				return
			}
			if n := in.Usage().Requests; n > 0 && !overlaps(g.down, until-2*maxDrain, g.net.Now()) {
				g.fault("%s stopped with %d requests unanswered", g.node.IP, n)
			}
			g.node.Kill()
			g.net.After(20*ms, g.start)
		}
		g.net.After(5*ms, poll)
	})
}

// changeMembership changes the list of backends.
func (r *run) changeMembership() {
	b := r.backends[r.rand.IntN(len(r.backends))]
	r.revision++
	switch what := r.rand.IntN(3); {
	case b.phase != ingress.PhaseServing: // it comes back as newly started
		b.phase, b.upSince = ingress.PhaseServing, simnet.Epoch.Add(r.net.Now()).UnixMilli()
		if b.crashed {
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
	r.notifyAll(b)
}

// replace has a new backend take over a backend's address. Ingresses may not know yet that the old one is gone.
func (r *run) replace(b *backend) {
	r.revision++
	b.name, b.phase = fmt.Sprintf("%s'", b.name), ingress.PhaseServing
	b.upSince = simnet.Epoch.Add(r.net.Now()).UnixMilli()
	b.restart()
	r.notifyAll(b)
}

func (r *run) notifyAll(b *backend) {
	r.tracef("discovery: %s is %s", b.name, b.phase)
	for _, g := range r.gateways {
		if g.node.Loop != nil {
			g.notify(r.rand.IntN(5) == 0, b)
		}
	}
}

// finish waits for open requests to end, removes all clients and backends, and checks the final state.
func (r *run) finish() {
	r.loadEnded = true
	r.net.RunUntil(r.net.Now() + 3*time.Second) // past every deadline, cut and pause
	for _, c := range r.clients {
		c.closeAll()
	}
	for _, b := range r.backends {
		b.phase = ingress.PhaseDeleted
	}
	for _, g := range r.gateways {
		g.notify(true)
	}
	r.net.Faults = simnet.Faults{Latency: ms}
	// Discovery's updates are at most a second late. No connection reaches its idle timeout by then.
	r.net.RunUntil(r.net.Now() + 1500*ms)
	r.checkFinalState()
}
