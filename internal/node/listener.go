package node

import (
	"errors"
	"iter"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"indigotack/internal/lifecycle"
	"indigotack/internal/neterr"
)

// After a failed accept the next one waits, twice as long each time.
const (
	leastAcceptWait = time.Millisecond
	mostAcceptWait  = 5 * time.Millisecond // an operator's call may come next
)

// roomCheck is how often a connection looks for room that is waited for.
const roomCheck = time.Millisecond

// listenerSpares is how many spare descriptors a listener has. Clients' connections
// are refused that many at a time where no other is left.
const listenerSpares = 4

// limited holds accepted connections to a number, so that clients leave
// descriptors for the servers.
type limited struct {
	net.Listener
	*observer
	raw     syscall.RawConn // the listener's
	spare   spareDescriptors
	reserve *reserve // goes before what comes here; may be nil
	most    int
	life    *lifecycle.Node // nil: connections go on for good

	mostExtra      int           // connections beyond most
	completesCalls bool          // operators' calls need no Host
	headTime       time.Duration // for a request's head from its first byte on; 0: no other than the server's
	pauses         *pauseWatch   // nil: the kernel tells when something came

	mu        sync.Mutex
	conns     map[*clientConn]bool           // all that are open
	extras    map[*clientConn]bool           // those of them that are beyond most
	closing   bool                           // connections end as soon as they carry nothing
	idle      map[*clientConn]lifecycle.Idle // that carry no whole request; Unread is not kept
	lingering map[*clientConn]time.Time      // since when they are kept only for the client to read the last answer

	crowded  atomic.Bool   // a new connection waits for an extra one to give way
	roomNews chan struct{} // gets a value when there may be room, or a connection that may give way
}

func limitListener(ln net.Listener, most int, o *observer) *limited {
	l := &limited{Listener: failingAccepts(ln), raw: rawOf(ln), observer: o, most: most, mostExtra: extraConns,
		conns: map[*clientConn]bool{}, extras: map[*clientConn]bool{}, idle: map[*clientConn]lifecycle.Idle{}, lingering: map[*clientConn]time.Time{},
		roomNews: make(chan struct{}, 1)}
	l.spare.most = listenerSpares
	l.spare.hold()
	return l
}

// Accept makes room by closing a connection that carries no request: clients
// that hold connections without using them must not shut out others. With none
// of those the new one is extra, and with no room for that either it is closed,
// as a client that is turned away can go elsewhere and one that waits unheard can't.
func (l *limited) Accept() (net.Conn, error) {
	for {
		runtime.Gosched() // what was accepted before has its turn, and so have requests in hand
		c, err := l.acceptNext()
		if err != nil {
			return nil, err
		}
		conn := &clientConn{Conn: c, raw: rawOf(c), of: l, accepted: time.Now()}
		if l.place(conn) {
			return conn, nil
		}
		l.count(eventConnection, "no_room")
		l.noteUnread(c.RemoteAddr(), "", whyNoRoom, unreadNoRoom)
		c.Close()
		l.reserve.hold()
	}
}

// place counts a new connection as an ordinary one or else as an extra one. It
// waits for room for as long as connections are spared that may have to give way.
func (l *limited) place(c *clientConn) bool {
	until := c.accepted.Add(lifecycle.SpareTime)
	defer l.crowded.Store(false)
	for !l.reserveHeld() || !l.admit(c) && !l.admitExtra(c) {
		if time.Now().After(until) {
			return false
		}
		l.crowded.Store(true)
		l.awaitRoom(roomCheck)
	}
	return true
}

// reserveHeld has operators' listeners take back the descriptors that they gave
// away, if need be that of a connection that may give way.
func (l *limited) reserveHeld() bool { return l.reserve.hold() || l.closeOne() && l.reserve.hold() }

// awaitRoom waits for room or a connection that may give way, or for a time.
func (l *limited) awaitRoom(most time.Duration) {
	select {
	case <-l.roomNews:
	case <-time.After(most):
	}
}

// acceptNext accepts a connection. No failure of accept says that the listener
// is no good any more, as accept(2) passes on what became of a connection that
// was still pending, and what this machine lacks just now; only its own close
// ends the loop.
func (l *limited) acceptNext() (net.Conn, error) {
	for wait := leastAcceptWait; ; wait = min(2*wait, mostAcceptWait) {
		c, err := l.acceptOnce()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		l.awaitRoom(wait)
	}
}

