package node

import (
	"net"
	"net/http"
	"time"
)

// How many connections operators hold on one address of their own, ordinary and
// extra ones. A connection carries one call. With mostOperatorAddresses they come
// out of the descriptors that appconfig.SplitDescriptors leaves to nobody.
const (
	operatorConns      = 4
	operatorExtraConns = 2
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
	limited := limitListener(ln, operatorConns, f.observer)
	limited.mostExtra = operatorExtraConns
	limited.completesCalls = true
	srv := f.server(limited, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		clientOf(r).take()
		answers.ServeHTTP(w, r)
	}), times{head: operatorReadTime, read: operatorReadTime})
	srv.WriteTimeout = operatorWriteTime
	srv.SetKeepAlivesEnabled(false)
	f.calls.listen(ln.Addr().String(), name)
	go srv.Serve(limited) // ends with Close
	return srv
}
