package node

import (
	"net"
	"net/http"
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
	operatorReadTime  = time.Second
	operatorWriteTime = 5 * time.Second
)

// serveOperators answers operators on a listener of their own that was told by a
// name, until the server is closed. It is heard as the clients' one is: in a
// crowd of silent connections, and without descriptors.
func (f *frontend) serveOperators(ln net.Listener, name string, answers http.Handler) *http.Server {
	limited := limitListener(ln, operatorConns/f.operatorAddresses, f.observer)
	limited.mostExtra = operatorExtraConns / f.operatorAddresses
	limited.completesCalls = true
	f.reserve.add(&limited.spare)
	srv := f.server(limited, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		take(r)
		answers.ServeHTTP(w, r)
	}), times{head: operatorReadTime, read: operatorReadTime})
	srv.WriteTimeout = operatorWriteTime
	srv.SetKeepAlivesEnabled(false)
	f.calls.listen(ln.Addr().String(), name)
	go srv.Serve(limited) // ends with Close
	return srv
}
