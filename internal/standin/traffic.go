package standin

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes that a set of connections reads (In) and writes (Out).
type Traffic struct {
	In, Out atomic.Int64
	Conns   atomic.Int64 // connections opened
}

// WrapConn counts a connection and the bytes read from and written to the one it returns.
func (t *Traffic) WrapConn(c net.Conn) net.Conn {
	t.Conns.Add(1)
	return countedConn{c, t}
}

// WrapListener counts all connections that a listener accepts.
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
