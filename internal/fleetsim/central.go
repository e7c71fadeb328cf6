package fleetsim

import (
	"cmp"
	"slices"
	"time"

	"indigotack/decide"
)

// central is the bound that other policies are measured by: one place that sees without delay what every server has
// in hand and what each request will cost. Requests wait there, those of more worth first, and leave for a core that
// is free, or will be when they reach it; so none waits behind one of less worth, and no server queues. What cannot
// be answered within its aim any more is refused. It does not weigh long requests against short ones of one worth,
// so past the capacity a knapsack would serve somewhat more; below it, it comes within the wait for a core of the best.
type central struct {
	s     *sim
	lines [][]*request // by falling worth of their classes
	rank  []int        // of each class, its line
	pipe  map[*server]int
}

func newCentral(s *sim) *central {
	c := &central{s: s, pipe: map[*server]int{}}
	var worths []float64
	for _, k := range s.p.Classes {
		worths = append(worths, k.Worth)
	}
	slices.SortFunc(worths, func(a, b float64) int { return cmp.Compare(b, a) })
	worths = slices.Compact(worths)
	for _, k := range s.p.Classes {
		c.rank = append(c.rank, slices.Index(worths, k.Worth))
	}
	c.lines = make([][]*request, len(worths))
	return c
}

// Handle makes central a decider; all nodes share one, and it acts through the simulation by itself.
func (c *central) Handle(_ decide.Time, e decide.Event) []decide.Action {
	switch e := e.(type) {
	case decide.RequestArrived:
		r := c.s.open[e.ID]
		line := &c.lines[c.rank[r.class]]
		*line = append(*line, r)
		c.s.push(event{at: c.s.now + c.s.p.Classes[r.class].Aim, kind: evEnd, do: func() { c.giveUp(r) }})
		c.dispatch()
	case decide.AttemptEnded:
		if e.Code != decide.OK && !e.Over {
			return []decide.Action{decide.Fail{ID: e.ID}}
		}
	}
	return nil
}

func (c *central) giveUp(r *request) {
	if !r.done && len(r.attempts) == 0 {
		c.s.final(r.id, "refused")
	}
}

// spare tells whether a request that leaves now finds a core of the server's free when it gets there.
func (c *central) spare(v *server, way time.Duration) bool {
	if v.dead || v.cut || v.state != decide.Ready {
		return false
	}
	soon := 0
	for _, a := range v.on {
		if v.left(a, v.clock+v.pace*(c.s.now-v.at).Seconds()) <= way {
			soon++
		}
	}
	return v.held-soon+c.pipe[v] < v.kind.Cores
}

// dispatch sends what it can, the most worth first.
func (c *central) dispatch() {
	for i := range c.lines {
		for len(c.lines[i]) > 0 {
			r := c.lines[i][0]
			if !r.done {
				best, soonest, spare := (*server)(nil), time.Duration(0), false
				for _, v := range c.s.servers {
					way := c.s.meanWay(int32(r.node), v)
					if !c.spare(v, way) {
						continue
					}
					capacity, _ := c.s.capacity(v)
					took := 2*way + time.Duration(float64(r.work)*v.slower(v.held)*float64(v.kind.Cores)/capacity)
					if spare = true; best == nil || took < soonest {
						best, soonest = v, took
					}
				}
				switch {
				case !spare:
					return
				case c.s.now+soonest > r.arrived+c.s.p.Classes[r.class].Aim:
					c.s.final(r.id, "refused") // even the best of them is too late
				default:
					c.pipe[best]++
					c.s.act(int32(r.node), decide.Send{ID: r.id, Server: best.id})
				}
			}
			c.lines[i][0] = nil
			c.lines[i] = c.lines[i][1:]
		}
	}
}

// arrived takes a request that a server has, or has turned away, off those on their way there.
func (c *central) arrived(v *server) {
	if c.pipe[v]--; c.pipe[v] <= 0 {
		delete(c.pipe, v)
	}
}
