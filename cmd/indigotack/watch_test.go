package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	drainGrace  = 2 * time.Second
	socketSlack = 50 * time.Millisecond // on sockets every limit is so much longer
)

// scriptedAgent is a node's local discovery agent. It answers each call at
// once, or when something changes, until the script takes over a call.
type scriptedAgent struct {
	mu      sync.Mutex
	index   int
	entries []map[string]any
	changed chan struct{}
	watches int // calls that ask to be held
	// script may answer a watch in the agent's place; the first one is number 1.
	script func(number int, w http.ResponseWriter, r *http.Request) (handled bool)
}

func newScriptedAgent(addresses map[string]string) *scriptedAgent {
	a := &scriptedAgent{index: 1, changed: make(chan struct{})}
	for name, address := range addresses {
		a.entries = append(a.entries, map[string]any{"name": name, "address": address, "zone": "a", "type": "m2", "status": "ready", "weight": 1})
	}
	return a
}

// drain lists a server as draining and returns when that was.
func (a *scriptedAgent) drain(name string) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range a.entries {
		if e["name"] == name {
			e["status"] = "draining"
		}
	}
	a.index++
	close(a.changed)
	a.changed = make(chan struct{})
	return time.Now()
}

func (a *scriptedAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	hold, _ := strconv.Atoi(query.Get("hold_ms"))
	a.mu.Lock()
	if query.Has("from") {
		a.watches++
	}
	number, script := a.watches, a.script
	a.mu.Unlock()
	if query.Has("from") && script != nil && script(number, w, r) {
		return
	}
	deadline := time.After(time.Duration(hold) * time.Millisecond)
	for {
		a.mu.Lock()
		index, changed := a.index, a.changed
		text, err := json.Marshal(map[string]any{"index": index, "snapshot": true, "endpoints": a.entries})
		a.mu.Unlock()
		if err != nil {
			panic(err)
		}
		if index != from {
			w.Write(text)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			fmt.Fprintf(w, `{"index":%d,"snapshot":false,"endpoints":[]}`, index)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// silentWatches are the ways in which an agent's answer to an open watch may
// fail to come, while every other call is answered.
var silentWatches = map[string]func(w http.ResponseWriter){
	"says nothing":      func(http.ResponseWriter) {},
	"stops in the head": func(w http.ResponseWriter) { w.WriteHeader(http.StatusOK); w.(http.Flusher).Flush() },
	"stops in the body": func(w http.ResponseWriter) {
		io.WriteString(w, `{"index":2,"snapshot":true,"endpoints":[`)
		w.(http.Flusher).Flush()
	},
	"trickles": func(w http.ResponseWriter) {
		for range 100 {
			if _, err := io.WriteString(w, " "); err != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	},
}

// TestDrainBehindSilentWatch: a watch falls silent as it begins, and right then
// the agent learns that a server drains. What a local agent has counts as known
// to the node, so nothing may be sent to that server after the grace.
func TestDrainBehindSilentWatch(t *testing.T) {
	for _, silent := range []int{1, 2} { // watches in a row that say nothing
		for how, swallow := range silentWatches {
			t.Run(fmt.Sprintf("%s/%d", how, silent), func(t *testing.T) {
				t.Parallel()
				late := sentAfterDrain(t, silent, swallow)
				t.Logf("the last request was sent %v after the drain", late)
				if most := drainGrace + socketSlack; late > most {
					t.Errorf("the draining server was sent a request %v after the agent had the drain, want %v at most", late, most)
				}
			})
		}
	}
}

// sentAfterDrain runs a node whose agent falls silent for so many watches and
// drains a server at the first, and returns how long after that the server was
// still sent requests.
func sentAfterDrain(t *testing.T, silent int, swallow func(http.ResponseWriter)) time.Duration {
	t.Helper()
	play := newDrainPlay(t)
	agent := newScriptedAgent(play.servers)
	drained := make(chan time.Time, 1)
	var clientsReady atomic.Bool
	var first atomic.Int64 // the number of the first silent watch
	agent.script = func(number int, w http.ResponseWriter, r *http.Request) bool {
		if !clientsReady.Load() {
			return false
		}
		if first.CompareAndSwap(0, int64(number)) {
			drained <- agent.drain("drains")
		}
		if number >= int(first.Load())+silent {
			return false
		}
		swallow(w)
		<-r.Context().Done()
		return true
	}
	agentServer := httptest.NewServer(agent)
	t.Cleanup(agentServer.Close)
	t.Cleanup(agentServer.CloseClientConnections)

	play.serve(t, agentServer.Listener.Addr().String(), drainGrace)
	clientsReady.Store(true)
	var at time.Time
	select {
	case at = <-drained:
	case <-time.After(10 * time.Second):
		t.Fatal("the node opens no watch")
	}
	time.Sleep(3 * drainGrace)
	return play.lastAfter(at)
}

// pagePrefix begins the ids of requests that sendPages sends.
const pagePrefix = "page-"

// sendPages sends a request every few milliseconds until stop is closed.
func sendPages(address string, stop <-chan struct{}) {
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
		if resp, err := client.Do(req); err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
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
