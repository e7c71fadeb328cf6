package rig

import "math/rand/v2"

// quiesceOnce has operators drain one node, several or all, at a tenth of a
// second up to latest, and have them resume during the drain or after it.
func (p *Plan) quiesceOnce(rng *rand.Rand, latest int) Fault {
	f := Fault{What: FaultQuiesce, At: tenths(rng, 5, latest), Dealt: rng.IntN(2) == 0}
	switch rng.IntN(3) {
	case 0:
		f.Targets = []string{nodeName(rng.IntN(p.Nodes))}
	case 1:
		f.Targets, f.Count = []string{"n*"}, 1+rng.IntN(p.Nodes)
	default:
		f.Targets = []string{"n*"}
	}
	if f.Targets[0] == "n*" && rng.IntN(2) == 0 {
		f.Every = tenths(rng, 1, 5)
	}
	if f.For = tenths(rng, 3, 20); rng.IntN(3) > 0 {
		f.For = p.earliestKill() + tenths(rng, 2, 15)
	}
	p.Faults = append(p.Faults, f)
	return f
}

// soakDrains has operators drain nodes, and what comes beside it: another drain
// behind a resume, a termination signal in the drain, a crowd from before it.
func (p *Plan) soakDrains(rng *rand.Rand) {
	first := p.quiesceOnce(rng, 50)
	if rng.IntN(2) == 0 {
		again := first
		again.At += first.For + tenths(rng, 0, 5)
		if again.For = p.earliestKill() + tenths(rng, 2, 10); rng.IntN(4) == 0 {
			again.For = 0 // they never resume
		}
		p.Faults = append(p.Faults, again)
	}
	target := first.Targets
	if target[0] == "n*" {
		target = []string{nodeName(rng.IntN(p.Nodes))}
	}
	if rng.IntN(3) == 0 {
		p.Faults = append(p.Faults, Fault{What: FaultTerm, At: first.At + tenths(rng, 0, 20), For: p.earliestKill() + tenths(rng, 2, 8),
			Targets: target, Kill: true, State: StateSame})
	}
	if rng.IntN(2) == 0 {
		p.Faults = append(p.Faults, Fault{What: FaultCrowd, At: max(0, first.At-tenths(rng, 1, 5)), For: first.For + tenths(rng, 5, 20),
			Targets: target, Number: 50 + rng.IntN(250), Does: CrowdIdle})
	}
	if rng.IntN(4) == 0 {
		p.Faults = append(p.Faults, Fault{What: FaultStop, At: first.At + tenths(rng, 0, 30), For: tenths(rng, 1, 15), Targets: target})
	}
}
