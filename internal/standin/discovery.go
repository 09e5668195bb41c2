package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
)

// Member is one backend in a discovery list.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// Member returns the discovery entry of the backend, in phase SERVING.
func (b *Backend) Member(id string) Member {
	return Member{ID: id, HostPort: b.Addr, Locality: "a", Flavor: "std", Phase: "SERVING", Size: 1}
}

// FirstRevision is the revision of the list that a Discovery starts with.
const FirstRevision = 7

// Discovery is a fake discovery service with a fixed list and watch streams that the test writes.
type Discovery struct {
	*httptest.Server
	Lines   chan string // lines to send on the open watch; "end" ends the watch
	Watched chan string // the start index of each watch

	openOnce sync.Once
	open     chan struct{} // closed when the list may be served
	body     []byte
}

// NewDiscovery starts a discovery with a list. Requests for the list block until Open is called.
func NewDiscovery(members ...Member) *Discovery {
	if members == nil {
		members = []Member{}
	}
	body, err := json.Marshal(map[string]any{"revision": FirstRevision, "complete": true, "members": members})
	if err != nil {
		panic(err) // can't fail: only numbers and strings
	}
	d := &Discovery{Lines: make(chan string), Watched: make(chan string, backlog), open: make(chan struct{}), body: body}
	d.Server = NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("stream") == "" {
			select {
			case <-d.open:
				w.Write(d.body)
			case <-r.Context().Done():
			}
			return
		}
		w.(http.Flusher).Flush()
		select {
		case d.Watched <- r.URL.Query().Get("index"):
		default: // the test does not read Watched
		}
		for {
			select {
			case line := <-d.Lines:
				if line == "end" {
					return
				}
				_, _ = io.WriteString(w, line+"\n")
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	}))
	return d
}

// Addr returns the listen address.
func (d *Discovery) Addr() string { return d.Listener.Addr().String() }

// Open releases the requests for the list.
func (d *Discovery) Open() { d.openOnce.Do(func() { close(d.open) }) }

// Stop closes the server and its connections.
func (d *Discovery) Stop() {
	d.CloseClientConnections()
	d.Close()
}
