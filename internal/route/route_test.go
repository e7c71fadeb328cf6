package route

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"indigotack/decide"
)

func table(t testing.TB, routes ...Route) *Table {
	t.Helper()
	for i := range routes {
		if routes[i].Tag = i; routes[i].Methods == 0 {
			routes[i].Methods = Any
		}
	}
	tab, err := New(routes)
	if err != nil {
		t.Fatal(err)
	}
	return tab
}

func TestFind(t *testing.T) {
	tab := table(t,
		Route{Path: "/", Prefix: true},                                // 0
		Route{Path: "/api", Prefix: true},                             // 1
		Route{Path: "/api/saldo", Methods: Get},                       // 2
		Route{Path: "/api/saldo", Methods: Post},                      // 3
		Route{Host: "portal.example", Path: "/", Prefix: true},        // 4
		Route{Host: "*.portal.example", Path: "/a", Prefix: true},     // 5
		Route{Host: "*.example", Path: "/a", Prefix: true},            // 6
		Route{Host: "x.portal.example", Path: "/a/b/c", Prefix: true}, // 7
	)
	for _, c := range []struct {
		host, path string
		method     Methods
		want       int
	}{
		{"any", "/", Get, 0}, {"any", "/x", Get, 0}, {"any", "/api", Get, 1}, {"any", "/api/", Get, 1}, {"any", "/apis", Get, 0},
		{"any", "/api/saldo", Get, 2}, {"any", "/api/saldo", Post, 3}, {"any", "/api/saldo", Put, 1}, {"any", "/api/saldo/7", Get, 1},
		{"portal.example", "/api", Get, 4}, {"x.portal.example", "/a/b/c/d", Get, 7}, {"x.portal.example", "/a/b", Get, 5},
		{"y.z.portal.example", "/a", Get, 5}, {"other.example", "/a", Get, 6}, {"other.example", "/b", Get, 0},
		{"example", "/a", Get, 0}, {"portal.example", "/a", Get, 4}, {"", "/api", Get, 1},
	} {
		m := tab.Find(c.host, c.path, c.method)
		if m.Route == nil || m.Route.Tag != c.want {
			t.Errorf("%s%s: found %v, want route %d", c.host, c.path, m.Route, c.want)
		}
	}
}

func TestMethodNotAllowed(t *testing.T) {
	tab := table(t, Route{Path: "/a", Methods: Get | Head}, Route{Path: "/a", Methods: Post})
	if m := tab.Find("", "/a", Put); m.Route != nil || m.Allow != Get|Head|Post || m.Allow.String() != "GET, HEAD, POST" {
		t.Errorf("found %+v, allow %v", m, m.Allow)
	}
	if m := tab.Find("", "/b", Put); m.Route != nil || m.Allow != 0 {
		t.Errorf("found %+v", m)
	}
}

func TestConflicts(t *testing.T) {
	_, err := New([]Route{{Path: "/a", Prefix: true, Methods: Any}, {Path: "/a/", Prefix: true, Methods: Get, Tag: 1},
		{Path: "/a", Methods: Get, Tag: 2}, {Path: "//a", Methods: Get, Tag: 3}})
	var c *ConflictError
	if !errors.As(err, &c) || c.Later.Tag != 1 || c.Earlier.Tag != 0 || !strings.Contains(err.Error(), "GET */a") {
		t.Errorf("conflicts: %v", err)
	}
	if joined := err.(interface{ Unwrap() []error }).Unwrap(); len(joined) != 2 {
		t.Errorf("%d conflicts, want 2: %v", len(joined), err)
	}
}

// TestClean: what two readers could take for two paths has one reading here, or none.
func TestClean(t *testing.T) {
	for _, c := range []struct {
		path, want string
		err        error
	}{
		{"/", "/", nil}, {"/a/b", "/a/b", nil}, {"/a//b", "/a/b", nil}, {"//a", "/a", nil}, {"/a/", "/a/", nil}, {"/a///", "/a/", nil},
		{"/%61", "/a", nil}, {"/caf%C3%A9", "/café", nil}, {"/a%25b", "/a%25b", nil}, {"/a%252F", "/a%252F", nil},
		{"/.well-known/x", "/.well-known/x", nil}, {"/..a", "/..a", nil}, {"/a.", "/a.", nil}, {"/%7Euser", "/~user", nil},
		{"/a/../b", "", ErrDots}, {"/a/./b", "", ErrDots}, {"/a/%2e%2E/b", "", ErrDots}, {"/..", "", ErrDots}, {"//../b", "", ErrDots},
		{"/a/.%2e", "", ErrDots}, {"/a%2Fb", "", ErrSlash}, {"/a%2f..%2fb", "", ErrSlash},
		{"/a\\b", "", ErrControl}, {"/a%5cb", "", ErrControl}, {"/a%00", "", ErrControl}, {"/a%0d%0a", "", ErrControl},
		{"", "", ErrForm}, {"a", "", ErrForm}, {"*", "", ErrForm}, {"/%zz", "", ErrForm}, {"/%a", "", ErrForm},
	} {
		got, err := Clean(c.path, false)
		if got != c.want || !errors.Is(err, c.err) {
			t.Errorf("%q: %q, %v, want %q, %v", c.path, got, err, c.want, c.err)
		}
	}
	if got, err := Clean("/a%2fb/c", true); got != "/a%2Fb/c" || err != nil {
		t.Errorf("kept slash: %q, %v", got, err)
	}
}

