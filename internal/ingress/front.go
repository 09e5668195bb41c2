package ingress

import (
	"container/list"
	"errors"
	"fmt"
	"slices"
	"time"

	"wickarch/admission"
	"wickarch/internal/reactor"
)

const (
	acceptRetry  = 5 * time.Millisecond
	growAfter    = time.Second // without a failed accept, for one place back
	acceptBatch  = 64          // connections taken before the others have their turn
	partBatch    = 64          // connections closed that their clients have ended, likewise
	pacePause    = time.Millisecond
	readBatch    = 4 // reads from one connection before the others have theirs
	sharedBuffer = 64 << 10
)

// front holds the listener and the clients' connections. Connections at rest
// have no goroutine, no buffer and no timer.
type front struct {
	cfg       *Config
	loop      *loop
	ln        reactor.Listener // nil once no further connection is taken
	admission *admission.Controller[*client]
	clients   []*client // in no order
	buf       []byte    // read into by every connection in turn
	out       []byte    // written from by every connection in turn
	parting   []*client // at rest, and ended by their clients; closed in batches
	again     []*client // have more to read than their turn allows
	dirty     []*client // may have answers to write
	unwatched []*client // accepted, and the poller could not take them yet
	stalled   list.List // of *client: wait for their clients to read on, the longest first
	held      int       // bytes of answers that these are due
	accepted  uint64    // connections so far

	acceptable bool          // the listener may have more
	retryAt    time.Duration // accept failed, or had its batch: not before then; 0 when not
	growAt     time.Duration // a place is given back then; 0 when it has them all
	short      shortage
	partAt     time.Duration // the next batch of those parting comes no sooner
	lastLook   bool          // the listener closes once nothing waits in its queue
	draining   bool
	finished   bool          // takes no request but those that have come
	onHold     bool          // another process of this ingress takes the clients still
	empty      chan struct{} // closed when no further connection is taken and none is left
}

// newFront makes a front and opens its address.
func newFront(cfg *Config, l *loop) (*front, error) {
	limits := cfg.Options.Admission.Apply(cfg.Limits.admissionLimits())
	if limits.Places >= cfg.Limits.Sockets {
		return nil, fmt.Errorf("door.places: %d, with %d descriptors in all", limits.Places, cfg.Limits.Sockets)
	}
	d, err := admission.New[*client](limits)
	if err != nil {
		return nil, err
	}
	f := &front{cfg: cfg, loop: l, admission: d, buf: make([]byte, sharedBuffer), empty: make(chan struct{}),
		short: shortage{half: cfg.Limits.Sockets / 2}}
	address := cfg.Listen
	if cfg.InheritedListener != "" {
		address = cfg.InheritedListener
	}
	if f.ln, err = l.Listen(address, (*acceptor)(f)); err != nil {
		return nil, fmt.Errorf("clients: %w", err)
	}
	l.Add(f)
	return f, nil
}

// Round does what has gathered in one round.
func (f *front) Round() {
	again := f.again
	f.again = nil
	for _, c := range again {
		c.queued = false
		c.pump()
		if c.first != nil && c.first.body != nil {
			c.soil() // the rest of what its turn did not allow
		}
	}
	if f.loop.starved {
		f.loop.starved = false
		f.missedOne(f.loop.Now())
	}
	f.admitAndClose()
	f.flush()
	if f.ln == nil && len(f.clients)+len(f.unwatched) == 0 && f.empty != nil {
		close(f.empty)
		f.empty = nil
	}
}

// Next tells when there is something to do though nothing happens.
func (f *front) Next() (at time.Duration, any bool) {
	takes := f.acceptable && f.ln != nil && !f.onHold && !f.lastLook
	if len(f.again) > 0 || len(f.dirty) > 0 || takes && f.retryAt == 0 && f.admission.HasRoom() {
		return 0, true
	}
	earlier := func(t time.Duration, ok bool) {
		if ok && (!any || t < at) {
			at, any = t, true
		}
	}
	earlier(f.admission.NextDue(f.waiting()))
	earlier(f.retryAt, f.retryAt > 0)
	earlier(f.growAt, f.growAt > 0)
	earlier(f.short.trialAt, takes && f.admission.Shrunk())
	earlier(f.partAt, len(f.parting) > 0)
	return at, any
}

