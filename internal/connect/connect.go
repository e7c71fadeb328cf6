// Package connect begins TCP connections in a way that stands interrupted system calls.
package connect

import (
	"context"
	"errors"
	"net/netip"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// mostInterrupted bounds how often a connect in a row may be interrupted before
// it counts as failed, for a want of this machine.
const mostInterrupted = 16

// Begin is a net.Dialer's ControlContext that begins to connect the
// socket itself. Package net takes EINTR of connect(2) for a connection that is
// under way, and waits for it until its time is over, also where the call was
// interrupted before it did anything. Its own connect then finds the connection
// under way, or made.
func Begin(_ context.Context, _, address string, raw syscall.RawConn) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil || to.Addr().Zone() != "" {
		return err // an address with a zone is left to package net, which knows the interfaces
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		for range mostInterrupted {
			if failed = unix.Connect(int(fd), sockaddr(to)); !errors.Is(failed, unix.EINTR) {
				break
			}
		}
	})
	if err != nil {
		return err
	}
	switch failed {
	case nil, unix.EINPROGRESS, unix.EALREADY, unix.EISCONN:
		return nil
	}
	return os.NewSyscallError("connect", failed)
}

// sockaddr is an address as a system call takes it.
func sockaddr(to netip.AddrPort) unix.Sockaddr {
	if ip := to.Addr(); ip.Is4() {
		return &unix.SockaddrInet4{Port: int(to.Port()), Addr: ip.As4()}
	}
	return &unix.SockaddrInet6{Port: int(to.Port()), Addr: to.Addr().As16()}
}
