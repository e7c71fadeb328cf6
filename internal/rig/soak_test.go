package rig

import (
	"fmt"
	"path/filepath"
	"testing"

	"indigotack/internal/standin"
)

// soakSeeds are few, as each takes a quarter of a minute; rehearse --soak plays
// as many as are wanted.
var soakSeeds = []uint64{1, 2, 3, 4, 5, 6}

// TestSoak: overlapping faults of all kinds break no rule.
func TestSoak(t *testing.T) {
	for _, seed := range soakSeeds {
		p := Soak(seed)
		t.Run(p.Name, func(t *testing.T) {
			r := play(t, p, Options{Program: program(t, "faulty")})
			if !r.Sound() {
				t.Errorf("the soak is not sound; the plan:\n%s", p.Format())
			}
			if asked, _ := r.Total(); asked < 1000 {
				t.Errorf("%d requests, want a thousand and more", asked)
			}
		})
	}
}

// TestSoakPlansCanBeRead: a plan that is drawn can be kept as a file, which is
// the same plan.
func TestSoakPlansCanBeRead(t *testing.T) {
	for seed := range uint64(200) {
		p := Soak(seed)
		again, err := ParsePlan("drawn", []byte(p.Format()))
		if err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, p.Format())
		}
		if got, want := again.Format(), p.Format(); got != want {
			t.Fatalf("seed %d is read back as\n%s\nwant\n%s", seed, got, want)
		}
	}
}

// caughtBy plays a plan with the program of today, and with one that is built with a mistake, which has to break the rule on drains.
func caughtBy(t *testing.T, planFile, mistake string) {
	t.Helper()
	p, err := LoadPlan(filepath.Join("..", "..", "plans", "fleet", planFile))
	if err != nil {
		t.Fatal(err)
	}
	wantSound(t, play(t, p, Options{Program: program(t, "faulty")}))
	wrong := play(t, p, Options{Program: program(t, "faulty"), Env: func(string) []string { return []string{"INDIGOTACK_MISTAKE=" + mistake} }})
	if !wrong.Untimed && !wrong.Broke("drains") {
		t.Errorf("nodes with the mistake %s are not caught", mistake)
	}
}

// TestSilentWatches guards against nodes that are patient with watches that fall silent as servers drain.
func TestSilentWatches(t *testing.T) { caughtBy(t, "silent-watches.toml", "patient-with-watches") }

// TestLateAnswers guards against drains that are known late behind outages of the agents and answers that take up to half of the grace.
func TestLateAnswers(t *testing.T) { caughtBy(t, "late-answers.toml", "gives-up-calls") }

// TestMovesOfDiscovery guards against nodes that leave the agent they hear before the one that a new configuration names tells them anything.
func TestMovesOfDiscovery(t *testing.T) {
	caughtBy(t, "discovery-moves.toml", "leaves-discovery-early")
}

// TestSoaksDrawAnswersOfEachKind guards against manners of agents that no soak plays, and against such as no node could hear in time.
func TestSoaksDrawAnswersOfEachKind(t *testing.T) {
	drawn := map[string]bool{}
	for seed := range uint64(300) {
		p := Soak(seed)
		for _, f := range p.Faults {
			if f.What != FaultAnswers {
				continue
			}
			kind := f.Answers
			if kind.After+kind.Over > p.Servers.DrainGrace/2 {
				t.Errorf("seed %d: answers %v at a grace of %v", seed, kind, p.Servers.DrainGrace)
			}
			kind.After, kind.Over = min(kind.After, 1), min(kind.Over, 1)
			drawn[kind.String()] = true
		}
	}
	wanted := []string{"all whole after 1ns", "all whole over 1ns"}
	for _, calls := range []string{CallsAll, CallsOthers, CallsKept} {
		for _, end := range endings {
			wanted = append(wanted, calls+" "+end)
		}
	}
	for _, kind := range wanted {
		if !drawn[kind] {
			t.Errorf("no soak draws %s", kind)
		}
	}
}

// TestRestartBehindDrains: nodes that start with an old list hear of all that
// changed since in one answer, in which servers drain after other changes.
func TestRestartBehindDrains(t *testing.T) { wantSoundFile(t, "restart-behind-drains.toml") }

// TestStallBehindDrains: nodes stand still while servers drain, for longer than
// the grace, and wake among requests.
func TestStallBehindDrains(t *testing.T) { wantSoundFile(t, "stall-behind-drains.toml") }

// TestDrainedNodesLetGoOfClients guards against nodes that hold clients' connections or requests past a drain that operators order.
func TestDrainedNodesLetGoOfClients(t *testing.T) { wantSoundFile(t, "drained-by-operators.toml") }

// wantSoundFile plays a ready plan.
func wantSoundFile(t *testing.T, name string) {
	t.Helper()
	p, err := LoadPlan(filepath.Join("..", "..", "plans", "fleet", name))
	if err != nil {
		t.Fatal(err)
	}
	wantSound(t, play(t, p, Options{Program: program(t, "faulty")}))
}

// TestSoaksTellOperatorsAddressInEachForm guards against forms in which no node of any soak is told.
func TestSoaksTellOperatorsAddressInEachForm(t *testing.T) {
	told := map[string]bool{}
	for seed := range uint64(60) {
		p := Soak(seed)
		for i := range p.Nodes {
			n := &node{i: i, unit: unit{of: &fleet{plan: p}}}
			told[n.operatorsForm().Name] = true
		}
	}
	for _, form := range standin.AddressForms {
		if !told[form.Name] {
			t.Errorf("no node is told by %s", form.Name)
		}
	}
}

// TestSoaksDrawMovesOfEachKind guards against places that no soak moves a node's discovery to, and against moves without series or drains.
func TestSoaksDrawMovesOfEachKind(t *testing.T) {
	drawn, series := map[string]bool{}, 0
	for seed := range uint64(300) {
		moves := 0
		for _, f := range Soak(seed).Faults {
			if f.What == FaultMove {
				moves++
				drawn[f.Move.Place+fmt.Sprint(f.Move.Keeps > 0, f.For > 0)] = true
			}
		}
		if moves > 2 {
			series++
		}
	}
	for _, place := range placeWords {
		for _, keeps := range []bool{false, true} {
			if !drawn[place+fmt.Sprint(keeps, false)] {
				t.Errorf("no soak moves to a place that is %s, the old one learning on: %v", place, keeps)
			}
			if lasts := place != PlaceWell && place != PlaceDown; lasts && !drawn[place+fmt.Sprint(keeps, true)] {
				t.Errorf("no soak has a place that is %s for a while", place)
			}
		}
	}
	if series < 100 {
		t.Errorf("%d of 300 soaks move discovery three times, want 100", series)
	}
}
