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

// slowStart: a release of a backend whose start command takes some seconds, well below start_ms.
func slowStart(e *env) bool {
	takes := "0"
	if e.trouble {
		takes = "4"
	}
	dir := filepath.Join(e.tmp, "backend")
	_ = os.MkdirAll(dir, 0o700)
	tool, _ := os.Executable()
	addr := e.freeAddress()
	hook := func(name, text string) string {
		path := e.write(name, strings.NewReplacer("DIR", dir, "TAKES", takes, "TOOL", tool, "ADDR", addr).Replace(text))
		_ = os.Chmod(path, 0o700)
		return path
	}
	start, ready, stop := hook("start.sh", startHook), hook("ready.sh", readyHook), hook("stop.sh", stopHook)
	defer func() { // the server outlives its agent
		for _, line := range strings.Split(readText(filepath.Join(dir, "starts")), "\n") {
			if f := strings.Fields(line); len(f) == 6 && f[1] == "end" {
				if pid, err := strconv.Atoi(f[5]); err == nil && strings.Contains(readText(fmt.Sprintf("/proc/%d/cmdline", pid)), "serve") {
					_ = syscall.Kill(pid, syscall.SIGTERM)
				}
			}
		}
	}()
	coordinators := e.coordinators("[[budget]]\nname = \"backends\"\nrole = \"backend\"\nmost = 1\n")
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
`, quoted(coordinators), e.tmp+"/agent-b1", stop, start, ready))
	agent := e.start("agent-b1", "exec bin/agent run "+file)
	waitFor := func(what string, limit time.Duration, ok func() bool) bool {
		for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			if ok() {
				e.logf("%s", what)
				return true
			}
		}
		e.logf("not within %v: %s", limit, what)
		return false
	}
	if !waitFor("the backend serves with v1", 30*time.Second, func() bool {
		_, out := e.fleet(coordinators, "status --all")
		return strings.Contains(out, "serves")
	}) {
		e.fail("the backend never served")
	}
	time.Sleep(6 * time.Second) // a new leader listens before it grants
	if code, out := e.fleet(coordinators, "rollout start june --role backend --version v2 --waves 100% --soak 2s"); code != 0 {
		e.fail("rollout: %s", out)
	}
	waitFor("the start command of v2 has been run", 20*time.Second, func() bool { return strings.Contains(readText(filepath.Join(dir, "starts")), " v2") })
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
