package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
)

// backend is a stand-in of a backend. It answers probes itself and passes requests to handle, each on a goroutine of
// its connection, in order.
type backend struct {
	id, addr string
	ln       net.Listener
	handle   func(b *backend, r *received)

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// received is one whole command.
type received struct {
	conn net.Conn
	args []string
	mu   *sync.Mutex // for writes to conn
}

func (r *received) id() string {
	if len(r.args) < 3 {
		return ""
	}
	return r.args[2]
}

// write writes bytes to the ingress.
func (r *received) write(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = io.WriteString(r.conn, text)
}

// answer gives a value, with no figures on use and no report.
func (r *received) answer(value string) { r.write(answerText(value)) }

func answerText(value string) string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}

func newBackend(e *env, id string, handle func(*backend, *received)) *backend {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		e.fail("backend: %v", err)
	}
	b := &backend{id: id, addr: ln.Addr().String(), ln: ln, handle: handle, conns: map[net.Conn]bool{}}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns[nc] = true
			b.mu.Unlock()
			go b.serve(nc)
		}
	}()
	return b
}

func (b *backend) serve(nc net.Conn) {
	defer func() {
		_ = nc.Close()
		b.mu.Lock()
		delete(b.conns, nc)
		b.mu.Unlock()
	}()
	in := bufio.NewReaderSize(nc, 16<<10)
	mu := &sync.Mutex{}
	for {
		args, err := readCommand(in)
		if err != nil || len(args) == 0 {
			return
		}
		r := &received{nc, args, mu}
		switch strings.ToUpper(args[0]) {
		case "INFO":
			report := "inflight=1,latency_ms=20"
			r.write(fmt.Sprintf("$%d\r\n%s\r\n", len(report), report))
		case "PING":
			r.write("+PONG\r\n")
		case "CLIENT", "SELECT":
			r.write("+OK\r\n")
		case "Q.ASK", "Q.DO":
			b.handle(b, r)
		default:
			r.write("-ERR unknown\r\n")
		}
	}
}

// readCommand reads an array of bulk strings.
func readCommand(in *bufio.Reader) ([]string, error) {
	count, err := readLength(in, '*')
	if err != nil {
		return nil, err
	}
	args := make([]string, count)
	for i := range args {
		size, err := readLength(in, '$')
		if err != nil {
			return nil, err
		}
		text := make([]byte, size+2)
		if _, err = io.ReadFull(in, text); err != nil {
			return nil, err
		}
		args[i] = string(text[:size])
	}
	return args, nil
}

func readLength(in *bufio.Reader, kind byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" || line[0] != kind {
		return 0, fmt.Errorf("%q", line)
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < 0 || n > 1<<20 {
		return 0, fmt.Errorf("%q", line)
	}
	return n, nil
}
