// Package reactor is the world as the shell of an ingress sees it: connections,
// a clock, timers and a mailbox, all on one goroutine.
//
// A World gives sockets and time. A Loop stands on one and runs in rounds: what
// has happened on connections is handed to their handlers, then mail from other
// goroutines, then timers that are due, then the tasks of each part of the
// program, which gather what one round has to do. Nothing that a handler calls
// blocks.
package reactor

import (
	"errors"
	"sync"
	"time"

	"wickarch/internal/timewheel"
)

// Event tells what has happened on a connection since its handler was last
// told; several may come together.
type Event uint8

// The parts of an Event. Each is told once, when it comes to be so: a handler
// reads or writes until it would have to wait.
const (
	Readable     Event = 1 << iota // there is something to read
	Writable                       // the connection is up, or takes more again
	ReadClosed                     // the other side sends nothing more
	Disconnected                   // the connection has ended both ways, or never came up
)

var (
	// ErrWait tells that there is nothing to read, or that no more can be
	// written, until the next event.
	ErrWouldBlock = errors.New("would have to wait")
	// ErrFiles tells that descriptors or memory have run out, of the process or of the whole system.
	ErrOutOfResources = errors.New("no descriptor is left")
	// ErrBusy tells that the system can't do it now, for no lack that the process could help.
	ErrTemporary = errors.New("the system can't do it now")
)

// Handler is told what happens on one connection or listener.
type Handler interface{ Ready(Event) }

// Conn is one connection. Its methods belong to the loop's goroutine.
type Conn interface {
	// Watch names the handler; from then on it is told, of what is so already
	// as well. It fails with ErrFiles when the system can watch no more.
	Watch(Handler) error
	// Read reads what is there. It returns ErrWait if that is nothing, and
	// io.EOF at the end.
	Read(b []byte) (n int, err error)
	// Write writes as much as is taken now, and returns ErrWait with n < len(b)
	// if that is not all.
	Write(b []byte) (n int, err error)
	// Pending looks whether there is something to read, an end among it,
	// whatever events have told.
	Pending() bool
	// Waited is how long ago the last of what has come did so, read or not; 0
	// where that can't be told.
	SinceLastReceive() time.Duration
	// Gone tells whether the other side has ended the connection or it has broken, read or not,
	// and whatever events have told. Where that can't be told, it has not.
	Disconnected() bool
	// Unsent tells whether bytes that were written are still on their way to the
	// other side's machine: a Close with something unread would drop them.
	HasUnacked() bool
	// CloseWrite ends the sending alone.
	CloseWrite()
	// Close ends the connection. No event is told of it any more.
	Close()
}

// Listener takes connections at an address.
type Listener interface {
	// Accept takes one connection. It returns ErrWait when none waits, ErrFiles when
	// descriptors or memory have run out, and ErrBusy when the system gives none for another
	// reason: if one waits, it waits on then.
	Accept() (Conn, error)
	// Waiting tells whether a connection waits. Without a descriptor the system's
	// Accept fails before it looks.
	HasPending() bool
	// Address is where it listens, as "host:port".
	Address() string
	// Close ends it. Connections that wait are reset.
	Close()
}

// World gives connections and time. There are two: Sockets, and the simulated
// network of the tests.
type Driver interface {
	// Now is a monotonic clock that begins near 0.
	Now() time.Duration
	// Wall is the wall clock now. It may be stepped; Now is not.
	WallTime() time.Time
	// Listen opens an address, "host:port"; port 0 takes a free one. On sockets,
	// "fd:N" stands for the listening socket that the process inherited as
	// descriptor N. Others may hold it as well: to close it ends our part alone.
	Listen(address string, h Handler) (Listener, error)
	// Dial begins a connection to "IP:port". It comes up with the event
	// Writable, or ends with Gone. ErrFiles tells that descriptors have run out, ErrBusy
	// that the system has no port, buffer or route for it now: neither says anything of
	// who is dialled.
	Dial(address string, h Handler) (Conn, error)
	// Wait waits until something happens, Wake is called or the time has come
	// (if there is one), and tells the handlers.
	Wait(until time.Duration, any bool) error
	// Hindered tells whether calls have failed of late that would have told what has come, or
	// read it: it may have waited.
	ReadsDelayed() bool
	// Wake ends the Wait that is on, or the next one. It may be called from any
	// goroutine; all else belongs to the loop's.
	Wake()
	// Close frees what the world itself holds.
	Close()
}

