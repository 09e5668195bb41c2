package distribution

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Bounds on what the log keeps.
const (
	MaxFollowers      = 10_000
	maxHistory        = 512     // versions that can be gone back to, and that differences can begin from
	maxHistoryBytes   = 1 << 20 // of what they replaced, beyond the newest one
	maxUnsettledBytes = 4 << 20 // and while they have not settled
	maxOutcomes       = 256     // operators' requests remembered, so that one sent again counts once
	maxFollowerName   = 64
)

// Old is what a resource was before a change.
type PreviousResource struct {
	Key  Key             `json:"key"`
	Data json.RawMessage `json:"data,omitempty"` // nil: it was not there
	Line int             `json:"line,omitempty"`
}

// Past is one version and what it replaced.
type VersionRecord struct {
	Version  uint64             `json:"version"`
	Hash     Hash               `json:"hash"`
	Prior    Hash               `json:"prior"` // of the version before
	By       string             `json:"by,omitempty"`
	Halted   bool               `json:"halted,omitempty"`
	Replaced []PreviousResource `json:"before"` // in the order of their keys
}

func (p VersionRecord) size() (n int) {
	for _, o := range p.Replaced {
		n += len(o.Key) + len(o.Data) + 64
	}
	return n
}

// Push is a change that an operator wants.
type Push struct {
	Base   uint64     `json:"base"` // the version that it begins from (compare and set)
	Set    []Resource `json:"set,omitempty"`
	Delete []Key      `json:"delete,omitempty"`
	Hash   Hash       `json:"hash"` // of what comes out
}

// Back wants an earlier version's resources in force again, as a new version.
type Rollback struct {
	Base uint64 `json:"base"`
	To   uint64 `json:"to"`
}

// Join takes followers into the log, so that whoever leads next knows them.
type Join struct {
	Followers map[string]string `json:"followers"` // regions by name
}

// Entry is one entry of the log. One of its fields but Request and By is set.
type Entry struct {
	Request  string    `json:"request,omitempty"` // an operator's, so that it counts once
	By       string    `json:"by,omitempty"`
	Push     *Push     `json:"push,omitempty"`
	Rollback *Rollback `json:"back,omitempty"`
	Halt     *Halted   `json:"halt,omitempty"`
	Settle   uint64    `json:"settle,omitempty"`
	Join     *Join     `json:"join,omitempty"`
	Forget   string    `json:"forget,omitempty"`
}

// Check tells why an operator's entry is not to go into the log at all: it holds more than
// any version may, as a *TooLarge, or names that are none, as a *BadRequest. What a log takes
// stays in it for long, and is sent to all coordinators.
func (e Entry) Check() error {
	if len(e.Request) > maxNameLength || len(e.By) > maxNameLength || len(e.Forget) > maxFollowerName {
		return &BadRequest{fmt.Sprintf("a request's number and its operator have %d characters at most", maxNameLength)}
	}
	if e.Push != nil {
		return e.Push.check()
	}
	return nil
}

func (p *Push) check() error {
	if n, size := len(p.Set), sizeOf(p.Set); n > MaxResources || size > MaxStateBytes {
		return &TooLarge{n, size}
	}
	if len(p.Delete) > MaxResources {
		return &BadRequest{fmt.Sprintf("%d resources are to go, %d at most", len(p.Delete), MaxResources)}
	}
	for _, k := range p.Delete {
		if len(k) > MaxResourceBytes {
			return &BadRequest{"a key is too long"}
		}
	}
	return nil
}

// CheckOrder tells why an entry is no order of an operator's, as Check does or as a *BadRequest.
func (e Entry) CheckOperatorRequest() error {
	orders := 0
	for _, is := range []bool{e.Push != nil, e.Rollback != nil, e.Forget != ""} {
		if is {
			orders++
		}
	}
	if orders != 1 || e.Halt != nil || e.Settle > 0 || e.Join != nil || e.Request == "" {
		return &BadRequest{"a push, a way back or a follower to forget is wanted, and a name for the request"}
	}
	return e.Check()
}

// Outcome is what came of an operator's request.
type Outcome struct {
	ID      string          `json:"id"`
	Version uint64          `json:"version"` // that it made
	Kind    string          `json:"kind,omitempty"`
	Err     json.RawMessage `json:"err,omitempty"`
}

// Catalog is what the log says of configuration. The same entries make the same
// catalog everywhere.
type Catalog struct {
	Index     uint64            `json:"index"` // of the last entry applied
	Version   uint64            `json:"version"`
	Hash      Hash              `json:"hash"`
	By        string            `json:"by,omitempty"` // who made the newest version
	Resources []Resource        `json:"resources"`    // in the order of their keys
	History   []VersionRecord   `json:"past"`         // oldest first, up to the newest version
	Settled   uint64            `json:"settled"`      // nobody that is heard decides by an older version
	Halt      *Halted           `json:"halt,omitempty"`
	Followers map[string]string `json:"followers"` // regions by name
	Requests  []Outcome         `json:"requests"`  // the last ones, oldest first

	set Set // of Resources
}

