package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// proofCase: a backend hangs a second before it is proven in a release.
func proofCase(s *stage) string {
	const agents, prove, hangBefore, fresh, look = 4, 6 * time.Second, time.Second, 600 * time.Millisecond, 250 * time.Millisecond
	address := fmt.Sprintf("127.0.0.1:%d", freePort())
	coordinator := s.write("coordinator.toml", fmt.Sprintf(`id = 1
listen = "%s"
dir = "%s"

[[coordinator]]
id = 1
address = "%s"

[[budget]]
name = "backends"
role = "backend"
most = 1

[times]
report_ms = 200
fresh_ms = %d
learn_ms = 1000
begin_ms = %d
decide_ms = 100
`, address, filepath.Join(s.dir, "coordinator"), address, fresh.Milliseconds(), fresh.Milliseconds()))
	if s.run("coordinator", "init", coordinator) != 0 {
		cannotRun(fmt.Errorf("coordinator init failed"))
	}
	start(s.root, "exec bin/coordinator run "+coordinator, filepath.Join(s.dir, "coordinator.log"))
	log := s.write("hooks.txt", "")
	// The owner's commands. A backend that hangs answers nothing, also not to ready.
	command := s.write("owner.sh", `dir=`+s.dir+`/$WICKARCH_MEMBER
mkdir -p $dir
case $1 in
drain) echo "$(date +%s.%N) $WICKARCH_MEMBER drain" >> `+log+` ;;
start) touch $dir/up; echo "$(date +%s.%N) $WICKARCH_MEMBER start $WICKARCH_VERSION" >> `+log+` ;;
stop) rm -f $dir/up ;;
ready)
	test -e $dir/up || exit 3
	test -e $dir/hangs && exec sleep 20
	exit 0 ;;
esac
`)
	for n := range agents {
		name := fmt.Sprintf("b%d", n+1)
		file := s.write("agent-"+name+".toml", fmt.Sprintf(`name = %q
role = "backend"
coordinators = [%q]
dir = %q
version = "v1"

[hooks]
drain = ["/bin/sh", "%s", "drain"]
stop = ["/bin/sh", "%s", "stop"]
start = ["/bin/sh", "%s", "start"]
ready = ["/bin/sh", "%s", "ready"]

[times]
report_ms = 200
begin_ms = %d
poll_ms = %d
drain_ms = 300
prove_ms = %d
`, name, address, filepath.Join(s.dir, "agent-"+name), command, command, command, command, fresh.Milliseconds(), look.Milliseconds(), prove.Milliseconds()))
		start(s.root, "exec bin/agent run "+file, filepath.Join(s.dir, "agent-"+name+".log"))
	}
	for end := time.Now().Add(40 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		st, _ := status([]string{address})
		serving := 0
		for _, m := range st.Members {
			if m.State == "serves" {
				serving++
			}
		}
		if serving == agents {
			break
		}
		if time.Now().After(end) {
			cannotRun(fmt.Errorf("the fleet did not come up: %+v", st))
		}
	}
	s.record.printf("%d members serve", agents)
	if s.run("wickarch-fleet", "--by", "operator", "--coordinators", address, "rollout", "start", "june", "--version", "v2", "--role", "backend",
		"--waves", "100%", "--soak", "1m") != 0 {
		cannotRun(fmt.Errorf("the rollout was not taken"))
	}
	type event struct {
		at           time.Time
		member, what string
	}
	events := func() (list []event) {
		b, err := os.ReadFile(log)
		if err != nil {
			cannotRun(err)
		}
		for line := range strings.Lines(string(b)) {
			words := strings.Fields(line)
			at, err := strconv.ParseFloat(words[0], 64)
			if err != nil || len(words) < 3 || !strings.HasSuffix(line, "\n") {
				continue
			}
			list = append(list, event{time.Unix(0, int64(at*1e9)), words[1], strings.Join(words[2:], " ")})
		}
		return list
	}
	var first event // the first member that starts the new version
	for end := time.Now().Add(20 * time.Second); first.member == ""; time.Sleep(10 * time.Millisecond) {
		for _, e := range events() {
			if e.what == "start v2" {
				first = e
				break
			}
		}
		if time.Now().After(end) {
			cannotRun(fmt.Errorf("no member started the new version"))
		}
	}
	hangs := first.at.Add(prove - hangBefore)
	time.Sleep(time.Until(hangs))
	if s.trouble {
		hangs = time.Now()
		s.write(filepath.Join(first.member, "hangs"), "")
		s.record.printf("%s hangs %.2f s after its start; it is proven once it has been ready for %v without a break", first.member,
			hangs.Sub(first.at).Seconds(), prove)
	}
	time.Sleep(6 * time.Second)
	s.run("wickarch-fleet", "--by", "operator", "--coordinators", address, "status", "--all")
	broken := ""
	for _, e := range events() {
		if e.at.Before(first.at) {
			continue
		}
		s.record.printf("%s: %s, %.2f s after the start of %s", e.member, e.what, e.at.Sub(first.at).Seconds(), first.member)
		if e.what != "drain" || e.member == first.member || broken != "" {
			continue
		}
		switch after := e.at.Sub(hangs); {
		case !s.trouble && e.at.Sub(first.at) < prove:
			broken = fmt.Sprintf("%s went out before %s was proven", e.member, first.member)
		case s.trouble && after > (fresh+look)*101/100: // less may be known of late
			broken = fmt.Sprintf("%s was sent out while %s had not come back: it hung %.2f s after its start, of the %v that prove it, and %.2f s before; the budget is one",
				e.member, first.member, hangs.Sub(first.at).Seconds(), prove, after.Seconds())
		}
	}
	return broken
}
