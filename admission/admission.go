// Package admission decides which connections keep their places at an ingress.
//
// Idle connections cost little until places run short; then they keep out the
// clients that have something to ask. A [Controller] knows every connection in
// one of three states: silent (it has never sent a request), busy (it has a
// request open, part of a command, or an answer that is not written) and idle.
// It never closes busy ones. The others are closed least recently used first, the
// sooner the fewer places are free.
//
// The package does no I/O, starts no goroutine and reads no clock: the owner
// reports events with their times, and closes what [Controller.SelectDue] selects. All
// operations take constant time, whatever the number of connections.
package admission

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Limits are the bounds that a Controller keeps. All counts are of connections.
type Limits struct {
	// Places is how many there may be at once. With none left, the next ones
	// wait in the listener's queue.
	Places int
	// Spare of the places are kept free: from Places-Spare on, connections that
	// say nothing are closed, so that one that comes finds a place.
	Spare int

	// Useful is how many of those that have asked their clients can hold; they
	// may have bounds of their own, below Places, and find no connection past
	// it. High is the high-water mark: with more than so many, idle ones
	// are closed until no more than Low are left. Floor is the count up to
	// which none that has asked is closed, however short places are.
	Useful, High, Low, Floor int

	// IdleMax is how long a connection is idle before it may be closed while
	// just above High; IdleMin when Useful or all Places are taken. In
	// between, the time shrinks evenly in its logarithm.
	IdleMax, IdleMin time.Duration
	// SilentMax and SilentMin are the same for the time that a connection
	// has for its first request, from Places-Spare on to no place left.
	SilentMax, SilentMin time.Duration

	// Batch is how many are closed at a time, and Pause the time between two
	// batches: closing tens of thousands at once would hold up the others.
	Batch int
	Pause time.Duration
}

// Check tells what is wrong with the limits, naming the field.
func (l Limits) Check() error {
	switch {
	case l.Places < 1:
		return fmt.Errorf("places: %d, want 1 or more", l.Places)
	case l.Spare < 0 || l.Spare >= l.Places:
		return fmt.Errorf("spare: %d, want 0 to %d", l.Spare, l.Places-1)
	case l.Floor < 0 || l.Low < l.Floor:
		return fmt.Errorf("floor: %d, want 0 to the low mark, %d", l.Floor, l.Low)
	case l.High < l.Low:
		return fmt.Errorf("low: %d, want no more than the high mark, %d", l.Low, l.High)
	case l.Useful < l.High || l.Useful > l.Places:
		return fmt.Errorf("useful: %d, want %d (the high mark) to %d (the places)", l.Useful, l.High, l.Places)
	case l.IdleMin <= 0 || l.IdleMax < l.IdleMin:
		return errors.New("rest: the least time must be above 0 and not above the most")
	case l.SilentMin <= 0 || l.SilentMax < l.SilentMin:
		return errors.New("silent: the least time must be above 0 and not above the most")
	case l.Batch < 1 || l.Pause <= 0:
		return errors.New("batch: at least 1, with a pause above 0")
	}
	return nil
}

// Defaults are limits for so many places, of which clients can hold useful ones
// for requests.
func Defaults(places, useful int) Limits {
	useful = min(places, max(1, useful))
	high := useful / 2
	return Limits{
		Places: places, Spare: places / 16,
		Useful: useful, High: high, Low: high - high/8, Floor: high / 2,
		IdleMax: 2 * time.Second, IdleMin: 50 * time.Millisecond,
		SilentMax: 250 * time.Millisecond, SilentMin: 50 * time.Millisecond,
		Batch: 64, Pause: time.Millisecond,
	}
}

type state uint8

const (
	absent state = iota
	silent
	busy
	idle
	leaving // selected by Due; holds its place until Release
)

// Conn is the record of one connection. The zero Conn is ready for
// [Controller.Admit]. Owner is the caller's and is never read here.
type Conn[T any] struct {
	Owner T

	prev, next *Conn[T]
	since      time.Duration // when it came, or was last used
	state      state
	asked      bool
}

