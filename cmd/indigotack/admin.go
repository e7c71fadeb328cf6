package main

import (
	"context"
	"log/slog"
	"net"
	"time"

	"indigotack/internal/admin"
	"indigotack/internal/node"
)

// adminAgainAfter is between tries of operators' address while it can't be had.
const adminAgainAfter = 100 * time.Millisecond

// serveAdmin answers operators of a platform's node at their own address, where
// it has one, until stop is called. An address that can't be had is tried again
// and again; the node serves clients all the same.
func serveAdmin(n *node.Node, cfg node.Config, log *slog.Logger) (stop func()) {
	if cfg.Admin == "" {
		return func() {}
	}
	if err := cfg.CheckAdmin(); err != nil {
		log.Error("no address for operators", "err", err)
		return func() {}
	}
	if cfg.AdminOnListen() {
		log.Info("operators are answered where clients connect", "address", cfg.Listen)
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ln := listenForOperators(ctx, cfg.Admin, log)
		if ln == nil {
			return
		}
		srv := n.ServeOperators(ln, admin.Answers{Orders: n.Operators("admin"), Counters: n.Counters()})
		<-ctx.Done()
		srv.Close()
	}()
	return func() {
		cancel()
		<-ended
	}
}

// listenForOperators listens at an address as soon as it can be had. It is nil if ctx ends before.
func listenForOperators(ctx context.Context, address string, log *slog.Logger) net.Listener {
	said := ""
	for {
		ln, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
		if err == nil {
			log.Info("operators are answered", "address", ln.Addr())
			return ln
		}
		if ctx.Err() == nil && err.Error() != said {
			said = err.Error()
			log.Error("the address for operators can't be had, it is tried again", "err", err)
		}
		select {
		case <-time.After(adminAgainAfter):
		case <-ctx.Done():
			return nil
		}
	}
}
