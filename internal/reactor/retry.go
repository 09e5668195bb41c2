//go:build linux

package reactor

import (
	"time"

	"wickarch/internal/timewheel"
)

// backoff is the range of delays before a handler is called again; each delay doubles the last one.
type backoff struct{ initial, limit time.Duration }

var (
	// shortBackoff follows a call that failed for want of system resources, or was interrupted too often.
	shortBackoff = backoff{5 * time.Millisecond, 40 * time.Millisecond}
	// blockedBackoff follows a write that would block while earlier bytes are unacknowledged. The poller
	// reports when those have been acknowledged, unless the write blocked for another reason.
	blockedBackoff = backoff{40 * time.Millisecond, 160 * time.Millisecond}
)

// maxInterrupts is how many times in a row an interrupted call (EINTR) is repeated immediately.
const maxInterrupts = 16

// retry calls a connection's handler again for events that the edge-triggered poller may not repeat.
type retry struct {
	timer  timewheel.Timer[*retry]
	socket *socket
	events Event
	delay  time.Duration // the last delay; 0 after a successful call
}

// notifyLater schedules a call of the handler with the events after a backoff.
func (k *socket) notifyLater(e Event, b backoff) {
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
	r.delay = min(max(b.initial, 2*r.delay), b.limit)
	k.sockets.retries.Set(&r.timer, k.sockets.Now()+r.delay)
}

// retryRead schedules a retry of a read that failed for a temporary reason.
func (k *socket) retryRead() error {
	k.sockets.markReadsDelayed()
	k.notifyLater(Readable, shortBackoff)
	return ErrReadFailed
}

// markReadsDelayed records that received data may wait longer than the events show.
func (s *Sockets) markReadsDelayed() { s.readsDelayedUntil = s.Now() + readsDelayedFor }

// ReadsDelayed reports whether a poll or read has failed within readsDelayedFor.
func (s *Sockets) ReadsDelayed() bool {
	return s.readsDelayedUntil > 0 && s.Now() < s.readsDelayedUntil
}

// readsDelayedFor is how long after a failed poll or read the data that is read counts as possibly delayed.
const readsDelayedFor = time.Second

// succeeded cancels the pending retry of a successful call's event and resets the backoff.
func (k *socket) succeeded(e Event) {
	if k.retry != nil {
		k.retry.events &^= e
		k.retry.delay = 0
	}
}

// fireRetry calls the handler whose backoff has passed.
func fireRetry(timer *timewheel.Timer[*retry]) {
	r := timer.Owner
	e := r.events
	r.events = 0
	if e != 0 {
		r.socket.handler.Ready(e)
	}
}
