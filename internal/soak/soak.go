//go:build linux

// Package soak runs a small installation of real processes on loopback under random, overlapping faults, and checks it
// against the rules. The faults are failing system calls; connections that are cut, silenced or reset; backends that
// hang, reset, send malformed answers, drain and are replaced by cold ones; series of signals; kills; and clients that
// disconnect, write in pieces or hold idle connections. Each run is drawn from one seed. A seed gives the same faults but
// not the same run, because the timing depends on the machine.
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

// Config is the configuration of a run.
type Config struct {
	Seed                uint64
	Tracer              []string // the command that runs the tracer of package faultinject
	Program             string   // the program that is traced; "" for the binary of the tracer
	Env                 []string // additional environment of the program
	ConfigDir           string   // directory for the configurations of the ingresses
	Ingresses           int
	Backends            int
	Clients             int
	FaultDuration       time.Duration // how long faults are injected
	FillDescriptors     bool          // idle connections use up the descriptors of the ingresses
	DisconnectShare     float64       // share of requests whose client disconnects
	PartialCommandShare float64       // share of connections on which the client stops within a command
	NoSyscallFaults     bool          // inject no system call faults
	LogDir              string        // directory for the logs of all processes, with every request; "" for none
}

// DefaultConfig returns the usual configuration for a seed. One seed in five has FillDescriptors set.
func DefaultConfig(seed uint64) Config {
	return Config{Seed: seed, Ingresses: 12, Backends: 8, Clients: 60, FaultDuration: 6 * time.Second,
		FillDescriptors: seed%5 == 0, DisconnectShare: 0.05, PartialCommandShare: 0.01}
}

// maxTimeout is the longest timeout of a request.
func (Config) maxTimeout() time.Duration { return 1200 * time.Millisecond }

// maxSockets is the descriptor limit of an ingress.
func (c Config) maxSockets() int {
	if c.FillDescriptors {
		return 160
	}
	return 512
}

// Report is the result of a run.
type Report struct {
	Requests, Attempts, ClosedUnread, ClientClosed, ProcessKilled int
	CappedRequests                                                int                      // requests under the hard limit that were forwarded
	StallShare                                                    float64                  // share of the time with some process stalled
	Outcomes                                                      [truncatedAnswer + 1]int // by answerOutcome
	Stops, Kills, Reloads, ClockSteps, BackendsReplaced           int
	SyscallFaults                                                 map[string]int // system calls that failed, by call and error
	Violations                                                    []string
}

// String returns a summary of one line.
func (r Report) String() string {
	calls := 0
	for _, n := range r.SyscallFaults {
		calls += n
	}
	return fmt.Sprintf(
		"%d requests (%d served, %d refused, %d failed, %d disconnected, %d unread, %d killed), %d attempts, %d syscalls failed in %d ways, "+
			"%d hard-limited requests, %d stops, %d kills, %d reloads, %d clock steps, %d backends replaced, machine stalled %.0f%%: %d violations",
		r.Requests, r.Outcomes[served], r.Outcomes[refused], r.Outcomes[failed], r.ClientClosed, r.ClosedUnread,
		r.ProcessKilled, r.Attempts, calls, len(r.SyscallFaults), r.CappedRequests, r.Stops, r.Kills, r.Reloads,
		r.ClockSteps, r.BackendsReplaced, 100*r.StallShare, len(r.Violations))
}

// run is the state of a run.
type run struct {
	cfg       Config
	startedAt time.Time
	rng       *lockedRand
	registry  *standin.Registry
	ingresses []*ingress
	record    record
	stalls    stalls

	mu           sync.Mutex
	backends     []*backend
	backendCount int // backends started so far
	report       Report
}

// Run runs one seed. It returns an error if the run could not be carried out; violations of the rules are in the report.
func Run(ctx context.Context, cfg Config) (Report, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	r := &run{cfg: cfg, startedAt: time.Now(), rng: newLockedRand(cfg.Seed),
		registry: standin.NewRegistry(), record: record{byID: map[string]*request{}},
		report: Report{SyscallFaults: map[string]int{}}}
	defer r.registry.Stop()
	go r.stalls.collect(ctx)
	for range cfg.Backends {
		if _, err := r.addBackend(time.Time{}); err != nil {
			return r.report, err
		}
	}
	defer r.closeAll()
	if err := r.startAll(ctx); err != nil {
		return r.report, err
	}
	clientsCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	var clients sync.WaitGroup
	for range cfg.Clients {
		clients.Go(func() { r.runClient(clientsCtx) })
	}
	if cfg.FillDescriptors {
		clients.Go(func() { r.openIdleConns(clientsCtx) })
	}
	r.injectFaults(ctx)
	time.Sleep(settleTime)
	r.stopAll()
	stopClients()
	clients.Wait()
	r.verify()
	r.report.StallShare = float64(r.stalls.upperBound(r.startedAt, time.Now())) / float64(time.Since(r.startedAt))
	return r.report, nil
}

// The hard limit of the capped plan, in units: rate per second, bucket size, and tolerance below an empty bucket.
const (
	hardRate      = 36.0
	hardBurst     = 36.0
	hardTolerance = 12.0
)

const settleTime = 500 * time.Millisecond // without further faults, before all ingresses are stopped

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

// stopAll stops all ingresses at once, while clients go on sending.
func (r *run) stopAll() {
	var all sync.WaitGroup
	for _, in := range r.ingresses {
		all.Go(func() {
			if _, up := in.acceptsClients(); up {
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

// addBackend starts a backend and adds it to discovery.
func (r *run) addBackend(startedAt time.Time) (*backend, error) {
	r.mu.Lock()
	r.backendCount++
	id := fmt.Sprintf("s-%03d", r.backendCount)
	r.mu.Unlock()
	b, err := newBackend(r, id, startedAt)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.backends = append(r.backends, b)
	r.mu.Unlock()
	r.registry.Set(b.member("SERVING"))
	return b, nil
}

// settings returns the settings of the n-th ingress.
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
	return json.RawMessage(fmt.Sprintf(text, r.cfg.Ingresses, n, r.cfg.maxTimeout().Milliseconds(), dedupWindow.Milliseconds(),
		hardRate, hardBurst, hardTolerance))
}

// lockedRand is a random generator that is safe for concurrent use.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newLockedRand(seed uint64) *lockedRand { return &lockedRand{rng: rand.New(rand.NewPCG(seed, 51))} }

func (s *lockedRand) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Uint64()
}
