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
// which the coordinators give out, with no agents: the ingresses are in Programs, and the way
// of each to each coordinator goes over a link in Links.
func StartConfigured(cfg Config) (*Fleet, error) {
	f := newFleet(cfg)
	if err := f.buildConfigured(); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

// StartCoordinators starts coordinators and nothing else, and waits until one leads.
func StartCoordinators(cfg Config) (*Fleet, error) {
	f := newFleet(cfg)
	if err := f.startCoordinators(); err != nil {
		f.Stop()
		return nil, err
	}
	for end := time.Now().Add(time.Minute); f.Leader() < 0; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			f.Stop()
			return nil, fmt.Errorf("no coordinator leads: %s", f.Coordinators[0].Log())
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
	return f.WaitConfig(time.Minute, "all follow", func(s distribution.Status) bool {
		heard := 0
		for _, x := range s.Followers {
			if x.Sync == distribution.SyncInForce {
				heard++
			}
		}
		return heard == f.Ingresses && f.Front.Unavailable() == 0
	})
}

// run has the front send requests until Stop.
func (f *Fleet) startFront() {
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	go func() { f.done <- f.Front.Run(ctx) }()
}

// ConfigDir is the folder in which an ingress keeps its configuration.
func (f *Fleet) ConfigDir(i int) string { return filepath.Join(f.Dir, fmt.Sprintf("n%d.config", i)) }

// ConfigStatus is how configuration stands, asked of the leading coordinator directly.
func (f *Fleet) ConfigStatus(patience time.Duration) (s distribution.Status, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	err = rolloutlink.CallLeader(ctx, f.http, f.Addresses, http.MethodGet, rolloutlink.PathConfigStatus, nil, &s, rolloutlink.MaxStatusBytes)
	return s, err
}

// WaitConfig waits until configuration stands as wanted.
func (f *Fleet) WaitConfig(patience time.Duration, what string, is func(distribution.Status) bool) error {
	end := time.Now().Add(patience)
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
	return fmt.Errorf("waited %v in vain until %s: %s; %d ingresses out", patience, what, last, f.Front.Unavailable())
}

// Siege is one customer who asks at every ingress as fast as it is told to, and what came of it.
type CustomerLoad struct {
	Plan      string
	PerSecond float64 // at each ingress

	mu       sync.Mutex
	arrivals []time.Time // of what reached a backend
	outcomes [5]int      // by standin.Outcome
	stop     context.CancelFunc
	all      sync.WaitGroup
}

// siegeCustomer is nobody of the front's.
const loadCustomer = 0xbe51e9e

// Lay begins a siege of a fleet's ingresses.
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

// reached notes a request that has reached a backend.
func (s *CustomerLoad) recordArrival() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, time.Now())
}

// End ends a siege.
func (s *CustomerLoad) End() {
	s.stop()
	s.all.Wait()
}

// Count is how many requests reached backends from a time on, and how they were answered in all.
func (s *CustomerLoad) Count(from time.Time) (reached int, answers [5]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.arrivals {
		if !t.Before(from) {
			reached++
		}
	}
	return reached, s.outcomes
}

// Over is by how much what reached backends between two times passed a ceiling's bucket that was
// full at first: units beyond it, at worst.
func (s *CustomerLoad) MaxExcess(from, to time.Time, rate, burst float64) (worst float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, last := burst, from
	for _, t := range s.arrivals {
		if t.Before(from) || t.After(to) {
			continue
		}
		held = min(burst, held+t.Sub(last).Seconds()*rate) - 1
		last = t
		worst = max(worst, -held)
	}
	return worst
}
