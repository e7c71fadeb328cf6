package decide

// What is learned from answers: latencies, and by them how many requests a server bears.

import (
	"math"
	"time"
)

const (
	rateTau     = 3.0     // s; what a node has seen of a server holds about as long
	latencyGain = 0.1     // weight of a new latency in a server's smoothed one
	bornGain    = 1.0 / 6 // weight of one answer in the concurrency that a kind has just sustained
)

// latencyOf lets a value that is not renewed drift to the fleet's mean: the server is tried again.
func (m *Module) latencyOf(s *server) float64 {
	return m.mean + s.excess*decay(m.now-s.latencyAt, rateTau)
}

func (m *Module) observe(a *attempt, r *request, took time.Duration) {
	c := r.class
	m.answers, c.count = m.answers+1, c.count+1
	t, gain, gainC := max(took.Seconds(), 1e-6), max(classGain, 1/m.answers), max(classGain, 1/c.count)
	m.mean += gain * (t - m.mean)
	m.unit += gain * (t/(r.heavy*c.relative+a.ahead/m.running) - m.unit)
	c.latency += gainC * (t - c.latency)
	c.ambient += gainC * (m.mean - c.ambient)
	c.relative = c.latency / c.ambient // not to m.mean: a rare class must not keep a past trouble's latency
	k := a.server.kind
	if k.answers == 0 {
		k.since = a.sent
	}
	k.held, k.heldAt = k.held+bornGain*(a.ahead+1-k.held), m.now
	k.took += bornGain * (t/c.relative - k.took)
	if k.base == 0 {
		k.longest = math.Max(k.longest, t/c.relative)
	}
	k.answers++
	k.mean += max(kindGain, 1/k.answers) * (t/c.relative - k.mean)
	k.load += max(kindGain, 1/k.answers) * (a.ahead + 1 - k.load)
	m.updateLatency(a.server, c, took)
}

// updateLatency takes a server's latency, capped, as a heavy request tells of itself and not of its server.
func (m *Module) updateLatency(s *server, c *class, took time.Duration) {
	l := m.latencyOf(s)
	l += latencyGain * (math.Min(took.Seconds()/c.relative, muteFactor*math.Max(l, m.mean)) - l)
	s.excess, s.latencyAt = l-m.mean, m.now
}

// uncount takes an attempt out of its server's count, once.
func (m *Module) uncount(a *attempt) {
	if !a.uncounted {
		a.uncounted, a.server.n = true, max(0, a.server.n-1)
		m.touch(a.server)
	}
}

// usual is what a mean request takes a server, s; one that was quick lately is given the fleet's time.
func (m *Module) usual(s *server) float64 { return math.Max(m.mean, m.latencyOf(s)) }
