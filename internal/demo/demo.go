// Package demo shows a sidecar at work on loopback: stand-in discovery, web
// servers and clients, a sidecar started from a file that the generator wrote,
// and troubles on a stated timetable.
package demo

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"indigotack/decide"
	"indigotack/internal/appconfig"
	"indigotack/internal/node"
	"indigotack/internal/standin"
)

// Options of a demonstration.
type Options struct {
	Duration time.Duration
	Rate     float64              // requests a second; 0: no clients, others may send
	Listen   string               // where the sidecar listens; "" for any port
	Ready    func(address string) // called when it serves; may be nil
	Seed     uint64
	Progress func(Progress) // called about twice a second; may be nil
	Log      io.Writer      // the sidecar's log; nil for none
}

// Progress is how things stand.
type Progress struct {
	At, Of                        time.Duration
	Asked, InAim, Refused, Failed int
	Open                          int
	Doing                         string // the trouble that came last
}

// Report is what a demonstration showed.
type Report struct {
	Classes []standin.Result
	Servers []Share
	Events  []string
	Checked []int // by rule
	Broken  []int
	Told    []string // what was broken, the first of them
}

// Sound tells whether no rule was broken.
func (r *Report) Sound() bool {
	for _, n := range r.Broken {
		if n > 0 {
			return false
		}
	}
	return true
}

// Share is the requests that one server got in each tenth of the time.
type Share struct {
	Name, Kind, Zone string
	Tenths           [10]int
}

const (
	zones     = 3
	servers   = 15
	slowBy    = 6.0
	coldFrom  = 0.3
	coldTime  = 4 * time.Second
	listDelay = 500 * time.Millisecond // after which the list tells that a server has died
)

// work is the mean work of the portal's classes, on a core of speed 1.
var work = map[string]time.Duration{"saldo": 48 * time.Millisecond, "documentos": 130 * time.Millisecond, "pedido": 190 * time.Millisecond,
	"pagamento": 80 * time.Millisecond}

// classes are the clients' requests, by the file's classes.
func classes(app *appconfig.App) []standin.Class {
	shares := map[string]float64{"saldo": 0.16, "documentos": 0.5, "pedido": 0.3, "pagamento": 0.04}
	var out []standin.Class
	for _, c := range app.Classes {
		if shares[c.Name] == 0 {
			continue
		}
		k := standin.Class{Name: c.Name, Share: shares[c.Name], Method: "GET", Path: "/" + c.Name, Aim: c.Aim,
			Kind: standin.Kind{Effect: c.Effect, Scope: c.Scope, Window: c.DedupWindow, Deadline: c.Deadline}}
		if c.Effect != decide.Safe {
			k.Method, k.Body, k.Keyed = "POST", 400, c.Effect == decide.Keyed
		}
		out = append(out, k)
	}
	return out
}

type stage struct {
	Options
	registry *standin.Registry
	ledger   *standin.Ledger
	servers  []*standin.Server
	shares   []Share
	report   Report
	doing    string
}

