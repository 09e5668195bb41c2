package ingress

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// The tests here play discovery in virtual time, on connections in memory: an hour
// of waits costs nothing, and no verdict hangs on the machine.

// counts is the time by which a change counts as told, after discovery had it and
// could be reached.
const counts = 6 * time.Second

// every is the time between two changes.
const every = 1100 * time.Millisecond

// call is how an agent deals with one call.
type call func(a *agent, nc net.Conn, r *http.Request)

// agent is a discovery. Backend n drains from its n-th change on; whole lists leave
// out what drains. Each change is one revision.
type agent struct {
	t        *testing.T
	name     string
	begun    time.Time
	drains   int           // backends that begin to drain, one after the other from the start of the outage on
	from, to time.Duration // of the outage
	dialled  bool          // in the outage connections come up
	refused  bool          // in the outage a dial fails at once
	down     call          // and what comes of a call in the outage
	cut      call          // what becomes of an open watch when the outage begins
	late     time.Duration // each answer
	whole    bool          // the first object of a watch is the whole list
	ends     bool          // each watch ends at once and tells nothing; lists are answered
	listless bool          // behind the outage lists are never answered; watches are

	closed            chan struct{}
	serving           sync.WaitGroup
	dials, conns      atomic.Int32 // that are on
	mostDials, mostIn atomic.Int32

	mu   sync.Mutex
	told map[string]time.Duration // when each was seen to drain or be gone
	has  map[string]bool          // what is in force
}

func (a *agent) now() time.Duration { return time.Since(a.begun) }

func (a *agent) isDown(at time.Duration) bool { return at >= a.from && at < a.to }

// changed is how many changes discovery has had by now.
func (a *agent) changed() int {
	if past := a.now() - a.from; past >= 0 {
		return min(a.drains, 1+int(past/every))
	}
	return 0
}

// changeAt is when a change came to discovery.
func (a *agent) changeAt(n int) time.Duration { return a.from + time.Duration(n)*every }

func named(n int) string { return fmt.Sprint("b", n) }

// list is the whole list, or what changed after a revision.
func (a *agent) list(after int) []byte {
	now := a.changed()
	l := MemberList{Revision: int64(now), Complete: after < 0, Members: []Member{}}
	if after < 0 {
		for n := now; n < a.drains+1; n++ { // the last one never drains
			l.Members = append(l.Members, Member{ID: named(n), Phase: PhaseServing})
		}
	}
	for n := max(after, 0); n < now && after >= 0; n++ {
		l.Members = append(l.Members, Member{ID: named(n), Phase: PhaseDraining})
	}
	b, err := json.Marshal(l)
	if err != nil {
		a.t.Error(err)
	}
	return append(b, '\n')
}

// dial is the network.
func (a *agent) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	raise(&a.dials, &a.mostDials)
	defer a.dials.Add(-1)
	if a.isDown(a.now()) {
		if a.refused {
			return nil, errors.New("refused")
		}
		if !a.dialled {
			select {
			case <-ctx.Done():
			case <-a.closed:
			}
			return nil, errors.New("never came up")
		}
	}
	near, far := net.Pipe()
	raise(&a.conns, &a.mostIn)
	a.serving.Go(func() { a.serve(far) })
	return near, nil
}

func raise(n, most *atomic.Int32) {
	for now := n.Add(1); ; {
		was := most.Load()
		if now <= was || most.CompareAndSwap(was, now) {
			return
		}
	}
}

func (a *agent) serve(nc net.Conn) {
	defer a.conns.Add(-1)
	defer nc.Close()
	in := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if a.isDown(a.now()) {
			if a.down != nil {
				a.down(a, nc, r)
			}
			return
		}
		time.Sleep(a.late)
		if r.URL.Query().Get("stream") != "" {
			a.watch(nc, r)
			return
		}
		if a.listless && a.now() >= a.to {
			silent(a, nc, r)
			return
		}
		body := a.list(-1)
		if _, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			return
		}
	}
}

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(nc net.Conn, b []byte) error {
	_, err := fmt.Fprintf(nc, "%x\r\n%s\r\n", len(b), b)
	return err
}

func (a *agent) watch(nc net.Conn, r *http.Request) {
	if _, err := io.WriteString(nc, chunkedHead); err != nil {
		return
	}
	if a.ends {
		_, _ = io.WriteString(nc, "0\r\n\r\n")
		return
	}
	var after int
	_, _ = fmt.Sscan(r.URL.Query().Get("index"), &after)
	first := after
	if a.whole {
		first = -1
	}
	line := a.list(first)
	for {
		if chunk(nc, line) != nil {
			return
		}
		after = a.changed()
		line = []byte("\n")
		wait := 2 * time.Second
		if at := a.changeAt(after); at > a.now() && at-a.now() < wait && after < a.drains {
			wait = at - a.now()
		}
		if at := a.from; at > a.now() && at-a.now() < wait {
			wait = at - a.now()
		}
		time.Sleep(wait)
		if a.isDown(a.now()) {
			a.cut(a, nc, r)
			return
		}
		if a.changed() > after {
			line = a.list(after)
		}
	}
}

