package rig

import (
	"fmt"
	"slices"
	"time"

	"indigotack/internal/standin"
)

// What operators expect of a node that they order to drain or to resume.
const (
	orderAnswer  = 50 * time.Millisecond   // from an order to its answer
	notReadyTime = 100 * time.Millisecond  // from an order to drain to the node being not ready
	readyAgain   = 300 * time.Millisecond  // from an order to resume to the node being ready
	refusalTime  = 300 * time.Millisecond  // from a request at a drained node to its refusal
	newcomerTime = 500 * time.Millisecond  // for a connection that was made after the order to drain
	resumeLooked = time.Second             // within which a node that resumed is looked at
	listenTime   = 1500 * time.Millisecond // from a node's start to operators' address, at the latest
	accountTime  = 500 * time.Millisecond  // from a refusal to the line of the log that tells of it
)

// operatorDrain is a time in which operators had a node drained. It counts from
// the call, whether or not the node answered it.
type operatorDrain struct {
	node     string
	from, to int64 // to: the order to resume, or the node's end
	limit    int64 // when all that clients had at the node is over
	resumed  bool  // it ended by a resume
	ready    bool  // the node was ready before
}

// heldConnection is one that a client held.
type heldConnection struct {
	id, node, use string
	made, ended   int64
}

func (h *History) operators() (looked int, found []Violation) {
	orders := h.operatorOrders()
	drains := h.operatorDrains(orders)
	judges := []func(*findings) int{
		func(f *findings) int { return h.judgeOrders(f, orders) },
		h.judgeMisreads,
		h.judgeStated,
		func(f *findings) int { return h.judgePolls(f, drains) },
		func(f *findings) int { return h.judgeHeld(f, drains) },
		func(f *findings) int { return h.judgeDrainedRequests(f, drains) },
	}
	if h.untimed() {
		judges = judges[:3] // what is answered, and logged at all, is no matter of time
	}
	for _, judge := range judges {
		f := &findings{h: h, name: "operators"}
		looked += judge(f)
		found = append(found, f.all...)
	}
	return looked, found
}

// excusedAtDrain tells whether what became of a request says nothing of how its
// node drains.
func (h *History) excusedAtDrain(r *requestLog) bool {
	from, to := r.asked-int64(stallNotice), r.answered
	return to == 0 || anyMeets(h.away[r.node], from, to) || anyMeets(h.starved[r.node], from, to) || anyMeets(h.wrong[[2]string{Clients, r.node}], from, to)
}

// operatorDrains are the times in which nodes were drained, by their orders. A
// node that starts again is ready, and one that was told to end drains for that.
func (h *History) operatorDrains(orders []*operatorOrder) (all []operatorDrain) {
	open, ready := map[string]*operatorDrain{}, map[string]bool{}
	end := func(node string, at int64, resumed bool) {
		if d := open[node]; d != nil {
			d.to, d.resumed = at, resumed
			all = append(all, *d)
			delete(open, node)
		}
	}
	byID := map[string]*operatorOrder{}
	for _, o := range orders {
		byID[o.id] = o
	}
	for i := range h.Events {
		e := &h.Events[i]
		if e.At > h.end {
			break
		}
		switch e.What {
		case Polled:
			ready[e.Node] = e.Text == pollReady
		case Ordered:
			if e.Text == "killed" || e.Text == killedAtLast {
				end(e.Node, e.At, false)
			}
		case Down, Up:
			end(e.Node, e.At, false)
		case Commanded:
			switch o := byID[e.ID]; {
			case o.is(resumePath) && o.termed == 0:
				end(e.Node, e.At, h.reached(o))
			case o.is(quiescePath) && o.termed == 0 && open[e.Node] == nil && h.reached(o):
				open[e.Node] = &operatorDrain{node: e.Node, from: e.At, limit: h.drainLimit(e.Node, e.At), ready: ready[e.Node]}
			}
		}
	}
	for i := range h.Plan.Nodes {
		end(nodeName(i), h.end, false)
	}
	return all
}

