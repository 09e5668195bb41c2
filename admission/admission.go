// Package admission decides which connections keep their places at an ingress.
//
// Connections at rest cost little until places run short; then they keep out
// the clients that have something to ask. The door knows every connection in
// one of three states: silent (it has never asked for anything), busy (it has a
// request open, part of a command, or an answer that is not written) and at
// rest. Busy ones are never closed by it. The others go, the least recently
// used first, by how scarce the places are.
//
// Like package choice it does no I/O, starts no goroutine and reads no clock:
// the owner tells it what happens and when, and closes what Due names. All
// operations take constant time, whatever the number of connections.
package admission

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Marks are the bounds that a door keeps. All counts are of connections.
type Marks struct {
	// Places is how many there may be at once. With none left, the next ones
	// wait in the listener's queue.
	Places int
	// Spare of the places are kept free: from Places-Spare on, connections that
	// say nothing are closed, so that one that comes finds a place.
	Spare int

	// Useful is how many of those that have asked their clients can hold; they
	// may have bounds of their own, below Places, and find no connection past
	// it. High is the high-water mark: with more than so many, those at rest
	// are closed until no more than Low are left. Floor is the count up to
	// which none that has asked is closed, however short places are.
	Useful, High, Low, Floor int

	// RestMost is how long a connection rests before it may be closed while
	// just above High; RestLeast when Useful or all Places are taken. In
	// between, the time shrinks evenly in its logarithm.
	RestMost, RestLeast time.Duration
	// SilentMost and SilentLeast are the same for the time that a connection
	// has for its first request, from Places-Spare on to no place left.
	SilentMost, SilentLeast time.Duration

	// Batch is how many are closed at a time, and Pause the time between two
	// batches: closing tens of thousands at once would hold up the others.
	Batch int
	Pause time.Duration
}

// Check tells what is wrong with the marks, naming the field.
func (m Marks) Check() error {
	switch {
	case m.Places < 1:
		return fmt.Errorf("places: %d, want 1 or more", m.Places)
	case m.Spare < 0 || m.Spare >= m.Places:
		return fmt.Errorf("spare: %d, want 0 to %d", m.Spare, m.Places-1)
	case m.Floor < 0 || m.Low < m.Floor:
		return fmt.Errorf("floor: %d, want 0 to the low mark, %d", m.Floor, m.Low)
	case m.High < m.Low:
		return fmt.Errorf("low: %d, want no more than the high mark, %d", m.Low, m.High)
	case m.Useful < m.High || m.Useful > m.Places:
		return fmt.Errorf("useful: %d, want %d (the high mark) to %d (the places)", m.Useful, m.High, m.Places)
	case m.RestLeast <= 0 || m.RestMost < m.RestLeast:
		return errors.New("rest: the least time must be above 0 and not above the most")
	case m.SilentLeast <= 0 || m.SilentMost < m.SilentLeast:
		return errors.New("silent: the least time must be above 0 and not above the most")
	case m.Batch < 1 || m.Pause <= 0:
		return errors.New("batch: at least 1, with a pause above 0")
	}
	return nil
}

// Defaults are marks for so many places, of which clients can hold useful ones
// for requests.
func Defaults(places, useful int) Marks {
	useful = min(places, max(1, useful))
	high := useful / 2
	return Marks{
		Places: places, Spare: places / 16,
		Useful: useful, High: high, Low: high - high/8, Floor: high / 2,
		RestMost: 2 * time.Second, RestLeast: 50 * time.Millisecond,
		SilentMost: 250 * time.Millisecond, SilentLeast: 50 * time.Millisecond,
		Batch: 64, Pause: time.Millisecond,
	}
}

type state uint8

const (
	away state = iota
	silent
	busy
	resting
	leaving // named by Due; still holds its place until Leave
)

// Place is a connection's place at the door. The zero Place is ready for
// Enter. Owner is the owner's; the door does not touch it.
type Place[T any] struct {
	Owner T

	prev, next *Place[T]
	since      time.Duration // when it came, or was last used
	state      state
	asked      bool
}

// Resting tells whether the place is at rest: nothing is open on it.
func (p *Place[T]) Resting() bool { return p.state == resting || p.state == silent }

// Leaving tells whether Due has named it.
func (p *Place[T]) Leaving() bool { return p.state == leaving }

// queue is a list of places, the longest unused first.
type queue[T any] struct {
	first, last *Place[T]
}

func (q *queue[T]) push(p *Place[T]) {
	p.prev, p.next = q.last, nil
	if q.last != nil {
		q.last.next = p
	} else {
		q.first = p
	}
	q.last = p
}

func (q *queue[T]) remove(p *Place[T]) {
	if p.prev != nil {
		p.prev.next = p.next
	} else {
		q.first = p.next
	}
	if p.next != nil {
		p.next.prev = p.prev
	} else {
		q.last = p.prev
	}
	p.prev, p.next = nil, nil
}

