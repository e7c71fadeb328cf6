package decide

// Admission, queues, selection and retries. Outlier detection is in outlier.go, slow start in slowstart.go,
// what is kept of large fleets in index.go, the interface (settings, events, actions) in api.go;
// docs/design.md says why.

import (
	"math"
	"slices"
	"time"
)

const (
	lookToken   = 1                      // of the timer that ends a look; the round of checks has 0
	tickEvery   = 25 * time.Millisecond  // s; the round of checks: well under any aim
	validity    = time.Second            // s; oc-validity of the paper: an imposed mode lapses after it
	recompute   = 500 * time.Millisecond // s; period of q: many arrivals, yet far shorter than a trouble
	aimPart     = 0.4                    // part of an aim that the class's mean delay may take: tails are long
	queueFactor = 1.4                    // of the uncrowded latency, all in all: crowds slow servers
	baseNoise   = 0.15                   // by how much chance alone takes a class's mean under its true value
	firstNoise  = 0.18                   // the same at the start: the first answers to come are the quick ones
	baseSteep   = 3.0                    // power of the count that no queue's latency rises by
	lowPart     = 0.75                   // L as a part of H: the hysteresis; of small counts half is one or none
	highPart    = 3.0                    // R as a multiple of H: room for priority work, which comes in lumps
	worthCut    = 0.1                    // part of the top worth up to which no request counts as priority
	reachLeast  = 5.0                    // servers that a node works with, at least: some may fail together
	drawTries   = 16                     // draws from a file of servers before all are looked at
	barren      = 25 * time.Millisecond  // s; after a look at all that found nobody, draws must do
	manyPart    = 32                     // changes by more than such a part of the list are a whole list
	nearPart    = 0.8                    // of a subset: of this zone; the others are for when it is short
	reachNodes  = 5.0                    // nodes that work with a server, on average: own counts must tell of it
	wideAt      = 1.25                   // own requests asked of a server, beyond which it works with more
	askedTau    = 1.0                    // s; over which they are smoothed
	lookNodes   = 30.0                   // the same where servers are asked instead: it takes few connections
	poolUnder   = 0.33                   // mean H of the servers in reach under which they are judged together
	poolSamples = 10.0                   // answers in the time over which their count is smoothed
	chance      = 3.0                    // times the root of H, by which a count may be above H for a moment
	leastWindow = 2.0                    // requests of all nodes at a server that all may send; twice at first
	learnCount  = 2.0                    // answers a server, on average, after which a node has learned
	kindGain    = 0.006                  // the same over a kind: its least is kept, so chance must be small
	kindCount   = 50.0                   // answers of a kind of machine after which its latency counts,
	settledMost = 30.0                   // times its latency at most,
	settled     = 4.0                    // and times its longest: the first answers to come are the quick ones
	anchor      = 0.3                    // part of H drawn from the fleet: own noise must not starve a server
	rateTau     = 3.0                    // s; what a node has seen of a server holds about as long
	memoryTau   = 600.0                  // s; to forget peak rates and uncrowded latency: longer than troubles
	latencyGain = 0.1                    // weight of a new latency in a server's smoothed one
	failingGain = 0.005                  // the same for the share of attempts that fail
	bornGain    = 1.0 / 6                // the same over a kind, for what it has just borne
	classGain   = 0.02                   // the same over all servers, where samples are many
	overdueAt   = 10.0                   // the same for one attempt, which is no load beyond it: tails are long
	limitAt     = 15.0                   // the same, beyond which one that can be made again is given up
	retryBudget = 0.1                    // further attempts for each arrival, and half as many probes: no storm
	retryBurst  = 10.0                   // attempts; what the budget may save up
	holdPart    = 0.15                   // part of the aim a refused client is told to wait, jittered
	probePoints = 0.005                  // of the result, that looking before each send may cost
	probeWait   = 5 * time.Millisecond   // s; for answers to probes: some round trips, far under any aim
	probeRounds = 3                      // looks at two more servers before all count as full
	waitPart    = 0.8                    // part of the tightest aim that queueing and service may take
	holdMost    = 0.4                    // part of its aim that a request may wait here for a server
	shedKeep    = 0.7                    // of q stays each period if nothing else finds no room
	linePressed = 0.1                    // part of arrivals without room, from which a line goes up to L alone
	longTau     = 2.0                    // s; over which it is smoothed: a burst is soon over
	longPressed = 0.35                   // the same, from which so much of the line is enough for all of q2:
	longMost    = 0.7                    // all but this; a line is to be short then, and yet never empty
	pressPart   = 0.8                    // part of the wait allowed that a line takes at which all of q2 holds
	holdCount   = 4096                   // requests that may wait ahead of one
	holdOpen    = 0.6                    // part of those that can be open, from which none begins to wait
	quickPart   = 0.1                    // part of an aim under which no delay is a server's silence
	fullPart    = 1.3                    // R as a multiple of H for reported counts: beyond it an answer is late
	askFirst    = 200 * time.Millisecond // s; wait before a list is asked for again; doubles
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

// rank is the part of a class's requests that count as priority ones: graded by worth over the top worth.
func rank(worth, top float64) float64 {
	return math.Max(0, (worth/math.Max(top, 1e-9)-worthCut)/(1-worthCut))
}

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
		m.arrive(e)
	case ListUpdate:
		m.follow(e)
	case AttemptEnded:
		m.ended(e)
	case StreamStarted:
		if r := m.requests[e.ID]; r != nil && e.Attempt >= 0 && e.Attempt < len(r.attempts) {
			r.started = true
			m.learn(&r.attempts[e.Attempt], r, e.Elapsed)
		}
	case RequestAbandoned:
		m.close(m.requests[e.ID])
	case SettingsChanged:
		m.configure(e.Settings)
		m.relist()
		m.survey()
	case ProbeEnded:
		m.looked(e)
	case TimerFired:
		if e.Token != lookToken {
			m.tick()
			m.do(timer)
		}
		m.settle()
	}
	for _, g := range m.groups {
		m.admit(g)
	}
	return m.out
}

