package lifecycle

import (
	"testing"
	"time"
)

var drainPlan = ShutdownPlan{Accept: time.Second, Close: 2 * time.Second, Answer: 3 * time.Second, Refuse: 4 * time.Second, End: 5 * time.Second}

// second is so many seconds after zero.
func second(n float64) time.Time { return at(time.Duration(n * float64(time.Second))) }

// order is one that came so many seconds after zero, as far as a kernel with 200 ticks a second tells.
func order(n float64) Order { return Order{Came: second(n), Slack: 5 * time.Millisecond} }

// drainedNode is a ready node that was drained by an order that came then, and was carried out a while later.
func drainedNode(came, carriedOut float64) *Node {
	n := &Node{}
	n.SetReady(true)
	n.Drain(order(came), second(carriedOut), "someone", drainPlan)
	return n
}

// TestDrainIsOverByItsBound guards against connections and requests that a drained node holds past its time.
func TestDrainIsOverByItsBound(t *testing.T) {
	var n Node
	n.SetReady(true)
	if n.Drain(order(10), second(10), "someone", drainPlan) == nil || n.Phase(second(10)) != Drained {
		t.Fatalf("phase %v, want drained", n.Phase(second(10)))
	}
	if n.Drain(order(12), second(12), "another", drainPlan) != nil || n.Drained().By != "someone" {
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
		if got := n.ConnectionPhase(second(c.now), second(c.accepted)); got != c.want {
			t.Errorf("at %v a connection accepted at %v is %v, want %v", c.now, c.accepted, got, c.want)
		}
	}
	for deadline, want := range map[float64]float64{12: 12, 30: 13} {
		if got := n.AnswerBy(second(deadline)); !got.Equal(second(want)) {
			t.Errorf("a request of %v has to be answered by %v, want %v", deadline, got.Sub(zero), want)
		}
	}
	if !n.MayOpen(second(9)) || n.MayOpen(second(10)) || n.MayOpen(second(30)) {
		t.Error("a drained node opens requests of connections that came after the order, or none of before")
	}
	ended, denied := n.Resume(order(20))
	if ended == nil || denied || n.Phase(second(20)) != Ready || !n.MayOpen(second(20)) || n.ConnectionPhase(second(20), second(9)) != Ready {
		t.Errorf("after a resume: %v, %v, phase %v", ended, denied, n.Phase(second(20)))
	}
	if got := n.AnswerBy(second(30)); !got.Equal(second(30)) {
		t.Errorf("after a resume a request of 30 has to be answered by %v", got.Sub(zero))
	}
}

// TestTerminationGoesBeforeDrain guards against a stopped node that serves again, or that holds what its drain had to end.
func TestTerminationGoesBeforeDrain(t *testing.T) {
	n := drainedNode(10, 10)
	n.Terminate(second(12), drainPlan)
	if got := n.Phase(second(12)); got != Draining {
		t.Errorf("phase %v, want draining", got)
	}
	if ended, denied := n.Resume(order(13)); ended != nil || !denied {
		t.Errorf("a resume after the termination signal: %v, %v, want it denied", ended, denied)
	}
	if n.MayOpen(second(11)) {
		t.Error("a node that was drained takes requests again as it is told to end")
	}
	if got := n.AnswerBy(second(30)); !got.Equal(second(13)) {
		t.Errorf("answers by %v, want 13 s, the earlier of both", got.Sub(zero))
	}
	if got := n.ConnectionPhase(second(15), second(9)); got != Ended {
		t.Errorf("past the drain's bound a connection of before is %v, want ended", got)
	}
	var stopped Node
	stopped.Terminate(second(0), drainPlan)
	if stopped.Drain(order(1), second(1), "someone", drainPlan) != nil {
		t.Error("a node that was told to end begins a drain")
	}
}

