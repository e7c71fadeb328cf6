package decide

// The state that the module keeps. Nothing is decided here.

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Mode is the overload state of a server as this node sees it: the paper's s = 0, 1, 2.
type Mode int

const (
	Normal Mode = iota
	Overloaded
	Blocking
)

type server struct {
	Server
	kind *kind
	// as judged; by own count; by reports; by a full answer or a report, until it lapses
	mode, own, told, imposed Mode
	imposedUntil             Time
	n, high                  float64 // own attempts in flight or, after a look, all that it holds; H
	dither                   float64 // in [0,1), moves on each period: H is rounded by it
	// s, smoothed latency of a mean request over m.mean; own answers each second, smoothed
	excess, rate                         float64
	latencyAt, rateAt                    Time
	since, reportAt                      Time    // first listed; last report
	failures                             float64 // failures since the last success
	unreached                            int     // attempts since the last success that the network kept from it
	unreachable                          bool    // ejected for that reason alone
	unconnected                          bool    // its last failure was a connect that failed
	unanswered                           int     // sends since the last answer
	muteSince                            Time    // the first of those sends
	ejected, cold                        bool
	watched, enlisted                    bool    // among those that owe answers; among those ejected
	listed                               bool    // on the ring
	order                                uint64  // its place on the ring
	fill                                 float64 // where its count stands between H, 0, and R, 1
	nextProbeAt, lastResortAt, coldSince Time
	nextProbeWait                        time.Duration
	tokens                               float64 // sends that its budget allows while cold
	tokensAt                             Time
	quietUntil                           Time    // no log line about it until then
	places                               []place // in the groups' reach, by their numbers
}

// group holds the classes of one placement: thresholds and shedding are judged over the servers open to it.
type group struct {
	zones, kinds []string  // that are open to it; nil: all
	index                  // of those in reach, where they are many
	ring, near   []*server // of the fleet, by place on the ring; in reach
	from         int       // this node's place on the ring
	reach        float64   // how many servers are in reach
	pooled       bool      // they are judged together, with the mode and fill below
	mode         Mode
	smooth, fill float64 // their smoothed count; where it stands between H, 0, and R, 1
	top          float64 // the highest worth of its classes
	// the tightest of its classes that count as others more often than as priority ones
	aim                 time.Duration
	smoothAt, crowdedAt Time          // crowdedAt: when last no server was normal
	n1, n2, q1, q2      float64       // priority and other arrivals of this period; drop probabilities
	long                float64       // the part of arrivals that found no room, smoothed over longTau
	turned              float64       // first attempts of this period that found no room
	held, room          float64       // own requests in hand in reach; the sum of H there
	others              bool          // some arrivals of the last period had no priority
	lines               [2][]*request // that wait for a server, priority ones and others; some may be done
	waiting             [2]int        // how many are not
	asked               float64       // requests that would be in hand if none were refused, smoothed
	// when the first came to empty lines; when one has waited for long enough, at the earliest
	lineAt, soonest Time
	filled, ticks   float64 // sum of how far the servers were above H, over this period's ticks
}

type class struct {
	Class
	group             *group
	hint, hints       float64 // s, smoothed work hint; how many
	count, latency    float64 // answers; s, smoothed over all servers
	ambient, relative float64 // s, m.mean at the times of its answers;
	// and its cost as a multiple of the mean request's
}

// kind is a kind of machine: a wide and slow one answers later than a narrow and fast one that does as much.
type kind struct {
	answers, mean, base float64 // s, smoothed latency of a mean request; uncrowded
	load, baseLoad      float64 // own requests at a server, smoothed as mean is; when base was found
	held, took          float64 // own requests at a server and their latency, s, of late
	longest             float64 // s, until base is found
	heldAt, since       Time    // since: the first request that was answered was sent
}

type attempt struct {
	server        *server
	zone          string // the server's as listed when it was sent, and its cell: where repeats are dropped
	cell          int
	sent          Time
	ahead         float64 // requests that its server was known to hold
	ended, mayRun bool    // mayRun: out, or ended without proof that it never ran
	uncounted     bool    // no longer in its server's count
}

type request struct {
	id                             RequestID
	class                          *class
	arrived, deadline              Time
	spent                          time.Duration // how long its client has waited before this try, at least
	attempts                       []attempt
	heavy                          float64   // its work by its hint, over its class's mean
	most                           int       // attempts
	out, rounds                    int       // rounds: looks at servers for the next attempt
	asked                          []*server // in these looks, the last two in the last
	lookAt                         Time
	looking                        bool
	held                           bool // it waits for a server, until then, in this line
	until                          Time
	line                           int
	priority, done, started, trial bool // done: it has its final answer; started: a stream has begun
}

