package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"indigotack/decide"
)

const (
	// A whole list that lacks more than such a part of the servers before, where they were
	// this many, may be one that discovery has not put together yet. It is asked for once more;
	// the second answer holds, whatever it says, and the first one if none comes in time.
	shrinkPart  = 0.5
	shrinkLeast = 4

	patientAfter   = 2  // calls that fell silent, before later ones are given more time
	mostUnanswered = 10 // beyond so many they are given no more
	mostRedirects  = 10 // of one call
)

// Errors of calls that were given up.
var (
	// errSilent is of a call that owed an answer, or more of one, for too long.
	errSilent = fmt.Errorf("discovery has fallen silent: %w", context.DeadlineExceeded)
	// errSlow is of a call whose answer went on coming, and was not whole in time.
	errSlow = fmt.Errorf("discovery's answer was too slow: %w", context.DeadlineExceeded)
	// errStood is of a call that was under way while the process stood still.
	errStood = errors.New("this process stood still")
)

var errRedirects = errors.New("discovery redirects too often")

// errRestarted is of an answer with changes whose version is lower than the one
// that they were asked from: discovery counts anew, and what it has to tell of
// the versions before stands in its whole list alone.
var errRestarted = errors.New("discovery's versions have gone back")

// discovery watches the list of servers.
type discovery struct {
	url    string
	client *http.Client
	times  listTimes
	called time.Time // the last call began then
	// So many calls had no answer, or one that was too slow, since the last that was answered.
	silentCalls, slowCalls int
	*observer
	answered atomic.Pointer[time.Time] // when a call was answered last; nil: none was yet
	index    uint64                    // 0: none yet, so that the whole list is asked for
	names    map[string]bool           // listed, but for those gone
	unknown  map[string]bool           // keys of lists that the log has told of, up to mostUnknown
	asking   bool                      // for a second opinion
	listed   func(list)
	failed   func()
	// confirmed hears of calls that were answered, or that fell silent: the list is as new as when they began. It may be nil.
	confirmed func(at time.Time)
	stood     atomic.Bool                             // the process stood still since the last call began
	endCall   atomic.Pointer[context.CancelCauseFunc] // of the call under way; nil: there is none

	ended chan struct{}      // closed when this discovery is no longer the node's
	stop  context.CancelFunc // of the task under way
	done  chan struct{}      // closed when it has ended
}

func newDiscovery(address string, times listTimes, o *observer, listed func(list), failed func()) *discovery {
	d := &discovery{url: "http://" + address + "/registry/instances", times: times, observer: o, listed: listed, failed: failed,
		ended: make(chan struct{}), names: map[string]bool{}}
	d.client = &http.Client{CheckRedirect: d.redirected, Transport: &http.Transport{MaxConnsPerHost: 2, MaxIdleConnsPerHost: 1,
		DialContext: (&net.Dialer{Timeout: times.dial, ControlContext: beginConnect}).DialContext}}
	return d
}

// patience is how long a call may wait for what.
type patience struct {
	first time.Duration // for the first part of the answer
	next  time.Duration // for each further one
	whole time.Duration // for all of it
}

// unanswered tells whether the last calls fell silent or were too slow.
func (d *discovery) unanswered() bool { return d.silentCalls+d.slowCalls > 0 }

// wait is the patience with a call that asks to be held for hold and has to be
// answered within answer then. It grows as long as answers are too slow, as a
// list must come through at last, and while none comes from an agent.
func (d *discovery) wait(hold, answer time.Duration) patience {
	for range d.slowCalls {
		answer = min(2*answer, lateTold)
	}
	for range d.silentCalls - patientAfter {
		answer = max(answer, min(2*answer, d.times.longest))
	}
	return patience{first: hold + answer, next: answer, whole: hold + answer + d.times.whole}
}

