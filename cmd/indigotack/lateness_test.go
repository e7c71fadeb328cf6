package main

import (
	"sync"
	"testing"
	"time"

	"indigotack/internal/standin"
)

// latenessLog keeps how late this process woke, as it does on a busy machine.
type latenessLog struct {
	once sync.Once
	mu   sync.Mutex
	all  []lateWake
}

type lateWake struct {
	at time.Time
	by time.Duration
}

// ownLateness is that of the tests' process.
var ownLateness latenessLog

// programWaits are those of the programs that tests run, by their addresses.
var programWaits sync.Map // of *cpuWaits

// waitsEvery is how often a program's wait for a processor is looked at.
const waitsEvery = 100 * time.Millisecond

// cpuWaits keeps for how long a program has waited for a processor.
type cpuWaits struct {
	mu    sync.Mutex
	since []cpuWait
}

type cpuWait struct {
	at     time.Time
	waited func() time.Duration // since then
}

// watchProgram keeps a program's waits until the test ends.
func watchProgram(t *testing.T, address string, pid int) {
	w, end := &cpuWaits{}, make(chan struct{})
	programWaits.Store(address, w)
	t.Cleanup(func() { close(end) })
	go func() {
		for {
			w.mu.Lock()
			w.since = append(w.since, cpuWait{time.Now(), standin.WatchCPU(pid)})
			w.mu.Unlock()
			select {
			case <-time.After(waitsEvery):
			case <-end:
				return
			}
		}
	}()
}

// machineLate is how late the machine let this process wake since a time, and for
// how long it kept a program from a processor.
func machineLate(address string, from time.Time) time.Duration {
	late := ownLateness.since(from)
	kept, has := programWaits.Load(address)
	if !has {
		return late
	}
	w := kept.(*cpuWaits)
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := len(w.since) - 1; i >= 0; i-- {
		if w.since[i].at.Before(from) {
			return late + w.since[i].waited()
		}
	}
	return late
}

// watch begins to keep it, until the process ends.
func (l *latenessLog) watch() {
	l.once.Do(func() {
		go standin.TellLateness(time.Millisecond, nil, func(by time.Duration) {
			if by < time.Millisecond {
				return
			}
			l.mu.Lock()
			defer l.mu.Unlock()
			l.all = append(l.all, lateWake{time.Now(), by})
		})
	})
}

// since is how late the process woke at the worst since a time.
func (l *latenessLog) since(from time.Time) (worst time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.all) - 1; i >= 0 && l.all[i].at.After(from); i-- {
		worst = max(worst, l.all[i].by)
	}
	return worst
}
