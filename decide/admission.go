package decide

// Which requests are admitted and which refused, by worth, and probes before a send.

import (
	"math"
	"slices"
	"time"
)

const (
	lookToken   = 1                    // of the timer that ends a round of probes; regular checks have 0
	probePoints = 0.005                // of the result, that probing before each send may cost
	probeWait   = 5 * time.Millisecond // for answers to probes: some round trips, far under any aim
	probeRounds = 3                    // probes of two more servers before all count as full
	worthCut    = 0.1                  // part of the top worth up to which no request counts as priority
	linePressed = 0.1                  // arrivals without headroom from which the queue fills servers to L alone
	longPressed = 0.35                 // the same over longTau, for a long overload
	longMost    = 0.7                  // of q2 that a long overload gives however short the queue
	pressPart   = 0.8                  // part of the queue delay allowed at which all of q2 holds
)

// rank is the part of a class's requests that count as priority ones: graded by worth over the top worth.
func rank(worth, top float64) float64 {
	return math.Max(0, (worth/math.Max(top, 1e-9)-worthCut)/(1-worthCut))
}

// mayRefuse: a refusal promises that a new try does no harm.
func (m *Module) mayRefuse(r *request) bool {
	ran := slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.mayRun })
	return !ran || r.class.Effect == Safe || r.class.Effect == Keyed && r.class.KeyScope == ScopeAll
}

// probe asks two more servers for their load and holds the request until they answer or probeWait is up. Acts
// where reports come by probes alone and are cheap: with many nodes own counts, of 0 or 1, tell nothing.
func (m *Module) probe(r *request) bool {
	a, b, mode := m.two(r, nil)
	if !m.looks || r.rounds >= probeRounds || mode == Blocking {
		return false
	}
	r.looking, r.rounds, r.lookAt, r.asked = true, r.rounds+1, m.now, slices.Compact([]*server{a, b})
	m.looking = append(m.looking, r)
	for _, s := range r.asked {
		m.do(Probe{Server: s.ID})
	}
	m.do(SetTimer{After: max(probeWait, m.set.MinTick), Token: lookToken})
	return true
}

// probeEnded takes the answer to a probe. A server that fails to answer one has failed like a request.
func (m *Module) probeEnded(e ProbeEnded) {
	if s := m.known[e.Server]; s != nil {
		if m.reported(s, e.Report); e.Code != OK {
			m.recordFailure(s, e.Code, false)
		}
	}
	m.finishProbes()
}

// finishProbes ends the looks that have all their answers, or have waited long enough.
func (m *Module) finishProbes() {
	waiting := m.looking
	m.looking = nil
	for _, r := range waiting {
		late := func(s *server) bool { return s.reportAt < r.lookAt }
		if m.now < r.lookAt+probeWait && slices.ContainsFunc(r.asked, late) {
			m.looking = append(m.looking, r)
		} else if r.looking, r.asked = false, slices.DeleteFunc(r.asked, late); !r.done {
			m.place(r)
		}
	}
}

// shed drops by q1, or by more of q2 the more the line takes of the wait allowed: while few wait and few were
// turned away lately, who is dropped would soon have found room. It may be over q2, or no line would shrink.
func (m *Module) shed(r *request) bool {
	g := r.class.group
	if r.priority {
		return m.random() < g.q1
	}
	wait, most := m.queueDelay(r)
	part := wait/math.Max(1e-9, pressPart*most.Seconds()) + math.Min(longMost, g.long/longPressed)
	return m.random() < g.q2*part*part
}

// queueShare is up to which part of H the queue fills servers: all, or towards L where some requests found no
// headroom lately or, where others send as well, it grows: priority work needs what is left.
func (m *Module) queueShare(r *request) float64 {
	wait, _ := m.queueDelay(r)
	grown := math.Min(1, m.sharers-1) * wait / (holdMost * min(r.class.Aim, r.class.group.aim).Seconds())
	pressed := math.Max(r.class.group.long/linePressed, grown)
	return 1 - (1-lowPart)*math.Min(1, pressed)
}

// reject ends a request for which there is no room, which counts for q.
func (m *Module) reject(r *request, why Cause) {
	if len(r.attempts) == 0 {
		r.class.group.turned++
	}
	m.finish(r, why)
}

// worthless tells that an answer so many seconds from now can be worth nothing any more.
func (m *Module) worthless(r *request, after float64) bool {
	spent := (r.spent + m.now - r.arrived).Seconds()
	return r.class.LateWorth == 0 && r.class.Aim > 0 && spent > 0 && spent+after >= r.class.Aim.Seconds()
}
