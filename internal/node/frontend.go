package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/url"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"indigotack/decide"
)

const (
	stopTick    = 5 * time.Millisecond    // how often a node that stops looks whether it is done
	headTime    = 2 * time.Second         // for a request's head
	readTime    = 2500 * time.Millisecond // for a whole request
	writeTime   = 5 * time.Second         // for an answer
	dregsTime   = 200 * time.Millisecond  // for what is left of a request that is turned away
	idleTime    = 4 * time.Second         // for a connection between requests
	maxIDLength = 128
	maxPatience = time.Hour
)

// frontend takes clients' requests and writes their answers.
type frontend struct {
	*observer
	most   int // connections
	health string
	times  times
	plan   func() stopPlan                                      // of a stop ordered now
	linger func(open func() int, ordered time.Time, p stopPlan) // serves on until clients are asked to close
	// read checks a request. The status goes with the error.
	read    func(w http.ResponseWriter, r *http.Request) (*taken, int, error)
	ready   atomic.Bool
	endsAt  atomic.Int64  // after the order to stop: all that is taken is answered by then, as Unix time in ns; 0: no such order
	over    chan struct{} // closed then
	leaving atomic.Bool   // clients are asked to close
}

// times bounds what the front waits for on its connections.
type times struct{ head, read, write, idle time.Duration }

// taken is a request that is to be opened: where, and how the module sees it.
type taken struct {
	owner *owner
	req   *request
	event decide.RequestArrived
	done  func() // called when it has been answered; may be nil
}

func newFrontend(o *observer, most int) *frontend {
	return &frontend{observer: o, most: most, health: "/health", times: times{headTime, readTime, writeTime, idleTime},
		over: make(chan struct{}), linger: linger}
}

func linger(open func() int, ordered time.Time, p stopPlan) {
	for t := time.Since(ordered); t < p.accept || open() > 0 && t < p.leave; t = time.Since(ordered) {
		time.Sleep(stopTick)
	}
}

// platformFront is the front of a node on a platform.
func platformFront(n *Node, most int) *frontend {
	f := newFrontend(n.observer, most)
	p := &platform{front: f, owner: n.owner, effects: map[string]decide.Effect{}}
	var longest time.Duration
	for _, c := range n.cfg.Settings.Classes {
		p.effects[c.Name] = c.Effect
		longest = max(longest, c.Deadline)
	}
	f.plan = func() stopPlan { return planStop(longest, true) }
	f.read = p.read
	return f
}

// platform reads requests whose clients name id, class and deadline.
type platform struct {
	front   *frontend
	owner   *owner
	effects map[string]decide.Effect // of the classes
}

// serve takes requests until ctx ends. Then it says that it is not ready and
// goes on for as long as it can still finish what it takes: the front sends
// new connections until it has noticed, and clients that keep theirs may have
// no other node just now. Then it asks each client to close and finishes what
// is open. By the plan's time all that was taken has its answer, before the
// order or after it.
func (f *frontend) serve(ctx context.Context, ln net.Listener) error {
	srv := &http.Server{Handler: f, ReadHeaderTimeout: f.times.head, ReadTimeout: f.times.read, IdleTimeout: f.times.idle,
		MaxHeaderBytes: maxHead, ErrorLog: slog.NewLogLogger(f.log.Handler(), slog.LevelDebug)}
	limited := limitListener(ln, f.most, f.observer)
	srv.ConnState = limited.note
	srv.ConnContext = withClient
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(limited) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serving clients: %w", err)
	case <-ctx.Done():
	}
	onStop()
	ordered := time.Now()
	plan := f.plan()
	f.note(slog.LevelInfo, "termination signal", eventPhase, "draining", "open", limited.open(),
		"close_after", plan.leave, "answer_after", plan.answer, "end_after", plan.end)
	f.endsAt.Store(ordered.Add(plan.answer).UnixNano())
	over := time.AfterFunc(plan.answer, func() { close(f.over) })
	defer over.Stop()
	f.linger(limited.open, ordered, plan)
	f.leaving.Store(true)
	f.note(slog.LevelInfo, "asking clients to close", eventPhase, "closing", "open", limited.open(), "after", time.Since(ordered))
	limited.leave(func() bool { return time.Since(ordered) < plan.answer })
	<-failed // as the listener has closed
	for limited.open() > 0 && time.Since(ordered) < plan.end {
		time.Sleep(stopTick)
		limited.closeUnused(time.Since(ordered) >= plan.answer)
	}
	// All requests have had their answers, and the time to write them: what is
	// left are connections on which no whole one has come, or whose clients do
	// not read.
	f.note(slog.LevelInfo, "connections ended", eventPhase, "ended", "cut", limited.open(), "after", time.Since(ordered))
	return srv.Close()
}

