package decide

import (
	"math"
	"testing"
)

func TestNextModeEdges(t *testing.T) {
	const low, high, block = 3, 5, 9
	for _, c := range []struct {
		from Mode
		n    float64
		want Mode
	}{
		{Normal, 4, Normal}, {Normal, 5, Overloaded}, // exceeds H-1
		{Normal, 8, Overloaded}, {Normal, 9, Blocking}, // exceeds R-1
		{Overloaded, 3, Overloaded}, {Overloaded, 2, Normal}, // below L
		{Overloaded, 8, Overloaded}, {Overloaded, 9, Blocking},
		{Blocking, 6, Blocking}, {Blocking, 5, Overloaded}, // below H+1
	} {
		if got := NextMode(c.from, c.n, low, high, block); got != c.want {
			t.Errorf("from %v at n=%v: %v, want %v", c.from, c.n, got, c.want)
		}
	}
}

func TestShedSplit(t *testing.T) {
	for _, c := range []struct{ q, n1, n2, q1, q2 float64 }{
		{0.3, 50, 50, 0, 0.6},  // others suffice
		{0.5, 50, 50, 0, 1},    // exactly all others
		{0.75, 50, 50, 0.5, 1}, // priority ones too
		{1, 50, 50, 1, 1},
		{0.4, 50, 0, 0.4, 0}, // no others: q1 = q
		{0.4, 0, 50, 0, 0.4}, // no priority ones: q1 = 0
		{1, 0, 50, 0, 1},
		{0, 10, 10, 0, 0},
	} {
		q1, q2 := ShedSplit(c.q, c.n1, c.n2)
		if math.Abs(q1-c.q1) > 1e-9 || math.Abs(q2-c.q2) > 1e-9 {
			t.Errorf("q=%v N1=%v N2=%v: q1=%v q2=%v, want %v %v", c.q, c.n1, c.n2, q1, q2, c.q1, c.q2)
		}
	}
}

func TestRankIsGraded(t *testing.T) {
	if rank(12, 12) != 1 || rank(1, 12) != 0 || rank(0, 0) != 0 {
		t.Error("top worth must rank 1, a twelfth of it and nothing 0")
	}
	if r := rank(5, 10); r < 0.4 || r > 0.5 {
		t.Errorf("half the top worth ranks %v", r)
	}
}
