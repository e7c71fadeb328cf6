package decide

// The list of servers: what is listed, outdated and removed.

import (
	"slices"
	"time"
)

const (
	manyPart = 32                     // changes by more than such a part of the list are a whole list
	askFirst = 200 * time.Millisecond // before a list is asked for again; doubles
)

func (m *Module) updateEndpoints(e ListUpdate) {
	if e.Kind == ListFailed {
		m.subscribed, m.asking, m.askAt = false, false, m.now+m.jitter(m.askWait)
		m.askWait = min(2*m.askWait, max(askFirst, m.set.AskWithin/4))
		return
	}
	if e.Kind != ListCached && m.asking {
		m.subscribed, m.asking, m.askWait = true, false, askFirst
	}
	whole := e.Kind != ListChanges || len(m.ring) <= m.scanUpTo || manyPart*len(e.Entries) > len(m.ring)
	if e.Kind != ListChanges {
		for _, s := range m.ring {
			s.State = Gone
		}
	}
	for _, n := range e.Entries {
		s := m.serverOf(n.ID)
		if n.State == Ready && n.StartedAt > s.StartedAt { // nothing learned of an older process holds
			s.ejected, s.failures, s.unanswered, s.imposedUntil = false, 0, 0, m.now
			s.unreachable, s.unreached = false, 0
			m.beginSlowStart(s, n.StartedAt)
		}
		if s.listed && !whole && n.State != Gone && (n.Zone != s.Zone || n.Kind != s.Server.Kind) {
			m.remove(s) // it may be open to other classes now
			s.listed = false
		}
		if s.Server, s.kind = n, m.kindOf(n.Kind); n.State != Ready {
			m.do(CloseIdle{Server: s.ID}) // those in use follow as they end
			m.drop(s)
		}
		switch {
		case whole:
		case n.State == Gone:
			m.forget(s)
			m.remove(s)
		case !s.listed:
			s.listed = true
			m.insert(s)
		default:
			m.markOutdated()
		}
	}
	if m.cells = nil; !whole {
		m.updateSubsets() // who is in reach waits for the next round of checks, as changes come in bursts
		return
	}
	m.resync()
	m.evaluate()
}

// forget ends what is known of a server that is gone. Its attempts still know it; ids change for months.
func (m *Module) forget(s *server) {
	s.listed, s.ejected = false, false
	delete(m.known, s.ID)
}

func (m *Module) markOutdated() {
	for _, g := range m.groups {
		g.stale = true
	}
}

// resync renews the rings from all that is known.
func (m *Module) resync() {
	for _, g := range m.groups {
		m.empty(g)
	}
	m.ring = m.ring[:0]
	for _, s := range m.known {
		if s.listed = s.State != Gone; s.listed {
			m.ring = append(m.ring, s)
			continue
		}
		m.forget(s)
	}
	sortRing(m.ring)
	for _, g := range m.groups {
		if g.ring = m.ring; g.placed() {
			g.ring = slices.DeleteFunc(slices.Clone(m.ring), func(s *server) bool { return !g.open(s) })
		}
		g.own = slices.DeleteFunc(slices.Clone(g.ring), func(s *server) bool { return s.Zone != m.set.Zone })
	}
	m.updateSubsets()
}
