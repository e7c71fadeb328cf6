package rig

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// viewLog is what a node's view is from a time on.
type viewLog struct {
	at      int64
	digest  string
	counted int
	settled bool
}

type span struct {
	from, to int64
	orderly  bool   // of a process: it ended by itself, as it was told to
	of       string // of a lateness: whose it is, if it is not the rig's
	by       int64  // of a lateness: how much
	slept    bool   // of a lateness: a process did not run for all of the span
	server   string // of a lateness: the one of the rig's that woke late, if it was one
}

type toldStatus struct {
	at     int64
	status string
}

// requestLog is all that is known of one request.
type requestLog struct {
	id, node, peer string
	class          *Class
	asked          int64
	answered       int64 // 0: not
	how            string
	took           float64
	age            int64 // of its connection, as it was asked
	begins         []attemptLog
}

func (r *requestLog) duration() time.Duration { return time.Duration(r.took * 1e9) }

func (r *requestLog) inAim() bool { return r.duration() <= r.class.Aim }

type attemptLog struct {
	at     int64
	server string
	node   string
}

// forever is the end of what does not end.
const forever = math.MaxInt64

func (s span) meets(from, to int64) bool { return s.from <= to && from <= s.to }

func anyMeets(spans []span, from, to int64) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.meets(from, to) })
}

// newHistory puts events together.
func newHistory(p *Plan, events []Event) *History {
	h := &History{Plan: p, Events: events, end: forever, quiet: forever, requests: map[string]*requestLog{}, away: map[string][]span{}, stands: map[string][]span{},
		starved: map[string][]span{}, wrong: map[[2]string][]span{}, missed: map[string][]int64{}, belated: map[string]time.Duration{}, crowds: map[string][]span{}, busy: map[int]bool{}, told: map[[2]string][]toldStatus{}, views: map[string][]viewLog{}, listings: map[string][]toldStatus{}, moves: map[string][]moveLog{}, unheard: map[string][]span{}}
	classes := map[string]*Class{}
	for i := range p.Classes {
		classes[p.Classes[i].Name] = &p.Classes[i]
	}
	steps := map[int]Step{}
	for _, s := range p.Timetable() {
		steps[s.Number] = s
	}
	gone, stood, atLast := map[string]span{}, map[string]int64{}, map[string]bool{}
	on := map[int]int64{}
	for i := range events {
		e := &events[i]
		name := cmp.Or(e.Node, e.Server)
		switch e.What {
		case Phase:
			switch e.Text {
			case "load":
				h.zero = e.At
			case "quiet":
				h.quiet = e.At
			case "end":
				h.end = e.At
			}
		case Asked:
			r := &requestLog{id: e.ID, node: e.Node, class: classes[e.Class], asked: e.At}
			h.requests[e.ID] = r
			h.order = append(h.order, r)
		case Answered:
			if r := h.requests[e.ID]; r != nil {
				r.answered, r.how, r.took, r.peer, r.age = e.At, e.Text, e.N, e.Peer, int64(e.Most*1e9)
			}
		case Began:
			if r := h.requests[e.ID]; r != nil {
				r.begins = append(r.begins, attemptLog{e.At, e.Server, e.Node})
			}
		case Unconnected:
			h.missed[e.Peer] = append(h.missed[e.Peer], e.At)
		case Belated:
			h.belated[e.Peer] = time.Duration(e.N * 1e9)
		case Late:
			h.late = append(h.late, span{from: e.At - int64(e.N*1e9), to: e.At, by: int64(e.N * 1e9), slept: true, server: e.Server})
		case Viewed:
			h.views[e.Node] = append(h.views[e.Node], viewLog{e.At, e.Text, int(e.N), e.Most == 1})
		case Waited:
			// A starved node's own wait is the plan's, not the machine's.
			h.late = append(h.late, span{from: e.At - max(int64(sampleTime), int64(e.N*1e9)), to: e.At, of: name, by: int64(e.N * 1e9)})
		case Told:
			key := [2]string{e.Node, e.Server}
			h.told[key] = append(h.told[key], toldStatus{e.At, e.Text})
		case Listed:
			h.listings[e.Server] = append(h.listings[e.Server], toldStatus{e.At, e.Text})
		case Ordered:
			switch e.Text {
			case discoveryMoved:
				h.moves[name] = append(h.moves[name], moveLog{at: e.At, keeps: int64(e.N * 1e9), tells: e.At})
			case discoveryMovedBlind:
				h.moves[name] = append(h.moves[name], moveLog{at: e.At, keeps: int64(e.N * 1e9), tells: forever})
			case discoveryTells:
				if all := h.moves[name]; len(all) > 0 {
					all[len(all)-1].tells = min(all[len(all)-1].tells, e.At)
				}
			case killedAtLast:
				atLast[name] = true
			case "killed":
				gone[name] = span{from: e.At}
			case "stopped (signal)":
				if _, stands := stood[name]; !stands {
					stood[name] = e.At
				}
			case "continued":
				from, stands := stood[name]
				if !stands {
					continue
				}
				s := span{from: from, to: e.At + int64(settleTime)}
				delete(stood, name)
				h.away[name] = append(h.away[name], s)
				h.stands[name] = append(h.stands[name], s)
			}
		case Down:
			if _, known := gone[name]; !known {
				// One that is killed at last has had its time to answer all that it took.
				gone[name] = span{from: e.At, orderly: e.Text == "exit status 0" || atLast[name]}
			}
			delete(atLast, name)
		case Ready, Up:
			if s, ok := gone[name]; ok && (e.What == Ready || e.Server != "") {
				s.to = e.At
				h.away[name] = append(h.away[name], s)
				delete(gone, name)
			}
		case FaultOn:
			on[int(e.N)] = e.At
			h.lastOver = max(h.lastOver, e.At)
		case FaultOff:
			h.fault(steps[int(e.N)], on[int(e.N)], e.At+int64(settleTime))
			delete(on, int(e.N))
			h.lastOver = max(h.lastOver, e.At)
		}
	}
	for name, s := range gone {
		s.to = forever
		h.away[name] = append(h.away[name], s)
	}
	for name, from := range stood {
		h.away[name] = append(h.away[name], span{from: from, to: forever})
		h.stands[name] = append(h.stands[name], span{from: from, to: forever})
	}
	for n, from := range on {
		h.fault(steps[n], from, forever)
	}
	// A starved node's waiting is the plan's doing, and a server of the rig's that was stopped woke late because of that.
	h.late = slices.DeleteFunc(h.late, func(s span) bool {
		if s.of != "" && anyMeets(h.starved[s.of], s.from, s.to) {
			return true
		}
		return s.server != "" && s.by > int64(settleTime) && anyMeets(h.stands[s.server], s.from, s.to)
	})
	for _, s := range h.late {
		if s.by > int64(lateMost) {
			for second := h.second(s.from); second <= h.second(s.to); second++ {
				h.busy[second] = true
			}
		}
	}
	return h
}

