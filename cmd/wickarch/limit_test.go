package main

import (
	"sync"
	"sync/atomic"
	"testing"

	"wickarch/internal/standin"
)

// Guards against requests that are refused as overload although nothing is overloaded, at startup or later: the
// backend responds within milliseconds, the quota is a million requests per second, and each of 64 clients sends
// its next request as soon as the last is answered.
func TestNoRequestIsRefusedWithoutOverload(t *testing.T) {
	s := startTestEnv(t, defaultLimits, "")
	var running sync.WaitGroup
	var refused, served atomic.Int32
	for range 64 {
		c := s.dial()
		running.Go(func() {
			for range 200 {
				switch s.lookup(c) {
				case standin.Served:
					served.Add(1)
				case standin.Refused:
					refused.Add(1)
				}
			}
		})
	}
	running.Wait()
	if refused.Load() > 0 || served.Load() != 64*200 {
		t.Errorf("%d refused, %d of %d served", refused.Load(), served.Load(), 64*200)
	}
}
