package rig

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"indigotack/decide"
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
	maxFound    = 20                     // violations kept of one checker and node
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
	late     []span                     // the rig, or a server of its own, woke late, or a process waited for a core
	busy     map[int]bool               // seconds that can't be judged by time
	lastOver int64                      // when the last fault was over
	told     map[[2]string][]toldStatus // by node and server
	views    map[string][]viewLog
	listings map[string][]toldStatus // by server: what discovery had of it
	torn     []span                  // in which no list came whole
}

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
		starved: map[string][]span{}, wrong: map[[2]string][]span{}, missed: map[string][]int64{}, busy: map[int]bool{}, told: map[[2]string][]toldStatus{}, views: map[string][]viewLog{}, listings: map[string][]toldStatus{}}
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
				r.answered, r.how, r.took, r.peer = e.At, e.Text, e.N, e.Peer
			}
		case Began:
			if r := h.requests[e.ID]; r != nil {
				r.begins = append(r.begins, attemptLog{e.At, e.Server, e.Node})
			}
		case Unconnected:
			h.missed[e.Peer] = append(h.missed[e.Peer], e.At)
		case Late:
			h.late = append(h.late, span{from: e.At - int64(e.N*1e9), to: e.At, by: int64(e.N * 1e9)})
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
			case killedAtLast:
				atLast[name] = true
			case "killed":
				gone[name] = span{from: e.At}
			case "stopped (signal)":
				stood[name] = e.At
			case "continued":
				s := span{from: stood[name], to: e.At + int64(settleTime)}
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
		for _, spans := range h.stands {
			if anyMeets(spans, s.from, s.to) && s.by > int64(settleTime) {
				return true
			}
		}
		return false
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

// giveUp is when a request's client stops waiting.
func (h *History) giveUp(r *requestLog) int64 {
	return r.asked + int64(r.class.Deadline) + int64(h.Plan.Patience)
}

// excused tells whether a request may have gone without an answer: its node
// did not run or was told to end at once, or its connection passed a fault.
func (h *History) excused(r *requestLog) bool {
	from, to := r.asked-int64(stallNotice), max(h.giveUp(r), r.answered)
	away := slices.ContainsFunc(h.away[r.node], func(s span) bool {
		// What ended in order has answered all that it took.
		return s.meets(from, to) && (!s.orderly || r.asked >= s.from-int64(stallNotice))
	})
	if away || anyMeets(h.wrong[[2]string{Clients, r.node}], from, to) {
		return true
	}
	return slices.ContainsFunc(h.missed[r.peer], func(at int64) bool { return from <= at && at <= to+int64(settleTime) })
}

func (h *History) answers() (looked int, found []Violation) {
	f := findings{h: h, name: "answers"}
	for _, r := range h.order {
		looked++
		switch {
		case r.answered == 0:
			f.add(r.node, r.asked, "%s (%s at %s) never ended for its client", r.id, r.class.Name, r.node)
		case r.how == standin.Crossed.String():
			if len(r.begins) > 0 && !h.excused(r) {
				f.add(r.node, r.answered, "%s (%s) was sent to %s, and then %s closed its connection", r.id, r.class.Name, r.begins[0].server, r.node)
			}
		case r.how == standin.Left.String(): // no answer is owed
		case r.how == standin.Garbled.String():
			f.add(r.node, r.answered, "%s (%s at %s) got an answer that no server made for it", r.id, r.class.Name, r.node)
		case r.how == standin.Lost.String() || r.how == standin.Unreached.String():
			// A client that does not wait beyond its time can't tell a late answer from none.
			gaveUp := r.how == standin.Lost.String() && r.took >= r.class.Deadline.Seconds() && h.Plan.Patience < slack+h.lateness(r.asked, r.answered)
			if !gaveUp && !h.excused(r) {
				f.add(r.node, r.answered, "%s (%s at %s) was %s after %.3f s, deadline %v", r.id, r.class.Name, r.node, r.how, r.took, r.class.Deadline)
			}
		default:
			allowed := r.class.Deadline + slack + h.lateness(r.asked, r.answered)
			if took := r.duration(); took > allowed && !h.untimed() && !h.excused(r) && !anyMeets(h.starved[r.node], r.asked, r.answered) {
				f.add(r.node, r.answered, "%s (%s at %s) was %s after %v, deadline %v", r.id, r.class.Name, r.node, r.how, took.Round(time.Millisecond), r.class.Deadline)
			}
		}
	}
	for i := range h.Events {
		if e := &h.Events[i]; e.What == SpokeTwice {
			f.add(e.Node, e.At, "%s said more after its answer to %s", e.Node, e.ID)
		}
	}
	return looked, f.all
}

