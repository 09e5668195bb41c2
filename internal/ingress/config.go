// Package ingress runs one gateway of package choice on real sockets. It turns
// what happens on connections into the gateway's events and carries out its
// actions; it decides nothing itself.
//
// One goroutine owns the gateway (loop.go). Goroutines of connections do the
// I/O and send it events: client.go towards clients, backend.go towards
// backends, discovery.go towards discovery. command.go reads and writes the
// protocol.
package ingress

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"wickarch/admission"
	"wickarch/choice"
	"wickarch/internal/config"
	"wickarch/internal/reactor"
	"wickarch/internal/wire"
)

// Limits are what the deployment lets one ingress use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Shares of the limits. The rest of the memory is for socket buffers and the
// runtime, the rest of the descriptors for discovery, listener and files.
const (
	heapShare      = 0.6
	garbagePercent = 100 // more would show as memory that grows for minutes, until the first collection
	clientShare    = 0.55
	backendShare   = 0.35
	usefulPart     = 3  // clients hold a third of the descriptors for requests
	adminPart      = 24 // the second address holds one part in so many
	defaultSockets = 1024
	defaultMemory  = 192
)

// Apply sets the Go runtime's bounds for the whole process.
func (l Limits) Apply() {
	runtime.GOMAXPROCS(max(1, int(l.Cores)))
	debug.SetMemoryLimit(int64(heapShare * float64(l.MemoryMB) * (1 << 20)))
	debug.SetGCPercent(garbagePercent)
}

// CapToRlimit lowers the descriptors to what the process may have, if that is less.
func (l Limits) CapToRlimit() Limits {
	var most syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &most); err == nil && most.Cur < uint64(l.Sockets) {
		slog.Warn("the process may hold fewer descriptors than the configuration tells", "told", l.Sockets, "limit", most.Cur)
		l.Sockets = int(most.Cur)
	}
	return l
}

func (l Limits) maxClientConns() int { return max(1, int(clientShare*float64(l.Sockets))) }

// admissionLimits are the bounds on clients' connections. Clients hold a third of the descriptors at
// most for requests, and find no connection beyond: past half of that, those at
// rest go sooner the fewer places are left.
func (l Limits) admissionLimits() admission.Limits {
	return admission.Defaults(l.maxClientConns(), l.Sockets/usefulPart)
}

// maxAdminConns bounds the connections to the second address, which the shares of
// clients and backends leave room for.
func (l Limits) maxAdminConns() int { return max(4, l.Sockets/adminPart) }

func (l Limits) maxBackendConns() int { return max(1, int(backendShare*float64(l.Sockets))) }

// Config is all that one ingress is told at its start.
type Config struct {
	Name              string
	Listen            string
	Discovery         string
	InheritedListener string // the listening socket that the platform holds, as the reactor names it; empty without one
	HandoverDir       string // a folder shared with the processes before and after this one; empty: there are none
	Admin             string // the second address, "host:port"; empty: there is none
	Seed              uint64
	Limits            Limits
	CachedMembers     MemberList
	Choice            choice.Config
	Options           config.Options // beyond the platform's configuration; empty without a file of our own
	Proof             int            // of upstream.Config; 0 for its default

	classNames         []string
	classes            map[string]int
	plans              map[string]int
	zones              map[string]int
	kinds              map[string]int
	backendIdleTimeout time.Duration // a backend closes connections idle for so long
	connectTimeout     time.Duration
}

// LoadConfig reads the file that NODE_CONFIG names. The other NODE_ variables
// stand in for what the file leaves out.
func LoadConfig(getenv func(string) string) (Config, error) {
	path := getenv("NODE_CONFIG")
	if path == "" {
		return Config{}, fmt.Errorf("NODE_CONFIG is not set")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	cfg, err := ParseConfig(data)
	if err != nil {
		return Config{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	for name, field := range map[string]*string{
		"NODE_NAME": &cfg.Name, "NODE_LISTEN": &cfg.Listen, "NODE_DISCOVERY": &cfg.Discovery, "NODE_MGMT": &cfg.Admin,
	} {
		if *field == "" {
			*field = getenv(name)
		}
	}
	if cfg.Listen == "" || cfg.Discovery == "" {
		return Config{}, fmt.Errorf("configuration %s: the address of clients or of discovery is missing", path)
	}
	if passed := getenv("NODE_PASSED_SOCKET"); passed != "" {
		fd, err := strconv.Atoi(passed)
		if err != nil || fd <= 2 {
			return Config{}, fmt.Errorf("NODE_PASSED_SOCKET: %q is no number of an inherited descriptor", passed)
		}
		cfg.InheritedListener, cfg.HandoverDir = reactor.Inherited(fd), getenv("TMPDIR")
	}
	return cfg, nil
}

// ParseConfig decodes a configuration.
func ParseConfig(data []byte) (Config, error) {
	var file struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Admin     string          `json:"mgmt"`
		Seed      string          `json:"seed"`
		Limits    Limits          `json:"limits"`
		Known     MemberList      `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(data, &file); err != nil {
		return Config{}, err
	}
	decisions, _, err := wire.ParseConfig(file.Settings)
	if err != nil {
		return Config{}, err
	}
	// What only sockets need: the names on them and the limits of connections.
	var s struct {
		Bounds struct {
			ConnIdle       float64 `json:"conn_idle_ms"`
			ConnectTimeout float64 `json:"connect_timeout_ms"`
		} `json:"bounds"`
		Classes []struct {
			Name string `json:"name"`
		} `json:"request_classes"`
		Plans []struct {
			Name string `json:"name"`
		} `json:"tiers_of_service"`
		Zones []string `json:"zones"`
		Kinds []string `json:"kinds"`
	}
	if err = json.Unmarshal(file.Settings, &s); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	cfg := Config{
		Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Admin: file.Admin, Limits: file.Limits, CachedMembers: file.Known,
		Choice: decisions, classes: map[string]int{}, plans: map[string]int{}, zones: map[string]int{}, kinds: map[string]int{},
		backendIdleTimeout: millis(s.Bounds.ConnIdle), connectTimeout: millis(s.Bounds.ConnectTimeout),
	}
	if file.Seed != "" {
		if cfg.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
			return Config{}, fmt.Errorf("seed: %w", err)
		}
	}
	for i, c := range s.Classes {
		cfg.classes[c.Name] = i
		cfg.classNames = append(cfg.classNames, c.Name)
	}
	for i, p := range s.Plans {
		cfg.plans[p.Name] = i
	}
	for i, z := range s.Zones {
		cfg.zones[z] = i
	}
	for i, k := range s.Kinds {
		cfg.kinds[k] = i
	}
	if cfg.Limits.Sockets <= 0 {
		cfg.Limits.Sockets = defaultSockets
	}
	if cfg.Limits.MemoryMB <= 0 {
		cfg.Limits.MemoryMB = defaultMemory
	}
	if cfg.backendIdleTimeout <= 0 {
		cfg.backendIdleTimeout = 15 * time.Second
	}
	if cfg.connectTimeout <= 0 {
		cfg.connectTimeout = 250 * time.Millisecond
	}
	return cfg, nil
}

func millis(ms float64) time.Duration {
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}
