package rig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Random draws a plan: a small fleet under some load, and one to four faults
// of any kind, which are over before the load is; in one of three operators
// drain nodes beside them. Nothing is asked of it but
// the rules, and that it serves again in the end.
func Random(seed uint64) *Plan {
	rng := rand.New(rand.NewPCG(seed, 11))
	p := defaults()
	p.Name, p.Seed = fmt.Sprintf("random-%d", seed), seed
	p.Classes = defaultClasses()
	p.Nodes = 2 + rng.IntN(4)
	p.Servers.Count = 3 + rng.IntN(5)
	p.Servers.ColdTime = time.Duration(1+rng.IntN(4)) * time.Second
	p.Servers.ListDelay = time.Duration(200+100*rng.IntN(10)) * time.Millisecond
	p.Zones = []string{"a", "b", "c"}[:1+rng.IntN(3)]
	p.Length = 8 * time.Second
	// Between a quarter and seven tenths of what the servers can do.
	p.Rate = float64(int((0.25 + 0.45*rng.Float64()) * p.capacity()))
	p.Cool = 5 * time.Second
	if rng.IntN(2) == 0 {
		p.Patience = 0
	}
	for range 1 + rng.IntN(4) {
		p.Faults = append(p.Faults, p.randomFault(rng))
	}
	if drains := drawsOf(seed, drainStream); drains.IntN(3) == 0 {
		p.quiesceOnce(drains, 25)
	}
	p.Want = Want{Memory: 192, After: 0.5, Recover: 2 * time.Second}
	return &p
}

// capacity is the requests a second that the servers can do.
func (p *Plan) capacity() float64 {
	share, work := 0.0, 0.0
	for _, c := range p.Classes {
		share, work = share+c.Share, work+c.Share*c.Work.Seconds()
	}
	return float64(p.Servers.Count*p.Servers.Cores) * p.Servers.Speed * share / max(work, 1e-9)
}

// Streams of what is drawn apart from a seed's other faults, which stay the same
// whether or not these are drawn.
const (
	crowdStream   = 23
	drainStream   = 29 // drains by operators
	answersStream = 31 // of agents
	moveStream    = 37 // moves of discovery in series
)

