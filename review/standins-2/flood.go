package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// residentKB is the memory that a process holds now, as the platform sees it; 0 if it has ended.
func residentKB(p *process) (kb int) {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ = strconv.Atoi(strings.Fields(rest)[0])
		}
	}
	return kb
}

// floodCase: bad clients send much at once and go, again and again. The platform kills an ingress that holds more than
// its memory_mb.
func floodCase(s *stage) string {
	const memoryMB, badClients, atOnce = 48, 16, 4000
	var list []*backend
	for i := range 10 {
		list = append(list, newBackend(fmt.Sprintf("s-%08x", i+1), 40*time.Millisecond))
	}
	in := startIngress(s.root, s.dir, newDiscovery(list).addr, memoryMB)
	end := time.Now().Add(20 * time.Second)
	var clients sync.WaitGroup
	var sent, visits atomic.Int64
	if s.trouble {
		for n := range badClients {
			clients.Go(func() {
				id := uint64(n+1) << 40
				for time.Now().Before(end) && in.running() {
					c, err := net.Dial("tcp", in.addr)
					if err != nil {
						time.Sleep(20 * time.Millisecond)
						continue
					}
					go func() {
						w := bufio.NewWriterSize(c, 1<<16)
						for range atOnce {
							id++
							customer := uint64(n + 1)
							if id&0xffffffff <= 1000 { // the first ones ask for customers of their own
								customer = id & 0x1ffffffff
							}
							_, _ = io.WriteString(w, encode("Q.ASK", fmt.Sprintf("%016x", customer), fmt.Sprintf("%016x", id),
								"c=lookup,t=community,d=2500,units=1,spread=2,first=0"))
						}
						_ = w.Flush()
					}()
					_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
					r := bufio.NewReader(c)
					answers := 0
					for ; answers < atOnce; answers++ {
						if _, err := readAnswer(r); err != nil {
							break
						}
					}
					sent.Add(int64(answers))
					visits.Add(1)
					c.Close()
				}
			})
		}
	}
	// Sound clients, 60 requests a second on connections that they keep.
	var lost, answered atomic.Int64
	for n := range 6 {
		clients.Go(func() {
			time.Sleep(time.Duration(n) * 16 * time.Millisecond)
			var c net.Conn
			var r *bufio.Reader
			for time.Now().Before(end) {
				begun := time.Now()
				if c == nil {
					var err error
					if c, err = net.Dial("tcp", in.addr); err != nil {
						if !in.running() {
							return
						}
						time.Sleep(20 * time.Millisecond)
						continue
					}
					r = bufio.NewReader(c)
				}
				_, command := lookup("district", 2500)
				_ = c.SetDeadline(begun.Add(4 * time.Second))
				answer := ""
				if _, err := io.WriteString(c, command); err == nil {
					answer, _ = readAnswer(r)
				}
				if answer == "" {
					lost.Add(1)
					c.Close()
					c = nil
				} else {
					answered.Add(1)
				}
				time.Sleep(max(0, 100*time.Millisecond-time.Since(begun)))
			}
		})
	}
	peak, killed := 0, false
	for second := time.Now(); time.Now().Before(end) && in.running(); time.Sleep(20 * time.Millisecond) {
		kb := residentKB(in.process)
		peak = max(peak, kb)
		if kb > memoryMB<<10 {
			killed = true
			in.signal(syscall.SIGKILL)
			s.record.printf("the ingress holds %d KB, over its %d MB: the platform kills it", kb, memoryMB)
			break
		}
		if time.Since(second) > time.Second {
			second = time.Now()
			s.record.printf("it holds %d KB; bad clients: %d visits, %d commands answered; sound clients: %d answered, %d without an answer",
				kb, visits.Load(), sent.Load(), answered.Load(), lost.Load())
		}
	}
	clients.Wait()
	s.record.printf("peak %d KB of %d MB; bad clients: %d visits, %d commands answered; sound clients: %d answered, %d without an answer; backends ran %d",
		peak, memoryMB, visits.Load(), sent.Load(), answered.Load(), lost.Load(), runs(list))
	if killed {
		return fmt.Sprintf("the ingress held over its limit of %d MB and was killed; %d requests of sound clients had no answer", memoryMB, lost.Load())
	}
	if !in.running() {
		return "the ingress has crashed"
	}
	return ""
}
