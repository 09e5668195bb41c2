// Command wickarch is one ingress: it takes requests of clients over RESP,
// decides with package choice and passes them on to backends. It is configured
// by the file that NODE_CONFIG names, and with -config by a file of our own for
// what the platform does not tell (deploy/wickarch.toml). With -follow (deploy/follower.toml)
// it follows the configuration that coordinators give out.
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
	file := flag.String("config", "", "a file such as deploy/wickarch.toml, for what the platform's configuration does not tell")
	follow := flag.String("follow", "", "a file such as deploy/follower.toml, to follow the configuration that coordinators give out")
	check := flag.Bool("check", false, "check these files, print every fault with its line, and end")
	flag.Parse()
	var own config.Options
	if *file != "" {
		var err error
		if own, err = config.Load(*file); err != nil {
			return err
		}
	}
	var followed follower.Config
	if *follow != "" {
		var err error
		if followed, err = follower.LoadConfig(*follow); err != nil {
			return err
		}
	}
	if *check {
		if *file == "" && *follow == "" {
			return errors.New("-check needs -config FILE or -follow FILE")
		}
		return nil
	}
	// Taken from the first moment on: by default SIGHUP ends the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	// Until the process has ended: were the signals let go when the last answer is written, a second SIGTERM
	// would end an ingress that has done all it owes as if it had crashed.
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE) // a log that nobody reads any more
	cfg, err := atStart(ctx, func() (ingress.Config, error) { return ingress.LoadConfig(os.Getenv) })
	if errors.Is(err, context.Canceled) {
		return nil
	}
	if err != nil {
		return err
	}
	cfg.Options = own
	cfg.Limits = cfg.Limits.CapToRlimit()
	cfg.Limits.Apply()
	srv, err := atStart(ctx, func() (*ingress.Server, error) { return ingress.Listen(cfg) })
	if errors.Is(err, context.Canceled) {
		return nil
	}
	if err != nil {
		return err
	}
	if *follow != "" {
		f := follower.New(followed, srv.Ingress, slog.Default())
		srv.RunInBackground(func(ctx context.Context) { f.Run(ctx, ingress.Configurable{Server: srv}) })
	}
	slog.Info("serving", "name", cfg.Name, "address", srv.Addr())
	go followSignals(reload, func() error {
		next, err := ingress.LoadConfig(os.Getenv)
		if err != nil {
			return err
		}
		slog.Info("configuration read again", "discovery", next.Discovery)
		srv.Reload(next)
		return nil
	})
	return srv.Serve(ctx)
}
