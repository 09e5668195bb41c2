package ingress

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// watchSilenceTimeout is 1.5 times the 2 s between the keep-alive lines of a
	// watch. The platform treats a change as known to the ingress 6 s after the watch
	// fell silent, even if the change never arrives. A cut-off watch must be detected
	// before that, with listTimeout left over in case its replacement does not start
	// either.
	watchSilenceTimeout = 3 * time.Second
	retryInterval       = 250 * time.Millisecond // between the starts of two attempts
	maxListBytes        = 4 << 20                // size limit of one list
	listTimeout         = time.Second            // a discovery agent that has a list answers immediately
	// Of fullListEvery attempts in a row that yield no data, the last one requests the
	// full list. Watches may keep failing while list requests succeed, and the other
	// way round.
	fullListEvery = 3
)

// MemberList is the full list of backends or a set of changes to it, as sent by discovery.
type MemberList struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Member is one backend of a list.
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

// The phases of a member.
const (
	PhaseServing  = "SERVING"
	PhaseDraining = "DRAINING"
	PhaseDeleted  = "DELETED"
)

// discoveryClient follows the list of backends at one discovery address and delivers
// each update in order.
type discoveryClient struct {
	base           string
	client         *http.Client
	dial           func(ctx context.Context, network, addr string) (net.Conn, error)
	silenceTimeout time.Duration
	callTimeout    time.Duration // for the full list, and for the first object of a watch
	deliver        func(MemberList)
	failing        bool // the state last logged
	received       int  // objects received on watches
}

// sources follows discovery at one address and switches to another without a gap:
// the previous address stays in force until the new one has sent its full list.
type sources struct {
	deliver func(MemberList)
	dial    func(ctx context.Context, network, addr string) (net.Conn, error)
	ctx     context.Context
	close   context.CancelFunc

	mu      sync.Mutex
	current *source // whose list is in force
	next    *source // has sent nothing yet
}

type source struct{ cancel context.CancelFunc }

func newSources(deliver func(MemberList)) *sources {
	s := &sources{deliver: deliver, dial: new(net.Dialer).DialContext}
	s.ctx, s.close = context.WithCancel(context.Background())
	return s
}

// follow switches to an address. onFirstAttempt, if not nil, is called after the
// first attempt to fetch its list, successful or not.
func (s *sources) follow(addr string, onFirstAttempt func()) {
	ctx, cancel := context.WithCancel(s.ctx)
	src := &source{cancel}
	s.mu.Lock()
	if s.next != nil {
		s.next.cancel()
	}
	s.next = src
	s.mu.Unlock()
	d := newDiscoveryClient(addr, func(l MemberList) { s.forward(src, l) })
	d.dial = s.dial
	go func() {
		d.run(ctx, onFirstAttempt)
		d.client.CloseIdleConnections()
	}()
}

// forward delivers an update of a source. Revisions of two addresses are not
// comparable, so an update of the old address that arrives after the new address's
// list is dropped.
func (s *sources) forward(from *source, l MemberList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from == s.next {
		if s.current != nil {
			s.current.cancel()
		}
		s.current, s.next = from, nil
	}
	if from == s.current {
		s.deliver(l)
	}
}

func newDiscoveryClient(addr string, deliver func(MemberList)) *discoveryClient {
	d := &discoveryClient{
		base:           "http://" + addr + "/api/targets",
		dial:           new(net.Dialer).DialContext,
		silenceTimeout: watchSilenceTimeout, callTimeout: listTimeout,
		deliver: deliver,
	}
	d.client = &http.Client{Transport: &http.Transport{DialContext: d.connect, MaxIdleConnsPerHost: 1, DisableCompression: true}}
	return d
}

// connect bounds a dial by the timeout of a call. Package http lets a dial continue
// after its request was cancelled: while connections can't be established, each
// attempt would leave another dial and its descriptor behind for the minutes until
// the kernel gives up.
func (d *discoveryClient) connect(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.callTimeout)
	defer cancel()
	return d.dial(ctx, network, addr)
}

// list fetches the full list.
func (d *discoveryClient) list(ctx context.Context) (l MemberList, err error) {
	ctx, cancel := context.WithTimeout(ctx, d.callTimeout)
	defer cancel()
	resp, err := d.get(ctx, d.base)
	if err != nil {
		return l, err
	}
	defer resp.Body.Close()
	l, err = decodeList(json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)))
	if err == io.EOF {
		err = fmt.Errorf("discovery: list: %w", io.ErrUnexpectedEOF)
	}
	return l, err
}

func (d *discoveryClient) get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("discovery: %s returned status %s", url, resp.Status)
	}
	return resp, nil
}

