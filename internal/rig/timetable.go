package rig

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Step is something that a plan's timetable does at a time: the beginning or
// the end of a fault at its targets. A plan has one timetable, drawn from its seed.
type Step struct {
	At      time.Duration
	Number  int // of the fault, from 1
	Over    bool
	Fault   *Fault
	Targets []string // nodes and servers; none for faults of links
}

func (s Step) String() string {
	f := s.Fault
	var what string
	switch f.What {
	case FaultLink:
		what = fmt.Sprintf("%s - %s %s: %v", f.Between[0], f.Between[1], cmp.Or(f.Only, "both ways"), f.Condition)
	case FaultPartition:
		var groups []string
		for _, g := range f.Groups {
			groups = append(groups, strings.Join(g, " "))
		}
		what = "partition " + strings.Join(groups, " | ")
		if f.OneWay {
			what += ", one way"
		}
	case FaultTorn:
		what = "discovery's lists are torn"
	case FaultSilent:
		what = "discovery's open watches fall silent"
	default:
		what = f.What + " " + strings.Join(s.Targets, " ")
		switch f.What {
		case FaultSlow, FaultStarve:
			what += fmt.Sprintf(" x%v", f.Factor)
		case FaultFail:
			what += fmt.Sprintf(" %v", f.Part)
		case FaultClock, FaultStep:
			what += fmt.Sprintf(" %v", f.Offset)
		case FaultCrowd:
			what += fmt.Sprintf(" %d, %s", f.Number, f.Does)
		case FaultAnswers:
			what += " " + f.Answers.String()
		case FaultMove:
			if f.Move != (Move{Place: PlaceWell}) {
				what += " " + f.Move.String()
			}
		case FaultQuiesce:
			if f.Dealt {
				what += ", dealt"
			}
		}
	}
	if s.Over {
		return what + " is over"
	}
	return what
}

// Timetable is all steps of a plan in their order. Faults that have no end of
// their own end with the load, where they can: what was killed for good stays so.
func (p *Plan) Timetable() []Step {
	rng := rand.New(rand.NewPCG(p.Seed, 3))
	var steps []Step
	number := 0
	add := func(f *Fault, from, to time.Duration, targets []string) {
		number++
		steps = append(steps, Step{At: from, Number: number, Fault: f, Targets: targets})
		if to > from {
			steps = append(steps, Step{At: to, Number: number, Over: true, Fault: f, Targets: targets})
		}
	}
	for i := range p.Faults {
		f := &p.Faults[i]
		end := f.At + f.For
		if f.For == 0 {
			end = p.Length
		}
		switch f.What {
		case FaultLink, FaultPartition, FaultTorn, FaultSilent:
			if f.Flap == 0 {
				add(f, f.At, end, nil)
				continue
			}
			for at := f.At; at < end; at += 2 * f.Flap {
				add(f, at, min(at+f.Flap, end), nil)
			}
		default:
			targets := p.draw(rng, f)
			lasting := f.For == 0 && (f.What == FaultKill || f.What == FaultReload || f.What == FaultMove || f.What == FaultClock || f.What == FaultQuiesce)
			over := func(at time.Duration) time.Duration {
				switch {
				case lasting:
					return at
				case f.For == 0:
					return end
				}
				return at + f.For
			}
			if f.Every == 0 {
				add(f, f.At, over(f.At), targets)
				continue
			}
			for j, one := range targets {
				at := f.At + time.Duration(j)*f.Every
				add(f, at, over(at), []string{one})
			}
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

// draw is a fault's targets: all that match, or some of them.
func (p *Plan) draw(rng *rand.Rand, f *Fault) []string {
	all := slices.DeleteFunc(p.matching(f.Targets), func(end string) bool { return !isNode(end) && !isServer(end) || end == Discovery || end == Clients })
	n := len(all)
	if f.Count > 0 {
		n = min(n, f.Count)
	} else if f.Part > 0 && f.What != FaultFail {
		n = max(1, int(math.Round(f.Part*float64(n))))
	}
	if n == len(all) {
		return all
	}
	chosen := rng.Perm(len(all))[:n]
	slices.Sort(chosen)
	drawn := make([]string, n)
	for i, j := range chosen {
		drawn[i] = all[j]
	}
	return drawn
}

// between is the links between ends of two patterns, each as the end that
// opens connections and the one that listens.
func (p *Plan) between(a, b string) [][2]string {
	var all [][2]string
	for _, l := range p.links() {
		if p.match(a, l[0]) && p.match(b, l[1]) || p.match(a, l[1]) && p.match(b, l[0]) {
			all = append(all, l)
		}
	}
	return all
}

// links is all pairs of ends that have a link. Of two nodes, the one with the
// lower number counts as the one that opens connections.
func (p *Plan) links() [][2]string {
	var all [][2]string
	for i := range p.Nodes {
		n := nodeName(i)
		all = append(all, [2]string{Clients, n}, [2]string{n, Discovery})
		for j := range p.Servers.Count {
			all = append(all, [2]string{n, serverName(j)})
		}
		for j := i + 1; j < p.Nodes; j++ {
			all = append(all, [2]string{n, nodeName(j)})
		}
	}
	return all
}

// conditions is what a fault of links does to one link.
func (p *Plan) conditions(f *Fault, l [2]string) (c [directions]Condition) {
	switch f.What {
	case FaultLink:
		forward := p.match(f.Between[0], l[0]) && p.match(f.Between[1], l[1])
		backward := p.match(f.Between[0], l[1]) && p.match(f.Between[1], l[0])
		if !forward && !backward {
			return c
		}
		if f.Only != "back" && forward || f.Only != "there" && backward {
			c[there] = f.Condition
		}
		if f.Only != "there" && forward || f.Only != "back" && backward {
			c[back] = f.Condition
		}
	case FaultPartition:
		from, to := p.groupsOf(f, l[0]), p.groupsOf(f, l[1])
		if len(from) == 0 || len(to) == 0 || slices.ContainsFunc(from, func(g int) bool { return slices.Contains(to, g) }) {
			return c
		}
		c[there].Drop = !f.OneWay || from[0] < to[0]
		c[back].Drop = !f.OneWay || to[0] < from[0]
	}
	return c
}

func (p *Plan) groupsOf(f *Fault, end string) []int {
	var in []int
	for i, g := range f.Groups {
		if slices.ContainsFunc(g, func(pattern string) bool { return p.match(pattern, end) }) {
			in = append(in, i)
		}
	}
	return in
}
