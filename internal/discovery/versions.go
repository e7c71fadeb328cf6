package discovery

import (
	"time"

	"indigotack/decide"
)

// A whole list that lacks more than such a part of the servers before, where they
// were this many, may be one that discovery has not put together yet. It is asked
// for once more; the second answer holds, whatever it says, and the first one if
// none comes in time.
const (
	shrinkPart  = 0.5
	shrinkLeast = 4
)

// verdict is what an answer is.
type verdict int

const (
	news      verdict = iota // it is taken
	nothing                  // it says what is known
	outdated                 // what is known is as new
	foreign                  // it is of versions that discovery does not count any more
	restarted                // discovery counts versions anew, and only its whole list tells what there is
	doubtful                 // a whole list that has lost most servers: a second opinion is asked for
	unproven                 // the first list of a source that is to follow another, which does not show that it may
)

// versions says which answer is news where several calls are open at once. An
// answer that comes to a call that began after the list that holds had come is
// newer, whatever its version; between others the higher version is.
type versions struct {
	known  bool            // a list holds; before, the whole list is asked for
	index  uint64          // of the list that holds
	names  map[string]bool // listed, but for those gone
	came   time.Time       // when the list that holds did
	epoch  time.Time       // answers to calls from before say nothing
	second time.Duration   // for a second opinion

	incumbent *incumbent // the source whose place the first list takes; nil: there is none

	doubt      *List // waits for a second opinion; nil: none does
	doubtCame  time.Time
	doubtUntil time.Time
}

func newVersions(second time.Duration) *versions {
	return &versions{names: map[string]bool{}, second: second}
}

// asksWhole tells whether the next call is for the whole list.
func (v *versions) asksWhole() bool { return !v.known || v.doubt != nil }

// judge says what an answer is that came at a time. News are to be taken, and
// what is doubtful to be doubted.
func (v *versions) judge(c Call, l *List, came time.Time) verdict {
	overlapped := c.Began.Before(v.came)
	switch {
	case !v.known && v.incumbent != nil && v.incumbent.outweighs(l, came):
		return unproven
	case c.Began.Before(v.epoch):
		return foreign
	case overlapped && l.Index <= v.index:
		return outdated
	case !l.Snapshot && l.Index < c.From:
		return restarted
	case !l.Snapshot && len(l.Entries) == 0 && l.Index == v.index:
		return nothing
	case v.doubt != nil && l.Snapshot && !c.Began.Before(v.doubtCame):
		return news // whatever it says
	case !v.shrunk(l):
		return news
	case v.doubt != nil: // it began before the list that is doubted came
		return outdated
	}
	return doubtful
}

// shrunk tells whether a whole list lacks most of the servers before.
func (v *versions) shrunk(l *List) bool {
	return l.Snapshot && hasLostMost(v.names, l)
}

// hasLostMost tells whether a whole list lacks most of some servers.
func hasLostMost(names map[string]bool, l *List) bool {
	if len(names) < shrinkLeast {
		return false
	}
	kept := 0
	for i := range l.Entries {
		if names[l.Entries[i].Name] {
			kept++
		}
	}
	return float64(len(names)-kept) > shrinkPart*float64(len(names))
}

// incumbent is the source in use while another one is to follow it.
type incumbent struct {
	names map[string]bool // of the servers that are known
	heard func() bool     // whether it still is
	until time.Time       // a list without most of these servers is not taken before
}

// outweighs tells whether what is known holds rather than the first list of the
// source that is to follow, which came at a time. A list of version 0 without any
// server is that of an agent that has been sent none, and never replaces one.
func (i *incumbent) outweighs(l *List, came time.Time) bool {
	switch {
	case !l.Snapshot:
		return true
	case len(i.names) == 0:
		return false
	case len(l.Entries) == 0 && (l.Index == 0 || i.heard()):
		return true
	case len(l.Entries) == 0 || hasLostMost(i.names, l):
		return came.Before(i.until)
	}
	return false
}

// take has a list hold that came at a time.
func (v *versions) take(l *List, came time.Time) {
	if l.Snapshot {
		v.names = make(map[string]bool, len(l.Entries))
	}
	for _, e := range l.Entries {
		if e.State() == decide.Gone {
			delete(v.names, e.Name)
		} else {
			v.names[e.Name] = true
		}
	}
	if l.Index < v.index { // discovery counts anew: what it said before is not comparable
		v.epoch = came
	}
	if v.doubt != nil && (l.Snapshot || l.Index >= v.doubt.Index) {
		v.doubt = nil
	}
	v.known, v.index, v.came = true, l.Index, came
}

// doubts keeps a list until a second opinion comes, or none comes in time.
func (v *versions) doubts(l *List, came time.Time) {
	v.doubt, v.doubtCame, v.doubtUntil = l, came, came.Add(v.second)
}

// undoubted gives the list that was doubted once no second opinion has come in time.
func (v *versions) undoubted(now time.Time) (l *List, ok bool) {
	if v.doubt == nil || now.Before(v.doubtUntil) {
		return nil, false
	}
	return v.doubt, true
}

// forget has the whole list asked for anew.
func (v *versions) forget(now time.Time) { v.known, v.index, v.epoch, v.doubt = false, 0, now, nil }
