// Command standin plays the world of one case of the review: clients, backends and discovery as the
// pages describe them. It starts the project's own programs as separate processes.
//
//	standin CASE ROOT DIR RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0
// it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// stage is what all cases need.
type stage struct {
	root, dir string
	record    *record
	trouble   bool
}

var cases = map[string]func(*stage) (broken string){
	"memory": memoryCase,
	"proof":  proofCase,
	"flood":  floodCase,
	"finish": finishCase,
	"halt":   haltCase,
}

func main() {
	if len(os.Args) != 5 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT DIR RECORD")
		os.Exit(2)
	}
	s := &stage{root: os.Args[2], dir: os.Args[3], record: newRecord(os.Args[4], os.Args[3]), trouble: os.Getenv("TROUBLE") != "0"}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { cannotRun(fmt.Errorf("%v", <-signals)) }()
	time.AfterFunc(110*time.Second, func() { cannotRun(fmt.Errorf("it took too long")) })
	s.record.printf("case %s, trouble %v", os.Args[1], s.trouble)
	broken := cases[os.Args[1]](s)
	endAll()
	if broken != "" {
		s.record.printf("BROKEN: %s", broken)
		fmt.Println("BROKEN:", broken)
		os.Exit(1)
	}
	s.record.printf("the rule held")
	fmt.Println("the rule held")
}
