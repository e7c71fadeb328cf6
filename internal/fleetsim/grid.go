package fleetsim

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Size is a fleet's.
type Size struct{ Nodes, Servers int }

// ParseSize reads "5x15": nodes, then servers.
func ParseSize(text string) (Size, error) {
	nodes, servers, _ := strings.Cut(text, "x")
	n, err := strconv.Atoi(nodes)
	v, err2 := strconv.Atoi(servers)
	if err != nil || err2 != nil || n < 1 || n > maxNodes || v < 1 || v > maxServers {
		return Size{}, fmt.Errorf("size %q, want nodes x servers such as 5x15, at most %dx%d", text, maxNodes, maxServers)
	}
	return Size{n, v}, nil
}

func (s Size) String() string { return fmt.Sprintf("%dx%d", s.Nodes, s.Servers) }

// Grid plays one plan at several sizes, loads (parts of the capacity) and seeds, under each policy. Random and Central
// are always played, as the two ends that others are placed between.
type Grid struct {
	Plan     *Plan
	Sizes    []Size
	Loads    []float64
	Seeds    int
	Policies []Policy
}

// Spot is what one policy did at one size and load, over all seeds.
type Spot struct {
	Size     Size
	Load     float64
	Policy   Policy
	Served   Estimate // worth within its aim, as a part of that asked for
	Way      float64  // of the way from random (0) to central (1), in Served
	Classes  []SpotClass
	Needless Estimate // refusals that were needless, as a part of all requests
	Broken   int      // checks of the rules that failed
}

// SpotClass is a class's part.
type SpotClass struct {
	Name           string
	InAim, Refused Estimate // as parts of the class's requests
}

// Estimate is a mean over seeds and half the width of its interval of 95% confidence (Student's t).
type Estimate struct{ Mean, Half float64 }

// student is the 97.5th hundredth of Student's t by degrees of freedom, from 1.
var student = []float64{12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13}

func estimate(x []float64) Estimate {
	n, sum, squares := float64(len(x)), 0.0, 0.0
	for _, v := range x {
		sum += v
	}
	for _, v := range x {
		squares += (v - sum/n) * (v - sum/n)
	}
	if len(x) < 2 {
		return Estimate{Mean: sum / n}
	}
	t := 2.0
	if len(x)-2 < len(student) {
		t = student[len(x)-2]
	}
	return Estimate{sum / n, t * math.Sqrt(squares/(n-1)/n)}
}

// Run plays the grid on all cores, or until ctx ends. Spots come by size, load and policy, in the order given.
func (g *Grid) Run(ctx context.Context) ([]Spot, error) {
	policies := slices.Clone(g.Policies)
	for _, end := range []Policy{Random, Central} {
		if !slices.Contains(policies, end) {
			policies = append(policies, end)
		}
	}
	type job struct{ spot, seed int }
	var spots []Spot
	for _, size := range g.Sizes {
		for _, load := range g.Loads {
			for _, policy := range policies {
				spots = append(spots, Spot{Size: size, Load: load, Policy: policy})
			}
		}
	}
	results := make([][]*Result, len(spots))
	var jobs []job
	for i := range spots {
		results[i] = make([]*Result, g.Seeds)
		for seed := range g.Seeds {
			jobs = append(jobs, job{i, seed})
		}
	}
	// The largest first, so that none is left alone at the end.
	slices.SortStableFunc(jobs, func(a, b job) int { return cmp.Compare(spots[b.spot].Size.Servers, spots[a.spot].Size.Servers) })
	todo := make(chan job)
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for j := range todo {
				results[j.spot][j.seed] = Run(g.at(&spots[j.spot], j.seed), spots[j.spot].Policy)
			}
		})
	}
	for _, j := range jobs {
		select {
		case todo <- j:
		case <-ctx.Done():
		}
	}
	close(todo)
	group.Wait()
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	for i := range spots {
		spots[i].sum(results[i])
	}
	for i := range spots {
		at := i / len(policies) * len(policies)
		low, top := spots[at+slices.Index(policies, Random)].Served.Mean, spots[at+slices.Index(policies, Central)].Served.Mean
		spots[i].Way = (spots[i].Served.Mean - low) / math.Max(top-low, 1e-9)
	}
	return spots, nil
}

// at is the plan of a spot.
func (g *Grid) at(s *Spot, seed int) *Plan {
	p := *g.Plan
	p.Nodes, p.Servers, p.Seed = s.Size.Nodes, s.Size.Servers, g.Plan.Seed+uint64(seed)
	p.Rate = 1
	_, unit := p.Capacity()
	p.Rate = s.Load / unit
	return &p
}

func (s *Spot) sum(results []*Result) {
	over := func(f func(*Result) float64) Estimate {
		var x []float64
		for _, r := range results {
			x = append(x, f(r))
		}
		return estimate(x)
	}
	s.Served = over(func(r *Result) float64 { return r.Served })
	s.Needless = over((*Result).needless)
	for i, c := range results[0].Classes {
		part := func(f func(*ClassResult) int) Estimate {
			return over(func(r *Result) float64 { return float64(f(&r.Classes[i])) / math.Max(1, float64(r.Classes[i].Asked)) })
		}
		s.Classes = append(s.Classes, SpotClass{Name: c.Name, InAim: part(func(c *ClassResult) int { return c.InAim }),
			Refused: part(func(c *ClassResult) int { return c.Refused })})
	}
	for _, r := range results {
		for _, n := range r.Broken {
			s.Broken += n
		}
	}
}

func (e Estimate) percent() string { return fmt.Sprintf("%.2f ±%.2f", 100*e.Mean, 100*e.Half) }

// WriteGrid prints spots as a table.
func WriteGrid(w io.Writer, g *Grid, spots []Spot) {
	fmt.Fprintf(w, "%v, %d seeds from %d on; percentages with intervals of 95%%\n\n", g.Plan.Duration.Round(time.Second), g.Seeds, g.Plan.Seed)
	fmt.Fprintf(w, "%-10s %5s  %-16s %14s %6s %14s %s\n", "size", "load", "policy", "worth served", "way", "needless", "  in aim, refused by class")
	for i, s := range spots {
		if i > 0 && (s.Size != spots[i-1].Size || s.Load != spots[i-1].Load) {
			fmt.Fprintln(w)
		}
		fmt.Fprintf(w, "%-10v %4.0f%%  %-16s %14s %6.2f %14s  ", s.Size, 100*s.Load, s.Policy, s.Served.percent(), s.Way, s.Needless.percent())
		for _, c := range s.Classes {
			fmt.Fprintf(w, " %s %s, %s;", c.Name, c.InAim.percent(), c.Refused.percent())
		}
		if s.Broken > 0 {
			fmt.Fprintf(w, " %d checks of the rules failed", s.Broken)
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w, "\nway: from random (0) to central (1) in worth served. central sees the true work of all servers and requests without delay.")
}
