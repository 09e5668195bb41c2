// Package standin holds what stands in for the world round an ingress: clients,
// backends, discovery, and the counts that are kept of them independently of
// the program. Tests and long measurements share it. Everything listens on
// loopback, each on an address of its own (Listen).
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

// Listen listens on a loopback address that no other stand-in has (127.0.0.0/8 is
// all of this machine), at a port that the system chooses. The system soon gives
// out again a port that is given back, and who still calls it there, an ingress
// that follows a discovery which has ended, would come to a stand-in that knows
// nothing of it.
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

// NewServer starts an HTTP server as Listen listens. It panics where nothing can
// be listened on, as httptest does.
func NewServer(h http.Handler) *httptest.Server {
	ln, err := Listen()
	if err != nil {
		panic(err)
	}
	s := &httptest.Server{Listener: ln, Config: &http.Server{Handler: h}}
	s.Start()
	return s
}

// NewID is the id of a new try, 16 hex digits.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Encode is a command as a client sends it.
func Encode(words ...string) []byte {
	b := redcon.AppendArray(nil, len(words))
	for _, w := range words {
		b = redcon.AppendBulkString(b, w)
	}
	return b
}