// take follows what is handed on, as a gateway would.
func (a *agent) take(l MemberList) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l.Complete {
		a.has = map[string]bool{}
	}
	for _, m := range l.Members {
		a.has[m.ID] = m.Phase == PhaseServing
		if _, told := a.told[m.ID]; told && a.has[m.ID] {
			a.t.Errorf("%s drains, and is handed on as serving again", m.ID)
		}
	}
	for n := range a.drains {
		if _, told := a.told[named(n)]; !told && !a.has[named(n)] {
			a.told[named(n)] = a.now()
		}
	}
	if !a.has[named(a.drains)] {
		a.t.Errorf("at %v the one that never drains is gone", a.now())
	}
}

// play follows discovery to the last change's time, and returns the longest time
// after which one was told.
func (a *agent) play(t *testing.T, within time.Duration) (longest time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		a.t, a.begun, a.closed, a.told, a.has = t, time.Now(), make(chan struct{}), map[string]time.Duration{}, map[string]bool{}
		d := newDiscoveryClient("discovery", a.take)
		d.dial = a.dial
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { d.run(ctx, nil); d.client.CloseIdleConnections(); close(done) }()
		time.Sleep(max(a.changeAt(a.drains-1), a.to) + within)
		a.mu.Lock()
		for n := range a.drains {
			due := max(a.changeAt(n), a.to)
			at, told := a.told[named(n)]
			switch took := at - due; {
			case !told:
				t.Errorf("%s: change %d, which could be told at %v, is not told within %v", a.name, n, due, within)
			case took > within:
				t.Errorf("%s: change %d, which could be told at %v, is told %v later, want %v at most", a.name, n, due, took, within)
			default:
				longest = max(longest, took)
			}
			if t.Failed() {
				break
			}
		}
		a.mu.Unlock()
		if a.mostDials.Load() > 2 || a.mostIn.Load() > 3 {
			t.Errorf("%s: %d dials and %d connections at once", a.name, a.mostDials.Load(), a.mostIn.Load())
		}
		stop()
		close(a.closed)
		<-done
		a.serving.Wait()
	})
	return longest
}

// silent says nothing until the other side has left.
func silent(_ *agent, nc net.Conn, _ *http.Request) { _, _ = io.Copy(io.Discard, nc) }

func says(text string) call {
	return func(a *agent, nc net.Conn, r *http.Request) {
		if _, err := io.WriteString(nc, text); err == nil {
			silent(a, nc, r)
		}
	}
}

func ending(text string) call {
	return func(_ *agent, nc net.Conn, _ *http.Request) { _, _ = io.WriteString(nc, text) }
}

// drips says something and then a little, again and again.
func drips(head, more string, every time.Duration) call {
	return func(a *agent, nc net.Conn, r *http.Request) {
		_, err := io.WriteString(nc, head)
		for err == nil {
			time.Sleep(every)
			err = chunk(nc, []byte(more))
		}
	}
}

const half = `{"revision":99,"complete":true,"members":[{"id":"b60",`

// outages are the ways in which discovery is down.
var outages = map[string]func(*agent){
	"connections never come up": func(a *agent) {},
	"refuses":                   func(a *agent) { a.refused = true },
	"says nothing":              func(a *agent) { a.dialled, a.down = true, silent },
	"ends each call":            func(a *agent) { a.dialled, a.down = true, ending("") },
	"has no time":               func(a *agent) { a.dialled, a.down = true, ending("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") },
	"a head alone":              func(a *agent) { a.dialled, a.down = true, says(chunkedHead) },
	"ends each answer":          func(a *agent) { a.dialled, a.down = true, ending(chunkedHead+"0\r\n\r\n") },
	"half an answer": func(a *agent) {
		a.dialled, a.down = true, says(fmt.Sprintf("%s%x\r\n%s\r\n", chunkedHead, len(half), half))
	},
	"half an answer and an end": func(a *agent) {
		a.dialled, a.down = true, ending(fmt.Sprintf("%s%x\r\n%s\r\n", chunkedHead, len(half), half))
	},
	"noise":    func(a *agent) { a.dialled, a.down = true, ending("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n}{}{") },
	"trickles": func(a *agent) { a.dialled, a.down = true, drips(chunkedHead, " ", 300*time.Millisecond) },
	"half an answer, trickles": func(a *agent) {
		a.dialled, a.down = true, drips(fmt.Sprintf("%s%x\r\n%s\r\n", chunkedHead, len(half), half), " ", 300*time.Millisecond)
	},
	"empty lines": func(a *agent) { a.dialled, a.down = true, drips(chunkedHead, "\n", 2*time.Second) },
}

