// Package appconfig is an application's file: what a sidecar needs to know of
// one application, read strictly, checked as a whole, compared and written.
// It opens files and does no other I/O; what is checked here is final, so that
// a node that starts from a checked App needs no checks of its own.
package appconfig

import (
	"fmt"
	"net/netip"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"indigotack/decide"
	"indigotack/internal/conf"
	"indigotack/internal/route"
)

// Version is the only version of the file so far.
const Version = 1

// Defaults and bounds. docs/sidecar.md says what each costs.
const (
	DefaultMemoryMB    = 192
	DefaultDescriptors = 1024
	DefaultBodyKB      = 64
	DefaultHealth      = "/health"
	DefaultTenant      = "X-Tenant"

	leastMemoryMB    = 32
	leastDescriptors = 128
	poolDescriptors  = 16 // a pool's connections, at least
	maxRoutes        = 100_000
	maxPools         = 32
	maxClasses       = 64
	maxTenants       = 10_000
)

// App is one application's file.
type App struct {
	File string
	Name string
	Listen
	Limits
	Fleet
	Servers
	Timeouts
	Retries
	Clients
	Peers   *Peers // nil: this node knows of the others only what [fleet] says
	Admin   Admin
	Classes []Class
	Pools   []Pool
	Tenants []Tenant
	Routes  []Route

	pos struct{ name, address, reserve, memory, descriptors, cores, peerName, peerListen, peerState, admin conf.Pos }
}

// Listen says where clients connect.
type Listen struct {
	Address netip.AddrPort
	Health  string // path under which the node answers /ready and /live; "" for none
	Reserve Ports  // further ports of the application, which no other may claim
}

// Ports is a range of ports, both ends in it; the zero value is none.
type Ports struct{ First, Last uint16 }

// Limits is what the node may use.
type Limits struct {
	MemoryMB    int
	Descriptors int
	Cores       float64
	BodyKB      int // of a request or an answer, which are held whole
	Open        int // requests in hand
}

// Fleet is the nodes that send to the same servers.
type Fleet struct {
	Nodes, Number int
	Zone          string
	Kinds         []string // kinds of machines that are judged apart
}

// Servers says where the list of servers comes from, and how servers start.
type Servers struct {
	Discovery      string // host:port; "" if File is set
	ServerFile     string // path, from the application's file on
	ColdFrom       float64
	ColdTime       time.Duration
	OverloadFactor float64
	OverloadTime   time.Duration
	DrainGrace     time.Duration
}

// Peers is how a node finds the others of its fleet.
type Peers struct {
	Name              string         // one in the fleet
	Listen, Advertise netip.AddrPort // UDP and TCP: where it listens, and under which address the others find it
	Join              []string       // addresses of some others
	State             string         // folder of this node's own, absolute or from the working folder on
	Keys              [][]byte
	Probe, Settle     time.Duration
	Retry, Remember   time.Duration
}

// Timeouts bounds what the node waits for, beside the requests' own deadlines.
type Timeouts struct{ Connect, Idle, Head, Request, Write, Keep time.Duration }

// Retries bounds further attempts.
type Retries struct {
	Attempts int           // for one request, the first among them
	MaxWait  time.Duration // the longest wait that a refusal advises
}

// Clients says what clients may set for themselves, and what the node adds.
type Clients struct {
	Deadline      string // "route", "shorten" or "extend"
	MaxDeadline   time.Duration
	ClassHeader   []string // classes that X-Class may choose
	TenantHeader  string
	Forwarded     bool // X-Forwarded-For is added to
	KeepSlash     bool // encoded slashes pass
	DefaultTenant string
}

// Class is one kind of request.
type Class struct {
	Name        string
	Worth       float64
	LateWorth   float64
	Aim         time.Duration
	Deadline    time.Duration
	Effect      decide.Effect
	Scope       decide.Scope
	DedupWindow time.Duration
	Key         route.KeySource
	Unkeyed     string // for keyed classes, a request without key: "unsafe" or "refuse"

	pos conf.Pos
}

