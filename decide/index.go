package decide

// What is kept of a large fleet so that a decision need not look at all of it: who is in reach, filed by
// mode, and sums over them. Nothing is decided here: hysteresis.go says what a mode is, and selection.go who
// may be sent to. A server is filed anew when its count, threshold or state changes, and else by rounds (see
// sweep), so that a file may be late by a round: whoever draws from one judges what was drawn.

import (
	"cmp"
	"slices"
)

const (
	scanUpTo  = 64  // servers in reach up to which looking at all of them costs no more than files of them
	sweepMost = 128 // servers that one round of checks renews: 10,000 take two seconds
)

// Files are by mode, and of each mode the cold ones apart.
const files = 2 * (int(Blocking) + 1)

// place is what one group keeps of a server.
type place struct {
	near, file          int32 // where it stands in the group's near and in its file; near < 0: not in reach
	in                  int8  // which file
	warm                bool
	round               uint32
	n, high, fill, rate float64 // as they are in the group's sums
}

// lapse is when an imposed mode may lapse.
type lapse struct {
	server *server
	at     Time
}

// index is a group's part.
type index struct {
	number                          int // the group's own among the module's
	on, stale                       bool
	round                           uint32
	cursor                          int       // of the sweep
	own                             []*server // of the ring, those in this node's zone
	ownFrom                         int       // this node's place among them
	file                            [files][]*server
	sumN, sumHigh, sumFill, sumRate float64
	warm                            float64 // how many in reach are not cold
	barrenUntil                     Time    // a look at all of them has just found nobody
}

// at is the i-th server of the group's ring, from this node's place on.
func (g *group) at(i int) *server {
	if i += g.from; i >= len(g.ring) {
		i -= len(g.ring)
	}
	return g.ring[i]
}

// find is where a server is, or would be, in a ring.
func find(ring []*server, s *server) (int, bool) {
	return slices.BinarySearchFunc(ring, s, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.ID, b.ID))
	})
}

func sortRing(ring []*server) {
	slices.SortFunc(ring, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.ID, b.ID))
	})
}

// home tells whether the server would be in reach if none were suspects.
func (m *Module) home(s *server) bool {
	for _, g := range m.groups {
		if !g.open(s) {
			continue
		}
		if int(g.reach) >= len(g.ring) {
			return true
		}
		if i, found := find(g.own, s); found && (i-g.ownFrom+len(g.own))%len(g.own) < g.nearby() {
			return true
		}
		if i, found := find(g.ring, s); found && (i-g.from+len(g.ring))%len(g.ring) < int(g.reach)-g.nearby() {
			return true
		}
	}
	return false
}

// insert and remove change the rings by one server.
func (m *Module) insert(s *server) {
	put := func(ring []*server) []*server {
		i, found := find(ring, s)
		if found {
			return ring
		}
		return slices.Insert(ring, i, s)
	}
	m.ring = put(m.ring)
	for _, g := range m.groups {
		if g.stale = true; g.placed() && g.open(s) {
			g.ring = put(g.ring)
		}
		if s.Zone == m.set.Zone && g.open(s) {
			g.own = put(g.own)
		}
	}
}

func (m *Module) remove(s *server) {
	cut := func(ring []*server) []*server {
		if i, found := find(ring, s); found {
			return slices.Delete(ring, i, i+1)
		}
		return ring
	}
	m.ring = cut(m.ring)
	for _, g := range m.groups {
		if g.stale = true; g.placed() {
			g.ring = cut(g.ring)
		}
		g.own = cut(g.own)
	}
	m.drop(s)
}

func (g *group) placed() bool { return g.zones != nil || g.kinds != nil }

// place finds what a group keeps of a server.
func (s *server) place(g *group) *place {
	for len(s.places) <= g.number {
		s.places = append(s.places, place{near: -1, file: -1})
	}
	return &s.places[g.number]
}

// add takes a server into a group's reach.
func (m *Module) add(g *group, s *server) *place {
	p := s.place(g)
	*p = place{near: int32(len(g.near)), file: -1}
	g.near = append(g.near, s)
	rate := m.rateOf(s)
	if s.high = m.high(s, rate); !s.cold {
		p.warm, p.rate = true, rate
		g.warm, g.sumRate = g.warm+1, g.sumRate+p.rate
	}
	m.put(g, s, p)
	return p
}

// drop takes a server out of every group's reach, as when it is accused, drains or goes.
func (m *Module) drop(s *server) {
	for i := range s.places {
		if p := &s.places[i]; p.near >= 0 {
			m.leave(m.groups[i], s, p)
			m.groups[i].stale = true
		}
	}
}

