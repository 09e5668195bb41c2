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

const config = `{"balancers": 1, "bounds": {"try_limit": 2},
	"request_classes": [{"aim_ms": 300, "give_up_ms": 900, "effect": "free", "worth": 1}],
	"tiers_of_service": [{"quota_rate": 5, "burst": 10, "price": 1}]}`

var le = binary.LittleEndian

// event makes a record of 48 bytes; each field is placed at its byte.
func event(code, inst int, fields map[int]any) []byte {
	r := make([]byte, 48)
	le.PutUint16(r, uint16(code))
	le.PutUint32(r[2:], uint32(inst))
	for at, v := range fields {
		if _, err := binary.Encode(r[at:], le, v); err != nil {
			panic(err)
		}
	}
	return r
}

func batch(seq int, tail string, events ...[]byte) []byte {
	body := append(bytes.Join(events, nil), tail...)
	f := make([]byte, 20)
	le.PutUint32(f, uint32(16+len(body)))
	le.PutUint64(f[4:], math.Float64bits(float64(seq)*10))
	le.PutUint32(f[12:], uint32(len(events)))
	le.PutUint32(f[16:], uint32(seq))
	return append(f, body...)
}

func initial(inst, off int) []byte {
	return event(256, inst, map[int]any{14: uint32(off), 18: uint32(len(config))})
}

func request(inst, id int) []byte {
	return event(258, inst, map[int]any{6: uint32(id), 23: float64(800), 31: float32(1), 35: float32(1)})
}

func backend(id int) string {
	e := make([]byte, 22)
	le.PutUint32(e, uint32(id))
	return string(e)
}

// replies splits what run wrote and returns each reply's action codes and backends of sends.
func replies(t *testing.T, out []byte) (codes [][]int, sends []int) {
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

func TestListNumberUsedTwiceInABatch(t *testing.T) {
	tail := config + backend(7) + backend(8)
	list := func(off int) []byte {
		return event(267, 0, map[int]any{2: uint8(3), 3: uint32(off), 7: uint32(1)})
	}
	members := func(inst int) []byte {
		return event(257, inst, map[int]any{6: uint8(2), 11: uint8(3)})
	}
	in := batch(1, tail,
		list(len(config)), initial(1, 0), members(1),
		list(len(config)+22), initial(2, 0), members(2),
		request(1, 100), request(2, 100))
	var out bytes.Buffer
	if err := run(bytes.NewReader(append(batch(0, ""), in...)), &out); err != nil {
		t.Fatal(err)
	}
	codes, sends := replies(t, out.Bytes())
	if len(codes) != 2 || len(codes[0]) != 0 || len(sends) != 2 || sends[0] != 7 || sends[1] != 8 {
		t.Errorf("replies %v with sends to %v, want an empty one and sends to 7 and 8", codes, sends)
	}
}

func TestStopAndStartInOneBatch(t *testing.T) {
	in := append(batch(1, config, initial(1, 0)), batch(2, config, event(265, 1, nil), initial(1, 0), request(1, 5))...)
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if codes, _ := replies(t, out.Bytes()); len(codes) != 2 || len(codes[1]) != 1 || codes[1][0] != 257 {
		t.Errorf("replies %v, want the fresh instance to refuse for want of a backend", codes)
	}
}

// TestMain lets the test binary stand in for drill, to see its exit status.
func TestMain(m *testing.M) {
	if os.Getenv("DRILL") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func TestBadInputGivesOnePlainLineAndAStatus(t *testing.T) {
	whole := batch(4, config, initial(1, 0))
	for _, c := range []struct {
		name, want string
		in         []byte
	}{
		{"clean end", "", whole},
		{"cut frame", "cut short", whole[:40]},
		{"over-long frame", "longer than", []byte{255, 255, 255, 255}},
		{"unknown code", "code 999 is unknown", batch(4, "", event(999, 1, nil))},
		{"tail", "outside the tail", batch(4, "", initial(1, 0))},
		{"unknown instance", "instance 9 is unknown", batch(4, "", event(262, 9, nil))},
		{"no JSON", "settings", batch(4, strings.Repeat("x", len(config)), initial(1, 0))},
		{"no plans", "Config.MaxAttempts", batch(4, "{\"balancers\": 1}"+strings.Repeat(" ", len(config)), initial(1, 0))},
	} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "DRILL=1")
		cmd.Stdin = bytes.NewReader(c.in)
		var stderr bytes.Buffer
		cmd.Stderr = &stderr
		err := cmd.Run()
		var exit *exec.ExitError
		said := stderr.String()
		if c.want == "" {
			if err != nil || said != "" {
				t.Errorf("%s: %v, said %q; want exit 0 in silence", c.name, err, said)
			}
			continue
		}
		if !errors.As(err, &exit) || exit.ExitCode() != 1 || !strings.Contains(said, c.want) ||
			!strings.Contains(said, "batch") || strings.Count(said, "\n") != 1 {
			t.Errorf("%s: %v, said %q; want status 1 and one line that names the batch and says %q", c.name, err, said, c.want)
		}
	}
}

// A panic in the module becomes the fault of its instance.
func TestPanicBecomesFault(t *testing.T) {
	n := &instance{num: 3, reply: new(wire.Reply)}
	ev := wire.Event{Code: wire.CodeTimer}
	deliver(n, 0, &ev, nil) // no Gateway behind it: the call panics
	var out bytes.Buffer
	if err := n.reply.Write(&out, 1); err != nil {
		t.Error(err)
	}
	if codes, _ := replies(t, out.Bytes()); len(codes[0]) != 1 || codes[0][0] != 265 {
		t.Errorf("actions %v, want one fault", codes)
	}
}