// run fetches the list and then watches it until ctx ends. onFirstAttempt is called
// once, after the first attempt to fetch the list, successful or not.
func (d *discoveryClient) run(ctx context.Context, onFirstAttempt func()) {
	var revision int64
	haveList, emptyAttempts := false, 0 // emptyAttempts: in a row, without any data
	for ctx.Err() == nil {
		start := time.Now()
		var err error
		if !haveList || emptyAttempts%fullListEvery == fullListEvery-1 {
			var l MemberList
			if l, err = d.list(ctx); err == nil {
				haveList, emptyAttempts, revision = true, 0, l.Revision
				d.deliver(l)
			} else {
				emptyAttempts++
			}
			d.report(ctx, err)
			if onFirstAttempt != nil {
				onFirstAttempt()
				onFirstAttempt = nil
			}
		}
		if haveList && err == nil {
			start = time.Now()
			before := d.received
			revision, err = d.watch(ctx, revision)
			d.report(ctx, err)
			switch {
			case errors.Is(err, errInvalidList):
				// The unreadable data may have held a change, so fetch the full list next.
				emptyAttempts = fullListEvery - 1
			case d.received > before:
				emptyAttempts = 0
			default:
				emptyAttempts++
			}
		}
		// The platform treats changes as known to the ingress even while no watch is
		// open, so a watch that lasted is reopened at once. One that ended right away is
		// reopened after retryInterval.
		if wait := retryInterval - time.Since(start); wait > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
		}
	}
}

// report logs when discovery becomes unavailable and when it is available again,
// not every attempt.
func (d *discoveryClient) report(ctx context.Context, err error) {
	if failing := err != nil; failing != d.failing && ctx.Err() == nil {
		d.failing = failing
		if failing {
			slog.Warn("discovery is unavailable; keeping the last list", "error", err)
		} else {
			slog.Info("discovery is available again")
		}
	}
}

// watch follows changes after a revision until the connection ends or falls
// silent, and returns the last revision delivered.
func (d *discoveryClient) watch(ctx context.Context, revision int64) (int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A connection that was cut off stays open and silent for ever, so only a timeout
	// detects it. The first object arrives at once, whether or not anything changed.
	timer := time.AfterFunc(d.callTimeout, cancel)
	defer timer.Stop()
	resp, err := d.get(ctx, fmt.Sprintf("%s?stream=1&index=%d", d.base, revision))
	if err != nil {
		return revision, err
	}
	defer resp.Body.Close()
	stream := &watchReader{body: resp.Body, timer: timer, silenceTimeout: d.silenceTimeout, objectTimeout: d.callTimeout, inObject: true}
	objects := json.NewDecoder(stream)
	for {
		l, err := decodeList(objects)
		if err == io.EOF {
			return revision, nil
		}
		if err != nil {
			return revision, err
		}
		d.report(ctx, nil)
		stream.objectComplete(objects.Buffered())
		d.received++
		revision = l.Revision
		d.deliver(l)
	}
}

// errInvalidList reports a response that is not a valid list. The last list stays in force.
var errInvalidList = errors.New("discovery: invalid list")

// decodeList decodes the next list of a stream. A list that is truncated by the end of
// its connection is reported as a connection error, not as invalid.
func decodeList(objects *json.Decoder) (l MemberList, err error) {
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch err := objects.Decode(&l); {
	case err == io.EOF:
		return l, err
	case errors.As(err, &syntaxErr), errors.As(err, &typeErr), errors.Is(err, errListTooLong):
		return l, fmt.Errorf("%w: %w", errInvalidList, err)
	case err != nil:
		return l, fmt.Errorf("discovery: %w", err)
	case l.Members == nil: // backends missing from a complete list are taken for removed
		return l, fmt.Errorf("%w: members are missing", errInvalidList)
	}
	return l, nil
}

var errListTooLong = errors.New("object exceeds the size limit")

// watchReader reads a watch. Objects may span one line or several, indented or not;
// empty lines are keep-alives. Its timer fires when nothing has arrived for
// silenceTimeout, or when an object that has begun is incomplete after objectTimeout:
// trickling bytes do not extend it.
type watchReader struct {
	body                          io.Reader
	timer                         *time.Timer
	silenceTimeout, objectTimeout time.Duration
	inObject                      bool // an object has begun; true from the start, to await the first one
	size                          int  // bytes since the last complete object
}

func (s *watchReader) Read(b []byte) (int, error) {
	n, err := s.body.Read(b)
	s.received(b[:n])
	if s.size > maxListBytes {
		return 0, errListTooLong
	}
	return n, err
}

// received accounts for bytes that arrived after the last complete object.
func (s *watchReader) received(b []byte) {
	switch blank := len(bytes.TrimSpace(b)) == 0; {
	case s.inObject:
		s.size += len(b)
	case !blank:
		s.inObject, s.size = true, len(b)
		s.timer.Reset(s.objectTimeout)
	case len(b) > 0:
		s.timer.Reset(s.silenceTimeout)
	}
}

// objectComplete resets the reader after a complete object. Bytes already buffered
// after it may belong to the next one.
func (s *watchReader) objectComplete(buffered io.Reader) {
	s.inObject, s.size = false, 0
	s.timer.Reset(s.silenceTimeout)
	rest, _ := io.ReadAll(buffered) // in memory, can't fail
	s.received(rest)
}
