package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// batchResult is what became of requests that were written at once.
type batchResult struct {
	answered, served, refused, failed int
	unanswered                        int
	ended                             time.Duration // from the write to the end of the connection; 0 if it stayed open
	reset                             bool          // the end came with a reset: something lay unread
}

// sendBatch writes n lookups with one write and reads their answers.
func sendBatch(addr string, n, ms int) (r batchResult, err error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return r, err
	}
	defer c.Close()
	all := ""
	for range n {
		_, command := lookup("community", ms)
		all += command
	}
	begun := time.Now()
	if _, err := io.WriteString(c, all); err != nil {
		return r, err
	}
	_ = c.SetReadDeadline(begun.Add(time.Duration(ms)*time.Millisecond + 3*time.Second))
	in := bufio.NewReader(c)
	for r.answered < n {
		answer, err := readAnswer(in)
		if err != nil {
			r.ended = time.Since(begun)
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				r.ended = 0
			}
			break
		}
		r.answered++
		switch {
		case answer[0] == '$':
			r.served++
		case len(answer) >= 5 && answer[:5] == "-BUSY":
			r.refused++
		default:
			r.failed++
		}
	}
	r.unanswered = n - r.answered
	if r.unanswered > 0 && r.ended > 0 {
		time.Sleep(700 * time.Millisecond) // by then the ingress has closed its socket
		r.reset = wasReset(c)
	}
	return r, nil
}

// memoryCase: bad clients stop in the middle of a long request and stay, so that the memory for clients is
// used up. Meanwhile a sound client sends 200 commands at once.
func memoryCase(s *stage) string {
	var list []*backend
	for i := range 10 {
		list = append(list, newBackend(fmt.Sprintf("s-%08x", i+1), 20*time.Millisecond))
	}
	in := startIngress(s.root, s.dir, newDiscovery(list).addr, 64)
	end := time.Now().Add(12 * time.Second)
	var bad sync.WaitGroup
	var open, errorsOrCloses, slow atomic.Int64
	if s.trouble {
		// The sizes differ so that the memory is used up to the last kilobytes.
		for i := range 260 {
			size := 65000
			if i >= 180 {
				size = []int{30000, 8000, 2500, 900}[(i-180)/20]
			}
			bad.Go(func() {
				for time.Now().Before(end) {
					c, err := net.Dial("tcp", in.addr)
					if err != nil {
						time.Sleep(100 * time.Millisecond)
						continue
					}
					id, _ := lookup("community", 1500)
					command := encode("Q.DO", "00000000b4d65521", id, "c=payment,t=community,d=1500,units=1,spread=2,first=0", string(make([]byte, 65000)))
					_, _ = io.WriteString(c, command[:size])
					open.Add(1)
					stopped := time.Now()
					_ = c.SetReadDeadline(stopped.Add(5 * time.Second))
					_, _ = io.Copy(io.Discard, c) // stays until the ingress ends the connection
					if time.Since(stopped) > 3*time.Second {
						slow.Add(1)
					}
					errorsOrCloses.Add(1)
					open.Add(-1)
					c.Close()
					time.Sleep(500 * time.Millisecond)
				}
			})
		}
		time.Sleep(700 * time.Millisecond)
	}
	lost, batches := 0, 0
	for time.Now().Before(end) {
		r, err := sendBatch(in.addr, 200, 2500)
		if err != nil {
			s.record.printf("batch: %v", err)
			continue
		}
		batches++
		s.record.printf("200 lookups written at once: served %d, refused %d, failed %d, without an answer %d; ended after %v, reset %v; bad clients open %d",
			r.served, r.refused, r.failed, r.unanswered, r.ended.Round(time.Millisecond), r.reset, open.Load())
		if r.unanswered > 0 && !r.reset {
			lost += r.unanswered
		}
		time.Sleep(150 * time.Millisecond)
	}
	bad.Wait()
	s.record.printf("%d batches; bad clients ended by the ingress: %d, later than 3 s: %d; backends ran %d requests; the ingress runs: %v",
		batches, errorsOrCloses.Load(), slow.Load(), runs(list), in.running())
	if !in.running() {
		return "the ingress has crashed"
	}
	if lost > 0 {
		return fmt.Sprintf("%d requests of a sound client were read and never answered", lost)
	}
	return ""
}