// open is the rule of placement, shared by the classes of a group.
func (g *group) open(s *server) bool {
	return (g.zones == nil || slices.Contains(g.zones, s.Zone)) &&
		(g.kinds == nil || slices.Contains(g.kinds, s.Kind))
}

// survey renews what the thresholds need of the servers in reach: of those open to a group, the next on the
// ring that are not ejected. A node of many works with a part of the fleet, as servers take few connections.
func (m *Module) survey() {
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
	if !m.learned {
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

func (m *Module) impose(s *server, mode Mode) {
	s.imposed, s.imposedUntil = mode, m.now+validity
	m.lapsing = append(m.lapsing, lapse{s, s.imposedUntil})
	m.touch(s)
}

// reported lets a server's own count impose a mode until it lapses. H is this node's for all, or after a look
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
	s.n, s.fill = r.InFlight, over(r.InFlight, h, fullPart*h) // filed by impose
	s.told = NextMode(s.told, s.n, lowPart*h, h, fullPart*h)
	m.impose(s, s.told)
}

func (m *Module) rateOf(s *server) float64 {
	rate, known := s.rate*decay(m.now-s.rateAt, rateTau), m.now-s.since+tickEvery
	if known.Seconds() > 20*rateTau {
		return rate
	}
	return rate / (1 - decay(known, rateTau))
}

// latencyOf lets a value that is not renewed drift to the fleet's mean: the server is tried again.
func (m *Module) latencyOf(s *server) float64 {
	return m.mean + s.excess*decay(m.now-s.latencyAt, rateTau)
}

func (m *Module) learn(a *attempt, r *request, took time.Duration) {
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
	m.weigh(a.server, c, took)
}

// weigh takes a server's latency, capped, as a heavy request tells of itself and not of its server.
func (m *Module) weigh(s *server, c *class, took time.Duration) {
	l := m.latencyOf(s)
	l += latencyGain * (math.Min(took.Seconds()/c.relative, muteFactor*math.Max(l, m.mean)) - l)
	s.excess, s.latencyAt = l-m.mean, m.now
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
			m.now+m.set.MinTick >= a.sent+c.DedupWindow || c.KeyScope == ScopeZone && s.Zone != a.server.Zone ||
			c.KeyScope == ScopeCell && s.Cell != a.server.Cell) {
			return false
		}
	}
	return true
}

// mayRefuse: a refusal promises that a new try does no harm.
func (m *Module) mayRefuse(r *request) bool {
	ran := slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.mayRun })
	return !ran || r.class.Effect == Safe || r.class.Effect == Keyed && r.class.KeyScope == ScopeAll
}

// send is the only way to a server.
func (m *Module) send(r *request, s *server, timeout time.Duration) bool {
	if s == nil || !m.maySend(r, s) {
		return false
	}
	r.attempts = append(r.attempts, attempt{server: s, sent: m.now, mayRun: true, ahead: s.n})
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
	r.release()
	for i, a := range r.attempts {
		if m.set.MayCancel && !a.ended && !r.started {
			m.do(CancelAttempt{ID: r.id, Attempt: i})
		}
	}
	if r.out == 0 {
		delete(m.requests, r.id)
	}
}

