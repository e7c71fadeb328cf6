package node

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"syscall"
	"time"

	"indigotack/internal/lifecycle"
	"indigotack/internal/neterr"
	"indigotack/internal/turns"
)

// answerRetryTime is for which a read of a request or a write of an answer is
// tried again that failed for a want of this machine, such as buffers.
const answerRetryTime = 200 * time.Millisecond

// disconnectCheck is how often a client that said too much is looked after.
const disconnectCheck = 50 * time.Millisecond

// What a client gets whose request is refused before it was taken.
const (
	lastAnswer    = "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	unavailable   = "HTTP/1.1 503 Service Unavailable" + lastAnswer             // it has not come whole when it has to
	tooManyFields = "HTTP/1.1 431 Request Header Fields Too Large" + lastAnswer // its head has over mostFields
)

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	raw       syscall.RawConn
	of        *limited
	accepted  time.Time
	cancel    context.CancelFunc // ends the connection's requests; set before they are read
	closed    bool               // guarded by of.mu, as the rest is
	due       time.Time          // since when its answer is due; zero: it is not
	overSince time.Time          // since when what has not come whole is waited for no longer
	refused   bool               // what comes is read and dropped
	owed      bool               // a whole request has been read, and nothing of its answer is written
	ahead     bool               // the first byte of the next request has been read
	whole     bool               // a request's whole head has been read, and nothing of its answer is written
	watched   bool
	awaited   bool // its first bytes came only after it was accepted

	head      head   // of the request that is being read
	rest      []byte // of what was read and heard, for the next reads
	unheard   []byte // what came behind a head or a body, for the reads behind these
	bodyLeft  int64  // bytes of the present request's body that are to be read still; -1: that is not known
	taking    framed // what the head said of the request that was taken last
	turns     turns.Bucket
	last      bool   // it ends with the answer that comes next
	taken     bool   // a request has been taken since the connection was last idle
	carried   bool   // a request has been taken from it
	answered  bool   // an answer has been begun on it
	accounted bool   // what was refused or closed of it before a request was taken is in the log
	why       string // it is closed; "": for what its last read ended with
	readErr   error  // of the last read
}

// watch ends the requests of a client that goes after it has sent more than
// the request in hand, until that has its answer.
func (c *clientConn) watch() {
	for client := (client{c}); ; time.Sleep(disconnectCheck) {
		c.of.mu.Lock()
		c.watched = c.ahead && !c.closed
		on := c.watched
		c.of.mu.Unlock()
		if !on {
			return
		}
		if client.left() {
			c.cancel()
			return
		}
	}
}

// pending tells whether something has come that has not been read. The caller holds
// of.mu.
func (c *clientConn) pending() bool {
	if len(c.unheard) > 0 {
		return true
	}
	unread, _ := peek(c.raw)
	return unread
}

// end gives the slot back, once, and nothing is read from then on. The caller
// holds of.mu, and closes the connection when it has let go of it: a close
// waits for whoever reads, and a reader for mu.
func (c *clientConn) end() {
	if !c.closed {
		c.closed = true
		c.accountAtEnd()
		c.rest, c.unheard = nil, nil // whoever serves it may hold it for a while still
		c.of.tellRoom()
		delete(c.of.conns, c)
		delete(c.of.extras, c)
		delete(c.of.lingering, c)
		delete(c.of.idle, c)
	}
}

// framed is what a request's head says of its body's end.
type framed struct{ lengths, codings int }

// take notes that a request has been read, which is answered from here, and the
// length of its body; -1: it is not known.
func (c *clientConn) take(length int64) {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	c.taken, c.carried, c.bodyLeft = true, true, length
	c.taking = framed{c.head.lengths, c.head.codings}
	c.head.reset()
	if length == 0 {
		c.unheard = bytes.TrimLeft(c.unheard, "\r\n") // empty lines between requests count for nothing
	}
}

// Close closes the connection. One on which an answer is owed should not be,
// unless its client has gone.
func (c *clientConn) Close() error {
	gone := client{c}.left()
	err := c.Conn.Close()
	c.of.reserve.hold()
	c.of.spare.takeBack() // it may have gone for this connection
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	if c.owed && !gone {
		c.of.violation(lifecycle.ClosedUnanswered, "client", c.RemoteAddr())
	}
	c.end()
	return err
}

// answeredLast notes that the connection ends with the answer that comes next.
func (c *clientConn) answeredLast() {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	c.last = true
}

// owe notes that a whole request has been read.
func (c *clientConn) owe() {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	c.owed = true
}

// Write notes that an answer has begun. Where no request was taken it is a
// refusal of net/http's.
func (c *clientConn) Write(b []byte) (int, error) {
	n, err := neterr.WriteAll(c.Conn, b, answerRetryTime)
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	if !c.taken && !c.accounted {
		c.account(c.refusedFor(b))
	}
	if n > 0 {
		c.owed, c.whole, c.answered = false, false, true
		if c.last {
			c.linger()
		}
		c.tellExtra()
	}
	return n, err
}

// noteDue notes whether its answer is due in a phase. The caller holds of.mu.
func (c *clientConn) noteDue(now time.Time, phase lifecycle.Phase) {
	switch {
	case phase < lifecycle.Expired:
		c.due = time.Time{}
	case c.due.IsZero():
		c.due = now
	}
}

// endWait ends the wait for a request that has not come whole: one whose head is
// still coming is refused here, and of one whose body is the reader fails. The
// caller holds of.mu.
func (c *clientConn) endWait(now time.Time) {
	if c.overSince.IsZero() {
		c.overSince = now
	}
	switch {
	case !c.of.idle[c].Begun:
		c.Conn.SetReadDeadline(now) // fails only on a closed connection
	case !c.refused && lifecycle.MayRefuse(now.Sub(c.overSince)):
		c.refuse(unavailable, unreadHalf)
	}
}

// refuse answers in the place of the server a request whose head has not come whole,
// or is not to be taken apart, and drops what else comes. The caller holds of.mu, and
// nobody else writes, as the server still reads.
func (c *clientConn) refuse(answer, reason string) {
	c.refused, c.accounted = true, true
	c.unheard = nil
	c.of.unread.add(c.head.text(), reason)
	c.of.observer.note(slog.LevelInfo, "request refused before it was taken", eventRequest, "refused_"+reason, "client", c.RemoteAddr(), "said", c.head.text())
	c.Conn.SetWriteDeadline(time.Now().Add(refuseWriteTime))
	if _, err := c.Conn.Write([]byte(answer)); err == nil {
		c.closeWrite()
	}
	c.Conn.SetReadDeadline(time.Now().Add(dregsTime)) // for the client to read it
}

// refuseWriteTime is for a refusal to fit into the kernel's buffer, where it does at once.
const refuseWriteTime = time.Millisecond

// CloseWrite ends the sending alone. net/http needs it to let a client read an
// answer to a request of which it has not sent all.
func (c *clientConn) CloseWrite() error {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	return c.closeWrite()
}

// linger notes that the connection is kept only for its client to read the last
// answer. The caller holds of.mu.
func (c *clientConn) linger() {
	if _, lingers := c.of.lingering[c]; !lingers && !c.closed {
		c.of.lingering[c] = time.Now()
	}
}

// closeWrite is CloseWrite for a caller that holds of.mu.
func (c *clientConn) closeWrite() error {
	c.linger()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}
