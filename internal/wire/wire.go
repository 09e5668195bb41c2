// Package wire encodes and decodes the simulator's protocol: frames, records and
// settings. It converts and validates only; decisions are made in package choice.
package wire

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"time"

	"wickarch/choice"
)

// Codes of event and action records, and sizes in bytes.
const (
	CodeInit      = 256
	CodeMembers   = 257
	CodeRequest   = 258
	CodeFirst     = 259
	CodeOutcome   = 260
	CodeGone      = 261 // the client has disconnected
	CodeTimer     = 262
	CodeProbed    = 263
	CodePeer      = 264
	CodeStop      = 265
	CodeCounted   = 266
	CodeList      = 267
	maxFrame      = 1 << 30
	batchHeader   = 16
	replyHeader   = 8
	eventSize     = 48
	actionSize    = 32
	backendSize   = 22
	codeSend      = 256
	codeRefuse    = 257
	codeFail      = 258
	codeCancel    = 259
	codeSetTimer  = 260
	codeProbe     = 261
	codeFault     = 265
	codeSubscribe = 266
)

var le = binary.LittleEndian

// A Batch is one frame of events, decoded record by record with At. Its contents are
// valid until the next call of ReadBatch.
type Batch struct {
	Now   time.Duration
	Seq   uint32
	Count int
	buf   []byte
	tail  []byte // variable-length data that records refer to
}

// ReadBatch reads one frame. It returns io.EOF if the input ends between frames.
func (b *Batch) ReadBatch(r io.Reader) error {
	var head [4]byte
	if n, err := io.ReadFull(r, head[:]); err != nil {
		if n == 0 && err == io.EOF {
			return io.EOF
		}
		return fmt.Errorf("batch after %d: frame length truncated after %d bytes", b.Seq, n)
	}
	size := le.Uint32(head[:])
	if size < batchHeader {
		return fmt.Errorf("batch after %d: frame of %d bytes is shorter than its header", b.Seq, size)
	}
	if size > maxFrame {
		return fmt.Errorf("batch after %d: frame of %d bytes is longer than the maximum of %d", b.Seq, size, maxFrame)
	}
	if cap(b.buf) < int(size) {
		b.buf = make([]byte, size+size/2)
	}
	b.buf = b.buf[:size]
	if n, err := io.ReadFull(r, b.buf); err != nil {
		return fmt.Errorf("batch after %d: frame truncated after %d of %d bytes", b.Seq, n, size)
	}
	now := getFloat(b.buf, 0)
	count := le.Uint32(b.buf[8:])
	b.Seq = le.Uint32(b.buf[12:])
	if !(math.Abs(now) < 1e12) {
		return fmt.Errorf("batch %d: timestamp %v ms is out of range", b.Seq, now)
	}
	b.Now = millis(now)
	if uint64(count)*eventSize > uint64(size-batchHeader) {
		return fmt.Errorf("batch %d: %d records do not fit into a frame of %d bytes", b.Seq, count, size)
	}
	b.Count = int(count)
	b.tail = b.buf[batchHeader+b.Count*eventSize:]
	return nil
}

// An Event is one decoded record; Code determines which fields are set.
type Event struct {
	Code     int
	Instance uint32
	Seed     uint64
	Config   []byte
	Kind     choice.ListKind
	List     int
	Backends []choice.Backend
	Request  choice.Request
	Outcome  choice.Outcome
	Probe    choice.ProbeResult
	ID       uint32
	Token    uint64
}