// blurred tells whether what a server saw of an attempt tells nothing of when
// the node did it: their link had a fault, or the server stood still.
func (h *History) blurred(a attemptLog, from, to int64) bool {
	return anyMeets(h.wrong[[2]string{a.node, a.server}], from, to) || anyMeets(h.away[a.server], from, to)
}

// effects plays the history to a ledger. Clients' answers come last: what runs
// behind a refusal is as wrong as what ran before it.
func (h *History) effects() (looked int, found []Violation) {
	l := standin.NewLedger()
	base := time.Unix(0, 0)
	at := func(t int64) time.Time { return base.Add(time.Duration(t)) }
	type key struct {
		server string
		n      float64
	}
	type open struct {
		attemptLog
		id     string
		number int
	}
	out := map[key]*open{}
	byID := map[string][]key{}
	lastRun := map[string]int64{}
	over := func(k key, t int64) {
		if o := out[k]; o != nil {
			l.End(o.id, o.number, at(t))
			delete(out, k)
			byID[o.id] = slices.DeleteFunc(byID[o.id], func(other key) bool { return other == k })
		}
	}
	for i := range h.Events {
		e := &h.Events[i]
		switch e.What {
		case Asked:
			if r := h.requests[e.ID]; r.class != nil {
				l.Asked(e.ID, standin.Kind{Effect: r.class.Effect, Scope: decide.ScopeZone, Window: r.class.Dedup, Deadline: r.class.Deadline})
			}
		case Began:
			for _, k := range slices.Clone(byID[e.ID]) {
				// The node may have ended this one long ago.
				if o := out[k]; h.blurred(o.attemptLog, o.at-int64(time.Second), e.At) {
					over(k, e.At)
				}
			}
			k := key{e.Server, e.N}
			out[k] = &open{attemptLog{e.At, e.Server, e.Node}, e.ID, l.Begin(e.ID, e.Node, at(e.At))}
			byID[e.ID] = append(byID[e.ID], k)
		case Ran:
			// By when it came, as the servers that drop repeats do.
			when := e.At
			for _, k := range byID[e.ID] {
				if o := out[k]; o.server == e.Server {
					when = o.at
					if first, ran := lastRun[e.ID]; ran && h.blurred(o.attemptLog, o.at-int64(time.Second), o.at) {
						when = first
					}
				}
			}
			lastRun[e.ID] = when
			l.Ran(e.ID, h.Plan.zone(e.Server), 0, at(when))
		case Ended:
			over(key{e.Server, e.N}, e.At)
		case Ordered, Down:
			if e.Server != "" && (e.What == Down || e.Text == "killed") {
				for _, k := range slices.SortedFunc(maps.Keys(out), func(a, b key) int { return cmp.Or(strings.Compare(a.server, b.server), cmp.Compare(a.n, b.n)) }) {
					if k.server == e.Server {
						over(k, e.At)
					}
				}
			}
		}
	}
	for k := range out {
		over(k, h.Events[len(h.Events)-1].At)
	}
	f := findings{h: h, name: "effects"}
	for _, r := range h.order {
		if r.answered != 0 && r.class != nil && r.how != standin.Left.String() {
			how := standin.Served // or anything else that promises nothing
			if r.how == standin.Refused.String() {
				how = standin.Refused
			}
			l.Answered(r.id, how, 0)
		}
	}
	checked, broken, told := l.Report()
	for _, one := range told {
		if text, ok := strings.CutPrefix(one, "rule 2: "); ok {
			node := ""
			if quoted, err := strconv.QuotedPrefix(text); err == nil {
				if id, err := strconv.Unquote(quoted); err == nil && h.requests[id] != nil {
					node = h.requests[id].node
				}
			}
			f.add(node, h.zero, "%s", text)
		}
	}
	if broken[standin.NoTwice] > 0 && f.all == nil {
		f.add("", h.zero, "%d cases, none of which is among the first told", broken[standin.NoTwice])
	}
	return checked[standin.NoTwice], f.all
}

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
			since := int64(0)
			for _, t := range h.told[[2]string{e.Node, e.Server}] {
				if t.at > e.At {
					break
				}
				switch {
				case t.status == "ready":
					since = 0
				case since == 0:
					since = t.at
				}
			}
			if had := h.agentHad(e.Node, e.Server, e.At); had > 0 && (since == 0 || had < since) {
				since = had
			}
			grace := h.Plan.Servers.DrainGrace + slack + h.lateness(since, e.At)
			if since > 0 && e.At-since > int64(grace) && !h.blurred(attemptLog{e.At, e.Server, e.Node}, e.At-int64(time.Second), e.At) && !anyMeets(h.away[e.Node], since, e.At) {
				f.add(e.Node, e.At, "%s sent %s to %s %v after it was told that it is %s", e.Node, e.ID, e.Server, time.Duration(e.At-since).Round(time.Millisecond), listed[e.Server])
			}
		}
	}
	return looked, f.all
}

