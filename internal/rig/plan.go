package rig

import (
	"fmt"
	"path"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"indigotack/decide"
	"indigotack/internal/conf"
)

// Bounds of a plan.
const (
	MaxNodes    = 60
	MaxServers  = 60
	maxLength   = 10 * time.Minute
	maxRequests = 400_000 // of which each takes up to a dozen events of the history
	maxFaults   = 200
	maxClasses  = 16
	maxStarve   = 1 + maxBurners
	maxCrowd    = 1000
)

// The ends of links that are no node and no server.
const (
	Clients   = "clients"
	Discovery = "discovery"
)

// Plan is a fleet of processes, its load, what goes wrong, and what is wanted
// of it all the same.
type Plan struct {
	Name string
	Seed uint64 // of all that is drawn
	Fleet
	Load
	Servers ServerPlan
	Classes []Class
	Faults  []Fault
	Want    Want
}

// Fleet is the nodes.
type Fleet struct {
	Nodes    int
	Zones    []string      // dealt out to nodes and servers in turn
	Programs []string      // paths of binaries, dealt out to nodes in turn; none: the rig's own
	Peers    bool          // nodes keep a view of their fleet
	Platform bool          // nodes run as on a platform, by settings and with a local agent for the list
	Sockets  float64       // part of the nodes' accepts and connects that fail; wants a program built for that
	Weights  time.Duration // every so often all servers are listed with new weights, in a version of their own; 0: never
	Idle     time.Duration // nodes keep connections to servers so long, less a quarter
}

// Load is what clients send, by an open loop.
type Load struct {
	Rate     float64       // requests a second over all nodes
	Length   time.Duration // for so long
	Cool     time.Duration // then nothing comes for so long, for what was in hand to end
	Patience time.Duration // how long beyond its time a client waits for an answer before it closes
	Notice   time.Duration // after which clients are no longer sent to a node that has died
	Leave    float64       // part of the requests whose client closes its connection before its deadline
	Open     float64       // part of the requests that go on connections still open to nodes that were told to end, while there are any
}

// ServerPlan is what the servers are like, each a process of its own.
type ServerPlan struct {
	Count          int
	Cores          int
	Speed          float64
	Queue          int
	ColdFrom       float64
	ColdTime       time.Duration
	OverloadFactor float64
	OverloadTime   time.Duration
	DrainGrace     time.Duration
	ListDelay      time.Duration // after which discovery lists that one has died
}

// Class is a kind of request.
type Class struct {
	Name          string
	Share         float64
	Work          time.Duration // mean, on a core of speed 1
	Worth         float64
	Aim, Deadline time.Duration
	Effect        decide.Effect
	Dedup         time.Duration // of keyed ones: a zone's servers drop repeats for so long
}

// What can go wrong.
const (
	FaultLink      = "link"      // Condition on the links between two sets of ends
	FaultPartition = "partition" // groups of ends that don't reach each other
	FaultKill      = "kill"      // SIGKILL; with a duration it starts again after it
	FaultTerm      = "term"      // SIGTERM; nodes only, and they start again after the duration
	FaultStop      = "stop"      // SIGSTOP, and SIGCONT after the duration
	FaultStarve    = "starve"    // a node gets one part of Factor of one core
	FaultClock     = "clock"     // a node starts again, its wall clock being off by Offset
	FaultReload    = "reload"    // SIGHUP; nodes only
	FaultMove      = "move"      // a node's discovery moves to another address, which its file names and SIGHUP tells; the old one learns nothing more
	FaultSlow      = "slow"      // a server is slower by Factor
	FaultFail      = "fail"      // a server answers Part of its requests with an error
	FaultHang      = "hang"      // a server takes requests and says nothing
	FaultDrain     = "drain"     // a server is listed as draining, and as gone after the duration; then it is ended
	FaultTorn      = "torn"      // discovery's answers end halfway
	FaultSilent    = "silent"    // the watches that are open at discovery are never answered; new ones are
	FaultStep      = "step"      // a node's wall clock steps by Offset while it runs, and back after the duration
	FaultCrowd     = "crowd"     // clients hold so many connections to a node and send nothing, or half a request
)

var faultWords = []string{FaultLink, FaultPartition, FaultKill, FaultTerm, FaultStop, FaultStarve, FaultClock, FaultReload, FaultMove, FaultSlow, FaultFail, FaultHang, FaultDrain, FaultTorn, FaultSilent, FaultStep, FaultCrowd}

