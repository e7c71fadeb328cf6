package node

import (
	"sync"
	"time"
)

const (
	pauseTick  = 50 * time.Millisecond // between looks at whether the process runs
	leastPause = 3 * pauseTick         // a longer time between two looks is a pause of the process
	pauseWake  = 50 * time.Millisecond // in which a process takes up what came in a pause
)

// pauseWatch notes when the process stood still, for what comes and of which the
// kernel does not tell when: signals, and what comes on Unix sockets. It is safe
// for concurrent use.
type pauseWatch struct {
	mu       sync.Mutex
	ticked   time.Time
	from, to time.Time // of the last pause; zero: there was none
}

// run looks for pauses until end is closed.
func (w *pauseWatch) run(end <-chan struct{}) {
	ticker := time.NewTicker(pauseTick)
	defer ticker.Stop()
	for {
		w.tick(time.Now())
		select {
		case <-ticker.C:
		case <-end:
			return
		}
	}
}

// tick notes that the process runs.
func (w *pauseWatch) tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ticked.IsZero() && now.Sub(w.ticked) > leastPause {
		w.from, w.to = w.ticked, now
	}
	w.ticked = now
}

// came is the earliest time at which something may have come that was read at a
// time, and by how much later it may have been.
func (w *pauseWatch) came(read time.Time) (at time.Time, slack time.Duration) {
	w.tick(read)
	w.mu.Lock()
	defer w.mu.Unlock()
	if at = read; read.Sub(w.to) < pauseWake {
		at = w.from
	}
	return at, read.Sub(at) + leastPause
}
