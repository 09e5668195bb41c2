package ingress

import (
	"container/list"
	"errors"
	"time"

	"github.com/tidwall/redcon"

	"wickarch/admission"
	"wickarch/internal/reactor"
)

const (
	lingerTimeout         = 200 * time.Millisecond  // for a client to close its side after the ingress has ended the connection
	maxPending            = 128                     // commands awaiting their replies on one connection
	maxPendingWhenShort   = 16                      // the same while memory is short: not all replies can be refused it
	firstCommandTimeout   = 2200 * time.Millisecond // for the first command on a connection
	partialCommandTimeout = 2 * time.Second         // for the rest of a command that has begun
	maxInvalidCommands    = 8                       // invalid commands after which a connection ends
	invalidCommandDelay   = 50 * time.Millisecond   // after the second one, and each further one
	minPartialBuffer      = 512                     // bytes of buffer for a command that has begun, however short memory is
	maxBufferExcess       = 4                       // a buffer that is this many times larger than what it has to hold is replaced
	maxReplyBytes         = 256 << 10               // bytes of unwritten replies beyond which nothing more is read
)

var (
	errNoCommand      = errors.New("no command came in time")
	errPartialCommand = errors.New("the command did not become whole in time")
	errTooManyInvalid = errors.New("too many wrong commands")
)

// client is the connection of a client. Commands start as they arrive; replies are written in the order of the
// commands.
type client struct {
	front           *front
	net             reactor.Conn // nil once closed
	number          uint64       // in the order of acceptance, for logs
	invalidCommands int32        // so far
	turnRound       uint32       // front.round in which the connection last had its turn to read
	admissionConn   admission.Conn[*client]
	timer           reactor.Timer

	first, last *slot // replies due, in order
	pending     int
	partial     []byte          // what has been read of a command that is incomplete or not to be started yet
	skipped     *skippedCommand // the command that is being discarded; nil if none is
	unwritten   []byte          // what the socket did not accept of the last write
	replyBytes  int             // bytes of replies that are due or unwritten

	readAt         time.Duration // when the bytes last read had arrived
	readDeadline   time.Duration // for the first command, or for the rest of one; 0: none
	writeDeadline  time.Duration // when a stalled connection is checked next; 0: it is not stalled
	progressAt     time.Duration // when a stalled connection's client last took some of its replies, or the stall began
	resumeAt       time.Duration // after invalid commands nothing is read before then; 0: no pause
	bufferDeadline time.Duration // for the value that is buffered whole; 0: none is
	lingerUntil    time.Duration // the connection has been ended and is closed then; 0: it has not been ended
	endedAt        time.Duration // when the connection was ended

	stallEntry *list.Element // in front.stalled; nil while the socket accepts all replies

	repliedAt time.Duration // when replies were last written while input lay unread

	index        int32       // in front.clients
	hasRequested bool        // has sent a request that was accepted
	readTimed    bool        // readDeadline has been set for this command or the one before
	readable     bool        // the socket may have more to read
	readDelayed  bool        // readable input has waited for this process
	hasBacklog   bool        // partial may hold complete commands, which arrived while none was accepted
	closeQueued  bool        // is in front.closeQueue, as its client has ended it
	readQueued   bool        // is in front.readQueue
	flushQueued  bool        // is in front.dirty
	closing      bool        // accepts no further command, and ends when all are answered
	reason       closeReason // why the connection closes, if it does
}

// reply answers a command immediately, in command order.
func (c *client) reply(data []byte) {
	c.front.loop.memory.reserve(len(data))
	c.pushSlot(&slot{client: c, data: data, filled: true})
	c.addReplyBytes(len(data))
	c.markDirty()
}

// replyError answers an invalid command.
func (c *client) replyError(err error) { c.reply(redcon.AppendError(nil, "ERR "+err.Error())) }

// endWithError sends the client an error and ends the connection.
func (c *client) endWithError(reason closeReason, err error) {
	c.replyError(err)
	c.closeAfterReplies(reason)
}

// acceptsCommands reports whether a further command may be read.
func (c *client) acceptsCommands() bool {
	return c.net != nil && !c.closing && !c.closeQueued && c.resumeAt == 0 &&
		c.pending < c.pendingLimit() && c.replyBytes < maxReplyBytes && !c.streaming()
}

// pendingLimit returns how many commands may await their replies now.
func (c *client) pendingLimit() int {
	if c.front.loop.memory.short() {
		return maxPendingWhenShort
	}
	return maxPending
}

// streaming reports whether a value is being forwarded as it arrives. If it breaks off, the connection ends, and
// commands read behind it would be lost.
func (c *client) streaming() bool { return c.first != nil && c.first.headWritten }

// reportActivity tells the admission controller whether anything is open on the connection; an incomplete
// command counts as open.
func (c *client) reportActivity() {
	switch {
	case c.net == nil:
	case c.first != nil, len(c.unwritten) > 0, len(c.partial) > 0, c.skipped != nil, c.resumeAt > 0, c.closing:
		c.front.admission.MarkBusy(&c.admissionConn, c.hasRequested)
	default:
		c.front.admission.MarkIdle(&c.admissionConn, c.front.loop.Now())
	}
}
