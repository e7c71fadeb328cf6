package node

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"indigotack/decide"
	"indigotack/internal/appconfig"
	"indigotack/internal/discovery"
	"indigotack/internal/lifecycle"
	"indigotack/internal/standin"
)

// TestLogTellsTheNodesState: what an operator needs beside a request that went
// to the wrong server: which list the node had, how old its news were, which
// servers drained, and whether the node itself was told to end.
func TestLogTellsTheNodesState(t *testing.T) {
	log := &standin.LogBuffer{}
	cfg := testConfig("127.0.0.1:1")
	cfg.Discovery, _, _ = listServer(t, 54, entryJSON("s-1", "127.0.0.1:1", "ready"), entryJSON("s-2", "127.0.0.1:2", "draining"))
	n := New(cfg, slog.New(slog.NewTextHandler(log, nil)))
	stop := n.run(t.Context())
	defer stop()
	if s, ok := n.state(); !ok || s.discovery.AnsweredAgo(time.Now()) != -1 || s.phase != "starting" {
		t.Errorf("before discovery answers: %+v, %v", s, ok)
	}
	n.post(func() { n.sources.Start(n.ctx) })
	waitUntil(t, "the list", func() bool {
		s, ok := n.state()
		return ok && s.servers > 0
	})
	s, ok := n.state()
	if !ok || s.listVersion != 54 || s.servers != 2 || len(s.draining) != 1 || s.draining[0] != "s-2" || s.phase != "ready" ||
		s.discovery.AnsweredAgo(time.Now()) < 0 || s.discovery.AnsweredAgo(time.Now()) > enough {
		t.Errorf("after a list: %+v, %v", s, ok)
	}
	go n.logState()
	for until := time.Now().Add(stateEvery + enough); !strings.Contains(log.String(), "msg=state"); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("the log does not tell the state:\n%s", log)
		}
	}
	for _, want := range []string{"list_version=54", "draining=[s-2]", "phase=ready", "discovery_answered_ago=", "open_requests=0", "client_connections=0"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("the log does not tell %s:\n%s", want, log)
		}
	}
	stop()
	<-n.ended
	if _, ok := n.state(); ok {
		t.Error("a loop that has ended tells a state")
	}
}

// TestLogTellsWhoDrainedTheNode: the regular line has the phase's reason while
// a drain lasts, and none after it.
func TestLogTellsWhoDrainedTheNode(t *testing.T) {
	log := &standin.LogBuffer{}
	n := New(testConfig("127.0.0.1:1"), slog.New(slog.NewTextHandler(log, nil)))
	stop := n.run(t.Context())
	defer stop()
	n.post(func() {
		n.follow([]discovery.Entry{{Name: "s-1", Address: "127.0.0.1:1", Status: "ready"}}, 1, decide.ListFull, discovery.Origin{})
	})
	for _, c := range []struct{ path, phase, reason string }{
		{appconfig.QuiescePath, "drained", "quiesced by 192.0.2.1:1234"},
		{appconfig.ResumePath, "ready", ""},
	} {
		n.Operators("test").ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, c.path, nil)) // from 192.0.2.1:1234
		if s, ok := n.state(); !ok || s.phase != c.phase || s.reason != c.reason {
			t.Errorf("after %s: %+v, %v, want %s and reason %q", c.path, s, ok, c.phase, c.reason)
		}
	}
	n.front.orderDrain(lifecycle.Order{Came: time.Now()}, "192.0.2.1:1234")
	go n.logState()
	want := `msg=state phase=drained phase_reason="quiesced by 192.0.2.1:1234" `
	for until := time.Now().Add(stateEvery + enough); !strings.Contains(log.String(), want); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("the log does not tell %s:\n%s", want, log)
		}
	}
}

// TestStateLineTellsThatDiscoveryIsNotHeard guards against state lines that are silent on a discovery that is.
func TestStateLineTellsThatDiscoveryIsNotHeard(t *testing.T) {
	now := time.Now()
	for _, unheard := range []bool{false, true} {
		s := nodeState{discovery: discovery.Status{Version: 7, Unheard: unheard, Since: now, Open: 3, OwedFrom: now, AsOf: now, Last: []string{"reset", "silent"}}}
		said := fmt.Sprint(s.attributes()...)
		for _, name := range []string{"discovery_unheard_for", "discovery_calls_open", "discovery_oldest_call_waits", "discovery_last_calls", "list_is_as_of_ago"} {
			if strings.Contains(said, name) != unheard {
				t.Errorf("unheard %v: %s", unheard, said)
			}
		}
	}
}
