//go:build linux

package reactor

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"
)

// patience bounds every wait of the tests; none of them passes by waiting.
const patience = 30 * time.Second

// option reads an option of a socket.
func option(t *testing.T, fd, level, name int) int {
	t.Helper()
	value, err := syscall.GetsockoptInt(fd, level, name)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// quiet is told of nothing that matters.
type quiet struct{}

func (quiet) Ready(Event) {}

// accepted takes one connection.
func accepted(t *testing.T, ln Listener) *socket {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); {
		if nc, err := ln.Accept(); err == nil {
			t.Cleanup(nc.Close)
			return nc.(*socket)
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("waited in vain for a connection")
	return nil
}

// passed is the descriptor of a listening socket as a platform hands it on.
func passed(t *testing.T, multipath bool) (address string, fd int) {
	t.Helper()
	var open net.ListenConfig
	open.SetMultipathTCP(multipath)
	ln, err := open.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	file, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	if fd, err = syscall.Dup(int(file.Fd())); err != nil {
		t.Fatal(err)
	}
	return ln.Addr().String(), fd
}

// An answer that the system holds back for its small size is lost with a reset, and
// a client that has vanished keeps its descriptor for ever. So each connection sends
// at once and looks for its peer, whoever has opened the socket that it came on.
func TestConnectionsHaveTheirOptionsFromTheFirstByte(t *testing.T) {
	for name, how := range map[string]func(t *testing.T) string{
		"own": func(*testing.T) string { return "127.0.0.1:0" },
		"inherited": func(t *testing.T) string {
			_, fd := passed(t, false)
			return InheritedAddress(fd)
		},
		"inherited, multipath": func(t *testing.T) string { // as package net opens one
			_, fd := passed(t, true)
			return InheritedAddress(fd)
		},
	} {
		t.Run(name, func(t *testing.T) {
			world, err := NewSockets()
			if err != nil {
				t.Fatal(err)
			}
			defer world.Close()
			ln, err := world.Listen(how(t), quiet{})
			if err != nil {
				t.Fatal(err)
			}
			var client net.Dialer
			client.SetMultipathTCP(name == "inherited, multipath")
			for _, dial := range []func(network, address string) (net.Conn, error){net.Dial, client.Dial} {
				nc, err := dial("tcp", ln.Address())
				if err != nil {
					t.Fatal(err)
				}
				defer nc.Close()
				k := accepted(t, ln)
				for what, o := range map[string][3]int{
					"TCP_NODELAY":       {syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1},
					"SO_KEEPALIVE":      {syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1},
					"TCP_KEEPIDLE":      {syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE, keepIdle},
					"TCP_KEEPINTVL":     {syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL, keepEvery},
					"TCP_KEEPCNT":       {syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT, keepProbes},
					"TCP_NOTSENT_LOWAT": {syscall.IPPROTO_TCP, tcpNotSentLowat, unsentMost},
				} {
					if got := option(t, k.fd, o[0], o[1]); got != o[2] {
						t.Errorf("%s of a connection that was taken is %d, want %d", what, got, o[2])
					}
				}
			}
		})
	}
	world, err := NewSockets()
	if err != nil {
		t.Fatal(err)
	}
	defer world.Close()
	address, fd := passed(t, false)
	defer func() { _ = syscall.Close(fd) }()
	nc, err := world.Dial(address, quiet{})
	if err != nil {
		t.Fatal(err)
	}
	if got := option(t, nc.(*socket).fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY); got != 1 {
		t.Errorf("TCP_NODELAY of a connection that was dialed is %d, want 1", got)
	}
}

// What has come is as old as it is, read or not, and something new makes it young.
func TestWhatHasComeTellsItsAge(t *testing.T) {
	const tick = 10 * time.Millisecond // the system's clock for it may be so far behind
	world, err := NewSockets()
	if err != nil {
		t.Fatal(err)
	}
	defer world.Close()
	ln, err := world.Listen("127.0.0.1:0", quiet{})
	if err != nil {
		t.Fatal(err)
	}
	nc, err := net.Dial("tcp", ln.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	k := accepted(t, ln)
	for range 3 {
		written := time.Now()
		if _, err := nc.Write([]byte("something")); err != nil {
			t.Fatal(err)
		}
		for !k.Pending() {
			if time.Since(written) > patience {
				t.Fatal("waited in vain for what was written")
			}
		}
		age := k.SinceLastReceive()
		if most := time.Since(written) + tick; age > most {
			t.Fatalf("what came within %v is %v old", most, age)
		}
		for least := age + 3*tick; age < least; age = k.SinceLastReceive() {
			if time.Since(written) > patience {
				t.Fatalf("what came %v ago is %v old", patience, age)
			}
		}
		var buf [64]byte
		_, _ = k.Read(buf[:])
		if again := k.SinceLastReceive(); again < age {
			t.Fatalf("what was read is %v old, and was %v", again, age)
		}
	}
}
