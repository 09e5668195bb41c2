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

// These tests run a fake discovery in virtual time over in-memory connections: long waits
// cost nothing, and results do not depend on the machine.

// maxDelay is the time within which a change must be delivered once discovery has it and
// can be reached.
const maxDelay = 6 * time.Second

// changeInterval is the time between two changes.
const changeInterval = 1100 * time.Millisecond

// responder handles one call to the agent.
type responder func(a *fakeAgent, nc net.Conn, r *http.Request)

// fakeAgent is a discovery agent with one outage. Backend n drains from the n-th change
// on; full lists omit draining backends. Each change is one revision.
type fakeAgent struct {
	t                      *testing.T
	name                   string
	start                  time.Time
	drainCount             int // backends that start to drain, one after the other from the start of the outage
	outageStart, outageEnd time.Duration
	connects               bool          // during the outage connections are established
	refused                bool          // during the outage a dial fails at once
	outageResponse         responder     // handles calls during the outage; nil: closes the connection
	watchCut               responder     // takes over an open watch when the outage starts
	answerDelay            time.Duration // of each answer
	fullListFirst          bool          // the first object of a watch is the full list
	watchesEnd             bool          // each watch ends at once without an object; lists are answered
	listsSilent            bool          // after the outage lists are never answered, but watches are

	closed             chan struct{}
	handlers           sync.WaitGroup
	dials, conns       atomic.Int32 // in progress or open
	maxDials, maxConns atomic.Int32

	mu        sync.Mutex
	drainSeen map[string]time.Duration // when each backend was first seen draining or removed
	serving   map[string]bool          // by the delivered lists
	stopped   bool                     // dials fail, so that no handler starts any more
}

func (a *fakeAgent) now() time.Duration { return time.Since(a.start) }

func (a *fakeAgent) isDown(at time.Duration) bool { return at >= a.outageStart && at < a.outageEnd }

// changeCount returns how many changes have happened by now.
func (a *fakeAgent) changeCount() int {
	if past := a.now() - a.outageStart; past >= 0 {
		return min(a.drainCount, 1+int(past/changeInterval))
	}
	return 0
}

// changeTime returns when the n-th change happens.
func (a *fakeAgent) changeTime(n int) time.Duration {
	return a.outageStart + time.Duration(n)*changeInterval
}

func backendName(n int) string { return fmt.Sprint("b", n) }

// list returns the full list if after is negative, and otherwise the changes after that revision.
func (a *fakeAgent) list(after int) []byte {
	now := a.changeCount()
	l := MemberList{Revision: int64(now), Complete: after < 0, Members: []Member{}}
	if after < 0 {
		for n := now; n < a.drainCount+1; n++ { // the last one never drains
			l.Members = append(l.Members, Member{ID: backendName(n), Phase: PhaseServing})
		}
	}
	for n := max(after, 0); n < now && after >= 0; n++ {
		l.Members = append(l.Members, Member{ID: backendName(n), Phase: PhaseDraining})
	}
	b, err := json.Marshal(l)
	if err != nil {
		a.t.Error(err)
	}
	return append(b, '\n')
}

