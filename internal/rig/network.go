package rig

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"indigotack/internal/standin"
)

// Ports within a rig's block of loopback addresses. Each node has an address
// of its own there, under which it has every other process's stand-in.
const (
	claimPort     = 4700 // of the block's last address: who listens there has the block
	nodePort      = 8080
	seenPort      = 8081 // where clients find a node
	discoveryPort = 8500 // where a node finds discovery
	registryPort  = 8501 // where discovery itself listens for that node
	movePorts     = 10   // between those ports and the ones to which discovery moves
	serverPort    = 9000
	firstServer   = 10000 // where a node finds server 0
	peerPort      = 7946
	adminPort     = 9900
	callerPort    = 9901
	peerBlock     = 64 // nodes themselves listen for peers at their address with so much more in its second byte
)

// block is 254 loopback addresses that no other rig on this machine uses.
type block struct {
	a, b  byte
	claim net.Listener
}

// claimBlock takes a free block. The seed of the choice is the process, as the
// addresses have no part in what a plan does.
func claimBlock() (*block, error) {
	rng := rand.New(rand.NewPCG(uint64(os.Getpid()), rand.Uint64()))
	var err error
	for range 50 {
		k := &block{a: byte(64 + rng.IntN(64)), b: byte(rng.IntN(256))}
		if k.claim, err = net.Listen("tcp", k.at(253, claimPort)); err == nil {
			return k, nil
		}
	}
	return nil, fmt.Errorf("no free block of loopback addresses: %w", err)
}

// at is the i-th address, from 0 to 253, and a port.
func (k *block) at(i, port int) string {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, k.a, k.b, byte(i + 1)}), uint16(port)).String()
}

func (k *block) nodeAt(i int) string { return k.at(i, nodePort) }
func (k *block) seenAt(i int) string { return k.at(i, seenPort) }
func (k *block) discoveryAt(i, place int) string {
	return k.at(i, discoveryPort+place*movePorts)
}
func (k *block) registryAt(i, place int) string { return k.at(i, registryPort+place*movePorts) }
func (k *block) serverAt(j int) string          { return k.at(100+j, serverPort) }
func (k *block) serverSeenAt(i, j int) string   { return k.at(i, firstServer+j) }

// peerAt is where the others find a node, and ownPeerAt where it listens, and
// from where it sends: the switchboard and the hubs know it by that.
func (k *block) peerAt(i int) netip.AddrPort { return netip.MustParseAddrPort(k.at(i, peerPort)) }
func (k *block) ownPeerAt(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, k.a + peerBlock, k.b, byte(i + 1)}), peerPort)
}
func (k *block) adminAt(i int) string { return k.at(i, adminPort) }

// otherAdminAt is an address for operators on another host than the node's others.
func (k *block) otherAdminAt(i int) string {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, k.a + peerBlock, k.b, byte(i + 1)}), adminPort).String()
}

// callerAt is a place that a node may be told to call for its operators' orders.
func (k *block) callerAt(i int) string { return k.at(i, callerPort) }

// socketAt is the path of a Unix socket for a node's operators.
func (k *block) socketAt(i int) string {
	return filepath.Join(os.TempDir(), fmt.Sprintf("operators-%d-%d-%d-%d.sock", os.Getpid(), k.a, k.b, i))
}

// network is every link of a plan, with its relays.
type network struct {
	plan   *Plan
	block  *block
	links  map[[2]string]*link
	relays []*relay
	board  *switchboard // nil where nodes do not talk to each other
}

// newNetwork sets up the links. told hears of each connection that a relay
// makes or fails to make.
func newNetwork(p *Plan, told func(*link, relayEvent)) (*network, error) {
	k, err := claimBlock()
	if err != nil {
		return nil, err
	}
	n := &network{plan: p, block: k, links: map[[2]string]*link{}}
	for _, ends := range p.links() {
		n.links[ends] = newLink(ends[0], ends[1], p.Seed)
	}
	add := func(from, to, at, target string) {
		if err != nil {
			return
		}
		l := n.links[[2]string{from, to}]
		var r *relay
		if r, err = newRelay(l, at, target, func(e relayEvent) { told(l, e) }); err == nil {
			n.relays = append(n.relays, r)
		}
	}
	for i := range p.Nodes {
		name := nodeName(i)
		add(Clients, name, k.seenAt(i), k.nodeAt(i))
		for place := range discoveryPlaces {
			add(name, Discovery, k.discoveryAt(i, place), k.registryAt(i, place))
		}
		for j := range p.Servers.Count {
			add(name, serverName(j), k.serverSeenAt(i, j), k.serverAt(j))
		}
	}
	if err == nil && p.Peers {
		err = n.peers()
	}
	if err != nil {
		n.close()
		return nil, err
	}
	return n, nil
}

