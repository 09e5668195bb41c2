package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"
)

// finishCase: the ingress is told to end (SIGTERM) while a client has many commands out and some backends hang.
func finishCase(s *stage) string {
	var list []*backend
	for i := range 10 {
		list = append(list, newBackend(fmt.Sprintf("s-%08x", i+1), 80*time.Millisecond))
	}
	in := startIngress(s.root, s.dir, newDiscovery(list).addr, 192)
	for i := range 3 { // warms up
		r, err := sendBatch(in.addr, 40, 2500)
		s.record.printf("warm-up %d: %+v %v", i, r, err)
	}
	for _, b := range list[:4] { // a quarter to a half of the backends hang
		b.setHung(true)
	}
	s.record.printf("4 of 10 backends hang")
	c, err := net.Dial("tcp", in.addr)
	if err != nil {
		cannotRun(err)
	}
	defer c.Close()
	sent := map[int]time.Time{}
	n := 0
	write := func(k int) {
		all := ""
		for range k {
			all += payment("community", 1500)
			sent[n] = time.Now()
			n++
		}
		if _, err := io.WriteString(c, all); err != nil {
			cannotRun(err)
		}
		s.record.printf("%d payments written at once (%d in all), each with 1.5 s", k, n)
	}
	write(200)
	time.Sleep(100 * time.Millisecond)
	write(60)
	time.Sleep(100 * time.Millisecond)
	told := time.Now()
	if s.trouble {
		in.signal(syscall.SIGTERM)
		s.record.printf("SIGTERM")
		defer func() { in.signal(syscall.SIGKILL) }()
	}
	_ = c.SetReadDeadline(time.Now().Add(7 * time.Second))
	r, answered := bufio.NewReader(c), 0
	var last time.Duration
	kinds := map[string]int{}
	for answered < n {
		answer, err := readAnswer(r)
		last = time.Since(told)
		if err != nil {
			s.record.printf("%.3f s after SIGTERM the connection ends: %v", last.Seconds(), err)
			break
		}
		answered++
		switch {
		case answer[0] == '$':
			kinds["served"]++
		case len(answer) >= 5 && answer[:5] == "-BUSY":
			kinds["refused"]++
		default:
			kinds["failed"]++
		}
	}
	time.Sleep(700 * time.Millisecond)
	s.record.printf("answered %d of %d: %v; the end came with a reset: %v; the ingress runs: %v", answered, n, kinds, wasReset(c), in.running())
	if answered < n {
		return fmt.Sprintf("%d requests were written %.1f s before SIGTERM, and never answered: the connection ended %.1f s after it, when their time was over",
			n-answered, told.Sub(sent[n-1]).Seconds(), last.Seconds())
	}
	return ""
}
