package node

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"indigotack/internal/neterr"
)

// A client's request comes with its connection or right behind it.
const (
	speakTime = 250 * time.Millisecond // a connection silent for longer is the first to give way
	spareTime = 20 * time.Millisecond  // one that has just come is spared; and a new one waits so long for room
	lookEvery = 50 * time.Millisecond  // how often a client that said too much is looked after
)

// After a failed accept the next one waits, twice as long each time.
const (
	leastAcceptWait = time.Millisecond
	mostAcceptWait  = 50 * time.Millisecond
)

// limited holds accepted connections to a number, so that clients leave
// descriptors for the servers.
type limited struct {
	net.Listener
	*observer
	most int

	mu      sync.Mutex
	conns   int
	leaving bool                    // connections end as soon as they carry nothing
	unused  map[*limitedConn]unused // that carry no whole request
}

// unused tells of a connection without a request. Closing one costs no client
// an answer, unless a part of a request has been read from it.
type unused struct {
	since  time.Time // or the last part of a request came
	spoken bool      // it has carried one before
	begun  bool      // a part of one has been read
}

func limitListener(ln net.Listener, most int, o *observer) *limited {
	return &limited{Listener: ln, observer: o, most: most, unused: map[*limitedConn]unused{}}
}

// Accept makes room by closing a connection that carries no request: clients
// that hold connections without using them must not shut out others. With
// none of those it closes the new one, as a client that is turned away can go
// elsewhere and one that waits unheard can't.
func (l *limited) Accept() (net.Conn, error) {
	for {
		c, err := l.acceptNext()
		if err != nil {
			return nil, err
		}
		room := l.take()
		for until := time.Now().Add(spareTime); !room && time.Now().Before(until); room = l.take() {
			time.Sleep(time.Millisecond) // some connection may be about to have its answer
		}
		if room {
			return &limitedConn{Conn: c, raw: rawOf(c), of: l}, nil
		}
		l.observer.note(slog.LevelWarn, "no room for a connection", eventConnection, "no_room")
		c.Close()
	}
}

// acceptNext accepts a connection. No failure of accept says that the listener
// is no good any more, as accept(2) passes on what became of a connection that
// was still pending, and what this machine lacks just now; only its own close
// ends the loop. Where descriptors are wanting it frees one.
func (l *limited) acceptNext() (net.Conn, error) {
	for wait := leastAcceptWait; ; wait = min(2*wait, mostAcceptWait) {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		l.observer.note(slog.LevelWarn, "accepting a connection failed", eventAccept, neterr.OriginOf(err).String(), "err", err)
		if neterr.OutOfDescriptors(err) {
			l.evictOne()
		}
		time.Sleep(wait)
	}
}

// evictOne closes the connection that is least likely to be missed, if any is idle.
func (l *limited) evictOne() {
	l.mu.Lock()
	worst := l.evict(time.Now())
	l.mu.Unlock()
	if worst != nil {
		l.observer.note(slog.LevelInfo, "connection evicted", eventConnection, "evicted")
		worst.Conn.Close()
	}
}

func (l *limited) take() bool {
	l.mu.Lock()
	var worst *limitedConn
	if l.conns >= l.most {
		worst = l.evict(time.Now())
	}
	room := l.conns < l.most
	if room {
		l.conns++
	}
	l.mu.Unlock()
	if worst != nil {
		l.observer.note(slog.LevelInfo, "connection evicted", eventConnection, "evicted")
		worst.Conn.Close()
	}
	return room
}

// open counts the connections.
func (l *limited) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns
}

// note follows which connections carry requests, for http.Server's ConnState.
func (l *limited) note(c net.Conn, s http.ConnState) {
	lc, ok := c.(*limitedConn)
	if !ok {
		return
	}
	l.mu.Lock()
	over := false
	switch {
	case s == http.StateIdle && lc.ahead && !lc.closed:
		lc.ahead = false // the next request has begun
		l.unused[lc] = unused{since: time.Now(), spoken: true, begun: true}
	case s == http.StateNew || s == http.StateIdle:
		if !lc.closed {
			l.unused[lc] = unused{since: time.Now(), spoken: s == http.StateIdle}
		}
		if over = l.leaving && s == http.StateIdle && !lc.pending(); over {
			lc.end()
		}
	default:
		delete(l.unused, lc)
	}
	l.mu.Unlock()
	if over {
		lc.Conn.Close()
	}
}