// ServeHTTP answers the health checks and passes requests to the loop.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if f.health != "" {
		switch r.URL.Path {
		case f.health + "/ready":
			if !f.ready.Load() || f.endsAt.Load() != 0 {
				http.Error(w, "not ready", http.StatusServiceUnavailable)
				return
			}
			fallthrough
		case f.health + "/live":
			io.WriteString(w, "ok\n")
			return
		}
	}
	t, status, err := f.readSafely(w, r)
	if err != nil {
		f.turnAway(w, err, status)
		return
	}
	if t.done != nil {
		defer t.done()
	}
	t.owner.post(func() { t.owner.open(t.req, t.event) })
	for over := f.over; ; {
		select {
		case a := <-t.req.answer:
			f.write(w, r, a)
			afterAnswer(r)
		case <-over:
			t.owner.post(func() { t.owner.overdue(t.req) })
			over = nil
			continue
		case <-r.Context().Done():
			t.owner.post(func() { t.owner.abandon(t.req) })
			// A client that only ended its sending can still read. Without a word
			// from here the server would tell it 200, which no backend said.
			f.write(w, r, t.req.answerOr(answer{status: http.StatusBadGateway}))
		case <-t.owner.ended:
			f.write(w, r, t.req.answerOr(answer{status: http.StatusBadGateway}))
		}
		return
	}
}

// readSafely turns a panic into an error, so that a request that the node
// stumbles over has an answer too: net/http would end its connection.
func (f *frontend) readSafely(w http.ResponseWriter, r *http.Request) (t *taken, status int, err error) {
	defer func() {
		if p := recover(); p != nil {
			f.log.Error("a request could not be read", "panic", p, "stack", string(debug.Stack()))
			t, status, err = nil, http.StatusInternalServerError, errors.New("the node has failed to read it")
		}
	}()
	return f.read(w, r)
}

// turnAway answers a request that can't be read and ends its connection. What
// follows on it may belong to the body of this request as the client sees it,
// so none of it is taken for a request; and the answer waits for no body.
func (f *frontend) turnAway(w http.ResponseWriter, err error, status int) {
	f.note(slog.LevelInfo, "request refused unopened", eventRequest, "unreadable_"+strconv.Itoa(status), "err", err)
	w.Header().Set("Connection", "close")
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(dregsTime)) // fails only on a closed connection
	http.Error(w, err.Error(), status)
}

// framing refuses requests whose ends two readers could see in two places: one
// could hide another in its body, which the next reader would run. Clients use
// Content-Length alone. net/http drops it where a transfer coding is there
// too, and drops the coding in HTTP/1.0, so neither can be told from a sound one.
func framing(r *http.Request) (int, error) {
	switch {
	case !r.ProtoAtLeast(1, 1):
		return http.StatusHTTPVersionNotSupported, errors.New("want HTTP/1.1")
	case len(r.TransferEncoding) > 0:
		return http.StatusLengthRequired, errors.New("want Content-Length and no transfer coding")
	case (r.Method == http.MethodGet || r.Method == http.MethodHead) && r.ContentLength != 0:
		return http.StatusBadRequest, fmt.Errorf("a %s with a body", r.Method)
	}
	return 0, nil
}

