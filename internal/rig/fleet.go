package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"indigotack/decide"
	"indigotack/internal/clock"
	"indigotack/internal/standin"
)

const (
	kind        = "std"                  // of all servers
	readyTime   = 30 * time.Second       // for a node to get ready
	endTime     = 15 * time.Second       // for a node to end after SIGTERM
	viewTime    = 100 * time.Millisecond // between looks at a node's view
	sampleTime  = 250 * time.Millisecond // between looks at processes
	frontNotice = 300 * time.Millisecond // after SIGTERM clients are still sent to a node
	seriesTime  = 20 * time.Millisecond  // between signals in series
	catchTime   = 100 * time.Millisecond // for a process to begin to run and catch signals
	maxLogLine  = 400
)

// fleet is all processes of a plan that is played.
type fleet struct {
	ctx      context.Context
	plan     *Plan
	program  string // the rig's own choice of the node's program
	dir      string
	extra    func(node string) []string // environment of the nodes; may be nil
	log      *recorder
	starter  *starter
	network  *network
	registry *registry
	tellings *tellings
	client   *http.Client
	nodes    []*node
	servers  []*server
	front    *front
	peers    sync.Map          // addresses under which servers see nodes, to their names
	seen     map[string]string // addresses under which clients see nodes, to their names
	ending   atomic.Bool
	looking  sync.Mutex                       // held while processes are looked at
	waits    map[int]map[string]time.Duration // of threads, by process
}

// actor does things to one process one after another, without holding up the timetable.
type actor struct{ jobs chan func() }

func newActor(all *sync.WaitGroup) actor {
	a := actor{jobs: make(chan func(), 2*maxFaults)}
	all.Go(func() {
		for f := range a.jobs {
			f()
		}
	})
	return a
}

// unit is a node or a server over its runs.
type unit struct {
	actor
	of   *fleet
	name string
	as   Event // Node or Server is its name

	held int // faults that keep it down; the actor's
	mu   sync.Mutex
	run  *process // guarded by mu, as what embeds it keeps beside it
}

func (f *fleet) unit(name string, as Event, actors *sync.WaitGroup) unit {
	return unit{actor: newActor(actors), of: f, name: name, as: as}
}

// current is the present run; nil before the first.
func (u *unit) current() *process {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.run
}

// note notes something of the unit.
func (u *unit) note(what, text string, n float64) {
	e := u.as
	e.What, e.Text, e.N = what, text, n
	u.of.log.note(e)
}

// failed notes an end that nobody asked for.
func (u *unit) failed(why string) { u.note(Down, "unasked: "+why, 0) }

// signal orders the present run something, and returns it.
func (u *unit) signal(sig syscall.Signal) *process {
	run := u.current()
	u.note(Ordered, sig.String(), float64(run.id()))
	if err := run.order(sig); err != nil {
		u.note(Logged, "signal: "+err.Error(), 0)
	}
	return run
}

// stop has it stand still, or go on.
func (u *unit) stop(over bool) {
	if over {
		u.signal(syscall.SIGCONT)
	} else {
		u.signal(syscall.SIGSTOP)
	}
}

// node is one node.
type node struct {
	unit
	i   int
	dir string

	started time.Time     // when its present run was; guarded by mu
	offset  time.Duration // of its wall clock
	freed   func()        // ends its starving
	crowd   *crowd        // at its door; the actor's
	out     *os.File      // its log
}

// server is one server.
type server struct {
	unit
	j int

	since int64 // Unix time in ms of its start; 0: long ago
	order serverOrder
	ready chan struct{}
}

// front is where clients find out which nodes take requests.
type front struct {
	mu      sync.Mutex
	offered []string // addresses
	ending  []string // those to which connections may still be open
}

// withdraw takes a node out, whose open connections clients go on using.
func (f *front) withdraw(address string) {
	f.offer(address, false)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.Contains(f.ending, address) {
		f.ending = append(f.ending, address)
	}
}

// pickEnding is a node that was withdrawn, if there is one.
func (f *front) pickEnding(u float64) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.ending) == 0 {
		return "", false
	}
	return f.ending[int(u*float64(len(f.ending)))], true
}

