package appconfig

import (
	"errors"
	"fmt"
	"net/netip"
	"path"
	"slices"
	"strings"

	"indigotack/decide"
	"indigotack/internal/conf"
	"indigotack/internal/route"
)

// check holds what no single key can tell. It also narrows the methods of
// routes to safe classes that name none.
func check(d *conf.Doc, a *App) {
	classes, pools := map[string]*Class{}, map[string]*Pool{}
	for i := range a.Classes {
		classes[a.Classes[i].Name] = &a.Classes[i]
	}
	for i := range a.Pools {
		pools[a.Pools[i].Name] = &a.Pools[i]
	}
	usedClass, usedPool := map[string]bool{}, map[string]bool{}
	for _, name := range a.ClassHeader {
		usedClass[name] = true
		if classes[name] == nil {
			d.Add(d.Root().Table("clients").Pos("classes"), "clients: classes", fmt.Sprintf("%q", name), "the name of a class")
		}
	}
	for i := range a.Routes {
		r := &a.Routes[i]
		a.checkRoute(d, r, classes, pools)
		usedClass[r.Class] = true
		for _, s := range r.Splits {
			usedPool[s.Pool] = usedPool[s.Pool] || s.Weight > 0
		}
	}
	for i := range a.Classes {
		if c := &a.Classes[i]; !usedClass[c.Name] {
			d.Add(c.pos, "class "+c.Name, "no route leads to it", "a route with this class, or the class gone")
		}
	}
	for i := range a.Pools {
		if p := &a.Pools[i]; !usedPool[p.Name] {
			d.Add(p.pos, "pool "+p.Name, "no route leads to it", "a route with this pool and a weight over 0, or the pool gone")
		}
	}
	a.shadowed(d)
	if room := a.poolRoom(); room < poolDescriptors {
		d.Add(a.pos.descriptors, "limits: descriptors", fmt.Sprint(a.Descriptors),
			fmt.Sprintf("more: %d pools would have %d connections each, want %d or more", len(a.Pools), room, poolDescriptors))
	}
	if a.ServerFile != "" && len(d.Mistakes) == 0 {
		servers, mistakes := LoadServers(a.ServerFile)
		d.Mistakes = append(d.Mistakes, mistakes...)
		if len(mistakes) == 0 {
			d.Mistakes = append(d.Mistakes, a.CheckServers(servers)...)
		}
	}
}

// What a node keeps for itself, and what part of the rest clients may hold.
const (
	spareDescriptors = 48
	clientPart       = 0.5
)

// SplitDescriptors is how many connections a node with so many descriptors
// leaves to clients, and how many it may hold to servers.
func SplitDescriptors(total int) (clients, servers int) {
	clients = int(clientPart * float64(total-spareDescriptors))
	return clients, total - spareDescriptors - clients
}

// ClientRoom is how many connections clients may hold.
func (a *App) ClientRoom() int {
	clients, _ := SplitDescriptors(a.Descriptors)
	return clients
}

func (a *App) poolRoom() int {
	_, servers := SplitDescriptors(a.Descriptors)
	return servers / max(1, len(a.Pools))
}

// PoolRoom is how many connections to servers each pool may hold.
func (a *App) PoolRoom() int { return max(poolDescriptors, a.poolRoom()) }

func (a *App) checkRoute(d *conf.Doc, r *Route, classes map[string]*Class, pools map[string]*Pool) {
	name := "route " + r.String()
	c := classes[r.Class]
	if c == nil {
		d.Add(r.pos, name, fmt.Sprintf("class %q", r.Class), "one of "+names(a.Classes, func(c Class) string { return c.Name }))
	} else {
		if c.Effect == decide.Safe {
			if r.Methods == route.Any {
				r.Methods = route.Get | route.Head | route.Options
			} else if r.Methods&^route.Repeatable != 0 {
				d.Add(r.pos, name, fmt.Sprintf("methods %v", r.Methods&^route.Repeatable),
					fmt.Sprintf("methods safe to repeat, as class %s is, or a class that is not", c.Name))
			}
		}
		if r.Deadline > 0 && r.Deadline < c.Aim {
			d.Add(r.pos, name, fmt.Sprintf("deadline %v", r.Deadline), fmt.Sprintf("at least the aim of class %s, %v", c.Name, c.Aim))
		}
	}
	total := 0.0
	for _, s := range r.Splits {
		total += s.Weight
		if pools[s.Pool] == nil {
			d.Add(r.pos, name, fmt.Sprintf("pool %q", s.Pool), "one of "+names(a.Pools, func(p Pool) string { return p.Name }))
		}
	}
	if len(r.Splits) == 0 {
		d.Add(r.pos, name, "no pool", "one of "+names(a.Pools, func(p Pool) string { return p.Name }))
	} else if total == 0 {
		d.Add(r.pos, name, "weights of 0 only", "one weight over 0: its requests would reach no server")
	}
	if h := a.Health; h != "" && (r.Path == h+"/ready" || r.Path == h+"/live" || r.Path == h) {
		d.Add(r.pathPos, name, fmt.Sprintf("%q", r.Path), "a path that the node does not answer itself: set listen: health to another")
	}
	if a.Admin.answers(r.Path) {
		d.Add(r.pathPos, name, fmt.Sprintf("%q", r.Path), "a path that the node does not answer itself: set admin: on_listen to false")
	}
}

