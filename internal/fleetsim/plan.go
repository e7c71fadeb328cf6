// Package fleetsim plays a fleet on a virtual clock: the decisions of any
// number of nodes, by the real module or a textbook policy, against modelled
// servers with cores, queues, crowding and cold starts, in zones, with a list
// that comes late. It does no I/O and uses no goroutine; the same plan gives
// the same result each time. The servers are models, not measurements.
package fleetsim

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"indigotack/decide"
	"indigotack/internal/conf"
)

// Plan is what is played.
type Plan struct {
	Name      string
	Seed      uint64
	Duration  time.Duration
	Nodes     int
	HotNodes  int // of them, which get HotFactor times the requests of each other
	HotFactor float64
	ToldNodes int // what the nodes are told of their number; 0: the truth
	Servers   int
	Zones     []string
	Kinds     []Kind
	Classes   []Class
	Rate      float64 // requests a second over all nodes
	Events    []Event
	Policies  []Policy

	SameZone, CrossZone time.Duration // one way between a node and a server
	ListDelay           time.Duration // after which the last node has heard of a change, at most
	ColdFrom            float64
	ColdTime            time.Duration
	OverloadFactor      float64
	OverloadTime        time.Duration
	DrainGrace          time.Duration
	ConnectTimeout      time.Duration
	Attempts            int
	Lost                float64       // part of the attempts that are never answered, nor run
	Open                int           // requests that clients can have at a node at once; 0: any number
	NodeCost            time.Duration // of a node's one core, for each arrival and each outcome
}

// TailMost bounds a heavy-tailed request's work, in multiples of the mean of the unbounded distribution.
const TailMost = 100

// Kind is a kind of server.
type Kind struct {
	Name     string
	Share    float64 // of all servers
	Cores    int
	Speed    float64 // of a core, give or take Spread
	Spread   float64
	Slots    int     // requests in work at once, which share the cores; at least Cores
	Queue    int     // requests that may wait
	Crowding float64 // each request held beyond CrowdedAt a core slows it down by this part
	Crowded  float64
	Choke    Choke
}

// Choke is how a kind gets into a state of its own making: it turns slower once too many requests run or wait there for
// too long, and stays so until it has rested.
type Choke struct {
	At     float64       // beyond cores + At x root of cores requests held; 0: it does not choke
	Over   time.Duration // in the mean over so long, exponentially weighted
	Slower float64       // then, by this factor,
	Fails  float64       // and this part of the requests ends as errors,
	Below  float64       // until its cores were busy under this part
	Rest   time.Duration // in the mean over so long,
	Most   time.Duration // or so long has passed
}

// crowd is how many times as slow a server is that holds so many requests.
func (k *Kind) crowd(held int) float64 {
	return 1 + k.Crowding*math.Max(0, float64(held)/float64(k.Cores)-k.Crowded)
}

// Class is a kind of request.
type Class struct {
	Name          string
	Share         float64
	Work          time.Duration // mean, on a core of speed 1
	Tail          float64       // shape of its Pareto distribution, up to TailMost means; 0: exponential
	Worth         float64
	Aim, Deadline time.Duration
	Effect        decide.Effect
	Scope         decide.Scope
	Dedup         time.Duration
}

// What happens to servers.
const (
	Drain   = "drain"   // told to drain, and gone Duration later
	Kill    = "kill"    // its process dies; the list tells later
	Restart = "restart" // its process dies and starts again at once, cold
	Add     = "add"     // new servers, cold
	Slow    = "slow"    // slower by Factor for Duration
	Cut     = "cut"     // unreachable for Duration
	Stop    = "stop"    // so many nodes, in turn, get no requests for Duration, and start again with nothing learned
	Surge   = "surge"   // the load is Factor times as high for Duration
)

// Event is what happens to some servers, or to the load.
type Event struct {
	At       time.Duration
	What     string
	Count    int     // servers; or
	Part     float64 // of all; drawn at random from
	Zone     string  // one zone, or all if empty
	Factor   float64
	Duration time.Duration
	Every    time.Duration // it happens again so long after; 0: once
}

