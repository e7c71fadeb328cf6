package rig

import (
	"fmt"
	"strings"
	"time"

	"indigotack/internal/conf"
	"indigotack/internal/standin"
)

// Which calls an agent answers in a manner of its own.
const (
	CallsAll    = "all"
	CallsOthers = "others" // every other one
	CallsKept   = "kept"   // those on connections that have carried one before
)

// Answers is how an agent answers calls.
type Answers struct {
	After time.Duration // since the call began, before the first byte
	Over  time.Duration // from the first part of the answer to the last
	End   standin.Ending
	Calls string // which of them; others are answered at once
}

// endings are those that a plan can name.
var endings = []string{string(standin.Silent), string(standin.StopsInHead), string(standin.StopsInBody), string(standin.CutInBody),
	string(standin.Trickles), string(standin.Reset), string(standin.Unavailable)}

const wholeWord = "whole"

// never tells whether no call is answered.
func (a Answers) never() bool { return a.Calls == CallsAll && a.End != standin.Whole }

// manner is how one call is answered.
func (a Answers) manner(c standin.Call) standin.Manner {
	if a.Calls == CallsOthers && c.Number%2 == 0 || a.Calls == CallsKept && !c.Renewed {
		return standin.Manner{}
	}
	return standin.Manner{After: a.After, Over: a.Over, End: a.End}
}

// String says it in the words of a plan.
func (a Answers) String() string {
	parts := []string{a.Calls, wholeWord}
	if a.End != standin.Whole {
		parts[1] = string(a.End)
	}
	if a.After > 0 {
		parts = append(parts, fmt.Sprintf("after %v", a.After))
	}
	if a.Over > 0 {
		parts = append(parts, fmt.Sprintf("over %v", a.Over))
	}
	return strings.Join(parts, " ")
}

func readAnswers(s *conf.Section) Answers {
	a := Answers{After: s.Duration("after", 0, 0, maxLength), Over: s.Duration("over", 0, 0, maxLength)}
	a.Calls = s.OneOf("calls", CallsAll, CallsAll, CallsOthers, CallsKept)
	if end := s.OneOf("end", wholeWord, append(endings, wholeWord)...); end != wholeWord {
		a.End = standin.Ending(end)
	}
	if a == (Answers{Calls: a.Calls}) {
		s.Bad("end", "something that is wrong with the answers: after, over, or an end other than %s", wholeWord)
	}
	return a
}

// format gives each key that is not as it would be without it.
func (a Answers) format(set func(key string, value any)) {
	if a.After > 0 {
		set("after", a.After)
	}
	if a.Over > 0 {
		set("over", a.Over)
	}
	if a.End != standin.Whole {
		set("end", string(a.End))
	}
	set("calls", a.Calls)
}
