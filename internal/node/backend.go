package node

import (
	"bufio"
	"bytes"
	lru "container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"indigotack/decide"
	"indigotack/internal/clock"
	"indigotack/internal/connect"
	"indigotack/internal/lifecycle"
	"indigotack/internal/neterr"
	"indigotack/internal/wire"
)

const (
	maxBody    = 64 << 10 // of a request or an answer
	maxHead    = 16 << 10 // of an answer
	inChunks   = 8        // bytes that each of a body may take on its connection: in chunks of one byte it takes six
	maxInfos   = 8        // 1xx answers ahead of the real one
	leastSpare = 2        // idle connections that a server keeps at least
	idlePart   = 0.75     // of the settings' idle time: the server must never be the first to close

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
	maxBody  int         // of an answer
	stalls   *stallGuard // nil: nothing is held up after a stand of the process
	ordinary bool        // servers answer as any web server does, not by the platform's protocol alone

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
	broken error // how reading ended, if the connection did
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

// longAgo is a deadline that ends what a connection is doing at once.
var longAgo = time.Time{}.Add(time.Hour)

// outbound is what goes to a server for a client's request.
type outbound struct {
	method string
	url    *url.URL
	host   string
	header http.Header // end to end ones
	body   []byte
	left   func() bool // whether the client has gone, so that it need not be sent; nil: that is not known
	over   atomic.Bool // it has its final answer
}

// clientGone tells whether the client has disconnected.
func (o *outbound) clientGone() bool { return o.left != nil && o.left() }

// bytes writes the request in full, so that one write sends it and its result
// tells whether the last byte left.
func (o *outbound) bytes(wait time.Duration) ([]byte, error) {
	r := &http.Request{Method: o.method, URL: o.url, Host: o.host, Header: o.header.Clone(),
		Body: http.NoBody, ContentLength: int64(len(o.body))}
	if len(o.body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(o.body))
	}
	r.Header.Set("X-Deadline", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = nil // none was sent, none is made up
	}
	var b bytes.Buffer
	err := r.Write(&b)
	return b.Bytes(), err
}

// result is how an attempt ended.
type result struct {
	code     decide.OutcomeCode
	err      error // why, where it is known
	report   *decide.Report
	passable bool // with a failure: the answer below may be passed on if no other attempt comes
	status   int  // with OK, or if passable: the answer's
	header   http.Header
	body     []byte
}

// attempt sends a request once and waits for its answer until ctx ends. It does
// not begin to send from by on, unless that is zero. When it returns, its
// connection is closed or back in the pool, so that a further attempt cannot
// overlap it.
func (p *pool) attempt(ctx context.Context, id decide.ServerID, o *outbound, by time.Time) result {
	end, ok := ctx.Deadline()
	if !ok {
		return result{code: decide.Superseded} // an attempt without an end could hang for ever
	}
	c, err := p.get(ctx, id)
	if err != nil {
		return result{code: unsent(ctx, err), err: err}
	}
	if !p.stalls.await(ctx) {
		c.release()
		return result{code: decide.Superseded, err: ctx.Err()}
	}
	// The connection may have been long in coming, so that only now it is known
	// how much time is left.
	msg, err := o.bytes(time.Until(end))
	if err != nil {
		c.release()
		return result{code: decide.Superseded, err: err}
	}
	// And what was decided before may not be right any more: the list may name
	// another process, or none.
	begun := time.Now()
	if denial := lifecycle.MayBegin(begun, o.attempt(c, end, by)); denial != lifecycle.Allowed || ctx.Err() != nil {
		c.release() // nothing was sent on it
		p.count(eventDenial, string(denial))
		return result{code: decide.Superseded, err: ctx.Err()}
	}
	defer p.checkSend(begun, end, c)
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(longAgo) })
	defer stop()
	if sent, err := neterr.WriteAll(c, msg, sendRetryTime); err != nil {
		c.discard()
		if sent < len(msg) {
			return result{code: unsent(ctx, err), err: err}
		}
		return result{code: ending(ctx, err), err: err} // a last byte that left with an error may have come
	}
	res, clean, err := c.receive(o.method)
	if err != nil {
		c.discard()
		return result{code: ending(ctx, c.broken), report: res.report, err: err}
	}
	// Once the watch on ctx cannot be stopped it may yet spoil the deadline of
	// whoever has the connection next.
	if clean && stop() {
		c.release()
	} else {
		c.discard()
	}
	return res
}