// dial stands in for the network.
func (a *fakeAgent) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	incrementAndTrackMax(&a.dials, &a.maxDials)
	defer a.dials.Add(-1)
	if a.isDown(a.now()) {
		if a.refused {
			return nil, errors.New("refused")
		}
		if !a.connects {
			select {
			case <-ctx.Done():
			case <-a.closed:
			}
			return nil, errors.New("connection not established")
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopped {
		return nil, errors.New("agent stopped")
	}
	near, far := net.Pipe()
	incrementAndTrackMax(&a.conns, &a.maxConns)
	a.handlers.Go(func() { a.serve(far) })
	return near, nil
}

// waitHandlers waits for all handlers. http.Transport may still dial in the background for a canceled
// request; such a dial must not start a handler while this waits.
func (a *fakeAgent) waitHandlers() {
	a.mu.Lock()
	a.stopped = true
	a.mu.Unlock()
	a.handlers.Wait()
}

func incrementAndTrackMax(count, maxCount *atomic.Int32) {
	for now := count.Add(1); ; {
		old := maxCount.Load()
		if now <= old || maxCount.CompareAndSwap(old, now) {
			return
		}
	}
}

func (a *fakeAgent) serve(nc net.Conn) {
	defer a.conns.Add(-1)
	defer nc.Close()
	in := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if a.isDown(a.now()) {
			if a.outageResponse != nil {
				a.outageResponse(a, nc, r)
			}
			return
		}
		time.Sleep(a.answerDelay)
		if r.URL.Query().Get("stream") != "" {
			a.watch(nc, r)
			return
		}
		if a.listsSilent && a.now() >= a.outageEnd {
			staySilent(a, nc, r)
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

func (a *fakeAgent) watch(nc net.Conn, r *http.Request) {
	if _, err := io.WriteString(nc, chunkedHead); err != nil {
		return
	}
	if a.watchesEnd {
		_, _ = io.WriteString(nc, "0\r\n\r\n")
		return
	}
	var after int
	_, _ = fmt.Sscan(r.URL.Query().Get("index"), &after)
	first := after
	if a.fullListFirst {
		first = -1
	}
	line := a.list(first)
	for {
		if chunk(nc, line) != nil {
			return
		}
		after = a.changeCount()
		line = []byte("\n")
		wait := 2 * time.Second
		if at := a.changeTime(after); at > a.now() && at-a.now() < wait && after < a.drainCount {
			wait = at - a.now()
		}
		if at := a.outageStart; at > a.now() && at-a.now() < wait {
			wait = at - a.now()
		}
		time.Sleep(wait)
		if a.isDown(a.now()) {
			a.watchCut(a, nc, r)
			return
		}
		if a.changeCount() > after {
			line = a.list(after)
		}
	}
}

// deliver applies a delivered list, as a gateway would.
func (a *fakeAgent) deliver(l MemberList) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l.Complete {
		a.serving = map[string]bool{}
	}
	for _, m := range l.Members {
		a.serving[m.ID] = m.Phase == PhaseServing
		if _, seen := a.drainSeen[m.ID]; seen && a.serving[m.ID] {
			a.t.Errorf("%s is draining but was delivered as serving again", m.ID)
		}
	}
	for n := range a.drainCount {
		if _, seen := a.drainSeen[backendName(n)]; !seen && !a.serving[backendName(n)] {
			a.drainSeen[backendName(n)] = a.now()
		}
	}
	if !a.serving[backendName(a.drainCount)] {
		a.t.Errorf("at %v the backend that never drains is missing", a.now())
	}
}

// simulate follows discovery until the last change is due, and returns the longest delay
// after which a change was delivered.
func (a *fakeAgent) simulate(t *testing.T, within time.Duration) (longest time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		a.t, a.start, a.closed, a.drainSeen, a.serving = t, time.Now(), make(chan struct{}), map[string]time.Duration{}, map[string]bool{}
		d := newDiscoveryClient("discovery", a.deliver)
		d.dial = a.dial
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { d.run(ctx, nil); d.client.CloseIdleConnections(); close(done) }()
		time.Sleep(max(a.changeTime(a.drainCount-1), a.outageEnd) + within)
		a.mu.Lock()
		for n := range a.drainCount {
			due := max(a.changeTime(n), a.outageEnd)
			at, seen := a.drainSeen[backendName(n)]
			switch delay := at - due; {
			case !seen:
				t.Errorf("%s: change %d, available at %v, is not delivered within %v", a.name, n, due, within)
			case delay > within:
				t.Errorf("%s: change %d, available at %v, is delivered %v later, want %v at most", a.name, n, due, delay, within)
			default:
				longest = max(longest, delay)
			}
			if t.Failed() {
				break
			}
		}
		a.mu.Unlock()
		if a.maxDials.Load() > 2 || a.maxConns.Load() > 3 {
			t.Errorf("%s: %d dials and %d connections at once", a.name, a.maxDials.Load(), a.maxConns.Load())
		}
		stop()
		close(a.closed)
		<-done
		a.waitHandlers()
	})
	return longest
}

