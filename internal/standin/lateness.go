package standin

import (
	"sync/atomic"
	"time"
)

// latenessTick is between looks at whether this process wakes in time.
const latenessTick = time.Millisecond

// Lateness measures how late this process wakes, as it does on a busy machine. It
// is safe for concurrent use.
type Lateness struct {
	worst atomic.Int64 // nanoseconds, since the last call of Worst
	stop  chan struct{}
}

// WatchLateness measures until Stop is called.
func WatchLateness() *Lateness {
	l := &Lateness{stop: make(chan struct{})}
	go l.watch()
	return l
}

func (l *Lateness) watch() {
	TellLateness(latenessTick, l.stop, func(by time.Duration) {
		late := int64(by)
		for worst := l.worst.Load(); late > worst && !l.worst.CompareAndSwap(worst, late); worst = l.worst.Load() {
		}
	})
}

// TellLateness sleeps for so long again and again, and tells each time how late the
// process woke, until end is closed.
func TellLateness(every time.Duration, end <-chan struct{}, tell func(late time.Duration)) {
	for {
		asleep := time.Now()
		select {
		case <-time.After(every):
		case <-end:
			return
		}
		tell(time.Since(asleep) - every)
	}
}

// Worst is by how much it was late at the worst since this was last called.
func (l *Lateness) Worst() time.Duration { return time.Duration(l.worst.Swap(0)) }

// Stop ends the measuring.
func (l *Lateness) Stop() { close(l.stop) }
