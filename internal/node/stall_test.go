package node

import (
	"context"
	"testing"
	"time"
)

// TestStallGuard: nothing is sent after a stand until the list is as new as the
// end of it, or the time for that is over.
func TestStallGuard(t *testing.T) {
	const grace = 2 * time.Second
	woke := 0
	g := newStallGuard(grace, func() { woke++ })
	start := g.ticked
	at := func(d time.Duration) time.Time { return start.Add(d) }
	for _, step := range []struct {
		at    time.Duration
		does  string
		holds bool
	}{
		{900 * time.Millisecond, "a busy moment", false},
		{1950 * time.Millisecond, "a stand", true},
		{1960 * time.Millisecond, "nothing yet", true},
		{1970 * time.Millisecond, "old news", true},
		{1980 * time.Millisecond, "news", false},
		{3600 * time.Millisecond, "a second stand", true},
		{4599 * time.Millisecond, "no news", true},
		{4601 * time.Millisecond, "no news for too long", false},
	} {
		switch step.does {
		case "old news":
			g.confirm(at(1940 * time.Millisecond))
		case "news":
			g.confirm(at(1955 * time.Millisecond))
		}
		if holds := g.holds(at(step.at)); holds != step.holds {
			t.Errorf("%v, %s: held up %v, want %v", step.at, step.does, holds, step.holds)
		}
	}
	if woke != 2 {
		t.Errorf("told of %d stands, want 2", woke)
	}
}

// TestStallGuardCountsTheMachinesSleep guards against sends by an old list after the machine slept, while which Go's clock stands.
func TestStallGuardCountsTheMachinesSleep(t *testing.T) {
	woke := 0
	g := newStallGuard(2*time.Second, func() { woke++ })
	passed := g.passedThen
	g.passed = func() time.Duration { return passed }
	if passed += time.Second; g.holds(g.ticked.Add(time.Millisecond)) || woke != 0 {
		t.Error("a short sleep holds up what is sent")
	}
	if passed += 5 * time.Second; !g.holds(g.ticked.Add(time.Millisecond)) || woke != 1 {
		t.Errorf("after a sleep of 5 s nothing is held up, told of %d stands", woke)
	}
	g.confirm(g.wokeAt)
	if g.holds(g.ticked.Add(time.Millisecond)) || woke != 1 {
		t.Error("what is sent is held up after the list was confirmed")
	}
}

// TestStallGuardLetsGo: a request whose time is over meanwhile is not sent, and
// without a guard nothing waits.
func TestStallGuardLetsGo(t *testing.T) {
	g := newStallGuard(time.Hour, func() {})
	g.wokeAt = time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
	defer cancel()
	if g.await(ctx) {
		t.Error("a request is sent after a stand without any news")
	}
	var none *stallGuard
	none.confirm(time.Now())
	if !none.await(ctx) {
		t.Error("a request is held up without a guard")
	}
}
