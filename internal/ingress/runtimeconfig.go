package ingress

import (
	"context"
	"fmt"
	"maps"

	"wickarch/choice"
	"wickarch/distribution"
)

// runtimeConfig is the configuration that may change while the ingress runs. It is nil until a
// first version applies; until then the platform's configuration is in force.
type runtimeConfig struct {
	base        choice.Config  // the platform's configuration
	planIndexes map[string]int // by name, of all plans ever seen; a plan keeps its index in the gateway
	plans       []choice.Plan  // by index
	version     uint64
	settled     uint64 // no ingress in contact uses an older version
}

// CheckConfig returns an error if resources can't be used here, as a *distribution.Refused where
// one of them is the cause. It has no side effects and may be called from any goroutine.
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

// Configure applies a version of the configuration from the next request on. A version with
// plans replaces the platform's plans: requests under any other plan are answered as for an unknown
// plan. A version without plans keeps the platform's. Limits apply in addition to the platform's
// own. Services and routes are checked and kept, but not used yet. It must be called on the
// reactor's goroutine.
func (i *Ingress) Configure(u *distribution.ActiveConfig) error {
	l := i.loop
	if l.runtimeConfig == nil {
		l.runtimeConfig = &runtimeConfig{base: l.cfg.Choice, planIndexes: maps.Clone(l.cfg.plans), plans: l.cfg.Choice.Plans}
	}
	t := l.runtimeConfig
	indexes, known := maps.Clone(t.planIndexes), map[string]int{}
	plans := append([]choice.Plan(nil), t.plans...)
	keys := u.Keys(distribution.KindPlan)
	for _, k := range keys {
		p, err := u.Plan(k)
		if err != nil {
			return err
		}
		_, name := k.Split()
		n, seen := indexes[name]
		if !seen {
			n = len(plans)
			indexes[name] = n
			plans = append(plans, choice.Plan{})
		}
		known[name] = n
		plans[n] = choice.Plan{Rate: p.Rate, Burst: p.Burst, Open: p.Open, Price: p.Price, OverCost: p.OverCost,
			CeilingRate: p.CeilingRate, CeilingBurst: p.CeilingBurst, CeilingTolerance: p.CeilingTolerance}
	}
	if len(keys) == 0 {
		known = map[string]int{}
		for name, n := range t.planIndexes {
			if n < len(t.base.Plans) {
				known[name], plans[n] = n, t.base.Plans[n]
			}
		}
	}
	limit := func(name string, base float64) (float64, error) {
		r, ok := u.Set[distribution.KeyOf(distribution.KindLimit, name)]
		if !ok {
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
	if err := l.gateway.SetTerms(l.Now(), choice.Terms{
		Plans: plans, MaxAttempts: int(attempts), MaxRetryAfter: millis(after),
	}); err != nil {
		return err
	}
	l.cfg.plans, l.cfg.Choice.MaxUnits = known, units
	t.planIndexes, t.plans, t.version, t.settled = indexes, plans, u.Version, u.Settled
	return nil
}

// Configurable wraps a running Server so that it can be configured from another goroutine.
type Configurable struct{ *Server }

// Configure applies a version on the reactor's goroutine and waits until that is done.
func (c Configurable) Configure(u *distribution.ActiveConfig) (err error) {
	c.loop.Do(func() { err = c.Ingress.Configure(u) })
	return err
}

// RunInBackground makes Serve call run on a goroutine of its own, with a context that ends when the
// server is told to stop. It must be called before Serve.
func (s *Server) RunInBackground(run func(context.Context)) { s.background = append(s.background, run) }