func (e Event) String() string {
	s := fmt.Sprintf("%v: %s", e.At, e.What)
	switch {
	case e.What == Stop:
		return s + fmt.Sprintf(" %d nodes, %v", e.Count, e.Duration)
	case e.What == Surge:
		return s + fmt.Sprintf(" x%v for %v", e.Factor, e.Duration)
	case e.Count > 0:
		s += fmt.Sprintf(" %d servers", e.Count)
	default:
		s += fmt.Sprintf(" %v%% of the servers", 100*e.Part)
	}
	if e.Zone != "" {
		s += " of zone " + e.Zone
	}
	if e.Factor > 0 {
		s += fmt.Sprintf(", x%v", e.Factor)
	}
	if e.Duration > 0 {
		s += fmt.Sprintf(", %v", e.Duration)
	}
	return s
}

// Policy is who decides.
type Policy string

// The module, and textbook policies beside it. These neither try again nor refuse.
const (
	Module        Policy = "module"
	Random        Policy = "random"
	RoundRobin    Policy = "round-robin"
	LeastInFlight Policy = "least-in-flight" // of the node's own requests
)

// Central is no policy for a node but the bound: it sees everything at once.
const Central Policy = "central"

// Policies are all there are.
var Policies = []Policy{Module, Random, RoundRobin, LeastInFlight, Central}

// PolicyNames lists them for messages.
func PolicyNames() string {
	var names []string
	for _, p := range Policies {
		names = append(names, string(p))
	}
	return strings.Join(names, ", ")
}

// Bounds of a plan, so that it ends and fits in memory.
const (
	maxNodes    = 1000
	maxServers  = 50_000
	maxRequests = 20_000_000
)

// LoadPlan reads and checks a plan. The error, if there is one, is conf.Mistakes.
func LoadPlan(path string) (*Plan, error) { return read(conf.ReadFile(path)) }

// ParsePlan is LoadPlan for a text.
func ParsePlan(file string, data []byte) (*Plan, error) { return read(conf.Parse(file, data)) }