func (f *platform) read(w http.ResponseWriter, r *http.Request) (*taken, int, error) {
	client := clientOf(r)
	arrived := client.spokeAt() // the body may take a while, and the client's clock runs
	e := decide.RequestArrived{Class: r.Header.Get("X-Class"), Tenant: r.Header.Get("X-Tenant"),
		Repeat: r.Header.Get("X-Retry") == "1"}
	bad := func(status int, format string, args ...any) (*taken, int, error) {
		return nil, status, fmt.Errorf(format, args...)
	}
	if status, err := framing(r); err != nil {
		return bad(status, "%w", err)
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" || len(id) > maxIDLength || len(r.Header.Values("X-Request-Id")) > 1 {
		return bad(http.StatusBadRequest, "want one X-Request-Id of at most %d bytes", maxIDLength)
	}
	e.ID = decide.RequestID(id)
	effect, known := f.effects[e.Class]
	if !known {
		return bad(http.StatusBadRequest, "unknown X-Class %q", e.Class)
	}
	// The method tells the server what a repeat would do, so it must agree
	// with what the module believes.
	want := http.MethodPost
	if effect == decide.Safe {
		want = http.MethodGet
	}
	if r.Method != want {
		return bad(http.StatusMethodNotAllowed, "class %s wants %s", e.Class, want)
	}
	switch keys := r.Header.Values("Idempotency-Key"); {
	case effect == decide.Keyed && (len(keys) != 1 || keys[0] == ""), effect == decide.Unsafe && len(keys) > 0:
		return bad(http.StatusBadRequest, "class %s and Idempotency-Key do not agree", e.Class)
	}
	patience, err := seconds(r.Header.Get("X-Deadline"))
	if err != nil {
		return bad(http.StatusBadRequest, "X-Deadline: %w", err)
	}
	if hint, err := strconv.ParseFloat(r.Header.Get("X-Cost-Hint"), 64); err == nil && hint >= 0 && hint < 1e12 {
		e.WorkHint, e.HasHint = time.Duration(hint*float64(time.Microsecond)), true
	}
	e.Key = r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	body, status, err := readBody(w, r, maxBody)
	if err != nil {
		return bad(status, "%w", err)
	}
	return &taken{owner: f.owner, event: e, req: &request{id: e.ID, deadline: f.front.deadline(arrived, patience),
		answer: make(chan answer, 1), out: &outbound{method: r.Method, url: target(r.URL), host: r.Host, header: endToEnd(r.Header), body: body, left: client.left}}}, 0, nil
}

// deadline is when a request that arrived then has to be answered.
func (f *frontend) deadline(arrived time.Time, patience time.Duration) time.Time {
	deadline := arrived.Add(patience - answerMargin)
	if ends := f.endsAt.Load(); ends != 0 {
		if last := time.Unix(0, ends).Add(-answerMargin); last.Before(deadline) {
			return last
		}
	}
	return deadline
}

// target is a request's path and query, byte for byte.
func target(u *url.URL) *url.URL {
	return &url.URL{Path: u.Path, RawPath: u.RawPath, RawQuery: u.RawQuery, ForceQuery: u.ForceQuery}
}

func readBody(w http.ResponseWriter, r *http.Request, most int) ([]byte, int, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(most)))
	var long *http.MaxBytesError
	switch {
	case errors.As(err, &long):
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("the body is over %d bytes", most)
	case err != nil:
		return nil, http.StatusBadRequest, fmt.Errorf("reading the body: %w", err)
	}
	return body, 0, nil
}

func seconds(s string) (time.Duration, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, err
	}
	if !(v > 0) || math.IsInf(v, 0) { // NaN is not over 0 either
		return 0, fmt.Errorf("%v is no time to wait", v)
	}
	return time.Duration(math.Min(v, maxPatience.Seconds()) * float64(time.Second)), nil
}

// perHop lists the headers that concern one connection only.
var perHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect", "Content-Length", "X-Load", "X-Not-Run"}

// endToEnd copies the headers that are passed on.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); !slices.Contains(vital, name) {
				out.Del(name)
			}
		}
	}
	for _, name := range perHop {
		out.Del(name)
	}
	return out
}

// vital headers stay, whatever a client's Connection header says: without
// them a server could not tell a repeat.
var vital = []string{"X-Request-Id", "Idempotency-Key"}

func (f *frontend) write(w http.ResponseWriter, r *http.Request, a answer) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(f.times.write))
	h := w.Header()
	for name, values := range endToEnd(a.header) {
		h[name] = values
	}
	if f.leaving.Load() { // maybe only since it was taken
		h.Set("Connection", "close")
	}
	if !a.served {
		a.body = []byte(http.StatusText(a.status) + "\n")
		h.Set("Content-Type", "text/plain; charset=utf-8")
	}
	if a.holdOff > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.holdOff.Seconds(), 'f', 3, 64))
	}
	bodiless := a.status == http.StatusNoContent || a.status == http.StatusNotModified // RFC 9110, 15.3.5 and 15.4.5
	switch length := a.header.Get("Content-Length"); {
	case a.served && r.Method == http.MethodHead:
		if length != "" { // of the body that a GET would have got
			h.Set("Content-Length", length)
		}
	case !bodiless:
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	w.WriteHeader(a.status)
	if !bodiless && r.Method != http.MethodHead {
		w.Write(a.body) // if it fails, the client has gone
	}
}
