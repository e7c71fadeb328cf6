package discovery

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"indigotack/internal/standin"
)

// place is how a discovery is to which a node is moved, whose address is its name.
type place struct {
	name    string
	manner  standin.Manner
	refuses bool
	blank   bool
	until   time.Duration // from the first move on; 0: for good
}

// places are those that have told no list, or none that is owed, after the time, and one that is well.
var places = []place{
	{name: "well"},
	{name: "refuses", refuses: true},
	{name: "refuses for a while", refuses: true, until: 900 * time.Millisecond},
	{name: "blank", blank: true},
	{name: "blank for a while", blank: true, until: 900 * time.Millisecond},
	{name: "silent", manner: standin.Manner{End: standin.Silent}},
	{name: "stops in the body", manner: standin.Manner{End: standin.StopsInBody}},
	{name: "resets", manner: standin.Manner{End: standin.Reset}},
	{name: "unavailable", manner: standin.Manner{End: standin.Unavailable}},
}

// sourcesUnderTest is a node's sources in a bubble of fake time, among agents by their addresses.
type sourcesUnderTest struct {
	*Sources
	mu      sync.Mutex // the owner's
	agents  map[string]*fakeAgent
	known   map[string]Entry
	drained time.Time // known
}

func (s *sourcesUnderTest) act(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func newSourcesUnderTest(from Source, grace time.Duration, all ...place) *sourcesUnderTest {
	s := &sourcesUnderTest{agents: map[string]*fakeAgent{}, known: map[string]Entry{}}
	s.Sources = NewSources("first", from, PlanTimes(from, grace), 0, quiet, &recorded{}, Owner{
		Act:   s.act,
		Known: func() map[string]Entry { return s.known },
		List: func(l List) {
			if l.Snapshot {
				clear(s.known)
			}
			for _, e := range l.Entries {
				if s.known[e.Name] = e; e.Status == "draining" && s.drained.IsZero() {
					s.drained = time.Now()
				}
			}
		},
		Failed:     func() { time.AfterFunc(moduleWait, func() { s.act(func() { s.Ask(s.ctx, false, true) }) }) },
		CallFailed: func(error) {},
	})
	s.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, _ := net.SplitHostPort(address)
		return s.agents[host].dial(ctx, network, address)
	}
	for _, p := range append(all, place{name: "first"}) {
		if s.agents[p.name] == nil {
			s.agents[p.name] = newFakeAgent()
			s.set(p)
		}
	}
	s.Sources.address = "first:1"
	first := s.inUse()
	first.address, first.caller = "first:1", newCallerBy("first:1", s.dial, func(string) {})
	return s
}

// set has an agent be as a place is.
func (s *sourcesUnderTest) set(p place) {
	a := s.agents[p.name]
	a.behave(p.manner)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refuses, a.blank = p.refuses, p.blank
}

func (s *sourcesUnderTest) move(to string) { s.act(func() { s.Move(to + ":1") }) }

// closeAgents ends all agents, and waits for what is left of the bubble.
func (s *sourcesUnderTest) closeAgents() {
	for _, a := range s.agents {
		a.server.Close()
	}
	time.Sleep(time.Minute)
	synctest.Wait()
}

// calls are how many calls are open in all.
func (s *sourcesUnderTest) calls() (open int) {
	for _, a := range s.agents {
		a.mu.Lock()
		open += a.open
		a.mu.Unlock()
	}
	return open
}

// TestListOfSourceThatWasLeftIsNotTaken guards against a late list of a discovery that was left and passes for one of the next.
func TestListOfSourceThatWasLeftIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSourcesUnderTest(Server, testGrace, place{name: "silent", manner: standin.Manner{End: standin.Silent}})
		ctx, cancel := context.WithCancel(t.Context())
		s.act(func() { s.Start(ctx) })
		time.Sleep(testGrace)
		before := s.inUse()
		s.act(s.Leave)
		s.move("silent")
		before.sink.List(List{Index: 9, Snapshot: true, Entries: entriesOf("x")})
		s.act(func() {
			if _, taken := s.known["x"]; taken || len(s.known) != 1 {
				t.Errorf("the servers are %v, want those before", s.known)
			}
			s.Leave()
		})
		cancel()
		s.closeAgents()
	})
}

// TestDrainIsKnownInSeriesOfMoves guards against nodes that are blind after several moves, each to a discovery that tells nothing.
func TestDrainIsKnownInSeriesOfMoves(t *testing.T) {
	for _, from := range []Source{Agent, Server, Asked} {
		for _, grace := range []time.Duration{50 * time.Millisecond, 2 * time.Second, 20 * time.Second} {
			if from != Agent && grace != 2*time.Second {
				continue // their times hardly depend on the grace
			}
			t.Run(fmt.Sprintf("%d/%v", from, grace), func(t *testing.T) {
				t.Parallel()
				longest, ways, most := time.Duration(0), 0, 0
				for _, one := range places {
					for _, other := range []place{places[0], places[1], places[3], places[5]} {
						for _, apart := range []time.Duration{50 * time.Millisecond, 2 * time.Second} {
							for _, drain := range []time.Duration{apart * 3 / 2, apart * 7 / 2} {
								took, open := playMoves(t, from, grace, one, other, apart, drain)
								ways, longest, most = ways+1, max(longest, took), max(most, open)
								allowed := grace + graceSlack
								if from != Agent {
									allowed += lateTold
								}
								if took > allowed {
									t.Errorf("%s, %v later %s, then back: a drain %v behind the first move is known after %v, want %v", one.name, apart, other.name, drain, took, allowed)
								}
								if from == Agent && open > mostAgentCalls {
									t.Errorf("%s, %v later %s: %d calls were open, want %d", one.name, apart, other.name, open, mostAgentCalls)
								}
							}
						}
					}
				}
				t.Logf("%d ways, known after %v at most, %d calls open at most", ways, longest, most)
			})
		}
	}
}

// playMoves moves discovery to one place, to another and back to the first one, and gives after what time a
// drain was known, and how many calls were open at once.
func playMoves(t *testing.T, from Source, grace time.Duration, one, other place, apart, drain time.Duration) (took time.Duration, most int) {
	synctest.Test(t, func(t *testing.T) {
		s := newSourcesUnderTest(from, grace, one, other)
		ctx, cancel := context.WithCancel(t.Context())
		s.act(func() {
			s.Start(ctx)
			if from == Asked {
				s.Ask(ctx, true, true)
			}
		})
		time.Sleep(max(2*grace, 2*time.Second))
		began := time.Now()
		s.move(one.name)
		time.AfterFunc(apart, func() { s.move(other.name) })
		time.AfterFunc(3*apart, func() { s.move("first") })
		time.AfterFunc(drain, func() {
			for _, a := range s.agents {
				close(a.drained)
			}
		})
		for _, p := range []place{one, other} {
			if p.until > 0 {
				time.AfterFunc(p.until, func() { s.set(place{name: p.name}) })
			}
		}
		limit := drain + 2*grace + 2*lateTold
		for tick := max(grace/20, 20*time.Millisecond); time.Since(began) < limit; time.Sleep(tick) {
			most = max(most, s.calls())
			s.mu.Lock()
			known := s.drained
			s.mu.Unlock()
			if !known.IsZero() && time.Since(began) > 3*apart {
				break
			}
		}
		s.act(func() {
			if took = limit; !s.drained.IsZero() {
				took = s.drained.Sub(began.Add(drain))
			}
			s.Leave()
		})
		cancel()
		s.closeAgents()
	})
	return took, most
}
