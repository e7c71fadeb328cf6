package node

import (
	"bufio"
	lru "container/list"
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"indigotack/decide"
	"indigotack/internal/account"
	"indigotack/internal/clock"
	"indigotack/internal/connect"
	"indigotack/internal/neterr"
)

const (
	leastSpare = 2    // idle connections that a server keeps at least
	idlePart   = 0.75 // of the settings' idle time: the server must never be the first to close

	// A connection rests so long after an answer. What a server says or does
	// right behind it, noise, a second copy or a close, shows by then, and can
	// neither answer the next request nor break it: second copies were seen 5.2 ms
	// after the answer. Where a connection is idle that has rested for longer it goes first, as some of that comes later still; for
	// none of those is one opened, which costs its server more than it is worth.
	restTime   = 10 * time.Millisecond
	restedTime = 50 * time.Millisecond

	// After a connect that failed for a want of this machine the next one waits, twice as long each time.
	leastDialWait = 2 * time.Millisecond
	mostDialWait  = 50 * time.Millisecond
	routeTime     = 50 * time.Millisecond // for a missing route to come back
	sendRetryTime = 50 * time.Millisecond // a write or read is tried again that failed for such a want, well under what a request may be late
)

// pool keeps connections to servers. It never sends anything itself.
type pool struct {
	*observer
	dialer   net.Dialer
	grace    time.Duration // within which sends to removed servers must have ended
	maxIdle  time.Duration
	rest     time.Duration
	maxBody  int              // of an answer that is held whole
	account  *account.Account // what answers are held in; nil: it has no bound
	stalls   *stallGuard      // nil: nothing is held up after a stand of the process
	ordinary bool             // servers answer as any web server does, not by the platform's protocol alone

	mu       sync.Mutex
	open     int // connections, idle, in use or being dialled
	most     int
	backends map[decide.ServerID]*backend
	idle     *lru.List // all idle connections, the one idle longest first: in each backend's list the order is the same
}

// backend is one process of a server. A restart or a new address makes a new
// one, to which the old one's connections never return.
type backend struct {
	address string
	since   int64
	closed  bool
	removed time.Time // when it was closed
	idle    []*conn   // the one used last comes last
}

type conn struct {
	net.Conn
	of     *backend
	pool   *pool
	budget io.LimitedReader // what one answer may take
	read   *bufio.Reader
	broken error                     // how reading ended, if the connection did
	heard  atomic.Pointer[time.Time] // its last bytes came then; nil: none have come
	idleAt time.Time
	place  *lru.Element // among the pool's idle ones
}

// Read notes how the connection ended, which tells a break from an answer
// that can't be read, or is longer than its budget.
func (c *conn) Read(b []byte) (int, error) {
	var n int
	err := neterr.Retry(sendRetryTime, func() (err error) {
		n, err = c.Conn.Read(shortRead(b))
		return err
	})
	c.broken = err
	if n > 0 {
		now := time.Now()
		c.heard.Store(&now)
	}
	return n, err
}

func newPool(s decide.Settings, most int, o *observer) *pool {
	p := &pool{observer: o, grace: s.DrainGrace, most: most, rest: restTime, maxBody: maxBody, backends: map[decide.ServerID]*backend{}, idle: lru.New(),
		dialer: net.Dialer{Timeout: s.ConnectTimeout, KeepAlive: -1, ControlContext: connect.Begin}}
	failConnects(&p.dialer)
	if p.maxIdle = time.Duration(idlePart * float64(s.ConnIdle)); s.ConnIdle <= 0 {
		p.maxIdle = time.Minute
	}
	return p
}

// limit changes how many connections the pool may hold. Those above it end as they become idle.
func (p *pool) limit(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.most = most; p.open > p.most && p.evict(); {
	}
}

// set takes a server's address from the list. Connections to an earlier
// process of it are worthless and are closed.
func (p *pool) set(id decide.ServerID, address string, since int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		if b.address == address && b.since == since {
			return
		}
		p.close(b)
	}
	p.backends[id] = &backend{address: address, since: since}
}

// remove has nothing new sent to a server. What is out at it goes on.
func (p *pool) remove(id decide.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		p.close(b)
		delete(p.backends, id)
	}
}

// closeIdle closes the connections to a server that carry nothing.
func (p *pool) closeIdle(id decide.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		p.drop(b)
	}
}

// close has nothing new sent to a backend.
func (p *pool) close(b *backend) {
	b.closed, b.removed = true, time.Now()
	p.drop(b)
}

// drop closes a backend's idle connections.
func (p *pool) drop(b *backend) {
	for _, c := range b.idle {
		c.Conn.Close()
		p.idle.Remove(c.place)
		p.open--
	}
	b.idle = nil
}

// expire closes the connections that have been idle too long.
func (p *pool) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for e := p.idle.Front(); e != nil && now.Sub(e.Value.(*conn).idleAt) >= p.maxIdle; e = p.idle.Front() {
		p.evict()
	}
}