// drainLimit is when what a node's clients had is over that was drained at a
// time: as long after it as a platform waits after SIGTERM. A node that stands
// still then is judged as it wakes.
func (h *History) drainLimit(node string, from int64) int64 {
	limit := h.awake(node, from+int64(h.Plan.earliestKill()+slack))
	return limit + int64(h.lateness(limit-int64(settleTime), limit))
}

// notReadyFrom is from when on a drained node says so, and takes nothing on.
func (h *History) notReadyFrom(d operatorDrain) int64 {
	from := h.awake(d.node, d.from)
	return from + int64(notReadyTime+h.lateness(from, from+int64(notReadyTime)))
}

// awake is a time, or when the node runs again that was away then.
func (h *History) awake(node string, at int64) int64 {
	for moved := true; moved; {
		moved = false
		for _, s := range h.away[node] {
			if s.from <= at && at < s.to {
				at, moved = s.to, true
			}
		}
	}
	return at
}

func (h *History) judgePolls(f *findings, drains []operatorDrain) (looked int) {
	for i := range h.Events {
		e := &h.Events[i]
		if e.What != Polled || e.At > h.end {
			continue
		}
		asked := e.At - int64(e.N*1e9)
		for j, d := range drains {
			if d.node != e.Node || anyMeets(h.starved[d.node], asked, e.At) {
				continue
			}
			if h.notReadyFrom(d) <= asked && e.At <= d.to {
				if looked++; e.Text == pollReady {
					f.add(e.Node, e.At, "%s said that it is ready %v after %s", e.Node, h.after(asked, d.from), quiescePath)
				}
			}
			if d.resumed && d.ready && h.looksAfterResume(d, asked, e.At) && !h.drainedAgain(drains[j+1:], d, e.At) {
				if looked++; e.Text != pollReady {
					f.add(e.Node, e.At, "%s is not ready %v after %s: %s", e.Node, h.after(asked, d.to), resumePath, e.Text)
				}
			}
		}
	}
	return looked
}

// looksAfterResume tells whether a node that has resumed has to say that it is
// ready, asked and answered at these times.
func (h *History) looksAfterResume(d operatorDrain, asked, answered int64) bool {
	from := d.to + int64(readyAgain+h.lateness(d.to, answered))
	return from <= asked && asked <= d.to+int64(readyAgain+resumeLooked) && !anyMeets(h.away[d.node], d.to, answered) && !h.toldToEnd(d.node, d.to, answered)
}

// drainedAgain tells whether a node was drained once more by a time.
func (h *History) drainedAgain(later []operatorDrain, d operatorDrain, at int64) bool {
	return slices.ContainsFunc(later, func(next operatorDrain) bool { return next.node == d.node && next.from <= at })
}

// toldToEnd tells whether a node has been told to end within a time, or before it and runs still.
func (h *History) toldToEnd(node string, from, to int64) bool {
	termed := false
	for i := range h.Events {
		e := &h.Events[i]
		if e.At > to {
			break
		}
		if e.Node == node {
			switch {
			case e.What == Ordered && e.Text == "terminated":
				termed = true
			case e.What == Up && e.At < from:
				termed = false
			}
		}
	}
	return termed
}

// after is how long a time is after another, for a finding's text.
func (h *History) after(at, from int64) time.Duration {
	return time.Duration(at - from).Round(time.Millisecond)
}

// newcomerLimit is when a connection that was made in a drain has to have ended. A
// node that stands still accepts it, or ends it, when it runs again.
func (h *History) newcomerLimit(c heldConnection) int64 {
	accepted := h.awake(c.node, c.made)
	return h.awake(c.node, accepted+int64(newcomerTime))
}

