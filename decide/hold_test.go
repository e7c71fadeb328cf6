package decide

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// stage plays a module against servers that take a stated time, one request
// after another on each of their cores.
type stage struct {
	*Module
	at                Time
	next              int
	cores             int
	crowded, crowding float64                    // requests held a core beyond which each more slows a server by this part
	takes             map[ServerID]time.Duration // negative: silent
	ends              []stageEnd
	cancels           map[RequestID]bool
	answers           map[RequestID]string
	sent              map[RequestID]ServerID
	order             []RequestID // as sent
	busy              map[ServerID][]Time
}

type stageEnd struct {
	at Time
	e  AttemptEnded
}

func newStage(s Settings, servers, cores int, takes time.Duration) *stage {
	g := &stage{Module: New(s, 1), at: time.Hour, cores: cores, takes: map[ServerID]time.Duration{}, cancels: map[RequestID]bool{},
		answers: map[RequestID]string{}, sent: map[RequestID]ServerID{}, busy: map[ServerID][]Time{}}
	var list []Server
	for i := range servers {
		list = append(list, Server{ID: ServerID(i + 1)})
		g.takes[ServerID(i+1)] = takes
		g.busy[ServerID(i+1)] = make([]Time, cores)
	}
	g.handle(ListUpdate{Kind: ListFull, Entries: list})
	return g
}

func (g *stage) handle(e Event) {
	for _, a := range g.Handle(g.at, e) {
		switch a := a.(type) {
		case Send:
			g.sent[a.ID] = a.Server
			g.order = append(g.order, a.ID)
			end := stageEnd{g.at + a.Timeout, AttemptEnded{ID: a.ID, Attempt: len(g.requests[a.ID].attempts) - 1, Server: a.Server, Code: TimedOut}}
			if takes := g.takes[a.Server]; takes >= 0 {
				cores := g.busy[a.Server]
				free := slices.Index(cores, slices.Min(cores))
				crowd := max(0, g.known[a.Server].n/float64(g.cores)-g.crowded)
				cores[free] = max(cores[free], g.at) + time.Duration(float64(takes)*(1+g.crowding*crowd))
				if cores[free] < end.at {
					end.at, end.e.Code = cores[free], OK
				}
			}
			end.e.Elapsed = end.at - g.at
			g.ends = append(g.ends, end)
		case Refuse:
			g.answers[a.ID] += "refused"
		case Fail:
			g.answers[a.ID] += "failed"
		case CancelAttempt:
			g.cancels[a.ID] = true
		}
	}
}

// ask sends one request in and gives its name.
func (g *stage) ask(class string, patience time.Duration) RequestID {
	g.next++
	id := RequestID(fmt.Sprint(class, g.next))
	g.handle(RequestArrived{ID: id, Class: class, Patience: patience})
	return id
}

// run goes on for so long, in steps of a tenth of a millisecond.
func (g *stage) run(d time.Duration, each func()) {
	for until := g.at + d; g.at < until; g.at += 100 * time.Microsecond {
		if g.at%(25*time.Millisecond) == 0 {
			g.handle(TimerFired{})
		}
		for i := 0; i < len(g.ends); i++ {
			end := g.ends[i]
			called := g.cancels[end.e.ID] && g.requests[end.e.ID] != nil
			if !called && end.at > g.at {
				continue
			}
			g.ends = slices.Delete(g.ends, i, i+1)
			i--
			if called {
				end.e.Code, end.e.Elapsed = Cancelled, g.at-g.requests[end.e.ID].arrived
			}
			end.e.Over = end.e.Code == OK
			if end.e.Over {
				g.answers[end.e.ID] += "served"
			}
			g.handle(end.e)
		}
		if each != nil {
			each()
		}
	}
}

// count counts answers of a kind.
func (g *stage) count(of string) (n int) {
	for _, a := range g.answers {
		if a == of {
			n++
		}
	}
	return n
}

func stageSettings(classes ...Class) Settings {
	return Settings{Nodes: 1, MaxAttempts: 3, MayCancel: true, ColdFrom: 0.3, ColdTime: 10 * time.Second, OverloadFactor: 3, ConnectTimeout: 100 * time.Millisecond,
		MinTick: 5 * time.Millisecond, HoldOffs: true, MaxHoldOff: time.Second, Classes: classes}
}

var pages = Class{Name: "page", Worth: 1, Aim: time.Second, Deadline: 5 * time.Second, Effect: Safe}

