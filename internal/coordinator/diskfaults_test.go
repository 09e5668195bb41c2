//go:build linux && amd64

package coordinator

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"

	"wickarch/internal/faultinject"
)

// asWriter makes the test's own binary append entries to the disk in the folder that it names.
const asWriter = "COORDINATOR_TEST_WRITER"

func TestMain(m *testing.M) {
	faultinject.RunRole()
	if dir := os.Getenv(asWriter); dir != "" {
		appendEntries(dir)
		return
	}
	os.Exit(m.Run())
}

// appendEntries tells each entry that is kept, on its own line.
func appendEntries(dir string) {
	d, s, err := Open(dir, 1)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	for index := uint64(len(s.Entries)) + 2; ; index++ {
		if err := d.Save(nil, []*pb.Entry{entry(2, index)}, nil); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Fprintln(os.Stderr, "kept", index)
	}
}

// keptIndex is the entry that a line of the writer tells.
func keptIndex(line string) (index uint64, ok bool) {
	number, ok := strings.CutPrefix(line, "kept ")
	if !ok {
		return 0, false
	}
	index, err := strconv.ParseUint(number, 10, 64)
	return index, err == nil
}

// Guards against a coordinator that ends, or forgets what it has confirmed, because its disk failed for a moment: writes
// and syncs fail and are short, and the process is killed in their midst, again and again.
func TestDiskKeepsWhatItConfirmedThroughFailingWrites(t *testing.T) {
	dir := t.TempDir()
	d := fresh(t, dir)
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	confirmed := uint64(1)
	for round := range uint64(6) {
		cmd, err := faultinject.Command(t.Context(), round+1, []string{asWriter + "=" + dir},
			faultinject.Rule{Call: faultinject.WriteFile, Path: file, Fault: "ENOSPC", Share: 0.1, Skip: 40},
			faultinject.Rule{Call: faultinject.Sync, Path: file, Fault: "EIO", Share: 0.1, Skip: 10},
			faultinject.Rule{Call: faultinject.WriteFile, Path: countFile, Fault: "EIO", Share: 0.2},
			faultinject.Rule{Call: faultinject.WriteFile, Path: countFile, Fault: faultinject.Short, Share: 0.5, MaxBytes: 5},
			faultinject.Rule{Call: faultinject.Sync, Path: countFile, Fault: "EIO", Share: 0.2})
		if err != nil {
			t.Fatal(err)
		}
		out, err := cmd.StderrPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err = cmd.Start(); err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewScanner(out)
		kept := 0
		for kept < 25 && lines.Scan() {
			index, ok := keptIndex(lines.Text())
			if !ok {
				t.Fatalf("round %d: the writer says %q", round, lines.Text())
			}
			confirmed = max(confirmed, index)
			kept++
		}
		if kept < 25 {
			t.Fatalf("round %d: the writer ended after %d entries", round, kept)
		}
		cmd.Process.Kill()
		for lines.Scan() { // what it had said before its end
			if index, ok := keptIndex(lines.Text()); ok {
				confirmed = max(confirmed, index)
			}
		}
		_ = cmd.Wait() // killed
		d, s, err := Open(dir, 1)
		if err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
		if err = d.Close(); err != nil {
			t.Error(err)
		}
		if last := uint64(len(s.Entries)) + 1; last < confirmed {
			t.Fatalf("round %d: entries up to %d are there, %d were confirmed", round, last, confirmed)
		}
	}
}

// Guards against a log that is refused for good because a kill left its count half written.
func TestCountIsReadThroughAHalfWrittenSlot(t *testing.T) {
	path := filepath.Join(t.TempDir(), countFile)
	for count := range uint64(6) {
		if err := writeCount(path, count); err != nil {
			t.Fatal(err)
		}
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for n := range slotBytes {
		half := append([]byte{}, whole...)
		slot := int(6%countSlots) * slotBytes
		copy(half[slot:slot+n], "............")
		if err := os.WriteFile(path, half, 0o600); err != nil {
			t.Fatal(err)
		}
		if got, err := readCount(path); err != nil || got != 5 {
			t.Errorf("with %d bytes of the next: %d, %v, want 5", n, got, err)
		}
	}
	for n := range whole {
		whole[n] = 0xff
	}
	if err := os.WriteFile(path, whole, 0o600); err != nil {
		t.Fatal(err)
	}
	if got, err := readCount(path); err == nil {
		t.Errorf("with no whole slot: %d", got)
	}
}
