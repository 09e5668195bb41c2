package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// member is a backend in discovery's list.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// discovery is a stand-in of the agent of discovery.
type discovery struct {
	e    *env
	addr string

	mu       sync.Mutex
	revision int
	members  []member
	changed  chan struct{} // closed at the next change
	delay    time.Duration // of each answer to a call, before its first byte
	cut      chan struct{} // closed to end the open watches
}

func newDiscovery(e *env, backends ...*backend) *discovery {
	d := &discovery{e: e, revision: 1, changed: make(chan struct{}), cut: make(chan struct{})}
	for i, b := range backends {
		d.members = append(d.members, member{b.id, b.addr, "hall-" + string(rune('a'+i%3)), "std-3core", i / 3, "SERVING", 1, 0})
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		e.fail("discovery: %v", err)
	}
	d.addr = ln.Addr().String()
	go func() { _ = http.Serve(ln, http.HandlerFunc(d.serve)) }()
	return d
}

// update changes the list and tells it to the open watches.
func (d *discovery) update(change func(m []member) []member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members = change(d.members)
	d.revision++
	close(d.changed)
	d.changed = make(chan struct{})
}

// slow makes each further call wait before its answer, and ends the open watches.
func (d *discovery) slow(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
	close(d.cut)
	d.cut = make(chan struct{})
}

// list returns the list as one line, its revision and the channels for what comes next.
func (d *discovery) list() (line []byte, revision int, changed, cut chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	line, _ = json.Marshal(map[string]any{"revision": d.revision, "complete": true, "members": d.members})
	return append(line, '\n'), d.revision, d.changed, d.cut
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/targets" {
		http.NotFound(w, r)
		return
	}
	d.mu.Lock()
	delay := d.delay
	d.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			d.e.logf("discovery: the ingress gave up a call (%s) before its answer, which takes %v", r.URL.RawQuery, delay)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	line, revision, changed, cut := d.list()
	if r.URL.Query().Get("stream") == "" {
		_, _ = w.Write(line)
		return
	}
	flush := func() { w.(http.Flusher).Flush() }
	_, _ = w.Write(line) // 'or the whole list'
	flush()
	for {
		select {
		case <-changed:
			line, revision, changed, _ = d.list()
			if _, err := w.Write(line); err != nil {
				return
			}
		case <-time.After(2 * time.Second):
			if _, err := fmt.Fprint(w, "\n"); err != nil {
				return
			}
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
		flush()
		_ = revision
	}
}
