//go:build linux && amd64

// Package faultinject runs a program so that chosen system calls of it fail, as Linux
// documents that they may: with an error, with fewer bytes than were asked for, or
// interrupted. Tests and soak runs use it; no production code does.
//
// A tracer process starts the program under ptrace, behind a seccomp filter that stops
// it at the calls listed in calls.go alone. The program itself is unchanged, so that
// the calls of the Go runtime and of package net fail too. The owner of the tracer
// writes rules to its standard input, a JSON line each (see [Rules]), and the tracer
// answers each line on its standard output once it is in force.
//
// A test binary takes both roles itself: its TestMain calls [RunRole] first.
package faultinject

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"
)

// RoleVariable names the environment variable that makes a program a tracer, or the
// step between the tracer and the traced program.
const RoleVariable = "WICKARCH_FAULTINJECT"

// The roles.
const (
	RoleTracer   = "tracer"
	roleLauncher = "launcher"
)

// ProgramVariable names the program to be traced, with the arguments of the tracer.
// Without it the tracer runs its own binary.
const ProgramVariable = "WICKARCH_FAULTINJECT_PROGRAM"

// RunRole acts out the role that the environment names, and does not return then.
func RunRole() {
	switch os.Getenv(RoleVariable) {
	case RoleTracer:
		os.Exit(traceMain())
	case roleLauncher:
		fmt.Fprintln(os.Stderr, "faultinject:", launch())
		os.Exit(1)
	}
}

// Call is a kind of system call, or of use of one, that rules name.
type Call string

// The calls that can be made to fail.
const (
	Accept       Call = "accept"
	Socket       Call = "socket"
	Connect      Call = "connect"
	Poll         Call = "poll"         // epoll_wait, epoll_pwait, ppoll
	Watch        Call = "watch"        // epoll_ctl, where it adds
	ReadClient   Call = "read-client"  // on sockets that were accepted
	WriteClient  Call = "write-client" // likewise
	ReadBackend  Call = "read-backend" // on sockets that were connected
	WriteBackend Call = "write-backend"
	Open         Call = "open"       // of files
	ReadFile     Call = "read-file"  // regular ones
	WriteFile    Call = "write-file" // regular ones
	Sync         Call = "sync"       // fsync, fdatasync
	Lock         Call = "lock"       // flock
	CreatePoller Call = "create-poller"
)

// Short is the fault that lets a read or write take fewer bytes than it could.
const Short = "short"

// Rule makes a share of one kind of call fail.
type Rule struct {
	Call      Call    `json:"call"`
	Fault     string  `json:"fault"`           // Short, or the name of an error such as ENFILE
	Share     float64 `json:"share"`           // of these calls
	Skip      int     `json:"skip,omitempty"`  // the first so many calls that the rule would fit pass
	MaxFaults int     `json:"most,omitempty"`  // at most so many fail; 0: no bound
	Path      string  `json:"path,omitempty"`  // for files: the end of their name; "" for any
	MaxBytes  int     `json:"bytes,omitempty"` // for Short: the most bytes that one call takes; 0: one to half of them
	// Broken keeps a connection failing from its first fault on, as one that is broken does.
	Broken bool `json:"broken,omitempty"`
}

// Rules are those in force from now on, in place of all before. The first that fits
// a call and is drawn decides.
type Rules struct {
	Rules []Rule `json:"rules"`
	// ClockStep is by how much the wall clock that the program reads is off the true one; nil: as it was.
	ClockStep *time.Duration `json:"clock_step,omitempty"`
}

// table holds the rules in force and how often each has been applied.
type table struct {
	mu      sync.Mutex
	rng     *rand.Rand
	rules   []Rule
	skipped []int
	applied []int
	counts  map[string]int // by call and fault, over all rules that were in force
	step    time.Duration  // of the wall clock
}

func newTable(seed uint64) *table {
	return &table{rng: rand.New(rand.NewPCG(seed, seed)), counts: map[string]int{}}
}

func (t *table) set(r Rules) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.ClockStep != nil {
		t.step = *r.ClockStep
	}
	t.rules, t.skipped, t.applied = r.Rules, make([]int, len(r.Rules)), make([]int, len(r.Rules))
}

// clockStep is by how much the wall clock is off.
func (t *table) clockStep() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.step
}

// draw tells which rule makes this call fail, if any. path is the file's name, where it is on one.
func (t *table) draw(call Call, path string) (rule Rule, any bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, r := range t.rules {
		if r.Call != call || !strings.HasSuffix(path, r.Path) || r.MaxFaults > 0 && t.applied[i] >= r.MaxFaults {
			continue
		}
		if t.skipped[i] < r.Skip {
			t.skipped[i]++
			continue
		}
		if t.rng.Float64() >= r.Share {
			continue
		}
		t.applied[i]++
		t.counts[string(r.Call)+" "+r.Fault]++
		return r, true
	}
	return Rule{}, false
}

// shorter draws how many of n bytes one call takes.
func (t *table) shorter(r Rule, n uint64) uint64 {
	if n <= 1 {
		return n
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.MaxBytes > 0 {
		return min(n, uint64(r.MaxBytes))
	}
	return 1 + t.rng.Uint64N(min(n/2, mostShort))
}

// mostShort bounds what a short call takes, in bytes: buffers are far larger than messages.
const mostShort = 64

// report copies the counts.
func (t *table) report() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make(map[string]int, len(t.counts))
	for k, n := range t.counts {
		all[k] = n
	}
	return all
}
