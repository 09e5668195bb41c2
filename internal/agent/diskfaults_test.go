//go:build linux

package agent

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"wickarch/internal/faultinject"
)

// writerPathEnv is the environment variable that makes the test binary replace the file it names.
const writerPathEnv = "AGENT_TEST_WRITER"

func TestMain(m *testing.M) {
	faultinject.RunRole()
	if path := os.Getenv(writerPathEnv); path != "" {
		if err := replaceFile(path, []byte("new")); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// Guards against a program that is killed at its start, or a grant that is dropped, because of a transient error of
// the agent's disk: the agent kills a program whose record it cannot store, and begins no grant that it cannot store.
func TestReplaceFileRetriesTransientDiskErrors(t *testing.T) {
	for _, fault := range []faultinject.Rule{
		{Call: faultinject.Open, Fault: "ENOSPC"}, {Call: faultinject.WriteFile, Fault: "ENOSPC"}, {Call: faultinject.WriteFile, Fault: "EIO"},
		{Call: faultinject.WriteFile, Fault: faultinject.Short, MaxBytes: 1}, {Call: faultinject.Sync, Fault: "EIO"},
	} {
		fault.Path, fault.Share, fault.MaxFaults = "state.new", 1, 3
		path := filepath.Join(t.TempDir(), "state")
		cmd, err := faultinject.Command(t.Context(), 1, []string{writerPathEnv + "=" + path}, fault)
		if err != nil {
			t.Fatal(err)
		}
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Errorf("%s %s: the writer failed: %v: %s", fault.Call, fault.Fault, err, out)
		}
		if content, err := os.ReadFile(path); err != nil || string(content) != "new" {
			t.Errorf("%s %s: the file holds %q, error %v, want \"new\"", fault.Call, fault.Fault, content, err)
		}
	}
}
