package main

import (
	"context"
	"log/slog"
	"net"
	"time"

	"indigotack/internal/neterr"
)

// The address may still be held by the process before, and this machine may lack
// something for a moment.
const (
	listenAgainAfter = 20 * time.Millisecond
	listenFor        = 10 * time.Second
)

// listen listens at an address, which it waits for as long as what is wrong may
// pass, but no longer than listenFor or ctx.
func listen(ctx context.Context, address string, log *slog.Logger) (net.Listener, error) {
	until := time.Now().Add(listenFor)
	for tries := 1; ; tries++ {
		ln, err := net.Listen("tcp", address)
		if err == nil || neterr.OriginOf(err) != neterr.Local || time.Now().After(until) {
			return ln, err
		}
		if tries == 1 {
			log.Warn("the address can't be had yet", "err", err)
		}
		select {
		case <-time.After(listenAgainAfter):
		case <-ctx.Done():
			return nil, err
		}
	}
}
