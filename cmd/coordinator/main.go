// Command coordinator is one of the three or five that decide who of a fleet may go
// out of service (package rollout). It is configured by a file such as
// deploy/coordinator.toml.
package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"

	"wickarch/internal/coordinator"
	"wickarch/internal/daemon"
)

type initCommand struct{ daemon.ConfigFile }

// Run makes the disk of a coordinator of a new set.
func (c *initCommand) Run() error {
	cfg, err := coordinator.LoadConfig(c.Config)
	if err != nil {
		return err
	}
	return coordinator.Init(cfg)
}

type runCommand struct {
	daemon.ConfigFile
	Join bool `help:"On an empty folder, wait to be put in the place of another coordinator."`
}

// Run runs a coordinator until SIGTERM.
func (c *runCommand) Run() error { return daemon.Run(c.Config, coordinator.LoadConfig, c.serve) }

func (c *runCommand) serve(ctx context.Context, cfg coordinator.Config, log *slog.Logger) error {
	var seed [8]byte
	rand.Read(seed[:])
	server, err := coordinator.Listen(cfg, c.Join, binary.BigEndian.Uint64(seed[:]), log)
	if err != nil {
		return err
	}
	log.Info("serving", "coordinator", cfg.ID, "address", server.Addr())
	return server.Serve(ctx)
}

type checkCommand struct{ daemon.ConfigFile }

// Run checks a configuration.
func (c *checkCommand) Run() error {
	_, err := coordinator.LoadConfig(c.Config)
	return err
}

func main() {
	var commands struct {
		Init  initCommand  `cmd:"" help:"Make the disk of a coordinator of a new set."`
		Run   runCommand   `cmd:"" help:"Run a coordinator."`
		Check checkCommand `cmd:"" help:"Check a configuration, and tell every fault with its line."`
	}
	daemon.Main("coordinator", "Decides who of a fleet may go out of service.", &commands)
}
