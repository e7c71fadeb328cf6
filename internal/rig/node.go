package rig

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"indigotack/decide"
	"indigotack/internal/clock"
)

// node is one node.
type node struct {
	unit
	i   int
	dir string

	started  time.Time     // when its present run was; guarded by mu
	offset   time.Duration // of its wall clock
	place    int           // of its discovery; the actor's
	known    *knownList    // of a platform's node
	freed    func()        // ends its starving
	crowd    *crowd        // at its door; the actor's
	operator *operator
	caller   *caller  // where it has its operators' orders, if it is told to call; nil: it is not
	out      *os.File // its log
	misreads sync.Map // own addresses of connections on which something was sent that it refuses, until its log tells of it
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
		k.discoveryAt(n.i, n.place), v.ColdFrom, v.ColdTime, v.OverloadFactor, v.OverloadTime, v.DrainGrace)
	line("[fleet]\nnodes = %d\nnumber = %d\nzone = %q\nkinds = [%q]\n[timeouts]\nidle = %q", p.Nodes, n.i, p.zone(n.name), kind, p.Idle)
	if p.Peers {
		line("[peers]\nlisten = %q\nadvertise = %q\nstate = \"state\"\njoin = [%q, %q]", k.ownPeerAt(n.i), k.peerAt(n.i), k.peerAt(0), k.peerAt(min(1, p.Nodes-1)))
	}
	if p.Peers || p.quiesces() {
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
	if variable := n.operatorsForm().Variable(n.operatorsAt()); f.plan.Platform && f.plan.quiesces() && variable != "" {
		cmd.Env = append(cmd.Env, variable)
	}
	if f.extra != nil {
		cmd.Env = append(cmd.Env, f.extra(n.name)...)
	}
	supervised, err := f.failCalls(cmd, n.i)
	if err != nil {
		return err
	}
	run, err := f.starter.launch(cmd, false, nil, n.logged, n.ended)
	go supervised() // which ends with the process, or at once without one
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
	n.accountFor(line)
	n.noteState(line)
	if bytes.Contains(line, []byte("level=INFO")) || bytes.Contains(line, []byte("level=DEBUG")) {
		return
	}
	n.note(Logged, string(line[:min(len(line), maxLogLine)]), 0)
}

// moveDiscovery has the node's discovery move: its file names another place, and it
// is told to read it.
func (n *node) moveDiscovery(m Move) {
	n.place = n.of.registry.move(n.i, m)
	if err := n.file(); err != nil {
		n.failed(err.Error())
		return
	}
	text := discoveryMoved
	if !m.well() {
		text = discoveryMovedBlind
	}
	n.note(Ordered, text, m.Keeps.Seconds())
	n.reload()
}

// discoveryTells has the place to which discovery has moved tell what it has.
func (n *node) discoveryTells() {
	if n.of.registry.recover(n.i) {
		n.note(Ordered, discoveryTells, 0)
	}
}

// reload tells the node to read its file again. No program can catch a signal
// that comes before it runs.
func (n *node) reload() {
	pause(time.Until(n.startedAt().Add(n.of.catchTime())), n.of.ctx.Done())
	n.signal(syscall.SIGHUP)
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
