//go:build linux && amd64

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

// Control sets the rules of one tracer.
type Control struct {
	mu  sync.Mutex
	in  io.WriteCloser
	out *bufio.Scanner

	seen map[string]int // by the last call of Since
}

// TracerEnv is what makes a command that runs a test binary, or another binary that
// calls [RunRole], a tracer. program is what it runs; "" for the binary itself.
// The rules are in force from the program's first moment, until others are set.
func TracerEnv(program string, seed uint64, rules ...Rule) ([]string, error) {
	first, err := json.Marshal(Rules{Rules: rules})
	if err != nil {
		return nil, fmt.Errorf("faultinject: %w", err)
	}
	return []string{RoleVariable + "=" + RoleTracer, ProgramVariable + "=" + program, SeedVariable + "=" + strconv.FormatUint(seed, 10),
		rulesVariable + "=" + string(first)}, nil
}

// Command is one that runs this binary again under a tracer, with more variables in its environment and
// rules in force from its first moment.
func Command(ctx context.Context, seed uint64, env []string, rules ...Rule) (*exec.Cmd, error) {
	traced, err := TracerEnv("", seed, rules...)
	if err != nil {
		return nil, err
	}
	cmd := exec.CommandContext(ctx, os.Args[0])
	cmd.Env = slices.Concat(os.Environ(), traced, env)
	return cmd, nil
}

// NewControl connects to the tracer that cmd will run. It is called before the start.
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

// Delta takes counts that Set has returned, and tells what has been added since it was last called.
func (c *Control) Delta(applied map[string]int) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	added := map[string]int{}
	for what, n := range applied {
		if more := n - c.seen[what]; more > 0 {
			added[what] = more
		}
	}
	c.seen = applied
	return added
}

// Set puts rules in force in place of those before, and waits until they are. It returns
// how often each fault has been applied so far, by call and fault.
func (c *Control) Set(rules ...Rule) (applied map[string]int, err error) {
	return c.send(Rules{Rules: rules})
}

// StepClock puts the wall clock that the program reads off the true one, and no rules in force.
func (c *Control) StepClock(off time.Duration) error {
	_, err := c.send(Rules{ClockStep: &off})
	return err
}

func (c *Control) send(rules Rules) (applied map[string]int, err error) {
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
	if err = json.Unmarshal(c.out.Bytes(), &applied); err != nil {
		return nil, fmt.Errorf("faultinject: %w", err)
	}
	return applied, nil
}
