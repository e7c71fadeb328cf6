package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"indigotack/decide"
	"indigotack/internal/discovery"
)

// TestDrainsWhileItIsDialled: a server is listed as draining, or not any more,
// while a connection to it comes up. However long that takes, and however short
// the grace is, the request that waits for it does not go there.
func TestDrainsWhileItIsDialled(t *testing.T) {
	for name, kind := range map[string]decide.ListKind{"draining": decide.ListChanges, "gone": decide.ListChanges, "left out": decide.ListFull} {
		for effect := range classes {
			t.Run(name+"/"+effect, func(t *testing.T) {
				t.Parallel()
				server, got, _ := silentServer(t)
				n := startNodeWith(t, func(c *Config) { c.Settings.MayCancel = false }, server)
				dialling, release := holdDials(n.backends, 0)
				c := n.dial(t)
				fmt.Fprint(c, text(effect, "q"))
				wait(t, dialling, "the dial")
				var entries []discovery.Entry
				if kind == decide.ListChanges {
					entries = []discovery.Entry{{Name: "s-0", Address: server, Zone: "a", Kind: "m2", Status: name, Weight: 1}}
				}
				n.onLoop(t, func() { n.follow(entries, 2, kind, discovery.Origin{}) })
				release()
				if status := c.status(t); status != 503 || len(got) > 0 {
					t.Errorf("answer %d, %d requests at the server, want 503 and none", status, len(got))
				}
			})
		}
	}
}

// TestWindowEndsWhileItIsDialled: a keyed request may have run, and is to be
// sent once more. The connection comes up when servers may have forgotten the
// first time: it is not sent.
func TestWindowEndsWhileItIsDialled(t *testing.T) {
	t.Parallel()
	const window = 2 * time.Second // a busy machine gets to the second attempt within it
	var requests atomic.Int32
	got, gate := make(chan struct{}, 1), make(chan struct{})
	serve := func(_ int, c net.Conn, r *bufio.Reader) { // all that is asked ends in a reset
		if readRequest(r) != nil && requests.Add(1) == 1 {
			got <- struct{}{}
			<-gate
		}
	}
	n := startNodeWith(t, func(c *Config) {
		c.Settings.MayCancel = false
		c.Settings.Classes[1].DedupWindow = window
	}, backendServer(t, serve), backendServer(t, serve))
	dialling, release := holdDials(n.backends, 1)
	c := n.dial(t)
	fmt.Fprint(c, text("keyed", "q"))
	wait(t, got, "the first attempt")
	first := time.Now() // it was sent before
	close(gate)
	wait(t, dialling, "the second attempt's dial")
	waitUntil(t, "the end of the window", func() bool { return time.Since(first) > window })
	release()
	if status := c.status(t); status == 200 || requests.Load() != 1 {
		t.Errorf("answer %d, it was sent %d times, want a failure and one", status, requests.Load())
	}
	n.idle(t)
	if k := requests.Load(); k != 1 {
		t.Errorf("it was sent %d times, want one", k)
	}
}

// TestDeadlinePassedOnIsWhatIsLeft: a connection is long in coming. The server
// is told how long the client still waits then, not when the attempt began.
func TestDeadlinePassedOnIsWhatIsLeft(t *testing.T) {
	const wait, dial, slack = 3 * time.Second, time.Second, 150 * time.Millisecond
	type call struct {
		at   time.Time
		told time.Duration
	}
	calls := make(chan call, 1)
	n := startNode(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		req := readRequest(r)
		if req == nil {
			return
		}
		seconds, _ := strconv.ParseFloat(req.Header.Get("X-Deadline"), 64)
		calls <- call{time.Now(), time.Duration(seconds * float64(time.Second))}
		io.WriteString(c, okAnswer)
	}))
	dialling, release := holdDials(n.backends, 0)
	client := n.dial(t)
	sent := time.Now()
	fmt.Fprint(client, textOf("safe", "saldo", "q", fmt.Sprint(wait.Seconds())))
	<-dialling
	time.Sleep(dial)
	release()
	if status := client.status(t); status != 200 {
		t.Fatalf("answer %d, want 200", status)
	}
	c := <-calls
	if left := wait - c.at.Sub(sent); c.told > left+slack || c.told <= 0 {
		t.Errorf("the server is told %v, and its client waits for %v more", c.told, left)
	}
}