// waiting tells that a connection waits in the listener's queue and finds no room.
func (f *front) waiting() bool {
	return f.acceptable && f.ln != nil && !f.onHold && !f.admission.HasRoom()
}

// acceptor is told of the listener.
type acceptor front

// Ready notes that connections wait.
func (a *acceptor) Ready(reactor.Event) { a.acceptable = true }

// Ready takes what happened on a connection.
func (c *client) Ready(e reactor.Event) {
	f := c.front
	if e&(reactor.Gone|reactor.Ended) != 0 {
		// Told by the event and not by a read: while nothing is read, for all that
		// is due or for a pause, the end lies behind bytes that nobody waits for
		// any more, and what waits would be sent on though its client has left.
		if c.place.Idle() {
			// When thousands end at once, the events of the busy few stand among
			// theirs: to close each as it comes would hold those up.
			f.part(c)
		} else {
			c.close(closedByClient, nil)
		}
		return
	}
	if e&reactor.Writable != 0 && len(c.unwritten) > 0 {
		c.soil()
	}
	if e&reactor.Readable != 0 {
		c.readable = true
		c.pump()
	}
}

// later gives a connection a turn in the next round.
func (f *front) later(c *client) {
	if !c.queued {
		c.queued = true
		f.again = append(f.again, c)
	}
}

// part notes that a connection at rest is to be closed.
func (f *front) part(c *client) {
	if !c.parting {
		c.parting = true
		f.parting = append(f.parting, c)
	}
}

// closeParting closes a batch of those whose clients have ended them.
func (f *front) closeParting(now time.Duration) {
	if len(f.parting) == 0 || now < f.partAt {
		return
	}
	n := min(partBatch, len(f.parting))
	for i, c := range f.parting[:n] {
		c.close(closedByClient, nil)
		f.parting[i] = nil
	}
	if f.parting = f.parting[n:]; len(f.parting) == 0 {
		f.parting = nil
	}
	f.partAt = now + pacePause
}

// flush writes the answers that have become due. What all have to write in one
// round goes with one call for each.
func (f *front) flush() {
	for len(f.dirty) > 0 {
		dirty := f.dirty
		f.dirty = nil
		for _, c := range dirty {
			c.soiled = false
			c.settle()
		}
		if f.dirty == nil {
			f.dirty = dirty[:0]
			return
		}
	}
}

// admitAndClose takes new connections and closes those that the admission controller selects.
func (f *front) admitAndClose() {
	now := f.loop.Now()
	if f.retryAt > 0 && now >= f.retryAt {
		f.retryAt = 0
	}
	if f.growAt > 0 && now >= f.growAt {
		f.growAt = 0
		if f.admission.Grow() {
			f.growAt = now + growAfter
		}
	}
	f.closeParting(now)
	f.watchAgain(now)
	f.accept(now)
	f.admission.Due(now, f.waiting(), func(p *admission.Place[*client]) bool { return p.Owner.dismiss() })
	if f.acceptable && !f.lastLook {
		f.accept(now) // in the places that have become free
	}
}

func (f *front) accept(now time.Duration) {
	if f.lastLook {
		f.takeRest(now)
		return
	}
	if len(f.unwatched) > 0 { // the poller could take no further one either
		return
	}
	for n := 0; f.acceptable && f.ln != nil && !f.onHold && f.retryAt == 0 && (f.admission.HasRoom() || f.tries(now)); n++ {
		if n == acceptBatch {
			f.retryAt = now + pacePause
			return
		}
		nc, err := f.ln.Accept()
		switch {
		case err == nil:
			f.add(nc, now)
			f.hadOne()
		case errors.Is(err, reactor.ErrWait):
			f.acceptable = false
		case errors.Is(err, reactor.ErrFiles): // the next ones wait in the queue
			f.loop.events.acceptFailed(err)
			f.missedOne(now)
		default:
			f.loop.events.acceptFailed(err)
			f.retryAt = now + acceptRetry
		}
	}
}

// tries tells whether a connection is to be taken beyond the places that a shortage has left.
func (f *front) tries(now time.Duration) bool { return f.admission.Shrunk() && f.short.due(now) }

// watchAgain has the poller watch the connections that it could not take.
func (f *front) watchAgain(now time.Duration) {
	if f.retryAt > 0 {
		return
	}
	waiting := f.unwatched
	f.unwatched = nil
	for _, c := range waiting {
		f.begin(c, now)
	}
}

