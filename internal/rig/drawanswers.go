package rig

import (
	"math/rand/v2"
	"time"

	"indigotack/internal/standin"
)

// soakAnswers has the agents of one node or of all answer no call for a while, or
// some calls late, in parts or never, and servers drain within that, as it ends or
// behind it. No answer that comes takes longer than half of the grace.
func (p *Plan) soakAnswers(rng *rand.Rand) {
	targets := []string{"n*"}
	if rng.IntN(3) == 0 {
		targets = []string{nodeName(rng.IntN(p.Nodes))}
	}
	at := tenths(rng, 10, 60)
	if rng.IntN(2) == 0 { // an outage first
		outage := Fault{What: FaultAnswers, At: at, For: tenths(rng, 3, 35), Targets: targets, Answers: Answers{Calls: CallsAll, End: anyEnding(rng)}}
		p.Faults = append(p.Faults, outage)
		at += outage.For
	}
	troubled := Fault{What: FaultAnswers, At: at, For: tenths(rng, 15, 40), Targets: targets, Answers: p.drawAnswers(rng)}
	drained := Fault{What: FaultDrain, At: troubled.At, For: tenths(rng, 25, 40), Targets: []string{"s*"}, Count: 1 + rng.IntN(3), Back: rng.IntN(2) == 0}
	switch rng.IntN(3) {
	case 0:
		drained.At = max(0, drained.At-tenths(rng, 0, 3))
	case 1:
		drained.At += tenths(rng, 0, 10)
	default:
		drained.At += troubled.For + tenths(rng, 0, 2)
	}
	p.Faults = append(p.Faults, troubled, drained)
}

// drawAnswers draws answers of which at least every other call has a whole one.
func (p *Plan) drawAnswers(rng *rand.Rand) Answers {
	takes := p.Servers.DrainGrace / time.Duration([]int{8, 4, 2}[rng.IntN(3)])
	switch rng.IntN(4) {
	case 0:
		return Answers{Calls: CallsAll, After: takes}
	case 1:
		return Answers{Calls: CallsAll, Over: takes}
	case 2:
		return Answers{Calls: CallsOthers, End: anyEnding(rng)}
	}
	return Answers{Calls: CallsKept, End: anyEnding(rng)}
}

// anyEnding draws how answers end that do not come whole.
func anyEnding(rng *rand.Rand) standin.Ending { return standin.Ending(endings[rng.IntN(len(endings))]) }
