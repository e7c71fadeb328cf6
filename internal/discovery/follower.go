// Package discovery follows the list of servers that a discovery service or a
// node's local agent has: which calls are open and when the next one begins
// (schedule), one call (caller), which answer is news (versions), and the loop that
// puts them together (Follower). When the address changes, a source stays in use
// until the next one has told a list (succession, Sources).
package discovery

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"indigotack/internal/eventlog"
)

// Events that a Follower counts and logs by.
const (
	EventCall = "discovery_calls" // a call has ended
	EventList = "lists"           // a list was read
	eventTold = "discovery"       // discovery has ceased to answer, or answers again
)

// Unheard is the reason of the event that no call has been answered for long.
const Unheard = "unheard"

// Recorder counts events and logs them, not too many of a kind. It is safe for
// concurrent use.
type Recorder interface {
	Count(event, reason string)
	Note(level slog.Level, message, event, reason string, args ...any)
}

// Sink is who a Follower tells. Its functions are called by one goroutine at a
// time, and the next call to discovery waits for them.
type Sink struct {
	List       func(List)         // hears of news
	Failed     func()             // where lists are asked for: a call has failed and none is open, so that following has ended
	Confirmed  func(at time.Time) // the list is as new as a call that began then; may be nil
	CallFailed func(err error)    // a call was not answered; may be nil
}

// Follower follows the list of servers at one address. Its methods are safe for
// concurrent use, but for Ask and End among themselves.
type Follower struct {
	from     Source
	times    Times
	caller   *caller
	log      *slog.Logger
	recorder Recorder
	sink     Sink
	versions *versions       // of the loop
	unknown  map[string]bool // keys of lists that the log has told of, up to maxUnknown
	hurry    chan struct{}
	ended    chan struct{} // closed when this follower is no longer in use
	stop     context.CancelFunc
	done     chan struct{} // closed when the loop under way has ended
	watches  bool          // the order in force is to follow the list, not for one whole list alone
	status   statusBoard
	unsure   bool // the last call of the loop before failed; the loop's

	incumbent atomic.Pointer[incumbent] // that the first list is judged by; nil: none
	callLimit atomic.Int64              // calls that are open at once
}

// NewFollower makes a follower from a version on; 0: none is known.
func NewFollower(address string, from Source, times Times, version uint64, log *slog.Logger, recorder Recorder, sink Sink) *Follower {
	f := &Follower{from: from, times: times, log: log, recorder: recorder, sink: sink, versions: newVersions(times.Second),
		unknown: map[string]bool{}, hurry: make(chan struct{}, 1), ended: make(chan struct{})}
	f.caller = newCaller(address, func(to string) {
		recorder.Note(slog.LevelInfo, "discovery sends a call elsewhere", EventCall, "redirected", "address", to)
	})
	f.versions.known, f.versions.index = version > 0, version
	f.callLimit.Store(int64(times.MostCalls))
	f.status.set(Status{Version: version})
	return f
}

// Follow follows the list until ctx ends or End is called.
func (f *Follower) Follow(ctx context.Context) {
	ctx, cancel := f.under(ctx)
	defer cancel()
	f.run(ctx, false, true)
}

// Ask follows the list where lists are asked for, until a call fails and no other
// is open, which Sink.Failed hears of, or for one whole list alone. While a list is
// followed another order to follow it changes nothing: calls are open. No order
// at all ends that. It does not block.
func (f *Follower) Ask(ctx context.Context, whole, watch bool) {
	follows := watch && !whole && f.running()
	if follows && f.watches {
		return
	}
	earlier, stopEarlier := f.done, f.stop
	if stopEarlier == nil {
		stopEarlier = func() {}
	}
	if !follows { // else the whole list comes first
		stopEarlier()
	}
	if !whole && !watch {
		return
	}
	ctx, stop := f.under(ctx)
	done := make(chan struct{})
	f.done, f.watches = done, watch
	f.stop = func() {
		stopEarlier()
		stop()
	}
	go func() {
		defer close(done)
		defer stop()
		if earlier != nil {
			<-earlier // lists reach the module in order from one loop at a time
		}
		if err := f.run(ctx, whole, watch); err != nil && ctx.Err() == nil {
			f.log.Warn("discovery failed", "err", err)
			f.sink.Failed()
		}
	}()
}

// running tells whether a list is followed that was asked for.
func (f *Follower) running() bool {
	if f.done == nil {
		return false
	}
	select {
	case <-f.done:
		return false
	default:
		return true
	}
}

// End ends the calls under way, and their connections, for good.
func (f *Follower) End() {
	close(f.ended)
	f.caller.close()
}

// ConfirmAgain has the list asked for anew, at once and with no wait, beside calls
// that are open.
func (f *Follower) ConfirmAgain() {
	select {
	case f.hurry <- struct{}{}:
	default:
	}
}

// under is a context that ends with the follower as well.
func (f *Follower) under(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-f.ended:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// NoteUnknown logs each key of a list that says nothing to the node once. It is not
// safe for concurrent use with the follower's loop.
func (f *Follower) NoteUnknown(l *List) {
	for _, key := range l.unknown {
		if f.unknown[key] || len(f.unknown) >= maxUnknown {
			continue
		}
		f.unknown[key] = true
		f.recorder.Note(slog.LevelWarn, "unknown key in discovery's list, passed over", EventList, "unknown_key", "key", eventlog.Shortened(key))
	}
}
