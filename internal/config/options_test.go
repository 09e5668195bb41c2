package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"wickarch/admission"
)

func TestFileOverridesDefaultLimits(t *testing.T) {
	options, faults := Parse("[door]\nplaces = 1000\nrest_least_ms = 75\nhigh = 900\n")
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	want := admission.Defaults(1000, 1000)
	want.High, want.IdleMin = 900, 75*time.Millisecond
	if got := options.Admission.Apply(admission.Defaults(211, 128)); got != want {
		t.Errorf("limits %+v, want %+v", got, want)
	}
	if got := (*Admission)(nil).Apply(admission.Defaults(211, 128)); got != admission.Defaults(211, 128) {
		t.Errorf("without a file: %+v", got)
	}
}

// Every fault is reported with its line.
func TestFaultsHaveLines(t *testing.T) {
	for text, want := range map[string][]string{
		"[door]\nplaces = 10\n\nhigh = 11\n":          {"4: door.high"},
		"[door]\n# more\nbatch = 0 # none\n":          {"3: door.batch"},
		"[door]\nrest_most_ms = 10\n":                 {"2: door.rest_most_ms"},
		"[door]\nplaces = 0\nfoo = 1\n":               {"2: door.places", "3: door.foo: there is no such key"},
		"[dor]\nplaces = 1\n[door]\nlow = 99999\n":    {"1: dor: ", "2: dor.places", "4: door.low"},
		"[door]\nplaces = \"many\"\n":                 {"2: "},
		"[door]\n\nplaces = = 3\n":                    {"3: "},
		"x = 1\n[door]\nsilent_least_ms = 100000\n\n": {"1: x", "3: door.silent_least_ms"},
	} {
		_, faults := Parse(text)
		var got []string
		for _, f := range faults {
			got = append(got, f.Error())
		}
		ok := len(got) == len(want)
		for i := range got {
			ok = ok && strings.HasPrefix(got[i], want[i])
		}
		if !ok {
			t.Errorf("%q: faults %q, want %q", text, got, want)
		}
	}
}

func TestLoadErrorHasPath(t *testing.T) {
	path := filepath.Join(t.TempDir(), "options.toml")
	if _, err := Load(path); err == nil {
		t.Error("no error for a missing file")
	}
	if err := os.WriteFile(path, []byte("[door]\nplaces = 0\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); err == nil || !strings.Contains(err.Error(), path+":2: door.places") {
		t.Errorf("error %v, want path and line", err)
	}
}

// The shipped example must be valid and hold every key.
func TestShippedFileIsValid(t *testing.T) {
	options, err := Load("../../deploy/wickarch.toml")
	if err != nil {
		t.Fatal(err)
	}
	if options.Admission == nil || options.Admission.Places == nil || options.Admission.PauseMS == nil {
		t.Error("keys of [door] are missing")
	}
}
