package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"indigotack/decide"
	"indigotack/internal/account"
	"indigotack/internal/eventlog"
	"indigotack/internal/lifecycle"
	"indigotack/internal/operators"
	"indigotack/internal/turns"
)

const (
	stopTick    = 5 * time.Millisecond    // how often a node that stops looks whether it is done
	headTime    = 2 * time.Second         // for a request's head
	readTime    = 2500 * time.Millisecond // for a whole request
	writeTime   = 5 * time.Second         // for an answer
	dregsTime   = 200 * time.Millisecond  // for what is left of a request that is turned away
	idleTime    = 4 * time.Second         // for a connection between requests
	maxIDLength = 128
	maxLogged   = 200 // bytes of what a client says, in a line of the log
	maxPatience = time.Hour
)

// frontend takes clients' requests and writes their answers.
type frontend struct {
	*observer
	most    int              // connections
	account *account.Account // what clients' and servers' bodies are held in; nil: it has no bound
	health  string
	times   times
	life    lifecycle.Node
	plan    func() lifecycle.ShutdownPlan // of a stop that begins now
	drain   func(open func() int)         // serves on until clients are asked to close
	// read checks a request. The status goes with the error.
	read    func(w http.ResponseWriter, r *http.Request) (*taken, int, error)
	over    broadcast               // sent when all that is taken has to be answered
	limited atomic.Pointer[limited] // the listener while it serves
	inHand  atomic.Int64            // requests that were read and have no answer yet
	orders  ordersOnListen
	reserve reserve
	pauses  pauseWatch

	operatorListeners operatorListeners // beside the one where clients connect
	operatorsPrefix   string            // is taken in front of their calls where clients connect, too

	tellsCounters atomic.Bool // on the address where clients connect
	drainChanged  func()      // called after a drain has begun or ended; must not wait
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
	f := &frontend{observer: o, most: most, health: "/health", times: times{headTime, readTime, writeTime, idleTime}}
	f.drain = f.drainOn
	f.drainChanged = func() {}
	return f
}

// serve takes requests until ctx ends. Then it says that it is not ready and
// goes on for as long as it can still finish what it takes: the front sends
// new connections until it has noticed, and clients that keep theirs may have
// no other node just now. Then it asks each client to close and finishes what
// is open. By the plan's time all that was taken has its answer, before the
// termination signal or after it.
func (f *frontend) serve(ctx context.Context, ln net.Listener) error {
	limited := limitListener(ln, f.most, f.observer)
	limited.life = &f.life
	limited.completesCalls = f.orders == ordersByPath
	limited.reserve = &f.reserve
	f.limited.Store(limited)
	srv := f.server(limited, operators.WithoutPrefix(f.operatorsPrefix, f), f.times)
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(limited) }()
	ended := make(chan struct{})
	defer close(ended)
	go f.pauses.run(ended)
	select {
	case err := <-failed:
		return fmt.Errorf("serving clients: %w", err)
	case <-ctx.Done():
	}
	onStop()
	f.shutdown(limited)
	<-failed // as the listener has closed
	f.finish(limited)
	// All requests have had their answers, and the time to write them: what is
	// left are connections whose clients do not read.
	return srv.Close()
}

// server serves connections of a listener. All requests are left to the handler.
func (f *frontend) server(l *limited, handler http.Handler, times times) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: times.head, ReadTimeout: times.read, IdleTimeout: times.idle,
		MaxHeaderBytes: maxHead, ErrorLog: slog.NewLogLogger(f.log.Handler(), slog.LevelDebug),
		ConnState: l.note, ConnContext: withClient, DisableGeneralOptionsHandler: true}
}

// shutdown begins an orderly stop and returns when the listener is closed and
// clients are asked to close.
func (f *frontend) shutdown(limited *limited) {
	plan := f.plan()
	terminated := f.terminatedAt(time.Now(), plan)
	f.life.Terminate(terminated, plan)
	f.note(slog.LevelInfo, "termination signal", eventPhase, lifecycle.Draining.String(), "open", limited.open(), "came_ago", time.Since(terminated),
		"close_after", plan.Close, "answer_after", plan.Answer, "end_after", plan.End)
	time.AfterFunc(time.Until(terminated.Add(plan.Answer)), f.over.send)
	f.drain(limited.open)
	f.life.Close()
	f.note(slog.LevelInfo, "asking clients to close", eventPhase, lifecycle.Closing.String(),
		"open", limited.open(), "after", time.Since(terminated))
	limited.leave(func() bool { return f.phase() < lifecycle.Expired })
}

// terminatedAt is when the termination signal may have come that has just been
// read. What was taken has the plan's last steps left for its answer to be written,
// however long the process stood still.
func (f *frontend) terminatedAt(now time.Time, plan lifecycle.ShutdownPlan) time.Time {
	came, _ := f.pauses.came(now)
	if last := now.Add(-plan.Answer); came.Before(last) {
		return last
	}
	return came
}

// drainOn serves on until clients are to be asked to close.
func (f *frontend) drainOn(open func() int) {
	for f.life.MayDrainOn(time.Now(), open()) {
		time.Sleep(stopTick)
	}
}

// finish waits until the connections have ended, or their time is over. What
// has not come whole by then is refused.
func (f *frontend) finish(limited *limited) {
	for limited.advance() > 0 && f.phase() < lifecycle.Ended {
		time.Sleep(stopTick)
	}
	f.note(slog.LevelInfo, "connections ended", eventPhase, lifecycle.Ended.String(), "cut", limited.open())
}

