package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"indigotack/decide"
	"indigotack/internal/testnet"
)

const enough = 30 * time.Second

func list(t *testing.T, r *Registry, query string) answer {
	t.Helper()
	resp, err := http.Get("http://" + r.Address() + "/registry/instances" + query)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var a answer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		t.Fatal(err)
	}
	return a
}

func TestRegistry(t *testing.T) {
	r, err := NewRegistry()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	r.Set(Entry{Name: "b", Status: "ready"}, Entry{Name: "a", Status: "ready"})
	all := list(t, r, "")
	if !all.Snapshot || len(all.Entries) != 2 || all.Entries[0].Name != "a" {
		t.Errorf("the whole list: %+v", all)
	}
	if a := list(t, r, fmt.Sprintf("?from=%d&hold_ms=1", all.Index)); a.Snapshot || len(a.Entries) != 0 || a.Index != all.Index {
		t.Errorf("nothing new: %+v", a)
	}
	got := make(chan answer, 1)
	go func() { got <- list(t, r, fmt.Sprintf("?from=%d&hold_ms=30000", all.Index)) }()
	r.Set(Entry{Name: "a", Status: "gone"})
	if a := <-got; a.Snapshot || len(a.Entries) != 1 || a.Entries[0].Status != "gone" {
		t.Errorf("a change: %+v", a)
	}
	if a := list(t, r, "?from=999&hold_ms=1"); !a.Snapshot || len(a.Entries) != 1 {
		t.Errorf("a version from elsewhere: %+v", a)
	}
	for i := range maxChanges + 10 {
		r.Set(Entry{Name: "c", Status: "ready", Weight: float64(i)})
	}
	if a := list(t, r, "?from=2&hold_ms=1"); !a.Snapshot {
		t.Error("a version too old gets changes that are incomplete")
	}
	if status := Get("http://" + r.Address() + "/registry/instances?from=x"); status != 400 {
		t.Errorf("a bad version: %d", status)
	}
}

func startServer(t *testing.T, cfg ServerConfig) *Server {
	t.Helper()
	cfg.Name, cfg.Speed = "w", 1
	s, err := StartServer(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

func askServer(s *Server, id string) (int, string, http.Header, error) {
	req, _ := http.NewRequest("GET", "http://"+s.addr+"/saldo/"+id, nil)
	req.Header.Set("X-Request-Id", id)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: enough}).Do(req)
	if err != nil {
		return 0, "", nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), resp.Header, err
}

// TestServerTurnsAway: with one core taken and the waiting room full the next is turned away unseen.
func TestServerTurnsAway(t *testing.T) {
	s := startServer(t, ServerConfig{Cores: 1, Queue: 1})
	s.Hang(true)
	answers := make(chan int, 2)
	for i := range 2 {
		go func() {
			status, _, _, _ := askServer(s, fmt.Sprint(i))
			answers <- status
		}()
	}
	for until := time.Now().Add(enough); time.Now().Before(until); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		held := s.held
		s.mu.Unlock()
		if held == 2 {
			break
		}
	}
	status, _, h, err := askServer(s, "third")
	if err != nil || status != 503 || h.Get("X-Not-Run") != "1" || h.Get("X-Load") != "inflight=2,queue=1" {
		t.Errorf("the third: %d, %v, %v", status, h, err)
	}
	s.Hang(false)
	for range 2 {
		if status := <-answers; status != 200 {
			t.Errorf("afterwards: %d", status)
		}
	}
	if n := s.Count(); n != 3 {
		t.Errorf("counted %d", n)
	}
}

func TestServerFaults(t *testing.T) {
	s := startServer(t, ServerConfig{Cores: 1, Queue: 10, Work: func(string, string) time.Duration { return 2 * time.Millisecond }})
	if status, body, _, _ := askServer(s, "id"); status != 200 || !strings.HasPrefix(body, "id w") {
		t.Errorf("well: %d %q", status, body)
	}
	s.Fail(1)
	if status, _, h, _ := askServer(s, "id"); status != 500 || h.Get("X-Not-Run") != "" {
		t.Errorf("failing: %d %v", status, h)
	}
	s.Fail(0)
	s.Slow(50)
	began := time.Now()
	if askServer(s, "id"); time.Since(began) < 90*time.Millisecond {
		t.Errorf("50 times slower it takes %v", time.Since(began))
	}
	s.Kill()
	if _, _, _, err := askServer(s, "id"); err == nil {
		t.Error("it answers after its death")
	}
	if err := s.Restart(); err != nil {
		t.Fatal(err)
	}
	if status, _, _, err := askServer(s, "id"); status != 200 {
		t.Errorf("restarted: %d, %v", status, err)
	}
	if e := s.Entry("ready"); e.SinceMS == 0 {
		t.Error("a restart is not listed")
	}
}

