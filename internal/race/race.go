// Package race measures a sidecar beside the standard library's proxy, in one
// process and one run: closed-loop clients on kept connections, who send the
// next request when they have an answer, against stand-in servers that are
// fast, slow, or slowed down by crowds. Such clients hide queueing, so what
// counts here is the rate of good answers, as a ratio; absolute figures are
// the machine's.
package race

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"indigotack/internal/appconfig"
	"indigotack/internal/node"
	"indigotack/internal/standin"
)

// Servers are the stand-ins that answer.
type Servers struct {
	Count    int
	Takes    time.Duration // a request; 0: as fast as it goes
	Cores    int           // requests worked on at once; 0: any number
	Crowded  float64       // requests held a core, beyond which each slows the server down
	Crowding float64       // by this part for each further one a core
}

// Plain is the standard library's ReverseProxy, Node the sidecar.
const (
	Plain = "plain"
	Node  = "node"
)

// Options of a race.
type Options struct {
	Servers
	Connections []int
	Duration    time.Duration // of each leg that counts
	Rounds      int           // in which the legs of one number of connections take turns
	Warm        time.Duration // before each leg's round, which does not count
	Idle        time.Duration // before the node's first leg
	Fixed       []int         // plain proxies also run with at most so many requests at a server, the rest wait
	Aim         time.Duration // of the node's one class; 0: its default
	Log         io.Writer     // the node's; nil for none
}

// Leg is what one contestant did with one number of connections.
type Leg struct {
	Who         string
	Connections int
	Good        float64 // answers 200 a second
	Refused     float64 // answers 503, as a part of all answers
	Failed      float64 // all others, and broken connections
	P50, P99    time.Duration
}

// contestant is who is raced, and where it listens.
type contestant struct{ name, address string }

// Run carries the race out: for each number of connections, every contestant in turn.
func Run(ctx context.Context, o Options) ([]Leg, error) {
	var addresses []string
	for range max(1, o.Count) {
		s, err := serve(newServer(o.Servers))
		if err != nil {
			return nil, err
		}
		defer s.Close()
		addresses = append(addresses, s.Addr)
	}
	address, stop, err := startNode(ctx, &o, addresses)
	if err != nil {
		return nil, err
	}
	defer stop()
	contestants := []contestant{{Node, address}}
	for _, most := range append([]int{0}, o.Fixed...) {
		s, err := serve(proxy(addresses, most))
		if err != nil {
			return nil, err
		}
		defer s.Close()
		name := Plain
		if most > 0 {
			name = fmt.Sprintf("fixed-%d", most)
		}
		contestants = append(contestants, contestant{name, s.Addr})
	}
	if !rest(ctx, o.Idle) {
		return nil, ctx.Err()
	}
	var legs []Leg
	rounds := max(1, o.Rounds)
	for _, n := range o.Connections {
		tallies := make([]*tally, len(contestants))
		// In turns, so that a moment of the machine's is nobody's alone.
		for round := range rounds {
			for i, c := range contestants {
				t, err := drive(ctx, c.address, n, o.Warm, o.Duration/time.Duration(rounds))
				if err != nil {
					return legs, fmt.Errorf("%s with %d connections: %w", c.name, n, err)
				}
				if round == 0 {
					tallies[i] = t
				} else {
					tallies[i].add(t)
				}
			}
		}
		for i, c := range contestants {
			legs = append(legs, tallies[i].leg(c.name, n, o.Duration))
		}
	}
	return legs, nil
}

func rest(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func serve(h http.Handler) (*http.Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &http.Server{Addr: ln.Addr().String(), Handler: h, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0)}
	go s.Serve(ln)
	return s, nil
}

// server is one stand-in: cores, a queue without end, and crowding.
type server struct {
	Servers
	held  atomic.Int64
	cores chan struct{} // nil: any number
}

func newServer(of Servers) *server {
	s := &server{Servers: of}
	if of.Cores > 0 {
		s.cores = make(chan struct{}, of.Cores)
	}
	return s
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.held.Add(1)
	defer s.held.Add(-1)
	if s.Takes > 0 {
		takes := s.Takes
		if s.cores != nil {
			select {
			case s.cores <- struct{}{}:
			case <-r.Context().Done():
				return
			}
			defer func() { <-s.cores }()
			held := float64(s.held.Load())
			takes = time.Duration(float64(takes) * (1 + s.Crowding*max(0, held/float64(s.Cores)-s.Crowded)))
		}
		time.Sleep(takes)
	}
	io.WriteString(w, "a body of some bytes, as an answer has one\n")
}

