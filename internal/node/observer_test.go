package node

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"indigotack/decide"
	"indigotack/internal/discovery"
	"indigotack/internal/standin"
)

// TestLogTellsWhatBecameOfARequest: by its id, with the attempts and why they failed.
func TestLogTellsWhatBecameOfARequest(t *testing.T) {
	log := &standin.LogBuffer{}
	n := startNode(t, refusing(t))
	n.onLoop(t, func() { n.observer.log = slog.New(slog.NewTextHandler(log, nil)) })
	resp, err := http.DefaultClient.Do(n.request(t, "GET", "saldo", "the-id", "5", nil))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	for _, want := range []string{"attempt failed", "id=the-id", "reason=connect_failed", "server=s-0", "connection refused", "request answered without a server"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("the log does not say %q:\n%s", want, log)
		}
	}
	if n.counters.Value(eventAttempt, "connect_failed") == 0 {
		t.Errorf("counters %v", n.counters.Samples())
	}
}

// TestLogTellsChangesOfTheList, and not what stays the same, such as weights.
func TestLogTellsChangesOfTheList(t *testing.T) {
	log := &standin.LogBuffer{}
	n := New(testConfig("127.0.0.1:1"), slog.New(slog.NewTextHandler(log, nil)))
	list := func(version int, kind decide.ListKind, entries ...string) string {
		before := len(log.String())
		var l discovery.List
		if err := json.Unmarshal([]byte(fmt.Sprintf(`{"index":%d,"endpoints":[%s]}`, version, strings.Join(entries, ","))), &l); err != nil {
			t.Fatal(err)
		}
		n.follow(l.Entries, l.Index, kind, discovery.Origin{})
		return log.String()[before:]
	}
	a, b := entryJSON("a", "127.0.0.1:1", "ready"), entryJSON("b", "127.0.0.1:2", "ready")
	for _, c := range []struct{ got, want string }{
		{list(1, decide.ListFull, a, b), `version=1 servers=2 added="[a b]"`},
		{list(2, decide.ListChanges, strings.Replace(a, "1.5", "2.5", 1)), ""},
		{list(3, decide.ListChanges, entryJSON("a", "127.0.0.1:1", "draining")), "version=3 servers=2 draining=[a]"},
		{list(4, decide.ListChanges, strings.Replace(b, ":7}", ":8}", 1)), "restarted=[b]"},
		{list(5, decide.ListFull, a), "version=5 servers=1 ready=[a] removed=[b]"},
	} {
		if c.want == "" && c.got != "" || !strings.Contains(c.got, c.want) {
			t.Errorf("logged %q, want %q", c.got, c.want)
		}
	}
}

// TestLinesThatAreLeftOutAreCounted guards against a log that is full of single requests and tells nothing of how many there were.
func TestLinesThatAreLeftOutAreCounted(t *testing.T) {
	log := &standin.LogBuffer{}
	o := newObserver(slog.New(slog.NewTextHandler(log, nil)))
	for range 100 {
		o.note(slog.LevelInfo, "request answered without a server", eventRequest, "refused_shed")
	}
	done := make(chan struct{})
	close(done)
	o.summarize(done)
	if lines := strings.Count(log.String(), "request answered"); lines != linesPerSecond {
		t.Errorf("%d lines of one kind, want %d", lines, linesPerSecond)
	}
	if want := fmt.Sprintf(`msg="lines left out" of="[requests/refused_shed=%d]"`, 100-linesPerSecond); !strings.Contains(log.String(), want) {
		t.Errorf("the log does not say %s:\n%s", want, log)
	}
}

// TestLogTellsSinceWhenAServerIsNotReady: beside an attempt at it, whether it fails or not.
func TestLogTellsSinceWhenAServerIsNotReady(t *testing.T) {
	for _, served := range []bool{true, false} {
		log := &standin.LogBuffer{}
		got, goOn := make(chan bool, 100), make(chan bool)
		address := backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
			if readRequest(r) == nil {
				return
			}
			got <- true
			<-goOn
			if served {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		})
		n := startNode(t, address)
		n.onLoop(t, func() { n.observer.log = slog.New(slog.NewTextHandler(log, nil)) })
		ended := make(chan bool)
		go func() {
			defer close(ended)
			if resp, err := http.DefaultClient.Do(n.request(t, "GET", "saldo", "the-id", "1", nil)); err == nil {
				resp.Body.Close()
			}
		}()
		wait(t, got, "the request")
		n.onLoop(t, func() {
			n.follow([]discovery.Entry{{Name: "s-0", Address: address, Zone: "a", Kind: "m2", Status: "draining", Weight: 1}}, 2, decide.ListChanges,
				discovery.Origin{Call: 7, Began: time.Now().Add(-time.Second)})
		})
		close(goOn)
		wait(t, ended, "the request's end")
		for _, want := range []string{"not_ready_for=", "call=7", "call_began_ago=1."} {
			if !strings.Contains(log.String(), want) {
				t.Errorf("the log does not say %s:\n%s", want, log)
			}
		}
	}
}
