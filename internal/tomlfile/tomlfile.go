// Package tomlfile reads configuration files and tells every fault with its line.
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

// File is one that has been read.
type File struct {
	text   string
	keys   []toml.Key // in the order of the text
	faults []fault
}

type fault struct {
	line int
	err  error
}

// Decode reads a text into a struct. A text that is no TOML, or holds a value of a
// wrong type, gives no File and the one fault.
func Decode(text string, to any) (*File, []error) {
	meta, err := toml.Decode(text, to)
	if err != nil {
		var at toml.ParseError
		if errors.As(err, &at) {
			return nil, []error{fmt.Errorf("%d: %s", at.Position.Line, at.Message)}
		}
		n := 1
		_, _ = fmt.Sscanf(err.Error(), "toml: line %d", &n) // a value of the wrong type has no error type of its own
		return nil, []error{fmt.Errorf("%d: %w", n, err)}
	}
	f := &File{text: text, keys: meta.Keys()}
	for _, key := range meta.Undecoded() {
		f.add(f.line(key.String(), 0), key.String(), "there is no such key")
	}
	return f, nil
}

// Load reads a file by its parser, and finds all its faults, each with its line.
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

// FirstKey is the first key of a table that begins with one of the names, in their
// order, or the table: a value that is wrong may follow from another, which the file
// does hold.
func (f *File) FirstKey(table string, names ...string) string {
	for _, name := range names {
		for _, k := range f.keys {
			if len(k) == 2 && k[0] == table && strings.HasPrefix(k[1], name) {
				return k.String()
			}
		}
	}
	return table
}

// Fault notes what is wrong with a key, "table.key" or "key".
func (f *File) Fault(key, format string, args ...any) { f.FaultAt(key, 0, format, args...) }

// FaultAt notes what is wrong with the n-th table of an array of tables, from 0.
func (f *File) FaultAt(key string, n int, format string, args ...any) {
	f.add(f.line(key, n), key, fmt.Sprintf(format, args...))
}

// CheckAddresses notes each of a key's addresses that is not host:port.
func (f *File) CheckAddresses(key string, list []string) {
	for _, address := range list {
		if !IsAddress(address) {
			f.Fault(key, "host:port each, not %q", address)
		}
	}
}

// IsAddress tells whether a text is host:port.
func IsAddress(text string) bool {
	_, _, err := net.SplitHostPort(text)
	return err == nil
}

// Milliseconds is a value in milliseconds as a duration; 0 stands for the usual one.
func Milliseconds(value int, usual time.Duration) time.Duration {
	if value == 0 {
		return usual
	}
	return time.Duration(value) * time.Millisecond
}

func (f *File) add(line int, key, what string) {
	f.faults = append(f.faults, fault{line, fmt.Errorf("%d: %s: %s", line, key, what)})
}

// Lines tells where each table begins and each of its keys stands, by "table" and
// "table.key", in one pass: for files of thousands of tables.
func (f *File) Lines() map[string]int {
	lines, at := map[string]int{}, ""
	for i, l := range strings.Split(f.text, "\n") {
		l = strings.TrimSpace(l)
		key := at
		if strings.HasPrefix(l, "[") {
			at = strings.Trim(strings.TrimSpace(strings.SplitN(l, "#", 2)[0]), "[] ")
			key = strings.ReplaceAll(at, `"`, "")
			at = key
		} else if name, _, is := strings.Cut(l, "="); is && !strings.HasPrefix(l, "#") {
			key = strings.Trim(strings.TrimSpace(name), `"`)
			if at != "" {
				key = at + "." + key
			}
		}
		if _, there := lines[key]; !there {
			lines[key] = i + 1
		}
	}
	return lines
}

// Faults lists the faults in the order of their lines; nil for none.
func (f *File) Faults() (all []error) {
	slices.SortStableFunc(f.faults, func(a, b fault) int { return a.line - b.line })
	for _, x := range f.faults {
		all = append(all, x.err)
	}
	return all
}

// line is where a key stands, or the n-th table of its name; 1 where it does not.
func (f *File) line(key string, n int) int {
	table, last := "", key
	if i := strings.LastIndexByte(key, '.'); i >= 0 {
		table, last = key[:i], key[i+1:]
	}
	at, found := "", 0
	for i, l := range strings.Split(f.text, "\n") {
		l = strings.TrimSpace(l)
		if strings.HasPrefix(l, "[") {
			at = strings.Trim(strings.TrimSpace(strings.SplitN(l, "#", 2)[0]), "[] ")
			if at == key {
				if found == n {
					return i + 1
				}
				found++
			}
			continue
		}
		name, _, is := strings.Cut(l, "=")
		if is && strings.Trim(strings.TrimSpace(name), `"`) == last && (at == table || table == "" && strings.HasPrefix(key, at+".")) {
			return i + 1
		}
	}
	return 1
}
