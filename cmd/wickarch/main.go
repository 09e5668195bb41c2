// Command wickarch is one ingress: it takes requests of clients over RESP,
// decides with package choice and passes them on to backends. It is configured
// by the file that NODE_CONFIG names.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"curlewsail/internal/ingress"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "wickarch:", err)
		os.Exit(1)
	}
}

func run() error {
	// Taken from the first moment on: by default SIGHUP ends the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	cfg, err := ingress.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	cfg.Limits.Apply()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	srv, err := ingress.Listen(cfg)
	if err != nil {
		return err
	}
	slog.Info("serving", "name", cfg.Name, "address", srv.Addr().String())
	go func() {
		for range reload {
			if next, err := ingress.LoadConfig(os.Getenv); err != nil {
				slog.Error("the configuration stays as it was", "error", err)
			} else {
				slog.Info("configuration read again", "discovery", next.Discovery)
				srv.Reload(next)
			}
		}
	}()
	return srv.Serve(ctx)
}
