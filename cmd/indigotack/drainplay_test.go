package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"indigotack/internal/standin"
	"indigotack/internal/testnet"
)

// staysTime is what the server that stays takes longer, so that the other one is preferred.
const staysTime = 4 * time.Millisecond

// drainPlay is a node under requests with two servers, of which the one named
// "drains" is to drain.
type drainPlay struct {
	listen  string
	servers map[string]string // addresses by name

	discovery          string // that the node's configuration names at its start
	config, configPath string
	served, failed     atomic.Int64 // requests

	node *os.Process
	zero time.Time
	last atomic.Int64 // when the server that drains was sent a request last, since zero; 0: never
}

// newDrainPlay starts the servers.
func newDrainPlay(t *testing.T) *drainPlay {
	p := &drainPlay{listen: ownAddress(), zero: time.Now()}
	answer := func(note func()) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if id := r.Header.Get("X-Request-Id"); strings.HasPrefix(id, pagePrefix) && !strings.HasPrefix(id, pagePrefix+p.listen) {
				t.Logf("a request of another node comes to the servers of this one: %s", id)
			}
			note()
			io.WriteString(w, "page")
		}))
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	p.servers = map[string]string{
		"stays":  answer(func() { time.Sleep(staysTime) }),
		"drains": answer(func() { p.last.Store(int64(time.Since(p.zero))) }),
	}
	return p
}

// serve starts the node and sends it requests until the test ends. It comes back
// once the server that is to drain gets some of them.
func (p *drainPlay) serve(t *testing.T, discovery string, grace time.Duration) {
	t.Helper()
	p.discovery = discovery
	p.config = nodeConfig{listen: p.listen, discovery: discovery,
		settings: pushedSettings(grace) + classSettings("page", "retryable", 2*time.Second)}.String()
	node := program(t, p.config)
	p.configPath = strings.TrimPrefix(node.Env[len(node.Env)-1], "GW_CONFIG=")
	logOnFailure(t, start(t, node))
	p.node = node.Process
	awaitReady(t, p.listen)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { p.sendPages(stop) })
	t.Cleanup(clients.Wait)
	t.Cleanup(func() { close(stop) })
	for until := time.Now().Add(10 * time.Second); p.last.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the server that is to drain gets no requests before")
		}
	}
}

// lastAfter is how long after a moment the server that drains was sent a request last.
func (p *drainPlay) lastAfter(at time.Time) time.Duration {
	return time.Duration(p.last.Load()) - at.Sub(p.zero)
}

// agent is a node's local agent, which lists servers by name.
type agent struct {
	*standin.Front
	registry *standin.Registry
	servers  map[string]string // addresses
}

// startAgent starts an agent that lists servers as ready.
func startAgent(t *testing.T, servers map[string]string) *agent {
	t.Helper()
	registry, err := standin.NewRegistry()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { registry.Close() })
	front, err := registry.Front("127.0.0.1:0", func(e standin.Entry) standin.Entry { return e }, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { front.Close() })
	a := &agent{front, registry, servers}
	for name := range servers {
		a.list(name, "ready")
	}
	return a
}

// list has a server listed in a state.
func (a *agent) list(name, status string) {
	a.registry.Set(standin.Entry{Name: name, Address: a.servers[name], Zone: "a", Kind: "m2", Status: status, Weight: 1})
}

// behaveFromNextCall has the agent answer in a manner, and waits for a call.
func (a *agent) behaveFromNextCall(t *testing.T, manner standin.Manner) {
	t.Helper()
	began := make(chan bool, 1)
	a.Behave(func(standin.Call) standin.Manner {
		select {
		case began <- true:
		default:
		}
		return manner
	})
	testnet.Receive(t, startTime, began, "a call of the node")
}

// pagePrefix begins the ids of requests that sendPages sends.
const pagePrefix = "page-"

// sendPages sends a request every few milliseconds until stop is closed.
func (p *drainPlay) sendPages(stop <-chan struct{}) {
	address := p.listen
	client := &http.Client{Timeout: 3 * time.Second}
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		req, err := http.NewRequest(http.MethodGet, "http://"+address+"/api/x", nil)
		if err != nil {
			panic(err)
		}
		req.Header.Set("X-Request-Id", fmt.Sprint(pagePrefix, address, "-", number))
		req.Header.Set("X-Class", "page")
		req.Header.Set("X-Deadline", "2")
		resp, err := client.Do(req)
		if err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		if err == nil && resp.StatusCode == http.StatusOK {
			p.served.Add(1)
		} else {
			p.failed.Add(1)
		}
	}
}

// awaitReady waits until a node says that it is ready.
func awaitReady(t *testing.T, address string) {
	t.Helper()
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if conn, err := net.Dial("tcp", address); err == nil {
			conn.Close()
			if resp, err := http.Get("http://" + address + "/health/ready"); err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					return
				}
			}
		}
	}
	t.Fatal("the program does not get ready")
}
