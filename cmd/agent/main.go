// Command agent monitors one member of a fleet, starts its program, and takes it out of service
// when the coordinators grant that (package rollout). It is configured by a file such as
// deploy/agent.toml.
package main

import (
	"context"
	"log/slog"

	"wickarch/internal/agent"
	"wickarch/internal/daemon"
)

type runCommand struct{ daemon.ConfigFile }

// Run runs an agent until SIGTERM or SIGINT. The member's program continues to run.
func (c *runCommand) Run() error { return daemon.Run(c.Config, agent.LoadConfig, serve) }

func serve(ctx context.Context, cfg agent.Config, log *slog.Logger) error {
	log = log.With("member", cfg.Name)
	a, err := agent.New(cfg, log)
	if err != nil {
		return err
	}
	log.Info("watching")
	a.Run(ctx)
	return nil
}

type checkCommand struct{ daemon.ConfigFile }

// Run checks a configuration file.
func (c *checkCommand) Run() error {
	_, err := agent.LoadConfig(c.Config)
	return err
}

func main() {
	var commands struct {
		Run   runCommand   `cmd:"" help:"Run an agent."`
		Check checkCommand `cmd:"" help:"Check a configuration file and print every fault with its line."`
	}
	daemon.Main("agent", "Monitors one member of a fleet and starts and stops its program.", &commands)
}
