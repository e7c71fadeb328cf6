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
	l, ok := c.(*limitedConn)
	if !ok || l.raw == nil {
		return ctx
	}
	ctx, l.over = context.WithCancel(ctx)
	return context.WithValue(ctx, clientKey{}, client{l.raw})
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
// connection, also behind something that it sent and nobody has read. The
// server's own reader hears of that too, but only when it runs, and of nothing
// behind the first byte that follows a request.
func (c client) left() bool {
	if c.raw == nil {
		return false
	}
	over := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0 && err == nil: // what it said says nothing of what came behind it
			over = hungUp(fd)
		case n == 0 && err == nil:
			over = true
		default:
			over = !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
		}
	})
	return over || err != nil
}

// hungUp tells whether the other side of a connection has ended its sending,
// whatever of that is still unread.
func hungUp(fd uintptr) bool {
	one := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(one, 0)
	return err == nil && n == 1 && one[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
