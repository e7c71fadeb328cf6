package demo

import (
	"context"
	"strings"
	"testing"
	"time"
)

// TestDemo: a short run with a light load, through all its troubles, breaks no
// rule, and every request has its answer.
func TestDemo(t *testing.T) {
	var progress int
	r, err := Run(context.Background(), Options{Duration: 4 * time.Second, Rate: 60, Seed: 3, Progress: func(Progress) { progress++ }})
	if err != nil {
		t.Fatal(err)
	}
	if !r.Sound() {
		t.Errorf("rules broken: %v", r.Told)
	}
	if len(r.Events) != len(timetable) || progress == 0 {
		t.Errorf("events %v, %d times progress", r.Events, progress)
	}
	asked, ended := 0, 0
	for _, c := range r.Classes {
		asked += c.Asked
		ended += c.InAim + c.Late + c.Refused + c.Failed
	}
	if asked < 100 || asked != ended {
		t.Errorf("%d asked, %d ended", asked, ended)
	}
	if r.Checked[0] != asked || r.Checked[2] == 0 {
		t.Errorf("checked %v", r.Checked)
	}
	var b strings.Builder
	r.Write(&b)
	for _, want := range []string{"saldo", "web-14", "exactly one final answer", "web-08 is killed"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("the report lacks %q:\n%s", want, b.String())
		}
	}
}

func TestStopsEarly(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	r, err := Run(ctx, Options{Duration: time.Hour, Rate: 20, Seed: 3, Progress: func(Progress) { cancel() }})
	if err != context.Canceled || r == nil {
		t.Errorf("ends with %v", err)
	}
}

// TestBrokenRuleIsNotSound: a report with a broken rule is not sound.
func TestBrokenRuleIsNotSound(t *testing.T) {
	if (&Report{Broken: []int{0, 0, 1, 0}}).Sound() || !(&Report{Broken: []int{0, 0, 0, 0}}).Sound() {
		t.Error("a report judges wrongly")
	}
}
