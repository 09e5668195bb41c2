package ingress

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"
	"testing"
)

// address returns a socket's address as "host:port", or "" if it has none.
func address(sa syscall.Sockaddr, err error) string {
	if err != nil {
		return ""
	}
	switch sa := sa.(type) {
	case *syscall.SockaddrInet4:
		return fmt.Sprintf("%s:%d", net.IP(sa.Addr[:]), sa.Port)
	case *syscall.SockaddrInet6:
		return fmt.Sprintf("%s:%d", net.IP(sa.Addr[:]), sa.Port)
	}
	return ""
}

// Guards against bytes that the system holds back because there are few of them, and that a reset then destroys:
// every socket that the ingress writes to must have TCP_NODELAY set. The options are read from the descriptors of
// the process, so that no way of opening a socket is left out.
func TestEverySocketHasNoDelay(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, withAdmin, b.member("b"))
	c := r.dial()
	c.send("Q.ASK", someCustomer, newID(), lookup)
	got := wait(t, "the request", b.Got)
	wait(t, "a watch", r.discovery.Watched)
	caller, err := net.Dial("tcp", r.server.admin.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	r.eventually("a connection to the admin address", func(*loop) bool { return r.server.admin.Open() == 1 })
	seen := map[string]int{}
	r.onLoop(func(*loop) { // the ingress closes no descriptor meanwhile
		all, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range all {
			fd, _ := strconv.Atoi(e.Name())
			local, remote := address(syscall.Getsockname(fd)), address(syscall.Getpeername(fd))
			peer := ""
			switch {
			case remote == "": // a listener, or no socket
			case local == r.server.Addr():
				peer = "a client"
			case local == r.server.admin.Addr():
				peer = "the admin address"
			case remote == b.Addr:
				peer = "a backend"
			case remote == r.discovery.Addr():
				peer = "discovery"
			}
			if peer == "" {
				continue
			}
			seen[peer]++
			if on, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY); err != nil || on == 0 {
				t.Errorf("TCP_NODELAY to %s is %d, error %v", peer, on, err)
			}
		}
	})
	for _, peer := range []string{"a client", "the admin address", "a backend", "discovery"} {
		if seen[peer] == 0 {
			t.Errorf("found no connection to %s, only %v", peer, seen)
		}
	}
	got.Answer("v")
	c.want("$1\r\nv")
}
