package fleetsim

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"indigotack/decide"
)

// epoch is the virtual clock's start: the module takes a start at 0 for long ago.
const epoch = 24 * time.Hour

// The rules, as they are counted.
const (
	OneAnswer = iota
	NoTwice
	DrainsKept
	ColdSpared
	rules
)

// windows is how many parts of the time a result is told by.
const windows = 40

// mostLooked bounds the look for room at one refusal.
const mostLooked = 1000

// Result is what one policy did.
type Result struct {
	Policy   Policy
	Classes  []ClassResult
	Windows  [windows]Window
	Served   float64 // worth answered within its aim, as a part of the worth asked for
	Worst    float64 // the same in the worst window
	Least    float64 // work sent to a server against its capacity, over the fleet's mean: the server
	Most     float64 // at the 5th and the 95th hundredth, of those that were there and well all the time
	Attempts int
	Waste    float64 // work that served no answer, as a part of all that was done
	Checked  [rules]int
	Broken   [rules]int
	Told     []string
	Shares   []Share                   // of at most 40 servers, evenly chosen
	Refusals [][decide.Causes]Refusals // by class; nil where nothing was refused
	Took     time.Duration
}

// needless is the part of all requests that was refused without need.
func (r *Result) needless() float64 {
	needless, asked := 0, 0
	for _, c := range r.Classes {
		needless, asked = needless+c.Needless, asked+c.Asked
	}
	return float64(needless) / math.Max(1, float64(asked))
}

// ServedIn is the worth served of the worth asked for in windows from to to, the latter not among them.
func (r *Result) ServedIn(from, to int) float64 {
	asked, served := 0.0, 0.0
	for i := range r.Windows[from:to] {
		w := &r.Windows[from+i]
		asked, served = asked+w.Worth, served+w.Served
	}
	return served / math.Max(asked, 1e-9)
}

// Choked is the part of the fleet that is in a state of its own making, in the mean over the time.
func (r *Result) Choked(servers int) float64 {
	sum := 0
	for i := range r.Windows {
		sum += r.Windows[i].Choked
	}
	return float64(sum) / float64(windows*max(1, servers))
}

// ClassResult is what became of a class's requests.
type ClassResult struct {
	Name                                string
	Asked, InAim, Late, Refused, Failed int
	Needless                            int           // refused while some server that was open to it could have answered in aim
	P50, P99                            time.Duration // of those served
}

// Window is a part of the time.
type Window struct {
	Asked, InAim, Refused, Failed               int
	Worth, Served                               float64
	Normal, Overloaded, Blocking, Suspect, Cold int // servers as the nodes see them, summed over nodes in reach
	Choked                                      int // servers that are
}

// Share is a server's work by windows, against what it could do.
type Share struct {
	Name string
	Part [windows]float64
}

type decider interface {
	Handle(now decide.Time, e decide.Event) []decide.Action
}

type sending struct {
	at   time.Duration
	work float64
}

type request struct {
	id       decide.RequestID
	class    int
	node     int
	arrived  time.Duration
	work     time.Duration
	done     bool
	attempts []*attempt
	runs     []*server
	ranAt    []time.Duration
}

type attempt struct {
	r          *request
	number     int
	s          *server
	generation int
	sent       time.Duration
	ended      bool    // for its node
	until      float64 // on its server's clock, it is done, once running
}

// Kinds of events on the virtual clock.
const (
	evArrive = iota
	evReach
	evDone
	evOutcome
	evTimeout
	evTimer
	evList
	evHappen
	evEnd
	evGuard
	evSurvey
)

type event struct {
	at   time.Duration
	seq  uint64
	kind uint8
	code decide.OutcomeCode
	node int32
	a    *attempt
	r    *request
	do   func()
	tok  int64
}

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

type sim struct {
	p        *Plan
	policy   Policy
	rng      *rand.Rand
	now      time.Duration
	seq      uint64
	heap     []event
	nodes    []*node
	serving  []int // by place, the number of the node there; -1: none just now
	stopped  int   // the place whose node was stopped last, and one
	servers  []*server
	byID     map[decide.ServerID]*server
	next     int // server number
	open     map[decide.RequestID]*request
	rate     float64
	shares   float64
	meanWork float64 // of a request, s
	counted  int
	wasted   float64
	done     float64
	times    [][]time.Duration
	version  uint64
	res      *Result
	central  *central     // nil but for its policy
	why      decide.Cause // of the refusal in hand
	near     []*server    // scratch
}

