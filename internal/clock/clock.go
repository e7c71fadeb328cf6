// Package clock is the machine's wall clock as the program reads it. A machine
// can be set wrong, and its clock may step at any moment; a rehearsal has to be
// able to have one that does. Where INDIGOTACK_CLOCK_OFFSET holds a time such as
// "-1h" or "90s", all wall times that the program reads are off by it; where
// INDIGOTACK_CLOCK_FILE names a file, by the time that the file holds just then.
// Times that pass are not: they come from the monotonic clock, by which Sleep waits.
package clock

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Environment variables that set the clock wrong.
const (
	Variable     = "INDIGOTACK_CLOCK_OFFSET"
	FileVariable = "INDIGOTACK_CLOCK_FILE"
)

// Most is the largest offset, either way.
const Most = 24 * time.Hour

var (
	offset  = sync.OnceValues(func() (time.Duration, error) { return parse(os.Getenv(Variable)) })
	file    = sync.OnceValue(func() string { return os.Getenv(FileVariable) })
	stepped atomic.Int64
)

func parse(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < -Most || d > Most {
		return 0, fmt.Errorf("%s=%q, want a time such as \"-1h\", at most %v either way", Variable, text, Most)
	}
	return d, nil
}

// Check tells whether the variable can be read; a program that starts asks it first.
func Check() error {
	_, err := offset()
	return err
}

// Step moves the wall clock of this process by a time, for tests.
func Step(by time.Duration) { stepped.Add(int64(by)) }

// Wall is the wall time. It has no monotonic part: how long something took is
// not to be told from it.
func Wall() time.Time {
	d, _ := offset() // Check tells of the error
	return time.Now().Round(0).Add(d + fromFile() + time.Duration(stepped.Load()))
}

// SinceEpoch is a wall time as Unix time.
func SinceEpoch(wall time.Time) time.Duration { return time.Duration(wall.UnixNano()) }

// fromFile is the offset in the file, if there is one that can be read.
func fromFile() time.Duration {
	if file() == "" {
		return 0
	}
	text, err := os.ReadFile(file())
	if err != nil {
		return 0
	}
	d, _ := parse(strings.TrimSpace(string(text))) // a file that is being written is no step
	return d
}

// SinceBoot is how long ago the machine was started. Unlike Go's monotonic clock
// it goes on while the machine sleeps. It is 0 where there is no such clock.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Sleep waits for a time that passes, and tells whether it was left to wait to the end.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
