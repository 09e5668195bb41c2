package ingress

// This file holds the listener: accepting connections, also while descriptors are short, and its end.

import (
	"errors"
	"time"

	"wickarch/admission"
	"wickarch/internal/reactor"
)

const (
	acceptRetryDelay = 5 * time.Millisecond
	growInterval     = time.Second // without a failed accept, before one admission place is restored
	acceptBatch      = 64          // connections accepted before the others have their turn
	maxBacklog       = 1<<16 - 1   // connections that a listener's queue holds at most
)

// acceptor handles the events of the listener.
type acceptor front

// Ready notes that connections wait to be accepted.
func (a *acceptor) Ready(reactor.Event) { a.acceptReady = true }

// acceptBlocked reports whether a connection waits in the listener's backlog and there is no place for it.
func (f *front) acceptBlocked() bool {
	return f.acceptReady && f.ln != nil && !f.onHold && !f.admission.HasRoom()
}

// accept accepts a batch of the waiting connections, for as long as there are places.
func (f *front) accept(now time.Duration) {
	if f.emptyingBacklog {
		f.acceptBacklog(now)
		return
	}
	if len(f.unwatched) > 0 { // the poller could not register another one either
		return
	}
	for n := 0; f.acceptReady && f.ln != nil && !f.onHold && f.acceptRetryAt == 0 && (f.admission.HasRoom() || f.shouldTryAccept(now)); n++ {
		if n == acceptBatch {
			f.acceptRetryAt = now + batchInterval
			return
		}
		nc, err := f.ln.Accept()
		switch {
		case err == nil:
			f.addClient(nc, now)
			f.noteAccepted()
		case errors.Is(err, reactor.ErrWouldBlock):
			f.acceptReady = false
		case errors.Is(err, reactor.ErrOutOfResources): // the next ones wait in the backlog
			f.loop.events.acceptFailed(err)
			f.noteShortage(now)
		default:
			f.loop.events.acceptFailed(err)
			f.acceptRetryAt = now + acceptRetryDelay
		}
	}
}

// shouldTryAccept reports whether to accept a connection beyond the places that a shortage has left.
func (f *front) shouldTryAccept(now time.Duration) bool {
	return f.admission.Shrunk() && f.fdShortage.trialDue(now)
}

// retryWatches registers the connections that the poller could not register before.
func (f *front) retryWatches(now time.Duration) {
	if f.acceptRetryAt > 0 {
		return
	}
	waiting := f.unwatched
	f.unwatched = nil
	for _, c := range waiting {
		f.watchClient(c, now)
	}
}

// noteAccepted records a successful accept, and restores the admission places if it shows that descriptors are
// not short.
func (f *front) noteAccepted() {
	switch recovered := f.fdShortage.recordSuccess(f.openConnections()); {
	case !f.admission.Shrunk():
	case recovered:
		f.admission.Restore()
		f.growAt = 0
	case !f.admission.HasRoom():
		f.fdShortage.postponeTrial(f.loop.Now())
	}
}

// openConnections returns how many connections the process holds.
func (f *front) openConnections() int { return len(f.clients) + len(f.unwatched) + f.loop.pool.Open() }

// noteShortage records that no descriptor, or no memory for one, was available.
func (f *front) noteShortage(now time.Duration) {
	f.acceptRetryAt = now + acceptRetryDelay
	if f.fdShortage.recordFailure(now, f.openConnections()) {
		f.shrink(now)
	}
}

// shrink handles a shortage that the process itself causes: the admission controller limits itself to the
// connections that there are, and closes an idle one in place of the one that was wanted.
func (f *front) shrink(now time.Duration) {
	f.admission.Shrink()
	f.growAt = now + growInterval
	f.admission.SelectDue(now, true, func(p *admission.Conn[*client]) bool { return p.Owner.closeForAdmission() })
}

// closeListener stops accepting connections. Those in the backlog are accepted first, even without a free place:
// closing the listener would reset them, with the requests that they may hold. On an inherited socket they wait
// for the process that holds it next.
func (f *front) closeListener() {
	if f.ln == nil {
		return
	}
	if f.cfg.InheritedListener != "" || f.onHold {
		f.endListener()
		return
	}
	f.emptyingBacklog = true
	f.acceptBacklog(f.loop.Now())
}

// acceptBacklog accepts a batch of the waiting connections, and closes the listener once there are none. Otherwise, or
// if accept fails, it is called again in a later round.
func (f *front) acceptBacklog(now time.Duration) {
	for n := 0; f.acceptRetryAt == 0 && f.ln != nil; n++ {
		if n == acceptBatch {
			f.acceptRetryAt = now + batchInterval
			return
		}
		nc, err := f.ln.Accept()
		switch {
		case err == nil:
			f.addClient(nc, now)
			if f.backlogAccepted++; f.backlogAccepted == maxBacklog { // all that waited at the stop, and others behind them
				f.endListener()
			}
		case errors.Is(err, reactor.ErrWouldBlock):
			f.endListener()
		default:
			f.loop.events.acceptFailed(err)
			f.acceptRetryAt = now + acceptRetryDelay
		}
	}
}

func (f *front) endListener() {
	f.ln.Close()
	f.ln = nil
}
