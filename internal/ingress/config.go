// Package ingress runs one gateway of package choice on real sockets. It turns
// I/O on connections into the gateway's events and carries out the gateway's
// actions; it makes no decisions itself.
//
// The reactor's goroutine owns the gateway (loop.go), the connections of clients
// (front.go, client.go) and those to backends (package upstream). discovery.go
// runs on goroutines of its own and passes lists to that goroutine through
// inbox.go. command.go parses and encodes the protocol.
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

// Limits are the resources that the deployment grants one ingress.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Shares of the limits. The rest of the memory is left to socket buffers and the
// runtime, the rest of the descriptors to discovery, the listener and files.
const (
	heapShare          = 0.6
	garbagePercent     = 100 // with more, memory grows for minutes until the first collection
	clientShare        = 0.55
	backendShare       = 0.35
	requestConnDivisor = 3  // clients open at most a third of the descriptors as connections for requests
	adminDivisor       = 24 // the admin address gets this fraction of the descriptors
	defaultSockets     = 1024
	defaultMemory      = 192
)

// Apply sets the Go runtime's limits for the whole process.
func (l Limits) Apply() {
	runtime.GOMAXPROCS(max(1, int(l.Cores)))
	debug.SetMemoryLimit(int64(heapShare * float64(l.MemoryMB) * (1 << 20)))
	debug.SetGCPercent(garbagePercent)
}

// CapToRlimit lowers the number of descriptors to the process's RLIMIT_NOFILE, if that is less.
func (l Limits) CapToRlimit() Limits {
	var rlimit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &rlimit); err == nil && rlimit.Cur < uint64(l.Sockets) {
		slog.Warn("RLIMIT_NOFILE is below the number of descriptors in the configuration", "told", l.Sockets, "limit", rlimit.Cur)
		l.Sockets = int(rlimit.Cur)
	}
	return l
}

func (l Limits) maxClientConns() int { return max(1, int(clientShare*float64(l.Sockets))) }

// admissionLimits are the limits on client connections. Clients hold at most a third of the descriptors
// for requests and can't open a connection beyond that. So past half of it, idle connections are closed,
// the sooner the fewer places are left.
func (l Limits) admissionLimits() admission.Limits {
	return admission.Defaults(l.maxClientConns(), l.Sockets/requestConnDivisor)
}

// maxAdminConns limits the connections to the admin address. The shares of
// clients and backends leave room for them.
func (l Limits) maxAdminConns() int { return max(4, l.Sockets/adminDivisor) }

func (l Limits) maxBackendConns() int { return max(1, int(backendShare*float64(l.Sockets))) }

// Config is the start-up configuration of one ingress.
type Config struct {
	Name              string
	Listen            string
	Discovery         string
	InheritedListener string // the listening socket inherited from the platform, by its address in the reactor; empty without one
	HandoverDir       string // the folder of handover.Lock, shared with the previous and the next process; empty without them
	Admin             string // the admin address, "host:port"; empty without one
	Seed              uint64
	Limits            Limits
	CachedMembers     MemberList // from the configuration, used until discovery answers; may be out of date
	Choice            choice.Config
	Options           config.Options // beyond the platform's configuration; empty without an options file
	TrustThreshold    int            // upstream.Config.TrustThreshold; 0 for its default

	classNames         []string
	classes            map[string]int // name to index, as the next three
	plans              map[string]int
	zones              map[string]int
	kinds              map[string]int
	backendIdleTimeout time.Duration // after which a backend closes an idle connection
	connectTimeout     time.Duration
}

// LoadConfig reads the file named by NODE_CONFIG. The other NODE_ variables
// provide what the file omits.
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
		return Config{}, fmt.Errorf("configuration %s: the listen or discovery address is missing", path)
	}
	if inherited := getenv("NODE_PASSED_SOCKET"); inherited != "" {
		fd, err := strconv.Atoi(inherited)
		if err != nil || fd <= 2 {
			return Config{}, fmt.Errorf("NODE_PASSED_SOCKET: %q is not the number of an inherited descriptor", inherited)
		}
		cfg.InheritedListener, cfg.HandoverDir = reactor.InheritedAddress(fd), getenv("TMPDIR")
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
	// Settings that only the socket layer needs: names in the protocol and connection limits.
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
