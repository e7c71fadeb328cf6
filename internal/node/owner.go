package node

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"indigotack/decide"
	"indigotack/internal/clock"
	"indigotack/internal/discovery"
	"indigotack/internal/lifecycle"
	"indigotack/internal/pieces"
	"indigotack/internal/repeats"
)

const (
	eventQueueSize = 1024
	answerMargin   = 10 * time.Millisecond // an answer leaves so long before its client stops waiting
	watchdogDelay  = 4 * time.Millisecond  // after which the owner itself ends what the module has not ended
)

// owner has one pool of servers: its module, its connections and the requests
// that are open in it. One goroutine, its loop, feeds the module and carries
// out what it decides, so that each request gets one final answer.
type owner struct {
	*observer
	start       time.Time
	wall        time.Duration // what the wall clock read then, as Unix time
	events      chan func()   // run by the loop, one at a time
	ended       chan struct{}
	backends    *pool
	listChanged func(servers int)       // called by the loop
	ask         func(fetch, watch bool) // how the module asks for a list; nil where lists are pushed

	// The rest belongs to the loop.
	set         decide.Settings
	ctx         context.Context
	module      *decide.Module
	ids         *ids
	listed      map[string]decide.ServerID
	entries     map[string]discovery.Entry // as listed last
	listVersion uint64                     // of that list
	notReady    departures
	startTimes  startTimes
	requests    map[decide.RequestID]*request
	mayHaveRun  *repeats.Memory // of requests that are over and are not safe to repeat; nil: ids are not their clients'
	queue       []decide.Event  // that came of actions, to be handled next
}

// request is a client's request until it is answered and its attempts have ended.
type request struct {
	id       decide.RequestID
	out      *outbound
	deadline time.Time
	cut      bool        // the deadline is this node's end or drain, and not the client's
	answer   chan answer // takes the one final answer
	done     bool
	attempts []sent
	running  int
	unsafe   bool          // a second run would do harm
	safe     bool          // it may run again and again
	scope    decide.Scope  // of a keyed class: which servers drop repeats for one another
	window   time.Duration // of a keyed class: how long after the first send that may have run another one may be written; 0: any time
	watchdog *time.Timer
	passable answer // a server's own account of its failure, where that may be passed on
	opened   time.Time
}

// answer is a final answer to a client.
type answer struct {
	status  int
	served  bool          // header and body are a server's
	holdOff time.Duration // of a refusal; 0: no advice
	header  http.Header
	body    *pieces.Body
	length  int64 // of the body, as the server's head has it; -1: it does not
	passed  bool  // the body may not have come whole yet
}

// answerOf is the client's answer of an attempt that got one.
func answerOf(res result) answer {
	return answer{status: res.status, served: true, header: res.header, body: res.body, length: res.length, passed: res.passed}
}

// answerOr is the request's final answer if it has been given, whatever else
// has happened since, or else another. Nothing takes one after it.
func (r *request) answerOr(other answer) answer {
	select {
	case a := <-r.answer:
		return a
	default:
		return other
	}
}

// dropAnswer drops an answer that nobody has taken. The request is to be over by then.
func (r *request) dropAnswer() {
	a := r.answerOr(answer{})
	a.body.Abandon()
}

func newOwner(s decide.Settings, seed int64, sockets int, o *observer) *owner {
	return &owner{observer: o, start: time.Now(), wall: time.Duration(clock.Wall().UnixNano()), events: make(chan func(), eventQueueSize), ended: make(chan struct{}),
		backends: newPool(s, sockets, o), listChanged: func(int) {}, set: s, module: decide.New(s, seed), ids: newIDs(),
		listed: map[string]decide.ServerID{}, entries: map[string]discovery.Entry{}, notReady: departures{}, startTimes: newStartTimes(), requests: map[decide.RequestID]*request{}}
}

// run starts the loop. It goes on after ctx has ended, until stop is called.
func (n *owner) run(ctx context.Context) (stop context.CancelFunc) {
	n.ctx, stop = context.WithCancel(context.WithoutCancel(ctx))
	go n.loop(n.ctx)
	go n.backends.run(n.ctx)
	return stop
}

