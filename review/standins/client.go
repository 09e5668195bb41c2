package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"
)

// client is one connection of a client, or of the front, to an ingress.
type client struct {
	net.Conn
	in *bufio.Reader
}

func dial(addr string) (*client, error) {
	nc, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &client{Conn: nc, in: bufio.NewReaderSize(nc, 64<<10)}, nil
}

func (c *client) close() { _ = c.Close() }

// encode encodes a command as an array of bulk strings.
func encode(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b.String()
}

func (c *client) send(words ...string) { _, _ = io.WriteString(c, encode(words...)) }

// read reads one answer: "+text", "-text", or "$value" of a bulk string.
func (c *client) read(limit time.Duration) (string, error) {
	_ = c.SetReadDeadline(time.Now().Add(limit))
	line, err := c.in.ReadString('\n')
	if err != nil {
		return "", err
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" || line[0] != '$' {
		return line, nil
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < 0 {
		return line, err
	}
	value := make([]byte, n+2)
	if _, err = io.ReadFull(c.in, value); err != nil {
		return "", err
	}
	return "$" + string(value[:n]), nil
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// lookup and payment are requests of the two classes, of one unit.
func lookup(customer int, id string, ms int, plan string, spread int) []string {
	return []string{"Q.ASK", fmt.Sprintf("%016x", customer), id, fmt.Sprintf("c=lookup,t=%s,d=%d,units=1,spread=%d,first=0", plan, ms, spread)}
}

func payment(customer int, id string, ms int, plan string, spread int) []string {
	return []string{"Q.DO", fmt.Sprintf("%016x", customer), id, fmt.Sprintf("c=payment,t=%s,d=%d,units=1,spread=%d,first=0", plan, ms, spread), "pay"}
}

// wrap makes a client of a connection.
func wrap(nc net.Conn) *client { return &client{Conn: nc, in: bufio.NewReaderSize(nc, 64<<10)} }
