package admin

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"indigotack/internal/metrics"
)

func TestPaths(t *testing.T) {
	counters := &metrics.Set{}
	counters.Add("attempts", "served")
	orders := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/api/x" {
			http.NotFound(w, r)
		}
		io.WriteString(w, r.Method+" "+r.URL.Path)
	})
	operators := httptest.NewServer(Answers{Orders: orders, Counters: counters})
	defer operators.Close()
	for _, c := range []struct {
		path   string
		status int
		says   string
	}{
		{"/admin/status", http.StatusOK, "GET /admin/status"},
		{"//admin/status/", http.StatusOK, "GET //admin/status/"},
		{"/metrics", http.StatusOK, `indigotack_attempts_total{reason="served"} 1`},
		{"/metrics/", http.StatusOK, `indigotack_attempts_total{reason="served"} 1`},
		{"/view", http.StatusNotFound, "keeps no view"},
		{"/api/x", http.StatusNotFound, ""},
	} {
		resp, err := http.Get(operators.URL + c.path)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != c.status || !strings.Contains(string(body), c.says) {
			t.Errorf("%s: %d %q, %v, want %d and %q", c.path, resp.StatusCode, body, err, c.status, c.says)
		}
	}
}
