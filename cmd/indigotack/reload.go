package main

import (
	"context"
	"log/slog"
	"os"
	"time"
)

// A file that can't be taken up at a signal may be half written, so it is read
// again for a while.
const (
	rereadAfter = 100 * time.Millisecond
	rereadFor   = 3 * time.Second
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

// reload takes up the file, now or within rereadFor. Another signal meanwhile
// gives it that time anew.
func reload(ctx context.Context, signals <-chan os.Signal, log *slog.Logger, take func() error) {
	err := take()
	if err == nil {
		return
	}
	log.Error("not reloaded, what was in force stays so; the file is read again for a while", "err", err, "for", rereadFor)
	ticker := time.NewTicker(rereadAfter)
	defer ticker.Stop()
	for until := time.Now().Add(rereadFor); time.Now().Before(until); {
		select {
		case <-ticker.C:
			if take() == nil {
				return
			}
		case <-signals:
			until = time.Now().Add(rereadFor)
		case <-ctx.Done():
			return
		}
	}
}