// cuts are what becomes of an open watch when the outage begins.
var cuts = []struct {
	name string
	do   call
}{
	{"falls silent", silent},
	{"is reset", ending("")},
	{"falls silent in an object", says(fmt.Sprintf("%x\r\n%s\r\n", len(half), half))},
	{"trickles in an object", drips(fmt.Sprintf("%x\r\n%s\r\n", len(half), half), " ", 300*time.Millisecond)},
}

// returns are the ways in which it serves before and behind that.
var returns = map[string]func(*agent){
	"as ever":                           func(a *agent) {},
	"each watch begins with a list":     func(a *agent) { a.whole = true },
	"each watch ends, lists are told":   func(a *agent) { a.ends = true },
	"each answer comes 0.9 s late":      func(a *agent) { a.late = 900 * time.Millisecond },
	"lists are not answered any more":   func(a *agent) { a.listless = true },
	"late, and begins with a list":      func(a *agent) { a.late, a.whole = 900*time.Millisecond, true },
	"late, each watch ends, lists told": func(a *agent) { a.late, a.ends = 900*time.Millisecond, true },
}

// A change counts as told 6 s after discovery had it and could be reached, whatever
// went wrong before: the waits between tries, the patience of each one, and their sum.
func TestChangesAreToldInTimeWhateverFailedBefore(t *testing.T) {
	for w, way := range slices.Sorted(maps.Keys(outages)) {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			longest, where := time.Duration(0), ""
			for r, back := range slices.Sorted(maps.Keys(returns)) {
				// Each way down meets each way back, with the lengths of the outage and
				// what becomes of an open watch dealt out among them.
				spans := []time.Duration{[]time.Duration{time.Millisecond, time.Second}[(w+r)%2], 5 * time.Second}
				if (w+r)%len(returns) == 0 {
					spans = append(spans, time.Minute)
				}
				for s, span := range spans {
					c := (w + r + s + r/4) % len(cuts)
					a := &agent{from: 5*time.Second + time.Duration(c)*700*time.Millisecond, cut: cuts[c].do, drains: int((span + 9*time.Second) / every)}
					a.to = a.from + span
					outages[way](a)
					returns[back](a)
					a.name = fmt.Sprintf("%s, down %v from %v, an open watch %s", back, span, a.from, cuts[c].name)
					if took := a.play(t, counts); took > longest {
						longest, where = took, a.name
					}
				}
			}
			t.Logf("told %v later at most: %s", longest, where)
		})
	}
}

// After SIGHUP the new address's list counts 4 s later, or that much after it can be
// reached. Until it is told the old address stays in force.
func TestNewAddressIsInForceInTime(t *testing.T) {
	const (
		within = 4 * time.Second
		moved  = 5 * time.Second // SIGHUP
		of     = "b60"           // a backend that the new address alone lists
	)
	for way, down := range outages {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			for _, span := range []time.Duration{0, time.Second, 5 * time.Second, time.Minute} {
				synctest.Test(t, func(t *testing.T) {
					agents := map[string]*agent{"old:1": {drains: 59}, "new:1": {drains: 60, to: moved + span}}
					down(agents["new:1"])
					for _, a := range agents {
						a.t, a.begun, a.closed = t, time.Now(), make(chan struct{})
					}
					var mu sync.Mutex
					began, inForce, last := time.Now(), time.Duration(0), time.Duration(0)
					done := make(chan struct{})
					s := newSources(func(l MemberList) {
						mu.Lock()
						defer mu.Unlock()
						at := time.Since(began)
						if last = at; inForce == 0 && l.Complete && l.Members[len(l.Members)-1].ID == of {
							inForce = at
							close(done)
						}
					})
					s.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
						return agents[addr].dial(ctx, network, addr)
					}
					s.follow("old:1", nil)
					time.Sleep(moved)
					s.follow("new:1", nil)
					for at := moved; at < moved+span; at += every {
						time.Sleep(every)
						mu.Lock()
						if now := time.Since(began); inForce == 0 && now-last > 2*every {
							t.Errorf("down %v: at %v nothing was told for %v: the old address is not in force any more", span, now, now-last)
						}
						mu.Unlock()
					}
					select {
					case <-done:
					case <-time.After(moved + span + within - time.Since(began)):
						t.Errorf("down %v: the new address is not in force %v later", span, within)
					}
					s.close()
					for _, a := range agents {
						close(a.closed)
					}
					time.Sleep(listPatience) // connections end
					for _, a := range agents {
						a.serving.Wait()
					}
				})
			}
		})
	}
}
