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

// Guards against responses that are lost at shutdown, and against a process that the platform has to kill.
// Three processes get SIGINT and then SIGTERM repeatedly, while the backend leaves half of the requests unanswered
// and clients keep pipelining requests on their connections. Each request that ran must be answered.
func TestShutdownWithHangingBackendsLosesNoRequest(t *testing.T) {
	const giveUpTimeout = 900 * time.Millisecond
	s := newTestEnv(t, standin.Limits{Cores: 1, MemoryMB: 64, Sockets: 384})
	s.node.Settings = json.RawMessage(strings.ReplaceAll(string(s.node.Settings), `"give_up_ms":20000`,
		fmt.Sprintf(`"give_up_ms":%d`, giveUpTimeout.Milliseconds())))
	for range 3 {
		s.startProcess(nil)
		p, ended := s.Process, make(chan struct{})
		var clients sync.WaitGroup
		for n := range 4 {
			c := s.dial()
			clients.Add(1)
			sent := make(chan string, 10_000)
			go func() { // until the connection is closed
				defer close(sent)
				for i := 0; ; i++ {
					id, customer := "f"+standin.NewID()[1:], uint64(1000+n) // an id of a payment
					if i%2 == 1 {
						customer = unansweredCustomer
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
					// Responses come in the order of the requests, so after the first error none follows.
					if _, err := c.ReadReply(); err != nil {
						c.Close() // stops the sender
						<-ended
						for ok := true; ok; id, ok = <-sent {
							if s.effects.Count(id) > 0 {
								t.Errorf("request %s has run and got no response", id)
							}
						}
					}
				}
			}()
		}
		for end := time.Now().Add(waitTimeout); s.effects.Total() < 20 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		signalled := time.Now()
		if err := p.Cmd.Process.Signal(os.Interrupt); err != nil {
			t.Error(err)
		}
		go func() {
			for errors.Is(p.Cmd.Process.Signal(syscall.SIGTERM), nil) { // until it exits
				time.Sleep(10 * time.Millisecond)
			}
		}()
		if err := p.Stop(waitTimeout); err != nil {
			t.Errorf("the process exited with %v", err)
		}
		// Not a limit on speed: a process that waits for clients that keep sending would never exit.
		if took := time.Since(signalled); took > giveUpTimeout+waitTimeout/2 {
			t.Errorf("shutdown took %v", took)
		}
		close(ended)
		clients.Wait()
	}
	s.expectNoPaymentTwice()
}