// NewCatalog is the catalog of an empty log: version 0, with nothing in it.
func NewCatalog() *Catalog {
	return &Catalog{Hash: Set{}.Sum(), Followers: map[string]string{}}
}

// Set is all that the newest version configures. It must not be changed.
func (c *Catalog) Set() Set {
	if c.set == nil {
		c.set = make(Set, len(c.Resources))
		for _, r := range c.Resources {
			c.set[r.Key] = r
		}
	}
	return c.set
}

// Oldest is the oldest version that is kept.
func (c *Catalog) Oldest() uint64 {
	if len(c.History) == 0 {
		return c.Version
	}
	return c.History[0].Version - 1
}

// Fallback is the newest version before the newest one that was not halted: what is given out
// while the newest one is.
func (c *Catalog) Fallback() uint64 {
	oldest, v := c.Oldest(), c.Version
	for v > oldest {
		if v--; v == oldest || !c.History[v-oldest-1].Halted {
			break
		}
	}
	return v
}

// hashAt is the hash of a version; false if that is not kept.
func (c *Catalog) hashAt(v uint64) (Hash, bool) {
	switch {
	case v == c.Version:
		return c.Hash, true
	case v > c.Version || v < c.Oldest():
		return Hash{}, false
	}
	return c.History[v-c.Oldest()].Prior, true
}

