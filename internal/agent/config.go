package agent

import (
	"time"

	"wickarch/internal/tomlfile"
	"wickarch/rollout"
)

// Config is an agent's file (deploy/agent.toml).
type Config struct {
	Name         string              `toml:"name"`
	Role         string              `toml:"role"`
	Zone         string              `toml:"zone"`
	Cell         string              `toml:"cell"`
	Weight       float64             `toml:"weight"`
	Coordinators []string            `toml:"coordinators"`
	Dir          string              `toml:"dir"`
	Version      string              `toml:"version"`
	Versions     map[string][]string `toml:"versions"`
	Program      Program             `toml:"program"`
	Hooks        Hooks               `toml:"hooks"`
	Times        Times               `toml:"times"`

	path string
}

// Program is one that the agent starts itself: an ingress.
type Program struct {
	Admin string   `toml:"admin"` // its second address
	Env   []string `toml:"env"`   // NAME=value, beside the agent's own
}

// Hooks are commands of the owner of a backend that the agent does not start itself.
// They get WICKARCH_MEMBER and WICKARCH_VERSION in their environment.
type Hooks struct {
	Drain []string `toml:"drain"` // no new work, please
	Stop  []string `toml:"stop"`  // end it; done when the command is
	Kill  []string `toml:"kill"`  // end it, whatever it does
	Start []string `toml:"start"` // with WICKARCH_VERSION
	Ready []string `toml:"ready"` // exit code 0: ready; 3: it does not run; any other: not ready
}

// Times are in milliseconds; 0 for the default.
type Times struct {
	Report  int `toml:"report_ms"`
	Begin   int `toml:"begin_ms"`
	Poll    int `toml:"poll_ms"`
	Drain   int `toml:"drain_ms"`
	Stop    int `toml:"stop_ms"`
	Start   int `toml:"start_ms"`
	Prove   int `toml:"prove_ms"`
	Backoff int `toml:"backoff_ms"`
	Tries   int `toml:"tries"`
}

// Decides is what the decisions go by.
func (c Config) Decides() rollout.AgentConfig {
	t, ms := c.Times, tomlfile.Milliseconds
	a := rollout.AgentConfig{
		Member:       rollout.Member{Name: c.Name, Role: c.Role, Zone: c.Zone, Cell: c.Cell, Weight: c.Weight},
		Coordinators: len(c.Coordinators), Version: c.Version,
		Report: ms(t.Report, time.Second), Begin: ms(t.Begin, 4*time.Second), Drain: ms(t.Drain, 5*time.Second),
		Stop: ms(t.Stop, 10*time.Second), Start: ms(t.Start, 30*time.Second),
		Prove: ms(t.Prove, 10*time.Second), Backoff: ms(t.Backoff, time.Second), Tries: 3,
	}
	if t.Tries > 0 {
		a.Tries = t.Tries
	}
	return a
}

func (c Config) poll() time.Duration {
	return tomlfile.Milliseconds(c.Times.Poll, 250*time.Millisecond)
}

// LoadConfig reads a file and finds all its faults, each with its line.
func LoadConfig(path string) (Config, error) {
	c, err := tomlfile.Load(path, ParseConfig)
	c.path = path
	return c, err
}

// ParseConfig reads the text of a file; each fault begins with its line.
func ParseConfig(text string) (c Config, faults []error) {
	c.Weight = 1
	file, faults := tomlfile.Decode(text, &c)
	if file == nil {
		return c, faults
	}
	for key, v := range map[string]string{"name": c.Name, "role": c.Role, "dir": c.Dir, "version": c.Version} {
		if v == "" {
			file.Fault(key, "is wanted")
		}
	}
	if !(c.Weight > 0) {
		file.Fault("weight", "above 0")
	}
	if len(c.Coordinators) == 0 {
		file.Fault("coordinators", "the addresses of all of them")
	}
	file.CheckAddresses("coordinators", c.Coordinators)
	if len(c.Hooks.Start) == 0 {
		if c.Program.Admin == "" {
			file.Fault("program.admin", "the second address of the ingress, as its configuration names it (mgmt)")
		}
		if c.Version != "" && len(c.Versions[c.Version]) == 0 {
			file.Fault("version", "%q is not under [versions]", c.Version)
		}
		for name, command := range c.Versions {
			if len(command) == 0 {
				file.Fault("versions."+name, "a command and its arguments")
			}
		}
	} else if len(c.Hooks.Stop) == 0 || len(c.Hooks.Ready) == 0 {
		file.Fault("hooks.start", "with start, stop and ready are wanted as well")
	}
	for key, v := range map[string]int{"report_ms": c.Times.Report, "begin_ms": c.Times.Begin, "poll_ms": c.Times.Poll, "drain_ms": c.Times.Drain, "stop_ms": c.Times.Stop,
		"start_ms": c.Times.Start, "prove_ms": c.Times.Prove, "backoff_ms": c.Times.Backoff, "tries": c.Times.Tries} {
		if v < 0 {
			file.Fault("times."+key, "not below 0")
		}
	}
	if d := c.Decides(); d.Begin < 2*d.Report {
		file.Fault("times.begin_ms", "twice report_ms at least, and the same as the coordinators'")
	}
	return c, file.Faults()
}
