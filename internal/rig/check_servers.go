package rig

import (
	"maps"
	"slices"
	"time"
)

func (h *History) drains() (looked int, found []Violation) {
	f := findings{h: h, name: "drains"}
	listed := map[string]string{}
	for i := range h.Events {
		e := &h.Events[i]
		switch e.What {
		case Listed:
			listed[e.Server] = e.Text
		case Began:
			looked++
			if e.Node == "" || listed[e.Server] == "ready" || listed[e.Server] == "" {
				continue
			}
			since := notReadySince(h.told[[2]string{e.Node, e.Server}], e.At)
			if since < h.runsSince(e.Node, e.At) {
				since = 0 // the process before was told
			}
			if h.agentHadReadyAgain(e.Node, e.Server, since, e.At) {
				since = 0 // what its agent has of the newest drain counts
			}
			if had := h.agentHad(e.Node, e.Server, e.At); had > 0 && (since == 0 || had < since) {
				since = had
			}
			grace := h.Plan.Servers.DrainGrace + slack + h.lateness(since, e.At)
			away := !h.Plan.Platform && anyMeets(h.away[e.Node], since, e.At)
			if since > 0 && e.At-since > int64(grace) && !h.blurred(attemptLog{e.At, e.Server, e.Node}, e.At-int64(time.Second), e.At) && !away {
				f.add(e.Node, e.At, "%s sent %s to %s %v after it was told that it is %s", e.Node, e.ID, e.Server, time.Duration(e.At-since).Round(time.Millisecond), listed[e.Server])
			}
		}
	}
	return looked, f.all
}

// notReadySince is since when, at a time, a server's last states have been
// others than ready; 0: it was ready then.
func notReadySince(states []toldStatus, at int64) (since int64) {
	for _, t := range states {
		if t.at > at {
			break
		}
		switch {
		case t.status == "ready":
			since = 0
		case since == 0:
			since = t.at
		}
	}
	return since
}

// runsSince is when the process began that a platform's node is at a time; 0: at
// the beginning. One that stood still is the same process, and what its agent has
// got meanwhile counts as known to it.
func (h *History) runsSince(node string, at int64) (since int64) {
	if !h.Plan.Platform {
		return 0
	}
	for _, s := range h.restarts(node) {
		if s.to <= at {
			since = max(since, s.to)
		}
	}
	return since
}

// restarts are the times in which a node was away because it did not run.
func (h *History) restarts(node string) []span {
	return slices.DeleteFunc(slices.Clone(h.away[node]), func(s span) bool { return slices.Contains(h.stands[node], s) })
}

// agentHad is since when a platform's node counts as notified of a server's
// state because its local agent had it, however its watch did; 0: not by that. An
// agent that is out of reach, or answers nothing, learns nothing, and has what it
// gets when it is back from then on; what it had before counts as before. A node
// that starts is told by what its agent has then. What its agents have while it moves
// from one to another: unheardOverMoves.
func (h *History) agentHad(node, server string, at int64) int64 {
	if !h.Plan.Platform {
		return 0
	}
	since := notReadySince(h.listings[server], at)
	if since == 0 {
		return 0
	}
	return h.agentHears(node, max(since, h.runsSince(node, at)))
}

// agentHears is when a platform node's agent has what is listed at a time.
func (h *History) agentHears(node string, listed int64) int64 {
	out := slices.Concat(h.torn, h.restarts(node), h.unheardOverMoves(node), h.unheard[node], h.wrong[[2]string{node, Discovery}])
	for moved := true; moved; {
		moved = false
		for _, s := range out {
			if s.from <= listed && listed < s.to {
				listed, moved = s.to, true
			}
		}
	}
	return listed
}

// agentHadReadyAgain tells whether a platform node's agent had, between two times, that
// a server is ready again. Of an answer that the node takes whole and whose connection it
// closes at once the rig notes nothing.
func (h *History) agentHadReadyAgain(node, server string, from, to int64) bool {
	if !h.Plan.Platform {
		return false
	}
	return slices.ContainsFunc(h.listings[server], func(l toldStatus) bool {
		return l.status == "ready" && l.at >= from && h.agentHears(node, l.at) < to
	})
}

// slackOfTimeLeft is how much more than its client still waits a server may be told.
const slackOfTimeLeft = 150 * time.Millisecond

func (h *History) cold() (looked int, found []Violation) {
	f := findings{h: h, name: "cold"}
	for i := range h.Events {
		if e := &h.Events[i]; e.What == Cold {
			if looked++; e.N > e.Most {
				node, part := h.mostly(e.Server, e.At-int64(h.Plan.Servers.OverloadTime), e.At)
				f.add(node, e.At, "%s is cold and was sent %.0f requests in a window, at most %.1f; %.0f%% came from %s", e.Server, e.N, e.Most, 100*part, node)
			}
		}
	}
	return looked, f.all
}

// mostly is the node that sent a server the most within a time, and its part.
func (h *History) mostly(server string, from, to int64) (node string, part float64) {
	by, all := map[string]int{}, 0
	for i := range h.Events {
		if e := &h.Events[i]; e.What == Began && e.Server == server && from <= e.At && e.At <= to {
			by[e.Node]++
			all++
		}
	}
	for _, one := range slices.Sorted(maps.Keys(by)) {
		if by[one] > by[node] {
			node = one
		}
	}
	return node, float64(by[node]) / float64(max(1, all))
}