// Run carries out a demonstration.
func Run(ctx context.Context, o Options) (*Report, error) {
	s := &stage{Options: o}
	if o.Rate > 0 {
		s.ledger = standin.NewLedger() // it must know every request
	}
	var err error
	if s.registry, err = standin.NewRegistry(); err != nil {
		return nil, err
	}
	defer s.registry.Close()
	if err := s.startServers(); err != nil {
		return nil, err
	}
	closeAll := sync.OnceFunc(func() {
		for _, server := range s.servers {
			server.Close()
		}
	})
	defer closeAll()
	app, ln, err := s.file()
	if err != nil {
		return nil, err
	}
	logTo := o.Log
	if logTo == nil {
		logTo = io.Discard
	}
	sidecar, err := node.NewSidecar(app, int64(o.Seed), slog.New(slog.NewTextHandler(logTo, nil)))
	if err != nil {
		return nil, err
	}
	running, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- sidecar.Run(running, ln) }()
	if err := standin.Ready(ctx, "http://"+ln.Addr().String()+app.Health+"/ready"); err != nil {
		return nil, err
	}
	if o.Ready != nil {
		o.Ready(ln.Addr().String())
	}
	clients := &standin.Clients{Address: ln.Addr().String(), Classes: classes(app), Rate: o.Rate, Seed: o.Seed, Ledger: s.ledger}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if o.Rate > 0 {
			clients.Run(ctx, o.Duration)
			return
		}
		select {
		case <-time.After(o.Duration):
		case <-ctx.Done():
		}
	}()
	s.play(ctx, clients, done)
	<-done
	stop()
	if err := <-ended; err != nil {
		return nil, fmt.Errorf("the sidecar: %w", err)
	}
	closeAll()
	s.report.Classes, _ = clients.Results()
	s.report.Servers = s.shares
	if s.ledger != nil {
		checked, broken, told := s.ledger.Report()
		s.report.Checked, s.report.Broken, s.report.Told = checked[:], broken[:], told
	}
	return &s.report, ctx.Err()
}

func (s *stage) startServers() error {
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	var witness standin.Witness
	if s.ledger != nil {
		witness = s.ledger
	}
	var entries []standin.Entry
	for i := range servers {
		cfg := standin.ServerConfig{Name: fmt.Sprintf("web-%02d", i), Zone: string(rune('a' + i%zones)), Cell: i / 6, Kind: "c2-fast", Cores: 2,
			Speed: 1.5 + 0.6*rng.Float64(), Queue: 8, ColdFrom: coldFrom, ColdTime: coldTime, CrowdedFrom: 5, Crowding: 0.05,
			OverloadFactor: 3, OverloadTime: time.Second, DrainGrace: 2 * time.Second, Witness: witness,
			Work: func(class, id string) time.Duration { return standin.Lognormal(work[class], 0.6, id) }}
		if i%5 >= 3 {
			cfg.Kind, cfg.Cores, cfg.Speed, cfg.Queue = "c4-slow", 4, 0.77+0.23*rng.Float64(), 16
		}
		server, err := standin.StartServer(cfg)
		if err != nil {
			return err
		}
		s.servers = append(s.servers, server)
		s.shares = append(s.shares, Share{Name: cfg.Name, Kind: cfg.Kind, Zone: cfg.Zone})
		entries = append(entries, server.Entry("ready"))
	}
	s.registry.Set(entries...)
	return nil
}

// file has the generator write the portal's file, and reads it as an operator's would be read.
func (s *stage) file() (*appconfig.App, net.Listener, error) {
	ln, err := net.Listen("tcp", cmp.Or(s.Listen, "127.0.0.1:0"))
	if err != nil {
		return nil, nil, err
	}
	app, err := func() (*appconfig.App, error) {
		dir, err := os.MkdirTemp("", "indigotack-demo-")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		port := ln.Addr().(*net.TCPAddr).Port
		site := fmt.Sprintf("version = 1\nzones = [\"a\"]\nports = \"%d\"\n[servers]\ndiscovery = %q\n[[application]]\nname = \"portal\"\nkind = \"portal\"\n",
			port, s.registry.Address())
		inventory, err := appconfig.ParseSite("site.toml", []byte(site))
		if err != nil {
			return nil, err
		}
		files, err := inventory.Generate(nil)
		if err != nil {
			return nil, err
		}
		path := filepath.Join(dir, "portal-a.toml")
		if err := os.WriteFile(path, files["portal-a.toml"], 0o600); err != nil {
			return nil, err
		}
		return appconfig.Load(path)
	}()
	if err != nil {
		ln.Close()
		return nil, nil, err
	}
	return app, ln, nil
}

// trouble is what happens at a part of the time.
type trouble struct {
	at  float64
	say string
	do  func(s *stage)
}

func (s *stage) list(server *standin.Server, status string) {
	if status == "draining" {
		server.Drain()
	}
	s.registry.Set(server.Entry(status))
}

