package decide

// The queue of requests that wait at the node for a server with headroom.

import (
	"math"
	"slices"
	"time"
)

const (
	holdMost  = 0.4  // part of its aim that a request may be queued
	holdCount = 4096 // requests that may be queued ahead of one
	holdOpen  = 0.6  // part of the requests that can be open, from which none is queued
)

// enqueue has a request wait here for a server in reach to be normal, as a queue that goes by worth beats
// those at the servers. None waits that would wait too long behind those before it: it is refused at once.
func (m *Module) enqueue(r *request) bool {
	g := r.class.group
	line := 1
	if r.priority {
		line = 0
	}
	wait, most := m.queueDelay(r)
	tooLong := wait >= most.Seconds() && m.now >= g.lineAt+recompute // at first H may have to grow
	room := holdOpen * float64(m.set.MaxOpen)
	packed := g.waiting[line] >= holdCount || room > 0 && float64(len(m.requests)) > room
	if m.looks || !g.well() || packed || most <= 0 || tooLong {
		return false
	}
	r.held, r.line, r.until = true, line, m.now+most
	if g.inLine() == 0 {
		g.lineAt, g.soonest = m.now, r.until
	}
	g.soonest = min(g.soonest, r.until)
	g.waiting[line]++
	g.lines[line] = append(g.lines[line], r)
	return true
}

// queueDelay is how long a request would wait here, s, and how long it may. By Little's law as many leave the
// servers in a mean latency as are there, or as there is room for.
func (m *Module) queueDelay(r *request) (wait float64, most time.Duration) {
	g, before := r.class.group, r.class.group.inLine()
	if r.priority {
		before = g.waiting[0]
	}
	aim := r.class.Aim
	if !r.priority { // classes of one worth wait for as long: who may wait longer would take all the room
		aim = min(aim, g.aim)
	}
	most = time.Duration(holdMost*float64(aim)) - r.spent
	most = max(0, min(most, r.deadline-m.now-2*max(tickEvery, m.set.MinTick)))
	return m.mean * float64(before+1) / math.Max(1, math.Max(g.held, g.room)), most
}

// hasHeadroom tells whether one that waits may go to a server of the mode. Where this node has nothing in
// hand an H rounded down to none is no overload, and nothing would end to make a server normal.
func (g *group) hasHeadroom(mode Mode) bool {
	return mode == Normal || mode == Overloaded && g.held < 1
}

// fits tells whether a server that is normal is so for one that waits: with a line there is always another
// for the room up to H, and priority ones would find servers above it.
func (m *Module) fits(r *request, s *server) bool {
	g := r.class.group
	switch {
	case g.held < 1:
		return true
	case g.pooled:
		return g.held < m.queueShare(r)*g.room
	}
	return s.n < m.rounded(s, m.queueShare(r)*s.high)
}

// dequeue takes a request out of the count of those that wait; its place in the line stays for now.
func (r *request) dequeue() {
	if r.held {
		r.held = false
		r.class.group.waiting[r.line]--
	}
}

// serveQueue ends the wait of those whose time is up, and sends others, priority ones first, as far as
// servers are normal.
func (m *Module) serveQueue(g *group) {
	if g.inLine() > 0 && m.now >= g.soonest {
		g.soonest = math.MaxInt64
		for line := range g.lines {
			g.lines[line] = slices.DeleteFunc(g.lines[line], func(r *request) bool {
				if r.held && m.now >= r.until {
					m.reject(r, Waited)
				} else if r.held {
					g.soonest = min(g.soonest, r.until)
				}
				return !r.held
			})
		}
	}
	for line := range g.lines {
		for len(g.lines[line]) > 0 {
			r := g.lines[line][0]
			if r.held {
				s, mode := m.pick(r)
				if !g.hasHeadroom(mode) && g.well() {
					return
				}
				if r.dequeue(); !m.send(r, s, m.limit(r, s)) && !m.sendProbeRequest(r, true) {
					m.reject(r, NoServer)
				}
			}
			g.lines[line][0] = nil
			g.lines[line] = g.lines[line][1:]
		}
	}
}
