package configfile

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"wickarch/distribution"
)

// The shipped example must be valid, and give the same set after it is written and read again.
func TestShippedFileRoundTrip(t *testing.T) {
	set, err := Load("../../deploy/configuration.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range []distribution.Key{"plan/basic", "plan/business", "limit/attempts", "service/accounts", "route/accounts"} {
		if r, there := set[key]; !there || r.Line < 9 {
			t.Errorf("%s: %+v", key, r)
		}
	}
	text, err := Format(set)
	if err != nil {
		t.Fatal(err)
	}
	again, faults := Parse(string(text))
	if len(faults) > 0 || again.Sum() != set.Sum() {
		t.Errorf("written and read again: %v\n%s", faults, text)
	}
}

// Each error must name the line, and the resource if one can't be used.
func TestErrorsNameResourceAndLine(t *testing.T) {
	for text, want := range map[string]string{
		"[plan.a]\nprice = 1\nrate = -1\n": "plan/a (line 1): rate is -1",
		"\n[plan.a]\nrate = 1\n":           "plan/a (line 2): a bucket",
		"[plan.a]\nprice = 1\nprise = 2\n": "3: plan.a.prise: there is no such key",
		"[plan.a]\nprice = \"much\"\n":     "2: ",
		"[limit]\n\nattempts = 9\n":        "limit/attempts (line 3): attempts are 1 to 4",
		"[limit]\nspeed = 9\n":             "limit/speed (line 2): there is no such limit",
		"[route.x]\nservice = \"y\"\n":     "route/x (line 1): there is no service",
		"[service.s]\n[route.a]\nservice = \"s\"\nprefix = \"1\"\n[route.b]\nservice = \"s\"\nprefix = \"1\"\n": "route/b (line 5): route/a takes all of the same requests",
		"[plan.\"a b\"]\nprice = 1\n": "plan/a b (line 1): a name",
		"= 1\n":                       "1: ",
	} {
		if _, faults := Parse(text); len(faults) != 1 || !strings.HasPrefix(faults[0].Error(), want) {
			t.Errorf("%q: %v, want %s", text, faults, want)
		}
	}
}

// A file of 2,200 routes must be accepted, and one of 100 MB rejected before it is read into memory.
func TestFileSizeLimit(t *testing.T) {
	var b strings.Builder
	b.WriteString("[service.s]\n")
	for i := range 2200 {
		fmt.Fprintf(&b, "[route.r%d]\nservice = \"s\"\nprefix = \"%08x\"\n", i, i)
	}
	set, faults := Parse(b.String())
	if len(faults) > 0 || len(set) != 2201 || set["route/r2199"].Line != 2+3*2199 {
		t.Errorf("%d resources, line %d, %v", len(set), set["route/r2199"].Line, faults)
	}
	path := filepath.Join(t.TempDir(), "large.toml")
	f, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	if err := f.Truncate(100 << 20); err != nil {
		t.Fatal(err)
	}
	var large *distribution.TooLarge
	if _, err := Load(path); !errors.As(err, &large) {
		t.Errorf("%v", err)
	}
}
