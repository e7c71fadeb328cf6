package operators

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"indigotack/internal/clock"
)

const (
	firstTry    = 50 * time.Millisecond // that a node's start waits for its addresses
	firstRetry  = 10 * time.Millisecond // after an address that could not be had
	mostRetry   = time.Second
	lookEvery   = time.Second     // at whether a socket's file is still there
	openCalls   = 2 * time.Second // for calls that are open where an address is given up
	maxReasonIn = 200             // bytes of a reason in a line of the log
)

// Server hears operators' calls that come to a listener, which was told by a name,
// with a prefix in front of their paths or without.
// It serves in the background until the server that it gives is closed.
type Server func(ln net.Listener, name, prefix string) *http.Server

// errNodeEnds is why all addresses are given up.
var errNodeEnds = errors.New("the node ends")

// Listeners hear operators at the addresses that a node was told. They are safe
// for concurrent use.
type Listeners struct {
	serve Server
	node  string // its name, as places to call are told it
	log   *slog.Logger

	mu      sync.Mutex
	ended   bool
	found   Found
	entries []*entry
	leaving []*entry // go once one of their successors is heard
	begun   []*entry // those successors
	running sync.WaitGroup
}

// Start hears operators at the addresses found, each as soon as it can be had. It
// waits only for the first try of each, and not for long.
func Start(found Found, node string, serve Server, log *slog.Logger) *Listeners {
	l := &Listeners{serve: serve, node: node, log: log}
	l.Update(found)
	overdue := time.After(firstTry)
	for _, e := range l.entries {
		select {
		case <-e.tried:
		case <-overdue:
			return l
		}
	}
	return l
}

// Update hears operators at other addresses from now on. One that stays is not
// interrupted. One that goes stays until one of those that come can be had, unless
// it is in the way of that; the calls that are open there are answered.
func (l *Listeners) Update(found Found) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	old := slices.Concat(l.entries, l.leaving)
	l.found, l.entries, l.leaving, l.begun = found, nil, nil, nil
	var come []Address
	for _, a := range found.Addresses {
		i := slices.IndexFunc(old, func(e *entry) bool { return e.endpoint == a.Endpoint })
		if i >= 0 {
			old[i].rename(a.Names)
			l.entries = append(l.entries, old[i])
			old = slices.Delete(slices.Clone(old), i, i+1)
			continue
		}
		come = append(come, a)
	}
	for _, e := range old {
		if len(come) == 0 || slices.ContainsFunc(come, func(a Address) bool { return a.Endpoint.inTheWayOf(e.endpoint) }) {
			l.leave(e)
		} else {
			l.leaving = append(l.leaving, e)
		}
	}
	for _, a := range come {
		l.begun = append(l.begun, l.begin(a))
	}
	l.entries = append(l.entries, l.begun...)
}

// leave ends an address at which operators are not to be heard any more.
func (l *Listeners) leave(e *entry) {
	l.log.Info("operators are no longer answered", "address", e.endpoint.String())
	e.end(nil)
}

// succeeded ends the addresses that go once one of their successors is heard.
func (l *Listeners) succeeded(e *entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Contains(l.begun, e) {
		return
	}
	for _, old := range l.leaving {
		l.leave(old)
	}
	l.leaving, l.begun = nil, nil
}

// begin hears operators at one more address. The caller holds mu.
func (l *Listeners) begin(a Address) *entry {
	ctx, end := context.WithCancelCause(context.Background())
	e := &entry{endpoint: a.Endpoint, names: a.Names, mayVisit: !a.byOthers, end: end, of: l, why: "not tried yet", tried: make(chan struct{})}
	l.running.Go(func() { e.run(ctx) })
	return e
}

// Close ends all, and removes the files of sockets that are the node's own.
func (l *Listeners) Close() {
	l.mu.Lock()
	l.ended = true
	for _, e := range slices.Concat(l.entries, l.leaving) {
		e.end(errNodeEnds)
	}
	l.mu.Unlock()
	l.running.Wait()
}

// At are the addresses at which operators are heard, each with the names that told it.
func (l *Listeners) At() (all []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range slices.Concat(l.entries, l.leaving) {
		if heard, text := e.text(); heard {
			all = append(all, text)
		}
	}
	if names := l.found.OnListen; len(names) > 0 {
		all = append(all, "listen("+strings.Join(names, ",")+")")
	}
	return all
}

