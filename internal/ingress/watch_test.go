package ingress

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wickarch/internal/standin"
)

// scriptedDiscovery starts a discovery that answers list requests with the given list and
// handles each watch by the next step; the last step handles all further watches. It returns
// a client of it, the queries received and the lists delivered.
func scriptedDiscovery(t *testing.T, list string, steps ...func(w io.Writer, req *http.Request),
) (d *discoveryClient, queries chan string, got chan MemberList) {
	queries, got = make(chan string, 1000), make(chan MemberList, 1000)
	var watches atomic.Int32 // a cancelled watch may still be ending while the next one starts
	s := standin.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		if r.URL.Query().Get("stream") == "" {
			_, _ = io.WriteString(w, list)
			return
		}
		n := int(watches.Add(1)) - 1
		steps[min(n, len(steps)-1)](flushing{w, http.NewResponseController(w)}, r)
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	d = newDiscoveryClient(s.Listener.Addr().String(), func(l MemberList) { got <- l })
	return d, queries, got
}

// flushing flushes each write to the network.
type flushing struct {
	io.Writer
	c *http.ResponseController
}

func (f flushing) Write(b []byte) (int, error) {
	n, err := f.Writer.Write(b)
	return n, errors.Join(err, f.c.Flush())
}

func sendAndHold(text string) func(io.Writer, *http.Request) {
	return func(w io.Writer, r *http.Request) {
		_, _ = io.WriteString(w, text)
		<-r.Context().Done()
	}
}

const (
	listOf7  = `{"revision":7,"complete":true,"members":[{"id":"a","host_port":"127.0.0.1:1","phase":"SERVING"}]}`
	change8  = `{"revision":8,"complete":false,"members":[{"id":"a","phase":"DRAINING"}]}`
	indented = "\n{\n  \"revision\": 8,\n\n  \"complete\": false,\n  \"members\": [\n    {\n      \"id\": \"a\",\n      \"phase\": \"DRAINING\"\n    }\n  ]\n}\n\n"
)

// wantRevisions waits for the given revisions to be delivered, in order.
func wantRevisions(t *testing.T, got chan MemberList, revisions ...int64) {
	t.Helper()
	for _, r := range revisions {
		if l := wait(t, fmt.Sprint("revision ", r), got); l.Revision != r {
			t.Fatalf("revision %d is delivered, want %d", l.Revision, r)
		}
	}
}

// Guards against parsing a watch by lines: objects may be indented, share a line, and have
// empty lines between them.
func TestWatchObjectsMayBeIndentedOrConsecutive(t *testing.T) {
	for name, text := range map[string]string{
		"indented":          indented,
		"one line":          change8 + "\n",
		"no newline":        change8,
		"after empty lines": "\n\n\r\n" + change8 + "\n",
	} {
		list := strings.ReplaceAll(strings.ReplaceAll(listOf7, "{", "{\n"), ",", ",\n ")
		d, _, got := scriptedDiscovery(t, list, sendAndHold(text+strings.Replace(change8, "8", "9", 1)+indented[:3]))
		d.callTimeout, d.silenceTimeout = testTimeout, testTimeout
		go d.run(t.Context(), nil)
		t.Log(name)
		wantRevisions(t, got, 7, 8, 9)
	}
}

// An object truncated by a reset was not delivered: the next watch must resume after the
// last complete one.
func TestTruncatedObjectIsRequestedAgain(t *testing.T) {
	for cut := 1; cut < len(change8); cut += 9 {
		d, queries, got := scriptedDiscovery(t, listOf7, func(w io.Writer, r *http.Request) {
			_, _ = io.WriteString(w, change8[:cut])
			nc, _, err := w.(flushing).c.Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_ = nc.(*net.TCPConn).SetLinger(0)
			nc.Close()
		}, sendAndHold(change8))
		d.callTimeout, d.silenceTimeout = testTimeout, testTimeout
		go d.run(t.Context(), nil)
		wantRevisions(t, got, 7, 8)
		for _, want := range []string{"", "stream=1&index=7", "stream=1&index=7"} {
			if q := wait(t, "a query", queries); q != want {
				t.Errorf("cut at %d: query %q, want %q", cut, q, want)
			}
		}
		wantNone(t, fmt.Sprintf("a further query, cut at %d", cut), queries)
	}
}

