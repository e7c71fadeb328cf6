package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	"indigotack/internal/testnet"
)

// A platform waits at least for the longest deadline, or killCap if that is less, and
// killSlack between SIGTERM and SIGKILL.
const (
	killCap   = 3 * time.Second
	killSlack = 700 * time.Millisecond
)

// TestServesUntilTheEarliestKill: clients go on sending on every connection
// that stays open until the process is killed, which comes as early as the
// platform may, while some servers hang. Each request that was sent on an open
// connection has a whole answer by then, or crossed the close of a connection
// between two requests.
func TestServesUntilTheEarliestKill(t *testing.T) {
	for _, longest := range []time.Duration{300 * time.Millisecond, 650 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second, 3500 * time.Millisecond} {
		t.Run(longest.String(), func(t *testing.T) {
			t.Parallel()
			for _, lost := range requestsLostAtKill(t, longest, 0) {
				t.Error(lost)
			}
		})
	}
	t.Run("told to end as it stood still", func(t *testing.T) {
		t.Parallel()
		for _, lost := range requestsLostAtKill(t, 2*time.Second, time.Second) {
			t.Error(lost)
		}
	})
}

// requestsLostAtKill tells of the requests that go without an answer around an end
// whose signal comes as the process begins to stand still for a time.
func requestsLostAtKill(t *testing.T, longest, pause time.Duration) (lost []string) {
	t.Helper()
	hangs := make(chan struct{})
	t.Cleanup(func() { close(hangs) })
	servers := map[string]string{}
	for i := range 4 {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if i == 0 {
				select {
				case <-hangs:
				case <-r.Context().Done():
				}
				return
			}
			time.Sleep(rand.N(longest / 4))
			io.WriteString(w, "page")
		}))
		t.Cleanup(s.CloseClientConnections)
		servers[fmt.Sprint("s", i)] = s.Listener.Addr().String()
	}
	agent := startAgent(t, servers)
	listen := testnet.FreeAddress(t)
	cmd := program(t, nodeConfig{listen: listen, discovery: agent.Address(),
		settings: pushedSettings(2*time.Second) + `"caps":{"max_attempts":4,"cancel":true},` + classSettings("page", "retryable", longest)}.String())
	start(t, cmd)
	awaitReady(t, listen)
	watchProgram(t, listen, cmd.Process.Pid)

	var mu sync.Mutex
	report := func(text string) {
		mu.Lock()
		defer mu.Unlock()
		lost = append(lost, text)
	}
	var clients sync.WaitGroup
	stopped := make(chan struct{})
	for i := range 24 {
		clients.Go(func() { sendUntilClosed(listen, i, longest, stopped, report) })
	}
	time.Sleep(500 * time.Millisecond)
	if pause > 0 {
		if err := cmd.Process.Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(pause, func() { cmd.Process.Signal(syscall.SIGCONT) })
		time.Sleep(pause / 10) // it stands
	}
	close(stopped)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	kill := time.AfterFunc(min(longest, killCap)+killSlack, func() { cmd.Process.Kill() })
	defer kill.Stop()
	clients.Wait()
	cmd.Wait()
	return lost
}

// sendUntilClosed sends requests on one connection after another until stopped
// is closed, and then for as long as the connection stays open. It reports each
// request that goes without a whole answer, unless it crossed a close.
func sendUntilClosed(address string, client int, deadline time.Duration, stopped <-chan struct{}, report func(string)) {
	for number := 0; ; {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return // nobody listens any more
		}
		answers := bufio.NewReader(conn)
		for first := true; ; first = false {
			number++
			_, open, lost := sendPage(conn, answers, fmt.Sprintf("c%d-%d", client, number), first, deadline)
			if lost != "" {
				report(lost)
			}
			if !open {
				break
			}
			time.Sleep(rand.N(8 * time.Millisecond))
		}
		conn.Close()
		select {
		case <-stopped:
			return
		default:
		}
	}
}

// sendPage sends a request on a connection that has carried some, or is new if
// it is the first, and gives the status of its answer, 0 if it crossed the
// connection's close, and whether the connection stays open. lost tells of a
// request that goes without a whole answer in time; "" if it does not.
func sendPage(conn net.Conn, answers *bufio.Reader, id string, first bool, deadline time.Duration) (status int, open bool, lost string) {
	ownLateness.watch()
	sent := time.Now()
	_, err := fmt.Fprintf(conn, "GET /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: page\r\nX-Deadline: %.3f\r\n\r\n", id, deadline.Seconds())
	if err != nil {
		return 0, false, ""
	}
	conn.SetReadDeadline(sent.Add(deadline + time.Second))
	resp, err := http.ReadResponse(answers, nil)
	if err != nil {
		if first {
			return 0, false, fmt.Sprintf("%s: no answer on a new connection, %v after it was sent: %v", id, time.Since(sent), err)
		} else if took, late := time.Since(sent), machineLate(conn.RemoteAddr().String(), sent); took > resetTime+late {
			return 0, false, fmt.Sprintf("%s: the connection was closed %v after it was sent, the machine late by %v: %v", id, took, late, err)
		} else if !wasReset(conn, err) {
			return 0, false, fmt.Sprintf("%s: it was read, and its connection closed %v after it was sent: %v", id, took, err)
		}
		return 0, false, ""
	}
	_, err = io.ReadAll(resp.Body)
	if took := time.Since(sent); err != nil || took > deadline+socketSlack {
		lost = fmt.Sprintf("%s: answer %d after %v, %v", id, resp.StatusCode, took, err)
	}
	return resp.StatusCode, !resp.Close && err == nil, lost
}

// resetTime is within which a reset follows what was sent to a connection that
// the other side had closed.
const resetTime = 20 * time.Millisecond

// wasReset tells whether a connection on which a read has failed was reset. A
// request that the other side's process never read is answered with a reset, as
// its connection was closed before it came or over it unread; one that was read
// is not.
func wasReset(conn net.Conn, failure error) bool {
	if errors.Is(failure, syscall.ECONNRESET) || errors.Is(failure, syscall.EPIPE) {
		return true
	}
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	for until := time.Now().Add(resetTime); time.Now().Before(until); time.Sleep(time.Millisecond) {
		var pending int
		err := raw.Control(func(fd uintptr) { pending, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) })
		if err == nil && pending != 0 {
			return true
		}
	}
	return false
}
