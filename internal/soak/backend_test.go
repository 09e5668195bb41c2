//go:build linux

package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

// Guards against a verdict on the ingress for a value that never reached it: a write returns once the kernel has the
// bytes, and the death of the backend then resets the connection over what the peer has not taken.
func TestValueCutByTheDeathOfItsBackendIsNotWritten(t *testing.T) {
	const id = "0000000000000010" // its value is too large for the buffers of a connection that is not read
	for _, readsAll := range []bool{true, false} {
		q := &request{id: id}
		r := &run{record: record{byID: map[string]*request{id: q}}}
		b, err := newBackend(r, "s-001", time.Time{})
		if err != nil {
			t.Fatal(err)
		}
		client, err := net.Dial("tcp", b.ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		if !readsAll {
			if err = client.(*net.TCPConn).SetReadBuffer(4096); err != nil {
				t.Fatal(err)
			}
		}
		if _, err = client.Write(command("Q.ASK", "0000000000000001", id, "c=lookup,d=1000")); err != nil {
			t.Fatal(err)
		}
		if readsAll {
			if _, err = io.CopyN(io.Discard, client, int64(len(valueOf(id)))+20); err != nil {
				t.Fatal(err)
			}
		}
		written := func() bool {
			r.record.mu.Lock()
			defer r.record.mu.Unlock()
			return len(q.attempts) == 1 && q.attempts[0].valueWritten
		}
		for end := time.Now().Add(10 * time.Second); !written(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the backend has not written the value")
			}
		}
		time.Sleep(50 * time.Millisecond) // for the acknowledgement
		b.close()
		if got := written(); got != readsAll {
			t.Errorf("client reads: %v; after the backend's death its value counts as written: %v", readsAll, got)
		}
	}
}

// command encodes a command.
func command(args ...string) []byte {
	b := redcon.AppendArray(nil, len(args))
	for _, a := range args {
		b = redcon.AppendBulkString(b, a)
	}
	return b
}