// drawsOf is a source of draws of its own for a stream.
func drawsOf(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// tenths draws a time in steps of a tenth of a second.
func tenths(rng *rand.Rand, least, most int) time.Duration {
	return time.Duration(least+rng.IntN(most-least+1)) * 100 * time.Millisecond
}

func (p *Plan) randomFault(rng *rand.Rand) Fault {
	f := Fault{At: tenths(rng, 5, 25), For: tenths(rng, 3, 25)}
	pick := func(words ...string) string { return words[rng.IntN(len(words))] }
	aNode, aServer := nodeName(rng.IntN(p.Nodes)), serverName(rng.IntN(p.Servers.Count))
	switch f.What = pick(FaultLink, FaultLink, FaultLink, FaultPartition, FaultKill, FaultKill, FaultTerm, FaultStop, FaultStop, FaultStarve, FaultReload,
		FaultClock, FaultSlow, FaultFail, FaultHang, FaultDrain, FaultTorn); f.What {
	case FaultLink:
		f.Between = [][2]string{{Clients, aNode}, {aNode, aServer}, {"n*", aServer}, {aNode, "s*"}, {"n*", Discovery}, {aNode, Discovery}}[rng.IntN(6)]
		f.Only = pick("", "there", "back")
		f.Condition = []Condition{{Drop: true}, {Stall: true}, {Delay: 50 * time.Millisecond, Jitter: 100 * time.Millisecond}, {Loss: 0.2},
			{Rate: 20_000}, {HalfOpen: true}, {Reset: 0.2}, {Cut: 0.2}, {Drop: true, HalfOpen: true}}[rng.IntN(9)]
		if rng.IntN(3) == 0 {
			f.Flap = tenths(rng, 2, 6)
		}
	case FaultPartition:
		var groups [2][]string
		for _, end := range p.ends() {
			if end != Clients {
				i := rng.IntN(2)
				groups[i] = append(groups[i], end)
			}
		}
		if len(groups[0]) == 0 || len(groups[1]) == 0 {
			groups = [2][]string{{aNode}, {aServer}}
		}
		f.Groups, f.OneWay = groups[:], rng.IntN(3) == 0
	case FaultKill, FaultStop:
		f.Targets = []string{pick(aNode, aServer, "n*", "s*")}
		if len(f.Targets[0]) == 2 && f.Targets[0][1] == '*' {
			f.Part = []float64{0.3, 0.5, 0.7}[rng.IntN(3)]
		}
		if f.What == FaultKill {
			f.State = StateSame
		}
	case FaultTerm:
		f.Targets, f.State = []string{"n*"}, StateSame
		if f.Every = tenths(rng, 2, 8); rng.IntN(2) == 0 {
			f.Targets, f.Every = []string{aNode}, 0
		}
	case FaultStarve:
		f.Targets, f.Factor = []string{aNode}, float64(2+rng.IntN(7))
	case FaultClock:
		f.Targets, f.Offset = []string{aNode}, []time.Duration{time.Hour, -time.Hour, time.Minute, -time.Minute}[rng.IntN(4)]
	case FaultReload:
		f.Targets = []string{"n*"}
	case FaultSlow:
		f.Targets, f.Factor = []string{aServer}, float64(2+rng.IntN(10))
	case FaultFail:
		f.Targets, f.Part = []string{aServer}, 0.1+0.9*rng.Float64()
	case FaultHang, FaultDrain:
		f.Targets = []string{aServer}
	}
	return f
}

// Shrink looks for the fewest and shortest faults, and the least of all else,
// with which a plan still fails. fails plays a plan; at most tries plays are made.
func Shrink(ctx context.Context, p *Plan, tries int, fails func(*Plan) bool) (shrunk *Plan, played int) {
	best := *p
	try := func(change func(*Plan) bool) bool {
		if played >= tries || ctx.Err() != nil {
			return false
		}
		next := best
		next.Faults = slices.Clone(best.Faults)
		if !change(&next) {
			return false
		}
		played++
		if !fails(&next) {
			return false
		}
		best = next
		return true
	}
	for smaller := true; smaller; {
		smaller = false
		for i := 0; i < len(best.Faults); {
			if try(func(p *Plan) bool { p.Faults = slices.Delete(p.Faults, i, i+1); return true }) {
				smaller = true
			} else {
				i++
			}
		}
		for i := range best.Faults {
			for try(func(p *Plan) bool {
				f := &p.Faults[i]
				half := (f.For / 2).Truncate(10 * time.Millisecond)
				if half < 100*time.Millisecond {
					return false
				}
				f.For = half
				return true
			}) {
				smaller = true
			}
			if try(func(p *Plan) bool { had := p.Faults[i].Flap > 0; p.Faults[i].Flap = 0; return had }) {
				smaller = true
			}
		}
		for try(func(p *Plan) bool { p.Nodes /= 2; return p.Nodes >= 1 && p.holds() }) {
			smaller = true
		}
		for try(func(p *Plan) bool {
			p.Servers.Count /= 2
			p.Rate = max(1, p.Rate/2)
			return p.Servers.Count >= 1 && p.holds()
		}) {
			smaller = true
		}
		last := time.Duration(0)
		for _, f := range best.Faults {
			last = max(last, f.At+f.For)
		}
		if end := (last + best.Want.Recover + 2*time.Second).Truncate(100 * time.Millisecond); end < best.Length && try(func(p *Plan) bool { p.Length = end; return true }) {
			smaller = true
		}
	}
	return &best, played
}

// holds tells whether a plan can be read back from its file, as one whose
// faults are about ends that it no longer has can't.
func (p *Plan) holds() bool {
	_, err := ParsePlan("shrunk", []byte(p.Format()))
	return err == nil
}
