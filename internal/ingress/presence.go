package ingress

// This file holds how the ingress notices that a client has left while its input lies unread. The end of a connection
// follows all that the client has written: where that is more than its socket holds, no event tells the end. Nothing is
// to be sent on then.

import "time"

const (
	presenceTimeout       = 50 * time.Millisecond  // after which a client that has sent and taken nothing may have left
	presenceCheckTime     = 100 * time.Millisecond // for its machine to acknowledge or reject the replies just written
	presenceCheckInterval = time.Millisecond       // between two looks whether it has
	// unreadLimit is how many bytes may lie unread before the client's machine can be told to send no more. Below it the
	// end of the connection has arrived, if there is one.
	unreadLimit = 16 << 10
)

// endMayBeHidden reports whether so much input lies unread, since a while ago, that the end of the connection may wait
// behind it on the client's machine.
func (c *client) endMayBeHidden() bool {
	return c.readDelayed && c.net.Unread() >= unreadLimit && c.net.SinceLastReceive() > presenceTimeout
}

// mayHaveLeft reports whether the client has left, or may have unnoticed. The machine of one that is there acknowledges
// replies; that of one that has closed its connection rejects them.
func (c *client) mayHaveLeft() bool {
	if c.net == nil || c.net.Disconnected() {
		return true
	}
	return c.endMayBeHidden() && (c.front.loop.Now()-c.repliedAt > presenceCheckTime || c.net.HasUnacked())
}

// awaitsPresence reports whether to wait for the client's machine to acknowledge or reject the replies just written,
// before more of its commands are started.
func (c *client) awaitsPresence() bool {
	return c.readDelayed && c.front.loop.Now()-c.repliedAt <= presenceCheckTime && c.endMayBeHidden() && c.net.HasUnacked()
}
