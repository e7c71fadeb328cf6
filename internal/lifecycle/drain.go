package lifecycle

import "time"

// Drain is an operator's order to take no more requests until the order to
// resume. What was taken on before is finished as at a stop.
type Drain struct {
	Since time.Time // of the first order since the last resume, from which its steps count
	By    string    // who gave it
	begun time.Time // it was carried out then; a connection accepted before was taken on
	plan  ShutdownPlan
}

// newcomerPlan is that of a connection which is made while the node is drained, or
// accepted beyond its room. Its request comes within SpeakTime, and is refused at once.
var newcomerPlan = ShutdownPlan{Answer: SpeakTime, Refuse: SpeakTime, End: SpeakTime + refuseTime}

// CallTime is for an operator's call to come whole from a connection's acceptance
// on, at a node that is drained.
const CallTime = 2 * time.Second

// callPlan is that of a connection which is made while the node is drained, and on
// which an operator's call has begun.
var callPlan = ShutdownPlan{Answer: CallTime, Refuse: CallTime, End: CallTime + refuseTime}

// Order is what is known of when an operator's order came.
type Order struct {
	Came  time.Time
	Slack time.Duration // by how much earlier or later it may have come

	// Queue is the listener whose connection, accepted then, brought the order; nil
	// where the order came only later than its connection.
	Queue    any
	Accepted time.Time
}

// before tells whether an order surely came before another: by the time, or else
// by the order in which one listener accepted the connections.
func (o Order) before(other Order) bool {
	apart, slack := other.Came.Sub(o.Came), o.Slack+other.Slack
	if apart.Abs() > slack {
		return apart > 0
	}
	return o.Queue != nil && o.Queue == other.Queue && o.Accepted.Before(other.Accepted)
}

// overtaken tells whether an order is read behind one that came later, as a
// process does that stood still. The caller holds mu.
func (n *Node) overtaken(o Order) bool {
	if o.before(n.ordered) {
		return true
	}
	n.ordered = o
	return false
}

// Drain begins a drain now, by an order, and gives it. It is nil, and nothing
// changes, where the node is drained already, was told to end before the order
// came, or has carried out a later order. A drain that was ordered before the
// termination signal keeps its bound, in whatever order the two are read.
func (n *Node) Drain(o Order, now time.Time, by string, plan ShutdownPlan) *Drain {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.endedBefore(o) || n.overtaken(o) || n.drain != nil {
		return nil
	}
	n.drain = &Drain{Since: o.Came, By: by, begun: now, plan: plan}
	return n.drain
}

// endedBefore tells whether the node was told to end before an order came. The
// caller holds mu.
func (n *Node) endedBefore(o Order) bool {
	return !n.terminated.IsZero() && o.Came.Add(-o.Slack).After(n.terminated)
}

// Resume ends a drain by an order, and gives the one that it
// ended; nil if there was none, or the node has carried out a later order. It is
// denied once the node was told to end.
func (n *Node) Resume(o Order) (ended *Drain, denied bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.terminated.IsZero() {
		return nil, true
	}
	if n.overtaken(o) {
		return nil, false
	}
	ended, n.drain = n.drain, nil
	return ended, false
}

// Drained is the drain that is in force; nil if none is.
func (n *Node) Drained() *Drain {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.drain
}

// AnswersDue tells whether all that was taken on before the drain has to have
// its answer by now.
func (d *Drain) AnswersDue(now time.Time) bool { return now.Sub(d.Since) >= d.plan.Answer }

// MayOpen tells whether a request may be opened that came on a connection
// accepted then. A drained node refuses those of newer connections.
func (n *Node) MayOpen(accepted time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.drain == nil || accepted.Before(n.drain.begun)
}

// ConnectionPhase is how far the node's end, or its drain, has come for a
// client's connection that was accepted then: the later of the two where both
// go on, and never one before Closing in a drain.
func (n *Node) ConnectionPhase(now, accepted time.Time) Phase {
	return n.connectionPhase(now, accepted, newcomerPlan)
}

// CallPhase is ConnectionPhase for a connection on which an operator's call has
// begun, which may come in pieces.
func (n *Node) CallPhase(now, accepted time.Time) Phase {
	return n.connectionPhase(now, accepted, callPlan)
}

// connectionPhase goes by a plan for connections that are made in a drain.
func (n *Node) connectionPhase(now, accepted time.Time, newcomer ShutdownPlan) Phase {
	n.mu.Lock()
	defer n.mu.Unlock()
	phase := n.phase(now)
	if n.drain == nil {
		return phase
	}
	plan, since := n.drain.plan, n.drain.Since
	if !accepted.Before(n.drain.begun) {
		plan, since = newcomer, accepted
	}
	return max(phase, plan.phase(now.Sub(since), true))
}
