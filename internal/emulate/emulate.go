// Package emulate is a discrete-event simulation of fleets of gateways that runs the
// decision packages only: choice and subset decide, and the clients, customers, meter,
// discovery list, network, connections and backends around them are models. It serves
// for fleets that are too large for package simulate, which also runs the program's
// I/O code.
//
// A run is determined by its seed. The true state of the models is not visible to
// gateways: they learn what a real gateway learns, through the same calls.
//
// The models leave out bytes and their loss (a message arrives, or its connection is
// cut), the CPU time of gateways, and memory.
package emulate

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"wickarch/choice"
)

// Spec describes one fleet, its load and its faults. Rates are per second, over all
// gateways together.
type Spec struct {
	Seed    uint64
	LoadFor time.Duration // duration of the load; outstanding answers come after it

	Config    choice.Config // configuration of the gateways; Gateways, Self and Zone are filled in
	Gateways  []Gateway
	Backends  []Backend
	Customers []Customers
	Mix       []float64     // share of each class among the requests
	Work      []float64     // mean work of each class, core-seconds
	WorkSigma float64       // standard deviation of the logarithm of work (lognormal); 0: constant
	MaxTries  int           // maximum tries per request; 0: 1
	RetryWait time.Duration // delay before a client's next try without retry advice
	Clients   Clients       // further retry behavior of clients
	Surge     Surge

	NetworkDelay [2]time.Duration // of a message in one direction, minimum and maximum
	ListDelay    [2]time.Duration // from a backend's change to the update of a gateway's list, drawn per gateway
	Handshake    float64          // core-seconds that a new connection costs the backend
	IdleTimeout  time.Duration    // gateways close connections that are idle for this long; 0: 9 s
	MeterLag     time.Duration    // from the end of a meter period to its first reading
	Reference    ReferencePolicy  // the reference for what is sent on beyond quotas

	NoSubsets  bool                             // every gateway uses every backend
	NewLimiter func(gateway int) choice.Limiter // creates a gateway's limiter of attempts in flight; nil: the default one
	Events     []Event
}

// Gateway is one gateway of a Spec.
type Gateway struct {
	Zone  int
	Share float64 // share of the traffic, relative to other gateways'
}

// Backend is one backend of a Spec.
type Backend struct {
	Zone, Cell int
	Cores      int
	Weight     float64       // as discovery reports it; 0: 1
	QueueLimit int           // maximum queued requests; 0: 32 per core
	MaxConns   int           // maximum connections; 0: unlimited
	StartAt    time.Duration // when it starts, cold; 0: started long before the run
}

// Event changes the world at a given time.
type Event struct {
	At time.Duration
	Do func(*World)
}

// Clients describes how clients retry. With the zero value they follow all retry advice,
// mark their retries and send them to any of their customer's gateways.
type Clients struct {
	TimeoutFraction    float64 // a try times out after this fraction of its class's deadline; 0: 1
	ExponentialBackoff bool    // Spec.RetryWait doubles with each try
	IgnoreAdvice       float64 // probability that retry advice is not followed
	SameGateway        float64 // probability that a retry goes to the same gateway
	UnmarkedRetries    bool    // retries are not marked as such
}

// timeout returns how long a client waits for an answer to a try.
func (c *Clients) timeout(deadline time.Duration) time.Duration {
	if c.TimeoutFraction <= 0 {
		return deadline
	}
	return time.Duration(c.TimeoutFraction * float64(deadline))
}

// backoff returns how long a client without retry advice waits after try number try, counted from 1.
func (s *Spec) backoff(try int) time.Duration {
	if s.Clients.ExponentialBackoff {
		return s.RetryWait << (try - 1)
	}
	return s.RetryWait
}

// Surge is a period in which the rates of all customers are multiplied by Factor. The zero value is none.
type Surge struct {
	From, To time.Duration
	Factor   float64
}

// factorAt returns the factor on customers' rates at a time.
func (s *Surge) factorAt(now time.Duration) float64 {
	if s.Factor > 0 && now >= s.From && now < s.To {
		return s.Factor
	}
	return 1
}

// World is the state of a run. Its exported methods are for Events.
type World struct {
	Spec
	now              time.Duration
	rng              *rand.Rand
	referenceRng     *rand.Rand // for the clients of the reference policy, so that it does not affect the run
	queue            queue
	seq              uint64
	gateways         []*gateway
	backends         []*server
	customers        []*customer
	cumulativeShares []float64 // running sums of the gateways' shares
	figures          Figures
}