// staySilent sends nothing until the other side closes the connection.
func staySilent(_ *fakeAgent, nc net.Conn, _ *http.Request) { _, _ = io.Copy(io.Discard, nc) }

func sendThenStaySilent(text string) responder {
	return func(a *fakeAgent, nc net.Conn, r *http.Request) {
		if _, err := io.WriteString(nc, text); err == nil {
			staySilent(a, nc, r)
		}
	}
}

func sendThenClose(text string) responder {
	return func(_ *fakeAgent, nc net.Conn, _ *http.Request) { _, _ = io.WriteString(nc, text) }
}

// sendThenTrickle sends head, and then more at each interval.
func sendThenTrickle(head, more string, interval time.Duration) responder {
	return func(a *fakeAgent, nc net.Conn, r *http.Request) {
		_, err := io.WriteString(nc, head)
		for err == nil {
			time.Sleep(interval)
			err = chunk(nc, []byte(more))
		}
	}
}

const partialList = `{"revision":99,"complete":true,"members":[{"id":"b60",`

// outages are the ways in which discovery is down. Their order by name selects the cases
// of TestChangesAreDeliveredInTimeAfterOutage.
var outages = map[string]func(*fakeAgent){
	"connections never established": func(a *fakeAgent) {},
	"refuses connections":           func(a *fakeAgent) { a.refused = true },
	"sends nothing":                 func(a *fakeAgent) { a.connects, a.outageResponse = true, staySilent },
	"ends each connection":          func(a *fakeAgent) { a.connects, a.outageResponse = true, sendThenClose("") },
	"is overloaded": func(a *fakeAgent) {
		a.connects, a.outageResponse = true, sendThenClose("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	},
	"a response head only": func(a *fakeAgent) { a.connects, a.outageResponse = true, sendThenStaySilent(chunkedHead) },
	"empty responses":      func(a *fakeAgent) { a.connects, a.outageResponse = true, sendThenClose(chunkedHead+"0\r\n\r\n") },
	"half a response": func(a *fakeAgent) {
		a.connects, a.outageResponse = true, sendThenStaySilent(fmt.Sprintf("%s%x\r\n%s\r\n", chunkedHead, len(partialList), partialList))
	},
	"half a response, then closes": func(a *fakeAgent) {
		a.connects, a.outageResponse = true, sendThenClose(fmt.Sprintf("%s%x\r\n%s\r\n", chunkedHead, len(partialList), partialList))
	},
	"malformed JSON": func(a *fakeAgent) {
		a.connects, a.outageResponse = true, sendThenClose("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n}{}{")
	},
	"trickles whitespace": func(a *fakeAgent) {
		a.connects, a.outageResponse = true, sendThenTrickle(chunkedHead, " ", 300*time.Millisecond)
	},
	"half a response, then trickles": func(a *fakeAgent) {
		a.connects, a.outageResponse = true, sendThenTrickle(
			fmt.Sprintf("%s%x\r\n%s\r\n", chunkedHead, len(partialList), partialList), " ", 300*time.Millisecond)
	},
	"empty lines only": func(a *fakeAgent) {
		a.connects, a.outageResponse = true, sendThenTrickle(chunkedHead, "\n", 2*time.Second)
	},
}

// cuts are the ways in which an open watch breaks when the outage starts.
var cuts = []struct {
	name string
	do   responder
}{
	{"falls silent", staySilent},
	{"is reset", sendThenClose("")},
	{"falls silent within an object", sendThenStaySilent(fmt.Sprintf("%x\r\n%s\r\n", len(partialList), partialList))},
	{"trickles within an object", sendThenTrickle(fmt.Sprintf("%x\r\n%s\r\n", len(partialList), partialList), " ", 300*time.Millisecond)},
}

// recoveries are the ways in which discovery serves before and after the outage. Their order
// by name selects cases as well.
var recoveries = map[string]func(*fakeAgent){
	"as usual":                                  func(a *fakeAgent) {},
	"each watch begins with a full list":        func(a *fakeAgent) { a.fullListFirst = true },
	"each watch ends, lists are answered":       func(a *fakeAgent) { a.watchesEnd = true },
	"each answer is 0.9 s late":                 func(a *fakeAgent) { a.answerDelay = 900 * time.Millisecond },
	"lists are no longer answered":              func(a *fakeAgent) { a.listsSilent = true },
	"late, each watch begins with a full list":  func(a *fakeAgent) { a.answerDelay, a.fullListFirst = 900*time.Millisecond, true },
	"late, each watch ends, lists are answered": func(a *fakeAgent) { a.answerDelay, a.watchesEnd = 900*time.Millisecond, true },
}

// A change must be delivered within 6 s after discovery has it and can be reached. Guards
// against waits between attempts and timeouts of attempts whose sum exceeds that after an outage.
func TestChangesAreDeliveredInTimeAfterOutage(t *testing.T) {
	for w, way := range slices.Sorted(maps.Keys(outages)) {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			longest, where := time.Duration(0), ""
			for r, back := range slices.Sorted(maps.Keys(recoveries)) {
				// Each outage is combined with each recovery; the durations of the outage and
				// the cuts are distributed over these combinations.
				spans := []time.Duration{[]time.Duration{time.Millisecond, time.Second}[(w+r)%2], 5 * time.Second}
				if (w+r)%len(recoveries) == 0 {
					spans = append(spans, time.Minute)
				}
				for s, span := range spans {
					c := (w + r + s + r/4) % len(cuts)
					a := &fakeAgent{outageStart: 5*time.Second + time.Duration(c)*700*time.Millisecond, watchCut: cuts[c].do,
						drainCount: int((span + 9*time.Second) / changeInterval)}
					a.outageEnd = a.outageStart + span
					outages[way](a)
					recoveries[back](a)
					a.name = fmt.Sprintf("%s, down for %v from %v, an open watch %s", back, span, a.outageStart, cuts[c].name)
					if delay := a.simulate(t, maxDelay); delay > longest {
						longest, where = delay, a.name
					}
				}
			}
			t.Logf("longest delay %v: %s", longest, where)
		})
	}
}

