package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Client is one connection of a client.
type Client struct {
	net.Conn
	In *bufio.Reader
}

// Dial connects to an ingress. Every wait on the connection ends after patience.
func Dial(addr string, patience time.Duration) (*Client, error) {
	nc, err := net.DialTimeout("tcp", addr, patience)
	if err != nil {
		return nil, fmt.Errorf("stand-in client: %w", err)
	}
	nc.SetDeadline(time.Now().Add(patience))
	return &Client{nc, bufio.NewReader(nc)}, nil
}

// Send sends a command.
func (c *Client) Send(words ...string) error {
	_, err := c.Write(Encode(words...))
	return err
}

// Line reads one answer: the line, and the value behind it where it is a bulk string.
func (c *Client) ReadReply() (string, error) {
	s, err := c.In.ReadString('\n')
	if err != nil {
		return "", fmt.Errorf("no answer: %w", err)
	}
	if strings.HasPrefix(s, "$") {
		v, err := c.In.ReadString('\n')
		if err != nil {
			return "", fmt.Errorf("half an answer: %w", err)
		}
		s += v
	}
	return strings.TrimSpace(s), nil
}

// Outcome is how a request ended for its client.
type Outcome int

// The outcomes of a request.
const (
	Served  Outcome = iota // with the value made for it
	Refused                // -BUSY
	Failed                 // any other answer
	Unsent                 // the connection closed between requests: it may be sent again on a new one
	Lost                   // the connection ended with no answer, though nothing told that it would
	Wrong                  // served with another's value
)

// Ask sends a request and waits for its outcome. The backends must answer with
// the request's id (Effects.Work).
func (c *Client) Ask(id string, words ...string) Outcome {
	if err := c.Send(words...); err != nil {
		return Unsent
	}
	return c.Outcome(id)
}

// Outcome waits for the outcome of a request that was sent.
func (c *Client) Outcome(id string) Outcome {
	line, err := c.ReadReply()
	switch value, served := strings.CutPrefix(line, fmt.Sprintf("$%d\r\n", len(id))); {
	case err != nil:
		// An ingress closes between requests. If that crosses one that it has
		// not read, the client sees an end or a reset, and asks once more.
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return Lost
		}
		return Unsent
	case served && value == id:
		return Served
	case strings.HasPrefix(line, "-BUSY"):
		return Refused
	case strings.HasPrefix(line, "-"):
		return Failed
	}
	return Wrong
}

// WaitReady asks with PING until an ingress takes clients, or patience ends.
func WaitReady(addr string, patience time.Duration) error {
	for end := time.Now().Add(patience); ; {
		c, err := Dial(addr, patience)
		if err == nil {
			var line string
			if err = c.Send("PING"); err == nil {
				line, err = c.ReadReply()
			}
			c.Close()
			if line == "+PONG" {
				return nil
			}
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s is not ready after %v: %v", addr, patience, err)
		}
		time.Sleep(time.Millisecond)
	}
}

// Ended tells whether the other side has closed the connection without another byte.
func (c *Client) ExpectClosed() error {
	if rest, err := io.ReadAll(c.In); err != nil || len(rest) > 0 {
		return fmt.Errorf("the connection gave %q, %v; want its end", rest, err)
	}
	return nil
}
