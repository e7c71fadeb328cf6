package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"indigotack/internal/node"
	"indigotack/internal/testnet"
)

// platformNode is a node on a platform with a list of one server, and no discovery.
func platformNode(t *testing.T, listen, keys string) *exec.Cmd {
	t.Helper()
	return program(t, nodeConfig{listen: listen, discovery: listen, keys: keys, settings: classSettings("slow", "fragile", 2*time.Second), server: listen}.String())
}

// orderNode gives a node an order and reads its answer; the status is 0 if there is none.
func orderNode(t *testing.T, address, path string) (status int, s node.Status) {
	t.Helper()
	return orderAt(t, "tcp", address, path)
}

// orderAt does the same on any network.
func orderAt(t *testing.T, network, address, path string) (status int, s node.Status) {
	t.Helper()
	method := http.MethodPost
	if path == "/admin/status" {
		method = http.MethodGet
	}
	req, err := http.NewRequest(method, "http://node"+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := overNetwork(network, address).Do(req)
	if err != nil {
		return 0, s
	}
	body, err := readAll(resp)
	if err != nil {
		return 0, s
	}
	if err := json.Unmarshal(body, &s); err != nil {
		t.Fatalf("%s: %d %q: %v", path, resp.StatusCode, body, err)
	}
	return resp.StatusCode, s
}

// TestAdminAddressFromStartToEnd: operators are answered before the first list,
// in a drain, and from SIGTERM until the node ends.
func TestAdminAddressFromStartToEnd(t *testing.T) {
	listen, operators := testnet.FreeAddress(t), testnet.FreeAddress(t)
	cmd := program(t, nodeConfig{listen: listen, discovery: testnet.FreeAddress(t), settings: classSettings("slow", "fragile", 2*time.Second)}.String())
	cmd.Env = append([]string{"GW_ADMIN=" + operators}, cmd.Env...)
	awaitLine(t, start(t, cmd), "operators are answered")
	for _, c := range []struct{ path, state string }{
		{"/admin/status", "starting"},
		{"/admin/quiesce", "drained"},
		{"/admin/status", "drained"},
		{"/admin/resume", "starting"},
	} {
		if status, s := orderNode(t, operators, c.path); status != http.StatusOK || s.State != c.state {
			t.Errorf("%s: %d %+v, want 200 and %s", c.path, status, s, c.state)
		}
	}
	resp, err := http.Get("http://" + operators + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil || !strings.Contains(string(body), `indigotack_operator_calls_total{reason="quiesce"} 1`) {
		t.Errorf("/metrics: %q, %v", body, err)
	}
	half, err := net.Dial("tcp", listen) // half a request keeps the node from ending at once
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(half, "GET /api/x HTTP/1.1\r\n")
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	if status, s := orderNode(t, operators, "/admin/resume"); status != http.StatusConflict {
		t.Errorf("resume after SIGTERM: %d %+v, want 409", status, s)
	}
	half.Close()
	if err := cmd.Wait(); err != nil {
		t.Errorf("it ends with %v, want status 0", err)
	}
}

// TestAdminAddressThatIsTaken: the node serves without it, and answers there once it is free.
func TestAdminAddressThatIsTaken(t *testing.T) {
	held := testnet.Listen(t)
	listen := testnet.FreeAddress(t)
	said := start(t, platformNode(t, listen, fmt.Sprintf(`"admin_listen":%q,`, held.Addr())))
	awaitLine(t, said, "the address for operators can't be had")
	awaitReady(t, listen)
	awaitLine(t, said, `operators_not_at="[`+held.Addr().String()+"(admin_listen): in use")
	held.Close()
	awaitLine(t, said, "operators are answered")
	if status, s := orderNode(t, held.Addr().String(), "/admin/status"); status != http.StatusOK || s.State != "ready" {
		t.Errorf("status: %d %+v", status, s)
	}
}

// TestAdminAddressThatIsNone: the node serves all the same and says what is wrong.
func TestAdminAddressThatIsNone(t *testing.T) {
	listen := testnet.FreeAddress(t)
	said := start(t, platformNode(t, listen, `"admin":{"at":"nowhere"},`))
	awaitLine(t, said, "no address for operators")
	awaitReady(t, listen)
}

// TestAdminAddressIsThatOfClients: one listener does both, and orders are taken there.
func TestAdminAddressIsThatOfClients(t *testing.T) {
	listen := testnet.FreeAddress(t)
	cmd := platformNode(t, listen, fmt.Sprintf(`"admin":%q,`, listen))
	cmd.Env = append([]string{"GW_ODDITY=x"}, cmd.Env...)
	said := start(t, cmd)
	awaitLine(t, said, "variable=GW_ODDITY")
	awaitLine(t, said, "operators are answered where clients connect")
	awaitReady(t, listen)
	if status, s := orderNode(t, listen, "/admin/quiesce"); status != http.StatusOK || s.State != "drained" {
		t.Errorf("quiesce: %d %+v", status, s)
	}
	resp, err := http.Get("http://" + listen + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("/metrics: %d, want 200", resp.StatusCode)
	}
}

// TestSidecarTakesOrdersOnItsAdminAddress: and not where clients connect.
func TestSidecarTakesOrdersOnItsAdminAddress(t *testing.T) {
	listen, operators := testnet.FreeAddress(t), testnet.FreeAddress(t)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "{}") }))
	defer backend.Close()
	dir := t.TempDir()
	for name, text := range map[string]string{
		"servers.toml": fmt.Sprintf("[[server]]\nname = \"w\"\naddress = %q\n", backend.Listener.Addr()),
		"app.toml":     fmt.Sprintf("version = 1\nname = \"a\"\n[listen]\naddress = %q\n[servers]\nfile = \"servers.toml\"\n[admin]\naddress = %q\n", listen, operators),
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	cmd := exec.Command(os.Args[0], "-app", filepath.Join(dir, "app.toml"))
	cmd.Env = append(os.Environ(), "INDIGOTACK_AS_PROGRAM=1")
	start(t, cmd)
	awaitReady(t, listen)
	if status, s := orderNode(t, listen, "/admin/quiesce"); status != http.StatusOK || s.State != "" {
		t.Errorf("quiesce where clients connect: %d %+v, want the server's answer", status, s)
	}
	for _, c := range []struct{ path, state string }{{"/admin/status", "ready"}, {"/admin/quiesce", "drained"}, {"/admin/resume", "ready"}} {
		if status, s := orderNode(t, operators, c.path); status != http.StatusOK || s.State != c.state {
			t.Errorf("%s: %d %+v, want 200 and %s", c.path, status, s, c.state)
		}
	}
}
