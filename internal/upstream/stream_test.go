package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"wickarch/choice"
	"wickarch/internal/reactor"
	"wickarch/internal/reactor/simnet"
	"wickarch/internal/resp"
)

// reader reads a stream at its own pace, as a client's connection does.
type reader struct {
	*testbed
	*Stream
	got      []byte
	err      error // from Read, at the end of the stream
	notified int   // calls of the function set by Notify
	maxRead  int
	paused   bool
}

// stream begins an attempt, has the backend write the first bytes of text, a reply with
// a value of size bytes, and returns the stream's reader and the rest of text.
func (b *testbed) stream(size, first int, text []byte) (*reader, []byte) {
	b.Helper()
	b.begin("x")
	b.run(5 * ms)
	b.sendAll(text[:first])
	if len(b.outcomes) != 1 || b.outcomes[0].reply.Stream == nil {
		b.Fatalf("outcomes %+v, want one with a stream", b.outcomes)
	}
	r := &reader{testbed: b, Stream: b.outcomes[0].reply.Stream, maxRead: 1000}
	if r.Size() != size {
		b.Fatalf("Size() = %d, want %d", r.Size(), size)
	}
	b.wantStatuses(choice.OK)
	r.Notify(func() { r.notified++; b.ingressNode.Loop.Post(r.readAvailable) })
	b.inLoop(r.readAvailable)
	return r, text[first:]
}

// sendAll has the backend write all of text, as its buffer allows.
func (b *testbed) sendAll(text []byte) {
	b.Helper()
	for writes := 0; len(text) > 0; writes++ {
		n, err := b.backend.conns[0].Write(text)
		if text = text[n:]; err != nil && err != reactor.ErrWouldBlock || writes > 10_000 {
			b.Fatal(err)
		}
		b.run(10 * ms)
	}
}

func (r *reader) readAvailable() {
	for r.err == nil && !r.paused {
		buf := make([]byte, 1+r.net.Rand.IntN(r.maxRead))
		n, err := r.Read(buf)
		r.got = append(r.got, buf[:n]...)
		if errors.Is(err, reactor.ErrWouldBlock) {
			return
		}
		r.err = err
	}
}

// largeReply returns a random value of size bytes, and a reply with it that ends in tail.
func largeReply(size int, tail string) (value, text []byte) {
	value = make([]byte, size)
	for i := range value {
		value[i] = byte(rand.Uint32())
	}
	return value, append(append(fmt.Appendf(nil, "*3\r\n$%d\r\n", size), value...), tail...)
}

const trailerText = "\r\n$7\r\nused=50\r\n$-1\r\n"

// Guards against values that are corrupted when the network splits them at any byte, and
// against usage reports that are lost or undated.
func TestStreamDeliversValueAndTrailer(t *testing.T) {
	for seed := range uint64(30) {
		b := newTestbed(t)
		b.net.Rand = rand.New(rand.NewPCG(seed, 1))
		b.net.Faults = simnet.Faults{Latency: ms / 2, Jitter: ms, Cut: 0.3, ShortSend: 0.3, Buffer: 5000 + b.net.Rand.IntN(60_000)}
		size := resp.MaxValue + 1 + b.net.Rand.IntN(200_000)
		value, text := largeReply(size, trailerText)
		r, rest := b.stream(size, 20+b.net.Rand.IntN(4000), text)
		peer := b.backend.conns[0]
		for len(rest) > 0 && r.err == nil {
			n, err := peer.Write(rest[:min(len(rest), 1+b.net.Rand.IntN(30_000))])
			if rest = rest[n:]; err != nil && err != reactor.ErrWouldBlock {
				t.Fatal(err)
			}
			b.run(time.Duration(b.net.Rand.Int64N(int64(20 * ms))))
		}
		b.run(200 * ms)
		if r.err != io.EOF || !bytes.Equal(r.got, value) {
			t.Fatalf("seed %d: read %d bytes of %d, or other bytes; the stream ended with %v, want EOF", seed, len(r.got), size, r.err)
		}
		if len(b.trailers) != 1 || !b.trailers[0].Metered || b.trailers[0].Used != 0.5 || b.trailers[0].Age <= 0 {
			t.Fatalf("seed %d: trailers %+v, want one with a usage of 0.5 and an age", seed, b.trailers)
		}
		if b.Open() != 0 {
			t.Fatalf("seed %d: the connection of a large value stays open", seed)
		}
	}
}

