package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name.
var cases = map[string]func(*env) error{
	"flood":          flood,
	"half-refusal":   halfRefusal,
	"half-requests":  halfRequests,
	"long-answers":   longAnswers,
	"second-value":   secondValue,
	"second-refusal": secondRefusal,
	"slow-discovery": slowDiscovery,
}

const longest = 117 * time.Second // a case may run

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig CASE FOLDER")
		os.Exit(2)
	}
	e, err := newEnv(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	// All processes are ended, however the case ends.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan error, 1)
	go func() {
		defer func() {
			if r := recover(); r != nil {
				done <- fmt.Errorf("%w: %v", errNoRun, r)
			}
		}()
		done <- cases[os.Args[1]](e)
	}()
	select {
	case err = <-done:
	case <-stop:
		err = fmt.Errorf("%w: it was stopped", errNoRun)
	case <-time.After(longest):
		err = fmt.Errorf("%w: it took over %v", errNoRun, longest)
	}
	os.Exit(e.end(err))
}
