package main

import (
	"fmt"
	"net/http"
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