// timetable of the troubles. Each is of another server.
var timetable = []trouble{
	{0.20, "web-01 is told to drain", func(s *stage) { s.list(s.servers[1], "draining") }},
	{0.40, fmt.Sprintf("web-05 turns %v times slower", slowBy), func(s *stage) { s.servers[5].Slow(slowBy) }},
	{0.55, "web-08 is killed", func(s *stage) { s.servers[8].Kill() }},
	{0.60, "web-05 is as fast as before", func(s *stage) { s.servers[5].Slow(1) }},
	{0.75, "web-08 starts again, cold", func(s *stage) {
		if err := s.servers[8].Restart(); err == nil {
			s.list(s.servers[8], "ready")
		}
	}},
}

// play follows the timetable and counts until the clients are done.
func (s *stage) play(ctx context.Context, clients *standin.Clients, done <-chan struct{}) {
	start := time.Now()
	next, tenth, gone := 0, 0, false
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	told := time.Time{}
	for {
		select {
		case <-done:
			s.count(9)
			return
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		passed := time.Since(start)
		for next < len(timetable) && passed >= time.Duration(timetable[next].at*float64(s.Duration)) {
			t := timetable[next]
			next++
			t.do(s)
			s.doing = t.say
			s.report.Events = append(s.report.Events, fmt.Sprintf("%5.1f s  %s", passed.Seconds(), t.say))
		}
		// The list tells of a dead server only after a while.
		if killed := time.Duration(0.55*float64(s.Duration)) + listDelay; !gone && next >= 3 && passed >= killed && next < len(timetable) {
			gone = true
			s.registry.Set(s.servers[8].Entry("gone"))
		}
		if now := min(9, int(10*passed/s.Duration)); now > tenth {
			s.count(tenth)
			tenth = now
		}
		if s.Progress != nil && time.Since(told) >= 500*time.Millisecond {
			told = time.Now()
			p := Progress{At: min(passed, s.Duration), Of: s.Duration, Doing: s.doing}
			results, open := clients.Results()
			for _, r := range results {
				p.Asked, p.InAim, p.Refused, p.Failed = p.Asked+r.Asked, p.InAim+r.InAim, p.Refused+r.Refused, p.Failed+r.Failed
			}
			p.Open = open
			s.Progress(p)
		}
	}
}

func (s *stage) count(tenth int) {
	for i, server := range s.servers {
		s.shares[i].Tenths[tenth] += server.Count()
	}
}

// Write prints a report as tables.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "\n%-12s %7s %7s %6s %8s %7s %6s %9s %9s\n", "class", "asked", "in aim", "late", "refused", "failed", "wrong", "p50", "p99")
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%-12s %7d %6.1f%% %6d %8d %7d %6d %9s %9s\n", c.Class, c.Asked, 100*float64(c.InAim)/float64(max(1, c.Asked)),
			c.Late, c.Refused, c.Failed, c.Wrong, ms(c.Percentile(0.5)), ms(c.Percentile(0.99)))
	}
	fmt.Fprintf(w, "\nrequests that each server got, by tenths of the time\n%-8s %-8s %-4s", "server", "kind", "zone")
	for i := range 10 {
		fmt.Fprintf(w, " %5d0%%", i+1)
	}
	fmt.Fprintln(w)
	for _, s := range r.Servers {
		fmt.Fprintf(w, "%-8s %-8s %-4s", s.Name, s.Kind, s.Zone)
		for _, n := range s.Tenths {
			fmt.Fprintf(w, " %6d", n)
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "\n%s\n", strings.Join(r.Events, "\n"))
	if r.Checked == nil {
		return
	}
	fmt.Fprintf(w, "\n%-45s %8s %7s\n", "rule", "checked", "broken")
	for i, name := range standin.RuleNames {
		fmt.Fprintf(w, "%d. %-42s %8d %7d\n", i+1, name, r.Checked[i], r.Broken[i])
	}
	for _, t := range r.Told {
		fmt.Fprintln(w, "  "+t)
	}
}

func ms(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}