// Idle reports whether nothing is open on the connection.
func (p *Conn[T]) Idle() bool { return p.state == idle || p.state == silent }

// Evicting reports whether SelectDue has selected it.
func (p *Conn[T]) Evicting() bool { return p.state == leaving }

// queue is a list of places, the longest unused first.
type queue[T any] struct {
	first, last *Conn[T]
}

func (q *queue[T]) push(p *Conn[T]) {
	p.prev, p.next = q.last, nil
	if q.last != nil {
		q.last.next = p
	} else {
		q.first = p
	}
	q.last = p
}

func (q *queue[T]) remove(p *Conn[T]) {
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

// Controller decides which connections are closed. Times are on one monotonic clock of the owner's, and
// must not go back.
type Controller[T any] struct {
	limits   Limits
	want     Limits // before any Shrink
	silent   queue[T]
	idle     queue[T]
	count    int // all but those that are leaving
	leaving  int // selected by Due, not released yet
	asked    int // of count, those that have asked
	trimming bool
	draining bool
	next     time.Duration // the next batch comes no sooner
	step     int           // places that Grow gave back last, since Shrink
	closed   Closed
}

// Closed counts the connections that Due has selected, by cause.
type Closed struct {
	Silent  uint64 // never asked, and places ran short
	Full    uint64 // idle, and no place was left
	Trimmed uint64 // idle, above the high-water mark
	Drained uint64 // the ingress ends
}

// New makes a controller. It returns the error of [Limits.Check].
func New[T any](l Limits) (*Controller[T], error) {
	if err := l.Check(); err != nil {
		return nil, fmt.Errorf("admission: %w", err)
	}
	return &Controller[T]{limits: l, want: l}, nil
}

// Admit gives a new connection its place.
func (c *Controller[T]) Admit(p *Conn[T], now time.Duration) {
	p.state, p.since, p.asked = silent, now, false
	c.silent.push(p)
	c.count++
}

// MarkBusy records that a connection has something open. asked says whether that is
// a request: part of a command, or what is no request, leaves the connection silent.
func (c *Controller[T]) MarkBusy(p *Conn[T], asked bool) {
	switch p.state {
	case absent, leaving:
		return
	case silent:
		c.silent.remove(p)
	case idle:
		c.idle.remove(p)
	}
	p.state = busy
	if asked && !p.asked {
		p.asked = true
		c.asked++
	}
}

// MarkIdle records that a connection has nothing open any more. One that has never
// sent a request counts as silent from its arrival: malformed input buys no time.
func (c *Controller[T]) MarkIdle(p *Conn[T], now time.Duration) {
	if p.state != busy {
		return
	}
	if !p.asked {
		p.state = silent
		c.insert(p)
		return
	}
	p.state, p.since = idle, now
	c.idle.push(p)
}

// insert puts a place back among the silent ones in order of its coming. It
// looks from the end that is likely nearer: those that speak do so early.
func (c *Controller[T]) insert(p *Conn[T]) {
	after := c.silent.last
	for steps := 0; after != nil && after.since > p.since; steps++ {
		if steps == insertSteps {
			// Bounded: so far back, the exact place does not matter. It goes to
			// the front, among the first to be closed.
			after = nil
			break
		}
		after = after.prev
	}
	if after == c.silent.last {
		c.silent.push(p)
		return
	}
	p.prev = after
	if after != nil {
		p.next, after.next = after.next, p
	} else {
		p.next, c.silent.first = c.silent.first, p
	}
	p.next.prev = p
}

const insertSteps = 64

// Release frees the place of a connection that is closed.
func (c *Controller[T]) Release(p *Conn[T]) {
	switch p.state {
	case absent:
		return
	case silent:
		c.silent.remove(p)
	case idle:
		c.idle.remove(p)
	case leaving:
		c.leaving--
		p.state = absent
		return
	}
	c.countOut(p)
	p.state = absent
}

// countIn puts a place on the counts.
func (c *Controller[T]) countIn(p *Conn[T]) {
	c.count++
	if p.asked {
		c.asked++
	}
}

// countOut takes a place off the counts.
func (c *Controller[T]) countOut(p *Conn[T]) {
	c.count--
	if p.asked {
		c.asked--
	}
}

// HasRoom tells whether a further connection may be taken. Those that are leaving
// hold their descriptors still.
func (c *Controller[T]) HasRoom() bool { return c.count+c.leaving < c.limits.Places }

// Drain makes Due select every connection that has nothing open, from now on.
// Those that have not asked yet keep SilentMax for it: clients still come.
func (c *Controller[T]) Drain() { c.draining = true }

// Resume ends a drain: from now on connections are judged by the limits again.
func (c *Controller[T]) Resume() { c.draining = false }

// Shrink lowers the places to what the process has turned out to get: it ran
// out of descriptors with so many connections open. An eighth is left to all
// else that needs one; with none left, neither a backend could be reached nor
// the configuration read. The other limits follow. While more are open than the
// places already lowered, it does nothing. Places do not go below one.
func (c *Controller[T]) Shrink() {
	c.step = 0
	if open := c.count + c.leaving; open <= c.limits.Places {
		c.set(max(1, open-1-open/8))
	}
}

// Grow gives back some of the places that Shrink took, and tells whether more
// are missing. The descriptors may have been short for a moment alone: each time
// in a row it gives back twice as many, so that clients do not wait for minutes
// for places that are there. One that does not last costs a further Shrink.
func (c *Controller[T]) Grow() (more bool) {
	c.step = max(2*c.step, 1+c.limits.Places/growParts)
	c.set(min(c.want.Places, c.limits.Places+c.step))
	return c.limits.Places < c.want.Places
}

const growParts = 64

// Restore takes all shrinking back: descriptors have turned out not to be short.
func (c *Controller[T]) Restore() {
	c.step = 0
	c.set(c.want.Places)
}

// Shrunk tells whether there are fewer places than the limits allow.
func (c *Controller[T]) Shrunk() bool { return c.limits.Places < c.want.Places }

// set changes the places. The other limits keep their shares of them: a floor as
// high as all places would let nobody in.
func (c *Controller[T]) set(places int) {
	m := c.want
	for _, mark := range []*int{&m.Spare, &m.Useful, &m.High, &m.Low, &m.Floor} {
		*mark = *mark * places / m.Places
	}
	m.Places = places
	c.limits = m
}

// SelectDue selects the connections to be closed now. waiting tells that one waits to
// be taken and finds no room. The owner calls it after what happened, and at
// NextDue at the latest. A connection selected holds its place until Release, unless
// closing finds that something has come on it and returns true: then it stays,
// counts as busy, and the owner calls MarkBusy or MarkIdle once it has looked.
func (c *Controller[T]) SelectDue(now time.Duration, waiting bool, closing func(*Conn[T]) (stays bool)) {
	if now < c.next {
		return
	}
	for range c.limits.Batch {
		p, cause := c.pick(now, waiting)
		if p == nil {
			return
		}
		c.countOut(p)
		c.leaving++
		p.state = leaving
		if closing(p) {
			c.leaving--
			c.countIn(p)
			p.state = busy
			continue
		}
		*cause++
	}
	c.next = now + c.limits.Pause
}

// pick takes the one connection off its list that is to be closed first, and
// tells which count its closing belongs to.
func (c *Controller[T]) pick(now time.Duration, waiting bool) (*Conn[T], *uint64) {
	if c.draining {
		if p := c.silent.first; p != nil && now-p.since >= c.limits.SilentMax {
			return c.take(&c.silent, &c.closed.Drained)
		}
		return c.take(&c.idle, &c.closed.Drained)
	}
	if p := c.silent.first; p != nil && c.scarce(waiting) && now-p.since >= c.silentTime() {
		return c.take(&c.silent, &c.closed.Silent)
	}
	p := c.idle.first
	if p == nil || c.asked <= c.limits.Floor {
		return nil, nil
	}
	if c.trim() && now-p.since >= c.idleTime() {
		return c.take(&c.idle, &c.closed.Trimmed)
	}
	if (c.full(waiting) || c.count > c.limits.Places) && now-p.since >= c.limits.IdleMin {
		return c.take(&c.idle, &c.closed.Full)
	}
	return nil, nil
}

func (c *Controller[T]) take(q *queue[T], cause *uint64) (*Conn[T], *uint64) {
	p := q.first
	if p != nil {
		q.remove(p)
	}
	return p, cause
}

// trim reports whether idle connections are closed down to the low-water mark.
func (c *Controller[T]) trim() bool {
	if c.asked > c.limits.High {
		c.trimming = true
	} else if c.asked <= c.limits.Low {
		c.trimming = false
	}
	return c.trimming
}

// scarce tells whether fewer places are free than are to be kept free.
func (c *Controller[T]) scarce(waiting bool) bool {
	return c.count > c.limits.Places-c.limits.Spare || c.full(waiting)
}

// full tells whether one waits for a place that none of those leaving will free.
func (c *Controller[T]) full(waiting bool) bool {
	return waiting && c.leaving == 0 && c.count >= c.limits.Places
}

// idleTime is how long a connection may be idle now.
func (c *Controller[T]) idleTime() time.Duration {
	m := &c.limits
	return interpolate(m.IdleMax, m.IdleMin, c.asked-m.High, m.Useful-m.High)
}

// silentTime is how long a connection may go without its first request now.
func (c *Controller[T]) silentTime() time.Duration {
	m := &c.limits
	return interpolate(m.SilentMax, m.SilentMin, c.count-(m.Places-m.Spare), m.Spare)
}

// interpolate goes from one time to a shorter one, evenly in the logarithm, as
// taken goes from 0 to all.
func interpolate(most, least time.Duration, taken, all int) time.Duration {
	switch {
	case taken >= all:
		return least
	case taken <= 0:
		return most
	}
	part := float64(taken) / float64(all)
	return max(least, time.Duration(float64(most)*math.Pow(float64(least)/float64(most), part)))
}

// NextDue tells when Due will have something to select, if nothing else happens
// before; false while nothing will.
func (c *Controller[T]) NextDue(waiting bool) (at time.Duration, any bool) {
	note := func(t time.Duration) {
		t = max(t, c.next)
		if !any || t < at {
			at, any = t, true
		}
	}
	if c.draining {
		if p := c.silent.first; p != nil {
			note(p.since + c.limits.SilentMax)
		}
		if c.idle.first != nil {
			note(c.next)
		}
		return at, any
	}
	if p := c.silent.first; p != nil && c.scarce(waiting) {
		note(p.since + c.silentTime())
	}
	if p := c.idle.first; p != nil && c.asked > c.limits.Floor {
		if c.trim() {
			note(p.since + c.idleTime())
		}
		if c.full(waiting) || c.count > c.limits.Places {
			note(p.since + c.limits.IdleMin)
		}
	}
	return at, any
}

// Stats are what an operator watches.
type Stats struct {
	Open      int  // connections that hold a place, those leaving among them
	Requested int  // of these, those that have asked and are not leaving
	Evicting  int  // selected to be closed, not released yet
	Trimming  bool // above the high-water mark, or not yet down to the low one
	Places    int  // as shrunk
	Closed    Closed
}

// Stats tells the counts as they are now.
func (c *Controller[T]) Stats() Stats {
	return Stats{Open: c.count + c.leaving, Requested: c.asked, Evicting: c.leaving, Trimming: c.trimming,
		Places: c.limits.Places, Closed: c.closed}
}
