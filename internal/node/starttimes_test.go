package node

import (
	"testing"
	"time"

	"indigotack/decide"
	"indigotack/internal/clock"
	"indigotack/internal/discovery"
)

// TestWallClockStepsBeforeAServerStarts: the wall clock steps while the node
// runs, and then a server starts. It is taken as started now, neither an hour
// ago, when it would be sent all that a warm one bears, nor in an hour, until
// when it would stay cold. One that is known keeps the time that it had.
func TestWallClockStepsBeforeAServerStarts(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour, 30 * time.Second, -30 * time.Second, 0} {
		for name, ofServers := range map[string]time.Duration{"the node's clock alone steps": 0, "all clocks step": step} {
			t.Run(step.String()+"/"+name, func(t *testing.T) {
				n := New(testConfig("127.0.0.1:1"), quiet)
				t.Cleanup(func() { clock.Step(-step) })
				known := discovery.Entry{Name: "known", Address: "127.0.0.1:1", Status: "ready", SinceMS: clock.Wall().Add(-500 * time.Millisecond).UnixMilli()}
				n.follow([]discovery.Entry{known}, 1, decide.ListFull, discovery.Origin{})
				before := n.startTimes.placed["known"].at
				clock.Step(step)
				truth := clock.Wall().Add(-step) // what a clock that did not step reads
				fresh := discovery.Entry{Name: "fresh", Address: "127.0.0.1:2", Status: "ready", SinceMS: truth.Add(ofServers).UnixMilli()}
				n.follow([]discovery.Entry{known, fresh}, 2, decide.ListFull, discovery.Origin{})
				if at := n.startTimes.placed["known"].at; at != before {
					t.Errorf("a known server's start moves by %v", at-before)
				}
				if age := n.now() - n.startTimes.placed["fresh"].at; age < 0 || age > time.Second {
					t.Errorf("a server that started now has the age %v", age)
				}
			})
		}
	}
}
