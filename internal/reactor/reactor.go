// Package reactor is the event loop of an ingress: connections, a clock, timers
// and functions posted by other goroutines, all handled on one goroutine.
//
// A Driver provides sockets and time. A Loop runs on a Driver in rounds: each
// round dispatches connection events to their handlers, then runs posted
// functions, then fires timers that are due, then runs the registered tasks,
// which process the work collected in the round. Nothing that a handler calls
// blocks.
package reactor

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"wickarch/internal/timewheel"
)

// Event is a set of flags: what has happened on a connection since its handler
// was last called.
type Event uint8

// The flags of an Event are edge-triggered: each is reported once, when the
// condition begins. A handler reads or writes until ErrWouldBlock.
const (
	Readable     Event = 1 << iota // data or a connection is ready to be read or accepted
	Writable                       // the connection is established, or can be written again
	ReadClosed                     // the peer has closed its sending side
	Disconnected                   // the connection is closed both ways, or was never established
)

var (
	// ErrWouldBlock is returned if nothing can be read, or nothing more can be
	// written, until the next event.
	ErrWouldBlock = errors.New("operation would block")
	// ErrReadFailed is returned by Read, as a case of ErrWouldBlock, if the call failed
	// for a transient reason: there may be data, and the handler is called again.
	ErrReadFailed = fmt.Errorf("%w: the read failed and will be repeated", ErrWouldBlock)
	// ErrOutOfResources is returned if the process or the whole system has run
	// out of descriptors or memory.
	ErrOutOfResources = errors.New("out of descriptors or memory")
	// ErrTemporary is returned if a call fails for a transient reason that the
	// process can't relieve by freeing resources.
	ErrTemporary = errors.New("temporary system failure")
)

// Handler receives the events of one connection or listener.
type Handler interface{ Ready(Event) }

// Conn is one connection. Its methods may only be called on the loop's goroutine.
type Conn interface {
	// Watch sets the handler and starts reporting events to it, including
	// conditions that already hold. It fails with ErrOutOfResources when the
	// system can't watch any more descriptors.
	Watch(Handler) error
	// Read reads the available data. It returns ErrWouldBlock if there is none,
	// ErrReadFailed if that is unknown, and io.EOF at the end of the stream.
	Read(b []byte) (n int, err error)
	// Write writes as much as the send buffer accepts now. It returns
	// ErrWouldBlock with n < len(b) if that is not all of it.
	Write(b []byte) (n int, err error)
	// Pending reports whether a Read would return data or the end of the stream.
	// It asks the system, regardless of the events reported so far.
	Pending() bool
	// Unread is the number of bytes that have arrived and were not read; 0 if that
	// is unknown.
	Unread() int
	// SinceLastReceive is the time since data last arrived, read or not; 0 if
	// that is unknown.
	SinceLastReceive() time.Duration
	// Disconnected reports whether the peer has closed the connection or it has
	// failed, even if unread data precedes that and whatever events were
	// reported. It is false if that is unknown.
	Disconnected() bool
	// HasUnacked reports whether the peer's machine has not acknowledged all
	// written bytes: a Close while received data is unread would drop them.
	HasUnacked() bool
	// CloseWrite closes the sending side only.
	CloseWrite()
	// Close closes the connection. No further event is reported for it.
	Close()
}

// Listener accepts connections at an address.
type Listener interface {
	// Accept accepts one connection. It returns ErrWouldBlock when none is
	// pending, ErrOutOfResources when descriptors or memory have run out, and
	// ErrTemporary when accept fails for another reason. After the latter two a
	// pending connection stays in the queue.
	Accept() (Conn, error)
	// HasPending reports whether a connection waits to be accepted. Accept can't
	// tell without a free descriptor: it fails before it looks at the queue.
	HasPending() bool
	// Address is the listening address, as "host:port".
	Address() string
	// Close closes the listener. Pending connections are reset.
	Close()
}

// Driver provides connections and time. There are two implementations: Sockets,
// and the simulated network of the tests.
type Driver interface {
	// Now is a monotonic clock that starts near 0.
	Now() time.Duration
	// WallTime is the current wall clock. It may be stepped; Now is not.
	WallTime() time.Time
	// Listen opens an address, "host:port"; port 0 takes a free one. On sockets,
	// "fd:N" stands for the listening socket that the process inherited as
	// descriptor N. Other processes may hold that socket too: closing it here
	// does not close it for them.
	Listen(address string, h Handler) (Listener, error)
	// Dial starts to connect to "IP:port". The event Writable reports that the
	// connection is established, Disconnected that it failed. ErrOutOfResources
	// means that descriptors have run out, ErrTemporary that the system has no
	// port, buffer or route for it now: neither says anything about the peer.
	Dial(address string, h Handler) (Conn, error)
	// Wait blocks until there are events, Wake is called or the deadline (if
	// any) has passed, and calls the handlers.
	Wait(until time.Duration, hasDeadline bool) error
	// ReadsDelayed reports whether calls that poll for events or read data have
	// failed recently: received data may have been waiting since then.
	ReadsDelayed() bool
	// Wake ends the current Wait, or the next one. It may be called from any
	// goroutine; all other methods only from the loop's.
	Wake()
	// Close frees the resources of the driver itself.
	Close()
}

