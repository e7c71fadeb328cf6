package main

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// callForms are forms of an operator's call, %s being its path, that a platform's node carries out.
var callForms = map[string]string{
	"POST without length":          "POST %s HTTP/1.1\r\nHost: node\r\n\r\n",
	"POST without a body":          "POST %s HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n",
	"POST of JSON":                 "POST %s HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}",
	"POST in chunks":               "POST %s HTTP/1.1\r\nHost: node\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	"POST that expects 100":        "POST %s HTTP/1.1\r\nHost: node\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n",
	"POST that closes":             "POST %s HTTP/1.1\r\nHost: node\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	"POST that keeps":              "POST %s HTTP/1.1\r\nHost: node\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n",
	"POST with an id":              "POST %s HTTP/1.1\r\nHost: node\r\nX-Request-Id: operator-1\r\nContent-Length: 0\r\n\r\n",
	"POST of HTTP/1.0":             "POST %s HTTP/1.0\r\nHost: node\r\nContent-Length: 0\r\n\r\n",
	"POST of 1.0, no Host":         "POST %s HTTP/1.0\r\nContent-Length: 0\r\n\r\n",
	"POST whose body never comes":  "POST %s HTTP/1.1\r\nHost: node\r\nContent-Length: 20\r\n\r\n{",
	"GET":                          "GET %s HTTP/1.1\r\nHost: node\r\n\r\n",
	"GET of 1.0 without Host":      "GET %s HTTP/1.0\r\n\r\n",
	"GET with a query":             "GET %s?by=me HTTP/1.1\r\nHost: node\r\n\r\n",
	"GET with an absolute target":  "GET http://node%s HTTP/1.1\r\nHost: node\r\n\r\n",
	"GET with bare line feeds":     "GET %s HTTP/1.1\nHost: node\n\n",
	"GET that asks for an upgrade": "GET %s HTTP/1.1\r\nHost: node\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n",
	"PUT":                          "PUT %s HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n",

	"GET without a Host":                   "GET %s HTTP/1.1\r\n\r\n",
	"GET without a Host, bare line feeds":  "GET %s HTTP/1.1\n\n",
	"POST without a Host":                  "POST %s HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
	"POST of JSON without a Host":          "POST %s HTTP/1.1\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}",
	"absolute target without a Host":       "GET http://node%s HTTP/1.1\r\n\r\n",
	"GET with a client's headers":          "GET %s HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: client-1\r\nX-Class: page\r\nX-Deadline: 0.500\r\n\r\n",
	"POST with a client's headers":         "POST %s HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: client-2\r\nX-Class: page\r\nX-Deadline: 0.500\r\nContent-Length: 0\r\n\r\n",
	"POST with a keyed client's headers":   "POST %s HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: client-3\r\nX-Class: order\r\nIdempotency-Key: k\r\nX-Deadline: 0.500\r\nContent-Length: 0\r\n\r\n",
	"POST with an unknown class":           "POST %s HTTP/1.1\r\nHost: node\r\nX-Class: unknown\r\nContent-Length: 0\r\n\r\n",
	"GET with a client's headers, no Host": "GET %s HTTP/1.1\r\nX-Request-Id: client-4\r\nX-Class: page\r\nX-Deadline: 0.500\r\n\r\n",
	"slash behind":                         "GET %s/ HTTP/1.1\r\nHost: node\r\n\r\n",
	"two slashes in front":                 "GET /%s HTTP/1.1\r\nHost: node\r\n\r\n",
	"slashes and no Host":                  "POST /%s// HTTP/1.1\r\n\r\n",
}

// TestCallInAnyFormDrains guards against operators' calls that are refused, or sent to a server, for their form.
func TestCallInAnyFormDrains(t *testing.T) {
	n := startDrainNode(t)
	for name, form := range callForms {
		for _, order := range []struct {
			path  string
			ready bool
		}{{"/admin/quiesce", false}, {"/admin/resume", true}} {
			if wrong := checkOrder(n.ask(fmt.Sprintf(form, order.path), 2*time.Second)); wrong != "" {
				t.Errorf("%s %s: %s", name, order.path, wrong)
			}
			n.checkHealth(t, order.ready, name+" "+order.path+":")
		}
	}
	for i := range 5 {
		if id := fmt.Sprintf("client-%d", i); n.server.hasTaken(id) > 0 {
			t.Errorf("the call with the id %s was sent to a server", id)
		}
	}
}

// TestCallInPiecesDrains guards against a call without a Host that is refused where it comes in pieces.
func TestCallInPiecesDrains(t *testing.T) {
	n := startDrainNode(t)
	for _, order := range []struct{ path, state string }{{"/admin/quiesce", "drained"}, {"/admin/resume", "ready"}} {
		conn := n.dial(t)
		for _, b := range []byte("POST " + order.path + " HTTP/1.1\r\nAccept: */*\r\n\r\n") {
			conn.Write([]byte{b})
			time.Sleep(time.Millisecond)
		}
		conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		if got := readReply(conn); got.status != http.StatusOK || got.state() != order.state {
			t.Errorf("%s: %v, want 200 and %s", order.path, got, order.state)
		}
	}
}

