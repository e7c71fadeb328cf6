package rig

import (
	"fmt"
	"math"
	"time"

	"indigotack/internal/standin"
)

// Violation is something that a checker found wrong.
type Violation struct {
	Checker string        `json:"checker"`
	Node    string        `json:"node,omitempty"` // whose doing it is, where that can be told
	At      time.Duration `json:"at_ns"`          // from the load's start on
	Text    string        `json:"text"`
}

// Checker judges a history.
type Checker struct {
	Name  string
	About string
	// Judge returns how often it looked, and what it found.
	Judge func(*History) (looked int, found []Violation)
}

// Checkers are all of them, in the order of a report.
func Checkers() []Checker {
	return []Checker{
		{"answers", "every request that a running node took gets one final answer, in time, and nothing after it", (*History).answers},
		{"effects", "no effect twice, never two attempts of a request out at once, no refusal of what ran", (*History).effects},
		{"drains", "nothing new to a draining or gone server after the grace", (*History).drains},
		{"cold", "cold servers are not pushed over", (*History).cold},
		{"deadlines", "a server is told no more time than its client still waits", (*History).deadlines},
		{"violations", "no node finds by itself that it has broken a rule", (*History).violations},
		{"nobody", "nothing is sent on for a client that has stopped waiting", (*History).nobody},
		{"processes", "no process ends unasked, hangs at its end or does not get ready", (*History).processes},
		{"usage", "descriptors return to where they were, and memory stays within its bound", (*History).usage},
		{"view", "no two nodes that reach each other hold different views for settled, and all that run hold one as soon as the plan wants", (*History).view},
		{"operators", "a node that operators drain takes nothing on, lets go of its clients in time, and is ready again at once after a resume", (*History).operators},
		{"goodput", "what the plan wants answered in time, and how soon after the last fault", (*History).goodput},
	}
}

const (
	slack       = standin.Slack
	spareFDs    = 24                     // descriptors that a node may have more at the end than when it got ready
	settleTime  = 150 * time.Millisecond // for what was under way when a fault ends
	leastAsked  = 20                     // requests in a second before it is judged
	lateMost    = 250 * time.Millisecond // a second in which the rig woke later than this is not judged by time
	lateShare   = 0.2                    // with more of the seconds like that, nothing is
	maxFound    = 20                     // violations of one kind kept of a node
	stallNotice = 20 * time.Millisecond  // a signal takes effect within it
)

// History is a run's events, put together for the checkers.
type History struct {
	Plan   *Plan
	Events []Event

	zero     int64 // when the load began
	quiet    int64
	end      int64
	requests map[string]*requestLog
	order    []*requestLog
	away     map[string][]span          // times in which a node or server did not run, or stood still
	stands   map[string][]span          // of these, those in which it stood still
	starved  map[string][]span          // nodes short of CPU
	wrong    map[[2]string][]span       // links with a fault
	missed   map[string][]int64         // by client address: connections that a relay could not pass on
	belated  map[string]time.Duration   // by client address: how late a relay passed on a connection's first bytes
	crowds   map[string][]span          // by node
	late     []span                     // the rig, or a server of its own, woke late, or a process waited for a core
	busy     map[int]bool               // seconds that can't be judged by time
	lastOver int64                      // when the last fault was over
	told     map[[2]string][]toldStatus // by node and server
	views    map[string][]viewLog
	listings map[string][]toldStatus // by server: what discovery had of it
	moves    map[string][]moveLog    // by node, of its discovery
	torn     []span                  // in which no list came whole
	unheard  map[string][]span       // by node: in which its agent answered no call
}

// Untimed tells whether the rig ran so late that nothing is judged by time.
func (h *History) untimed() bool {
	seconds := max(1, int(h.Plan.Length.Seconds()))
	return float64(len(h.busy)) > lateShare*float64(seconds)
}

// findings collects what a checker finds, of each node up to a number.
type findings struct {
	h    *History
	name string
	all  []Violation
	of   map[string]int
}

func (f *findings) add(node string, at int64, format string, args ...any) {
	if f.of == nil {
		f.of = map[string]int{}
	}
	if f.of[node]++; f.of[node] <= maxFound {
		f.all = append(f.all, Violation{Checker: f.name, Node: node, At: f.h.since(at), Text: fmt.Sprintf(format, args...)})
	}
}

// Second is what became of the requests that were asked in one second of the load.
type Second struct {
	Tally
	Busy bool // the rig ran late then
}

// seconds sorts requests by when they were asked. One that crossed with the end
// of its connection was asked anew.
func (h *History) seconds() []Second {
	all := make([]Second, max(1, int(math.Ceil(h.Plan.Length.Seconds()))))
	for _, r := range h.order {
		if i := h.second(r.asked); i >= 0 && i < len(all) && r.how != standin.Crossed.String() {
			all[i].count(r)
		}
	}
	for i := range all {
		all[i].Busy = h.busy[i]
	}
	return all
}

func (h *History) goodput() (looked int, found []Violation) {
	f := findings{h: h, name: "goodput"}
	w := h.Plan.Want
	if h.untimed() {
		return 0, nil
	}
	asked, good := 0, 0
	from := max(h.lastOver, h.zero) + int64(w.Recover)
	for i, s := range h.seconds() {
		asked, good = asked+s.Asked, good+s.InAim
		if s.Busy || s.Asked < leastAsked {
			continue
		}
		share := float64(s.InAim) / float64(s.Asked)
		start := h.zero + int64(i)*1e9
		if w.Least > 0 {
			if looked++; share < w.Least {
				f.add("", start, "%.1f%% of what was asked in second %d was answered in time, %.1f%% wanted in every second", 100*share, i, 100*w.Least)
			}
		}
		if w.After > 0 && start >= from {
			if looked++; share < w.After {
				f.add("", start, "%.1f%% of what was asked in second %d was answered in time, %.1f%% wanted from %v after the last fault on", 100*share, i, 100*w.After, w.Recover)
			}
		}
	}
	if w.Goodput > 0 && asked > 0 {
		if looked++; float64(good)/float64(asked) < w.Goodput {
			f.add("", h.end, "%.1f%% of %d requests were answered in time, %.1f%% wanted", 100*float64(good)/float64(asked), asked, 100*w.Goodput)
		}
	}
	return looked, f.all
}
