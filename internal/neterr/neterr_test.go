package neterr

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

func TestOriginOf(t *testing.T) {
	wrapped := func(err error) error {
		return fmt.Errorf("dialling: %w", &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", err)})
	}
	for _, c := range []struct {
		err  error
		want Origin
	}{
		{nil, Unknown}, {errors.New("other"), Unknown}, {os.ErrDeadlineExceeded, Unknown}, {net.ErrClosed, Unknown},
		{wrapped(syscall.ENETUNREACH), Local}, {wrapped(syscall.EADDRNOTAVAIL), Local}, {wrapped(syscall.EMFILE), Local}, {syscall.EINTR, Local},
		{wrapped(syscall.EHOSTUNREACH), Path}, {wrapped(syscall.ETIMEDOUT), Path},
		{wrapped(syscall.ECONNREFUSED), Peer}, {wrapped(syscall.ECONNRESET), Peer},
	} {
		if got := OriginOf(c.err); got != c.want {
			t.Errorf("%v is of %v, want %v", c.err, got, c.want)
		}
	}
	if !NoRoute(wrapped(syscall.ENETUNREACH)) || NoRoute(wrapped(syscall.ENOBUFS)) || NoRoute(nil) {
		t.Error("a missing route is told wrong")
	}
	if !OutOfDescriptors(wrapped(syscall.ENFILE)) || OutOfDescriptors(wrapped(syscall.ENOBUFS)) {
		t.Error("a want of descriptors is told wrong")
	}
}
