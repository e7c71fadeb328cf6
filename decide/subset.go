package decide

// The subset of servers that a node works with.

import "math"

const (
	reachLeast = 5.0  // servers that a node works with, at least: some may fail together
	reachNodes = 5.0  // nodes that work with a server, on average: own counts must tell of it
	wideAt     = 1.25 // own requests a server beyond which the subset grows
	lookNodes  = 30.0 // as reachNodes, where servers are asked for their load instead
	nearPart   = 0.8  // of a subset: of this zone; the others are for when it is short
)

// ringPosition is this node's position on the ring, as a part of it: its multiple of the golden ratio, ranked
// among those of all. So they lie at equal distances, and still spread where there are fewer nodes than told.
func (m *Module) ringPosition() float64 {
	multiple := func(i int) float64 { return math.Mod(float64(i)*math.Phi, 1) }
	own, before := multiple(m.set.Self%m.set.Nodes), 0
	for i := range m.set.Nodes {
		if multiple(i) < own {
			before++
		}
	}
	return float64(before) / float64(m.set.Nodes)
}

// updateSubsets renews how many servers each group reaches, and from where.
func (m *Module) updateSubsets() {
	m.from, m.sharers = int(float64(len(m.ring))*m.spot), 0
	for _, g := range m.groups {
		if g.from = m.from; !g.placed() {
			g.ring = m.ring
		} else if len(m.ring) > 0 {
			if g.from, _ = find(g.ring, m.ring[m.from]); g.from == len(g.ring) {
				g.from = 0
			}
		}
		// How many nodes the zone has is not known.
		g.ownFrom = int(float64(len(g.own)) * math.Mod(float64(m.set.Self)*math.Phi, 1))
		size := float64(len(g.ring))
		sharing := reachNodes
		if m.looks {
			sharing = lookNodes
		}
		least := math.Max(reachLeast, sharing*size/float64(m.set.Nodes))
		reach := math.Min(size, math.Ceil(math.Max(least, g.asked/wideAt)))
		g.stale, g.reach = g.stale || reach != g.reach, reach
		if on := int(g.reach) > m.scanUpTo; on != g.on {
			m.empty(g)
			g.on = on
		}
		m.sharers += float64(m.set.Nodes) * g.reach / math.Max(1, size)
	}
	m.sharers = math.Max(1, m.sharers)
}
