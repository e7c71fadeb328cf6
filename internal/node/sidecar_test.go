package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"indigotack/internal/appconfig"
	"indigotack/internal/lifecycle"
	"indigotack/internal/standin"
	"indigotack/internal/testnet"
)

// beside is a sidecar under test, with the files that it runs from.
type beside struct {
	*Sidecar
	t    *testing.T
	dir  string
	base string // of its URLs
	log  *standin.LogBuffer
	stop context.CancelFunc
	done chan error
}

const sideHead = "version = 1\nname = \"test\"\n[listen]\naddress = \"127.0.0.1:9\"\n[servers]\nfile = \"servers.toml\"\n"

// listed is a file of servers: name, address and zone of each.
func listed(servers ...[3]string) string {
	text := fmt.Sprintf("count = %d\n", len(servers))
	for _, s := range servers {
		text += fmt.Sprintf("[[server]]\nname = %q\naddress = %q\nzone = %q\n", s[0], s[1], s[2])
	}
	return text
}

func startSidecar(t *testing.T, app, servers string) *beside {
	t.Helper()
	b := &beside{t: t, dir: t.TempDir(), log: &standin.LogBuffer{}, done: make(chan error, 1)}
	b.write("servers.toml", servers)
	b.write("app.toml", sideHead+app)
	a, err := appconfig.Load(b.path("app.toml"))
	if err != nil {
		t.Fatal(err)
	}
	ln := testnet.Listen(t)
	b.base = "http://" + ln.Addr().String()
	if b.Sidecar, err = NewSidecar(a, 1, slog.New(slog.NewTextHandler(b.log, nil))); err != nil {
		t.Fatal(err)
	}
	b.front.drain = func(func() int) {}
	ctx, stop := context.WithCancel(context.Background())
	b.stop = stop
	go func() { b.done <- b.Run(ctx, ln) }()
	t.Cleanup(func() {
		stop()
		if err := wait(t, b.done, "the sidecar's end"); err != nil {
			t.Errorf("the sidecar ends with %v", err)
		}
	})
	for until := time.Now().Add(enough); b.front.phase() != lifecycle.Ready; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the sidecar does not get ready")
		}
	}
	return b
}

func (b *beside) path(name string) string { return filepath.Join(b.dir, name) }

func (b *beside) write(name, text string) {
	b.t.Helper()
	if err := os.WriteFile(b.path(name), []byte(text), 0o600); err != nil {
		b.t.Fatal(err)
	}
}

// reload takes up the files as they are, as SIGHUP does.
func (b *beside) reload() error {
	a, err := appconfig.Load(b.path("app.toml"))
	if err != nil {
		return err
	}
	return b.Reload(a)
}

func (b *beside) ask(method, path string, headers ...string) reply {
	b.t.Helper()
	var body io.Reader
	if method == "POST" {
		body = strings.NewReader("x")
	}
	req, err := http.NewRequest(method, b.base+path, body)
	if err != nil {
		b.t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Add(headers[i], headers[i+1])
	}
	return do(b.t, req)
}

// webServer is an ordinary web server that knows no protocol of ours.
func webServer(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func named(t *testing.T, name string) string {
	return webServer(t, func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, name) })
}

