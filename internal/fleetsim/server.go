package fleetsim

import (
	"cmp"
	"math"
	"slices"
	"time"

	"indigotack/decide"
)

type server struct {
	id         decide.ServerID
	number     int
	zone       int
	kind       *Kind
	cell       int
	speed      float64
	started    time.Duration // 0: long ago
	state      decide.ServerState
	dead, cut  bool
	slow       float64
	touched    bool       // by an event
	held       int        // requests that run or wait
	queue, on  []*attempt // on: running, which share the cores
	clock      float64    // s, work that each running request has got since the server began
	at         time.Duration
	pace       float64 // of the clock since then
	plan       int64   // number of the last end planned; an earlier one does not hold any more
	sent       []sending
	work       float64
	byWindow   [windows]float64
	generation int // of its process
	choke      choke
}

// choke is how near a server is to choking, or to its rest after it has.
type choke struct {
	at         time.Duration // of the means
	held, busy float64       // requests that run or wait; part of the cores
	since      time.Duration // it has choked
	now        bool
}

// crowded renews the means of what a server holds, before that changes. It must be called for each change.
func (s *sim) crowded(v *server) {
	k, c := &v.kind.Choke, &v.choke
	if k.At == 0 {
		return
	}
	passed := (s.now - c.at).Seconds()
	c.at = s.now
	held, busy := float64(v.held), math.Min(1, float64(len(v.on))/float64(v.kind.Cores))
	c.held = held + (c.held-held)*math.Exp(-passed/k.Over.Seconds())
	c.busy = busy + (c.busy-busy)*math.Exp(passed*math.Log(k.Below)/k.Rest.Seconds()) // idle, it falls to Below in Rest
	switch {
	case c.now && (c.busy < k.Below || s.now-c.since >= k.Most):
		c.now, c.held = false, held
	case !c.now && c.held > float64(v.kind.Cores)+k.At*math.Sqrt(float64(v.kind.Cores)):
		c.now, c.since, c.busy = true, s.now, 1
	}
}

// slower is by how much a server is slow now.
func (v *server) slower(held int) float64 {
	by := v.slow * v.kind.crowd(held)
	if v.choke.now {
		by *= v.kind.Choke.Slower
	}
	return by
}

// capacity is work a second that a server can do now.
func (s *sim) capacity(v *server) (capacity float64, cold bool) {
	full := float64(v.kind.Cores) * v.speed
	if v.started == 0 || s.p.ColdTime == 0 || s.now-v.started >= s.p.ColdTime {
		return full, false
	}
	part := (s.now - v.started).Seconds() / s.p.ColdTime.Seconds()
	return full * (s.p.ColdFrom + (1-s.p.ColdFrom)*part), true
}

// paceOf is the work a second that each running request gets: what the server can do, shared by those that run.
func (s *sim) paceOf(v *server) float64 {
	capacity, _ := s.capacity(v)
	return capacity / v.slower(v.held) / float64(max(v.kind.Cores, len(v.on)))
}

// settle brings a server up to now, before what it holds or how fast it is changes.
func (s *sim) settle(v *server) {
	v.clock += v.pace * (s.now - v.at).Seconds()
	v.at = s.now
	s.crowded(v)
}

// replan sets the end of the request that ends next, after such a change.
func (s *sim) replan(v *server) {
	v.pace = s.paceOf(v)
	v.plan++
	if len(v.on) == 0 {
		return
	}
	next := slices.MinFunc(v.on, func(a, b *attempt) int { return cmp.Compare(a.until, b.until) })
	s.push(event{at: s.now + v.left(next, v.clock), kind: evDone, a: next, tok: v.plan})
}

// left is how long a running request takes from the moment of the clock given, if nothing changes.
func (v *server) left(a *attempt, clock float64) time.Duration {
	return time.Duration(math.Ceil(math.Max(0, a.until-clock) / v.pace * float64(time.Second)))
}

// full tells whether a server turns away what comes.
func (v *server) full() bool { return v.held >= v.kind.Slots+v.kind.Queue }
