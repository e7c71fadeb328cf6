package discovery

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// entriesOf reads servers and their states: "a b-draining c-gone d@9" (d started at 9).
func entriesOf(text string) (entries []Entry) {
	for _, word := range strings.Fields(text) {
		name, status, found := strings.Cut(word, "-")
		if !found {
			status = "ready"
		}
		e := Entry{Status: status, SinceMS: 1}
		if e.Name, status, found = strings.Cut(name, "@"); found {
			fmt.Sscan(status, &e.SinceMS)
		}
		entries = append(entries, e)
	}
	return entries
}

// told is entries in the form that entriesOf reads, without times.
func told(entries []Entry) string {
	var words []string
	for _, e := range entries {
		word := e.Name
		if e.Status != "ready" {
			word += "-" + e.Status
		}
		words = append(words, word)
	}
	slices.Sort(words)
	return strings.Join(words, " ")
}

// sourcesPlay plays lists of sources by hand and keeps what a node would know.
type sourcesPlay struct {
	state *succession
	known map[string]Entry
	now   time.Time
}

func (p *sourcesPlay) take(l List) {
	if l.Snapshot {
		clear(p.known)
	}
	for _, e := range l.Entries {
		if p.known[e.Name] = e; e.Status == "gone" {
			delete(p.known, e.Name)
		}
	}
}

func (p *sourcesPlay) list(id sourceID, whole bool, text string) {
	if l, ok, _ := p.state.take(id, List{Snapshot: whole, Entries: entriesOf(text)}, p.known, p.now); ok {
		p.take(l)
	}
}

func (p *sourcesPlay) knows(t *testing.T, what, want string) {
	t.Helper()
	var all []Entry
	for _, e := range p.known {
		all = append(all, e)
	}
	if got := told(all); got != want {
		t.Errorf("%s: the node knows %q, want %q", what, got, want)
	}
}

// TestSuccession: a script is steps of "source: list", where a + before the list has it be changes, of
// "move", "back", "refuse source" and "wait time"; 1 is in use at first, moves make 2, 3 and so on.
func TestSuccession(t *testing.T) {
	const all = "1: a b c d; "
	for name, c := range map[string]struct{ script, want string }{
		"the one before holds until the next one tells":  {all + "move; 1: +b-draining", "a b-draining c d"},
		"the next one tells":                             {all + "move; 2: a b c d e", "a b c d e"},
		"the one that was left tells nothing":            {all + "move; move; 2: x; 1: +a-draining", "a-draining b c d"},
		"a drain that only the one before has":           {all + "move; 2: a b c d; 1: +b-draining", "a b-draining c d"},
		"and a server that it has as gone":               {all + "move; 2: a b c d; 1: +b-gone", "a b-draining c d"},
		"what the one before adds":                       {all + "move; 2: a b c d; 1: +e", "a b c d"},
		"a drain from before the move":                   {all + "1: +b-draining; move; 2: a b c d", "a b-draining c d"},
		"which the next one's whole lists lack":          {all + "1: +b-draining; move; 2: a b c d; 2: a b c d", "a b-draining c d"},
		"which the next one has and takes back":          {all + "1: +b-draining; move; 2: a b c d; 2: +b-draining; 2: +b", "a b c d"},
		"whose server has started since":                 {all + "1: +b-draining; move; 2: a b c d; 2: +b@9", "a b c d"},
		"whose server had started as the next one tells": {all + "1: +b-draining; move; 2: a b@9 c d", "a b c d"},
		"whose server goes":                              {all + "1: +b-draining; move; 2: a b c d; 2: +b-gone", "a c d"},
		"which the one before takes back":                {all + "1: +b-draining; move; 2: a b c d; 1: +b", "a b c d"},
		"a server that went in front of the move":        {all + "1: +b-gone; move; 2: a b c d", "a b-draining c d"},
		"one that a whole list left out":                 {all + "1: a c d; move; 2: a b c d", "a b-draining c d"},
		"one that went and came again":                   {all + "1: +b-gone; 1: +b@1; move; 2: a b c d", "a b c d"},
		"one that went long before":                      {all + "1: +b-gone; wait 7s; move; 2: a b c d", "a b c d"},
		"a server that went while the next was awaited":  {all + "move; 1: +b-gone; 2: a b c d", "a b-draining c d"},
		"a drain that holds beyond the one before":       {all + "move; 2: a b c d; 1: +b-draining; refuse 1; wait 59s", "a b-draining c d"},
		"and not for ever":                               {all + "move; 2: a b c d; 1: +b-draining; refuse 1; wait 61s", "a b c d"},
		"drains of most servers hold as long as is owed": {all + "move; 2: a b c d; 1: +a-draining b-draining c-draining; refuse 1; wait 5s", "a-draining b-draining c-draining d"},
		"and no longer":                                  {all + "move; 2: a b c d; 1: +a-draining b-draining c-draining; refuse 1; wait 7s", "a b c d"},
		"the one before is heard for as long as is owed": {all + "move; 2: a b c d; wait 5s; 1: +b-draining", "a b-draining c d"},
		"and no longer then":                             {all + "move; 2: a b c d; wait 7s; 1: +b-draining", "a b c d"},
		"back to the one in use":                         {all + "move; back; 2: x; 1: +b-draining", "a b-draining c d"},
		"on before the next one has told":                {all + "move; move; 3: a b c d f; 1: +b-draining", "a b-draining c d f"},
		"three in series that tell":                      {all + "move; 2: a b c d; move; 3: a b c d; 2: +c-draining; 1: +b-draining", "a b c-draining d"},
		"a drain of the first through two moves":         {all + "1: +b-draining; move; 2: a b c d; move; 3: a b c d", "a b-draining c d"},
	} {
		p := &sourcesPlay{state: newSuccession(true), known: map[string]Entry{}, now: time.Unix(1000, 0)}
		p.state.first()
		for step := range strings.SplitSeq(c.script, "; ") {
			p.step(t, step)
		}
		p.knows(t, name, c.want)
	}
}

