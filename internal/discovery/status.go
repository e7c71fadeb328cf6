package discovery

import (
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"
)

const (
	maxOutcomes = 5           // of the last calls that a Status tells
	firstLines  = 5           // of calls that were not answered, since one was
	lineEvery   = time.Second // of further ones
)

// Status is what a follower knows of its discovery at some moment.
type Status struct {
	Version  uint64    // of the list that holds
	AsOf     time.Time // the list is as new as this; zero: no call was answered yet
	Answered time.Time // a call was answered last; zero: none was yet
	Open     int       // calls
	OwedFrom time.Time // the call that owes its answer longest does so from then on; zero: none owes one
	Unheard  bool      // no call was answered for longer than a grace
	Since    time.Time // of that
	Last     []string  // what the last calls came to, the newest last

	Address string      // of the source in use, where Sources tell
	Next    *NextStatus // the source that is to follow it; nil: none is
}

// NextStatus is what is known of a source that has not told a list yet by which it
// could take the place of the one in use.
type NextStatus struct {
	Address string
	Move    int // by which it is followed
	Since   time.Time
	Open    int      // calls
	Last    []string // what the last calls came to, the newest last
}

// attributes are what the log tells of it.
func (n *NextStatus) attributes(now time.Time) []any {
	return []any{"discovery_next", n.Address, "discovery_next_move", n.Move, "discovery_next_for", now.Sub(n.Since),
		"discovery_next_calls_open", n.Open, "discovery_next_last_calls", n.Last}
}

// Attributes are what the log tells while discovery is not heard, or moves; none
// otherwise.
func (s Status) Attributes(now time.Time) (all []any) {
	if s.Next != nil {
		all = s.Next.attributes(now)
	}
	if !s.Unheard {
		return all
	}
	all = append(all, "discovery_unheard_for", now.Sub(s.Since), "discovery_calls_open", s.Open, "discovery_last_calls", s.Last)
	if !s.OwedFrom.IsZero() {
		all = append(all, "discovery_oldest_call_waits", now.Sub(s.OwedFrom))
	}
	if !s.AsOf.IsZero() {
		all = append(all, "list_is_as_of_ago", now.Sub(s.AsOf))
	}
	return all
}

// statusBoard has the present status. It is safe for concurrent use.
type statusBoard struct {
	mu  sync.Mutex
	now Status
}

func (b *statusBoard) set(s Status) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.now = s
}

func (b *statusBoard) get() Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now
}

// Status is the follower's status now.
func (f *Follower) Status() Status { return f.status.get() }

// AnsweredAgo is how long ago a call was answered; -1: none was yet.
func (s Status) AnsweredAgo(now time.Time) time.Duration {
	if s.Answered.IsZero() {
		return -1
	}
	return now.Sub(s.Answered)
}

// quietWatch notes what calls came to, and tells when discovery has not been heard
// for long.
type quietWatch struct {
	limit    time.Duration
	from     time.Time // of the last answer, or of the beginning
	answered time.Time // zero: no call was
	asOf     time.Time
	told     bool
	last     []string
	lines    int       // of calls that were not answered, since one was
	lineAt   time.Time // of the last of them
}

func newQuietWatch(limit time.Duration, now time.Time) *quietWatch {
	return &quietWatch{limit: limit, from: now}
}

// due is when it has to be told that discovery has not been heard; ok is false
// where that was told.
func (q *quietWatch) due() (at time.Time, ok bool) { return q.from.Add(q.limit), !q.told }

func (q *quietWatch) note(outcome string) {
	if len(q.last) == maxOutcomes {
		q.last = slices.Delete(q.last, 0, 1)
	}
	q.last = append(q.last, outcome)
}

// heard notes an answer to a call, and gives how long there was none before if
// that was told.
func (q *quietWatch) heard(c Call, now time.Time) (gap time.Duration, wasQuiet bool) {
	gap, wasQuiet = now.Sub(q.from), q.told
	q.from, q.answered, q.told, q.lines = now, now, false, 0
	if c.Began.After(q.asOf) {
		q.asOf = c.Began
	}
	return gap, wasQuiet
}

// hasLine tells whether a call that was not answered gets a line of its own in the log.
func (q *quietWatch) hasLine(now time.Time) bool {
	if q.lines >= firstLines && now.Sub(q.lineAt) < lineEvery {
		return false
	}
	q.lines, q.lineAt = q.lines+1, now
	return true
}

// state is what is known at a time.
func (l *loop) state(now time.Time) Status {
	s := Status{Version: l.versions.index, AsOf: l.quiet.asOf, Answered: l.quiet.answered, Open: len(l.schedule.open),
		Unheard: l.quiet.told, Since: l.quiet.from, Last: slices.Clone(l.quiet.last)}
	s.OwedFrom, _ = l.schedule.oldestOwing(now)
	return s
}

// tellQuiet tells once that discovery has not been heard for long.
func (l *loop) tellQuiet(now time.Time) {
	due, ok := l.quiet.due()
	if !ok || now.Before(due) {
		return
	}
	l.quiet.told = true
	args := append([]any{"version", l.versions.index}, l.state(now).Attributes(now)...)
	l.recorder.Note(slog.LevelWarn, "discovery has not been heard", eventTold, Unheard, args...)
}

// noteEnding counts and logs how a call has ended.
func (l *loop) noteEnding(e ending, now time.Time) {
	at := e.read.stage()
	name := outcome(e.err, at)
	if e.err != nil && !e.call.owes(now) && at != reading && isGivenUp(e.err) {
		name = "superseded" // it owed nothing yet
	}
	if name != "superseded" {
		l.quiet.note(name)
	}
	switch {
	case e.err == nil:
		l.recorder.Count(EventCall, name)
		e.answer.Note(l.log)
		l.NoteUnknown(&e.answer)
		if gap, wasQuiet := l.quiet.heard(e.call, now); wasQuiet {
			l.recorder.Note(slog.LevelInfo, "discovery is heard again", eventTold, "heard_again", "after", gap, "call", e.call.Number, "call_began_ago", now.Sub(e.call.Began))
		}
	case name == "superseded", !l.quiet.hasLine(now):
		l.recorder.Count(EventCall, name)
	default:
		l.recorder.Note(slog.LevelWarn, "a call to discovery was not answered", EventCall, name, "call", e.call.Number, "asked", e.call.asked(),
			"after", now.Sub(e.call.Began), "came_to", at.String(), "bytes", e.read.bytes.Load(), "version", l.versions.index, "err", e.err)
	}
}

// asked says what the call asked, for the log.
func (c Call) asked() string {
	if c.Whole {
		return "whole list"
	}
	return fmt.Sprintf("from %d, held %v", c.From, c.Hold)
}
