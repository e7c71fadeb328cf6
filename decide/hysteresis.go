package decide

// Modes of servers by the paper's hysteresis: normal, overload, blocking.

import (
	"math"
	"time"
)

const (
	validity    = time.Second // oc-validity of the paper: a mode that was set lapses after it
	aimPart     = 0.4         // part of an aim that the class's mean delay may take: tails are long
	queueFactor = 1.4         // of the uncrowded latency, all in all: crowds slow servers
	baseNoise   = 0.15        // by how much chance alone takes a class's mean under its true value
	firstNoise  = 0.18        // as baseNoise, for the first answers, which are the quick ones
	baseSteep   = 3.0         // power of the count that no queue's latency rises by
	lowPart     = 0.75        // L as a part of H: the hysteresis; of small counts half is one or none
	highPart    = 3.0         // R as a multiple of H: headroom for priority work, which comes in lumps
	fullPart    = 1.3         // R as a multiple of H for reported counts: beyond it an answer is late
	poolUnder   = 0.33        // mean H of the servers in reach under which they are judged together
	poolSamples = 10.0        // answers in the time over which their count is smoothed
	chance      = 3.0         // times the root of H, by which a count may be above H for a moment
	leastWindow = 2.0         // requests of all nodes at a server that all may send; twice at first
	learnCount  = 2.0         // answers a server, on average, after which a node has learned
	kindGain    = 0.006       // weight of a new latency in a kind: its least is kept, so chance must be small
	kindCount   = 50.0        // answers of a kind of machine after which its latency counts
	settledMost = 30.0        // latencies of a server after which it counts as settled, at most
	settled     = 4.0         // longest latencies of a server after which it counts as settled
	anchor      = 0.3         // part of H drawn from the fleet: own noise must not starve a server
	memoryTau   = 600.0       // s; to forget peak rates and uncrowded latency: longer than troubles
	waitPart    = 0.8         // part of the tightest aim that queueing and service may take
)

// NextMode is the paper's hysteresis, at its exact edges.
func NextMode(m Mode, n, low, high, block float64) Mode {
	switch {
	case m != Blocking && n > block-1:
		return Blocking
	case m == Normal && n > high-1, m == Blocking && n < high+1:
		return Overloaded
	case m == Overloaded && n < low:
		return Normal
	}
	return m
}

// ShedSplit gives the drop probabilities of priority (q1) and other requests (q2) for an overall q.
func ShedSplit(q, n1, n2 float64) (q1, q2 float64) {
	if n2 == 0 {
		return q, 0
	}
	q2 = math.Min(1, q*(n1+n2)/n2)
	if n1 > 0 {
		q1 = math.Max(0, (q*(n1+n2)-q2*n2)/n1)
	}
	return q1, q2
}

func over(n, h, r float64) float64 { return math.Min(1, math.Max(0, (n-h)/(r-h))) }

// evaluate renews what the thresholds need of the servers in reach: of those open to a group, the next on the
// ring that are not ejected. A node of many works with a part of the fleet, as servers take few connections.
func (m *Module) evaluate() {
	rate, count, reach := 0.0, 0.0, 0.0
	for _, g := range m.groups {
		if reach += g.reach; g.on {
			if g.stale {
				m.refill(g)
			}
			m.sweep(g, sweepMost)
			rate, count = rate+max(0, g.sumRate), count+g.warm // rounding may leave less than nothing
			continue
		}
		g.near = g.near[:0]
		for i := 0; i < len(g.ring) && len(g.near) < int(g.reach); i++ {
			s := g.at(i)
			if s.ejected || s.State != Ready {
				continue
			}
			own := m.rateOf(s)
			if g.near, s.high = append(g.near, s), m.high(s, own); !s.cold {
				rate, count = rate+own, count+1
			}
		}
	}
	m.fleetRate, m.learned = rate/math.Max(1, count), rate > 0 && m.answers >= learnCount*reach
	m.tight = math.Inf(1)
	for _, c := range m.order {
		if c.Aim > 0 {
			m.tight = math.Min(m.tight, c.Aim.Seconds()/c.relative)
		}
	}
	if !m.learned || m.drained {
		return
	}
	m.peak = math.Max(m.peak/(1+tickEvery.Seconds()/memoryTau), m.fleetRate)
	for _, k := range m.kinds {
		if k.answers < kindCount || (m.now-k.since).Seconds() < math.Min(settled*k.longest, settledMost*k.mean) {
			continue
		}
		// It rises only by what was measured at no more load than it was found at, or by more than any queue of so
		// many makes: these servers are slow for good. The queue that H allows must never pass for normal.
		steep := math.Pow(math.Max(1, k.load/math.Max(1, k.baseLoad)), baseSteep)
		noise := math.Min(0.5, baseNoise/math.Sqrt(math.Min(1, k.answers*kindGain/2))) // of few answers it is more
		switch least := k.mean / (1 - noise); {
		case k.base == 0 || least < k.base:
			k.base, k.baseLoad = least, k.load
		case k.load >= leastWindow*m.sharers && k.mean > (1+baseNoise)*steep*k.base:
			k.base += tickEvery.Seconds() / rateTau * (k.mean - k.base)
		case k.load <= k.baseLoad:
			k.base += tickEvery.Seconds() / memoryTau * math.Max(0, k.mean-k.base)
		}
	}
	m.base = math.Min(m.base, m.mean/(1-firstNoise))
}