// call asks once and passes the answer on. A discovery that takes a call and
// says nothing, or ceases to, is given up, and so is an answer that trickles.
func (d *discovery) call(ctx context.Context, query string, wait patience) (err error) {
	d.called = time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	last := d.called.Add(wait.whole)
	var heardAt atomic.Pointer[time.Time]
	watchdog := time.AfterFunc(wait.first, func() {
		if at := heardAt.Load(); at != nil && time.Since(*at) < wait.next/2 {
			cancel(errSlow)
		} else {
			cancel(errSilent)
		}
	})
	defer watchdog.Stop()
	d.endCall.Store(&cancel)
	defer d.endCall.Store(nil)
	defer func() {
		if given := context.Cause(ctx); err != nil && (given == errSilent || given == errSlow || given == errStood) {
			err = given
		}
		d.noteCall(ctx, err)
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.url+query, nil)
	if err != nil {
		return err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answers %s", resp.Status)
	}
	heard := readerFunc(func(b []byte) (int, error) {
		n, err := resp.Body.Read(b)
		if n > 0 {
			now := time.Now()
			heardAt.Store(&now)
			watchdog.Reset(min(wait.next, last.Sub(now)))
		}
		return n, err
	})
	body := &io.LimitedReader{R: heard, N: maxList + 1}
	var l list
	if err := l.decode(json.NewDecoder(body)); body.N <= 0 {
		return fmt.Errorf("discovery's list is over %d bytes", maxList)
	} else if err != nil {
		onTorn(err)
		return fmt.Errorf("discovery's list: %w", err)
	}
	l.note(d.log)
	d.noteUnknown(&l)
	if !l.Snapshot && l.Index < d.index {
		d.index = 0
		return errRestarted
	}
	if d.shrunk(&l) && !d.asking {
		d.log.Warn("discovery's list has lost most servers, it is asked once more", "servers", len(l.Entries), "before", len(d.names))
		watchdog.Stop() // this call has been answered
		d.asking = true
		again, cancel := context.WithTimeout(ctx, d.times.second)
		err := d.call(again, "", patience{d.times.second, d.times.second, d.times.second})
		cancel()
		if d.asking = false; err == nil {
			return nil
		}
		d.log.Warn("it was not to be had again and is taken as it is", "err", err)
	}
	if d.times.again == 0 || !d.saysNothing(&l) {
		d.take(l)
	}
	return nil
}

// noteUnknown logs each key of lists that says nothing to the node once.
func (d *discovery) noteUnknown(l *list) {
	for _, key := range l.unknown {
		if d.unknown[key] || len(d.unknown) >= mostUnknown {
			continue
		}
		if d.unknown == nil {
			d.unknown = map[string]bool{}
		}
		d.unknown[key] = true
		d.note(slog.LevelWarn, "unknown key in discovery's list, passed over", eventList, "unknown_key", "key", shortened(key))
	}
}

// redirected logs where discovery sends a call. As for http.Client without a
// policy of its own, ten times are too many.
func (d *discovery) redirected(req *http.Request, via []*http.Request) error {
	d.note(slog.LevelInfo, "discovery sends a call elsewhere", eventDiscovery, "redirected", "address", req.URL.Host)
	if len(via) >= mostRedirects {
		return errRedirects
	}
	return nil
}

// saysNothing tells whether a list changes nothing, as an agent's answer to a
// watch whose time is over. Others' lists tell the module that its call was answered.
func (d *discovery) saysNothing(l *list) bool {
	return !l.Snapshot && len(l.Entries) == 0 && l.Index == d.index
}

// noteCall keeps how a call ended, for the next one.
func (d *discovery) noteCall(ctx context.Context, err error) {
	switch {
	case err == nil:
		now := time.Now()
		d.answered.Store(&now)
		d.silentCalls, d.slowCalls = 0, 0
	case err == errSlow:
		d.slowCalls = min(d.slowCalls+1, mostUnanswered)
	case err == errSilent:
		d.silentCalls = min(d.silentCalls+1, mostUnanswered)
	}
	d.count(eventDiscovery, callResult(ctx, err))
	if d.confirmed != nil && (err == nil || err == errSilent) { // what is silent has told all that it could
		d.confirmed(d.called)
	}
}

// confirmAgain has the list asked for anew, at once and with no wait, in the
// place of a call that is under way.
func (d *discovery) confirmAgain() {
	d.stood.Store(true)
	if end := d.endCall.Load(); end != nil {
		(*end)(errStood)
	}
}

// answeredAgo is how long ago a call was answered; -1: none was yet.
func (d *discovery) answeredAgo() time.Duration {
	if at := d.answered.Load(); at != nil {
		return time.Since(*at)
	}
	return -1
}

// callResult names how a call ended, for the counters.
func callResult(ctx context.Context, err error) string {
	switch {
	case err == nil:
		return "answered"
	case err == errSilent:
		return "silent"
	case err == errSlow:
		return "slow"
	case err == errStood:
		return "stood_still"
	case ctx.Err() != nil:
		return "cancelled"
	}
	return "failed"
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }

