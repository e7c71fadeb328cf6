// Command indigoload is the open-loop load generator. It exits with 0 if the
// run is valid, 1 on an error, 2 if it was called wrongly, and 4 if the
// generator itself could not keep up, so that the run says nothing of the target.
package main

import (
	"os"

	"indigotack/internal/loadctl"
)

func main() { os.Exit(loadctl.Main(os.Args[1:], os.Stdout, os.Stderr)) }