type node struct {
	open  int // requests without their final answer
	d     decider
	zone  int
	queue []decide.Event
	free  time.Duration                     // when its core is
	told  map[decide.ServerID]time.Duration // when it heard that one drains or is gone
}

// Run plays the plan under a policy.
func Run(p *Plan, policy Policy) *Result {
	began := time.Now()
	s := &sim{p: p, policy: policy, rng: rand.New(rand.NewPCG(p.Seed, 11)), byID: map[decide.ServerID]*server{}, open: map[decide.RequestID]*request{},
		rate: p.Rate, res: &Result{Policy: policy}, times: make([][]time.Duration, len(p.Classes))}
	for _, c := range p.Classes {
		s.shares += c.Share
		s.meanWork += c.Share * c.Work.Seconds()
		s.res.Classes = append(s.res.Classes, ClassResult{Name: c.Name})
	}
	s.meanWork /= s.shares
	for range p.Servers {
		s.newServer()
	}
	if policy == Central {
		s.central = newCentral(s)
	}
	s.version = 1
	s.serving = make([]int, p.Nodes)
	for i := range p.Nodes {
		s.startNode(i)
	}
	for _, e := range p.Events {
		s.plan(e, e.At)
	}
	s.push(event{at: s.gap(), kind: evArrive})
	s.push(event{at: p.Duration / windows, kind: evSurvey})
	for len(s.heap) > 0 {
		e := s.pop()
		if s.now = e.at; e.at > p.Duration && len(s.open) == 0 && s.now > p.Duration+100*time.Millisecond {
			break
		}
		s.step(&e)
	}
	s.finish()
	s.res.Took = time.Since(began)
	return s.res
}

// startNode starts the node of a place with nothing learned. The one before it there, if any, still ends what it has.
func (s *sim) startNode(place int) {
	p, number := s.p, len(s.nodes)
	n := &node{zone: place % len(p.Zones), told: map[decide.ServerID]time.Duration{}}
	switch s.policy {
	case Module:
		n.d = decide.New(p.settings(place), int64(p.Seed)*1000+int64(number))
	case Central:
		n.d = s.central
	default:
		n.d = plainPolicy(s.policy, p.Seed*1000+uint64(number))
	}
	s.nodes, s.serving[place] = append(s.nodes, n), number
	s.handle(int32(number), decide.ListUpdate{Kind: decide.ListFull, Version: s.version, Entries: s.entries(s.servers)})
}

// plan puts an event on the clock, and after it the next of its kind if it comes again.
func (s *sim) plan(e Event, at time.Duration) {
	if at > s.p.Duration {
		return
	}
	s.push(event{at: at, kind: evHappen, do: func() {
		s.happen(e)
		if e.Every > 0 {
			s.plan(e, at+e.Every)
		}
	}})
}

func (s *sim) push(e event) {
	s.seq++
	e.seq = s.seq
	s.heap = append(s.heap, e)
	for i := len(s.heap) - 1; i > 0; {
		up := (i - 1) / 2
		if !s.heap[i].before(&s.heap[up]) {
			break
		}
		s.heap[i], s.heap[up] = s.heap[up], s.heap[i]
		i = up
	}
}

func (s *sim) pop() event {
	top, last := s.heap[0], len(s.heap)-1
	s.heap[0] = s.heap[last]
	s.heap[last] = event{}
	s.heap = s.heap[:last]
	for i := 0; ; {
		low := 2*i + 1
		if low >= last {
			break
		}
		if low+1 < last && s.heap[low+1].before(&s.heap[low]) {
			low++
		}
		if !s.heap[low].before(&s.heap[i]) {
			break
		}
		s.heap[i], s.heap[low] = s.heap[low], s.heap[i]
		i = low
	}
	return top
}

func (s *sim) gap() time.Duration {
	return s.now + time.Duration(s.rng.ExpFloat64()/s.rate*float64(time.Second))
}

