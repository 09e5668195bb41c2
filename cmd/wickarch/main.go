// Command wickarch is an ingress: it accepts requests of clients over RESP,
// selects a backend for each with package choice and forwards it. It reads the
// configuration file named by NODE_CONFIG and, with -config, a file of options that
// the platform's configuration does not contain (deploy/wickarch.toml). With -follow
// (deploy/follower.toml) it follows the configuration that coordinators publish.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"wickarch/internal/config"
	"wickarch/internal/follower"
	"wickarch/internal/ingress"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "wickarch:", err)
		os.Exit(1)
	}
}

func run() error {
	optionsFile := flag.String("config", "", "options that the platform's configuration does not contain: a file such as deploy/wickarch.toml")
	followerFile := flag.String("follow", "", "follow the configuration that coordinators publish: a file such as deploy/follower.toml")
	check := flag.Bool("check", false, "check these files, print each error with its line, and exit")
	flag.Parse()
	var options config.Options
	if *optionsFile != "" {
		var err error
		if options, err = config.Load(*optionsFile); err != nil {
			return err
		}
	}
	var followerConfig follower.Config
	if *followerFile != "" {
		var err error
		if followerConfig, err = follower.LoadConfig(*followerFile); err != nil {
			return err
		}
	}
	if *check {
		if *optionsFile == "" && *followerFile == "" {
			return errors.New("-check needs -config FILE or -follow FILE")
		}
		return nil
	}
	// Registered before startup begins: the default action of SIGHUP terminates the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	// The signals stay caught until the process exits. If they were released once the last response is written,
	// a second SIGTERM would kill an ingress that has answered every request, which would look like a crash.
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE) // writes to a log pipe without a reader raise it
	cfg, err := retryAtStart(ctx, func() (ingress.Config, error) { return ingress.LoadConfig(os.Getenv) })
	if errors.Is(err, context.Canceled) {
		return nil
	}
	if err != nil {
		return err
	}
	cfg.Options = options
	cfg.Limits = cfg.Limits.CapToRlimit()
	cfg.Limits.Apply()
	srv, err := retryAtStart(ctx, func() (*ingress.Server, error) { return ingress.Listen(cfg) })
	if errors.Is(err, context.Canceled) {
		return nil
	}
	if err != nil {
		return err
	}
	if *followerFile != "" {
		f := follower.New(followerConfig, srv.Ingress, slog.Default())
		srv.RunInBackground(func(ctx context.Context) { f.Run(ctx, ingress.Configurable{Server: srv}) })
	}
	slog.Info("serving", "name", cfg.Name, "address", srv.Addr())
	go reloadOnSignals(reload, func() error {
		next, err := ingress.LoadConfig(os.Getenv)
		if err != nil {
			return err
		}
		slog.Info("configuration reloaded", "discovery", next.Discovery)
		srv.Reload(next)
		return nil
	})
	return srv.Serve(ctx)
}
