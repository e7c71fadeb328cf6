package operators

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"indigotack/internal/testnet"
)

const soon = 5 * time.Second // for what should be so at once

// told is what a node is told by a key, in a configuration that has nothing else.
func told(value string) Found {
	return Find(fmt.Appendf(nil, `{"control":%q}`, value), nil, "127.0.0.1:1")
}

// serveWith answers on a listener with a handler.
func serveWith(handler http.Handler) Server {
	return func(ln net.Listener, _, prefix string) *http.Server {
		srv := &http.Server{Handler: WithoutPrefix(prefix, handler)}
		go srv.Serve(ln)
		return srv
	}
}

// echo answers with a request's path.
var echo = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, r.URL.Path) })

// started hears operators at the addresses found, until the test ends.
func started(t *testing.T, found Found, handler http.Handler) *Listeners {
	t.Helper()
	l := Start(found, "n0", serveWith(handler), slog.New(slog.DiscardHandler))
	t.Cleanup(l.Close)
	return l
}

// ask gives the answer to a request for a path at an address, or why there is none.
func ask(network, address, path string) string {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, network, address)
	}
	client := &http.Client{Timeout: soon, Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial}}
	resp, err := client.Get("http://node" + path)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(body)
}

func awaitHeard(t *testing.T, network, address string) {
	t.Helper()
	testnet.Eventually(t, soon, "heard at "+address, func() bool { return ask(network, address, "/x") == "/x" })
}

func awaitNotAt(t *testing.T, l *Listeners, why string) {
	t.Helper()
	testnet.Eventually(t, soon, why, func() bool { return strings.Contains(strings.Join(l.NotAt(), " "), why) })
}

// TestSocketThatNobodyHearsAnyMoreIsReplaced guards against a node that a process killed before it keeps from its operators.
func TestSocketThatNobodyHearsAnyMoreIsReplaced(t *testing.T) {
	path := testnet.SocketPath(t)
	before, err := bindUnix(path)
	if err != nil {
		t.Fatal(err)
	}
	before.Close() // its file stays
	l := started(t, told(path), echo)
	awaitHeard(t, "unix", path)
	if file, err := os.Stat(path); err != nil || file.Mode().Perm() != socketMode {
		t.Errorf("its file: %v, %v, want the mode %v", file.Mode(), err, socketMode)
	}
	l.Close()
	if _, err := os.Lstat(path); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("its file is left: %v", err)
	}
}

// TestWhatIsNotTheNodesOwnIsLeftAlone guards against a node that takes a socket from a process that listens, or removes a file.
func TestWhatIsNotTheNodesOwnIsLeftAlone(t *testing.T) {
	t.Run("a socket that answers", func(t *testing.T) {
		path := testnet.SocketPath(t)
		other := testnet.ListenAt(t, "unix", path)
		l := started(t, told(path), echo)
		awaitNotAt(t, l, inUse)
		other.Close()
		awaitHeard(t, "unix", path)
	})
	for name, create := range map[string]func(path string) error{
		noFile:   func(path string) error { return os.WriteFile(path, []byte("x"), 0o600) },
		isFolder: func(path string) error { return os.Mkdir(path, 0o700) },
	} {
		t.Run(name, func(t *testing.T) {
			path := testnet.SocketPath(t)
			if err := create(path); err != nil {
				t.Fatal(err)
			}
			l := started(t, told(path), echo)
			awaitNotAt(t, l, name)
			l.Close()
			if _, err := os.Lstat(path); err != nil {
				t.Error(err)
			}
		})
	}
	t.Run("the socket of the process that came after", func(t *testing.T) {
		path := testnet.SocketPath(t)
		l := started(t, told(path), echo)
		awaitHeard(t, "unix", path)
		if err := os.Remove(path); err != nil {
			t.Fatal(err)
		}
		after, err := bindUnix(path)
		if err != nil {
			t.Fatal(err)
		}
		defer after.Close()
		l.Close()
		if _, err := os.Lstat(path); err != nil {
			t.Errorf("the other process's file is gone: %v", err)
		}
	})
}

