// Package rollout decides which members of a fleet may go out of service, when a
// release proceeds, when it halts and how it is rolled back. It has no I/O, no
// goroutine and no clock: events and times are passed in, entries for a replicated
// log, replies and actions are returned, and the same events give the same decisions.
//
// State is the result of applying the log, the same at every coordinator. Leader
// decides at the coordinator that leads, from State and the agents' reports. Agent
// decides for the member that it runs beside. Package replica joins State and Leader
// to the raft library.
//
// All times are durations since an arbitrary zero of the process's own monotonic clock.
// The clocks of two processes are never compared.
package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Member is an instance that can be taken out of service: an ingress or a backend.
type Member struct {
	Name   string  `json:"name"`
	Role   string  `json:"role"`
	Zone   string  `json:"zone,omitempty"`
	Cell   string  `json:"cell,omitempty"`
	Weight float64 `json:"weight"` // capacity, in a unit that is the same for all members of the role
}

// Budget limits how many members may be out of service at once.
type Budget struct {
	Name    string  `json:"name" toml:"name"`
	Role    string  `json:"role,omitempty" toml:"role"` // "" for every role
	Zone    string  `json:"zone,omitempty" toml:"zone"` // "" for every zone
	Cell    string  `json:"cell,omitempty" toml:"cell"`
	GroupBy string  `json:"each,omitempty" toml:"each"`   // "zone" or "cell": a separate limit for each one
	MaxOut  int     `json:"most,omitempty" toml:"most"`   // members out; 0 for no limit on their number
	Share   float64 `json:"share,omitempty" toml:"share"` // of the total weight, out; 0 for no limit on the share
	// ExpectedMembers is the number of members in each group. A member that has never reported
	// is not in the log and would not be counted: as many as are missing count as out. 0 for
	// the number of members in the log.
	ExpectedMembers int `json:"of,omitempty" toml:"of"`
}

// group returns the budget's group that a member belongs to; false if the budget does not cover it.
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

// groupUsage is the usage of one group of one budget.
type groupUsage struct {
	out                    int
	outWeight, totalWeight float64
	members                int
	minWeight, maxWeight   float64
}

// Ledger counts members against budgets.
type Ledger struct {
	budgets []Budget
	groups  []map[string]*groupUsage // by the budget's index
}

// NewLedger returns the ledger of members; out tells which of them count as out.
func NewLedger(budgets []Budget, members []Member, out func(name string) bool) *Ledger {
	l := &Ledger{budgets: budgets, groups: make([]map[string]*groupUsage, len(budgets))}
	for i := range budgets {
		l.groups[i] = map[string]*groupUsage{}
	}
	for _, m := range members {
		isOut := out(m.Name)
		for i, b := range budgets {
			groupName, ok := b.group(m)
			if !ok {
				continue
			}
			usage := l.groups[i][groupName]
			if usage == nil {
				usage = &groupUsage{}
				l.groups[i][groupName] = usage
			}
			if usage.members == 0 {
				usage.minWeight = m.Weight
			}
			usage.minWeight, usage.maxWeight = min(usage.minWeight, m.Weight), max(usage.maxWeight, m.Weight)
			usage.members++
			usage.totalWeight += m.Weight
			if isOut {
				usage.out++
				usage.outWeight += m.Weight
			}
		}
	}
	for i, b := range budgets {
		for _, usage := range l.groups[i] {
			if missing := b.ExpectedMembers - usage.members; missing > 0 {
				usage.out += missing
				usage.outWeight += float64(missing) * usage.maxWeight // both err on the safe side
				usage.totalWeight += float64(missing) * usage.minWeight
			}
		}
	}
	return l
}

// exceeds reports whether a group would exceed its budget with more members and weight out.
func (b Budget) exceeds(t *groupUsage, more int, weight float64) bool {
	return b.MaxOut > 0 && t.out+more > b.MaxOut || b.Share > 0 && t.outWeight+weight > b.Share*t.totalWeight+1e-9
}

