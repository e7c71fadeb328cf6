package rig

import (
	"math/rand/v2"
	"time"
)

const (
	mostChecking  = 8  // clients of a soak's crowd that send health checks at full speed
	mostReturning = 40 // that come again and again
)

// soakCrowds has one or two nodes beset by clients that have them hold much, or do much.
func (p *Plan) soakCrowds(rng *rand.Rand) {
	for range 1 + rng.IntN(2) {
		f := Fault{What: FaultCrowd, At: tenths(rng, 5, 70), For: tenths(rng, 10, 40), Targets: []string{nodeName(rng.IntN(p.Nodes))},
			Number: 60 + rng.IntN(140), Does: crowdWords[1+rng.IntN(len(crowdWords)-1)]}
		switch f.Does {
		case CrowdChecks:
			f.Number = 1 + rng.IntN(mostChecking)
		case CrowdReturning:
			f.Number = 1 + rng.IntN(mostReturning)
		}
		f.For = min(f.For, p.Length-f.At-time.Second)
		p.Faults = append(p.Faults, f)
	}
}