// TestAddressThatCanBeHadLaterIsHeardThen guards against a node that gives an address up which it can't have at first.
func TestAddressThatCanBeHadLaterIsHeardThen(t *testing.T) {
	t.Run("a folder that comes late", func(t *testing.T) {
		path := filepath.Join(testnet.SocketPath(t), "later", "s")
		l := started(t, told(path), echo)
		awaitNotAt(t, l, noFolder)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		awaitHeard(t, "unix", path)
	})
	t.Run("a socket's file that is removed", func(t *testing.T) {
		path := testnet.SocketPath(t)
		started(t, told(path), echo)
		awaitHeard(t, "unix", path)
		if err := os.Remove(path); err != nil {
			t.Fatal(err)
		}
		awaitHeard(t, "unix", path)
	})
	t.Run("a port in use", func(t *testing.T) {
		other := testnet.Listen(t)
		l := started(t, told(other.Addr().String()), echo)
		awaitNotAt(t, l, inUse)
		other.Close()
		awaitHeard(t, "tcp", other.Addr().String())
	})
}

func TestAddressThatCantBeHadHasAReason(t *testing.T) {
	long := "/" + strings.Repeat("x", longestPath)
	l := started(t, told(long), echo)
	awaitNotAt(t, l, "path of 108 bytes, 107 at most")
	for err, want := range map[error]unavailable{
		syscall.EADDRNOTAVAIL: {why: noSuchHost, taken: true},
		syscall.EACCES:        {why: notPermitted},
		syscall.EMFILE:        {why: outOfFiles},
		syscall.ENOTDIR:       {why: noFolder},
	} {
		got := whyUnavailable(&net.OpError{Op: "listen", Err: os.NewSyscallError("bind", err)})
		if got.why != want.why || got.taken != want.taken {
			t.Errorf("%v: %q, %v, want %q, %v", err, got.why, got.taken, want.why, want.taken)
		}
	}
	l.Update(told("control.invalid:9000"))
	awaitNotAt(t, l, noSuchHost)
}

// TestStartHearsBeforeTheNodeIsReady guards against an order that finds nobody at a node that says it is ready.
func TestStartHearsBeforeTheNodeIsReady(t *testing.T) {
	for range 100 {
		path := testnet.SocketPath(t)
		l := started(t, told(path), echo)
		if got := ask("unix", path, "/x"); got != "/x" {
			t.Fatalf("as the listeners have started: %s", got)
		}
		l.Close()
	}
}

// TestUpdateInterruptsNoCall guards against a reload that ends an operator's call, or a listener that stays.
func TestUpdateInterruptsNoCall(t *testing.T) {
	stays, goes, comes := testnet.SocketPath(t), testnet.SocketPath(t), testnet.SocketPath(t)
	began, end := make(chan bool, 2), make(chan bool)
	l := started(t, told(stays), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			began <- true
			<-end
		}
		echo(w, r)
	}))
	both := func(a, b string) Found { return Find(fmt.Appendf(nil, `{"control":[%q,%q]}`, a, b), nil, "") }
	l.Update(both(stays, goes))
	answers := make(chan string, 2)
	for _, path := range []string{stays, goes} {
		awaitHeard(t, "unix", path)
		go func() { answers <- ask("unix", path, "/slow") }()
		<-began
	}
	l.Update(both(stays, comes))
	awaitHeard(t, "unix", comes)
	awaitHeard(t, "unix", stays)
	testnet.Eventually(t, soon, "the file of the address that goes is gone", func() bool {
		_, err := os.Lstat(goes)
		return errors.Is(err, fs.ErrNotExist)
	})
	close(end)
	for range 2 {
		if got := <-answers; got != "/slow" {
			t.Errorf("a call that was open at the reload has %q", got)
		}
	}
	if at := strings.Join(l.At(), " "); at != fmt.Sprintf("unix:%s(control) unix:%s(control)", stays, comes) {
		t.Errorf("heard at %s", at)
	}
}

// TestOldAddressStaysUntilItsSuccessorIsHeard guards against a reload after which operators are answered nowhere, as the new address can't be had.
func TestOldAddressStaysUntilItsSuccessorIsHeard(t *testing.T) {
	before, after := testnet.SocketPath(t), testnet.SocketPath(t)
	other, err := bindUnix(after)
	if err != nil {
		t.Fatal(err)
	}
	l := started(t, told(before), echo)
	awaitHeard(t, "unix", before)
	l.Update(told(after))
	awaitNotAt(t, l, inUse)
	if got := ask("unix", before, "/x"); got != "/x" {
		t.Errorf("at the old address while somebody else has the new one: %s", got)
	}
	if at := strings.Join(l.At(), " "); at != "unix:"+before+"(control)" {
		t.Errorf("heard at %s", at)
	}
	other.Close()
	awaitHeard(t, "unix", after)
	testnet.Eventually(t, soon, "the old address is given up", func() bool { return ask("unix", before, "/x") != "/x" })
	l.Update(Found{})
	testnet.Eventually(t, soon, "all are given up where none is told", func() bool { return ask("unix", after, "/x") != "/x" && len(l.At()) == 0 })
}

