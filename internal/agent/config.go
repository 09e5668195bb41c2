package agent

import (
	"time"

	"wickarch/internal/tomlfile"
	"wickarch/rollout"
)

// Config is the configuration file of an agent (see deploy/agent.toml).
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

	path string // of the file
}

// Program is the program that the agent starts itself: an ingress.
type Program struct {
	Admin string   `toml:"admin"` // address of its management interface
	Env   []string `toml:"env"`   // NAME=value, in addition to the agent's own environment
}

// Hooks are commands, provided by a backend's owner, that control a backend which the agent does not
// start itself. They get WICKARCH_MEMBER and WICKARCH_VERSION in their environment.
type Hooks struct {
	Drain []string `toml:"drain"` // stop accepting new requests
	Stop  []string `toml:"stop"`  // stop the backend; it has stopped when the command exits with 0
	Kill  []string `toml:"kill"`  // stop the backend at once; if not set, stop is run instead
	Start []string `toml:"start"` // start the version in WICKARCH_VERSION
	Ready []string `toml:"ready"` // exit code 0: ready; 3: not running; any other: not ready
}

// Times is the [times] table: durations in milliseconds and a number of starts; 0 for the default.
// Those that are part of rollout.AgentConfig are described there.
type Times struct {
	ReportIntervalMS int `toml:"report_ms"`
	BeginTimeoutMS   int `toml:"begin_ms"`
	PollIntervalMS   int `toml:"poll_ms"` // between two probes of the program
	DrainTimeoutMS   int `toml:"drain_ms"`
	StopTimeoutMS    int `toml:"stop_ms"`
	StartTimeoutMS   int `toml:"start_ms"`
	ProvePeriodMS    int `toml:"prove_ms"`
	BackoffMS        int `toml:"backoff_ms"`
	MaxStarts        int `toml:"tries"`
}

// CoreConfig returns the configuration of the rollout.Agent that makes the decisions.
func (c Config) CoreConfig() rollout.AgentConfig {
	t, ms := c.Times, tomlfile.Milliseconds
	agentConfig := rollout.AgentConfig{
		Member:       rollout.Member{Name: c.Name, Role: c.Role, Zone: c.Zone, Cell: c.Cell, Weight: c.Weight},
		Coordinators: len(c.Coordinators), Version: c.Version,
		ReportInterval: ms(t.ReportIntervalMS, time.Second), BeginTimeout: ms(t.BeginTimeoutMS, 4*time.Second),
		DrainTimeout: ms(t.DrainTimeoutMS, 5*time.Second),
		StopTimeout:  ms(t.StopTimeoutMS, 10*time.Second), StartTimeout: ms(t.StartTimeoutMS, 30*time.Second),
		ProvePeriod: ms(t.ProvePeriodMS, 10*time.Second), Backoff: ms(t.BackoffMS, time.Second), MaxStarts: 3,
	}
	if t.MaxStarts > 0 {
		agentConfig.MaxStarts = t.MaxStarts
	}
	return agentConfig
}

func (c Config) pollInterval() time.Duration {
	return tomlfile.Milliseconds(c.Times.PollIntervalMS, 250*time.Millisecond)
}

// LoadConfig reads a configuration file. The error joins all its faults, each with its line.
func LoadConfig(path string) (Config, error) {
	c, err := tomlfile.Load(path, ParseConfig)
	c.path = path
	return c, err
}

// ParseConfig parses the text of a configuration file. Each fault starts with its line.
func ParseConfig(text string) (c Config, faults []error) {
	c.Weight = 1
	file, faults := tomlfile.Decode(text, &c)
	if file == nil {
		return c, faults
	}
	for key, value := range map[string]string{"name": c.Name, "role": c.Role, "dir": c.Dir, "version": c.Version} {
		if value == "" {
			file.Fault(key, "must be set")
		}
	}
	if !(c.Weight > 0) {
		file.Fault("weight", "must be above 0")
	}
	if len(c.Coordinators) == 0 {
		file.Fault("coordinators", "must list the addresses of all coordinators")
	}
	file.CheckAddresses("coordinators", c.Coordinators)
	if len(c.Hooks.Start) == 0 {
		if c.Program.Admin == "" {
			file.Fault("program.admin", "must be set to the management address of the ingress (mgmt in its configuration)")
		}
		if c.Version != "" && len(c.Versions[c.Version]) == 0 {
			file.Fault("version", "%q is not under [versions]", c.Version)
		}
		for name, command := range c.Versions {
			if len(command) == 0 {
				file.Fault("versions."+name, "must be a command and its arguments")
			}
		}
	} else if len(c.Hooks.Stop) == 0 || len(c.Hooks.Ready) == 0 {
		file.Fault("hooks.start", "stop and ready must be set as well")
	}
	for key, value := range map[string]int{"report_ms": c.Times.ReportIntervalMS, "begin_ms": c.Times.BeginTimeoutMS,
		"poll_ms": c.Times.PollIntervalMS, "drain_ms": c.Times.DrainTimeoutMS, "stop_ms": c.Times.StopTimeoutMS,
		"start_ms": c.Times.StartTimeoutMS, "prove_ms": c.Times.ProvePeriodMS, "backoff_ms": c.Times.BackoffMS, "tries": c.Times.MaxStarts} {
		if value < 0 {
			file.Fault("times."+key, "must not be negative")
		}
	}
	if d := c.CoreConfig(); d.BeginTimeout < 2*d.ReportInterval {
		file.Fault("times.begin_ms", "must be at least twice report_ms, and the same as in the coordinators' configuration")
	}
	return c, file.Faults()
}
