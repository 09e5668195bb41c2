package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"wickarch/internal/standin"
)

// Three processes are told to end, twice each, while half of the work hangs at its
// backend and clients go on sending on the connections that they have, more than
// one request at a time. What ran has its answer: none is lost. Each process ends
// in order, before a platform would kill it.
func TestStopsWhileBackendsHangLoseNothing(t *testing.T) {
	const longest = 900 * time.Millisecond
	s := around(t, standin.Limits{Cores: 1, MemoryMB: 64, Sockets: 384})
	s.node.Settings = json.RawMessage(strings.ReplaceAll(string(s.node.Settings), `"give_up_ms":20000`, fmt.Sprintf(`"give_up_ms":%d`, longest.Milliseconds())))
	for range 3 {
		s.begin(nil)
		p, ended := s.Process, make(chan struct{})
		var clients sync.WaitGroup
		for n := range 4 {
			c := s.dial()
			clients.Add(1)
			sent := make(chan string, 10_000)
			go func() { // until the connection has ended
				defer close(sent)
				for i := 0; ; i++ {
					id, customer := "f"+standin.NewID()[1:], uint64(1000+n) // a payment's
					if i%2 == 1 {
						customer = hole
					}
					if c.Send(standin.Payment(customer, id, 20_000)...) != nil {
						return
					}
					sent <- id
					time.Sleep(5 * time.Millisecond)
				}
			}()
			go func() {
				defer clients.Done()
				for id := range sent {
					// The answers come in the order of the requests; behind the last there is none.
					if _, err := c.ReadReply(); err != nil {
						c.Close() // ends the sender
						<-ended
						for ok := true; ok; id, ok = <-sent {
							if s.effects.Count(id) > 0 {
								t.Errorf("request %s has run and has no answer", id)
							}
						}
					}
				}
			}()
		}
		for end := time.Now().Add(patience); s.effects.Total() < 20 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		told := time.Now()
		if err := p.Cmd.Process.Signal(os.Interrupt); err != nil {
			t.Error(err)
		}
		go func() {
			for errors.Is(p.Cmd.Process.Signal(syscall.SIGTERM), nil) { // to its end
				time.Sleep(10 * time.Millisecond)
			}
		}()
		if err := p.Stop(patience); err != nil {
			t.Errorf("the process ended with %v", err)
		}
		// No figure of speed: a process that waits for those who go on would never end.
		if took := time.Since(told); took > longest+patience/2 {
			t.Errorf("it took %v to end", took)
		}
		close(ended)
		clients.Wait()
	}
	s.once()
}
