package decide

import (
	"fmt"
	"testing"
	"time"
)

func oneServer(effect Effect) *Module {
	m := New(Settings{Nodes: 1, MaxAttempts: 3, ColdFrom: 0.3, ColdTime: time.Second, OverloadFactor: 3, ConnectTimeout: 100 * time.Millisecond,
		Classes: []Class{{Name: "page", Worth: 1, Aim: time.Second, Deadline: 2 * time.Second, Effect: effect}}}, 1)
	m.Handle(time.Hour, ListUpdate{Kind: ListFull, Entries: []Server{{ID: 1}}})
	return m
}

func arrive(m *Module, at Time, id int) []Action {
	return m.Handle(at, RequestArrived{ID: RequestID(fmt.Sprint(id)), Class: "page", Patience: 2 * time.Second})
}

// TestSuspectAloneIsFoundWell: where all servers are suspects even requests
// that can't be repeated try them out. Otherwise a service of such requests
// alone would never again be served by a server that failed for a moment.
func TestSuspectAloneIsFoundWell(t *testing.T) {
	for _, effect := range []Effect{Unsafe, Safe} {
		m := oneServer(effect)
		at := Time(time.Hour)
		m.eject(m.known[1], "test")
		sent := 0
		for i := range 100 {
			at += 100 * time.Millisecond
			for _, a := range arrive(m, at, i) {
				if s, ok := a.(Send); ok {
					sent++
					if effect == Unsafe && s.Timeout != 2*time.Second {
						t.Errorf("a trial that can't be repeated may take %v", s.Timeout)
					}
					m.Handle(at, AttemptEnded{ID: s.ID, Server: 1, Code: Reset})
				}
			}
		}
		// Trials wait longer and longer: 0.5, 1, 2 and then 4 s, give or take half.
		if sent < 2 || sent > 8 {
			t.Errorf("effect %v: %d trials in 10 s", effect, sent)
		}
		at += 10 * time.Second
		for _, a := range arrive(m, at, 1000) {
			if s, ok := a.(Send); ok {
				m.Handle(at, AttemptEnded{ID: s.ID, Server: 1, Code: OK, Elapsed: time.Millisecond})
			}
		}
		if m.known[1].ejected {
			t.Errorf("effect %v: still suspect after an answer", effect)
		}
	}
}

// TestUnsafeTriesNoSuspectBesideOthers: with any other server there it never runs the risk.
func TestUnsafeTriesNoSuspectBesideOthers(t *testing.T) {
	m := oneServer(Unsafe)
	m.Handle(time.Hour, ListUpdate{Kind: ListChanges, Entries: []Server{{ID: 2}}})
	m.eject(m.known[1], "test")
	at := Time(time.Hour)
	for i := range 200 {
		at += 50 * time.Millisecond
		for _, a := range arrive(m, at, i) {
			if s, ok := a.(Send); ok {
				if s.Server == 1 {
					t.Fatal("an unsafe request goes to a suspect")
				}
				m.Handle(at, AttemptEnded{ID: s.ID, Server: s.Server, Code: OK, Elapsed: time.Millisecond})
			}
		}
	}
}

// TestBadPageIsNoBadServer: errors that a server words itself make a suspect
// only in a long row; breaks do at once.
func TestBadPageIsNoBadServer(t *testing.T) {
	for _, c := range []struct {
		code        OutcomeCode
		word        bool
		least, most int
	}{{ServerError, true, 9, 20}, {ServerError, false, 3, 3}, {Reset, false, 2, 2}} {
		m := oneServer(Unsafe)
		at, row := Time(time.Hour), 0
		for ; row < 50 && !m.known[1].ejected; row++ {
			at += 100 * time.Millisecond
			for _, a := range arrive(m, at, row) {
				if s, ok := a.(Send); ok {
					m.Handle(at, AttemptEnded{ID: s.ID, Server: 1, Code: c.code, Word: c.word, Elapsed: time.Millisecond})
				}
			}
		}
		if row < c.least || row > c.most {
			t.Errorf("outcome %v, worded %v: a suspect after %d, want %d to %d", c.code, c.word, row, c.least, c.most)
		}
	}
}

// TestSettingsChangedKeepsWhatWasLearned: servers, classes and tenants that
// stay are known as before, and a request in hand keeps its class.
func TestSettingsChangedKeepsWhatWasLearned(t *testing.T) {
	m := oneServer(Safe)
	at := Time(time.Hour)
	for i := range 20 {
		at += 20 * time.Millisecond
		for _, a := range arrive(m, at, i) {
			if s, ok := a.(Send); ok {
				m.Handle(at, AttemptEnded{ID: s.ID, Server: 1, Code: OK, Elapsed: 10 * time.Millisecond})
			}
		}
	}
	arrive(m, at, 100)
	mean, count, before := m.mean, m.classes["page"].count, m.requests["100"].class
	next := m.set
	next.MaxAttempts = 1
	next.Classes = []Class{{Name: "page", Worth: 2, Aim: time.Second, Deadline: time.Second, Effect: Unsafe}, {Name: "other", Worth: 9}}
	next.Tenants = []Tenant{{Name: "t", Quota: 3}}
	m.Handle(at, SettingsChanged{Settings: next})
	page := m.classes["page"]
	if m.mean != mean || page.count != count || page.Effect != Unsafe || len(m.ring) != 1 || m.groups[0].top != 9 || m.tenants["t"] == nil {
		t.Errorf("mean %v, count %v, class %+v, list %v, top %v", m.mean, page.count, page.Class, m.ring, m.groups[0].top)
	}
	if r := m.requests["100"]; r.class != before || r.class.Effect != Safe || r.most != 3 {
		t.Errorf("the request in hand has class %+v, %d attempts", r.class.Class, r.most)
	}
	if got := arrive(m, at, 101); len(got) != 1 {
		t.Errorf("afterwards: %v", got)
	}
}
