package main

import (
	"fmt"
	"strings"
	"time"
)

// coordinators starts a set of three coordinators, as in deploy/coordinator.toml, and returns their addresses.
func (e *env) coordinators(budgets string) []string {
	addrs := []string{e.freeAddress(), e.freeAddress(), e.freeAddress()}
	set := ""
	for i, a := range addrs {
		set += fmt.Sprintf("[[coordinator]]\nid = %d\naddress = %q\n", i+1, a)
	}
	for i, a := range addrs {
		file := e.write(fmt.Sprintf("coordinator-%d.toml", i+1), fmt.Sprintf("id = %d\nlisten = %q\ndir = %q\n%s%s", i+1, a,
			fmt.Sprintf("%s/coordinator-%d", e.tmp, i+1), set, budgets))
		if code, out := e.output("bin/coordinator init " + file); code != 0 {
			e.fail("coordinator init: %s", out)
		}
		e.start(fmt.Sprintf("coordinator-%d", i+1), "exec bin/coordinator run "+file)
	}
	end := time.Now().Add(20 * time.Second)
	for {
		code, out := e.fleet(addrs, "status")
		if code == 0 {
			return addrs
		}
		if time.Now().After(end) {
			e.fail("no coordinator leads: %s", out)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// fleet runs the operators' command.
func (e *env) fleet(coordinators []string, command string) (int, string) {
	code, out := e.output("bin/wickarch-fleet "+command, "WICKARCH_COORDINATORS="+strings.Join(coordinators, ","))
	if !strings.HasPrefix(command, "status") {
		e.logf("wickarch-fleet %s: exit code %d: %s", command, code, strings.TrimSpace(out))
	}
	return code, out
}

// quoted is a list of strings in TOML.
func quoted(list []string) string { return `["` + strings.Join(list, `", "`) + `"]` }
