// Package wire is the codec of the simulator's wire: frames, records and the
// settings. It translates and checks; it decides nothing.
package wire

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"time"

	"wickarch/choice"
)

// Codes of the event records.
const (
	CodeInit      = 256
	CodeMembers   = 257
	CodeRequest   = 258
	CodeFirst     = 259
	CodeOutcome   = 260
	CodeGone      = 261
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
	entrySize     = 22
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

// A Batch is one frame of events, decoded record by record with At. It is
// valid until the next ReadBatch into it.
type Batch struct {
	Now   time.Duration
	Seq   uint32
	Count int
	buf   []byte
	tail  []byte
}

// ReadBatch reads one frame. It returns io.EOF at a clean end of input.
func (b *Batch) ReadBatch(r io.Reader) error {
	var head [4]byte
	if n, err := io.ReadFull(r, head[:]); err != nil {
		if n == 0 && err == io.EOF {
			return io.EOF
		}
		return fmt.Errorf("batch after %d: frame length cut short after %d bytes", b.Seq, n)
	}
	size := le.Uint32(head[:])
	if size < batchHeader {
		return fmt.Errorf("batch after %d: frame of %d bytes is shorter than its header", b.Seq, size)
	}
	if size > maxFrame {
		return fmt.Errorf("batch after %d: frame of %d bytes is longer than %d", b.Seq, size, maxFrame)
	}
	if cap(b.buf) < int(size) {
		b.buf = make([]byte, size+size/2)
	}
	b.buf = b.buf[:size]
	if n, err := io.ReadFull(r, b.buf); err != nil {
		return fmt.Errorf("batch after %d: frame cut short, %d of %d bytes", b.Seq, n, size)
	}
	now := getFloat(b.buf, 0)
	count := le.Uint32(b.buf[8:])
	b.Seq = le.Uint32(b.buf[12:])
	if !(math.Abs(now) < 1e12) {
		return fmt.Errorf("batch %d: clock of %v ms is no time", b.Seq, now)
	}
	b.Now = millis(now)
	if uint64(count)*eventSize > uint64(size-batchHeader) {
		return fmt.Errorf("batch %d: %d records do not fit a frame of %d bytes", b.Seq, count, size)
	}
	b.Count = int(count)
	b.tail = b.buf[batchHeader+b.Count*eventSize:]
	return nil
}

// An Event is one decoded record; which fields hold depends on Code.
type Event struct {
	Code     int
	Inst     uint32
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

// At decodes record i into e, whose Backends slice is reused.
func (b *Batch) At(i int, e *Event) error {
	r := b.buf[batchHeader+i*eventSize:][:eventSize]
	e.Code = int(le.Uint16(r))
	e.Inst = le.Uint32(r[2:])
	fail := func(format string, args ...any) error {
		return fmt.Errorf("batch %d, record %d: %s", b.Seq, i, fmt.Sprintf(format, args...))
	}
	switch e.Code {
	case CodeInit:
		e.Seed = le.Uint64(r[6:])
		data, ok := b.ref(r[14:], 1)
		if !ok {
			return fail("settings lie outside the tail")
		}
		e.Config = data
	case CodeList:
		e.List = int(r[2])
		data, ok := b.ref(r[3:], entrySize)
		if !ok {
			return fail("list of backends lies outside the tail")
		}
		if e.List > 15 {
			return fail("list number %d is above 15", e.List)
		}
		e.Backends = e.Backends[:0]
		for ; len(data) > 0; data = data[entrySize:] {
			m, err := entry(data)
			if err != nil {
				return fail("%v", err)
			}
			e.Backends = append(e.Backends, m)
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
		st, ok := status(le.Uint16(r[15:]))
		if !ok {
			return fail("outcome %d is unknown", le.Uint16(r[15:]))
		}
		used := le.Uint16(r[26:])
		e.Outcome = choice.Outcome{
			ID: le.Uint32(r[6:]), Attempt: int(r[10]), Backend: le.Uint32(r[11:]), Status: st,
			Elapsed: millis(getFloat(r, 17)), Done: r[25] != 0, Load: load(r[30:]),
		}
		if used > 0 {
			e.Outcome.Metered, e.Outcome.Used = true, float64(used-1)/100
		}
	case CodeProbed:
		st, ok := status(le.Uint16(r[14:]))
		if !ok {
			return fail("outcome %d is unknown", le.Uint16(r[14:]))
		}
		e.Probe = choice.ProbeResult{Backend: le.Uint32(r[16:]), Status: st, Elapsed: millis(getFloat(r, 6)), Load: load(r[20:])}
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

// ref resolves a reference into the tail: an offset and a count of items.
func (b *Batch) ref(r []byte, item uint64) ([]byte, bool) {
	off, n := uint64(le.Uint32(r)), uint64(le.Uint32(r[4:]))*item
	if off+n > uint64(len(b.tail)) {
		return nil, false
	}
	return b.tail[off : off+n], true
}

func entry(d []byte) (choice.Backend, error) {
	m := choice.Backend{
		ID: le.Uint32(d), Zone: int(d[4]), Kind: int(le.Uint16(d[5:])), Cell: int(le.Uint16(d[7:])),
		Weight: getFloat32(d, 10),
	}
	switch d[9] {
	case 0:
		m.State = choice.Ready
	case 1:
		m.State = choice.Removed
	case 2:
		m.State = choice.Draining
	default:
		return m, fmt.Errorf("state %d of backend %d is unknown", d[9], m.ID)
	}
	if at := getFloat(d, 14); at != 0 {
		m.Started, m.StartKnown = millis(at), true
	}
	return m, nil
}

func load(r []byte) (l choice.Load) {
	l.N = min(int(r[0]), len(l.Values))
	for i := range l.N {
		l.Values[i] = getFloat32(r, 1+4*i)
	}
	return l
}

func status(code uint16) (choice.Status, bool) {
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

// A Reply collects the actions that answer one batch.
type Reply struct {
	count uint32
	recs  []byte
	tail  []byte
}

// Reset empties the reply.
func (p *Reply) Reset() { p.count, p.recs, p.tail = 0, p.recs[:0], p.tail[:0] }

func (p *Reply) record(code uint16, inst uint32) []byte {
	n := len(p.recs)
	for range actionSize {
		p.recs = append(p.recs, 0)
	}
	r := p.recs[n:]
	le.PutUint16(r, code)
	le.PutUint32(r[2:], inst)
	p.count++
	return r
}

// Send starts an attempt.
func (p *Reply) Send(inst, id, backend uint32, timeout time.Duration) {
	r := p.record(codeSend, inst)
	le.PutUint32(r[6:], id)
	le.PutUint32(r[10:], backend)
	putMillis(r[14:], timeout)
}

// Refuse declines a request.
func (p *Reply) Refuse(inst, id uint32, after time.Duration) {
	r := p.record(codeRefuse, inst)
	le.PutUint32(r[6:], id)
	putMillis(r[10:], after)
}

// Fail fails a request.
func (p *Reply) Fail(inst, id uint32) { le.PutUint32(p.record(codeFail, inst)[6:], id) }

// Cancel stops the wait for an attempt.
func (p *Reply) Cancel(inst, id uint32, attempt int) {
	r := p.record(codeCancel, inst)
	le.PutUint32(r[6:], id)
	r[10] = uint8(attempt)
}

// Probe checks a backend.
func (p *Reply) Probe(inst, backend uint32) { le.PutUint32(p.record(codeProbe, inst)[6:], backend) }

// After asks for a timer.
func (p *Reply) After(inst uint32, wait time.Duration, token uint64) {
	r := p.record(codeSetTimer, inst)
	putMillis(r[6:], wait)
	le.PutUint64(r[14:], token)
}

// Subscribe asks discovery for changes.
func (p *Reply) Subscribe(inst uint32) { p.record(codeSubscribe, inst)[6] = 1 }

// Fault declares that the decisions of an instance have failed.
func (p *Reply) Fault(inst uint32, what string) {
	r := p.record(codeFault, inst)
	le.PutUint32(r[6:], uint32(len(p.tail)))
	le.PutUint32(r[10:], uint32(len(what)))
	p.tail = append(p.tail, what...)
}

// Write writes the reply to batch seq as one frame.
func (p *Reply) Write(w io.Writer, seq uint32) error {
	var h [4 + replyHeader]byte
	le.PutUint32(h[:], uint32(replyHeader+len(p.recs)+len(p.tail)))
	le.PutUint32(h[4:], p.count)
	le.PutUint32(h[8:], seq)
	for _, part := range [][]byte{h[:], p.recs, p.tail} {
		if _, err := w.Write(part); err != nil {
			return fmt.Errorf("reply to batch %d: %w", seq, err)
		}
	}
	return nil
}

func putMillis(r []byte, d time.Duration) {
	le.PutUint64(r, math.Float64bits(float64(d)/float64(time.Millisecond)))
}
