package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

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

type list struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// agent is the discovery agent on an ingress's machine.
type agent struct {
	env  *env
	addr string
	srv  *http.Server

	mu      sync.Mutex
	state   list              // the whole list
	history []list            // each change, by revision
	watches map[chan list]int // open watches
	answer  func()            // called before each answer, if not nil
	ended   chan struct{}     // closed to end all watches
}

func newAgent(e *env, members []member) (*agent, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{env: e, addr: ln.Addr().String(), watches: map[chan list]int{}, ended: make(chan struct{}),
		state: list{Revision: 41, Complete: true, Members: append([]member{}, members...)}}
	a.srv = &http.Server{Handler: a, ReadHeaderTimeout: time.Minute}
	go func() { _ = a.srv.Serve(ln) }()
	return a, nil
}

// whole returns the whole list.
func (a *agent) whole() list {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.state
	l.Members = append([]member{}, l.Members...)
	return l
}

// change tells changed entries to all open watches.
func (a *agent) change(members ...member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.Revision++
	for _, m := range members {
		found := false
		kept := a.state.Members[:0:0]
		for _, old := range a.state.Members {
			if old.ID == m.ID {
				found = true
				if m.Phase != "DELETED" {
					kept = append(kept, m)
				}
				continue
			}
			kept = append(kept, old)
		}
		if !found && m.Phase != "DELETED" {
			kept = append(kept, m)
		}
		a.state.Members = kept
	}
	c := list{Revision: a.state.Revision, Members: members}
	a.history = append(a.history, c)
	for w := range a.watches {
		w <- c
	}
}

// endWatches ends all open watches.
func (a *agent) endWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.ended)
	a.ended = make(chan struct{})
}

// ServeHTTP answers a call for the list or a watch.
func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if a.answer != nil {
		a.answer()
	}
	if r.URL.Query().Get("stream") == "" {
		_ = json.NewEncoder(w).Encode(a.whole())
		return
	}
	var index int
	_, _ = fmt.Sscan(r.URL.Query().Get("index"), &index)
	changes := make(chan list, 1000)
	a.mu.Lock()
	first := list{Revision: a.state.Revision, Members: []member{}}
	for _, c := range a.history {
		if c.Revision > index {
			first.Members = append(first.Members, c.Members...)
		}
	}
	a.watches[changes] = index
	ended := a.ended
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.watches, changes)
		a.mu.Unlock()
	}()
	out := json.NewEncoder(w)
	_ = out.Encode(first)
	w.(http.Flusher).Flush()
	for {
		select {
		case c := <-changes:
			_ = out.Encode(c)
		case <-time.After(2 * time.Second):
			_, _ = w.Write([]byte("\n"))
		case <-r.Context().Done():
			return
		case <-ended:
			return
		}
		w.(http.Flusher).Flush()
	}
}
