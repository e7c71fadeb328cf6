package rig

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"time"

	"indigotack/internal/callfault"
	"indigotack/internal/standin"
)

// The rig's own processes are this same program, told by the environment what to be.
const (
	roleVariable = "INDIGOTACK_RIG_ROLE"
	roleServer   = "server"
	roleBurner   = "burner"
)

// Role runs what the program was started for, if the rig started it, and tells
// whether it did. A program that plays plans calls it first of all.
func Role() bool {
	callfault.Role()
	var err error
	switch role := os.Getenv(roleVariable); role {
	case "":
		return false
	case roleServer:
		err = serveRole()
	case roleBurner:
		err = burn()
	default:
		err = fmt.Errorf("unknown role %q", role)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	return true
}

// helper is a command for one of the rig's own processes.
func helper(ctx context.Context, role string) (*exec.Cmd, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.CommandContext(ctx, self)
	cmd.Env = append(os.Environ(), roleVariable+"="+role)
	return cmd, nil
}

// burn uses up a core until its input ends, as it does with the rig, and for a minute at most.
func burn() error {
	over := make(chan struct{})
	go func() {
		defer close(over)
		os.Stdin.Read(make([]byte, 1)) // blocks until the end
	}()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); {
		select {
		case <-over:
			return nil
		default:
		}
	}
	return nil
}

// serverTask is what a server's process is told on the first line of its input.
type serverTask struct {
	Name, Zone, Listen string
	Plan               ServerPlan
	Work               map[string]time.Duration // mean, by class
	StartedMS          int64                    // Unix time; 0: long ago, and so warm
}

// serverOrder is each further line: what goes wrong there from now on.
type serverOrder struct {
	Slow float64 // factor on its times
	Fail float64 // part of its answers
	Hang bool
}

// workSpread is the standard deviation of requests' work over its mean.
const workSpread = 0.5

func serveRole() error {
	in := bufio.NewScanner(os.Stdin)
	in.Buffer(nil, 1<<20)
	if !in.Scan() {
		return fmt.Errorf("no task: %w", in.Err())
	}
	var task serverTask
	if err := json.Unmarshal(in.Bytes(), &task); err != nil {
		return fmt.Errorf("the task: %w", err)
	}
	w := &witness{out: json.NewEncoder(os.Stdout), name: task.Name}
	p := task.Plan
	mean := 0.0
	for _, work := range task.Work {
		mean += work.Seconds() / float64(len(task.Work))
	}
	cfg := standin.ServerConfig{Name: task.Name, Zone: task.Zone, Kind: kind, Cores: p.Cores, Speed: p.Speed, Queue: p.Queue,
		ColdFrom: p.ColdFrom, ColdTime: p.ColdTime, OverloadFactor: p.OverloadFactor, OverloadTime: p.OverloadTime, DrainGrace: p.DrainGrace,
		MeanWork: mean, Listen: task.Listen, Witness: w,
		Work: func(class, id string) time.Duration { return standin.Lognormal(task.Work[class], workSpread, id) }}
	if task.StartedMS > 0 {
		cfg.Started = time.UnixMilli(task.StartedMS)
	}
	server, err := standin.StartServer(cfg)
	if err != nil {
		return err
	}
	w.note(Event{What: Ready})
	go watchLateness(nil, func(late time.Duration) { w.note(Event{What: Late, N: late.Seconds()}) })
	for in.Scan() {
		var o serverOrder
		if err := json.Unmarshal(in.Bytes(), &o); err != nil {
			return fmt.Errorf("an order: %w", err)
		}
		server.Slow(o.Slow)
		server.Fail(o.Fail)
		server.Hang(o.Hang)
	}
	return nil
}

// witness writes what a server sees to the rig.
type witness struct {
	name     string
	attempts atomic.Int64

	mu  sync.Mutex
	out *json.Encoder
}

func (w *witness) note(e Event) {
	e.At, e.Server = monotonic(), w.name
	w.mu.Lock()
	defer w.mu.Unlock()
	w.out.Encode(&e) // fails only once the rig has gone
}

func (w *witness) Begin(id, from string, _ time.Time) int {
	n := w.attempts.Add(1)
	w.note(Event{What: Began, ID: id, Peer: from, N: float64(n)})
	return int(n)
}

// Left notes how long the server was told that an attempt's client still waits.
func (w *witness) Left(id string, left time.Duration) {
	w.note(Event{What: TimeLeft, ID: id, N: left.Seconds()})
}

func (w *witness) Ran(id, zone string, cell int, _ time.Time) { w.note(Event{What: Ran, ID: id}) }

func (w *witness) End(id string, number int, _ time.Time) {
	w.note(Event{What: Ended, ID: id, N: float64(number)})
}

func (w *witness) Drained(string, time.Duration, time.Duration) {} // judged from the history, by when each node was told

func (w *witness) Watched() {}

func (w *witness) Cold(_ string, sent, most float64) { w.note(Event{What: Cold, N: sent, Most: most}) }

// Lateness under this is no sign of a machine that is too busy.
const lateLeast = 30 * time.Millisecond

// watchLateness tells how late the process wakes, until end is closed.
func watchLateness(end <-chan struct{}, tell func(time.Duration)) {
	standin.TellLateness(10*time.Millisecond, end, func(late time.Duration) {
		if late > lateLeast {
			tell(late)
		}
	})
}
