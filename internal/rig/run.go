package rig

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"indigotack/decide"
	"indigotack/internal/standin"
)

// Options of a rehearsal.
type Options struct {
	Program  string                     // path of the node's program
	Dir      string                     // for the processes' files and logs and the history; "": a temporary one, removed at the end
	Env      func(node string) []string // added to a node's environment; may be nil
	Progress func(Progress)             // called about twice a second; may be nil
}

// Progress is how things stand.
type Progress struct {
	At, Of              time.Duration // of the load
	Asked, InAim, Other int
	Doing               string // the step that came last
}

// Run plays a plan with real processes and judges what happened. It ends
// everything that it started, also when ctx ends; the result is then an error.
func Run(ctx context.Context, p *Plan, o Options) (r *Report, err error) {
	dir := o.Dir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "indigotack-rig-"); err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
	}
	program, err := filepath.Abs(o.Program)
	if err != nil {
		return nil, err
	}
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &fleet{ctx: inner, plan: p, program: program, dir: dir, extra: o.Env, log: newRecorder(), waits: map[int]map[string]time.Duration{}, seen: map[string]string{}, starter: newStarter(), front: &front{},
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	defer f.starter.close()
	var actors sync.WaitGroup
	raised := f.raise(&actors)
	if raised == nil {
		err = f.play(ctx, o.Progress)
	}
	for _, n := range f.nodes {
		close(n.jobs)
		close(n.operator.jobs)
	}
	for _, v := range f.servers {
		close(v.jobs)
	}
	actors.Wait()
	for _, n := range f.nodes {
		n.operator.release()
		n.closeCaller()
	}
	if raised != nil {
		return nil, errors.Join(raised, f.lower())
	}
	stopErr := f.lower()
	events := f.log.history()
	if o.Dir != "" {
		if file, e := os.Create(filepath.Join(dir, "history.jsonl")); e != nil {
			err = errors.Join(err, e)
		} else {
			err = errors.Join(err, WriteHistory(file, events), file.Close())
		}
	}
	if err != nil {
		return nil, errors.Join(err, stopErr)
	}
	return Judge(p, events), nil
}

// command is one that ends with the rig's context.
func (f *fleet) command(program string, args ...string) *exec.Cmd {
	return exec.CommandContext(f.ctx, program, args...)
}

// raise starts network, discovery, servers and nodes, and waits until all are ready.
func (f *fleet) raise(actors *sync.WaitGroup) (err error) {
	f.tellings = newTellings(f.log.note)
	if f.network, err = newNetwork(f.plan, f.through); err != nil {
		return err
	}
	if f.registry, err = newRegistry(f.plan, f.network.block, f.tellings.wrote); err != nil {
		return err
	}
	for j := range f.plan.Servers.Count {
		f.servers = append(f.servers, &server{j: j, unit: f.unit(serverName(j), Event{Server: serverName(j)}, actors)})
	}
	var entries []standin.Entry
	var mu sync.Mutex
	var failed error
	var all sync.WaitGroup
	for _, v := range f.servers {
		entries = append(entries, v.entry("ready"))
		all.Go(func() {
			if err := v.start(); err != nil {
				mu.Lock()
				failed = errors.Join(failed, err)
				mu.Unlock()
			}
		})
	}
	all.Wait()
	if failed != nil {
		return failed
	}
	f.registry.Set(entries...)
	for i := range f.plan.Nodes {
		n := &node{i: i, dir: filepath.Join(f.dir, nodeName(i)), unit: f.unit(nodeName(i), Event{Node: nodeName(i)}, actors)}
		n.operator = newOperator(n, actors)
		f.nodes = append(f.nodes, n)
		f.seen[f.network.block.seenAt(i)] = n.name
		for _, dir := range []string{"state", "older"} {
			if err := os.MkdirAll(filepath.Join(n.dir, dir), 0o700); err != nil {
				return err
			}
		}
		if f.plan.Platform {
			n.known = f.registry.knownTo(i)
		}
		if n.out, err = os.Create(filepath.Join(n.dir, "log")); err == nil {
			err = n.file()
		}
		if err == nil {
			err = n.openCaller()
		}
		if err == nil {
			err = n.start()
		}
		if err != nil {
			return err
		}
	}
	return f.awaitAll()
}

// awaitAll waits until every node takes requests, or has failed to: what is wrong is the checkers' to say.
func (f *fleet) awaitAll() error {
	for until := time.Now().Add(readyTime); time.Now().Before(until); {
		f.front.mu.Lock()
		ready := len(f.front.offered)
		f.front.mu.Unlock()
		running := 0
		for _, n := range f.nodes {
			select {
			case <-n.run.ended:
			default:
				running++
			}
		}
		if ready >= running {
			return nil
		}
		if !pause(10*time.Millisecond, f.ctx.Done()) {
			return f.ctx.Err()
		}
	}
	return nil
}

// through hears of connections at relays.
func (f *fleet) through(l *link, e relayEvent) {
	switch {
	case e.Conn == nil && l.from == Clients:
		f.log.note(Event{What: Unconnected, Node: l.to, Peer: e.Peer})
	case e.Late > 0 && l.from == Clients:
		f.log.note(Event{What: Belated, Node: l.to, Peer: e.Peer, N: e.Late.Seconds()})
	case e.Conn == nil || e.Late > 0:
	case l.to == Discovery:
		f.tellings.connected(e.Local, e.Conn)
	case l.from != Clients:
		f.noteConnection(e.Local, l.to, l.from)
	}
}