// acceptOnce accepts a connection. Where descriptors are wanting it frees one
// and tries again at once, before something else takes it.
func (l *limited) acceptOnce() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil || errors.Is(err, net.ErrClosed) {
		return c, err
	}
	l.observer.note(slog.LevelWarn, "accepting a connection failed", eventAccept, neterr.OriginOf(err).String(), "err", err)
	if neterr.OutOfDescriptors(err) && l.freeDescriptor() {
		if c, err = l.Listener.Accept(); err != nil {
			l.spare.takeBack()
		}
	}
	return c, err
}

// freeDescriptor gives up a connection that may give way, or else the spare
// descriptor, and is false if there is neither.
func (l *limited) freeDescriptor() bool { return l.closeOne() || l.spare.giveAway() }

// closeOne gives up a connection that may give way, and is false if there is none.
func (l *limited) closeOne() bool {
	now := time.Now()
	l.mu.Lock()
	worst := l.evict(now)
	if worst == nil {
		worst = l.evictExtra(now)
	}
	l.mu.Unlock()
	l.closeEvicted(worst)
	return worst != nil
}

// admit counts a connection as an ordinary one if there is room for it, or room
// can be made. There is none as long as no descriptor is left.
func (l *limited) admit(c *clientConn) bool {
	if !l.spare.hold() {
		return false
	}
	l.mu.Lock()
	var worst *clientConn
	if l.full() {
		worst = l.evict(time.Now())
	}
	room := !l.full() && !c.over()
	if room {
		l.conns[c] = true
		delete(l.extras, c)
	}
	l.mu.Unlock()
	l.closeEvicted(worst)
	return room
}

// full tells whether there are as many ordinary connections as may be. The caller holds mu.
func (l *limited) full() bool { return len(l.conns)-len(l.extras) >= l.most }

func (l *limited) closeEvicted(c *clientConn) {
	if c != nil {
		l.observer.note(slog.LevelInfo, "connection evicted", eventConnection, "evicted")
		c.Conn.Close()
	}
}

// open counts the connections.
func (l *limited) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// note follows which connections carry requests, for http.Server's ConnState.
func (l *limited) note(c net.Conn, state http.ConnState) {
	conn, ok := c.(*clientConn)
	if !ok {
		return
	}
	l.mu.Lock()
	now, over := time.Now(), false
	switch {
	case conn.closed:
	case state == http.StateIdle && conn.ahead:
		conn.ahead, conn.taken = false, false // the next request has begun
		l.idle[conn] = lifecycle.Idle{Since: now, Spoken: true, Begun: true}
	case state == http.StateNew || state == http.StateIdle:
		conn.taken = false
		l.idle[conn] = lifecycle.Idle{Since: now, Spoken: state == http.StateIdle}
		if over = l.ending() && l.mayClose(conn, now, l.phaseOf(conn, now)); over {
			conn.endFor(whyStopped)
		}
	default:
		conn.whole = true
		delete(l.idle, conn)
	}
	l.mu.Unlock()
	if over {
		l.observer.count(eventConnection, "idle_at_shutdown")
		conn.Conn.Close()
	}
}

// idleNow is what is known of an idle connection. The caller holds mu.
func (l *limited) idleNow(c *clientConn) lifecycle.Idle {
	idle := l.idle[c]
	idle.Unread = c.pending()
	return idle
}

// ending tells whether connections end as soon as they carry nothing. The caller holds mu.
func (l *limited) ending() bool { return l.closing || l.life != nil && l.life.Drained() != nil }

// lifePhase is how far the node's life has come for a connection. The caller holds mu.
func (l *limited) lifePhase(c *clientConn, now time.Time) lifecycle.Phase {
	if l.completesCalls && c.head.isOperators() {
		return l.life.CallPhase(now, c.accepted)
	}
	return l.life.ConnectionPhase(now, c.accepted)
}

// phaseOf is how far the node's end, or its drain, has come for a connection,
// or the time of an extra one. The caller holds mu.
func (l *limited) phaseOf(c *clientConn, now time.Time) lifecycle.Phase {
	phase := lifecycle.Ready
	if l.life != nil {
		phase = l.lifePhase(c, now)
	}
	if l.extras[c] {
		phase = max(phase, lifecycle.ExtraPhase(now, c.accepted))
	}
	return phase
}

// mayClose tells whether an idle connection may be closed in a phase. The kernel
// is asked only where the phase leaves it open.
func (l *limited) mayClose(c *clientConn, now time.Time, phase lifecycle.Phase) bool {
	return lifecycle.MayCloseIdle(now, phase, l.idle[c]) && lifecycle.MayCloseIdle(now, phase, l.idleNow(c))
}