// TestSidecarOrdinaryTraffic: clients that know nothing of the node, and
// servers that answer as web servers do.
func TestSidecarOrdinaryTraffic(t *testing.T) {
	var seen atomic.Pointer[http.Request]
	b := startSidecar(t, "", listed([3]string{"w", webServer(t, func(w http.ResponseWriter, r *http.Request) {
		seen.Store(r)
		w.Header().Set("X-App", "yes")
		switch r.URL.Path {
		case "/moved":
			http.Redirect(w, r, "/there", http.StatusSeeOther)
		case "/missing":
			http.Error(w, "no such page", http.StatusNotFound)
		case "/empty":
			w.WriteHeader(http.StatusNoContent)
		case "/same":
			w.WriteHeader(http.StatusNotModified)
		case "/broken":
			http.Error(w, "our own fault", http.StatusInternalServerError)
		case "/busy":
			http.Error(w, "later", http.StatusServiceUnavailable)
		case "/many":
			http.Error(w, "slower", http.StatusTooManyRequests)
		default:
			fmt.Fprint(w, "page")
		}
	}), ""}))
	for _, c := range []struct {
		method, path string
		status       int
		body         string
	}{
		{"GET", "/", 200, "page"}, {"POST", "/", 200, "page"}, {"PUT", "/x", 200, "page"}, {"DELETE", "/x", 200, "page"},
		{"GET", "/missing", 404, "no such page\n"}, {"GET", "/empty", 204, ""}, {"GET", "/same", 304, ""},
		{"GET", "/broken", 500, "our own fault\n"},
		// What would promise that another try does no harm is not passed on for a class that is unsafe.
		{"POST", "/busy", 502, "Bad Gateway\n"}, {"POST", "/many", 502, "Bad Gateway\n"},
	} {
		if got := b.ask(c.method, c.path); got.status != c.status || got.body != c.body {
			t.Errorf("%s %s: %d %q, want %d %q", c.method, c.path, got.status, got.body, c.status, c.body)
		}
	}
	if got := b.ask("HEAD", "/"); got.status != 200 || got.body != "" || got.header.Get("Content-Length") != "4" || got.header.Get("X-App") != "yes" {
		t.Errorf("HEAD: %+v", got)
	}
	b.ask("GET", "/a%20b/c?q=%2F", "X-Forwarded-For", "10.0.0.1", "X-Request-Id", "trace")
	r := seen.Load()
	if r.RequestURI != "/a%20b/c?q=%2F" || r.Header.Get("X-Request-Id") != "trace" || r.Header.Get("X-Forwarded-For") != "10.0.0.1, 127.0.0.1" {
		t.Errorf("the server got %s %v", r.RequestURI, r.Header)
	}
	if b.ask("GET", "/"); seen.Load().Header.Get("X-Request-Id") == "" {
		t.Error("a missing id is not made")
	}
	for path, want := range map[string]int{"/a/../b": 400, "/a%2Fb": 400, "/health/live": 200, "/health/ready": 200} {
		req, _ := http.NewRequest("GET", b.base, nil)
		req.URL.Opaque = path
		if got := do(t, req); got.status != want {
			t.Errorf("%s: %d, want %d", path, got.status, want)
		}
	}
}

// TestSidecarTraceShared: requests of one trace carry one id and must not hinder each other.
func TestSidecarTraceShared(t *testing.T) {
	both := make(chan struct{}, 2)
	meet := make(chan struct{})
	b := startSidecar(t, "", listed([3]string{"w", webServer(t, func(w http.ResponseWriter, r *http.Request) {
		both <- struct{}{}
		<-meet
	}), ""}))
	answers := make(chan reply, 2)
	for range 2 {
		go func() { answers <- b.ask("GET", "/", "X-Request-Id", "one") }()
	}
	wait(t, both, "the first")
	wait(t, both, "the second")
	close(meet)
	for range 2 {
		if got := wait(t, answers, "an answer"); got.status != 200 {
			t.Errorf("answer %+v", got)
		}
	}
}

const poolsAB = `
[[class]]
name = "lido"
aim = "5s"
deadline = "20s"
effect = "safe"
[[class]]
name = "pedido"
aim = "5s"
deadline = "20s"
effect = "keyed"
key = "segment:2"
key_scope = "zone"
dedup_window = "10s"
[[pool]]
name = "a"
zones = ["a"]
[[pool]]
name = "b"
zones = ["b"]
[[route]]
prefix = "/a"
class = "lido"
pool = "a"
[[route]]
prefix = "/b"
class = "lido"
pool = "b"
[[route]]
prefix = "/pedido"
methods = ["POST"]
class = "pedido"
pool = "b"
[[route]]
prefix = "/split"
class = "lido"
split = [{ pool = "a", weight = 1 }, { pool = "b", weight = 1 }]
split_key = "header:X-Sid"
`

