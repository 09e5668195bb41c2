// Package distribution decides how configuration gets from the coordinators to the
// ingresses of a fleet, and which version of it is in force where.
//
// A [Catalog] is what the replicated log says: the newest version, what each version
// before it replaced, who follows. A [Publisher] is what the coordinator that leads
// makes of it: what each follower is sent, and when. A [Follower] is the other end,
// in an ingress: what it takes, keeps and decides by. All three are plain state
// machines: events and the time come in, what is to be done comes out. There is no
// I/O, clock or goroutine here, and the same events give the same results.
//
// Configuration is a set of resources. A version is the whole set after one change;
// it is sent whole once, and as the difference to what a follower has from then on.
// docs/design/distribution.md weighs the ways to do so.
package distribution

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
)

// Bounds on what is configured.
const (
	MaxStateBytes    = 5 << 19 // bytes of all resources of one version
	MaxResourceBytes = 16 << 10
	MaxResources     = 20_000
	maxNameLength    = 128
)

// Key names a resource: its kind and its name, as "plan/gold".
type Key string

// The kinds of resource.
const (
	KindPlan    = "plan"    // what a customer has bought: quota, ceiling, price
	KindLimit   = "limit"   // a bound that every ingress keeps
	KindService = "service" // what requests are for
	KindRoute   = "route"   // which requests are for which service
)

// KeyOf makes a key.
func KeyOf(kind, name string) Key { return Key(kind + "/" + name) }

// Split parts a key into kind and name.
func (k Key) Split() (kind, name string) {
	kind, name, _ = strings.Cut(string(k), "/")
	return kind, name
}

// Resource is one thing that is configured.
type Resource struct {
	Key  Key             `json:"key"`
	Data json.RawMessage `json:"data"`           // as Encode writes its type
	Line int             `json:"line,omitempty"` // where it stood in the operators' file when it was last changed; 0: not known
}

// Set is all that one version configures.
type Set map[Key]Resource

// Hash is a SHA-256 sum.
type Hash [sha256.Size]byte

// MarshalText writes it in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText reads what MarshalText has written.
func (h *Hash) UnmarshalText(b []byte) error {
	if hex.DecodedLen(len(b)) != len(h) {
		return errors.New("distribution: a hash has 64 hexadecimal digits")
	}
	_, err := hex.Decode(h[:], b)
	return err
}

func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Sum is the hash of a set: of each key and the hash of its data, in the order of
// the keys. Lines are no part of it.
func (s Set) Sum() (sum Hash) {
	h := sha256.New()
	for _, k := range slices.Sorted(maps.Keys(s)) {
		data := sha256.Sum256(s[k].Data)
		h.Write([]byte(k))
		h.Write([]byte{0})
		h.Write(data[:])
	}
	h.Sum(sum[:0])
	return sum
}

// size is the bytes of a resource, as they are counted against the bounds.
func (r Resource) size() int { return len(r.Key) + len(r.Data) }

// Size is the bytes of all resources.
func (s Set) Size() (n int) {
	for _, r := range s {
		n += r.size()
	}
	return n
}

// List is the resources in the order of their keys.
func (s Set) List() []Resource {
	list := make([]Resource, 0, len(s))
	for _, k := range slices.Sorted(maps.Keys(s)) {
		list = append(list, s[k])
	}
	return list
}

// with is the set after a change; s stays as it is.
func (s Set) with(set []Resource, without []Key) Set {
	next := make(Set, len(s)+len(set))
	maps.Copy(next, s)
	for _, k := range without {
		delete(next, k)
	}
	for _, r := range set {
		next[r.Key] = r
	}
	return next
}

// Plan is what a customer has bought. Its quotas hold for each customer over all
// ingresses together.
type Plan struct {
	Rate             float64 `json:"rate" toml:"rate"`                           // units a second that fill the token bucket; 0: no such quota
	Burst            float64 `json:"burst" toml:"burst"`                         // the most units that the bucket holds
	Open             int     `json:"open" toml:"open"`                           // attempts that may be out at once; 0: no such quota
	Price            float64 `json:"price" toml:"price"`                         // multiplier of the worth
	OverCost         float64 `json:"over_cost" toml:"over_cost"`                 // part of its worth that a try sent on beyond the quota costs
	CeilingRate      float64 `json:"ceiling_rate" toml:"ceiling_rate"`           // units a second that fill the hard ceiling's bucket; 0: no ceiling
	CeilingBurst     float64 `json:"ceiling_burst" toml:"ceiling_burst"`         // the most units that this bucket holds
	CeilingTolerance float64 `json:"ceiling_tolerance" toml:"ceiling_tolerance"` // how far that bucket may go below 0
}

// The names of limits.
const (
	LimitAttempts   = "attempts"       // attempts that a request may have, 1 to 4
	LimitUnits      = "units"          // the most units that one request counts
	LimitRetryAfter = "retry_after_ms" // the longest advice when to come back; 0: none is given
)

// Limit is a bound that every ingress keeps.
type Limit struct {
	Value float64 `json:"value" toml:"value"`
}

// Service is what requests are for.
type Service struct {
	Zones  []string `json:"zones,omitempty" toml:"zones"`   // where it runs; none: everywhere
	AimMS  int      `json:"aim_ms,omitempty" toml:"aim_ms"` // an answer within this earns its full worth
	Weight float64  `json:"weight,omitempty" toml:"weight"` // its part of the backends it shares; 0: 1
	Owner  string   `json:"owner,omitempty" toml:"owner"`   // whom to ask
	Labels []string `json:"labels,omitempty" toml:"labels"` // for the operators
}

