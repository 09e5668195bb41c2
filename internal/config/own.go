// Package config reads the file of our own under deploy/: what this program can
// do beyond what the platform's configuration tells. Without it all of that is
// off, and the limits on connections follow from the platform's limits.
package config

import (
	"strings"
	"time"

	"wickarch/admission"
	"wickarch/internal/tomlfile"
)

// Options is the whole file. Parts that it leaves out are nil.
type Options struct {
	Admission *Admission `toml:"door"`
	Log       *Log       `toml:"log"`
}

// Log tells what is logged beyond the usual.
type Log struct {
	Requests bool `toml:"requests"` // each request, attempt and connection, with the reason of each end
}

// LogsRequests tells whether each request is logged.
func (l *Log) LogsRequests() bool { return l != nil && l.Requests }

// Admission sets limits on connections; see package admission. A limit that is left out
// follows from the platform's limits. Counts are of connections.
type Admission struct {
	Places        *int `toml:"places"`
	Spare         *int `toml:"spare"`
	Useful        *int `toml:"useful"`
	High          *int `toml:"high"`
	Low           *int `toml:"low"`
	Floor         *int `toml:"floor"`
	RestMostMS    *int `toml:"rest_most_ms"`
	RestLeastMS   *int `toml:"rest_least_ms"`
	SilentMostMS  *int `toml:"silent_most_ms"`
	SilentLeastMS *int `toml:"silent_least_ms"`
	Batch         *int `toml:"batch"`
	PauseMS       *int `toml:"pause_ms"`
}

// Apply puts the limits of the file in place of those that follow from the limits.
func (d *Admission) Apply(m admission.Limits) admission.Limits {
	if d == nil {
		return m
	}
	count := func(to *int, v *int) {
		if v != nil {
			*to = *v
		}
	}
	span := func(to *time.Duration, ms *int) {
		if ms != nil {
			*to = time.Duration(*ms) * time.Millisecond
		}
	}
	if d.Places != nil { // the others follow in the same shares
		m = admission.Defaults(*d.Places, *d.Places)
	}
	count(&m.Places, d.Places)
	count(&m.Spare, d.Spare)
	count(&m.Useful, d.Useful)
	count(&m.High, d.High)
	count(&m.Low, d.Low)
	count(&m.Floor, d.Floor)
	span(&m.IdleMax, d.RestMostMS)
	span(&m.IdleMin, d.RestLeastMS)
	span(&m.SilentMax, d.SilentMostMS)
	span(&m.SilentMin, d.SilentLeastMS)
	count(&m.Batch, d.Batch)
	span(&m.Pause, d.PauseMS)
	return m
}

// Load reads and checks a file. The error holds every fault, each with its line.
func Load(path string) (Options, error) {
	return tomlfile.Load(path, Parse)
}

// Parse reads and checks the text of a file, and returns all its faults in the
// order of their lines, each as "LINE: what is wrong".
func Parse(text string) (own Options, faults []error) {
	file, faults := tomlfile.Decode(text, &own)
	if file == nil {
		return Options{}, faults
	}
	if own.Admission != nil {
		m := own.Admission.Apply(admission.Defaults(sampleSockets, sampleSockets))
		if err := m.Check(); err != nil {
			name, _, _ := strings.Cut(err.Error(), ":")
			file.Fault(file.FirstKey("door", name, "high", "low", "floor", "spare", "places"), "%v", err)
		}
	}
	return own, file.Faults()
}

// sampleSockets stands for the platform's limit when a file is checked alone.
const sampleSockets = 1024