func (s *sim) newServer() *server {
	p := s.p
	total := 0.0
	for _, k := range p.Kinds {
		total += k.Share
	}
	// Kinds in their shares, evenly mixed, and zones in turn.
	kind, u := &p.Kinds[0], math.Mod(float64(s.next)*math.Phi, 1)*total
	for i := range p.Kinds {
		if kind = &p.Kinds[i]; u < kind.Share {
			break
		}
		u -= kind.Share
	}
	v := &server{id: decide.ServerID(s.next + 1), number: s.next, zone: s.next % len(p.Zones), kind: kind, cell: s.next / 8, slow: 1,
		speed: kind.Speed * (1 + kind.Spread*(2*s.rng.Float64()-1))}
	s.next++
	s.servers, s.byID[v.id] = append(s.servers, v), v
	return v
}

func (s *sim) entries(of []*server) []decide.Server {
	out := make([]decide.Server, 0, len(of))
	for _, v := range of {
		e := decide.Server{ID: v.id, Zone: s.p.Zones[v.zone], Kind: v.kind.Name, Cell: v.cell, State: v.state, Size: float64(v.kind.Cores)}
		if v.started > 0 {
			e.StartedAt = epoch + v.started
		}
		out = append(out, e)
	}
	return out
}

// tell lets every node hear of changes, each after a time of its own.
func (s *sim) tell(of []*server) {
	s.version++
	entries, version := s.entries(of), s.version
	for i := range s.nodes {
		after := time.Duration(s.rng.Float64() * float64(s.p.ListDelay))
		s.push(event{at: s.now + after, kind: evList, do: func() {
			for _, e := range entries {
				n := s.nodes[i]
				if e.State == decide.Ready {
					delete(n.told, e.ID)
				} else if _, known := n.told[e.ID]; !known {
					n.told[e.ID] = s.now
				}
			}
			s.handle(int32(i), decide.ListUpdate{Kind: decide.ListChanges, Version: version, Entries: entries})
		}})
	}
}

func (s *sim) handle(number int32, e decide.Event) {
	n := s.nodes[number]
	n.queue = append(n.queue, e)
	if len(n.queue) > 1 {
		return
	}
	for len(n.queue) > 0 {
		for _, a := range n.d.Handle(epoch+s.now, n.queue[0]) {
			s.act(number, a)
		}
		n.queue = n.queue[1:]
	}
	n.queue = nil
}

func (s *sim) act(number int32, a decide.Action) {
	switch a := a.(type) {
	case decide.Send:
		s.send(number, a)
	case decide.Refuse:
		s.why = a.Cause
		s.final(a.ID, "refused")
	case decide.Fail:
		s.final(a.ID, "failed")
	case decide.CancelAttempt:
		if r := s.open[a.ID]; r != nil && a.Attempt < len(r.attempts) && !r.attempts[a.Attempt].ended {
			s.end(r.attempts[a.Attempt], decide.Cancelled)
		}
	case decide.SetTimer:
		s.push(event{at: s.now + a.After, kind: evTimer, node: number, tok: a.Token})
	}
}

func (s *sim) check(rule int, ok bool, format string, args ...any) {
	s.res.Checked[rule]++
	if ok {
		return
	}
	if s.res.Broken[rule]++; len(s.res.Told) < 10 {
		s.res.Told = append(s.res.Told, fmt.Sprintf("%v: rule %d: ", s.now, rule+1)+fmt.Sprintf(format, args...))
	}
}

func (s *sim) send(number int32, a decide.Send) {
	r, v := s.open[a.ID], s.byID[a.Server]
	if r == nil || v == nil || r.done {
		s.check(OneAnswer, false, "an attempt of %s, which is over, or at an unknown server", a.ID)
		return
	}
	for _, o := range r.attempts {
		s.check(NoTwice, o.ended, "%s has two attempts out", a.ID)
	}
	if told, known := s.nodes[number].told[a.Server]; known {
		s.check(DrainsKept, s.now <= told+s.p.DrainGrace, "node %d sends to %d, %v after it was told", number, a.Server, s.now-told)
	}
	at := &attempt{r: r, number: len(r.attempts), s: v, generation: v.generation, sent: s.now}
	r.attempts = append(r.attempts, at)
	s.res.Attempts++
	wait := r.arrived + s.p.Classes[r.class].Deadline - s.now
	if a.Timeout > 0 {
		wait = min(wait, a.Timeout)
	}
	s.push(event{at: s.now + wait, kind: evTimeout, a: at})
	s.push(event{at: s.now + s.way(number, v), kind: evReach, node: number, a: at})
}

