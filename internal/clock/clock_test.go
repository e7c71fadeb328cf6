package clock

import (
	"testing"
	"time"
)

func TestParse(t *testing.T) {
	for text, want := range map[string]time.Duration{"": 0, "-1h": -time.Hour, "90s": 90 * time.Second, "24h": Most} {
		if d, err := parse(text); err != nil || d != want {
			t.Errorf("%q is read as %v, %v, want %v", text, d, err, want)
		}
	}
	for _, text := range []string{"1", "x", "25h", "-25h"} {
		if d, err := parse(text); err == nil {
			t.Errorf("%q is read as %v, want an error", text, d)
		}
	}
}

// TestWall: the offset moves the wall clock alone.
func TestWall(t *testing.T) {
	was := offset
	defer func() { offset = was }()
	offset = func() (time.Duration, error) { return -time.Hour, nil }
	real, set := time.Now(), Wall()
	if off := set.Sub(real.Round(0)); off < -time.Hour || off > -time.Hour+time.Minute {
		t.Errorf("the clock is off by %v, want an hour back", off)
	}
}
