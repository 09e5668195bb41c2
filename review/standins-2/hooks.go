package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

// hooksCase: a backend whose owner's start command takes 3 s for the new version, of the 30 s that the
// agent's file allows.
func hooksCase(s *stage) string {
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
`, address, filepath.Join(s.dir, "coordinator"), address))
	if s.run("coordinator", "init", coordinator) != 0 {
		cannotRun(fmt.Errorf("coordinator init failed"))
	}
	start(s.root, "exec bin/coordinator run "+coordinator, filepath.Join(s.dir, "coordinator.log"))
	alive, log := s.write("alive", ""), filepath.Join(s.dir, "hooks.txt")
	takes := "0"
	if s.trouble {
		takes = "3"
	}
	// The backend's process tells each 0.1 s that it serves, and ends when its file or the case's is gone.
	server := s.write("server.sh", `serves=$1/serves-$$
echo $WICKARCH_VERSION > $serves
echo $$ > $1/pid
while test -e $serves && test -e `+alive+`; do
	echo "$(date +%s.%N) $WICKARCH_MEMBER process $$ of $WICKARCH_VERSION" >> $1/served.txt
	sleep 0.1
done
rm -f $serves
`)
	// The owner's commands. Start does nothing if the backend runs already.
	command := s.write("owner.sh", `dir=`+s.dir+`/$WICKARCH_MEMBER
mkdir -p $dir
running() { test -e $dir/pid && test -e $dir/serves-$(cat $dir/pid); }
say() { echo "$(date +%s.%N) $WICKARCH_MEMBER $*" >> `+log+`; }
case $1 in
start)
	say "start of $WICKARCH_VERSION begins"
	if running; then say "start: it runs already"; exit 0; fi
	if test $WICKARCH_VERSION = v2; then sleep `+takes+`; fi
	setsid sh `+server+` $dir </dev/null >/dev/null 2>&1 &
	for i in 1 2 3 4 5 6 7 8 9 10; do running && break; sleep 0.05; done
	say "start of $WICKARCH_VERSION ends" ;;
stop)
	say "stop"
	running && rm -f $dir/serves-$(cat $dir/pid)
	sleep 0.3 ;;
ready)
	running || exit 3 ;;
esac
`)
	const agents = 3
	for n := range agents {
		name := fmt.Sprintf("b%d", n+1)
		file := s.write("agent-"+name+".toml", fmt.Sprintf(`name = %q
role = "backend"
coordinators = [%q]
dir = %q
version = "v1"

[hooks]
drain = ["true"]
stop = ["/bin/sh", "%s", "stop"]
start = ["/bin/sh", "%s", "start"]
ready = ["/bin/sh", "%s", "ready"]

[times]
report_ms = 1000
begin_ms = 4000
poll_ms = 250
drain_ms = 500
stop_ms = 10000
start_ms = 30000
prove_ms = 3000
`, name, address, filepath.Join(s.dir, "agent-"+name), command, command, command))
		start(s.root, "exec bin/agent run "+file, filepath.Join(s.dir, "agent-"+name+".log"))
	}
	for end := time.Now().Add(40 * time.Second); ; time.Sleep(250 * time.Millisecond) {
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
	begun := time.Now()
	s.record.printf("%d members serve", agents)
	if s.run("wickarch-fleet", "--by", "operator", "--coordinators", address, "rollout", "start", "june", "--version", "v2", "--role", "backend",
		"--waves", "1,100%", "--soak", "1m") != 0 {
		cannotRun(fmt.Errorf("the rollout was not taken"))
	}
	time.Sleep(20 * time.Second)
	s.run("wickarch-fleet", "--by", "operator", "--coordinators", address, "status", "--all")
	endAll()
	_ = os.Remove(alive)
	time.Sleep(500 * time.Millisecond) // the backends' processes end
	hooks, err := os.ReadFile(log)
	if err != nil {
		cannotRun(err)
	}
	broken := ""
	for n := range agents {
		name := fmt.Sprintf("b%d", n+1)
		open := 0 // starts that run
		for line := range strings.Lines(string(hooks)) {
			words := strings.Fields(line)
			at, _ := strconv.ParseFloat(words[0], 64)
			after := at - float64(begun.UnixNano())/1e9
			if words[1] != name || after < 0 {
				continue
			}
			s.record.printf("%6.2f s after the rollout began: %s", after, strings.Join(words[1:], " "))
			switch words[len(words)-1] {
			case "begins":
				if open++; open > 1 && broken == "" {
					broken = fmt.Sprintf("the start command of %s was run again while it ran", name)
				}
			case "ends", "already":
				open--
			}
		}
		served, err := os.ReadFile(filepath.Join(s.dir, name, "served.txt"))
		if err != nil {
			cannotRun(err)
		}
		first, last := map[string]float64{}, map[string]float64{}
		var order []string
		for line := range strings.Lines(string(served)) {
			words := strings.Fields(line)
			at, _ := strconv.ParseFloat(words[0], 64)
			who := strings.Join(words[2:], " ")
			if !slices.Contains(order, who) {
				order, first[who] = append(order, who), at
			}
			last[who] = at
		}
		for i, who := range order {
			s.record.printf("%s: %s served from %.2f s to %.2f s after the rollout began", name, who,
				first[who]-float64(begun.UnixNano())/1e9, last[who]-float64(begun.UnixNano())/1e9)
			for _, other := range order[:i] {
				if both := min(last[who], last[other]) - first[who]; both > 1 {
					broken = fmt.Sprintf("two processes served as %s for %.1f s", name, both)
				}
			}
		}
	}
	return broken
}
