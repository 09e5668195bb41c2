package choice_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"unicode/utf8"
)

// The files that hold the decision logic must stay small enough for one person to
// read: 1,200 lines in all, of at most 110 characters. The users require it.
func TestDecisionFilesKeepTheirSize(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, list, _ := strings.Cut(string(deploy), "\npolicy = [")
	list, _, _ = strings.Cut(list, "]")
	lines, files := 0, strings.Split(list, ",")
	for _, name := range files {
		name = strings.Trim(name, ` "`)
		text, err := os.ReadFile(filepath.Join("..", name))
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(text), "\n") {
			lines++
			if n := utf8.RuneCountInString(strings.ReplaceAll(line, "\t", "    ")); n > 110 {
				t.Errorf("%s:%d: %d characters, want at most 110", name, i+1, n)
			}
		}
	}
	if len(files) < 2 || lines > 1200 {
		t.Errorf("%d files of the decision logic have %d lines, want at most 1200", len(files), lines)
	}
}