func (s *sim) meanWay(number int32, v *server) time.Duration {
	if s.nodes[number].zone == v.zone {
		return s.p.SameZone
	}
	return s.p.CrossZone
}

func (s *sim) way(number int32, v *server) time.Duration {
	return time.Duration(float64(s.meanWay(number, v)) * (0.8 + 0.4*s.rng.Float64()))
}

// end ends an attempt for its node.
func (s *sim) end(a *attempt, code decide.OutcomeCode) {
	if a.ended {
		return
	}
	a.ended = true
	r := a.r
	if code == decide.OK && !r.done {
		s.final(r.id, "served")
	}
	s.handle(int32(r.node), decide.AttemptEnded{ID: r.id, Attempt: a.number, Server: a.s.id, Over: r.done, Elapsed: s.now - a.sent, Code: code})
	if r.done && !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.ended }) {
		delete(s.open, r.id)
	}
}

// closed is the end of a request that found no connection at its node.
const closed = "closed"

// final gives a request its final answer.
func (s *sim) final(id decide.RequestID, how string) {
	r := s.open[id]
	if r == nil || r.done {
		s.check(OneAnswer, false, "%s gets a second answer", id)
		return
	}
	r.done = true
	if how != closed {
		s.nodes[r.node].open--
	}
	c, k := &s.res.Classes[r.class], &s.p.Classes[r.class]
	took := s.now - r.arrived
	s.check(OneAnswer, took <= k.Deadline+5*time.Millisecond, "%s is answered after %v", id, took)
	w := &s.res.Windows[s.window(r.arrived)]
	switch how {
	case "served":
		s.times[r.class] = append(s.times[r.class], took)
		if took <= k.Aim {
			c.InAim++
			w.InAim++
			w.Served += k.Worth
		} else {
			c.Late++
		}
	case "refused":
		c.Refused++
		w.Refused++
		needless := s.room(r)
		if needless {
			c.Needless++
		}
		s.refused(r, s.why, needless)
		if k.Effect == decide.Unsafe {
			s.check(NoTwice, len(r.runs) == 0, "%s is unsafe, has run, and is refused", id)
		}
	default:
		c.Failed++
		w.Failed++
	}
	if !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.ended }) {
		delete(s.open, r.id)
	}
}

// room tells whether a request that is refused now could still have been answered within its aim by some server that
// is well and warm: by the work that the server has in hand, which no node sees. What is running counts as half done.
func (s *sim) room(r *request) bool {
	left := (s.p.Classes[r.class].Aim - (s.now - r.arrived) - 2*s.p.CrossZone).Seconds()
	first := s.counted % len(s.servers) // so that a long look is not always at the same
	for i := range min(len(s.servers), mostLooked) {
		v := s.servers[(first+i)%len(s.servers)]
		capacity, cold := s.capacity(v)
		if v.dead || v.cut || cold || v.state != decide.Ready || v.full() {
			continue
		}
		work := 0.0
		if len(v.on) == v.kind.Slots {
			work = float64(len(v.on)) / 2 * s.meanWork
			for _, a := range v.queue {
				work += a.r.work.Seconds()
			}
		}
		running := min(len(v.on)+1, v.kind.Slots) // with it, once it runs
		if v.slower(v.held+1)*(work+r.work.Seconds()*float64(max(v.kind.Cores, running)))/capacity <= left {
			return true
		}
	}
	return false
}

func (s *sim) window(at time.Duration) int {
	return min(windows-1, int(int64(at)*windows/int64(s.p.Duration)))
}

func (s *sim) step(e *event) {
	switch e.kind {
	case evArrive:
		s.arrive()
		if next := s.gap(); next < s.p.Duration {
			s.push(event{at: next, kind: evArrive})
		}
	case evReach:
		s.reach(e)
	case evDone:
		if e.tok == e.a.s.plan { // else what it holds has changed since, or its process has died
			s.finished(e.a)
		}
	case evOutcome:
		a, code := e.a, e.code
		s.soon(a.r.node, func() { s.end(a, code) })
	case evTimeout:
		s.end(e.a, decide.TimedOut)
	case evTimer:
		s.handle(e.node, decide.TimerFired{Token: e.tok})
	case evGuard:
		if r := e.r; !r.done {
			s.check(OneAnswer, false, "%s has no answer at its deadline", r.id)
			r.done = true
			delete(s.open, r.id)
		}
	case evSurvey:
		s.survey()
	default:
		e.do()
	}
}

