// Command coordinator runs one of the three or five coordinators that decide which members of
// a fleet may go out of service (package rollout). It is configured by a file such as
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

// Run creates the disk of a coordinator of a new set.
func (c *initCommand) Run() error {
	cfg, err := coordinator.LoadConfig(c.Config)
	if err != nil {
		return err
	}
	return coordinator.Init(cfg)
}

type runCommand struct {
	daemon.ConfigFile
	Join bool `help:"On an empty directory, wait until this coordinator replaces another one."`
}

// Run runs a coordinator until SIGTERM or SIGINT.
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

// Run checks a configuration file.
func (c *checkCommand) Run() error {
	_, err := coordinator.LoadConfig(c.Config)
	return err
}

func main() {
	var commands struct {
		Init  initCommand  `cmd:"" help:"Create the disk of a coordinator of a new set."`
		Run   runCommand   `cmd:"" help:"Run a coordinator."`
		Check checkCommand `cmd:"" help:"Check a configuration file and print every fault with its line."`
	}
	daemon.Main("coordinator", "Decides which members of a fleet may go out of service.", &commands)
}
