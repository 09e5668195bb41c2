package ingress

import (
	"fmt"
	"slices"
	"time"

	"wickarch/admission"
	"wickarch/internal/reactor"
)

const (
	closeBatch       = 64 // connections closed that their clients have ended, before the others have their turn
	batchInterval    = time.Millisecond
	readBatch        = 4                    // reads from one connection before the others have theirs
	readQueueTime    = 2 * time.Millisecond // in one round, for the connections that have more to read than their turn allows
	sharedBufferSize = 64 << 10
)

// front holds the listener and the clients' connections. Idle connections have no goroutine, no buffer and no
// timer.
type front struct {
	cfg         *Config
	loop        *loop
	ln          reactor.Listener // nil once no further connection is accepted
	admission   *admission.Controller[*client]
	clients     []*client // in no order
	readBuffer  []byte    // for reads, shared by all connections
	writeBuffer []byte    // for writes, shared by all connections
	closeQueue  []*client // idle, and ended by their clients; closed in batches
	readQueue   []*client // have more to read than their turn allows, the longest waiting first
	dirty       []*client // may have replies to write
	unwatched   []*client // accepted, but the poller could not register them yet
	stalled     stalledClients
	accepted    uint64 // connections so far

	acceptReady     bool          // the listener may have more
	acceptRetryAt   time.Duration // after a failed accept or a full batch, no accept before then; 0: no wait
	growAt          time.Duration // an admission place is restored then; 0: none is missing
	fdShortage      shortage
	closeBatchAt    time.Duration // no batch of closeQueue is closed before then
	emptyingBacklog bool          // the listener closes once its backlog is empty
	backlogAccepted int           // connections accepted since then
	round           uint32        // counts the rounds from 1
	draining        bool
	finished        bool // accepts no request but those that have arrived by acceptedUntil
	acceptedUntil   time.Duration
	onHold          bool          // another process of this ingress still accepts clients
	empty           chan struct{} // closed when no further connection is accepted and none is left
}

// newFront creates a front and its listener.
func newFront(cfg *Config, l *loop) (*front, error) {
	limits := cfg.Options.Admission.Apply(cfg.Limits.admissionLimits())
	if limits.Places >= cfg.Limits.Sockets {
		return nil, fmt.Errorf("door.places is %d, but the process may hold only %d descriptors", limits.Places, cfg.Limits.Sockets)
	}
	controller, err := admission.New[*client](limits)
	if err != nil {
		return nil, err
	}
	f := &front{cfg: cfg, loop: l, admission: controller, readBuffer: make([]byte, sharedBufferSize), empty: make(chan struct{}), round: 1, stalled: stalledClients{memory: l.memory},
		fdShortage: shortage{halfLimit: cfg.Limits.Sockets / 2}}
	address := cfg.Listen
	if cfg.InheritedListener != "" {
		address = cfg.InheritedListener
	}
	if f.ln, err = l.Listen(address, (*acceptor)(f)); err != nil {
		return nil, fmt.Errorf("listen for clients: %w", err)
	}
	l.Add(f)
	return f, nil
}

// Round does the work that has accumulated in one round.
func (f *front) Round() {
	f.processReadQueue()
	if f.loop.outOfDescriptors {
		f.loop.outOfDescriptors = false
		f.noteShortage(f.loop.Now())
	}
	f.admitAndClose()
	f.flush()
	if f.ln == nil && len(f.clients)+len(f.unwatched) == 0 && f.empty != nil {
		close(f.empty)
		f.empty = nil
	}
	f.round++ // the events that follow belong to the next round
}

// processReadQueue gives the connections of readQueue their turn, for readQueueTime. The rest wait for the next
// round.
func (f *front) processReadQueue() {
	queue := f.readQueue
	f.readQueue = nil
	end := f.loop.Now() + readQueueTime
	for i, c := range queue {
		if i > 0 && f.loop.Now() >= end {
			f.readQueue = append(queue[i:], f.readQueue...)
			return
		}
		c.readQueued = false
		c.processInput()
		if c.net != nil {
			c.markDirty() // continues a stream that exceeded its turn, or ends the connection if nothing is left to read
		}
	}
}

// Next returns when there is work to do even if no event arrives.
func (f *front) Next() (at time.Duration, any bool) {
	accepting := f.acceptReady && f.ln != nil && !f.onHold && !f.emptyingBacklog
	if len(f.readQueue) > 0 || len(f.dirty) > 0 || accepting && f.acceptRetryAt == 0 && f.admission.HasRoom() {
		return 0, true
	}
	earlier := func(t time.Duration, ok bool) {
		if ok && (!any || t < at) {
			at, any = t, true
		}
	}
	earlier(f.admission.NextDue(f.acceptBlocked()))
	earlier(f.acceptRetryAt, f.acceptRetryAt > 0)
	earlier(f.growAt, f.growAt > 0)
	earlier(f.fdShortage.trialAt, accepting && f.admission.Shrunk())
	earlier(f.closeBatchAt, len(f.closeQueue) > 0)
	return at, any
}

