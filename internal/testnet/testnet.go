// Package testnet has what tests of several packages need of this machine's
// network: listeners that close with a test, free addresses, paths of sockets.
package testnet

import (
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Listen listens on a free port of loopback until the test ends.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	return ListenAt(t, "tcp", "127.0.0.1:0")
}

// ListenAt listens at an address until the test ends.
func ListenAt(t testing.TB, network, address string) net.Listener {
	t.Helper()
	ln, err := net.Listen(network, address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// Serve has each connection of a listener answered in a goroutine of its own,
// with its number from 0 on, and closed then.
func Serve(ln net.Listener, answer func(number int, c net.Conn)) {
	for i := 0; ; i++ {
		c, err := ln.Accept()
		if err != nil {
			return // closed
		}
		go func() {
			defer c.Close()
			answer(i, c)
		}()
	}
}

// FreeAddress is one of loopback where nobody listened a moment ago.
func FreeAddress(t testing.TB) string {
	t.Helper()
	ln := Listen(t)
	defer ln.Close()
	return ln.Addr().String()
}

// SocketPath is a path for a Unix socket in a folder of the test's own. It is
// short enough for one, as that of the test's usual folder may not be.
func SocketPath(t testing.TB) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "sockets")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return filepath.Join(dir, "s.sock")
}

// Eventually waits until something holds, and fails if it does not in time.
func Eventually(t testing.TB, most time.Duration, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(most); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("not within %v: %s", most, what)
		}
	}
}

// Receive waits for a value, and fails if none comes in time.
func Receive[T any](t testing.TB, most time.Duration, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(most):
		t.Fatal("waited in vain for " + what)
	}
	return v
}
