package follower

import (
	"time"

	"wickarch/distribution"
	"wickarch/internal/tomlfile"
)

// Config is a follower's file (deploy/follower.toml).
type Config struct {
	Name          string   `toml:"name"`
	Region        string   `toml:"region"`
	Coordinators  []string `toml:"coordinators"`
	Dir           string   `toml:"dir"`
	PollTimeoutMS int      `toml:"patience_ms"`
}

// Patience is how long a question may be out: longer than the coordinators hold it.
func (c Config) PollTimeout() time.Duration {
	return tomlfile.Milliseconds(c.PollTimeoutMS, distribution.DefaultPollTimeout)
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
	if n := len(c.Name); n < 1 || n > 64 {
		file.Fault("name", "1 to 64 characters, and new for each ingress of the fleet")
	}
	if len(c.Region) > 64 {
		file.Fault("region", "64 characters at most")
	}
	if c.Dir == "" {
		file.Fault("dir", "a folder that keeps what is written through restarts")
	}
	if n := len(c.Coordinators); n < 1 || n > 16 {
		file.Fault("coordinators", "the addresses of all of them")
	}
	file.CheckAddresses("coordinators", c.Coordinators)
	if c.PollTimeoutMS < 0 || c.PollTimeout() <= distribution.DefaultTiming().Hold {
		file.Fault("patience_ms", "above the %v for which a question is held", distribution.DefaultTiming().Hold)
	}
	return c, file.Faults()
}
