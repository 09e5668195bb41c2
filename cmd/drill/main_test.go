package main

import (
	"bytes"
	"encoding/binary"
	"errors"
	"math"
	"os"
	"os/exec"
	"strings"
	"testing"

	"wickarch/internal/wire"
)

const settingsJSON = `{"balancers": 1, "bounds": {"try_limit": 2},
	"request_classes": [{"aim_ms": 300, "give_up_ms": 900, "effect": "free", "worth": 1}],
	"tiers_of_service": [{"quota_rate": 5, "burst": 10, "price": 1}]}`

var le = binary.LittleEndian

// event encodes a record of 48 bytes; the keys of fields are byte offsets.
func event(code, instance int, fields map[int]any) []byte {
	r := make([]byte, 48)
	le.PutUint16(r, uint16(code))
	le.PutUint32(r[2:], uint32(instance))
	for offset, v := range fields {
		if _, err := binary.Encode(r[offset:], le, v); err != nil {
			panic(err)
		}
	}
	return r
}

// batch encodes a frame of events, whose time is seq times 10 ms.
func batch(seq int, tail string, events ...[]byte) []byte {
	body := append(bytes.Join(events, nil), tail...)
	f := make([]byte, 20)
	le.PutUint32(f, uint32(16+len(body)))
	le.PutUint64(f[4:], math.Float64bits(float64(seq)*10))
	le.PutUint32(f[12:], uint32(len(events)))
	le.PutUint32(f[16:], uint32(seq))
	return append(f, body...)
}

func initEvent(instance, offset int) []byte {
	return event(256, instance, map[int]any{14: uint32(offset), 18: uint32(len(settingsJSON))})
}

func requestEvent(instance, id int) []byte {
	return event(258, instance, map[int]any{6: uint32(id), 23: float64(800), 31: float32(1), 35: float32(1)})
}

func backendEntry(id int) string {
	e := make([]byte, 22)
	le.PutUint32(e, uint32(id))
	return string(e)
}

// decodeReplies returns the action codes of each reply that run wrote, and the backends of all send actions.
func decodeReplies(t *testing.T, out []byte) (codes [][]int, sends []int) {
	t.Helper()
	for len(out) > 0 {
		n := int(le.Uint32(out))
		var c []int
		for i := range int(le.Uint32(out[4:])) {
			r := out[12+32*i:]
			c = append(c, int(le.Uint16(r)))
			if le.Uint16(r) == 256 {
				sends = append(sends, int(le.Uint32(r[10:])))
			}
		}
		codes = append(codes, c)
		out = out[4+n:]
	}
	return
}

// Guards against members events that use the wrong list: a list number may be redefined within
// a batch, and each members event refers to the latest definition before it.
func TestListNumberReusedWithinBatch(t *testing.T) {
	tail := settingsJSON + backendEntry(7) + backendEntry(8)
	list := func(offset int) []byte {
		return event(267, 0, map[int]any{2: uint8(3), 3: uint32(offset), 7: uint32(1)})
	}
	members := func(instance int) []byte {
		return event(257, instance, map[int]any{6: uint8(2), 11: uint8(3)})
	}
	in := batch(1, tail,
		list(len(settingsJSON)), initEvent(1, 0), members(1),
		list(len(settingsJSON)+22), initEvent(2, 0), members(2),
		requestEvent(1, 100), requestEvent(2, 100))
	var out bytes.Buffer
	if err := run(bytes.NewReader(append(batch(0, ""), in...)), &out); err != nil {
		t.Fatal(err)
	}
	codes, sends := decodeReplies(t, out.Bytes())
	if len(codes) != 2 || len(codes[0]) != 0 || len(sends) != 2 || sends[0] != 7 || sends[1] != 8 {
		t.Errorf("replies %v with sends to %v; want an empty reply and sends to 7 and 8", codes, sends)
	}
}

// Guards against a stop and an init of one instance in the same batch that are applied in the wrong
// order, so that the new instance is lost.
func TestInstanceRestartsWithinBatch(t *testing.T) {
	in := append(batch(1, settingsJSON, initEvent(1, 0)), batch(2, settingsJSON, event(265, 1, nil), initEvent(1, 0), requestEvent(1, 5))...)
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if codes, _ := decodeReplies(t, out.Bytes()); len(codes) != 2 || len(codes[1]) != 1 || codes[1][0] != 257 {
		t.Errorf("replies %v; want the new instance to refuse the request, as it has no backend", codes)
	}
}

// TestMain runs drill in place of the tests if DRILL is set, so that tests can check its exit status.
func TestMain(m *testing.M) {
	if os.Getenv("DRILL") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// Guards against invalid input that is ignored, panics, or ends drill without an error that names
// the batch.
func TestInvalidInputExitsWithOneErrorLine(t *testing.T) {
	whole := batch(4, settingsJSON, initEvent(1, 0))
	for _, c := range []struct {
		name, want string
		in         []byte
	}{
		{"clean end", "", whole},
		{"truncated frame", "frame truncated", whole[:40]},
		{"oversized frame", "longer than", []byte{255, 255, 255, 255}},
		{"unknown code", "code 999 is unknown", batch(4, "", event(999, 1, nil))},
		{"settings outside the tail", "outside the tail", batch(4, "", initEvent(1, 0))},
		{"unknown instance", "instance 9 is unknown", batch(4, "", event(262, 9, nil))},
		{"invalid JSON", "settings", batch(4, strings.Repeat("x", len(settingsJSON)), initEvent(1, 0))},
		{"missing settings", "Config.MaxAttempts", batch(4, "{\"balancers\": 1}"+strings.Repeat(" ", len(settingsJSON)), initEvent(1, 0))},
	} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "DRILL=1")
		cmd.Stdin = bytes.NewReader(c.in)
		var stderr bytes.Buffer
		cmd.Stderr = &stderr
		err := cmd.Run()
		var exit *exec.ExitError
		output := stderr.String()
		if c.want == "" {
			if err != nil || output != "" {
				t.Errorf("%s: error %v, standard error %q; want exit status 0 and no output", c.name, err, output)
			}
			continue
		}
		if !errors.As(err, &exit) || exit.ExitCode() != 1 || !strings.Contains(output, c.want) ||
			!strings.Contains(output, "batch") || strings.Count(output, "\n") != 1 {
			t.Errorf("%s: error %v, standard error %q; want exit status 1 and one line that names the batch and contains %q",
				c.name, err, output, c.want)
		}
	}
}

// Guards against a panic in the decision code that ends the process in place of reporting a fault.
func TestPanicBecomesFault(t *testing.T) {
	n := &instance{instanceID: 3, reply: new(wire.Reply)}
	ev := wire.Event{Code: wire.CodeTimer}
	deliver(n, 0, &ev, nil) // n has no Gateway, so the call panics
	var out bytes.Buffer
	if err := n.reply.Write(&out, 1); err != nil {
		t.Error(err)
	}
	if codes, _ := decodeReplies(t, out.Bytes()); len(codes[0]) != 1 || codes[0][0] != 265 {
		t.Errorf("actions %v; want one fault", codes)
	}
}
