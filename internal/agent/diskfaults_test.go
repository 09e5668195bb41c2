//go:build linux && amd64

package agent

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"wickarch/internal/faultinject"
)

// asWriter makes the test's own binary replace the file that it names.
const asWriter = "AGENT_TEST_WRITER"

func TestMain(m *testing.M) {
	faultinject.RunRole()
	if path := os.Getenv(asWriter); path != "" {
		if err := replaceFile(path, []byte("new")); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// Guards against a program that is killed as it starts, or a grant that is dropped, because the agent's disk failed for a moment.
func TestStateIsKeptThroughADiskThatFailsForAMoment(t *testing.T) {
	for _, fault := range []faultinject.Rule{
		{Call: faultinject.Open, Fault: "ENOSPC"}, {Call: faultinject.WriteFile, Fault: "ENOSPC"}, {Call: faultinject.WriteFile, Fault: "EIO"},
		{Call: faultinject.WriteFile, Fault: faultinject.Short, MaxBytes: 1}, {Call: faultinject.Sync, Fault: "EIO"},
	} {
		fault.Path, fault.Share, fault.MaxFaults = "state.new", 1, 3
		path := filepath.Join(t.TempDir(), "state")
		cmd, err := faultinject.Command(t.Context(), 1, []string{asWriter + "=" + path}, fault)
		if err != nil {
			t.Fatal(err)
		}
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Errorf("%s %s: %v: %s", fault.Call, fault.Fault, err, out)
		}
		if kept, err := os.ReadFile(path); err != nil || string(kept) != "new" {
			t.Errorf("%s %s: %q, %v", fault.Call, fault.Fault, kept, err)
		}
	}
}
