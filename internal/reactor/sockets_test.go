//go:build linux

package reactor

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"
)

// testTimeout bounds every wait of the tests; no test passes by reaching it.
const testTimeout = 30 * time.Second

// socketOption returns the value of a socket option.
func socketOption(t *testing.T, fd, level, name int) int {
	t.Helper()
	value, err := syscall.GetsockoptInt(fd, level, name)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// ignoreEvents is a Handler that does nothing.
type ignoreEvents struct{}

func (ignoreEvents) Ready(Event) {}

// acceptConn accepts one connection, polling until it arrives.
func acceptConn(t *testing.T, ln Listener) *socket {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		if nc, err := ln.Accept(); err == nil {
			t.Cleanup(nc.Close)
			return nc.(*socket)
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("timed out waiting for a connection")
	return nil
}

// inheritedSocket opens a listening socket and returns a descriptor of it, as a process manager passes it on.
func inheritedSocket(t *testing.T, multipath bool) (address string, fd int) {
	t.Helper()
	var config net.ListenConfig
	config.SetMultipathTCP(multipath)
	ln, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
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

// Guards against an answer that Nagle's algorithm delays and a reset then drops, and
// against a vanished client that keeps its descriptor for ever: each connection has
// TCP_NODELAY and keepalive, whichever process opened the listening socket.
func TestConnectionsHaveSocketOptions(t *testing.T) {
	for name, listenAddress := range map[string]func(t *testing.T) string{
		"own": func(*testing.T) string { return "127.0.0.1:0" },
		"inherited": func(t *testing.T) string {
			_, fd := inheritedSocket(t, false)
			return InheritedAddress(fd)
		},
		"inherited, multipath": func(t *testing.T) string { // package net's default
			_, fd := inheritedSocket(t, true)
			return InheritedAddress(fd)
		},
	} {
		t.Run(name, func(t *testing.T) {
			sockets, err := NewSockets()
			if err != nil {
				t.Fatal(err)
			}
			defer sockets.Close()
			ln, err := sockets.Listen(listenAddress(t), ignoreEvents{})
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
				k := acceptConn(t, ln)
				for optionName, o := range map[string][3]int{
					"TCP_NODELAY":       {syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1},
					"SO_KEEPALIVE":      {syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1},
					"TCP_KEEPIDLE":      {syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE, keepAliveIdle},
					"TCP_KEEPINTVL":     {syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL, keepAliveInterval},
					"TCP_KEEPCNT":       {syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT, keepAliveProbes},
					"TCP_NOTSENT_LOWAT": {syscall.IPPROTO_TCP, tcpNotSentLowat, maxUnsent},
				} {
					if got := socketOption(t, k.fd, o[0], o[1]); got != o[2] {
						t.Errorf("%s of an accepted connection is %d, want %d", optionName, got, o[2])
					}
				}
			}
		})
	}
	sockets, err := NewSockets()
	if err != nil {
		t.Fatal(err)
	}
	defer sockets.Close()
	address, fd := inheritedSocket(t, false)
	defer func() { _ = syscall.Close(fd) }()
	nc, err := sockets.Dial(address, ignoreEvents{})
	if err != nil {
		t.Fatal(err)
	}
	if got := socketOption(t, nc.(*socket).fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY); got != 1 {
		t.Errorf("TCP_NODELAY of a dialed connection is %d, want 1", got)
	}
}

// SinceLastReceive grows from the arrival of data, whether it is read or not, and restarts
// when more data arrives.
func TestSinceLastReceive(t *testing.T) {
	const tick = 10 * time.Millisecond // the kernel's clock may lag by so much
	sockets, err := NewSockets()
	if err != nil {
		t.Fatal(err)
	}
	defer sockets.Close()
	ln, err := sockets.Listen("127.0.0.1:0", ignoreEvents{})
	if err != nil {
		t.Fatal(err)
	}
	nc, err := net.Dial("tcp", ln.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	k := acceptConn(t, ln)
	for range 3 {
		writtenAt := time.Now()
		if _, err := nc.Write([]byte("something")); err != nil {
			t.Fatal(err)
		}
		for !k.Pending() {
			if time.Since(writtenAt) > testTimeout {
				t.Fatal("timed out waiting for the written data")
			}
		}
		age := k.SinceLastReceive()
		if maxAge := time.Since(writtenAt) + tick; age > maxAge {
			t.Fatalf("data that arrived within the last %v is reported as %v old", maxAge, age)
		}
		for minAge := age + 3*tick; age < minAge; age = k.SinceLastReceive() {
			if time.Since(writtenAt) > testTimeout {
				t.Fatalf("data that arrived %v ago is reported as %v old", testTimeout, age)
			}
		}
		var buf [64]byte
		_, _ = k.Read(buf[:])
		if again := k.SinceLastReceive(); again < age {
			t.Fatalf("after the read the data is reported as %v old, before it as %v", again, age)
		}
	}
}
