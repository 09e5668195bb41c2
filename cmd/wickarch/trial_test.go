//go:build linux && amd64

package main

import (
	"debug/elf"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"wickarch/internal/standin"
	"wickarch/internal/standin/confine"
)

// The standing trial on the full fleet starts bin/wickarch with a library loaded
// into it and a filter on its system calls. Here the binary that the deploy
// file's build line makes runs under such a filter of our own.

const (
	asConfined = "WICKARCH_TEST_CONFINED" // "trap" or "refuse": run the arguments under the filter; "/" and a probe may follow
	asProbe    = "WICKARCH_TEST_PROBE"    // make one refused call instead
)

func init() {
	roles[asConfined] = confined
	roles[asProbe] = func(name string) {
		if err := probes[name](); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

// confined replaces this process by its arguments, under the filter.
func confined(how string) {
	mode, probe, _ := strings.Cut(how, "/")
	m := confine.Trap
	if mode == "refuse" {
		m = confine.Refuse
	}
	env := slices.DeleteFunc(os.Environ(), func(v string) bool { return strings.HasPrefix(v, asConfined+"=") })
	if probe != "" {
		env = append(env, asProbe+"="+probe)
	}
	fmt.Fprintln(os.Stderr, confine.Exec(m, os.Args[1], os.Args[1:], env))
	os.Exit(3)
}

// deployed builds the program as the deploy file says, once, and returns its path.
var deployed = sync.OnceValues(func() (string, error) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	line := regexp.MustCompile(`(?m)^build = ".*\b((?:CGO_ENABLED=\S+ )?go build .*)-o bin/ \./cmd/\.\.\."`).FindSubmatch(text)
	if line == nil {
		return "", errors.New("deploy/balancer.toml: the build line has another form than this test knows")
	}
	dir, err := os.MkdirTemp("", "wickarch")
	if err != nil {
		return "", err
	}
	after = append(after, func() { os.RemoveAll(dir) })
	path := filepath.Join(dir, "wickarch")
	out, err := exec.Command("sh", "-c", string(line[1])+"-o "+path+" .").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%s: %w: %s", line[1], err, out)
	}
	return path, nil
})

func binary(t *testing.T) string {
	t.Helper()
	path, err := deployed()
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// dynamic tells whether a binary names an interpreter and the C library, so that
// a library can be loaded into it.
func dynamic(path string) error {
	f, err := elf.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		return errors.New("it names no interpreter")
	}
	libs, err := f.ImportedLibraries()
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(libs, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		return fmt.Errorf("it names the libraries %q, none of them the C library", libs)
	}
	return nil
}

func TestDeployedBinaryIsLinkedAgainstTheCLibrary(t *testing.T) {
	if err := dynamic(binary(t)); err != nil {
		t.Error(err)
	}
	static := filepath.Join(t.TempDir(), "static")
	cmd := exec.Command("go", "build", "-o", static, ".")
	cmd.Env = append(os.Environ(), "CGO_ENABLED=0")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	if dynamic(static) == nil {
		t.Error("a static binary passes for a dynamic one")
	}
}

// With everything off the program makes none of the calls, under load, in a
// reload and at its end: each would end it by SIGSYS.
func TestDeployedBinaryMakesNoCallThatTheTrialRefuses(t *testing.T) {
	for _, mode := range []string{"trap", "refuse"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			s := around(t, limits)
			var err error
			s.Process, err = s.node.Start(t.Context(), []string{os.Args[0], binary(t)}, s.dir, asConfined+"="+mode)
			if err != nil {
				t.Fatal(err)
			}
			if err := standin.WaitReady(s.Addr, patience); err != nil {
				t.Fatal(err)
			}
			judge := s.load(200)
			if err := s.Cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Error(err)
			}
			if got := s.asked(s.dial()); got != standin.Served {
				t.Errorf("a lookup ends as %v", got)
			}
			judge()
			if err := s.Stop(patience); err != nil {
				t.Errorf("it ended with %v", err)
			}
		})
	}
}

// probes make the calls, through the standard library as a program would.
var probes = map[string]func() error{
	"a program":     func() error { return exec.Command("/bin/true").Run() },
	"io_uring":      func() error { _, _, e := syscall.RawSyscall(425, 1, 0, 0); return e },
	"a Unix socket": func() error { _, err := syscall.Socket(syscall.AF_UNIX, syscall.SOCK_STREAM, 0); return err },
	"sendfile": func() error {
		f, err := os.Open(os.Args[0])
		if err != nil {
			return err
		}
		return pour(io.LimitReader(f, 100))
	},
	"splice": func() error {
		from, to, err := pair()
		if err != nil {
			return err
		}
		if _, err := to.Write([]byte("some bytes")); err != nil {
			return err
		}
		to.Close()
		return pour(from)
	},
}

// pair is a connection of TCP, both ends of it.
func pair() (a, b net.Conn, err error) {
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

// pour copies r to a connection.
func pour(r io.Reader) error {
	a, b, err := pair()
	if err != nil {
		return err
	}
	go func() { _, _ = io.Copy(io.Discard, b) }()
	n, err := io.Copy(a, r)
	if err == nil && n == 0 {
		err = errors.New("nothing was copied")
	}
	return err
}

// The filter sees each call that it is there for. Where they are refused only,
// Go's copies to a connection go on without splice and sendfile.
func TestFilterSeesEachCall(t *testing.T) {
	for name := range probes {
		for _, mode := range []string{"trap", "refuse"} {
			t.Run(name+", "+mode, func(t *testing.T) {
				t.Parallel()
				cmd := exec.CommandContext(t.Context(), os.Args[0], os.Args[0])
				cmd.Env = append(os.Environ(), asConfined+"="+mode+"/"+name)
				cmd.WaitDelay = 10 * time.Second
				out, err := cmd.CombinedOutput()
				copies := name == "splice" || name == "sendfile"
				switch {
				case mode == "trap" && !strings.Contains(string(out), "SIGSYS"):
					t.Errorf("it ends with %v, and no SIGSYS: %.300s", err, out)
				case mode == "refuse" && copies != (err == nil):
					t.Errorf("it ends with %v: %.300s", err, out)
				}
			})
		}
	}
}
