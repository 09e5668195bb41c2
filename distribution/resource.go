// Package distribution decides how configuration gets from the coordinators to the
// ingresses of a fleet, and which version each ingress uses.
//
// A [Catalog] is the state that the replicated log produces: the newest version, the
// resources that each earlier change replaced, and the known followers. A [Publisher]
// runs on the leading coordinator and decides what each follower is sent, and when. A
// [Follower] runs in an ingress and decides what is accepted, stored and activated. All
// three are deterministic state machines: they take events and the time, and return what
// to do. There is no I/O, clock or goroutine here.
//
// Configuration is a set of resources. A version is the whole set after one change. A
// follower gets the full state once, and differences to its version from then on. A
// version is settled when every follower with a valid lease uses it or a newer one. Until
// then the ceilings of earlier plans still count, see [ActiveConfig.Plan].
// docs/design/distribution.md compares the alternatives.
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

// Limits on a version.
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
	KindLimit   = "limit"   // a limit that every ingress applies
	KindService = "service" // a service that requests are sent to
	KindRoute   = "route"   // which requests go to which service
)

// KeyOf returns the key of a resource.
func KeyOf(kind, name string) Key { return Key(kind + "/" + name) }

// Split splits a key into kind and name.
func (k Key) Split() (kind, name string) {
	kind, name, _ = strings.Cut(string(k), "/")
	return kind, name
}

// Resource is one thing that is configured.
type Resource struct {
	Key  Key             `json:"key"`
	Data json.RawMessage `json:"data"`           // as written by Encode
	Line int             `json:"line,omitempty"` // in the operators' file when it was last changed; 0: unknown
}

// Set holds the resources of one version by key.
type Set map[Key]Resource

// Hash is a SHA-256 sum.
type Hash [sha256.Size]byte

// MarshalText encodes the hash in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText decodes the output of MarshalText.
func (h *Hash) UnmarshalText(b []byte) error {
	if hex.DecodedLen(len(b)) != len(h) {
		return errors.New("distribution: a hash has 64 hexadecimal digits")
	}
	_, err := hex.Decode(h[:], b)
	return err
}

func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Sum returns the hash over each key and the hash of its data, sorted by key. Line numbers
// are not included.
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

// size is the number of bytes that count against the limits.
func (r Resource) size() int { return len(r.Key) + len(r.Data) }

// Size returns the total size of all resources, in bytes.
func (s Set) Size() (n int) {
	for _, r := range s {
		n += r.size()
	}
	return n
}

// List returns the resources sorted by key.
func (s Set) List() []Resource {
	list := make([]Resource, 0, len(s))
	for _, k := range slices.Sorted(maps.Keys(s)) {
		list = append(list, s[k])
	}
	return list
}

