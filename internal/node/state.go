package node

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"indigotack/decide"
	"indigotack/internal/discovery"
)

const (
	stateEvery = 2 * time.Second // between lines of the log that tell the node's state
	stateTime  = time.Second     // for the event loop to tell it

	unknownInState = 3 // unknown names in a line; the rest is counted
)

// nodeState is what a node believes and holds at some moment. Beside a request
// in the log it tells what the node knew when it sent that request.
type nodeState struct {
	phase             string
	reason            string // of the phase, where operators have ordered it
	listVersion       uint64
	discovery         discovery.Status
	servers           int
	draining          []string // names of servers that are listed as draining
	openRequests      int
	clientConnections int
	descriptors       []string // connections by kind
	longest           []string // of each stage of a request since the last line
	memory            []any    // as attributes

	operatorsAt  []string // where operators are heard, with the names that told it
	notAt        []string // where they are not, and what is no address, each with the reason
	calls        []string // of operators since the start, by the address that heard them
	unknownNames []string // of the configuration and the environment
	unknownKinds []string // of their values
	unread       int      // connections and requests that were refused or closed before a request was taken, since the last line
	unreadNewest string   // what the newest of them that said something began with, and why it was refused
}

// attributes gives the state as attributes of a line of the log.
func (s nodeState) attributes() []any {
	var answered any = "never"
	now := time.Now()
	if ago := s.discovery.AnsweredAgo(now); ago >= 0 {
		answered = ago
	}
	all := []any{"phase", s.phase, "phase_reason", s.reason, "list_version", s.listVersion, "discovery", s.discovery.Address, "discovery_answered_ago", answered, "servers", s.servers,
		"draining", names(s.draining), "open_requests", s.openRequests, "client_connections", s.clientConnections}
	all = append(all, "descriptors", s.descriptors)
	all = append(all, s.memory...)
	if len(s.longest) > 0 {
		all = append(all, "longest", s.longest)
	}
	all = append(all, s.discovery.Attributes(now)...)
	if len(s.operatorsAt) > 0 {
		all = append(all, "operators_at", s.operatorsAt)
	}
	if len(s.notAt) > 0 {
		all = append(all, "operators_not_at", s.notAt)
	}
	if len(s.calls) > 0 {
		all = append(all, "operator_calls", s.calls)
	}
	if told := min(len(s.unknownNames), unknownInState); told > 0 {
		all = append(all, "unknown_names", s.unknownNames[:told], "unknown_values", strings.Join(s.unknownKinds[:told], "; "))
	}
	if more := len(s.unknownNames) - unknownInState; more > 0 {
		all = append(all, "more_unknown_names", more)
	}
	if s.unread > 0 {
		all = append(all, "unread", s.unread)
	}
	if s.unreadNewest != "" {
		all = append(all, "unread_newest", s.unreadNewest)
	}
	return all
}

// state asks the event loop for the node's state. It is false where the loop
// has ended, or does not get to it within stateTime.
func (n *Node) state() (s nodeState, ok bool) {
	told := make(chan nodeState, 1)
	overdue := time.After(stateTime)
	select {
	case n.events <- func() { told <- n.stateOnLoop() }:
	case <-n.ended:
		return s, false
	case <-overdue:
		return s, false
	}
	select {
	case s = <-told:
		return s, true
	case <-n.ended:
	case <-overdue:
	}
	return s, false
}

// stateOnLoop is to be called by the event loop.
func (n *Node) stateOnLoop() nodeState {
	front := n.front.status()
	s := nodeState{phase: front.State, reason: front.Reason, listVersion: n.listVersion, discovery: n.sources.Status(),
		servers: len(n.entries), openRequests: len(n.requests), clientConnections: front.Connections,
		descriptors: n.descriptors(), calls: n.calls.summary()}
	s.unknownNames, s.unknownKinds = n.cfg.unknownNames()
	if n.listeners != nil {
		s.operatorsAt, s.notAt = n.listeners.At(), n.listeners.NotAt()
	}
	for name, e := range n.entries {
		if e.State() == decide.Draining {
			s.draining = append(s.draining, name)
		}
	}
	slices.Sort(s.draining)
	return s
}

// logState logs the node's state every stateEvery until the loop has ended.
func (n *Node) logState() {
	memory := newMemoryWatch(n.cfg.MemoryMB, n.front.account, n.observer)
	defer memory.reader.Close()
	ticker, look := time.NewTicker(stateEvery), time.NewTicker(memoryEvery)
	defer ticker.Stop()
	defer look.Stop()
	for {
		select {
		case <-look.C:
			memory.look()
			continue
		case <-ticker.C:
		case <-n.ended:
			return
		}
		if s, ok := n.state(); ok {
			s.unread, s.unreadNewest = n.unread.take()
			s.longest, s.memory = n.stages.take(), memory.take()
			n.log.Log(n.ctx, slog.LevelInfo, "state", s.attributes()...)
		}
	}
}