func (f *front) offer(address string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kept := f.offered[:0:0]
	for _, one := range f.offered {
		if one != address {
			kept = append(kept, one)
		}
	}
	if f.offered = kept; on {
		f.offered = append(f.offered, address)
		f.ending = slices.DeleteFunc(f.ending, func(one string) bool { return one == address })
	}
}

func (f *front) pick(u float64) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.offered) == 0 {
		return "", false
	}
	return f.offered[int(u*float64(len(f.offered)))], true
}

// file writes a node's file.
func (n *node) file() error {
	if n.of.plan.Platform {
		return n.platformFile()
	}
	p, k := n.of.plan, n.of.network.block
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("version = 1\nname = %q\n[listen]\naddress = %q\n[limits]\nmemory_mb = 192\ndescriptors = 1024", n.name, k.nodeAt(n.i))
	v := p.Servers
	line("[servers]\ndiscovery = %q\ncold_from = %v\ncold_time = %q\noverload_factor = %v\noverload_time = %q\ndrain_grace = %q",
		k.discoveryAt(n.i), v.ColdFrom, v.ColdTime, v.OverloadFactor, v.OverloadTime, v.DrainGrace)
	line("[fleet]\nnodes = %d\nnumber = %d\nzone = %q\nkinds = [%q]\n[timeouts]\nidle = %q", p.Nodes, n.i, p.zone(n.name), kind, p.Idle)
	if p.Peers {
		line("[peers]\nlisten = %q\nadvertise = %q\nstate = \"state\"\njoin = [%q, %q]", k.ownPeerAt(n.i), k.peerAt(n.i), k.peerAt(0), k.peerAt(min(1, p.Nodes-1)))
		line("[admin]\naddress = %q", k.adminAt(n.i))
	}
	for _, c := range p.Classes {
		line("[[class]]\nname = %q\nworth = %v\naim = %q\ndeadline = %q\neffect = %q", c.Name, c.Worth, c.Aim, c.Deadline, effectWord(c.Effect))
		if c.Effect == decide.Keyed {
			line("key = \"header:Idempotency-Key\"\nkey_scope = \"zone\"\ndedup_window = %q", c.Dedup)
		}
	}
	for _, c := range p.Classes {
		methods := `["GET"]`
		if c.Effect != decide.Safe {
			methods = `["POST"]`
		}
		line("[[route]]\nprefix = %q\nmethods = %s\nclass = %q", "/"+c.Name, methods, c.Name)
	}
	return os.WriteFile(filepath.Join(n.dir, "app.toml"), []byte(b.String()), 0o600)
}

// start starts a node and has it offered to clients once it is ready.
func (n *node) start() error {
	f := n.of
	program := f.program
	if len(f.plan.Programs) > 0 {
		program = f.plan.Programs[n.i%len(f.plan.Programs)]
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	args := []string{"-app", "app.toml"}
	if f.plan.Platform {
		args = nil
	}
	cmd := f.command(program, args...)
	cmd.Dir = n.dir
	cmd.Env = append(os.Environ(), clock.Variable+"="+n.offset.String(), clock.FileVariable+"="+clockFile, "GW_CONFIG="+platformConfig,
		fmt.Sprintf("%s=%v:%d", socketsVariable, f.plan.Sockets, f.plan.Seed*100+uint64(n.i)))
	if f.extra != nil {
		cmd.Env = append(cmd.Env, f.extra(n.name)...)
	}
	run, err := f.starter.launch(cmd, false, nil, n.logged, n.ended)
	if err != nil {
		return err
	}
	n.run, n.started = run, time.Now()
	n.note(Up, "", float64(run.id()))
	go n.awaitReady(run)
	return nil
}

// startedAt is when the present run was started.
func (n *node) startedAt() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.started
}

func (n *node) awaitReady(run *process) {
	url := "http://" + n.of.network.block.nodeAt(n.i) + "/health/ready"
	for until := time.Now().Add(readyTime); time.Now().Before(until); {
		if resp, err := n.of.client.Get(url); err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				n.note(Ready, "", float64(run.id()))
				n.of.front.offer(n.of.network.block.seenAt(n.i), true)
				return
			}
		}
		if !pause(20*time.Millisecond, run.ended) || n.of.ctx.Err() != nil {
			return
		}
	}
}

