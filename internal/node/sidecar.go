package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"indigotack/decide"
	"indigotack/internal/account"
	"indigotack/internal/appconfig"
	"indigotack/internal/clock"
	"indigotack/internal/discovery"
	"indigotack/internal/lifecycle"
	"indigotack/internal/metrics"
	"indigotack/internal/route"
)

// fullWait is the wait advised where the node itself holds all that it may.
const fullWait = 200 * time.Millisecond

// Sidecar is a node beside one application: it serves ordinary clients by the
// application's file, with one module for each pool of servers.
type Sidecar struct {
	*observer
	seed   int64
	front  *frontend
	start  time.Time
	ids    atomic.Uint64
	open   atomic.Int64 // requests in hand
	listed atomic.Int64 // servers of all pools

	mu      sync.RWMutex // held for reading while a request finds its pool, so that none finds one that has been stopped
	app     *appconfig.App
	chooser *route.Chooser
	pools   map[string]*sidePool
	ctx     context.Context

	listMu  sync.Mutex // lists reach the pools in order; taken after mu
	entries map[string]discovery.Entry
	version uint64
	sources *discovery.Sources // follow none with a file of servers
}

// sidePool is one pool with its owner.
type sidePool struct {
	*owner
	pool    appconfig.Pool // guarded by listMu, as members are
	members map[string]bool
	listed  atomic.Int64
	inHand  atomic.Int64
	gone    atomic.Bool
	stop    context.CancelFunc
}

// NewSidecar makes a sidecar for a checked application; Run starts it.
func NewSidecar(app *appconfig.App, seed int64, log *slog.Logger) (*Sidecar, error) {
	s := &Sidecar{observer: newObserver(log), seed: seed, start: time.Now(), app: app, pools: map[string]*sidePool{}, entries: map[string]discovery.Entry{}}
	var err error
	if s.chooser, err = app.Chooser(); err != nil {
		return nil, fmt.Errorf("routes: %w", err)
	}
	room := min(app.ClientRoom(), connectionRoom(app.MemoryMB))
	s.front = newFrontend(s.observer, room)
	s.front.account = account.New(accountSize(app.MemoryMB, room, app.BodyKB<<10))
	s.front.health = app.Health
	s.front.times = times{head: app.Head, read: app.Request, write: app.Write, idle: app.Keep}
	s.front.read = s.read
	s.front.drainChanged = s.followDrain
	if app.Admin.OnListen {
		s.front.orders = ordersWithoutClass
	}
	s.front.plan = func() lifecycle.ShutdownPlan {
		s.mu.RLock()
		defer s.mu.RUnlock()
		return lifecycle.PlanShutdown(s.app.Longest(), false)
	}
	return s, nil
}

// Counters are what the sidecar has counted since it was made.
func (s *Sidecar) Counters() *metrics.Set { return s.counters }

// Operators answers operators' calls in all phases of the sidecar's life, on an
// address that was told by a name.
func (s *Sidecar) Operators(name string) http.Handler { return s.front.operators(name) }

// ServeOperators answers operators on a listener of their own until the server is closed.
func (s *Sidecar) ServeOperators(ln net.Listener, answers http.Handler) *http.Server {
	return s.front.serveOperators(ln, answers)
}

// Drained tells whether operators have the sidecar drained.
func (s *Sidecar) Drained() bool { return s.front.life.Drained() != nil }

// Run serves clients on ln until ctx ends, then finishes what is open.
func (s *Sidecar) Run(ctx context.Context, ln net.Listener) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go s.summarize(inner.Done())
	s.mu.Lock()
	s.ctx = inner
	for _, p := range s.app.Pools {
		s.pools[p.Name] = s.newPool(s.app, p)
	}
	s.listMu.Lock()
	s.sources = s.newSources(s.app)
	s.sources.Start(inner)
	err := s.takeSource(s.app)
	s.listMu.Unlock()
	s.mu.Unlock()
	if err == nil {
		err = s.front.serve(ctx, ln)
	}
	s.mu.Lock()
	pools := s.pools
	s.mu.Unlock()
	for _, p := range pools {
		p.stop()
		<-p.ended
	}
	return err
}

func (s *Sidecar) newPool(app *appconfig.App, pool appconfig.Pool) *sidePool {
	p := &sidePool{pool: pool, members: map[string]bool{}}
	p.owner = newOwner(app.Settings(pool.Name), s.seed^int64(len(s.pools)+1)<<32, app.PoolRoom(), s.with("pool", pool.Name))
	p.backends.ordinary, p.backends.maxBody, p.backends.account = true, app.BodyKB<<10, s.front.account
	p.listChanged = func(servers int) {
		if p.gone.Load() {
			return
		}
		s.noteReady(int64(servers) - p.listed.Swap(int64(servers)))
	}
	p.stop = p.run(s.ctx)
	p.followDrain(&s.front.life)
	return p
}

// followDrain has the modules of all pools know whether the sidecar is drained.
func (s *Sidecar) followDrain() {
	go func() {
		s.mu.RLock()
		defer s.mu.RUnlock()
		for _, p := range s.pools {
			p.followDrain(&s.front.life)
		}
	}()
}

