package rig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
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
	peers    sync.Map          // of seenConnection to the names of nodes
	seen     map[string]string // addresses under which clients see nodes, to their names
	ending   atomic.Bool
	held     atomic.Int64                     // connections that clients have held so far
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
			case s.Fault.What == FaultQuiesce:
				n.operator.jobs <- func() { n.operator.carryOut(s.Fault, s.Over) }
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
			n.crowd = gather(n, fault.Number, fault.Does)
		}
	case FaultStop:
		n.stop(over)
	case FaultReload:
		n.reload()
	case FaultMove:
		if over {
			n.discoveryTells()
		} else {
			n.moveDiscovery(fault.Move)
		}
	case FaultAnswers:
		f.registry.behave(n.i, fault.Answers, over)
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
		if fault.Back {
			v.list("ready")
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