// logged takes a line that the node has written.
func (n *node) logged(line []byte) {
	n.mu.Lock()
	if n.out != nil {
		n.out.Write(append(bytes.Clone(line), '\n')) // a log that can't be kept is not worth the run
	}
	n.mu.Unlock()
	if bytes.Contains(line, []byte("level=INFO")) || bytes.Contains(line, []byte("level=DEBUG")) {
		return
	}
	n.note(Logged, string(line[:min(len(line), maxLogLine)]), 0)
}

// ended hears that a run is over. Clients notice later.
func (n *node) ended(run *process) {
	how := run.state.String()
	if !run.expected() {
		how = "unasked: " + how
	}
	n.note(Down, how, float64(run.id()))
	pause(n.of.plan.Notice, n.of.ctx.Done())
	n.withdraw(run)
}

// withdraw has clients no longer sent to the node, unless it has started again.
func (n *node) withdraw(run *process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.run == run {
		n.of.front.withdraw(n.of.network.block.seenAt(n.i))
	}
}

// term tells the node to end in order. Clients notice a moment later.
func (n *node) term() {
	run := n.signal(syscall.SIGTERM)
	time.AfterFunc(frontNotice, func() { n.withdraw(run) })
}

// termInSeries does the same with other signals around it.
func (n *node) termInSeries() {
	n.signal(syscall.SIGHUP)
	n.term()
	for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		pause(seriesTime, n.of.ctx.Done())
		n.signal(sig)
	}
}

// killEarliest kills the run that was told to end as early as a platform may.
// What it has taken is owed all the same.
func (n *node) killEarliest() {
	run := n.current()
	time.AfterFunc(n.of.plan.earliestKill(), func() {
		select {
		case <-run.ended:
		default:
			n.note(Ordered, killedAtLast, float64(run.id()))
			run.order(syscall.SIGKILL) // fails only if it has ended
		}
	})
}

// awaitEnd waits until a run that was told to end has, and kills it if it does not.
func (n *node) awaitEnd(run *process) (inTime bool) {
	if !pause(endTime, run.ended) {
		return true
	}
	run.end()
	n.failed("did not end after SIGTERM and was killed")
	return false
}

// again waits until the run has ended, and starts the next.
func (n *node) again(state string) {
	if !n.awaitEnd(n.current()) {
		state = StateSame
	}
	err := tamper(filepath.Join(n.dir, "state"), filepath.Join(n.dir, "older"), state)
	if err == nil {
		err = n.start()
	}
	if err == nil && state == StateFull {
		limit := unix.Rlimit{Cur: fullAt, Max: unix.RLIM_INFINITY}
		err = unix.Prlimit(n.current().id(), unix.RLIMIT_FSIZE, &limit, nil)
	}
	if err != nil {
		n.failed(err.Error())
	}
}

func (s *server) entry(status string) standin.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.of.plan.Servers
	return standin.Entry{Name: s.name, Address: s.of.network.block.serverAt(s.j), Zone: s.of.plan.zone(s.name), Kind: kind, Status: status,
		Weight: p.Speed * float64(p.Cores), SinceMS: s.since}
}

func (s *server) list(status string) {
	s.note(Listed, status, 0)
	s.of.registry.Set(s.entry(status))
}