func read(d *conf.Doc) (*Plan, error) {
	if len(d.Mistakes) > 0 {
		return nil, d.Sorted()
	}
	s := d.Root()
	if s.Int("version", 0, 1, 1) == 0 && !s.Has("version") {
		s.Bad("version", "version = 1")
	}
	p := &Plan{Name: s.String("name", "fleet"), Seed: uint64(s.Int("seed", 1, 0, 1<<62)), Duration: s.Duration("duration", 30*time.Second, time.Second, time.Hour),
		Nodes: s.Int("nodes", 5, 1, maxNodes), ToldNodes: s.Int("told_nodes", 0, 0, maxNodes), HotNodes: s.Int("hot_nodes", 0, 0, maxNodes), HotFactor: s.Float("hot_factor", 1, 0.001, 1000), Servers: s.Int("servers", 15, 1, maxServers), Zones: s.Strings("zones"),
		Rate: s.Float("rate", 100, 0.1, 1e6), SameZone: s.Duration("same_zone", 250*time.Microsecond, 0, time.Second),
		CrossZone: s.Duration("cross_zone", 8*time.Millisecond, 0, time.Second), ListDelay: s.Duration("list_delay", time.Second, 0, time.Minute),
		ColdFrom: s.Float("cold_from", 0.3, 0.01, 1), ColdTime: s.Duration("cold_time", 8*time.Second, 0, time.Hour),
		OverloadFactor: s.Float("overload_factor", 3, 1, 100), OverloadTime: s.Duration("overload_time", time.Second, 10*time.Millisecond, time.Minute),
		DrainGrace: s.Duration("drain_grace", 2*time.Second, 0, time.Minute), ConnectTimeout: s.Duration("connect", 120*time.Millisecond, time.Millisecond, time.Minute),
		Attempts: s.Int("attempts", 3, 1, 16), Open: s.Int("open", 0, 0, 1e6), Lost: s.Float("lost", 0, 0, 1), NodeCost: s.Duration("node_cost", 0, 0, time.Second)}
	if len(p.Zones) == 0 {
		p.Zones = []string{"a"}
	}
	policies := s.Strings("policies")
	for _, name := range policies {
		if !slices.Contains(Policies, Policy(name)) {
			s.Bad("policies", "some of %s, not %q", PolicyNames(), name)
		}
		p.Policies = append(p.Policies, Policy(name))
	}
	if len(p.Policies) == 0 {
		p.Policies = Policies
	}
	for _, t := range s.Tables("kind") {
		p.Kinds = append(p.Kinds, Kind{Name: t.String("name", ""), Share: t.Float("share", 1, 0, 1e6), Cores: t.Int("cores", 2, 1, 1024), Speed: t.Float("speed", 1, 0.01, 100),
			Spread: t.Float("spread", 0.15, 0, 0.9), Queue: t.Int("queue", 8, 0, 1e6), Crowding: t.Float("crowding", 0.05, 0, 10), Crowded: t.Float("crowded", 5, 0, 1e6),
			Slots: t.Int("slots", 0, 0, 1e6),
			Choke: Choke{At: t.Float("choke_at", 0, 0, 1e6), Over: t.Duration("choke_over", 2*time.Second, time.Millisecond, time.Hour), Slower: t.Float("choke_slower", 2.7, 1, 1000),
				Fails: t.Float("choke_fails", 0, 0, 1), Below: t.Float("choke_below", 0.3, 0.01, 0.99), Rest: t.Duration("choke_rest", 4*time.Second, time.Millisecond, time.Hour),
				Most: t.Duration("choke_most", 25*time.Second, time.Millisecond, time.Hour)}})
		k := &p.Kinds[len(p.Kinds)-1]
		k.Slots = max(k.Slots, k.Cores)
		if k.Name == "" {
			t.Bad("name", "a name")
		}
		t.End()
	}
	effects := map[string]decide.Effect{"safe": decide.Safe, "keyed": decide.Keyed, "unsafe": decide.Unsafe}
	scopes := map[string]decide.Scope{"cell": decide.ScopeCell, "zone": decide.ScopeZone, "all": decide.ScopeAll}
	for _, t := range s.Tables("class") {
		c := Class{Name: t.String("name", ""), Share: t.Float("share", 1, 0, 1e6), Work: t.Duration("work", 100*time.Millisecond, time.Microsecond, time.Hour), Tail: t.Float("tail", 0, 0, 10),
			Worth: t.Float("worth", 1, 0, 1e6), Aim: t.Duration("aim", time.Second, time.Millisecond, time.Hour), Deadline: t.Duration("deadline", 4*time.Second, 10*time.Millisecond, time.Hour),
			Effect: effects[t.OneOf("effect", "safe", "safe", "keyed", "unsafe")], Scope: scopes[t.OneOf("key_scope", "zone", "cell", "zone", "all")],
			Dedup: t.Duration("dedup_window", 2500*time.Millisecond, 0, time.Hour)}
		if c.Name == "" {
			t.Bad("name", "a name")
		}
		if c.Tail > 0 && c.Tail <= 1 {
			t.Bad("tail", "0 or over 1, as else there is no mean")
		}
		if c.Aim > c.Deadline {
			t.Bad("aim", "at most the deadline, %v", c.Deadline)
		}
		p.Classes = append(p.Classes, c)
		t.End()
	}
	for _, t := range s.Tables("event") {
		e := Event{At: t.Duration("at", 0, 0, time.Hour), What: t.OneOf("what", "", Drain, Kill, Restart, Add, Slow, Cut, Stop, Surge), Count: t.Int("count", 0, 0, maxServers),
			Part: t.Float("part", 0, 0, 1), Zone: t.String("zone", ""), Factor: t.Float("factor", 0, 0, 1000), Duration: t.Duration("for", 0, 0, time.Hour), Every: t.Duration("every", 0, 0, time.Hour)}
		switch {
		case !t.Has("what"):
			t.Bad("what", "what happens")
		case (e.What == Surge || e.What == Slow) && e.Factor <= 0:
			t.Bad("factor", "how many times as much")
		case e.What != Surge && e.Count == 0 && e.Part == 0:
			t.Bad("count", "how many servers, or part = their part of all")
		case e.Every > 0 && (e.Every < time.Second || e.Every < e.Duration):
			t.Bad("every", "0, or at least 1s and as long as it lasts, %v", e.Duration)
		case e.What == Stop && e.Count == 0:
			t.Bad("count", "how many nodes are stopped")
		case e.What == Add && e.Count == 0:
			t.Bad("count", "how many servers are added")
		}
		p.Events = append(p.Events, e)
		t.End()
	}
	if p.Rate*p.Duration.Seconds() > maxRequests {
		s.Bad("rate", "at most %d requests in all, not %.0f", maxRequests, p.Rate*p.Duration.Seconds())
	}
	s.End()
	if len(d.Mistakes) > 0 {
		return nil, d.Sorted()
	}
	p.fill()
	return p, nil
}