func (h *History) fault(s Step, from, to int64) {
	if s.Fault == nil {
		return
	}
	switch s.Fault.What {
	case FaultLink, FaultPartition:
		for _, l := range h.Plan.links() {
			if c := h.Plan.conditions(s.Fault, l); !c[there].sound() || !c[back].sound() {
				h.wrong[l] = append(h.wrong[l], span{from: from, to: to})
			}
		}
	case FaultCrowd:
		for _, name := range s.Targets {
			h.crowds[name] = append(h.crowds[name], span{from: from, to: to})
		}
	case FaultAnswers:
		if s.Fault.Answers.never() {
			for _, name := range s.Targets {
				h.unheard[name] = append(h.unheard[name], span{from: from, to: to})
			}
		}
	case FaultTorn:
		h.torn = append(h.torn, span{from: from, to: to})
	case FaultStarve:
		for _, name := range s.Targets {
			h.starved[name] = append(h.starved[name], span{from: from, to: to})
		}
	}
}

func (h *History) since(at int64) time.Duration { return time.Duration(at - h.zero) }

func (h *History) second(at int64) int { return int(math.Floor(float64(at-h.zero) / 1e9)) }

// lateness is how late the rig woke at the worst within a time.
func (h *History) lateness(from, to int64) time.Duration {
	worst := int64(0)
	for _, s := range h.late {
		if s.meets(from, to) {
			worst = max(worst, s.by)
		}
	}
	return time.Duration(worst)
}

// latenessOnTheWay is for how long the rig kept up something that was on its way
// within a time: a process that woke late may have been followed by another.
func (h *History) latenessOnTheWay(from, to int64) time.Duration {
	slept := slices.DeleteFunc(slices.Clone(h.late), func(s span) bool { return !s.slept || !s.meets(from, to) })
	slices.SortFunc(slept, func(a, b span) int { return cmp.Compare(a.from, b.from) })
	total, counted := int64(0), from
	for _, s := range slept {
		begins, ends := max(s.from, counted), min(s.to, to)
		if ends > begins {
			total += ends - begins
			counted = ends
		}
	}
	return max(h.lateness(from, to), time.Duration(total))
}
