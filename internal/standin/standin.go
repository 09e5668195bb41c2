// Package standin provides fakes of the systems around an ingress: clients, backends
// and discovery. They count requests independently of the program under test. Tests
// and long measurements share it. Every fake listens on a loopback address of its own
// (see Listen).
package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"

	"github.com/tidwall/redcon"
)

// Listen listens on a random loopback address (all of 127.0.0.0/8 is local) and a port
// chosen by the system. The system soon reuses a released port. If all fakes shared one
// address, an ingress that still follows a discovery that has stopped could reconnect to
// an unrelated fake.
func Listen() (net.Listener, error) { return listen(&net.ListenConfig{}, 0) }

func listen(how *net.ListenConfig, port int) (net.Listener, error) {
	n := rand.Uint32()
	own := net.IPv4(127, byte(1+n%254), byte(n>>8), byte(1+n>>16%254)) // never 127.0.0.1
	ln, err := how.Listen(context.Background(), "tcp", net.JoinHostPort(own.String(), strconv.Itoa(port)))
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	return ln, nil
}

// NewServer starts an HTTP server on an address of Listen. It panics if listening fails,
// as httptest does.
func NewServer(h http.Handler) *httptest.Server {
	ln, err := Listen()
	if err != nil {
		panic(err)
	}
	s := &httptest.Server{Listener: ln, Config: &http.Server{Handler: h}}
	s.Start()
	return s
}

// NewID returns a random request id of 16 hex digits.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Encode encodes a command in RESP2.
func Encode(words ...string) []byte {
	b := redcon.AppendArray(nil, len(words))
	for _, w := range words {
		b = redcon.AppendBulkString(b, w)
	}
	return b
}