// TestSidecarRetryStaysInItsPool: with its own pool's servers all failing a
// request fails rather than going to another's.
func TestSidecarRetryStaysInItsPool(t *testing.T) {
	var strayed, tried atomic.Int32
	bad := func() string {
		return webServer(t, func(w http.ResponseWriter, r *http.Request) {
			tried.Add(1)
			http.Error(w, "bad", http.StatusInternalServerError)
		})
	}
	b := startSidecar(t, poolsAB, listed([3]string{"a1", bad(), "a"}, [3]string{"a2", bad(), "a"}, [3]string{"a3", bad(), "a"},
		[3]string{"b1", webServer(t, func(w http.ResponseWriter, r *http.Request) { strayed.Add(1) }), "b"}))
	if got := b.ask("GET", "/a"); got.status != 500 {
		t.Errorf("answer %+v", got)
	}
	if strayed.Load() != 0 || tried.Load() < 2 {
		t.Errorf("%d tries in the pool, %d outside it", tried.Load(), strayed.Load())
	}
}

// TestSidecarKeyGoesOn: servers drop repeats by a header, wherever the key stands.
func TestSidecarKeyGoesOn(t *testing.T) {
	key := make(chan string, 10)
	b := startSidecar(t, poolsAB, listed([3]string{"a1", named(t, "a"), "a"},
		[3]string{"b1", webServer(t, func(w http.ResponseWriter, r *http.Request) { key <- r.Header.Get("Idempotency-Key") }), "b"}))
	b.ask("POST", "/pedido/77")
	b.ask("POST", "/pedido/78", "Idempotency-Key", "own")
	b.ask("POST", "/pedido")
	for _, want := range []string{"77", "own", ""} {
		if got := wait(t, key, "a request"); got != want {
			t.Errorf("key %q, want %q", got, want)
		}
	}
}

func TestSidecarSplitIsStableByKey(t *testing.T) {
	b := startSidecar(t, poolsAB, listed([3]string{"a1", named(t, "a"), "a"}, [3]string{"b1", named(t, "b"), "b"}))
	first := map[string]string{}
	for range 3 {
		for i := range 20 {
			sid := fmt.Sprint("sid-", i)
			got := b.ask("GET", "/split", "X-Sid", sid).body
			if was := first[sid]; was != "" && was != got {
				t.Errorf("%s went to %s and to %s", sid, was, got)
			}
			first[sid] = got
		}
	}
	counts := map[string]int{}
	for _, pool := range first {
		counts[pool]++
	}
	if counts["a"] < 3 || counts["b"] < 3 {
		t.Errorf("parts %v of 20", counts)
	}
}

// TestSidecarTooManyInHand: beyond its bound the node refuses at once, with advice.
func TestSidecarTooManyInHand(t *testing.T) {
	entered, leave := make(chan struct{}, 10), make(chan struct{})
	b := startSidecar(t, "[limits]\nopen = 2\n", listed([3]string{"w", webServer(t, func(w http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		<-leave
	}), ""}))
	answers := make(chan reply, 2)
	for range 2 {
		go func() { answers <- b.ask("GET", "/") }()
		wait(t, entered, "a request")
	}
	if got := b.ask("GET", "/"); got.status != 503 || got.header.Get("Retry-After") == "" {
		t.Errorf("the third: %+v", got)
	}
	close(leave)
	for range 2 {
		wait(t, answers, "an answer")
	}
	if got := b.ask("GET", "/"); got.status != 200 {
		t.Errorf("afterwards: %+v", got)
	}
}

