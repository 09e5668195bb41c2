package coordinator

import (
	"slices"
	"time"

	"wickarch/internal/tomlfile"
	"wickarch/rollout"
)

// Config is a coordinator's file (deploy/coordinator.toml).
type Config struct {
	ID     uint64           `toml:"id"`
	Listen string           `toml:"listen"`
	Dir    string           `toml:"dir"`
	Peers  []Peer           `toml:"coordinator"`
	Budget []rollout.Budget `toml:"budget"`
	Times  Times            `toml:"times"`
}

// Peer is one coordinator of the founding set.
type Peer struct {
	ID      uint64 `toml:"id"`
	Address string `toml:"address"`
}

// Times are in milliseconds; 0 for the default.
type Times struct {
	Tick   int `toml:"tick_ms"` // of the raft library
	Decide int `toml:"decide_ms"`
	Report int `toml:"report_ms"`
	Fresh  int `toml:"fresh_ms"`
	Learn  int `toml:"learn_ms"`
	Begin  int `toml:"begin_ms"`
	Bear   int `toml:"bear_ms"`
	Watch  int `toml:"watch_ms"`
}

// Timing is the times that decisions go by.
func (t Times) Timing() rollout.Timing {
	d := rollout.DefaultTiming()
	for _, x := range []struct {
		to *time.Duration
		ms int
	}{{&d.ReportInterval, t.Report}, {&d.MaxStaleness, t.Fresh}, {&d.LearnPeriod, t.Learn}, {&d.BeginTimeout, t.Begin}, {&d.OverBudgetTimeout, t.Bear}, {&d.WatchInterval, t.Watch}} {
		if x.ms > 0 {
			*x.to = time.Duration(x.ms) * time.Millisecond
		}
	}
	return d
}

func (t Times) tick() time.Duration {
	return tomlfile.Milliseconds(t.Tick, 100*time.Millisecond)
}

func (t Times) decide() time.Duration {
	return tomlfile.Milliseconds(t.Decide, 250*time.Millisecond)
}

// LoadConfig reads a file and finds all its faults, each with its line.
func LoadConfig(path string) (Config, error) {
	return tomlfile.Load(path, ParseConfig)
}

// ParseConfig reads the text of a file; each fault begins with its line.
func ParseConfig(text string) (c Config, faults []error) {
	file, faults := tomlfile.Decode(text, &c)
	if file == nil {
		return c, faults
	}
	if c.ID == 0 {
		file.Fault("id", "a number from 1 on, new with each new disk")
	}
	if !tomlfile.IsAddress(c.Listen) {
		file.Fault("listen", "host:port, not %q", c.Listen)
	}
	if c.Dir == "" {
		file.Fault("dir", "a folder that keeps what is written through restarts")
	}
	var ids []uint64
	for i, p := range c.Peers {
		if !tomlfile.IsAddress(p.Address) || p.ID == 0 || slices.Contains(ids, p.ID) {
			file.FaultAt("coordinator", i, "a number of its own from 1 on, and an address host:port; not %d, %q", p.ID, p.Address)
		}
		ids = append(ids, p.ID)
	}
	if n := len(c.Peers); n != 1 && n != 3 && n != 5 {
		file.Fault("coordinator", "1, 3 or 5 of them, not %d", n)
	}
	c.checkBudgets(file)
	if err := c.Times.Timing().Check(); err != nil {
		file.Fault("times", "%v", err)
	}
	if t := c.Times; t.Tick < 0 || t.Decide < 0 || t.tick() < 10*time.Millisecond || t.decide() > c.Times.Timing().MaxStaleness/3 {
		file.Fault("times", "tick_ms is 10 at least, decide_ms a third of fresh_ms at most")
	}
	return c, file.Faults()
}

// checkBudgets tells what is wrong with the budgets.
func (c *Config) checkBudgets(file *tomlfile.File) {
	if len(c.Budget) == 0 {
		file.Fault("budget", "one at least: without any, nothing bounds how many are out")
	}
	if len(c.Budget) > 100 {
		file.Fault("budget", "up to 100")
	}
	for i, b := range c.Budget {
		if err := b.Check(); err != nil {
			file.FaultAt("budget", i, "%v", err)
		}
	}
}