// phase is where the node is in its life now.
func (f *frontend) phase() lifecycle.Phase { return f.life.Phase(time.Now()) }

// connections counts clients' connections.
func (f *frontend) connections() int {
	if l := f.limited.Load(); l != nil {
		return l.open()
	}
	return 0
}

// phaseFor is how far the node's end, or its drain, has come for the client of a request.
func (f *frontend) phaseFor(r *http.Request) lifecycle.Phase {
	return f.life.ConnectionPhase(time.Now(), clientOf(r).accepted())
}

// closing tells whether the client of a request is asked to close.
func (f *frontend) closing(r *http.Request) bool { return f.phaseFor(r) >= lifecycle.Closing }

// ServeHTTP answers the health checks and operators, and passes requests to the loop.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	take(r)
	if f.closing(r) || clientOf(r).extra() {
		w.Header().Set("Connection", "close")
	}
	if f.healthCheck(w, r) || f.operatorCall(w, r) {
		return
	}
	over := f.over.wait() // before the deadline is set, which goes by the steps that are known by then
	if !f.life.MayOpen(clientOf(r).accepted()) {
		f.endUnopened(w, r, errDrained, http.StatusServiceUnavailable, "refused_drained")
		return
	}
	if !clientOf(r).admitted() {
		f.endUnopened(w, r, errNoRoom, http.StatusServiceUnavailable, "refused_no_room")
		return
	}
	began := time.Now()
	t, status, err := f.readSafely(w, r)
	f.stages.note(stageRead, time.Since(began))
	if err != nil {
		f.turnAway(w, r, err, status)
		return
	}
	f.inHand.Add(1)
	defer f.inHand.Add(-1)
	if t.done != nil {
		defer t.done()
	}
	defer t.req.dropAnswer()
	clientOf(r).owe()
	read := time.Now()
	t.owner.post(func() {
		f.stages.note(stageQueued, time.Since(read))
		t.owner.open(t.req, t.event)
	})
	for {
		select {
		case a := <-t.req.answer:
			f.write(w, r, a)
			f.checkAnswer(t.req)
			afterAnswer(r)
		case <-over:
			t.owner.post(func() { t.owner.overdue(t.req) })
			over = nil
			continue
		case <-r.Context().Done():
			t.owner.settle(func() { t.owner.abandon(t.req) })
			// A client that only ended its sending can still read. Without a word
			// from here the server would tell it 200, which no backend said.
			f.write(w, r, t.req.answerOr(answer{status: http.StatusBadGateway}))
		case <-t.owner.ended:
			f.write(w, r, t.req.answerOr(answer{status: http.StatusBadGateway}))
		}
		return
	}
}

// checkAnswer tells of an answer that came too late for its client.
func (f *frontend) checkAnswer(r *request) {
	if violation, late := lifecycle.CheckAnswer(time.Now(), r.deadline.Add(answerMargin)); late {
		f.violation(violation, "id", r.id)
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

// turnAway answers a request that can't be read.
func (f *frontend) turnAway(w http.ResponseWriter, r *http.Request, err error, status int) {
	if f.phaseFor(r) >= lifecycle.Refusing { // it is the node that does not wait for the rest
		status = http.StatusServiceUnavailable
	}
	f.endUnopened(w, r, err, status, "unreadable_"+strconv.Itoa(status))
}

// endUnopened answers a request that is not opened and ends its connection. What
// follows on it may belong to the body of this request as the client sees it,
// so none of it is taken for a request.
func (f *frontend) endUnopened(w http.ResponseWriter, r *http.Request, err error, status int, reason string) {
	f.note(slog.LevelInfo, "request refused unopened", eventRequest, reason, "err", err, "method", r.Method, "path", shortened(r.URL.Path),
		"id", shortened(r.Header.Get("X-Request-Id")), "client", r.RemoteAddr)
	endAfterAnswer(w, r)
	http.Error(w, err.Error(), status)
}

// endAfterAnswer has the connection of a request end with its answer, which waits
// for no body.
func endAfterAnswer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	if r.ContentLength != 0 {
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(dregsTime)) // fails only on a closed connection
	}
	clientOf(r).answeredLast()
}

// healthCheck answers whether the node lives, and whether it is ready. It is
// false for all else.
func (f *frontend) healthCheck(w http.ResponseWriter, r *http.Request) bool {
	if f.health == "" {
		return false
	}
	switch r.URL.Path {
	case f.health + "/ready", f.health + "/live":
	default:
		return false
	}
	clientOf(r).spend(turns.Check)
	if r.ContentLength != 0 {
		endAfterAnswer(w, r)
	}
	if r.URL.Path == f.health+"/ready" && f.phase() != lifecycle.Ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return true
	}
	io.WriteString(w, "ok\n")
	return true
}

// newRequest is a request that arrived then, whose client waits for patience.
func (f *frontend) newRequest(id decide.RequestID, arrived time.Time, patience time.Duration, out *outbound) *request {
	waits := arrived.Add(patience)
	by := f.life.AnswerBy(waits)
	return &request{id: id, deadline: by.Add(-answerMargin), cut: by.Before(waits), answer: make(chan answer, 1), out: out}
}

// shortened is what a client says, cut for the log.
func shortened(text string) string {
	return eventlog.Shortened(text)
}
