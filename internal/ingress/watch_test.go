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

// scriptedDiscovery is a discovery whose list is told at once, and each of whose watches does as
// the next of its steps says; the last one goes on for all that follow.
func scriptedDiscovery(t *testing.T, list string, steps ...func(w io.Writer, asked *http.Request)) (d *discoveryClient, asked chan string, got chan MemberList) {
	asked, got = make(chan string, 1000), make(chan MemberList, 1000)
	var watches atomic.Int32 // one that was given up may still end while the next begins
	s := standin.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.RawQuery
		if r.URL.Query().Get("stream") == "" {
			_, _ = io.WriteString(w, list)
			return
		}
		n := int(watches.Add(1)) - 1
		steps[min(n, len(steps)-1)](flushing{w, http.NewResponseController(w)}, r)
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	d = newDiscoveryClient(s.Listener.Addr().String(), func(l MemberList) { got <- l })
	return d, asked, got
}

// flushing writes through to the network.
type flushing struct {
	io.Writer
	c *http.ResponseController
}

func (f flushing) Write(b []byte) (int, error) {
	n, err := f.Writer.Write(b)
	return n, errors.Join(err, f.c.Flush())
}

func say(text string) func(io.Writer, *http.Request) {
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

// want waits for the revisions that are handed on.
func wantRevisions(t *testing.T, got chan MemberList, revisions ...int64) {
	t.Helper()
	for _, r := range revisions {
		if l := wait(t, fmt.Sprint("revision ", r), got); l.Revision != r {
			t.Fatalf("revision %d is handed on, want %d", l.Revision, r)
		}
	}
}

func TestListsMayComeIndentedOrManyAtOnce(t *testing.T) {
	for name, text := range map[string]string{
		"indented":        indented,
		"one line":        change8 + "\n",
		"no end of line":  change8,
		"behind nothings": "\n\n\r\n" + change8 + "\n",
	} {
		list := strings.ReplaceAll(strings.ReplaceAll(listOf7, "{", "{\n"), ",", ",\n ")
		d, _, got := scriptedDiscovery(t, list, say(text+strings.Replace(change8, "8", "9", 1)+indented[:3]))
		d.patience, d.silence = testTimeout, testTimeout
		go d.run(t.Context(), nil)
		t.Log(name)
		wantRevisions(t, got, 7, 8, 9)
	}
}

// What a reset cuts in two was not told: the next watch asks after what was.
func TestObjectCutInTwoIsAskedForAnew(t *testing.T) {
	for cut := 1; cut < len(change8); cut += 9 {
		d, asked, got := scriptedDiscovery(t, listOf7, func(w io.Writer, r *http.Request) {
			_, _ = io.WriteString(w, change8[:cut])
			nc, _, err := w.(flushing).c.Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_ = nc.(*net.TCPConn).SetLinger(0)
			nc.Close()
		}, say(change8))
		d.patience, d.silence = testTimeout, testTimeout
		go d.run(t.Context(), nil)
		wantRevisions(t, got, 7, 8)
		for _, want := range []string{"", "stream=1&index=7", "stream=1&index=7"} {
			if q := wait(t, "a question", asked); q != want {
				t.Errorf("cut at %d: asked %q, want %q", cut, q, want)
			}
		}
		wantNone(t, fmt.Sprintf("a further question, cut at %d", cut), asked)
	}
}

// What is no list leaves the last one in force, and the whole is asked for anew:
// it may have held a change.
func TestBrokenListsLeaveTheLastInForce(t *testing.T) {
	for name, text := range map[string]string{
		"noise": "\x00\xff}{", "another shape": `[1,2]`, "a word": `"down"`, "a wrong kind": `{"revision":"x","members":[]}`,
		"no members": `{"revision":9,"complete":true}`, "none at all": `null`, "another thing": `{"error":"later"}`,
		"without end": `{"revision":8,"members":[` + strings.Repeat(`{"id":"a"},`, maxListLine/10),
	} {
		d, asked, got := scriptedDiscovery(t, listOf7, say(text+"\n"), say(change8))
		d.patience, d.silence = testTimeout, testTimeout
		go d.run(t.Context(), nil)
		wantRevisions(t, got, 7, 7, 8)
		for _, want := range []string{"", "stream=1&index=7", "", "stream=1&index=7"} {
			if q := wait(t, "a question", asked); q != want {
				t.Errorf("%s: asked %q, want %q", name, q, want)
			}
		}
	}
}

// What a silent watch misses counts as told 6 s after it fell silent. The one that
// is begun in its place may be as silent; it must not take as long once more.
func TestWatchThatDoesNotBeginIsTriedAgainSoon(t *testing.T) {
	for name, step := range map[string]func(io.Writer, *http.Request){
		"no head":  func(_ io.Writer, r *http.Request) { <-r.Context().Done() },
		"no body":  say(""),
		"no list":  say("\n\n"),
		"trickles": trickle(`{"revision":8,"members":[`, " "),
	} {
		t.Run(name, func(t *testing.T) {
			d, _, got := scriptedDiscovery(t, listOf7, step, say(change8))
			d.silence = time.Hour
			go d.run(t.Context(), nil)
			wantRevisions(t, got, 7, 8)
		})
	}
	if watchSilence+2*listPatience+watchRetry >= 6*time.Second {
		t.Error("a watch that fell silent, and one in its place, take longer than what they miss may")
	}
}

// A watch that says nothing but empty lines lives.
func TestEmptyLinesTellThatAWatchLives(t *testing.T) {
	over := make(chan struct{})
	d, asked, got := scriptedDiscovery(t, listOf7, say(change8), func(w io.Writer, r *http.Request) {
		_, _ = io.WriteString(w, strings.Replace(change8, "8", "9", 1))
		for begun := time.Now(); time.Since(begun) < 1500*time.Millisecond; time.Sleep(5 * time.Millisecond) {
			_, _ = io.WriteString(w, "\n")
		}
		close(over)
		<-r.Context().Done()
	})
	d.silence, d.patience = time.Second, testTimeout
	go d.run(t.Context(), nil)
	wantRevisions(t, got, 7, 8, 9) // the first falls silent
	wait(t, "the second to have lived longer than silence may be", over)
	if len(asked) != 3 {
		t.Errorf("asked %d times, want 3: the list and two watches", len(asked))
	}
}

// trickle says something, and then a little again and again.
func trickle(head, more string) func(io.Writer, *http.Request) {
	return func(w io.Writer, r *http.Request) {
		for text := head; r.Context().Err() == nil; text = more {
			_, _ = io.WriteString(w, text)
			time.Sleep(5 * time.Millisecond)
		}
	}
}
