package lifecycle

import (
	"testing"
	"time"
)

// TestPlanShutdown: whatever the settings' deadlines, the steps come in order and
// the last one before the kill, and connections that still come are taken.
func TestPlanShutdown(t *testing.T) {
	for _, longest := range []time.Duration{0, 50 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond, 900 * time.Millisecond,
		time.Second, 2900 * time.Millisecond, 3 * time.Second, 4 * time.Second, time.Minute, time.Hour} {
		for _, capped := range []bool{true, false} {
			kill := longest + 700*time.Millisecond
			if capped && longest > 3*time.Second {
				kill = 3700 * time.Millisecond
			}
			p := PlanShutdown(longest, capped)
			if p.Accept > p.Close || p.Close > p.Answer || p.Answer >= p.Refuse || p.Refuse >= p.End || p.End >= kill {
				t.Errorf("longest %v, capped %v: %+v, want its steps in order and before the kill at %v", longest, capped, p, kill)
			}
			if p.Accept <= 400*time.Millisecond {
				t.Errorf("longest %v, capped %v: %+v, new connections come for 0.4 s", longest, capped, p)
			}
			if kill-p.Answer < 200*time.Millisecond {
				t.Errorf("longest %v, capped %v: %+v leaves no time to write answers before the kill at %v", longest, capped, p, kill)
			}
		}
	}
}
