package node

import (
	"time"

	"indigotack/decide"
	"indigotack/internal/clock"
)

const (
	mostOffsets = 16                     // of the wall clock that are remembered
	leastStep   = 100 * time.Millisecond // a smaller change of the offset is no step
)

// startTimes puts servers' starts, which discovery tells as Unix time, on the
// module's clock, which only time that passes moves. The wall clock may have
// stepped between a server's start and the reading of the list, and the clocks
// of other machines with it or not. So all offsets that the wall clock has had
// are remembered, and of the starts that a Unix time can mean the latest one
// that is not in the future counts: a server that is taken for colder than it
// is loses little.
type startTimes struct {
	offsets []time.Duration // Unix time less the module's, oldest first
	placed  map[string]placedStart
}

// placedStart is the start of a server's process on the module's clock.
type placedStart struct {
	sinceMS int64
	at      decide.Time
}

// newStartTimes is for a module's clock that begins at what the wall clock reads.
func newStartTimes() startTimes {
	return startTimes{offsets: []time.Duration{0}, placed: map[string]placedStart{}}
}

// observe notes what the wall clock reads at a time of the module's clock.
func (t *startTimes) observe(wall time.Time, now decide.Time) {
	offset := clock.SinceEpoch(wall) - now
	for _, known := range t.offsets {
		if (offset - known).Abs() < leastStep {
			return
		}
	}
	if len(t.offsets) == mostOffsets {
		t.offsets = t.offsets[1:]
	}
	t.offsets = append(t.offsets, offset)
}

// place gives a server's start, as a list tells it that is read now; 0: long ago.
// As long as a list tells the same start, so does place.
func (t *startTimes) place(name string, sinceMS int64, now decide.Time) decide.Time {
	if sinceMS == 0 {
		delete(t.placed, name)
		return 0
	}
	before, known := t.placed[name]
	if known && before.sinceMS == sinceMS {
		return before.at
	}
	at := t.latest(time.Duration(sinceMS)*time.Millisecond, now)
	if known && (sinceMS < before.sinceMS || at <= before.at) {
		at = now // it has started anew, whatever the clocks say
	}
	t.placed[name] = placedStart{sinceMS, at}
	return at
}

// latest is the latest time that a Unix time can mean and that is not in the future.
func (t *startTimes) latest(since time.Duration, now decide.Time) decide.Time {
	latest, found := decide.Time(0), false
	for _, offset := range t.offsets {
		if at := since - offset; at <= now && (!found || at > latest) {
			latest, found = at, true
		}
	}
	if !found {
		return now
	}
	return max(latest, 1) // 0 would be long ago
}

// forget drops a server that is gone.
func (t *startTimes) forget(name string) { delete(t.placed, name) }
