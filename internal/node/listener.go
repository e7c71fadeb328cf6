package node

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// A client's request comes with its connection or right behind it.
const (
	speakTime = 250 * time.Millisecond // a connection silent for longer is the first to give way
	spareTime = 20 * time.Millisecond  // one that has just come is spared
)

// limited holds accepted connections to a number, so that clients leave
// descriptors for the servers.
type limited struct {
	net.Listener
	most int

	mu     sync.Mutex
	conns  int
	unused map[*limitedConn]unused // that carry no request
}

// unused tells of a connection without a request.
type unused struct {
	since  time.Time
	spoken bool // it has carried one before
}

func limitListener(ln net.Listener, most int) *limited {
	return &limited{Listener: ln, most: most, unused: map[*limitedConn]unused{}}
}

// Accept makes room by closing a connection that carries no request: clients
// that hold connections without using them must not shut out others. With
// none of those it closes the new one, as a client that is turned away can go
// elsewhere and one that waits unheard can't.
func (l *limited) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.take() {
			return &limitedConn{Conn: c, of: l}, nil
		}
		c.Close()
	}
}

func (l *limited) take() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns >= l.most && !l.evict(time.Now()) {
		return false
	}
	l.conns++
	return true
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
	defer l.mu.Unlock()
	switch {
	case s == http.StateNew || s == http.StateIdle:
		if !lc.closed {
			l.unused[lc] = unused{since: time.Now(), spoken: s == http.StateIdle}
		}
	default:
		delete(l.unused, lc)
	}
}

// evict closes the connection that is least likely to be missed: of those that
// have been silent for long, else of those between requests, else of those that
// have not spoken yet, the one that has been so longest.
func (l *limited) evict(now time.Time) bool {
	var worst *limitedConn
	var worstRank int
	for c, u := range l.unused {
		age, rank := now.Sub(u.since), 1
		switch {
		case u.spoken:
		case age >= speakTime:
			rank = 0
		case age >= spareTime:
			rank = 2
		default:
			continue
		}
		if worst == nil || rank < worstRank || rank == worstRank && u.since.Before(l.unused[worst].since) {
			worst, worstRank = c, rank
		}
	}
	if worst == nil {
		return false
	}
	worst.end()
	worst.Conn.Close()
	return true
}

type limitedConn struct {
	net.Conn
	of     *limited
	closed bool // guarded by of.mu
}

// end gives the slot back, once. The caller holds of.mu.
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
