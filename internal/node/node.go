// Package node carries out the decisions of package decide on real sockets: it
// takes clients' requests, sends them to servers, follows the list of servers
// and answers, each request once and in time.
package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"indigotack/decide"
	"indigotack/internal/account"
	"indigotack/internal/appconfig"
	"indigotack/internal/discovery"
	"indigotack/internal/metrics"
	"indigotack/internal/neterr"
	"indigotack/internal/operators"
	"indigotack/internal/repeats"
)

// Node is one load-balancing proxy node on a platform: one pool of servers,
// and clients that name class and deadline themselves.
type Node struct {
	*owner
	cfg       Config
	front     *frontend
	sources   *discovery.Sources   // the loop's
	listeners *operators.Listeners // operators' own; nil: HearOperators was not called
}

// New makes a node; Run starts it.
func New(cfg Config, log *slog.Logger) *Node {
	clients, servers := appconfig.SplitDescriptors(cfg.Sockets)
	clients, servers = min(clients, connectionRoom(cfg.MemoryMB)), min(servers, connectionRoom(cfg.MemoryMB))
	set := cfg.Settings
	// Each open request has a client's connection. Some are left for requests
	// that are refused: a client whose connection is closed without a word is
	// told nothing.
	if room := clients - max(1, clients/16); set.MaxOpen <= 0 || set.MaxOpen > room {
		set.MaxOpen = room
	}
	n := &Node{cfg: cfg, owner: newOwner(set, cfg.Seed, servers, newObserver(log))}
	n.front = platformFront(n, clients)
	n.front.account = account.New(accountSize(cfg.MemoryMB, clients, maxBody))
	n.backends.account, n.mayHaveRun = n.front.account, repeats.New(n.front.account)
	n.owner.listChanged = func(servers int) { n.front.life.SetReady(servers > 0) }
	n.owner.ask = func(fetch, watch bool) { n.sources.Ask(n.ctx, fetch, watch) }
	n.sources = n.newSources()
	return n
}

// Operators answers operators' calls in all phases of the node's life, whether or not Run
// has begun, on an address that was told by a name. It is to be served where clients do not
// connect, as it takes each call for an operator's.
func (n *Node) Operators(name string) http.Handler { return n.front.operators(name) }

// HearOperators hears operators at the addresses that the node was told, and will
// be told by Reload, until stop is called. What answers them on an address is made
// for the name that told it.
func (n *Node) HearOperators(answers func(name string) http.Handler) (stop func()) {
	serve := func(ln net.Listener, name, prefix string) *http.Server {
		return n.front.serveOperators(ln, operators.WithoutPrefix(prefix, answers(name)))
	}
	n.listeners = operators.Start(n.cfg.Operators, n.cfg.Name, serve, n.log)
	return n.listeners.Close
}

// Counters are what the node has counted since it was made.
func (n *Node) Counters() *metrics.Set { return n.counters }

// newSources makes what follows the list at the configured address. Its news are
// taken up by the event loop.
func (n *Node) newSources() *discovery.Sources {
	from := discovery.Agent
	if n.cfg.Settings.AskForList {
		from = discovery.Asked
	}
	times := watchTimes(discovery.PlanTimes(from, n.cfg.Settings.DrainGrace))
	return discovery.NewSources(n.cfg.Discovery, from, times, n.cfg.known.Index, n.log, recorder{n.observer}, discovery.Owner{
		Act:        n.post,
		Known:      func() map[string]discovery.Entry { return n.entries },
		List:       func(l discovery.List) { n.follow(l.Entries, l.Index, l.Kind(), l.Origin) },
		Failed:     func() { n.handle(decide.ListUpdate{Kind: decide.ListFailed}) },
		Confirmed:  func(at time.Time) { n.backends.stalls.confirm(at) }, // without a guard, nothing
		CallFailed: n.discoveryFailed,
	})
}

// discoveryFailed makes room for the next call to discovery where this one failed
// for want of a descriptor.
func (n *Node) discoveryFailed(err error) {
	onCallFailed(err)
	if neterr.OutOfDescriptors(err) {
		n.backends.freeDescriptor()
	}
}

// watchStalls has the list confirmed after the process stood still.
func (n *Node) watchStalls() {
	n.backends.stalls = newStallGuard(n.cfg.Settings.DrainGrace, func() {
		n.note(slog.LevelWarn, "the process stood still, the list is confirmed before anything is sent", eventStall, "confirmed")
		go n.post(n.sources.ConfirmAgain)
	})
	go n.backends.stalls.run(n.ctx)
}

// Reload takes up a configuration that was read anew while the node runs: it
// follows the list of servers at the new address, once that has told one, and
// hears operators where they are now. All else needs a restart.
func (n *Node) Reload(cfg Config) {
	n.note(slog.LevelInfo, "the configuration was read anew", eventReload, "read", "discovery", cfg.Discovery, "operators", len(cfg.Operators.Addresses), "known_version", cfg.known.Index)
	n.front.tellsCounters.Store(len(cfg.Operators.OnListen) > 0)
	if n.listeners != nil {
		n.listeners.Update(cfg.Operators)
	}
	n.post(func() {
		n.cfg.unknownKeys, n.cfg.unknownVariables = cfg.unknownKeys, cfg.unknownVariables
		if keys := n.cfg.passedOver(cfg, n.listVersion); len(keys) > 0 {
			n.log.Warn("of the new configuration only discovery and operators' addresses are taken up; the rest needs a restart", "passed_over", keys, "settings", n.cfg.changedSettings(cfg))
		}
		if cfg.Discovery != n.cfg.Discovery {
			beforeMove(n.sources)
		}
		n.cfg.Discovery = cfg.Discovery
		n.sources.Move(cfg.Discovery)
	})
}

// Run serves clients on ln until ctx ends, then finishes what is open.
func (n *Node) Run(ctx context.Context, ln net.Listener) error {
	n.sources.NoteUnknown(&n.cfg.known)
	stop := n.run(ctx)
	defer stop()
	go n.summarize(n.ended)
	go n.logState()
	if n.cfg.Peer != "" {
		go n.noteDatagrams(n.ctx, n.cfg.Peer)
		if !n.cfg.Operators.At(n.cfg.Peer) {
			go n.noteStreams(n.ctx, n.cfg.Peer)
		}
	}
	n.cfg.known.Note(n.log)
	n.post(func() { n.follow(n.cfg.known.Entries, n.cfg.known.Index, decide.ListCached, discovery.Origin{}) })
	if !n.cfg.Settings.AskForList {
		n.watchStalls()
	}
	n.post(func() { n.sources.Start(n.ctx) })
	err := n.front.serve(ctx, ln)
	stop()
	<-n.ended
	return err
}
