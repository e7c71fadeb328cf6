package rig

import (
	"cmp"
	"fmt"
	"path"
	"slices"
	"strings"
	"time"

	"indigotack/decide"
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
	Calls    float64       // part of the nodes' system calls connect, accept and socket that fail, by the kernel's word
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
	FaultMove      = "move"      // a node's discovery moves to another address, which its file names and SIGHUP tells
	FaultSlow      = "slow"      // a server is slower by Factor
	FaultFail      = "fail"      // a server answers Part of its requests with an error
	FaultHang      = "hang"      // a server takes requests and says nothing
	FaultDrain     = "drain"     // a server is listed as draining, and as gone after the duration; then it is ended
	FaultTorn      = "torn"      // discovery's answers end halfway
	FaultSilent    = "silent"    // the watches that are open at discovery are never answered; new ones are
	FaultStep      = "step"      // a node's wall clock steps by Offset while it runs, and back after the duration
	FaultCrowd     = "crowd"     // clients hold so many connections to a node and send nothing, or half a request
	FaultAnswers   = "answers"   // a node's agent answers calls late, in parts or not at all, as Answers says
	FaultQuiesce   = "quiesce"   // operators tell a node to drain, and to resume after the duration
)

var faultWords = []string{FaultLink, FaultPartition, FaultKill, FaultTerm, FaultStop, FaultStarve, FaultClock, FaultReload, FaultMove, FaultSlow, FaultFail, FaultHang, FaultDrain, FaultTorn, FaultSilent, FaultStep, FaultCrowd, FaultAnswers, FaultQuiesce}

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
	Does    string // crowd: what its clients do
	Dealt   bool   // quiesce: clients are sent to the node all the same
	Answers Answers
	Move    Move
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

// unsafest is the class whose requests may least be repeated.
func (p *Plan) unsafest() Class {
	return slices.MinFunc(p.Classes, func(a, b Class) int { return cmp.Compare(a.Effect, b.Effect) })
}

func isNode(end string) bool   { return end[0] == 'n' }
func isServer(end string) bool { return end[0] == 's' }