// TestReloadUnderTraffic: while clients ask without pause, ten reloads swap the
// pools of a route. No request is lost, and each is answered by one of the two.
func TestReloadUnderTraffic(t *testing.T) {
	one := strings.Replace(poolsAB, "prefix = \"/x\"", "", 1) + "[[route]]\nprefix = \"/x\"\nclass = \"lido\"\npool = \"a\"\n"
	two := strings.Replace(one, "prefix = \"/x\"\nclass = \"lido\"\npool = \"a\"", "prefix = \"/x\"\nclass = \"lido\"\npool = \"b\"", 1)
	two = strings.Replace(two, "aim = \"5s\"", "aim = \"6s\"", 1) // the classes change as well
	b := startSidecar(t, one, listed([3]string{"a1", named(t, "a"), "a"}, [3]string{"a2", named(t, "a"), "a"}, [3]string{"b1", named(t, "b"), "b"}))
	var asked, wrong atomic.Int64
	var last [4]atomic.Value
	done := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 4 {
		clients.Go(func() {
			c := &http.Client{Transport: &http.Transport{}, Timeout: enough}
			defer c.CloseIdleConnections()
			for {
				select {
				case <-done:
					return
				default:
				}
				resp, err := c.Get(b.base + "/x")
				if err != nil {
					wrong.Add(1)
					t.Error(err)
					return
				}
				body, _ := io.ReadAll(resp.Body)
				resp.Body.Close()
				if asked.Add(1); resp.StatusCode != 200 || string(body) != "a" && string(body) != "b" {
					wrong.Add(1)
					t.Errorf("answer %d %q", resp.StatusCode, body)
				}
				last[i].Store(string(body))
			}
		})
	}
	for i := range 10 {
		before, text, want := asked.Load(), one, "a"
		if i%2 == 0 {
			text, want = two, "b"
		}
		b.write("app.toml", sideHead+text)
		if err := b.reload(); err != nil {
			t.Error(err)
		}
		if got := b.ask("GET", "/x").body; got != want {
			t.Errorf("after reload %d a new request is answered by %q, want %q", i, got, want)
		}
		for until := time.Now().Add(enough); asked.Load() < before+20 && time.Now().Before(until) && wrong.Load() == 0; {
			time.Sleep(time.Millisecond)
		}
	}
	close(done)
	clients.Wait()
	if asked.Load() < 200 {
		t.Errorf("%d requests only", asked.Load())
	}
}

// TestReloadEndsUnderOldRules: a request in hand ends in the pool and under
// the deadline that it came under, though the file has neither any more.
func TestReloadEndsUnderOldRules(t *testing.T) {
	entered, leave := make(chan struct{}, 1), make(chan struct{})
	b := startSidecar(t, poolsAB, listed([3]string{"b1", named(t, "b"), "b"}, [3]string{"a1", webServer(t, func(w http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		<-leave
		fmt.Fprint(w, "late")
	}), "a"}))
	old := b.pools["a"]
	answers := make(chan reply, 1)
	go func() { answers <- b.ask("GET", "/a") }()
	wait(t, entered, "the request")
	b.write("app.toml", sideHead)
	if err := b.reload(); err != nil {
		t.Fatal(err)
	}
	select {
	case <-old.ended:
		t.Error("the pool has ended with a request in hand")
	default:
	}
	close(leave)
	if got := wait(t, answers, "the answer"); got.status != 200 || got.body != "late" {
		t.Errorf("answer %+v", got)
	}
	wait(t, old.ended, "the old pool's end")
}

