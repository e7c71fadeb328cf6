package rig

import (
	"encoding/json"
	"fmt"
	"syscall"
	"time"

	"indigotack/internal/standin"
)

// server is one server.
type server struct {
	unit
	j int

	since int64 // Unix time in ms of its start; 0: long ago
	order serverOrder
	ready chan struct{}
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
		e.Node = s.of.nodeOf(e.Peer, s.name)
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
