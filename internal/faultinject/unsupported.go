//go:build !linux || !amd64

// Package faultinject runs a program whose system calls can be made to fail. The tracer reads
// the registers of the traced program, which differ between architectures: only Linux on x86-64
// is supported. Elsewhere the package only offers what a test binary's TestMain calls.
package faultinject

import (
	"fmt"
	"os"
	"runtime"
)

// RoleVariable names the environment variable that makes a process a tracer or a launcher.
const RoleVariable = "WICKARCH_FAULTINJECT"

// RunRole ends the process with an error if the environment names a role. Without a role it returns.
func RunRole() {
	if role := os.Getenv(RoleVariable); role != "" {
		fmt.Fprintf(os.Stderr, "faultinject: role %q is not supported on %s/%s\n", role, runtime.GOOS, runtime.GOARCH)
		os.Exit(1)
	}
}
