// Package configfile reads and writes the operators' configuration file
// (deploy/configuration.toml): plans, limits, services and routes as tables.
package configfile

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"github.com/BurntSushi/toml"

	"wickarch/distribution"
	"wickarch/internal/tomlfile"
)

// maxFileBytes is the max size of a file: more than the text of the largest version.
const maxFileBytes = 4 * distribution.MaxStateBytes

// document is the decoded file.
type document struct {
	Plan    map[string]distribution.Plan    `toml:"plan"`
	Limit   map[string]float64              `toml:"limit"`
	Service map[string]distribution.Service `toml:"service"`
	Route   map[string]distribution.Route   `toml:"route"`
}

// Load reads a file. The error is a *distribution.TooLarge, a *distribution.Refused with the
// line, or all errors of the text, each with its line.
func Load(path string) (distribution.Set, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if info.Size() > maxFileBytes {
		return nil, &distribution.TooLarge{Bytes: int(info.Size())}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	set, faults := Parse(string(data))
	for i, f := range faults {
		var refused *distribution.Refused
		var large *distribution.TooLarge
		if !errors.As(f, &refused) && !errors.As(f, &large) {
			faults[i] = fmt.Errorf("%s:%w", path, f)
		}
	}
	return set, errors.Join(faults...)
}

// Parse parses the text of a file. Each error begins with its line, or is a
// *distribution.Refused or *distribution.TooLarge.
func Parse(text string) (distribution.Set, []error) {
	var f document
	read, faults := tomlfile.Decode(text, &f)
	if read == nil {
		return nil, faults
	}
	if faults = read.Faults(); len(faults) > 0 {
		return nil, faults
	}
	set, lines := distribution.Set{}, read.Lines()
	add := func(kind, name string, v any) {
		data, err := distribution.Encode(v)
		line := lines[kind+"."+name]
		if err != nil {
			faults = append(faults, fmt.Errorf("%d: %s.%s: %w", line, kind, name, err))
			return
		}
		key := distribution.KeyOf(kind, name)
		set[key] = distribution.Resource{Key: key, Data: data, Line: line}
	}
	for name, v := range f.Plan {
		add(distribution.KindPlan, name, v)
	}
	for name, v := range f.Limit {
		add(distribution.KindLimit, name, distribution.Limit{Value: v})
	}
	for name, v := range f.Service {
		add(distribution.KindService, name, v)
	}
	for name, v := range f.Route {
		add(distribution.KindRoute, name, v)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	if err := set.Check(); err != nil {
		return nil, []error{err}
	}
	return set, nil
}

// Format encodes a set as the text of a file.
func Format(set distribution.Set) ([]byte, error) {
	f := document{map[string]distribution.Plan{}, map[string]float64{}, map[string]distribution.Service{}, map[string]distribution.Route{}}
	for _, r := range set {
		kind, name := r.Key.Split()
		var err error
		switch kind {
		case distribution.KindPlan:
			f.Plan[name], err = r.Plan()
		case distribution.KindLimit:
			var l distribution.Limit
			l, err = r.Limit()
			f.Limit[name] = l.Value
		case distribution.KindService:
			f.Service[name], err = r.Service()
		case distribution.KindRoute:
			f.Route[name], err = r.Route()
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", r.Key, err)
		}
	}
	var b bytes.Buffer
	e := toml.NewEncoder(&b)
	e.Indent = ""
	if err := e.Encode(f); err != nil {
		return nil, fmt.Errorf("configfile: %w", err)
	}
	return b.Bytes(), nil
}