// hadOne notes that a connection was to be had, and gives the places back where that shows that
// descriptors are not short.
func (f *front) hadOne() {
	switch over := f.short.over(f.heldNow()); {
	case !f.admission.Shrunk():
	case over:
		f.admission.Restore()
		f.growAt = 0
	case !f.admission.HasRoom():
		f.short.postpone(f.loop.Now())
	}
}

// heldNow is how many connections the process holds.
func (f *front) heldNow() int { return len(f.clients) + len(f.unwatched) + f.loop.pool.Open() }

// missedOne notes that no descriptor, or no memory for one, was to be had.
func (f *front) missedOne(now time.Duration) {
	f.retryAt = now + acceptRetry
	if f.short.own(now, f.heldNow()) {
		f.shrink(now)
	}
}

// shrink takes note that the process's descriptors have run out: the admission controller keeps to what there
// is, and closes one at rest in place of what was wanted.
func (f *front) shrink(now time.Duration) {
	f.admission.Shrink()
	f.growAt = now + growAfter
	f.admission.Due(now, true, func(p *admission.Place[*client]) bool { return p.Owner.dismiss() })
}

// add serves a new connection.
func (f *front) add(nc reactor.Conn, now time.Duration) {
	f.accepted++
	c := &client{front: f, net: nc, number: f.accepted}
	c.place.Owner, c.timer.Owner = c, c
	f.begin(c, now)
}

// begin has the poller watch a connection and serves it. Where the poller can't, the connection waits:
// it may hold a request by now.
func (f *front) begin(c *client, now time.Duration) {
	if err := c.net.Watch(c); err != nil {
		f.loop.events.watchFailed(c, err)
		f.unwatched = append(f.unwatched, c)
		f.missedOne(now)
		return
	}
	c.index, c.readBy, c.timed = len(f.clients), now+firstPatience, true
	f.loop.events.connectionAccepted(c)
	f.clients = append(f.clients, c)
	f.admission.Admit(&c.place, now)
	c.arm()
	if f.finished { // it has waited in the queue: what it holds is all that is taken
		c.finish()
	}
}

// leave forgets a connection that is closed.
func (f *front) leave(c *client) {
	last := len(f.clients) - 1
	moved := f.clients[last]
	f.clients[c.index], moved.index = moved, c.index
	f.clients[last] = nil
	f.clients = f.clients[:last]
}

// unstall takes a connection off those that wait for their clients to read on.
func (f *front) unstall(c *client) {
	if c.stall != nil {
		f.stalled.Remove(c.stall)
		c.stall = nil
	}
}

// drain makes each connection close as soon as it has nothing open.
func (f *front) drain() {
	f.draining = true
	f.admission.Drain()
}

// resume ends a drain. Connections that have been ended by then stay so.
func (f *front) resume() {
	f.draining = false
	f.admission.Resume()
}

// closeListener ends the taking of connections. Those that wait in its queue are
// taken before, room or not: the end of the listener would reset them, with the
// requests that may lie in them. On an inherited socket they wait for whoever
// holds it next.
func (f *front) closeListener() {
	if f.ln == nil {
		return
	}
	if f.cfg.InheritedListener != "" || f.onHold {
		f.endListener()
		return
	}
	f.lastLook = true
	f.takeRest(f.loop.Now())
}

// takeRest takes all that waits, and closes the listener once nothing does. While accept fails it is
// tried again.
func (f *front) takeRest(now time.Duration) {
	for f.retryAt == 0 && f.ln != nil {
		nc, err := f.ln.Accept()
		switch {
		case err == nil:
			f.add(nc, now)
		case errors.Is(err, reactor.ErrWait):
			f.endListener()
		default:
			f.loop.events.acceptFailed(err)
			f.retryAt = now + acceptRetry
		}
	}
}

func (f *front) endListener() {
	f.ln.Close()
	f.ln = nil
}

// finish ends the taking of requests: what has come whole by now is answered, and
// then each connection ends. What is taken later could not be answered in full
// before the process has to be gone, and clients send for as long as they may.
func (f *front) finish() {
	f.finished = true
	for _, c := range slices.Clone(f.clients) {
		c.finish()
	}
}