type tenant struct {
	perNode, tokens float64
	at              Time
}

// Module decides for one node. It is not safe for concurrent use.
type Module struct {
	set                    Settings
	rng                    *rand.Rand
	now, periodAt          Time
	drained                bool // operators have the node take no requests, since then
	drainedAt              Time
	phase                  float64 // of the period, by which H is rounded
	out                    []Action
	classes                map[string]*class
	order                  []*class
	tenants                map[string]*tenant
	known                  map[ServerID]*server
	groups                 []*group
	kinds                  map[string]*kind
	ring                   []*server         // those not gone, by their place on the ring
	spot                   float64           // this node's on it, as a part of it
	from                   int               // the same as an index
	scanUpTo               int               // servers in reach that are looked at one by one
	silent, ejectedServers []*server         // that owe answers to several sends; that get probe requests alone
	lapsing                []lapse           // imposed modes, by when they lapse
	cells                  map[int][]*server // by cell, made when needed; nil after a change of the list
	found                  [2][]*server      // scratch, as few is
	few                    []*server
	sharers                float64    // how many nodes a server is in reach of, on average
	looking                []*request // that wait for answers to probes
	running                float64    // requests that a server works on at once, by its reports
	unit, tight            float64    // s: service time of a mean request; the tightest aim for one
	looks                  bool       // it asks servers for their load before each send
	requests               map[RequestID]*request
	open                   []*request // in order of arrival
	ticking, learned       bool
	answers                float64
	mean, base             float64 // s: smoothed latency; uncrowded
	fleetRate, peak        float64 // answers each second from the mean server; the most that this has been
	// smoothed share of attempts that fail; s an attempt for which those never answered were counted
	failing, mute      float64
	probeBudget        float64 // probe requests allowed
	budget             float64 // further attempts allowed
	subscribed, asking bool
	askAt              Time
	askWait            time.Duration
}

// New makes the module of a node that has just started.
func New(s Settings, seed int64) *Module {
	m := &Module{rng: rand.New(rand.NewPCG(uint64(seed), 0)), budget: retryBurst,
		known: map[ServerID]*server{}, kinds: map[string]*kind{},
		requests: map[RequestID]*request{}}
	m.running, m.tight, m.base, m.scanUpTo = 1, math.Inf(1), math.Inf(1), scanUpTo
	m.configure(s)
	m.sharers = float64(m.set.Nodes)
	return m
}

// configure takes up settings, the first or later ones. Classes and tenants
// that stay keep what was learned; requests keep the class that they have.
func (m *Module) configure(s Settings) {
	m.set = s
	m.set.Nodes, m.set.Self = max(1, s.Nodes), max(0, s.Self)
	m.spot = m.ringPosition()
	if !s.HoldOffs {
		m.set.MaxHoldOff = 0
	}
	for _, g := range m.groups {
		g.top = 0
	}
	classes, tenants := m.classes, m.tenants
	m.classes, m.order, m.tenants = map[string]*class{}, nil, map[string]*tenant{}
	for _, c := range s.Classes {
		k := &class{relative: 1}
		if was := classes[c.Name]; was != nil {
			*k = *was
		}
		m.classes[c.Name], m.order = k, append(m.order, k)
		k.Class, k.group = c, m.groupOf(c.OnlyZones, c.OnlyKinds)
		k.group.top = math.Max(k.group.top, c.Worth)
	}
	m.groupOf(nil, nil) // for classes that the settings lack
	for _, g := range m.groups {
		g.aim = math.MaxInt64
	}
	for _, c := range m.order {
		if c.Aim > 0 && rank(c.Worth, c.group.top) < 0.5 {
			c.group.aim = min(c.group.aim, c.Aim)
		}
	}
	for _, t := range s.Tenants {
		k := &tenant{}
		if was := tenants[t.Name]; was != nil {
			*k = *was
		}
		m.tenants[t.Name], k.perNode = k, t.Quota/float64(m.set.Nodes)
	}
}

// classOf knows every class: one that the settings lack is unsafe and of no worth.
func (m *Module) classOf(name string) *class {
	if m.classes[name] == nil {
		m.classes[name] = &class{relative: 1, group: m.groupOf(nil, nil)}
		m.order = append(m.order, m.classes[name])
	}
	return m.classes[name]
}