// TestBadReloadChangesNothing, whichever file is bad.
func TestBadReloadChangesNothing(t *testing.T) {
	w := [3]string{"w", named(t, "w"), ""}
	b := startSidecar(t, "", listed(w))
	for name, spoil := range map[string]func(){
		"syntax":                       func() { b.write("app.toml", "version = ") },
		"no version":                   func() { b.write("app.toml", strings.Replace(sideHead, "version = 1", "", 1)) },
		"servers half written":         func() { b.write("servers.toml", "count = 2\n[[server]]\nname = \"w\"\naddress = \"127.0.0.1:9\"\n") },
		"servers cut in a key":         func() { b.write("servers.toml", "[[server]]\nname = \"w\"\naddr") },
		"servers gone":                 func() { os.Remove(b.path("servers.toml")) },
		"servers replaced by a folder": func() { os.Remove(b.path("servers.toml")); os.Mkdir(b.path("servers.toml"), 0o700) },
	} {
		app, servers := sideHead, listed(w)
		spoil()
		if err := b.reload(); err == nil {
			t.Errorf("%s: taken up", name)
		}
		if got := b.ask("GET", "/"); got.status != 200 || got.body != "w" {
			t.Errorf("%s: answer %+v", name, got)
		}
		os.Remove(b.path("servers.toml"))
		b.write("app.toml", app)
		b.write("servers.toml", servers)
		if err := b.reload(); err != nil {
			t.Errorf("%s, mended: %v", name, err)
		}
	}
}

// TestReloadWithAnotherListener: what needs a restart is told and stays; the rest is taken up.
func TestReloadWithAnotherListener(t *testing.T) {
	b := startSidecar(t, "", listed([3]string{"w", named(t, "w"), ""}, [3]string{"v", named(t, "v"), ""}))
	b.write("app.toml", strings.Replace(sideHead, "127.0.0.1:9\"", "127.0.0.1:10\"", 1)+"[limits]\nmemory_mb = 64\n[[pool]]\nname = \"only\"\nnames = \"v\"\n")
	if err := b.reload(); err != nil {
		t.Fatal(err)
	}
	for range 5 {
		if got := b.ask("GET", "/"); got.body != "v" {
			t.Errorf("answer %+v", got)
		}
	}
	for _, section := range []string{"section=listen", "section=limits"} {
		if !strings.Contains(b.log.String(), section) {
			t.Errorf("the log does not tell of %s: %s", section, b.log)
		}
	}
}

// TestServerFileDrains: a server that the file calls draining, or has no more, gets nothing new.
func TestServerFileDrains(t *testing.T) {
	w, v := [3]string{"w", named(t, "w"), ""}, [3]string{"v", named(t, "v"), ""}
	b := startSidecar(t, "", listed(w, v))
	for name, text := range map[string]string{"gone": listed(v),
		"draining": strings.Replace(listed(w, v), "name = \"w\"", "name = \"w\"\nstatus = \"draining\"", 1)} {
		b.write("servers.toml", text)
		if err := b.reload(); err != nil {
			t.Fatal(err)
		}
		for range 20 {
			if got := b.ask("GET", "/"); got.body != "v" {
				t.Errorf("%s: answer %+v", name, got)
			}
		}
	}
}

// TestNewServerInTheFileIsCold: a file tells no time of start, so a server that
// appears in it is not trusted with a warm one's share.
func TestNewServerInTheFileIsCold(t *testing.T) {
	b := startSidecar(t, "", listed([3]string{"w", named(t, "w"), ""}))
	b.write("servers.toml", listed([3]string{"w", named(t, "w"), ""}, [3]string{"new", named(t, "new"), ""}))
	if err := b.reload(); err != nil {
		t.Fatal(err)
	}
	b.listMu.Lock()
	defer b.listMu.Unlock()
	if b.entries["new"].SinceMS == 0 {
		t.Error("a new server counts as warm")
	}
}

