package view

import (
	"flag"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"
)

var depth = flag.Int("view.depth", 4, "steps of the exploration")

// fleet is a few nodes with their views, and the truth about them.
type fleet struct {
	now   Time
	views [3]*View
	up    [3]bool
	start [3]uint64
	cut   [3]bool // the link opposite node i
}

const settle = time.Second

func info(i int, start uint64) Info {
	return Info{Name: string(rune('a' + i)), Start: start, Address: fmt.Sprint("host-", i)}
}

func newFleet() *fleet {
	f := &fleet{}
	for i := range f.views {
		f.up[i], f.start[i] = true, 1
		f.views[i] = New(0, info(i, 1), Config{Settle: settle, Alone: settle, Twins: time.Hour, Remember: time.Hour})
	}
	return f
}

func (f *fleet) clone() *fleet {
	c := *f
	for i, v := range f.views {
		if v == nil {
			continue
		}
		w := *v
		w.members = map[string]*member{}
		for name, m := range v.members {
			n := *m
			n.others = maps.Clone(m.others)
			w.members[name] = &n
		}
		c.views[i] = &w
	}
	return &c
}

func (f *fleet) reach(i, j int) bool { return f.up[i] && f.up[j] && !f.cut[3-i-j] }

// key is what of a fleet can matter later.
func (f *fleet) key() string {
	var b strings.Builder
	fmt.Fprint(&b, f.up, f.start, f.cut)
	for i, v := range f.views {
		if !f.up[i] {
			continue
		}
		fmt.Fprint(&b, "|", v.epoch, v.digest, v.settled, min(f.now-v.stoodSince, settle), v.whole)
		for _, m := range v.sorted() {
			fmt.Fprint(&b, " ", m.Name, m.Start, m.State, m.said, m.spoke, m.epoch, m.held, len(m.others))
		}
	}
	return b.String()
}

// detect brings what node i's detector holds of j to the truth.
func (f *fleet) detect(i, j int) bool {
	if !f.up[i] {
		return false
	}
	v, before := f.views[i], f.key()
	if !f.reach(i, j) {
		if m := v.members[info(j, 0).Name]; m != nil {
			v.Lost(f.now, m.Name, m.Start, false)
		}
	} else {
		if m := v.members[info(j, 0).Name]; m != nil && m.Start < f.start[j] {
			v.Heard(f.now, info(j, f.start[j]))
			v.Lost(f.now, m.Name, m.Start-1, false)
		} else {
			v.Heard(f.now, info(j, f.start[j]))
		}
	}
	return f.key() != before
}

// word takes what node i says of its view to j.
func (f *fleet) word(i, j int) bool {
	if !f.reach(i, j) {
		return false
	}
	before := f.key()
	f.views[j].Said(f.now, info(i, 0).Name, f.start[i], f.views[i].Epoch(), f.views[i].Digest())
	return f.key() != before
}

func (f *fleet) pass() {
	f.now += settle
	for i, v := range f.views {
		if f.up[i] {
			v.Tick(f.now)
		}
	}
}

// steps are all that can happen next.
func (f *fleet) steps() map[string]*fleet {
	out := map[string]*fleet{}
	try := func(name string, do func(*fleet) bool) {
		if c := f.clone(); do(c) {
			out[name] = c
		}
	}
	try("time", func(c *fleet) bool { c.pass(); return true })
	for i := range 3 {
		try(fmt.Sprint("crash ", i), func(c *fleet) bool { was := c.up[i]; c.up[i] = false; return was })
		try(fmt.Sprint("restart ", i), func(c *fleet) bool {
			if c.up[i] || c.start[i] == 2 {
				return false
			}
			c.up[i], c.start[i] = true, 2
			c.views[i] = New(c.now, info(i, 2), Config{Settle: settle, Alone: settle, Twins: time.Hour, Remember: time.Hour})
			return true
		})
		try(fmt.Sprint("cut or heal ", i), func(c *fleet) bool { c.cut[i] = !c.cut[i]; return true })
		for j := range 3 {
			if i != j {
				try(fmt.Sprint("detect ", i, j), func(c *fleet) bool { return c.detect(i, j) })
				try(fmt.Sprint("word ", i, j), func(c *fleet) bool { return c.word(i, j) })
			}
		}
	}
	return out
}

// sound checks what must hold in every state, given the one before.
func (f *fleet) sound(before *fleet) error {
	for i, v := range f.views {
		if !f.up[i] {
			continue
		}
		me := v.members[v.self]
		if me == nil || me.State != Alive || me.Start != f.start[i] {
			return fmt.Errorf("node %d does not hold itself for alive", i)
		}
		if before.up[i] && before.start[i] == f.start[i] && v.epoch < before.views[i].epoch {
			return fmt.Errorf("node %d's epoch went back from %d to %d", i, before.views[i].epoch, v.epoch)
		}
		if v.settled && f.now-v.stoodSince < settle {
			return fmt.Errorf("node %d is settled before its time", i)
		}
		for _, m := range v.members {
			if m.counts() && m.Name != v.self && v.settled && (!m.spoke || m.said != v.digest) {
				return fmt.Errorf("node %d is settled, and %s has not said the same", i, m.Name)
			}
			if j := int(m.Name[0] - 'a'); m.Start > f.start[j] {
				return fmt.Errorf("node %d knows a start of %s that never was", i, m.Name)
			}
		}
	}
	return nil
}

// settles checks that once nothing more goes wrong all that reach each other come to one settled view.
func (f *fleet) settles() error {
	c := f.clone()
	for range 3 {
		for i := range 3 {
			for j := range 3 {
				if i != j {
					c.detect(i, j)
				}
			}
		}
		c.pass()
		for i := range 3 {
			for j := range 3 {
				if i != j {
					c.word(i, j)
				}
			}
		}
		c.pass()
	}
	cuts := 0
	for i := range 3 {
		if c.cut[i] {
			cuts++
		}
	}
	if cuts == 1 && c.up == [3]bool{true, true, true} {
		return nil // one sees both others, who don't see each other: there is no one view
	}
	for i := range 3 {
		for j := range 3 {
			if c.up[i] && (i == j || c.reach(i, j)) {
				if !c.views[i].Settled() || c.views[i].Digest() != c.views[j].Digest() || c.views[i].Epoch() != c.views[j].Epoch() {
					return fmt.Errorf("nodes %d and %d do not settle on one view", i, j)
				}
			}
		}
	}
	return nil
}

// TestExplore goes through all that can happen to three nodes with two starts
// each, up to a depth, and checks every state; -view.depth goes deeper.
func TestExplore(t *testing.T) {
	type node struct {
		*fleet
		path string
	}
	// It begins where all know each other, as a fleet that has just started does.
	first := newFleet()
	for i := range 3 {
		for j := range 3 {
			if i != j {
				first.detect(i, j)
			}
		}
	}
	seen := map[string]bool{first.key(): true}
	layer := []node{{first, ""}}
	for d := range *depth {
		var next []node
		for _, n := range layer {
			for name, s := range n.steps() {
				path := n.path + ", " + name
				if err := s.sound(n.fleet); err != nil {
					t.Fatalf("%v after%s", err, path)
				}
				if key := s.key(); !seen[key] {
					seen[key] = true
					if err := s.settles(); err != nil {
						t.Fatalf("%v after%s", err, path)
					}
					next = append(next, node{s, path})
				}
			}
		}
		layer = next
		t.Logf("depth %d: %d states", d+1, len(seen))
	}
}