// judgeHeld looks for connections that clients held past a drain's time.
func (h *History) judgeHeld(f *findings, drains []operatorDrain) (looked int) {
	for _, c := range h.heldConnections() {
		for _, d := range drains {
			limit := d.limit
			if made := h.newcomerLimit(c); made > limit {
				limit = made + int64(h.lateness(c.made, made))
			}
			if c.node != d.node || c.ended < d.from || d.to <= limit {
				continue
			}
			to := min(c.ended, d.to)
			if anyMeets(h.starved[d.node], limit, to) || anyMeets(h.wrong[[2]string{Clients, d.node}], d.from, to) {
				continue
			}
			if looked++; c.made < d.to && c.ended > limit {
				f.add(d.node, limit, "%s holds a connection (%s, %s) %s after %s", d.node, c.use, c.id, h.heldFor(c, d), quiescePath)
			}
		}
	}
	return looked
}

// heldFor is for how long into a drain a connection was held.
func (h *History) heldFor(c heldConnection, d operatorDrain) string {
	if c.ended < d.to {
		return fmt.Sprint(h.after(c.ended, d.from))
	}
	return fmt.Sprintf("%v and more", h.after(d.to, d.from))
}

// heldConnections are those that clients held. One that its client ended says
// nothing from then on.
func (h *History) heldConnections() (all []heldConnection) {
	number := map[string]int{}
	for i := range h.Events {
		e := &h.Events[i]
		switch e.What {
		case Connected:
			number[e.ID] = len(all)
			all = append(all, heldConnection{e.ID, e.Node, e.Text, e.At, h.end})
		case Closed:
			if n, ok := number[e.ID]; ok {
				all[n].ended = min(e.At, h.end)
			}
		}
	}
	return all
}

func (h *History) judgeDrainedRequests(f *findings, drains []operatorDrain) (looked int) {
	for _, r := range h.order {
		for _, d := range drains {
			if d.node == r.node && d.from < max(r.asked, r.answered) && r.asked < d.to && !h.excusedAtDrain(r) {
				looked++
				h.judgeDrainedRequest(f, r, d)
			}
		}
	}
	return looked
}

// judgeDrainedRequest judges a request that was in hand, or was asked, in a drain.
func (h *History) judgeDrainedRequest(f *findings, r *requestLog, d operatorDrain) {
	limit, made, notReady := d.limit, r.asked-r.age, h.notReadyFrom(d)
	unanswered := r.how == standin.Crossed.String() || r.how == standin.Lost.String() || r.how == standin.Unreached.String()
	switch {
	case r.asked < limit && r.answered > limit && d.to > limit && made < notReady:
		f.add(d.node, r.answered, "%s held %s (%s, %s) for %v, until %v after %s: past its time", d.node, r.id, r.class.Name, r.how,
			r.duration().Round(time.Millisecond), h.after(r.answered, d.from), quiescePath)
	case r.asked >= limit && made < notReady && r.answered < d.to && !unanswered:
		f.add(d.node, r.asked, "%s still held the connection of %s (%s, %s) %v after %s", d.node, r.id, r.class.Name, r.how, h.after(r.asked, d.from), quiescePath)
	case made >= notReady && !unanswered:
		h.judgeNewcomer(f, r, d)
	}
}

// judgeNewcomer judges a request on a connection that was made at a drained node.
func (h *History) judgeNewcomer(f *findings, r *requestLog, d operatorDrain) {
	allowed := refusalTime + h.lateness(r.asked, r.answered)
	switch {
	case r.asked+int64(allowed) > d.to: // the resume may have come before
	case r.how != standin.Refused.String() && r.how != standin.Left.String():
		f.add(d.node, r.asked, "%s (%s) was %s, and came %v after %s on a new connection", r.id, r.class.Name, r.how, h.after(r.asked, d.from), quiescePath)
	case r.duration() > allowed:
		f.add(d.node, r.asked, "%s (%s) was %s after %v, and came %v after %s on a new connection", r.id, r.class.Name, r.how,
			r.duration().Round(time.Millisecond), h.after(r.asked, d.from), quiescePath)
	}
}
