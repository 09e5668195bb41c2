// Package emulate plays fleets of gateways in virtual time on the decision
// packages alone: choice and subset decide, and the clients, customers, meter,
// list, network, connections and backends round them are models. It answers
// questions about fleets that are too large for package simulate, which runs the
// program's shell as well.
//
// One seed gives one run. The models' truth stays here: a gateway is told what a
// real one would be, through the same calls.
//
// What the models leave out: bytes and their loss (a message arrives or its
// connection is cut), processor time of gateways, and memory.
package emulate

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"wickarch/choice"
)

// Spec is one fleet, its load and what goes wrong. Rates are a second, over all
// gateways together.
type Spec struct {
	Seed uint64
	For  time.Duration // of load; answers that are due come after it

	Config    choice.Config // what gateways are told; Gateways, Self and Zone are filled in
	Gateways  []Gateway
	Backends  []Backend
	Customers []Customers
	Mix       []float64     // share of each class among the requests
	Work      []float64     // mean work of each class, core-seconds
	WorkSigma float64       // of its logarithm (lognormal); 0: all alike
	Tries     int           // a client makes at most, at once or as it is advised; 0: 1
	Wait      time.Duration // before a client's next try, where it has no advice
	Clients   Clients       // how else clients try again
	Surge     Surge

	OneWay    [2]time.Duration // of a message, least and most
	ListDelay [2]time.Duration // from a backend's change to a gateway's list, by gateway
	Handshake float64          // core-seconds that a new connection costs its backend
	Idle      time.Duration    // a gateway closes connections idle for so long; 0: 9 s
	MeterLag  time.Duration    // from the end of a period to its first reading
	Late      LatePolicy       // what passes beyond quotas is held against it

	Whole  bool                             // every gateway uses every backend: no subsets
	Limit  func(gateway int) choice.Limiter // on attempts out; nil: the gateways' own
	Events []Event
}

// Gateway is one gateway of a Spec.
type Gateway struct {
	Zone  int
	Share float64 // of the traffic, relative to the others'
}

// Backend is one backend of a Spec.
type Backend struct {
	Zone, Cell int
	Cores      int
	Weight     float64       // as discovery tells it; 0: 1
	Room       int           // requests that may wait; 0: 32 for each core
	Conns      int           // connections that it holds at most; 0: no bound
	From       time.Duration // when it starts, cold; 0: long before
}

// Event changes the world at a time.
type Event struct {
	At time.Duration
	Do func(*World)
}

// Clients is how clients try again. The zero value is one whose clients follow all advice,
// mark their repeats and come to any gateway of their customer's set.
type Clients struct {
	Patience float64 // a try is given up after this part of its class's deadline; 0: 1
	Doubling bool    // Spec.Wait doubles with each try
	Ignore   float64 // chance that advice is not followed
	Stay     float64 // chance that the next try comes to the same gateway
	Unmarked bool    // repeats are not marked
}

// patience is how long a client waits for an answer to a try.
func (c *Clients) patience(deadline time.Duration) time.Duration {
	if c.Patience <= 0 {
		return deadline
	}
	return time.Duration(c.Patience * float64(deadline))
}

// backoff is how long a client without advice waits after its try of this number, from 1.
func (s *Spec) backoff(try int) time.Duration {
	if s.Clients.Doubling {
		return s.Wait << (try - 1)
	}
	return s.Wait
}

// Surge is a time in which all customers ask more often. The zero value is none.
type Surge struct {
	From, To time.Duration
	By       float64
}

// at is the multiple of customers' rates at a time.
func (s *Surge) at(now time.Duration) float64 {
	if s.By > 0 && now >= s.From && now < s.To {
		return s.By
	}
	return 1
}

// World is a run. Its methods are for Events.
type World struct {
	Spec
	now      time.Duration
	rng      *rand.Rand
	lateRng  *rand.Rand // of the late-seeing policy's clients, so that it changes nothing of the run
	queue    queue
	seq      uint64
	gateways []*gateway
	backends []*server
	people   []*customer
	shares   []float64 // running sums of gateways' shares
	figures  Figures
}

// Run plays a spec to its end. Its error tells what in it can't be played.
func Run(s Spec) (*Figures, error) {
	w := &World{Spec: s, rng: rand.New(rand.NewPCG(s.Seed, 0xe1)), lateRng: rand.New(rand.NewPCG(s.Seed, 0x1a7e))}
	if err := w.check(); err != nil {
		return nil, err
	}
	w.figures.Load = make([]float64, 0, len(s.Backends))
	w.figures.Seconds = make([]Second, int(s.For/time.Second)+1)
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
	w.Shares(func(i int) float64 { return s.Gateways[i].Share })
	w.populate()
	for _, e := range s.Events {
		w.at(e.At, func() { e.Do(w) })
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
			w.figures.Causes[c] += g.decide.Refusals(c)
		}
	}
	return &w.figures, nil
}

func (w *World) check() error {
	switch {
	case len(w.Spec.Gateways) == 0 || len(w.Spec.Backends) == 0 || len(w.Spec.Customers) == 0:
		return fmt.Errorf("emulate: no gateways, backends or customers")
	case len(w.Mix) != len(w.Config.Classes) || len(w.Work) != len(w.Config.Classes):
		return fmt.Errorf("emulate: Mix has %d and Work %d entries for %d classes", len(w.Mix), len(w.Work), len(w.Config.Classes))
	case w.For <= 0:
		return fmt.Errorf("emulate: For is %v", w.For)
	}
	w.Config.Gateways = len(w.Spec.Gateways)
	w.Tries = max(w.Tries, 1)
	if w.Idle == 0 {
		w.Idle = 9 * time.Second
	}
	return nil
}

// Now is the time of the run.
func (w *World) Now() time.Duration { return w.now }

// Shares deals the traffic out anew, that of customers with parts by rank at once.
func (w *World) Shares(share func(gateway int) float64) {
	w.shares = w.shares[:0]
	sum := 0.0
	for i := range w.gateways {
		sum += share(i)
		w.shares = append(w.shares, sum)
	}
	for _, c := range w.people {
		if c.group.Zipf > 0 {
			c.part(c.ranks)
		}
	}
}

// shareOf is a gateway's share.
func (w *World) shareOf(i int) float64 {
	if i == 0 {
		return w.shares[0]
	}
	return w.shares[i] - w.shares[i-1]
}

// at has something happen at a time.
func (w *World) at(t time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, &event{max(t, w.now), w.seq, do})
}

// After has something happen later.
func (w *World) After(d time.Duration, do func()) { w.after(d, do) }

func (w *World) after(d time.Duration, do func()) { w.at(w.now+d, do) }

// between draws from a range.
func (w *World) between(r [2]time.Duration) time.Duration {
	return r[0] + time.Duration(w.rng.Float64()*float64(r[1]-r[0]))
}

// chance tells, by lot, whether something of this chance happens.
func (w *World) chance(of float64) bool { return of > 0 && w.rng.Float64() < of }

// lognormal draws with a mean of 1.
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
