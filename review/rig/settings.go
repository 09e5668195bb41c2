package main

// The settings of a small deployment of athlone-main, in the words of the wire.

type effect struct {
	name   string // free, guarded or single_shot
	window float64
	group  string
}

// site is what a case may set otherwise.
type site struct {
	ingresses  int
	payment    effect
	lookupMS   float64
	paymentMS  float64
	ceiling    float64 // hard rate of the plan district; 0: none
	ceilBurst  float64
	tolerance  float64
	quota      float64
	burst      float64
	coldFrom   float64
	coldMS     float64
	drainGrace float64
	probing    bool
	hedging    bool
}

func athlone(ingresses int) site {
	return site{ingresses: ingresses, payment: effect{"single_shot", 5000, "all"}, lookupMS: 2500, paymentMS: 1500,
		quota: 15, burst: 30, coldFrom: 0.15, coldMS: 17000, drainGrace: 500, probing: true}
}

func (s site) settings(self int) map[string]any {
	class := func(name string, ms float64, e effect, worth float64) map[string]any {
		return map[string]any{"name": name, "aim_ms": 600.0, "give_up_ms": ms, "effect": e.name, "dedup_scope": e.group,
			"window_ms": e.window, "worth": worth, "late_worth": 0.0, "streamed": false}
	}
	return map[string]any{
		"balancers": s.ingresses, "self_index": self, "zone": self % 3, "zones": []string{"hall-a", "hall-b", "hall-c"},
		"kinds": []string{"std-3core"}, "tick_ms": 2.0, "tier": 0, "tiers": []string{"banking-fleet"},
		"discovery": "push", "domain_type": "gate", "weights": "nominal",
		"clients": map[string]any{"marks_retry": true},
		"goal":    map[string]any{"whole": 0.5, "worst_class": 0.1, "worst_tenant": 0.15, "worst_window": 0.25},
		"bounds": map[string]any{"cancelling": true, "conn_idle_ms": 15000.0, "connect_timeout_ms": 250.0,
			"cpu_us_per_request": 0.0, "cpu_us_per_s": 400000, "max_retry_after_ms": 1000.0, "most_held": 20000,
			"peer_messages": true, "probing": s.probing, "retry_after": true, "second_copies": s.hedging,
			"streams_per_conn": 100, "try_limit": 4},
		"invariants": map[string]any{"answer_slack_ms": 8.0, "ask_every_ms": 10000.0, "cold_from": s.coldFrom, "cold_ms": s.coldMS,
			"drain_grace_ms": s.drainGrace, "fall_ms": 1500.0, "tip_multiple": 3.0},
		"prices": map[string]any{"cross_zone": 0.01, "late_fail": 0.08, "peer": 0.03, "probe": 0.01, "waste": 0.08},
		"report": map[string]any{"fields": []string{"rif", "lat_ms"}, "how": "pull"},
		"request_classes": []any{class("lookup", s.lookupMS, effect{"free", 5000, "all"}, 2),
			class("payment", s.paymentMS, s.payment, 6)},
		"specifics": map[string]any{"cost_after": false, "count_fee": 0.0, "count_limit_ms": 0.0, "counter": false,
			"mail_per_s": 40.0, "max_units": 1, "use_period_ms": 500.0},
		"tiers_of_service": []any{
			map[string]any{"name": "community", "quota_rate": s.quota, "burst": s.burst, "price": 1.1, "beyond_costs": 1.0,
				"extra_worth": 0.0, "hard_rate": 0.0, "hard_burst": 0.0, "open": 0, "tolerance": 0.0},
			map[string]any{"name": "district", "quota_rate": s.quota, "burst": s.burst, "price": 1.6, "beyond_costs": 0.6,
				"extra_worth": 0.0, "hard_rate": s.ceiling, "hard_burst": s.ceilBurst, "open": 0, "tolerance": s.tolerance},
		},
	}
}
