package distribution

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Limits on what the log keeps.
const (
	MaxFollowers      = 10_000
	maxHistory        = 512     // versions kept for rollbacks and as bases of differences
	maxHistoryBytes   = 1 << 20 // of the resources that they replaced, beyond the newest version
	maxUnsettledBytes = 4 << 20 // the same while versions have not settled
	maxOutcomes       = 256     // operators' requests remembered, so that a repeated one is applied once
	maxFollowerName   = 64
)

// PreviousResource is a resource as it was before a change.
type PreviousResource struct {
	Key  Key             `json:"key"`
	Data json.RawMessage `json:"data,omitempty"` // nil: it did not exist
	Line int             `json:"line,omitempty"`
}

// VersionRecord is one version and the resources that it replaced.
type VersionRecord struct {
	Version  uint64             `json:"version"`
	Hash     Hash               `json:"hash"`
	Prior    Hash               `json:"prior"` // hash of the version before
	By       string             `json:"by,omitempty"`
	Halted   bool               `json:"halted,omitempty"`
	Replaced []PreviousResource `json:"before"` // sorted by key
}

func (p VersionRecord) size() (n int) {
	for _, o := range p.Replaced {
		n += len(o.Key) + len(o.Data) + 64
	}
	return n
}

// Push is a change that an operator requests.
type Push struct {
	Base   uint64     `json:"base"` // the version that it applies to (compare and set)
	Set    []Resource `json:"set,omitempty"`
	Delete []Key      `json:"delete,omitempty"`
	Hash   Hash       `json:"hash"` // of the resulting set
}

// Rollback restores the resources of an earlier version, as a new version.
type Rollback struct {
	Base uint64 `json:"base"`
	To   uint64 `json:"to"`
}

// Join records followers in the log, so that the next leader knows them.
type Join struct {
	Followers map[string]string `json:"followers"` // regions by name
}

// Entry is one entry of the log. Besides Request and By exactly one field is set.
type Entry struct {
	Request  string    `json:"request,omitempty"` // ID of an operator's request, so that a repeated one is applied once
	By       string    `json:"by,omitempty"`
	Push     *Push     `json:"push,omitempty"`
	Rollback *Rollback `json:"back,omitempty"`
	Halt     *Halted   `json:"halt,omitempty"`
	Settle   uint64    `json:"settle,omitempty"`
	Join     *Join     `json:"join,omitempty"`
	Forget   string    `json:"forget,omitempty"`
}

