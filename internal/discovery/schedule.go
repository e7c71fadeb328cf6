package discovery

import (
	"slices"
	"time"
)

// Call is one call to discovery.
type Call struct {
	Number uint64        // from 1
	Whole  bool          // asks for the whole list rather than for changes
	From   uint64        // the version after which changes are asked for
	Hold   time.Duration // for which the call asks to be held where there is nothing new
	Fresh  bool          // on a connection of its own
	Began  time.Time
}

// owes tells whether the call's answer is due at a time.
func (c Call) owes(now time.Time) bool { return !now.Before(c.Began.Add(c.Hold)) }

// thinning is how far apart older calls are kept, as a multiple of how long the
// younger one has waited: an agent that takes long for each answer has calls open
// that have waited as long.
const thinning = 2

// schedule says which calls are open and when the next one begins. A call that
// owes its answer stays open and another one begins beside it, so that how long an
// answer is waited for and how long nothing else is tried are two questions. It
// takes the time as an argument and does nothing itself.
type schedule struct {
	times   Times
	jitter  func() float64 // from 0.5 to 1.5
	open    []Call         // in the order in which they began
	numbers uint64
	due     time.Time     // the next call begins then
	step    time.Duration // after which the one after that does; 0: the first one
	backoff time.Duration // after the next call that fails
	unsure  bool          // whether discovery speaks: the next call is not held
}

func newSchedule(times Times, jitter func() float64) *schedule {
	return &schedule{times: times, jitter: jitter, backoff: times.Backoff}
}

// begin gives the call that begins at a time, if one is due. Calls that are open
// beyond what is kept are given up: their numbers come with it.
func (s *schedule) begin(now time.Time, whole bool, from uint64) (c Call, givenUp []uint64, due bool) {
	if now.Before(s.due) {
		return c, nil, false
	}
	s.numbers++
	c = Call{Number: s.numbers, Whole: whole, From: from, Fresh: s.unsure || len(s.open) > 0, Began: now}
	if !whole && !s.unsure && len(s.open) == 0 {
		c.Hold = s.times.Hold
	}
	s.open = append(s.open, c)
	if s.step == 0 {
		s.step = s.times.FirstStep
		if whole {
			s.step = s.times.WholeStep
		}
	}
	s.due = now.Add(c.Hold + s.step)
	s.step = min(2*s.step, max(s.times.LastStep, s.step))
	return c, s.thin(now), true
}

// answered notes that a call was answered. Older calls have nothing to add: their
// numbers come back, as they are given up. A paced call was answered at once and
// said nothing new.
func (s *schedule) answered(number uint64, now time.Time, paced bool) (givenUp []uint64) {
	at := s.index(number)
	if at < 0 {
		return nil
	}
	for _, older := range s.open[:at] {
		givenUp = append(givenUp, older.Number)
	}
	if s.open[at].Hold > 0 { // where only others are answered, watches go on failing
		s.backoff = s.times.Backoff
	}
	s.open = slices.Delete(s.open, 0, at+1)
	s.step, s.unsure = 0, false
	switch {
	case len(s.open) > 0:
		s.sooner(s.open[len(s.open)-1].Began.Add(s.times.FirstStep))
	case paced:
		s.due = now.Add(s.times.Pace)
	default:
		s.due = now
	}
	return givenUp
}

// failed notes that a call ended without an answer.
func (s *schedule) failed(number uint64, now time.Time) {
	at := s.index(number)
	if at < 0 {
		return
	}
	s.open = slices.Delete(s.open, at, at+1)
	s.unsure = true
	wait := now.Add(time.Duration(float64(s.backoff) * s.jitter()))
	s.backoff = min(2*s.backoff, s.times.Longest)
	if len(s.open) == 0 {
		s.due = wait
	} else {
		s.sooner(wait)
	}
}

// hurry has the next call begin at once, beside those that are open, and not held.
func (s *schedule) hurry(now time.Time) {
	s.due, s.unsure = now, true
}

// restart gives up all calls that are open, as nothing that they say counts any
// more, and has the next one begin at once.
func (s *schedule) restart(now time.Time) (givenUp []uint64) {
	for _, c := range s.open {
		givenUp = append(givenUp, c.Number)
	}
	s.open, s.step = nil, 0
	s.hurry(now)
	return givenUp
}

// oldestOwing is since when the call that has owed its answer longest does; ok is
// false where none owes one.
func (s *schedule) oldestOwing(now time.Time) (since time.Time, ok bool) {
	for _, c := range s.open {
		if c.owes(now) {
			return c.Began.Add(c.Hold), true
		}
	}
	return since, false
}

// sooner has the next call begin at a time, unless it begins earlier.
func (s *schedule) sooner(at time.Time) {
	if at.Before(s.due) {
		s.due = at
	}
}

func (s *schedule) index(number uint64) int {
	return slices.IndexFunc(s.open, func(c Call) bool { return c.Number == number })
}

// thin gives up calls that have waited long and have others beside them that have
// waited about as long, and such as these first where too many are open. The
// oldest one is kept for as long as it takes.
func (s *schedule) thin(now time.Time) (givenUp []uint64) {
	giveUp := func(at int) {
		givenUp = append(givenUp, s.open[at].Number)
		s.open = slices.Delete(s.open, at, at+1)
	}
	for at := len(s.open) - 2; at > 0; at-- {
		if now.Sub(s.open[at+1].Began) >= s.times.KeepAll && s.spacing(at, now) <= thinning {
			giveUp(at)
		}
	}
	for len(s.open) >= s.times.MostCalls { // one that is given up holds its connection a moment longer
		densest := 1
		for at := 2; at < len(s.open)-1; at++ {
			if s.spacing(at, now) < s.spacing(densest, now) {
				densest = at
			}
		}
		giveUp(densest)
	}
	return givenUp
}

// spacing is how far apart the calls beside one began, as a multiple of how long
// the younger one has waited.
func (s *schedule) spacing(at int, now time.Time) float64 {
	older, younger := s.open[at-1].Began, s.open[at+1].Began
	return younger.Sub(older).Seconds() / now.Sub(younger).Seconds()
}
