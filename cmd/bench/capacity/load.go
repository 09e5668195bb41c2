package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"wickarch/internal/standin"
)

const giveUp = 2 * time.Second // of a client

// load is a stream of requests on kept connections, each connection with one at a time.
type load struct {
	Addr      string
	Conns     int
	PerSecond float64               // of all connections; 0 for as fast as they can
	Customer  func(n int64) uint64  // of the n-th request
	Done      func(d time.Duration) // with the time since the request was due, of what was served; may be nil
	Served    atomic.Int64
	Refused   atomic.Int64
	Failed    atomic.Int64 // any other end
}

// Run sends n requests, or until ctx ends where n is 0.
func (l *load) Run(ctx context.Context, n int64) error {
	var all sync.WaitGroup
	var next atomic.Int64
	errs := make(chan error, l.Conns)
	begun := time.Now()
	for range l.Conns {
		all.Go(func() {
			c, err := standin.Dial(l.Addr, giveUp)
			if err != nil {
				errs <- err
				return
			}
			defer func() { c.Close() }()
			for ctx.Err() == nil {
				i := next.Add(1) - 1
				if n > 0 && i >= n {
					return
				}
				due := time.Now()
				if l.PerSecond > 0 {
					due = begun.Add(time.Duration(float64(i) / l.PerSecond * float64(time.Second)))
					select {
					case <-ctx.Done():
						return
					case <-time.After(time.Until(due)):
					}
				}
				id := "0" + standin.NewID()[1:]
				c.SetDeadline(time.Now().Add(2 * giveUp))
				switch c.Ask(id, standin.Lookup(l.Customer(i), id, int(giveUp.Milliseconds()))...) {
				case standin.Served:
					l.Served.Add(1)
					if l.Done != nil {
						l.Done(time.Since(due))
					}
				case standin.Refused:
					l.Refused.Add(1)
				default:
					l.Failed.Add(1)
					c.Close()
					if c, err = standin.Dial(l.Addr, giveUp); err != nil {
						errs <- err
						return
					}
				}
			}
		})
	}
	all.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

func (l *load) String() string {
	return fmt.Sprintf("%d served, %d refused, %d failed", l.Served.Load(), l.Refused.Load(), l.Failed.Load())
}

// backends starts stand-in backends that answer at once, and lists them.
func backends(n int) (list []standin.Member, running []*standin.Backend, stop func(), err error) {
	stop = func() {
		for _, b := range running {
			b.Close()
		}
	}
	for i := range n {
		b, err := standin.NewBackend(func(r standin.Received) { r.Answer(r.ID()) })
		if err != nil {
			stop()
			return nil, nil, nil, err
		}
		running = append(running, b)
		list = append(list, member(i, b.Addr))
	}
	return list, running, stop, nil
}

// discovered starts stand-in backends that answer at once, and a discovery that lists them.
// stop ends both.
func discovered(n int) (d *discovery, running []*standin.Backend, stop func(), err error) {
	list, running, stopBackends, err := backends(n)
	if err != nil {
		return nil, nil, nil, err
	}
	d = newDiscovery(list)
	return d, running, func() { d.Stop(); stopBackends() }, nil
}
