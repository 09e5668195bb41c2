//go:build linux

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

// writerDirEnv is the environment variable that makes the test binary append entries to the disk in the directory it names.
const writerDirEnv = "COORDINATOR_TEST_WRITER"

func TestMain(m *testing.M) {
	faultinject.RunRole()
	if dir := os.Getenv(writerDirEnv); dir != "" {
		appendEntries(dir)
		return
	}
	os.Exit(m.Run())
}

// appendEntries appends entries until it is killed, and writes a line to standard error for each that is stored.
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

// parseKeptIndex returns the entry's index from a line of the writer.
func parseKeptIndex(line string) (index uint64, ok bool) {
	number, ok := strings.CutPrefix(line, "kept ")
	if !ok {
		return 0, false
	}
	index, err := strconv.ParseUint(number, 10, 64)
	return index, err == nil
}

// Guards against a coordinator that stops, or loses what it has confirmed, because of transient disk errors: writes
// and syncs fail or are short, and the process is killed repeatedly in the middle of them.
func TestConfirmedEntriesSurviveFailingWritesAndKills(t *testing.T) {
	dir := t.TempDir()
	d := createAndOpen(t, dir)
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	confirmed := uint64(1)
	for round := range uint64(6) {
		cmd, err := faultinject.Command(t.Context(), round+1, []string{writerDirEnv + "=" + dir},
			faultinject.Rule{Call: faultinject.WriteFile, Path: logFile, Fault: "ENOSPC", Share: 0.1, Skip: 40},
			faultinject.Rule{Call: faultinject.Sync, Path: logFile, Fault: "EIO", Share: 0.1, Skip: 10},
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
			index, ok := parseKeptIndex(lines.Text())
			if !ok {
				t.Fatalf("round %d: unexpected line of the writer: %q", round, lines.Text())
			}
			confirmed = max(confirmed, index)
			kept++
		}
		if kept < 25 {
			t.Fatalf("round %d: the writer exited after %d entries, want 25", round, kept)
		}
		cmd.Process.Kill()
		for lines.Scan() { // lines written before it was killed
			if index, ok := parseKeptIndex(lines.Text()); ok {
				confirmed = max(confirmed, index)
			}
		}
		_ = cmd.Wait() // fails, as it was killed
		d, s, err := Open(dir, 1)
		if err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
		if err = d.Close(); err != nil {
			t.Error(err)
		}
		if last := uint64(len(s.Entries)) + 1; last < confirmed {
			t.Fatalf("round %d: the log ends at entry %d, entries up to %d were confirmed", round, last, confirmed)
		}
	}
}

// Guards against a log that can never be opened again because the process was killed while it wrote the count.
func TestReadCountIgnoresAHalfWrittenSlot(t *testing.T) {
	path := filepath.Join(t.TempDir(), countFile)
	for count := range uint64(6) {
		if err := writeCount(path, count); err != nil {
			t.Fatal(err)
		}
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for n := range slotSize {
		torn := append([]byte{}, content...)
		slot := int(6%countSlots) * slotSize
		copy(torn[slot:slot+n], "............")
		if err := os.WriteFile(path, torn, 0o600); err != nil {
			t.Fatal(err)
		}
		if got, err := readCount(path); err != nil || got != 5 {
			t.Errorf("with %d bytes of the next count written: %d, %v, want 5", n, got, err)
		}
	}
	for n := range content {
		content[n] = 0xff
	}
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	if got, err := readCount(path); err == nil {
		t.Errorf("with no valid slot: got %d, want an error", got)
	}
}
