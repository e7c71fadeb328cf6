package discovery

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	testGrace  = 2 * time.Second
	graceSlack = 50 * time.Millisecond // a change on sockets may be acted on so much later than the grace says
)

// scheduleAt is a schedule for an agent, without jitter, and its clock.
func scheduleAt(grace time.Duration) (*schedule, time.Time) {
	return newSchedule(PlanTimes(Agent, grace), func() float64 { return 1 }), time.Unix(0, 0)
}

// TestSchedule: what begins and is given up as time passes and calls end.
func TestSchedule(t *testing.T) {
	s, zero := scheduleAt(testGrace)
	for _, step := range []struct {
		at    time.Duration
		does  string // "answered N", "paced N", "failed N", "hurry", "restart" or "" for the time alone
		begun string // "N held H" or "N" of the call that begins then; "": none does
	}{
		{0, "", "1 held 250ms"},
		{0, "", ""},
		{250 * time.Millisecond, "answered 1", "2 held 250ms"}, // a healthy watch has one call open
		{499 * time.Millisecond, "", ""},
		{500 * time.Millisecond, "paced 2", ""},
		{600 * time.Millisecond, "", "3 held 250ms"},
		{1099 * time.Millisecond, "", ""}, // it owes its answer from 850 ms on
		{1100 * time.Millisecond, "", "4"},
		{1349 * time.Millisecond, "", ""},
		{1350 * time.Millisecond, "", "5"},
		{1400 * time.Millisecond, "answered 4", ""}, // 3 has nothing to add, 5 is open
		{1599 * time.Millisecond, "", ""},
		{1600 * time.Millisecond, "", "6"},
		{1601 * time.Millisecond, "failed 6", ""},
		{1626 * time.Millisecond, "", "7"}, // 25 ms after a failure, beside 5
		{1630 * time.Millisecond, "failed 5", ""},
		{1640 * time.Millisecond, "failed 7", ""},
		{1739 * time.Millisecond, "", ""},
		{1740 * time.Millisecond, "", "8"}, // 100 ms after the third failure, and not held
		{1741 * time.Millisecond, "answered 8", "9 held 250ms"},
		{1750 * time.Millisecond, "hurry", "10"},
		{1760 * time.Millisecond, "answered 9", ""},
		{1770 * time.Millisecond, "answered 10", "11 held 250ms"},
		{1780 * time.Millisecond, "restart", "12"},
	} {
		now := zero.Add(step.at)
		var what string
		var number uint64
		fmt.Sscan(step.does, &what, &number)
		switch what {
		case "answered", "paced":
			s.answered(number, now, what == "paced")
		case "failed":
			s.failed(number, now)
		case "hurry":
			s.hurry(now)
		case "restart":
			s.restart(now)
		}
		c, _, due := s.begin(now, false, 1)
		begun := ""
		if due {
			begun = fmt.Sprint(c.Number)
		}
		if c.Hold > 0 {
			begun += " held " + c.Hold.String()
		}
		if begun != step.begun {
			t.Errorf("%v %s: call %q begins, want %q", step.at, step.does, begun, step.begun)
		}
	}
}

// TestAnswerEndsOlderCalls: and leaves newer ones, and an answer to a call that was given up changes nothing.
func TestAnswerEndsOlderCalls(t *testing.T) {
	s, now := scheduleAt(testGrace)
	for range 5 {
		now = s.due
		s.begin(now, false, 1)
	}
	if givenUp := s.answered(3, now, false); !slices.Equal(givenUp, []uint64{1, 2}) || len(s.open) != 2 {
		t.Errorf("gives up %v and has %d open, want 1 and 2, and two", givenUp, len(s.open))
	}
	due := s.due
	if givenUp := s.answered(2, now, false); givenUp != nil || s.due != due {
		t.Error("an answer to a call that is not open counts")
	}
	s.failed(2, now)
	if s.unsure || s.due != due {
		t.Error("a failure of a call that is not open counts")
	}
}

// TestOpenCallsAreBounded guards against calls that grow without end while discovery says nothing, and against an agent
// that is never heard as it takes longer for each answer than calls are kept.
func TestOpenCallsAreBounded(t *testing.T) {
	for _, from := range []Source{Agent, Server, Asked} {
		for _, grace := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond, testGrace, 30 * time.Second} {
			for _, takes := range []time.Duration{grace / 2, grace, 3 * grace, 10 * grace} {
				times := PlanTimes(from, grace)
				s := newSchedule(times, func() float64 { return 1 })
				now := time.Unix(0, 0)
				speaks := now.Add(20 * grace) // discovery answers each call that begins from then on
				first, answered := time.Time{}, time.Time{}
				for answered.IsZero() && now.Before(speaks.Add(time.Hour)) {
					now = s.due
					if now.IsZero() {
						now = time.Unix(0, 0)
					}
					for _, c := range s.open {
						if !c.Began.Before(speaks) && !now.Before(c.Began.Add(takes)) {
							answered = now
						}
					}
					c, _, _ := s.begin(now, from != Agent, 1)
					if first.IsZero() && !c.Began.Before(speaks) {
						first = c.Began
					}
					if len(s.open) >= times.MostCalls {
						t.Fatalf("source %d, grace %v: %d calls are open", from, grace, len(s.open))
					}
				}
				if answered.IsZero() {
					t.Errorf("source %d, grace %v: an answer that takes %v is never heard", from, grace, takes)
				} else if most := takes + 2*times.LastStep; from == Agent && takes < grace && answered.Sub(speaks) > most {
					t.Errorf("grace %v: an agent that takes %v is heard after %v, want %v", grace, takes, answered.Sub(speaks), most)
				}
			}
		}
	}
}

// TestTimesFit: what changes is known within what the grace allows, for all
// graces, where an answer takes half of it and the first one never comes.
func TestTimesFit(t *testing.T) {
	for _, from := range []Source{Agent, Server, Asked} {
		for _, grace := range []time.Duration{0, 50 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, time.Second, testGrace, 6 * time.Second,
			30 * time.Second, time.Minute} {
			p := PlanTimes(from, grace)
			if p.Hold <= 0 || p.FirstStep <= 0 || p.LastStep < p.FirstStep || p.WholeStep <= 0 || p.Backoff <= 0 || p.Longest < p.Backoff ||
				p.MostCalls < 4 || p.Pace <= 0 || p.Second < 0 || p.Second > grace/4 {
				t.Errorf("source %d, grace %v: %+v", from, grace, p)
			}
			// What is missed may count as known from heldTold after the hold, and from lateTold after discovery is back; of an agent at once.
			watched, back := p.known(grace/2)-heldTold, p.knownAgain(grace/2)-lateTold
			if from == Agent {
				watched, back = p.Hold+p.known(grace/2), p.knownAgain(grace/2)
			}
			if most := grace + graceSlack; watched > most || back > most {
				t.Errorf("source %d, grace %v: known after %v, and %v behind an outage, want %v", from, grace, watched, back, most)
			}
		}
	}
}

// known is how long after a change it is known at the latest, from the moment at
// which a call owes its answer, where each call is answered within a time, but for
// that one and the first one beside it, which fail or never are. The list may have
// lost most servers.
func (t Times) known(answer time.Duration) time.Duration {
	second := max(min(2*t.FirstStep, t.LastStep), t.Backoff*3/2)
	return t.FirstStep + second + answer + t.Second
}

// knownAgain is the same from the moment at which a discovery is back that was out
// of reach for long.
func (t Times) knownAgain(answer time.Duration) time.Duration {
	step := max(t.LastStep, t.Longest*3/2)
	return 2*step + answer + t.Second
}
