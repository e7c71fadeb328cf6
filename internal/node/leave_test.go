package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// classes are the requests of each effect, as clients of a platform send them.
var classes = map[string]struct{ method, class, extra string }{
	"safe":   {"GET", "saldo", ""},
	"keyed":  {"POST", "pedido", "Idempotency-Key: k\r\nContent-Length: 4\r\n"},
	"unsafe": {"POST", "pagar", "Content-Length: 4\r\n"},
}

// goings are the ways in which a client goes.
var goings = map[string]func(c raw){
	"closes":             func(c raw) { c.Close() },
	"resets":             func(c raw) { c.SetLinger(0); c.Close() },
	"ends its sending":   func(c raw) { c.CloseWrite() },
	"says more and goes": func(c raw) { fmt.Fprint(c, "GET /more HTTP/1.1\r\n"); c.Close() },
	"says more, then resets": func(c raw) {
		fmt.Fprint(c, strings.Repeat("x", 3000))
		c.SetLinger(0)
		c.Close()
	},
}

// text is a whole request of the class that testConfig has for an effect.
func text(effect, id string) string { return textOf(effect, classes[effect].class, id, "60") }

// textOf is a whole request of any class of an effect.
func textOf(effect, class, id, deadline string) string {
	k := classes[effect]
	body := ""
	if k.method == http.MethodPost {
		body = "rent"
	}
	return fmt.Sprintf("%s /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline: %s\r\n%s\r\n%s", k.method, id, class, deadline, k.extra, body)
}

// TestLeftWhileItWaited: whatever a request waits for when its client goes, and
// however the client goes, no server sees it. The wait is held by hand until
// the kernel has heard of the going.
func TestLeftWhileItWaited(t *testing.T) {
	for place, hold := range map[string]func(t *testing.T, n *running) (held <-chan struct{}, release func()){
		// The loop does not run: the request is read, and lies in its event queue.
		"a loop that stands still": func(t *testing.T, n *running) (<-chan struct{}, func()) {
			held, gate := make(chan struct{}), make(chan struct{})
			n.post(func() { close(held); <-gate })
			wait(t, held, "the loop")
			read := make(chan struct{})
			go func() {
				waitUntil(t, "the request in the event queue", func() bool { return len(n.events) > 0 })
				close(read)
			}()
			return read, func() { close(gate) }
		},
		// The connection to its server is long in coming, and the module may
		// not call an attempt off.
		"a dial": func(t *testing.T, n *running) (<-chan struct{}, func()) { return holdDials(n.backends, 0) },
	} {
		for effect := range classes {
			for how, leave := range goings {
				t.Run(strings.Join([]string{place, effect, how}, "/"), func(t *testing.T) {
					t.Parallel()
					server, got, _ := silentServer(t)
					n := startNodeWith(t, func(c *Config) { c.Settings.MayCancel = false }, server)
					c := n.dial(t)
					held, release := hold(t, n)
					fmt.Fprint(c, text(effect, "gone"))
					wait(t, held, "the request's wait")
					leave(c)
					n.hears(t, c)
					release()
					n.idle(t)
					if len(got) > 0 {
						t.Errorf("request %q reached a server", <-got)
					}
				})
			}
		}
	}
}

// TestRunningWhenItsClientGoes: what runs when a client goes is called off,
// also where the client said more before it went.
func TestRunningWhenItsClientGoes(t *testing.T) {
	for how, leave := range goings {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			server, got, gone := silentServer(t)
			n := startNode(t, server)
			c := n.dial(t)
			fmt.Fprint(c, text("safe", "q"))
			wait(t, got, "the attempt")
			leave(c)
			wait(t, gone, "the attempt's end")
			n.idle(t)
		})
	}
}

// onLoop runs f on the loop and waits for it.
func (n *running) onLoop(t *testing.T, f func()) {
	t.Helper()
	done := make(chan struct{})
	n.post(func() { f(); close(done) })
	wait(t, done, "the loop")
}

// idle waits until no request is left in hand.
func (n *running) idle(t *testing.T) {
	t.Helper()
	waitUntil(t, "the end of what is in hand", func() (none bool) {
		n.onLoop(t, func() { none = len(n.requests) == 0 })
		return none
	})
}

// conn is the node's side of a client's connection.
func (n *running) conn(t *testing.T, c raw) (conn syscall.RawConn, open bool) {
	t.Helper()
	var accepted any
	waitUntil(t, "the connection", func() (ok bool) {
		accepted, ok = n.accepting.conns.Load(c.name)
		return ok
	})
	conn, err := accepted.(*net.TCPConn).SyscallConn()
	return conn, err == nil
}

// hears waits until the kernel on the node's side has heard that a client has gone.
func (n *running) hears(t *testing.T, c raw) {
	t.Helper()
	conn, open := n.conn(t, c)
	const established = 1 // TCP_ESTABLISHED
	waitUntil(t, "the client's going to show", func() bool {
		gone := false
		err := conn.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			gone = err != nil || info.State != established
		})
		return !open || gone || err != nil
	})
}

// takes waits until the node has read so many bytes of a client's.
func (n *running) takes(t *testing.T, c raw, bytes uint64) {
	t.Helper()
	conn, _ := n.conn(t, c)
	waitUntil(t, "what the client said to be read", func() (read bool) {
		conn.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			unread, err2 := unix.IoctlGetInt(int(fd), unix.TIOCINQ)
			read = err == nil && err2 == nil && info.Bytes_received >= bytes && unread == 0
		})
		return read
	})
}

// TestLeftBetweenAttempts: a request that was turned away unseen is not tried
// again for a client that has gone in the meantime.
func TestLeftBetweenAttempts(t *testing.T) {
	for effect := range classes {
		for how, leave := range goings {
			t.Run(effect+"/"+how, func(t *testing.T) {
				t.Parallel()
				got, gate := make(chan struct{}, 10), make(chan struct{})
				serve := func(_ int, c net.Conn, r *bufio.Reader) {
					for readRequest(r) != nil {
						got <- struct{}{}
						<-gate
						io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
					}
				}
				n := startNodeWith(t, func(c *Config) { c.Settings.MayCancel = false }, backendServer(t, serve), backendServer(t, serve))
				c := n.dial(t)
				fmt.Fprint(c, text(effect, "gone"))
				wait(t, got, "the first attempt")
				leave(c)
				n.hears(t, c)
				close(gate)
				n.idle(t)
				if len(got) > 0 {
					t.Error("it was sent again")
				}
			})
		}
	}
}