// After SIGHUP the new address's list must be in force within 4 s, or within 4 s after the
// address can be reached. Until then the old address must stay in force.
func TestNewAddressIsInForceInTime(t *testing.T) {
	const (
		within   = 4 * time.Second
		reloadAt = 5 * time.Second // SIGHUP
		newOnly  = "b60"           // a backend that only the new address lists
	)
	for way, down := range outages {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			for _, span := range []time.Duration{0, time.Second, 5 * time.Second, time.Minute} {
				synctest.Test(t, func(t *testing.T) {
					agents := map[string]*fakeAgent{"old:1": {drainCount: 59}, "new:1": {drainCount: 60, outageEnd: reloadAt + span}}
					down(agents["new:1"])
					for _, a := range agents {
						a.t, a.start, a.closed = t, time.Now(), make(chan struct{})
					}
					var mu sync.Mutex
					testStart, inForce, last := time.Now(), time.Duration(0), time.Duration(0)
					done := make(chan struct{})
					s := newSources(func(l MemberList) {
						mu.Lock()
						defer mu.Unlock()
						at := time.Since(testStart)
						if last = at; inForce == 0 && l.Complete && l.Members[len(l.Members)-1].ID == newOnly {
							inForce = at
							close(done)
						}
					})
					s.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
						return agents[addr].dial(ctx, network, addr)
					}
					s.follow("old:1", nil)
					time.Sleep(reloadAt)
					s.follow("new:1", nil)
					for at := reloadAt; at < reloadAt+span; at += changeInterval {
						time.Sleep(changeInterval)
						mu.Lock()
						if now := time.Since(testStart); inForce == 0 && now-last > 2*changeInterval {
							t.Errorf("down for %v: at %v nothing was delivered for %v: the old address is no longer in force",
								span, now, now-last)
						}
						mu.Unlock()
					}
					select {
					case <-done:
					case <-time.After(reloadAt + span + within - time.Since(testStart)):
						t.Errorf("down for %v: the new address is not in force %v later", span, within)
					}
					s.close()
					for _, a := range agents {
						close(a.closed)
					}
					time.Sleep(listTimeout) // until connections end
					for _, a := range agents {
						a.waitHandlers()
					}
				})
			}
		})
	}
}
