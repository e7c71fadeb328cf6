package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"sync/atomic"
	"time"

	"indigotack/decide"
	"indigotack/internal/lifecycle"
	"indigotack/internal/neterr"
	"indigotack/internal/pieces"
)

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

// smallBody is the size in bytes up to which a body is written together with its head.
const smallBody = 4 << 10

// parts are the request's bytes, in the order in which they are to be written. A large
// body is not copied.
func (o *outbound) parts(wait time.Duration) [][]byte {
	head := o.head(wait, min(len(o.body), smallBody))
	if len(o.body) <= smallBody {
		return [][]byte{append(head, o.body...)}
	}
	return [][]byte{head, o.body}
}

// head is the request's head, with room for more bytes behind it.
func (o *outbound) head(wait time.Duration, more int) []byte {
	var b bytes.Buffer
	b.Grow(o.headSize() + more)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Deadline: %.3f\r\n", o.method, o.url.RequestURI(), o.host, wait.Seconds())
	if len(o.body) > 0 || o.method == http.MethodPost || o.method == http.MethodPut || o.method == http.MethodPatch {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(o.body))
	}
	o.header.WriteSubset(&b, writtenByHead) // a buffer takes all
	b.WriteString("\r\n")
	return b.Bytes()
}

// writtenByHead are the fields that a head has from elsewhere.
var writtenByHead = map[string]bool{"Host": true, "X-Deadline": true, "Content-Length": true}

// headSize is about how many bytes the head takes.
func (o *outbound) headSize() int {
	const fixed, line = 256, len(": \r\n")
	size := fixed + len(o.url.Path) + len(o.url.RawPath) + len(o.url.RawQuery) + len(o.host)
	for name, values := range o.header {
		for _, value := range values {
			size += len(name) + len(value) + line
		}
	}
	return size
}

// write sends the request and gives whether its last byte left.
func (o *outbound) write(c net.Conn, wait time.Duration) (whole bool, err error) {
	parts := o.parts(wait)
	for i, part := range parts {
		sent, err := neterr.WriteAll(c, part, sendRetryTime)
		if err != nil {
			return i == len(parts)-1 && sent == len(part), err
		}
	}
	return true, nil
}

// result is how an attempt ended.
type result struct {
	code     decide.OutcomeCode
	err      error // why, where it is known
	report   *decide.Report
	passable bool // with a failure: the answer below may be passed on if no other attempt comes
	passed   bool // the answer was passed on before it had come whole
	status   int  // with OK, or if passable: the answer's
	header   http.Header
	length   int64 // of the body, as the answer's head has it; -1: it does not
	body     *pieces.Body
}

// attempt sends a request once and waits for its answer until ctx ends. It does
// not begin to send from by on, unless that is zero. An answer that can't be held
// whole, or is still coming at the end, goes to begin, and the attempt goes on beyond
// ctx until its last byte. When it returns, its connection is closed or back in the
// pool, so that a further attempt cannot overlap it.
func (p *pool) attempt(ctx context.Context, id decide.ServerID, o *outbound, by time.Time, begin func(result)) result {
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
	// What was decided before may not be right any more: the connection may have been
	// long in coming, and the list may name another process, or none.
	begun := time.Now()
	if denial := lifecycle.MayBegin(begun, o.attempt(c, end, by)); denial != lifecycle.Allowed || ctx.Err() != nil {
		c.release() // nothing was sent on it
		p.count(eventDenial, string(denial))
		return result{code: decide.Superseded, err: ctx.Err()}
	}
	defer p.checkSend(begun, end, c)
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(longAgo) })
	defer stop()
	if whole, err := o.write(c, end.Sub(begun)); err != nil {
		c.discard()
		if !whole {
			return result{code: unsent(ctx, err), err: err}
		}
		return result{code: ending(ctx, err), err: err} // a last byte that left with an error may have come
	}
	res, clean, err := c.receive(o.method, early{by: end.Add(-passMargin), release: stop, begin: begin})
	switch {
	case err != nil && res.passed:
		c.discard()
		return result{code: broken(c.broken, err), report: res.report, passed: true, err: err}
	case err != nil:
		c.discard()
		res.body.Abandon()
		return result{code: ending(ctx, c.broken), report: res.report, err: err}
	}
	// Once the watch on ctx cannot be stopped it may yet spoil the deadline of
	// whoever has the connection next.
	if clean && (res.passed || stop()) {
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

// broken is the outcome of an attempt whose answer broke behind what was passed on.
func broken(connection, err error) decide.OutcomeCode {
	switch {
	case errors.Is(err, pieces.ErrAbandoned):
		return decide.Cancelled
	case errors.Is(connection, os.ErrDeadlineExceeded):
		return decide.TimedOut
	case connection != nil:
		return decide.Reset
	}
	return decide.ServerError // it can't be read
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