// Route tells which requests are for which service.
type Route struct {
	Service string `json:"service" toml:"service"`
	Class   string `json:"class,omitempty" toml:"class"`     // of requests; empty: all
	Prefix  string `json:"prefix" toml:"prefix"`             // of the customer's hexadecimal number, or of a path
	Percent int    `json:"percent,omitempty" toml:"percent"` // of those that match; 0: all
}

// Encode writes a value as the data of a resource.
func Encode(v any) (json.RawMessage, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("distribution: %w", err)
	}
	return b, nil
}

// decode reads the data of a resource; what its type does not have is a fault.
func decode(r Resource, to any) error {
	d := json.NewDecoder(bytes.NewReader(r.Data))
	d.DisallowUnknownFields()
	if err := d.Decode(to); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("there is more behind it")
	}
	return nil
}

// Plan reads a plan.
func (r Resource) Plan() (p Plan, err error) { err = decode(r, &p); return p, err }

// Limit reads a limit.
func (r Resource) Limit() (l Limit, err error) { err = decode(r, &l); return l, err }

// Service reads a service.
func (r Resource) Service() (s Service, err error) { err = decode(r, &s); return s, err }

// Route reads a route.
func (r Resource) Route() (o Route, err error) { err = decode(r, &o); return o, err }

// check tells what is wrong with a resource by itself; "" for nothing.
func (r Resource) check() string {
	kind, name := r.Key.Split()
	if name == "" || len(name) > maxNameLength || strings.ContainsFunc(name, func(c rune) bool { return c <= ' ' || c == 0x7f }) {
		return fmt.Sprintf("a name has 1 to %d characters and no blanks", maxNameLength)
	}
	if r.size() > MaxResourceBytes {
		return fmt.Sprintf("%d bytes, %d at most", r.size(), MaxResourceBytes)
	}
	to := newValue(kind)
	if to == nil {
		return fmt.Sprintf("there is no kind %q", kind)
	}
	if err := decode(r, to); err != nil {
		return err.Error()
	}
	if again, err := Encode(to); err != nil || !bytes.Equal(again, r.Data) {
		return "it is not written as it has to be" // one hash a meaning
	}
	return to.check(name)
}

// value is what a resource of one kind holds.
type value interface {
	// check tells what is wrong with the value under its name; "" for nothing.
	check(name string) string
}

// newValue makes an empty value of a kind, nil for one that there is not.
func newValue(kind string) value {
	switch kind {
	case KindPlan:
		return &Plan{}
	case KindLimit:
		return &Limit{}
	case KindService:
		return &Service{}
	case KindRoute:
		return &Route{}
	}
	return nil
}

func (v *Plan) check(string) string {
	// In this order always: what is said stands in the log's outcome, the same at each coordinator.
	for _, f := range []struct {
		name  string
		value float64
	}{{"rate", v.Rate}, {"burst", v.Burst}, {"open", float64(v.Open)}, {"price", v.Price}, {"over_cost", v.OverCost},
		{"ceiling_rate", v.CeilingRate}, {"ceiling_burst", v.CeilingBurst}, {"ceiling_tolerance", v.CeilingTolerance}} {
		if !(f.value >= 0) || math.IsInf(f.value, 1) {
			return fmt.Sprintf("%s is %v, want 0 or more", f.name, f.value)
		}
	}
	if v.Rate > 0 && v.Burst <= 0 || v.CeilingRate > 0 && v.CeilingBurst <= 0 {
		return "a bucket that is filled must hold something: burst and ceiling_burst are above 0 where their rates are"
	}
	return ""
}

func (v *Limit) check(name string) string {
	switch {
	case name == LimitAttempts && (v.Value != math.Trunc(v.Value) || v.Value < 1 || v.Value > 4):
		return "attempts are 1 to 4"
	case name == LimitUnits && !(v.Value > 0), name == LimitRetryAfter && !(v.Value >= 0), math.IsInf(v.Value, 0):
		return fmt.Sprintf("%v is out of range", v.Value)
	case name != LimitAttempts && name != LimitUnits && name != LimitRetryAfter:
		return "there is no such limit"
	}
	return ""
}

func (v *Service) check(string) string {
	if v.AimMS < 0 || !(v.Weight >= 0) {
		return "aim_ms and weight are 0 or more"
	}
	return ""
}

func (v *Route) check(string) string {
	if v.Service == "" || v.Percent < 0 || v.Percent > 100 {
		return "a service is wanted, and a percent of 0 to 100"
	}
	return ""
}

// Check tells the first fault of a set in the order of its keys, as a *Refused, or nil.
func (s Set) Check() error {
	if len(s) > MaxResources || s.Size() > MaxStateBytes {
		return &TooLarge{Resources: len(s), Bytes: s.Size()}
	}
	matches := map[[2]string]Key{}
	for _, k := range slices.Sorted(maps.Keys(s)) {
		r := s[k]
		refuse := func(format string, args ...any) error {
			refused := Refused{Key: k, Line: r.Line, Why: fmt.Sprintf(format, args...)}.bounded()
			return &refused
		}
		if why := r.check(); why != "" {
			return refuse("%s", why)
		}
		if kind, _ := k.Split(); kind == KindRoute {
			var route Route
			if err := decode(r, &route); err != nil {
				return refuse("%v", err)
			}
			if _, there := s[KeyOf(KindService, route.Service)]; !there {
				return refuse("there is no service %q", route.Service)
			}
			match := [2]string{route.Class, route.Prefix}
			if other, taken := matches[match]; taken && route.Percent == 0 {
				return refuse("%s takes all of the same requests", other)
			}
			if route.Percent == 0 { // beside it others may take a part of them
				matches[match] = k
			}
		}
	}
	return nil
}