// with returns the set after a change; s itself is not modified.
func (s Set) with(set []Resource, removed []Key) Set {
	next := make(Set, len(s)+len(set))
	maps.Copy(next, s)
	for _, k := range removed {
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
	Rate             float64 `json:"rate" toml:"rate"`                           // units per second that refill the token bucket; 0: no quota
	Burst            float64 `json:"burst" toml:"burst"`                         // capacity of the token bucket, in units
	Open             int     `json:"open" toml:"open"`                           // max attempts in flight; 0: no such quota
	Price            float64 `json:"price" toml:"price"`                         // multiplier of a request's worth
	OverCost         float64 `json:"over_cost" toml:"over_cost"`                 // share of the worth that an attempt beyond the quota costs
	CeilingRate      float64 `json:"ceiling_rate" toml:"ceiling_rate"`           // refill of the hard limit's bucket; 0: none
	CeilingBurst     float64 `json:"ceiling_burst" toml:"ceiling_burst"`         // capacity of that bucket, in units
	CeilingTolerance float64 `json:"ceiling_tolerance" toml:"ceiling_tolerance"` // how far the level of that bucket may go below 0
}

// The names of limits.
const (
	LimitAttempts   = "attempts"       // max attempts per request, 1 to 4
	LimitUnits      = "units"          // max units that one request counts
	LimitRetryAfter = "retry_after_ms" // max retry delay that a rejected client is given; 0: none is given
)

// Limit is a limit that every ingress applies.
type Limit struct {
	Value float64 `json:"value" toml:"value"`
}

// Service is a service that requests are sent to.
type Service struct {
	Zones  []string `json:"zones,omitempty" toml:"zones"`   // zones where it runs; none: everywhere
	AimMS  int      `json:"aim_ms,omitempty" toml:"aim_ms"` // response time in ms up to which a response counts its full worth
	Weight float64  `json:"weight,omitempty" toml:"weight"` // its share of the backends that it shares with others; 0: 1
	Owner  string   `json:"owner,omitempty" toml:"owner"`   // contact
	Labels []string `json:"labels,omitempty" toml:"labels"` // free text for operators
}

// Route selects the requests that go to a service.
type Route struct {
	Service string `json:"service" toml:"service"`
	Class   string `json:"class,omitempty" toml:"class"`     // request class; empty: all
	Prefix  string `json:"prefix" toml:"prefix"`             // of the customer's hexadecimal number, or of a path
	Percent int    `json:"percent,omitempty" toml:"percent"` // share of the matching requests; 0: all
}

// Encode encodes a value as the data of a resource.
func Encode(v any) (json.RawMessage, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("distribution: %w", err)
	}
	return b, nil
}

// decode decodes the data of a resource; unknown fields are an error.
func decode(r Resource, value any) error {
	d := json.NewDecoder(bytes.NewReader(r.Data))
	d.DisallowUnknownFields()
	if err := d.Decode(value); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("there is more behind it")
	}
	return nil
}

// Plan decodes the resource as a plan.
func (r Resource) Plan() (p Plan, err error) { err = decode(r, &p); return p, err }

// Limit decodes the resource as a limit.
func (r Resource) Limit() (l Limit, err error) { err = decode(r, &l); return l, err }

// Service decodes the resource as a service.
func (r Resource) Service() (s Service, err error) { err = decode(r, &s); return s, err }

// Route decodes the resource as a route.
func (r Resource) Route() (o Route, err error) { err = decode(r, &o); return o, err }

// check reports what is wrong with a resource by itself; "" if nothing. The texts of
// the checks are stored in outcomes, which must be the same at each coordinator.
func (r Resource) check() string {
	kind, name := r.Key.Split()
	if name == "" || len(name) > maxNameLength || strings.ContainsFunc(name, func(c rune) bool { return c <= ' ' || c == 0x7f }) {
		return fmt.Sprintf("a name has 1 to %d characters and no blanks", maxNameLength)
	}
	if r.size() > MaxResourceBytes {
		return fmt.Sprintf("%d bytes, %d at most", r.size(), MaxResourceBytes)
	}
	decoded := newValue(kind)
	if decoded == nil {
		return fmt.Sprintf("there is no kind %q", kind)
	}
	if err := decode(r, decoded); err != nil {
		return err.Error()
	}
	if encoded, err := Encode(decoded); err != nil || !bytes.Equal(encoded, r.Data) {
		return "it is not written as it has to be" // each value must have one encoding only, and so one hash
	}
	return decoded.check(name)
}

// value is the decoded data of a resource.
type value interface {
	// check reports what is wrong with the value under its name; "" if nothing.
	check(name string) string
}

// newValue returns an empty value of a kind, nil if the kind is unknown.
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
	// The order is fixed: the message is stored in the outcome, which must be the same at each
	// coordinator.
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

// Check reports the first invalid resource of a set in key order, as a *Refused, or that the set
// is too large, as a *TooLarge.
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
			if _, ok := s[KeyOf(KindService, route.Service)]; !ok {
				return refuse("there is no service %q", route.Service)
			}
			match := [2]string{route.Class, route.Prefix}
			if other, taken := matches[match]; taken && route.Percent == 0 {
				return refuse("%s takes all of the same requests", other)
			}
			if route.Percent == 0 { // routes with a percentage may match the same requests
				matches[match] = k
			}
		}
	}
	return nil
}
