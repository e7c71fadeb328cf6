package rig

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

func (h *History) processes() (looked int, found []Violation) {
	f := findings{h: h, name: "processes"}
	up := map[string]int64{}
	ready := map[float64]bool{} // runs, by their process ids; one that ends by the signal before has not set itself up
	for i := range h.Events {
		e := &h.Events[i]
		name := cmp.Or(e.Node, e.Server)
		switch e.What {
		case Up:
			looked++
			if e.Node != "" {
				up[name] = e.At
			}
		case Ready:
			delete(up, name)
			ready[e.N] = true
		case Down:
			delete(up, name)
			switch {
			case strings.HasPrefix(e.Text, "unasked: "):
				f.add(e.Node, e.At, "%s ended %s", name, e.Text)
			case e.Node != "" && e.Text != "exit status 0" && e.Text != "signal: killed" && (e.Text != "signal: terminated" || ready[e.N]):
				f.add(e.Node, e.At, "%s was told to end and ended with %s", name, e.Text)
			}
		}
	}
	for name, at := range up {
		if h.end != forever && h.end-at > int64(readyTime) {
			f.add(name, at, "%s does not get ready", name)
		}
	}
	return looked, f.all
}

func (h *History) usage() (looked int, found []Violation) {
	f := findings{h: h, name: "usage"}
	first, last := map[string]*Event{}, map[string]*Event{}
	heaviest := map[string]*Event{}
	for i := range h.Events {
		e := &h.Events[i]
		if e.What != Usage {
			continue
		}
		looked++
		run := e.Node + " " + e.Text
		if first[run] == nil {
			first[run] = e
		}
		last[run] = e
		if heaviest[run] == nil || e.Most > heaviest[run].Most {
			heaviest[run] = e
		}
	}
	for _, run := range slices.Sorted(maps.Keys(first)) {
		if e := heaviest[run]; e.Most > h.Plan.Want.Memory {
			f.add(e.Node, e.At, "%s held %.0f MB, at most %v", e.Node, e.Most, h.Plan.Want.Memory)
		}
		// Only what has had the whole quiet time to return can be judged.
		if e := last[run]; e.At >= h.end-int64(2*sampleTime) && h.end != forever && e.N > first[run].N+spareFDs && !anyMeets(h.away[e.Node], h.quiet, h.end) {
			f.add(e.Node, e.At, "%s has %.0f descriptors open at the end, %.0f when it was ready", e.Node, e.N, first[run].N)
		}
	}
	return looked, f.all
}

func (h *History) violations() (looked int, found []Violation) {
	f := findings{h: h, name: "violations"}
	for i := range h.Events {
		if e := &h.Events[i]; e.What == Logged && e.Node != "" {
			looked++
			// What a node finds late as it wakes was the doing of whoever stopped it.
			stood := anyMeets(h.stands[e.Node], e.At-int64(settleTime), e.At) || anyMeets(h.starved[e.Node], e.At-int64(time.Second), e.At)
			if strings.Contains(e.Text, ruleViolated) && !stood && !h.untimed() && h.lateness(e.At-int64(time.Second), e.At) < lateMost {
				f.add(e.Node, e.At, "%s", e.Text)
			}
		}
	}
	return looked, f.all
}