// noteReady: a node is ready once some pool has servers. One pool without any
// must not take the application's other traffic. It takes no lock, as the
// loops call it and must never wait for those who post to them.
func (s *Sidecar) noteReady(more int64) {
	s.front.life.SetReady(s.listed.Add(more) > 0)
}

// Reload takes up a checked application while the sidecar runs: routes,
// classes, pools, tenants, and where servers come from. Requests in hand end
// under what they came under. The rest needs a restart and stays as it was.
func (s *Sidecar) Reload(next *appconfig.App) error {
	chooser, err := next.Chooser()
	if err != nil {
		return fmt.Errorf("routes: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, app := s.app, *next
	for what, differ := range map[string]bool{"listen": old.Listen != app.Listen, "limits": old.Limits != app.Limits,
		"timeouts": old.Timeouts != app.Timeouts, "fleet": !reflect.DeepEqual(old.Fleet, app.Fleet), "name": old.Name != app.Name,
		"peers": !reflect.DeepEqual(old.Peers, app.Peers), "admin": old.Admin != app.Admin} {
		if differ {
			s.log.Warn("of the new file all is taken up but what needs a restart", "section", what)
		}
	}
	app.Name, app.Listen, app.Limits, app.Timeouts, app.Fleet = old.Name, old.Listen, old.Limits, old.Timeouts, old.Fleet
	app.Peers, app.Admin = old.Peers, old.Admin
	pools := map[string]*sidePool{}
	s.listMu.Lock()
	defer s.listMu.Unlock()
	for _, pool := range app.Pools {
		p := s.pools[pool.Name]
		if p == nil {
			p = s.newPool(&app, pool)
			s.fill(p, discovery.Origin{})
		} else {
			if settings := app.Settings(pool.Name); !reflect.DeepEqual(settings, old.Settings(pool.Name)) {
				p.reconfigure(settings)
			}
			if !samePool(p.pool, pool) {
				p.pool = pool
				s.fill(p, discovery.Origin{})
			}
			p.backends.limit(app.PoolRoom())
		}
		pools[pool.Name] = p
	}
	if err := s.takeSource(&app); err != nil {
		s.log.Error("the list of servers stays as it was", "err", err)
	}
	for name, p := range s.pools {
		if pools[name] == nil {
			p.gone.Store(true)
			s.noteReady(-p.listed.Swap(0))
			p.endIfUnused()
		}
	}
	s.app, s.chooser, s.pools = &app, chooser, pools
	return nil
}

func samePool(a, b appconfig.Pool) bool {
	return a.Names == b.Names && reflect.DeepEqual(a.Zones, b.Zones) && reflect.DeepEqual(a.Kinds, b.Kinds)
}

// endIfUnused stops a pool that the file no longer has once it holds nothing.
func (p *sidePool) endIfUnused() {
	if p.gone.Load() && p.inHand.Load() == 0 {
		p.stop()
	}
}

// takeSource reads the file of servers, or follows discovery at a new address. What
// the list came from stays in use until its successor has told one. The caller
// holds mu and listMu.
func (s *Sidecar) takeSource(app *appconfig.App) error {
	if app.ServerFile == "" {
		s.sources.Move(app.Discovery)
		return nil
	}
	servers, mistakes := appconfig.LoadServers(app.ServerFile)
	if len(mistakes) > 0 {
		return mistakes
	}
	s.sources.Leave()
	s.takeFile(servers)
	return nil
}

// newSources makes what follows the list of a discovery service.
func (s *Sidecar) newSources(app *appconfig.App) *discovery.Sources {
	times := discovery.PlanTimes(discovery.Server, app.DrainGrace)
	act := func(f func()) {
		s.mu.RLock()
		defer s.mu.RUnlock()
		s.listMu.Lock()
		defer s.listMu.Unlock()
		f()
	}
	return discovery.NewSources(app.Discovery, discovery.Server, times, 0, s.log, recorder{s.observer}, discovery.Owner{
		Act:        act,
		Known:      func() map[string]discovery.Entry { return s.entries },
		List:       func(l discovery.List) { s.take(l.Entries, l.Index, l.Kind(), l.Origin) },
		CallFailed: onCallFailed,
	})
}

// takeFile makes a list of a file's servers. One that is new since the last
// reading, or has moved, may just have started and is taken as cold.
func (s *Sidecar) takeFile(servers []appconfig.Server) {
	first := s.version == 0
	entries := make([]discovery.Entry, 0, len(servers))
	for _, one := range servers {
		e := discovery.Entry{Name: one.Name, Address: one.Address, Zone: one.Zone, Kind: one.Kind, Cell: one.Cell, Status: "ready", Weight: one.Weight}
		if one.Draining {
			e.Status = "draining"
		}
		if was, known := s.entries[e.Name]; known && was.Address == e.Address {
			e.SinceMS = was.SinceMS
		} else if !first {
			e.SinceMS = clock.Wall().UnixMilli()
		}
		entries = append(entries, e)
	}
	s.take(entries, s.version+1, decide.ListFull, discovery.Origin{})
}

// take passes a list, or changes of it, on to the pools. The caller holds listMu and mu.
func (s *Sidecar) take(entries []discovery.Entry, version uint64, kind decide.ListKind, origin discovery.Origin) {
	s.version = version
	applyList(s.entries, entries, kind != decide.ListChanges)
	for _, p := range s.pools {
		if kind != decide.ListChanges {
			s.fill(p, origin)
			continue
		}
		var changed []discovery.Entry
		for _, e := range entries {
			in := e.State() != decide.Gone && p.pool.Selects(e.Name, e.Zone, e.Kind)
			if !in && !p.members[e.Name] {
				continue
			}
			if !in { // gone, or no longer this pool's
				e.Status = "gone"
				delete(p.members, e.Name)
			} else {
				p.members[e.Name] = true
			}
			changed = append(changed, e)
		}
		if len(changed) > 0 {
			p.post(func() { p.follow(changed, version, decide.ListChanges, origin) })
		}
	}
}

// fill gives a pool its whole list, as a call told it.
func (s *Sidecar) fill(p *sidePool, origin discovery.Origin) {
	clear(p.members)
	var all []discovery.Entry
	for _, e := range s.entries {
		if p.pool.Selects(e.Name, e.Zone, e.Kind) {
			all = append(all, e)
			p.members[e.Name] = true
		}
	}
	version := s.version
	p.post(func() { p.follow(all, version, decide.ListFull, origin) })
}

// find chooses for a request and holds its pool until done is called.
func (s *Sidecar) find(r *http.Request) (route.Choice, *sidePool, *appconfig.App, error) {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	choice, err := s.chooser.Choose(&route.Request{Method: r.Method, Host: r.Host, Path: r.URL.EscapedPath(), Header: r.Header, Client: host})
	if err != nil {
		return choice, nil, s.app, err
	}
	p := s.pools[choice.Pool()]
	p.inHand.Add(1)
	return choice, p, s.app, nil
}

// read checks an ordinary client's request and finds its pool.
func (s *Sidecar) read(w http.ResponseWriter, r *http.Request) (t *taken, status int, err error) {
	client := clientOf(r)
	arrived := client.spokeAt() // the body may take a while, and the client's clock runs
	if status, err := framing(w, r); err != nil {
		return nil, status, err
	}
	choice, pool, app, err := s.find(r)
	if err != nil {
		var e *route.Error
		if !errors.As(err, &e) {
			return nil, http.StatusInternalServerError, err
		}
		if e.Allow != 0 && e.Allow != route.Any {
			w.Header().Set("Allow", e.Allow.String())
		}
		return nil, e.Status, e
	}
	number := s.open.Add(1)
	done := func() {
		s.open.Add(-1)
		pool.inHand.Add(-1)
		pool.endIfUnused()
	}
	defer func() {
		if err != nil {
			done()
		}
	}()
	if number > int64(app.Open) {
		w.Header().Set("Retry-After", strconv.FormatFloat(fullWait.Seconds(), 'f', 3, 64))
		return nil, http.StatusServiceUnavailable, errors.New("too many requests in hand")
	}
	body, held, status, err := bodyReader{s.front.account, app.BodyKB << 10}.read(w, r, arrived.Add(choice.Deadline-answerMargin))
	if err != nil {
		return nil, status, err
	}
	// The client's own id need not be unique: many requests may share a trace.
	id := decide.RequestID(strconv.FormatUint(s.ids.Add(1), 36))
	header := endToEnd(r.Header)
	s.complete(header, r, app, &choice, id)
	e := decide.RequestArrived{ID: id, Class: choice.Class, Tenant: choice.Tenant, Key: choice.Key, Repeat: r.Header.Get("X-Retry") == "1"}
	out := &outbound{method: r.Method, url: target(r.URL), host: r.Host, header: header, body: body, left: client.left}
	finished := func() {
		held.Close()
		done()
	}
	return &taken{owner: pool.owner, event: e, done: finished, req: s.front.newRequest(id, arrived, choice.Deadline, out)}, 0, nil
}

// complete adds what servers want to know and the client did not say.
func (s *Sidecar) complete(h http.Header, r *http.Request, app *appconfig.App, c *route.Choice, id decide.RequestID) {
	if h.Get("X-Request-Id") == "" {
		h.Set("X-Request-Id", fmt.Sprintf("%s-%x-%s", app.Name, uint64(clock.SinceEpoch(s.start)), id))
	}
	// Servers drop repeats by this header, wherever the client keeps its key.
	if c.Effect == decide.Keyed && len(h["Idempotency-Key"]) == 0 {
		h.Set("Idempotency-Key", c.Key)
	}
	if app.Forwarded {
		if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
			h.Set("X-Forwarded-For", strings.Join(append(h["X-Forwarded-For"], host), ", "))
		}
		if h.Get("X-Forwarded-Host") == "" {
			h.Set("X-Forwarded-Host", r.Host)
		}
	}
}
