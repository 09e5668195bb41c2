package tomlfile

import (
	"fmt"
	"testing"
	"time"
)

// Each address that is not host:port is a fault with the line of its key.
func TestAddresses(t *testing.T) {
	var config struct {
		Peers []string `toml:"peers"`
	}
	file, faults := Decode("\npeers = [\"a:1\", \"b\", \"[::1]:2\", \"::1\"]\n", &config)
	if file == nil {
		t.Fatal(faults)
	}
	file.CheckAddresses("peers", config.Peers)
	want := `[2: peers: host:port each, not "b" 2: peers: host:port each, not "::1"]`
	if got := fmt.Sprint(file.Faults()); got != want {
		t.Errorf("faults %s, want %s", got, want)
	}
}

// A value that is left out is the usual one; one below 0 stays so, to be refused.
func TestMilliseconds(t *testing.T) {
	for value, want := range map[int]time.Duration{0: time.Minute, 250: 250 * time.Millisecond, -1: -time.Millisecond} {
		if got := Milliseconds(value, time.Minute); got != want {
			t.Errorf("%d is %v, want %v", value, got, want)
		}
	}
}
