package main

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"indigotack/internal/admin"
	"indigotack/internal/node"
)

// adminAgainAfter is between tries of operators' address while it can't be had.
const adminAgainAfter = 100 * time.Millisecond

// serveAdmin answers operators of a platform's node at addresses of their own
// until stop is called. An address that can't be had is tried again
// and again; the node serves clients all the same.
func serveAdmin(n *node.Node, addresses []node.OperatorAddress, log *slog.Logger) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var servers sync.WaitGroup
	for _, a := range addresses {
		servers.Go(func() {
			ln := listenForOperators(ctx, a, log)
			if ln == nil {
				return
			}
			srv := n.ServeOperators(ln, a.Name, admin.Answers{Orders: n.Operators(a.Name), Counters: n.Counters()})
			<-ctx.Done()
			srv.Close()
		})
	}
	return func() {
		cancel()
		servers.Wait()
	}
}

// listenForOperators listens at an address as soon as it can be had. It is nil if ctx ends before.
func listenForOperators(ctx context.Context, a node.OperatorAddress, log *slog.Logger) net.Listener {
	said := ""
	for {
		ln, err := new(net.ListenConfig).Listen(ctx, "tcp", a.Address)
		if err == nil {
			log.Info("operators are answered", "address", ln.Addr(), "told_by", a.Name)
			return ln
		}
		if ctx.Err() == nil && err.Error() != said {
			said = err.Error()
			log.Error("the address for operators can't be had, it is tried again", "told_by", a.Name, "err", err)
		}
		select {
		case <-time.After(adminAgainAfter):
		case <-ctx.Done():
			return nil
		}
	}
}