func names[T any](all []T, name func(T) string) string {
	var out []string
	for _, v := range all {
		if out = append(out, name(v)); len(out) == 10 {
			break
		}
	}
	return strings.Join(out, ", ")
}

func (a *App) shadowed(d *conf.Doc) {
	routes := make([]route.Route, len(a.Routes))
	for i := range a.Routes {
		routes[i] = a.Routes[i].Route
	}
	_, err := route.New(routes)
	if err == nil {
		return
	}
	for _, err := range err.(interface{ Unwrap() []error }).Unwrap() {
		var conflict *route.ConflictError
		if errors.As(err, &conflict) {
			later, earlier := &a.Routes[conflict.Later.Tag], &a.Routes[conflict.Earlier.Tag]
			d.Add(later.pos, "route "+later.String(), fmt.Sprintf("shadowed by the route in line %d", earlier.pos.Line),
				"another host, path or method: no request would take it")
		}
	}
}

// CheckServers finds pools that select no server of a list.
func (a *App) CheckServers(servers []Server) conf.Mistakes {
	var out conf.Mistakes
	for i := range a.Pools {
		p := &a.Pools[i]
		if !slices.ContainsFunc(servers, func(s Server) bool { return p.Selects(s.Name, s.Zone, s.Kind) }) {
			out = append(out, conf.Mistake{File: a.File, Line: max(1, p.pos.Line), Column: max(1, p.pos.Column), What: "pool " + p.Name,
				Value: "selects none of the listed servers", Want: "zones, kinds and names that some server has"})
		}
	}
	return out
}

// Selects tells whether a server belongs to the pool.
func (p *Pool) Selects(name, zone, kind string) bool {
	if p.Names != "" {
		if ok, err := path.Match(p.Names, name); err != nil || !ok {
			return false
		}
	}
	return (p.Zones == nil || slices.Contains(p.Zones, zone)) && (p.Kinds == nil || slices.Contains(p.Kinds, kind))
}

// Server is one server of a file of servers.
type Server struct {
	Name, Address, Zone, Kind string
	Cell                      int
	Weight                    float64
	Draining                  bool
}

const maxServers = 20_000

// LoadServers reads a file of servers. Its key count, where it is there, must
// be their number, so that a file that is half written is not taken for a
// smaller fleet.
func LoadServers(file string) ([]Server, conf.Mistakes) {
	d := conf.ReadFile(file)
	if len(d.Mistakes) > 0 {
		return nil, d.Sorted()
	}
	s := d.Root()
	s.Int("version", Version, Version, Version)
	count := s.Int("count", -1, 0, maxServers)
	var out []Server
	seen := map[string]bool{}
	for _, t := range bounded(s, "server", maxServers) {
		one := Server{Name: t.String("name", ""), Address: t.String("address", ""), Zone: t.String("zone", ""),
			Kind: t.String("kind", ""), Cell: t.Int("cell", 0, 0, 1<<30), Weight: t.Float("weight", 1, 0, 1e6),
			Draining: t.OneOf("status", "ready", "ready", "draining") == "draining"}
		if one.Name == "" || len(one.Name) > 256 {
			t.Bad("name", "a server's name")
		} else if t.SetName("server " + one.Name); seen[one.Name] {
			t.Bad("name", "a name that no other server has")
		}
		seen[one.Name] = true
		if !hostPort(one.Address) {
			t.Bad("address", "an address such as \"127.0.0.1:9001\"")
		}
		t.End()
		out = append(out, one)
	}
	if s.Has("count") && count >= 0 && count != len(out) {
		s.Bad("count", "the number of servers, %d: the file may be half written", len(out))
	}
	if len(out) == 0 && len(d.Mistakes) == 0 {
		s.Bad("server", "at least one [[server]]")
	}
	s.End()
	if len(d.Mistakes) > 0 {
		return nil, d.Sorted()
	}
	return out, nil
}

// Machine is what the applications of one machine share. A 0 is no limit.
type Machine struct {
	MemoryMB, Descriptors int
	Cores                 float64
}