// TimerHandler is called when its timer fires.
type TimerHandler interface{ TimerFired() }

// Timer is one deadline, to be embedded in the object that it belongs to. Its
// Owner must be set before the first Set.
type Timer = timewheel.Timer[TimerHandler]

// Resolution is the tick of all timers. A timer never fires early, and late by at
// most one tick plus the duration of the round before.
const Resolution = 250 * time.Microsecond

// Task is the work that one component of the program does in each round.
type Task interface {
	// Round processes what the events, posted functions and timers of the round
	// have collected.
	Round()
	// Next returns when the task has work to do even if no event occurs.
	Next() (at time.Duration, ok bool)
}

// Loop runs one ingress on a Driver.
type Loop struct {
	Driver
	wheel *timewheel.Wheel[TimerHandler]
	tasks []Task
	stop  bool

	waitStarts   [2]time.Duration // when the last two Waits began, the earlier first
	staleUntil   time.Duration    // until then InputMayBeStale holds
	longestRound time.Duration

	mu      sync.Mutex
	posted  []func()
	ended   bool          // Run has returned: Post accepts nothing more
	running []func()      // the posted functions of the current round
	done    chan struct{} // closed when Run has returned
}

// New returns a loop on a driver.
func New(d Driver) *Loop {
	return &Loop{Driver: d, wheel: timewheel.New[TimerHandler](Resolution), done: make(chan struct{})}
}

// Add adds a task to each round. Tasks run in the order in which they were added.
func (l *Loop) Add(t Task) { l.tasks = append(l.tasks, t) }

// Set schedules a timer, in place of an earlier schedule.
func (l *Loop) Set(t *Timer, at time.Duration) { l.wheel.Set(t, at) }

// Unset cancels a timer.
func (l *Loop) Unset(t *Timer) { l.wheel.Stop(t) }

// Post queues f to run on the loop's goroutine. It may be called from any
// goroutine and does not block. It returns false, and f never runs, once the loop
// has ended.
func (l *Loop) Post(f func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return false
	}
	l.posted = append(l.posted, f)
	if len(l.posted) == 1 {
		l.Wake()
	}
	return true
}

// Do runs f on the loop's goroutine and waits until it returns or the loop ends.
func (l *Loop) Do(f func()) {
	ran := make(chan struct{})
	if l.Post(func() { f(); close(ran) }) {
		select {
		case <-ran:
		case <-l.done:
		}
	}
}

// Done returns a channel that is closed when Run has returned.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Stop ends Run after the current round. It may only be called on the loop's
// goroutine.
func (l *Loop) Stop() { l.stop = true }

// Run runs rounds until Stop. It returns an error if the driver's Wait fails.
func (l *Loop) Run() error {
	defer close(l.done)
	defer func() {
		l.mu.Lock()
		l.ended = true
		l.mu.Unlock()
	}()
	for !l.stop {
		if err := l.Wait(l.Next()); err != nil {
			return err
		}
		l.Round()
	}
	return nil
}

// staleAfter is the age above which input that is read counts as stale.
const staleAfter = 50 * time.Millisecond

// InputMayBeStale reports whether data that is read now may have arrived long ago.
// Data that arrived before the last Wait but one began was reported by that Wait.
// A backlog is reported by several Waits, so the result stays true for staleAfter.
func (l *Loop) InputMayBeStale() bool {
	now := l.Now()
	if now-l.waitStarts[0] > staleAfter {
		l.staleUntil = now + staleAfter
	}
	return now < l.staleUntil || l.ReadsDelayed()
}

// Round runs posted functions, due timers and tasks, after the events of one Wait.
func (l *Loop) Round() {
	l.mu.Lock()
	l.running, l.posted = l.posted, l.running[:0]
	l.mu.Unlock()
	for i, f := range l.running {
		f()
		l.running[i] = nil
	}
	started := l.Now()
	l.wheel.Advance(started, fireTimer)
	for _, t := range l.tasks {
		t.Round()
	}
	ended := l.Now()
	l.longestRound = max(l.longestRound, ended-started)
	l.waitStarts[0], l.waitStarts[1] = l.waitStarts[1], ended
}

// LongestRound returns the longest time that the timers and tasks of one round have
// taken so far: nothing else was served meanwhile.
func (l *Loop) LongestRound() time.Duration { return l.longestRound }

func fireTimer(t *Timer) { t.Owner.TimerFired() }

// Next returns when a timer or a task is due even if no event occurs.
func (l *Loop) Next() (at time.Duration, found bool) {
	at, found = l.wheel.Next()
	for _, t := range l.tasks {
		if due, ok := t.Next(); ok && (!found || due < at) {
			at, found = due, true
		}
	}
	return at, found
}
