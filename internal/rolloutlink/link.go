// Package rolloutlink is what agents, ingresses that follow configuration, coordinators
// and the operators' command say to each other: JSON over plain HTTP, bounded in size
// and time.
package rolloutlink

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"wickarch/distribution"
	"wickarch/rollout"
)

// Paths of a coordinator.
const (
	PathReport  = "/v1/report"  // POST rollout.Report -> rollout.Reply
	PathOrder   = "/v1/order"   // POST rollout.Entry with a Request -> {}
	PathStatus  = "/v1/status"  // GET -> Status
	PathReplace = "/v1/replace" // POST Replace -> {}
	PathRaft    = "/v1/raft"    // POST Raft -> {}

	PathConfig       = "/v1/config"        // GET -> Config
	PathConfigOrder  = "/v1/config/order"  // POST distribution.Entry with a Request -> Ordered
	PathConfigPoll   = "/v1/config/poll"   // POST distribution.Poll -> distribution.Reply, held while there is nothing new
	PathConfigStatus = "/v1/config/status" // GET -> distribution.Status
)

// Bounds on what one call may hold, in bytes.
const (
	MaxReportBytes = 64 << 10
	MaxOrderBytes  = 64 << 10
	MaxRaftBytes   = 16 << 20
	MaxStatusBytes = 64 << 20
	MaxConfigBytes = 8 << 20
)

// RaftMessages holds messages from one coordinator to another.
type RaftMessages struct {
	Messages [][]byte `json:"messages"`
}

// Replace puts a new coordinator in the place of an old one.
type Replace struct {
	Old     uint64 `json:"old"`
	New     uint64 `json:"new"`
	Address string `json:"address"`
}

// Status is how all stands, and who tells it.
type Status struct {
	rollout.Status
	Coordinator  uint64            `json:"coordinator"`
	Coordinators map[uint64]string `json:"coordinators"`
}

// Config is the newest version of configuration, whole.
type Config struct {
	distribution.State
	Oldest uint64 `json:"oldest"` // the oldest version that can be gone back to
}

// ConfigOrderReply tells the version that an order of configuration made.
type ConfigOrderReply struct {
	Version uint64 `json:"version"`
}

// ErrorReply is the body of an answer that is none.
type ErrorReply struct {
	Error  *rollout.RemoteError `json:"error"`
	Leader string               `json:"leader,omitempty"` // its address, where another coordinator leads
}

// Unreachable tells that no coordinator could be reached.
type Unreachable struct{ Why string }

func (e *Unreachable) Error() string { return "no coordinator could be reached: " + e.Why }

// Remedy says what an operator can do.
func (e *Unreachable) Remedy() string {
	return "check the addresses, whether the coordinators run, and the network to them; the fleet goes on serving meanwhile"
}

// Faults lists one of each error of this package.
func Faults() []rollout.Fault { return []rollout.Fault{&Unreachable{}} }

// NewHTTPClient makes a client whose calls end within a time and which keeps few connections.
func NewHTTPClient(patience time.Duration) *http.Client {
	return &http.Client{Timeout: patience, Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: patience}).DialContext,
		MaxIdleConnsPerHost: 2, MaxConnsPerHost: 8, IdleConnTimeout: 30 * time.Second,
		ResponseHeaderTimeout: patience, DisableCompression: true,
	}}
}

// Call makes one call to a coordinator. The error is *rollout.RemoteError for what the
// coordinator refused, with the leader's address beside it where that is another,
// or *Unreachable.
func Call(ctx context.Context, c *http.Client, method, address, path string, in, out any, most int64) (leader string, err error) {
	var body io.Reader
	if in != nil {
		b, unwritable := json.Marshal(in)
		if unwritable != nil {
			return "", fmt.Errorf("rolloutlink: %w", unwritable)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return "", &Unreachable{err.Error()}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.Do(req)
	if err != nil {
		return "", &Unreachable{err.Error()}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, most+1))
	if err != nil || int64(len(data)) > most {
		return "", &Unreachable{fmt.Sprintf("%s: an answer that is broken off or too long: %v", address, err)}
	}
	if resp.StatusCode == http.StatusOK {
		if out == nil {
			return "", nil
		}
		if err := json.Unmarshal(data, out); err != nil {
			return "", &Unreachable{fmt.Sprintf("%s: an answer that can't be read: %v", address, err)}
		}
		return "", nil
	}
	var f ErrorReply
	if err := json.Unmarshal(data, &f); err != nil || f.Error == nil {
		return "", &Unreachable{fmt.Sprintf("%s answers %s", address, resp.Status)}
	}
	return f.Leader, f.Error
}

// CallLeader makes a call to whichever coordinator leads, for so long as ctx lasts.
func CallLeader(ctx context.Context, c *http.Client, coordinators []string, method, path string, in, out any, most int64) error {
	if len(coordinators) == 0 {
		return &Unreachable{"none is named"}
	}
	var last error
	at := coordinators[0]
	for n := 1; ; n++ {
		// One that hangs must not take the time of all.
		try, cancel := ctx, context.CancelFunc(func() {})
		if end, ok := ctx.Deadline(); ok {
			try, cancel = context.WithTimeout(ctx, max(200*time.Millisecond, time.Until(end)/time.Duration(len(coordinators)+1)))
		}
		leader, err := Call(try, c, method, at, path, in, out, most)
		cancel()
		var remote *rollout.RemoteError
		if err == nil || errors.As(err, &remote) && remote.Kind != "NotLeader" && remote.Kind != "Undecided" && remote.Kind != "NoMajority" {
			return err
		}
		if ctx.Err() == nil || last == nil {
			last = err
		}
		pause := 100 * time.Millisecond
		if leader != "" && leader != at {
			at, pause = leader, 0
		} else {
			at = coordinators[n%len(coordinators)]
		}
		select {
		case <-ctx.Done():
			return last
		case <-time.After(pause):
		}
	}
}