// fill adds kinds and classes where a plan has none.
func (p *Plan) fill() {
	if len(p.Kinds) == 0 {
		p.Kinds = []Kind{{Name: "c2-fast", Share: 0.58, Cores: 2, Slots: 2, Speed: 1.8, Spread: 0.15, Queue: 6, Crowding: 0.05, Crowded: 5},
			{Name: "c4-slow", Share: 0.42, Cores: 4, Slots: 4, Speed: 0.9, Spread: 0.1, Queue: 10, Crowding: 0.05, Crowded: 5}}
	}
	if len(p.Classes) == 0 {
		p.Classes = []Class{
			{Name: "saldo", Share: 0.16, Work: 48 * time.Millisecond, Worth: 12, Aim: 250 * time.Millisecond, Deadline: 500 * time.Millisecond, Effect: decide.Safe},
			{Name: "documentos", Share: 0.52, Work: 130 * time.Millisecond, Worth: 1, Aim: 1500 * time.Millisecond, Deadline: 4 * time.Second, Effect: decide.Safe},
			{Name: "pedido", Share: 0.32, Work: 190 * time.Millisecond, Worth: 1, Aim: 1200 * time.Millisecond, Deadline: 4 * time.Second, Effect: decide.Keyed,
				Scope: decide.ScopeZone, Dedup: 2500 * time.Millisecond}}
	}
}

// Capacity is work a second that the plan's servers can do, on average, and
// Load the part of it that is asked for.
func (p *Plan) Capacity() (capacity, load float64) {
	shares, work := 0.0, 0.0
	for _, k := range p.Kinds {
		shares += k.Share
		capacity += k.Share * float64(k.Cores) * k.Speed
	}
	capacity *= float64(p.Servers) / shares
	shares = 0
	for _, c := range p.Classes {
		shares += c.Share
		work += c.Share * c.Work.Seconds()
	}
	return capacity, p.Rate * work / shares / capacity
}

func (p *Plan) settings(node int) decide.Settings {
	s := decide.Settings{Nodes: cmp.Or(p.ToldNodes, p.Nodes), Self: node, Zone: p.Zones[node%len(p.Zones)], Zones: p.Zones, MaxAttempts: p.Attempts, MaxOpen: p.Open, MayCancel: true, HoldOffs: true,
		MaxHoldOff: 2 * time.Second, ConnectTimeout: p.ConnectTimeout, MinTick: 5 * time.Millisecond, ReportVia: decide.ReportNone, ConnIdle: time.Minute,
		DrainGrace: p.DrainGrace, ColdFrom: p.ColdFrom, ColdTime: p.ColdTime, OverloadFactor: p.OverloadFactor, OverloadTime: p.OverloadTime, Goal: decide.Goal{Whole: 1}}
	for _, k := range p.Kinds {
		s.Kinds = append(s.Kinds, k.Name)
	}
	for _, c := range p.Classes {
		s.Classes = append(s.Classes, decide.Class{Name: c.Name, Worth: c.Worth, Aim: c.Aim, Deadline: c.Deadline, Effect: c.Effect, KeyScope: c.Scope, DedupWindow: c.Dedup})
	}
	return s
}
