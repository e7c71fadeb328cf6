package decide

// Which server a request is sent to: of two at random the one with the lower expected delay.

import (
	"math"
	"slices"
	"time"
)

const (
	drawTries = 16                    // draws from an index of servers before all are scanned
	barren    = 25 * time.Millisecond // after a scan that found no server, only draws are made for so long
	shedKeep  = 0.7                   // of q stays each period if nothing else lacks headroom
)

// open is the rule of placement, shared by the classes of a group.
func (g *group) open(s *server) bool {
	return (g.zones == nil || slices.Contains(g.zones, s.Zone)) &&
		(g.kinds == nil || slices.Contains(g.kinds, s.Kind))
}

// maySend holds every rule on sending; each send passes it.
func (m *Module) maySend(r *request, s *server) bool {
	if r.done || r.started || m.now >= r.deadline || len(r.attempts) >= r.most ||
		s.State != Ready || !r.class.group.open(s) || r.out >= 2 || r.out > 0 && !m.set.MayOverlap {
		return false
	}
	for i := range r.attempts {
		a, c := &r.attempts[i], r.class
		if a.server == s || a.mayRun && c.Effect != Safe && (c.Effect == Unsafe ||
			m.now+m.set.MinTick >= a.sent+c.DedupWindow || c.KeyScope == ScopeZone && s.Zone != a.zone ||
			c.KeyScope == ScopeCell && s.Cell != a.cell) {
			return false
		}
	}
	return true
}

// place is the one path in: a server for a first attempt or a further one, or the end. With no server normal
// a first one is shed by q2 and q1, or refused if too late to earn, and else goes to an overloaded one if it
// has priority over others, and waits here if it has not; further attempts cost retry budget.
func (m *Module) place(r *request) {
	g, n := r.class.group, len(r.attempts)
	passes := r.priority && g.others // those that wait
	s, mode := (*server)(nil), Overloaded
	if n > 0 || passes || g.inLine() == 0 {
		s, mode = m.pick(r)
	}
	if r.looking || mode != Normal && m.probe(r) {
		return
	}
	r.rounds, r.asked = 0, nil
	costly := n > 0 && r.attempts[n-1].mayRun
	if mode != Normal {
		g.crowdedAt = m.now
	}
	why := NoServer
	if mode == Overloaded {
		why = LineTooLong
	}
	switch {
	case n > 0 && (m.worthless(r, 0) || costly && m.budget < 1 || mode != Normal && (!r.priority)):
		s, why = nil, NoRetry
	case n == 0 && m.now < g.crowdedAt+recompute && m.worthless(r, m.mean*r.class.relative):
		s, why = nil, Late
	case n == 0 && mode == Overloaded && m.shed(r):
		s, why = nil, Shed
		if !g.others { // with nobody to protect, q falls while the line is short enough for all
			g.turned -= 1 - shedKeep
		}
	case n == 0 && mode == Blocking && m.sendProbeRequest(r, true):
		return
	case n == 0 && !g.hasHeadroom(mode) && (mode == Blocking || !passes) && m.enqueue(r):
		return
	}
	if sent := m.send(r, s, m.limit(r, s)); sent && costly {
		m.budget--
	} else if !sent && r.out == 0 {
		m.reject(r, why)
	}
}

// fit is a server's mode for a request; Blocking where the request may not have it.
func (m *Module) fit(r *request, s *server) Mode {
	mode := m.modeOf(r.class.group, s)
	if m.looks && s.reportAt >= r.lookAt &&
		(s.n/m.running+r.heavy*r.class.relative)*m.unit/m.rampFactor(s) > waitPart*r.class.Aim.Seconds() {
		mode = max(mode, Overloaded) // for a request so heavy
	}
	if mode != Blocking && m.overSlowStartBudget(s) {
		return Blocking
	}
	if r.held && mode == Normal && !m.fits(r, s) {
		return Overloaded
	}
	return mode
}

// two finds two random servers that may get a request, of normal ones or else of overloaded ones: among those
// that were asked, or else of those in reach. Where these are many they are drawn, and all looked at only if
// that finds none.
func (m *Module) two(r *request, asked []*server) (a, b *server, mode Mode) {
	g := r.class.group
	m.pool(g)
	first := len(r.attempts) == 0
	if g.on && asked == nil {
		if a, b, mode = m.draw(r, g); a != nil || first && m.now < g.barrenUntil {
			return a, b, mode
		}
	}
	a, b, mode = m.scan(r, g, asked)
	if a == nil && asked == nil && first {
		g.barrenUntil = m.now + barren
	}
	return a, b, mode
}

