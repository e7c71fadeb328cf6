package decide

// The module: events in, actions out. The interface (settings, events, actions) is in api.go, what is
// kept in state.go; docs/design.md says why all is as it is.

import (
	"math"
	"slices"
	"time"
)

const (
	tickEvery   = 25 * time.Millisecond  // between regular checks: well under any aim
	recompute   = 500 * time.Millisecond // the paper's period: many arrivals, yet far shorter than a trouble
	askedTau    = 1.0                    // s; over which the requests asked of a server are smoothed
	retryBudget = 0.1                    // further attempts for each arrival, and half as many probes: no storm
	retryBurst  = 10.0                   // attempts; what the budget may save up
	longTau     = 2.0                    // s; over which arrivals without headroom are smoothed
	classGain   = 0.02                   // weight of one answer over all servers, where samples are many
	holdPart    = 0.15                   // part of the aim a refused client is told to wait, jittered
)

// Handle takes an event and returns what is to be done about it, in order.
func (m *Module) Handle(now Time, e Event) []Action {
	m.now, m.out = now, nil
	timer := SetTimer{After: max(tickEvery, m.set.MinTick)}
	if !m.ticking {
		m.ticking, m.askWait, m.askAt = true, askFirst, now+m.jitter(askFirst)
		m.beginPeriod()
		m.looks = m.set.MayProbe && m.set.ReportVia == ReportProbe && 2*m.set.Prices.Probe <= probePoints
		m.do(timer)
	}
	switch e := e.(type) {
	case RequestArrived:
		m.requestArrived(e)
	case ListUpdate:
		m.updateEndpoints(e)
	case AttemptEnded:
		m.attemptEnded(e)
	case StreamStarted:
		if r := m.requests[e.ID]; r != nil && e.Attempt >= 0 && e.Attempt < len(r.attempts) {
			r.started = true
			m.observe(&r.attempts[e.Attempt], r, e.Elapsed)
		}
	case RequestAbandoned:
		m.close(m.requests[e.ID])
	case SettingsChanged:
		m.configure(e.Settings)
		m.resync()
		m.evaluate()
	case Drained:
		m.drainChanged(e.On)
	case ProbeEnded:
		m.probeEnded(e)
	case TimerFired:
		if e.Token != lookToken {
			m.tick()
			m.do(timer)
		}
		m.finishProbes()
	}
	for _, g := range m.groups {
		m.serveQueue(g)
	}
	return m.out
}

// finish gives the final answer where no server did, a refusal if it may, with a jittered hold-off.
func (m *Module) finish(r *request, why Cause) {
	wait := min(m.jitter(time.Duration(holdPart*float64(r.class.Aim))), m.set.MaxHoldOff)
	if m.mayRefuse(r) {
		m.do(Refuse{ID: r.id, HoldOff: wait, Cause: why})
	} else {
		m.do(Fail{ID: r.id, Cause: why})
	}
	m.close(r)
}

func (m *Module) close(r *request) {
	if r == nil || r.done {
		return
	}
	r.done = true
	r.dequeue()
	for i, a := range r.attempts {
		if m.set.MayCancel && !a.ended && !r.started {
			m.do(CancelAttempt{ID: r.id, Attempt: i})
		}
	}
	if r.out == 0 {
		delete(m.requests, r.id)
	}
}

func (m *Module) requestArrived(e RequestArrived) {
	c := m.classOf(e.Class)
	r := &request{id: e.ID, class: c, arrived: m.now, deadline: m.now + e.Patience}
	r.most = max(1, m.set.MaxAttempts)
	if e.Repeat { // its client has waited for so long at most
		r.spent = max(0, c.Deadline-e.Patience)
	}
	if r.heavy = 1; e.HasHint && e.WorkHint > 0 {
		c.hints++
		c.hint += max(classGain, 1/c.hints) * (e.WorkHint.Seconds() - c.hint)
		r.heavy = e.WorkHint.Seconds() / c.hint
	}
	m.requests[e.ID], m.open = r, append(m.open, r)
	r.priority = m.random() < rank(c.Worth, c.group.top) && !m.worthless(r, 0)
	t := m.tenants[e.Tenant] // over its share a request is worth little
	r.priority = (t == nil || t.within(m.now)) && r.priority
	if c.group.n2++; r.priority {
		c.group.n1, c.group.n2 = c.group.n1+1, c.group.n2-1
	}
	m.budget = math.Min(retryBurst, m.budget+retryBudget)
	m.probeBudget = math.Min(1, m.probeBudget+retryBudget/2)
	if m.probeBudget < 1 || !m.sendProbeRequest(r, false) {
		m.place(r)
	}
}

func (m *Module) tick() {
	m.evaluate()
	least := quickPart * m.tight
	if math.IsInf(least, 1) {
		least = 0
	}
	m.silent = slices.DeleteFunc(m.silent, func(s *server) bool {
		if s.unanswered >= muteAt && m.mean > 0 &&
			(m.now-s.muteSince).Seconds() > math.Max(muteFactor*m.usual(s), least) && s.State != Gone {
			m.eject(s, "no answer") // to several sends, when the fleet's mean request is long done
		}
		s.watched = s.unanswered >= muteAt && s.State != Gone
		return !s.watched
	})
	m.ejectedServers = slices.DeleteFunc(m.ejectedServers, func(s *server) bool {
		s.enlisted = s.ejected && s.State != Gone
		return !s.enlisted
	})
	lapsed := 0
	for ; lapsed < len(m.lapsing) && m.now >= m.lapsing[lapsed].at; lapsed++ {
		m.touch(m.lapsing[lapsed].server)
	}
	m.lapsing = slices.Delete(m.lapsing, 0, lapsed)
	for _, g := range m.groups {
		if m.pool(g); g.on {
			fill := g.sumFill
			if g.pooled {
				fill = g.fill * float64(len(g.near))
			}
			g.filled, g.ticks = g.filled+fill, g.ticks+float64(len(g.near))
			continue
		}
		for _, s := range g.near {
			m.modeOf(g, s)
			g.filled, g.ticks = g.filled+s.fill, g.ticks+1
		}
	}
	open := m.open[:0]
	for _, r := range m.open {
		m.discountOverdue(r)
		if !r.done && !r.started && m.now >= r.deadline {
			m.finish(r, Expired) // guards against an outcome that never comes
		}
		if !r.done {
			open = append(open, r)
		}
	}
	m.open = open
	if !m.drained && m.now-m.periodAt >= recompute {
		m.beginPeriod()
		for _, g := range m.groups { // what found no room, and what was beyond H; other requests go first
			if g.n2 > 0 { // else none may go beyond H
				g.turned += g.n1 * g.filled / math.Max(1, g.ticks)
			}
			q := math.Min(1, g.turned/math.Max(1, g.n1+g.n2))
			g.q1, g.q2 = ShedSplit(q, g.n1, g.n2)
			g.long += (q - g.long) * (1 - decay(recompute, longTau))
			g.asked += ((g.n1+g.n2)*m.mean/recompute.Seconds() - g.asked) * (1 - decay(recompute, askedTau))
			g.others, g.n1, g.n2, g.turned, g.filled, g.ticks = g.n2 > 0, 0, 0, 0, 0, 0
		}
		m.updateSubsets()
	}
	if m.set.AskForList && !m.subscribed && m.now >= m.askAt {
		m.asking, m.askAt = true, m.now+m.set.AskWithin/4
		m.do(Subscribe{On: true})
	}
}
