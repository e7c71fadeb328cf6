package node

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"indigotack/internal/faultnet"
	"indigotack/internal/testnet"
)

// acceptErrors are what accept(2) documents for a listener that is in order.
var acceptErrors = []error{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM,
	syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH,
	syscall.ETIMEDOUT, syscall.EINTR, syscall.EAGAIN}

// TestAcceptErrors: none of them ends the node, however often it comes, and
// clients are served as soon as it is over.
func TestAcceptErrors(t *testing.T) {
	for _, failure := range acceptErrors {
		t.Run(failure.Error(), func(t *testing.T) {
			t.Parallel()
			ln := testnet.Listen(t)
			var accepts faultnet.Script
			failing := &faultnet.Listener{Listener: ln, Source: &accepts}
			accepts.Fail(slices.Repeat([]error{failure}, 5)...)
			n := New(testConfig(refusing(t)), quiet)
			n.front.life.SetReady(true)
			ctx, stop := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- n.Run(ctx, failing) }()
			t.Cleanup(func() { stop(); ln.Close() })
			client := http.Client{Timeout: enough}
			resp, err := client.Get("http://" + ln.Addr().String() + "/health/live")
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			select {
			case err := <-ended:
				t.Errorf("the node ends with %v", err)
			default:
			}
		})
	}
}

// TestConnectFaultsOfThisMachine: a connect that fails for a want on this side
// says nothing about the server. Its request is served, and so are those after.
func TestConnectFaultsOfThisMachine(t *testing.T) {
	for _, failure := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
		syscall.ENETDOWN, syscall.EPERM, syscall.EAGAIN, syscall.EINTR} {
		t.Run(failure.Error(), func(t *testing.T) {
			t.Parallel()
			n := startNode(t, serving(t))
			var connects faultnet.Script
			n.backends.dialer.ControlContext = faultnet.Connects(&connects)
			connects.Fail(slices.Repeat([]error{failure}, 4)...)
			for i := range 3 {
				resp, err := http.DefaultClient.Do(n.request(t, "GET", "saldo", fmt.Sprint("q", i), "5", nil))
				if err != nil {
					t.Fatal(err)
				}
				resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					t.Errorf("request %d is answered %d after %d connects, want 200", i, resp.StatusCode, connects.Calls())
				}
			}
		})
	}
}

// TestPathFaults: the only server can't be reached three times in a row, for a
// fault of the network between. It gets requests again within a second.
func TestPathFaults(t *testing.T) {
	for _, failure := range []error{syscall.EHOSTUNREACH, syscall.ETIMEDOUT} {
		t.Run(failure.Error(), func(t *testing.T) {
			t.Parallel()
			n := startNode(t, serving(t))
			var connects faultnet.Script
			n.backends.dialer.ControlContext = faultnet.Connects(&connects)
			connects.Fail(slices.Repeat([]error{failure}, 3)...)
			status := func(id string) int {
				resp, err := http.DefaultClient.Do(n.request(t, "GET", "saldo", id, "5", nil))
				if err != nil {
					t.Fatal(err)
				}
				resp.Body.Close()
				return resp.StatusCode
			}
			for i := 0; connects.Calls() < 3; i++ {
				status(fmt.Sprint("failing", i))
				time.Sleep(5 * time.Millisecond)
			}
			healed := time.Now()
			for i := 0; status(fmt.Sprint("after", i)) != http.StatusOK; i++ {
				if time.Since(healed) > enough {
					t.Fatal("the server gets no requests any more")
				}
				time.Sleep(5 * time.Millisecond)
			}
			if took := time.Since(healed); took > time.Second {
				t.Errorf("the server gets nothing for %v", took)
			}
		})
	}
}
