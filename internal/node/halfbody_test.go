package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"indigotack/internal/appconfig"
)

// TestRefusalWaitsForNoBody guards against an answer that comes late where the body of what is refused, or of an operator's call, does not come whole.
func TestRefusalWaitsForNoBody(t *testing.T) {
	const half = "Content-Length: 9\r\n\r\nhal"
	page := "POST /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: q\r\nX-Class: pagar\r\nX-Deadline: 60\r\n" + half
	for _, c := range []struct {
		name, say string
		before    func(n *running)
		status    int
	}{
		{"operator's call", "POST /admin/resume HTTP/1.1\r\nHost: node\r\n" + half, nil, http.StatusOK},
		{"unknown call", "POST /admin/x HTTP/1.1\r\nHost: node\r\n" + half, nil, http.StatusNotFound},
		{"health check", "GET /health/live HTTP/1.1\r\nHost: node\r\n" + half, nil, http.StatusOK},
		{"unreadable", "POST /api/x HTTP/1.1\r\nHost: app.svc\r\n" + half, nil, http.StatusBadRequest},
		{"drained node", page, func(n *running) { n.order(t, appconfig.QuiescePath) }, http.StatusServiceUnavailable},
		{"full node", page, func(n *running) { n.setMost(0) }, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := startNode(t, serving(t))
			if c.before != nil {
				c.before(n)
			}
			began, client := time.Now(), n.dial(t)
			fmt.Fprint(client, c.say)
			resp, err := http.ReadResponse(client.read, nil)
			if took := time.Since(began); err != nil || resp.StatusCode != c.status || took > heardWithin {
				t.Errorf("%+v, %v after %v, want %d within %v", resp, err, took, c.status, heardWithin)
			}
		})
	}
}