// A value that is longer or shorter than announced, or that ends or stalls early, must
// end in ErrBroken and never in io.EOF.
func TestIncompleteStreamIsBroken(t *testing.T) {
	const size = resp.MaxValue + 5000
	_, valid := largeReply(size, trailerText)
	_, longer := largeReply(size, "x"+trailerText)
	_, shorter := largeReply(size, "")
	shorter = append(shorter[:len(shorter)-1], trailerText...)
	for name, c := range map[string]struct {
		text  []byte
		after func(b *testbed, peer *backendConn)
	}{
		"longer than announced":    {longer, nil},
		"shorter than announced":   {shorter, nil},
		"end within the value":     {valid[:size/2], func(_ *testbed, peer *backendConn) { peer.CloseWrite() }},
		"end before the trailer":   {valid[:len(valid)-len(trailerText)], func(_ *testbed, peer *backendConn) { peer.CloseWrite() }},
		"reset within the value":   {valid[:size/2], func(b *testbed, _ *backendConn) { b.backendNode.Kill() }},
		"stall within the value":   {valid[:size/2], func(b *testbed, _ *backendConn) { b.run(streamStallTimeout + ms) }},
		"stall before the trailer": {valid[:len(valid)-len(trailerText)], func(b *testbed, _ *backendConn) { b.run(streamStallTimeout + ms) }},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t)
			r, rest := b.stream(size, 1000, c.text)
			b.sendAll(rest)
			b.run(20 * ms)
			if c.after != nil {
				if r.err != nil {
					t.Fatalf("the stream ended before the fault: %v", r.err)
				}
				c.after(b, b.backend.conns[0])
			}
			b.run(20 * ms)
			if r.err != ErrBroken {
				t.Errorf("the stream ended with %v, want ErrBroken", r.err)
			}
			if b.Open() != 0 || len(b.outcomes) != 0 {
				t.Errorf("%d connections stay open, further outcomes %v; want none", b.Open(), b.outcomes)
			}
		})
	}
}

// While the reader pauses, nothing is read from the backend and the stall timeout does not
// run; afterwards the stream continues where it was.
func TestStreamWaitsForItsReader(t *testing.T) {
	const size = 1 << 20
	b := newTestbed(t)
	b.net.Faults.Buffer = 20_000
	value, text := largeReply(size, trailerText)
	b.begin("x")
	b.run(5 * ms)
	peer := b.backend.conns[0]
	n, _ := peer.Write(text[:15_000])
	rest := text[n:]
	b.run(5 * ms)
	r := &reader{testbed: b, Stream: b.outcomes[0].reply.Stream, maxRead: 1000, paused: true}
	r.Notify(func() { b.ingressNode.Loop.Post(r.readAvailable) })
	for range 100 {
		n, _ := peer.Write(rest)
		rest = rest[n:]
		b.run(streamStallTimeout / 50)
	}
	if taken := len(text) - len(rest); taken > streamBuffer+20_000 {
		t.Fatalf("%d bytes were taken from the backend while the reader paused", taken)
	}
	b.backend.onData = nil
	r.paused = false
	b.inLoop(r.readAvailable)
	for len(rest) > 0 {
		n, _ := peer.Write(rest)
		rest = rest[n:]
		b.run(2 * ms)
	}
	b.run(20 * ms)
	if r.err != io.EOF || !bytes.Equal(r.got, value) {
		t.Fatalf("read %d bytes, or other bytes than sent; the stream ended with %v, want EOF", len(r.got), r.err)
	}
}

func TestStreamCloseClosesItsConnection(t *testing.T) {
	b := newTestbed(t)
	_, text := largeReply(resp.MaxValue+1, trailerText)
	r, _ := b.stream(resp.MaxValue+1, 500, text)
	b.inLoop(r.Close)
	b.run(5 * ms)
	if b.Open() != 0 || !b.backend.conns[0].closed {
		t.Errorf("%d connections stay open, want 0; the backend sees the end: %v, want true", b.Open(), b.backend.conns[0].closed)
	}
	if n, err := r.Read(make([]byte, 10)); n != 0 || err != ErrBroken {
		t.Errorf("Read after Close returns %d, %v; want 0, ErrBroken", n, err)
	}
	b.inLoop(r.Close)
}
