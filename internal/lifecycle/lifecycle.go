// Package lifecycle is the one place that says whether a node may accept,
// send, repeat or close something now. It does no I/O, reads no clock and
// starts no goroutine: callers tell it what they know and what time it is, and
// count and log what it denies. All times keep Go's monotonic reading, so that
// a step of the wall clock moves none of them.
package lifecycle

import (
	"sync"
	"time"
)

// Phase is where a node is in its life. It only ever goes on.
type Phase int

const (
	// Starting nodes have no server to send to yet.
	Starting Phase = iota
	// Ready nodes serve.
	Ready
	// Drained nodes were told by operators to take no more requests until they
	// are told to resume. They finish what they took before.
	Drained
	// Draining nodes were told to end. They say that they are not ready, and go
	// on accepting and serving.
	Draining
	// Closing nodes accept nothing new and ask each client to close.
	Closing
	// Expired nodes have given all that they took its final answer, and close
	// what is left.
	Expired
	// Refusing nodes refuse what has not come whole by now.
	Refusing
	// Ended nodes hold nothing any more.
	Ended
)

var phaseNames = [...]string{"starting", "ready", "drained", "draining", "closing", "expired", "refusing", "ended"}

// String names a phase, for logs.
func (p Phase) String() string {
	if p < 0 || int(p) >= len(phaseNames) {
		return "unknown"
	}
	return phaseNames[p]
}

// Node is the life of one node. Its zero value is that of one that starts. It
// is safe for concurrent use.
type Node struct {
	mu         sync.Mutex
	ready      bool
	terminated time.Time // zero: no termination signal yet
	plan       ShutdownPlan
	closing    bool   // clients were asked to close, maybe sooner than the plan has it
	drain      *Drain // nil: operators let the node serve
	ordered    Order  // the last of the operators' orders
}

// SetReady tells whether the node has servers to send to.
func (n *Node) SetReady(ready bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ready = ready
}

// Terminate begins an orderly stop. Only the first call counts: what has been
// promised by then stays.
func (n *Node) Terminate(now time.Time, plan ShutdownPlan) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.terminated.IsZero() {
		n.terminated, n.plan = now, plan
	}
}

// Close ends the draining before its time, as no client is left to wait for.
func (n *Node) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closing = true
}

// Phase is where the node is at a time.
func (n *Node) Phase(now time.Time) Phase {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.phase(now)
}

func (n *Node) phase(now time.Time) Phase {
	switch {
	case !n.terminated.IsZero():
		return n.plan.phase(now.Sub(n.terminated), n.closing)
	case n.drain != nil:
		return Drained
	case n.ready:
		return Ready
	}
	return Starting
}

// AnswerBy is when a request has to be answered whose client stops waiting at a
// deadline: not after the node's own last answers.
func (n *Node) AnswerBy(deadline time.Time) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.drain != nil {
		deadline = earlier(deadline, n.drain.Since.Add(n.drain.plan.Answer))
	}
	if !n.terminated.IsZero() {
		deadline = earlier(deadline, n.terminated.Add(n.plan.Answer))
	}
	return deadline
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// MayDrainOn tells whether a node that drains goes on accepting connections,
// with so many open.
func (n *Node) MayDrainOn(now time.Time, open int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	since := now.Sub(n.terminated)
	return since < n.plan.Accept || open > 0 && since < n.plan.Close
}
