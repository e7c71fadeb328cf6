// Command indigotack is one load-balancing proxy node. It reads the file that
// GW_CONFIG names, serves until SIGTERM or SIGINT, finishes what is open and
// exits with 0. On SIGHUP it reads the file again.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"indigotack/internal/node"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "indigotack:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// Caught from here to the end: by itself the signal would end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	path := os.Getenv("GW_CONFIG")
	cfg, err := node.LoadConfig(path)
	if err != nil {
		return err
	}
	// The collector works harder well before the machine's limit kills the node.
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 3 / 4)
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("node", cfg.Name)
	n := node.New(cfg, log)
	go func() {
		for range reload {
			if cfg, err := node.LoadConfig(path); err != nil {
				log.Error("not reloaded, the configuration before stays in force", "err", err)
			} else {
				n.Reload(cfg)
			}
		}
	}()
	return n.Run(ctx, ln)
}
