//go:build linux

// Command soak plays seeds of package soak against the built ingress, and prints a line a seed and
// what broke the rules. It is started by hand; CI plays a few seeds in a test.
//
//	bin/soak -program bin/wickarch -from 1 -seeds 50
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"wickarch/internal/faultinject"
	"wickarch/internal/soak"
)

func main() {
	faultinject.RunRole()
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func run() error {
	program := flag.String("program", "bin/wickarch", "the ingress")
	from := flag.Uint64("from", 1, "the first seed")
	seeds := flag.Int("seeds", 50, "how many")
	logs := flag.String("logs", "", "a folder for the logs of all processes, with each request; empty: none")
	duration := flag.Duration("for", 0, "how long each runs under faults; 0: the default")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	path, err := filepath.Abs(*program)
	if err != nil {
		return err
	}
	broken := 0
	for n := range *seeds {
		seed := *from + uint64(n)
		violations, err := play(ctx, seed, path, *logs, func(c *soak.Config) {
			if *duration > 0 {
				c.FaultDuration = *duration
			}
		})
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		if violations > 0 {
			broken++
		}
	}
	fmt.Printf("%d seeds, %d of them with violations\n", *seeds, broken)
	if broken > 0 {
		return fmt.Errorf("the rules were broken in %d of %d runs", broken, *seeds)
	}
	return nil
}

// play plays one seed and tells how often the rules were broken.
func play(ctx context.Context, seed uint64, program, logs string, change func(*soak.Config)) (int, error) {
	cfg := soak.DefaultConfig(seed)
	change(&cfg)
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	if logs != "" {
		if err = os.MkdirAll(logs, 0o700); err != nil {
			return 0, err
		}
	}
	cfg.Tracer, cfg.Program, cfg.ConfigDir, cfg.LogDir = []string{os.Args[0]}, program, dir, logs
	report, err := soak.Run(ctx, cfg)
	if err != nil {
		return 0, err
	}
	fmt.Printf("seed %d: %v\n", seed, report)
	for _, v := range report.Violations {
		fmt.Printf("  %s\n", v)
	}
	return len(report.Violations), nil
}