// Fault is one thing that goes wrong.
type Fault struct {
	What  string
	At    time.Duration // from the load's start on
	For   time.Duration // 0: to the end of the load, or for good
	Every time.Duration // with several targets: each so long after the one before
	Flap  time.Duration // links: so long on and so long off, in turn

	Targets []string // names or patterns; nodes or servers
	Count   int      // of them, drawn; 0: all
	Part    float64  // of them, drawn; or of a failing server's answers
	Factor  float64
	Offset  time.Duration
	Back    bool   // drain: the server is listed as ready after the duration, and goes on
	Kill    bool   // term: SIGKILL as early as a platform may send it
	Series  bool   // term: SIGHUP and a second SIGTERM come with it, before it and after
	Number  int    // crowd: connections
	State   string // what a node finds in its state folder when it starts again

	Between [2]string // links: names or patterns of both ends
	Only    string    // links: "there", "back", or "" for both, from the first end to the second
	Groups  [][]string
	OneWay  bool // partition: only what an earlier group sends to a later one is lost
	Condition
}

// Want is what is asked of the fleet beside the rules, which always hold.
type Want struct {
	Goodput float64       // part of all requests that are answered within their aim
	After   float64       // the same, in each second from Recover after the last fault's end on
	Recover time.Duration // see After
	Least   float64       // the same as Goodput, of the worst second
	Memory  float64       // resident MB of a node, at most
	View    time.Duration // so long after the last fault all nodes that run hold one settled view of themselves; 0: not asked
}

// Defaults of a plan.
func defaults() Plan {
	return Plan{Name: "plan", Seed: 1,
		Fleet: Fleet{Nodes: 3, Zones: []string{"a"}, Idle: 4 * time.Second},
		Load:  Load{Rate: 60, Length: 10 * time.Second, Cool: 4 * time.Second, Patience: 500 * time.Millisecond, Notice: time.Second},
		Servers: ServerPlan{Count: 4, Cores: 2, Speed: 1, Queue: 8, ColdFrom: 0.3, ColdTime: 4 * time.Second, OverloadFactor: 3,
			OverloadTime: time.Second, DrainGrace: 2 * time.Second, ListDelay: 500 * time.Millisecond},
		Want: Want{Memory: 192}}
}

// defaultClasses are the portal's, with unsafe payments beside them.
func defaultClasses() []Class {
	return []Class{
		{Name: "saldo", Share: 0.3, Work: 10 * time.Millisecond, Worth: 12, Aim: 250 * time.Millisecond, Deadline: 500 * time.Millisecond, Effect: decide.Safe},
		{Name: "documentos", Share: 0.3, Work: 20 * time.Millisecond, Worth: 1, Aim: time.Second, Deadline: 2 * time.Second, Effect: decide.Safe},
		{Name: "pedido", Share: 0.2, Work: 20 * time.Millisecond, Worth: 1, Aim: time.Second, Deadline: 2 * time.Second, Effect: decide.Keyed, Dedup: 2500 * time.Millisecond},
		{Name: "pagamento", Share: 0.2, Work: 15 * time.Millisecond, Worth: 5, Aim: time.Second, Deadline: time.Second, Effect: decide.Unsafe},
	}
}

var effectWords = map[string]decide.Effect{"safe": decide.Safe, "keyed": decide.Keyed, "unsafe": decide.Unsafe}

func effectWord(e decide.Effect) string {
	for word, one := range effectWords {
		if one == e {
			return word
		}
	}
	return ""
}

// LoadPlan reads and checks the plan at path. An error is conf.Mistakes.
func LoadPlan(path string) (*Plan, error) { return readPlan(conf.ReadFile(path)) }

// ParsePlan is LoadPlan for a text; binaries are looked for from file's folder on.
func ParsePlan(file string, data []byte) (*Plan, error) { return readPlan(conf.Parse(file, data)) }

