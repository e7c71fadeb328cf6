package fleetsim

import (
	"fmt"
	"io"
	"math"

	"indigotack/decide"
)

// Refusals are those of one cause and class: what the module believed, and what was true. Sums over Count.
type Refusals struct {
	Count, Needless                      int
	Windows                              [windows]int
	normal, overloaded, blocking, reach  float64 // servers as believed
	pooled, held, high, q1, q2, waiting  float64
	mean                                 float64 // s
	freeNear, workNear, freeAll, workAll float64 // cores free, as a part; work in hand, in seconds of a server: of those this node reaches, and of all
}

// refused notes a refusal's cause.
func (s *sim) refused(r *request, cause decide.Cause, needless bool) {
	if s.res.Refusals == nil {
		s.res.Refusals = make([][decide.Causes]Refusals, len(s.p.Classes))
	}
	f := &s.res.Refusals[r.class][cause]
	f.Count++
	if needless {
		f.Needless++
	}
	f.Windows[s.window(r.arrived)]++
	m, ok := s.nodes[r.node].d.(*decide.Module)
	if !ok {
		return
	}
	b := m.Belief(s.p.Classes[r.class].Name)
	f.normal += float64(b.Normal)
	f.overloaded += float64(b.Overloaded)
	f.blocking += float64(b.Blocking)
	f.reach += float64(b.Reach)
	if b.Pooled {
		f.pooled++
	}
	f.held += b.Held
	f.high += b.High
	f.q1 += b.Q1
	f.q2 += b.Q2
	f.waiting += float64(b.Waiting)
	f.mean += b.Mean
	free, work := s.truth(s.servers)
	f.freeAll += free
	f.workAll += work
	s.near = s.near[:0]
	m.Reach(s.p.Classes[r.class].Name, func(id decide.ServerID) {
		if v := s.byID[id]; v != nil {
			s.near = append(s.near, v)
		}
	})
	free, work = s.truth(s.near)
	f.freeNear += free
	f.workNear += work
}

// truth is the part of the cores that is free, and the mean time that the work in hand at a server takes it, s.
func (s *sim) truth(of []*server) (free, work float64) {
	cores, servers := 0.0, 0.0
	for _, v := range of {
		if v.dead || v.cut || v.state != decide.Ready {
			continue
		}
		servers++
		cores += float64(v.kind.Cores)
		free += float64(max(0, v.kind.Cores-len(v.on)))
		capacity, _ := s.capacity(v)
		sum := 0.0
		for _, a := range v.on {
			sum += math.Max(0, a.until-v.clock-v.pace*(s.now-v.at).Seconds())
		}
		for _, a := range v.queue {
			sum += a.r.work.Seconds()
		}
		work += sum / capacity
	}
	return free / math.Max(1, cores), work / math.Max(1, servers)
}

// WriteRefusals prints what was refused, by class and cause, with what the module believed and what was true.
func WriteRefusals(w io.Writer, p *Plan, r *Result) {
	fmt.Fprintf(w, "\n%s: refusals by cause; means over them\n", r.Policy)
	fmt.Fprintf(w, "%-12s %-14s %7s %9s | believed: %5s %6s %6s %5s %6s %7s %7s %5s %5s %7s %8s | true: %10s %10s %9s %9s\n", "class", "cause", "refused", "needless",
		"reach", "normal", "overl.", "block", "pooled", "held", "sum H", "q1", "q2", "in line", "latency", "free near", "work near", "free all", "work all")
	for class, causes := range r.Refusals {
		for cause, f := range causes {
			if f.Count == 0 {
				continue
			}
			n := float64(f.Count)
			fmt.Fprintf(w, "%-12s %-14s %7d %8.1f%% |           %5.0f %6.1f %6.1f %5.1f %5.0f%% %7.1f %7.1f %5.2f %5.2f %7.1f %5.0f ms |       %9.1f%% %7.0f ms %8.1f%% %6.0f ms\n",
				p.Classes[class].Name, decide.Cause(cause), f.Count, 100*float64(f.Needless)/n, f.reach/n, f.normal/n, f.overloaded/n, f.blocking/n, 100*f.pooled/n, f.held/n, f.high/n,
				f.q1/n, f.q2/n, f.waiting/n, 1000*f.mean/n, 100*f.freeNear/n, 1000*f.workNear/n, 100*f.freeAll/n, 1000*f.workAll/n)
		}
	}
}