// agentHad is since when a platform's node counts as notified of a server's
// state because its local agent had it, however its watch did; 0: not by that. An
// agent that is out of reach has what it learns when it is back.
func (h *History) agentHad(node, server string, at int64) int64 {
	since, listed := int64(0), h.listings[server]
	if !h.Plan.Platform {
		return 0
	}
	for _, t := range listed {
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
	if since == 0 {
		return 0
	}
	out := slices.Concat(h.wrong[[2]string{node, Discovery}], h.torn, h.away[node])
	for moved := true; moved; {
		moved = false
		for _, s := range out {
			if s.from <= since && since < s.to {
				since, moved = s.to, true
			}
		}
	}
	return since
}

// slackOfTimeLeft is how much more than its client still waits a server may be told.
const slackOfTimeLeft = 150 * time.Millisecond

func (h *History) deadlines() (looked int, found []Violation) {
	f := findings{h: h, name: "deadlines"}
	for i := range h.Events {
		e := &h.Events[i]
		r := h.requests[e.ID]
		if e.What != TimeLeft || r == nil || r.class == nil {
			continue
		}
		looked++
		left := time.Duration(r.asked + int64(r.class.Deadline) - e.At)
		told := time.Duration(e.N * float64(time.Second))
		blurred := h.blurred(attemptLog{e.At, e.Server, r.node}, e.At-int64(time.Second), e.At)
		clientBlurred := anyMeets(h.wrong[[2]string{Clients, r.node}], r.asked, e.At)
		if told > left+slackOfTimeLeft+h.lateness(r.asked, e.At) && !blurred && !clientBlurred && !h.untimed() {
			f.add(r.node, e.At, "%s told %s that the client of %s waits for %v, and it was %v", r.node, e.Server, r.id,
				told.Round(time.Millisecond), left.Round(time.Millisecond))
		}
	}
	return looked, f.all
}

// ruleViolated is what a node's log line of a violation has.
const ruleViolated = `msg="rule violated"`

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

func (h *History) nobody() (looked int, found []Violation) {
	f := findings{h: h, name: "nobody"}
	for _, r := range h.order {
		for _, a := range r.begins {
			looked++
			until := r.asked + int64(r.class.Deadline)
			if r.answered != 0 {
				until = min(until, r.answered)
			}
			late := a.at - until
			// Over a faulty link of the client's neither its request nor its end comes when it was sent.
			if late > int64(slack+h.lateness(until, a.at)) && !h.untimed() && !anyMeets(h.wrong[[2]string{Clients, r.node}], r.asked, a.at) && !h.blurred(a, until-int64(time.Second), a.at) && !anyMeets(h.starved[r.node], r.asked, a.at) {
				f.add(r.node, a.at, "%s sent %s (%s) to %s %v after its client had stopped waiting", r.node, r.id, r.class.Name, a.server, time.Duration(late).Round(time.Millisecond))
			}
		}
	}
	return looked, f.all
}

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
