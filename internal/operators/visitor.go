package operators

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"indigotack/internal/clock"
	"indigotack/internal/neterr"
)

const (
	firstVisit = 250 * time.Millisecond // after the address was first taken
	visitEvery = 15 * time.Second       // between connections to who else is there
	visitAgain = 100 * time.Millisecond // after one on which requests came
	quietTime  = time.Second            // for the other side to speak first, and to answer
	holdTime   = 60 * time.Second       // that a connection is kept on which requests may come
	shownBytes = 60                     // of what the other side says
)

// visitor connects to an address that somebody else has, as orders may be to be
// had there. It is safe for concurrent use.
type visitor struct {
	mu     sync.Mutex
	end    context.CancelFunc // nil: it does not run
	result string
	denied bool // the last connection was refused
}

// start has the place visited until stop is called, or ctx ends.
func (v *visitor) start(ctx context.Context, running *sync.WaitGroup, e *entry) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.end != nil {
		return
	}
	ctx, v.end = context.WithCancel(ctx)
	running.Go(func() {
		for wait := firstVisit; clock.Sleep(ctx, wait); {
			wait = v.visit(ctx, e)
		}
	})
}

func (v *visitor) stop() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.end != nil {
		v.end()
	}
	v.end, v.result = nil, ""
}

// seen is what the last visit has found, "" before the first.
func (v *visitor) seen() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.result
}

// note keeps what a visit has found, and logs it where that is news.
func (v *visitor) note(e *entry, format string, args ...any) {
	result := fmt.Sprintf(format, args...)
	v.mu.Lock()
	news := v.result != result
	v.result = result
	v.mu.Unlock()
	if news {
		e.of.log.Info("somebody else is at the address for operators", "address", e.endpoint.String(), "told_by", e.name(), "seen", result)
	}
}

// refused tells whether the last connection was refused, so that nobody is there.
func (v *visitor) refused() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.denied
}

func (v *visitor) noteRefused(err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.denied = errors.Is(err, syscall.ECONNREFUSED)
}

// visit connects once. Requests that come on the connection are served as
// operators' are; nothing of a client's, and no order, is ever sent. It gives
// when to connect again.
func (v *visitor) visit(ctx context.Context, e *entry) (again time.Duration) {
	conn, err := e.endpoint.dial(ctx)
	v.noteRefused(err)
	if err != nil {
		v.note(e, "no connection: %v", err)
		if neterr.OutOfDescriptors(err) {
			return mostRetry
		}
		return visitEvery
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	defer conn.Close()
	said, err := await(conn, quietTime)
	switch {
	case looksLikeRequest(said):
		return v.serve(ctx, e, conn, said)
	case said != "":
		v.note(e, "connects, and the other side speaks first: %q", said)
	case err != nil:
		v.note(e, "connects, and the other side closes: %v", err)
	default:
		return v.ask(ctx, e, conn)
	}
	return visitEvery
}

// ask asks once what is there on a connection on which nothing has come, and
// keeps it for requests where that has no answer either.
func (v *visitor) ask(ctx context.Context, e *entry, conn net.Conn) (again time.Duration) {
	err := e.askWho(conn)
	said := ""
	if err == nil {
		said, err = await(conn, quietTime)
	}
	if said == "" && err == nil {
		v.note(e, "connects, says nothing, and does not answer GET / in %v", quietTime)
		said, err = await(conn, holdTime)
	}
	switch {
	case looksLikeRequest(said):
		return v.serve(ctx, e, conn, said)
	case said != "":
		v.note(e, "connects, and answers GET / with %q", said)
	case err != nil:
		v.note(e, "connects, says nothing, and closes on GET /: %v", err)
	default: // requests may come on the next connection
		return visitAgain
	}
	return visitEvery
}

// serve answers the requests that come on a connection.
func (v *visitor) serve(ctx context.Context, e *entry, conn net.Conn, said string) (again time.Duration) {
	v.note(e, "connects, and requests come: %q", said)
	e.serveConnection(ctx, conn)
	return visitAgain
}

// dial connects to who is at the endpoint.
func (e Endpoint) dial(ctx context.Context) (net.Conn, error) {
	address := e.Address
	if e.Network == networkTCP {
		var err error
		if address, err = resolve(ctx, address); err != nil {
			return nil, errors.New(noSuchHost)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTime)
	defer cancel()
	return new(net.Dialer).DialContext(ctx, e.Network, address)
}

// askWho asks once what is there.
func (e *entry) askWho(conn net.Conn) error {
	host := "operators"
	if e.endpoint.Network == networkTCP {
		host = e.endpoint.Address
	}
	conn.SetWriteDeadline(time.Now().Add(quietTime)) // fails only on a closed connection
	_, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: %s\r\nUser-Agent: indigotack\r\nX-Node: %s\r\n\r\n", host, headerText(e.of.node))
	return err
}

// headerText is a text as a header may have it.
func headerText(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '_'
		}
		return r
	}, text)
}

// await waits for the other side to say something and gives its beginning, which
// is not taken from the connection. Both are empty where the time is over.
func await(conn net.Conn, most time.Duration) (said string, err error) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return "", err
	}
	conn.SetReadDeadline(time.Now().Add(most)) // fails only on a closed connection
	defer conn.SetReadDeadline(time.Time{})
	var b [shownBytes]byte
	n, peekErr := 0, error(nil)
	err = raw.Read(func(fd uintptr) bool {
		for {
			n, _, peekErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
			if !errors.Is(peekErr, unix.EINTR) {
				return !errors.Is(peekErr, unix.EAGAIN)
			}
		}
	})
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "", nil
	case err != nil:
		return "", err
	case peekErr != nil:
		return "", peekErr
	case n == 0:
		return "", io.EOF
	}
	return string(b[:n]), nil
}

// methods begin requests of HTTP.
var methods = []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodHead, http.MethodDelete, http.MethodPatch, http.MethodOptions}

// looksLikeRequest tells whether what has come begins a request of HTTP.
func looksLikeRequest(said string) bool {
	for _, method := range methods {
		if strings.HasPrefix(said, method+" ") {
			return true
		}
	}
	return false
}

// serveConnection answers the requests that come on a connection until it ends.
func (e *entry) serveConnection(ctx context.Context, conn net.Conn) {
	one := newOneConnection(conn)
	srv := e.of.serve(one, e.name(), e.endpoint.Prefix)
	defer srv.Close()
	select {
	case <-one.over:
	case <-time.After(holdTime):
	case <-ctx.Done():
	}
}