// reconfigure takes up other classes, tenants and bounds. Requests in hand
// end under the ones that they came under.
func (n *owner) reconfigure(s decide.Settings) {
	n.post(func() {
		n.set = s
		n.handle(decide.SettingsChanged{Settings: s})
	})
}

// followDrain has the module know whether operators have the node drained, as it
// is when the loop gets to it. It does not wait for that.
func (n *owner) followDrain(life *lifecycle.Node) {
	go n.post(func() { n.handle(decide.Drained{On: life.Drained() != nil}) })
}

// loop is the one owner of the module and the requests.
func (n *owner) loop(ctx context.Context) {
	defer close(n.ended)
	for {
		select {
		case f := <-n.events:
			f()
		case <-ctx.Done():
			n.checkEnd()
			return
		}
	}
}

// checkEnd tells of requests that have no answer when the loop ends.
func (n *owner) checkEnd() {
	for id, r := range n.requests {
		if !r.done {
			n.violation(lifecycle.EndedWithRequests, "id", id)
		}
	}
}

// post has f run by the loop; once that has ended it does nothing.
func (n *owner) post(f func()) {
	select {
	case n.events <- f:
	case <-n.ended:
	}
}

// settle has f run by the loop and returns when it has run, or the loop has ended.
func (n *owner) settle(f func()) {
	ran := make(chan struct{})
	n.post(func() {
		f()
		close(ran)
	})
	select {
	case <-ran:
	case <-n.ended:
	}
}

// now is the module's clock: wall time at the start plus what has passed, so
// that it reads like the list's times and never steps back.
func (n *owner) now() decide.Time {
	return n.wall + time.Since(n.start)
}

// handle tells the module of an event and carries out what it decides, in order.
func (n *owner) handle(e decide.Event) {
	n.queue = append(n.queue, e)
	if len(n.queue) > 1 {
		return // the call further up gets to it
	}
	for len(n.queue) > 0 {
		for _, a := range n.module.Handle(n.now(), n.queue[0]) {
			n.act(a)
		}
		n.queue = n.queue[1:]
	}
	n.queue = nil
}

func (n *owner) act(a decide.Action) {
	switch a := a.(type) {
	case decide.Send:
		n.send(a)
	case decide.Refuse:
		n.answerWithout(a.ID, answer{status: http.StatusServiceUnavailable, holdOff: a.HoldOff}, "refused_"+a.Cause.String())
	case decide.Fail:
		n.answerWithout(a.ID, answer{status: http.StatusBadGateway}, "failed_"+a.Cause.String())
	case decide.CancelAttempt:
		if r := n.requests[a.ID]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
			r.attempts[a.Attempt].cancel()
		}
	case decide.SetTimer:
		time.AfterFunc(a.After, func() { n.post(func() { n.handle(decide.TimerFired{Token: a.Token}) }) })
	case decide.CloseIdle:
		n.backends.closeIdle(a.Server)
	case decide.Subscribe:
		n.askForList(false, a.On)
	case decide.FetchList:
		n.askForList(true, n.set.AskForList)
	case decide.Log:
		n.log.Info("module: " + a.Line)
	default:
		n.log.Warn("action not carried out", "action", a)
	}
}

// open takes a client's request and tells the module of it. The answer comes
// on r.answer.
func (n *owner) open(r *request, e decide.RequestArrived) {
	if n.requests[r.id] != nil {
		// Two under one id would get each other's answers.
		n.reject(r, answer{status: http.StatusConflict}, "duplicate_id")
		return
	}
	if most := n.set.MaxOpen; most > 0 && len(n.requests) >= most {
		n.reject(r, answer{status: http.StatusServiceUnavailable}, "too_many_open")
		return
	}
	if e.Patience = time.Until(r.deadline); e.Patience <= 0 || r.out.clientGone() {
		// It came while the process stood still, or lay unread for as long.
		n.reject(r, answer{status: http.StatusServiceUnavailable}, "late_or_disconnected")
		return
	}
	if n.mayHaveRun != nil && n.mayHaveRun.Knows(string(r.id), time.Now()) {
		n.reject(r, answer{status: http.StatusConflict}, "id_may_have_run") // a refusal would tell that it did not
		return
	}
	r.opened = time.Now()
	n.requests[r.id] = r
	if i := slices.IndexFunc(n.set.Classes, func(c decide.Class) bool { return c.Name == e.Class }); i >= 0 {
		class := n.set.Classes[i]
		r.unsafe, r.safe = class.Effect == decide.Unsafe, class.Effect == decide.Safe
		if class.Effect == decide.Keyed {
			r.window, r.scope = class.DedupWindow, class.KeyScope
		}
	}
	// The module ends a request at its deadline. The watchdog is for one that it
	// does not end, as an answer in time is owed whatever it does.
	r.watchdog = time.AfterFunc(e.Patience+watchdogDelay, func() { n.post(func() { n.overdue(r) }) })
	n.handle(e)
}

