package node

import (
	"log/slog"
	"slices"

	"indigotack/decide"
)

// listChange is what a list says that the one before did not.
type listChange struct {
	added, restarted, moved, draining, ready, removed []string
}

func (c listChange) empty() bool {
	return len(c.added)+len(c.restarted)+len(c.moved)+len(c.draining)+len(c.ready)+len(c.removed) == 0
}

// args are the parts that are not empty, for the log.
func (c listChange) args() (args []any) {
	for _, part := range []struct {
		name    string
		servers []string
	}{{"added", c.added}, {"restarted", c.restarted}, {"moved", c.moved}, {"draining", c.draining}, {"ready", c.ready}, {"removed", c.removed}} {
		if len(part.servers) > 0 {
			slices.Sort(part.servers)
			args = append(args, part.name, names(part.servers))
		}
	}
	return args
}

// compareLists tells what entries, changes or a whole list, change in known.
func compareLists(known map[string]entry, entries []entry, whole bool) (c listChange) {
	listed := map[string]bool{}
	for _, e := range entries {
		was, found := known[e.Name]
		listed[e.Name] = states[e.Status] != decide.Gone
		switch {
		case !listed[e.Name]:
			if found {
				c.removed = append(c.removed, e.Name)
			}
		case !found:
			c.added = append(c.added, e.Name)
		case was.Status != e.Status && states[e.Status] == decide.Draining:
			c.draining = append(c.draining, e.Name)
		case was.SinceMS != e.SinceMS:
			c.restarted = append(c.restarted, e.Name)
		case was.Status != e.Status:
			c.ready = append(c.ready, e.Name)
		case was.Address != e.Address:
			c.moved = append(c.moved, e.Name)
		}
	}
	if whole {
		for name := range known {
			if !listed[name] && !slices.Contains(c.removed, name) {
				c.removed = append(c.removed, name)
			}
		}
	}
	return c
}

// applyList brings what is known up to a list, which is whole or changes.
func applyList(known map[string]entry, entries []entry, whole bool) {
	if whole {
		clear(known)
	}
	for _, e := range entries {
		if states[e.Status] == decide.Gone {
			delete(known, e.Name)
		} else {
			known[e.Name] = e
		}
	}
}

var listKinds = map[decide.ListKind]string{decide.ListChanges: "changes", decide.ListFull: "full", decide.ListCached: "cached"}

// noteList logs what a list changes, before it is taken up, and counts lists.
func (n *owner) noteList(entries []entry, version uint64, kind decide.ListKind) {
	n.count(eventList, listKinds[kind])
	change := compareLists(n.entries, entries, kind != decide.ListChanges)
	applyList(n.entries, entries, kind != decide.ListChanges)
	if !change.empty() {
		args := append([]any{"version", version, "servers", len(n.entries)}, change.args()...)
		n.note(slog.LevelInfo, "servers changed", eventList, "changed", args...)
	}
}
