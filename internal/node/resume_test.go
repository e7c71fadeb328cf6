package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"indigotack/decide"
	"indigotack/internal/lifecycle"
)

// TestDrainTellsNothingOfServers: a drain's bound ends the attempts of requests
// that were taken before it, and of those that came whole during it, which have
// less time than their clients gave them. Their only server serves at once after
// the resume.
func TestDrainTellsNothingOfServers(t *testing.T) {
	const bound = 400 * time.Millisecond
	var answers atomic.Bool
	n := startNode(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil && answers.Load() {
			io.WriteString(c, okAnswer)
		}
		io.Copy(io.Discard, c) // says nothing until the node closes
	}))
	n.front.plan = func() lifecycle.ShutdownPlan {
		return lifecycle.ShutdownPlan{Answer: bound, Refuse: enough, End: enough}
	}
	const requests = 3 // of each kind: as many failures in a row eject a server
	var conns []raw
	for i := range 2 * requests {
		c := n.dial(t)
		whole := text("safe", fmt.Sprint("q", i))
		first := whole
		if i >= requests {
			first = whole[:30]
		}
		fmt.Fprint(c, first)
		n.takes(t, c, uint64(len(first)))
		conns = append(conns, c)
	}
	waitUntil(t, "the first requests to be in hand", func() bool { return n.front.inHand.Load() == requests })
	n.front.orderDrain(lifecycle.Order{Came: time.Now()}, "test")
	for i, c := range conns[requests:] {
		fmt.Fprint(c, text("safe", fmt.Sprint("q", requests+i))[30:])
	}
	for i, c := range conns {
		if status := c.status(t); status != 503 && status != 504 {
			t.Errorf("request %d is answered %d", i, status)
		}
	}
	answers.Store(true)
	n.front.orderResume(lifecycle.Order{Came: time.Now()}, "test")
	for i := range 10 {
		c := n.dial(t)
		c.ask(t, "saldo", fmt.Sprint("after", i), "20")
		if status := c.status(t); status != 200 {
			t.Errorf("request %d after the resume is answered %d", i, status)
		}
	}
	if late := n.counters.Value(eventAttempt, decide.TimedOut.String()); late > 0 {
		t.Errorf("%d attempts count as timed out, which the drain has ended", late)
	}
}

// TestDrainBesideOthers: during a drain the node is live, takes up another
// discovery, and follows its list. After the resume it sends to that list's
// servers alone.
func TestDrainBesideOthers(t *testing.T) {
	var old atomic.Int32
	n := startNode(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			old.Add(1)
			io.WriteString(c, okAnswer)
		}
	}))
	n.front.orderDrain(lifecycle.Order{Came: time.Now()}, "test")
	other := startNode(t, serving(t)) // whose discovery lists another server, by the same name
	cfg := n.cfg
	cfg.Discovery = other.cfg.Discovery
	n.Reload(cfg)
	waitUntil(t, "the list of the new discovery", func() bool {
		now, ok := n.state()
		return ok && now.phase == lifecycle.Drained.String() && n.counters.Value(eventList, "changed") >= 2
	})
	if resp, err := http.Get("http://" + n.address + "/health/live"); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("a drained node's check for life is answered %v, %v", resp, err)
	}
	n.front.orderResume(lifecycle.Order{Came: time.Now()}, "test")
	for i := range 5 {
		c := n.dial(t)
		c.ask(t, "saldo", fmt.Sprint("after", i), "20")
		if status := c.status(t); status != 200 {
			t.Errorf("request %d after the resume is answered %d", i, status)
		}
	}
	if old.Load() > 0 {
		t.Errorf("%d requests were sent to the server that is not listed any more", old.Load())
	}
}
