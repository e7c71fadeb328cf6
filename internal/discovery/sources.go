package discovery

import (
	"context"
	"errors"
	"log/slog"
	"syscall"
	"time"
)

// Bounds of the calls that are open at once while more than one source is followed.
const (
	sideCalls  = 3 // at one that is not in use
	mostSides  = 2 // such sources: one that is to follow, one that is leaving
	leastCalls = 5 // at the one in use
)

// eventMove is that discovery has another address, by the configuration.
const eventMove = "discovery_moves"

// Owner is who Sources tell. All but CallFailed are called within Act.
type Owner struct {
	// Act has a function run, one at a time and in order. It may block until it has.
	Act        func(func())
	Known      func() map[string]Entry // servers that are known, but for those gone; not to be changed
	List       func(List)              // hears of news
	Failed     func()                  // as Sink.Failed, of the source in use; nil where lists are not asked for
	Confirmed  func(at time.Time)      // as Sink.Confirmed, of the source in use; may be nil
	CallFailed func(err error)         // as Sink.CallFailed, of all sources
}

// Sources follow the list of servers at the address that the configuration names.
// When that moves, the source in use stays so until the one at the new address has
// told a list that is proven. The methods are to be called within Owner.Act, or
// before any source is followed.
type Sources struct {
	from     Source
	times    Times
	log      *slog.Logger
	recorder Recorder
	owner    Owner
	dial     dialFunc // nil: by the system

	ctx     context.Context // nil: nothing is followed yet
	state   *succession
	sources map[sourceID]*followed
	address string // that the configuration names
	moves   int
	timer   *time.Timer // of what is over by itself; nil: never set
}

// followed is one source.
type followed struct {
	*Follower
	id      sourceID
	address string
	began   time.Time
	move    int           // by which it is followed
	retry   time.Duration // after a failure, where lists are asked for
}

// NewSources makes sources for lists from an address, "" for none yet, and from a
// version on; 0: none is known.
func NewSources(address string, from Source, times Times, version uint64, log *slog.Logger, recorder Recorder, owner Owner) *Sources {
	s := &Sources{from: from, times: times, log: log, recorder: recorder, owner: owner, address: address,
		state: newSuccession(from != Asked), sources: map[sourceID]*followed{}}
	if address != "" {
		s.add(s.state.first(), version)
	}
	return s
}

// add makes the source at the address that the configuration names.
func (s *Sources) add(id sourceID, version uint64) *followed {
	f := &followed{id: id, address: s.address, began: time.Now(), move: s.moves, retry: s.times.Backoff}
	sink := Sink{
		List:      func(l List) { s.owner.Act(func() { s.take(f, l) }) },
		Failed:    func() { s.owner.Act(func() { s.failed(f) }) },
		Confirmed: func(at time.Time) { s.owner.Act(func() { s.confirmed(f, at) }) },
		CallFailed: func(err error) {
			s.owner.CallFailed(err)
			if errors.Is(err, syscall.ECONNREFUSED) {
				s.owner.Act(func() { s.refused(f) })
			}
		},
	}
	f.Follower = NewFollower(s.address, s.from, s.times, version, s.log, addressed{s.recorder, s.address}, sink)
	if s.dial != nil {
		f.caller = newCallerBy(s.address, s.dial, func(string) {})
	}
	s.sources[id] = f
	s.shareCalls()
	return f
}

// shareCalls bounds the calls that are open at each source. While others are
// followed as well, the one in use leaves them theirs of what an agent's calls may
// be in all.
func (s *Sources) shareCalls() {
	for id, f := range s.sources {
		limit := s.times.MostCalls
		switch {
		case id != s.state.inUse:
			limit = sideCalls
		case len(s.sources) > 1:
			limit = max(limit-mostSides*sideCalls, min(limit, leastCalls))
		}
		f.callLimit.Store(int64(limit))
	}
}

// Start follows the list until ctx ends. Where lists are asked for, Ask does.
func (s *Sources) Start(ctx context.Context) {
	s.ctx = ctx
	if f := s.inUse(); f != nil && s.from != Asked {
		go f.Follow(ctx)
	}
}

// Ask has the source in use asked, as Follower.Ask does.
func (s *Sources) Ask(ctx context.Context, whole, watch bool) {
	s.ctx = ctx
	if f := s.inUse(); f != nil {
		f.Ask(ctx, whole, watch)
	}
}

// ConfirmAgain has the list asked for anew at all sources, as Follower.ConfirmAgain does.
func (s *Sources) ConfirmAgain() {
	for _, f := range s.sources {
		f.ConfirmAgain()
	}
}

// Move follows the list at another address as well, which takes the place of the
// one in use once it has told a list. The address in use again has that one stay.
func (s *Sources) Move(address string) {
	if address == s.address {
		return
	}
	from := s.address
	s.address = address
	s.moves++
	s.recorder.Note(slog.LevelInfo, "discovery has moved", eventMove, "configured", "address", address, "from", from, "move", s.moves)
	inUse := s.inUse()
	switch {
	case inUse != nil && inUse.address == address:
		s.leave(s.state.stay(), "the configuration names the one in use again")
	case s.ctx == nil:
		s.leave(s.state.inUse, "nothing was followed yet")
		s.add(s.state.first(), 0)
	default:
		next, left := s.state.begin()
		s.leave(left, "the configuration names another one")
		s.follow(s.add(next, 0))
	}
}

