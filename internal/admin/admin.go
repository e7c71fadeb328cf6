// Package admin is what operators are answered on an address of their own: orders
// to drain and to resume and the node's state under /admin/, the view of the fleet
// as JSON at /view, and counters in Prometheus' text format at /metrics.
package admin

import (
	"encoding/json"
	"net/http"

	"indigotack/internal/appconfig"
	"indigotack/internal/metrics"
	"indigotack/internal/peers"
)

// Answers is what operators are answered with.
type Answers struct {
	Orders   http.Handler // all that is neither counters nor view
	Counters *metrics.Set
	Peers    *peers.Peers // nil: the node keeps no view
}

// ServeHTTP answers a call. Slashes that are too many in its path make no difference.
func (a Answers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch path := appconfig.CleanPath(r.URL.Path); {
	case path == "/metrics" && r.Method == http.MethodGet:
		a.Counters.ServeHTTP(w, r)
	case path == "/view" && r.Method == http.MethodGet:
		a.view(w)
	default:
		a.Orders.ServeHTTP(w, r)
	}
}

func (a Answers) view(w http.ResponseWriter) {
	if a.Peers == nil {
		http.Error(w, "this node keeps no view: its file has no [peers]", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(a.Peers.Snapshot()) // fails only if the operator has gone
}
