package node

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// How many connections operators hold on addresses of their own, ordinary and
// extra ones, in equal parts. A connection carries one call. They come out of the
// descriptors that appconfig.SplitDescriptors leaves to nobody.
const (
	operatorConns      = 16
	operatorExtraConns = 8
)

// Bounds of an operator's call.
const (
	operatorReadTime  = time.Second // from its first byte
	operatorRestTime  = time.Minute // before its first byte; what rests gives way
	operatorWriteTime = 5 * time.Second
)

// operatorListeners are operators' own listeners, which share the connections
// that operators hold. They are safe for concurrent use.
type operatorListeners struct {
	mu  sync.Mutex
	all []*limited
}

// add takes up a listener.
func (o *operatorListeners) add(l *limited) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.all = append(o.all, l)
	o.share()
}

// remove has a listener no more that is closed.
func (o *operatorListeners) remove(l *limited) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.all = slices.DeleteFunc(o.all, func(other *limited) bool { return other == l })
	o.share()
}

// share gives each its part. The caller holds mu.
func (o *operatorListeners) share() {
	for _, l := range o.all {
		l.allow(max(1, operatorConns/len(o.all)), max(1, operatorExtraConns/len(o.all)))
	}
}

// allow sets how many connections are held, ordinary and extra ones.
func (l *limited) allow(most, mostExtra int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.most, l.mostExtra = most, mostExtra
}

// serveOperators answers operators on a listener of their own until the server
// is closed. It is heard as the clients' one is: in a crowd of silent
// connections, and without descriptors.
func (f *frontend) serveOperators(ln net.Listener, answers http.Handler) *http.Server {
	limited := limitListener(ln, operatorConns, f.observer)
	limited.completesCalls = true
	limited.headTime = operatorReadTime
	if ln.Addr().Network() == "unix" {
		limited.pauses = &f.pauses
	}
	f.operatorListeners.add(limited)
	f.reserve.add(&limited.spare)
	srv := f.server(limited, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		take(r)
		answers.ServeHTTP(w, r)
	}), times{head: operatorRestTime, read: operatorRestTime + operatorReadTime})
	srv.WriteTimeout = operatorWriteTime
	srv.SetKeepAlivesEnabled(false)
	go func() {
		srv.Serve(limited) // ends with Close or Shutdown
		f.operatorListeners.remove(limited)
		f.reserve.remove(&limited.spare)
	}()
	return srv
}
