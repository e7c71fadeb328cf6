// Command indigoctl is the operator's tool: it writes applications' files,
// checks, compares and explains them, and shows a sidecar at work. It exits
// with 0 if all is sound, 1 if there are mistakes, 2 if it was called wrongly.
package main

import (
	"os"

	"indigotack/internal/ctl"
	"indigotack/internal/rig"
)

func main() {
	if rig.Role() { // one of a rehearsal's own processes
		return
	}
	os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr))
}
