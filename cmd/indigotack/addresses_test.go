package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"indigotack/internal/standin"
	"indigotack/internal/testnet"
)

// TestOperatorsAreHeardAtTheAddressTheyAreTold guards against calls to an address of which the program was told, and at which it does not listen.
func TestOperatorsAreHeardAtTheAddressTheyAreTold(t *testing.T) {
	for _, form := range standin.AddressForms {
		t.Run(form.Name, func(t *testing.T) { heardAt(t, form) })
	}
}

// startTold starts a node that is told of operators' addresses in a form.
func startTold(t *testing.T, form standin.AddressForm) (*drainNode, standin.OperatorAddresses) {
	t.Helper()
	n := newDrainNode(t, onListen)
	addresses := standin.OperatorAddresses{Own: strings.Replace(n.address, ":5000", ":5001", 1), Other: ownAddress(),
		Socket: testnet.SocketPath(t)}
	if _, _, calls := form.Place(addresses); calls {
		addresses.Caller = callBack(t)
	}
	for place, keys := range map[string]string{"{": form.Keys(addresses), `"settings":{`: form.Settings(addresses)} {
		if keys != "" {
			n.config = strings.Replace(n.config, place, place+keys+",", 1)
		}
	}
	n.variable = form.Variable(addresses)
	n.start(t)
	awaitReady(t, n.address)
	return n, addresses
}

// heardAt checks that a node hears operators at an address of which it is told.
func heardAt(t *testing.T, form standin.AddressForm) {
	t.Parallel()
	n, addresses := startTold(t, form)
	lines := keepLines(n.said)
	network, address, calls := form.Place(addresses)
	if calls {
		hearsCaller(t, n, lines)
		return
	}
	for _, c := range []struct{ path, state string }{{"/admin/status", "ready"}, {"/admin/quiesce", "drained"}, {"//admin/resume/", "ready"}} {
		if status, s := orderAt(t, network, address, c.path); status != http.StatusOK || s.State != c.state {
			t.Errorf("%s: %d %+v, want 200 and %s", c.path, status, s, c.state)
		}
	}
	told := func(line string) bool {
		_, at, is := strings.Cut(line, "operators_at=")
		return is && strings.Contains(line, "msg=state") && strings.Contains(at, address) && !strings.Contains(line, "unknown_names=")
	}
	if !lines.await(told, 5*time.Second) {
		t.Errorf("no regular line tells that operators are heard at %s, or it has names that are not known", address)
	}
	if network == "unix" && !lines.await(func(line string) bool {
		return strings.Contains(line, fmt.Sprintf("by=\"process %d of user", os.Getpid()))
	}, time.Second) {
		t.Error("no line tells which process has called")
	}
	if !lines.await(func(line string) bool { return strings.Contains(line, "told_by=") }, time.Second) {
		t.Error("no line tells by which name the address was told")
	}
}

// callBack is the address of somebody who sends the one order, to drain, to each that connects.
func callBack(t *testing.T) string {
	t.Helper()
	ln := testnet.Listen(t)
	go testnet.Serve(ln, func(_ int, c net.Conn) {
		fmt.Fprint(c, quiesceCall)
		http.ReadResponse(bufio.NewReader(c), nil) // what it tells is seen at the node
	})
	return ln.Addr().String()
}

// hearsCaller checks that a node has carried out the order of a place that it was told to call.
func hearsCaller(t *testing.T, n *drainNode, lines *keptLines) {
	t.Helper()
	if !lines.await(func(line string) bool { return strings.Contains(line, "drained by an operator") }, 5*time.Second) {
		t.Error("the node is not drained by an order on a connection that it makes itself")
	}
	if !lines.await(func(line string) bool {
		return strings.Contains(line, "msg=state") && strings.Contains(line, "operators_not_at=")
	}, 5*time.Second) {
		t.Error("no regular line tells of the place that was to be called")
	}
}

// TestWhatIsToldOfOperatorsAndIsNoAddressIsInEachStateLine guards against a value that is told and passed over with neither kind nor reason in the log.
func TestWhatIsToldOfOperatorsAndIsNoAddressIsInEachStateLine(t *testing.T) {
	for _, form := range standin.UntoldForms {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			n := newDrainNode(t, onListen)
			n.config = strings.Replace(n.config, "{", "{"+form.Keys+",", 1)
			n.start(t)
			lines := keepLines(n.said)
			for range 2 {
				told := func(line string) bool {
					_, not, is := strings.Cut(line, "operators_not_at=")
					return is && strings.Contains(not, "control") && strings.Contains(not, form.Kind) && !strings.Contains(line, "unknown_names=[control]")
				}
				if !lines.await(told, 10*time.Second) {
					t.Fatalf("no regular line has control as %q", form.Kind)
				}
				lines.kept = nil
			}
			if lines.await(func(line string) bool { return strings.Contains(line, "topsecret") }, 0) {
				t.Error("a secret is logged")
			}
		})
	}
}

// overNetwork is a client of HTTP to one address, whatever the request names.
func overNetwork(network, address string) *http.Client {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, network, address)
	}
	return &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial}}
}

// readAll reads an answer's body and closes it.
func readAll(resp *http.Response) ([]byte, error) {
	defer resp.Body.Close()
	return io.ReadAll(resp.Body)
}
