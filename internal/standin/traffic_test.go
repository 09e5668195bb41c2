package standin

import (
	"io"
	"net"
	"testing"
)

// Both ends of a connection count its bytes, each from its own side.
func TestTraffic(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var server, client Traffic
	served := make(chan error, 1)
	go func() {
		c, acceptErr := server.WrapListener(ln).Accept()
		if acceptErr != nil {
			served <- acceptErr
			return
		}
		defer c.Close()
		_, transferErr := io.ReadFull(c, make([]byte, 5))
		if transferErr == nil {
			_, transferErr = io.WriteString(c, "a longer answer")
		}
		served <- transferErr
	}()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c := client.WrapConn(nc)
	defer c.Close()
	if _, err := io.WriteString(c, "hello"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(c); err != nil {
		t.Fatal(err)
	}
	if err := <-served; err != nil {
		t.Fatal(err)
	}
	for name, got := range map[string]struct {
		traffic *Traffic
		in, out int64
	}{"server": {&server, 5, 15}, "client": {&client, 15, 5}} {
		if in, out, conns := got.traffic.In.Load(), got.traffic.Out.Load(), got.traffic.Conns.Load(); in != got.in || out != got.out || conns != 1 {
			t.Errorf("%s: %d bytes in, %d out on %d connections, want %d, %d, 1", name, in, out, conns, got.in, got.out)
		}
	}
}
