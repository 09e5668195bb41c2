package ingress

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"
	"testing"
)

// address tells a socket's address as "host:port", or "" where it has none.
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

// Every socket that the ingress writes to sends at once: what the system holds back
// for its small size is lost with a reset. The options are read from the process's
// descriptors, so that no way to open a socket is left out.
func TestEverySocketSendsAtOnce(t *testing.T) {
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
	r.eventually("a caller at the second address", func(*loop) bool { return r.server.admin.Open() == 1 })
	seen := map[string]int{}
	r.onLoop(func(*loop) { // no descriptor of the ingress's is closed meanwhile
		all, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range all {
			fd, _ := strconv.Atoi(e.Name())
			near, far := address(syscall.Getsockname(fd)), address(syscall.Getpeername(fd))
			what := ""
			switch {
			case far == "": // a listener, or no socket
			case near == r.server.Addr():
				what = "a client"
			case near == r.server.admin.Addr():
				what = "the second address"
			case far == b.Addr:
				what = "a backend"
			case far == r.discovery.Addr():
				what = "discovery"
			}
			if what == "" {
				continue
			}
			seen[what]++
			if on, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY); err != nil || on == 0 {
				t.Errorf("TCP_NODELAY to %s is %d, %v", what, on, err)
			}
		}
	})
	for _, what := range []string{"a client", "the second address", "a backend", "discovery"} {
		if seen[what] == 0 {
			t.Errorf("no connection to %s was seen, of %v", what, seen)
		}
	}
	got.Answer("v")
	c.want("$1\r\nv")
}
