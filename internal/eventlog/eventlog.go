// Package eventlog keeps a program's log from getting in its way: a reader of
// the log that stops reading must not stop the program, and an event that
// happens ten thousand times a second must not fill a disk.
package eventlog

import (
	"io"
	"sync"
	"time"
)

// Writer passes what is written to it on to another writer from a goroutine of
// its own. Write never blocks and never fails: lines for which there is no room
// are dropped and counted. It is safe for concurrent use.
type Writer struct {
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	closed  bool
	dropped uint64
}

// NewWriter returns a Writer that holds so many lines at most that out has not
// taken yet.
func NewWriter(out io.Writer, lines int) *Writer {
	w := &Writer{lines: make(chan []byte, lines), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			out.Write(line) // nobody is left to be told of an error
		}
	}()
	return w
}

// Write takes a copy of line.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped++
	}
	return len(line), nil
}

// Dropped is how many lines there was no room for.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close waits until all lines are passed on, but no longer than timeout.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// Limiter lets through so many events of a kind in each second. It is safe for
// concurrent use.
type Limiter struct {
	most int

	mu    sync.Mutex
	kinds map[string]*window
}

type window struct {
	since      time.Time
	passed     int
	suppressed int
}

// NewLimiter returns a Limiter for a fixed set of kinds, of which it keeps all.
func NewLimiter(perSecond int) *Limiter {
	return &Limiter{most: perSecond, kinds: map[string]*window{}}
}

// Allow tells whether an event of a kind passes now, and how many did not since
// the last one that passed.
func (l *Limiter) Allow(kind string, now time.Time) (passes bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.kinds[kind]
	if w == nil {
		w = &window{since: now}
		l.kinds[kind] = w
	}
	if now.Sub(w.since) >= time.Second {
		w.since, w.passed = now, 0
	}
	if w.passed >= l.most {
		w.suppressed++
		return false, 0
	}
	w.passed++
	suppressed, w.suppressed = w.suppressed, 0
	return true, suppressed
}

// Suppressed is how many events of each kind did not pass and have not been told of
// yet. They count as told then.
func (l *Limiter) Suppressed() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[string]int{}
	for kind, w := range l.kinds {
		if w.suppressed > 0 {
			all[kind] = w.suppressed
			w.suppressed = 0
		}
	}
	return all
}

// maxShortened is how many bytes of what others say stand in a line.
const maxShortened = 200

// Shortened is what others say, cut for a line of the log.
func Shortened(text string) string {
	if len(text) > maxShortened {
		return text[:maxShortened] + "..."
	}
	return text
}
