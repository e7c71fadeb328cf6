package rig

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"indigotack/internal/conf"
	"indigotack/internal/standin"
)

// How a place is to which a node's discovery moves.
const (
	PlaceWell        = "well"
	PlaceDown        = "down"        // nobody takes connections there, for good
	PlaceSilent      = "silent"      // it answers no call
	PlaceUnavailable = "unavailable" // it answers 503
	PlaceBlank       = "blank"       // it has been sent no list
)

var placeWords = []string{PlaceWell, PlaceDown, PlaceSilent, PlaceUnavailable, PlaceBlank}

// Move is how a node's discovery moves. What is wrong with the new place is over with
// the fault, but for one that is down.
type Move struct {
	Place string
	Keeps time.Duration // for so long what the node finds at the old place learns on
}

// well tells whether the new place tells what it has from the beginning.
func (m Move) well() bool { return m.Place == PlaceWell }

func (m Move) String() string {
	return fmt.Sprintf("to one that is %s, the old one keeps %v", m.Place, m.Keeps)
}

func readMove(s *conf.Section) Move {
	return Move{Place: s.OneOf("place", PlaceWell, placeWords...), Keeps: s.Duration("keeps", 0, 0, maxLength)}
}

// format gives each key that is not as it would be without it.
func (m Move) format(set func(key string, value any)) {
	if m.Place != PlaceWell {
		set("place", m.Place)
	}
	if m.Keeps > 0 {
		set("keeps", m.Keeps)
	}
}

// placeDown is the number of a place at which nobody listens.
const placeDown = discoveryPlaces

// nodePlaces is where one node's discovery is.
type nodePlaces struct {
	mu    sync.Mutex
	moves int // so far
	told  int // the place that told lists last
	named int // the place that the node's file names
}

// move has a node's discovery learn at another place, and gives its number. What the
// node finds at the one that told lists last learns on for as long as the move says.
func (r *registry) move(node int, m Move) (place int) {
	at := r.places[node]
	at.mu.Lock()
	defer at.mu.Unlock()
	at.moves++
	old := at.told
	at.named = (old + 1) % discoveryPlaces
	if m.Place == PlaceDown {
		at.named = placeDown
	}
	if number := at.moves; m.Keeps == 0 {
		r.fronts[node][old].Freeze()
	} else {
		time.AfterFunc(m.Keeps, func() { r.freeze(node, old, number) })
	}
	if m.Place == PlaceDown {
		return at.named
	}
	front := r.fronts[node][at.named]
	front.Thaw()
	switch m.Place {
	case PlaceWell:
		front.Behave(nil)
		at.told = at.named
	case PlaceBlank:
		front.Blank()
	case PlaceSilent:
		front.Behave(Answers{Calls: CallsAll, End: standin.Silent}.manner)
	case PlaceUnavailable:
		front.Behave(Answers{Calls: CallsAll, End: standin.Unavailable}.manner)
	}
	return at.named
}

// freeze has a place learn nothing more, unless discovery has moved again since.
func (r *registry) freeze(node, place, move int) {
	at := r.places[node]
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.moves == move && at.told == place || at.moves != move && at.named != place && at.told != place {
		r.fronts[node][place].Freeze()
	}
}

// recover has the place that a node's file names tell what it has, and tells
// whether it does now and did not before.
func (r *registry) recover(node int) bool {
	at := r.places[node]
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.named == placeDown || at.named == at.told {
		return false
	}
	front := r.fronts[node][at.named]
	front.Behave(nil)
	front.Thaw()
	at.told = at.named
	return true
}

// moveLog is one move of a node's discovery in a history.
type moveLog struct {
	at    int64
	keeps int64
	tells int64 // the new place does from then on; forever: not while it was the one
}

// movedTime is within which what a node's agent has at a new address counts as known
// to the node: "What discovery has to tell counts as told 4 s after SIGHUP."
const movedTime = 4 * time.Second

// unheardOverMoves are the times in which what is listed counts at their end only, by
// a node's moves. What the old place has for as long as it learns counts at once ("What
// the agent has counts as told to the node"), unless the node was started since, by a
// file that names the new one. What only the new place has counts movedTime after the
// move, and not before that place tells it.
func (h *History) unheardOverMoves(node string) (spans []span) {
	moves := slices.Clone(h.moves[node])
	for i, m := range moves {
		next := int64(forever)
		if i+1 < len(moves) {
			next = moves[i+1].at
		}
		if i > 0 && moves[i-1].tells >= m.at && moves[i-1].at+moves[i-1].keeps <= m.at {
			moves[i].keeps, m.keeps = 0, 0 // the old one had ceased to learn
		}
		ends := next
		if m.tells < next {
			ends = max(m.tells, m.at+int64(movedTime))
		}
		if from := m.at + m.keeps; from < ends {
			spans = append(spans, span{from: from, to: ends})
		}
		blind := min(m.tells, next)
		for _, s := range h.restarts(node) {
			if s.to >= m.at && s.to < blind { // started by a file that names the new place
				spans = append(spans, span{from: s.from, to: blind})
			}
		}
	}
	return spans
}

// soakMoves has the discovery of one node or of all move up to three times to places
// that tell nothing for a while or for good, and then to one that is well, while
// servers drain in front of that, within and behind.
func (p *Plan) soakMoves(rng *rand.Rand) {
	targets := []string{"n*"}
	if rng.IntN(3) == 0 {
		targets = []string{nodeName(rng.IntN(p.Nodes))}
	}
	at := tenths(rng, 10, 50)
	first, latest := at, p.Length-time.Second
	for range 1 + rng.IntN(3) {
		m := Move{Place: placeWords[rng.IntN(len(placeWords))], Keeps: []time.Duration{0, retireTime, retireTime, p.Length}[rng.IntN(4)]}
		f := Fault{What: FaultMove, At: min(at, latest), Targets: targets, Move: m}
		if !m.well() && m.Place != PlaceDown && rng.IntN(3) > 0 {
			f.For = tenths(rng, 3, 35)
		}
		p.Faults = append(p.Faults, f)
		at += []time.Duration{50 * time.Millisecond, tenths(rng, 3, 10), tenths(rng, 10, 40)}[rng.IntN(3)]
	}
	if rng.IntN(2) == 0 {
		p.Faults = append(p.Faults, Fault{What: FaultMove, At: min(at, latest), Targets: targets, Move: Move{Place: PlaceWell}})
	}
	for range 2 {
		p.Faults = append(p.Faults, Fault{What: FaultDrain, At: max(0, first+tenths(rng, -5, 25)), For: tenths(rng, 25, 40), Targets: []string{"s*"},
			Count: 1 + rng.IntN(2), Back: rng.IntN(2) == 0})
	}
}

// retireTime is how long an agent learns on that a platform takes out of service.
const retireTime = 1500 * time.Millisecond
