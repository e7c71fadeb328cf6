package node

import (
	"fmt"
	"testing"

	"indigotack/decide"
)

// TestSeveralChangesOfOneServer: an answer may tell several changes of one
// server, as after a time in which the node heard nothing. The last one holds.
func TestSeveralChangesOfOneServer(t *testing.T) {
	const servers = 40
	n := New(testConfig("127.0.0.1:1"), quiet)
	stop := n.run(t.Context())
	defer stop()
	list := func(i int, status string) entry {
		return entry{Name: fmt.Sprintf("s-%02d", i), Address: fmt.Sprintf("127.0.0.1:%d", 1000+i), Zone: "a", Kind: "m2", Status: status, Weight: 1}
	}
	var first, later []entry
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
		n.follow(first, 1, decide.ListCached)
		n.follow(later, 4, decide.ListChanges)
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
