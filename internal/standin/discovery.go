package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"
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

// Discovery is a fake discovery service with a fixed list and watch streams that the test writes. As the protocol has
// it, a watch begins with what has changed after its start index: a line that went to a watch that its reader had
// given up is sent again on the next one.
type Discovery struct {
	*httptest.Server
	Lines   chan string // lines to send on the open watch; "end" ends the watch
	Watched chan string // the start index of each watch

	openOnce sync.Once
	open     chan struct{} // closed when the list may be served
	body     []byte

	mu      sync.Mutex
	changes []update // sent on watches, in order
}

// update is one object of a watch, or the full list.
type update struct {
	Revision int64             `json:"revision"`
	Complete bool              `json:"complete"`
	Members  []json.RawMessage `json:"members"`
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
		d.watch(w, r)
	}))
	return d
}

// watch serves one watch until the test or the reader ends it.
func (d *Discovery) watch(w http.ResponseWriter, r *http.Request) {
	send := func(line string) {
		_, _ = io.WriteString(w, line+"\n")
		w.(http.Flusher).Flush()
	}
	index := r.URL.Query().Get("index")
	send(d.changesAfter(index))
	select {
	case d.Watched <- index:
	default: // the test does not read Watched
	}
	for {
		select {
		case line := <-d.Lines:
			if line == "end" {
				return
			}
			d.remember(line)
			send(line)
		case <-time.After(keepAliveInterval):
			send("")
		case <-r.Context().Done():
			return
		}
	}
}

// remember keeps a change, to be sent again on later watches.
func (d *Discovery) remember(line string) {
	var change update
	if json.Unmarshal([]byte(line), &change) != nil {
		return // an empty line, or one that is invalid on purpose
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changes = append(d.changes, change)
}

// changesAfter returns what has changed after a revision, as one object.
func (d *Discovery) changesAfter(index string) string {
	first, _ := strconv.ParseInt(index, 10, 64)
	all := update{Revision: first, Members: []json.RawMessage{}}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, change := range d.changes {
		switch {
		case change.Revision <= first:
		case change.Complete:
			all = change
		default:
			all.Revision, all.Members = change.Revision, append(all.Members, change.Members...)
		}
	}
	line, err := json.Marshal(all)
	if err != nil {
		panic(err) // can't fail: the members were decoded from JSON
	}
	return string(line)
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