func readPlan(d *conf.Doc) (*Plan, error) {
	if len(d.Mistakes) > 0 {
		return nil, d.Sorted()
	}
	p, s := defaults(), d.Root()
	p.Name = s.String("name", p.Name)
	p.Seed = uint64(s.Int("seed", int(p.Seed), 0, 1<<62))
	p.readFleet(s.Table("fleet"), filepath.Dir(d.File))
	p.readLoad(s.Table("load"))
	p.readServers(s.Table("servers"))
	for _, t := range s.Tables("class") {
		p.readClass(t)
	}
	if p.Classes == nil {
		p.Classes = defaultClasses()
	}
	faults := s.Tables("fault")
	if len(p.Classes) > maxClasses {
		s.Bad("class", "at most %d of them", maxClasses)
	}
	if len(faults) > maxFaults {
		s.Bad("fault", "at most %d of them", maxFaults)
		faults = nil
	}
	for _, t := range faults {
		p.readFault(t)
	}
	p.readWant(s.Table("want"))
	if n := p.Rate * p.Length.Seconds(); n > maxRequests {
		s.Table("load").Bad("rate", "at most %d requests over its length, not %.0f", maxRequests, n)
	}
	s.End()
	if len(d.Mistakes) > 0 {
		return nil, d.Sorted()
	}
	return &p, nil
}

func (p *Plan) readFleet(s *conf.Section, dir string) {
	defer s.End()
	p.Nodes = s.Int("nodes", p.Nodes, 1, MaxNodes)
	if s.Has("zones") {
		if p.Zones = s.Strings("zones"); len(p.Zones) == 0 || slices.Contains(p.Zones, "") {
			s.Bad("zones", "one zone or more, each with a name")
			p.Zones = []string{"a"}
		}
	}
	p.Peers = s.Bool("peers", false)
	if p.Platform = s.Bool("platform", false); p.Platform && p.Peers {
		s.Bad("peers", "false on a platform, where nodes keep no view")
	}
	p.Sockets = s.Float("socket_faults", 0, 0, 0.5)
	p.Weights = s.Duration("weights", 0, 50*time.Millisecond, time.Hour)
	p.Idle = s.Duration("idle", p.Idle, 100*time.Millisecond, time.Hour)
	for _, one := range s.Strings("programs") {
		if !filepath.IsAbs(one) {
			one = filepath.Join(dir, one)
		}
		p.Programs = append(p.Programs, one)
	}
}

func (p *Plan) readLoad(s *conf.Section) {
	defer s.End()
	p.Rate = s.Float("rate", p.Rate, 0.1, 5000)
	p.Length = s.Duration("length", p.Length, 100*time.Millisecond, maxLength)
	p.Cool = s.Duration("cool", p.Cool, 0, time.Minute)
	p.Patience = s.Duration("patience", p.Patience, 0, time.Minute)
	p.Notice = s.Duration("notice", p.Notice, 0, time.Minute)
	p.Open = s.Float("open", p.Open, 0, 0.9)
	p.Leave = s.Float("leave", p.Leave, 0, 0.9)
}

func (p *Plan) readServers(s *conf.Section) {
	defer s.End()
	v := &p.Servers
	v.Count = s.Int("count", v.Count, 1, MaxServers)
	v.Cores = s.Int("cores", v.Cores, 1, 64)
	v.Speed = s.Float("speed", v.Speed, 0.01, 100)
	v.Queue = s.Int("queue", v.Queue, 0, 10_000)
	v.ColdFrom = s.Float("cold_from", v.ColdFrom, 0.01, 1)
	v.ColdTime = s.Duration("cold_time", v.ColdTime, 0, time.Hour)
	v.OverloadFactor = s.Float("overload_factor", v.OverloadFactor, 1, 100)
	v.OverloadTime = s.Duration("overload_time", v.OverloadTime, 100*time.Millisecond, time.Minute)
	v.DrainGrace = s.Duration("drain_grace", v.DrainGrace, 0, time.Minute)
	v.ListDelay = s.Duration("list_delay", v.ListDelay, 0, time.Minute)
}

func (p *Plan) readClass(s *conf.Section) {
	defer s.End()
	c := Class{Name: s.String("name", "")}
	if c.Name == "" || strings.ContainsAny(c.Name, "/ \"\\") || slices.ContainsFunc(p.Classes, func(o Class) bool { return o.Name == c.Name }) {
		s.Bad("name", "a name of its own without blanks, quotes and slashes")
	} else {
		s.SetName("class " + c.Name)
	}
	c.Share = s.Float("share", 1, 0, 1e6)
	c.Work = s.Duration("work", 20*time.Millisecond, 0, time.Minute)
	c.Worth = s.Float("worth", 1, 0.001, 1e6)
	c.Deadline = s.Duration("deadline", 2*time.Second, 300*time.Millisecond, time.Minute)
	c.Aim = s.Duration("aim", c.Deadline/2, time.Millisecond, c.Deadline)
	c.Effect = effectWords[s.OneOf("effect", "safe", "safe", "keyed", "unsafe")]
	if c.Effect == decide.Keyed {
		c.Dedup = s.Duration("dedup", 2500*time.Millisecond, time.Millisecond, time.Hour)
	}
	p.Classes = append(p.Classes, c)
}