// TestCrowdThatLeaves: a thousand clients go in the middle of their requests.
// That is no server's silence, unless a server is silent.
func TestCrowdThatLeaves(t *testing.T) {
	for _, silent := range []bool{false, true} {
		g := newStage(stageSettings(pages), 3, 1000, 5*time.Millisecond)
		asked := 0
		steady := func() {
			if g.at%time.Millisecond == 0 {
				asked++
				g.ask("page", 5*time.Second)
			}
		}
		g.run(time.Second, steady)
		if silent {
			g.takes[3] = -1
			g.run(2*time.Second, steady)
			if !g.known[3].ejected {
				t.Fatal("the silent server is no suspect")
			}
		}
		g.run(20*time.Millisecond, nil) // no answer is under way that would tell that they live
		var crowd []RequestID
		for range 1000 {
			crowd = append(crowd, g.ask("page", 5*time.Second))
		}
		g.run(2*time.Millisecond, nil)
		for _, id := range crowd {
			g.handle(RequestAbandoned{ID: id})
		}
		g.run(200*time.Millisecond, nil)
		clear(g.answers)
		asked = 0
		g.run(100*time.Millisecond, steady)
		g.run(50*time.Millisecond, nil)
		for id := ServerID(1); id <= 3; id++ {
			if s := g.known[id]; s.cold || s.ejected != (silent && id == 3) {
				t.Errorf("silent server %v: server %d is suspect %v, cold %v", silent, id, s.ejected, s.cold)
			}
		}
		if served := g.count("served"); served < asked*97/100 {
			t.Errorf("silent server %v: %d of %d served in the 100 ms after", silent, served, asked)
		}
	}
}

// TestWaitsByWorth: with no room, requests of low worth wait for a bounded
// part of their aim, behind those with priority, and get one answer.
func TestWaitsByWorth(t *testing.T) {
	s := stageSettings(Class{Name: "top", Worth: 10, Aim: time.Second, Deadline: 2 * time.Second, Effect: Safe}, pages)
	g := newStage(s, 1, 1, 10*time.Millisecond)
	for range 200 { // what the server can do
		g.ask("page", 5*time.Second)
		g.run(12*time.Millisecond, nil)
	}
	if n := g.count("served"); n < 199 {
		t.Fatalf("%d of 200 served without a crowd", n)
	}
	g.order = nil
	g.takes[1] = -1
	g.run(500*time.Millisecond, nil) // H falls with the rate
	var line []RequestID
	for range 40 {
		line = append(line, g.ask("page", 5*time.Second))
	}
	gr := g.groups[0]
	if gr.waiting[1] == 0 {
		t.Fatal("none waits")
	}
	last := line[len(line)-1]
	g.handle(RequestAbandoned{ID: last})
	asked := g.at
	g.run(300*time.Millisecond, func() {
		if g.at-asked == 250*time.Millisecond && gr.waiting[1] > 0 {
			t.Errorf("%d still wait after 0.25 of their aim", gr.waiting[1])
		}
	})
	for _, id := range line {
		if a := g.answers[id]; a != "refused" && a != "" || id == last && a != "" {
			t.Errorf("%s: %q", id, a)
		}
	}
	if len(gr.lines[0])+len(gr.lines[1]) > 0 {
		t.Errorf("the lines keep %d and %d that are done", len(gr.lines[0]), len(gr.lines[1]))
	}
}

// TestIdleNodeRefusesNobody: a node that knows nothing yet, or only what a
// trickle told it, gets a crowd at once that its servers can well do.
func TestIdleNodeRefusesNobody(t *testing.T) {
	for _, trickle := range []bool{false, true} {
		for _, takes := range []time.Duration{100 * time.Microsecond, 5 * time.Millisecond} {
			g := newStage(stageSettings(pages), 2, 1000, takes)
			if trickle {
				for range 20 {
					g.ask("page", 5*time.Second)
					g.run(100*time.Millisecond, nil)
				}
			}
			for range 100 {
				g.ask("page", 5*time.Second)
			}
			g.run(300*time.Millisecond, nil)
			if n := g.count("refused"); n > 0 {
				t.Errorf("servers that take %v, after a trickle %v: %d of 100 refused", takes, trickle, n)
			}
		}
	}
}

// TestLineLeavesPlaces: what waits holds a place, and those that come next need one.
func TestLineLeavesPlaces(t *testing.T) {
	s := stageSettings(pages)
	for _, most := range []int{10, 100} {
		s.MaxOpen = most
		g := newStage(s, 1, 1, 300*time.Millisecond)
		for range 2 * most {
			g.ask("page", pages.Deadline)
		}
		if open := len(g.requests); float64(open) > holdOpen*float64(most)+1 || g.groups[0].inLine() == 0 {
			t.Errorf("%d of %d places taken, %d wait", open, most, g.groups[0].inLine())
		}
	}
}
