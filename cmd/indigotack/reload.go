package main

import (
	"context"
	"log/slog"
	"os"
	"time"
)

// A file that can't be taken up at a signal may be half written, or out of reach
// for a while. It is read again until it can be, as the signal was an order:
// often at first, and then each second, which a file that stays wrong costs little.
const (
	rereadSoon  = 100 * time.Millisecond
	rereadLater = time.Second
	soon        = 3 * time.Second // after the last signal
)

// reloadOn takes up a file at each signal, until ctx ends. take reads it and
// takes it up; what was in force stays so as long as take fails.
func reloadOn(ctx context.Context, signals <-chan os.Signal, log *slog.Logger, take func() error) {
	for {
		select {
		case <-signals:
			reload(ctx, signals, log, take)
		case <-ctx.Done():
			return
		}
	}
}

// reload takes up the file, now or as soon as it can be.
func reload(ctx context.Context, signals <-chan os.Signal, log *slog.Logger, take func() error) {
	err := take()
	if err == nil {
		return
	}
	log.Error("not reloaded, what was in force stays so; the file is read again until it can be taken up", "err", err)
	for signaled := time.Now(); ; {
		wait := rereadSoon
		if time.Since(signaled) > soon {
			wait = rereadLater
		}
		select {
		case <-time.After(wait):
			if take() == nil {
				log.Info("the file has been taken up after all")
				return
			}
		case <-signals:
			signaled = time.Now()
		case <-ctx.Done():
			return
		}
	}
}
