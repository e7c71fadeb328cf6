package node

import (
	"context"
	"sync"
	"time"

	"indigotack/internal/clock"
)

const (
	// After a stand of half the grace the list is confirmed before anything is
	// sent. After a shorter one it is read well before the grace is over.
	stallPart      = 2
	leastStall     = 50 * time.Millisecond // a busy machine has a process wait for so long
	stallTicks     = 2                     // looks in that time: each costs the processor
	confirmPart    = 2                     // of the grace, one is waited for the list to be confirmed; an agent that is silent just then can't
	leastStallWait = 300 * time.Millisecond
	stallCheck     = time.Millisecond // how often a request looks that waits for that
)

// stallGuard keeps a process that stood still from acting on what it knew
// before: what its local agent got meanwhile counts as known to it. After a
// stand nothing is sent until a call to the agent that began since then has
// been answered and its list is taken up, or the time for that is over. A nil guard
// never holds anything up. It is safe for concurrent use.
type stallGuard struct {
	limit time.Duration // longer than this is a stand
	most  time.Duration // is waited for the list to be confirmed
	woke  func()        // called after a stand; must not block

	// passed is the time since some moment, also while the machine slept.
	passed func() time.Duration

	mu          sync.Mutex
	ticked      time.Time     // the process ran then
	passedThen  time.Duration // at that time
	wokeAt      time.Time     // the end of the last stand; zero: there was none
	confirmedAt time.Time     // the list is at least as new as this
}

func newStallGuard(grace time.Duration, woke func()) *stallGuard {
	return &stallGuard{limit: max(grace/stallPart, leastStall), most: max(grace/confirmPart, leastStallWait), woke: woke, passed: clock.SinceBoot, ticked: time.Now(), passedThen: clock.SinceBoot()}
}

// run looks for stands until ctx ends.
func (g *stallGuard) run(ctx context.Context) {
	for clock.Sleep(ctx, g.limit/stallTicks) {
		g.stood(time.Now())
	}
}

// stood notes that the process runs, and tells whether it stood still before.
func (g *stallGuard) stood(now time.Time) bool {
	g.mu.Lock()
	passed := g.passed()
	still := now.Sub(g.ticked) > g.limit || passed-g.passedThen > g.limit
	g.ticked, g.passedThen = now, passed
	if still {
		g.wokeAt = now
	}
	g.mu.Unlock()
	if still {
		g.woke()
	}
	return still
}

// confirm notes that the list is at least as new as a time.
func (g *stallGuard) confirm(at time.Time) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if at.After(g.confirmedAt) {
		g.confirmedAt = at
	}
}

// holds tells whether nothing may be sent yet.
func (g *stallGuard) holds(now time.Time) bool {
	g.stood(now) // whoever looks for stands may not have run yet
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.confirmedAt.Before(g.wokeAt) && now.Sub(g.wokeAt) < g.most
}

// await waits until requests may be sent, and tells whether they may before ctx ends.
func (g *stallGuard) await(ctx context.Context) bool {
	for g != nil && g.holds(time.Now()) {
		if !clock.Sleep(ctx, stallCheck) {
			return false
		}
	}
	return true
}
