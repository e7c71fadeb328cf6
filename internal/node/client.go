package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// client is a client's connection, asked about what this process can't know by
// itself: it may have stood still, or had no CPU, while requests came and
// clients gave up. The kernel did not.
type client struct{ raw syscall.RawConn } // nil where there is no socket to ask

type clientKey struct{}

// withClient keeps a connection with its requests, for http.Server's ConnContext.
func withClient(ctx context.Context, c net.Conn) context.Context {
	if l, ok := c.(*limitedConn); ok {
		c = l.Conn
	}
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			return context.WithValue(ctx, clientKey{}, client{raw})
		}
	}
	return ctx
}

func clientOf(r *http.Request) client {
	c, _ := r.Context().Value(clientKey{}).(client)
	return c
}

// spokeAt is when the last bytes came that the client has sent so far: for a
// request that has just been read, when it arrived, however long it lay
// unread. It is now where the kernel can't tell.
func (c client) spokeAt() time.Time {
	now := time.Now()
	if c.raw == nil {
		return now
	}
	var info *unix.TCPInfo
	err := c.raw.Control(func(fd uintptr) {
		info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || info == nil {
		return now
	}
	return now.Add(-time.Duration(info.Last_data_recv) * time.Millisecond)
}

// left tells whether the client has ended its sending, or broken the
// connection. The server's own reader hears of that too, but only when it runs.
func (c client) left() bool {
	if c.raw == nil {
		return false
	}
	over := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		over = n == 0 && err == nil || err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	})
	return over || err != nil
}
