package rollout_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"wickarch/distribution"
	"wickarch/internal/agent"
	"wickarch/internal/coordinator"
	"wickarch/internal/follower"
	"wickarch/internal/rolloutlink"
	"wickarch/rollout"
	"wickarch/rollout/replica"
)

// faults converts a package's list of errors to rollout.Fault.
func faults[F rollout.Fault](list []F) (all []rollout.Fault) {
	for _, f := range list {
		all = append(all, f)
	}
	return all
}

// Every error type of the packages on rollouts and on configuration has a remedy, is described
// in the operators' page of its subject, and is in its package's list.
func TestEveryErrorHasARemedy(t *testing.T) {
	for _, subject := range []struct {
		page   string
		faults [][]rollout.Fault
		dirs   []string
	}{
		{"rollouts", [][]rollout.Fault{rollout.Faults(), replica.Faults(), coordinator.Faults(), agent.Faults(), rolloutlink.Faults()},
			[]string{".", "replica", "../internal/coordinator", "../internal/agent", "../internal/rolloutlink"}},
		{"distribution", [][]rollout.Fault{faults(distribution.Faults()), faults(follower.Faults())},
			[]string{"../distribution", "../internal/follower"}},
	} {
		t.Run(subject.page, func(t *testing.T) { remedies(t, subject.page, subject.faults, subject.dirs) })
	}
}

func remedies(t *testing.T, name string, faults [][]rollout.Fault, dirs []string) {
	page, err := os.ReadFile("../docs/operate/" + name + ".md")
	if err != nil {
		t.Fatal(err)
	}
	listed := map[string]bool{"RemoteError": true} // the form of an error from another process: it has that one's remedy
	for _, list := range faults {
		for _, f := range list {
			remote := rollout.ToRemoteError(f)
			listed[remote.Kind] = true
			if remote.Text == "" || len(remote.Advice) < 10 {
				t.Errorf("%s: text %q or remedy %q is missing or too short", remote.Kind, remote.Text, remote.Advice)
			}
			if !strings.Contains(string(page), "`"+remote.Kind+"`") {
				t.Errorf("%s is not in the operators' page", remote.Kind)
			}
		}
	}
	for _, dir := range dirs {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatal(dir, err)
		}
		for _, name := range files {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			for _, d := range file.Decls {
				f, ok := d.(*ast.FuncDecl)
				if !ok || f.Recv == nil || f.Name.Name != "Error" || f.Type.Results == nil {
					continue
				}
				of := f.Recv.List[0].Type
				if star, ok := of.(*ast.StarExpr); ok {
					of = star.X
				}
				if kind := of.(*ast.Ident).Name; !listed[kind] {
					t.Errorf("%s: error type %s is not in its package's Faults", name, kind)
				}
			}
		}
	}
}
