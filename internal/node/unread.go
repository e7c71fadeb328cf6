package node

import (
	"cmp"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
)

// Reasons why something was refused or closed before a request was taken.
const (
	unreadMalformed   = "malformed"
	unreadNoHost      = "host_missing"
	unreadManyHosts   = "host_twice"
	unreadBadHost     = "host_malformed"
	unreadLongHead    = "head_too_long"
	unreadCoding      = "transfer_coding"
	unreadVersion     = "http_version"
	unreadExpectation = "expectation"
	unreadHalf        = "half_head"
	unreadManyFields  = "fields_too_many"
	unreadSilent      = "silent"
	unreadNoRoom      = "no_room"
	unreadBehind      = "behind_last_answer"
	unreadDatagram    = "datagram"
	unreadStream      = "stream"
)

// unreadReasons are the reasons of net/http's own answers, by what these say.
var unreadReasons = []struct{ says, reason string }{
	{"missing required Host", unreadNoHost},
	{"malformed Host", unreadBadHost},
	{" 417 ", unreadExpectation},
	{" 431 ", unreadLongHead},
	{" 501 ", unreadCoding},
	{" 505 ", unreadVersion},
}

// unreadReason is the reason of an answer that net/http gives by itself.
func unreadReason(answer string) string {
	for _, r := range unreadReasons {
		if strings.Contains(answer, r.says) {
			return r.reason
		}
	}
	return unreadMalformed
}

// Why a connection was closed that no request was taken from.
const (
	whyGaveWay  = "gave way to others"
	whyStopped  = "the node ends or is drained"
	whyTimeOver = "its time was over"
	whyTimeout  = "nothing more came in time"
	whyLeft     = "its client closed it"
	whyBroken   = "its client broke it"
	whyClosed   = "closed by the node"
	whyNoRoom   = "no room for a connection"
	whyDatagram = "nodes tell one another nothing here"
)

// whyEnded is why a connection is closed whose last read ended with err.
func whyEnded(err error) string {
	var failed net.Error
	switch {
	case err == nil:
		return whyClosed
	case errors.Is(err, io.EOF):
		return whyLeft
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &failed) && failed.Timeout():
		return whyTimeout
	}
	return whyBroken
}

// unreadLog counts what was refused or closed before a request was taken, and
// keeps what the newest began with of those that said something, with the reason.
// It is safe for concurrent use.
type unreadLog struct {
	mu     sync.Mutex
	count  int
	newest string
}

func (u *unreadLog) add(said, reason string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.count++
	if said != "" {
		u.newest = reason + ": " + said
	}
}

// take gives the number since it was last called, and the newest; "" if none has
// said anything.
func (u *unreadLog) take() (count int, newest string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	count, newest = u.count, u.newest
	u.count, u.newest = 0, ""
	return count, newest
}

// noteUnread counts and logs what was refused or closed before a request was taken.
func (o *observer) noteUnread(client net.Addr, said, why, reason string) {
	o.unread.add(said, reason)
	o.note(slog.LevelInfo, "refused or closed before a request was taken", eventUnread, reason, "client", client, "said", said, "why", why)
}

// endFor ends it for a reason, as end does.
func (c *clientConn) endFor(why string) {
	c.why = why
	c.end()
}

// accountAtEnd has the log tell of a connection that ends before a request was
// taken from what came on it. The caller holds of.mu.
func (c *clientConn) accountAtEnd() {
	if c.bodyLeft == 0 {
		c.head.read(c.unheard)
	}
	reason := unreadHalf
	switch {
	case !c.head.begun():
		reason = unreadSilent
	case c.last:
		reason = unreadBehind
	}
	if c.accounted || reason == unreadSilent && c.carried {
		return
	}
	c.account(cmp.Or(c.why, whyEnded(c.readErr)), reason)
}

// account has the log tell of what was refused or closed. The caller holds of.mu.
func (c *clientConn) account(why, reason string) {
	c.accounted = true
	c.of.noteUnread(c.RemoteAddr(), c.head.text(), why, reason)
}

// refusedFor is why net/http refuses what came, by its answer and by what is known
// of the head. The caller holds of.mu.
func (c *clientConn) refusedFor(answer []byte) (why, reason string) {
	said, _, _ := strings.Cut(string(answer), "\r\n")
	why, reason = shortened(strings.TrimPrefix(said, "HTTP/1.1 ")), unreadReason(said)
	switch {
	case c.readErr != nil:
		return whyEnded(c.readErr), unreadHalf
	case c.head.hosts > 1:
		return why, unreadManyHosts
	}
	return why, reason
}