// Pool is a set of servers, chosen by what the list says of them.
type Pool struct {
	Name  string
	Zones []string // nil: all
	Kinds []string // nil: all
	Names string   // pattern as path.Match has it; "": all

	pos conf.Pos
}

// Tenant is a customer with a guaranteed rate.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all nodes, in each pool
}

// Route is a route with its deadline and the place of its key.
type Route struct {
	route.Route
	Deadline time.Duration   // 0: the class's
	SplitKey route.KeySource // by which weights are applied; none: the client's address

	pos, hostPos, pathPos conf.Pos
}

var nameForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9_-]{0,62}[a-z0-9])?$`)

const nameWant = "lower-case letters, digits, - and _, at most 64"

// Load reads and checks the file at path. The error, if there is one, is conf.Mistakes.
func Load(path string) (*App, error) {
	return result(conf.ReadFile(path))
}

// Parse is Load for a text; servers' files are looked for from file's folder on.
func Parse(file string, data []byte) (*App, error) {
	return result(conf.Parse(file, data))
}

func result(d *conf.Doc) (*App, error) {
	if len(d.Mistakes) > 0 {
		return nil, d.Sorted()
	}
	a := decode(d)
	check(d, a)
	if len(d.Mistakes) > 0 {
		return nil, d.Sorted()
	}
	return a, nil
}

func decode(d *conf.Doc) *App {
	s := d.Root()
	a := &App{File: d.File}
	if v := s.Int("version", 0, Version, Version); v == 0 && !s.Has("version") {
		s.Bad("version", "version = %d", Version)
	}
	a.Name = s.String("name", "")
	if a.pos.name = s.Pos("name"); !nameForm.MatchString(a.Name) {
		s.Bad("name", nameWant)
	}
	a.listen(s.Table("listen"))
	a.limits(s.Table("limits"))
	a.fleet(s.Table("fleet"))
	a.servers(s.Table("servers"))
	a.timeouts(s.Table("timeouts"))
	a.retries(s.Table("retries"))
	a.clients(s.Table("clients"))
	if s.Has("peers") {
		a.peers(s.Table("peers"))
	}
	a.admin(s.Table("admin"))
	for _, t := range bounded(s, "class", maxClasses) {
		a.class(t)
	}
	for _, t := range bounded(s, "pool", maxPools) {
		a.pool(t)
	}
	for _, t := range bounded(s, "tenant", maxTenants) {
		a.tenant(t)
	}
	for _, t := range bounded(s, "route", maxRoutes) {
		a.route(t)
	}
	s.End()
	a.fill()
	return a
}

func bounded(s *conf.Section, key string, most int) []*conf.Section {
	all := s.Tables(key)
	if len(all) > most {
		s.Bad(key, "at most %d of them, not %d", most, len(all))
		return all[:most]
	}
	return all
}

// fill adds what a short file leaves out: one pool of all servers, an unsafe
// class, and a route to them.
func (a *App) fill() {
	if len(a.Pools) == 0 {
		a.Pools = []Pool{{Name: "all"}}
	}
	if len(a.Routes) == 0 {
		a.Routes = []Route{{Route: route.Route{Path: "/", Prefix: true, Methods: route.Any}}}
	}
	silent := slices.ContainsFunc(a.Routes, func(r Route) bool { return r.Class == "" || r.Class == defaultClass })
	if silent && !slices.ContainsFunc(a.Classes, func(c Class) bool { return c.Name == defaultClass }) {
		a.Classes = append(a.Classes, Class{Name: defaultClass, Worth: 1, Aim: defaultAim, Deadline: defaultDeadline, Unkeyed: "unsafe"})
	}
	for i := range a.Routes {
		r := &a.Routes[i]
		if r.Tag = i; r.Class == "" {
			r.Class = defaultClass
		}
		if len(r.Splits) == 0 && len(a.Pools) == 1 {
			r.Splits = []route.Split{{Pool: a.Pools[0].Name, Weight: 1}}
		}
	}
}

func (a *App) listen(s *conf.Section) {
	defer s.End()
	a.pos.address = s.Pos("address")
	if text := s.String("address", ""); text != "" || !s.Has("address") {
		at, err := netip.ParseAddrPort(text)
		if err != nil || at.Port() == 0 {
			s.Bad("address", "an address and port such as \"127.0.0.1:8080\" or \"[::]:8080\"")
		}
		a.Address = at
	}
	a.Health = s.String("health", DefaultHealth)
	if a.Health != "" && (a.Health[0] != '/' || strings.HasSuffix(a.Health, "/")) {
		s.Bad("health", "a path such as %q, without a slash at the end, or \"\" for none", DefaultHealth)
	}
	if a.pos.reserve = s.Pos("reserve"); s.Has("reserve") {
		if text := s.String("reserve", ""); text != "" {
			var ok bool
			if a.Reserve, ok = ParsePorts(text); !ok {
				s.Bad("reserve", "a range of ports such as \"8100-8109\"")
			}
		}
	}
}

// ParsePorts reads "8100-8109" or "8100".
func ParsePorts(text string) (Ports, bool) {
	first, last, ranged := strings.Cut(text, "-")
	if !ranged {
		last = first
	}
	lo, err1 := parsePort(first)
	hi, err2 := parsePort(last)
	return Ports{lo, hi}, err1 && err2 && lo <= hi
}

func parsePort(s string) (uint16, bool) {
	at, err := netip.ParseAddrPort("0.0.0.0:" + strings.TrimSpace(s))
	return at.Port(), err == nil && at.Port() != 0
}

func (p Ports) String() string {
	if p.First == p.Last {
		return fmt.Sprint(p.First)
	}
	return fmt.Sprintf("%d-%d", p.First, p.Last)
}

func (a *App) limits(s *conf.Section) {
	defer s.End()
	a.MemoryMB = s.Int("memory_mb", DefaultMemoryMB, leastMemoryMB, 1<<20)
	a.Descriptors = s.Int("descriptors", DefaultDescriptors, leastDescriptors, 1<<20)
	a.Cores = s.Float("cores", 1, 0.1, 1024)
	a.BodyKB = s.Int("body_kb", DefaultBodyKB, 1, 64<<10)
	most := a.openWithin()
	a.Open = s.Int("open", max(1, min(most, 10_000)), 1, 1<<20)
	a.pos.memory, a.pos.descriptors, a.pos.cores = s.Pos("memory_mb"), s.Pos("descriptors"), s.Pos("cores")
	switch {
	case most < 1:
		s.Bad("body_kb", "at most %d: a request may hold two bodies, in half of %d MB", a.MemoryMB<<10/4, a.MemoryMB)
	case a.Open > most:
		s.Bad("open", "at most %d: each request may hold two bodies of %d KB, in half of %d MB", most, a.BodyKB, a.MemoryMB)
	}
}

// openWithin is how many requests half of the memory can hold at their largest.
func (a *App) openWithin() int { return a.MemoryMB << 10 / 2 / (2 * a.BodyKB) }

func (a *App) fleet(s *conf.Section) {
	defer s.End()
	a.Nodes = s.Int("nodes", 1, 1, 100_000)
	a.Number = s.Int("number", 0, 0, 99_999)
	if a.Number >= a.Nodes {
		s.Bad("number", "less than nodes, which is %d: numbers count from 0", a.Nodes)
	}
	a.Zone = s.String("zone", "")
	a.Fleet.Kinds = s.Strings("kinds")
}

func (a *App) servers(s *conf.Section) {
	defer s.End()
	a.Discovery, a.ServerFile = s.String("discovery", ""), s.String("file", "")
	switch {
	case s.Has("discovery") && s.Has("file"):
		s.Bad("file", "either discovery or file, not both")
	case s.Has("file"):
		if a.ServerFile == "" {
			s.Bad("file", "the path of a file of servers")
		} else if !filepath.IsAbs(a.ServerFile) {
			a.ServerFile = filepath.Join(filepath.Dir(a.File), a.ServerFile)
		}
	case !s.Has("discovery"):
		s.Bad("discovery", "where the list of servers comes from: discovery = \"host:port\" or file = \"path\"")
	case !hostPort(a.Discovery):
		s.Bad("discovery", "an address such as \"127.0.0.1:8500\"")
	}
	a.ColdFrom = s.Float("cold_from", 0.3, 0.01, 1)
	a.ColdTime = s.Duration("cold_time", 10*time.Second, 0, time.Hour)
	a.OverloadFactor = s.Float("overload_factor", 3, 1, 100)
	a.OverloadTime = s.Duration("overload_time", time.Second, 10*time.Millisecond, time.Minute)
	a.DrainGrace = s.Duration("drain_grace", 2*time.Second, 0, time.Minute)
}

func (a *App) timeouts(s *conf.Section) {
	defer s.End()
	a.Connect = s.Duration("connect", 250*time.Millisecond, time.Millisecond, time.Minute)
	a.Idle = s.Duration("idle", time.Minute, 100*time.Millisecond, time.Hour)
	a.Head = s.Duration("head", 2*time.Second, 10*time.Millisecond, time.Minute)
	a.Request = s.Duration("request", 2500*time.Millisecond, 10*time.Millisecond, 10*time.Minute)
	a.Write = s.Duration("write", 5*time.Second, 10*time.Millisecond, 10*time.Minute)
	a.Keep = s.Duration("keep", 4*time.Second, 10*time.Millisecond, time.Hour)
	if a.Request < a.Head {
		s.Bad("request", "at least the time for the head, %v, which is part of it", a.Head)
	}
}

func (a *App) retries(s *conf.Section) {
	defer s.End()
	a.Attempts = s.Int("attempts", 3, 1, 16)
	a.MaxWait = s.Duration("max_wait", 2*time.Second, 0, time.Minute)
}

func (a *App) clients(s *conf.Section) {
	defer s.End()
	a.Clients.Deadline = s.OneOf("deadline", "shorten", "route", "shorten", "extend")
	a.MaxDeadline = s.Duration("max_deadline", 0, time.Millisecond, time.Hour)
	if a.Clients.Deadline == "extend" && a.MaxDeadline == 0 {
		s.Bad("max_deadline", "how far clients may extend a deadline")
	}
	if a.Clients.Deadline != "extend" && s.Has("max_deadline") {
		s.Bad("max_deadline", "no such bound unless deadline = \"extend\"")
	}
	a.ClassHeader = s.Strings("classes")
	a.TenantHeader = s.String("tenant_header", DefaultTenant)
	a.Clients.DefaultTenant = s.String("default_tenant", "")
	a.Forwarded = s.Bool("forwarded", true)
	a.KeepSlash = s.OneOf("encoded_slash", "refuse", "refuse", "keep") == "keep"
	if _, err := route.ParseKeySource("header:" + a.TenantHeader); err != nil {
		s.Bad("tenant_header", "a header's name")
	}
}

const (
	defaultClass    = "default" // of routes that name none; unsafe unless the file has one of that name
	defaultAim      = time.Second
	defaultDeadline = 5 * time.Second
	leastDeadline   = 30 * time.Millisecond
)

var effects = map[string]decide.Effect{"safe": decide.Safe, "keyed": decide.Keyed, "unsafe": decide.Unsafe}

var scopes = map[string]decide.Scope{"cell": decide.ScopeCell, "zone": decide.ScopeZone, "all": decide.ScopeAll}

func (a *App) class(s *conf.Section) {
	defer s.End()
	c := Class{Name: s.String("name", ""), pos: s.Pos("name")}
	if !nameForm.MatchString(c.Name) {
		s.Bad("name", nameWant)
	} else {
		s.SetName("class " + c.Name)
	}
	if slices.ContainsFunc(a.Classes, func(o Class) bool { return o.Name == c.Name }) && c.Name != "" {
		s.Bad("name", "a name that no other class has")
	}
	c.Worth = s.Float("worth", 1, 0, 1e6)
	c.LateWorth = s.Float("late_worth", 0, 0, 1)
	c.Aim = s.Duration("aim", 0, time.Millisecond, time.Hour)
	c.Deadline = s.Duration("deadline", 0, leastDeadline, time.Hour)
	switch { // one alone gives the other
	case c.Aim == 0 && c.Deadline == 0:
		c.Aim, c.Deadline = defaultAim, defaultDeadline
	case c.Aim == 0:
		c.Aim = min(defaultAim, c.Deadline)
	case c.Deadline == 0:
		c.Deadline = max(defaultDeadline, c.Aim)
	case c.Aim > c.Deadline:
		s.Bad("aim", "at most the deadline, %v", c.Deadline)
	}
	if s.Has("deadline") && c.Deadline < a.Connect {
		s.Bad("deadline", "more than the time-out for connecting, %v", a.Connect)
	}
	c.Effect = effects[s.OneOf("effect", "unsafe", "safe", "keyed", "unsafe")]
	c.Scope = scopes[s.OneOf("key_scope", "cell", "cell", "zone", "all")]
	c.DedupWindow = s.Duration("dedup_window", 0, 10*time.Millisecond, 24*time.Hour)
	c.Unkeyed = s.OneOf("without_key", "unsafe", "unsafe", "refuse")
	if text := s.String("key", ""); text != "" {
		var err error
		if c.Key, err = route.ParseKeySource(text); err != nil {
			s.Bad("key", "header:NAME, cookie:NAME or segment:N (from 1; negative from the end)")
		}
	}
	if c.Effect == decide.Keyed {
		if c.DedupWindow == 0 && !s.Has("dedup_window") {
			s.Bad("dedup_window", "how long the servers remember a key")
		}
		if c.Key.Kind == route.NoKey && !s.Has("key") {
			s.Bad("key", "where a request's key stands: header:NAME, cookie:NAME or segment:N")
		}
	} else {
		for _, key := range []string{"key_scope", "dedup_window", "key", "without_key"} {
			if s.Has(key) {
				s.Bad(key, "no such key unless effect = \"keyed\"")
			}
		}
	}
	a.Classes = append(a.Classes, c)
}

func (a *App) pool(s *conf.Section) {
	defer s.End()
	p := Pool{Name: s.String("name", ""), pos: s.Pos("name")}
	if !nameForm.MatchString(p.Name) {
		s.Bad("name", nameWant)
	} else {
		s.SetName("pool " + p.Name)
	}
	if slices.ContainsFunc(a.Pools, func(o Pool) bool { return o.Name == p.Name }) && p.Name != "" {
		s.Bad("name", "a name that no other pool has")
	}
	p.Zones, p.Kinds, p.Names = s.Strings("zones"), s.Strings("kinds"), s.String("names", "")
	if _, err := path.Match(p.Names, ""); err != nil {
		s.Bad("names", "a pattern with * ? and [a-z]")
	}
	for key, list := range map[string][]string{"zones": p.Zones, "kinds": p.Kinds} {
		if list != nil && len(list) == 0 {
			s.Bad(key, "at least one; without the key there is no such rule")
		}
	}
	a.Pools = append(a.Pools, p)
}

func (a *App) tenant(s *conf.Section) {
	defer s.End()
	t := Tenant{Name: s.String("name", ""), Quota: s.Float("quota", 0, 0.001, 1e9)}
	if t.Name == "" {
		s.Bad("name", "a tenant's name")
	} else {
		s.SetName("tenant " + t.Name)
	}
	if !s.Has("quota") {
		s.Bad("quota", "requests a second over all nodes")
	}
	if slices.ContainsFunc(a.Tenants, func(o Tenant) bool { return o.Name == t.Name }) && t.Name != "" {
		s.Bad("name", "a name that no other tenant has")
	}
	a.Tenants = append(a.Tenants, t)
}

func (a *App) route(s *conf.Section) {
	defer s.End()
	r := Route{pos: s.Pos(""), hostPos: s.Pos("host"), pathPos: s.Pos("path")}
	r.Host = strings.ToLower(strings.TrimSuffix(s.String("host", ""), "."))
	if s.Has("host") && !hostForm(r.Host) {
		s.Bad("host", "a host's name without a port, or *. and one, as \"*.example.org\"")
	}
	switch {
	case s.Has("path") && s.Has("prefix"):
		s.Bad("prefix", "either path or prefix, not both")
		r.Path = "/"
	case s.Has("path"):
		r.Path = s.String("path", "/")
	default:
		r.Path, r.Prefix, r.pathPos = s.String("prefix", "/"), true, s.Pos("prefix")
	}
	if clean, err := route.Clean(r.Path, true); err != nil {
		key := "path"
		if r.Prefix {
			key = "prefix"
		}
		s.Bad(key, "an absolute path without . or .. segments: %v", err)
		r.Path = "/"
	} else {
		r.Path = clean
	}
	r.Methods = route.Any
	if s.Has("methods") {
		names := s.Strings("methods")
		m, err := route.ParseMethods(names)
		if err != nil || m == 0 {
			s.Bad("methods", "some of GET, HEAD, OPTIONS, PUT, DELETE, POST, PATCH")
		} else {
			r.Methods = m
		}
	}
	r.Class = s.String("class", "")
	r.Deadline = s.Duration("deadline", 0, leastDeadline, time.Hour)
	if s.Has("deadline") && r.Deadline > 0 && r.Deadline < a.Connect {
		s.Bad("deadline", "more than the time-out for connecting, %v", a.Connect)
	}
	if s.Has("pool") {
		if s.Has("split") {
			s.Bad("split", "either pool or split, not both")
		}
		r.Splits = []route.Split{{Pool: s.String("pool", ""), Weight: 1}}
	}
	for _, t := range s.Tables("split") {
		part := route.Split{Pool: t.String("pool", ""), Weight: t.Float("weight", 1, 0, 1e6)}
		if slices.ContainsFunc(r.Splits, func(o route.Split) bool { return o.Pool == part.Pool }) && !s.Has("pool") {
			t.Bad("pool", "each pool once in a split")
		}
		r.Splits = append(r.Splits, part)
		t.End()
	}
	if text := s.String("split_key", ""); text != "" {
		var err error
		if r.SplitKey, err = route.ParseKeySource(text); err != nil {
			s.Bad("split_key", "header:NAME, cookie:NAME or segment:N")
		}
	}
	a.Routes = append(a.Routes, r)
}

var label = regexp.MustCompile(`^[a-z0-9_]([a-z0-9_-]{0,61}[a-z0-9_])?$`)

// hostForm tells whether a lower-case name can be a route's host.
func hostForm(h string) bool {
	h = strings.TrimPrefix(h, "*.")
	if addr, err := netip.ParseAddr(h); err == nil {
		return addr.IsValid()
	}
	if h == "" || len(h) > 253 {
		return false
	}
	for part := range strings.SplitSeq(h, ".") {
		if !label.MatchString(part) {
			return false
		}
	}
	return true
}

func hostPort(s string) bool {
	at, err := netip.ParseAddrPort(s)
	if err == nil {
		return at.Port() != 0
	}
	host, port, ok := strings.Cut(s, ":")
	_, good := parsePort(port)
	return ok && good && hostForm(strings.ToLower(host))
}
