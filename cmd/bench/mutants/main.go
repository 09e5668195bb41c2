// Command mutants removes safeguards from the program, one at a time, and prints
// which seed of the simulation detects each removal. It works on a copy in a
// temporary folder. It takes long and is not part of CI.
//
//	mutants                 all mutants of internal/simulate/mutants.txt
//	mutants -only history   those whose name contains a word
//	mutants -list internal/fleetsim/mutants.txt
package main

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// mutant is one change of a file that removes a safeguard: a text and its replacement.
type mutant struct {
	name, file, old, new string
	drawFlag             string   // the flag of cmd/bench/seeds for scenarios that detect it; "": none
	runner               []string // the program to run: a package and its arguments; nil for cmd/bench/seeds
}

func main() {
	list := flag.String("list", "internal/simulate/mutants.txt", "file that lists the mutants")
	only := flag.String("only", "", "run only mutants whose name contains this")
	count := flag.Int("count", 1000, "maximum number of seeds to run")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, *list, *only, *count); err != nil {
		fmt.Fprintln(os.Stderr, "mutants:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, list, only string, count int) error {
	mutants, err := parseList(list)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "mutants")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if err := copyTree(".", dir); err != nil {
		return err
	}
	missed := 0
	for _, m := range mutants {
		if !strings.Contains(m.name, only) {
			continue
		}
		found, err := m.detect(ctx, dir, count)
		if err != nil {
			found = "NOT RUN: " + err.Error()
			missed++
		}
		if found == "" {
			missed++
			found = "NOT DETECTED"
		}
		fmt.Printf("%-52s %s\n", m.name, found)
	}
	if missed > 0 {
		return fmt.Errorf("%d not detected within %d seeds, or not run", missed, count)
	}
	return nil
}

// parseList reads a list of mutants: a line "# name", one "@ file", lines "- old" and "+ new",
// and "! crowd" or "! throng" if such scenarios detect it. A line "% package arguments" before
// them names the program to run; "--count N" is appended to its arguments.
func parseList(path string) (all []mutant, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // opened only for reading
	lines := bufio.NewScanner(f)
	var play []string
	for n := 1; lines.Scan(); n++ {
		text := lines.Text()
		if strings.TrimSpace(text) == "" {
			continue
		}
		kind, rest, _ := strings.Cut(text, " ")
		if kind == "%" {
			play = strings.Fields(rest)
			continue
		}
		if kind == "#" {
			all = append(all, mutant{name: rest, runner: play})
			continue
		}
		if len(all) == 0 {
			return nil, fmt.Errorf("%s:%d: no line with a name before it", path, n)
		}
		m := &all[len(all)-1]
		switch kind {
		case "@":
			m.file = rest
		case "!":
			m.drawFlag = "-" + rest
		case "-":
			m.old += rest + "\n"
		case "+":
			m.new += rest + "\n"
		default:
			return nil, fmt.Errorf("%s:%d: unknown kind of line %q", path, n, kind)
		}
	}
	return all, lines.Err()
}

// detect builds the program without the safeguard, and runs seeds until one shows a fault.
func (m mutant) detect(ctx context.Context, dir string, count int) (found string, err error) {
	path := filepath.Join(dir, m.file)
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	old := strings.TrimSuffix(m.old, "\n")
	if n := strings.Count(string(text), old); n != 1 {
		return "", fmt.Errorf("%s contains the text %d times, want once", m.file, n)
	}
	defer func() {
		// A change that is not undone would affect the mutants after it.
		err = errors.Join(err, os.WriteFile(path, text, 0o600))
	}()
	if err = os.WriteFile(path, []byte(strings.Replace(string(text), old, strings.TrimSuffix(m.new, "\n"), 1)), 0o600); err != nil {
		return "", err
	}
	target, args := "./cmd/bench/seeds", []string{"-first", "-count", fmt.Sprint(count)}
	if m.drawFlag != "" {
		args = append(args, m.drawFlag)
	}
	if m.runner != nil {
		target, args = m.runner[0], append(slices.Clone(m.runner[1:]), "--count", fmt.Sprint(count))
	}
	build := exec.CommandContext(ctx, "go", "build", "-o", "seeds", target)
	build.Dir = dir
	if out, buildErr := build.CombinedOutput(); buildErr != nil {
		return "", fmt.Errorf("build: %w: %s", buildErr, out)
	}
	ctx, cancel := context.WithTimeout(ctx, 3*time.Minute)
	defer cancel()
	play := exec.CommandContext(ctx, "./seeds", args...)
	play.Dir = dir
	out, err := play.CombinedOutput()
	var exit *exec.ExitError
	if err == nil {
		return "", nil
	}
	if !errors.As(err, &exit) {
		return "", err
	}
	for line := range strings.SplitSeq(string(out), "\n") {
		if strings.HasPrefix(line, "seed ") || strings.HasPrefix(line, "panic: ") || strings.HasPrefix(line, "trace ") {
			return line[:min(len(line), 140)], nil
		}
	}
	return "ended with " + exit.Error(), nil
}

// copyTree copies the source files.
func copyTree(from, to string) error {
	return filepath.WalkDir(from, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			switch d.Name() {
			case ".git", "bin", "journal", "logs":
				return filepath.SkipDir
			}
			return os.MkdirAll(filepath.Join(to, path), 0o700)
		}
		if ext := filepath.Ext(path); ext != ".go" && ext != ".mod" && ext != ".sum" && ext != ".toml" {
			return nil
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, path), data, 0o600)
	})
}
