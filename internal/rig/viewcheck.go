package rig

import (
	"maps"
	"slices"
	"time"
)

// Two views may overlap for so long: nodes are looked at one after another,
// and a change is noted only at the next look.
const viewOverlap = int64(2*viewTime) + int64(slack)

// viewAt is what a node's view was known to be at a time.
func (h *History) viewAt(node string, at int64) (v viewLog, ok bool) {
	for _, one := range h.views[node] {
		if one.at > at {
			break
		}
		v, ok = one, true
	}
	return v, ok
}

// held is the times in which a node held a settled view, each with its digest.
func (h *History) held(node string) []viewSpan {
	var all []viewSpan
	views := h.views[node]
	for i, v := range views {
		to := h.end
		if i+1 < len(views) {
			to = views[i+1].at
		}
		if !v.settled {
			continue
		}
		// What stood still or was gone holds nothing.
		s := viewSpan{span{from: v.at, to: to}, v.digest}
		if !anyMeets(h.away[node], s.from, s.to) {
			all = append(all, s)
		}
	}
	return all
}

type viewSpan struct {
	span
	digest string
}

func (h *History) view() (looked int, found []Violation) {
	f := findings{h: h, name: "view"}
	nodes := slices.Sorted(maps.Keys(h.views))
	held := map[string][]viewSpan{}
	for _, name := range nodes {
		held[name] = h.held(name)
	}
	for i, a := range nodes {
		for _, b := range nodes[i+1:] {
			apart := append(slices.Clone(h.wrong[[2]string{a, b}]), h.wrong[[2]string{b, a}]...)
			for _, x := range held[a] {
				for _, y := range held[b] {
					from, to := max(x.from, y.from), min(x.to, y.to)
					if from >= to {
						continue
					}
					looked++
					if x.digest != y.digest && to-from > viewOverlap+int64(h.lateness(from, to)) && !anyMeets(apart, from-int64(time.Second), to) {
						f.add(a, from, "%s and %s, which reach each other, hold %s and %s for settled for %v", a, b, x.digest, y.digest, time.Duration(to-from).Round(time.Millisecond))
					}
				}
			}
		}
	}
	if h.Plan.Want.View == 0 || h.untimed() {
		return looked, f.all
	}
	from := max(h.lastOver, h.zero) + int64(h.Plan.Want.View)
	var running []string
	for i := range h.Plan.Nodes {
		if name := nodeName(i); !anyMeets(h.away[name], from, min(h.end, from)) {
			running = append(running, name)
		}
	}
	digest := ""
	for _, name := range running {
		looked++
		v, ok := h.viewAt(name, from)
		switch {
		case !ok || !v.settled:
			f.add(name, from, "%s holds no settled view %v after the last fault: it counts %d of %d that run", name, h.Plan.Want.View, v.counted, len(running))
		case v.counted != len(running):
			f.add(name, from, "%s counts %d members %v after the last fault, and %d run", name, v.counted, h.Plan.Want.View, len(running))
		case digest == "":
			digest = v.digest
		case v.digest != digest:
			f.add(name, from, "%s holds %s %v after the last fault, another node %s", name, v.digest, h.Plan.Want.View, digest)
		}
	}
	return looked, f.all
}

// settledAfter is when the last node that runs came to hold the settled view
// that it holds at the end, after the last fault.
func (h *History) settledAfter() (time.Duration, bool) {
	worst := int64(0)
	for i := range h.Plan.Nodes {
		name := nodeName(i)
		if anyMeets(h.away[name], h.quiet, h.quiet) {
			continue
		}
		views := h.views[name]
		if len(views) == 0 || !views[len(views)-1].settled {
			return 0, false
		}
		worst = max(worst, views[len(views)-1].at-max(h.lastOver, h.zero))
	}
	return time.Duration(worst), true
}