// run expires idle connections until ctx ends.
func (p *pool) run(ctx context.Context) {
	for clock.Sleep(ctx, max(p.maxIdle/8, 50*time.Millisecond)) {
		p.expire(time.Now())
	}
}

// get finds an idle connection or dials. An error proves that nothing was sent.
func (p *pool) get(ctx context.Context, id decide.ServerID) (*conn, error) {
	b, c, err := p.take(id)
	if c != nil || err != nil {
		return c, err
	}
	return p.connect(ctx, b)
}

// connect dials a backend for which there is room.
func (p *pool) connect(ctx context.Context, b *backend) (*conn, error) {
	raw, err := p.dialServer(ctx, b.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	c := &conn{Conn: raw, of: b, pool: p}
	c.budget.R = c
	c.read = bufio.NewReader(&c.budget)
	return c, nil
}

// dialServer connects within the time for that. What fails for a want of this machine
// is tried again, as it says nothing about the server and is soon over; a route
// that is missing may be missing to this server alone, and others can do.
func (p *pool) dialServer(ctx context.Context, address string) (net.Conn, error) {
	began := time.Now()
	if p.dialer.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.dialer.Timeout)
		defer cancel()
	}
	for wait := leastDialWait; ; wait = min(2*wait, mostDialWait) {
		raw, err := p.dialer.DialContext(ctx, "tcp", address)
		if err == nil || neterr.OriginOf(err) != neterr.Local || neterr.NoRoute(err) && time.Since(began) > routeTime {
			return raw, err
		}
		if neterr.OutOfDescriptors(err) {
			p.freeDescriptor()
		}
		if !clock.Sleep(ctx, wait) {
			return nil, err
		}
	}
}

// freeDescriptor closes the connection that has been idle longest, if there is one.
func (p *pool) freeDescriptor() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evict()
}

// take returns an idle connection, or the backend with leave to dial it.
func (p *pool) take(id decide.ServerID) (*backend, *conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.backends[id]
	if b == nil {
		return nil, nil, errNotListed
	}
	now := time.Now()
	for i := b.rested(now, p.rest); i >= 0; i = b.rested(now, p.rest) {
		c := b.idle[i]
		b.idle = slices.Delete(b.idle, i, i+1)
		p.idle.Remove(c.place)
		// A connection that its server has closed, or on which it said
		// something unasked, would end as a reset that may have run. Nothing
		// has been sent on it, so another one can do.
		if now.Sub(c.idleAt) < p.maxIdle && silent(c.Conn) {
			return b, c, nil
		}
		c.Conn.Close()
		p.open--
	}
	if p.open >= p.most && !p.evict() {
		return nil, nil, errTooMany
	}
	p.open++
	return b, nil, nil
}

// rested is the place of the idle connection to use: of those that have rested
// well the one used last, else the one that has rested longest; -1: none has.
func (b *backend) rested(now time.Time, least time.Duration) int {
	for i := len(b.idle) - 1; i >= 0; i-- {
		if now.Sub(b.idle[i].idleAt) >= max(least, restedTime) {
			return i
		}
	}
	if len(b.idle) > 0 && now.Sub(b.idle[0].idleAt) >= least {
		return 0
	}
	return -1
}

// evict closes the connection that has been idle longest, which is its backend's first.
func (p *pool) evict() bool {
	e := p.idle.Front()
	if e == nil {
		return false
	}
	c := p.idle.Remove(e).(*conn)
	c.of.idle = slices.Delete(c.of.idle, 0, 1)
	c.Conn.Close()
	p.open--
	return true
}

// spare is how many idle connections a backend keeps: twice its even part of
// what the pool may hold. Where servers are many that is one or two, so that a
// burst at a few leaves no connections that the others lack.
func (p *pool) spare() int { return max(leastSpare, 2*p.most/max(1, len(p.backends))) }

// discard closes a connection that is not known to be at an answer's end.
func (c *conn) discard() {
	c.Conn.Close()
	c.pool.mu.Lock()
	c.pool.open--
	c.pool.mu.Unlock()
}

// stale tells whether the list names this process no more, or wants nothing new sent to it.
func (c *conn) stale() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.of.closed
}

// release puts a connection back that has been read cleanly to its end.
func (c *conn) release() {
	c.SetDeadline(time.Time{})
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.of.closed || len(c.of.idle) >= c.pool.spare() {
		c.Conn.Close()
		c.pool.open--
		return
	}
	c.idleAt = time.Now()
	c.of.idle = append(c.of.idle, c)
	c.place = c.pool.idle.PushBack(c)
}

// silent tells whether an idle connection is open with nothing to read.
func silent(c net.Conn) bool {
	raw := rawOf(c)
	unread, over := peek(raw)
	return raw != nil && !unread && !over
}
