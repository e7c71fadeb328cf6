package discovery

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"indigotack/internal/clock"
	"indigotack/internal/standin"
)

// fakeAgent is a node's local agent in memory, for tests in a bubble of fake time.
// A server named "s" drains with its version 2.
type fakeAgent struct {
	server *http.Server
	accept chan net.Conn
	closed chan struct{}
	close  func()
	dials  time.Duration // that a connection takes to come up

	mu      sync.Mutex
	drained chan struct{} // closed once the server drains
	manner  func(call int) standin.Manner
	kept    bool // only calls on connections that have carried one before are answered so
	refuses bool // connections
	blank   bool // has been sent no list
	calls   int
	most    int // calls that were open at once
	open    int
	first   chan struct{} // closed when a call comes in the present manner
}

// carriedKey is the key of how many calls a connection has carried.
type carriedKey struct{}

func newFakeAgent() *fakeAgent {
	a := &fakeAgent{accept: make(chan net.Conn), closed: make(chan struct{}), drained: make(chan struct{})}
	a.close = sync.OnceFunc(func() { close(a.closed) })
	a.behave(standin.Manner{})
	a.server = &http.Server{Handler: a, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, carriedKey{}, new(atomic.Int64))
	}}
	go a.server.Serve(a)
	return a
}

// Accept, Close and Addr make the agent a net.Listener.
func (a *fakeAgent) Accept() (net.Conn, error) {
	select {
	case c := <-a.accept:
		return c, nil
	case <-a.closed:
		return nil, net.ErrClosed
	}
}

func (a *fakeAgent) Close() error   { a.close(); return nil }
func (a *fakeAgent) Addr() net.Addr { return &net.UnixAddr{} }

// dial connects to the agent.
func (a *fakeAgent) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	a.mu.Lock()
	takes, refuses := a.dials, a.refuses
	a.mu.Unlock()
	if refuses {
		return nil, syscall.ECONNREFUSED
	}
	if !clock.Sleep(ctx, takes) {
		return nil, context.Cause(ctx)
	}
	ours, theirs := net.Pipe()
	select {
	case a.accept <- theirs:
		return ours, nil
	case <-a.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// behave has calls from now on answered in manners one after another, the last one
// for ever.
func (a *fakeAgent) behave(manners ...standin.Manner) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls, a.first, a.kept = 0, make(chan struct{}), false
	a.manner = func(call int) standin.Manner { return manners[min(call, len(manners))-1] }
}

// awaitCall waits for a call in the present manner.
func (a *fakeAgent) awaitCall() {
	a.mu.Lock()
	first := a.first
	a.mu.Unlock()
	<-first
}

// ServeHTTP answers a call. What it has is told once something is newer than the
// version asked from, or the call's hold is over.
func (a *fakeAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	a.mu.Lock()
	if a.calls++; a.calls == 1 {
		close(a.first)
	}
	manner := a.manner(a.calls)
	if renewed := r.Context().Value(carriedKey{}).(*atomic.Int64).Add(1) > 1; a.kept && !renewed {
		manner = standin.Manner{}
	}
	a.open++
	a.most = max(a.most, a.open)
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.open--
	}()
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	if from == 1 && hold > 0 {
		select {
		case <-a.drained:
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	manner.Answer(w, r, began, a.answer(from))
}

// answer is what the agent has after a version.
func (a *fakeAgent) answer(from int) []byte {
	index, status := 1, "ready"
	a.mu.Lock()
	blank := a.blank
	a.mu.Unlock()
	if blank {
		return []byte(`{"index":0,"snapshot":true,"endpoints":[]}`)
	}
	select {
	case <-a.drained:
		index, status = 2, "draining"
	default:
	}
	var entries []string
	if from < index {
		entries = append(entries, entryJSON("s", status))
	}
	return fmt.Appendf(nil, `{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, from == 0, strings.Join(entries, ","))
}
