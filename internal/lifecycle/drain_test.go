package lifecycle

import (
	"testing"
	"time"
)

var drainPlan = ShutdownPlan{Accept: time.Second, Close: 2 * time.Second, Answer: 3 * time.Second, Refuse: 4 * time.Second, End: 5 * time.Second}

// TestDrainIsOverByItsBound guards against connections and requests that a drained node holds past its time.
func TestDrainIsOverByItsBound(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	var n Node
	n.SetReady(true)
	if n.Drain(at(10), at(10), "someone", drainPlan) == nil || n.Phase(at(10)) != Drained {
		t.Fatalf("phase %v, want drained", n.Phase(at(10)))
	}
	if n.Drain(at(12), at(12), "another", drainPlan) != nil || n.Drained().By != "someone" {
		t.Error("a second order begins another drain")
	}
	for _, c := range []struct {
		now, accepted float64
		want          Phase
	}{
		{10, 9, Closing}, {12.9, 9, Closing}, {13, 9, Expired}, {14, 9, Refusing}, {15, 9, Ended},
		{10, 10, Closing}, {10.2, 10, Closing}, {10.25, 10, Refusing}, {10.4, 10, Ended},
		{20, 20, Closing}, {20.25, 20, Refusing}, {20.4, 20, Ended}, {20, 9, Ended},
	} {
		if got := n.ConnectionPhase(at(c.now), at(c.accepted)); got != c.want {
			t.Errorf("at %v a connection accepted at %v is %v, want %v", c.now, c.accepted, got, c.want)
		}
	}
	for deadline, want := range map[float64]float64{12: 12, 30: 13} {
		if got := n.AnswerBy(at(deadline)); !got.Equal(at(want)) {
			t.Errorf("a request of %v has to be answered by %v, want %v", deadline, got.Sub(start), want)
		}
	}
	if !n.MayOpen(at(9)) || n.MayOpen(at(10)) || n.MayOpen(at(30)) {
		t.Error("a drained node opens requests of connections that came after the order, or none of before")
	}
	ended, denied := n.Resume(at(20))
	if ended == nil || denied || n.Phase(at(20)) != Ready || !n.MayOpen(at(20)) || n.ConnectionPhase(at(20), at(9)) != Ready {
		t.Errorf("after a resume: %v, %v, phase %v", ended, denied, n.Phase(at(20)))
	}
	if got := n.AnswerBy(at(30)); !got.Equal(at(30)) {
		t.Errorf("after a resume a request of 30 has to be answered by %v", got.Sub(start))
	}
}

// TestTerminationGoesBeforeDrain guards against a stopped node that serves again, or that holds what its drain had to end.
func TestTerminationGoesBeforeDrain(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	var n Node
	n.SetReady(true)
	n.Drain(at(10), at(10), "someone", drainPlan)
	n.Terminate(at(12), drainPlan)
	if got := n.Phase(at(12)); got != Draining {
		t.Errorf("phase %v, want draining", got)
	}
	if ended, denied := n.Resume(at(13)); ended != nil || !denied {
		t.Errorf("a resume after the termination signal: %v, %v, want it denied", ended, denied)
	}
	if n.MayOpen(at(11)) {
		t.Error("a node that was drained takes requests again as it is told to end")
	}
	if got := n.AnswerBy(at(30)); !got.Equal(at(13)) {
		t.Errorf("answers by %v, want 13 s, the earlier of both", got.Sub(start))
	}
	if got := n.ConnectionPhase(at(15), at(9)); got != Ended {
		t.Errorf("past the drain's bound a connection of before is %v, want ended", got)
	}
	var stopped Node
	stopped.Terminate(at(0), drainPlan)
	if stopped.Drain(at(1), at(1), "someone", drainPlan) != nil {
		t.Error("a node that was told to end begins a drain")
	}
}

// TestOrdersInTheOrderInWhichTheyCame guards against a node that wakes to a drain and a resume and stays drained.
func TestOrdersInTheOrderInWhichTheyCame(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var n Node
	n.SetReady(true)
	n.Resume(at(100))
	if n.Drain(at(80), at(80), "someone", drainPlan) != nil {
		t.Error("a drain that came before the resume is carried out behind it")
	}
	if n.Drain(at(95), at(95), "someone", drainPlan) == nil {
		t.Error("a drain within the kernel's ticks of the resume is passed over")
	}
	n.Drain(at(300), at(300), "someone", drainPlan)
	if ended, _ := n.Resume(at(200)); ended != nil {
		t.Error("a resume that came before a second order to drain is carried out behind it")
	}
	if ended, _ := n.Resume(at(301)); ended == nil || n.Phase(at(301)) != Ready {
		t.Error("the last resume does not end the drain")
	}
}

// TestCallInPiecesHasTime guards against an operator's call that a drained node ends as it comes in pieces, and against one that is held past the bound of what was there before.
func TestCallInPiecesHasTime(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	var n Node
	n.SetReady(true)
	n.Drain(at(10), at(10), "someone", drainPlan)
	for _, c := range []struct {
		now, accepted float64
		want          Phase
	}{{12.9, 11, Closing}, {13, 11, Refusing}, {13.1, 11, Ended}, {15, 9, Ended}} {
		if got := n.CallPhase(at(c.now), at(c.accepted)); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

// TestMayCut guards against an answer that a connection's cut overtakes.
func TestMayCut(t *testing.T) {
	for _, c := range []struct {
		sinceDue, sinceOver time.Duration
		owed                bool
		want                bool
	}{{0, 0, false, false}, {writeTime, 0, false, false}, {0, refuseTime, false, true}, {refuseTime, writeTime, true, false}, {writeTime, refuseTime, true, true}} {
		if got := MayCut(c.sinceDue, c.sinceOver, c.owed); got != c.want {
			t.Errorf("%+v: %v, want %v", c, got, c.want)
		}
	}
}

// TestTakenBeforeTheOrderIsRead guards against a request that is ended as a newcomer's, as it came behind the order and was taken before the drain.
func TestTakenBeforeTheOrderIsRead(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	var n Node
	n.SetReady(true)
	n.Drain(at(10), at(10.5), "someone", drainPlan)
	if !n.MayOpen(at(10.2)) || n.MayOpen(at(10.5)) {
		t.Error("who may be served goes by when the order came, and not by when it was carried out")
	}
	if got := n.ConnectionPhase(at(10.6), at(10.2)); got != Closing {
		t.Errorf("a connection of before is %v, want closing", got)
	}
	if got := n.ConnectionPhase(at(15), at(10.2)); got != Ended {
		t.Errorf("at the bound of the order it is %v, want ended", got)
	}
}