// TestEndpointsInTheWay guards against an address that can't be had as the one before it still is.
func TestEndpointsInTheWay(t *testing.T) {
	tcp, unix := func(a string) Endpoint { return Endpoint{Network: networkTCP, Address: a} }, Endpoint{Network: networkUnix, Address: "/s"}
	for _, c := range []struct {
		a, b Endpoint
		want bool
	}{
		{tcp("127.0.0.1:7"), tcp("127.0.0.1:7"), true}, {tcp("127.0.0.1:7"), tcp("127.0.0.2:7"), false}, {tcp("127.0.0.1:7"), tcp("127.0.0.1:8"), false},
		{tcp(":7"), tcp("127.0.0.1:7"), true}, {tcp("127.0.0.1:7"), tcp("[::]:7"), true}, {tcp("localhost:7"), tcp("127.0.0.1:7"), true},
		{unix, Endpoint{Network: networkUnix, Address: "/s", Prefix: "/x"}, true}, {unix, Endpoint{Network: networkUnix, Address: "/t"}, false}, {unix, tcp("127.0.0.1:7"), false},
	} {
		if got := c.a.inTheWayOf(c.b); got != c.want {
			t.Errorf("%v in the way of %v: %v", c.a, c.b, got)
		}
	}
}

// TestWhoElseIsAtTheAddressIsTold guards against a place to call of which the log tells no more than that it is in use.
func TestWhoElseIsAtTheAddressIsTold(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(c net.Conn)
		want   string
	}{
		"speaks first": {func(c net.Conn) { fmt.Fprint(c, "\x01hello") }, `speaks first: "\x01hello"`},
		"answers":      {func(c net.Conn) { c.Read(make([]byte, 1)); fmt.Fprint(c, "HTTP/1.1 404 Not Found\r\n") }, `answers GET / with "HTTP/1.1 404`},
		"says nothing": {func(c net.Conn) { io.Copy(io.Discard, c) }, "does not answer GET /"},
		"closes":       {func(net.Conn) {}, "closes: EOF"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			other := testnet.Listen(t)
			came := make(chan bool, 100)
			go testnet.Serve(other, func(_ int, conn net.Conn) {
				came <- true
				c.answer(conn)
			})
			l := started(t, told(other.Addr().String()), echo)
			awaitNotAt(t, l, c.want)
			time.Sleep(time.Second)
			if len(came) > 1 {
				t.Errorf("the node connects %d times", len(came))
			}
		})
	}
}

// TestOthersVariablesHaveNobodyCalled guards against a node that connects to a service which an environment names for somebody else.
func TestOthersVariablesHaveNobodyCalled(t *testing.T) {
	other := testnet.Listen(t)
	came := make(chan bool, 1)
	go testnet.Serve(other, func(int, net.Conn) { came <- true })
	l := started(t, Find(nil, []string{"BROKER_ADMIN=" + other.Addr().String()}, "127.0.0.1:1"), echo)
	awaitNotAt(t, l, inUse)
	select {
	case <-came:
		t.Error("the node connects")
	case <-time.After(firstVisit + time.Second):
	}
}

// TestRequestsOfAPlaceToCallAreServed guards against orders that come on a connection which the node makes and that nobody reads.
func TestRequestsOfAPlaceToCallAreServed(t *testing.T) {
	for name, wait := range map[string]time.Duration{"at once": 0, "behind the node's question": quietTime + 500*time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			other := testnet.ListenAt(t, "unix", testnet.SocketPath(t))
			started(t, told(other.Addr().String()), echo)
			for range 2 {
				conn, err := other.Accept()
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(wait)
				fmt.Fprint(conn, "GET /order HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
				said, err := io.ReadAll(conn)
				if !strings.HasSuffix(string(said), "/order") {
					t.Errorf("answer %q, %v", said, err)
				}
			}
		})
	}
}

func TestPrefixIsTakenInFrontOfPaths(t *testing.T) {
	for path, want := range map[string]string{"/node/0/admin/status": "/admin/status", "//node//0/admin/resume/": "/admin/resume", "/admin/status": "/admin/status",
		"/node/1/admin/status": "/node/1/admin/status", "/node/0/x": "/node/0/x", "/node/0admin/status": "/node/0admin/status"} {
		got := ""
		handler := WithoutPrefix("/node/0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got = r.URL.Path }))
		req, err := http.NewRequest(http.MethodGet, "http://node"+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		if handler.ServeHTTP(nil, req); got != want {
			t.Errorf("%s: %s, want %s", path, got, want)
		}
	}
}
