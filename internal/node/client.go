package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"indigotack/internal/lifecycle"
)

// client is a client's connection, asked about what this process can't know by
// itself: it may have stood still, or had no CPU, while requests came and
// clients gave up. The kernel did not.
type client struct{ conn *clientConn } // nil where there is none to ask

// raw is the client's socket; nil where there is none to ask.
func (c client) raw() syscall.RawConn {
	if c.conn == nil {
		return nil
	}
	return c.conn.raw
}

// accepted is when the connection was; zero where there is none to ask.
func (c client) accepted() time.Time {
	if c.conn == nil {
		return time.Time{}
	}
	return c.conn.accepted
}

// extra tells whether the connection is one that is only heard.
func (c client) extra() bool { return c.conn != nil && c.conn.of.isExtra(c.conn) }

// admitted tells whether a request may be taken on the connection.
func (c client) admitted() bool { return c.conn == nil || c.conn.of.promote(c.conn) }

// take notes that a request has been taken, which is answered from here.
func take(r *http.Request) {
	if c := clientOf(r); c.conn != nil {
		c.conn.take(r.ContentLength)
	}
}

// framed is what the head of the request that was taken last said of its body's end,
// and whether that is known.
func (c client) framed() (said framed, known bool) {
	if c.conn == nil {
		return framed{}, false
	}
	c.conn.of.mu.Lock()
	defer c.conn.of.mu.Unlock()
	return c.conn.taking, true
}

// answeredLast notes that the client's connection ends with the answer that comes next.
func (c client) answeredLast() {
	if c.conn != nil {
		c.conn.answeredLast()
	}
}

// owe notes that a whole request has been read from the client.
func (c client) owe() {
	if c.conn != nil {
		c.conn.owe()
	}
}

// spend notes an answer of the node itself.
func (c client) spend(cost int) {
	if c.conn != nil {
		c.conn.spend(cost)
	}
}

type clientKey struct{}

// withClient keeps a connection with its requests, for http.Server's ConnContext.
func withClient(ctx context.Context, c net.Conn) context.Context {
	conn, ok := c.(*clientConn)
	if !ok || conn.raw == nil {
		return ctx
	}
	ctx, conn.cancel = context.WithCancel(ctx)
	return context.WithValue(ctx, clientKey{}, client{conn})
}

func clientOf(r *http.Request) client {
	c, _ := r.Context().Value(clientKey{}).(client)
	return c
}

// spokeAt is when the last bytes came that the client has sent so far: for a
// request that has just been read, when it arrived, however long it lay
// unread. It is now where the kernel can't tell.
func (c client) spokeAt() time.Time {
	at, _ := c.spoke()
	return at
}

// kernelTick is the most by which the kernel's count of milliseconds is off.
const kernelTick = 10 * time.Millisecond

// unknownSlack is that of a time of which the kernel tells nothing.
const unknownSlack = time.Hour

// spoke is spokeAt, and by how much earlier or later it may have been.
func (c client) spoke() (at time.Time, slack time.Duration) {
	now, raw := time.Now(), c.raw()
	if raw == nil {
		return now, unknownSlack
	}
	var info *unix.TCPInfo
	err := raw.Control(func(fd uintptr) {
		info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || info == nil {
		return now, unknownSlack
	}
	return now.Add(-time.Duration(info.Last_data_recv) * time.Millisecond), kernelTick + time.Since(now)
}

// order is what is known of when the order came that has just been read.
func (c client) order() (o lifecycle.Order) {
	if o.Came, o.Slack = c.spoke(); c.conn == nil {
		return o
	}
	if watch := c.conn.of.pauses; watch != nil {
		o.Came, o.Slack = watch.came(time.Now())
	}
	c.conn.of.mu.Lock()
	defer c.conn.of.mu.Unlock()
	if !c.conn.awaited {
		o.Queue, o.Accepted = c.conn.of, c.conn.accepted
	}
	return o
}

// name is the client as the log has it: its address, or the process at the other
// end of a Unix socket.
func (c client) name(address string) string {
	if address != "" && address != "@" || c.raw() == nil {
		return address
	}
	var peer *unix.Ucred
	err := c.raw().Control(func(fd uintptr) {
		peer, _ = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
	})
	if err != nil || peer == nil {
		return address
	}
	return fmt.Sprintf("process %d of user %d", peer.Pid, peer.Uid)
}

// left tells whether the client has ended its sending, or broken the
// connection, also behind something that it sent and nobody has read. The
// server's own reader hears of that too, but only when it runs, and of nothing
// behind the first byte that follows a request.
func (c client) left() bool {
	unread, over := peek(c.raw())
	if unread { // what it said says nothing of what came behind it
		over = polled(c.raw(), unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR|unix.POLLNVAL) != 0
	}
	return over
}

// rawOf is the socket of a connection or a listener, nil where there is none to ask.
func rawOf(c any) syscall.RawConn {
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			return raw
		}
	}
	return nil
}

// peek tells, and takes nothing, whether bytes lie unread on a connection,
// else whether the other side has ended its sending or the connection is
// broken. Of no socket it tells neither.
func peek(raw syscall.RawConn) (unread, over bool) {
	if raw == nil {
		return false, false
	}
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		for errors.Is(err, syscall.EINTR) {
			n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		}
		unread = n > 0 && err == nil
		over = n == 0 && err == nil || err != nil && !errors.Is(err, syscall.EAGAIN)
	})
	return unread, over || err != nil
}

// polled is what the kernel tells of a socket at once: POLLNVAL if it is closed, 0 of none.
func polled(raw syscall.RawConn, events int16) int16 {
	if raw == nil {
		return 0
	}
	one := []unix.PollFd{{Events: events}}
	if err := raw.Control(func(fd uintptr) {
		one[0].Fd = int32(fd)
		for {
			if _, err := unix.Poll(one, 0); !errors.Is(err, unix.EINTR) {
				return // any other error leaves nothing told
			}
		}
	}); err != nil {
		return unix.POLLNVAL
	}
	return one[0].Revents
}