// TestKillResets: a process that dies resets its connections.
func TestKillResets(t *testing.T) {
	s := startServer(t, ServerConfig{Cores: 1, Queue: 1})
	s.Hang(true)
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "GET /saldo/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: x\r\n\r\n")
	for until := time.Now().Add(enough); s.Count() == 0 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	s.Kill()
	c.SetDeadline(time.Now().Add(enough))
	if _, err := bufio.NewReader(c).ReadByte(); err == nil || err == io.EOF {
		t.Errorf("the connection ends with %v, want a reset", err)
	}
}

// TestColdCapacity rises evenly to the full one.
func TestColdCapacity(t *testing.T) {
	s := &Server{cfg: ServerConfig{Cores: 2, Speed: 1.5, ColdFrom: 0.3, ColdTime: 10 * time.Second}}
	now := time.Now()
	if got, cold := s.capacity(now); got != 3 || cold {
		t.Errorf("long ago: %v, %v", got, cold)
	}
	s.started = now
	for after, want := range map[time.Duration]float64{0: 0.9, 5 * time.Second: 3 * 0.65, 10 * time.Second: 3} {
		if got, _ := s.capacity(now.Add(after)); math.Abs(got-want) > 1e-9 {
			t.Errorf("after %v: %v, want %v", after, got, want)
		}
	}
}

// TestLedgerFindsBrokenRules: each way of breaking one is found, and its sound twin is not.
func TestLedgerFindsBrokenRules(t *testing.T) {
	at := time.Now()
	ms := func(n int) time.Time { return at.Add(time.Duration(n) * time.Millisecond) }
	unsafe := Kind{Effect: decide.Unsafe, Deadline: time.Second}
	keyed := Kind{Effect: decide.Keyed, Scope: decide.ScopeZone, Window: time.Second, Deadline: time.Second}
	safe := Kind{Effect: decide.Safe, Deadline: time.Second}
	for _, c := range []struct {
		name   string
		rule   int
		broken bool
		do     func(l *Ledger)
	}{
		{"served", OneAnswer, false, func(l *Ledger) { l.Answered("q", Served, 900*time.Millisecond) }},
		{"late", OneAnswer, true, func(l *Ledger) { l.Answered("q", Served, 1100*time.Millisecond) }},
		{"lost", OneAnswer, true, func(l *Ledger) { l.Answered("q", Lost, 0) }},
		{"garbled", OneAnswer, true, func(l *Ledger) { l.Answered("q", Garbled, 0) }},
		{"twice", OneAnswer, true, func(l *Ledger) { l.Answered("q", Served, 0); l.Answered("q", Served, 0) }},
		{"unsafe once", NoTwice, false, func(l *Ledger) { l.Ran("q", "a", 0, ms(0)) }},
		{"unsafe twice", NoTwice, true, func(l *Ledger) { l.Ran("q", "a", 0, ms(0)); l.Ran("q", "a", 0, ms(9)) }},
		{"unsafe, run and refused", NoTwice, true, func(l *Ledger) { l.Ran("q", "a", 0, ms(0)); l.Answered("q", Refused, 0) }},
		{"unsafe, run and failed", NoTwice, false, func(l *Ledger) { l.Ran("q", "a", 0, ms(0)); l.Answered("q", Failed, 0) }},
		{"safe twice", NoTwice, false, func(l *Ledger) {
			l.Asked("q", safe)
			l.Ran("q", "a", 0, ms(0))
			l.Ran("q", "b", 0, ms(9))
			l.Answered("q", Refused, 0)
		}},
		{"keyed in its group", NoTwice, false, func(l *Ledger) { l.Asked("q", keyed); l.Ran("q", "a", 0, ms(0)); l.Ran("q", "a", 1, ms(900)) }},
		{"keyed past its window", NoTwice, true, func(l *Ledger) { l.Asked("q", keyed); l.Ran("q", "a", 0, ms(0)); l.Ran("q", "a", 0, ms(1100)) }},
		{"keyed outside its group", NoTwice, true, func(l *Ledger) { l.Asked("q", keyed); l.Ran("q", "a", 0, ms(0)); l.Ran("q", "b", 0, ms(9)) }},
		{"two attempts at once", NoTwice, true, func(l *Ledger) { n := l.Begin("q", "", ms(0)); l.Begin("q", "", ms(10)); l.End("q", n, ms(100)) }},
		{"one after another", NoTwice, false, func(l *Ledger) { n := l.Begin("q", "", ms(0)); l.Begin("q", "", ms(10)); l.End("q", n, ms(12)) }},
		{"an attempt of nobody's", NoTwice, true, func(l *Ledger) { l.Begin("other", "", ms(0)) }},
		{"an attempt after the answer", NoTwice, true, func(l *Ledger) { l.Answered("q", Served, 0); l.Begin("q", "", ms(0)) }},
		{"a send within the grace", DrainsKept, false, func(l *Ledger) { l.Drained("w", 2*time.Second, 2*time.Second) }},
		{"a send after the grace", DrainsKept, true, func(l *Ledger) { l.Drained("w", 2100*time.Millisecond, 2*time.Second) }},
		{"a cold server's budget", ColdSpared, false, func(l *Ledger) { l.Cold("w", 1, 1) }},
		{"over a cold server's budget", ColdSpared, true, func(l *Ledger) { l.Cold("w", 1.1, 1) }},
	} {
		l := NewLedger()
		l.Asked("q", unsafe)
		c.do(l)
		_, broken, told := l.Report()
		for rule, n := range broken {
			if (n > 0) != (c.broken && rule == c.rule) {
				t.Errorf("%s: rule %d broken %d times: %v", c.name, rule+1, n, told)
			}
		}
	}
}

