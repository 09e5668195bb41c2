package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

func init() {
	cases["slow-start"] = slowStart
	cases["old-failure"] = oldFailure
	tools["serve"] = serveTool
}

// serveTool is the backend's own server: it listens at an address until SIGTERM.
func serveTool(args []string) int {
	ln, err := net.Listen("tcp", args[0])
	if err != nil {
		fmt.Println(err)
		return 1
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			_ = nc.Close()
		}
	}()
	<-stop
	return 0
}

// The owner's hooks. Each start and its end is noted in the file starts, in order.
const startHook = `#!/bin/sh
cd DIR || exit 1
echo "$(date +%s.%N) begin $$ $WICKARCH_VERSION" >>starts
[ "$WICKARCH_VERSION" = v2 ] && sleep TAKES
TOOL serve ADDR >>server.log 2>&1 &
echo $! >pid
echo "$(date +%s.%N) end $$ $WICKARCH_VERSION server $!" >>starts
exit 0
`
const readyHook = `#!/bin/sh
cd DIR || exit 1
[ -s pid ] && kill -0 "$(cat pid)" 2>/dev/null && exit 0
exit 3
`
const stopHook = `#!/bin/sh
cd DIR || exit 1
[ -s pid ] || exit 0
kill -TERM "$(cat pid)" 2>/dev/null
while kill -0 "$(cat pid)" 2>/dev/null; do sleep 0.05; done
rm -f pid
exit 0
`

// backendMember starts coordinators and the agent of one backend with its owner's hooks. It returns the backend's folder,
// the coordinators, the agent, and what ends the server, which outlives its agent.
func (e *env) backendMember(start string) (dir string, coordinators []string, agent *proc, end func()) {
	dir = filepath.Join(e.tmp, "backend")
	_ = os.MkdirAll(dir, 0o700)
	tool, _ := os.Executable()
	addr := e.freeAddress()
	hook := func(name, text string) string {
		path := e.write(name, strings.NewReplacer("DIR", dir, "TOOL", tool, "ADDR", addr).Replace(text))
		_ = os.Chmod(path, 0o700)
		return path
	}
	startPath, ready, stop := hook("start.sh", start), hook("ready.sh", readyHook), hook("stop.sh", stopHook)
	end = func() {
		for _, line := range strings.Split(readText(filepath.Join(dir, "starts")), "\n") {
			if f := strings.Fields(line); len(f) == 6 && f[1] == "end" {
				if pid, err := strconv.Atoi(f[5]); err == nil && strings.Contains(readText(fmt.Sprintf("/proc/%d/cmdline", pid)), "serve") {
					_ = syscall.Kill(pid, syscall.SIGTERM)
				}
			}
		}
	}
	coordinators = e.coordinators("[[budget]]\nname = \"backends\"\nrole = \"backend\"\nmost = 1\n")
	file := e.write("agent.toml", fmt.Sprintf(`name = "b1"
role = "backend"
zone = "a"
coordinators = %s
dir = %q
version = "v1"
[hooks]
drain = ["/bin/true"]
stop = [%q]
start = [%q]
ready = [%q]
[times]
drain_ms = 1000
prove_ms = 3000
`, quoted(coordinators), e.tmp+"/agent-b1", stop, startPath, ready))
	return dir, coordinators, e.start("agent-b1", "exec bin/agent run "+file), end
}

// waitFor waits until something is so, and notes it.
func (e *env) waitFor(what string, limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if ok() {
			e.logf("%s", what)
			return true
		}
	}
	e.logf("not within %v: %s", limit, what)
	return false
}

