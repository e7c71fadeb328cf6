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

// orderSlack is by how much an order may seem to have come before another that
// it followed, as the kernel tells such times in ticks.
const orderSlack = 10 * time.Millisecond

// overtaken tells whether an order that came then is read behind one that came
// later, as a process does that stood still. The caller holds mu.
func (n *Node) overtaken(came time.Time) bool {
	if came.Add(orderSlack).Before(n.orderedAt) {
		return true
	}
	n.orderedAt = came
	return false
}

// Drain begins a drain now, by an order that came then, and gives it. It is nil,
// and nothing changes, where the node is drained already, was told to end, or has
// carried out a later order.
func (n *Node) Drain(came, now time.Time, by string, plan ShutdownPlan) *Drain {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.terminated.IsZero() || n.overtaken(came) || n.drain != nil {
		return nil
	}
	n.drain = &Drain{Since: came, By: by, begun: now, plan: plan}
	return n.drain
}

// Resume ends a drain by an order that came then, and gives the one that it
// ended; nil if there was none, or the node has carried out a later order. It is
// denied once the node was told to end.
func (n *Node) Resume(came time.Time) (ended *Drain, denied bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.terminated.IsZero() {
		return nil, true
	}
	if n.overtaken(came) {
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
