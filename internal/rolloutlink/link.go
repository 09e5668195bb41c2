// Package rolloutlink is the protocol between agents, ingresses that follow configuration,
// coordinators and the operators' command: JSON over plain HTTP, limited in size and time.
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

// Paths of a coordinator's HTTP server.
const (
	PathReport  = "/v1/report"  // POST rollout.Report -> rollout.Reply
	PathOrder   = "/v1/order"   // POST rollout.Entry with a Request -> {}
	PathStatus  = "/v1/status"  // GET -> Status
	PathReplace = "/v1/replace" // POST Replace -> {}
	PathRaft    = "/v1/raft"    // POST RaftMessages -> {}

	PathConfig       = "/v1/config"        // GET -> Config
	PathConfigOrder  = "/v1/config/order"  // POST distribution.Entry with a Request -> ConfigOrderReply
	PathConfigPoll   = "/v1/config/poll"   // POST distribution.Poll -> distribution.Reply, held until there is something new
	PathConfigStatus = "/v1/config/status" // GET -> distribution.Status
)

// Limits on the bodies of one call, in bytes.
const (
	MaxReportBytes = 64 << 10
	MaxOrderBytes  = 64 << 10
	MaxRaftBytes   = 16 << 20
	MaxStatusBytes = 64 << 20
	MaxConfigBytes = 8 << 20
)

// RaftMessages holds raft messages from one coordinator to another.
type RaftMessages struct {
	Messages [][]byte `json:"messages"`
}

// Replace replaces an old coordinator by a new one.
type Replace struct {
	Old     uint64 `json:"old"`
	New     uint64 `json:"new"`
	Address string `json:"address"`
}

// Status is the status of the fleet, with the coordinator that reports it.
type Status struct {
	rollout.Status
	Coordinator  uint64            `json:"coordinator"`
	Coordinators map[uint64]string `json:"coordinators"`
}

// Config is the newest version of configuration, in full.
type Config struct {
	distribution.State
	Oldest uint64 `json:"oldest"` // the oldest version that can be restored
}

// ConfigOrderReply holds the version that a configuration order has created.
type ConfigOrderReply struct {
	Version uint64 `json:"version"`
}

// ErrorReply is the body of an error response.
type ErrorReply struct {
	Error  *rollout.RemoteError `json:"error"`
	Leader string               `json:"leader,omitempty"` // address of the leader, if another coordinator leads
}

// Unreachable reports that no coordinator could be reached.
type Unreachable struct{ Why string }

func (e *Unreachable) Error() string { return "no coordinator could be reached: " + e.Why }

// Remedy implements rollout.Fault.
func (e *Unreachable) Remedy() string {
	return "check the addresses, whether the coordinators run, and the network to them; the fleet continues to serve meanwhile"
}

// Faults returns a value of each error type of this package.
func Faults() []rollout.Fault { return []rollout.Fault{&Unreachable{}} }

// NewHTTPClient returns a client whose calls have a timeout and which keeps few connections.
func NewHTTPClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: 2, MaxConnsPerHost: 8, IdleConnTimeout: 30 * time.Second,
		ResponseHeaderTimeout: timeout, DisableCompression: true,
	}}
}

// Call makes one call to a coordinator. The error is *rollout.RemoteError if the coordinator
// refused, with the leader's address if that is another one, or *Unreachable.
func Call(ctx context.Context, c *http.Client, method, address, path string, in, out any, maxBytes int64) (leader string, err error) {
	var body io.Reader
	if in != nil {
		b, marshalErr := json.Marshal(in)
		if marshalErr != nil {
			return "", fmt.Errorf("rolloutlink: %w", marshalErr)
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	if err != nil || int64(len(data)) > maxBytes {
		return "", &Unreachable{fmt.Sprintf("%s: response is truncated or too long: %v", address, err)}
	}
	if resp.StatusCode == http.StatusOK {
		if out == nil {
			return "", nil
		}
		if err := json.Unmarshal(data, out); err != nil {
			return "", &Unreachable{fmt.Sprintf("%s: cannot decode response: %v", address, err)}
		}
		return "", nil
	}
	var reply ErrorReply
	if err := json.Unmarshal(data, &reply); err != nil || reply.Error == nil {
		return "", &Unreachable{fmt.Sprintf("%s responded with %s", address, resp.Status)}
	}
	return reply.Leader, reply.Error
}

// CallLeader makes a call to whichever coordinator leads, and retries until ctx is done.
func CallLeader(ctx context.Context, c *http.Client, coordinators []string, method, path string, in, out any, maxBytes int64) error {
	if len(coordinators) == 0 {
		return &Unreachable{"no address is configured"}
	}
	var last error
	address := coordinators[0]
	for n := 1; ; n++ {
		// A coordinator that hangs must not use up the time for all.
		attempt, cancel := ctx, context.CancelFunc(func() {})
		if deadline, ok := ctx.Deadline(); ok {
			attempt, cancel = context.WithTimeout(ctx, max(200*time.Millisecond, time.Until(deadline)/time.Duration(len(coordinators)+1)))
		}
		leader, err := Call(attempt, c, method, address, path, in, out, maxBytes)
		cancel()
		var remote *rollout.RemoteError
		if err == nil || errors.As(err, &remote) && remote.Kind != "NotLeader" && remote.Kind != "Undecided" && remote.Kind != "NoMajority" {
			return err
		}
		if ctx.Err() == nil || last == nil {
			last = err
		}
		backoff := 100 * time.Millisecond
		if leader != "" && leader != address {
			address, backoff = leader, 0
		} else {
			address = coordinators[n%len(coordinators)]
		}
		select {
		case <-ctx.Done():
			return last
		case <-time.After(backoff):
		}
	}
}
