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
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"indigotack/decide"
)

const (
	lingerTime  = 600 * time.Millisecond  // after SIGTERM new connections still come for a while
	finishTime  = time.Second             // the last requests then get so long before the node ends
	finishSlack = 400 * time.Millisecond  // it ends the longest deadline and this after SIGTERM, lest it be killed
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
	log     *slog.Logger
	most    int // connections
	health  string
	times   times
	longest func() time.Duration // deadline that a request can have
	// read checks a request. The status goes with the error.
	read    func(w http.ResponseWriter, r *http.Request) (*taken, int, error)
	linger  func(open func() int) // goes on serving for a while after the order to stop
	ready   atomic.Bool
	endsAt  atomic.Int64 // what the node takes after the order to stop is answered by then: its clock; 0: no such order
	leaving atomic.Bool  // clients are asked to close
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

func newFrontend(log *slog.Logger, most int) *frontend {
	f := &frontend{log: log, most: most, health: "/health", times: times{headTime, readTime, writeTime, idleTime}}
	f.linger = func(open func() int) {
		for waited := time.Duration(0); waited < lingerTime || open() > 0 && waited < f.longest()+finishSlack-finishTime; {
			time.Sleep(lingerTime / 10)
			waited += lingerTime / 10
		}
	}
	return f
}

// platformFront is the front of a node on a platform.
func platformFront(n *Node, most int) *frontend {
	f := newFrontend(n.log, most)
	p := &platform{front: f, owner: n.owner, effects: map[string]decide.Effect{}}
	var longest time.Duration
	for _, c := range n.cfg.Settings.Classes {
		p.effects[c.Name] = c.Effect
		longest = max(longest, c.Deadline)
	}
	f.longest = func() time.Duration { return longest }
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
// is open.
func (f *frontend) serve(ctx context.Context, ln net.Listener) error {
	srv := &http.Server{Handler: f, ReadHeaderTimeout: f.times.head, ReadTimeout: f.times.read, IdleTimeout: f.times.idle,
		MaxHeaderBytes: maxHead, ErrorLog: slog.NewLogLogger(f.log.Handler(), slog.LevelDebug)}
	limited := limitListener(ln, f.most)
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
	ends := time.Now().Add(max(f.longest()+finishSlack, lingerTime+finishTime))
	f.endsAt.Store(ends.UnixNano())
	f.linger(func() int { return limited.open() })
	f.leaving.Store(true)
	end, cancel := context.WithDeadline(context.WithoutCancel(ctx), ends)
	defer cancel()
	err := srv.Shutdown(end)
	if errors.Is(err, context.DeadlineExceeded) {
		// All requests are past their deadlines and so are answered: what is
		// left are connections on which none has come.
		return srv.Close()
	}
	return err
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
	t, status, err := f.read(w, r)
	if err != nil {
		f.turnAway(w, err, status)
		return
	}
	if t.done != nil {
		defer t.done()
	}
	t.owner.post(func() { t.owner.open(t.req, t.event) })
	select {
	case a := <-t.req.answer:
		f.write(w, r, a)
		afterAnswer(r)
	case <-r.Context().Done():
		t.owner.post(func() { t.owner.abandon(t.req) })
		// A client that only ended its sending can still read. Without a word
		// from here the server would tell it 200, which no backend said.
		f.write(w, r, answer{status: http.StatusBadGateway})
	case <-t.owner.ended:
		http.Error(w, "the node has ended", http.StatusBadGateway)
	}
}

// turnAway answers a request that can't be read and ends its connection. What
// follows on it may belong to the body of this request as the client sees it,
// so none of it is taken for a request; and the answer waits for no body.
func (f *frontend) turnAway(w http.ResponseWriter, err error, status int) {
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
	return &taken{owner: f.owner, event: e, req: &request{id: e.ID, deadline: f.front.deadline(arrived, patience), left: client.left,
		answer: make(chan answer, 1), out: &outbound{method: r.Method, url: target(r.URL), host: r.Host, header: endToEnd(r.Header), body: body}}}, 0, nil
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