// ends are all names that links have.
func (p *Plan) ends() []string {
	all := []string{Clients, Discovery}
	for i := range p.Nodes {
		all = append(all, nodeName(i))
	}
	for i := range p.Servers.Count {
		all = append(all, serverName(i))
	}
	return all
}

func nodeName(i int) string   { return fmt.Sprintf("n%d", i) }
func serverName(i int) string { return fmt.Sprintf("s%d", i) }

// zone is that of a node or server; "" for other ends.
func (p *Plan) zone(end string) string {
	var kind byte
	var i int
	if n, err := fmt.Sscanf(end, "%c%d", &kind, &i); n != 2 || err != nil {
		return ""
	}
	return p.Zones[i%len(p.Zones)]
}

// match tells whether an end goes by a pattern: a name, one with * and ?, or
// @zone for all nodes and servers of a zone.
func (p *Plan) match(pattern, end string) bool {
	if zone, ok := strings.CutPrefix(pattern, "@"); ok {
		return zone == p.zone(end)
	}
	ok, err := path.Match(pattern, end)
	return err == nil && ok
}

func (p *Plan) matching(patterns []string) []string {
	var all []string
	for _, end := range p.ends() {
		if slices.ContainsFunc(patterns, func(one string) bool { return p.match(one, end) }) {
			all = append(all, end)
		}
	}
	return all
}

// wantEnds notes patterns that match nothing.
func (p *Plan) wantEnds(s *conf.Section, key string, patterns []string, allowed func(string) bool, what string) {
	for _, one := range patterns {
		if !slices.ContainsFunc(p.matching([]string{one}), allowed) {
			s.Bad(key, "%s: %q is none of this plan's", what, one)
		}
	}
}

func isNode(end string) bool   { return end[0] == 'n' }
func isServer(end string) bool { return end[0] == 's' }

func (p *Plan) readFault(s *conf.Section) {
	defer s.End()
	f := Fault{What: s.OneOf("what", "", faultWords...)}
	if f.What == "" {
		if !s.Has("what") {
			s.Bad("what", "one of %s", strings.Join(faultWords, ", "))
		}
		s.Keys() // what else is there can't be judged
		return
	}
	s.SetName(fmt.Sprintf("fault %s", f.What))
	f.At = s.Duration("at", 0, 0, maxLength)
	if f.At > p.Length {
		s.Bad("at", "within the load's length of %v", p.Length)
	}
	f.For = s.Duration("for", 0, 0, maxLength)
	switch f.What {
	case FaultLink:
		p.readLink(s, &f)
	case FaultPartition:
		p.readPartition(s, &f)
	case FaultTorn, FaultSilent:
	default:
		p.readTargets(s, &f)
	}
	p.Faults = append(p.Faults, f)
}

func (p *Plan) readLink(s *conf.Section, f *Fault) {
	ends := s.Strings("between")
	if len(ends) != 2 {
		s.Bad("between", "two names or patterns of ends, such as [\"n0\", \"s*\"]")
		ends = []string{"*", "*"}
	}
	f.Between = [2]string{ends[0], ends[1]}
	p.wantEnds(s, "between", ends, func(string) bool { return true }, "ends")
	if len(p.between(f.Between[0], f.Between[1])) == 0 {
		s.Bad("between", "ends with a link between them: clients and nodes, nodes and servers, nodes and discovery, two nodes")
	}
	if f.Only = s.OneOf("only", "both", "both", "there", "back"); f.Only == "both" {
		f.Only = ""
	}
	f.Flap = s.Duration("flap", 0, 50*time.Millisecond, maxLength)
	f.Condition = Condition{Drop: s.Bool("drop", false), Loss: s.Float("loss", 0, 0, 1), Delay: s.Duration("delay", 0, 0, time.Minute),
		Jitter: s.Duration("jitter", 0, 0, time.Minute), Duplicate: s.Float("duplicate", 0, 0, 1), Reorder: s.Float("reorder", 0, 0, 1),
		Rate: s.Int("rate", 0, 1, 1<<30), Stall: s.Bool("stall", false), HalfOpen: s.Bool("half_open", false),
		Reset: s.Float("reset", 0, 0, 1), Cut: s.Float("cut", 0, 0, 1)}
	if f.Condition.sound() {
		s.Bad("between", "something that is wrong with them: drop, loss, delay, jitter, duplicate, reorder, rate, stall, half_open, reset or cut")
	}
}