// leave takes the connections that are already made, closes the listener, and
// lets those end that carry nothing. What the kernel has accepted counts as
// taken; it is waited for while more allows.
func (l *limited) leave(more func() bool) {
	for polled(l.raw, unix.POLLIN)&unix.POLLIN != 0 && more() {
		time.Sleep(time.Millisecond)
	}
	l.Listener.Close()
	l.mu.Lock()
	l.closing = true
	l.mu.Unlock()
	l.advance()
}

// advance carries out what is due on each connection as the node's end, or its
// drain, goes on, and counts those that stay.
func (l *limited) advance() (open int) {
	l.endDue(maps.Keys(l.conns))
	return l.open()
}

// endDue does what is due on connections: it closes those that carry nothing,
// refuses what has not come whole, and cuts what is left when its time is over.
func (l *limited) endDue(conns iter.Seq[*clientConn]) {
	var idle, cut []*clientConn
	now := time.Now()
	l.mu.Lock()
	for c := range conns {
		_, isIdle := l.idle[c]
		phase := l.phaseOf(c, now)
		c.noteDue(now, phase)
		switch {
		case c.closed:
		case isIdle && l.mayClose(c, now, phase):
			c.endFor(whyStopped)
			idle = append(idle, c)
		case phase >= lifecycle.Refusing && isIdle && !l.idle[c].Begun && c.pending(): // its reader is about to take it
		case phase >= lifecycle.Refusing:
			c.endWait(now)
			if phase >= lifecycle.Ended && lifecycle.MayCut(now.Sub(c.due), now.Sub(c.overSince), c.owed) {
				c.endFor(whyTimeOver)
				cut = append(cut, c)
			}
		}
	}
	l.mu.Unlock()
	for _, c := range idle {
		l.observer.count(eventConnection, "idle_at_shutdown")
		c.Conn.Close()
	}
	for _, c := range cut {
		l.observer.note(slog.LevelInfo, "connection cut", eventConnection, "time_over", "client", c.RemoteAddr())
		c.Close()
	}
}

// evict gives up the ordinary connection that is least likely to be missed, for
// the caller to close once it has let go of mu. It is nil if each carries something.
func (l *limited) evict(now time.Time) *clientConn {
	if done := l.longestLingering(now); done != nil {
		done.endFor(whyGaveWay)
		return done
	}
	var worst *clientConn
	var worstRank int
	crowded := l.crowdedByNewcomers()
	for c, idle := range l.idle {
		rank, may := lifecycle.EvictionRank(now, idle)
		if !may || l.extras[c] || worst != nil && (rank > worstRank || rank == worstRank && !idle.Since.Before(l.idle[worst].Since)) {
			continue
		}
		if idle.Spoken && crowded {
			continue
		}
		if _, may = lifecycle.EvictionRank(now, l.idleNow(c)); may { // the kernel is asked last, as it takes a call
			worst, worstRank = c, rank
		}
	}
	l.giveUp(worst)
	return worst
}

// newcomersPart is the part of the ordinary connections that never had an answer, or had
// their last one, from which on they are a crowd.
const newcomersPart = 0.25

// crowdedByNewcomers tells whether connections that are about to give way, or never had
// an answer, take so much room that no served one is to give way for more of them. The
// caller holds mu.
func (l *limited) crowdedByNewcomers() bool {
	newcomers := 0
	for c := range l.conns {
		if _, lingers := l.lingering[c]; (lingers || !c.answered) && !l.extras[c] {
			newcomers++
		}
	}
	return float64(newcomers) >= newcomersPart*float64(l.most)
}

// longestLingering is the ordinary connection that has been kept longest for its
// client to read the last answer, if it may give way. The caller holds mu.
func (l *limited) longestLingering(now time.Time) *clientConn {
	var longest *clientConn
	for c, since := range l.lingering {
		if l.extras[c] || !lifecycle.LingeringMayGiveWay(now, since, false) || longest != nil && !since.Before(l.lingering[longest]) {
			continue
		}
		if lifecycle.LingeringMayGiveWay(now, since, true) || !c.pending() { // the kernel is asked last, as it takes a call
			longest = c
		}
	}
	return longest
}

// giveUp ends a connection that gives way, if there is one. Half a request is
// refused before. The caller holds mu.
func (l *limited) giveUp(c *clientConn) {
	if c == nil {
		return
	}
	if l.idle[c].Begun {
		c.refuse(unavailable, unreadHalf)
	}
	c.endFor(whyGaveWay)
}
