package node

import (
	"bytes"
	"errors"
	"slices"
	"time"

	"indigotack/internal/lifecycle"
)

// extraConns is how many extra connections there are at most. They are accepted
// where no ordinary one can be, so that operators and health checks are answered
// in a crowd and clients refused in words. They come out of the descriptors that
// appconfig.SplitDescriptors leaves to neither clients nor servers.
const extraConns = 8

var (
	errNoRoom = errors.New("this node has no room for further connections")
	headEnd   = []byte("\r\n\r\n")
)

// admitExtra counts a connection as an extra one if there is room for it, or an
// older one gives way. It ends when its time is over.
func (l *limited) admitExtra(c *clientConn) bool {
	l.mu.Lock()
	var oldest *clientConn
	if len(l.extras) >= l.mostExtra {
		oldest = l.evictExtra(time.Now())
	}
	room := len(l.extras) < l.mostExtra
	if room {
		l.conns[c], l.extras[c] = true, true
	}
	l.mu.Unlock()
	l.closeEvicted(oldest)
	if room {
		time.AfterFunc(lifecycle.ExtraTime, func() { l.endExtra(c) })
	}
	return room
}

// endExtra carries out what is due on an extra connection, until it has ended or
// is an ordinary one.
func (l *limited) endExtra(c *clientConn) {
	l.endDue(slices.Values([]*clientConn{c}))
	if l.isExtra(c) {
		time.AfterFunc(stopTick, func() { l.endExtra(c) })
	}
}

// evictExtra gives up the oldest extra connection that may give way, as evict
// does an ordinary one. It is nil if there is none.
func (l *limited) evictExtra(now time.Time) *clientConn {
	var oldest *clientConn
	for c := range l.extras {
		if oldest != nil && !c.accepted.Before(oldest.accepted) {
			continue
		}
		if lifecycle.ExtraMayGiveWay(now, c.extraNow()) {
			oldest = c
		}
	}
	l.giveUp(oldest)
	return oldest
}

// extraNow is what is known of an extra connection. The caller holds of.mu.
func (c *clientConn) extraNow() lifecycle.Extra {
	return lifecycle.Extra{Accepted: c.accepted, Heard: client{c}.spokeAt(), Unread: c.pending(), Owed: c.whole,
		Client: c.of.completesCalls && c.head.isClients()}
}

// heardExtra notes what was read of a request on an extra connection. The caller
// holds of.mu.
func (c *clientConn) heardExtra(b []byte) {
	if !c.of.extras[c] {
		return
	}
	if bytes.Contains(b, headEnd) {
		c.whole = true
	}
	c.tellExtra()
}

// tellExtra wakes whoever waits for an extra connection to give way. The caller
// holds of.mu.
func (c *clientConn) tellExtra() {
	if !c.of.extras[c] {
		return
	}
	c.of.tellRoom()
}

// tellRoom wakes whoever waits for room.
func (l *limited) tellRoom() {
	select {
	case l.roomNews <- struct{}{}:
	default:
	}
}

// isExtra tells whether a connection is an extra one.
func (l *limited) isExtra(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.extras[c]
}

// isOver tells whether nothing more is awaited on a connection.
func (l *limited) isOver(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.over()
}

// over tells whether nothing more is awaited on the connection. The caller holds of.mu.
func (c *clientConn) over() bool { return c.closed || !c.overSince.IsZero() }

// promote makes an extra connection on which a client's request has come an
// ordinary one, and tells whether it is one now. It waits only for ordinary
// connections that are about to be silent for long enough to give way, and only
// while nobody waits for its own place.
func (l *limited) promote(c *clientConn) bool {
	if !l.isExtra(c) {
		return !l.isOver(c)
	}
	until := time.Now().Add(lifecycle.SpareTime)
	for !l.admit(c) {
		if l.crowded.Load() || !l.someSilent() || time.Now().After(until) {
			return false
		}
		time.Sleep(roomCheck)
	}
	return true
}

// someSilent tells whether an ordinary connection has no part of a request.
func (l *limited) someSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, idle := range l.idle {
		if !idle.Begun && !l.extras[c] {
			return true
		}
	}
	return false
}