// TestLedgerForgets: what is answered and over takes no memory.
func TestLedgerForgets(t *testing.T) {
	l := NewLedger()
	for i := range 1000 {
		id := fmt.Sprint(i)
		l.Asked(id, Kind{Deadline: time.Second})
		n := l.Begin(id, "", time.Now())
		if i%2 == 0 {
			l.End(id, n, time.Now())
			l.Answered(id, Served, 0)
		} else {
			l.Answered(id, Served, 0)
			l.End(id, n, time.Now())
		}
	}
	if len(l.requests) > 0 {
		t.Errorf("%d requests are kept", len(l.requests))
	}
}

func TestClientsJudgeAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		h    http.HandlerFunc
		want func(r Result) int
	}{
		"served":  {func(w http.ResponseWriter, r *http.Request) { fmt.Fprintf(w, "%s w", r.Header.Get("X-Request-Id")) }, func(r Result) int { return r.InAim + r.Late }},
		"garbled": {func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "another's") }, func(r Result) int { return r.Wrong }},
		"refused": {func(w http.ResponseWriter, r *http.Request) { w.Header().Set("Retry-After", "1"); w.WriteHeader(503) }, func(r Result) int { return r.Advised }},
		"failed":  {func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(502) }, func(r Result) int { return r.Failed }},
		"lost":    {func(w http.ResponseWriter, r *http.Request) { panic(http.ErrAbortHandler) }, func(r Result) int { return r.Wrong }},
	} {
		ln := testnet.Listen(t)
		srv := &http.Server{Handler: c.h}
		go srv.Serve(ln)
		clients := &Clients{Address: ln.Addr().String(), Rate: 500, Seed: 1, Ledger: NewLedger(),
			Classes: []Class{{Name: "saldo", Share: 1, Method: "GET", Path: "/saldo", Aim: enough, Kind: Kind{Effect: decide.Safe, Deadline: enough}}}}
		clients.Run(context.Background(), 50*time.Millisecond)
		results, open := clients.Results()
		if r := results[0]; r.Asked == 0 || c.want(r) != r.Asked || open != 0 {
			t.Errorf("%s: %+v, %d open", name, r, open)
		}
		_, broken, _ := clients.Ledger.Report()
		if bad := name == "garbled" || name == "lost"; (broken[OneAnswer] > 0) != bad {
			t.Errorf("%s: %v rules broken", name, broken)
		}
		srv.Close()
	}
}

func TestLognormal(t *testing.T) {
	sum := 0.0
	const n = 20000
	for i := range n {
		sum += Lognormal(100*time.Millisecond, 0.6, fmt.Sprint(i)).Seconds()
	}
	if mean := sum / n; math.Abs(mean-0.1) > 0.003 {
		t.Errorf("mean %v, want 0.1", mean)
	}
}
