// Package clock is the machine's wall clock as the program reads it. A machine
// can be set wrong, and a rehearsal has to be able to have one that is: where
// INDIGOTACK_CLOCK_OFFSET holds a time such as "-1h" or "90s", all wall times
// that the program reads are off by it. Times that pass are not: they come
// from the monotonic clock, as they would on a machine that is set wrong.
package clock

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Variable is the environment variable that sets the clock wrong.
const Variable = "INDIGOTACK_CLOCK_OFFSET"

// Most is the largest offset, either way.
const Most = 24 * time.Hour

var offset = sync.OnceValues(func() (time.Duration, error) { return parse(os.Getenv(Variable)) })

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

// Wall is the wall time. It has no monotonic part: how long something took is
// not to be told from it.
func Wall() time.Time {
	d, _ := offset() // Check tells of the error
	return time.Now().Round(0).Add(d)
}
