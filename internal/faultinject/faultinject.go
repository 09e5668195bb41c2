//go:build linux

// Package faultinject runs a program whose system calls can be made to fail in ways that
// Linux documents: with an error, with fewer bytes than requested, or interrupted. It is
// used by tests and soak runs only, never by production code.
//
// A tracer process starts the program under ptrace, with a seccomp filter that stops it
// only at the calls listed in calls.go and where it reads the wall clock. The program
// itself is unmodified, so calls of the Go runtime and of package net fail too. The parent
// of the tracer writes rules to its standard input, one JSON value per line (see [Rules]).
// The tracer acknowledges each line on its standard output once the rules are in force.
//
// A test binary acts as tracer and as traced program: its TestMain calls [RunRole] first.
package faultinject

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"
)

// RoleVariable names the environment variable that makes a process a tracer, or the
// launcher, which installs the seccomp filter and then executes the traced program.
const RoleVariable = "WICKARCH_FAULTINJECT"

// Values of RoleVariable.
const (
	RoleTracer   = "tracer"
	roleLauncher = "launcher"
)

// ProgramVariable names the environment variable with the path of the program to be traced,
// which gets the arguments of the tracer. If it is empty, the tracer runs its own binary.
const ProgramVariable = "WICKARCH_FAULTINJECT_PROGRAM"

// RunRole runs the role that the environment names and then exits. Without a role it returns.
func RunRole() {
	switch os.Getenv(RoleVariable) {
	case RoleTracer:
		os.Exit(runTracer())
	case roleLauncher:
		fmt.Fprintln(os.Stderr, "faultinject:", launch())
		os.Exit(1)
	}
}

// Call is a kind of system call, or a certain use of one, to which rules apply.
type Call string

// Calls that can be made to fail.
const (
	Accept       Call = "accept"
	Socket       Call = "socket"
	Connect      Call = "connect"
	Poll         Call = "poll"          // epoll_wait, epoll_pwait, ppoll
	Watch        Call = "watch"         // epoll_ctl with EPOLL_CTL_ADD
	ReadClient   Call = "read-client"   // on accepted sockets
	WriteClient  Call = "write-client"  // on accepted sockets
	ReadBackend  Call = "read-backend"  // on sockets connected by the program
	WriteBackend Call = "write-backend" // on sockets connected by the program
	Open         Call = "open"          // openat
	ReadFile     Call = "read-file"     // on regular files
	WriteFile    Call = "write-file"    // on regular files
	Sync         Call = "sync"          // fsync, fdatasync
	Lock         Call = "lock"          // flock
	CreatePoller Call = "create-poller" // epoll_create1
)

// Short is the fault that makes a read or write transfer fewer bytes than requested.
const Short = "short"

// Rule makes a share of the calls of one kind fail.
type Rule struct {
	Call      Call    `json:"call"`
	Fault     string  `json:"fault"`           // Short, or the name of an error such as ENFILE
	Share     float64 `json:"share"`           // probability that a matching call fails
	Skip      int     `json:"skip,omitempty"`  // number of matching calls that the rule lets pass first
	MaxFaults int     `json:"most,omitempty"`  // max number of calls that the rule makes fail; 0: no limit
	Path      string  `json:"path,omitempty"`  // for files: suffix of the name; "" for any file
	MaxBytes  int     `json:"bytes,omitempty"` // for Short: max bytes per call; 0: random, up to half of the request and maxShortBytes
	// Broken makes all further reads and writes on a connection fail after its first fault, as on a broken connection.
	Broken bool `json:"broken,omitempty"`
}

// Rules replaces all rules in force. The first rule that matches a call and is drawn by its
// share is applied.
type Rules struct {
	Rules []Rule `json:"rules"`
	// ClockStep is the offset of the wall clock that the program reads from the true one; nil: unchanged.
	ClockStep *time.Duration `json:"clock_step,omitempty"`
}

// ruleTable holds the rules in force and how often each has been applied.
type ruleTable struct {
	mu        sync.Mutex
	rng       *rand.Rand
	rules     []Rule
	skipped   []int
	applied   []int
	counts    map[string]int // by call and fault, over all rules since the start
	clockStep time.Duration  // offset of the wall clock
}

func newRuleTable(seed uint64) *ruleTable {
	return &ruleTable{rng: rand.New(rand.NewPCG(seed, seed)), counts: map[string]int{}}
}

func (t *ruleTable) set(r Rules) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.ClockStep != nil {
		t.clockStep = *r.ClockStep
	}
	t.rules, t.skipped, t.applied = r.Rules, make([]int, len(r.Rules)), make([]int, len(r.Rules))
}

// currentClockStep returns the offset of the wall clock.
func (t *ruleTable) currentClockStep() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clockStep
}

// match returns the rule that makes this call fail, if any, and counts it as applied. path is the
// name of the file for calls on files.
func (t *ruleTable) match(call Call, path string) (rule Rule, ok bool) {
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

// shortLength returns how many of the n requested bytes a call with fault Short transfers.
func (t *ruleTable) shortLength(r Rule, n uint64) uint64 {
	if n <= 1 {
		return n
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.MaxBytes > 0 {
		return min(n, uint64(r.MaxBytes))
	}
	return 1 + t.rng.Uint64N(min(n/2, maxShortBytes))
}

// maxShortBytes limits the random length of a short transfer. Buffers are far larger than messages, so that
// half a buffer would often hold a whole message.
const maxShortBytes = 64

// snapshot returns a copy of the counts.
func (t *ruleTable) snapshot() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	result := make(map[string]int, len(t.counts))
	for name, n := range t.counts {
		result[name] = n
	}
	return result
}
