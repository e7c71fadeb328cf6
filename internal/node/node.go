// Package node carries out the decisions of package decide on real sockets: it
// takes clients' requests, sends them to servers, follows the list of servers
// and answers, each request once and in time.
package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"reflect"
	"slices"
	"time"

	"indigotack/decide"
)

const (
	inboxSize    = 1024
	answerMargin = 10 * time.Millisecond // an answer leaves so long before its client stops waiting
	guardDelay   = 4 * time.Millisecond  // after which the node itself ends what the module has not ended
	spareSockets = 48                    // descriptors for discovery, listener and runtime
	clientPart   = 0.5                   // of the other descriptors
)

// Node is one load-balancing proxy node.
type Node struct {
	cfg   Config
	log   *slog.Logger
	start time.Time
	inbox chan func() // run by the loop, one at a time
	ended chan struct{}

	backends  *pool
	discovery *discovery
	front     *frontend

	// The rest belongs to the loop.
	ctx      context.Context
	module   *decide.Module
	ids      *ids
	listed   map[string]decide.ServerID
	requests map[decide.RequestID]*request
	queue    []decide.Event // that came of actions, to be handled next
}

// request is a client's request until it is answered and its attempts have ended.
type request struct {
	id       decide.RequestID
	out      *outbound
	deadline time.Time
	answer   chan answer // takes the one final answer
	done     bool
	attempts []context.CancelFunc
	running  int
	guard    *time.Timer
}

// answer is a final answer to a client.
type answer struct {
	status  int
	holdOff time.Duration // of a refusal; 0: no advice
	header  http.Header
	body    []byte
}

// New makes a node; Run starts it.
func New(cfg Config, log *slog.Logger) *Node {
	n := &Node{cfg: cfg, log: log, start: time.Now(), inbox: make(chan func(), inboxSize), ended: make(chan struct{}),
		module: decide.New(cfg.Settings, cfg.Seed), ids: newIDs(), listed: map[string]decide.ServerID{},
		requests: map[decide.RequestID]*request{}}
	clients := int(clientPart * float64(cfg.Sockets-spareSockets))
	n.backends = newPool(cfg.Settings, cfg.Sockets-spareSockets-clients)
	n.front = newFrontend(n, clients)
	n.discovery = n.discoveryAt(cfg.Discovery)
	n.discovery.index = cfg.known.Index
	return n
}

// discoveryAt makes a discovery whose news count for as long as it is the node's.
func (n *Node) discoveryAt(address string) *discovery {
	var d *discovery
	news := func(f func()) {
		n.post(func() {
			if n.discovery == d {
				f()
			}
		})
	}
	d = newDiscovery(address, n.cfg.Settings.AskForList, n.log,
		func(l list) { news(func() { n.follow(l, kindOf(l)) }) },
		func() { news(func() { n.handle(decide.ListUpdate{Kind: decide.ListFailed}) }) })
	return d
}

// Reload takes up a configuration that was read anew while the node runs: it
// follows the list of servers at the new address. All else needs a restart.
func (n *Node) Reload(cfg Config) {
	n.post(func() {
		if cfg.Listen != n.cfg.Listen || cfg.Seed != n.cfg.Seed || cfg.MemoryMB != n.cfg.MemoryMB || cfg.Sockets != n.cfg.Sockets ||
			!reflect.DeepEqual(cfg.Settings, n.cfg.Settings) {
			n.log.Warn("of the new configuration only discovery is taken up; the rest needs a restart")
		}
		if cfg.Discovery == n.cfg.Discovery {
			return
		}
		n.log.Info("discovery has moved", "address", cfg.Discovery)
		n.cfg.Discovery = cfg.Discovery
		n.discovery.end()
		n.discovery = n.discoveryAt(cfg.Discovery)
		if n.cfg.Settings.AskForList {
			n.discovery.ask(n.ctx, true, true)
		} else {
			go n.discovery.follow(n.ctx)
		}
	})
}

func kindOf(l list) decide.ListKind {
	if l.Snapshot {
		return decide.ListFull
	}
	return decide.ListChanges
}

// Run serves clients on ln until ctx ends, then finishes what is open.
func (n *Node) Run(ctx context.Context, ln net.Listener) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	n.ctx = inner
	first := n.discovery // the loop may replace it
	go n.loop(inner)
	go n.backends.run(inner)
	n.post(func() { n.follow(n.cfg.known, decide.ListCached) })
	if !n.cfg.Settings.AskForList {
		go first.follow(inner)
	}
	err := n.front.serve(ctx, ln)
	stop()
	<-n.ended
	return err
}

// loop is the one owner of the module and the requests.
func (n *Node) loop(ctx context.Context) {
	defer close(n.ended)
	for {
		select {
		case f := <-n.inbox:
			f()
		case <-ctx.Done():
			return
		}
	}
}

// post has f run by the loop; once that has ended it does nothing.
func (n *Node) post(f func()) {
	select {
	case n.inbox <- f:
	case <-n.ended:
	}
}

// now is the module's clock: wall time at the start plus what has passed, so
// that it reads like the list's times and never steps back.
func (n *Node) now() decide.Time {
	return time.Duration(n.start.UnixNano()) + time.Since(n.start)
}