// Alarm is what a timer rings for.
type TimerHandler interface{ TimerFired() }

// Timer is one deadline, to be embedded in what it belongs to. Its Owner must be
// set before the first Set.
type Timer = timewheel.Timer[TimerHandler]

// Resolution is that of all timers: never early, late by at most so much and by
// how long the round before takes.
const Resolution = 250 * time.Microsecond

// Task is the part of a round that belongs to one part of the program.
type Task interface {
	// Round does what has gathered, after events, mail and timers.
	Round()
	// Next tells when it has something to do though nothing happens.
	Next() (at time.Duration, any bool)
}

// Loop runs one ingress on a world.
type Loop struct {
	Driver
	wheel *timewheel.Wheel[TimerHandler]
	tasks []Task
	stop  bool

	looked    [2]time.Duration // the two last Waits began
	lateUntil time.Duration

	mu   sync.Mutex
	mail []func()
	over bool // nothing is taken any more
	read []func()
	done chan struct{} // closed when Run has ended
}

// New makes a loop.
func New(w Driver) *Loop {
	return &Loop{Driver: w, wheel: timewheel.New[TimerHandler](Resolution), done: make(chan struct{})}
}

// Add makes a task part of each round, behind those added before.
func (l *Loop) Add(t Task) { l.tasks = append(l.tasks, t) }

// Set lets a timer ring at a time, in place of when it was set for.
func (l *Loop) Set(t *Timer, at time.Duration) { l.wheel.Set(t, at) }

// Unset takes a timer off.
func (l *Loop) Unset(t *Timer) { l.wheel.Stop(t) }

// Post has f run on the loop's goroutine, soon. It may be called from any, and
// does not block. It returns false, and f never runs, once the loop has ended.
func (l *Loop) Post(f func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		return false
	}
	l.mail = append(l.mail, f)
	if len(l.mail) == 1 {
		l.Wake()
	}
	return true
}

// Do has f run on the loop's goroutine and waits for it, or for the loop's end.
func (l *Loop) Do(f func()) {
	ran := make(chan struct{})
	if l.Post(func() { f(); close(ran) }) {
		select {
		case <-ran:
		case <-l.done:
		}
	}
}

// Done is closed when Run has ended.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Stop ends Run after this round. It belongs to the loop's goroutine.
func (l *Loop) Stop() { l.stop = true }

// Run runs rounds until Stop. It returns an error if the world fails.
func (l *Loop) Run() error {
	defer close(l.done)
	defer func() {
		l.mu.Lock()
		l.over = true
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

// lateAfter is how old what is read may be before it counts as late.
const lateAfter = 50 * time.Millisecond

// Late tells whether what is read now may have come long ago. What came before
// the last Wait but one began was told by that one. Where much has gathered, it
// is told in several.
func (l *Loop) InputMayBeStale() bool {
	now := l.Now()
	if now-l.looked[0] > lateAfter {
		l.lateUntil = now + lateAfter
	}
	return now < l.lateUntil || l.ReadsDelayed()
}

// Round does what follows the events of one Wait.
func (l *Loop) Round() {
	l.mu.Lock()
	l.read, l.mail = l.mail, l.read[:0]
	l.mu.Unlock()
	for i, f := range l.read {
		f()
		l.read[i] = nil
	}
	l.wheel.Advance(l.Now(), ring)
	for _, t := range l.tasks {
		t.Round()
	}
	l.looked[0], l.looked[1] = l.looked[1], l.Now()
}

func ring(t *Timer) { t.Owner.TimerFired() }

// Next tells when there is something to do though nothing happens.
func (l *Loop) Next() (at time.Duration, any bool) {
	at, any = l.wheel.Next()
	for _, t := range l.tasks {
		if due, ok := t.Next(); ok && (!any || due < at) {
			at, any = due, true
		}
	}
	return at, any
}
