package ctl

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"indigotack/internal/appconfig"
	"indigotack/internal/node"
)

// answering is a server with one answer to everything.
func answering(t *testing.T, status int, body string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(status)
		io.WriteString(w, body)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func TestOrdersReachEachNodeAndPrintItsState(t *testing.T) {
	var called [2]string
	var addresses []string
	for i := range called {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			called[i] = r.Method + " " + r.URL.Path
			fmt.Fprintf(w, `{"state":"drained","reason":"quiesced by 127.0.0.1:7","open_requests":%d,"connections":3}`, i)
		}))
		defer s.Close()
		addresses = append(addresses, s.Listener.Addr().String())
	}
	for command, want := range map[string]string{"drain": "POST /admin/quiesce", "resume": "POST /admin/resume", "status": "GET /admin/status"} {
		status, out, errs := call(command, addresses[0], addresses[1])
		wantOut := fmt.Sprintf("%s: drained (quiesced by 127.0.0.1:7), 0 open requests, 3 connections\n%s: drained (quiesced by 127.0.0.1:7), 1 open requests, 3 connections\n",
			addresses[0], addresses[1])
		if status != 0 || out != wantOut || errs != "" || called != [2]string{want, want} {
			t.Errorf("%s: status %d, called %q:\n%s%s", command, status, called, out, errs)
		}
	}
}

// TestOrdersThatFailNameAddressAndWant: one node that can't be told fails the
// whole call, and the others' lines are printed all the same.
func TestOrdersThatFailNameAddressAndWant(t *testing.T) {
	good := answering(t, 200, `{"state":"ready"}`)
	closed := httptest.NewServer(nil)
	closed.Close()
	for _, c := range []struct{ address, says string }{
		{closed.Listener.Addr().String(), "refused"},
		{answering(t, 400, "want one X-Request-Id of at most 128 bytes\n"), `takes no orders: it answers 400 Bad Request, "want one X-Request-Id`},
		{answering(t, 404, "404 page not found\n"), "takes no orders: it answers 404"},
		{answering(t, 200, "a web page"), "takes no orders: it answers 200"},
		{answering(t, 302, ""), "takes no orders: it answers 302"},
		{answering(t, 409, `{"state":"draining","reason":"the node was told to end"}`), "denied: the node was told to end"},
	} {
		for _, command := range []string{"drain", "resume", "status"} {
			status, out, errs := call(command, c.address, good)
			if status != 1 || out != good+": ready, 0 open requests, 0 connections\n" || !strings.HasPrefix(errs, command+" "+c.address+": ") || !strings.Contains(errs, c.says) {
				t.Errorf("%s: status %d, want 1 and %q:\n%s%s", command, status, c.says, out, errs)
			}
		}
	}
	for _, args := range [][]string{{"drain"}, {"drain", "nowhere"}, {"status", "127.0.0.1"}, {"drain", "--wait", "--timeout", "0s", good}} {
		if status, out, errs := call(args...); status != 2 {
			t.Errorf("%q: status %d, want 2:\n%s%s", args, status, out, errs)
		}
	}
}

// drainingNode is a node whose answers follow one another; the last one stays.
func drainingNode(t *testing.T, answers ...string) string {
	t.Helper()
	next := make(chan string, len(answers))
	for _, a := range answers[:len(answers)-1] {
		next <- a
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case a := <-next:
			io.WriteString(w, a)
		default:
			io.WriteString(w, answers[len(answers)-1])
		}
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func TestDrainWaits(t *testing.T) {
	busy, empty := `{"state":"drained","open_requests":1,"connections":2}`, `{"state":"drained"}`
	connected := `{"state":"drained","connections":1}`
	for _, c := range []struct {
		node   string
		status int
		says   string
	}{
		{drainingNode(t, busy, connected, empty), 0, ": drained, 0 open requests, 0 connections"},
		{drainingNode(t, connected), 1, "after 300ms it still is drained, 0 open requests, 1 connections; want no open requests and no connections"},
		{drainingNode(t, busy, `{"state":"ready","connections":2}`), 1, errResumed.Error()},
		{drainingNode(t, busy, "gone"), 1, "takes no orders"},
	} {
		began := time.Now()
		status, out, errs := call("drain", "--wait", "--timeout", "300ms", c.node)
		if status != c.status || !strings.Contains(out+errs, c.says) {
			t.Errorf("status %d, want %d and %q:\n%s%s", status, c.status, c.says, out, errs)
		}
		if took := time.Since(began); took > orderTime {
			t.Errorf("it took %v", took)
		}
	}
	if _, out, _ := call("drain", drainingNode(t, busy)); !strings.Contains(out, "1 open requests") {
		t.Errorf("without --wait: %s", out)
	}
}

// TestOrdersToARealNode: what a node answers is what the commands read.
func TestOrdersToARealNode(t *testing.T) {
	text := appconfig.Template(appconfig.Params{Name: "a", Kind: "plain", Listen: "127.0.0.1:8080", Discovery: "127.0.0.1:8500"})
	app, err := appconfig.Parse("app.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	sidecar, err := node.NewSidecar(app, 1, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	operators := httptest.NewServer(sidecar.Operators("test"))
	defer operators.Close()
	address := operators.Listener.Addr().String()
	for _, c := range []struct{ args, says string }{
		{"status", ": starting, 0 open requests, 0 connections"},
		{"drain --wait", ": drained (quiesced by 127.0.0.1:"},
		{"status", ": drained (quiesced by 127.0.0.1:"},
		{"resume", ": starting, 0 open requests"},
	} {
		status, out, errs := call(append(strings.Fields(c.args), address)...)
		if status != 0 || !strings.HasPrefix(out, address+c.says) {
			t.Errorf("%s: status %d, want %q:\n%s%s", c.args, status, c.says, out, errs)
		}
	}
}

// TestJSONForAPlatformNamesTheAdminAddress: a file's [admin] reaches the node, and none is made up.
func TestJSONForAPlatformNamesTheAdminAddress(t *testing.T) {
	text := appconfig.Template(appconfig.Params{Name: "a", Kind: "plain", Listen: "127.0.0.1:8080", Discovery: "127.0.0.1:8500"})
	for more, want := range map[string]string{"": "", "[admin]\naddress = \"127.0.0.1:9900\"\n": "127.0.0.1:9900"} {
		app, err := appconfig.Parse("app.toml", []byte(text+more))
		if err != nil {
			t.Fatal(err)
		}
		raw, err := app.NodeJSON()
		if err != nil {
			t.Fatal(err)
		}
		cfg, err := node.LoadConfig(write(t, "config.json", string(raw)))
		admin := ""
		if len(cfg.Operators.Addresses) == 1 {
			admin = cfg.Operators.Addresses[0].Address
		}
		if err != nil || admin != want || len(cfg.Operators.Addresses) > 1 || strings.Contains(string(raw), "admin") != (want != "") {
			t.Errorf("admin address %q, %v, want %q in:\n%s", admin, err, want, raw)
		}
	}
}
