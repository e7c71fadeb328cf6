package decide

// Attempts: sending, their time limits, and whether a request is sent again.

import (
	"math"
	"time"
)

const (
	failingGain = 0.005 // weight of one attempt in the share of attempts that fail
	overdueAt   = 10.0  // usual latencies after which an attempt is no load any more: tails are long
	limitAt     = 15.0  // usual latencies after which an attempt is given up that can be made again
	quickPart   = 0.1   // part of an aim under which no delay is a server's silence
)

// send is the only way to a server.
func (m *Module) send(r *request, s *server, timeout time.Duration) bool {
	if s == nil || !m.maySend(r, s) {
		return false
	}
	r.attempts = append(r.attempts, attempt{server: s, zone: s.Zone, cell: s.Cell,
		sent: m.now, mayRun: true, ahead: s.n})
	r.out++
	s.n++
	s.tokens--
	if s.unanswered++; s.unanswered == 1 {
		s.muteSince = m.now
	}
	if s.unanswered >= muteAt && !s.watched {
		s.watched, m.silent = true, append(m.silent, s)
	}
	m.touch(s)
	m.do(Send{ID: r.id, Server: s.ID, Timeout: min(timeout, r.deadline-m.now)})
	return true
}

// limit is how long an attempt may take. One that may be made again is given up when hardly any answer takes
// so long, if another can still come within the aim: a silent server must not take all of a request's time.
func (m *Module) limit(r *request, s *server) time.Duration {
	if s == nil || r.class.Effect == Unsafe || !m.learned || !m.set.MayCancel {
		return r.deadline
	}
	usual, spent := m.usual(s)*r.class.relative, r.spent+m.now-r.arrived
	if m.worthless(r, 0) || spent.Seconds()+(limitAt+muteFactor)*usual > r.class.Aim.Seconds() {
		return r.deadline
	}
	// It may have become slow for good.
	return time.Duration((1 + s.failures) * m.due(s, r, limitAt) * float64(time.Second))
}

func (m *Module) attemptEnded(e AttemptEnded) {
	r := m.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := &r.attempts[e.Attempt]
	a.ended, a.mayRun = true, !e.Code.NeverRan()
	if r.out--; a.uncounted && e.Code == TimedOut {
		m.mute += failingGain * (m.due(a.server, r, overdueAt) - m.mute)
	}
	m.uncount(a)
	if a.server.State != Ready {
		m.do(CloseIdle{Server: a.server.ID}) // its connection carries nothing now
	}
	m.reported(a.server, e.Report)
	if e.Code == OK {
		m.mute -= failingGain * m.mute
		m.failing -= failingGain * m.failing
	} else if e.Code == ServerError || e.Code == TimedOut || e.Code == Reset {
		m.failing += failingGain * (1 - m.failing)
	}
	m.recordOutcome(a.server, r, e)
	switch {
	case r.done && r.out == 0:
		delete(m.requests, r.id)
	case e.Over:
		m.close(r)
	case e.Code == Unusable && !r.done: // by any other server as well
		m.do(Fail{ID: r.id, Cause: NoRetry})
		m.close(r)
	case r.out == 0:
		m.place(r)
	}
}

// discountOverdue takes attempts that have long been due out of the counts. An answer that never comes is no
// load: a few silent ones, each held to its deadline, would make every server look full.
func (m *Module) discountOverdue(r *request) {
	if r.out == 0 || r.started || m.mean == 0 {
		return
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.uncounted && (m.now-a.sent).Seconds() > m.due(a.server, r, overdueAt) {
			m.uncount(a)
		}
	}
}

// due is so many times what the server takes for such a request, s, and no moment's delay, of which this
// node's own may be the most.
func (m *Module) due(s *server, r *request, times float64) float64 {
	return math.Max(times*m.usual(s)*r.class.relative, quickPart*r.class.Aim.Seconds())
}