// Fits returns nil if one more member may be out, else *OverBudget. counted is set for a
// member that counts as out already.
func (l *Ledger) Fits(m Member, counted bool) error {
	more, weight := 1, m.Weight
	if counted {
		more, weight = 0, 0
	}
	for i, b := range l.budgets {
		groupName, ok := b.group(m)
		if !ok {
			continue
		}
		usage := l.groups[i][groupName]
		if usage == nil {
			usage = &groupUsage{totalWeight: m.Weight}
		}
		if b.exceeds(usage, more, weight) {
			return &OverBudget{Budget: b.Name, Group: groupName, Member: m.Name, Out: usage.out, MaxOut: b.MaxOut,
				Weight: usage.outWeight, Allowed: b.Share * usage.totalWeight}
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
				t.outWeight += m.Weight
			}
		}
	}
}

// Exceeded lists the groups that have more out than their budget allows.
func (l *Ledger) Exceeded() (over []*OverBudget) {
	for i, b := range l.budgets {
		for g, t := range l.groups[i] {
			if b.exceeds(t, 0, 0) {
				over = append(over, &OverBudget{Budget: b.Name, Group: g, Out: t.out, MaxOut: b.MaxOut,
					Weight: t.outWeight, Allowed: b.Share * t.totalWeight})
			}
		}
	}
	slices.SortFunc(over, func(a, b *OverBudget) int {
		return cmp.Or(strings.Compare(a.Budget, b.Budget), strings.Compare(a.Group, b.Group))
	})
	return over
}

// BudgetUsage is the usage of one group of a budget, for status output.
type BudgetUsage struct {
	Budget  string  `json:"budget"`
	Group   string  `json:"group,omitempty"`
	Out     int     `json:"out"`
	MaxOut  int     `json:"most,omitempty"`
	Weight  float64 `json:"weight"`
	Share   float64 `json:"share,omitempty"`
	Members int     `json:"of"`
}

// Usage lists the usage of all groups.
func (l *Ledger) Usage() (use []BudgetUsage) {
	for i, b := range l.budgets {
		for g, t := range l.groups[i] {
			w := 0.0
			if t.totalWeight > 0 {
				w = t.outWeight / t.totalWeight
			}
			use = append(use, BudgetUsage{b.Name, g, t.out, b.MaxOut, w, b.Share, t.members})
		}
	}
	slices.SortFunc(use, func(a, b BudgetUsage) int {
		return cmp.Or(strings.Compare(a.Budget, b.Budget), strings.Compare(a.Group, b.Group))
	})
	return use
}

// check validates a member as an agent reports it.
func (m Member) check() error {
	for what, v := range map[string]string{"name": m.Name, "role": m.Role} {
		if v == "" || len(v) > maxNameLength {
			return &BadRequest{fmt.Sprintf("a member's %s has 1 to %d characters, not %d", what, maxNameLength, len(v))}
		}
	}
	if len(m.Zone) > maxNameLength || len(m.Cell) > maxNameLength || !(m.Weight > 0 && m.Weight < 1e12) {
		return &BadRequest{fmt.Sprintf("member %s: zone and cell have up to %d characters, and weight is above 0",
			m.Name, maxNameLength)}
	}
	return nil
}

// Check validates the budget.
func (b Budget) Check() error {
	switch {
	case b.Name == "":
		return &BadRequest{"a budget must have a name"}
	case b.ExpectedMembers < 0 || b.MaxOut < 0 || b.Share < 0 || b.Share > 1 || b.MaxOut == 0 && b.Share == 0:
		return &BadRequest{fmt.Sprintf("budget %s: most and of must be numbers of members, share must be up to 1, and most or share above 0",
			b.Name)}
	case b.GroupBy != "" && b.GroupBy != "zone" && b.GroupBy != "cell":
		return &BadRequest{fmt.Sprintf("budget %s: each must be zone or cell, not %q", b.Name, b.GroupBy)}
	}
	return nil
}

const maxNameLength = 100 // bytes
