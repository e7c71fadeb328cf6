package discovery

import (
	"maps"
	"time"

	"indigotack/decide"
)

// sourceID names one following of one address; 0: none.
type sourceID int

// sourceRole is what the lists of a source count for.
type sourceRole int

const (
	roleNone    sourceRole = iota // nothing: the source has been left
	roleInUse                     // they hold
	roleNext                      // the first one that is proven has the source take the place of the one in use
	roleLeaving                   // only that servers drain or are gone
)

// succession says which source holds while discovery moves from address to address.
// The one in use stays so until the one that is to follow it has told a list. Then
// what the former has of servers that drain still counts, for as long as it is heard.
// It takes the time as an argument and does nothing itself.
type succession struct {
	numbers              sourceID
	inUse, next, leaving sourceID
	leaveBy              time.Time // of the leaving one
	drains               carriedDrains
	wanted               bool // the leaving one is followed at all
}

func newSuccession(followsLeaving bool) *succession {
	return &succession{drains: carriedDrains{held: map[string]Entry{}, left: map[string]departure{}}, wanted: followsLeaving}
}

// reset has no source followed, and what comes late of those before count for nothing.
func (s *succession) reset() {
	numbers := s.numbers
	*s = *newSuccession(s.wanted)
	s.numbers = numbers
}

// first has a source in use from the beginning.
func (s *succession) first() sourceID {
	s.numbers++
	s.inUse = s.numbers
	return s.inUse
}

// begin has a source follow the one in use, and gives the one whose place it takes
// in that, which is left.
func (s *succession) begin() (next, left sourceID) {
	left = s.next
	s.numbers++
	s.next = s.numbers
	return s.next, left
}

// stay has the source in use stay so, and gives the one that was to follow it, which is left.
func (s *succession) stay() (left sourceID) {
	left, s.next = s.next, 0
	return left
}

func (s *succession) role(id sourceID) sourceRole {
	switch id {
	case 0:
		return roleNone
	case s.inUse:
		return roleInUse
	case s.next:
		return roleNext
	case s.leaving:
		return roleLeaving
	}
	return roleNone
}

// take says what of a list of a source is to be taken up, if any, where so many
// servers are known, and which sources are left for it.
func (s *succession) take(id sourceID, l List, known map[string]Entry, now time.Time) (taken List, ok bool, left []sourceID) {
	switch s.role(id) {
	case roleInUse:
		s.drains.noteLeft(l, known, now)
		return s.drains.apply(l), true, nil
	case roleNext:
		s.drains.hold(l, known, now)
		left = s.promote(now, len(known))
		return s.drains.apply(l), true, left
	case roleLeaving:
		taken = s.drains.fromLeaving(l, known)
		return taken, len(taken.Entries) > 0, nil
	}
	return taken, false, nil
}

// promote has the next source in use where so many servers are known, and gives
// those that are left.
func (s *succession) promote(now time.Time, servers int) (left []sourceID) {
	if s.leaving != 0 {
		left = append(left, s.leaving)
	}
	s.leaving, s.inUse, s.next = s.inUse, s.next, 0
	s.leaveBy = now.Add(lateTold)
	if !s.wanted && s.leaving != 0 {
		left = append(left, s.leaving)
		s.leave(now, servers)
	}
	return left
}

// leave ends the leaving source where so many servers are known.
func (s *succession) leave(now time.Time, servers int) {
	s.leaving = 0
	s.drains.bound(now, servers)
}

// refused notes that a source refuses connections, and tells whether it is left for it.
func (s *succession) refused(id sourceID, now time.Time, servers int) bool {
	if s.role(id) != roleLeaving {
		return false
	}
	s.leave(now, servers)
	return true
}

// due is when something is over by itself; ok is false where nothing will be.
func (s *succession) due() (at time.Time, ok bool) {
	if s.leaving != 0 {
		return s.leaveBy, true
	}
	return s.drains.until, len(s.drains.held) > 0
}

// expire ends what is over at a time, where so many servers are known: the leaving
// source, and then the drains that only it had, whose servers are taken to be as the
// source in use has them.
func (s *succession) expire(now time.Time, servers int) (left sourceID, changes []Entry) {
	if s.leaving != 0 && !now.Before(s.leaveBy) {
		left = s.leaving
		s.leave(now, servers)
	}
	if s.leaving == 0 && !now.Before(s.drains.until) {
		changes = s.drains.end()
	}
	return left, changes
}

