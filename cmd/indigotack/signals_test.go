package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"indigotack/internal/testnet"
)

// pageTime is how long the slow server takes.
const pageTime = 600 * time.Millisecond

// nodeWithRequestInHand runs the program before a slow server and has it hold
// one request, whose answer's status comes on answer.
func nodeWithRequestInHand(t *testing.T) (cmd *exec.Cmd, listen string, said <-chan string, answer <-chan int) {
	t.Helper()
	began := make(chan struct{}, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		time.Sleep(pageTime)
		io.WriteString(w, "page")
	}))
	t.Cleanup(server.Close)
	agent := startAgent(t, map[string]string{"s": server.Listener.Addr().String()})
	listen = testnet.FreeAddress(t)
	cmd = program(t, nodeConfig{listen: listen, discovery: agent.Address(),
		settings: pushedSettings(2*time.Second) + classSettings("page", "retryable", 2*time.Second)}.String())
	said = start(t, cmd)
	awaitReady(t, listen)
	status := make(chan int, 1)
	go func() { status <- askPage(t, listen, 0) }()
	<-began
	return cmd, listen, said, status
}

func send(t *testing.T, cmd *exec.Cmd, signals ...syscall.Signal) {
	t.Helper()
	for _, s := range signals {
		if err := cmd.Process.Signal(s); err != nil {
			t.Errorf("%v: %v", s, err)
		}
	}
}

// TestSignalsThatAskNothing: neither the program nor its request in hand ends
// by a signal that has no meaning to it, and the log tells which came.
func TestSignalsThatAskNothing(t *testing.T) {
	for _, s := range []syscall.Signal{syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGALRM, syscall.SIGVTALRM, syscall.SIGPROF, syscall.SIGPIPE,
		syscall.SIGCHLD, syscall.SIGCONT, syscall.SIGTSTP, syscall.SIGTTIN, syscall.SIGTTOU, syscall.SIGWINCH, syscall.SIGURG, syscall.SIGIO,
		syscall.SIGPWR, syscall.SIGXCPU, syscall.SIGXFSZ, 34, 35, 64} {
		t.Run(fmt.Sprint(int(s), "_", unix.SignalName(s)), func(t *testing.T) {
			t.Parallel()
			cmd, listen, said, answer := nodeWithRequestInHand(t)
			send(t, cmd, s, s)
			select {
			case status := <-answer:
				if status != http.StatusOK {
					t.Errorf("the request in hand is answered %d", status)
				}
			case <-time.After(3 * pageTime):
				t.Fatal("the request in hand has no answer")
			}
			if status := askPage(t, listen, 1); status != http.StatusOK {
				t.Errorf("the next request is answered %d", status)
			}
			switch s {
			case syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGALRM, syscall.SIGTSTP, syscall.SIGCONT, syscall.SIGXCPU, syscall.SIGPWR:
				checkSaid(t, said, `msg="signal received" node=n0 reason=`+unix.SignalName(s))
			case 34, 35, 64:
				checkSaid(t, said, fmt.Sprintf(`msg="signal received" node=n0 reason="signal %d"`, int(s)))
			}
		})
	}
}

// TestSignalsThatStop: each ends the program in order, and none after it in a hurry.
func TestSignalsThatStop(t *testing.T) {
	for _, signals := range [][]syscall.Signal{{syscall.SIGTERM}, {syscall.SIGINT}, {syscall.SIGQUIT}, {syscall.SIGINT, syscall.SIGINT},
		{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGINT, syscall.SIGQUIT, syscall.SIGHUP, syscall.SIGUSR1}} {
		t.Run(fmt.Sprint(signals), func(t *testing.T) {
			t.Parallel()
			cmd, _, said, answer := nodeWithRequestInHand(t)
			for _, s := range signals {
				send(t, cmd, s)
				time.Sleep(20 * time.Millisecond)
			}
			if status := <-answer; status != http.StatusOK {
				t.Errorf("the request in hand is answered %d", status)
			}
			checkSaid(t, said, "connections ended")
			if err := cmd.Wait(); err != nil {
				t.Errorf("it ends with %v, want status 0", err)
			}
		})
	}
}
