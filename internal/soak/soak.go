//go:build linux && amd64

// Package soak runs a small installation of real processes on loopback under random, overlapping faults,
// and judges it by the rules: system calls that fail, connections cut, silenced and reset, backends that
// hang, reset, spoil their answers, drain and come back cold, signals in series, kills, clients that leave,
// write in pieces and crowd. Each run is drawn from one seed. (Timing is the machine's, so that one seed gives
// the same faults, not the same run.)
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"wickarch/internal/standin"
)

// Config is one run.
type Config struct {
	Seed                uint64
	Tracer              []string // the command that runs the tracer of package faultinject
	Program             string   // what it traces; "" for its own binary
	Env                 []string // for it
	ConfigDir           string   // for configurations
	Ingresses           int
	Backends            int
	Clients             int
	FaultDuration       time.Duration // under faults
	FillDescriptors     bool          // idle clients fill the descriptors
	DisconnectShare     float64       // share of requests whose client leaves
	PartialCommandShare float64       // share of connections that stop in the middle of a command
	NoSyscallFaults     bool          // no system call fails
	LogDir              string        // a folder for the logs of all processes, with each request; "" for none
}

// Defaults are the usual sizes for a seed; one in five has a crowd.
func DefaultConfig(seed uint64) Config {
	return Config{Seed: seed, Ingresses: 12, Backends: 8, Clients: 60, FaultDuration: 6 * time.Second, FillDescriptors: seed%5 == 0, DisconnectShare: 0.05, PartialCommandShare: 0.01}
}

// longest is the longest time of a request.
func (Config) longest() time.Duration { return 1200 * time.Millisecond }

// sockets is how many descriptors an ingress has.
func (c Config) sockets() int {
	if c.FillDescriptors {
		return 160
	}
	return 512
}

// Report is what came of a run.
type Report struct {
	Requests, Attempts, ClosedUnread, ClientClosed, ProcessKilled int
	CappedRequests                                                int              // tries under the hard ceiling that were sent on
	StallShare                                                    float64          // share of the time in which the machine held something up
	Outcomes                                                      [partial + 1]int // by answerKind
	Stops, Kills, Reloads, ClockSteps, BackendsReplaced           int
	SyscallFaults                                                 map[string]int // system calls that failed, by call and error
	Violations                                                    []string
}

// String sums it up on a line.
func (r Report) String() string {
	calls := 0
	for _, n := range r.SyscallFaults {
		calls += n
	}
	return fmt.Sprintf("%d requests (%d served, %d refused, %d failed, %d left, %d crossed an end, %d killed), %d attempts, %d calls failed in %d ways, "+
		"%d tries under the ceiling, %d stops, %d kills, %d reloads, %d steps of the clock, %d backends replaced, the machine held up %.0f%%: %d violations", r.Requests, r.Outcomes[served], r.Outcomes[refused], r.Outcomes[failed], r.ClientClosed, r.ClosedUnread,
		r.ProcessKilled, r.Attempts, calls, len(r.SyscallFaults), r.CappedRequests, r.Stops, r.Kills, r.Reloads, r.ClockSteps, r.BackendsReplaced, 100*r.StallShare, len(r.Violations))
}

// run is one run under way.
type run struct {
	cfg       Config
	begun     time.Time
	rng       *sharedRand
	registry  *standin.Registry
	ingresses []*ingress
	record    record
	stalls    stalls

	mu       sync.Mutex
	backends []*backend
	made     int // backends, all
	report   Report
}

// Run plays one seed. The error tells that it could not be played.
func Run(ctx context.Context, cfg Config) (Report, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	r := &run{cfg: cfg, begun: time.Now(), rng: newSharedRand(cfg.Seed), registry: standin.NewRegistry(), record: record{requests: map[string]*request{}},
		report: Report{SyscallFaults: map[string]int{}}}
	defer r.registry.Stop()
	go r.stalls.watch(ctx)
	for range cfg.Backends {
		if _, err := r.addBackend(time.Time{}); err != nil {
			return r.report, err
		}
	}
	defer r.closeAll()
	if err := r.startAll(ctx); err != nil {
		return r.report, err
	}
	clients, leave := context.WithCancel(ctx)
	defer leave()
	var asking sync.WaitGroup
	for range cfg.Clients {
		asking.Go(func() { r.client(clients) })
	}
	if cfg.FillDescriptors {
		asking.Go(func() { r.crowd(clients) })
	}
	r.trouble(ctx)
	time.Sleep(quiet)
	r.endAll()
	leave()
	asking.Wait()
	r.judge()
	r.report.StallShare = float64(r.stalls.within(r.begun, time.Now())) / float64(time.Since(r.begun))
	return r.report, nil
}

