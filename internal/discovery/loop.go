package discovery

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"
)

// ending is how a call has ended.
type ending struct {
	call   Call
	answer List
	err    error
	read   *progress
}

// loop is one following of the list.
type loop struct {
	*Follower
	ctx      context.Context
	schedule *schedule
	quiet    *quietWatch
	cancels  map[uint64]context.CancelCauseFunc // of the calls whose ending has not been taken up
	endings  chan ending
	calls    sync.WaitGroup
	whole    bool // the whole list is wanted
	watch    bool // and then its changes

	unprovenAt time.Time // of the last line on a list that proves nothing
}

// run follows the list until ctx ends, or the whole list has come and no watch is
// wanted. Where lists are asked for it fails when a call does and none is open.
func (f *Follower) run(ctx context.Context, whole, watch bool) error {
	ctx, cancel := context.WithCancel(ctx)
	jitter := func() float64 { return 0.5 + rand.Float64() }
	l := &loop{Follower: f, ctx: ctx, schedule: newSchedule(f.times, jitter), quiet: newQuietWatch(f.times.Unheard, time.Now()),
		cancels: map[uint64]context.CancelCauseFunc{}, endings: make(chan ending), whole: whole, watch: watch}
	l.schedule.unsure = f.unsure
	defer func() { f.unsure = l.schedule.unsure }()
	defer l.calls.Wait()
	defer cancel()
	timer := time.NewTimer(f.times.Hold)
	defer timer.Stop()
	for l.whole || l.watch {
		now := time.Now()
		l.takeUndoubted(now)
		l.begin(now)
		l.tellQuiet(now)
		l.status.set(l.state(now))
		timer.Reset(time.Until(l.next()))
		select {
		case e := <-l.endings:
			l.ended(e, time.Now())
			if e.err != nil && l.from == Asked && len(l.schedule.open) == 0 {
				return e.err
			}
		case <-f.hurry:
			l.schedule.hurry(time.Now())
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// next is when the loop has something to do, whatever comes.
func (l *loop) next() time.Time {
	at := l.schedule.due
	if l.versions.doubt != nil && l.versions.doubtUntil.Before(at) {
		at = l.versions.doubtUntil
	}
	if due, ok := l.quiet.due(); ok && due.Before(at) {
		at = due
	}
	return at
}

// begin makes the call that is due, if one is.
func (l *loop) begin(now time.Time) {
	l.schedule.times.MostCalls = int(l.callLimit.Load())
	c, givenUp, due := l.schedule.begin(now, l.whole || l.versions.asksWhole(), l.versions.index)
	l.giveUp(errThinned, givenUp)
	if !due {
		return
	}
	ctx, cancel := context.WithCancelCause(l.ctx)
	l.cancels[c.Number] = cancel
	l.calls.Go(func() {
		defer cancel(nil)
		read := &progress{}
		answer, err := l.caller.call(ctx, c, read)
		answer.Origin = Origin{Call: c.Number, Began: c.Began}
		select {
		case l.endings <- ending{c, answer, err, read}:
		case <-l.ctx.Done():
		}
	})
}

// giveUp ends calls that are open, for a cause.
func (l *loop) giveUp(cause error, numbers []uint64) {
	for _, number := range numbers {
		l.cancels[number](cause)
	}
}

// ended takes up how a call has ended.
func (l *loop) ended(e ending, now time.Time) {
	delete(l.cancels, e.call.Number)
	l.noteEnding(e, now)
	if e.err != nil {
		l.schedule.failed(e.call.Number, now)
		if l.sink.CallFailed != nil {
			l.sink.CallFailed(e.err)
		}
		return
	}
	l.versions.incumbent = l.incumbent.Load()
	judged := l.versions.judge(e.call, &e.answer, now)
	paced := judged == unproven || e.answer.Index == l.versions.index && now.Sub(e.call.Began) < e.call.Hold/2
	l.giveUp(errSuperseded, l.schedule.answered(e.call.Number, now, paced))
	l.takeUp(judged, &e.answer, now)
	if l.sink.Confirmed != nil && judged <= outdated {
		l.sink.Confirmed(e.call.Began)
	}
}

// takeUp does what is due with an answer.
func (l *loop) takeUp(judged verdict, answer *List, now time.Time) {
	switch judged {
	case news:
		l.take(answer, now)
	case nothing:
		l.whole = false
		if l.from != Agent { // the module is told that its call was answered
			l.take(answer, now)
		}
	case restarted:
		l.recorder.Note(slog.LevelWarn, "discovery's versions have gone back, the whole list is asked for", EventList, "restarted",
			"version", answer.Index, "before", l.versions.index)
		l.versions.forget(now)
		l.giveUp(errRestarted, l.schedule.restart(now))
	case doubtful:
		l.recorder.Note(slog.LevelWarn, "discovery's list has lost most servers, it is asked once more", EventList, "shrunk",
			"servers", len(answer.Entries), "before", len(l.versions.names))
		if drains := answer.draining(l.versions.index); len(drains.Entries) > 0 {
			l.sink.List(drains)
		}
		l.versions.doubts(answer, now)
		l.schedule.hurry(now)
	case unproven:
		if now.Sub(l.unprovenAt) >= lineEvery {
			l.unprovenAt = now
			l.recorder.Note(slog.LevelWarn, "the new discovery's list lacks what is known, the one before stays in use", EventList, "not_proven",
				"version", answer.Index, "servers", len(answer.Entries), "known", len(l.versions.incumbent.names))
		}
	}
}

// take has a list hold that came at a time, and passes it on.
func (l *loop) take(answer *List, came time.Time) {
	l.whole = false
	l.versions.take(answer, came)
	l.sink.List(*answer)
}

// takeUndoubted takes a list for which no second opinion has come in time.
func (l *loop) takeUndoubted(now time.Time) {
	answer, ok := l.versions.undoubted(now)
	if !ok {
		return
	}
	l.recorder.Note(slog.LevelWarn, "the list was not to be had again and is taken as it is", EventList, "not_confirmed")
	l.take(answer, l.versions.doubtCame)
}
