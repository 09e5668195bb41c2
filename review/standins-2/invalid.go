package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

const bothPlans = `[plan.community]
rate = 2.7
burst = 12
price = 1.1
over_cost = 1.0

[plan.district]
rate = 15
burst = 19
price = 1.6
over_cost = 0.6
ceiling_rate = 35
ceiling_burst = 45
ceiling_tolerance = 5
`

// onePlan is the same without the plan community.
var onePlan = bothPlans[strings.Index(bothPlans, "[plan.district]"):]

// write writes a file into the case's folder and returns its path.
func (s *stage) write(name, text string) string {
	path := filepath.Join(s.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		cannotRun(err)
	}
	return path
}

// run runs a program of the project to its end and records what it prints.
func (s *stage) run(name string, args ...string) (code int) {
	cmd := exec.Command(filepath.Join(s.root, "bin", name), args...)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		cannotRun(err)
	}
	s.record.printf("%s %s: exit code %d: %s", name, strings.Join(args, " "), cmd.ProcessState.ExitCode(),
		strings.ReplaceAll(strings.TrimSpace(string(out)), "\n", " | "))
	return cmd.ProcessState.ExitCode()
}

// invalidCase: a plan is taken out of the configuration while a connection carries requests of customers
// under it and under another plan.
func invalidCase(s *stage) string {
	var list []*backend
	for i := range 10 {
		list = append(list, newBackend(fmt.Sprintf("s-%08x", i+1), 20*time.Millisecond))
	}
	address := fmt.Sprintf("127.0.0.1:%d", freePort())
	coordinator := s.write("coordinator.toml", fmt.Sprintf(`id = 1
listen = "%s"
dir = "%s"

[[coordinator]]
id = 1
address = "%s"

[[budget]]
name = "ingresses"
role = "ingress"
most = 1
`, address, filepath.Join(s.dir, "coordinator"), address))
	if s.run("coordinator", "init", coordinator) != 0 {
		cannotRun(fmt.Errorf("coordinator init failed"))
	}
	start(s.root, "exec bin/coordinator run "+coordinator, filepath.Join(s.dir, "coordinator.log"))
	follow := s.write("follower.toml", fmt.Sprintf("name = \"n1\"\nregion = \"west\"\ncoordinators = [\"%s\"]\ndir = \"%s\"\n",
		address, filepath.Join(s.dir, "follower")))
	in := startIngress(s.root, s.dir, newDiscovery(list).addr, 192, "-follow", follow)
	push := func(name, text string) {
		for range 5 {
			if s.run("wickarch-fleet", "--by", "operator", "--coordinators", address, "config", "push", s.write(name, text)) == 0 {
				return
			}
			time.Sleep(time.Second)
		}
		cannotRun(fmt.Errorf("the configuration was not taken"))
	}
	time.Sleep(5 * time.Second) // the ingress has asked the coordinator
	push("both.toml", bothPlans)
	if s.trouble {
		push("one.toml", onePlan)
	}
	// The front's connection: requests of many customers, of both plans.
	lost, note := 0, ""
	for batch := range 10 {
		c, err := net.Dial("tcp", in.addr)
		if err != nil {
			cannotRun(err)
		}
		all, district := "", 0
		var plans []string
		for i := range 30 {
			plan := "community"
			if i%2 == 1 {
				plan = "district"
				district++
			}
			_, command := lookup(plan, 2500)
			all += command
			plans = append(plans, plan)
		}
		begun := time.Now()
		if _, err := io.WriteString(c, all); err != nil {
			cannotRun(err)
		}
		_ = c.SetReadDeadline(begun.Add(4 * time.Second))
		in, kinds, answered := bufio.NewReader(c), map[string]int{}, 0
		for answered < len(plans) {
			answer, err := readAnswer(in)
			if err != nil {
				break
			}
			kinds[plans[answered]+" "+strings.Fields(answer)[0]]++
			answered++
		}
		ended, unanswered := time.Since(begun), 0
		for _, plan := range plans[answered:] {
			if plan == "district" {
				unanswered++
			}
		}
		time.Sleep(700 * time.Millisecond)
		reset := wasReset(c)
		c.Close()
		s.record.printf("batch %d of 30 lookups, %d under district: %v; after %v: %d under district without an answer, reset %v",
			batch, district, kinds, ended.Round(time.Millisecond), unanswered, reset)
		if unanswered > 0 && !reset {
			lost += unanswered
			note = fmt.Sprintf("; the last connection ended %d ms after they were written", ended.Milliseconds())
		}
	}
	s.record.printf("the backends ran %d requests; the ingress runs: %v", runs(list), in.running())
	if lost > 0 {
		return fmt.Sprintf("%d requests under a plan that is in force were read and never answered%s", lost, note)
	}
	return ""
}