// someNode is the node that the next request comes to.
func (s *sim) someNode() int {
	places := len(s.serving)
	hot := min(s.p.HotNodes, places)
	for {
		place := 0
		if part := float64(hot) * s.p.HotFactor; hot > 0 && s.rng.Float64()*(part+float64(places-hot)) < part {
			place = s.rng.IntN(hot)
		} else {
			place = hot + s.rng.IntN(max(1, places-hot))
		}
		if number := s.serving[place]; number >= 0 {
			return number
		}
	}
}

// stop takes the nodes of the next places out of service for a while, but never the last that serves.
func (s *sim) stop(e Event) {
	for range e.Count {
		place := s.stopped % len(s.serving)
		left := 0
		for _, number := range s.serving {
			if number >= 0 {
				left++
			}
		}
		if left < 2 || s.serving[place] < 0 {
			return
		}
		s.serving[place] = -1
		s.stopped++
		s.push(event{at: s.now + e.Duration, kind: evEnd, do: func() { s.startNode(place) }})
	}
}

func (s *sim) arrive() {
	u, class := s.rng.Float64()*s.shares, 0
	for i, c := range s.p.Classes {
		if class = i; u < c.Share {
			break
		}
		u -= c.Share
	}
	k := &s.p.Classes[class]
	s.counted++
	r := &request{id: decide.RequestID(strconv.Itoa(s.counted)), class: class, node: s.someNode(), arrived: s.now,
		work: s.work(k)}
	s.open[r.id] = r
	s.res.Classes[class].Asked++
	w := &s.res.Windows[s.window(s.now)]
	w.Asked++
	w.Worth += k.Worth
	n := s.nodes[r.node]
	if s.p.Open > 0 && n.open >= s.p.Open {
		s.final(r.id, closed)
		return
	}
	n.open++
	s.push(event{at: s.now + k.Deadline + 30*time.Millisecond, kind: evGuard, r: r})
	s.soon(r.node, func() {
		if !r.done { // the node may be later than its deadline
			s.handle(int32(r.node), decide.RequestArrived{ID: r.id, Class: k.Name, Patience: k.Deadline - (s.now - r.arrived)})
		}
	})
}

// work is what a request of the class costs, on a core of speed 1.
func (s *sim) work(k *Class) time.Duration {
	if k.Tail == 0 {
		return time.Duration(s.rng.ExpFloat64() * float64(k.Work))
	}
	least := (k.Tail - 1) / k.Tail // of the mean: Pareto's scale
	return time.Duration(math.Min(TailMost, least*math.Pow(1-s.rng.Float64(), -1/k.Tail)) * float64(k.Work))
}

// soon does what costs a node NodeCost once its core has come to it.
func (s *sim) soon(number int, do func()) {
	if s.p.NodeCost == 0 {
		do()
		return
	}
	n := s.nodes[number]
	n.free = max(n.free, s.now) + s.p.NodeCost
	s.push(event{at: n.free, kind: evEnd, do: do})
}

