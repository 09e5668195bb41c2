//go:build linux

package reactor

import (
	"time"

	"wickarch/internal/timewheel"
)

const (
	// retryShort is the first pause after a call for which the system had no means.
	retryShort = 5 * time.Millisecond
	// retryBlocked is the first pause after a write that would have had to wait. The poller tells when
	// it need not any more, unless the system lacked memory for it: then nothing may come.
	retryBlocked = 40 * time.Millisecond
	retryMost    = 640 * time.Millisecond
)

// retry tells a connection's handler once more of what the poller may not tell again.
type retry struct {
	timer  timewheel.Timer[*retry]
	socket *socket
	events Event
	wait   time.Duration // the last pause; they double while nothing comes of it
}

// tellAgain has the handler told of events after a pause of at least so long.
func (k *socket) tellAgain(e Event, least time.Duration) {
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
	r.wait = min(max(least, 2*r.wait), retryMost)
	k.world.retries.Set(&r.timer, k.world.Now()+r.wait)
}

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