func TestNormalHost(t *testing.T) {
	for in, want := range map[string]string{"Portal.Example": "portal.example", "a:80": "a", "a.:80": "a", "[::1]:80": "::1", "[FE80::1]": "fe80::1", "": ""} {
		if got := NormalHost(in); got != want {
			t.Errorf("%q: %q, want %q", in, got, want)
		}
	}
}

// TestFindsAsTheModel: whatever the routes, the table finds what a scan of all finds.
func TestFindsAsTheModel(t *testing.T) {
	hosts := []string{"", "a.b.c", "b.c", "*.b.c", "*.c", "*.a.b.c", "x.c"}
	segs := []string{"a", "b", "c"}
	path := func(t *rapid.T, what string) string {
		return "/" + strings.Join(rapid.SliceOfN(rapid.SampledFrom(segs), 0, 4).Draw(t, what), "/")
	}
	rapid.Check(t, func(t *rapid.T) {
		var routes []Route
		for i := range rapid.IntRange(0, 20).Draw(t, "routes") {
			r := Route{Host: rapid.SampledFrom(hosts).Draw(t, "host"), Path: path(t, "path"), Prefix: rapid.Bool().Draw(t, "prefix"),
				Methods: rapid.SampledFrom([]Methods{Any, Get, Post, Get | Head}).Draw(t, "methods"), Tag: i}
			if _, err := New(append(routes[:len(routes):len(routes)], r)); err == nil {
				r.Tag = len(routes)
				routes = append(routes, r)
			}
		}
		tab, err := New(routes)
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			host := rapid.SampledFrom([]string{"a.b.c", "b.c", "z.b.c", "z.a.b.c", "x.c", "q", ""}).Draw(t, "of")
			p, method := path(t, "asked"), rapid.SampledFrom([]Methods{Get, Post, Put}).Draw(t, "by")
			got, want := tab.Find(host, p, method).Route, scan(routes, host, p, method)
			if (got == nil) != (want == nil) || got != nil && got.Tag != want.Tag {
				t.Fatalf("%v %s%s: found %v, want %v", method, host, p, got, want)
			}
		}
	})
}

// scan is the model: the most specific host, then the exact path, then the longest prefix.
func scan(routes []Route, host, path string, method Methods) (best *Route) {
	rank := func(r *Route) (h, p int) {
		switch {
		case r.Host == host:
			h = 1000
		case strings.HasPrefix(r.Host, "*.") && strings.HasSuffix(host, r.Host[1:]):
			h = len(r.Host)
		case r.Host != "":
			return -1, 0
		}
		below := strings.TrimSuffix(r.Path, "/")
		switch {
		case !r.Prefix && r.Path == path:
			return h, 1000
		case r.Prefix && (path == below || strings.HasPrefix(path, below+"/")):
			return h, len(below) + 1
		}
		return -1, 0
	}
	bestHost, bestPath := -1, 0
	for i := range routes {
		r := &routes[i]
		h, p := rank(r)
		if h < 0 || r.Methods&method == 0 || best != nil && (h < bestHost || h == bestHost && p <= bestPath) {
			continue
		}
		best, bestHost, bestPath = r, h, p
	}
	return best
}

// TestPlaceIsStable: shares follow the weights, a key stays in its part, and a
// change of one weight moves only keys from or to that part.
func TestPlaceIsStable(t *testing.T) {
	before := []Split{{"web", 90}, {"new", 10}, {"off", 0}}
	after := []Split{{"new", 30}, {"web", 90}, {"off", 0}} // the order does not matter
	const keys = 20000
	counts, moved := map[string]float64{}, 0
	for i := range keys {
		key := fmt.Sprint("key-", i)
		was, is := before[Place(before, key)].Pool, after[Place(after, key)].Pool
		counts[was]++
		if was != is {
			if moved++; is != "new" {
				t.Fatalf("%s moved from %s to %s", key, was, is)
			}
		}
	}
	if share := counts["new"] / keys; math.Abs(share-0.1) > 0.01 || counts["off"] > 0 {
		t.Errorf("shares %v, want 0.1 new", counts)
	}
	// From 10% to 25%: 15% of the keys move and no more.
	if part := float64(moved) / keys; math.Abs(part-0.15) > 0.01 {
		t.Errorf("%.3f of the keys moved, want 0.15", part)
	}
	if Place([]Split{{"off", 0}}, "k") != -1 {
		t.Error("a pool without weight got a key")
	}
}