func (s *sim) reach(e *event) {
	a, v := e.a, e.a.s
	back := s.way(e.node, v)
	if s.central != nil {
		s.central.arrived(v)
	}
	switch {
	case v.cut:
		s.push(event{at: s.now + s.p.ConnectTimeout, kind: evOutcome, a: a, code: decide.ConnectFailed})
		return
	case v.dead || v.generation != a.generation:
		s.push(event{at: s.now + back, kind: evOutcome, a: a, code: decide.ConnectFailed})
		return
	}
	if s.p.Lost > 0 && s.rng.Float64() < s.p.Lost {
		return
	}
	work := a.r.work.Seconds()
	if capacity, cold := s.capacity(v); cold {
		v.sent = append(v.sent, sending{s.now, work})
		for len(v.sent) > 0 && s.now-v.sent[0].at > s.p.OverloadTime {
			v.sent = v.sent[1:]
		}
		sum, largest := 0.0, 0.0
		for _, one := range v.sent {
			sum, largest = sum+one.work, math.Max(largest, one.work)
		}
		// The largest is left out: one heavy request is chance.
		s.check(ColdSpared, sum-largest <= s.p.OverloadFactor*capacity*s.p.OverloadTime.Seconds(), "%d is cold and gets %.2f s of work in a window, can do %.2f a second", v.id, sum, capacity)
	}
	if a.ended {
		return // given up on its way
	}
	if v.full() {
		s.push(event{at: s.now + back, kind: evOutcome, a: a, code: decide.Full})
		return
	}
	s.settle(v)
	v.held++
	if len(v.on) < v.kind.Slots {
		s.start(a)
	} else {
		v.queue = append(v.queue, a)
	}
	s.replan(v)
}

func (s *sim) start(a *attempt) {
	v, r := a.s, a.r
	if k := &s.p.Classes[r.class]; len(r.runs) > 0 {
		last := r.runs[len(r.runs)-1]
		switch {
		case k.Effect == decide.Unsafe:
			s.check(NoTwice, false, "%s is unsafe and runs twice", r.id)
		case k.Effect == decide.Keyed:
			same := k.Scope == decide.ScopeAll || k.Scope == decide.ScopeZone && last.zone == v.zone || k.Scope == decide.ScopeCell && last.cell == v.cell
			// It has run when it came; what waited longer was sent in time.
			s.check(NoTwice, same && a.sent <= r.ranAt[len(r.ranAt)-1]+k.Dedup, "%s runs again outside its group or window", r.id)
		}
	}
	r.runs, r.ranAt = append(r.runs, v), append(r.ranAt, a.sent)
	a.until = v.clock + r.work.Seconds()
	v.on = append(v.on, a)
}

func (s *sim) finished(a *attempt) {
	v := a.s
	s.settle(v)
	v.held--
	v.on = slices.DeleteFunc(v.on, func(on *attempt) bool { return on == a })
	work := a.r.work.Seconds()
	v.work += work
	if s.now < s.p.Duration {
		v.byWindow[s.window(s.now)] += work
	}
	if s.done += work; a.ended {
		s.wasted += work
	} else if v.cut {
		// its answer is lost; the node waits until it gives up
		s.wasted += work
	} else {
		code := decide.OK
		if v.choke.now && v.kind.Choke.Fails > 0 && s.rng.Float64() < v.kind.Choke.Fails {
			code = decide.ServerError
		}
		s.push(event{at: s.now + s.way(int32(a.r.node), v), kind: evOutcome, a: a, code: code})
	}
	for len(v.queue) > 0 {
		next := v.queue[0]
		v.queue = v.queue[1:]
		if next.ended { // given up while it waited
			v.held--
			continue
		}
		s.start(next)
		break
	}
	s.replan(v)
	if s.central != nil {
		s.central.dispatch()
	}
}

// die ends a server's process: what it holds breaks.
func (s *sim) die(v *server) {
	v.generation++
	v.held, v.queue, v.on, v.sent, v.choke = 0, nil, nil, nil, choke{at: s.now}
	v.plan++
	for _, id := range s.openIDs() {
		for _, a := range s.open[id].attempts {
			if a.s == v && !a.ended && a.generation < v.generation {
				s.push(event{at: s.now + s.way(int32(a.r.node), v), kind: evOutcome, a: a, code: decide.Reset})
			}
		}
	}
}

// openIDs is in one order each time, as a map's is not.
func (s *sim) openIDs() []decide.RequestID {
	ids := make([]decide.RequestID, 0, len(s.open))
	for id := range s.open {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b decide.RequestID) int { return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b)) })
	return ids
}

