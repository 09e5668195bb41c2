package standin

import (
	"net"
	"sync/atomic"
)

// Traffic counts what passes connections, in bytes as their owner sees it.
type Traffic struct {
	In, Out atomic.Int64
	Conns   atomic.Int64 // opened
}

// Counted counts a connection, and all that passes it from now on.
func (t *Traffic) WrapConn(c net.Conn) net.Conn {
	t.Conns.Add(1)
	return countedConn{c, t}
}

// Listener counts all connections that a listener accepts.
func (t *Traffic) WrapListener(ln net.Listener) net.Listener { return countedListener{ln, t} }

type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.In.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Out.Add(int64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	traffic *Traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.WrapConn(c), nil
}
