package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"indigotack/internal/standin"
)

// retireTime is how long an agent that takes no new connections keeps the open ones.
const retireTime = 1500 * time.Millisecond

// never is the time of what does not happen.
const never = time.Duration(-1)

// discoveryMove is a configuration that names another agent, and a drain that both have.
type discoveryMove struct {
	name    string
	opens   time.Duration // the new agent takes connections from then on, after SIGHUP; or never
	manner  standin.Manner
	blank   time.Duration   // the new agent has no list until then; or never
	retires bool            // the old one takes no new connections, else it stays
	drain   time.Duration   // after SIGHUP
	oldOnly bool            // the new agent never has the drain
	again   []time.Duration // further moves after SIGHUP, each to an agent that refuses
	back    time.Duration   // a move back to the old agent; 0: none
}

// TestDrainIsKnownWhileDiscoveryMoves guards against a node that leaves an agent it hears before the one that its new configuration names has told it a list.
func TestDrainIsKnownWhileDiscoveryMoves(t *testing.T) {
	end := func(e standin.Ending) standin.Manner { return standin.Manner{End: e} }
	const drain = 1400 * time.Millisecond
	moves := []discoveryMove{
		{name: "refuses, old stays", opens: never, drain: drain},
		{name: "refuses for 3 s, old retires", opens: 3 * time.Second, retires: true, drain: 500 * time.Millisecond},
		{name: "silent, old stays", manner: end(standin.Silent), drain: drain},
		{name: "silent, old retires", manner: end(standin.Silent), retires: true, drain: 500 * time.Millisecond},
		{name: "unavailable, old stays", manner: end(standin.Unavailable), drain: drain},
		{name: "resets, old stays", manner: end(standin.Reset), drain: drain},
		{name: "stops in the body, old stays", manner: end(standin.StopsInBody), drain: drain},
		{name: "answers after 3 s, old stays", manner: standin.Manner{After: 3 * time.Second}, drain: drain},
		{name: "never has the drain, old retires", retires: true, drain: 500 * time.Millisecond, oldOnly: true},
		{name: "has no list, old stays", blank: never, drain: drain},
		{name: "has no list, old retires", blank: never, retires: true, drain: 500 * time.Millisecond},
		{name: "well", drain: drain},
		{name: "well, old retires", retires: true, drain: drain},
		{name: "three that refuse, old stays", opens: never, drain: drain, again: []time.Duration{50 * time.Millisecond, 700 * time.Millisecond}},
		{name: "refuses, then back", opens: never, drain: drain, back: 800 * time.Millisecond},
		{name: "well, then back", drain: drain, back: 800 * time.Millisecond},
		{name: "well, then one that refuses", drain: drain, again: []time.Duration{400 * time.Millisecond}},
	}
	for _, at := range []time.Duration{50 * time.Millisecond, 500 * time.Millisecond, drain} {
		moves = append(moves, discoveryMove{name: fmt.Sprintf("refuses, old retires, drain at %v", at), opens: never, retires: true, drain: at})
	}
	for _, m := range moves {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			late, _ := m.play(t)
			for plays := 1; late < -drainGrace/4 && plays < mostPlays; plays++ {
				late, _ = m.play(t)
			}
			t.Logf("the last request was sent %v after the drain", late)
			if most := drainGrace + socketSlack; late > most {
				t.Errorf("the draining server was sent a request %v after an agent of the node had the drain, want %v at most", late, most)
			}
		})
	}
}

// TestServesWhileNewDiscoveryHasNoList guards against a node that takes the empty list of an agent that has been sent none for the fleet.
func TestServesWhileNewDiscoveryHasNoList(t *testing.T) {
	for _, m := range []discoveryMove{
		{name: "for good, old stays", blank: never},
		{name: "for 1.4 s, old stays", blank: 1400 * time.Millisecond},
		{name: "for 3 s, old retires", blank: 3 * time.Second, retires: true},
		{name: "for good, old retires", blank: never, retires: true},
	} {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			m.drain = never
			_, p := m.play(t)
			if served, failed := p.served.Load(), p.failed.Load(); failed > 0 {
				t.Errorf("%d of %d requests were not served", failed, served+failed)
			}
		})
	}
}

// play moves a node's discovery, and gives how long after the drain the server was still sent requests.
func (m discoveryMove) play(t *testing.T) (late time.Duration, p *drainPlay) {
	p = newDrainPlay(t)
	old := startAgent(t, p.servers)
	p.serve(t, old.Address(), drainGrace)
	later := newAgentLater(t, p.servers, m.manner)
	timeline := newTimeline()
	if m.opens != never {
		timeline.at(m.opens, func() { later.open(t) })
	}
	if m.blank != 0 {
		timeline.at(0, func() { later.front.Blank() })
	}
	if m.blank > 0 {
		timeline.at(m.blank, func() { later.front.Thaw() })
	}
	timeline.at(0, func() { p.move(t, later.address) })
	if m.retires {
		timeline.at(0, func() { old.Retire(retireTime) })
	}
	for _, at := range m.again {
		timeline.at(at, func() { p.move(t, ownAddress()) })
	}
	if m.back > 0 {
		timeline.at(m.back, func() { p.move(t, old.Address()) })
	}
	var drained time.Time
	if m.drain != never {
		timeline.at(m.drain, func() {
			drained = time.Now()
			old.list("drains", "draining")
			if !m.oldOnly {
				later.list("drains", "draining")
			}
		})
	}
	timeline.run()
	time.Sleep(4 * drainGrace)
	return p.lastAfter(drained), p
}

// agentLater is an agent that takes connections only once it is opened.
type agentLater struct {
	agent
	address string
	front   *standin.Front
	manner  standin.Manner
}

func newAgentLater(t *testing.T, servers map[string]string, manner standin.Manner) *agentLater {
	t.Helper()
	registry, err := standin.NewRegistry()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { registry.Close() })
	a := &agentLater{agent: agent{registry: registry, servers: servers}, address: ownAddress(), manner: manner}
	for name := range servers {
		a.list(name, "ready")
	}
	return a
}

// open has the agent take connections from now on.
func (a *agentLater) open(t *testing.T) {
	front, err := a.registry.Front(a.address, func(e standin.Entry) standin.Entry { return e }, nil)
	if err != nil {
		t.Error(err)
		return
	}
	t.Cleanup(func() { front.Close() })
	if a.manner != (standin.Manner{}) {
		front.Behave(manners(a.manner))
	}
	a.front = front
}

// timeline is what happens after a moment, in the order in which it was told.
type timeline struct{ steps map[time.Duration][]func() }

func newTimeline() *timeline { return &timeline{map[time.Duration][]func(){}} }

func (l *timeline) at(after time.Duration, do func()) { l.steps[after] = append(l.steps[after], do) }

func (l *timeline) run() {
	began := time.Now()
	for _, after := range slices.Sorted(maps.Keys(l.steps)) {
		time.Sleep(time.Until(began.Add(after)))
		for _, do := range l.steps[after] {
			do()
		}
	}
}

// move has the node's configuration name another discovery, and tells the node.
func (p *drainPlay) move(t *testing.T, discovery string) {
	t.Helper()
	config := strings.Replace(p.config, p.discovery, discovery, 1)
	if err := os.WriteFile(p.configPath, []byte(config), 0o600); err != nil {
		t.Error(err)
	}
	if err := p.node.Signal(syscall.SIGHUP); err != nil {
		t.Error(err)
	}
}
