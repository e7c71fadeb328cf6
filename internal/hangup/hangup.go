// Package hangup catches SIGHUP as early in a program's life as Go allows: until
// it is caught it ends the process, and a supervisor that reloads its fleet may
// hit one that has just been started.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals gets each SIGHUP from the program's initialization on. One that comes
// while another waits there is dropped, as both ask for the same.
var Signals = make(chan os.Signal, 1)

func init() { signal.Notify(Signals, syscall.SIGHUP) }
