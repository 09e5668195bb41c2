package main

import (
	"debug/elf"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
)

// buildDeployed builds the program once, with the deploy file's build line, and returns its path.
var buildDeployed = sync.OnceValues(func() (string, error) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	line := regexp.MustCompile(`(?m)^build = ".*\b((?:CGO_ENABLED=\S+ )?go build .*)-o bin/ \./cmd/\.\.\."`).FindSubmatch(text)
	if line == nil {
		return "", errors.New("deploy/balancer.toml: the build line does not have the expected form")
	}
	dir, err := os.MkdirTemp("", "wickarch")
	if err != nil {
		return "", err
	}
	cleanups = append(cleanups, func() { os.RemoveAll(dir) })
	path := filepath.Join(dir, "wickarch")
	out, err := exec.Command("sh", "-c", string(line[1])+"-o "+path+" .").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%s: %w: %s", line[1], err, out)
	}
	return path, nil
})

func deployedBinary(t *testing.T) string {
	t.Helper()
	path, err := buildDeployed()
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// checkDynamic returns an error unless the binary has an ELF interpreter and is linked against the C library, so
// that a library can be preloaded into it.
func checkDynamic(path string) error {
	f, err := elf.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		return errors.New("the binary has no ELF interpreter")
	}
	libs, err := f.ImportedLibraries()
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(libs, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		return fmt.Errorf("the binary is linked against %q, without the C library", libs)
	}
	return nil
}

func TestDeployedBinaryIsDynamicallyLinked(t *testing.T) {
	if err := checkDynamic(deployedBinary(t)); err != nil {
		t.Error(err)
	}
	static := filepath.Join(t.TempDir(), "static")
	cmd := exec.Command("go", "build", "-o", static, ".")
	cmd.Env = append(os.Environ(), "CGO_ENABLED=0")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	if checkDynamic(static) == nil {
		t.Error("checkDynamic accepts a static binary")
	}
}