// start starts the server and waits until it listens.
func (s *server) start() error {
	f := s.of
	cmd, err := helper(f.ctx, roleServer)
	if err != nil {
		return err
	}
	work := map[string]time.Duration{}
	for _, c := range f.plan.Classes {
		work[c.Name] = c.Work
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = make(chan struct{})
	if s.run, err = f.starter.launch(cmd, true, s.event, s.logged, s.ended); err != nil {
		return err
	}
	s.note(Up, "", float64(s.run.id()))
	task := serverTask{Name: s.name, Zone: f.plan.zone(s.name), Listen: f.network.block.serverAt(s.j), Plan: f.plan.Servers, Work: work, StartedMS: s.since}
	if err := json.NewEncoder(s.run.stdin).Encode(task); err != nil {
		return fmt.Errorf("telling %s its task: %w", s.name, err)
	}
	select {
	case <-s.ready:
		return nil
	case <-s.run.ended:
		return fmt.Errorf("%s ended: %v", s.name, s.run.state)
	case <-time.After(readyTime):
		return fmt.Errorf("%s does not get ready in %v", s.name, readyTime)
	}
}

// event takes what the server has seen.
func (s *server) event(line []byte) {
	var e Event
	if err := json.Unmarshal(line, &e); err != nil {
		s.logged(line)
		return
	}
	if e.What == Ready {
		close(s.ready)
		return
	}
	if e.At -= s.of.log.zero; e.Peer != "" {
		if from, ok := s.of.peers.Load(e.Peer); ok {
			e.Node = from.(string)
		}
	}
	s.of.log.add(e)
}

func (s *server) logged(line []byte) {
	s.note(Logged, string(line[:min(len(line), maxLogLine)]), 0)
}

func (s *server) ended(run *process) {
	how := run.state.String()
	if !run.expected() && !s.of.ending.Load() {
		how = "unasked: " + how
	}
	s.note(Down, how, float64(run.id()))
}

// tell changes what is wrong with the server.
func (s *server) tell(change func(*serverOrder)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if change(&s.order); s.order.Slow == 0 {
		s.order.Slow = 1
	}
	json.NewEncoder(s.run.stdin).Encode(s.order) // fails where the server has been killed, which makes it as new
}

// kill ends the server, and returns the run that it was.
func (s *server) kill() *process {
	run := s.signal(syscall.SIGKILL)
	<-run.ended
	return run
}

// again starts the server anew, cold, and has it listed.
func (s *server) again() {
	s.mu.Lock()
	s.since, s.order = time.Now().UnixMilli(), serverOrder{}
	s.mu.Unlock()
	if err := s.start(); err != nil {
		s.failed(err.Error())
		return
	}
	s.list("ready")
}

// do carries out one step of the timetable.
func (f *fleet) do(s Step) {
	what := FaultOn
	if s.Over {
		what = FaultOff
	}
	f.log.note(Event{What: what, N: float64(s.Number), Text: s.String()})
	switch s.Fault.What {
	case FaultLink, FaultPartition:
		f.network.put(s.Number, s.Fault, !s.Over)
		return
	case FaultTorn:
		f.registry.Tear(!s.Over)
		return
	case FaultSilent:
		if !s.Over {
			f.registry.Silence()
		}
		return
	}
	for _, name := range s.Targets {
		for _, n := range f.nodes {
			switch {
			case n.name != name:
			case s.Fault.What == FaultStop: // not behind a wait for the end of a process that stands still
				f.toNode(n, s.Fault, s.Over)
			default:
				n.jobs <- func() { f.toNode(n, s.Fault, s.Over) }
			}
		}
		for _, v := range f.servers {
			switch {
			case v.name != name:
			case s.Fault.What == FaultStop:
				f.toServer(v, s.Fault, s.Over)
			default:
				v.jobs <- func() { f.toServer(v, s.Fault, s.Over) }
			}
		}
	}
}

func (f *fleet) toNode(n *node, fault *Fault, over bool) {
	switch fault.What {
	case FaultKill, FaultTerm:
		// Of several faults that keep it down the last one to be over has it start again.
		if over {
			if n.held--; n.held == 0 {
				n.again(fault.State)
			}
			return
		}
		if n.held++; fault.What == FaultKill {
			n.signal(syscall.SIGKILL)
			return
		}
		if n.held > 1 {
			return
		}
		if fault.Kill {
			n.killEarliest()
		}
		if fault.Series {
			n.termInSeries()
		} else {
			n.term()
		}
	case FaultStep:
		offset := fault.Offset
		if over {
			offset = 0
		}
		n.stepClock(offset)
	case FaultCrowd:
		if over && n.crowd != nil {
			n.crowd.disperse()
			n.crowd = nil
		} else if !over && n.crowd == nil {
			n.crowd = gather(n.of.network.block.seenAt(n.i), fault.Number)
		}
	case FaultStop:
		n.stop(over)
	case FaultReload:
		// No program can catch a signal that comes before it runs.
		pause(time.Until(n.startedAt().Add(catchTime)), n.of.ctx.Done())
		n.signal(syscall.SIGHUP)
	case FaultClock:
		n.mu.Lock()
		if n.offset = fault.Offset; over {
			n.offset = 0
		}
		n.mu.Unlock()
		if n.held == 0 {
			n.term()
			n.again(StateSame)
		}
	case FaultStarve:
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.freed != nil {
			n.freed()
			n.freed = nil
		}
		if !over {
			freed, err := f.starter.starve(f.ctx, n.run.id(), int(fault.Factor))
			if err != nil {
				n.note(Logged, "starving it: "+err.Error(), 0)
				return
			}
			n.freed = freed
		}
	}
}

func (f *fleet) toServer(v *server, fault *Fault, over bool) {
	switch fault.What {
	case FaultKill:
		if over {
			if v.held--; v.held == 0 {
				v.again()
			}
			return
		}
		if v.held++; v.held > 1 {
			return
		}
		run := v.kill()
		time.AfterFunc(f.plan.Servers.ListDelay, func() {
			if v.current() == run && !f.ending.Load() {
				v.list("gone")
			}
		})
	case FaultStop:
		v.stop(over)
	case FaultDrain:
		if v.held > 0 {
			return // it is down, and will be listed as it comes back
		}
		if !over {
			v.list("draining")
			return
		}
		v.held++ // for good
		v.list("gone")
		pause(frontNotice, f.ctx.Done())
		v.kill()
	case FaultSlow:
		v.tell(func(o *serverOrder) {
			if o.Slow = fault.Factor; over {
				o.Slow = 1
			}
		})
	case FaultFail:
		v.tell(func(o *serverOrder) {
			if o.Fail = fault.Part; over {
				o.Fail = 0
			}
		})
	case FaultHang:
		v.tell(func(o *serverOrder) { o.Hang = !over })
	}
}

// watchViews notes how nodes' views change, until end is closed.
func (f *fleet) watchViews(end <-chan struct{}) {
	var all sync.WaitGroup
	defer all.Wait()
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for _, n := range f.nodes {
		all.Go(func() {
			last := Event{}
			for pause(viewTime, end) {
				resp, err := client.Get("http://" + f.network.block.adminAt(n.i) + "/view")
				if err != nil {
					continue // it does not run, or stands still
				}
				var v struct {
					Digest  string
					Counted int
					Settled bool
				}
				err = json.NewDecoder(resp.Body).Decode(&v)
				resp.Body.Close()
				if err != nil {
					continue
				}
				e := Event{What: Viewed, Node: n.name, Text: v.Digest, N: float64(v.Counted)}
				if v.Settled {
					e.Most = 1
				}
				if e != last {
					last = e
					f.log.note(e)
				}
			}
		})
	}
}

// sample notes what processes use, until end is closed.
func (f *fleet) sample(end <-chan struct{}) {
	for pause(sampleTime, end) {
		f.look()
	}
}

func (f *fleet) look() {
	f.looking.Lock()
	defer f.looking.Unlock()
	// What waits for a core, is late through no fault of its own.
	for _, v := range f.servers {
		if run := v.current(); run != nil {
			f.wait(v.as, run.id())
		}
	}
	f.wait(Event{}, os.Getpid())
	for _, n := range f.nodes {
		run := n.current()
		if run == nil {
			continue
		}
		f.wait(n.as, run.id())
		if fds, mb, err := usage(run.id()); err == nil {
			f.log.note(Event{What: Usage, Node: n.name, N: float64(fds), Most: mb, Text: fmt.Sprint(run.id())})
		}
	}
}

// wait notes how long a process's thread that waited longest has waited for a
// core since it was last looked at.
func (f *fleet) wait(of Event, id int) {
	now, before := waited(id), f.waits[id]
	f.waits[id] = now
	worst := time.Duration(0)
	for thread, d := range now {
		worst = max(worst, d-before[thread])
	}
	if before != nil && worst > lateLeast {
		of.What, of.N = Waited, worst.Seconds()
		f.log.note(of)
	}
}

// stop ends all nodes in order, then the servers.
func (f *fleet) stop() error {
	f.ending.Store(true)
	var all sync.WaitGroup
	var mu sync.Mutex
	var failed error
	for _, n := range f.nodes {
		run := n.current()
		if run == nil {
			continue
		}
		all.Go(func() {
			if n.freed != nil {
				n.freed()
			}
			run.order(syscall.SIGCONT)
			n.term()
			if !n.awaitEnd(run) {
				mu.Lock()
				failed = errors.Join(failed, fmt.Errorf("%s did not end", n.name))
				mu.Unlock()
			}
		})
	}
	all.Wait()
	for _, v := range f.servers {
		if run := v.current(); run != nil {
			all.Go(run.end)
		}
	}
	all.Wait()
	return failed
}