// The hard ceiling of the capped plan, in units: a second, in its bucket, and below it.
const (
	ceilingRate      = 36.0
	ceilingBurst     = 36.0
	ceilingTolerance = 12.0
)

const quiet = 500 * time.Millisecond // with no further fault, before all are stopped

// startAll starts all ingresses at once.
func (r *run) startAll(ctx context.Context) error {
	for n := range r.cfg.Ingresses {
		in, err := newIngress(r, n)
		if err != nil {
			return err
		}
		r.ingresses = append(r.ingresses, in)
	}
	failed := make(chan error, len(r.ingresses))
	var all sync.WaitGroup
	for _, in := range r.ingresses {
		all.Go(func() {
			if err := in.start(ctx); err != nil {
				failed <- err
			}
		})
	}
	all.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// endAll stops all ingresses at once, while clients go on.
func (r *run) endAll() {
	var all sync.WaitGroup
	for _, in := range r.ingresses {
		all.Go(func() {
			if _, up := in.takes(); up {
				in.stop(1)
			}
		})
	}
	all.Wait()
}

func (r *run) closeAll() {
	for _, in := range r.ingresses {
		for _, l := range in.links {
			l.Close()
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.backends {
		b.close()
	}
}

// addBackend starts a backend and has discovery tell of it.
func (r *run) addBackend(since time.Time) (*backend, error) {
	r.mu.Lock()
	r.made++
	id := fmt.Sprintf("s-%03d", r.made)
	r.mu.Unlock()
	b, err := newBackend(r, id, since)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.backends = append(r.backends, b)
	r.mu.Unlock()
	r.registry.Set(b.member("SERVING"))
	return b, nil
}

// settings are those of the n-th ingress.
func (r *run) settings(n int) json.RawMessage {
	const text = `{"balancers":%d,"self_index":%d,"zone":0,"zones":["a"],"kinds":["std"],"tick_ms":2,"discovery":"push",
 "bounds":{"cancelling":true,"conn_idle_ms":4000,"connect_timeout_ms":500,"max_retry_after_ms":1000,"probing":true,
  "retry_after":true,"second_copies":false,"try_limit":4},
 "invariants":{"cold_from":0.2,"cold_ms":1500,"drain_grace_ms":500,"fall_ms":1000,"tip_multiple":3},
 "report":{"fields":["rif","lat_ms"],"how":"pull"},
 "request_classes":[
  {"name":"lookup","aim_ms":200,"give_up_ms":%[3]d,"effect":"free","dedup_scope":"all","worth":2,"window_ms":1000},
  {"name":"order","aim_ms":200,"give_up_ms":%[3]d,"effect":"guarded","dedup_scope":"all","worth":4,"window_ms":%[4]d},
  {"name":"payment","aim_ms":200,"give_up_ms":%[3]d,"effect":"single_shot","dedup_scope":"all","worth":6,"window_ms":1000}],
 "specifics":{"max_units":1,"use_period_ms":500},
 "tiers_of_service":[{"name":"basic","quota_rate":1e6,"burst":1e6,"price":1},
  {"name":"capped","quota_rate":1e6,"burst":1e6,"price":1,"hard_rate":%[5]g,"hard_burst":%[6]g,"tolerance":%[7]g}],"weights":"nominal"}`
	return json.RawMessage(fmt.Sprintf(text, r.cfg.Ingresses, n, r.cfg.longest().Milliseconds(), keyedWindow.Milliseconds(),
		ceilingRate, ceilingBurst, ceilingTolerance))
}

// sharedRand is a generator for several goroutines.
type sharedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newSharedRand(seed uint64) *sharedRand { return &sharedRand{rng: rand.New(rand.NewPCG(seed, 51))} }

func (s *sharedRand) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Uint64()
}