// refusedForms are what a node refuses or closes, with what its log has to say of
// each: where a line of the log is not one of a request, the reason, and what came.
var refusedForms = []struct{ name, text, reason, said string }{
	{"two Hosts", "GET /admin/quiesce HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "host_twice", "GET /admin/quiesce HTTP/1.1"},
	{"a Host with a space", "GET /admin/quiesce HTTP/1.1\r\nHost: a b\r\n\r\n", "host_malformed", "GET /admin/quiesce HTTP/1.1"},
	{"a client without a Host", "GET /api/x HTTP/1.1\r\nX-Secret: topsecret\r\n\r\n", "host_missing", "GET /api/x HTTP/1.1"},
	{"HTTP/0.9", "GET /admin/quiesce\r\n", "malformed", "GET /admin/quiesce"},
	{"HTTP/2.0", "GET /admin/quiesce HTTP/2.0\r\nHost: a\r\n\r\n", "http_version", "GET /admin/quiesce HTTP/2.0"},
	{"PROXY line", "PROXY TCP4 127.0.0.1 127.0.0.1 1 2\r\nGET /admin/quiesce HTTP/1.1\r\nHost: a\r\n\r\n", "malformed", "PROXY TCP4 127.0.0.1"},
	{"PROXY of version 2", "\r\n\r\n\x00\r\nQUIT\n!\x11\x00\x0c\x7f\x00\x00\x01", "malformed", ""},
	{"coding that is not known", "POST /admin/quiesce HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n", "transfer_coding", "POST /admin/quiesce HTTP/1.1"},
	{"another Expect", "POST /admin/quiesce HTTP/1.1\r\nHost: a\r\nExpect: 200-maybe\r\nContent-Length: 0\r\n\r\n", "expectation", "POST /admin/quiesce HTTP/1.1"},
	{"a head that is too long", "GET /admin/quiesce HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 30<<10) + "\r\n\r\n", "head_too_long", "GET /admin/quiesce HTTP/1.1"},
	{"half a line", "GET /admin/qui", "half_head", "GET /admin/qui"},
	{"half a head", "GET /admin/quiesce HTTP/1.1\r\nX-Secret: topsecret\r\n", "half_head", "GET /admin/quiesce HTTP/1.1"},
	{"nothing", "", "silent", ""},

	{"another case", "GET /Admin/Quiesce HTTP/1.1\r\nHost: a\r\n\r\n", "unknown", "/Admin/Quiesce"},
	{"another case, a client's headers", "GET /ADMIN/QUIESCE HTTP/1.1\r\nHost: a\r\nX-Request-Id: q\r\nX-Class: page\r\nX-Deadline: 0.500\r\n\r\n", "unknown", "/ADMIN/QUIESCE"},
	{"dot segments", "GET /admin/x/../quiesce HTTP/1.1\r\nHost: a\r\n\r\n", "unknown", "/admin/x/../quiesce"},
	{"a call that is not known", "POST /admin/drain HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", "unknown", "/admin/drain"},
	{"a path with a tail", "POST /admin/quiesce/x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", "unknown", "/admin/quiesce/x"},
	{"PATCH", "PATCH /admin/quiesce HTTP/1.1\r\nHost: a\r\n\r\n", "quiesce_method", "PATCH"},
	{"DELETE", "DELETE /admin/quiesce HTTP/1.1\r\nHost: a\r\n\r\n", "quiesce_method", "DELETE"},
	{"an h2 preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "unreadable_400", "method=PRI"},
	{"OPTIONS of all", "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", "unreadable_400", "method=OPTIONS"},
}

const (
	refusedWithin = 3 * time.Second        // of what a node can't read
	linePause     = 300 * time.Millisecond // the log has five lines of a kind in a second at most
)

// TestWhatIsRefusedLeavesALine guards against what comes, is not understood and leaves no trace.
func TestWhatIsRefusedLeavesALine(t *testing.T) {
	n := startDrainNode(t)
	lines := keepLines(n.said)
	for _, c := range refusedForms {
		got := n.ask(c.text, refusedWithin)
		if got.status >= 200 && got.status < 400 {
			t.Errorf("%s: %v, want a refusal", c.name, got)
		}
		has := func(line string) bool {
			return strings.Contains(line, "reason="+c.reason) && strings.Contains(line, c.said) && strings.Contains(line, "127.0.0.1:")
		}
		if !lines.await(has, time.Second) {
			t.Errorf("%s: no line of the log has the reason %s, %q and the client's address", c.name, c.reason, c.said)
		}
		time.Sleep(linePause)
		n.checkHealth(t, true, c.name)
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
		return strings.Contains(line, "msg=state") && strings.Contains(line, "unread=") && strings.Contains(line, "unread_newest=")
	}, 3*time.Second) {
		t.Error("no regular line tells what was refused unread")
	}
}

// TestStateLineTellsOfOperators guards against a log of regular lines from which no report can tell whether operators' calls came.
func TestStateLineTellsOfOperators(t *testing.T) {
	n := newDrainNode(t)
	own := strings.Replace(n.address, ":5000", ":5001", 1)
	n.config = strings.Replace(n.config, `{"name"`, fmt.Sprintf(`{"ops_listen":%q,"odd1":1,"odd2":1,"odd3":1,"odd4":1,"odd5":1,"name"`, own), 1)
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
	wants := []string{"operators_at=[" + own + "(ops_listen)]", `operator_calls="[quiesce@listen=1 resume@ops_listen=1]"`, `unknown_names="[odd1 odd2 odd3]"`, "more_unknown_names=2"}
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

// keptLines are the lines that a program has said so far.
type keptLines struct {
	said <-chan string
	kept []string
}

func keepLines(said <-chan string) *keptLines { return &keptLines{said: said} }

// await waits for a line, among all so far and those that come within a time.
func (l *keptLines) await(is func(string) bool, most time.Duration) bool {
	for _, line := range l.kept {
		if is(line) {
			return true
		}
	}
	for timeout := time.After(most); ; {
		select {
		case line, open := <-l.said:
			if !open {
				return false
			}
			l.kept = append(l.kept, line)
			if is(line) {
				return true
			}
		case <-timeout:
			return false
		}
	}
}