// Invalid data leaves the last list in force, and the full list is requested again, as
// the data may have held a change.
func TestInvalidListLeavesLastInForce(t *testing.T) {
	for name, text := range map[string]string{
		"malformed": "\x00\xff}{", "array": `[1,2]`, "string": `"down"`, "wrong field type": `{"revision":"x","members":[]}`,
		"no members": `{"revision":9,"complete":true}`, "null": `null`, "other object": `{"error":"later"}`,
		"over the size limit": `{"revision":8,"members":[` + strings.Repeat(`{"id":"a"},`, maxListBytes/10),
	} {
		d, queries, got := scriptedDiscovery(t, listOf7, sendAndHold(text+"\n"), sendAndHold(change8))
		d.callTimeout, d.silenceTimeout = testTimeout, testTimeout
		go d.run(t.Context(), nil)
		wantRevisions(t, got, 7, 7, 8)
		for _, want := range []string{"", "stream=1&index=7", "", "stream=1&index=7"} {
			if q := wait(t, "a query", queries); q != want {
				t.Errorf("%s: query %q, want %q", name, q, want)
			}
		}
	}
}

// A change missed by a silent watch must be delivered within 6 s after the watch fell
// silent. Its replacement may be silent as well and must not wait for the full silence
// timeout again.
func TestWatchThatDoesNotStartIsRetriedSoon(t *testing.T) {
	for name, step := range map[string]func(io.Writer, *http.Request){
		"no response head": func(_ io.Writer, r *http.Request) { <-r.Context().Done() },
		"no body":          sendAndHold(""),
		"no list":          sendAndHold("\n\n"),
		"trickles":         trickle(`{"revision":8,"members":[`, " "),
	} {
		t.Run(name, func(t *testing.T) {
			d, _, got := scriptedDiscovery(t, listOf7, step, sendAndHold(change8))
			d.silenceTimeout = time.Hour
			go d.run(t.Context(), nil)
			wantRevisions(t, got, 7, 8)
		})
	}
	if watchSilenceTimeout+2*listTimeout+retryInterval >= 6*time.Second {
		t.Error("a silent watch and its silent replacement together take longer than the 6 s for a change")
	}
}

// Guards against replacing a live watch without changes: empty lines are its keep-alives.
func TestEmptyLinesKeepWatchAlive(t *testing.T) {
	over := make(chan struct{})
	d, queries, got := scriptedDiscovery(t, listOf7, sendAndHold(change8), func(w io.Writer, r *http.Request) {
		_, _ = io.WriteString(w, strings.Replace(change8, "8", "9", 1))
		for start := time.Now(); time.Since(start) < 1500*time.Millisecond; time.Sleep(5 * time.Millisecond) {
			_, _ = io.WriteString(w, "\n")
		}
		close(over)
		<-r.Context().Done()
	})
	d.silenceTimeout, d.callTimeout = time.Second, testTimeout
	go d.run(t.Context(), nil)
	wantRevisions(t, got, 7, 8, 9) // the first watch falls silent
	wait(t, "the second watch to outlive the silence timeout", over)
	if len(queries) != 3 {
		t.Errorf("%d queries, want 3: the list and two watches", len(queries))
	}
}

// trickle sends head, and then more every 5 ms.
func trickle(head, more string) func(io.Writer, *http.Request) {
	return func(w io.Writer, r *http.Request) {
		for text := head; r.Context().Err() == nil; text = more {
			_, _ = io.WriteString(w, text)
			time.Sleep(5 * time.Millisecond)
		}
	}
}
