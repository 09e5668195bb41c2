package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"time"
)

// keepAliveInterval is the interval of the empty lines that show a watch is alive.
const keepAliveInterval = 2 * time.Second

// Registry is a fake discovery service whose list can change. It sends each change to all
// open watches.
type Registry struct {
	*httptest.Server

	mu       sync.Mutex
	revision int
	members  map[string]Member
	log      []Member // all changes, one per revision
	changed  chan struct{}
}

// NewRegistry starts a registry with no members.
func NewRegistry() *Registry {
	r := &Registry{members: map[string]Member{}, changed: make(chan struct{})}
	r.Server = NewServer(http.HandlerFunc(r.serve))
	return r
}

// Addr returns the listen address.
func (r *Registry) Addr() string { return r.Listener.Addr().String() }

// Set adds or updates a member; phase DELETED removes it.
func (r *Registry) Set(m Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	r.log = append(r.log, m)
	if r.members[m.ID] = m; m.Phase == "DELETED" {
		delete(r.members, m.ID)
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// list encodes the members (from < 0) or the changes since a revision. It returns the current
// revision and a channel that is closed at the next change.
func (r *Registry) list(from int) (b []byte, revision int, changed chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]any{"revision": r.revision, "complete": from < 0}
	if from < 0 {
		out["members"] = slices.Collect(maps.Values(r.members))
		if len(r.members) == 0 {
			out["members"] = []Member{}
		}
	} else {
		out["members"] = r.log[from:r.revision]
	}
	b, err := json.Marshal(out)
	if err != nil {
		panic(err) // can't fail: only plain values
	}
	return append(b, '\n'), r.revision, r.changed
}

func (r *Registry) serve(w http.ResponseWriter, req *http.Request) {
	b, at, changed := r.list(-1)
	w.Write(b)
	if req.URL.Query().Get("stream") == "" {
		return
	}
	for {
		w.(http.Flusher).Flush()
		select {
		case <-req.Context().Done():
			return
		case <-changed:
			b, at, changed = r.list(at)
			if _, err := w.Write(b); err != nil {
				return
			}
		case <-time.After(keepAliveInterval):
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		}
	}
}

// Stop closes the server and its connections.
func (r *Registry) Stop() {
	r.CloseClientConnections()
	r.Close()
}
