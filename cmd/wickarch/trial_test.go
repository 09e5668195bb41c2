//go:build linux

package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"wickarch/internal/standin"
	"wickarch/internal/standin/confine"
)

// The standing trial on the full fleet starts bin/wickarch with a preloaded library and a filter on its system
// calls. These tests run the binary that the deploy file's build line makes under an equivalent seccomp filter.

const (
	confinedRoleEnv = "WICKARCH_TEST_CONFINED" // "trap" or "refuse", optionally with "/" and a probe: run the arguments under the filter
	probeRoleEnv    = "WICKARCH_TEST_PROBE"    // name of a probe: make its system call instead of running the tests
)

func init() {
	roles[confinedRoleEnv] = execConfined
	roles[probeRoleEnv] = func(name string) {
		if err := probes[name](); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

// execConfined replaces this process by the program in its arguments, under the filter.
func execConfined(spec string) {
	mode, probe, _ := strings.Cut(spec, "/")
	m := confine.Trap
	if mode == "refuse" {
		m = confine.Refuse
	}
	env := slices.DeleteFunc(os.Environ(), func(v string) bool { return strings.HasPrefix(v, confinedRoleEnv+"=") })
	if probe != "" {
		env = append(env, probeRoleEnv+"="+probe)
	}
	fmt.Fprintln(os.Stderr, confine.Exec(m, os.Args[1], os.Args[1:], env))
	os.Exit(3)
}

// Guards against system calls that the standing trial refuses, under load, at a reload and at exit: in mode trap
// each would kill the program by SIGSYS. All optional features are off.
func TestDeployedBinaryMakesNoRefusedSystemCall(t *testing.T) {
	for _, mode := range []string{"trap", "refuse"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			s := newTestEnv(t, defaultLimits)
			var err error
			s.Process, err = s.node.Start(t.Context(), []string{os.Args[0], deployedBinary(t)}, s.dir, confinedRoleEnv+"="+mode)
			if err != nil {
				t.Fatal(err)
			}
			if err := standin.WaitReady(s.Addr, waitTimeout); err != nil {
				t.Fatal(err)
			}
			stopLoad := s.startLoad(200)
			if err := s.Cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Error(err)
			}
			if got := s.lookup(s.dial()); got != standin.Served {
				t.Errorf("lookup outcome %v, want served", got)
			}
			stopLoad()
			if err := s.Stop(waitTimeout); err != nil {
				t.Errorf("the program exited with %v", err)
			}
		})
	}
}

// probes make the refused calls, through the standard library where it offers them, as a program would.
var probes = map[string]func() error{
	"a program":     func() error { return exec.Command("/bin/true").Run() },
	"io_uring":      func() error { _, _, e := syscall.RawSyscall(425, 1, 0, 0); return e },
	"a Unix socket": func() error { _, err := syscall.Socket(syscall.AF_UNIX, syscall.SOCK_STREAM, 0); return err },
	"sendfile": func() error {
		f, err := os.Open(os.Args[0])
		if err != nil {
			return err
		}
		return copyToConn(io.LimitReader(f, 100))
	},
	"splice": func() error {
		from, to, err := tcpPair()
		if err != nil {
			return err
		}
		if _, err := to.Write([]byte("some bytes")); err != nil {
			return err
		}
		to.Close()
		return copyToConn(from)
	},
}

// tcpPair returns both ends of a TCP connection.
func tcpPair() (a, b net.Conn, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	defer ln.Close()
	if a, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		return nil, nil, err
	}
	b, err = ln.Accept()
	return a, b, err
}

// copyToConn copies r to a TCP connection.
func copyToConn(r io.Reader) error {
	a, b, err := tcpPair()
	if err != nil {
		return err
	}
	go func() { _, _ = io.Copy(io.Discard, b) }()
	n, err := io.Copy(a, r)
	if err == nil && n == 0 {
		err = errors.New("copied no bytes")
	}
	return err
}

// Guards against a filter that misses one of the calls, which would make the tests above pass wrongly. In mode
// refuse, Go's copies to a connection must succeed without splice and sendfile.
func TestFilterCatchesEachRefusedCall(t *testing.T) {
	for name := range probes {
		for _, mode := range []string{"trap", "refuse"} {
			t.Run(name+", "+mode, func(t *testing.T) {
				t.Parallel()
				cmd := exec.CommandContext(t.Context(), os.Args[0], os.Args[0])
				cmd.Env = append(os.Environ(), confinedRoleEnv+"="+mode+"/"+name)
				cmd.WaitDelay = 10 * time.Second
				out, err := cmd.CombinedOutput()
				copies := name == "splice" || name == "sendfile"
				switch {
				case mode == "trap" && !strings.Contains(string(out), "SIGSYS"):
					t.Errorf("the probe exited with %v, without SIGSYS: %.300s", err, out)
				case mode == "refuse" && copies != (err == nil):
					t.Errorf("the probe exited with %v: %.300s", err, out)
				}
			})
		}
	}
}
