package coordinator

import (
	"slices"
	"time"

	"wickarch/internal/tomlfile"
	"wickarch/rollout"
)

// Config is the configuration file of a coordinator (see deploy/coordinator.toml).
type Config struct {
	ID     uint64           `toml:"id"`
	Listen string           `toml:"listen"`
	Dir    string           `toml:"dir"`
	Peers  []Peer           `toml:"coordinator"`
	Budget []rollout.Budget `toml:"budget"`
	Times  Times            `toml:"times"`
}

// Peer is a coordinator of the initial set.
type Peer struct {
	ID      uint64 `toml:"id"`
	Address string `toml:"address"`
}

// Times is the [times] table: durations in milliseconds, 0 for the default. Those that are
// part of rollout.Timing are described there.
type Times struct {
	TickIntervalMS      int `toml:"tick_ms"`   // between two ticks of the raft library
	DecideIntervalMS    int `toml:"decide_ms"` // between two runs of the leader's decisions
	ReportIntervalMS    int `toml:"report_ms"`
	MaxStalenessMS      int `toml:"fresh_ms"`
	LearnPeriodMS       int `toml:"learn_ms"`
	BeginTimeoutMS      int `toml:"begin_ms"`
	OverBudgetTimeoutMS int `toml:"bear_ms"`
	WatchIntervalMS     int `toml:"watch_ms"`
}

// Timing returns the timing of the rollout decisions: the defaults, overridden by the settings that are set.
func (t Times) Timing() rollout.Timing {
	timing := rollout.DefaultTiming()
	for _, setting := range []struct {
		target *time.Duration
		ms     int
	}{
		{&timing.ReportInterval, t.ReportIntervalMS}, {&timing.MaxStaleness, t.MaxStalenessMS}, {&timing.LearnPeriod, t.LearnPeriodMS},
		{&timing.BeginTimeout, t.BeginTimeoutMS}, {&timing.OverBudgetTimeout, t.OverBudgetTimeoutMS}, {&timing.WatchInterval, t.WatchIntervalMS},
	} {
		if setting.ms > 0 {
			*setting.target = time.Duration(setting.ms) * time.Millisecond
		}
	}
	return timing
}

func (t Times) tickInterval() time.Duration {
	return tomlfile.Milliseconds(t.TickIntervalMS, 100*time.Millisecond)
}

func (t Times) decideInterval() time.Duration {
	return tomlfile.Milliseconds(t.DecideIntervalMS, 250*time.Millisecond)
}

// LoadConfig reads a configuration file. The error joins all its faults, each with its line.
func LoadConfig(path string) (Config, error) {
	return tomlfile.Load(path, ParseConfig)
}

// ParseConfig parses the text of a configuration file. Each fault starts with its line.
func ParseConfig(text string) (c Config, faults []error) {
	file, faults := tomlfile.Decode(text, &c)
	if file == nil {
		return c, faults
	}
	if c.ID == 0 {
		file.Fault("id", "must be at least 1, and new for each new disk")
	}
	if !tomlfile.IsAddress(c.Listen) {
		file.Fault("listen", "must be host:port, not %q", c.Listen)
	}
	if c.Dir == "" {
		file.Fault("dir", "must name a directory that persists across restarts")
	}
	var ids []uint64
	for i, p := range c.Peers {
		if !tomlfile.IsAddress(p.Address) || p.ID == 0 || slices.Contains(ids, p.ID) {
			file.FaultAt("coordinator", i, "must have a unique id of at least 1 and a host:port address, not %d and %q", p.ID, p.Address)
		}
		ids = append(ids, p.ID)
	}
	if n := len(c.Peers); n != 1 && n != 3 && n != 5 {
		file.Fault("coordinator", "must be given 1, 3 or 5 times, not %d", n)
	}
	c.checkBudgets(file)
	if err := c.Times.Timing().Check(); err != nil {
		file.Fault("times", "%v", err)
	}
	if t := c.Times; t.TickIntervalMS < 0 || t.DecideIntervalMS < 0 || t.tickInterval() < 10*time.Millisecond ||
		t.decideInterval() > c.Times.Timing().MaxStaleness/3 {
		file.Fault("times", "tick_ms must be at least 10, decide_ms at most a third of fresh_ms")
	}
	return c, file.Faults()
}

// checkBudgets records the faults of the budgets.
func (c *Config) checkBudgets(file *tomlfile.File) {
	if len(c.Budget) == 0 {
		file.Fault("budget", "at least one is required: without any, the number of members out of service is unlimited")
	}
	if len(c.Budget) > 100 {
		file.Fault("budget", "at most 100 are allowed")
	}
	for i, b := range c.Budget {
		if err := b.Check(); err != nil {
			file.FaultAt("budget", i, "%v", err)
		}
	}
}
