package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"indigotack/internal/connect"
)

const (
	maxRedirects = 10          // of one call
	maxReading   = 2 * maxList // bytes of the answers to all open calls together
	listPath     = "/registry/instances"

	endTime = 10 * time.Millisecond // for the end of an answer whose list has come
	maxEnd  = 1 << 10               // bytes of it
)

// Why calls were given up.
var (
	errSuperseded = errors.New("a later call was answered")
	errThinned    = errors.New("others have waited about as long")
	errRestarted  = errors.New("discovery's versions have gone back")
)

var (
	errRedirects = errors.New("discovery redirects too often")
	errTooLong   = fmt.Errorf("discovery's list is over %d bytes", maxList)
	errReading   = fmt.Errorf("the answers to all open calls are over %d bytes", maxReading)
	errEnded     = errors.New("the connection kept from the call before has ended")
)

// statusError is an answer that is no list.
type statusError struct{ status string }

func (e statusError) Error() string { return "discovery answers " + e.status }

// stage is how far a call has come.
type stage int32

const (
	connecting stage = iota
	waiting          // for the answer to begin
	reading          // the answer has begun
)

var stageNames = [...]string{"connecting", "waiting", "reading"}

func (s stage) String() string { return stageNames[s] }

// progress is how far a call has come. It is safe for concurrent use.
type progress struct {
	at    atomic.Int32
	bytes atomic.Int64 // of the answer
}

func (p *progress) stage() stage { return stage(p.at.Load()) }

// caller makes calls to discovery at one address. It is safe for concurrent use.
type caller struct {
	url     string
	kept    *http.Client // for calls one after another
	fresh   *http.Client // each call has a connection of its own
	reading atomic.Int64 // bytes of the answers to calls that are open
}

// newCaller makes a caller. redirected hears of each address that discovery sends
// a call to.
func newCaller(address string, redirected func(to string)) *caller {
	return newCallerBy(address, (&net.Dialer{ControlContext: connect.Begin}).DialContext, redirected)
}

// dialFunc connects to an address.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// newCallerBy makes a caller that connects in a way of its own.
func newCallerBy(address string, dial dialFunc, redirected func(to string)) *caller {
	check := func(req *http.Request, via []*http.Request) error {
		redirected(req.URL.Host)
		if len(via) >= maxRedirects {
			return errRedirects
		}
		return nil
	}
	dial = withinCall(dial)
	client := func(t *http.Transport) *http.Client {
		return &http.Client{CheckRedirect: check, Transport: sentOnce{t}}
	}
	return &caller{
		url:   "http://" + address + listPath,
		kept:  client(&http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1}),
		fresh: client(&http.Transport{DialContext: dial, DisableKeepAlives: true}),
	}
}

// callKey is the key of a call's own context among the values of the one that a
// transport dials with, which goes on when the call has ended.
type callKey struct{}

// withinCall ends what is dialled when the call ends that it is for: connections
// that come up for nobody are not kept either.
func withinCall(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if of, ok := ctx.Value(callKey{}).(context.Context); ok {
			within, cancel := context.WithCancel(ctx)
			defer cancel()
			defer context.AfterFunc(of, cancel)()
			ctx = within
		}
		return dial(ctx, network, address)
	}
}

// sentOnce sends each request once. A transport by itself sends one again, as long
// held as before and unseen, where a connection that it kept ends under it.
type sentOnce struct{ *http.Transport }

// RoundTrip sends a request. It fails with errEnded where it would be sent again.
func (s sentOnce) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(req.Context()) // which the call ends with its own
	sent := false
	trace := &httptrace.ClientTrace{GetConn: func(string) {
		if sent {
			cancel(errEnded)
		}
		sent = true
	}}
	return s.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
}

// close closes the connection that is kept between calls.
func (c *caller) close() { c.kept.CloseIdleConnections() }

// call makes a call and reads its answer. It goes on until ctx ends, with the cause
// of that as its error. Connecting is a part of it.
func (c *caller) call(ctx context.Context, call Call, p *progress) (l List, err error) {
	defer func() {
		if err != nil && !call.Fresh {
			c.close() // the next one may be answered on another connection
		}
		if err != nil && ctx.Err() != nil {
			err = context.Cause(ctx)
		}
	}()
	trace := &httptrace.ClientTrace{
		GotConn:              func(httptrace.GotConnInfo) { p.at.Store(int32(waiting)) },
		GotFirstResponseByte: func() { p.at.Store(int32(reading)) },
	}
	within, cancel := context.WithCancel(context.WithValue(ctx, callKey{}, ctx))
	defer cancel()
	traced := httptrace.WithClientTrace(within, trace)
	req, err := http.NewRequestWithContext(traced, http.MethodGet, c.url+call.query(), nil)
	if err != nil {
		return l, err
	}
	client := c.kept
	if call.Fresh {
		client = c.fresh
	}
	resp, err := client.Do(req)
	if err != nil {
		return l, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return l, statusError{resp.Status}
	}
	defer func() { c.reading.Add(-p.bytes.Load()) }()
	if err = l.decode(json.NewDecoder(&answerReader{body: resp.Body, of: c, read: p})); err == nil {
		awaitEnd(resp.Body, cancel)
	}
	return l, err
}

// awaitEnd reads the end of an answer whose list has come, as only then is its
// connection kept for the next call. An answer that does not end is cancelled.
func awaitEnd(body io.Reader, cancel context.CancelFunc) {
	overdue := time.AfterFunc(endTime, cancel)
	defer overdue.Stop()
	io.CopyN(io.Discard, body, maxEnd) // what it says, or fails by, does not count
}

// query is what the call asks.
func (c Call) query() string {
	if c.Whole {
		return ""
	}
	return fmt.Sprintf("?from=%d&hold_ms=%d", c.From, c.Hold.Milliseconds())
}

// answerReader reads an answer within the bounds of one list and of all that are
// read at once.
type answerReader struct {
	body io.Reader
	of   *caller
	read *progress
}

func (r *answerReader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	one, all := r.read.bytes.Add(int64(n)), r.of.reading.Add(int64(n))
	if one > maxList {
		return 0, errTooLong
	}
	if all > maxReading {
		return 0, errReading
	}
	return n, err
}

// isGivenUp tells whether a call ended because it was given up for others.
func isGivenUp(err error) bool {
	return errors.Is(err, errSuperseded) || errors.Is(err, errThinned)
}

// outcome names what a call came to, for the log and the counters.
func outcome(err error, at stage) string {
	var status statusError
	switch {
	case err == nil:
		return "answered"
	case isGivenUp(err):
		return [...]string{connecting: "connecting", waiting: "silent", reading: "slow"}[at]
	case errors.Is(err, errRestarted):
		return "restarted"
	case errors.Is(err, context.Canceled):
		return "cancelled"
	case errors.As(err, &status):
		return "unavailable"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case at == reading:
		return "cut"
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, errEnded), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "reset"
	}
	return "failed"
}