// draw tries the files of normal and overloaded servers. Cold ones are with the others at first, as they are
// when all are looked at; but where most are cold, and have spent their budgets, the warm are drawn alone.
func (m *Module) draw(r *request, g *group) (a, b *server, mode Mode) {
	for mode := Normal; mode <= Overloaded; mode++ {
		together := g.pooled && !m.looks // after looks servers tell of themselves
		if len(g.near) == 0 || together && g.mode != mode {
			continue
		}
		if !together && len(g.file[2*mode])+len(g.file[2*mode+1]) <= drawTries {
			m.few = append(append(m.few[:0], g.file[2*mode]...), g.file[2*mode+1]...)
			if a, b = m.ofFew(r, mode); a != nil {
				return a, b, mode
			}
			continue
		}
		for try := range drawTries {
			s := m.one(g, mode, together, try < drawTries/2)
			if s == nil || s == a || !m.usable(r, s, mode) {
				continue
			}
			if a != nil {
				return a, s, mode
			}
			a = s
		}
		if a != nil {
			return a, a, mode
		}
	}
	return nil, nil, Blocking
}

// one draws a server from the files of a mode, or where all are judged together from all in reach.
func (m *Module) one(g *group, mode Mode, together, both bool) *server {
	if together {
		return g.near[int(m.random()*float64(len(g.near)))]
	}
	warm, cold := g.file[2*mode], g.file[2*mode+1]
	n := len(warm)
	if both || n == 0 {
		n += len(cold)
	}
	if n == 0 {
		return nil
	}
	i := int(m.random() * float64(n))
	if i < len(warm) {
		return warm[i]
	}
	return cold[i-len(warm)]
}

// usable judges one that was drawn; its file may be late.
func (m *Module) usable(r *request, s *server, mode Mode) bool {
	if s.ejected || !m.maySend(r, s) {
		return false
	}
	if m.fit(r, s) == mode {
		return true
	}
	m.touch(s)
	return false
}

// ofFew picks two of m.few.
func (m *Module) ofFew(r *request, mode Mode) (a, b *server) {
	m.few = slices.DeleteFunc(m.few, func(s *server) bool { return !m.usable(r, s, mode) })
	return m.anyTwo(m.few)
}

func (m *Module) anyTwo(of []*server) (a, b *server) {
	n := float64(len(of))
	if n == 0 {
		return nil, nil
	}
	i := int(m.random() * n)
	return of[i], of[(i+1+int(m.random()*(n-1)))%len(of)]
}

// scan looks at all servers in reach, or at those that were asked.
func (m *Module) scan(r *request, g *group, asked []*server) (a, b *server, mode Mode) {
	m.found[Normal], m.found[Overloaded] = m.found[Normal][:0], m.found[Overloaded][:0]
	from, size := asked, len(asked)
	if asked == nil {
		if from = m.narrow(r, g); from == nil && g.on {
			from = g.near
		}
		if size = len(from); from == nil {
			size = len(g.ring)
		}
	}
	for i, seen := 0, 0; i < size && seen < int(g.reach); i++ {
		var s *server
		if from != nil {
			s = from[i]
		} else {
			s = g.at(i)
		}
		if s.ejected || !m.maySend(r, s) {
			continue
		}
		seen++
		if mode := m.fit(r, s); mode != Blocking {
			m.found[mode] = append(m.found[mode], s)
		}
	}
	for mode, pool := range m.found {
		if a, b = m.anyTwo(pool); a != nil {
			return a, b, Mode(mode)
		}
	}
	return nil, nil, Blocking
}

// narrow is the servers of the cell that a keyed request must stay in; nil if it need not.
func (m *Module) narrow(r *request, g *group) []*server {
	c := r.class
	if !g.on || c.Effect != Keyed || c.KeyScope != ScopeCell {
		return nil
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; a.mayRun {
			if m.cells == nil {
				m.cells = map[int][]*server{}
				for _, s := range m.ring {
					m.cells[s.Cell] = append(m.cells[s.Cell], s)
				}
			}
			if cell := m.cells[a.cell]; cell != nil {
				return cell
			}
			return []*server{}
		}
	}
	return nil
}

// pick is the ordinary path: of two random normal servers, else overloaded ones, the lower delay wins. Where
// the node looks first, of those that have answered.
func (m *Module) pick(r *request) (*server, Mode) {
	var asked []*server
	if m.looks {
		asked = append([]*server{}, r.asked...)
	}
	best, other, mode := m.two(r, asked)
	delay := func(s *server) float64 { return (s.n + 1) * math.Max(1e-6, m.latencyOf(s)) } // 0 at first
	if mode != Blocking && delay(other) < delay(best) {
		best = other
	}
	return best, mode
}