// kindOf knows the kinds that the settings name; all others are one kind, as lists may bring ever new ones.
func (m *Module) kindOf(name string) *kind {
	if !slices.Contains(m.set.Kinds, name) {
		name = ""
	}
	if m.kinds[name] == nil {
		m.kinds[name] = &kind{}
	}
	return m.kinds[name]
}

// groupOf finds the group of a placement. No rule (nil) differs from none open (empty).
func (m *Module) groupOf(zones, kinds []string) *group {
	same := func(a, b []string) bool { return (a == nil) == (b == nil) && slices.Equal(a, b) }
	for _, g := range m.groups {
		if same(g.zones, zones) && same(g.kinds, kinds) {
			return g
		}
	}
	m.groups = append(m.groups, &group{zones: zones, kinds: kinds, index: index{number: len(m.groups)}})
	return m.groups[len(m.groups)-1]
}

// within takes a token of the tenant's share, if there is one.
func (t *tenant) within(now Time) bool {
	t.tokens, t.at = math.Min(t.perNode, t.tokens+t.perNode*(now-t.at).Seconds()), now
	ok := t.tokens >= 1
	if ok {
		t.tokens--
	}
	return ok
}

// inLine is how many requests wait.
func (g *group) inLine() int { return g.waiting[0] + g.waiting[1] }

func (m *Module) serverOf(id ServerID) *server {
	if m.known[id] == nil {
		m.known[id] = &server{since: m.now, quietUntil: m.now, dither: m.random(), order: orderOf(id)}
	}
	return m.known[id]
}

// beginPeriod also moves the rounding of thresholds on, by the golden ratio.
func (m *Module) beginPeriod() { m.periodAt, m.phase = m.now, math.Mod(m.now.Seconds()*math.Phi, 1) }

func (m *Module) do(a Action) { m.out = append(m.out, a) }

// note logs a line about a server, at most one in 5 s, so that one that fails and recovers all the time fills
// no disk.
func (m *Module) note(s *server, line string) {
	if m.now >= s.quietUntil {
		s.quietUntil = m.now + 5*time.Second
		m.do(Log{fmt.Sprintf("server %d %s", s.ID, line)})
	}
}

func decay(since time.Duration, tau float64) float64 { return math.Exp(-since.Seconds() / tau) }

func (m *Module) random() float64 { return m.rng.Float64() }

// orderOf is a server's place on every node's ring: the first number of a generator that its id seeds.
func orderOf(id ServerID) uint64 { return rand.NewPCG(uint64(id), 0).Uint64() }

func (m *Module) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + m.random()))
}

// View counts servers by how a node sees them, for pictures and operators.
type View struct{ Normal, Overloaded, Blocking, Suspect, Cold int }

func (v *View) count(mode Mode, n int) {
	switch mode {
	case Normal:
		v.Normal += n
	case Overloaded:
		v.Overloaded += n
	case Blocking:
		v.Blocking += n
	}
}

// View counts the servers in reach, and all that are ejected.
func (m *Module) View() (v View) {
	for _, g := range m.groups {
		for i := range g.file {
			mode := Mode(i / 2)
			if g.pooled {
				mode = g.mode
			}
			if v.count(mode, len(g.file[i])); i%2 == 1 {
				v.Cold += len(g.file[i])
			}
		}
		if g.on {
			continue
		}
		for _, s := range g.near {
			if v.count(max(s.mode, Normal), 1); s.cold {
				v.Cold++
			}
		}
	}
	for _, s := range m.ejectedServers {
		if s.ejected {
			v.Suspect++
		}
	}
	return v
}

// Belief is what the module holds of the servers open to a class, for those who ask why it refused.
type Belief struct {
	View               // of those in reach
	Reach      int     // how many they are
	Pooled     bool    // judged together
	Held, High float64 // own requests at them; the sum of H
	Q1, Q2     float64
	Waiting    int
	Mean       float64 // s: smoothed latency
}

// Belief gives what is held of the servers open to a class of the settings.
func (m *Module) Belief(class string) Belief {
	c := m.classes[class]
	if c == nil {
		return Belief{}
	}
	g := c.group
	b := Belief{Reach: len(g.near), Pooled: g.pooled, Held: g.held, Q1: g.q1, Q2: g.q2, Waiting: g.inLine(),
		Mean: m.mean}
	for _, s := range g.near {
		b.High += s.high
		mode := s.mode
		if g.pooled {
			mode = g.mode
		}
		b.count(mode, 1)
	}
	return b
}

// Reach visits the servers that this node may send a class's requests to.
func (m *Module) Reach(class string, visit func(ServerID)) {
	if c := m.classes[class]; c != nil {
		for _, s := range c.group.near {
			visit(s.ID)
		}
	}
}