// shrunk tells whether a whole list lacks most of the servers before.
func (d *discovery) shrunk(l *list) bool {
	if !l.Snapshot || len(d.names) < shrinkLeast {
		return false
	}
	kept := 0
	for i := range l.Entries {
		if d.names[l.Entries[i].Name] {
			kept++
		}
	}
	return float64(len(d.names)-kept) > shrinkPart*float64(len(d.names))
}

func (d *discovery) take(l list) {
	if l.Snapshot {
		d.names = map[string]bool{}
	}
	for _, e := range l.Entries {
		if states[e.Status] == decide.Gone {
			delete(d.names, e.Name)
		} else {
			d.names[e.Name] = true
		}
	}
	d.index = l.Index
	d.listed(l)
}

// end ends the calls under way, and their connections, for good.
func (d *discovery) end() {
	close(d.ended)
	d.client.CloseIdleConnections()
}

// under is a context that ends with the discovery as well.
func (d *discovery) under(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-d.ended:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// fetch asks for the whole list.
func (d *discovery) fetch(ctx context.Context) error {
	answer := d.times.fetch
	if d.unanswered() && d.times.again > 0 {
		answer = d.times.again
	}
	return d.call(ctx, "", d.wait(0, answer))
}

// watch follows the list until a call fails. The calls come back to back, so
// that discovery counts them as one watch. With no version seen here yet it
// begins with the whole list: versions of another address mean nothing to it.
// After a silence of an agent it first asks for what there is, with no wait, and
// soon again: only an answer tells that it speaks, and what it says then counts at once.
func (d *discovery) watch(ctx context.Context) error {
	if d.index == 0 {
		if err := d.fetch(ctx); err != nil {
			return err
		}
	}
	for {
		began, before, hold, answer := time.Now(), d.index, d.times.hold, d.times.silence
		if stood := d.stood.Swap(false); (d.unanswered() || stood) && d.times.again > 0 {
			hold, answer = 0, d.times.again
		}
		if err := d.call(ctx, fmt.Sprintf("?from=%d&hold_ms=%d", d.index, hold.Milliseconds()), d.wait(hold, answer)); err != nil {
			return err
		}
		if d.index == before && time.Since(began) < hold/2 {
			// An agent that does not hold calls must not be called in a loop.
			if !sleep(ctx, min(100*time.Millisecond, d.times.high)) {
				return ctx.Err()
			}
		}
	}
}

// follow watches for ever, as lists that are pushed need no leave of the
// module. It comes back from a failure after a jittered wait that doubles up
// to a cap: nodes that lost discovery together must not return together.
func (d *discovery) follow(ctx context.Context) {
	ctx, cancel := d.under(ctx)
	defer cancel()
	wait := d.times.low
	for ctx.Err() == nil {
		began, before := time.Now(), d.index
		err := d.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		onSilence(err)
		if err == errStood {
			continue // at once: nothing may be sent before
		}
		if d.index != before || time.Since(began) > d.times.hold {
			wait = d.times.low
		}
		if wait == d.times.low { // a long outage is one line, not one for each try
			d.log.Warn("discovery failed, watching again", "err", err, "version", d.index, "call_took", time.Since(d.called))
		}
		if !sleep(ctx, time.Duration(float64(wait)*(0.5+rand.Float64()))) {
			return
		}
		wait = min(2*wait, d.times.high)
	}
}

// ask does what the module asked for where lists are not pushed: a fetch, then
// a watch until it fails. It ends an earlier task first, as lists reach the
// module in order only from one at a time. It does not block, and is not safe
// for concurrent use.
func (d *discovery) ask(ctx context.Context, fetch, watch bool) {
	ctx, stop := d.under(ctx)
	earlier, done := d.done, make(chan struct{})
	if d.stop != nil {
		d.stop()
	}
	d.stop, d.done = stop, done
	go func() {
		defer close(done)
		defer stop()
		if earlier != nil {
			<-earlier
		}
		var err error
		if fetch {
			err = d.fetch(ctx)
		}
		if watch && err == nil {
			err = d.watch(ctx)
		}
		if err != nil && ctx.Err() == nil {
			d.log.Warn("discovery failed", "err", err)
			d.failed()
		}
	}()
}

// sleep waits, and tells whether it was left to wait to the end.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