// TestDrainOrderedBeforeTheTerminationSignalCounts guards against clients held past a drain's bound by a node that wakes to both and reads the signal first.
func TestDrainOrderedBeforeTheTerminationSignalCounts(t *testing.T) {
	var n Node
	n.SetReady(true)
	n.Terminate(second(12), drainPlan)
	if n.Drain(order(10), second(12.1), "someone", drainPlan) == nil {
		t.Error("the drain is passed over")
	}
	if got := n.ConnectionPhase(second(15), second(9)); got != Ended {
		t.Errorf("past the drain's bound a connection of before is %v, want ended", got)
	}
	if got := n.Phase(second(12.1)); got != Draining {
		t.Errorf("phase %v, want draining", got)
	}
}

// TestOrdersInTheOrderInWhichTheyCame guards against a node that wakes to a drain and a resume and stays drained.
func TestOrdersInTheOrderInWhichTheyCame(t *testing.T) {
	var n Node
	n.SetReady(true)
	n.Resume(order(0.1))
	if n.Drain(order(0.08), second(0.08), "someone", drainPlan) != nil {
		t.Error("a drain that came before the resume is carried out behind it")
	}
	if n.Drain(order(0.095), second(0.095), "someone", drainPlan) == nil {
		t.Error("a drain within the kernel's ticks of the resume is passed over")
	}
	n.Drain(order(0.3), second(0.3), "someone", drainPlan)
	if ended, _ := n.Resume(order(0.2)); ended != nil {
		t.Error("a resume that came before a second order to drain is carried out behind it")
	}
	if ended, _ := n.Resume(order(0.301)); ended == nil || n.Phase(second(0.301)) != Ready {
		t.Error("the last resume does not end the drain")
	}
}

// TestOrdersOfOneTickInTheOrderOfTheirConnections guards against a drain that is carried out behind the resume that followed it within a tick of the kernel.
func TestOrdersOfOneTickInTheOrderOfTheirConnections(t *testing.T) {
	accepted := func(queue any, n float64) Order {
		return Order{Came: second(1), Slack: time.Second, Queue: queue, Accepted: second(n)}
	}
	for _, c := range []struct {
		name          string
		first, second Order
		overtaken     bool
	}{
		{"drain's connection before", accepted(1, 0.2), accepted(1, 0.1), true},
		{"drain's connection behind", accepted(1, 0.1), accepted(1, 0.2), false},
		{"of two listeners", accepted(1, 0.2), accepted(2, 0.1), false},
		{"connection long before its order", accepted(1, 0.2), Order{Came: second(1), Slack: time.Second}, false},
		{"by the time, though not by the connections", Order{Came: second(5), Queue: 1, Accepted: second(0.1)}, accepted(1, 0.2), true},
	} {
		var n Node
		n.SetReady(true)
		n.Resume(c.first)
		if drained := n.Drain(c.second, second(6), "someone", drainPlan) != nil; drained == c.overtaken {
			t.Errorf("%s: drained %v behind the resume", c.name, drained)
		}
	}
}

// TestCallInPiecesHasTime guards against an operator's call that a drained node ends as it comes in pieces, and against one that is held past the bound of what was there before.
func TestCallInPiecesHasTime(t *testing.T) {
	n := drainedNode(10, 10)
	for _, c := range []struct {
		now, accepted float64
		want          Phase
	}{{12.9, 11, Closing}, {13, 11, Refusing}, {13.1, 11, Ended}, {15, 9, Ended}} {
		if got := n.CallPhase(second(c.now), second(c.accepted)); got != c.want {
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
	n := drainedNode(10, 10.5)
	if !n.MayOpen(second(10.2)) || n.MayOpen(second(10.5)) {
		t.Error("who may be served goes by when the order came, and not by when it was carried out")
	}
	if got := n.ConnectionPhase(second(10.6), second(10.2)); got != Closing {
		t.Errorf("a connection of before is %v, want closing", got)
	}
	if got := n.ConnectionPhase(second(15), second(10.2)); got != Ended {
		t.Errorf("at the bound of the order it is %v, want ended", got)
	}
}
