package decide

import (
	"testing"
	"time"
)

// fails has a request answered by the module's first send with an outcome, and
// returns the server; 0 if none was sent.
func fails(m *Module, at Time, id int, code OutcomeCode) ServerID {
	for _, a := range arrive(m, at, id) {
		if s, ok := a.(Send); ok {
			m.Handle(at, AttemptEnded{ID: s.ID, Server: s.Server, Code: code, Elapsed: time.Millisecond})
			return s.Server
		}
	}
	return 0
}

// TestOnlyServerOutOfReachIsTriedAgain: with no other server, one that the
// network kept out of reach is sent the very next request, whatever its effect,
// and is not taken for restarted when it answers.
func TestOnlyServerOutOfReachIsTriedAgain(t *testing.T) {
	for _, effect := range []Effect{Unsafe, Safe} {
		m := oneServer(effect)
		at := Time(time.Hour)
		for i := range 20 {
			at += time.Millisecond
			if fails(m, at, i, Unreachable) != 1 {
				t.Errorf("effect %v: request %d is not sent", effect, i)
			}
		}
		if !m.known[1].ejected || m.known[1].nextProbeWait != firstProbeWait {
			t.Errorf("effect %v: suspect %v, next trial after %v", effect, m.known[1].ejected, m.known[1].nextProbeWait)
		}
		if fails(m, at, 100, OK) != 1 || m.known[1].ejected || m.known[1].cold {
			t.Errorf("effect %v: after an answer suspect %v, cold %v", effect, m.known[1].ejected, m.known[1].cold)
		}
	}
}

// TestServerOutOfReachIsAvoided: beside others it gets trial requests alone, and
// a failure of its own then counts like any other.
func TestServerOutOfReachIsAvoided(t *testing.T) {
	m := oneServer(Safe)
	m.Handle(time.Hour, ListUpdate{Kind: ListChanges, Entries: []Server{{ID: 2}}})
	at := Time(time.Hour)
	outcome := map[ServerID]OutcomeCode{1: Unreachable, 2: OK}
	sent := map[ServerID]int{}
	for i := range 1000 {
		at += 10 * time.Millisecond
		for todo := arrive(m, at, i); len(todo) > 0; todo = todo[1:] {
			if s, ok := todo[0].(Send); ok {
				sent[s.Server]++
				attempt := len(m.requests[s.ID].attempts) - 1
				todo = append(todo, m.Handle(at, AttemptEnded{ID: s.ID, Attempt: attempt, Server: s.Server, Code: outcome[s.Server], Elapsed: time.Millisecond})...)
			}
		}
	}
	if n := sent[1]; n < ejectAt+5 || n > ejectAt+50 { // a trial each half second, give or take half
		t.Errorf("%d requests in 10 s at a server out of reach, %d at the other", n, sent[2])
	}
	s := m.known[1]
	if !s.unreachable {
		t.Fatal("the server is not taken for out of reach")
	}
	m.recordFailure(s, ConnectFailed, false)
	if s.unreachable || !s.ejected {
		t.Errorf("after a failure of its own: suspect %v, out of reach alone %v", s.ejected, s.unreachable)
	}
}

// TestLastResortIsTriedEachSecond: with every server ejected, connects to one of
// them are made each second, however long they have failed: there is nobody else
// to send to, and a refused connect does no harm.
func TestLastResortIsTriedEachSecond(t *testing.T) {
	m := oneServer(Safe)
	at, last, worst := Time(time.Hour), Time(time.Hour), time.Duration(0)
	for i := range 1500 {
		at += 20 * time.Millisecond
		if fails(m, at, i, ConnectFailed) == 1 {
			worst, last = max(worst, at-last), at
		}
	}
	if worst = max(worst, at-last); worst > 1100*time.Millisecond {
		t.Errorf("the only server is not tried for %v", worst)
	}
}
