// Package config reads the options file (deploy/wickarch.toml): settings of this
// program beyond the platform's configuration. Without the file these features are
// off, and the connection limits follow from the platform's limits.
package config

import (
	"strings"
	"time"

	"wickarch/admission"
	"wickarch/internal/tomlfile"
)

// Options is the whole file. Omitted tables are nil.
type Options struct {
	Admission *Admission `toml:"door"`
	Log       *Log       `toml:"log"`
}

// Log selects what is logged in addition to the default.
type Log struct {
	Requests bool `toml:"requests"` // each request, attempt and connection, with the reason why it ended
}

// LogsRequests reports whether each request is logged.
func (l *Log) LogsRequests() bool { return l != nil && l.Requests }

// Admission sets limits on connections; see package admission. An omitted limit
// follows from the platform's limits. Counts are of connections.
type Admission struct {
	Places      *int `toml:"places"`
	Spare       *int `toml:"spare"`
	Useful      *int `toml:"useful"`
	High        *int `toml:"high"`
	Low         *int `toml:"low"`
	Floor       *int `toml:"floor"`
	IdleMaxMS   *int `toml:"rest_most_ms"`
	IdleMinMS   *int `toml:"rest_least_ms"`
	SilentMaxMS *int `toml:"silent_most_ms"`
	SilentMinMS *int `toml:"silent_least_ms"`
	Batch       *int `toml:"batch"`
	PauseMS     *int `toml:"pause_ms"`
}

// Apply overrides limits, which follow from the platform's, with those of the file.
func (d *Admission) Apply(m admission.Limits) admission.Limits {
	if d == nil {
		return m
	}
	count := func(to *int, v *int) {
		if v != nil {
			*to = *v
		}
	}
	duration := func(to *time.Duration, ms *int) {
		if ms != nil {
			*to = time.Duration(*ms) * time.Millisecond
		}
	}
	if d.Places != nil { // the other limits keep their ratios to it
		m = admission.Defaults(*d.Places, *d.Places)
	}
	count(&m.Places, d.Places)
	count(&m.Spare, d.Spare)
	count(&m.Useful, d.Useful)
	count(&m.High, d.High)
	count(&m.Low, d.Low)
	count(&m.Floor, d.Floor)
	duration(&m.IdleMax, d.IdleMaxMS)
	duration(&m.IdleMin, d.IdleMinMS)
	duration(&m.SilentMax, d.SilentMaxMS)
	duration(&m.SilentMin, d.SilentMinMS)
	count(&m.Batch, d.Batch)
	duration(&m.Pause, d.PauseMS)
	return m
}

// Load reads and checks a file. The error joins all faults, each with its line.
func Load(path string) (Options, error) {
	return tomlfile.Load(path, Parse)
}

// Parse reads and checks the text of a file, and returns all its faults in the
// order of their lines, each as "LINE: what is wrong".
func Parse(text string) (options Options, faults []error) {
	file, faults := tomlfile.Decode(text, &options)
	if file == nil {
		return Options{}, faults
	}
	if options.Admission != nil {
		m := options.Admission.Apply(admission.Defaults(sampleSockets, sampleSockets))
		if err := m.Check(); err != nil {
			name, _, _ := strings.Cut(err.Error(), ":")
			file.Fault(file.FirstKey("door", name, "high", "low", "floor", "spare", "places"), "%v", err)
		}
	}
	return options, file.Faults()
}

// sampleSockets stands in for the platform's limit when a file is checked on its own.
const sampleSockets = 1024