// proxy is the standard library's, turn by turn over the servers.
func proxy(addresses []string, most int) http.Handler {
	type target struct {
		proxy *httputil.ReverseProxy
		room  chan struct{}
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 4096, MaxIdleConns: 16384, DisableCompression: true}
	var targets []target
	for _, a := range addresses {
		t := target{proxy: &httputil.ReverseProxy{Transport: transport, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0),
			Rewrite: func(r *httputil.ProxyRequest) { r.Out.URL.Scheme, r.Out.URL.Host = "http", a }}}
		if most > 0 {
			t.room = make(chan struct{}, most)
		}
		targets = append(targets, t)
	}
	var next atomic.Uint64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t := targets[next.Add(1)%uint64(len(targets))]
		if t.room != nil {
			t.room <- struct{}{}
			defer func() { <-t.room }()
		}
		t.proxy.ServeHTTP(w, r)
	})
}

// startNode runs a sidecar by a file as an operator would write it.
func startNode(ctx context.Context, o *Options, addresses []string) (string, func(), error) {
	dir, err := os.MkdirTemp("", "race")
	if err != nil {
		return "", nil, err
	}
	defer os.RemoveAll(dir)
	var list strings.Builder
	fmt.Fprintf(&list, "count = %d\n", len(addresses))
	for i, a := range addresses {
		fmt.Fprintf(&list, "[[server]]\nname = \"s%d\"\naddress = %q\n", i, a)
	}
	app := "version = 1\nname = \"race\"\n[listen]\naddress = \"127.0.0.1:9\"\n[limits]\nmemory_mb = 1024\ndescriptors = 8192\n[servers]\nfile = \"servers.toml\"\n"
	aim := ""
	if o.Aim > 0 {
		aim = fmt.Sprintf("aim = %q\n", o.Aim)
	}
	app += "[[class]]\nname = \"read\"\neffect = \"safe\"\n" + aim + "[[pool]]\nname = \"web\"\n[[route]]\nprefix = \"/\"\nclass = \"read\"\npool = \"web\"\n"
	if err := errors.Join(os.WriteFile(filepath.Join(dir, "servers.toml"), []byte(list.String()), 0o600),
		os.WriteFile(filepath.Join(dir, "app.toml"), []byte(app), 0o600)); err != nil {
		return "", nil, err
	}
	checked, err := appconfig.Load(filepath.Join(dir, "app.toml"))
	if err != nil {
		return "", nil, err
	}
	handler := slog.Handler(slog.DiscardHandler)
	if o.Log != nil {
		handler = slog.NewTextHandler(o.Log, nil)
	}
	sidecar, err := node.NewSidecar(checked, 1, slog.New(handler))
	if err != nil {
		return "", nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	inner, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- sidecar.Run(inner, ln) }()
	address := ln.Addr().String()
	halt := func() { stop(); <-ended }
	if err := standin.Ready(ctx, "http://"+address+checked.Health+"/ready"); err != nil {
		halt()
		return "", nil, err
	}
	return address, halt, nil
}

type tally struct {
	good, refused, failed int
	took                  *hdrhistogram.Histogram // us
}

func (t *tally) add(o *tally) {
	t.good, t.refused, t.failed = t.good+o.good, t.refused+o.refused, t.failed+o.failed
	t.took.Merge(o.took)
}

func (t *tally) leg(who string, connections int, d time.Duration) Leg {
	count := float64(max(1, t.good+t.refused+t.failed))
	at := func(q float64) time.Duration {
		return time.Duration(t.took.ValueAtQuantile(q)) * time.Microsecond
	}
	return Leg{Who: who, Connections: connections, Good: float64(t.good) / d.Seconds(), Refused: float64(t.refused) / count,
		Failed: float64(t.failed) / count, P50: at(50), P99: at(99)}
}

