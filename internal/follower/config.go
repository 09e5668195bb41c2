package follower

import (
	"time"

	"wickarch/distribution"
	"wickarch/internal/tomlfile"
)

// Config is the configuration file of a follower (deploy/follower.toml).
type Config struct {
	Name          string   `toml:"name"`
	Region        string   `toml:"region"`
	Coordinators  []string `toml:"coordinators"`
	Dir           string   `toml:"dir"`
	PollTimeoutMS int      `toml:"patience_ms"`
}

// PollTimeout is the timeout of a poll: longer than the coordinators hold it.
func (c Config) PollTimeout() time.Duration {
	return tomlfile.Milliseconds(c.PollTimeoutMS, distribution.DefaultPollTimeout)
}

// LoadConfig reads a file and reports all its errors, each with its line.
func LoadConfig(path string) (Config, error) {
	return tomlfile.Load(path, ParseConfig)
}

// ParseConfig parses the text of a file; each error begins with its line.
func ParseConfig(text string) (c Config, faults []error) {
	file, faults := tomlfile.Decode(text, &c)
	if file == nil {
		return c, faults
	}
	if n := len(c.Name); n < 1 || n > 64 {
		file.Fault("name", "must have 1 to 64 characters and be unique in the fleet")
	}
	if len(c.Region) > 64 {
		file.Fault("region", "must have at most 64 characters")
	}
	if c.Dir == "" {
		file.Fault("dir", "must be a folder that persists across restarts")
	}
	if n := len(c.Coordinators); n < 1 || n > 16 {
		file.Fault("coordinators", "must list the addresses of all coordinators, 1 to 16")
	}
	file.CheckAddresses("coordinators", c.Coordinators)
	if c.PollTimeoutMS < 0 || c.PollTimeout() <= distribution.DefaultTiming().Hold {
		file.Fault("patience_ms", "must be above the %v for which coordinators hold a poll", distribution.DefaultTiming().Hold)
	}
	return c, file.Faults()
}