// Door keeps the places. Times are on one monotonic clock of the owner's, and
// must not go back.
type Door[T any] struct {
	marks    Marks
	want     Marks // before any Shrink
	silent   queue[T]
	resting  queue[T]
	count    int // all but those that are leaving
	leaving  int // named by Due, not gone yet
	asked    int // of count, those that have asked
	trimming bool
	draining bool
	next     time.Duration // the next batch comes no sooner
	step     int           // places that Grow gave back last, since Shrink
	closed   Closed
}

// Closed counts the connections that Due has named, by cause.
type Closed struct {
	Silent  uint64 // never asked, and places ran short
	Full    uint64 // at rest, and no place was left
	Trimmed uint64 // at rest, above the high-water mark
	Drained uint64 // the ingress ends
}

// New makes a door. It returns the error of Marks.Check.
func New[T any](m Marks) (*Door[T], error) {
	if err := m.Check(); err != nil {
		return nil, fmt.Errorf("door: %w", err)
	}
	return &Door[T]{marks: m, want: m}, nil
}

// Enter gives a new connection its place.
func (d *Door[T]) Enter(p *Place[T], now time.Duration) {
	p.state, p.since, p.asked = silent, now, false
	d.silent.push(p)
	d.count++
}

// Work marks that a connection has something open. asked tells whether it is a
// request; part of a command, or what is no request, earns no standing.
func (d *Door[T]) Work(p *Place[T], asked bool) {
	switch p.state {
	case away, leaving:
		return
	case silent:
		d.silent.remove(p)
	case resting:
		d.resting.remove(p)
	}
	p.state = busy
	if asked && !p.asked {
		p.asked = true
		d.asked++
	}
}

// Rest marks that a connection has nothing open any more. One that has never
// asked counts as silent from when it came: nonsense buys no time.
func (d *Door[T]) Rest(p *Place[T], now time.Duration) {
	if p.state != busy {
		return
	}
	if !p.asked {
		p.state = silent
		d.insert(p)
		return
	}
	p.state, p.since = resting, now
	d.resting.push(p)
}

// insert puts a place back among the silent ones in order of its coming. It
// looks from the end that is likely nearer: those that speak do so early.
func (d *Door[T]) insert(p *Place[T]) {
	after := d.silent.last
	for steps := 0; after != nil && after.since > p.since; steps++ {
		if steps == insertSteps {
			// Bounded: so far back, the exact place does not matter. It goes to
			// the front, among the first to be closed.
			after = nil
			break
		}
		after = after.prev
	}
	if after == d.silent.last {
		d.silent.push(p)
		return
	}
	p.prev = after
	if after != nil {
		p.next, after.next = after.next, p
	} else {
		p.next, d.silent.first = d.silent.first, p
	}
	p.next.prev = p
}

const insertSteps = 64

// Leave frees the place of a connection that is closed.
func (d *Door[T]) Leave(p *Place[T]) {
	switch p.state {
	case away:
		return
	case silent:
		d.silent.remove(p)
	case resting:
		d.resting.remove(p)
	case leaving:
		d.leaving--
		p.state = away
		return
	}
	d.out(p)
	p.state = away
}

// in puts a place on the counts.
func (d *Door[T]) in(p *Place[T]) {
	d.count++
	if p.asked {
		d.asked++
	}
}

// out takes a place off the counts.
func (d *Door[T]) out(p *Place[T]) {
	d.count--
	if p.asked {
		d.asked--
	}
}

// Room tells whether a further connection may be taken. Those that are leaving
// hold their descriptors still.
func (d *Door[T]) Room() bool { return d.count+d.leaving < d.marks.Places }

// Drain makes Due name every connection that has nothing open, from now on.
// Those that have not asked yet keep SilentMost for it: clients still come.
func (d *Door[T]) Drain() { d.draining = true }

// Resume ends a drain: from now on connections are judged by the marks again.
func (d *Door[T]) Resume() { d.draining = false }

// Shrink lowers the places to what the process has turned out to get: it ran
// out of descriptors with so many connections open. An eighth is left to all
// else that needs one; with none left, neither a backend could be reached nor
// the configuration read. The other marks follow. While more are open than the
// places already lowered, it does nothing. Places do not go below one.
func (d *Door[T]) Shrink() {
	d.step = 0
	if open := d.count + d.leaving; open <= d.marks.Places {
		d.set(max(1, open-1-open/8))
	}
}

// Grow gives back some of the places that Shrink took, and tells whether more
// are missing. The descriptors may have been short for a moment alone: each time
// in a row it gives back twice as many, so that clients do not wait for minutes
// for places that are there. One that does not last costs a further Shrink.
func (d *Door[T]) Grow() (more bool) {
	d.step = max(2*d.step, 1+d.marks.Places/growParts)
	d.set(min(d.want.Places, d.marks.Places+d.step))
	return d.marks.Places < d.want.Places
}

const growParts = 64

// set changes the places. The other marks keep their shares of them: a floor as
// high as all places would let nobody in.
func (d *Door[T]) set(places int) {
	m := d.want
	for _, mark := range []*int{&m.Spare, &m.Useful, &m.High, &m.Low, &m.Floor} {
		*mark = *mark * places / m.Places
	}
	m.Places = places
	d.marks = m
}

