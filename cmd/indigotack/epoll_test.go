package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"indigotack/internal/callfault"
	"indigotack/internal/testnet"
)

// TestNoRequestIsLostWhereEpollLacksMemory guards against a new connection that is closed unread as it can't be waited for at once.
func TestNoRequestIsLostWhereEpollLacksMemory(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "page") }))
	t.Cleanup(server.Close)
	agent := startAgent(t, map[string]string{"s": server.Listener.Addr().String()})
	listen := testnet.FreeAddress(t)
	cmd := program(t, nodeConfig{listen: listen, discovery: agent.Address(),
		settings: pushedSettings(2*time.Second) + classSettings("page", "retryable", 2*time.Second)}.String())
	var fails atomic.Bool // the next add does
	supervise(t, cmd, func(c callfault.Call) syscall.Errno {
		if c.Args[1] == unix.EPOLL_CTL_ADD && fails.CompareAndSwap(true, false) {
			return syscall.ENOMEM
		}
		return 0
	}, unix.SYS_EPOLL_CTL)
	awaitReady(t, listen)
	for i := range 5 {
		fails.Store(true)
		if status := askPage(t, listen, i); status != http.StatusOK {
			t.Errorf("request %d has status %d", i, status)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
