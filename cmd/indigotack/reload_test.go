package main

import (
	"os"
	"strings"
	"syscall"
	"testing"

	"indigotack/internal/testnet"
)

// TestReloadOfWhatIsNoFile: at SIGHUP the configuration's path is a pipe that
// nobody writes to, a directory, or a link to nowhere. The node serves on, and
// takes up the file that comes in its place, also at the next signals.
func TestReloadOfWhatIsNoFile(t *testing.T) {
	for how, put := range map[string]func(path string) error{
		"pipe":            func(path string) error { return syscall.Mkfifo(path, 0o600) },
		"directory":       func(path string) error { return os.Mkdir(path, 0o700) },
		"link to nowhere": func(path string) error { return os.Symlink(path+".none", path) },
	} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			listen := testnet.FreeAddress(t)
			config := func(discovery string) string {
				return nodeConfig{listen: listen, discovery: discovery, server: listen}.String()
			}
			cmd := program(t, config(listen))
			said := start(t, cmd)
			awaitReady(t, listen)
			path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "GW_CONFIG=")
			if err := os.Remove(path); err != nil {
				t.Fatal(err)
			}
			if err := put(path); err != nil {
				t.Fatal(err)
			}
			send(t, cmd, syscall.SIGHUP)
			awaitLine(t, said, "not reloaded")
			awaitReady(t, listen)
			if err := os.Remove(path); err != nil {
				t.Fatal(err)
			}
			for range 2 {
				moved := testnet.FreeAddress(t)
				if err := os.WriteFile(path, []byte(config(moved)), 0o600); err != nil {
					t.Fatal(err)
				}
				send(t, cmd, syscall.SIGHUP)
				awaitLine(t, said, `msg="discovery has moved" node=n0 address=`+moved)
			}
		})
	}
}