// Ready handles an event of the connection.
func (c *client) Ready(e reactor.Event) {
	f := c.front
	if e&(reactor.Disconnected|reactor.ReadClosed) != 0 {
		// The end is taken from the event and not from a read: while nothing is read, because of pending replies or
		// a pause, the end lies behind bytes that nobody waits for any more, and waiting requests would be sent to
		// backends though their client has disconnected.
		if c.admissionConn.Idle() {
			// When thousands of clients disconnect at once, the events of the few busy ones are among theirs.
			// Closing each connection immediately would delay the busy ones.
			f.queueClose(c)
		} else {
			c.close(closedByClient, nil)
		}
		return
	}
	if e&reactor.Writable != 0 && len(c.unwritten) > 0 {
		c.markDirty()
	}
	if e&reactor.Readable != 0 {
		c.readable = true
		if !c.readQueued { // otherwise it waits for its turn
			c.processInput()
		}
	}
}

// queueRead gives a connection a turn in a later round.
func (f *front) queueRead(c *client) {
	if !c.readQueued {
		c.readQueued = true
		c.readDelayed = c.readDelayed || c.readable
		f.readQueue = append(f.readQueue, c)
	}
}

// queueClose queues an idle connection to be closed.
func (f *front) queueClose(c *client) {
	if !c.closeQueued {
		c.closeQueued = true
		f.closeQueue = append(f.closeQueue, c)
	}
}

// closeQueuedClients closes a batch of the connections that their clients have ended.
func (f *front) closeQueuedClients(now time.Duration) {
	if len(f.closeQueue) == 0 || now < f.closeBatchAt {
		return
	}
	n := min(closeBatch, len(f.closeQueue))
	for i, c := range f.closeQueue[:n] {
		c.close(closedByClient, nil)
		f.closeQueue[i] = nil
	}
	if f.closeQueue = f.closeQueue[n:]; len(f.closeQueue) == 0 {
		f.closeQueue = nil
	}
	f.closeBatchAt = now + batchInterval
}

// flush writes the replies that have become due. All that a connection has to write in one round goes out with
// one call.
func (f *front) flush() {
	for len(f.dirty) > 0 {
		dirty := f.dirty
		f.dirty = nil
		for _, c := range dirty {
			c.flushQueued = false
			c.writeReplies()
		}
		if f.dirty == nil {
			f.dirty = dirty[:0]
			return
		}
	}
}

// admitAndClose accepts new connections and closes those that the admission controller selects.
func (f *front) admitAndClose() {
	now := f.loop.Now()
	if f.acceptRetryAt > 0 && now >= f.acceptRetryAt {
		f.acceptRetryAt = 0
	}
	if f.growAt > 0 && now >= f.growAt {
		f.growAt = 0
		if f.admission.Grow() {
			f.growAt = now + growInterval
		}
	}
	f.closeQueuedClients(now)
	f.retryWatches(now)
	f.accept(now)
	f.admission.SelectDue(now, f.acceptBlocked(), func(p *admission.Conn[*client]) bool { return p.Owner.closeForAdmission() })
	if f.acceptReady && !f.emptyingBacklog {
		f.accept(now) // in the places that have become free
	}
}

// addClient serves a new connection.
func (f *front) addClient(nc reactor.Conn, now time.Duration) {
	f.accepted++
	c := &client{front: f, net: nc, number: f.accepted}
	c.admissionConn.Owner, c.timer.Owner = c, c
	f.watchClient(c, now)
}

// watchClient registers a connection with the poller and serves it. If the poller can't register it, the
// connection waits: it may already hold a request.
func (f *front) watchClient(c *client, now time.Duration) {
	if err := c.net.Watch(c); err != nil {
		f.loop.events.watchFailed(c, err)
		f.unwatched = append(f.unwatched, c)
		f.noteShortage(now)
		return
	}
	c.index, c.readDeadline, c.readTimed = int32(len(f.clients)), now+firstCommandTimeout, true
	f.loop.events.connectionAccepted(c)
	f.clients = append(f.clients, c)
	f.admission.Admit(&c.admissionConn, now)
	c.resetTimer()
}

// removeClient removes a closed connection from clients.
func (f *front) removeClient(c *client) {
	last := len(f.clients) - 1
	moved := f.clients[last]
	f.clients[c.index], moved.index = moved, c.index
	f.clients[last] = nil
	f.clients = f.clients[:last]
}

// drain makes each connection close as soon as nothing is open on it.
func (f *front) drain() {
	f.draining = true
	f.admission.Drain()
}

// resume ends a drain. Connections that have been ended by then stay so.
func (f *front) resume() {
	f.draining = false
	f.admission.Resume()
}

// finish stops accepting requests: those that have arrived are answered, also where they still lie unread behind the
// limit of open ones. Clients go on sending for as long as they may. A later request could not be answered before the
// process has to end, and is refused. If acceptUnread is not set, what lies unread is refused as well.
func (f *front) finish(acceptUnread bool) {
	if f.finished = true; acceptUnread {
		f.acceptedUntil = f.loop.Now()
	}
	for _, c := range f.clients {
		c.markDirty() // ends it if nothing is open
	}
}

// endConnections ends all connections behind the replies that are due, whatever their clients go on sending.
func (f *front) endConnections() {
	for _, c := range slices.Clone(f.clients) {
		if !c.closing {
			c.closeAfterReplies(closedShutdown)
		}
	}
}
