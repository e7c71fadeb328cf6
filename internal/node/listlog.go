package node

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"indigotack/decide"
	"indigotack/internal/discovery"
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
func compareLists(known map[string]discovery.Entry, entries []discovery.Entry, whole bool) (c listChange) {
	kept := 0
	for _, e := range entries {
		was, found := known[e.Name]
		if found && e.State() != decide.Gone {
			kept++
		}
		c.add(e, was, found)
	}
	if whole && kept+len(c.removed) < len(known) {
		c.removed = leftOut(known, entries)
	}
	return c
}

// add notes what an entry changes.
func (c *listChange) add(e, was discovery.Entry, found bool) {
	switch state := e.State(); {
	case state == decide.Gone && found:
		c.removed = append(c.removed, e.Name)
	case state == decide.Gone:
	case !found:
		c.added = append(c.added, e.Name)
	case was.Status != e.Status && state == decide.Draining:
		c.draining = append(c.draining, e.Name)
	case was.SinceMS != e.SinceMS:
		c.restarted = append(c.restarted, e.Name)
	case was.Status != e.Status:
		c.ready = append(c.ready, e.Name)
	case was.Address != e.Address:
		c.moved = append(c.moved, e.Name)
	}
}

// lastOfEach keeps the last entry of each server, as an answer may tell several
// changes of one. It sorts them by name: the numbers of names that share a hash
// depend on the order, which must not be the list's.
func lastOfEach(entries []discovery.Entry) []discovery.Entry {
	sorted := slices.Clone(entries)
	slices.SortStableFunc(sorted, func(a, b discovery.Entry) int { return strings.Compare(a.Name, b.Name) })
	kept := sorted[:0]
	for i, e := range sorted {
		if last := i == len(sorted)-1 || sorted[i+1].Name != e.Name; last {
			kept = append(kept, e)
		}
	}
	return kept
}

// leftOut gives the known servers that a whole list does not have, or has as gone.
func leftOut(known map[string]discovery.Entry, entries []discovery.Entry) (names []string) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Name] = e.State() != decide.Gone
	}
	for name := range known {
		if !listed[name] {
			names = append(names, name)
		}
	}
	return names
}

// applyList brings what is known up to a list, which is whole or changes.
func applyList(known map[string]discovery.Entry, entries []discovery.Entry, whole bool) {
	if whole {
		clear(known)
	}
	for _, e := range entries {
		if e.State() == decide.Gone {
			delete(known, e.Name)
		} else {
			known[e.Name] = e
		}
	}
}

// departureTime is for how long it is remembered that a server has left.
const departureTime = time.Minute

// departures are since when servers are known to drain, or to have left.
type departures map[string]time.Time

// note takes up what a list changes.
func (d departures) note(c listChange, now time.Time) {
	for _, names := range [][]string{c.added, c.restarted, c.ready} {
		for _, name := range names {
			delete(d, name)
		}
	}
	for _, names := range [][]string{c.draining, c.removed} {
		for _, name := range names {
			if _, known := d[name]; !known {
				d[name] = now
			}
		}
	}
	maps.DeleteFunc(d, func(_ string, since time.Time) bool { return now.Sub(since) > departureTime })
}

var listKinds = map[decide.ListKind]string{decide.ListChanges: "changes", decide.ListFull: "full", decide.ListCached: "cached"}

// noteList logs what a list changes, before it is taken up, and counts lists.
func (n *owner) noteList(entries []discovery.Entry, version uint64, kind decide.ListKind, origin discovery.Origin) {
	n.count(eventList, listKinds[kind])
	n.listVersion = version
	change := compareLists(n.entries, entries, kind != decide.ListChanges)
	applyList(n.entries, entries, kind != decide.ListChanges)
	n.notReady.note(change, time.Now())
	if !change.empty() {
		args := append([]any{"version", version, "servers", len(n.entries)}, change.args()...)
		if origin.Call > 0 {
			args = append(args, "call", origin.Call, "call_began_ago", time.Since(origin.Began))
		}
		n.note(slog.LevelInfo, "servers changed", eventList, "changed", args...)
	}
}