// reject answers a request that is not opened at all.
func (n *owner) reject(r *request, a answer, reason string) {
	r.done = true
	n.note(slog.LevelInfo, "request rejected", eventRequest, reason, "id", r.id)
	r.answer <- a
}

// overdue answers a request that is out of time, whatever is still out for it.
func (n *owner) overdue(r *request) {
	if r.done {
		return
	}
	n.finish(r.id, timeoutAnswer(r), "overdue")
	for _, a := range r.attempts {
		a.cancel() // a module that lost the request does not call them off
	}
	n.handle(decide.RequestAbandoned{ID: r.id})
}

// timeoutAnswer is the answer to a request that is out of time: it is refused only
// where it was never sent, as an attempt may have run.
func timeoutAnswer(r *request) answer {
	if len(r.attempts) > 0 {
		return answer{status: http.StatusGatewayTimeout}
	}
	return answer{status: http.StatusServiceUnavailable}
}

// abandon ends a request whose client has gone.
func (n *owner) abandon(r *request) {
	if !r.done {
		n.note(slog.LevelInfo, "request abandoned", eventRequest, "client_disconnected", "id", r.id, "attempts", len(r.attempts), "after", time.Since(r.opened))
		n.close(r)
		n.handle(decide.RequestAbandoned{ID: r.id})
	}
}

// finish gives a request its final answer. All answers pass here, and only
// the first goes on.
func (n *owner) finish(id decide.RequestID, a answer, reason string) {
	if r := n.requests[id]; r != nil && !r.done {
		if a.served {
			n.count(eventRequest, reason)
		} else {
			n.note(slog.LevelInfo, "request answered without a server", eventRequest, reason,
				"id", id, "status", a.status, "attempts", len(r.attempts), "after", time.Since(r.opened))
		}
		r.answer <- a
		n.close(r)
	}
}

// answerWithout ends a request for which no server made an answer, with that of
// the server that was tried last if it may be passed on: they tell the client more, and promise nothing.
func (n *owner) answerWithout(id decide.RequestID, a answer, reason string) {
	if r := n.requests[id]; r != nil && r.passable.served && !r.done {
		a, r.passable = r.passable, answer{}
	}
	n.finish(id, a, reason)
}

func (n *owner) close(r *request) {
	r.done = true
	r.passable.body.Abandon()
	r.out.over.Store(true)
	r.watchdog.Stop()
	n.forget(r)
}

func (n *owner) forget(r *request) {
	if !r.done || r.running > 0 {
		return
	}
	delete(n.requests, r.id)
	if n.mayHaveRun == nil || r.safe || r.firstThatMayRun() < 0 {
		return
	}
	if !n.mayHaveRun.Remember(string(r.id), time.Now()) {
		n.note(slog.LevelWarn, "an id is forgotten before its time", eventRequest, "id_forgotten", "remembered", n.mayHaveRun.Len())
	}
}

// expire ends a request whose time is over, or whose client has gone, before
// it is sent. The owner may hear of either only now: a process that has stood
// still finds its timers, its clients' ends and its own decisions in any order.
func (n *owner) expire(r *request) {
	n.finish(r.id, timeoutAnswer(r), "expired_or_disconnected")
	n.queue = append(n.queue, decide.RequestAbandoned{ID: r.id})
}
