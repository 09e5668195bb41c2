// Package rollout decides who of a fleet may go out of service, when a release
// goes on, when it halts and how it goes back. It has no I/O, no goroutine and no
// clock: events and times come in, entries of a replicated log, replies and
// actions go out, and the same events give the same decisions.
//
// Its parts: State is what the log says, the same at every coordinator. Leader is
// what the coordinator that leads decides by State and by what it hears. Agent is
// what the agent beside one member does. Replica joins State and Leader to the
// raft library.
//
// All times are durations since some zero of the process's own monotonic clock.
// No two clocks are ever compared.
package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Member is one thing that can be taken out of service: an ingress or a backend.
type Member struct {
	Name   string  `json:"name"`
	Role   string  `json:"role"`
	Zone   string  `json:"zone,omitempty"`
	Cell   string  `json:"cell,omitempty"`
	Weight float64 `json:"weight"` // what it can carry, in any unit that its role shares
}

// Budget bounds how many members may be out at once.
type Budget struct {
	Name    string  `json:"name" toml:"name"`
	Role    string  `json:"role,omitempty" toml:"role"` // "" for every role
	Zone    string  `json:"zone,omitempty" toml:"zone"` // "" for every zone
	Cell    string  `json:"cell,omitempty" toml:"cell"`
	GroupBy string  `json:"each,omitempty" toml:"each"`   // "zone" or "cell": a budget of its own for each one
	MaxOut  int     `json:"most,omitempty" toml:"most"`   // members; 0 for no bound in number
	Share   float64 `json:"share,omitempty" toml:"share"` // of the weights' sum; 0 for no bound in share
	// ExpectedMembers is how many members there are, in each group. Who has never been heard stands in
	// no log and would count for nothing: as many as are missing count as out. 0 for
	// however many there are.
	ExpectedMembers int `json:"of,omitempty" toml:"of"`
}

// group tells whether the budget covers a member, and in which group of it.
func (b Budget) group(m Member) (string, bool) {
	if b.Role != "" && b.Role != m.Role || b.Zone != "" && b.Zone != m.Zone || b.Cell != "" && b.Cell != m.Cell {
		return "", false
	}
	switch b.GroupBy {
	case "zone":
		return m.Zone, true
	case "cell":
		return m.Cell, true
	}
	return "", true
}

// tally is what one group of one budget holds.
type tally struct {
	out               int
	weight, all       float64
	members           int
	lightest, weighty float64
}

// Ledger counts members against budgets.
type Ledger struct {
	budgets []Budget
	groups  []map[string]*tally // by the budget's number
}

// NewLedger makes the ledger of members, where out tells who counts as out.
func NewLedger(budgets []Budget, members []Member, out func(name string) bool) *Ledger {
	l := &Ledger{budgets: budgets, groups: make([]map[string]*tally, len(budgets))}
	for i := range budgets {
		l.groups[i] = map[string]*tally{}
	}
	for _, m := range members {
		gone := out(m.Name)
		for i, b := range budgets {
			g, ok := b.group(m)
			if !ok {
				continue
			}
			t := l.groups[i][g]
			if t == nil {
				t = &tally{}
				l.groups[i][g] = t
			}
			if t.members == 0 {
				t.lightest = m.Weight
			}
			t.lightest, t.weighty = min(t.lightest, m.Weight), max(t.weighty, m.Weight)
			t.members++
			t.all += m.Weight
			if gone {
				t.out++
				t.weight += m.Weight
			}
		}
	}
	for i, b := range budgets {
		for _, t := range l.groups[i] {
			if missing := b.ExpectedMembers - t.members; missing > 0 {
				t.out += missing
				t.weight += float64(missing) * t.weighty // on the careful side both
				t.all += float64(missing) * t.lightest
			}
		}
	}
	return l
}

// over tells by how much a group would pass its budget with more out.
func (b Budget) over(t *tally, more int, weight float64) bool {
	return b.MaxOut > 0 && t.out+more > b.MaxOut || b.Share > 0 && t.weight+weight > b.Share*t.all+1e-9
}