// slowStart: a release of a backend whose start command takes some seconds, well below start_ms.
func slowStart(e *env) bool {
	takes := "0"
	if e.trouble {
		takes = "4"
	}
	dir, coordinators, agent, end := e.backendMember(strings.ReplaceAll(startHook, "TAKES", takes))
	defer end()
	if !e.waitFor("the backend serves with v1", 30*time.Second, func() bool {
		_, out := e.fleet(coordinators, "status --all")
		return strings.Contains(out, "serves")
	}) {
		e.fail("the backend never served")
	}
	time.Sleep(6 * time.Second) // a new leader listens before it grants
	if code, out := e.fleet(coordinators, "rollout start june --role backend --version v2 --waves 100% --soak 2s"); code != 0 {
		e.fail("rollout: %s", out)
	}
	e.waitFor("the start command of v2 has been run", 20*time.Second, func() bool { return strings.Contains(readText(filepath.Join(dir, "starts")), " v2") })
	time.Sleep(20 * time.Second)
	_, out := e.fleet(coordinators, "status --all")
	e.logf("status at the end:\n%s", out)
	agent.signal(syscall.SIGTERM)
	agent.wait(5 * time.Second)
	text := readText(filepath.Join(dir, "starts"))
	e.logf("what the start command noted:\n%s", text)
	e.logf("what the servers printed:\n%s", readText(filepath.Join(dir, "server.log")))
	running, begun, beside := map[string]bool{}, 0, 0
	for _, line := range strings.Split(text, "\n") {
		f := strings.Fields(line)
		if len(f) < 4 {
			continue
		}
		if f[1] == "begin" {
			if begun++; len(running) > 0 {
				beside++
			}
			running[f[2]] = true
		} else {
			delete(running, f[2])
		}
	}
	e.logf("the start command was run %d times, %d times while it still ran", begun, beside)
	return beside > 0
}

func readText(path string) string {
	text, _ := os.ReadFile(path)
	return string(text)
}

// oldFailure: a release fails to start and is taken back; the next release of another version starts well.
func oldFailure(e *env) bool {
	fails := ""
	if e.trouble {
		fails = "[ \"$WICKARCH_VERSION\" = v2 ] && exit 1\n"
	}
	start := strings.Replace(strings.ReplaceAll(startHook, "TAKES", "0"), "TOOL serve", fails+"TOOL serve", 1)
	dir, coordinators, agent, end := e.backendMember(start)
	defer end()
	status := func() string { _, out := e.fleet(coordinators, "status --all"); return out }
	if !e.waitFor("the backend serves with v1", 30*time.Second, func() bool { return strings.Contains(status(), "serves") }) {
		e.fail("the backend never served")
	}
	time.Sleep(6 * time.Second)
	if code, out := e.fleet(coordinators, "rollout start june --role backend --version v2 --waves 100% --soak 2s"); code != 0 {
		e.fail("rollout: %s", out)
	}
	if e.trouble {
		e.waitFor("june is halted", 40*time.Second, func() bool { return strings.Contains(status(), "CannotStart") })
	} else {
		e.waitFor("june has changed the backend", 40*time.Second, func() bool {
			return strings.Contains(status(), "v2       serves") || strings.Contains(status(), "v2  serves")
		})
	}
	e.fleet(coordinators, "rollout back june")
	e.waitFor("june is taken back and the backend serves with v1", 40*time.Second, func() bool {
		s := status()
		return strings.Contains(s, "june to v2: undone") && strings.Contains(s, "serves")
	})
	time.Sleep(5 * time.Second)
	e.logf("status before july:\n%s", status())
	if code, out := e.fleet(coordinators, "rollout start july --role backend --version v3 --waves 100% --soak 2s"); code != 0 {
		e.fail("rollout: %s", out)
	}
	time.Sleep(10 * time.Second)
	out := status()
	e.logf("status at the end:\n%s", out)
	agent.signal(syscall.SIGTERM)
	agent.wait(5 * time.Second)
	text := readText(filepath.Join(dir, "starts"))
	e.logf("what the start command noted:\n%s", text)
	at := strings.Index(out, "july to v3")
	return at >= 0 && strings.Contains(out[at:], "CannotStart") && !strings.Contains(text, " v3")
}
