//go:build linux

package faultinject

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Control sends rules to one tracer.
type Control struct {
	mu  sync.Mutex
	in  io.WriteCloser
	out *bufio.Scanner

	lastCounts map[string]int // as of the last call of Delta
}

// TracerEnv returns the environment variables that make a command a tracer; the command runs
// a test binary or another binary that calls [RunRole]. program is the program to be traced,
// "" for the binary itself. The rules apply from the start of the program until others are set.
func TracerEnv(program string, seed uint64, rules ...Rule) ([]string, error) {
	initial, err := json.Marshal(Rules{Rules: rules})
	if err != nil {
		return nil, fmt.Errorf("faultinject: %w", err)
	}
	return []string{RoleVariable + "=" + RoleTracer, ProgramVariable + "=" + program, SeedVariable + "=" + strconv.FormatUint(seed, 10),
		rulesVariable + "=" + string(initial)}, nil
}

// Command returns a command that runs this binary again under a tracer, with additional environment
// variables. The rules apply from the start of the program.
func Command(ctx context.Context, seed uint64, env []string, rules ...Rule) (*exec.Cmd, error) {
	traced, err := TracerEnv("", seed, rules...)
	if err != nil {
		return nil, err
	}
	cmd := exec.CommandContext(ctx, os.Args[0])
	cmd.Env = slices.Concat(os.Environ(), traced, env)
	return cmd, nil
}

// NewControl connects to the tracer that cmd will run. It must be called before cmd is started.
func NewControl(cmd *exec.Cmd) (*Control, error) {
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, fmt.Errorf("faultinject: %w", err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("faultinject: %w", err)
	}
	return &Control{in: in, out: bufio.NewScanner(out)}, nil
}

// Delta returns by how much counts that Set has returned exceed those of the previous call.
func (c *Control) Delta(counts map[string]int) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	added := map[string]int{}
	for name, n := range counts {
		if increase := n - c.lastCounts[name]; increase > 0 {
			added[name] = increase
		}
	}
	c.lastCounts = counts
	return added
}

// Set replaces the rules and waits until the new ones are in force. It returns how often
// each fault has been applied since the start, by call and fault.
func (c *Control) Set(rules ...Rule) (counts map[string]int, err error) {
	return c.send(Rules{Rules: rules})
}

// StepClock shifts the wall clock that the program reads by offset from the true one, and removes all rules.
func (c *Control) StepClock(offset time.Duration) error {
	_, err := c.send(Rules{ClockStep: &offset})
	return err
}

func (c *Control) send(rules Rules) (counts map[string]int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line, err := json.Marshal(rules)
	if err != nil {
		return nil, fmt.Errorf("faultinject: %w", err)
	}
	if _, err = c.in.Write(append(line, '\n')); err != nil {
		return nil, fmt.Errorf("faultinject: %w", err)
	}
	if !c.out.Scan() {
		return nil, fmt.Errorf("faultinject: the tracer has ended: %w", c.out.Err())
	}
	if err = json.Unmarshal(c.out.Bytes(), &counts); err != nil {
		return nil, fmt.Errorf("faultinject: %w", err)
	}
	return counts, nil
}
