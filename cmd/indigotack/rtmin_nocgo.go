//go:build !cgo

package main

import (
	"context"
	"os"
)

// logRealTimeMinimum can't catch the signal without the C library: it ends the process.
func logRealTimeMinimum(context.Context, func(os.Signal)) {}
