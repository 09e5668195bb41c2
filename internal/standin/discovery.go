package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
)

// Member is one backend as discovery lists it.
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

// Member is the backend as discovery lists it, serving.
func (b *Backend) Member(id string) Member {
	return Member{ID: id, HostPort: b.Addr, Locality: "a", Flavor: "std", Phase: "SERVING", Size: 1}
}

// FirstRevision is the revision of the list that a Discovery starts with.
const FirstRevision = 7

// Discovery serves one list, and watches that its owner feeds.
type Discovery struct {
	*httptest.Server
	Lines   chan string // the next lines of the watch now open; "end" ends it
	Watched chan string // the index from which each watch began

	openOnce sync.Once
	open     chan struct{} // closed when the list may be told
	body     []byte
}

// NewDiscovery starts discovery with a list. It tells it once Open is called.
func NewDiscovery(members ...Member) *Discovery {
	if members == nil {
		members = []Member{}
	}
	body, err := json.Marshal(map[string]any{"revision": FirstRevision, "complete": true, "members": members})
	if err != nil {
		panic(err) // numbers and strings alone
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
		default: // nobody looks
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

// Addr is where it listens.
func (d *Discovery) Addr() string { return d.Listener.Addr().String() }

// Open lets the list be told, from now on.
func (d *Discovery) Open() { d.openOnce.Do(func() { close(d.open) }) }

// Stop ends it and its connections.
func (d *Discovery) Stop() {
	d.CloseClientConnections()
	d.Close()
}