// drive sends from n connections until the time is up, and counts what was answered after warm.
func drive(ctx context.Context, address string, n int, warm, duration time.Duration) (*tally, error) {
	begins := time.Now().Add(warm)
	ends := begins.Add(duration)
	tallies := make([]tally, n)
	errs := make([]error, n)
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			tallies[i].took = hdrhistogram.New(1, 60e6, 2)
			errs[i] = closedLoop(ctx, address, begins, ends, &tallies[i])
		})
	}
	all.Wait()
	if err := cmp.Or(append(errs, ctx.Err())...); err != nil {
		return nil, err
	}
	sum := &tally{took: hdrhistogram.New(1, 60e6, 2)}
	for i := range tallies {
		sum.add(&tallies[i])
	}
	return sum, nil
}

// patience is how long a client waits for an answer.
const patience = 30 * time.Second

// closedLoop sends one request after another. It dials anew where its
// connection has ended; an error is one that no further try would mend.
func closedLoop(ctx context.Context, address string, begins, ends time.Time, t *tally) error {
	request := []byte("GET /some/path?with=query HTTP/1.1\r\nHost: race.test\r\nUser-Agent: race\r\nAccept: */*\r\n\r\n")
	var conn net.Conn
	var in *bufio.Reader
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for time.Now().Before(ends) && ctx.Err() == nil {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", address, 5*time.Second); err != nil {
				return err
			}
			in = bufio.NewReader(conn)
		}
		sent := time.Now()
		conn.SetDeadline(sent.Add(patience))
		_, err := conn.Write(request)
		status, kept := 0, false
		if err == nil {
			status, kept, err = readAnswer(in)
		}
		if now := time.Now(); now.After(begins) && now.Before(ends) {
			switch {
			case err == nil && status == http.StatusOK:
				t.good++
				t.took.RecordValue(min(60e6, max(1, now.Sub(sent).Microseconds())))
			case err == nil && status == http.StatusServiceUnavailable:
				t.refused++
			default:
				t.failed++
			}
		}
		if err != nil || !kept {
			conn.Close()
			conn = nil
		}
	}
	return nil
}

// readAnswer reads an answer with a stated length, as cheaply as can be: the
// clients must not be what is measured.
func readAnswer(in *bufio.Reader) (status int, kept bool, err error) {
	length := -1
	kept = true
	for first := true; ; first = false {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return 0, false, err
		}
		text := strings.TrimSpace(string(line))
		if first {
			if len(text) < 12 {
				return 0, false, fmt.Errorf("status line %q", text)
			}
			if status, err = strconv.Atoi(text[9:12]); err != nil {
				return 0, false, fmt.Errorf("status line %q", text)
			}
			continue
		}
		if text == "" {
			break
		}
		name, value, _ := strings.Cut(text, ":")
		switch {
		case strings.EqualFold(name, "Content-Length"):
			if length, err = strconv.Atoi(strings.TrimSpace(value)); err != nil {
				return 0, false, err
			}
		case strings.EqualFold(name, "Connection") && strings.EqualFold(strings.TrimSpace(value), "close"):
			kept = false
		}
	}
	if length < 0 {
		return 0, false, errors.New("an answer without Content-Length")
	}
	_, err = in.Discard(length)
	return status, kept, err
}

// Write prints legs as a table, with Ratio for each.
func Write(w io.Writer, legs []Leg) {
	fmt.Fprintf(w, "%-12s %12s %10s %8s %9s %9s %10s %10s\n", "who", "connections", "good/s", "ratio", "refused", "failed", "p50", "p99")
	for _, l := range legs {
		ratio := "-"
		if r := Ratio(legs, l); r > 0 {
			ratio = fmt.Sprintf("%.2f", r)
		}
		fmt.Fprintf(w, "%-12s %12d %10.0f %8s %8.2f%% %8.2f%% %10v %10v\n", l.Who, l.Connections, l.Good, ratio, 100*l.Refused, 100*l.Failed, l.P50, l.P99)
	}
}

// Ratio is a leg's rate over the best of the other proxies' with as many connections; 0 if there is none.
func Ratio(legs []Leg, l Leg) float64 {
	best := 0.0
	for _, o := range legs {
		if o.Connections == l.Connections && o.Who != l.Who && o.Who != Node {
			best = max(best, o.Good)
		}
	}
	if best == 0 {
		return 0
	}
	return l.Good / best
}
