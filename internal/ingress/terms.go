package ingress

import (
	"context"
	"fmt"
	"maps"

	"wickarch/choice"
	"wickarch/distribution"
)

// runtimeConfig is what an ingress decides by that configuration may change. It begins as the
// platform's configuration has it, which is nil here.
type runtimeConfig struct {
	base    choice.Config  // what the platform states
	numbers map[string]int // of all plans that there ever were; a gateway's plans keep theirs
	plans   []choice.Plan  // by number
	version uint64
	settled uint64
}

// CheckConfig tells why resources can't be used here, as a *distribution.Refused where it is
// for one of them. It has no effects, and may be called from any goroutine.
func (i *Ingress) CheckConfig(changed []distribution.Resource) error {
	for _, r := range changed {
		kind, _ := r.Key.Split()
		if kind != distribution.KindRoute {
			continue
		}
		route, err := r.Route()
		if err != nil {
			return &distribution.Refused{Key: r.Key, Line: r.Line, Why: err.Error()}
		}
		if _, known := i.cfg.classes[route.Class]; route.Class != "" && !known {
			return &distribution.Refused{Key: r.Key, Line: r.Line, Why: fmt.Sprintf("there is no class %q in the settings", route.Class)}
		}
	}
	return nil
}

// Configure decides by a version of configuration from the next request on. A version that
// names plans names all of them: requests for others are answered as those for a plan that is
// not known. One that names none leaves the platform's. Limits bind beside the platform's own.
// Services and routes are checked and kept; nothing decides by them yet. It belongs to the
// reactor's goroutine.
func (i *Ingress) Configure(u *distribution.ActiveConfig) error {
	l := i.loop
	if l.terms == nil {
		l.terms = &runtimeConfig{base: l.cfg.Choice, numbers: maps.Clone(l.cfg.plans), plans: l.cfg.Choice.Plans}
	}
	t := l.terms
	numbers, known := maps.Clone(t.numbers), map[string]int{}
	plans := append([]choice.Plan(nil), t.plans...)
	keys := u.Keys(distribution.KindPlan)
	for _, k := range keys {
		p, err := u.Plan(k)
		if err != nil {
			return err
		}
		_, name := k.Split()
		n, any := numbers[name]
		if !any {
			n = len(plans)
			numbers[name] = n
			plans = append(plans, choice.Plan{})
		}
		known[name] = n
		plans[n] = choice.Plan{Rate: p.Rate, Burst: p.Burst, Open: p.Open, Price: p.Price, OverCost: p.OverCost,
			CeilingRate: p.CeilingRate, CeilingBurst: p.CeilingBurst, CeilingTolerance: p.CeilingTolerance}
	}
	if len(keys) == 0 {
		known = map[string]int{}
		for name, n := range t.numbers {
			if n < len(t.base.Plans) {
				known[name], plans[n] = n, t.base.Plans[n]
			}
		}
	}
	limit := func(name string, base float64) (float64, error) {
		r, there := u.Set[distribution.KeyOf(distribution.KindLimit, name)]
		if !there {
			return base, nil
		}
		v, err := r.Limit()
		if base > 0 {
			v.Value = min(v.Value, base)
		}
		return v.Value, err
	}
	attempts, err := limit(distribution.LimitAttempts, float64(t.base.MaxAttempts))
	if err != nil {
		return err
	}
	units, err := limit(distribution.LimitUnits, t.base.MaxUnits)
	if err != nil {
		return err
	}
	after, err := limit(distribution.LimitRetryAfter, float64(t.base.MaxRetryAfter)/1e6)
	if err != nil {
		return err
	}
	if err := l.gateway.SetTerms(l.Now(), choice.Terms{Plans: plans, MaxAttempts: int(attempts), MaxRetryAfter: millis(after)}); err != nil {
		return err
	}
	l.cfg.plans, l.cfg.Choice.MaxUnits = known, units
	t.numbers, t.plans, t.version, t.settled = numbers, plans, u.Version, u.Settled
	return nil
}

// Configurable is a Server that runs, for who decides on its configuration from another
// goroutine.
type Configurable struct{ *Server }

// Configure has the reactor's goroutine decide by a version, and waits until it does.
func (c Configurable) Configure(u *distribution.ActiveConfig) (err error) {
	c.loop.Do(func() { err = c.Ingress.Configure(u) })
	return err
}

// RunInBackground has run called on a goroutine of its own once the server runs, with a context that
// ends when the server is told to stop. It is called before Serve.
func (s *Server) RunInBackground(run func(context.Context)) { s.background = append(s.background, run) }
