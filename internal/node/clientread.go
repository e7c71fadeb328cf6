package node

import (
	"errors"
	"io"
	"net"
	"slices"
	"syscall"
	"time"

	"indigotack/internal/neterr"
)

// Read notes that a request has begun in the same instant in which it takes
// bytes from the connection. net/http tells of a request only when it
// has read its head whole, and what closes the connection until then would
// cost the client its answer: to the client the request was taken.
func (c *clientConn) Read(b []byte) (n int, err error) {
	if c.raw == nil || len(b) == 0 {
		return c.Conn.Read(b)
	}
	err = neterr.Retry(answerRetryTime, func() (err error) {
		n, err = c.readRaw(b)
		return err
	})
	return n, err
}

// readRaw gives what came before and was not passed on, or asks the kernel for bytes
// and waits for them, once.
func (c *clientConn) readRaw(b []byte) (n int, err error) {
	c.awaitTurn()
	if n = c.readKept(b); n > 0 {
		return n, nil
	}
	short := shortRead(b)
	waited := c.raw.Read(func(fd uintptr) bool {
		c.of.mu.Lock()
		defer c.of.mu.Unlock()
		if c.closed {
			err = net.ErrClosed
			return true
		}
		for {
			n, err = syscall.Read(int(fd), short)
			switch {
			case errors.Is(err, syscall.EINTR):
			case errors.Is(err, syscall.EAGAIN):
				c.awaited = c.awaited || !c.carried && !c.head.begun()
				return false
			case n <= 0:
				return true
			default:
				if n = c.pass(short, n, len(b) == 1); n > 0 {
					return true
				}
			}
		}
	})
	switch {
	case waited != nil:
		err = waited
	case err != nil: // as a reset tells, or the close here, that nobody is left to be told of a bad request
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
	case n == 0:
		err = io.EOF
	}
	if err != nil {
		c.failed(err)
		return 0, err
	}
	return n, nil
}

// awaitTurn holds up a connection that has had more answers of the node itself than its
// part, before its next request.
func (c *clientConn) awaitTurn() {
	c.of.mu.Lock()
	_, idle := c.of.idle[c]
	wait := c.turns.Wait(time.Now())
	c.of.mu.Unlock()
	if idle && wait > 0 {
		c.of.count(eventConnection, "held_up")
		time.Sleep(wait)
	}
}

// spend notes an answer of the node itself.
func (c *clientConn) spend(cost int) {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	c.turns.Spend(time.Now(), cost)
}

// readKept reads what came before and is not passed on yet; 0 where there is nothing.
func (c *clientConn) readKept(b []byte) (n int) {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	if len(c.rest) > 0 {
		n = copy(b, c.rest)
		c.rest = c.rest[n:]
		return n
	}
	if len(c.unheard) == 0 || c.closed {
		return 0
	}
	n = copy(b, c.unheard)
	if c.unheard = c.unheard[n:]; len(c.unheard) == 0 {
		c.unheard = nil
	}
	return c.pass(b, n, len(b) == 1)
}

// pass follows the next n bytes of b, maybe for one who asked for one byte alone,
// and gives how many are to be passed on; 0: they are dropped, as the request was
// refused. The caller holds of.mu.
func (c *clientConn) pass(b []byte, n int, oneAsked bool) int {
	if c.refused {
		return 0
	}
	c.heardExtra(b[:n])
	return c.heard(b, n, oneAsked)
}

// keepBehind has what follows the first used bytes of b for the reads behind these.
// The caller holds of.mu.
func (c *clientConn) keepBehind(b []byte, used int) int {
	if used < len(b) {
		c.unheard = slices.Concat(b[used:], c.unheard)
	}
	return used
}

// failed notes what a read ended with.
func (c *clientConn) failed(err error) {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	c.readErr = err
}

// heard notes that the first n bytes of b have been read, maybe by one who asked
// for one byte alone, and gives how many are to be passed on: more where a host
// was inserted. The caller holds of.mu.
func (c *clientConn) heard(b []byte, n int, oneAsked bool) int {
	if idle, is := c.of.idle[c]; is { // of a request that is not whole yet
		if !idle.Begun && c.of.headTime > 0 {
			c.Conn.SetReadDeadline(time.Now().Add(c.of.headTime)) // fails only on a closed connection
		}
		idle.Since, idle.Begun = time.Now(), true
		c.of.idle[c] = idle
		return c.withHost(b, n)
	}
	if !oneAsked {
		return c.heardBody(b, n)
	}
	// net/http asks for one byte while a request is in hand, to hear of its
	// client's going. Now it has one and looks no further.
	c.ahead = true
	c.head.read(b[:n])
	if !c.watched {
		c.watched = true
		go c.watch()
	}
	return n
}

// heardBody notes that the first n bytes of b belong to a body, as far as it goes.
func (c *clientConn) heardBody(b []byte, n int) int {
	if c.bodyLeft <= 0 { // where it ends is net/http's to say
		return n
	}
	used := c.keepBehind(b[:n], int(min(int64(n), c.bodyLeft)))
	c.bodyLeft -= int64(used)
	return used
}

// withHost follows the head of which the first n bytes of b are the next, as far as it
// goes. It refuses one of too many fields, and completes an operator's call that names
// no host, which net/http would refuse. It gives how many bytes of b are to be passed on.
func (c *clientConn) withHost(b []byte, n int) int {
	at, used := c.head.read(b[:n])
	if c.head.fields > mostFields {
		c.refuse(tooManyFields, unreadManyFields)
		return 0
	}
	used = c.keepBehind(b[:n], used)
	if at < 0 || !c.of.completesCalls {
		return used
	}
	whole := slices.Concat(b[:at], []byte(insertHost), b[at:used])
	n = copy(b, whole)
	c.rest = whole[n:]
	return n
}
