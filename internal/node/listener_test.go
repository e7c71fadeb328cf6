package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"indigotack/internal/testnet"
)

// TestSilentClientsGiveWay: clients that connect by hundreds and say nothing
// must neither shut out one that asks nor wait unheard.
func TestSilentClientsGiveWay(t *testing.T) {
	n := startNode(t, serving(t))
	most := n.front.most
	var silent []raw
	for i := range 2 * most {
		silent = append(silent, n.dial(t))
		if i%2 == 1 { // or say a little
			io.WriteString(silent[i], "GET /api/x HTTP/1.1\r\nHo")
		}
	}
	// A client that is turned away in the rush comes again and gets its turn.
	for i, until := 0, time.Now().Add(enough); ; i++ {
		c := n.dial(t)
		fmt.Fprintf(c, "GET /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: q%d\r\nX-Class: saldo\r\nX-Deadline: 60\r\n\r\n", i)
		if resp, err := http.ReadResponse(c.read, nil); err == nil && resp.StatusCode == 200 {
			break
		}
		if time.Now().After(until) {
			t.Fatal("no client is served")
		}
	}
	for i, c := range silent {
		if i%2 == 1 {
			if resp, err := http.ReadResponse(c.read, nil); err == nil && resp.StatusCode < 400 || err != nil && isTimeout(err) {
				t.Fatalf("client %d, which said a little, gets %v, %v, want an error or the end of its connection", i, resp, err)
			}
			continue
		}
		if _, err := c.read.ReadByte(); err == nil || isTimeout(err) {
			t.Fatalf("silent client %d gets %v, want the end of its connection", i, err)
		}
	}
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// TestHalfRequests: a head or a body that never ends is given up within the 3 s that bad clients are owed an end.
func TestHalfRequests(t *testing.T) {
	server, got, _ := silentServer(t)
	n := startNode(t, server)
	if headTime >= 3*time.Second || readTime >= 3*time.Second || idleTime > time.Minute {
		t.Errorf("a head may take %v, a request %v, a connection may be idle %v", headTime, readTime, idleTime)
	}
	for name, text := range map[string]string{
		"half a head": "GET /api/x HTTP/1.1\r\nHost: app",
		"half a body": "POST /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: q\r\nX-Class: pagar\r\nX-Deadline: 60\r\nContent-Length: 9\r\n\r\nhal",
	} {
		c := n.dial(t)
		io.WriteString(c, text)
		resp, err := http.ReadResponse(c.read, nil)
		if err == nil && resp.StatusCode < 400 || err != nil && isTimeout(err) {
			t.Errorf("%s: %v, %v, want an error or the end of the connection", name, resp, err)
		}
	}
	// An answer to a body that is too long must reach the client though it still sends.
	c := n.dial(t)
	fmt.Fprintf(c, "POST /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: q\r\nX-Class: pagar\r\nX-Deadline: 60\r\nContent-Length: %d\r\n\r\n", 60<<20)
	go func() {
		for chunk := make([]byte, 64<<10); ; {
			if _, err := c.Write(chunk); err != nil {
				return
			}
		}
	}()
	if resp, err := http.ReadResponse(c.read, nil); err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("60 MB: %v, %v, want 413", resp, err)
	}
	if len(got) > 0 {
		t.Error("a request reached a server")
	}
}

// serveLimited serves clients on a limited listener, and dials it.
func serveLimited(t *testing.T, ln net.Listener, answer string) (*limited, net.Conn) {
	t.Helper()
	l := limitListener(ln, 1, newObserver(quiet))
	srv := &http.Server{ConnState: l.note, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, answer) })}
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(enough))
	return l, conn
}

// TestUnreadIsNoReasonToClose: a connection that has rested for long gives way
// to a new one, but not when a request has come on it in that instant, which
// the node has not read.
func TestUnreadIsNoReasonToClose(t *testing.T) {
	l, conn := serveLimited(t, testnet.Listen(t), "ok")
	read := bufio.NewReader(conn)
	const text = "GET / HTTP/1.1\r\nHost: app.svc\r\n\r\n"
	ask := func() {
		t.Helper()
		resp, err := http.ReadResponse(read, nil)
		if err != nil {
			t.Fatal("no answer: ", err)
		}
		io.Copy(io.Discard, resp.Body)
	}
	io.WriteString(conn, text)
	ask()
	var resting *clientConn
	waitUntil(t, "the connection to rest", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		for c, u := range l.idle {
			if u.Spoken {
				resting = c
			}
		}
		return resting != nil
	})
	l.mu.Lock() // from here on nothing is read
	io.WriteString(conn, text)
	waitUntil(t, "the request to lie unread", func() bool { return resting.pending() })
	worst := l.evict(time.Now().Add(time.Hour))
	l.mu.Unlock()
	if worst != nil {
		t.Error("the connection gives way")
	}
	ask()
}

// TestLongHeadIsNoNextRequest: the server's buffer has room for one byte more of
// a long first line, and it asks for that alone, as it does between a request and its
// answer. It is no byte of the next request all the same.
func TestLongHeadIsNoNextRequest(t *testing.T) {
	const buffer = 4096 // of net/http
	l, conn := serveLimited(t, testnet.Listen(t), "ok")
	head := "GET /" + strings.Repeat("x", buffer) + " HTTP/1.1\r\nHost: app.svc\r\n\r\n"
	io.WriteString(conn, head[:buffer-1])
	waitUntil(t, "the first part to be read", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		for c, idle := range l.idle {
			return idle.Begun && !c.pending()
		}
		return false
	})
	io.WriteString(conn, head[buffer-1:])
	if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the connection to be between requests", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, idle := range l.idle {
			return idle.Spoken
		}
		return false
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, idle := range l.idle {
		if idle.Begun {
			t.Error("the next request is taken for begun")
		}
	}
}