// since is what the resources that have changed after a version were in it, in the
// order of their keys, as far as versions up to another one changed them.
func (c *Catalog) replacedSince(v, upTo uint64) (olds []PreviousResource) {
	seen := map[Key]bool{}
	for _, p := range c.History {
		if p.Version <= v || p.Version > upTo {
			continue
		}
		for _, o := range p.Replaced {
			if !seen[o.Key] { // the first change after v is the one that replaced v's
				seen[o.Key] = true
				olds = append(olds, o)
			}
		}
	}
	slices.SortFunc(olds, func(a, b PreviousResource) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return olds
}

// At is the set of a version that is kept.
func (c *Catalog) At(v uint64) (Set, error) {
	if v > c.Version || v < c.Oldest() {
		return nil, &NoSuchVersion{v, c.Oldest(), c.Version}
	}
	if v == c.Version {
		return c.Set(), nil
	}
	s := maps.Clone(c.Set())
	for _, o := range c.replacedSince(v, c.Version) {
		if o.Data == nil {
			delete(s, o.Key)
		} else {
			s[o.Key] = Resource(o)
		}
	}
	return s, nil
}

// difference is what leads from one kept version to a later one.
func (c *Catalog) difference(from, to uint64) (set []Resource, without []Key, err error) {
	target, err := c.At(to)
	if err != nil {
		return nil, nil, err
	}
	for _, o := range c.replacedSince(from, to) {
		if r, there := target[o.Key]; !there {
			without = append(without, o.Key)
		} else {
			set = append(set, r)
		}
	}
	return set, without, nil
}

// Apply applies one entry with its place in the log. The error is why it changed
// nothing.
func (c *Catalog) Apply(index uint64, e Entry) error {
	if index <= c.Index {
		return nil
	}
	c.Index = index
	if e.Request == "" {
		return c.apply(e)
	}
	for _, done := range c.Requests {
		if done.ID == e.Request { // sent again: it counts once, and gets the same answer
			return done.error()
		}
	}
	err := c.apply(e)
	done := Outcome{ID: e.Request, Version: c.Version}
	done.setError(err)
	c.Requests = append(c.Requests, done)
	if len(c.Requests) > maxOutcomes {
		c.Requests = slices.Delete(c.Requests, 0, len(c.Requests)-maxOutcomes)
	}
	return err
}

// note keeps an error, so that it can be given once more.
func (o *Outcome) setError(err error) {
	if err == nil {
		return
	}
	for _, f := range Faults() {
		if o.Kind = fmt.Sprintf("%T", f); o.Kind == fmt.Sprintf("%T", err) {
			if b, failed := json.Marshal(err); failed == nil {
				o.Err = b
			}
			return
		}
	}
}

func (o *Outcome) error() error {
	for _, f := range Faults() {
		if o.Kind != "" && o.Kind == fmt.Sprintf("%T", f) {
			if json.Unmarshal(o.Err, f) == nil {
				return f
			}
		}
	}
	return nil
}

// Made is the version that an operator's request made, or met where it made none; false if
// the request is not remembered.
func (c *Catalog) RequestVersion(request string) (version uint64, known bool) {
	for _, done := range c.Requests {
		if done.ID == request {
			return done.Version, true
		}
	}
	return 0, false
}

func (c *Catalog) apply(e Entry) error {
	switch {
	case e.Push != nil:
		return c.push(e.By, *e.Push)
	case e.Rollback != nil:
		return c.rollback(e.By, *e.Rollback)
	case e.Halt != nil:
		if e.Halt.Version == c.Version && c.Version > 0 && c.Halt == nil {
			c.Halt = e.Halt
			c.History[len(c.History)-1].Halted = true
			// Whoever comes from now on decides by an earlier one, and ceilings are held so.
			c.Settled = min(c.Settled, c.Fallback())
		}
	case e.Settle > 0:
		if e.Settle > c.Settled && e.Settle <= c.Version && (c.Halt == nil || e.Settle <= c.Fallback()) {
			c.Settled = e.Settle
			c.trim()
		}
	case e.Join != nil:
		for _, name := range slices.Sorted(maps.Keys(e.Join.Followers)) {
			if _, known := c.Followers[name]; known || len(c.Followers) < MaxFollowers {
				c.Followers[name] = e.Join.Followers[name]
			}
		}
	case e.Forget != "":
		if _, known := c.Followers[e.Forget]; !known {
			return &UnknownFollower{e.Forget}
		}
		delete(c.Followers, e.Forget)
	}
	return nil
}

func (c *Catalog) rollback(by string, b Rollback) error {
	if b.Base != c.Version {
		return &Conflict{b.Base, c.Version, c.By}
	}
	target, err := c.At(b.To)
	if err != nil {
		return err
	}
	p := Push{Base: b.Base, Hash: target.Sum()}
	for _, o := range c.replacedSince(b.To, c.Version) {
		if r, there := target[o.Key]; there {
			p.Set = append(p.Set, r)
		} else {
			p.Delete = append(p.Delete, o.Key)
		}
	}
	return c.push(by, p)
}

func (c *Catalog) push(by string, p Push) error {
	if err := p.check(); err != nil {
		return err
	}
	if p.Base != c.Version {
		return &Conflict{p.Base, c.Version, c.By}
	}
	if waits := int(c.Version - c.Settled); waits >= maxHistory || waits > 0 && c.historyBytes() > maxUnsettledBytes {
		return &Unsettled{waits}
	}
	before, old := c.Set(), VersionRecord{Version: c.Version + 1, Prior: c.Hash, By: by}
	next := before.with(p.Set, p.Delete)
	if err := next.Check(); err != nil {
		return err
	}
	if old.Hash = next.Sum(); old.Hash != p.Hash {
		return &WrongHash{old.Version, old.Hash, p.Hash}
	}
	if old.Hash == c.Hash {
		return &NothingChanged{c.Version}
	}
	touched := map[Key]bool{}
	for _, r := range p.Set {
		touched[r.Key] = true
	}
	for _, k := range p.Delete {
		touched[k] = true
	}
	for _, k := range slices.Sorted(maps.Keys(touched)) {
		o := PreviousResource{Key: k}
		if r, there := before[k]; there {
			o.Data, o.Line = r.Data, r.Line
		}
		if string(o.Data) != string(next[k].Data) {
			old.Replaced = append(old.Replaced, o)
		}
	}
	c.Version, c.Hash, c.By, c.Halt = old.Version, old.Hash, by, nil
	c.set, c.Resources = next, next.List()
	c.History = append(c.History, old)
	c.trim()
	return nil
}

func (c *Catalog) historyBytes() (n int) {
	for _, p := range c.History {
		n += p.size()
	}
	return n
}

// trim drops the oldest versions beyond the bounds, but none after the settled one: what was
// before those must be known while somebody may decide by it. The way back from a halt of
// the newest one stays in any case, and the oldest one is none that was halted.
func (c *Catalog) trim() {
	bytes, drop, until := c.historyBytes(), 0, min(c.Settled, c.Fallback())
	for i, p := range c.History {
		if p.Version > until || len(c.History)-i <= maxHistory && bytes <= maxHistoryBytes {
			break
		}
		if bytes -= p.size(); !p.Halted {
			drop = i + 1
		}
	}
	c.History = slices.Delete(c.History, 0, drop)
}

// Verify tells whether a catalog that was kept is whole.
func (c *Catalog) Verify() error {
	c.set = nil // it may be from before Resources were read
	if c.Followers == nil {
		c.Followers = map[string]string{}
	}
	if sum := c.Set().Sum(); sum != c.Hash || len(c.Set()) != len(c.Resources) {
		return &WrongHash{c.Version, sum, c.Hash}
	}
	n := uint64(len(c.History))
	if n > c.Version || n == 0 && c.Version > 0 || c.Settled > c.Version {
		return errors.New("distribution: the versions before are not those of the newest")
	}
	for i, p := range c.History {
		if p.Version != c.Version-n+1+uint64(i) || i > 0 && p.Prior != c.History[i-1].Hash || p.Version == c.Version && p.Hash != c.Hash {
			return errors.New("distribution: the versions before are not those of the newest")
		}
	}
	if n > 0 {
		oldest, err := c.At(c.Oldest())
		if err != nil {
			return err
		}
		if sum := oldest.Sum(); sum != c.History[0].Prior {
			return &WrongHash{c.Oldest(), sum, c.History[0].Prior}
		}
	}
	return nil
}