func TestKeySources(t *testing.T) {
	h := http.Header{"Idempotency-Key": {"k1"}, "Two": {"a", "b"}, "Same": {"a", "a"}, "Cookie": {"x=1; sid=s1", "sid=s2"}}
	for text, want := range map[string]string{"header:idempotency-key": "k1", "header:Two": "", "header:Same": "a", "header:None": "",
		"cookie:sid": "s1", "cookie:none": "", "segment:1": "v1", "segment:3": "7", "segment:-1": "7", "segment:-3": "v1", "segment:4": "", "segment:-4": ""} {
		k, err := ParseKeySource(text)
		if err != nil {
			t.Errorf("%s: %v", text, err)
		}
		if got := k.Of(h, "/v1/pedido/7"); got != want {
			t.Errorf("%s: %q, want %q", text, got, want)
		}
	}
	for _, bad := range []string{"", "header", "header:", "header:a b", "cookie:a;b", "segment:x", "segment:0", "segment:1x", "segment:65", "body:x"} {
		if _, err := ParseKeySource(bad); err == nil {
			t.Errorf("%q is accepted", bad)
		}
	}
}

func chooser(t testing.TB, rules ClientRules) *Chooser {
	t.Helper()
	web := []Split{{"web", 1}}
	c, err := NewChooser([]Rule{
		{Route: Route{Path: "/saldo", Prefix: true, Methods: Get, Class: "saldo", Splits: web, Tag: 0}},
		{Route: Route{Path: "/pedido", Prefix: true, Methods: Any, Class: "pedido", Splits: web, Tag: 1}, Deadline: 3 * time.Second},
		{Route: Route{Path: "/off", Prefix: true, Methods: Any, Class: "saldo", Splits: []Split{{"web", 0}}, Tag: 2}},
		{Route: Route{Path: "/strict", Prefix: true, Methods: Any, Class: "strict", Splits: web, Tag: 3}},
	}, []Class{
		{Name: "saldo", Effect: decide.Safe, Deadline: 500 * time.Millisecond},
		{Name: "pedido", Effect: decide.Keyed, Deadline: 4 * time.Second, Key: KeySource{Kind: Header, Name: "Idempotency-Key"}},
		{Name: "strict", Effect: decide.Keyed, Deadline: time.Second, Key: KeySource{Kind: Segment, Segment: 2}, RefuseUnkeyed: true},
	}, rules)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestChoose(t *testing.T) {
	shorten := ClientRules{Deadline: Shorten, ClassHeader: []string{"saldo"}, TenantHeader: "X-Tenant", DefaultTenant: "none"}
	extend := ClientRules{Deadline: Extend, MaxDeadline: 10 * time.Second}
	for _, c := range []struct {
		name, method, path, headers string
		rules                       ClientRules
		want                        string
	}{
		{"plain", "GET", "/saldo/1", "", shorten, "saldo 500ms safe none"},
		{"shortened", "GET", "/saldo/1", "X-Deadline: 0.2", shorten, "saldo 200ms safe none"},
		{"not extended", "GET", "/saldo/1", "X-Deadline: 2", shorten, "saldo 500ms safe none"},
		{"extended", "GET", "/saldo/1", "X-Deadline: 2", extend, "saldo 2s safe "},
		{"extended to the bound", "GET", "/saldo/1", "X-Deadline: 1e9", extend, "saldo 10s safe "},
		{"ignored", "GET", "/saldo/1", "X-Deadline: 0.2", ClientRules{}, "saldo 500ms safe "},
		{"no deadline", "GET", "/saldo/1", "X-Deadline: never", shorten, "400"},
		{"no time left", "GET", "/saldo/1", "X-Deadline: -1", shorten, "400"},
		{"not a number", "GET", "/saldo/1", "X-Deadline: NaN", shorten, "400"},
		{"keyed", "POST", "/pedido", "Idempotency-Key: k", shorten, "pedido 3s keyed none"},
		{"keyed without key", "POST", "/pedido", "", shorten, "pedido!unkeyed 3s unsafe none"},
		{"key wanted", "POST", "/strict", "", shorten, "400"},
		{"key in the path", "POST", "/strict/7", "", shorten, "strict 1s keyed none"},
		{"class claimed", "GET", "/pedido", "X-Class: saldo", shorten, "saldo 500ms safe none"},
		{"safe class claimed for a POST", "POST", "/pedido", "X-Class: saldo", shorten, "pedido!unkeyed 3s unsafe none"},
		{"class that may not be claimed", "GET", "/saldo", "X-Class: strict", shorten, "saldo 500ms safe none"},
		{"tenant", "GET", "/saldo", "X-Tenant: acme", shorten, "saldo 500ms safe acme"},
		{"no route", "GET", "/x", "", shorten, "404"},
		{"no method", "POST", "/saldo", "", shorten, "405"},
		{"weights of 0", "GET", "/off", "", shorten, "404"},
		{"dots", "GET", "/saldo/../off", "", shorten, "400"},
		{"hidden by slashes", "POST", "//pedido", "Idempotency-Key: k", shorten, "pedido 3s keyed none"},
		{"tunnel", "CONNECT", "/saldo", "", shorten, "501"},
	} {
		h := http.Header{}
		if name, value, ok := strings.Cut(c.headers, ": "); ok {
			h.Set(name, value)
		}
		r := &Request{Method: c.method, Host: "h", Path: c.path, Header: h, Client: "127.0.0.1"}
		ch := chooser(t, c.rules)
		got, err := ch.Choose(r)
		text := ""
		var e *Error
		if errors.As(err, &e) {
			text = fmt.Sprint(e.Status)
		} else {
			text = fmt.Sprintf("%s %v %s %s", got.Class, got.Deadline, [...]string{"unsafe", "keyed", "safe"}[got.Effect], got.Tenant)
		}
		if text != c.want {
			t.Errorf("%s: %s, want %s", c.name, text, c.want)
		}
		if told := strings.Join(ch.Explain(r), "\n"); e != nil != strings.HasPrefix(told, "answer: ") {
			t.Errorf("%s: explained as %s", c.name, told)
		}
	}
}

func FuzzClean(f *testing.F) {
	for _, s := range []string{"/", "/a/../b", "/%2e%2e/x", "/a%2Fb", "//", "/a%252e", "/\x00"} {
		f.Add(s, true)
		f.Add(s, false)
	}
	f.Fuzz(func(t *testing.T, path string, keep bool) {
		clean, err := Clean(path, keep)
		if err != nil {
			return
		}
		if clean[0] != '/' || strings.Contains(clean, "//") || strings.Contains(clean+"/", "/../") || strings.Contains(clean+"/", "/./") {
			t.Fatalf("%q is cleaned to %q", path, clean)
		}
		if again, err := Clean(clean, true); err != nil || again != clean {
			t.Fatalf("%q is cleaned to %q and that to %q, %v", path, clean, again, err)
		}
	})
}

func manyRoutes(n int) []Route {
	var routes []Route
	for i := range n {
		routes = append(routes, Route{Host: fmt.Sprintf("h%d.example", i%100), Path: fmt.Sprintf("/v1/area%d/things", i), Prefix: true,
			Methods: Get | Post, Class: "c", Splits: []Split{{"web", 1}}, Tag: i})
	}
	return routes
}

func BenchmarkFind(b *testing.B) {
	for _, n := range []int{10, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tab, err := New(manyRoutes(n))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if tab.Find("h7.example", "/v1/area7/things/42/part", Get).Route == nil {
					b.Fatal("not found")
				}
			}
		})
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var rules []Rule
			for _, r := range manyRoutes(n) {
				rules = append(rules, Rule{Route: r})
			}
			c, err := NewChooser(rules, []Class{{Name: "c", Deadline: time.Second}}, ClientRules{Deadline: Shorten, TenantHeader: "X-Tenant"})
			if err != nil {
				b.Fatal(err)
			}
			r := &Request{Method: "GET", Host: "h7.example:8080", Path: "/v1/area7/things/42", Header: http.Header{"Accept": {"*/*"}}, Client: "127.0.0.1"}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Choose(r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// TestChoosesWithoutAllocation: an ordinary request must cost the collector nothing here.
func TestChoosesWithoutAllocation(t *testing.T) {
	c := chooser(t, ClientRules{Deadline: Shorten, TenantHeader: "X-Tenant"})
	r := &Request{Method: "GET", Host: "portal.example:8080", Path: "/saldo/7", Header: http.Header{"Accept": {"*/*"}}, Client: "127.0.0.1"}
	if n := testing.AllocsPerRun(100, func() { c.Choose(r) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

// BenchmarkServeMux is the standard library's look-up of the same routes, for comparison.
func BenchmarkServeMux(b *testing.B) {
	for _, n := range []int{10, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			mux := http.NewServeMux()
			for _, r := range manyRoutes(n) {
				mux.Handle(r.Host+r.Path+"/", http.NotFoundHandler())
			}
			req, err := http.NewRequest("GET", "http://h7.example/v1/area7/things/42/part", nil)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, pattern := mux.Handler(req); pattern == "" {
					b.Fatal("not found")
				}
			}
		})
	}
}