func (s *sim) happen(e Event) {
	if e.What == Surge {
		s.rate *= e.Factor
		s.push(event{at: s.now + e.Duration, kind: evEnd, do: func() { s.rate /= e.Factor }})
		return
	}
	if e.What == Stop {
		s.stop(e)
		return
	}
	if e.What == Add {
		var added []*server
		for range e.Count {
			v := s.newServer()
			v.started, v.touched = s.now, true
			added = append(added, v)
		}
		s.tell(added)
		return
	}
	var from []*server
	for _, v := range s.servers {
		if !v.dead && v.state == decide.Ready && (e.Zone == "" || s.p.Zones[v.zone] == e.Zone) {
			from = append(from, v)
		}
	}
	s.rng.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	count := e.Count
	if e.Part > 0 {
		count = int(math.Round(e.Part * float64(len(from))))
	}
	hit := from[:min(count, len(from))]
	after := func(f func(v *server)) {
		s.push(event{at: s.now + e.Duration, kind: evEnd, do: func() {
			for _, v := range hit {
				f(v)
			}
		}})
	}
	for _, v := range hit {
		v.touched = true
		switch e.What {
		case Drain:
			v.state = decide.Draining
		case Kill:
			v.dead, v.state = true, decide.Gone
			s.die(v)
		case Restart:
			s.die(v)
			v.started = s.now
		case Slow:
			s.slow(v, e.Factor)
		case Cut:
			v.cut = true
		}
	}
	switch e.What {
	case Drain:
		s.tell(hit)
		after(func(v *server) {
			v.dead, v.state = true, decide.Gone
			s.die(v)
		})
		s.push(event{at: s.now + e.Duration, kind: evEnd, do: func() { s.tell(hit) }})
	case Kill, Restart:
		s.tell(hit)
	case Slow:
		after(func(v *server) { s.slow(v, 1/e.Factor) })
	case Cut:
		after(func(v *server) { v.cut = false })
	}
}

// slow makes a server slower by a factor.
func (s *sim) slow(v *server, by float64) {
	s.settle(v)
	v.slow *= by
	s.replan(v)
}

// survey notes how the nodes see the servers.
func (s *sim) survey() {
	w := &s.res.Windows[s.window(s.now-1)]
	for _, v := range s.servers {
		if v.choke.now && !v.dead {
			w.Choked++
		}
	}
	for _, n := range s.nodes {
		if m, ok := n.d.(*decide.Module); ok {
			v := m.View()
			w.Normal += v.Normal
			w.Overloaded += v.Overloaded
			w.Blocking += v.Blocking
			w.Suspect += v.Suspect
			w.Cold += v.Cold
		}
	}
	if next := s.now + s.p.Duration/windows; next <= s.p.Duration {
		s.push(event{at: next, kind: evSurvey})
	}
}

func (s *sim) finish() {
	for id := range s.open {
		if !s.open[id].done {
			s.check(OneAnswer, false, "%s has no answer", id)
		}
	}
	s.res.Worst = 1
	for i := range s.res.Windows {
		w := &s.res.Windows[i]
		if w.Asked >= 20 {
			s.res.Worst = math.Min(s.res.Worst, w.Served/w.Worth)
		}
	}
	s.res.Served = s.res.ServedIn(0, windows)
	for i := range s.res.Classes {
		slices.Sort(s.times[i])
		if n := len(s.times[i]); n > 0 {
			s.res.Classes[i].P50, s.res.Classes[i].P99 = s.times[i][n/2], s.times[i][min(n-1, n*99/100)]
		}
	}
	s.res.Waste = s.wasted / math.Max(s.done, 1e-9)
	s.fairness()
}

func (s *sim) fairness() {
	var loads []float64
	sum := 0.0
	for _, v := range s.servers {
		if !v.touched {
			load := v.work / (float64(v.kind.Cores) * v.speed)
			loads, sum = append(loads, load), sum+load
		}
	}
	if len(loads) > 0 && sum > 0 {
		slices.Sort(loads)
		mean := sum / float64(len(loads))
		s.res.Least, s.res.Most = loads[len(loads)*5/100]/mean, loads[min(len(loads)-1, len(loads)*95/100)]/mean
	}
	const most = 40
	step := max(1, (len(s.servers)+most-1)/most)
	for i := 0; i < len(s.servers); i += step {
		v := s.servers[i]
		sh := Share{Name: fmt.Sprintf("%d %s", v.id, v.kind.Name)}
		for w := range sh.Part {
			sh.Part[w] = v.byWindow[w] / (float64(v.kind.Cores) * v.speed * s.p.Duration.Seconds() / windows)
		}
		s.res.Shares = append(s.res.Shares, sh)
	}
}