// high is H: by Little's law the requests this node may have at a server that answers as fast as aims want,
// part of the rate being the fleet's: chance must starve none. Queues stay short, as crowds slow servers; H
// stays at what keeps a server busy when all slow down at once and shedding could help no aim.
func (m *Module) high(s *server, rate float64) float64 {
	if !m.learned {
		return 2 * leastWindow / m.sharers
	}
	rate = (1-anchor)*rate + anchor*m.fleetRate
	base, mean := m.base, m.mean
	if k := s.kind; k.base > 0 {
		base, mean = k.base, k.mean
	}
	want := math.Min(queueFactor*base, aimPart*m.tight)
	h := rate * math.Max(base*m.peak/m.fleetRate, want*math.Min(3, want/mean))
	if k := s.kind; k.held >= leastWindow*m.sharers { // of lower counts other nodes may have as many
		// A load that jumps is not in the rate yet: a line that goes up to L alone may double what was borne.
		h = math.Max(h, k.held*math.Min(2/lowPart, want/k.took)*decay(m.now-k.heldAt, recompute.Seconds()))
	}
	// Attempts that are never answered are held as well. Where it is crowded they pass for what is only late.
	spare := math.Max(0, math.Min(1, (want-mean)/((queueFactor-1)*base)))
	return math.Max(h*(1+spare*spare*math.Min(1, m.mute/m.mean)), leastWindow/m.sharers)
}

// modeOf updates and gives a server's mode, by its own count or that of all in reach.
func (m *Module) modeOf(g *group, s *server) Mode {
	if s.high == 0 {
		s.high = m.high(s, m.rateOf(s)) // beyond reach, tried as those in reach were
	}
	switch {
	case m.looks:
		s.mode = Normal
	case g.pooled:
		s.mode, s.fill = g.mode, g.fill
	default:
		s.mode = m.counted(s)
	}
	if m.now < s.imposedUntil {
		return max(s.mode, s.imposed)
	}
	return s.mode
}

// counted judges a server by its own count. H is rounded by chance, as all nodes together would crowd a
// server if they rounded up.
func (m *Module) counted(s *server) Mode {
	h := m.rounded(s, s.high)
	s.own, s.fill = NextMode(s.own, s.n, lowPart*h, h, highPart*h+1), over(s.n, h, highPart*h+1)
	return s.own
}

func (m *Module) rounded(s *server, h float64) float64 {
	dither := s.dither + m.phase
	if dither >= 1 {
		dither--
	}
	return math.Floor(h + dither)
}

// alone is a server's mode by what is known of it alone, for the files.
func (m *Module) alone(s *server) (mode Mode, fill float64) {
	if !m.looks {
		m.counted(s) // from blocking to normal are two steps
		mode, fill = m.counted(s), s.fill
	}
	if m.now < s.imposedUntil {
		mode = max(mode, s.imposed)
	}
	return mode, fill
}

// pool judges the servers in a group's reach together, by sums of counts and thresholds, where each has under
// a request of this node: 0 or 1 tells nothing. Smoothed, as a node's few requests come and go by chance.
func (m *Module) pool(g *group) {
	n, h := g.sumN, g.sumHigh
	if !g.on {
		n, h = 0, 0
		for _, s := range g.near {
			n, h = n+s.n, h+s.high
		}
	}
	g.held, g.room, g.pooled = n, h, h < poolUnder*float64(len(g.near))
	tau := math.Min(rateTau, poolSamples/math.Max(1e-9, m.fleetRate*float64(len(g.near))))
	g.smooth, g.smoothAt = n+(g.smooth-n)*decay(m.now-g.smoothAt, tau), m.now
	n = math.Max(g.smooth, n-chance*math.Sqrt(h))
	g.mode = NextMode(g.mode, 100*n, 100*lowPart*h, 100*h, 100*highPart*h) // its edges are a 100th
	g.fill = over(n, h, highPart*h)
}

func (m *Module) setMode(s *server, mode Mode) {
	s.imposed, s.imposedUntil = mode, m.now+validity
	m.lapsing = append(m.lapsing, lapse{s, s.imposedUntil})
	m.touch(s)
}

// reported lets a server's own count set a mode until it lapses. H is this node's for all, or after a look
// what the server can hold and still keep the tightest aim. Late news never blocks: nodes would rush.
func (m *Module) reported(s *server, r *Report) {
	if r == nil || !r.HasInFlight || !m.looks {
		return
	}
	if s.reportAt = m.now; r.Queue > 0 {
		m.running += latencyGain * (math.Max(1, r.InFlight-r.Queue) - m.running)
	}
	if m.now >= s.imposedUntil {
		s.told = Normal
	}
	h := 2 * leastWindow
	if m.unit > 0 {
		h = 1 + m.running*waitPart*m.tight/m.unit
	}
	s.n, s.fill = r.InFlight, over(r.InFlight, h, fullPart*h) // filed by setMode
	s.told = NextMode(s.told, s.n, lowPart*h, h, fullPart*h)
	m.setMode(s, s.told)
}

func (m *Module) rateOf(s *server) float64 {
	rate, known := s.rate*decay(m.now-s.rateAt, rateTau), m.now-s.since+tickEvery
	if known.Seconds() > 20*rateTau {
		return rate
	}
	return rate / (1 - decay(known, rateTau))
}
