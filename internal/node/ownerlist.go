package node

import (
	"indigotack/decide"
	"indigotack/internal/clock"
	"indigotack/internal/discovery"
)

func (n *owner) askForList(fetch, watch bool) {
	if n.ask != nil {
		n.ask(fetch, watch)
	}
}

// follow takes a list of servers, as a call told it: addresses for the sockets, the
// rest for the module.
func (n *owner) follow(entries []discovery.Entry, version uint64, kind decide.ListKind, origin discovery.Origin) {
	entries = lastOfEach(entries)
	for i, e := range entries {
		entries[i] = e.Complete(n.entries)
	}
	n.noteList(entries, version, kind, origin)
	u := decide.ListUpdate{Kind: kind, Version: version}
	now := n.now()
	n.startTimes.observe(clock.Wall(), now)
	missing := map[string]bool{}
	if kind != decide.ListChanges {
		for name := range n.listed {
			missing[name] = true
		}
	}
	for _, e := range entries {
		id, state := n.ids.of(e.Name), listedAs(e, e.State())
		u.Entries = append(u.Entries, decide.Server{ID: id, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, State: state,
			Size: e.Weight, StartedAt: n.startTimes.place(e.Name, startedAt(e), now)})
		if missing[e.Name] = state == decide.Gone; state != decide.Gone {
			n.listed[e.Name] = id
			if state == decide.Ready {
				n.backends.set(id, e.Address, e.SinceMS)
			} else { // nor may what was decided before, and waits for its connection, reach it any more
				n.backends.remove(id)
			}
		}
	}
	n.handle(u)
	for name, gone := range missing {
		if gone {
			n.backends.remove(n.ids.of(name))
			n.ids.forget(name)
			n.startTimes.forget(name)
			delete(n.listed, name)
		}
	}
	n.listChanged(len(n.listed))
}
