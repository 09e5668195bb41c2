package ingress

import (
	"net"
	"testing"
)

// Guards against running a payment twice: one that may have run gets no second attempt,
// and is answered as failed, not as refused.
func TestPaymentThatMayHaveRunIsNotRetried(t *testing.T) {
	one, two := newBackend(t), newBackend(t)
	r := newRig(t, nil, one.member("1"), two.member("2"))
	for _, end := range []func(received){
		received.Reset,
		func(got received) { got.Conn.Close() },
		func(got received) { got.Reply("-ERR failed") },
		// A malformed answer ends the attempt at once, though the connection stays open.
		func(got received) { got.Reply("$x") },
		func(got received) { got.Reply("*3\r\n$3000000000") },
		func(got received) { got.Reply("-BUSY \x01") },
		func(got received) { _, _ = got.Conn.Write([]byte("*3\r\n$9\r\nhalf")) },
		func(got received) { _, _ = got.Conn.Write([]byte("*3\r\n$9\r\nhal")); got.Conn.Close() },
	} {
		c := r.dial()
		c.send("Q.DO", someCustomer, newID(), payment, "BODY")
		select {
		case got := <-one.Got:
			end(got)
		case got := <-two.Got:
			end(got)
		}
		c.want("-ERR failed")
	}
	wantNone(t, "a second attempt", one.Got)
	wantNone(t, "a second attempt", two.Got)
}

// Guards against a payment that runs twice: half a refusal stands in front of an answer that comes in two pieces,
// and the first piece makes the half line whole.
func TestPaymentBehindHalfARefusalIsNotRetried(t *testing.T) {
	one, two := newBackend(t), newBackend(t)
	r := newRig(t, nil, one.member("1"), two.member("2"))
	for _, first := range []string{"-BUSY used=3 *3\r\n", "-BUSY used=3*3\r\n", "-BUSY *3\r\n", "-BUSY -ERR failed\r\n"} {
		c := r.dial()
		c.send("Q.DO", someCustomer, newID(), payment, "BODY")
		var got received
		select {
		case got = <-one.Got:
		case got = <-two.Got:
		}
		_, _ = got.Conn.Write([]byte(first))
		c.want("-ERR failed")                                      // only now the second piece comes
		_, _ = got.Conn.Write([]byte("$1\r\nv\r\n$-1\r\n$-1\r\n")) // the connection may have ended
		c.send("PING")
		c.want("+PONG") // nothing else was answered
	}
	wantNone(t, "a second attempt", one.Got)
	wantNone(t, "a second attempt", two.Got)
}

// A payment refused by one backend has not run, and goes to the other.
func TestRefusedPaymentIsRetried(t *testing.T) {
	one, two := newBackend(t), newBackend(t)
	r := newRig(t, nil, one.member("1"), two.member("2"))
	c := r.dial()
	c.send("Q.DO", someCustomer, newID(), payment, "BODY")
	var first, second received
	select {
	case first = <-one.Got:
		first.Reply("-BUSY")
		second = wait(t, "a second attempt", two.Got)
	case first = <-two.Got:
		first.Reply("-BUSY")
		second = wait(t, "a second attempt", one.Got)
	}
	second.Answer("v")
	c.want("$1\r\nv")
}

func TestPaymentIsRetriedWhenConnectionIsRefused(t *testing.T) {
	down, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := down.Addr().String()
	down.Close()
	b := newBackend(t)
	dead := b.member("dead")
	dead.HostPort = addr
	r := newRig(t, nil, b.member("b"), dead)
	c := r.dial()
	for range 10 { // some of them try the dead backend first
		c.send("Q.DO", someCustomer, newID(), payment, "BODY")
		wait(t, "the request", b.Got).Answer("v")
		c.want("$1\r\nv")
	}
}

// awaitReusable waits until so many connections to backends can be used again.
func (r *rig) awaitReusable(connections int) {
	r.Helper()
	r.eventually("connections to become reusable", func(l *loop) bool { return l.pool.Reusable() == connections })
}
