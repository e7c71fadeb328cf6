package decide

// Slow start: how many requests a server that has just started may be sent.

import (
	"math"
)

const (
	coldStart  = 4.0 // 1/s, of all nodes to a cold server with no warm one to compare
	coldGrowth = 0.5 // of the overload factor, times what a cold server can do
)

func (m *Module) beginSlowStart(s *server, at Time) {
	s.cold, s.coldSince, s.tokens, s.tokensAt = true, at, m.random(), m.now
	m.touch(s)
}

// rampFactor is the part of its capacity that a server has by now.
func (m *Module) rampFactor(s *server) float64 {
	warm := (m.now - s.coldSince).Seconds() / math.Max(m.set.ColdTime.Seconds(), 1e-9)
	if s.cold = s.cold && warm < 1; !s.cold {
		return 1
	}
	return m.set.ColdFrom + (1-m.set.ColdFrom)*max(0, warm)
}

// overSlowStartBudget tells whether a cold server's budget is spent, or left to others. It is refilled with
// the part that it can do of the rate of warm ones here, and saves up little: the savings of many nodes are a
// burst.
func (m *Module) overSlowStartBudget(s *server) bool {
	ramp := m.rampFactor(s)
	if !s.cold || !m.home(s) { // with all around ejected, every node would reach a restarted one
		return s.cold
	}
	part := ramp * math.Max(m.fleetRate, coldStart/m.sharers)
	rate := coldGrowth * m.set.OverloadFactor * math.Max(part, m.rateOf(s))
	s.tokens, s.tokensAt = math.Min(1+1/m.sharers, s.tokens+rate*(m.now-s.tokensAt).Seconds()), m.now
	return s.tokens < 1
}