// At decodes record i into e. It reuses the Backends slice of e.
func (b *Batch) At(i int, e *Event) error {
	r := b.buf[batchHeader+i*eventSize:][:eventSize]
	e.Code = int(le.Uint16(r))
	e.Instance = le.Uint32(r[2:])
	fail := func(format string, args ...any) error {
		return fmt.Errorf("batch %d, record %d: %s", b.Seq, i, fmt.Sprintf(format, args...))
	}
	switch e.Code {
	case CodeInit:
		e.Seed = le.Uint64(r[6:])
		data, ok := b.resolve(r[14:], 1)
		if !ok {
			return fail("settings are outside the tail")
		}
		e.Config = data
	case CodeList:
		e.List = int(r[2])
		data, ok := b.resolve(r[3:], backendSize)
		if !ok {
			return fail("list of backends is outside the tail")
		}
		if e.List > 15 {
			return fail("list number %d is above 15", e.List)
		}
		e.Backends = e.Backends[:0]
		for ; len(data) > 0; data = data[backendSize:] {
			backend, err := decodeBackend(data)
			if err != nil {
				return fail("%v", err)
			}
			e.Backends = append(e.Backends, backend)
		}
	case CodeMembers:
		if r[6] > 3 {
			return fail("kind of list %d is unknown", r[6])
		}
		e.Kind, e.List = choice.ListKind(r[6]), int(r[11])
	case CodeRequest:
		e.Request = choice.Request{
			ID: le.Uint32(r[6:]), Class: int(r[10]), Plan: int(le.Uint32(r[11:])), Customer: le.Uint64(r[15:]),
			TimeLeft: millis(getFloat(r, 23)), Units: getFloat32(r, 31),
			Spread: int(getFloat32(r, 35)), First: int(getFloat32(r, 39)), ClientRetry: r[43]&2 != 0,
		}
	case CodeOutcome:
		st, ok := decodeStatus(le.Uint16(r[15:]))
		if !ok {
			return fail("outcome %d is unknown", le.Uint16(r[15:]))
		}
		used := le.Uint16(r[26:])
		e.Outcome = choice.Outcome{
			ID: le.Uint32(r[6:]), Attempt: int(r[10]), Backend: le.Uint32(r[11:]), Status: st,
			Elapsed: millis(getFloat(r, 17)), Done: r[25] != 0, Load: decodeLoad(r[30:]),
		}
		if used > 0 {
			e.Outcome.Metered, e.Outcome.Used = true, float64(used-1)/100
		}
	case CodeProbed:
		st, ok := decodeStatus(le.Uint16(r[14:]))
		if !ok {
			return fail("outcome %d is unknown", le.Uint16(r[14:]))
		}
		e.Probe = choice.ProbeResult{Backend: le.Uint32(r[16:]), Status: st, Elapsed: millis(getFloat(r, 6)), Load: decodeLoad(r[20:])}
	case CodeGone:
		e.ID = le.Uint32(r[6:])
	case CodeTimer:
		e.Token = le.Uint64(r[6:])
	case CodeFirst, CodePeer, CodeStop, CodeCounted:
	default:
		return fail("code %d is unknown", e.Code)
	}
	return nil
}

// resolve returns the part of the tail that a reference denotes: an offset and a count of items.
func (b *Batch) resolve(r []byte, itemSize uint64) ([]byte, bool) {
	off, n := uint64(le.Uint32(r)), uint64(le.Uint32(r[4:]))*itemSize
	if off+n > uint64(len(b.tail)) {
		return nil, false
	}
	return b.tail[off : off+n], true
}

func decodeBackend(d []byte) (choice.Backend, error) {
	backend := choice.Backend{
		ID: le.Uint32(d), Zone: int(d[4]), Kind: int(le.Uint16(d[5:])), Cell: int(le.Uint16(d[7:])),
		Weight: getFloat32(d, 10),
	}
	switch d[9] {
	case 0:
		backend.State = choice.Ready
	case 1:
		backend.State = choice.Removed
	case 2:
		backend.State = choice.Draining
	default:
		return backend, fmt.Errorf("state %d of backend %d is unknown", d[9], backend.ID)
	}
	if at := getFloat(d, 14); at != 0 {
		backend.Started, backend.StartKnown = millis(at), true
	}
	return backend, nil
}

