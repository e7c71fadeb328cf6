package rig

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestPlansReadBack: a plan that was written is read as the same one, and has the same timetable.
func TestPlansReadBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := Random(rapid.Uint64Range(1, 1<<40).Draw(rt, "seed"))
		text := p.Format()
		q, err := ParsePlan("plan", []byte(text))
		if err != nil {
			rt.Fatalf("%v\n%s", err, text)
		}
		if again := q.Format(); again != text {
			rt.Fatalf("read back and written again it is\n%s\nwant\n%s", again, text)
		}
		if a, b := fmt.Sprint(p.Timetable()), fmt.Sprint(q.Timetable()); a != b || !reflect.DeepEqual(Random(p.Seed), p) {
			rt.Fatalf("timetables differ: %s and %s", a, b)
		}
		last := time.Duration(0)
		for _, s := range p.Timetable() {
			if s.At < last {
				rt.Fatalf("%v comes after %v", s, last)
			}
			last = s.At
		}
	})
}

// TestMistakesInPlans: each mistake of testdata/bad.txt is told with its place and what is wanted.
func TestMistakesInPlans(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "bad.txt"))
	if err != nil {
		t.Fatal(err)
	}
	for _, one := range strings.Split(string(text), "---\n") {
		body, want, ok := strings.Cut(one, "=>\n")
		if !ok {
			t.Fatalf("%q has no =>", one)
		}
		got := "sound"
		if _, err := ParsePlan("p", []byte(body)); err != nil {
			got = err.Error()
		}
		if got != strings.TrimSpace(want) {
			t.Errorf("%s\nis told as\n%s\nwant\n%s", body, got, want)
		}
	}
}

// TestReadyPlans: the plans for operators are sound, and what they say has steps.
func TestReadyPlans(t *testing.T) {
	paths, err := filepath.Glob("../../plans/fleet/*.toml")
	if err != nil || len(paths) < 6 {
		t.Fatalf("%d plans, %v, want six", len(paths), err)
	}
	for _, path := range paths {
		p, err := LoadPlan(path)
		if err != nil {
			t.Error(err)
		} else if len(p.Timetable()) == 0 {
			t.Errorf("%s does nothing", path)
		}
	}
}

// TestConditionsOfFaults: which links a fault concerns, and in which direction.
func TestConditionsOfFaults(t *testing.T) {
	p := defaults()
	p.Classes, p.Nodes, p.Servers.Count, p.Zones = defaultClasses(), 3, 3, []string{"a", "b", "c"}
	drop := Condition{Drop: true}
	for name, one := range map[string]struct {
		f    Fault
		want []string
	}{
		"one link":                           {Fault{What: FaultLink, Between: [2]string{"n0", "s1"}, Condition: drop}, []string{"n0>s1", "s1>n0"}},
		"one way":                            {Fault{What: FaultLink, Between: [2]string{"n0", "s1"}, Only: "there", Condition: drop}, []string{"n0>s1"}},
		"one way, named the other way round": {Fault{What: FaultLink, Between: [2]string{"s1", "n0"}, Only: "there", Condition: drop}, []string{"s1>n0"}},
		"two nodes, one way":                 {Fault{What: FaultLink, Between: [2]string{"n2", "n1"}, Only: "there", Condition: drop}, []string{"n2>n1"}},
		"halves":                             {Fault{What: FaultPartition, Groups: [][]string{{"n0", "s0"}, {"n1", "s1"}}}, []string{"n0>n1", "n0>s1", "n1>n0", "n1>s0", "s0>n1", "s1>n0"}},
		"halves, one way":                    {Fault{What: FaultPartition, OneWay: true, Groups: [][]string{{"n0"}, {"n1", "s1"}}}, []string{"n0>n1", "n0>s1"}},
		"a bridge sees both":                 {Fault{What: FaultPartition, Groups: [][]string{{"n0", "n2"}, {"n1", "n2"}}}, []string{"n0>n1", "n1>n0"}},
		"a zone":                             {Fault{What: FaultPartition, Groups: [][]string{{"@a"}, {"n1"}}}, []string{"n0>n1", "n1>n0", "n1>s0", "s0>n1"}},
	} {
		var got []string
		for _, from := range p.ends() {
			for _, to := range p.ends() {
				for _, l := range p.links() {
					c := p.conditions(&one.f, l)
					if l == [2]string{from, to} && c[there].Drop || l == [2]string{to, from} && c[back].Drop {
						got = append(got, from+">"+to)
					}
				}
			}
		}
		if strings.Join(got, " ") != strings.Join(one.want, " ") {
			t.Errorf("%s: drops %v, want %v", name, got, one.want)
		}
	}
}

// TestShrink finds the one fault of several that matters, and no longer than it must be.
func TestShrink(t *testing.T) {
	for seed := range uint64(50) {
		p := Random(seed + 1)
		p.Faults = append(p.Faults, Fault{What: FaultStop, At: time.Second, For: 2 * time.Second, Targets: []string{"n0"}})
		fails := func(p *Plan) bool {
			for _, f := range p.Faults {
				if f.What == FaultStop && f.Targets[0] == "n0" && f.For >= 500*time.Millisecond {
					return true
				}
			}
			return false
		}
		small, played := Shrink(t.Context(), p, 200, fails)
		if len(small.Faults) != 1 || small.Faults[0].For >= time.Second || small.Nodes != 1 || !small.holds() || played > 200 {
			t.Errorf("seed %d: %d plays leave\n%s", seed, played, small.Format())
		}
	}
}

// FuzzPlan: no text makes the reader fail in any other way than with places of mistakes.
func FuzzPlan(f *testing.F) {
	f.Add(Random(1).Format())
	f.Add("[[fault]]\nwhat = \"kill\"\n")
	f.Fuzz(func(t *testing.T, text string) {
		if p, err := ParsePlan("p", []byte(text)); err == nil {
			p.Timetable()
		} else if !strings.HasPrefix(err.Error(), "p:") {
			t.Errorf("%v has no place", err)
		}
	})
}
