package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/tidwall/redcon"
)

// hook is the command that a stand-in backend's owner names: it asks the stand-in.
type hook struct {
	URL string `arg:""`
}

// Run asks.
func (h *hook) Run() error {
	c := http.Client{Timeout: 5 * time.Second}
	resp, err := c.Get(h.URL + "?version=" + url.QueryEscape(os.Getenv("WICKARCH_VERSION")))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusGone:
		os.Exit(3)
	}
	return errors.New(resp.Status)
}

// faulty stands in for a bad build: it runs the good one behind itself, and spoils it.
type faulty struct {
	Program string        `arg:""`
	How     string        `enum:"crash,refuse,slow" required:""`
	After   time.Duration `default:"1500ms" help:"How long it does well, where it gets slow."`

	began   time.Time
	mu      sync.Mutex
	refused map[string]uint64 // by class
	held    int
}

// Run runs the build until SIGTERM.
func (f *faulty) Run() error {
	if f.How == "crash" {
		return errors.New("this build crashes")
	}
	f.began, f.refused = time.Now(), map[string]uint64{}
	b, err := os.ReadFile(os.Getenv("NODE_CONFIG"))
	if err != nil {
		return err
	}
	var cfg map[string]any
	if err = json.Unmarshal(b, &cfg); err != nil {
		return err
	}
	listen, admin := cfg["listen"].(string), os.Getenv("NODE_MGMT")
	inner, err := free()
	if err != nil {
		return err
	}
	innerAdmin, err := free()
	if err != nil {
		return err
	}
	cfg["listen"] = inner
	if b, err = json.Marshal(cfg); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "faulty")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	path := filepath.Join(dir, "config.json")
	if err = os.WriteFile(path, b, 0o600); err != nil {
		return err
	}
	cmd := exec.Command(f.Program)
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+path, "NODE_MGMT="+innerAdmin)
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = cmd.Start(); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		cmd.Process.Kill()
		return err
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go f.serve(c, inner)
		}
	}()
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: innerAdmin})
	proxy.ModifyResponse = f.figures
	go func() {
		fmt.Fprintln(os.Stderr, "faulty: nothing tells its figures any more:", http.ListenAndServe(admin, proxy))
	}()
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	go func() {
		<-ctx.Done()
		time.Sleep(450 * time.Millisecond) // as the good one: clients go on coming for a moment
		ln.Close()
		_ = cmd.Process.Signal(syscall.SIGTERM) // fails only if it has ended, which is what is wanted
	}()
	return cmd.Wait()
}

func free() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// serve relays one client's connection, a request at a time.
func (f *faulty) serve(c net.Conn, inner string) {
	defer c.Close()
	in, err := net.Dial("tcp", inner)
	if err != nil {
		return
	}
	defer in.Close()
	commands, answers := redcon.NewReader(c), make(chan []byte, 1)
	go func() {
		defer close(answers)
		defer c.Close() // an end of the inner one is one of ours
		from := bufio.NewReader(in)
		for {
			line, err := from.ReadBytes('\n')
			if err == nil && line[0] == '$' {
				var rest []byte
				rest, err = from.ReadBytes('\n')
				line = append(line, rest...)
			}
			if err != nil {
				return
			}
			answers <- line
		}
	}()
	for {
		cmd, err := commands.ReadCommand()
		if err != nil {
			return
		}
		class := ""
		if len(cmd.Args) > 3 {
			class, _, _ = strings.Cut(strings.TrimPrefix(string(cmd.Args[3]), "c="), ",")
		}
		if class != "" && f.How == "refuse" && rand.IntN(10) == 0 {
			f.mu.Lock()
			f.refused[class]++
			f.mu.Unlock()
			if _, err := io.WriteString(c, "-BUSY 50\r\n"); err != nil {
				return
			}
			continue
		}
		if class != "" && f.How == "slow" && time.Since(f.began) > f.After {
			f.hold(1)
			time.Sleep(150 * time.Millisecond)
			f.hold(-1)
		}
		if _, err := in.Write(cmd.Raw); err != nil {
			return
		}
		line, ok := <-answers
		if !ok {
			return
		}
		if _, err := c.Write(line); err != nil {
			return
		}
	}
}

func (f *faulty) hold(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held += n
}

// figures adds to the inner one's figures what this one did.
func (f *faulty) figures(r *http.Response) error {
	if r.Request.URL.Path != "/status/metrics" {
		return nil
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var out strings.Builder
	for line := range strings.SplitSeq(strings.TrimSpace(string(b)), "\n") {
		name, value, _ := strings.Cut(line, "=")
		var n uint64
		_, _ = fmt.Sscan(value, &n) // what is no number counts as 0
		if class, ok := strings.CutPrefix(name, "edge_node.busy."); ok {
			n += f.refused[class]
		}
		if name == "edge_node.inflight" {
			n += uint64(f.held)
		}
		fmt.Fprintf(&out, "%s=%d\n", name, n)
	}
	r.Body = io.NopCloser(strings.NewReader(out.String()))
	r.ContentLength = int64(out.Len())
	r.Header.Set("Content-Length", fmt.Sprint(out.Len()))
	return nil
}
