package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"wickarch/internal/standin"
)

const keepAlive = 2 * time.Second // between the empty lines of a watch, as the protocol has it

// discovery is a stand-in that keeps its changes from the first revision on and
// counts what it is asked for and what it sends.
type discovery struct {
	*httptest.Server
	Lists   atomic.Int64 // whole lists told
	Watches atomic.Int64 // begun
	Objects atomic.Int64 // told on watches, the first of each included
	Beats   atomic.Int64 // empty lines
	Down    atomic.Bool  // it answers nothing new, and watches are cut
	Wire    standin.Traffic

	mu       sync.Mutex
	first    int // revision below which no change is kept
	revision int
	members  []standin.Member
	whole    []byte
	log      [][]byte // one object for each revision from first+1 on
	changed  chan struct{}
	gone     chan struct{} // closed by Stop
}

// member makes the i-th member of a list, of a size as the platform writes it.
func member(i int, hostPort string) standin.Member {
	return standin.Member{ID: fmt.Sprintf("s-%08x", uint32(i)*2654435761), HostPort: hostPort, Locality: zoneOf(i), Flavor: "std", Cell: i / 20,
		Phase: "SERVING", Size: 1}
}

// nowhere is an address of the i-th member where nothing listens.
func nowhere(i int) string { return fmt.Sprintf("10.%d.%d.%d:6379", 1+i>>16, i>>8&255, i&255) }

// members makes a list of n members that nothing listens for.
func members(n int) []standin.Member {
	list := make([]standin.Member, n)
	for i := range list {
		list[i] = member(i, nowhere(i))
	}
	return list
}

type object struct {
	Revision int              `json:"revision"`
	Complete bool             `json:"complete"`
	Members  []standin.Member `json:"members"`
}

func line(o object) []byte {
	b, err := json.Marshal(o)
	if err != nil {
		panic(err) // plain values alone
	}
	return append(b, '\n')
}

func newDiscovery(list []standin.Member) *discovery {
	d := &discovery{first: 1, revision: 1, members: list, changed: make(chan struct{}), gone: make(chan struct{})}
	d.whole = line(object{1, true, list})
	d.Server = httptest.NewUnstartedServer(http.HandlerFunc(d.serve))
	d.Listener = d.Wire.WrapListener(d.Listener)
	d.Start()
	return d
}

// Addr is where it listens.
func (d *discovery) Addr() string { return d.Listener.Addr().String() }

// Set changes the members of these places, all in one object, and tells it to all that watch.
func (d *discovery) Set(phase string, places ...int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	o := object{Revision: d.revision + 1, Members: []standin.Member{}}
	for _, i := range places {
		d.members[i].Phase = phase
		if phase == "SERVING" {
			d.members[i].UpSince = time.Now().UnixMilli()
		}
		o.Members = append(o.Members, d.members[i])
	}
	d.revision++
	d.log = append(d.log, line(o))
	d.whole = nil
	close(d.changed)
	d.changed = make(chan struct{})
}

// Forget drops all changes: who comes with an older revision gets the whole list,
// as of a discovery that was started anew.
func (d *discovery) Forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.first, d.log, d.whole = d.revision, nil, nil
}

// from gives what is to be told after a revision, and whether that is the whole list.
func (d *discovery) from(revision int) (b []byte, at int, whole bool, changed chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if revision >= d.first && revision <= d.revision {
		for _, l := range d.log[revision-d.first:] {
			b = append(b, l...)
		}
		if b == nil {
			b = line(object{d.revision, false, []standin.Member{}})
		}
		return b, d.revision, false, d.changed
	}
	if d.whole == nil {
		var list []standin.Member
		for _, m := range d.members {
			if m.Phase != "DELETED" {
				list = append(list, m)
			}
		}
		d.whole = line(object{d.revision, true, list})
	}
	return d.whole, d.revision, true, d.changed
}

// tell writes, and counts what has been written whole: who has seen the count finds the bytes counted too.
func (d *discovery) tell(w http.ResponseWriter, b []byte, whole bool) error {
	if _, err := w.Write(b); err != nil {
		return err
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		return err
	}
	switch {
	case whole:
		d.Lists.Add(1)
	case len(b) > 1:
		d.Objects.Add(1)
	default:
		d.Beats.Add(1)
	}
	return nil
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	if d.Down.Load() {
		panic(http.ErrAbortHandler)
	}
	query := r.URL.Query()
	if query.Get("stream") == "" {
		b, _, whole, _ := d.from(-1)
		_ = d.tell(w, b, whole) // a client that has gone is not counted
		return
	}
	d.Watches.Add(1)
	index, err := strconv.Atoi(query.Get("index"))
	if err != nil {
		index = -1
	}
	b, at, whole, changed := d.from(index)
	beat := time.NewTicker(keepAlive)
	defer beat.Stop()
	for {
		if d.tell(w, b, whole) != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-d.gone: // an ingress that still runs has come back between the two steps of Stop
			panic(http.ErrAbortHandler)
		case <-changed:
			b, at, whole, changed = d.from(at)
		case <-beat.C:
			b, whole = []byte{'\n'}, false
		}
		if d.Down.Load() {
			panic(http.ErrAbortHandler)
		}
	}
}

// Cut ends all watches; while Down, no new one begins.
func (d *discovery) Cut() { d.CloseClientConnections() }

// Stop ends it and its connections.
func (d *discovery) Stop() {
	d.Down.Store(true)
	close(d.gone)
	d.CloseClientConnections()
	d.Close()
}

// tally is what was counted until a moment.
type tally struct{ Lists, Watches, Objects, In, Out, Conns int64 }

// Tally is what was counted up to now.
func (d *discovery) Tally() tally {
	return tally{d.Lists.Load(), d.Watches.Load(), d.Objects.Load(), d.Wire.In.Load(), d.Wire.Out.Load(), d.Wire.Conns.Load()}
}

// Since is what came between two tallies.
func (t tally) Since(u tally) tally {
	return tally{t.Lists - u.Lists, t.Watches - u.Watches, t.Objects - u.Objects, t.In - u.In, t.Out - u.Out, t.Conns - u.Conns}
}
