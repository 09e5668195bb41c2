package wire

import (
	"encoding/json"
	"fmt"

	"wickarch/choice"
)

// settings holds the fields of an instance's JSON settings that this project reads.
// Unknown keys are ignored.
type settings struct {
	Gateways int `json:"balancers"`
	Bounds   struct {
		Cancelling    bool    `json:"cancelling"`
		MaxRetryAfter float64 `json:"max_retry_after_ms"`
		Probing       bool    `json:"probing"`
		RetryAfter    bool    `json:"retry_after"`
		Hedging       bool    `json:"second_copies"`
		MaxAttempts   int     `json:"try_limit"`
	} `json:"bounds"`
	Discovery  string `json:"discovery"`
	Invariants struct {
		ColdCapacity  float64 `json:"cold_from"`
		WarmUpTime    float64 `json:"cold_ms"`
		DrainGrace    float64 `json:"drain_grace_ms"`
		CrashAfter    float64 `json:"fall_ms"`
		CrashMultiple float64 `json:"tip_multiple"`
	} `json:"invariants"`
	Prices struct {
		CrossZone float64 `json:"cross_zone"`
	} `json:"prices"`
	Report struct {
		Fields []string `json:"fields"`
	} `json:"report"`
	Classes []struct {
		Aim       float64 `json:"aim_ms"`
		Group     string  `json:"dedup_scope"`
		Effect    string  `json:"effect"`
		Deadline  float64 `json:"give_up_ms"`
		LateWorth float64 `json:"late_worth"`
		Window    float64 `json:"window_ms"`
		Worth     float64 `json:"worth"`
	} `json:"request_classes"`
	Self      int `json:"self_index"`
	Specifics struct {
		MaxUnits    float64 `json:"max_units"`
		MeterPeriod float64 `json:"use_period_ms"`
	} `json:"specifics"`
	Tick  float64 `json:"tick_ms"`
	Plans []struct {
		OverCost         float64 `json:"beyond_costs"`
		Burst            float64 `json:"burst"`
		CeilingBurst     float64 `json:"hard_burst"`
		CeilingRate      float64 `json:"hard_rate"`
		Open             int     `json:"open"`
		Price            float64 `json:"price"`
		Rate             float64 `json:"quota_rate"`
		CeilingTolerance float64 `json:"tolerance"`
	} `json:"tiers_of_service"`
	Weights string `json:"weights"`
	Zone    int    `json:"zone"`
}

// Wire names of effects, deduplication groups and fields of a load report.
var (
	effects    = map[string]choice.Effect{"free": choice.Idempotent, "guarded": choice.Deduplicated, "single_shot": choice.AtMostOnce}
	groups     = map[string]choice.Group{"": choice.GroupAll, "all": choice.GroupAll, "zone": choice.GroupZone, "cell": choice.GroupCell}
	loadFields = map[string]string{"rif": "inflight", "lat_ms": "latency_ms", "q": "queue", "busy": "util", "rate": "qps", "fail_rate": "eps"}
)

// ParseConfig converts an instance's JSON settings into a Config. subscribe reports
// whether discovery sends updates only to instances that subscribe.
func ParseConfig(data []byte) (cfg choice.Config, subscribe bool, err error) {
	var s settings
	if err := json.Unmarshal(data, &s); err != nil {
		return cfg, false, fmt.Errorf("settings: %w", err)
	}
	cfg = choice.Config{
		Gateways: s.Gateways, Self: s.Self, Zone: s.Zone, Tick: millis(s.Tick),
		MeterPeriod: millis(s.Specifics.MeterPeriod), MaxUnits: s.Specifics.MaxUnits,
		MaxAttempts: s.Bounds.MaxAttempts, Hedging: s.Bounds.Hedging, Probing: s.Bounds.Probing,
		Cancelling: s.Bounds.Cancelling, MaxRetryAfter: millis(s.Bounds.MaxRetryAfter), RetryAfter: s.Bounds.RetryAfter,
		WeightsTrusted: s.Weights == "nominal" || s.Weights == "rough",
		ColdCapacity:   s.Invariants.ColdCapacity, WarmUpTime: millis(s.Invariants.WarmUpTime),
		CrashMultiple: s.Invariants.CrashMultiple, CrashAfter: millis(s.Invariants.CrashAfter),
		DrainGrace: millis(s.Invariants.DrainGrace), CrossZoneCost: s.Prices.CrossZone,
	}
	for _, f := range s.Report.Fields {
		if name, ok := loadFields[f]; ok {
			f = name
		}
		cfg.ReportFields = append(cfg.ReportFields, f)
	}
	for i, c := range s.Classes {
		effect, ok := effects[c.Effect]
		if !ok {
			return cfg, false, fmt.Errorf("settings: class %d: effect %q is unknown", i, c.Effect)
		}
		if effect == choice.Deduplicated && c.Group == "" { // taken as GroupAll, retries outside a narrower scope would run twice
			return cfg, false, fmt.Errorf("settings: class %d: dedup_scope is missing", i)
		}
		group, ok := groups[c.Group]
		if !ok {
			return cfg, false, fmt.Errorf("settings: class %d: group %q is unknown", i, c.Group)
		}
		cfg.Classes = append(cfg.Classes, choice.Class{
			Aim: millis(c.Aim), Deadline: millis(c.Deadline), Worth: c.Worth, LateWorth: c.LateWorth,
			Effect: effect, Group: group, Window: millis(c.Window),
		})
	}
	for _, p := range s.Plans {
		cfg.Plans = append(cfg.Plans, choice.Plan{
			Rate: p.Rate, Burst: p.Burst, Open: p.Open, Price: p.Price, OverCost: p.OverCost,
			CeilingRate: p.CeilingRate, CeilingBurst: p.CeilingBurst, CeilingTolerance: p.CeilingTolerance,
		})
	}
	return cfg, s.Discovery == "ask", nil
}
