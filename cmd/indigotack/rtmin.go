//go:build cgo

package main

/*
#include <signal.h>

static volatile sig_atomic_t rtmin_count;

static void count_rtmin(int number) { rtmin_count++; }

static int catch_rtmin(void) {
	struct sigaction action = {0};
	action.sa_handler = count_rtmin;
	action.sa_flags = SA_ONSTACK | SA_RESTART;
	return sigaction(SIGRTMIN, &action, 0);
}

static int rtmin_seen(void) { return rtmin_count; }
*/
import "C"

import (
	"context"
	"os"
	"syscall"
	"time"
)

const (
	realTimeMinimum = syscall.Signal(34) // SIGRTMIN of the C library, which Go leaves to the system
	rtminEvery      = time.Second        // between looks at whether it came
)

// logRealTimeMinimum catches the one real-time signal that Go does not let a
// program catch, which would end the process, and passes it to note, several that
// come within rtminEvery as one, until ctx ends.
func logRealTimeMinimum(ctx context.Context, note func(os.Signal)) {
	if C.catch_rtmin() != 0 {
		return // as in a system without such signals
	}
	go func() {
		ticker := time.NewTicker(rtminEvery)
		defer ticker.Stop()
		for seen := C.int(0); ; {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
			if now := C.rtmin_seen(); now != seen {
				seen = now
				note(realTimeMinimum)
			}
		}
	}()
}