// follow begins to follow a source that is to take the place of the one in use.
func (s *Sources) follow(f *followed) {
	s.showIncumbent()
	if s.from == Asked {
		f.Ask(s.ctx, true, true)
	} else {
		go f.Follow(s.ctx)
	}
}

// showIncumbent has the next source judge its first list by what is known now.
func (s *Sources) showIncumbent() {
	next := s.sources[s.state.next]
	if next == nil {
		return
	}
	i := &incumbent{names: map[string]bool{}, until: next.began.Add(movedTold), heard: func() bool { return false }}
	for name := range s.owner.Known() {
		i.names[name] = true
	}
	if inUse := s.inUse(); inUse != nil {
		i.heard = func() bool {
			status := inUse.Status()
			return !status.Answered.IsZero() && !status.Unheard
		}
	}
	next.incumbent.Store(i)
}

// take takes up a list of a source, as far as it counts.
func (s *Sources) take(f *followed, l List) {
	before := s.state.role(f.id)
	now := time.Now()
	taken, ok, left := s.state.take(f.id, l, s.owner.Known(), now)
	if before == roleNext {
		f.incumbent.Store(nil)
		s.shareCalls()
		s.recorder.Note(slog.LevelInfo, "the new discovery is in use", eventMove, "in_use", "address", f.address, "move", f.move,
			"after", now.Sub(f.began), "version", l.Index, "servers", len(l.Entries))
	}
	for _, id := range left {
		s.leave(id, "another one is in use")
	}
	if !ok {
		return
	}
	if before == roleLeaving {
		taken.Index = s.inUse().Status().Version
		s.recorder.Note(slog.LevelWarn, "the discovery before has servers that drain", eventMove, "drains_before", "address", f.address, "servers", len(taken.Entries))
	}
	s.owner.List(taken)
	s.showIncumbent()
	s.wait()
}

// failed takes up that following a source has ended, where lists are asked for.
func (s *Sources) failed(f *followed) {
	switch s.state.role(f.id) {
	case roleInUse:
		s.owner.Failed()
	case roleNext:
		time.AfterFunc(f.retry, func() {
			s.owner.Act(func() {
				if s.state.role(f.id) == roleNext {
					f.Ask(s.ctx, true, true)
				}
			})
		})
		f.retry = min(2*f.retry, s.times.Longest)
	}
}

func (s *Sources) confirmed(f *followed, at time.Time) {
	if s.owner.Confirmed != nil && s.state.role(f.id) == roleInUse {
		s.owner.Confirmed(at)
	}
}

func (s *Sources) refused(f *followed) {
	if s.state.refused(f.id, time.Now(), len(s.owner.Known())) {
		s.leave(f.id, "it refuses connections")
		s.wait()
	}
}

// wait has what is over by itself ended in time.
func (s *Sources) wait() {
	at, ok := s.state.due()
	if s.timer != nil {
		s.timer.Stop()
	}
	if !ok {
		return
	}
	s.timer = time.AfterFunc(time.Until(at), func() { s.owner.Act(s.expire) })
}

func (s *Sources) expire() {
	left, changes := s.state.expire(time.Now(), len(s.owner.Known()))
	s.leave(left, "its time is over")
	if inUse := s.inUse(); len(changes) > 0 && inUse != nil {
		s.recorder.Note(slog.LevelInfo, "drains that only the discovery before had are over", eventMove, "drains_over", "servers", len(changes))
		s.owner.List(List{Index: inUse.Status().Version, Entries: changes})
	}
	s.wait()
}

// leave ends the following of a source; 0: of none.
func (s *Sources) leave(id sourceID, why string) {
	f := s.sources[id]
	if f == nil {
		return
	}
	delete(s.sources, id)
	f.End()
	s.shareCalls()
	status := f.Status()
	s.recorder.Note(slog.LevelInfo, "a discovery has been left", eventMove, "left", "address", f.address, "move", f.move, "why", why,
		"version", status.Version, "answered_ago", status.AnsweredAgo(time.Now()), "last_calls", status.Last)
}

// Leave ends the following of all sources, as no address is configured any more.
func (s *Sources) Leave() {
	if s.timer != nil {
		s.timer.Stop()
	}
	for id := range s.sources {
		s.leave(id, "no discovery is configured")
	}
	s.state.reset()
	s.address = ""
}

// inUse is the source whose lists hold; nil: none does yet.
func (s *Sources) inUse() *followed { return s.sources[s.state.inUse] }

// NoteUnknown logs keys of a list that say nothing to the node, before any source is followed.
func (s *Sources) NoteUnknown(l *List) {
	if f := s.inUse(); f != nil {
		f.NoteUnknown(l)
	}
}

// Status is what is known of the source in use, and of one that is to follow it.
func (s *Sources) Status() Status {
	var status Status
	if f := s.inUse(); f != nil {
		status = f.Status()
		status.Address = f.address
	}
	if next := s.sources[s.state.next]; next != nil {
		of := next.Status()
		status.Next = &NextStatus{Address: next.address, Move: next.move, Since: next.began, Open: of.Open, Last: of.Last}
	}
	return status
}

// addressed is a Recorder that tells which address is meant.
type addressed struct {
	Recorder
	address string
}

func (a addressed) Note(level slog.Level, message, event, reason string, args ...any) {
	a.Recorder.Note(level, message, event, reason, append(args, "discovery", a.address)...)
}
