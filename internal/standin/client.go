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

// Client is one client connection.
type Client struct {
	net.Conn
	In *bufio.Reader
}

// Dial connects to an ingress. The timeout covers connecting, and then all I/O on the connection.
func Dial(addr string, timeout time.Duration) (*Client, error) {
	nc, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, fmt.Errorf("stand-in client: %w", err)
	}
	nc.SetDeadline(time.Now().Add(timeout))
	return &Client{nc, bufio.NewReader(nc)}, nil
}

// Send sends a command.
func (c *Client) Send(words ...string) error {
	_, err := c.Write(Encode(words...))
	return err
}

// ReadReply reads one reply line and, for a bulk string, the value that follows it.
func (c *Client) ReadReply() (string, error) {
	s, err := c.In.ReadString('\n')
	if err != nil {
		return "", fmt.Errorf("read reply: %w", err)
	}
	if strings.HasPrefix(s, "$") {
		v, err := c.In.ReadString('\n')
		if err != nil {
			return "", fmt.Errorf("read value of a bulk string reply: %w", err)
		}
		s += v
	}
	return strings.TrimSpace(s), nil
}

// Outcome is the result of a request as its client sees it.
type Outcome int

// The outcomes of a request.
const (
	Served  Outcome = iota // with its own value
	Refused                // -BUSY
	Failed                 // any other error reply
	Unsent                 // the connection closed before a reply; the request may be sent again on a new connection
	Lost                   // no reply before the client's timeout, on a connection that stayed open
	Wrong                  // any other reply, such as another request's value
)

// Ask sends a request and waits for its outcome. The backends must reply with the
// request's id as the value (see Effects.Handler).
func (c *Client) Ask(id string, words ...string) Outcome {
	if err := c.Send(words...); err != nil {
		return Unsent
	}
	return c.Outcome(id)
}

// Outcome waits for the outcome of a request that was already sent.
func (c *Client) Outcome(id string) Outcome {
	line, err := c.ReadReply()
	switch value, served := strings.CutPrefix(line, fmt.Sprintf("$%d\r\n", len(id))); {
	case err != nil:
		// An ingress closes connections between requests. If it does so while an unread
		// request is on its way, the client sees EOF or a reset and may retry.
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

// WaitReady sends PING until the ingress answers +PONG or the timeout expires.
func WaitReady(addr string, timeout time.Duration) error {
	for end := time.Now().Add(timeout); ; {
		c, err := Dial(addr, timeout)
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
			return fmt.Errorf("%s is not ready after %v: %v", addr, timeout, err)
		}
		time.Sleep(time.Millisecond)
	}
}

// ExpectClosed returns an error unless the peer closes the connection without sending another byte.
func (c *Client) ExpectClosed() error {
	if rest, err := io.ReadAll(c.In); err != nil || len(rest) > 0 {
		return fmt.Errorf("read %q, %v; want EOF with no data", rest, err)
	}
	return nil
}