// NotAt are the addresses at which they are not, and what is no address, each
// with the names that told it and the reason.
func (l *Listeners) NotAt() (all []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		if heard, text := e.text(); !heard {
			all = append(all, text)
		}
	}
	for _, r := range l.found.Refused {
		all = append(all, r.String())
	}
	return all
}

// entry is one address, heard or not.
type entry struct {
	endpoint Endpoint
	of       *Listeners
	end      context.CancelCauseFunc
	mayVisit bool
	visitor  visitor       // of an address that somebody else has
	tried    chan struct{} // closed when the address was tried first

	mu    sync.Mutex
	names []string
	heard bool
	why   string // it is not
}

func (e *entry) rename(names []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.names = names
}

// name is the first of those that told it.
func (e *entry) name() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.names[0]
}

// text is the address as it stands in a line of the log, and whether it is heard.
func (e *entry) text() (heard bool, text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	text = e.endpoint.String() + "(" + strings.Join(e.names, ",") + ")"
	if !e.heard {
		text += ": " + cut(e.why)
		if seen := e.visitor.seen(); seen != "" {
			text += "; " + cut(seen)
		}
	}
	return e.heard, text
}

func cut(reason string) string { return reason[:min(len(reason), maxReasonIn)] }

// noteHeard notes that operators are heard, or why they are not.
func (e *entry) noteHeard(heard bool, why string) (news bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	news = e.heard != heard || e.why != why
	e.heard, e.why = heard, why
	return news
}

// run listens at the address as soon as it can be had, for as long as it is to.
func (e *entry) run(ctx context.Context) {
	var background sync.WaitGroup // visits, and servers that close
	defer background.Wait()
	defer e.visitor.stop()
	noteTried := sync.OnceFunc(func() { close(e.tried) })
	defer noteTried()
	for wait := firstRetry; ctx.Err() == nil; wait = min(2*wait, mostRetry) {
		ln, err := e.endpoint.listen(ctx, e.visitor.refused())
		if err != nil {
			e.refused(err)
			noteTried()
			if e.mayVisit && taken(err) {
				e.visitor.start(ctx, &background, e)
			}
			clock.Sleep(ctx, wait)
			continue
		}
		e.visitor.stop()
		srv := e.serve(ln)
		e.of.succeeded(e)
		noteTried()
		e.hear(ctx, ln, srv, &background)
		wait = firstRetry
	}
}

func taken(err error) bool {
	var u *unavailable
	return errors.As(err, &u) && u.taken
}

// whyNot is an error's reason in a few words.
func whyNot(err error) string {
	var u *unavailable
	if errors.As(err, &u) {
		return u.why
	}
	return err.Error()
}

// refused notes that the address can't be had, and logs that where it is news.
func (e *entry) refused(err error) {
	if e.noteHeard(false, whyNot(err)) {
		e.of.log.Error("the address for operators can't be had, it is tried again", "address", e.endpoint.String(), "told_by", e.name(), "err", err)
	}
}

// serve begins to serve operators at the address.
func (e *entry) serve(ln *listener) *http.Server {
	name := e.name()
	srv := e.of.serve(ln, name, e.endpoint.Prefix)
	e.noteHeard(true, "")
	e.of.log.Info("operators are answered", "address", ln.Addr(), "told_by", name)
	return srv
}

// hear has operators served until the address is given up, or its file is gone.
func (e *entry) hear(ctx context.Context, ln *listener, srv *http.Server, background *sync.WaitGroup) {
	for clock.Sleep(ctx, lookEvery) && ln.isThere() {
	}
	e.noteHeard(false, "its socket's file is gone")
	if ctx.Err() != nil {
		ln.removeFile()
	}
	if context.Cause(ctx) == errNodeEnds {
		srv.Close()
		return
	}
	background.Go(func() { closeAfterCalls(srv) })
}

// closeAfterCalls closes a server once the calls that are open are answered.
func closeAfterCalls(srv *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), openCalls)
	defer cancel()
	if srv.Shutdown(ctx) != nil {
		srv.Close()
	}
}
