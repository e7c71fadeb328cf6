package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"indigotack/internal/callfault"
	"indigotack/internal/testnet"
)

// pageEvery is the time between the requests of these tests.
const pageEvery = 20 * time.Millisecond

// TestInterruptedConnects: connects to the only server that a signal interrupts
// say nothing about that server. Every request is served, during them and after.
func TestInterruptedConnects(t *testing.T) {
	answers, calls := withFailingConnects(t, syscall.EINTR, 3, 3*time.Second)
	if calls < 3 {
		t.Fatalf("%d connects to the server, want 3 and more", calls)
	}
	if i := slices.IndexFunc(answers, func(status int) bool { return status != http.StatusOK }); i >= 0 {
		t.Errorf("request %d of %d is answered %d", i, len(answers), answers[i])
	}
}

// TestRefusedConnects: a refused connect says something about its server, but
// the only one there is tried again each second.
func TestRefusedConnects(t *testing.T) {
	answers, calls := withFailingConnects(t, syscall.ECONNREFUSED, 5, 6*time.Second)
	if calls < 5 {
		t.Fatalf("%d connects to the server, want 5 and more", calls)
	}
	// Two at once, a probe after 0.75 s at most, three more a second apart, and some time to spare.
	const most = 4200 * time.Millisecond
	for i, status := range answers {
		if at := time.Duration(i) * pageEvery; status != http.StatusOK && at >= most {
			t.Fatalf("request %d, %v after the first, is answered %d", i, at, status)
		}
	}
}

// withFailingConnects runs the program before one server, connects to which fail
// so many times, and returns how requests were answered, one each pageEvery for so long.
func withFailingConnects(t *testing.T, failure syscall.Errno, times int, long time.Duration) (answers []int, calls int) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close") // so that the next request needs a connect
		io.WriteString(w, "page")
	}))
	t.Cleanup(server.Close)
	agent := startAgent(t, map[string]string{"s": server.Listener.Addr().String()})
	listen := testnet.FreeAddress(t)
	cmd := program(t, nodeConfig{listen: listen, discovery: agent.Address(),
		settings: pushedSettings(2*time.Second) + `"caps":{"connect_timeout_ns":120000000},` + classSettings("page", "retryable", 2*time.Second)}.String())
	var connects atomic.Int64
	supervise(t, cmd, func(c callfault.Call) syscall.Errno {
		if c.Destination().String() != server.Listener.Addr().String() || connects.Add(1) > int64(times) {
			return 0
		}
		return failure
	}, unix.SYS_CONNECT)
	awaitReady(t, listen)
	var clients sync.WaitGroup
	answers = make([]int, long/pageEvery)
	for i := range answers {
		clients.Go(func() { answers[i] = askPage(t, listen, i) })
		time.Sleep(pageEvery)
	}
	clients.Wait()
	return answers, int(connects.Load())
}

// supervise starts a program of which some system calls fail.
func supervise(t *testing.T, cmd *exec.Cmd, fail func(callfault.Call) syscall.Errno, numbers ...int) {
	t.Helper()
	s, err := callfault.New(cmd, numbers...)
	if err != nil {
		t.Fatal(err)
	}
	start(t, cmd)
	var serving sync.WaitGroup
	serving.Go(func() {
		if err := s.Serve(fail); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
		serving.Wait()
	})
}

// askPage sends one request on a connection of its own and returns the status of its answer.
func askPage(t *testing.T, address string, number int) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/api/x", nil)
	if err != nil {
		t.Error(err)
		return 0
	}
	req.Close = true
	req.Header.Set("X-Request-Id", fmt.Sprint("page-", number))
	req.Header.Set("X-Class", "page")
	req.Header.Set("X-Deadline", "2")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