// Due names the connections to be closed now. waiting tells that one waits to
// be taken and finds no room. The owner calls it after what happened, and at
// Next at the latest. A connection named holds its place until Leave, unless
// closing finds that something has come on it and returns true: then it stays,
// counts as busy, and the owner tells Work or Rest once it has looked.
func (d *Door[T]) Due(now time.Duration, waiting bool, closing func(*Place[T]) (stays bool)) {
	if now < d.next {
		return
	}
	named := 0
	for ; named < d.marks.Batch; named++ {
		p, cause := d.pick(now, waiting)
		if p == nil {
			return
		}
		d.out(p)
		d.leaving++
		p.state = leaving
		if closing(p) {
			d.leaving--
			d.in(p)
			p.state = busy
			continue
		}
		*cause++
	}
	d.next = now + d.marks.Pause
}

// pick takes the one connection off its list that is to be closed first, and
// tells which count its closing belongs to.
func (d *Door[T]) pick(now time.Duration, waiting bool) (*Place[T], *uint64) {
	if d.draining {
		if p := d.silent.first; p != nil && now-p.since >= d.marks.SilentMost {
			return d.take(&d.silent, &d.closed.Drained)
		}
		return d.take(&d.resting, &d.closed.Drained)
	}
	if p := d.silent.first; p != nil && d.short(waiting) && now-p.since >= d.silentTime() {
		return d.take(&d.silent, &d.closed.Silent)
	}
	p := d.resting.first
	if p == nil || d.asked <= d.marks.Floor {
		return nil, nil
	}
	if d.trim() && now-p.since >= d.restTime() {
		return d.take(&d.resting, &d.closed.Trimmed)
	}
	if (d.full(waiting) || d.count > d.marks.Places) && now-p.since >= d.marks.RestLeast {
		return d.take(&d.resting, &d.closed.Full)
	}
	return nil, nil
}

func (d *Door[T]) take(q *queue[T], cause *uint64) (*Place[T], *uint64) {
	p := q.first
	if p != nil {
		q.remove(p)
	}
	return p, cause
}

// trim tells whether those at rest are closed down to the low-water mark.
func (d *Door[T]) trim() bool {
	if d.asked > d.marks.High {
		d.trimming = true
	} else if d.asked <= d.marks.Low {
		d.trimming = false
	}
	return d.trimming
}

// short tells whether fewer places are free than are to be kept free.
func (d *Door[T]) short(waiting bool) bool {
	return d.count > d.marks.Places-d.marks.Spare || d.full(waiting)
}

// full tells whether one waits for a place that none of those leaving will free.
func (d *Door[T]) full(waiting bool) bool {
	return waiting && d.leaving == 0 && d.count >= d.marks.Places
}

// restTime is how long a connection may rest now.
func (d *Door[T]) restTime() time.Duration {
	m := &d.marks
	return between(m.RestMost, m.RestLeast, d.asked-m.High, m.Useful-m.High)
}

// silentTime is how long a connection may go without its first request now.
func (d *Door[T]) silentTime() time.Duration {
	m := &d.marks
	return between(m.SilentMost, m.SilentLeast, d.count-(m.Places-m.Spare), m.Spare)
}

// between goes from one time to a shorter one, evenly in the logarithm, as
// taken goes from 0 to all.
func between(most, least time.Duration, taken, all int) time.Duration {
	switch {
	case taken >= all:
		return least
	case taken <= 0:
		return most
	}
	part := float64(taken) / float64(all)
	return max(least, time.Duration(float64(most)*math.Pow(float64(least)/float64(most), part)))
}

// Next tells when Due will have something to name, if nothing else happens
// before; false while nothing will.
func (d *Door[T]) Next(waiting bool) (at time.Duration, any bool) {
	note := func(t time.Duration) {
		t = max(t, d.next)
		if !any || t < at {
			at, any = t, true
		}
	}
	if d.draining {
		if p := d.silent.first; p != nil {
			note(p.since + d.marks.SilentMost)
		}
		if d.resting.first != nil {
			note(d.next)
		}
		return at, any
	}
	if p := d.silent.first; p != nil && d.short(waiting) {
		note(p.since + d.silentTime())
	}
	if p := d.resting.first; p != nil && d.asked > d.marks.Floor {
		if d.trim() {
			note(p.since + d.restTime())
		}
		if d.full(waiting) || d.count > d.marks.Places {
			note(p.since + d.marks.RestLeast)
		}
	}
	return at, any
}

// Figures are what an operator watches.
type Figures struct {
	Open    int  // connections that hold a place, those leaving among them
	Asked   int  // of these, those that have asked and are not leaving
	Leaving int  // closed by the door, not gone yet
	Trim    bool // above the high-water mark, or not yet down to the low one
	Places  int  // as shrunk
	Closed  Closed
}

// Figures tells the counts as they are now.
func (d *Door[T]) Figures() Figures {
	return Figures{Open: d.count + d.leaving, Asked: d.asked, Leaving: d.leaving, Trim: d.trimming,
		Places: d.marks.Places, Closed: d.closed}
}
