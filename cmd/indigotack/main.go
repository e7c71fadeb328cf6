// Command indigotack is one load-balancing proxy node. It reads the file that
// GW_CONFIG names, serves until SIGTERM or SIGINT, finishes what is open and
// exits with 0.
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
	cfg, err := node.LoadConfig(os.Getenv("GW_CONFIG"))
	if err != nil {
		return err
	}
	// The collector works harder well before the machine's limit kills the node.
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 3 / 4)
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return err
	}
	return node.New(cfg, slog.New(slog.NewTextHandler(os.Stderr, nil)).With("node", cfg.Name)).Run(ctx, ln)
}