func (m *Module) leave(g *group, s *server, p *place) {
	g.sumN, g.sumHigh, g.sumFill, g.sumRate = g.sumN-p.n, g.sumHigh-p.high, g.sumFill-p.fill, g.sumRate-p.rate
	if p.warm {
		g.warm--
	}
	g.unfile(p)
	last := len(g.near) - 1
	g.near[p.near] = g.near[last]
	g.near[p.near].places[g.number].near = p.near
	g.near[last] = nil
	g.near = g.near[:last]
	if *p = (place{near: -1, file: -1}); last == 0 {
		g.resum()
	}
}

func (g *group) unfile(p *place) {
	if p.file < 0 {
		return
	}
	f := g.file[p.in]
	last := len(f) - 1
	f[p.file] = f[last]
	f[p.file].places[g.number].file = p.file
	f[last] = nil
	g.file[p.in], p.file = f[:last], -1
}

// touch files a server anew wherever it is in reach.
func (m *Module) touch(s *server) {
	for i := range s.places {
		if p := &s.places[i]; p.near >= 0 {
			m.put(m.groups[i], s, p)
		}
	}
}

// put brings sums and files up to what is known of a server.
func (m *Module) put(g *group, s *server, p *place) {
	mode, fill := m.alone(s)
	g.sumN, g.sumHigh, g.sumFill = g.sumN+s.n-p.n, g.sumHigh+s.high-p.high, g.sumFill+fill-p.fill
	p.n, p.high, p.fill = s.n, s.high, fill
	in := int8(2 * mode)
	if s.cold {
		in++
	}
	if p.file >= 0 && p.in == in {
		return
	}
	g.unfile(p)
	p.in, p.file = in, int32(len(g.file[in]))
	g.file[in] = append(g.file[in], s)
}

// nearby is how many of those in reach are of this node's zone first. It is none where all are in reach
// anyway.
func (g *group) nearby() int {
	if !g.on || int(g.reach) >= len(g.ring) {
		return 0
	}
	return min(len(g.own), int(nearPart*g.reach))
}

// refill renews who is in a group's reach, in ring order from this node's place, where the list or the
// suspects have changed. What stays keeps its files.
func (m *Module) refill(g *group) {
	g.stale = false
	g.round++
	got := 0
	take := func(s *server) {
		if s.ejected || s.State != Ready {
			return
		}
		p := s.place(g)
		if p.near < 0 {
			p = m.add(g, s)
		}
		if p.round != g.round {
			p.round = g.round
			got++
		}
	}
	for i, most := 0, g.nearby(); i < len(g.own) && got < most; i++ {
		take(g.own[(i+g.ownFrom)%len(g.own)])
	}
	for i := 0; i < len(g.ring) && got < int(g.reach); i++ {
		take(g.at(i))
	}
	for i := len(g.near) - 1; i >= 0; i-- {
		if s := g.near[i]; s.places[g.number].round != g.round {
			m.leave(g, s, &s.places[g.number])
		}
	}
	g.resum()
}

// empty takes all servers out of a group's reach.
func (m *Module) empty(g *group) {
	for i := len(g.near) - 1; i >= 0; i-- {
		if s := g.near[i]; g.number < len(s.places) && s.places[g.number].near >= 0 {
			m.leave(g, s, &s.places[g.number])
		}
	}
	g.index, g.near = index{number: g.number, on: g.on, stale: true, own: g.own, ownFrom: g.ownFrom}, g.near[:0]
}

// resum takes the sums afresh, so that rounding cannot add up.
func (g *group) resum() {
	g.sumN, g.sumHigh, g.sumFill, g.sumRate, g.warm = 0, 0, 0, 0, 0
	for _, s := range g.near {
		p := &s.places[g.number]
		g.sumN, g.sumHigh, g.sumFill, g.sumRate = g.sumN+p.n, g.sumHigh+p.high, g.sumFill+p.fill, g.sumRate+p.rate
		if p.warm {
			g.warm++
		}
	}
}

// sweep renews what ages by itself, thresholds and rates, of the next servers in reach.
func (m *Module) sweep(g *group, most int) {
	for range min(most, len(g.near)) {
		if g.cursor >= len(g.near) {
			g.cursor = 0
			g.resum()
		}
		s := g.near[g.cursor]
		g.cursor++
		p := &s.places[g.number]
		m.rampFactor(s)
		rate, warm := m.rateOf(s), !s.cold
		s.high = m.high(s, rate)
		if !warm {
			rate = 0
		}
		if warm != p.warm {
			p.warm = warm
			g.warm -= 1
			if warm {
				g.warm += 2
			}
		}
		g.sumRate += rate - p.rate
		p.rate = rate
		m.put(g, s, p)
	}
}
