package discovery

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
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
	record := &recorded{}
	f := NewFollower(disc.Listener.Addr().String(), Agent, PlanTimes(Agent, enough), 0, quiet, record, Sink{List: func(List) {}})
	for range 3 {
		l, err := f.caller.call(t.Context(), Call{Whole: true}, &progress{})
		if err != nil {
			t.Fatal(err)
		}
		f.NoteUnknown(&l)
	}
	said := strings.Join(record.with(""), "\n")
	if strings.Count(said, "key instances") != 1 || strings.Count(said, "key endpoints.drain_by") != 1 || !strings.Contains(said, "discovery sends a call elsewhere") || strings.Contains(said, "secret") {
		t.Errorf("want one line that tells of the key instances, one of drain_by, and one of the redirection, without values:\n%s", said)
	}
}
