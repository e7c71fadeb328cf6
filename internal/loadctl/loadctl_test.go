package loadctl

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"indigotack/internal/load"
	"indigotack/internal/standin"
)

func call(args ...string) (int, string) {
	var out, errs bytes.Buffer
	status := Main(args, &out, &errs)
	return status, out.String() + errs.String()
}

const (
	invalidStatus = 4                     // of runs that the generator itself was too late for
	lateLeast     = 10 * time.Millisecond // the generator allows itself 20 ms; another thread than the test's may have waited longer
)

func TestCommands(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "ok") }))
	defer s.Close()
	dir := t.TempDir()
	path := func(name string) string { return filepath.Join(dir, name) }
	os.WriteFile(path("access.log"), []byte("h - - [01/Dec/2026:10:00:00 +0000] \"GET /a HTTP/1.1\" 200 1\nh - - [01/Dec/2026:10:00:01 +0000] \"POST /b HTTP/1.1\" 200 1\n"), 0o600)
	os.WriteFile(path("bad.toml"), []byte("version = 1\n"), 0o600)
	os.WriteFile(path("full.toml"), []byte("version = 1\nmost_open = 1\n[[phase]]\nrate = 100000\nfor = \"20ms\"\n"), 0o600)
	machine := standin.WatchLateness()
	defer machine.Stop()
	late := false // a run was invalid as the machine was late
	for _, c := range []struct {
		args string
		want int
		says string
	}{
		{"run --target " + s.URL + " --rate 100 --duration 200ms --json " + path("a.json") + " --html " + path("a.html"), 0, "latency"},
		{"run --target " + s.Listener.Addr().String() + " --rate 100 --duration 200ms --json " + path("b.json"), 0, "0 errors"},
		{"run --target " + s.URL + " --plan " + path("bad.toml"), 1, "bad.toml:1:1: phase"},
		{"run --target " + s.URL + " --plan " + path("full.toml"), 4, "INVALID"},
		{"run --target " + s.URL, 2, "want --plan"}, {"run --rate 1", 2, "--target"}, {"run --target https://h --rate 1 --duration 1s", 2, "TLS"},
		{"run --target 127.0.0.1:1 --rate 1 --duration 1s", 1, "refused"},
		{"import " + path("access.log") + " --out " + path("trace"), 0, "2 requests"}, {"import " + path("bad.toml") + " --out " + path("x"), 1, "is this clf?"},
		{"run --target " + s.URL + " --trace " + path("trace") + " --speed 10", 0, "1 requests of the trace are not safe"},
		{"run --target " + s.URL + " --trace " + path("trace") + " --speed 10 --unsafe", 0, "2 intended"},
		{"merge " + path("a.json") + " " + path("b.json") + " --json " + path("c.json"), 0, "latency"}, {"merge " + path("bad.toml"), 1, "bad.toml"},
		{"compare --a " + path("a.json") + " --b " + path("b.json"), 0, "repeat the runs"},
		{"compare --a " + path("a.json") + "," + path("b.json") + " --b " + path("b.json") + "," + path("a.json"), 0, "within the noise"},
		{"", 0, "open-loop"}, {"nonsense", 2, "unexpected"},
	} {
		machine.Worst()
		status, out := call(strings.Fields(c.args)...)
		want := c.want
		invalid := want == 0 && strings.HasPrefix(c.args, "run ") && strings.Contains(out, "late by the generator itself") && machine.Worst() >= lateLeast
		ofInvalid := late && strings.HasPrefix(c.args, "compare ")
		late = late || invalid && strings.Contains(c.args, "--json")
		if invalid || ofInvalid {
			want = invalidStatus
		}
		if status != want || !strings.Contains(out, c.says) {
			t.Errorf("%s: status %d, want %d with %q:\n%s", c.args, status, want, c.says, out)
		}
	}
	a, errA := load.ReadReport(path("a.json"))
	b, errB := load.ReadReport(path("b.json"))
	c, errC := load.ReadReport(path("c.json"))
	if errA != nil || errB != nil || errC != nil || c.Intended != a.Intended+b.Intended {
		t.Errorf("merged: %v %v %v", errA, errB, errC)
	}
}

// TestPlansAreSound: the plans that come with the program.
func TestPlansAreSound(t *testing.T) {
	if _, err := load.LoadPlan("../../plans/first-of-month.toml"); err != nil {
		t.Error(err)
	}
}