func (p *Plan) readPartition(s *conf.Section, f *Fault) {
	f.OneWay = s.Bool("one_way", false)
	f.Flap = s.Duration("flap", 0, 50*time.Millisecond, maxLength)
	for _, group := range s.Strings("groups") {
		ends := strings.Fields(group)
		p.wantEnds(s, "groups", ends, func(string) bool { return true }, "ends")
		f.Groups = append(f.Groups, ends)
	}
	if len(f.Groups) < 2 {
		s.Bad("groups", "two groups of ends or more, such as [\"n0 n1 s0\", \"n2 s1\"]")
	}
}

func (p *Plan) readTargets(s *conf.Section, f *Fault) {
	f.Targets = s.Strings("targets")
	allowed, what := func(end string) bool { return isNode(end) || isServer(end) }, "nodes or servers"
	switch f.What {
	case FaultTerm, FaultStarve, FaultClock, FaultReload, FaultMove, FaultStep, FaultCrowd:
		allowed, what = isNode, "nodes"
	case FaultSlow, FaultFail, FaultHang, FaultDrain:
		allowed, what = isServer, "servers"
	}
	if len(f.Targets) == 0 {
		s.Bad("targets", "names or patterns of %s", what)
	}
	p.wantEnds(s, "targets", f.Targets, allowed, what)
	f.Every = s.Duration("every", 0, 0, maxLength)
	f.Count = s.Int("count", 0, 1, MaxNodes+MaxServers)
	switch f.What {
	case FaultSlow:
		f.Factor = s.Float("factor", 4, 0.01, 1000)
	case FaultStarve:
		f.Factor = s.Float("factor", 8, 2, maxStarve)
	case FaultFail:
		f.Part = s.Float("part", 0.5, 0, 1)
	case FaultClock, FaultStep:
		f.Offset = s.Duration("offset", time.Hour, -24*time.Hour, 24*time.Hour)
	case FaultCrowd:
		f.Number = s.Int("connections", 200, 1, maxCrowd)
	case FaultKill, FaultTerm:
		f.State = s.OneOf("state", StateSame, StateSame, StateEmpty, StateTorn, StateOlder, StateFull)
	}
	if f.What == FaultTerm {
		f.Kill, f.Series = s.Bool("kill", false), s.Bool("series", false)
	}
	if f.What == FaultDrain {
		f.Back = s.Bool("back", false)
	}
	if f.What == FaultMove && !p.Platform {
		s.Bad("what", "fleet.platform = true, where a local agent has the list")
	}
	if f.What != FaultFail && s.Has("part") {
		f.Part = s.Float("part", 0, 0.001, 1)
	}
	if f.For == 0 && (f.What == FaultStop || f.What == FaultTerm || f.What == FaultDrain && f.Back || f.What == FaultStep || f.What == FaultCrowd) {
		s.Bad("for", "a time after which it is over")
	}
}

func (p *Plan) readWant(s *conf.Section) {
	defer s.End()
	p.Want.Goodput = s.Float("goodput", p.Want.Goodput, 0, 1)
	p.Want.Least = s.Float("least", p.Want.Least, 0, 1)
	p.Want.After = s.Float("after", p.Want.After, 0, 1)
	p.Want.Recover = s.Duration("recover", 5*time.Second, 0, maxLength)
	if p.Want.View = s.Duration("view", 0, 0, maxLength); p.Want.View > 0 && !p.Peers {
		s.Bad("view", "fleet.peers = true, without which nodes keep no view")
	}
	p.Want.Memory = s.Float("memory_mb", p.Want.Memory, 1, 1<<20)
}