// attempt is what is known of an attempt on a connection right before its first byte.
func (o *outbound) attempt(c *conn, end, repeatBy time.Time) lifecycle.Attempt {
	gone := o.clientGone() // first, as it takes a system call, in which the rest may change
	return lifecycle.Attempt{ClientGone: gone, RequestEnded: o.over.Load(), EndpointRemoved: c.stale(),
		Deadline: end, RepeatBy: repeatBy, EarlierMayRun: !repeatBy.IsZero()}
}

// checkSend tells of an attempt that should not have begun when it did.
func (p *pool) checkSend(begun, end time.Time, c *conn) {
	p.mu.Lock()
	removed := c.of.removed
	p.mu.Unlock()
	if removed.After(begun) {
		removed = time.Time{}
	}
	if violation, found := lifecycle.CheckSend(begun, end, removed, p.grace); found {
		p.violation(violation, "address", c.of.address)
	}
}

var (
	errNotListed = errors.New("the server is not listed")
	errTooMany   = errors.New("too many connections")
)

// unsent is the outcome of an attempt whose last byte was not written. It has
// never run; but the server is to blame only where neither the request's own
// end nor a want on this side kept it from being sent.
func unsent(ctx context.Context, err error) decide.OutcomeCode {
	if ctx.Err() != nil || errors.Is(err, errNotListed) || errors.Is(err, errTooMany) {
		return decide.Superseded
	}
	switch origin := neterr.OriginOf(err); {
	case origin == neterr.Path, neterr.NoRoute(err):
		return decide.Unreachable
	case origin == neterr.Local:
		return decide.Superseded
	}
	return decide.ConnectFailed
}

// ending is the outcome of an attempt whose answer did not come: its last byte
// was written, so it may have run. broken is how the connection ended, if it did.
func ending(ctx context.Context, broken error) decide.OutcomeCode {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return decide.Cancelled
	case ctx.Err() != nil, errors.Is(broken, os.ErrDeadlineExceeded):
		return decide.TimedOut
	case broken != nil:
		return decide.Reset
	}
	return decide.ServerError // it can't be read
}

// receive reads one answer to its end; clean tells that the connection can
// carry another request.
func (c *conn) receive(method string) (res result, clean bool, err error) {
	c.budget.N = maxHead
	var resp *http.Response
	for i := 0; ; i++ {
		resp, err = http.ReadResponse(c.read, &http.Request{Method: method})
		if err != nil {
			return res, false, err
		}
		if resp.StatusCode >= 200 {
			break
		}
		if i == maxInfos || resp.StatusCode == http.StatusSwitchingProtocols {
			return res, false, fmt.Errorf("unexpected answer %s", resp.Status)
		}
	}
	// The body is never closed: that would read it to an end that may not come.
	res.report = parseLoad(resp.Header.Get("X-Load"))
	most := c.pool.maxBody
	// Where the budget is spent a body would seem to end. This leaves enough for
	// one that is too long to be seen as such.
	c.budget.N += inChunks * (int64(most) + 1)
	if resp.ContentLength > int64(most) && method != http.MethodHead {
		return res, false, fmt.Errorf("an answer of %d bytes is announced", resp.ContentLength)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(most)+1))
	if err != nil {
		return res, false, err
	}
	if len(body) > most {
		return res, false, errors.New("the answer is too long")
	}
	notRun := resp.Header.Get("X-Not-Run") == "1"
	switch status := resp.StatusCode; {
	case status == http.StatusOK, c.pool.ordinary && status < 500 && status != http.StatusTooManyRequests:
		res.code = decide.OK
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) && notRun:
		res.code = decide.Full
	case status == http.StatusBadRequest || status == http.StatusNotFound:
		res.code = decide.Unusable
	default:
		res.code = decide.ServerError
		// To a client 429 and 503 say that another try does no harm, which
		// this server has not said.
		res.passable = c.pool.ordinary && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests
	}
	if res.code == decide.OK || res.passable {
		res.status, res.header, res.body = resp.StatusCode, resp.Header, body
	}
	return res, !resp.Close && c.read.Buffered() == 0, nil
}

// parseLoad reads a load report. One that is malformed in any part is ignored
// as a whole: half a report says less than the count it would replace.
func parseLoad(s string) *decide.Report {
	if s == "" {
		return nil
	}
	var r decide.Report
	known := false
	for part := range strings.SplitSeq(s, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok {
			return nil
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return nil
		}
		known = wire.SetReportField(&r, name, v) || known
	}
	if !known {
		return nil
	}
	return &r
}