// Run runs a spec to its end. It returns an error if the spec is invalid.
func Run(s Spec) (*Figures, error) {
	w := &World{Spec: s, rng: rand.New(rand.NewPCG(s.Seed, 0xe1)), referenceRng: rand.New(rand.NewPCG(s.Seed, 0x1a7e))}
	if err := w.check(); err != nil {
		return nil, err
	}
	w.figures.Load = make([]float64, 0, len(s.Backends))
	w.figures.Seconds = make([]Second, int(s.LoadFor/time.Second)+1)
	for i := range w.figures.Seconds {
		w.figures.Seconds[i].Passed = make([]int, len(s.Gateways))
	}
	w.figures.Groups = make([]GroupFigures, len(s.Customers))
	w.figures.Classes = make([]ClassFigures, len(s.Config.Classes))
	for _, b := range s.Backends {
		w.addBackend(b)
	}
	for i := range s.Gateways {
		w.gateways = append(w.gateways, &gateway{world: w, num: i})
		w.startGateway(i)
	}
	w.SetShares(func(i int) float64 { return s.Gateways[i].Share })
	w.addCustomers()
	for _, e := range s.Events {
		w.schedule(e.At, func() { e.Do(w) })
	}
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(*event)
		w.now = e.at
		w.figures.Events++
		e.do()
	}
	for _, b := range w.backends {
		w.figures.Load = append(w.figures.Load, b.load)
	}
	w.figures.Causes = map[choice.Cause]uint64{}
	for _, g := range w.gateways {
		for _, c := range choice.Causes() {
			w.figures.Causes[c] += g.decisions.Refusals(c)
		}
	}
	return &w.figures, nil
}

func (w *World) check() error {
	switch {
	case len(w.Spec.Gateways) == 0 || len(w.Spec.Backends) == 0 || len(w.Spec.Customers) == 0:
		return fmt.Errorf("emulate: spec has no gateways, backends or customers")
	case len(w.Mix) != len(w.Config.Classes) || len(w.Work) != len(w.Config.Classes):
		return fmt.Errorf("emulate: Mix has %d and Work %d entries for %d classes", len(w.Mix), len(w.Work), len(w.Config.Classes))
	case w.LoadFor <= 0:
		return fmt.Errorf("emulate: LoadFor is %v, want a positive duration", w.LoadFor)
	}
	w.Config.Gateways = len(w.Spec.Gateways)
	w.MaxTries = max(w.MaxTries, 1)
	if w.IdleTimeout == 0 {
		w.IdleTimeout = 9 * time.Second
	}
	return nil
}

// Now returns the virtual time since the start of the run.
func (w *World) Now() time.Duration { return w.now }

// SetShares changes the gateways' shares of the traffic, and redraws those of customers with Zipf immediately.
// Other customers keep the shares that they have.
func (w *World) SetShares(share func(gateway int) float64) {
	w.cumulativeShares = w.cumulativeShares[:0]
	sum := 0.0
	for i := range w.gateways {
		sum += share(i)
		w.cumulativeShares = append(w.cumulativeShares, sum)
	}
	for _, c := range w.customers {
		if c.group.Zipf > 0 {
			c.drawShares(c.ranks)
		}
	}
}

// shareOf returns a gateway's share.
func (w *World) shareOf(i int) float64 {
	if i == 0 {
		return w.cumulativeShares[0]
	}
	return w.cumulativeShares[i] - w.cumulativeShares[i-1]
}

// schedule calls do at time t, or now if t has passed.
func (w *World) schedule(t time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, &event{max(t, w.now), w.seq, do})
}

// After calls do after d.
func (w *World) After(d time.Duration, do func()) { w.after(d, do) }

func (w *World) after(d time.Duration, do func()) { w.schedule(w.now+d, do) }

// uniform draws uniformly from a range.
func (w *World) uniform(r [2]time.Duration) time.Duration {
	return r[0] + time.Duration(w.rng.Float64()*float64(r[1]-r[0]))
}

// happens draws whether an event of this probability happens.
func (w *World) happens(probability float64) bool {
	return probability > 0 && w.rng.Float64() < probability
}

// lognormal draws from a lognormal distribution with a mean of 1.
func (w *World) lognormal(sigma float64) float64 {
	if sigma == 0 {
		return 1
	}
	return math.Exp(sigma*w.rng.NormFloat64() - sigma*sigma/2)
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type queue []*event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *queue) Pop() any {
	old := *q
	n := len(old) - 1
	e := old[n]
	old[n] = nil
	*q = old[:n]
	return e
}
