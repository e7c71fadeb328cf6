package rig

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"indigotack/internal/standin"
)

// Report is the verdict on a run.
type Report struct {
	Plan       *Plan         `json:"-"`
	Name       string        `json:"name"`
	Seed       uint64        `json:"seed"`
	Checks     []Check       `json:"checks"`
	Classes    []ClassResult `json:"classes"`
	Violations []Violation   `json:"violations"`
	WorstLate  time.Duration `json:"worst_late_ns"` // of the rig's own processes
	Untimed    bool          `json:"untimed"`       // the rig ran too late to judge by time
	Events     int           `json:"events"`
	Settled    time.Duration `json:"settled_ns,omitempty"` // after the last fault all that ran held one settled view

	history *History
}

// Check is one checker's part in a report.
type Check struct {
	Name   string `json:"name"`
	About  string `json:"about"`
	Looked int    `json:"looked"`
	Found  int    `json:"found"`
}

// ClassResult is what became of one class's requests.
type ClassResult struct {
	Class string
	Tally
	P50, P99 time.Duration // of those served
}

// Tally counts requests by what became of them.
type Tally struct{ Asked, InAim, Late, Refused, Failed, Lost, Crossed, Wrong, Left int }

func (t *Tally) count(r *requestLog) {
	t.Asked++
	switch r.how {
	case standin.Served.String():
		if r.inAim() {
			t.InAim++
		} else {
			t.Late++
		}
	case standin.Refused.String():
		t.Refused++
	case standin.Failed.String():
		t.Failed++
	case standin.Crossed.String():
		t.Crossed++
	case standin.Left.String():
		t.Left++
	case standin.Garbled.String():
		t.Wrong++
	default:
		t.Lost++
	}
}

// Total is how many requests were asked, and how many of them answered within their aim.
func (r *Report) Total() (asked, inAim int) {
	for _, k := range r.Classes {
		asked, inAim = asked+k.Asked, inAim+k.InAim
	}
	return asked, inAim
}

// Sound tells whether no checker found anything.
func (r *Report) Sound() bool { return len(r.Violations) == 0 }

// Broke tells whether a checker found something.
func (r *Report) Broke(checker string) bool {
	return slices.ContainsFunc(r.Violations, func(v Violation) bool { return v.Checker == checker })
}

// Judge has every checker look at a run's events, which are in order.
func Judge(p *Plan, events []Event) *Report {
	h := newHistory(p, events)
	r := &Report{Plan: p, Name: p.Name, Seed: p.Seed, Untimed: h.untimed(), Events: len(events), history: h}
	if d, ok := h.settledAfter(); ok && p.Peers {
		r.Settled = d
	}
	for _, s := range h.late {
		r.WorstLate = max(r.WorstLate, time.Duration(s.by))
	}
	for _, c := range Checkers() {
		looked, found := c.Judge(h)
		r.Checks = append(r.Checks, Check{c.Name, c.About, looked, len(found)})
		r.Violations = append(r.Violations, found...)
	}
	slices.SortStableFunc(r.Violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	for i := range p.Classes {
		r.Classes = append(r.Classes, h.class(&p.Classes[i]))
	}
	return r
}

func (h *History) class(c *Class) ClassResult {
	out := ClassResult{Class: c.Name}
	var times []time.Duration
	for _, r := range h.order {
		if r.class != c {
			continue
		}
		if out.count(r); r.how == standin.Served.String() {
			times = append(times, r.duration())
		}
	}
	if slices.Sort(times); len(times) > 0 {
		out.P50, out.P99 = times[len(times)/2], times[min(len(times)-1, len(times)*99/100)]
	}
	return out
}

// WriteJSON writes the report without the events.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// maxShown violations are printed of each checker.
const maxShown = 5

// Write prints the report as tables.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "\n%-12s %7s %7s %6s %8s %7s %6s %8s %6s %9s %9s\n", "class", "asked", "in aim", "late", "refused", "failed", "lost", "crossed", "wrong", "p50", "p99")
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%-12s %7d %6.1f%% %6d %8d %7d %6d %8d %6d %9s %9s\n", c.Class, c.Asked, 100*float64(c.InAim)/float64(max(1, c.Asked)),
			c.Late, c.Refused, c.Failed, c.Lost, c.Crossed, c.Wrong, ms(c.P50), ms(c.P99))
	}
	fmt.Fprintf(w, "\n%-10s %8s %6s\n", "checker", "looked", "found")
	for _, c := range r.Checks {
		fmt.Fprintf(w, "%-10s %8d %6d   %s\n", c.Name, c.Looked, c.Found, c.About)
	}
	shown := map[string]int{}
	for _, v := range r.Violations {
		if shown[v.Checker]++; shown[v.Checker] <= maxShown {
			fmt.Fprintf(w, "  %7.3f s  %s: %s\n", v.At.Seconds(), v.Checker, v.Text)
		}
	}
	for _, c := range r.Checks {
		if more := shown[c.Name] - maxShown; more > 0 {
			fmt.Fprintf(w, "  and %d more of %s\n", more, c.Name)
		}
	}
	if r.Settled > 0 {
		fmt.Fprintf(w, "all that ran held one settled view %v after the last fault\n", r.Settled.Round(10*time.Millisecond))
	}
	if r.Untimed {
		fmt.Fprintf(w, "The rig itself ran late, by up to %v: nothing was judged by time.\n", r.WorstLate.Round(time.Millisecond))
	} else if r.WorstLate > lateMost {
		fmt.Fprintf(w, "The rig itself ran late, by up to %v: the seconds in which it did were not judged by time.\n", r.WorstLate.Round(time.Millisecond))
	}
	if r.Sound() {
		fmt.Fprintln(w, "sound: no checker found anything")
	} else {
		var names []string
		for _, c := range r.Checks {
			if c.Found > 0 {
				names = append(names, c.Name)
			}
		}
		fmt.Fprintf(w, "NOT sound: %s\n", strings.Join(names, ", "))
	}
}

func ms(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}
