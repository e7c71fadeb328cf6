package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// stopSignals end the program in order, once. SIGQUIT is one, as supervisors
// send it for that; Go's dump of all goroutines is had by SIGABRT.
var stopSignals = []os.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGQUIT}

// loggedSignals are caught to be logged. But for those that stop or reload they
// change nothing. SIGURG and SIGPROF are the Go runtime's own.
var loggedSignals = append([]os.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGALRM, syscall.SIGVTALRM,
	syscall.SIGTSTP, syscall.SIGCONT, syscall.SIGXCPU, syscall.SIGXFSZ, syscall.SIGIO, syscall.SIGPWR}, stopSignals...)

// Real-time signals that Go can catch. For the one before them there is
// logRealTimeMinimum.
const (
	firstRealTime = syscall.Signal(35)
	lastRealTime  = syscall.Signal(64)
)

// untilTerminated gives a context that ends when the program is told to stop.
func untilTerminated() (ctx context.Context, stop context.CancelFunc) {
	return signal.NotifyContext(context.Background(), stopSignals...)
}

// logSignals passes signals to note until ctx ends, and keeps those from
// stopping the process that a terminal sends to one in its background.
func logSignals(ctx context.Context, note func(os.Signal)) {
	signal.Ignore(syscall.SIGTTIN, syscall.SIGTTOU) // one that is caught has the write to the terminal begun again for ever
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, loggedSignals...)
	for s := firstRealTime; s <= lastRealTime; s++ {
		signal.Notify(signals, s)
	}
	logRealTimeMinimum(ctx, note)
	go func() {
		for {
			select {
			case s := <-signals:
				note(s)
			case <-ctx.Done():
				return
			}
		}
	}()
}