// peers sets up what is between nodes.
func (n *network) peers() error {
	names := map[netip.Addr]string{}
	between := func(a, b string) *link {
		if l := n.links[[2]string{a, b}]; l != nil {
			return l
		}
		return n.links[[2]string{b, a}]
	}
	n.board = newSwitchboard(between)
	for i := range n.plan.Nodes {
		names[n.block.ownPeerAt(i).Addr()] = nodeName(i)
	}
	for i := range n.plan.Nodes {
		name := nodeName(i)
		if err := n.board.add(name, n.block.peerAt(i), n.block.ownPeerAt(i)); err != nil {
			return err
		}
		hub, err := newHub(name, func(from netip.Addr) *link { return between(names[from], name) }, n.block.peerAt(i).String(), n.block.ownPeerAt(i).String())
		if err != nil {
			return err
		}
		n.relays = append(n.relays, hub)
	}
	return nil
}

func (n *network) close() {
	for _, r := range n.relays {
		r.close()
	}
	if n.board != nil {
		n.board.close()
	}
	n.block.claim.Close()
}

// put puts a fault on all links that it concerns, or takes it off.
func (n *network) put(number int, f *Fault, on bool) {
	for _, l := range sortedLinks(n.links) {
		c := n.plan.conditions(f, [2]string{l.from, l.to})
		if c[there].sound() && c[back].sound() {
			continue
		}
		if !on {
			c = [directions]Condition{}
		}
		l.put(number, c)
	}
}

// discoveryPlaces are the addresses between which a node's discovery can move.
const discoveryPlaces = 2

// registry is discovery with a front for each node at each place, which gives
// servers' addresses as that node sees them.
type registry struct {
	*standin.Registry
	seen   []func(standin.Entry) standin.Entry // by node
	fronts [][discoveryPlaces]*standin.Front   // by node
	places []*nodePlaces                       // by node
}

func newRegistry(p *Plan, k *block, wrote func(node string, a standin.Written)) (*registry, error) {
	list, err := standin.NewRegistry()
	if err != nil {
		return nil, err
	}
	r := &registry{Registry: list}
	for i := range p.Nodes {
		addresses := map[string]string{}
		for j := range p.Servers.Count {
			addresses[serverName(j)] = k.serverSeenAt(i, j)
		}
		seen := func(e standin.Entry) standin.Entry {
			e.Address = addresses[e.Name]
			return e
		}
		r.seen = append(r.seen, seen)
		var fronts [discoveryPlaces]*standin.Front
		for place := range fronts {
			if fronts[place], err = list.Front(k.registryAt(i, place), seen, func(a standin.Written) { wrote(nodeName(i), a) }); err != nil {
				return nil, errors.Join(err, r.close())
			}
		}
		r.fronts = append(r.fronts, fronts)
		r.places = append(r.places, &nodePlaces{})
	}
	return r, nil
}

// behave has a node's agent answer calls in a manner, or as before.
func (r *registry) behave(node int, answers Answers, over bool) {
	for _, front := range r.fronts[node] {
		if over {
			front.Behave(nil)
		} else {
			front.Behave(answers.manner)
		}
	}
}

func (r *registry) close() error {
	for _, fronts := range r.fronts {
		for _, f := range fronts {
			f.Close()
		}
	}
	return r.Registry.Close()
}

// tellings finds out when nodes have been told: when the relay has written
// the last byte of what discovery wrote.
type tellings struct {
	note func(Event)

	mu      sync.Mutex
	conns   map[string]*relayed  // by the address under which discovery sees them
	waiting map[string][]telling // likewise
	last    map[[2]string]string // what each node was last told of each server
}

type telling struct {
	node  string
	after int64 // bytes of the connection
	say   map[string]string
	whole bool
}

func newTellings(note func(Event)) *tellings {
	return &tellings{note: note, conns: map[string]*relayed{}, waiting: map[string][]telling{}, last: map[[2]string]string{}}
}

// connected makes a connection known.
func (t *tellings) connected(local string, c *relayed) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[local] = c
	c.passed = func() { t.settle(local) }
}

// wrote notes what discovery has written.
func (t *tellings) wrote(node string, a standin.Written) {
	if a.Version == 0 {
		return // one that has been sent no list tells nothing
	}
	say := map[string]string{}
	for _, e := range a.Entries {
		say[e.Name] = e.Status
	}
	t.mu.Lock()
	t.waiting[a.To] = append(t.waiting[a.To], telling{node: node, after: a.Bytes, say: say, whole: a.Snapshot})
	t.mu.Unlock()
	t.settle(a.To)
}

func (t *tellings) settle(local string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.conns[local]
	if c == nil {
		return
	}
	for w := t.waiting[local]; len(w) > 0 && w[0].after <= c.delivered[back].Load(); w = t.waiting[local] {
		t.waiting[local] = w[1:]
		t.told(w[0])
	}
}

func (t *tellings) told(w telling) {
	if w.whole {
		for key := range t.last {
			if _, listed := w.say[key[1]]; key[0] == w.node && !listed {
				w.say[key[1]] = "gone"
			}
		}
	}
	names := make([]string, 0, len(w.say))
	for name := range w.say {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		key := [2]string{w.node, name}
		if t.last[key] != w.say[name] {
			t.last[key] = w.say[name]
			t.note(Event{What: Told, Node: w.node, Server: name, Text: w.say[name]})
		}
	}
}
