package node

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"indigotack/internal/appconfig"
	"indigotack/internal/lifecycle"
)

// TestAnswerThatNobodyReadsEndsByTheBound guards against a drained node that holds a connection past its time, as its client does not take the answer.
func TestAnswerThatNobodyReadsEndsByTheBound(t *testing.T) {
	plan := lifecycle.PlanShutdown(200*time.Millisecond, true)
	page := strings.Repeat("x", 1<<10) // small, so that nothing of the last one is written
	n := startNode(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(page), page)
		}
	}))
	n.front.plan = func() lifecycle.ShutdownPlan { return plan }
	rawOf(n.accepting).Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 4096) })
	c := n.dial(t)
	c.SetReadBuffer(2048)
	for i := 0; ; i++ {
		c.ask(t, "saldo", fmt.Sprint("q", i), "60")
		if !n.serves(i + 1) {
			break // as the answer before is not written yet
		}
	}
	n.order(t, appconfig.QuiescePath)
	drained := time.Now()
	waitUntil(t, "no connection of before the drain", func() bool { older, _ := n.held(drained); return older == 0 })
	if took, most := time.Since(drained), plan.End+exitSlack; took > most {
		t.Errorf("the connection is held for %v, want %v at most", took, most)
	}
}

// serves tells whether the node comes to have served so many requests.
func (n *running) serves(number int) bool {
	for until := time.Now().Add(stuckTime); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if n.counters.Value(eventRequest, "served") >= uint64(number) {
			return true
		}
	}
	return false
}

const (
	exitSlack = 50 * time.Millisecond  // that a platform leaves between a node's last step and its kill
	stuckTime = 500 * time.Millisecond // without an answer
)