// Check reports why an operator's entry must not be proposed at all: it holds more than any version
// may, as a *TooLarge, or has names that are too long, as a *BadRequest. An entry stays in the log
// for long, and is sent to all coordinators.
func (e Entry) Check() error {
	if len(e.Request) > maxNameLength || len(e.By) > maxNameLength || len(e.Forget) > maxFollowerName {
		return &BadRequest{fmt.Sprintf("the request's id and the operator's name may have at most %d characters", maxNameLength)}
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

// CheckOperatorRequest reports why an entry is not a valid operator's request, as Check does or as a
// *BadRequest.
func (e Entry) CheckOperatorRequest() error {
	requests := 0
	for _, set := range []bool{e.Push != nil, e.Rollback != nil, e.Forget != ""} {
		if set {
			requests++
		}
	}
	if requests != 1 || e.Halt != nil || e.Settle > 0 || e.Join != nil || e.Request == "" {
		return &BadRequest{"exactly one of push, back and forget is required, and a request id"}
	}
	return e.Check()
}

// Outcome is the result of an operator's request.
type Outcome struct {
	ID      string          `json:"id"`
	Version uint64          `json:"version"` // that was the newest after it
	Kind    string          `json:"kind,omitempty"`
	Err     json.RawMessage `json:"err,omitempty"`
}

// Catalog is the state of configuration that the log's entries produce. The same entries produce
// the same catalog on each coordinator.
type Catalog struct {
	Index     uint64            `json:"index"` // index of the last entry applied
	Version   uint64            `json:"version"`
	Hash      Hash              `json:"hash"`
	By        string            `json:"by,omitempty"` // who made the newest version
	Resources []Resource        `json:"resources"`    // sorted by key
	History   []VersionRecord   `json:"past"`         // oldest first, up to the newest version
	Settled   uint64            `json:"settled"`      // no follower with a valid lease uses an older version
	Halt      *Halted           `json:"halt,omitempty"`
	Followers map[string]string `json:"followers"` // regions by name
	Requests  []Outcome         `json:"requests"`  // the most recent ones, oldest first

	set Set // of Resources
}

// NewCatalog returns the catalog of an empty log: version 0 without resources.
func NewCatalog() *Catalog {
	return &Catalog{Hash: Set{}.Sum(), Followers: map[string]string{}}
}

// Set returns the resources of the newest version. It is read-only.
func (c *Catalog) Set() Set {
	if c.set == nil {
		c.set = make(Set, len(c.Resources))
		for _, r := range c.Resources {
			c.set[r.Key] = r
		}
	}
	return c.set
}

// Oldest returns the oldest version that is kept.
func (c *Catalog) Oldest() uint64 {
	if len(c.History) == 0 {
		return c.Version
	}
	return c.History[0].Version - 1
}

// Fallback returns the newest version before the newest one that was not halted. It is distributed
// while the newest one is halted.
func (c *Catalog) Fallback() uint64 {
	oldest, v := c.Oldest(), c.Version
	for v > oldest {
		if v--; v == oldest || !c.History[v-oldest-1].Halted {
			break
		}
	}
	return v
}

// hashAt returns the hash of a version; false if that is not kept.
func (c *Catalog) hashAt(v uint64) (Hash, bool) {
	switch {
	case v == c.Version:
		return c.Hash, true
	case v > c.Version || v < c.Oldest():
		return Hash{}, false
	}
	return c.History[v-c.Oldest()].Prior, true
}

// replacedSince returns the resources that changed after version v, up to version upTo, as they
// were in v, sorted by key.
func (c *Catalog) replacedSince(v, upTo uint64) (previous []PreviousResource) {
	seen := map[Key]bool{}
	for _, p := range c.History {
		if p.Version <= v || p.Version > upTo {
			continue
		}
		for _, o := range p.Replaced {
			if !seen[o.Key] { // the first change after v replaced what was in v
				seen[o.Key] = true
				previous = append(previous, o)
			}
		}
	}
	slices.SortFunc(previous, func(a, b PreviousResource) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return previous
}

// At returns the set of a version that is kept.
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

// difference returns the change from one kept version to a later one.
func (c *Catalog) difference(from, to uint64) (set []Resource, removed []Key, err error) {
	target, err := c.At(to)
	if err != nil {
		return nil, nil, err
	}
	for _, o := range c.replacedSince(from, to) {
		if r, ok := target[o.Key]; !ok {
			removed = append(removed, o.Key)
		} else {
			set = append(set, r)
		}
	}
	return set, removed, nil
}

// Apply applies one entry with its index in the log. The error reports why it changed nothing.
func (c *Catalog) Apply(index uint64, e Entry) error {
	if index <= c.Index {
		return nil
	}
	c.Index = index
	if e.Request == "" {
		return c.apply(e)
	}
	for _, done := range c.Requests {
		if done.ID == e.Request { // a repeated request is applied once and gets the same answer
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

// setError stores an error, so that it can be returned again.
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

// RequestVersion returns the newest version after an operator's request was applied, which it need
// not have created; false if the request is not remembered.
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
			// Followers that come from now on get an earlier version, and ceilings are kept for it.
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
		if r, ok := target[o.Key]; ok {
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
	if unsettled := int(c.Version - c.Settled); unsettled >= maxHistory || unsettled > 0 && c.historyBytes() > maxUnsettledBytes {
		return &Unsettled{unsettled}
	}
	previous, record := c.Set(), VersionRecord{Version: c.Version + 1, Prior: c.Hash, By: by}
	next := previous.with(p.Set, p.Delete)
	if err := next.Check(); err != nil {
		return err
	}
	if record.Hash = next.Sum(); record.Hash != p.Hash {
		return &WrongHash{record.Version, record.Hash, p.Hash}
	}
	if record.Hash == c.Hash {
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
		if r, ok := previous[k]; ok {
			o.Data, o.Line = r.Data, r.Line
		}
		if string(o.Data) != string(next[k].Data) {
			record.Replaced = append(record.Replaced, o)
		}
	}
	c.Version, c.Hash, c.By, c.Halt = record.Version, record.Hash, by, nil
	c.set, c.Resources = next, next.List()
	c.History = append(c.History, record)
	c.trim()
	return nil
}

func (c *Catalog) historyBytes() (n int) {
	for _, p := range c.History {
		n += p.size()
	}
	return n
}

// trim drops the oldest versions beyond the limits, but none after the settled one: what those
// replaced must be known while a follower may use it. The fallback from a halt of the newest
// version always stays, and the oldest version kept is never a halted one.
func (c *Catalog) trim() {
	bytes, drop, oldestNeeded := c.historyBytes(), 0, min(c.Settled, c.Fallback())
	for i, p := range c.History {
		if p.Version > oldestNeeded || len(c.History)-i <= maxHistory && bytes <= maxHistoryBytes {
			break
		}
		if bytes -= p.size(); !p.Halted {
			drop = i + 1
		}
	}
	c.History = slices.Delete(c.History, 0, drop)
}

// Verify checks a catalog that was read from storage for consistency.
func (c *Catalog) Verify() error {
	c.set = nil // may have been cached before Resources were read
	if c.Followers == nil {
		c.Followers = map[string]string{}
	}
	if sum := c.Set().Sum(); sum != c.Hash || len(c.Set()) != len(c.Resources) {
		return &WrongHash{c.Version, sum, c.Hash}
	}
	n := uint64(len(c.History))
	if n > c.Version || n == 0 && c.Version > 0 || c.Settled > c.Version {
		return errors.New("distribution: the version history does not lead to the newest version")
	}
	for i, p := range c.History {
		if p.Version != c.Version-n+1+uint64(i) || i > 0 && p.Prior != c.History[i-1].Hash || p.Version == c.Version && p.Hash != c.Hash {
			return errors.New("distribution: the version history does not lead to the newest version")
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