// Fits tells whether one more member may be out; nil if so, else *OverBudget. A
// member that counts as out already is asked for with counted.
func (l *Ledger) Fits(m Member, counted bool) error {
	more, weight := 1, m.Weight
	if counted {
		more, weight = 0, 0
	}
	for i, b := range l.budgets {
		g, ok := b.group(m)
		if !ok {
			continue
		}
		t := l.groups[i][g]
		if t == nil {
			t = &tally{all: m.Weight}
		}
		if b.over(t, more, weight) {
			return &OverBudget{Budget: b.Name, Group: g, Member: m.Name, Out: t.out, MaxOut: b.MaxOut, Weight: t.weight, Allowed: b.Share * t.all}
		}
	}
	return nil
}

// Take counts one more member as out.
func (l *Ledger) Take(m Member) {
	for i, b := range l.budgets {
		if g, ok := b.group(m); ok {
			if t := l.groups[i][g]; t != nil {
				t.out++
				t.weight += m.Weight
			}
		}
	}
}

// Exceeded lists the groups that hold more than their budget allows.
func (l *Ledger) Exceeded() (over []*OverBudget) {
	for i, b := range l.budgets {
		for g, t := range l.groups[i] {
			if b.over(t, 0, 0) {
				over = append(over, &OverBudget{Budget: b.Name, Group: g, Out: t.out, MaxOut: b.MaxOut, Weight: t.weight, Allowed: b.Share * t.all})
			}
		}
	}
	slices.SortFunc(over, func(a, b *OverBudget) int {
		return cmp.Or(strings.Compare(a.Budget, b.Budget), strings.Compare(a.Group, b.Group))
	})
	return over
}

// BudgetUsage is what one group of a budget holds, for people to read.
type BudgetUsage struct {
	Budget  string  `json:"budget"`
	Group   string  `json:"group,omitempty"`
	Out     int     `json:"out"`
	MaxOut  int     `json:"most,omitempty"`
	Weight  float64 `json:"weight"`
	Share   float64 `json:"share,omitempty"`
	Members int     `json:"of"`
}

// Usage lists all groups.
func (l *Ledger) Usage() (use []BudgetUsage) {
	for i, b := range l.budgets {
		for g, t := range l.groups[i] {
			w := 0.0
			if t.all > 0 {
				w = t.weight / t.all
			}
			use = append(use, BudgetUsage{b.Name, g, t.out, b.MaxOut, w, b.Share, t.members})
		}
	}
	slices.SortFunc(use, func(a, b BudgetUsage) int {
		return cmp.Or(strings.Compare(a.Budget, b.Budget), strings.Compare(a.Group, b.Group))
	})
	return use
}

// check finds what is wrong with a member as an agent tells it.
func (m Member) check() error {
	for what, v := range map[string]string{"name": m.Name, "role": m.Role} {
		if v == "" || len(v) > mostName {
			return &BadRequest{fmt.Sprintf("a member's %s has 1 to %d characters, not %d", what, mostName, len(v))}
		}
	}
	if len(m.Zone) > mostName || len(m.Cell) > mostName || !(m.Weight > 0 && m.Weight < 1e12) {
		return &BadRequest{fmt.Sprintf("member %s: zone and cell have up to %d characters, and weight is above 0", m.Name, mostName)}
	}
	return nil
}

// Check finds what is wrong with budgets.
func (b Budget) Check() error {
	switch {
	case b.Name == "":
		return &BadRequest{"a budget has a name"}
	case b.ExpectedMembers < 0 || b.MaxOut < 0 || b.Share < 0 || b.Share > 1 || b.MaxOut == 0 && b.Share == 0:
		return &BadRequest{fmt.Sprintf("budget %s: most and of are numbers of members, share above 0 and up to 1, and one of most and share is there", b.Name)}
	case b.GroupBy != "" && b.GroupBy != "zone" && b.GroupBy != "cell":
		return &BadRequest{fmt.Sprintf("budget %s: each is zone or cell, not %q", b.Name, b.GroupBy)}
	}
	return nil
}

const mostName = 100 // bytes of a name
