// Package admission limits the number of client connections of an ingress, and
// selects those to close when places, the connections that may be open at once,
// run short.
//
// Idle connections cost little until then, but they would keep out clients that
// have requests to send. A [Controller] tracks every connection in one of three
// states: silent (it has never sent a request), busy (it has a request open, part
// of a command, or an answer that is not written) and idle. It never selects busy
// ones. The others are closed least recently used first, after a timeout that
// gets shorter the fewer places are free.
//
// The package does no I/O, starts no goroutine and reads no clock: the owner
// reports events with their times, and closes what [Controller.SelectDue] selects.
// All operations take constant time, whatever the number of connections.
package admission

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Limits are the limits that a Controller enforces. All counts are of connections.
type Limits struct {
	// Places is the maximum number of open connections. With none left, new ones
	// wait in the listener's queue.
	Places int
	// Spare is how many places are kept free: from Places-Spare on, silent
	// connections are closed, so that a new one finds a place.
	Spare int

	// The next four limits count connections that have sent a request. Useful is
	// the maximum that clients can hold: a limit on their side may be below
	// Places, and past it they get no further connection. High is the high-water
	// mark: above it idle connections are closed until at most Low are left.
	// Up to Floor of them none is closed, however short places are.
	Useful, High, Low, Floor int

	// IdleMax is the idle timeout just above High, IdleMin that with Useful or
	// all Places taken. In between the timeout falls exponentially.
	IdleMax, IdleMin time.Duration
	// SilentMax and SilentMin are the same for the timeout of a connection's
	// first request, from Places-Spare taken to no place left.
	SilentMax, SilentMin time.Duration

	// Batch is the maximum number of connections closed at a time, and Pause the
	// time between two batches: closing tens of thousands at once would delay
	// the others.
	Batch int
	Pause time.Duration
}

// Check returns an error for the first invalid limit. Up to the colon its text is the
// key in the configuration file, or the common prefix of two keys.
func (l Limits) Check() error {
	switch {
	case l.Places < 1:
		return fmt.Errorf("places: %d, want at least 1", l.Places)
	case l.Spare < 0 || l.Spare >= l.Places:
		return fmt.Errorf("spare: %d, want 0 to %d", l.Spare, l.Places-1)
	case l.Floor < 0 || l.Low < l.Floor:
		return fmt.Errorf("floor: %d, want 0 to %d (the low-water mark)", l.Floor, l.Low)
	case l.High < l.Low:
		return fmt.Errorf("low: %d, want at most %d (the high-water mark)", l.Low, l.High)
	case l.Useful < l.High || l.Useful > l.Places:
		return fmt.Errorf("useful: %d, want %d (the high-water mark) to %d (the places)", l.Useful, l.High, l.Places)
	case l.IdleMin <= 0 || l.IdleMax < l.IdleMin:
		return errors.New("rest: the minimum must be above 0 and at most the maximum")
	case l.SilentMin <= 0 || l.SilentMax < l.SilentMin:
		return errors.New("silent: the minimum must be above 0 and at most the maximum")
	case l.Batch < 1 || l.Pause <= 0:
		return errors.New("batch: want at least 1, and a pause above 0")
	}
	return nil
}

// Defaults returns the limits for this number of places, of which clients can hold
// useful ones with requests.
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
	unmanaged state = iota // not admitted yet, or released
	silent
	busy
	idle
	evicting // selected by SelectDue; holds its place until Release
)

// Conn is the record of one connection. The zero Conn is ready for
// [Controller.Admit]. Owner belongs to the caller; this package never reads it.
type Conn[T any] struct {
	Owner T

	prev, next *Conn[T]
	since      time.Duration // time of arrival, or of the last use
	state      state
	requested  bool // has sent a request
}

// Idle reports whether the connection has nothing open.
func (p *Conn[T]) Idle() bool { return p.state == idle || p.state == silent }

// Evicting reports whether SelectDue has selected the connection.
func (p *Conn[T]) Evicting() bool { return p.state == evicting }

// lruList is a list of connections, the least recently used first.
type lruList[T any] struct {
	first, last *Conn[T]
}

