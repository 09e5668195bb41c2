//go:build linux

package reactor

import (
	"time"

	"wickarch/internal/timewheel"
)

// pause is how long a connection waits before its handler is told again: twice as long each time.
type pause struct{ first, most time.Duration }

var (
	// pauseShort follows a call for which the system had no means.
	pauseShort = pause{5 * time.Millisecond, 40 * time.Millisecond}
	// pauseBlocked follows a write behind others that are on their way still. Once those have arrived the
	// poller tells, unless it was not for them that the write had to wait.
	pauseBlocked = pause{40 * time.Millisecond, 160 * time.Millisecond}
)

// mostInterrupted is how often in a row a call is repeated at once that was interrupted.
const mostInterrupted = 16

// retry tells a connection's handler once more of what the poller may not tell again.
type retry struct {
	timer  timewheel.Timer[*retry]
	socket *socket
	events Event
	wait   time.Duration // the last pause; they double while nothing comes of it
}

// tellAgain has the handler told of events after a pause.
func (k *socket) tellAgain(e Event, p pause) {
	r := k.retry
	if r == nil {
		r = &retry{socket: k}
		r.timer.Owner = r
		k.retry = r
	}
	r.events |= e
	if r.timer.Set() {
		return
	}
	r.wait = min(max(p.first, 2*r.wait), p.most)
	k.world.retries.Set(&r.timer, k.world.Now()+r.wait)
}

// readLater has a read that could not be done tried again later.
func (k *socket) readLater() error {
	k.world.hinder()
	k.tellAgain(Readable, pauseShort)
	return ErrWouldBlock
}

// hinder notes that what has come may wait longer than events tell.
func (s *Sockets) hinder() { s.hinderedUntil = s.Now() + hinderedFor }

// Hindered tells whether calls have failed of late.
func (s *Sockets) ReadsDelayed() bool { return s.hinderedUntil > 0 && s.Now() < s.hinderedUntil }

// hinderedFor is how long what is read may be what waited then.
const hinderedFor = time.Second

// succeeded notes that a call of a kind has gone well: nothing is told again of it, and the next pause
// is a short one.
func (k *socket) succeeded(e Event) {
	if k.retry != nil {
		k.retry.events &^= e
		k.retry.wait = 0
	}
}

// tellRetry tells the handler whose pause is over.
func tellRetry(t *timewheel.Timer[*retry]) {
	r := t.Owner
	e := r.events
	r.events = 0
	if e != 0 {
		r.socket.handler.Ready(e)
	}
}