func decodeLoad(r []byte) (l choice.Load) {
	l.N = min(int(r[0]), len(l.Values))
	for i := range l.N {
		l.Values[i] = getFloat32(r, 1+4*i)
	}
	return l
}

func decodeStatus(code uint16) (choice.Status, bool) {
	if code < 10 || code > 80 || code%10 != 0 {
		return 0, false
	}
	return choice.Status(code/10 - 1), true
}

func millis(ms float64) time.Duration {
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}

func getFloat(r []byte, at int) float64 { return math.Float64frombits(le.Uint64(r[at:])) }

func getFloat32(r []byte, at int) float64 { return float64(math.Float32frombits(le.Uint32(r[at:]))) }

// A Reply collects the actions taken in response to one batch.
type Reply struct {
	count   uint32
	records []byte
	tail    []byte
}

// Reset empties the reply.
func (p *Reply) Reset() { p.count, p.records, p.tail = 0, p.records[:0], p.tail[:0] }

func (p *Reply) record(code uint16, instance uint32) []byte {
	n := len(p.records)
	for range actionSize {
		p.records = append(p.records, 0)
	}
	r := p.records[n:]
	le.PutUint16(r, code)
	le.PutUint32(r[2:], instance)
	p.count++
	return r
}

// Send adds an action that starts an attempt at a backend.
func (p *Reply) Send(instance, id, backend uint32, timeout time.Duration) {
	r := p.record(codeSend, instance)
	le.PutUint32(r[6:], id)
	le.PutUint32(r[10:], backend)
	putMillis(r[14:], timeout)
}

// Refuse adds an action that refuses a request; the client may retry after the given time.
func (p *Reply) Refuse(instance, id uint32, after time.Duration) {
	r := p.record(codeRefuse, instance)
	le.PutUint32(r[6:], id)
	putMillis(r[10:], after)
}

// Fail adds an action that ends a request with an error.
func (p *Reply) Fail(instance, id uint32) { le.PutUint32(p.record(codeFail, instance)[6:], id) }

// Cancel adds an action that stops waiting for an attempt.
func (p *Reply) Cancel(instance, id uint32, attempt int) {
	r := p.record(codeCancel, instance)
	le.PutUint32(r[6:], id)
	r[10] = uint8(attempt)
}

// Probe adds an action that probes a backend.
func (p *Reply) Probe(instance, backend uint32) {
	le.PutUint32(p.record(codeProbe, instance)[6:], backend)
}

// SetTimer adds an action that starts a timer; the timer event carries token.
func (p *Reply) SetTimer(instance uint32, wait time.Duration, token uint64) {
	r := p.record(codeSetTimer, instance)
	putMillis(r[6:], wait)
	le.PutUint64(r[14:], token)
}

// Subscribe adds an action that subscribes an instance to changes of discovery.
func (p *Reply) Subscribe(instance uint32) { p.record(codeSubscribe, instance)[6] = 1 }

// Fault adds an action that reports an internal error of an instance's decision code.
func (p *Reply) Fault(instance uint32, message string) {
	r := p.record(codeFault, instance)
	le.PutUint32(r[6:], uint32(len(p.tail)))
	le.PutUint32(r[10:], uint32(len(message)))
	p.tail = append(p.tail, message...)
}

// Write writes the reply to batch seq as a single frame.
func (p *Reply) Write(w io.Writer, seq uint32) error {
	var h [4 + replyHeader]byte
	le.PutUint32(h[:], uint32(replyHeader+len(p.records)+len(p.tail)))
	le.PutUint32(h[4:], p.count)
	le.PutUint32(h[8:], seq)
	for _, part := range [][]byte{h[:], p.records, p.tail} {
		if _, err := w.Write(part); err != nil {
			return fmt.Errorf("reply to batch %d: %w", seq, err)
		}
	}
	return nil
}

func putMillis(r []byte, d time.Duration) {
	le.PutUint64(r, math.Float64bits(float64(d)/float64(time.Millisecond)))
}
