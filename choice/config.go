package choice

// Validation of a Config and the initial state of a gateway. Nothing in this file decides.

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// New creates a gateway. Its error names the invalid field of cfg.
func New(cfg Config, seed uint64, now time.Duration, act Actions) (*Gateway, error) {
	if act == nil {
		return nil, fmt.Errorf("choice: Actions is nil")
	}
	if err := cfg.check(); err != nil {
		return nil, err
	}
	g := &Gateway{
		cfg: cfg, act: act, rng: rand.New(rand.NewPCG(seed, uint64(cfg.Self))),
		now: now, created: now, ceilingsEmptyAt: now, ceilingChangedAt: now,
		slotLength: max(cfg.MeterPeriod, 100*time.Millisecond) / slotsPerPeriod,
		customers:  map[account]*customer{}, requests: map[uint32]*request{}, backends: map[uint32]*backend{},
		zoneFailures: map[int]float64{},
		classes:      make([]classLatency, len(cfg.Classes)), retryBudget: maxRetryBudget / 2,
		limitFactor: initialFactor, notShed: 1,
		inflightField: slices.Index(cfg.ReportFields, "inflight"),
		meter:         meterClock{lag: initialLag * slotsPerPeriod},
	}
	for i, c := range cfg.Classes {
		g.maxAim = max(g.maxAim, c.Aim)
		g.firstGap = g.maxAim.Seconds()
		g.classes[i] = classLatency{c.Aim.Seconds() / 4, c.Aim.Seconds() / 4}
	}
	g.addPlans()
	if g.limiter = cfg.Limit; g.limiter == nil {
		g.limiter = newLatencyLimiter(len(cfg.Classes), g.limitInterval(), now)
	}
	g.setRetryAfter()
	return g, nil
}

// setRetryAfter sets the delay given with a refusal.
func (g *Gateway) setRetryAfter() {
	if g.cfg.RetryAfter {
		g.retryAfter = g.cfg.MaxRetryAfter / retryAfterParts
	}
}

// check returns an error that names the first invalid field.
func (cfg *Config) check() error {
	switch {
	case cfg.Gateways < 1:
		return fmt.Errorf("choice: Config.Gateways is %d, want at least 1", cfg.Gateways)
	case cfg.Self < 0 || cfg.Self >= cfg.Gateways:
		return fmt.Errorf("choice: Config.Self is %d, outside the %d gateways", cfg.Self, cfg.Gateways)
	case cfg.MaxAttempts < 1:
		return fmt.Errorf("choice: Config.MaxAttempts is %d, want at least 1", cfg.MaxAttempts)
	case len(cfg.Classes) == 0:
		return fmt.Errorf("choice: Config.Classes is empty")
	case len(cfg.Plans) == 0:
		return fmt.Errorf("choice: Config.Plans is empty")
	case cfg.MeterPeriod < 0:
		return fmt.Errorf("choice: Config.MeterPeriod is negative")
	}
	for i, c := range cfg.Classes {
		if c.Aim <= 0 || c.Deadline <= 0 {
			return fmt.Errorf("choice: Config.Classes[%d]: Aim and Deadline must be above 0", i)
		}
	}
	for i, p := range cfg.Plans {
		names := [...]string{"Rate", "Burst", "Open", "OverCost", "CeilingRate", "CeilingBurst", "CeilingTolerance"}
		for j, v := range [...]float64{p.Rate, p.Burst, float64(p.Open), p.OverCost, p.CeilingRate, p.CeilingBurst, p.CeilingTolerance} {
			if !(v >= 0) || math.IsInf(v, 0) {
				return fmt.Errorf("choice: Config.Plans[%d].%s is %v, want 0 or more", i, names[j], v)
			}
		}
	}
	return nil
}
