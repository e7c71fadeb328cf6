// Package admin answers operators on a loopback address, read only: the view
// of the fleet as JSON at /view and counters in Prometheus' text format at /metrics.
package admin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"indigotack/internal/metrics"
	"indigotack/internal/peers"
)

// Serve answers at an address until the server is closed. p is nil where the node keeps no view.
func Serve(address string, p *peers.Peers, counters *metrics.Set) (*http.Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /view", func(w http.ResponseWriter, _ *http.Request) {
		if p == nil {
			http.Error(w, "this node keeps no view: its file has no [peers]", http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(p.Snapshot()) // fails only if the operator has gone
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		counters.WriteText(w) // fails only if the operator has gone
	})
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second, ReadTimeout: time.Second, WriteTimeout: 5 * time.Second,
		IdleTimeout: 10 * time.Second, MaxHeaderBytes: 8 << 10}
	go srv.Serve(ln) // ends with Close
	return srv, nil
}
