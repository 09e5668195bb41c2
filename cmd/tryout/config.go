package main

import (
	_ "embed"
	"errors"
	"fmt"

	"github.com/BurntSushi/toml"
)

//go:embed default.toml
var defaults string

type config struct {
	Seconds int `toml:"seconds"`
	Ingress struct {
		Cores    float64 `toml:"cores"`
		MemoryMB int     `toml:"memory_mb"`
		Sockets  int     `toml:"sockets"`
	} `toml:"ingress"`
	Plan struct {
		Rate  float64 `toml:"quota_rate"`
		Burst float64 `toml:"burst"`
	} `toml:"plan"`
	Clients struct {
		PerSecond  float64 `toml:"requests_per_second"`
		Payments   float64 `toml:"payments"`
		DeadlineMS int     `toml:"deadline_ms"`
		Customers  int     `toml:"customers"`
		Greedy     float64 `toml:"greedy"`
		Idle       int     `toml:"idle"`
	} `toml:"clients"`
	Backends []struct {
		Takes [2]int `toml:"takes_ms"`
	} `toml:"backend"`
}

// parse parses and checks a configuration. An error names the line, or the key that is out
// of range or unknown.
func parse(text string) (c config, err error) {
	meta, err := toml.Decode(text, &c)
	if err != nil {
		var at toml.ParseError
		if errors.As(err, &at) {
			return c, errors.New(at.ErrorWithPosition())
		}
		return c, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return c, fmt.Errorf("unknown key %s", unknown[0])
	}
	for _, check := range []struct {
		key string
		ok  bool
	}{
		{"seconds, 1 to 600", c.Seconds >= 1 && c.Seconds <= 600},
		{"ingress.cores, above 0", c.Ingress.Cores > 0},
		{"ingress.memory_mb, 16 or more", c.Ingress.MemoryMB >= 16},
		{"ingress.sockets, 64 to 10,000", c.Ingress.Sockets >= 64 && c.Ingress.Sockets <= 10_000},
		{"plan.quota_rate and plan.burst, above 0", c.Plan.Rate > 0 && c.Plan.Burst > 0},
		{"clients.requests_per_second, above 0 to 5000", c.Clients.PerSecond > 0 && c.Clients.PerSecond <= 5000},
		{"clients.payments, 0 to 1", c.Clients.Payments >= 0 && c.Clients.Payments <= 1},
		{"clients.deadline_ms, 50 to 20,000", c.Clients.DeadlineMS >= 50 && c.Clients.DeadlineMS <= 20_000},
		{"clients.customers, 1 to 100,000", c.Clients.Customers >= 1 && c.Clients.Customers <= 100_000},
		{"clients.greedy, 0 to below 1", c.Clients.Greedy >= 0 && c.Clients.Greedy < 1},
		{"clients.idle, 0 to 5000", c.Clients.Idle >= 0 && c.Clients.Idle <= 5000},
		{"one to 50 of [[backend]]", len(c.Backends) >= 1 && len(c.Backends) <= 50},
	} {
		if !check.ok {
			return c, fmt.Errorf("want %s", check.key)
		}
	}
	for i, b := range c.Backends {
		if b.Takes[0] < 0 || b.Takes[1] < b.Takes[0] || b.Takes[1] > 10_000 {
			return c, fmt.Errorf("want takes_ms of backend %d to be two times in ascending order, 0 to 10,000", i+1)
		}
	}
	return c, nil
}
