package main

import (
	"fmt"
	"io"
	"log"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases are the drivers by name. Each returns whether the rule was broken, and says why in the record.
var cases = map[string]func(e *env) (broken bool){}

// tools are what the drivers start as further processes, by name.
var tools = map[string]func(args []string) int{}

func main() {
	if len(os.Args) > 2 && tools[os.Args[1]] != nil {
		os.Exit(tools[os.Args[1]](os.Args[2:]))
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER, from the root of the repository")
		os.Exit(2)
	}
	log.SetOutput(io.Discard)
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(drive func(*env) bool, folder string) (code int) {
	e := &env{trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	var err error
	if e.root, err = os.Getwd(); err == nil {
		if e.tmp, err = os.MkdirTemp("", "review-"); err == nil {
			e.record, err = os.Create(filepath.Join(folder, "record.txt"))
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() {
		e.stopAll()
		if p := recover(); p != nil {
			why, is := p.(blocked)
			if !is {
				why.why = fmt.Sprint(p)
			}
			e.logf("RESULT: could not run: %s", why.why)
			e.showLogs()
			code = 2
		}
		_ = os.RemoveAll(e.tmp)
		_ = e.record.Close()
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { // ended from outside: nothing that was started stays behind
		<-signals
		e.stopAll()
		_ = os.RemoveAll(e.tmp)
		os.Exit(2)
	}()
	e.logf("trouble: %v", e.trouble)
	if drive(e) {
		e.logf("RESULT: the rule was broken")
		e.showLogs()
		return 1
	}
	e.logf("RESULT: the rule held")
	return 0
}

// showLogs appends the logs of the processes to the record.
func (e *env) showLogs() {
	logs, _ := filepath.Glob(filepath.Join(e.tmp, "*.log"))
	for _, path := range logs {
		text, _ := os.ReadFile(path)
		if len(text) > 4000 {
			text = append([]byte("...\n"), text[len(text)-4000:]...)
		}
		fmt.Fprintf(e.record, "--- log %s\n%s", filepath.Base(path), text)
	}
}