// seenConnection is a connection as a server sees it. One port of the rig's may
// carry connections to several servers at once.
type seenConnection struct{ peer, server string }

// noteConnection notes whose node a server sees under an address.
func (f *fleet) noteConnection(peer, server, node string) {
	f.peers.Store(seenConnection{peer, server}, node)
}

// nodeOf is the node that a server sees under an address; "" if none is known.
func (f *fleet) nodeOf(peer, server string) string {
	node, _ := f.peers.Load(seenConnection{peer, server})
	name, _ := node.(string)
	return name
}

// play sends the load and carries out the timetable.
func (f *fleet) play(ctx context.Context, progress func(Progress)) error {
	p := f.plan
	f.look()
	for _, n := range f.nodes {
		if err := copyTree(filepath.Join(n.dir, "state"), filepath.Join(n.dir, "older")); err != nil {
			return fmt.Errorf("copying the state of %s: %w", n.name, err)
		}
	}
	clients := &standin.Clients{Rate: p.Rate, Seed: p.Seed, Patience: max(p.Patience, time.Millisecond), Leave: p.Leave, Classes: p.clientClasses(),
		Pick: func(rng *rand.Rand) (string, bool) { return f.front.pick(rng.Float64()) }, Told: f.clientEvent}
	if p.Open > 0 {
		clients.PickOpen = func(rng *rand.Rand) (string, bool) {
			if rng.Float64() >= p.Open {
				return "", false
			}
			return f.front.pickEnding(rng.Float64())
		}
	}
	end := make(chan struct{})
	var watchers sync.WaitGroup
	defer watchers.Wait()
	defer close(end)
	watchers.Go(func() { f.sample(end) })
	if p.Weights > 0 {
		watchers.Go(func() { f.reweigh(end) })
	}
	if p.Peers {
		watchers.Go(func() { f.watchViews(end) })
	}
	for _, n := range f.drained() {
		watchers.Go(func() { n.pollReady(end) })
	}
	watchers.Go(func() {
		watchLateness(end, func(late time.Duration) { f.log.note(Event{What: Late, N: late.Seconds()}) })
	})
	f.log.note(Event{What: Phase, Text: "load"})
	began := time.Now()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		clients.Run(ctx, p.Length)
	}()
	steps, doing := p.Timetable(), ""
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for loaded := true; loaded || len(steps) > 0; {
		next := time.Hour
		if len(steps) > 0 {
			next = time.Until(began.Add(steps[0].At))
		}
		timer := time.NewTimer(next)
		select {
		case <-sent:
			loaded, sent = false, nil
			f.log.note(Event{What: Phase, Text: "quiet"})
		case <-timer.C:
			f.do(steps[0])
			doing, steps = steps[0].String(), steps[1:]
		case <-tick.C:
			if progress != nil {
				at := Progress{At: min(time.Since(began), p.Length), Of: p.Length, Doing: doing}
				results, _ := clients.Results()
				for _, r := range results {
					at.Asked, at.InAim, at.Other = at.Asked+r.Asked, at.InAim+r.InAim, at.Other+r.Asked-r.InAim
				}
				progress(at)
			}
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
	if !pause(p.Cool, ctx.Done()) {
		return ctx.Err()
	}
	f.look()
	f.log.note(Event{What: Phase, Text: "end"})
	return nil
}

// reweigh lists all servers with new weights every Weights, until end is closed.
func (f *fleet) reweigh(end <-chan struct{}) {
	rng := rand.New(rand.NewPCG(f.plan.Seed, 19))
	for pause(f.plan.Weights, end) {
		f.registry.Reweigh(func(standin.Entry) float64 { return 0.5 + rng.Float64() })
	}
}

// lower ends everything.
func (f *fleet) lower() error {
	err := f.stop()
	for _, n := range f.nodes {
		n.mu.Lock()
		if n.out != nil {
			n.out.Close()
			n.out = nil
		}
		n.mu.Unlock()
	}
	if f.registry != nil {
		f.registry.close() // its connections are the relays', which end below
	}
	if f.network != nil {
		f.network.close()
	}
	return err
}

func (p *Plan) clientClasses() []standin.Class {
	var all []standin.Class
	for _, c := range p.Classes {
		one := standin.Class{Name: c.Name, Share: c.Share, Method: http.MethodGet, Path: "/" + c.Name, Aim: c.Aim,
			Kind: standin.Kind{Effect: c.Effect, Scope: decide.ScopeZone, Window: c.Dedup, Deadline: c.Deadline}}
		if c.Effect != decide.Safe {
			one.Method, one.Body, one.Keyed = http.MethodPost, 400, c.Effect == decide.Keyed
		}
		one.Platform = p.Platform
		all = append(all, one)
	}
	return all
}

// clientEvent notes what clients do and see.
func (f *fleet) clientEvent(e standin.ClientEvent) {
	node := f.seen[e.To]
	switch e.What {
	case standin.ClientAsks:
		f.log.note(Event{What: Asked, ID: e.ID, Class: e.Class, Node: node})
	case standin.ClientAnswered:
		f.log.note(Event{What: Answered, ID: e.ID, Class: e.Class, Node: node, Peer: e.From, Text: e.How.String(), N: e.Took.Seconds(), Most: e.Age.Seconds()})
	case standin.ClientTwice:
		f.log.note(Event{What: SpokeTwice, ID: e.ID, Node: node})
	}
}