// leave takes the connections that are already made, closes the listener, and
// lets those end that carry nothing. What the kernel has accepted counts as
// taken; it is waited for while more allows.
func (l *limited) leave(more func() bool) {
	for polled(rawOf(l.Listener), unix.POLLIN)&unix.POLLIN != 0 && more() {
		time.Sleep(time.Millisecond)
	}
	l.Listener.Close()
	l.mu.Lock()
	l.leaving = true
	l.mu.Unlock()
	l.closeUnused(false)
}

// closeUnused closes the connections that carry nothing. One on which a
// request has come that has not been read yet is left, as its answer is owed;
// and so is, unless all are to go, one that is new, as its request comes right
// behind it.
func (l *limited) closeUnused(all bool) {
	var over []*limitedConn
	l.mu.Lock()
	for c, u := range l.unused {
		if !u.begun && (all || u.spoken || time.Since(u.since) >= speakTime) && !c.pending() {
			c.end()
			over = append(over, c)
		}
	}
	l.mu.Unlock()
	for _, c := range over {
		l.observer.count(eventConnection, "idle_at_shutdown")
		c.Conn.Close()
	}
}

// evict gives up the connection that is least likely to be missed, for the
// caller to close once it has let go of mu: of those that have been silent for
// long, else of those between requests, else of those that have not spoken
// yet, else of those that stopped in the middle of a request, the one that has
// been so longest. It is nil if each carries something.
func (l *limited) evict(now time.Time) *limitedConn {
	var worst *limitedConn
	var worstRank int
	for c, u := range l.unused {
		age, rank := now.Sub(u.since), 1
		switch {
		case u.begun:
			if rank = 3; age < speakTime { // the rest may have come
				continue
			}
		case u.spoken:
		case age >= speakTime:
			rank = 0
		case age >= spareTime:
			rank = 2
		default:
			continue
		}
		if (worst == nil || rank < worstRank || rank == worstRank && u.since.Before(l.unused[worst].since)) && !c.pending() {
			worst, worstRank = c, rank
		}
	}
	if worst != nil {
		worst.end()
	}
	return worst
}

type limitedConn struct {
	net.Conn
	raw     syscall.RawConn
	of      *limited
	over    context.CancelFunc // ends the connection's requests; set before they are read
	closed  bool               // guarded by of.mu, as the rest is
	ahead   bool               // the first byte of the next request has been read
	watched bool
}

// Read notes that a request has begun in the same instant in which it takes
// bytes from the connection. net/http tells of a request only when it
// has read its head whole, and what closes the connection until then would
// cost the client its answer: to the client the request was taken.
func (c *limitedConn) Read(b []byte) (n int, err error) {
	if c.raw == nil || len(b) == 0 {
		return c.Conn.Read(b)
	}
	waited := c.raw.Read(func(fd uintptr) bool {
		c.of.mu.Lock()
		defer c.of.mu.Unlock()
		if c.closed {
			err = net.ErrClosed
			return true
		}
		for {
			n, err = syscall.Read(int(fd), b)
			if !errors.Is(err, syscall.EINTR) {
				break
			}
		}
		if errors.Is(err, syscall.EAGAIN) {
			return false
		}
		if u, unused := c.of.unused[c]; n > 0 && unused {
			u.since, u.begun = time.Now(), true
			c.of.unused[c] = u
		}
		if n == 1 && len(b) == 1 {
			// net/http asks for one byte while a request is in hand, to hear
			// of its client's going. Now it has one and looks no further.
			c.ahead = true
			if !c.watched {
				c.watched = true
				go c.watch()
			}
		}
		return true
	})
	switch {
	case waited != nil:
		return 0, waited
	case err != nil: // as a reset tells, or the close here, that nobody is left to be told of a bad request
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// watch ends the requests of a client that goes after it has sent more than
// the request in hand, until that has its answer.
func (c *limitedConn) watch() {
	for client := (client{c.raw}); ; time.Sleep(lookEvery) {
		c.of.mu.Lock()
		c.watched = c.ahead && !c.closed
		on := c.watched
		c.of.mu.Unlock()
		if !on {
			return
		}
		if client.left() {
			c.over()
			return
		}
	}
}

// pending tells whether something has come that has not been read.
func (c *limitedConn) pending() bool {
	unread, _ := glance(c.raw)
	return unread
}

// end gives the slot back, once, and nothing is read from then on. The caller
// holds of.mu, and closes the connection when it has let go of it: a close
// waits for whoever reads, and a reader for mu.
func (c *limitedConn) end() {
	if !c.closed {
		c.closed = true
		c.of.conns--
		delete(c.of.unused, c)
	}
}

func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	c.end()
	return err
}

// CloseWrite ends the sending alone. net/http needs it to let a client read an
// answer to a request of which it has not sent all.
func (c *limitedConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}