func (m *Module) arrive(e RequestArrived) {
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

// look asks two more servers for their load and holds the request until they answer or probeWait is up. Acts
// where reports come by probes alone and are cheap: with many nodes own counts, of 0 or 1, tell nothing.
func (m *Module) look(r *request) bool {
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

// looked takes the answer to a probe. A server that fails to answer one has failed like a request.
func (m *Module) looked(e ProbeEnded) {
	if s := m.known[e.Server]; s != nil {
		if m.reported(s, e.Report); e.Code != OK {
			m.recordFailure(s, e.Code, false)
		}
	}
	m.settle()
}

// settle ends the looks that have all their answers, or have waited long enough.
func (m *Module) settle() {
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
	if r.looking || mode != Normal && m.look(r) {
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
	case n == 0 && !g.roomy(mode) && (mode == Blocking || !passes) && m.hold(r):
		return
	}
	if sent := m.send(r, s, m.limit(r, s)); sent && costly {
		m.budget--
	} else if !sent && r.out == 0 {
		m.turnAway(r, why)
	}
}

// hold lets a request wait here for a server in reach to be normal, as a queue that goes by worth beats those
// at the servers. None waits that would wait too long behind those before it: its refusal is due at once.
func (m *Module) hold(r *request) bool {
	g := r.class.group
	line := 1
	if r.priority {
		line = 0
	}
	wait, most := m.lineWait(r)
	tooLong := wait >= most.Seconds() && m.now >= g.lineAt+recompute // at first H may have to grow
	room := holdOpen * float64(m.set.MaxOpen)
	packed := g.waiting[line] >= holdCount || room > 0 && float64(len(m.requests)) > room
	if m.looks || !g.well() || packed || most <= 0 || tooLong {
		return false
	}
	r.held, r.line, r.until = true, line, m.now+most
	if g.inLine() == 0 {
		g.lineAt, g.soonest = m.now, r.until
	}
	g.soonest = min(g.soonest, r.until)
	g.waiting[line]++
	g.lines[line] = append(g.lines[line], r)
	return true
}

// shed drops by q1, or by more of q2 the more the line takes of the wait allowed: while few wait and few were
// turned away lately, who is dropped would soon have found room. It may be over q2, or no line would shrink.
func (m *Module) shed(r *request) bool {
	g := r.class.group
	if r.priority {
		return m.random() < g.q1
	}
	wait, most := m.lineWait(r)
	part := wait/math.Max(1e-9, pressPart*most.Seconds()) + math.Min(longMost, g.long/longPressed)
	return m.random() < g.q2*part*part
}

// lineWait is how long a request would wait here, s, and how long it may. By Little's law as many leave the
// servers in a mean latency as are there, or as there is room for.
func (m *Module) lineWait(r *request) (wait float64, most time.Duration) {
	g, before := r.class.group, r.class.group.inLine()
	if r.priority {
		before = g.waiting[0]
	}
	aim := r.class.Aim
	if !r.priority { // classes of one worth wait for as long: who may wait longer would take all the room
		aim = min(aim, g.aim)
	}
	most = time.Duration(holdMost*float64(aim)) - r.spent
	most = max(0, min(most, r.deadline-m.now-2*max(tickEvery, m.set.MinTick)))
	return m.mean * float64(before+1) / math.Max(1, math.Max(g.held, g.room)), most
}

// roomy tells whether one that waits may go to a server of the mode. Where this node has nothing in hand an H
// rounded down to none is no overload, and nothing would end to make a server normal.
func (g *group) roomy(mode Mode) bool { return mode == Normal || mode == Overloaded && g.held < 1 }

// below tells whether a server that is normal is so for one that waits: with a line there is always another
// for the room up to H, and priority ones would find servers above it.
func (m *Module) below(r *request, s *server) bool {
	g := r.class.group
	switch {
	case g.held < 1:
		return true
	case g.pooled:
		return g.held < m.linePart(r)*g.room
	}
	return s.n < m.rounded(s, m.linePart(r)*s.high)
}

// linePart is up to which part of H a line goes: all, or towards L where some found no room lately or, where
// others send as well, it grows: priority work needs what is left.
func (m *Module) linePart(r *request) float64 {
	wait, _ := m.lineWait(r)
	grown := math.Min(1, m.sharers-1) * wait / (holdMost * min(r.class.Aim, r.class.group.aim).Seconds())
	pressed := math.Max(r.class.group.long/linePressed, grown)
	return 1 - (1-lowPart)*math.Min(1, pressed)
}

// release takes a request out of the count of those that wait; its place in the line stays for now.
func (r *request) release() {
	if r.held {
		r.held = false
		r.class.group.waiting[r.line]--
	}
}

// admit ends the wait of those whose time is up, and sends others, priority ones first, as far as servers are
// normal.
func (m *Module) admit(g *group) {
	if g.inLine() > 0 && m.now >= g.soonest {
		g.soonest = math.MaxInt64
		for line := range g.lines {
			g.lines[line] = slices.DeleteFunc(g.lines[line], func(r *request) bool {
				if r.held && m.now >= r.until {
					m.turnAway(r, Waited)
				} else if r.held {
					g.soonest = min(g.soonest, r.until)
				}
				return !r.held
			})
		}
	}
	for line := range g.lines {
		for len(g.lines[line]) > 0 {
			r := g.lines[line][0]
			if r.held {
				s, mode := m.pick(r)
				if !g.roomy(mode) && g.well() {
					return
				}
				if r.release(); !m.send(r, s, m.limit(r, s)) && !m.sendProbeRequest(r, true) {
					m.turnAway(r, NoServer)
				}
			}
			g.lines[line][0] = nil
			g.lines[line] = g.lines[line][1:]
		}
	}
}

// turnAway ends a request for which there is no room, which counts for q.
func (m *Module) turnAway(r *request, why Cause) {
	if len(r.attempts) == 0 {
		r.class.group.turned++
	}
	m.finish(r, why)
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
	if r.held && mode == Normal && !m.below(r, s) {
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
			if cell := m.cells[a.server.Cell]; cell != nil {
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

func (m *Module) ended(e AttemptEnded) {
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

// uncount takes an attempt out of its server's count, once.
func (m *Module) uncount(a *attempt) {
	if !a.uncounted {
		a.uncounted, a.server.n = true, max(0, a.server.n-1)
		m.touch(a.server)
	}
}

// overdue takes attempts that have long been due out of the counts. An answer that never comes is no load:
// a few silent ones, each held to its deadline, would make every server look full.
func (m *Module) overdue(r *request) {
	if r.out == 0 || r.started || m.mean == 0 {
		return
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.uncounted && (m.now-a.sent).Seconds() > m.due(a.server, r, overdueAt) {
			m.uncount(a)
		}
	}
}

// usual is what a mean request takes a server, s; one that was quick lately is given the fleet's time.
func (m *Module) usual(s *server) float64 { return math.Max(m.mean, m.latencyOf(s)) }

// due is so many times what the server takes for such a request, s, and no moment's delay, of which this
// node's own may be the most.
func (m *Module) due(s *server, r *request, times float64) float64 {
	return math.Max(times*m.usual(s)*r.class.relative, quickPart*r.class.Aim.Seconds())
}

// worthless tells that an answer so many seconds from now can be worth nothing any more.
func (m *Module) worthless(r *request, after float64) bool {
	spent := (r.spent + m.now - r.arrived).Seconds()
	return r.class.LateWorth == 0 && r.class.Aim > 0 && spent > 0 && spent+after >= r.class.Aim.Seconds()
}

func (m *Module) tick() {
	m.survey()
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
		m.overdue(r)
		if !r.done && !r.started && m.now >= r.deadline {
			m.finish(r, Expired) // guards against an outcome that never comes
		}
		if !r.done {
			open = append(open, r)
		}
	}
	m.open = open
	if m.now-m.periodAt >= recompute {
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
		m.reaches()
	}
	if m.set.AskForList && !m.subscribed && m.now >= m.askAt {
		m.asking, m.askAt = true, m.now+m.set.AskWithin/4
		m.do(Subscribe{On: true})
	}
}

func (m *Module) follow(e ListUpdate) {
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
			m.stale()
		}
	}
	if m.cells = nil; !whole {
		m.reaches() // who is in reach waits for the next round of checks, as changes come in bursts
		return
	}
	m.relist()
	m.survey()
}

// forget ends what is known of a server that is gone. Its attempts still know it; ids change for months.
func (m *Module) forget(s *server) {
	s.listed, s.ejected = false, false
	delete(m.known, s.ID)
}

func (m *Module) stale() {
	for _, g := range m.groups {
		g.stale = true
	}
}

// relist renews the rings from all that is known.
func (m *Module) relist() {
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
	m.reaches()
}

// spotOf is this node's place on the ring, as a part of it: its multiple of the golden ratio, ranked among
// those of all. So places lie at equal distances, and still spread where there are fewer nodes than told.
func (m *Module) spotOf() float64 {
	multiple := func(i int) float64 { return math.Mod(float64(i)*math.Phi, 1) }
	own, before := multiple(m.set.Self%m.set.Nodes), 0
	for i := range m.set.Nodes {
		if multiple(i) < own {
			before++
		}
	}
	return float64(before) / float64(m.set.Nodes)
}

// reaches renews how many servers each group reaches, and from where.
func (m *Module) reaches() {
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
