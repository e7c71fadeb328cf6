package main

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"indigotack/internal/standin"
)

// TestCallInAnyFormDrains guards against operators' calls that are refused, or sent to a server, for their form.
func TestCallInAnyFormDrains(t *testing.T) {
	n := startDrainNode(t, onListen)
	for _, form := range standin.CallForms {
		for _, order := range []struct {
			path  string
			ready bool
		}{{"/admin/quiesce", false}, {"/admin/resume", true}} {
			if wrong := checkOrder(n.ask(form.For(order.path), 2*time.Second)); wrong != "" {
				t.Errorf("%s %s: %s", form.Name, order.path, wrong)
			}
			n.checkHealth(t, order.ready, form.Name+" "+order.path+":")
		}
	}
	for i := range 5 {
		if id := fmt.Sprintf("client-%d", i); n.server.hasTaken(id) > 0 {
			t.Errorf("the call with the id %s was sent to a server", id)
		}
	}
}

// TestCallInPiecesDrains guards against a call without a Host that is refused where it comes in pieces, also by a node that is drained.
func TestCallInPiecesDrains(t *testing.T) {
	n := startDrainNode(t, onListen)
	for _, order := range []struct{ path, state string }{{"/admin/quiesce", "drained"}, {"/admin/resume", "ready"}} {
		conn := n.dial(t)
		for _, b := range []byte("POST " + order.path + " HTTP/1.1\r\nAccept: */*\r\n\r\n") {
			conn.Write([]byte{b})
			time.Sleep(10 * time.Millisecond)
		}
		conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		if got := readReply(conn); got.status != http.StatusOK || got.state() != order.state {
			t.Errorf("%s: %v, want 200 and %s", order.path, got, order.state)
		}
	}
}

const (
	refusedWithin = 3 * time.Second        // of what a node can't read
	linePause     = 300 * time.Millisecond // the log has five lines of a kind in a second at most
)

// TestWhatIsRefusedLeavesALine guards against what comes, is not understood and leaves no trace.
func TestWhatIsRefusedLeavesALine(t *testing.T) {
	n := startDrainNode(t, onListen)
	lines := keepLines(n.said)
	for _, c := range standin.RefusedForms {
		got := n.ask(c.Text, refusedWithin)
		if got.status >= 200 && got.status < 400 {
			t.Errorf("%s: %v, want a refusal", c.Name, got)
		}
		has := func(line string) bool {
			return strings.Contains(line, "reason="+c.Reason) && strings.Contains(line, c.Said) && strings.Contains(line, "127.0.0.1:")
		}
		if !lines.await(has, time.Second) {
			t.Errorf("%s: no line of the log has the reason %s, %q and the client's address", c.Name, c.Reason, c.Said)
		}
		time.Sleep(linePause)
		n.checkHealth(t, true, c.Name)
	}
	hello, err := tls.DialWithDialer(&net.Dialer{Timeout: refusedWithin}, "tcp", n.address, &tls.Config{InsecureSkipVerify: true})
	if err == nil {
		hello.Close()
		t.Error("a TLS client is answered")
	}
	if !lines.await(func(line string) bool { return strings.Contains(line, `said="\x16\x03\x01`) }, time.Second) {
		t.Error("no line of the log has a TLS client's hello")
	}
	if lines.await(func(line string) bool { return strings.Contains(line, "topsecret") }, 0) {
		t.Error("a header's value is logged")
	}
	if !lines.await(func(line string) bool {
		return strings.Contains(line, "msg=state") && strings.Contains(line, "unread=") && tellsOfOne(line)
	}, 3*time.Second) {
		t.Error("no regular line tells what was refused unread")
	}
}

// TestCallBehindAnotherLeavesALine guards against a call in a pipeline that is dropped without a trace, as the answer before it ends the connection.
func TestCallBehindAnotherLeavesALine(t *testing.T) {
	n := startDrainNode(t, onListen)
	lines := keepLines(n.said)
	const status = "GET /admin/status HTTP/1.1\r\nHost: node\r\n\r\n"
	for i, c := range []struct{ text, dropped string }{
		{status + "POST /admin/quiesce?%d HTTP/1.1\r\nHost: node\r\n\r\n", "POST /admin/quiesce?%d HTTP/1.1"},
		{"GET /admin/status HTTP/1.1\r\n\r\nPOST /admin/quiesce?%d HTTP/1.1\r\n\r\n", "POST /admin/quiesce?%d HTTP/1.1"},
		{"GET /admin/status HTTP/1.1\nHost: node\n\nGET /api/%d", "GET /api/%d"},
	} {
		if got := n.ask(fmt.Sprintf(c.text, i), refusedWithin); got.status != http.StatusOK {
			t.Errorf("%q: %v", c.text, got)
		}
		said := fmt.Sprintf("said=%q", fmt.Sprintf(c.dropped, i))
		if !lines.await(func(line string) bool { return strings.Contains(line, said) && strings.Contains(line, "127.0.0.1:") }, time.Second) {
			t.Errorf("no line of the log has %s", said)
		}
	}
	if got := n.ask("POST /admin/status HTTP/1.1\r\nHost: node\r\nContent-Length: 9\r\n\r\ntopsecret", refusedWithin); got.status != http.StatusMethodNotAllowed {
		t.Errorf("a status that is posted: %v", got)
	}
	if lines.await(func(line string) bool { return strings.Contains(line, "topsecret") }, linePause) {
		t.Error("a body is logged")
	}
}

// tellsOfOne tells whether a regular line has one of the refused forms as the newest, with its reason.
func tellsOfOne(line string) bool {
	return slices.ContainsFunc(standin.RefusedForms, func(c standin.RefusedForm) bool {
		return c.Said != "" && strings.Contains(line, fmt.Sprintf("unread_newest=%q", c.Reason+": "+c.Said))
	})
}

// TestStateLineTellsOfOperators guards against a log of regular lines from which no report can tell whether operators' calls came.
func TestStateLineTellsOfOperators(t *testing.T) {
	n := newDrainNode(t, onListen)
	own := strings.Replace(n.address, ":5000", ":5001", 1)
	n.config = strings.Replace(n.config, `{"name"`, fmt.Sprintf(`{"ops_listen":%q,"odd1":1,"odd2":"topsecret","odd3":{"at":1},"odd4":1,"odd5":1,"name"`, own), 1)
	n.start(t)
	awaitReady(t, n.address)
	lines := keepLines(n.said)
	plain := func(line string) bool {
		return strings.Contains(line, "msg=state") && !strings.Contains(line, "operator_calls") && !strings.Contains(line, "unread=")
	}
	if !lines.await(plain, 5*time.Second) {
		t.Error("a plain node's line is not short")
	}
	n.order(t, quiesceCall)
	if status, _ := orderNode(t, own, "/admin/resume"); status != http.StatusOK {
		t.Errorf("resume at operators' address: %d", status)
	}
	wants := []string{"operators_at=[" + own + "(ops_listen)]", `operator_calls="[quiesce@listen=1 resume@ops_listen=1]"`, `unknown_names="[odd1 odd2 odd3]"`, `unknown_values="number; text of 9 bytes; object with at"`, "more_unknown_names=2"}
	if !lines.await(func(line string) bool { return strings.Contains(line, "msg=state") && containsAll(line, wants) }, 5*time.Second) {
		t.Errorf("no regular line has all of %q", wants)
	}
}

func containsAll(text string, parts []string) bool {
	for _, part := range parts {
		if !strings.Contains(text, part) {
			return false
		}
	}
	return true
}