// TestSidecarFollowsDiscovery: changes reach the pools that they concern, also
// where a server leaves one pool for another.
func TestSidecarFollowsDiscovery(t *testing.T) {
	w, v := named(t, "w"), named(t, "v")
	changes, hung := make(chan string), make(chan struct{})
	disc := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		entry := `{"name":"%s","address":%q,"zone":%q,"status":"ready","weight":1}`
		if r.URL.Query().Get("from") == "" {
			fmt.Fprintf(rw, `{"index":1,"snapshot":true,"endpoints":[`+entry+`,`+entry+`]}`, "w", w, "a", "v", v, "b")
			return
		}
		select {
		case c := <-changes:
			fmt.Fprint(rw, c)
		case <-hung:
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(disc.Close)
	t.Cleanup(func() { close(hung) })
	b := startSidecar(t, poolsAB, listed([3]string{"a", refusing(t), "a"}, [3]string{"b", refusing(t), "b"}))
	text := strings.Replace(sideHead, "file = \"servers.toml\"", fmt.Sprintf("discovery = %q", disc.Listener.Addr()), 1)
	b.write("app.toml", text+poolsAB)
	if err := b.reload(); err != nil {
		t.Fatal(err)
	}
	until := func(path, want string) {
		t.Helper()
		var got reply
		for end := time.Now().Add(enough); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if got = b.ask("GET", path); got.body == want {
				return
			}
		}
		t.Fatalf("%s: answer %+v, want %q", path, got, want)
	}
	until("/a", "w")
	until("/b", "v")
	changes <- fmt.Sprintf(`{"index":2,"snapshot":false,"endpoints":[{"name":"w","address":%q,"zone":"b","status":"ready","weight":1},`+
		`{"name":"v","address":%q,"zone":"a","status":"ready","weight":1}]}`, w, v)
	until("/a", "v")
	for range 10 {
		if got := b.ask("GET", "/a"); got.body != "v" {
			t.Errorf("a server that left the pool still answers: %+v", got)
		}
	}
}

// TestSidecarProperty: random sequences of reloads and requests against a
// model: an answer comes from a server of the pool that the file in force names.
func TestSidecarProperty(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var servers [][3]string
	zones := []string{"a", "b", "c"}
	for _, z := range zones {
		servers = append(servers, [3]string{z + "1", named(t, z), z}, [3]string{z + "2", named(t, z), z})
	}
	file := func(order []string) string {
		text := "[[class]]\nname = \"lido\"\naim = \"5s\"\ndeadline = \"20s\"\neffect = \"safe\"\n"
		for i, z := range order {
			text += fmt.Sprintf("[[pool]]\nname = \"p%d\"\nzones = [%q]\n[[route]]\nprefix = \"/p%d\"\nclass = \"lido\"\npool = \"p%d\"\n", i, z, i, i)
		}
		return text
	}
	order := slices.Clone(zones)
	b := startSidecar(t, file(order), listed(servers...))
	for range 30 {
		rng.Shuffle(3, func(i, j int) { order[i], order[j] = order[j], order[i] })
		now := order[:1+rng.IntN(3)]
		b.write("app.toml", sideHead+file(now))
		if err := b.reload(); err != nil {
			t.Fatal(err)
		}
		for i := range 3 {
			got := b.ask("GET", fmt.Sprintf("/p%d/x", i))
			if i < len(now) && got.body != now[i] || i >= len(now) && got.status != 404 {
				t.Fatalf("%v: p%d answers %+v", now, i, got)
			}
		}
	}
}

// BenchmarkSidecarMemory tells what a sidecar with 1,000 routes holds at rest.
func BenchmarkSidecarMemory(b *testing.B) {
	text := sideHead + "[[class]]\nname = \"lido\"\neffect = \"safe\"\n"
	text = strings.Replace(text, "file = \"servers.toml\"", "discovery = \"127.0.0.1:9\"", 1)
	for i := range 1000 {
		text += fmt.Sprintf("[[route]]\nhost = \"h%d.example\"\nprefix = \"/v1/area%d\"\nclass = \"lido\"\n", i%50, i)
	}
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for b.Loop() {
		before := heap()
		a, err := appconfig.Parse("app.toml", []byte(text))
		if err != nil {
			b.Fatal(err)
		}
		s, err := NewSidecar(a, 1, quiet)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(heap()-before)/1024, "KiB")
		runtime.KeepAlive(s)
	}
}