// CheckTogether finds what no file can tell alone: names and ports that two
// applications of one machine claim, and sums over the machine's limits.
func CheckTogether(apps []*App, m Machine) conf.Mistakes {
	var out conf.Mistakes
	at := func(a *App, p conf.Pos, what, value, want string) {
		out = append(out, conf.Mistake{File: a.File, Line: max(1, p.Line), Column: max(1, p.Column), What: what, Value: value, Want: want})
	}
	named, listens := map[string]*App{}, map[uint16][]*App{}
	for _, a := range apps {
		if other := named[a.Name]; other != nil {
			at(a, a.pos.name, "name", fmt.Sprintf("%q", a.Name), "a name that no other application has: "+other.File+" has it")
		} else {
			named[a.Name] = a
		}
		port := a.Address.Port()
		for _, other := range listens[port] {
			if SameSocket(a.Address.Addr(), other.Address.Addr()) {
				at(a, a.pos.address, "listen: address", a.Address.String(),
					fmt.Sprintf("a port of its own: %s listens on %v (%s)", other.Name, other.Address, other.File))
			}
		}
		listens[port] = append(listens[port], a)
	}
	out = append(out, checkPeers(apps)...)
	var reserving []*App
	for _, a := range apps {
		if a.Reserve != (Ports{}) {
			reserving = append(reserving, a)
		}
	}
	slices.SortStableFunc(reserving, func(a, b *App) int { return int(a.Reserve.First) - int(b.Reserve.First) })
	for i, a := range reserving {
		for port := int(a.Reserve.First); port <= int(a.Reserve.Last); port++ {
			for _, other := range listens[uint16(port)] {
				if other != a {
					at(other, other.pos.address, "listen: address", other.Address.String(),
						fmt.Sprintf("a port outside %v, which %s reserves (%s)", a.Reserve, a.Name, a.File))
				}
			}
		}
		for _, b := range reserving[i+1:] {
			if b.Reserve.First > a.Reserve.Last {
				break
			}
			at(b, b.pos.reserve, "listen: reserve", b.Reserve.String(),
				fmt.Sprintf("ports outside %v, which %s reserves (%s)", a.Reserve, a.Name, a.File))
		}
	}
	if len(apps) == 0 {
		return out
	}
	memory, descriptors, cores := 0, 0, 0.0
	for _, a := range apps {
		memory, descriptors, cores = memory+a.MemoryMB, descriptors+a.Descriptors, cores+a.Cores
	}
	last := apps[len(apps)-1]
	if m.MemoryMB > 0 && memory > m.MemoryMB {
		at(last, last.pos.memory, "limits: memory_mb of all applications", fmt.Sprint(memory), fmt.Sprintf("at most the machine's %d", m.MemoryMB))
	}
	if m.Descriptors > 0 && descriptors > m.Descriptors {
		at(last, last.pos.descriptors, "limits: descriptors of all applications", fmt.Sprint(descriptors), fmt.Sprintf("at most the machine's %d", m.Descriptors))
	}
	if m.Cores > 0 && cores > m.Cores+1e-9 {
		at(last, last.pos.cores, "limits: cores of all applications", fmt.Sprint(cores), fmt.Sprintf("at most the machine's %v", m.Cores))
	}
	return out
}

// checkPeers finds members of fleets that can't live together on one machine: the same
// name, address or state folder twice, and admin addresses that meet another listener.
func checkPeers(apps []*App) (out conf.Mistakes) {
	bad := func(a *App, p conf.Pos, what, value, want string, other *App) {
		out = append(out, conf.Mistake{File: a.File, Line: max(1, p.Line), Column: max(1, p.Column), What: what, Value: value, Want: want + ": " + other.File + " has it"})
	}
	names, folders := map[string]*App{}, map[string]*App{}
	listens := map[netip.AddrPort]*App{}
	for _, a := range apps {
		listens[a.Address] = a
	}
	for _, a := range apps {
		if p := a.Peers; p != nil {
			if other := names[p.Name]; other != nil {
				bad(a, a.pos.peerName, "peers: name", fmt.Sprintf("%q", p.Name), "a name that no other member has", other)
			}
			if other := folders[p.State]; other != nil {
				bad(a, a.pos.peerState, "peers: state", fmt.Sprintf("%q", p.State), "a folder that no other member has", other)
			}
			if other := listens[p.Listen]; other != nil {
				bad(a, a.pos.peerListen, "peers: listen", p.Listen.String(), "an address that nobody else listens on", other)
			}
			names[p.Name], folders[p.State], listens[p.Listen] = a, a, a
		}
		if address := a.Admin.Address; address.IsValid() {
			if other := listens[address]; other != nil {
				bad(a, a.pos.admin, "admin: address", address.String(), "an address that nobody else listens on", other)
			}
			listens[address] = a
		}
	}
	return out
}

// SameSocket tells whether two listeners on one port would meet. A socket on
// [::] takes IPv4 as well unless told otherwise, and Go's does.
func SameSocket(a, b netip.Addr) bool {
	a, b = a.Unmap().WithZone(""), b.Unmap().WithZone("")
	switch {
	case a == b:
		return true
	case a.IsUnspecified() && (a.Is6() || b.Is4()):
		return true
	case b.IsUnspecified() && (b.Is6() || a.Is4()):
		return true
	}
	return false
}