// handle tells the module of an event and carries out what it decides, in order.
func (n *Node) handle(e decide.Event) {
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

func (n *Node) act(a decide.Action) {
	switch a := a.(type) {
	case decide.Send:
		n.send(a)
	case decide.Refuse:
		n.finish(a.ID, answer{status: http.StatusServiceUnavailable, holdOff: a.HoldOff})
	case decide.Fail:
		n.finish(a.ID, answer{status: http.StatusBadGateway})
	case decide.CancelAttempt:
		if r := n.requests[a.ID]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
			r.attempts[a.Attempt]()
		}
	case decide.SetTimer:
		time.AfterFunc(a.After, func() { n.post(func() { n.handle(decide.TimerFired{Token: a.Token}) }) })
	case decide.CloseIdle:
		n.backends.closeIdle(a.Server)
	case decide.Subscribe:
		n.discovery.ask(n.ctx, false, a.On)
	case decide.FetchList:
		n.discovery.ask(n.ctx, true, n.cfg.Settings.AskForList)
	case decide.Log:
		n.log.Info("module: " + a.Line)
	default:
		n.log.Warn("action not carried out", "action", a)
	}
}

// open takes a client's request and tells the module of it. The answer comes
// on r.answer.
func (n *Node) open(r *request, e decide.RequestArrived) {
	if n.requests[r.id] != nil {
		// Two under one id would get each other's answers.
		r.done = true
		r.answer <- answer{status: http.StatusConflict}
		return
	}
	if most := n.cfg.Settings.MaxOpen; most > 0 && len(n.requests) >= most {
		r.done = true
		r.answer <- answer{status: http.StatusServiceUnavailable}
		return
	}
	e.Patience = time.Until(r.deadline)
	n.requests[r.id] = r
	// The module ends a request at its deadline. The guard is for one that it
	// does not end, as an answer in time is owed whatever it does.
	r.guard = time.AfterFunc(e.Patience+guardDelay, func() {
		n.post(func() {
			if !r.done {
				n.finish(r.id, answer{status: http.StatusGatewayTimeout})
				for _, cancel := range r.attempts {
					cancel() // a module that lost the request does not call them off
				}
				n.handle(decide.RequestAbandoned{ID: r.id})
			}
		})
	})
	n.handle(e)
}

// abandon ends a request whose client has gone.
func (n *Node) abandon(r *request) {
	if !r.done {
		n.close(r)
		n.handle(decide.RequestAbandoned{ID: r.id})
	}
}

// finish gives a request its final answer. All answers pass here, and only
// the first goes on.
func (n *Node) finish(id decide.RequestID, a answer) {
	if r := n.requests[id]; r != nil && !r.done {
		r.answer <- a
		n.close(r)
	}
}

func (n *Node) close(r *request) {
	r.done = true
	r.guard.Stop()
	n.forget(r)
}

func (n *Node) forget(r *request) {
	if r.done && r.running == 0 {
		delete(n.requests, r.id)
	}
}

func (n *Node) send(a decide.Send) {
	r := n.requests[a.ID]
	if r == nil {
		n.log.Error("the module sends a request that is not open", "id", a.ID)
		return
	}
	number := len(r.attempts)
	left := time.Until(r.deadline)
	if a.Timeout != 0 {
		left = min(left, a.Timeout)
	}
	ctx, cancel := context.WithTimeout(n.ctx, left)
	r.attempts = append(r.attempts, cancel)
	if r.done || r.running > 0 && !n.cfg.Settings.MayOverlap {
		cancel()
		n.queue = append(n.queue, decide.AttemptEnded{ID: r.id, Attempt: number, Server: a.Server, Over: r.done, Code: decide.Moot})
		return
	}
	r.running++
	began := time.Now()
	go func() {
		defer cancel()
		res := n.backends.attempt(ctx, a.Server, r.out)
		took := time.Since(began)
		n.post(func() { n.attemptEnded(r, number, a.Server, took, res) })
	}()
}

func (n *Node) attemptEnded(r *request, number int, server decide.ServerID, took time.Duration, res result) {
	r.running--
	if res.code == decide.OK {
		n.finish(r.id, answer{status: http.StatusOK, header: res.header, body: res.body})
	}
	over := r.done
	n.handle(decide.AttemptEnded{ID: r.id, Attempt: number, Server: server, Over: over, Elapsed: took,
		Code: res.code, Report: res.report})
	n.forget(r)
}

// follow takes a list from discovery: addresses for the sockets, the rest for
// the module.
func (n *Node) follow(l list, kind decide.ListKind) {
	entries := l.entries(n.log)
	// In one order whatever the list's, as the numbers of names that share a
	// hash depend on it.
	slices.SortFunc(entries, func(a, b entry) int {
		switch {
		case a.Name < b.Name:
			return -1
		case a.Name > b.Name:
			return 1
		}
		return 0
	})
	u := decide.ListUpdate{Kind: kind, Version: l.Index}
	missing := map[string]bool{}
	if kind != decide.ListChanges {
		for name := range n.listed {
			missing[name] = true
		}
	}
	for _, e := range entries {
		id, state := n.ids.of(e.Name), states[e.Status]
		u.Entries = append(u.Entries, decide.Server{ID: id, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, State: state,
			Size: e.Weight, StartedAt: time.Duration(e.SinceMS) * time.Millisecond})
		if missing[e.Name] = state == decide.Gone; state != decide.Gone {
			n.listed[e.Name] = id
			n.backends.set(id, e.Address, e.SinceMS)
		}
	}
	n.handle(u)
	for name, gone := range missing {
		if gone {
			n.backends.remove(n.ids.of(name))
			n.ids.forget(name)
			delete(n.listed, name)
		}
	}
	n.front.ready.Store(len(n.listed) > 0)
}