// carryTime is for how long what only the source before had of servers that drain
// holds once that one is left.
const carryTime = time.Minute

// carriedDrains are servers that a source had as draining or gone, and that the one
// behind it has as ready: it may not have heard of it yet.
type carriedDrains struct {
	held  map[string]Entry     // as the source in use has them
	left  map[string]departure // servers that went within lateTold
	until time.Time            // they hold, once the source that told them is left
}

// departure is that a server has gone.
type departure struct {
	sinceMS int64 // when it had started
	at      time.Time
}

// noteLeft notes the servers that a list of the source in use takes out at a time.
func (d *carriedDrains) noteLeft(l List, known map[string]Entry, now time.Time) {
	d.forgetLeft(now)
	listed := map[string]bool{}
	for _, e := range l.Entries {
		if e.State() != decide.Gone {
			listed[e.Name] = true
			delete(d.left, e.Name)
		} else if was, found := known[e.Name]; found {
			d.left[e.Name] = departure{was.SinceMS, now}
		}
	}
	if !l.Snapshot {
		return
	}
	for name, was := range known {
		if !listed[name] {
			d.left[name] = departure{was.SinceMS, now}
		}
	}
}

// forgetLeft forgets the servers that went too long before a time.
func (d *carriedDrains) forgetLeft(now time.Time) {
	maps.DeleteFunc(d.left, func(_ string, was departure) bool { return now.Sub(was.at) > lateTold })
}

// hold keeps what was known to drain or to have gone where the first list of a
// source has it as ready and not as started since.
func (d *carriedDrains) hold(first List, known map[string]Entry, now time.Time) {
	d.forgetLeft(now)
	for _, e := range first.Entries {
		if e.State() != decide.Ready {
			continue
		}
		was, found := known[e.Name]
		went, hasLeft := d.left[e.Name]
		if found && was.State() == decide.Draining && e.SinceMS <= was.SinceMS || hasLeft && e.SinceMS <= went.sinceMS {
			d.held[e.Name] = e
		}
	}
	clear(d.left)
}

// apply gives a list of the source in use with the drains that are held. What it
// tells of such a server itself holds from then on.
func (d *carriedDrains) apply(l List) List {
	if len(d.held) == 0 {
		return l
	}
	entries := make([]Entry, 0, len(l.Entries))
	listed := map[string]bool{}
	for _, e := range l.Entries {
		listed[e.Name] = true
		held, ok := d.held[e.Name]
		switch {
		case !ok:
		case e.State() != decide.Ready || e.SinceMS > held.SinceMS:
			delete(d.held, e.Name)
		default:
			d.held[e.Name] = e
			e.Status = "draining"
		}
		entries = append(entries, e)
	}
	if l.Snapshot {
		for name := range d.held {
			if !listed[name] {
				delete(d.held, name)
			}
		}
	}
	l.Entries = entries
	return l
}

// fromLeaving gives, as changes, what a list of the leaving source tells of servers
// that drain or are gone while the one in use has them as ready, and of such as are
// ready after all.
func (d *carriedDrains) fromLeaving(l List, known map[string]Entry) List {
	changes := List{Origin: l.Origin}
	for _, e := range l.Entries {
		is, found := known[e.Name]
		held, isHeld := d.held[e.Name]
		switch {
		case isHeld && e.State() == decide.Ready:
			delete(d.held, e.Name)
			changes.Entries = append(changes.Entries, held)
		case found && e.State() != decide.Ready && is.State() == decide.Ready && (e.SinceMS == 0 || is.SinceMS <= e.SinceMS):
			d.held[e.Name] = is
			is.Status = "draining"
			changes.Entries = append(changes.Entries, is)
		}
	}
	return changes
}

// bound says until when drains hold, now that the source that told them is left and
// so many servers are known. They hold only for as long as the one in use may take
// to hear of them where they would take most servers out of use.
func (d *carriedDrains) bound(now time.Time, servers int) {
	if float64(len(d.held)) > shrinkPart*float64(servers) {
		d.until = now.Add(lateTold)
		return
	}
	d.until = now.Add(carryTime)
}

// end gives the servers that were held, as the source in use has them.
func (d *carriedDrains) end() (changes []Entry) {
	for name, e := range d.held {
		changes = append(changes, e)
		delete(d.held, name)
	}
	return changes
}
