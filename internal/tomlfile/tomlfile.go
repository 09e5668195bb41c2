// Package tomlfile reads configuration files and reports every fault with its line.
package tomlfile

import (
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// File is a decoded file and the faults found in it.
type File struct {
	text   string
	keys   []toml.Key // in file order
	faults []fault
}

type fault struct {
	line int
	err  error
}

// Decode decodes a text into a struct. If the text is not valid TOML or a value has the
// wrong type, it returns a nil File and that one fault.
func Decode(text string, to any) (*File, []error) {
	meta, err := toml.Decode(text, to)
	if err != nil {
		var at toml.ParseError
		if errors.As(err, &at) {
			return nil, []error{fmt.Errorf("%d: %s", at.Position.Line, at.Message)}
		}
		n := 1
		_, _ = fmt.Sscanf(err.Error(), "toml: line %d", &n) // package toml has no error type for a value of the wrong type
		return nil, []error{fmt.Errorf("%d: %w", n, err)}
	}
	f := &File{text: text, keys: meta.Keys()}
	for _, key := range meta.Undecoded() {
		f.add(f.line(key.String(), 0), key.String(), "there is no such key")
	}
	return f, nil
}

// Load reads a file with the given parser. The error joins all its faults, each with
// path and line.
func Load[C any](path string, parse func(text string) (C, []error)) (c C, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	c, faults := parse(string(data))
	for i, f := range faults {
		faults[i] = fmt.Errorf("%s:%w", path, f)
	}
	return c, errors.Join(faults...)
}

// FirstKey returns the key of a table that starts with the earliest of the given
// prefixes, or the table itself if none does. A wrong value may be derived from another
// key, which is the one present in the file.
func (f *File) FirstKey(table string, prefixes ...string) string {
	for _, prefix := range prefixes {
		for _, k := range f.keys {
			if len(k) == 2 && k[0] == table && strings.HasPrefix(k[1], prefix) {
				return k.String()
			}
		}
	}
	return table
}

// Fault records a fault of a key, "table.key" or "key".
func (f *File) Fault(key, format string, args ...any) { f.FaultAt(key, 0, format, args...) }

// FaultAt records a fault of the n-th table of an array of tables, counted from 0.
func (f *File) FaultAt(key string, n int, format string, args ...any) {
	f.add(f.line(key, n), key, fmt.Sprintf(format, args...))
}

// CheckAddresses records a fault for each of a key's addresses that is not host:port.
func (f *File) CheckAddresses(key string, list []string) {
	for _, address := range list {
		if !IsAddress(address) {
			f.Fault(key, "not a host:port address: %q", address)
		}
	}
}

// IsAddress reports whether a text is host:port.
func IsAddress(text string) bool {
	_, _, err := net.SplitHostPort(text)
	return err == nil
}

// Milliseconds converts a value in milliseconds to a duration; 0 stands for the default.
func Milliseconds(value int, defaultValue time.Duration) time.Duration {
	if value == 0 {
		return defaultValue
	}
	return time.Duration(value) * time.Millisecond
}

func (f *File) add(line int, key, message string) {
	f.faults = append(f.faults, fault{line, fmt.Errorf("%d: %s: %s", line, key, message)})
}

// Lines returns the line of each table and of each key, by "table" and "table.key". It
// takes one pass over the file, for files of thousands of tables.
func (f *File) Lines() map[string]int {
	lines, table := map[string]int{}, ""
	for i, l := range strings.Split(f.text, "\n") {
		l = strings.TrimSpace(l)
		key := table
		if strings.HasPrefix(l, "[") {
			table = strings.Trim(strings.TrimSpace(strings.SplitN(l, "#", 2)[0]), "[] ")
			key = strings.ReplaceAll(table, `"`, "")
			table = key
		} else if name, _, hasValue := strings.Cut(l, "="); hasValue && !strings.HasPrefix(l, "#") {
			key = strings.Trim(strings.TrimSpace(name), `"`)
			if table != "" {
				key = table + "." + key
			}
		}
		if _, ok := lines[key]; !ok {
			lines[key] = i + 1
		}
	}
	return lines
}

// Faults returns the faults in the order of their lines, nil if there are none.
func (f *File) Faults() (all []error) {
	slices.SortStableFunc(f.faults, func(a, b fault) int { return a.line - b.line })
	for _, x := range f.faults {
		all = append(all, x.err)
	}
	return all
}

// line returns the line of a key, or of the n-th table of that name, and 1 if there is none.
func (f *File) line(key string, n int) int {
	table, last := "", key
	if i := strings.LastIndexByte(key, '.'); i >= 0 {
		table, last = key[:i], key[i+1:]
	}
	current, found := "", 0
	for i, l := range strings.Split(f.text, "\n") {
		l = strings.TrimSpace(l)
		if strings.HasPrefix(l, "[") {
			current = strings.Trim(strings.TrimSpace(strings.SplitN(l, "#", 2)[0]), "[] ")
			if current == key {
				if found == n {
					return i + 1
				}
				found++
			}
			continue
		}
		name, _, hasValue := strings.Cut(l, "=")
		if hasValue && strings.Trim(strings.TrimSpace(name), `"`) == last &&
			(current == table || table == "" && strings.HasPrefix(key, current+".")) {
			return i + 1
		}
	}
	return 1
}
