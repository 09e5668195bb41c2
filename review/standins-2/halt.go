package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// fleetStatus is what a coordinator that leads tells of the fleet.
type fleetStatus struct {
	Coordinator int `json:"coordinator"`
	Members     []struct {
		Name  string `json:"name"`
		State string `json:"does"`
		Grant *struct {
			Stage string `json:"stage"`
		} `json:"grant"`
	} `json:"members"`
}

// status asks the coordinators for the fleet's status; false if none leads.
func status(addresses []string) (s fleetStatus, ok bool) {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for _, a := range addresses {
		resp, err := client.Get("http://" + a + "/v1/status")
		if err != nil {
			continue
		}
		b, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK && json.Unmarshal(b, &s) == nil {
			return s, true
		}
	}
	return s, false
}

// haltCase: the coordinator that leads is held up while a rollout begins; another one takes over, and an
// operator halts the rollout there. Then the first one goes on.
func haltCase(s *stage) string {
	const agents = 8
	var addresses []string
	peers := ""
	for id := range 3 {
		addresses = append(addresses, fmt.Sprintf("127.0.0.1:%d", freePort()))
		peers += fmt.Sprintf("\n[[coordinator]]\nid = %d\naddress = \"%s\"\n", id+1, addresses[id])
	}
	var coordinators []*process
	for id, address := range addresses {
		file := s.write(fmt.Sprintf("coordinator-%d.toml", id+1), fmt.Sprintf("id = %d\nlisten = %q\ndir = %q\n%s\n", id+1, address,
			filepath.Join(s.dir, fmt.Sprintf("coordinator-%d", id+1)), peers)+fmt.Sprintf(`
[[budget]]
name = "backends"
role = "backend"
most = %d

[times]
report_ms = 1000
fresh_ms = 4000
learn_ms = 5000
begin_ms = 4000
`, agents))
		if s.run("coordinator", "init", file) != 0 {
			cannotRun(fmt.Errorf("coordinator init failed"))
		}
		coordinators = append(coordinators, start(s.root, "exec bin/coordinator run "+file, filepath.Join(s.dir, fmt.Sprintf("coordinator-%d.log", id+1))))
	}
	log := filepath.Join(s.dir, "hooks.txt")
	for n := range agents {
		name := fmt.Sprintf("b%d", n+1)
		up := filepath.Join(s.dir, "up-"+name)
		hook := func(what, command string) string {
			return fmt.Sprintf(`["/bin/sh", "-c", "echo $(date +%%s.%%N) %s %s >> %s; %s"]`, name, what, log, command)
		}
		file := s.write("agent-"+name+".toml", fmt.Sprintf(`name = %q
role = "backend"
coordinators = ["%s"]
dir = %q
version = "v1"

[hooks]
drain = %s
stop = %s
start = %s
ready = ["/bin/sh", "-c", "test -e %s || exit 3"]

[times]
report_ms = 1000
begin_ms = 4000
drain_ms = 1000
prove_ms = 1000
`, name, strings.Join(addresses, `", "`), filepath.Join(s.dir, "agent-"+name), hook("drain", "true"), hook("stop", "rm -f "+up),
			hook("start", "touch "+up), up))
		start(s.root, "exec bin/agent run "+file, filepath.Join(s.dir, "agent-"+name+".log"))
		time.Sleep(125 * time.Millisecond) // so that their reports come spread over the second
	}
	leader := -1
	for end := time.Now().Add(40 * time.Second); ; time.Sleep(250 * time.Millisecond) {
		st, ok := status(addresses)
		serving := 0
		for _, m := range st.Members {
			if m.State == "serves" {
				serving++
			}
		}
		if ok && serving == agents {
			leader = st.Coordinator - 1
			break
		}
		if time.Now().After(end) {
			cannotRun(fmt.Errorf("the fleet did not come up: %+v", st))
		}
	}
	time.Sleep(6 * time.Second) // the leader has learned
	var others []string
	for id, a := range addresses {
		if id != leader {
			others = append(others, a)
		}
	}
	s.record.printf("coordinator %d leads; %d members serve", leader+1, agents)
	if s.run("wickarch-fleet", "--by", "operator", "--coordinators", strings.Join(addresses, ","), "rollout", "start", "june", "--version", "v2", "--role", "backend",
		"--waves", "100%", "--soak", "5m") != 0 {
		cannotRun(fmt.Errorf("the rollout was not taken"))
	}
	time.Sleep(350 * time.Millisecond)
	st, _ := status(addresses)
	stages := map[string]int{}
	for _, m := range st.Members {
		if m.Grant != nil {
			stages[m.Grant.Stage]++
		}
	}
	s.record.printf("grants by stage: %v", stages)
	if s.trouble {
		coordinators[leader].signal(syscall.SIGSTOP)
		s.record.printf("coordinator %d is held up", leader+1)
	} else {
		others = addresses
	}
	stopped := time.Now()
	for _, ok := status(others); !ok; _, ok = status(others) { // until another one leads
		if time.Since(stopped) > 5*time.Second {
			cannotRun(fmt.Errorf("no other coordinator leads"))
		}
		time.Sleep(20 * time.Millisecond)
	}
	for s.run("wickarch-fleet", "--by", "operator", "--coordinators", strings.Join(others, ","), "--request", "halt-june", "rollout", "halt", "june", "--why", "support calls") != 0 {
		if time.Since(stopped) > 3500*time.Millisecond {
			cannotRun(fmt.Errorf("the halt was not taken in time"))
		}
		time.Sleep(50 * time.Millisecond)
	}
	halted := time.Now()
	s.record.printf("the halt was taken %.2f s after the start", halted.Sub(stopped).Seconds())
	time.Sleep(400*time.Millisecond - time.Since(halted))
	resumed := time.Now()
	if s.trouble {
		coordinators[leader].signal(syscall.SIGCONT)
		s.record.printf("coordinator %d goes on, %.2f s after it was held up, %.2f s after the halt", leader+1, resumed.Sub(stopped).Seconds(), resumed.Sub(halted).Seconds())
	}
	time.Sleep(8 * time.Second)
	s.run("wickarch-fleet", "--by", "operator", "--coordinators", strings.Join(addresses, ","), "status", "--all")
	b, err := os.ReadFile(log)
	if err != nil {
		cannotRun(err)
	}
	var late []string
	for line := range strings.Lines(string(b)) {
		words := strings.Fields(line)
		at, _ := strconv.ParseFloat(words[0], 64)
		after := at - float64(halted.UnixNano())/1e9
		if after < -4 {
			continue // the start of the fleet
		}
		s.record.printf("%s: %s, %.2f s after the halt", words[1], words[2], after)
		if words[2] == "drain" && after > 0.25 { // what was on its way at the halt is there by now
			late = append(late, words[1])
		}
	}
	if len(late) > 0 {
		return fmt.Sprintf("after the rollout was halted, a coordinator that leads no more sent out %s", strings.Join(late, ", "))
	}
	return ""
}
