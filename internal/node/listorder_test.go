package node

import (
	"fmt"
	"testing"

	"indigotack/decide"
	"indigotack/internal/discovery"
)

// TestSeveralChangesOfOneServer: an answer may tell several changes of one
// server, as after a time in which the node heard nothing. The last one holds.
func TestSeveralChangesOfOneServer(t *testing.T) {
	const servers = 40
	n := New(testConfig("127.0.0.1:1"), quiet)
	stop := n.run(t.Context())
	defer stop()
	list := func(i int, status string) discovery.Entry {
		return discovery.Entry{Name: fmt.Sprintf("s-%02d", i), Address: fmt.Sprintf("127.0.0.1:%d", 1000+i), Zone: "a", Kind: "m2", Status: status, Weight: 1}
	}
	var first, later []discovery.Entry
	for i := range servers {
		first = append(first, list(i, "ready"))
	}
	for range 3 { // new weights, a drain of every other server, new weights
		for i := range servers {
			status := "ready"
			if i%2 == 0 && len(later) >= servers {
				status = "draining"
			}
			later = append(later, list(i, status))
		}
	}
	told := make(chan int)
	n.post(func() {
		n.follow(first, 1, decide.ListCached, discovery.Origin{})
		n.follow(later, 4, decide.ListChanges, discovery.Origin{})
		wrong := 0
		for i := range servers {
			id := n.ids.of(list(i, "").Name)
			if draining := i%2 == 0; draining == (n.backends.backends[id] != nil) {
				wrong++
			}
		}
		told <- wrong
	})
	if wrong := <-told; wrong > 0 {
		t.Errorf("%d of %d servers are not as the list's last word about them", wrong, servers)
	}
}

// TestMalformedDrainsCount: an entry that can't be used as a whole still tells
// that its server drains or is gone, which matters more than the rest of it.
func TestMalformedDrainsCount(t *testing.T) {
	const ready = `{"name":"s","address":"127.0.0.1:1","zone":"a","type":"m2","status":"ready","weight":1}`
	for _, drain := range []string{
		`{"name":"s","status":"draining"}`,
		`{"name":"s","address":"","status":"draining"}`,
		`{"name":"s","address":"127.0.0.1:1","status":"draining","weight":-1}`,
		`{"name":"s","address":"127.0.0.1:1","status":"draining","since_ms":1.7e12}`,
		`{"name":"s","address":"127.0.0.1:1","status":"draining","since_ms":12.5}`,
		`{"name":"s","address":"127.0.0.1:1","status":"draining","group":"x"}`,
		`{"name":"s","address":7,"status":"gone"}`,
	} {
		n := New(testConfig("127.0.0.1:1"), quiet)
		take := func(text string, kind decide.ListKind) {
			var l discovery.List
			if err := l.UnmarshalJSON([]byte(`{"index":1,"endpoints":[` + text + `]}`)); err != nil {
				t.Fatal(err)
			}
			n.follow(l.Entries, l.Index, kind, discovery.Origin{})
		}
		take(ready, decide.ListCached)
		take(drain, decide.ListChanges)
		if b := n.backends.backends[n.ids.of("s")]; b != nil {
			t.Errorf("after %s the server is still sent requests", drain)
		}
	}
}