func (q *lruList[T]) push(p *Conn[T]) {
	p.prev, p.next = q.last, nil
	if q.last != nil {
		q.last.next = p
	} else {
		q.first = p
	}
	q.last = p
}

func (q *lruList[T]) remove(p *Conn[T]) {
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

// Controller admits connections and selects those to close. Times are on one
// monotonic clock of the owner's and must not go back.
type Controller[T any] struct {
	limits     Limits
	configured Limits // limits before any Shrink
	silent     lruList[T]
	idle       lruList[T]
	remaining  int // all but those that are evicting
	evicting   int // selected by SelectDue, not released yet
	requested  int // of remaining, those that have sent a request
	trimming   bool
	draining   bool
	nextBatch  time.Duration // earliest time of the next batch
	growStep   int           // places that the last Grow restored; 0 after Shrink
	closed     Closed
}

// Closed counts the connections that SelectDue has selected, by cause.
type Closed struct {
	Silent  uint64 // never sent a request, and places ran short
	Full    uint64 // idle, and no place was left
	Trimmed uint64 // idle, above the high-water mark
	Drained uint64 // the ingress drains
}

// New returns a controller, or the error of [Limits.Check].
func New[T any](l Limits) (*Controller[T], error) {
	if err := l.Check(); err != nil {
		return nil, fmt.Errorf("admission: %w", err)
	}
	return &Controller[T]{limits: l, configured: l}, nil
}

// Admit registers a new connection, which takes a place.
func (c *Controller[T]) Admit(conn *Conn[T], now time.Duration) {
	conn.state, conn.since, conn.requested = silent, now, false
	c.silent.push(conn)
	c.remaining++
}

// MarkBusy records that a connection has something open. requested tells whether it
// is a request: part of a command, or input that is no request, leaves the
// connection silent.
func (c *Controller[T]) MarkBusy(conn *Conn[T], requested bool) {
	switch conn.state {
	case unmanaged, evicting:
		return
	case silent:
		c.silent.remove(conn)
	case idle:
		c.idle.remove(conn)
	}
	conn.state = busy
	if requested && !conn.requested {
		conn.requested = true
		c.requested++
	}
}

// MarkIdle records that a connection has nothing open any more. One that has never
// sent a request counts as silent from its arrival, so that malformed input does
// not extend its timeout.
func (c *Controller[T]) MarkIdle(conn *Conn[T], now time.Duration) {
	if conn.state != busy {
		return
	}
	if !conn.requested {
		conn.state = silent
		c.reinsertSilent(conn)
		return
	}
	conn.state, conn.since = idle, now
	c.idle.push(conn)
}

// reinsertSilent puts a connection back into the silent list, in order of arrival.
// It searches from the end: most connections that send something do so soon after
// arrival, so that their position is near the end.
func (c *Controller[T]) reinsertSilent(conn *Conn[T]) {
	after := c.silent.last
	for steps := 0; after != nil && after.since > conn.since; steps++ {
		if steps == maxInsertSteps {
			// Bounds the search: so far back the exact position does not matter.
			// The connection goes to the front, among the first to be closed.
			after = nil
			break
		}
		after = after.prev
	}
	if after == c.silent.last {
		c.silent.push(conn)
		return
	}
	conn.prev = after
	if after != nil {
		conn.next, after.next = after.next, conn
	} else {
		conn.next, c.silent.first = c.silent.first, conn
	}
	conn.next.prev = conn
}

const maxInsertSteps = 64

// Release frees the place of a closed connection.
func (c *Controller[T]) Release(conn *Conn[T]) {
	switch conn.state {
	case unmanaged:
		return
	case silent:
		c.silent.remove(conn)
	case idle:
		c.idle.remove(conn)
	case evicting:
		c.evicting--
		conn.state = unmanaged
		return
	}
	c.removeFromCounts(conn)
	conn.state = unmanaged
}

// addToCounts adds a connection to the counts.
func (c *Controller[T]) addToCounts(conn *Conn[T]) {
	c.remaining++
	if conn.requested {
		c.requested++
	}
}

// removeFromCounts removes a connection from the counts.
func (c *Controller[T]) removeFromCounts(conn *Conn[T]) {
	c.remaining--
	if conn.requested {
		c.requested--
	}
}

// HasRoom reports whether another connection may be accepted. Those that are
// evicting count, as they still hold their descriptors.
func (c *Controller[T]) HasRoom() bool { return c.remaining+c.evicting < c.limits.Places }

// Drain makes SelectDue select every connection that has nothing open, from now on.
// Silent ones still have SilentMax for a request, as clients still arrive.
func (c *Controller[T]) Drain() { c.draining = true }

// Resume ends a drain: the limits apply again.
func (c *Controller[T]) Resume() { c.draining = false }

// Shrink lowers Places to what the process can get, after it has run out of
// descriptors with the connections that are open now. An eighth is left for all
// other descriptors: with none left, neither a backend could be reached nor the
// configuration read. The other limits follow in proportion. While more
// connections are open than the lowered limit, Shrink does nothing. Places does
// not go below one.
func (c *Controller[T]) Shrink() {
	c.growStep = 0
	if open := c.remaining + c.evicting; open <= c.limits.Places {
		c.setPlaces(max(1, open-1-open/8))
	}
}

// Grow restores some of the places that Shrink removed, and reports whether more
// are missing. The shortage of descriptors may have been short: each successive
// call restores twice as many, so that clients do not wait for minutes for places
// that are available. A step too far costs another Shrink.
func (c *Controller[T]) Grow() (more bool) {
	c.growStep = max(2*c.growStep, 1+c.limits.Places/growDivisor)
	c.setPlaces(min(c.configured.Places, c.limits.Places+c.growStep))
	return c.limits.Places < c.configured.Places
}

const growDivisor = 64

// Restore undoes all shrinking, once descriptors have turned out not to be short.
func (c *Controller[T]) Restore() {
	c.growStep = 0
	c.setPlaces(c.configured.Places)
}

// Shrunk reports whether there are fewer places than configured.
func (c *Controller[T]) Shrunk() bool { return c.limits.Places < c.configured.Places }

// setPlaces changes the number of places. The other limits are scaled with it: a
// floor as high as all places would admit no new connection.
func (c *Controller[T]) setPlaces(places int) {
	scaled := c.configured
	for _, limit := range []*int{&scaled.Spare, &scaled.Useful, &scaled.High, &scaled.Low, &scaled.Floor} {
		*limit = *limit * places / scaled.Places
	}
	scaled.Places = places
	c.limits = scaled
}

// SelectDue selects the connections to close now, at most a batch, and calls
// closeConn for each. waiting tells that a client waits to be accepted and there is
// no room. The owner calls SelectDue after events, and at NextDue at the latest. A
// selected connection holds its place until Release, unless closeConn finds that
// something has arrived on it and returns true: then it stays and counts as busy,
// and the owner calls MarkBusy or MarkIdle once it has read the input.
func (c *Controller[T]) SelectDue(now time.Duration, waiting bool, closeConn func(*Conn[T]) (keep bool)) {
	if now < c.nextBatch {
		return
	}
	for range c.limits.Batch {
		conn, cause := c.selectNext(now, waiting)
		if conn == nil {
			return
		}
		c.removeFromCounts(conn)
		c.evicting++
		conn.state = evicting
		if closeConn(conn) {
			c.evicting--
			c.addToCounts(conn)
			conn.state = busy
			continue
		}
		*cause++
	}
	c.nextBatch = now + c.limits.Pause
}

// selectNext removes the connection that is to be closed first from its list. It
// returns nil if none is due, and otherwise also the counter for the cause.
func (c *Controller[T]) selectNext(now time.Duration, waiting bool) (*Conn[T], *uint64) {
	if c.draining {
		if p := c.silent.first; p != nil && now-p.since >= c.limits.SilentMax {
			return c.popFirst(&c.silent, &c.closed.Drained)
		}
		return c.popFirst(&c.idle, &c.closed.Drained)
	}
	if p := c.silent.first; p != nil && c.spareExhausted(waiting) && now-p.since >= c.silentTimeout() {
		return c.popFirst(&c.silent, &c.closed.Silent)
	}
	p := c.idle.first
	if p == nil || c.requested <= c.limits.Floor {
		return nil, nil
	}
	if c.updateTrimming() && now-p.since >= c.idleTimeout() {
		return c.popFirst(&c.idle, &c.closed.Trimmed)
	}
	if (c.clientBlocked(waiting) || c.remaining > c.limits.Places) && now-p.since >= c.limits.IdleMin {
		return c.popFirst(&c.idle, &c.closed.Full)
	}
	return nil, nil
}

func (c *Controller[T]) popFirst(q *lruList[T], cause *uint64) (*Conn[T], *uint64) {
	p := q.first
	if p != nil {
		q.remove(p)
	}
	return p, cause
}

// updateTrimming reports whether idle connections are closed down to the low-water
// mark. This starts above the high-water mark.
func (c *Controller[T]) updateTrimming() bool {
	if c.requested > c.limits.High {
		c.trimming = true
	} else if c.requested <= c.limits.Low {
		c.trimming = false
	}
	return c.trimming
}

// spareExhausted reports whether fewer than Spare places are free.
func (c *Controller[T]) spareExhausted(waiting bool) bool {
	return c.remaining > c.limits.Places-c.limits.Spare || c.clientBlocked(waiting)
}

// clientBlocked reports whether a client waits for a place, and no connection that
// is evicting will free one.
func (c *Controller[T]) clientBlocked(waiting bool) bool {
	return waiting && c.evicting == 0 && c.remaining >= c.limits.Places
}

// idleTimeout returns how long a connection may be idle now.
func (c *Controller[T]) idleTimeout() time.Duration {
	lim := &c.limits
	return interpolate(lim.IdleMax, lim.IdleMin, c.requested-lim.High, lim.Useful-lim.High)
}

// silentTimeout returns how long a connection may go without a first request now.
func (c *Controller[T]) silentTimeout() time.Duration {
	lim := &c.limits
	return interpolate(lim.SilentMax, lim.SilentMin, c.remaining-(lim.Places-lim.Spare), lim.Spare)
}

// interpolate falls exponentially from longest to shortest as used grows from 0 to
// total.
func interpolate(longest, shortest time.Duration, used, total int) time.Duration {
	switch {
	case used >= total:
		return shortest
	case used <= 0:
		return longest
	}
	fraction := float64(used) / float64(total)
	return max(shortest, time.Duration(float64(longest)*math.Pow(float64(shortest)/float64(longest), fraction)))
}

// NextDue returns when SelectDue will have a connection to select if no other event
// comes before; ok is false if there will be none.
func (c *Controller[T]) NextDue(waiting bool) (at time.Duration, ok bool) {
	consider := func(t time.Duration) {
		t = max(t, c.nextBatch)
		if !ok || t < at {
			at, ok = t, true
		}
	}
	if c.draining {
		if p := c.silent.first; p != nil {
			consider(p.since + c.limits.SilentMax)
		}
		if c.idle.first != nil {
			consider(c.nextBatch)
		}
		return at, ok
	}
	if p := c.silent.first; p != nil && c.spareExhausted(waiting) {
		consider(p.since + c.silentTimeout())
	}
	if p := c.idle.first; p != nil && c.requested > c.limits.Floor {
		if c.updateTrimming() {
			consider(p.since + c.idleTimeout())
		}
		if c.clientBlocked(waiting) || c.remaining > c.limits.Places {
			consider(p.since + c.limits.IdleMin)
		}
	}
	return at, ok
}

// Stats holds the counts of a controller.
type Stats struct {
	Open      int  // connections that hold a place, including those evicting
	Requested int  // of these, those that have sent a request and are not evicting
	Evicting  int  // selected by SelectDue, not released yet
	Trimming  bool // above the high-water mark, or not yet down to the low one
	Places    int  // current limit, after Shrink and Grow
	Closed    Closed
}

// Stats returns the current counts.
func (c *Controller[T]) Stats() Stats {
	return Stats{Open: c.remaining + c.evicting, Requested: c.requested, Evicting: c.evicting, Trimming: c.trimming,
		Places: c.limits.Places, Closed: c.closed}
}
