package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// request is one command that a backend has read whole.
type request struct {
	at      time.Time
	words   []string
	conn    net.Conn
	backend *backend
}

func (r *request) id() string { return r.words[2] }

// served is the answer to a request.
func served(value string) []byte {
	return fmt.Appendf(nil, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}

// backend is a stand-in for an app node. Each connection's commands are answered in order.
type backend struct {
	env    *env
	name   string
	addr   string
	ln     net.Listener
	handle func(*request) // writes the answer to the request's connection

}

func (e *env) addBackend(name string, handle func(*request)) (*backend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{env: e, name: name, addr: ln.Addr().String(), ln: ln, handle: handle}
	go b.accept(ln)
	return b, nil
}

func (b *backend) accept(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		go b.serve(nc)
	}
}

func (b *backend) serve(nc net.Conn) {
	in := bufio.NewReaderSize(nc, 80<<10)
	defer func() { _ = nc.Close() }()
	for {
		words, err := readCommand(in)
		if err != nil {
			return
		}
		now := time.Now()
		switch {
		case strings.EqualFold(words[0], "INFO"):
			report := "inflight=1,latency_ms=80"
			_, _ = fmt.Fprintf(nc, "$%d\r\n%s\r\n", len(report), report)
		case strings.EqualFold(words[0], "PING"):
			_, _ = io.WriteString(nc, "+PONG\r\n")
		case len(words) < 4:
			_, _ = io.WriteString(nc, "-SYNTAX\r\n")
		default:
			b.handle(&request{at: now, words: words, conn: nc, backend: b})
		}
	}
}

// readCommand reads an array of bulk strings.
func readCommand(in *bufio.Reader) ([]string, error) {
	n, err := readLength(in, '*')
	if err != nil {
		return nil, err
	}
	words := make([]string, n)
	for i := range words {
		size, err := readLength(in, '$')
		if err != nil {
			return nil, err
		}
		data := make([]byte, size+2)
		if _, err := io.ReadFull(in, data); err != nil {
			return nil, err
		}
		words[i] = string(data[:size])
	}
	return words, nil
}

func readLength(in *bufio.Reader, kind byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if len(line) < 4 || line[0] != kind {
		return 0, fmt.Errorf("unexpected line %q", line)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}
