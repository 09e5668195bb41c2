package fleetproc

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"wickarch/distribution"
	"wickarch/internal/rolloutlink"
	"wickarch/internal/standin"
)

// StartConfigured starts coordinators, backends and ingresses that follow the configuration
// distributed by the coordinators, without agents. The ingresses are in Programs, and each
// connects to each coordinator through a link of its own in Links.
func StartConfigured(cfg Config) (*Fleet, error) {
	f := newFleet(cfg)
	if err := f.buildConfigured(); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

// StartCoordinators starts only coordinators and waits until one is the leader.
func StartCoordinators(cfg Config) (*Fleet, error) {
	f := newFleet(cfg)
	if err := f.startCoordinators(); err != nil {
		f.Stop()
		return nil, err
	}
	for end := time.Now().Add(time.Minute); f.Leader() < 0; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			f.Stop()
			return nil, fmt.Errorf("no coordinator became leader: %s", f.Coordinators[0].Log())
		}
	}
	return f, nil
}

func (f *Fleet) buildConfigured() error {
	if err := f.startBackends(); err != nil {
		return err
	}
	if err := f.startCoordinators(); err != nil {
		return err
	}
	f.Front = &standin.Front{PerSecond: f.PerSecond, Payments: f.Payments, Deadline: 3 * time.Second, Effects: &f.Effects}
	for i := range f.Ingresses {
		env, _, err := f.configureIngress(i)
		if err != nil {
			return err
		}
		name := fmt.Sprint("n", i)
		var own []*standin.Link
		var addresses []string
		for _, a := range f.Addresses {
			l, err := standin.NewLink(a)
			if err != nil {
				return err
			}
			own = append(own, l)
			addresses = append(addresses, fmt.Sprintf("%q", l.Addr))
		}
		f.Links = append(f.Links, own)
		path := filepath.Join(f.Dir, name+".follow.toml")
		text := fmt.Sprintf("name = %q\nregion = \"r%d\"\ncoordinators = [%s]\ndir = %q\n", name, i%max(1, f.Zones), strings.Join(addresses, ", "), f.ConfigDir(i))
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		p := &Process{Name: name, args: []string{f.bin("wickarch"), "-follow", path}, env: env, log: filepath.Join(f.Dir, name+".log")}
		f.Programs = append(f.Programs, p)
		if err := p.Start(); err != nil {
			return err
		}
	}
	f.startFront()
	return f.WaitConfig(time.Minute, "all ingresses follow", func(s distribution.Status) bool {
		inForce := 0
		for _, x := range s.Followers {
			if x.Sync == distribution.SyncInForce {
				inForce++
			}
		}
		return inForce == f.Ingresses && f.Front.Unavailable() == 0
	})
}

// startFront starts the front, which sends requests until Stop.
func (f *Fleet) startFront() {
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	go func() { f.done <- f.Front.Run(ctx) }()
}

// ConfigDir returns the directory in which an ingress stores its configuration.
func (f *Fleet) ConfigDir(i int) string { return filepath.Join(f.Dir, fmt.Sprintf("n%d.config", i)) }

// ConfigStatus requests the configuration status directly from the leader.
func (f *Fleet) ConfigStatus(timeout time.Duration) (s distribution.Status, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err = rolloutlink.CallLeader(ctx, f.http, f.Addresses, http.MethodGet, rolloutlink.PathConfigStatus, nil, &s, rolloutlink.MaxStatusBytes)
	return s, err
}

// WaitConfig waits until the configuration status fulfils a condition; what names the condition.
func (f *Fleet) WaitConfig(timeout time.Duration, what string, is func(distribution.Status) bool) error {
	end := time.Now().Add(timeout)
	last := ""
	for time.Now().Before(end) {
		s, err := f.ConfigStatus(2 * time.Second)
		if err == nil && is(s) {
			return nil
		}
		if last = fmt.Sprint(err); err == nil {
			last = fmt.Sprintf("version %d, settled %d, halt %v, %+v", s.Version, s.Settled, s.Halt, s.Followers)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("timed out after %v waiting until %s: %s; %d ingresses unavailable", timeout, what, last, f.Front.Unavailable())
}

// CustomerLoad sends requests of one customer to every ingress at a given rate, and counts
// the results.
type CustomerLoad struct {
	Plan      string
	PerSecond float64 // at each ingress

	mu       sync.Mutex
	arrivals []time.Time // arrival times of requests at backends
	outcomes [5]int      // by standin.Outcome
	stop     context.CancelFunc
	all      sync.WaitGroup
}

// loadCustomer is the customer number of a CustomerLoad; the front does not use it.
const loadCustomer = 0xbe51e9e

// StartCustomerLoad starts a load on all of the fleet's ingresses.
func (f *Fleet) StartCustomerLoad(s *CustomerLoad) {
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	f.mu.Lock()
	f.customerLoad = s
	f.mu.Unlock()
	for _, address := range f.Front.Addrs {
		s.all.Go(func() { s.ask(ctx, address, f.Ingresses) })
	}
}

func (s *CustomerLoad) ask(ctx context.Context, address string, spread int) {
	var c *standin.Client
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			continue
		case <-time.After(time.Duration(float64(time.Second) / s.PerSecond)):
		}
		if c == nil {
			var err error
			if c, err = standin.Dial(address, 3*time.Second); err != nil {
				c = nil
				continue
			}
		}
		c.SetDeadline(time.Now().Add(3 * time.Second))
		id := "0" + standin.NewID()[1:]
		options := fmt.Sprintf("c=lookup,t=%s,d=2000,units=1,spread=%d,first=0", s.Plan, spread)
		got := c.Ask(id, "Q.ASK", fmt.Sprintf("%016x", loadCustomer), id, options)
		s.mu.Lock()
		s.outcomes[got]++
		s.mu.Unlock()
		if got != standin.Served && got != standin.Refused {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
}

// recordArrival records that a request has reached a backend.
func (s *CustomerLoad) recordArrival() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, time.Now())
}

// End stops the load and waits for its clients.
func (s *CustomerLoad) End() {
	s.stop()
	s.all.Wait()
}

// Count returns how many requests reached backends since a time, and the outcomes of all
// requests, by standin.Outcome.
func (s *CustomerLoad) Count(from time.Time) (reached int, results [5]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.arrivals {
		if !t.Before(from) {
			reached++
		}
	}
	return reached, s.outcomes
}

// MaxExcess replays the requests that reached backends between two times against a token
// bucket with the rate and burst of a ceiling, full at first. It returns the largest number
// of units by which they exceeded it.
func (s *CustomerLoad) MaxExcess(from, to time.Time, rate, burst float64) (worst float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	level, last := burst, from
	for _, t := range s.arrivals {
		if t.Before(from) || t.After(to) {
			continue
		}
		level = min(burst, level+t.Sub(last).Seconds()*rate) - 1
		last = t
		worst = max(worst, -level)
	}
	return worst
}
