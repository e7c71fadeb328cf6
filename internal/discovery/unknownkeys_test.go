package node

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"indigotack/internal/standin"
)

// TestWhatDiscoverySaysAndIsNotKnownLeavesALine guards against keys of lists, and redirections, that leave no trace.
func TestWhatDiscoverySaysAndIsNotKnownLeavesALine(t *testing.T) {
	disc := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/moved" {
			http.Redirect(w, r, "/moved", http.StatusTemporaryRedirect)
			return
		}
		fmt.Fprint(w, `{"index":1,"snapshot":true,"instances":[{"name":"secret"}],"endpoints":[{"name":"a","address":"127.0.0.1:1","status":"ready","drain_by":"secret"},{"name":"b","status":"gone","drain_by":1}]}`)
	}))
	defer disc.Close()
	log := &standin.LogBuffer{}
	d := newDiscovery(disc.Listener.Addr().String(), watchTimes(planLists(agent, enough)), newObserver(slog.New(slog.NewTextHandler(log, nil))), func(list) {}, func() {})
	for range 3 {
		if err := d.fetch(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	said := log.String()
	if strings.Count(said, "key=instances") != 1 || strings.Count(said, "key=endpoints.drain_by") != 1 || !strings.Contains(said, "discovery sends a call elsewhere") || strings.Contains(said, "secret") {
		t.Errorf("want one line that tells of the key instances, one of drain_by, and one of the redirection, without values:\n%s", said)
	}
}
