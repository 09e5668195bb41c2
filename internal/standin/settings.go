package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
)

// Settings is a format string for the settings of one ingress with one plan and two
// classes, lookup (free) and payment (single_shot). Its arguments are the time in
// milliseconds after which backends close idle connections, and the plan's quota rate
// and burst.
const Settings = `{"balancers":1,"self_index":0,"zone":0,"zones":["a"],"kinds":["std"],"tick_ms":2,"discovery":"push",
 "bounds":{"cancelling":true,"conn_idle_ms":%d,"connect_timeout_ms":5000,"max_retry_after_ms":1000,"probing":true,
  "retry_after":true,"second_copies":false,"try_limit":4},
 "invariants":{"cold_from":0.2,"cold_ms":1000,"drain_grace_ms":500,"fall_ms":1500,"tip_multiple":3},
 "report":{"fields":["rif","lat_ms"],"how":"pull"},
 "request_classes":[
  {"name":"lookup","aim_ms":600,"give_up_ms":20000,"effect":"free","dedup_scope":"all","worth":2,"window_ms":5000},
  {"name":"payment","aim_ms":600,"give_up_ms":20000,"effect":"single_shot","dedup_scope":"all","worth":6,"window_ms":5000}],
 "specifics":{"max_units":1,"use_period_ms":500},
 "tiers_of_service":[{"name":"basic","quota_rate":%g,"burst":%g,"price":1}],"weights":"nominal"}`

// Options returns the options of a request under Settings, with a deadline of ms milliseconds.
func Options(class string, ms int) string {
	return fmt.Sprintf("c=%s,t=basic,d=%d,units=1,spread=1,first=0", class, ms)
}

// Lookup returns the words of a lookup request under Settings.
func Lookup(customer uint64, id string, ms int) []string {
	return []string{"Q.ASK", fmt.Sprintf("%016x", customer), id, Options("lookup", ms)}
}

// Payment returns the words of a payment request under Settings, which must not be executed
// twice.
func Payment(customer uint64, id string, ms int) []string {
	return []string{"Q.DO", fmt.Sprintf("%016x", customer), id, Options("payment", ms), "BODY"}
}

// Node is the configuration of one ingress in the platform's format.
type Node struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    Limits          `json:"limits"`
	Settings  json.RawMessage `json:"settings"`
	Known     json.RawMessage `json:"known,omitempty"` // a member list in discovery's format
	Files     []*os.File      `json:"-"`               // inherited by the program, from descriptor 3 on

	// Log receives each line that the program writes to stderr, if not nil.
	Log io.Writer `json:"-"`

	// Prepare is called with the command before its start, if not nil.
	Prepare func(*exec.Cmd) error `json:"-"`
}

// Limits are the resource limits of one ingress.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Write writes the configuration to a file in dir and returns its path. It replaces an
// existing file atomically.
func (n Node) Write(dir string) (string, error) {
	data, err := json.Marshal(n)
	if err != nil {
		return "", fmt.Errorf("configuration: %w", err)
	}
	path := filepath.Join(dir, n.Name+".json")
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		return "", err
	}
	return path, os.Rename(path+".new", path)
}
