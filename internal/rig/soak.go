package rig

import (
	"fmt"
	"math/rand/v2"
	"time"

	"indigotack/decide"
)

// Sizes of a soak: with the rig, a few dozen processes.
const (
	soakNodes   = 6
	soakServers = 16
	soakLoad    = 12 * time.Second
)

// Soak draws a plan for a platform's fleet with random faults that overlap:
// nodes that are told to end one after another and killed as early as a platform
// may, while clients use what connections are open, signals in series, watches
// that fall silent as servers drain, servers that hang, die and come back cold,
// links with faults, clocks that step, crowds of idle clients, nodes that
// operators drain, agents that answer late, in parts or not, configurations in series
// that name agents which tell nothing, crowds that have a node
// hold or do much, and, where the program
// was built for it, calls on sockets that fail. Nothing is asked of it but the
// rules.
func Soak(seed uint64) *Plan {
	rng := rand.New(rand.NewPCG(seed, 17))
	p := defaults()
	p.Name, p.Seed = fmt.Sprintf("soak-%d", seed), seed
	p.Platform = true
	p.Nodes = soakNodes + rng.IntN(3)
	p.Servers.Count = soakServers + rng.IntN(5)
	p.Zones = []string{"a", "b", "c"}[:1+rng.IntN(3)]
	p.Classes = soakClasses(rng)
	p.Servers.DrainGrace = []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second}[rng.IntN(3)]
	p.Servers.ColdTime = time.Duration(1+rng.IntN(4)) * time.Second
	p.Servers.ListDelay = tenths(rng, 2, 12)
	p.Length, p.Cool = soakLoad, 4*time.Second
	p.Rate = min(300, float64(int((0.2+0.3*rng.Float64())*p.capacity())))
	p.Patience, p.Open, p.Leave = tenths(rng, 1, 6), 0.3, 0.05
	if rng.IntN(2) == 0 {
		p.Sockets = []float64{0.005, 0.02, 0.05}[rng.IntN(3)]
	}
	if rng.IntN(2) == 0 {
		p.Calls = []float64{0.005, 0.02, 0.05}[rng.IntN(3)]
	}
	if rng.IntN(4) > 0 {
		p.Weights = tenths(rng, 2, 13)
	}
	p.Want = Want{Memory: 192, Recover: 2 * time.Second}
	p.soakEndings(rng)
	for range 3 + rng.IntN(5) {
		p.Faults = append(p.Faults, p.soakFault(rng))
	}
	if drains := drawsOf(seed, drainStream); drains.IntN(3) > 0 {
		p.soakDrains(drains)
	}
	if crowds := drawsOf(seed, crowdStream); crowds.IntN(4) > 0 {
		p.soakCrowds(crowds)
	}
	if answers := drawsOf(seed, answersStream); answers.IntN(4) > 0 {
		p.soakAnswers(answers)
	}
	if moves := drawsOf(seed, moveStream); moves.IntN(4) > 0 {
		p.soakMoves(moves)
	}
	return &p
}

// soakClasses are the default ones with deadlines that differ from plan to plan.
func soakClasses(rng *rand.Rand) []Class {
	all := defaultClasses()
	for i := range all {
		c := &all[i]
		c.Deadline = tenths(rng, 4, 20)
		c.Aim = c.Deadline / 2
		if c.Effect == decide.Keyed {
			c.Dedup = tenths(rng, 4, 25)
		}
	}
	return all
}

// soakEndings has nodes told to end one after another, and something else wrong
// just then.
func (p *Plan) soakEndings(rng *rand.Rand) {
	first := tenths(rng, 15, 30)
	down := p.earliestKill() + tenths(rng, 2, 8)
	p.Faults = append(p.Faults, Fault{What: FaultTerm, At: first, For: down, Every: tenths(rng, 3, 20), Targets: []string{"n*"},
		Count: 2 + rng.IntN(p.Nodes-2), Kill: true, Series: rng.IntN(2) == 0, State: StateSame})
	hung := Fault{What: FaultHang, At: first + tenths(rng, 0, 5), For: tenths(rng, 10, 40), Targets: []string{"s*"}, Part: 0.25}
	silent := Fault{What: FaultSilent, At: first + tenths(rng, 0, 20)}
	drained := Fault{What: FaultDrain, At: silent.At + tenths(rng, 0, 10), For: tenths(rng, 25, 40), Targets: []string{"s*"}, Count: 2 + rng.IntN(3)}
	switch rng.IntN(3) {
	case 0:
		p.Faults = append(p.Faults, hung)
	case 1:
		p.Faults = append(p.Faults, silent, drained)
	default:
		p.Faults = append(p.Faults, hung, silent, drained)
	}
}

func (p *Plan) soakFault(rng *rand.Rand) Fault {
	f := Fault{At: tenths(rng, 5, 70), For: tenths(rng, 3, 25)}
	aNode, aServer := nodeName(rng.IntN(p.Nodes)), serverName(rng.IntN(p.Servers.Count))
	kinds := []string{FaultLink, FaultLink, FaultKill, FaultStop, FaultReload, FaultStep, FaultStep, FaultSlow, FaultFail, FaultHang, FaultDrain,
		FaultTorn, FaultSilent, FaultCrowd, FaultMove, FaultMove}
	switch f.What = kinds[rng.IntN(len(kinds))]; f.What {
	case FaultLink:
		f.Between = [][2]string{{aNode, aServer}, {"n*", aServer}, {aNode, "s*"}, {"n*", Discovery}, {aNode, Discovery}}[rng.IntN(5)]
		f.Only = []string{"", "there", "back"}[rng.IntN(3)]
		f.Condition = []Condition{{Drop: true}, {Stall: true}, {Delay: 50 * time.Millisecond, Jitter: 100 * time.Millisecond},
			{HalfOpen: true}, {Reset: 0.2}, {Cut: 0.2}}[rng.IntN(6)]
		if f.Condition.Drop && rng.IntN(3) == 0 {
			f.Flap = tenths(rng, 2, 6)
		}
	case FaultKill:
		f.Targets, f.State = []string{[]string{aNode, aServer, "s*"}[rng.IntN(3)]}, StateSame
		if f.Targets[0] == "s*" {
			f.Count = 2 + rng.IntN(3)
		}
	case FaultStop:
		f.Targets = []string{[]string{aNode, aServer}[rng.IntN(2)]}
		f.For = min(f.For, 1500*time.Millisecond)
	case FaultReload:
		f.Targets, f.For = []string{"n*"}, 0
	case FaultMove:
		f.Targets, f.For, f.Move = []string{"n*"}, 0, Move{Place: PlaceWell}
		if rng.IntN(2) == 0 {
			f.Every = tenths(rng, 1, 3)
		}
	case FaultStep:
		f.Targets = []string{"n*"}
		f.Offset = []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second}[rng.IntN(4)]
	case FaultSlow:
		f.Targets, f.Factor = []string{aServer}, float64(2+rng.IntN(8))
	case FaultFail:
		f.Targets, f.Part = []string{aServer}, 0.1+0.9*rng.Float64()
	case FaultHang:
		f.Targets = []string{aServer}
	case FaultDrain:
		f.Targets, f.For, f.Back = []string{aServer}, tenths(rng, 25, 40), rng.IntN(2) == 0
	case FaultCrowd:
		f.Targets, f.Number, f.Does = []string{aNode}, 150+rng.IntN(150), CrowdIdle
	}
	return f
}