// Format writes a plan as a file that ParsePlan reads back as the same plan.
func (p *Plan) Format() string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	list := func(words []string) string {
		quoted := make([]string, len(words))
		for i, w := range words {
			quoted[i] = fmt.Sprintf("%q", w)
		}
		return "[" + strings.Join(quoted, ", ") + "]"
	}
	line("name = %q\nseed = %d\n\n[fleet]\nnodes = %d\nzones = %s\nidle = %q", p.Name, p.Seed, p.Nodes, list(p.Zones), p.Idle)
	if p.Peers {
		line("peers = true")
	}
	if p.Platform {
		line("platform = true")
	}
	if p.Weights > 0 {
		line("weights = %q", p.Weights)
	}
	if p.Sockets > 0 {
		line("socket_faults = %v", p.Sockets)
	}
	if len(p.Programs) > 0 {
		line("programs = %s", list(p.Programs))
	}
	line("\n[load]\nrate = %v\nlength = %q\ncool = %q\npatience = %q\nnotice = %q\nopen = %v\nleave = %v", p.Rate, p.Length, p.Cool, p.Patience, p.Notice, p.Open, p.Leave)
	v := p.Servers
	line("\n[servers]\ncount = %d\ncores = %d\nspeed = %v\nqueue = %d\ncold_from = %v\ncold_time = %q", v.Count, v.Cores, v.Speed, v.Queue, v.ColdFrom, v.ColdTime)
	line("overload_factor = %v\noverload_time = %q\ndrain_grace = %q\nlist_delay = %q", v.OverloadFactor, v.OverloadTime, v.DrainGrace, v.ListDelay)
	for _, c := range p.Classes {
		line("\n[[class]]\nname = %q\nshare = %v\nwork = %q\nworth = %v\naim = %q\ndeadline = %q\neffect = %q", c.Name, c.Share, c.Work, c.Worth, c.Aim, c.Deadline, effectWord(c.Effect))
		if c.Effect == decide.Keyed {
			line("dedup = %q", c.Dedup)
		}
	}
	for _, f := range p.Faults {
		line("\n[[fault]]")
		f.format(func(key string, value any) {
			switch value := value.(type) {
			case time.Duration:
				line("%s = %q", key, value.String())
			case string:
				line("%s = %q", key, value)
			case []string:
				line("%s = %s", key, list(value))
			default:
				line("%s = %v", key, value)
			}
		})
	}
	if p.Want.View > 0 {
		line("\n[want]\nview = %q", p.Want.View)
	} else {
		line("\n[want]")
	}
	line("goodput = %v\nleast = %v\nafter = %v\nrecover = %q\nmemory_mb = %v", p.Want.Goodput, p.Want.Least, p.Want.After, p.Want.Recover, p.Want.Memory)
	return b.String()
}

// format gives each key of a fault that is not as it would be without it.
func (f *Fault) format(set func(key string, value any)) {
	set("what", f.What)
	set("at", f.At)
	if f.For > 0 {
		set("for", f.For)
	}
	switch f.What {
	case FaultLink:
		set("between", f.Between[:])
		if f.Only != "" {
			set("only", f.Only)
		}
		c := f.Condition
		for _, one := range []struct {
			key   string
			on    bool
			value any
		}{{"drop", c.Drop, true}, {"loss", c.Loss > 0, c.Loss}, {"delay", c.Delay > 0, c.Delay}, {"jitter", c.Jitter > 0, c.Jitter},
			{"duplicate", c.Duplicate > 0, c.Duplicate}, {"reorder", c.Reorder > 0, c.Reorder}, {"rate", c.Rate > 0, c.Rate}, {"stall", c.Stall, true},
			{"half_open", c.HalfOpen, true}, {"reset", c.Reset > 0, c.Reset}, {"cut", c.Cut > 0, c.Cut}} {
			if one.on {
				set(one.key, one.value)
			}
		}
	case FaultPartition:
		var groups []string
		for _, g := range f.Groups {
			groups = append(groups, strings.Join(g, " "))
		}
		set("groups", groups)
		if f.OneWay {
			set("one_way", true)
		}
	case FaultTorn, FaultSilent:
	default:
		set("targets", f.Targets)
		if f.Every > 0 {
			set("every", f.Every)
		}
		if f.Count > 0 {
			set("count", f.Count)
		}
		if f.Part > 0 || f.What == FaultFail {
			set("part", f.Part)
		}
	}
	if f.Flap > 0 {
		set("flap", f.Flap)
	}
	switch f.What {
	case FaultSlow, FaultStarve:
		set("factor", f.Factor)
	case FaultClock, FaultStep:
		set("offset", f.Offset)
	case FaultCrowd:
		set("connections", f.Number)
	case FaultKill, FaultTerm:
		set("state", f.State)
	}
	if f.Back {
		set("back", true)
	}
	if f.Kill {
		set("kill", true)
	}
	if f.Series {
		set("series", true)
	}
}
