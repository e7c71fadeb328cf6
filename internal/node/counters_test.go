package node

import (
	"net/http"
	"testing"
)

// TestCountersOnTheClientsListener: there only where it is operators' address
// too, and never for a client's request.
func TestCountersOnTheClientsListener(t *testing.T) {
	for _, shared := range []bool{false, true} {
		n := startNodeWith(t, func(c *Config) {
			if shared {
				c.Operators.OnListen = []string{"admin"}
			}
		})
		want := http.StatusBadRequest
		if shared {
			want = http.StatusOK
		}
		for _, c := range []struct {
			class string
			want  int
		}{{"", want}, {"saldo", http.StatusBadRequest}} {
			req, err := http.NewRequest(http.MethodGet, "http://"+n.address+metricsPath, nil)
			if err != nil {
				t.Fatal(err)
			}
			if c.class != "" {
				req.Header.Set("X-Class", c.class)
			}
			if got := do(t, req); got.status != c.want {
				t.Errorf("shared %v, class %q: answer %d, want %d", shared, c.class, got.status, c.want)
			}
		}
	}
}

// TestPrefixOnTheClientsListener guards against a prefix that is told with the clients' address and changes what clients ask.
func TestPrefixOnTheClientsListener(t *testing.T) {
	n := startNodeWith(t, func(c *Config) { c.Operators.OnListen, c.Operators.OnPrefix = []string{"control"}, "/api" })
	for path, want := range map[string]int{"/api/admin/status": http.StatusOK, "/admin/status": http.StatusOK, "/api/x": http.StatusBadRequest} {
		req, err := http.NewRequest(http.MethodGet, "http://"+n.address+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		if got := do(t, req); got.status != want {
			t.Errorf("%s: answer %d, want %d", path, got.status, want)
		}
	}
}
