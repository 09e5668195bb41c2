// Command tryout demonstrates wickarch on one machine: it builds the program,
// starts an ingress with simulated discovery, backends and clients on loopback,
// prints the counts of requests, served and refused each second, and a summary
// at the end. It exits with 0 if every request had exactly one answer and no
// payment ran twice.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"wickarch/internal/standin"
)

const (
	waitTimeout = 30 * time.Second       // for the ingress to become ready, and to stop
	meterPeriod = 500 * time.Millisecond // as in standin.Settings
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "tryout:", err)
		os.Exit(1)
	}
}

func run() error {
	file := flag.String("config", "", "configuration file, instead of the embedded default (see -print)")
	program := flag.String("program", "", "ingress program to run, instead of one built from this folder")
	seconds := flag.Int("seconds", 0, "duration of the run, instead of the configuration's")
	show := flag.Bool("print", false, "print the embedded default configuration and exit")
	flag.Parse()
	if *show {
		fmt.Print(defaults)
		return nil
	}
	text := defaults
	if *file != "" {
		data, err := os.ReadFile(*file)
		if err != nil {
			return err
		}
		text = string(data)
	}
	cfg, err := parse(text)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	if *seconds > 0 {
		cfg.Seconds = *seconds
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	dir, err := os.MkdirTemp("", "wickarch-tryout")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if *program == "" {
		*program = filepath.Join(dir, "wickarch")
		build := exec.CommandContext(ctx, "go", "build", "-o", *program, "./cmd/wickarch")
		build.Stderr = os.Stderr
		fmt.Println("building the ingress")
		if err := build.Run(); err != nil {
			return fmt.Errorf("build (run this from the root of the repository): %w", err)
		}
	}
	return measure(ctx, cfg, *program, dir)
}

// measure runs the installation and checks the results.
func measure(ctx context.Context, cfg config, program, dir string) error {
	var effects standin.Effects
	var members []standin.Member
	meter := &standin.Meter{Rate: cfg.Plan.Rate, Period: meterPeriod}
	for i, b := range cfg.Backends {
		shortest, span := b.Takes[0], b.Takes[1]-b.Takes[0]
		backend, err := standin.NewBackend(effects.Handler(func() time.Duration {
			return time.Duration(shortest+rand.IntN(span+1)) * time.Millisecond
		}, meter))
		if err != nil {
			return err
		}
		defer backend.Close()
		members = append(members, backend.Member(fmt.Sprintf("backend-%d", i+1)))
	}
	discovery := standin.NewDiscovery(members...)
	defer discovery.Stop()
	discovery.Open()
	node := standin.Node{Name: "try", Listen: "127.0.0.1:0", Discovery: discovery.Addr(), Seed: "1",
		Limits:   standin.Limits{Cores: cfg.Ingress.Cores, MemoryMB: cfg.Ingress.MemoryMB, Sockets: cfg.Ingress.Sockets},
		Settings: json.RawMessage(fmt.Sprintf(standin.Settings, 15_000, cfg.Plan.Rate, cfg.Plan.Burst))}
	// Not ctx: after Ctrl-C the ingress still owes answers to accepted requests.
	ingressCtx, kill := context.WithCancel(context.Background())
	defer kill()
	ingress, err := node.Start(ingressCtx, []string{program}, dir)
	if err != nil {
		return err
	}
	if err := standin.WaitReady(ingress.Addr, waitTimeout); err != nil {
		return err
	}
	fmt.Printf("discovery on %s, %d backends, ingress on %s, for %d s; Ctrl-C stops everything\n",
		discovery.Addr(), len(members), ingress.Addr, cfg.Seconds)

	load := &standin.Load{Addr: ingress.Addr, PerSecond: cfg.Clients.PerSecond, Payments: cfg.Clients.Payments,
		Deadline: time.Duration(cfg.Clients.DeadlineMS) * time.Millisecond}
	for n := range cfg.Clients.Customers {
		weight := (1 - cfg.Clients.Greedy) / float64(max(1, cfg.Clients.Customers-1))
		if n == 0 {
			weight = cfg.Clients.Greedy
		}
		load.Customers = append(load.Customers, standin.Customer{Number: uint64(n + 1), Weight: weight})
	}
	for range cfg.Clients.Idle {
		c, err := standin.Dial(ingress.Addr, time.Hour)
		if err != nil {
			return err
		}
		defer c.Close()
		if err := c.Send("PING"); err != nil {
			return fmt.Errorf("idle client: %w", err)
		}
	}
	runFor, end := context.WithTimeout(ctx, time.Duration(cfg.Seconds)*time.Second)
	defer end()
	done := make(chan struct{})
	go func() { load.Run(runFor); close(done) }()
	printProgress(load, done)

	if err := ingress.Stop(waitTimeout); err != nil {
		return fmt.Errorf("ingress: %w", err)
	}
	return checkResults(load, &effects)
}

// printProgress prints a line of counts each second.
func printProgress(load *standin.Load, done <-chan struct{}) {
	fmt.Println("  second   asked  served refused  failed    open      p50      p99")
	second := time.NewTicker(time.Second)
	defer second.Stop()
	var last standin.Tally
	for n := 1; ; n++ {
		select {
		case <-second.C:
		case <-done:
			return
		}
		t, latencies := load.Tally(), load.LapLatencies()
		fmt.Printf("%8d %7d %7d %7d %7d %7d %8s %8s\n", n, t.Asked-last.Asked, t.Served-last.Served, t.Refused-last.Refused,
			t.Failed-last.Failed, t.Open, formatDuration(standin.Percentile(latencies, 0.5)), formatDuration(standin.Percentile(latencies, 0.99)))
		last = t
	}
}

func formatDuration(d time.Duration) string {
	return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond))
}

// checkResults prints the summary and returns an error if a request was lost or answered wrongly, or a payment
// ran twice.
func checkResults(load *standin.Load, effects *standin.Effects) error {
	t, all := load.Tally(), load.Latencies()
	fmt.Printf("asked %d: served %d, refused %d (over quota or overloaded), failed %d, without a connection %d\n",
		t.Asked, t.Served, t.Refused, t.Failed, t.Unreached)
	fmt.Printf("latency of served requests: p50 %s, p99 %s, p99.9 %s\n", formatDuration(standin.Percentile(all, 0.5)),
		formatDuration(standin.Percentile(all, 0.99)), formatDuration(standin.Percentile(all, 0.999)))
	payments := 0
	for _, id := range effects.Duplicates() {
		if standin.PaymentID(id) {
			payments++
		}
	}
	fmt.Printf("backends ran %d; lost %d, answered wrongly or twice %d, payments that ran twice %d\n",
		effects.Total(), t.Lost, t.Wrong+t.Extra, payments)
	if err := t.Check(); err != nil {
		return err
	}
	if payments > 0 {
		return fmt.Errorf("%d payments ran twice", payments)
	}
	if t.Served == 0 {
		return errors.New("no request was served")
	}
	fmt.Println("the figures hold")
	return nil
}