func (p *sourcesPlay) step(t *testing.T, step string) {
	t.Helper()
	var id sourceID
	word, rest, _ := strings.Cut(step, " ")
	switch {
	case word == "move":
		p.state.begin()
	case word == "back":
		p.state.stay()
	case word == "refuse":
		fmt.Sscan(rest, &id)
		if !p.state.refused(id, p.now, len(p.known)) {
			t.Errorf("source %d is not left though it refuses", id)
		}
	case word == "wait":
		d, err := time.ParseDuration(rest)
		if err != nil {
			t.Fatal(err)
		}
		for end := p.now.Add(d); ; {
			at, due := p.state.due()
			if !due || at.After(end) {
				p.now = end
				break
			}
			p.now = at
			_, changes := p.state.expire(p.now, len(p.known))
			p.take(List{Entries: changes})
		}
	default:
		fmt.Sscan(word, &id)
		text, changes := strings.CutPrefix(rest, "+")
		p.list(id, !changes, text)
	}
}

// TestFirstListOfSuccessor: whether the list of a discovery that is to follow another is taken.
func TestFirstListOfSuccessor(t *testing.T) {
	zero := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		l       List
		known   int
		heard   bool
		after   time.Duration // the move
		waiting bool
	}{
		{"a whole list", List{Index: 4, Snapshot: true, Entries: entriesOf("s0 s1 s2 s3 s4")}, 5, true, 0, false},
		{"changes", List{Index: 4, Entries: entriesOf("s0")}, 5, true, time.Hour, true},
		{"of one that has been sent none", List{Snapshot: true}, 5, false, time.Hour, true},
		{"of one that has been sent none where none is known", List{Snapshot: true}, 0, false, 0, false},
		{"an empty one while the one before is heard", List{Index: 4, Snapshot: true}, 5, true, time.Hour, true},
		{"an empty one while it is not", List{Index: 4, Snapshot: true}, 5, false, 0, true},
		{"and once it counts", List{Index: 4, Snapshot: true}, 5, false, movedTold, false},
		{"without most servers", List{Index: 4, Snapshot: true, Entries: entriesOf("s0 s1")}, 5, true, 0, true},
		{"and once it counts", List{Index: 4, Snapshot: true, Entries: entriesOf("s0 s1")}, 5, true, movedTold, false},
		{"without a few", List{Index: 4, Snapshot: true, Entries: entriesOf("s0 s1 s2")}, 5, true, 0, false},
		{"other servers", List{Index: 4, Snapshot: true, Entries: entriesOf("t0 t1 t2 t3 t4")}, 5, true, 0, true},
	} {
		v := newVersions(time.Second)
		v.incumbent = &incumbent{names: map[string]bool{}, heard: func() bool { return c.heard }, until: zero.Add(movedTold)}
		for i := range c.known {
			v.incumbent.names[fmt.Sprint("s", i)] = true
		}
		got := v.judge(Call{Number: 1, Whole: true, Began: zero}, &c.l, zero.Add(c.after))
		if (got == unproven) != c.waiting {
			t.Errorf("%s, %v behind the move: %d", c.name, c.after, got)
		}
	}
}
