package fleetsim

import (
	"math/rand/v2"
	"slices"
	"time"

	"indigotack/decide"
)

// plain is a textbook policy on the module's interface: it sends each request
// once, to a ready server, and fails it if that fails.
type plain struct {
	policy Policy
	rng    *rand.Rand
	ready  []decide.ServerID
	at     map[decide.ServerID]int // where each stands in ready
	next   int
	out    map[decide.ServerID]int
	open   map[decide.RequestID]time.Duration
}

func newPlain(policy Policy, seed uint64) *plain {
	return &plain{policy: policy, rng: rand.New(rand.NewPCG(seed, 3)), at: map[decide.ServerID]int{}, out: map[decide.ServerID]int{},
		open: map[decide.RequestID]time.Duration{}}
}

func (p *plain) Handle(now decide.Time, e decide.Event) []decide.Action {
	switch e := e.(type) {
	case decide.ListUpdate:
		for _, s := range e.Entries {
			p.list(s)
		}
		slices.Sort(p.ready)
		for i, id := range p.ready {
			p.at[id] = i
		}
		if p.next == 0 && len(p.ready) > 0 { // nodes do not begin with the same
			p.next = p.rng.IntN(len(p.ready))
		}
	case decide.RequestArrived:
		if len(p.ready) == 0 {
			return []decide.Action{decide.Refuse{ID: e.ID}}
		}
		s := p.pick()
		p.out[s]++
		return []decide.Action{decide.Send{ID: e.ID, Server: s, Timeout: e.Patience}}
	case decide.AttemptEnded:
		if p.out[e.Server]--; p.out[e.Server] == 0 {
			delete(p.out, e.Server)
		}
		if e.Code != decide.OK && !e.Over {
			return []decide.Action{decide.Fail{ID: e.ID}}
		}
	}
	return nil
}

func (p *plain) list(s decide.Server) {
	i, known := p.at[s.ID]
	switch {
	case s.State == decide.Ready && !known:
		p.at[s.ID] = len(p.ready)
		p.ready = append(p.ready, s.ID)
	case s.State != decide.Ready && known:
		last := len(p.ready) - 1
		p.ready[i] = p.ready[last]
		p.at[p.ready[i]] = i
		p.ready = p.ready[:last]
		delete(p.at, s.ID)
	}
}

func (p *plain) pick() decide.ServerID {
	switch p.policy {
	case RoundRobin:
		p.next++
		return p.ready[p.next%len(p.ready)]
	case LeastInFlight:
		// From a random place on, so that ties are not always the same server's.
		first, best := p.rng.IntN(len(p.ready)), -1
		for i := range p.ready {
			at := (first + i) % len(p.ready)
			if n := p.out[p.ready[at]]; best < 0 || n < p.out[p.ready[best]] {
				if best = at; n == 0 {
					break
				}
			}
		}
		return p.ready[best]
	}
	return p.ready[p.rng.IntN(len(p.ready))]
}

// plainPolicy makes the policies beside the module; tests put in bad ones.
var plainPolicy = func(policy Policy, seed uint64) decider { return newPlain(policy, seed) }
