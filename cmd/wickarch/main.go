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
	return srv.Serve(ctx)
}
