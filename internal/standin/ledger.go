package standin

import (
	"fmt"
	"sync"
	"time"

	"indigotack/decide"
)

// The rules that a ledger checks, by their numbers.
const (
	OneAnswer  = iota // every request gets exactly one final answer, in time
	NoTwice           // no effect twice, never two attempts at once, no false refusal
	DrainsKept        // nothing new to a draining or gone server after the grace
	ColdSpared        // cold servers are not pushed over
	ruleCount
)

// RuleNames are the rules in words.
var RuleNames = [ruleCount]string{"exactly one final answer, in time", "no effect twice, one attempt at a time",
	"nothing new to a draining server", "cold servers are not pushed over"}

// Slack is what each time limit of the rules has on top where sockets are between.
const Slack = 50 * time.Millisecond

// Kind is what the ledger must know of a class.
type Kind struct {
	Effect   decide.Effect
	Scope    decide.Scope
	Window   time.Duration // for keyed: how long a group remembers
	Deadline time.Duration
}

// DeadlineWitness is a Witness that also hears how long an attempt's client
// still waits, as the server was told.
type DeadlineWitness interface {
	Left(id string, left time.Duration)
}

// Witness hears what a server sees.
type Witness interface {
	Begin(id, from string, now time.Time) (number int) // an attempt's last byte has come, from that address; the number is for End
	Ran(id, zone string, cell int, now time.Time)      // it is carried out, so that its effect counts
	End(id string, number int, now time.Time)          // the attempt is known to be over: answered, or its connection closed
	Drained(server string, since, grace time.Duration) // an attempt came so long after the server was told to drain
	Watched()                                          // a draining server was watched to its end or the run's
	Cold(server string, sent, most float64)            // what a cold server was sent within a window
}

// Ledger writes down what servers and clients see, and checks the rules. Times
// are of the caller's one clock. It holds what is open and what has run for as
// long as a repeat could matter.
type Ledger struct {
	mu       sync.Mutex
	requests map[string]*record
	checked  [ruleCount]int
	broken   [ruleCount]int
	first    []string // what was broken, the first of them
}

type record struct {
	kind     Kind
	answered bool
	runs     []run
	open     map[int]bool // attempts not known to be over
	attempts int
	late     map[int]time.Time // attempts that were open when another began: since when
}

type run struct {
	zone string
	cell int
	at   time.Time
}

// most so many broken rules are told of one by one.
const maxTold = 20

// NewLedger makes an empty one.
func NewLedger() *Ledger { return &Ledger{requests: map[string]*record{}} }

func (l *Ledger) check(rule int, ok bool, format string, args ...any) {
	l.checked[rule]++
	if ok {
		return
	}
	l.broken[rule]++
	if len(l.first) < maxTold {
		l.first = append(l.first, fmt.Sprintf("rule %d: ", rule+1)+fmt.Sprintf(format, args...))
	}
}

// Asked notes a client's request.
func (l *Ledger) Asked(id string, k Kind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id] = &record{kind: k, open: map[int]bool{}, late: map[int]time.Time{}}
}

// Begin notes an attempt whose last byte has come to a server. The number is for End.
func (l *Ledger) Begin(id, _ string, now time.Time) (number int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil {
		l.check(NoTwice, false, "an attempt of %q, which no client has sent or whose client has its answer", id)
		return -1
	}
	for other := range r.open {
		if _, known := r.late[other]; !known {
			r.late[other] = now
		}
	}
	r.attempts++
	number = r.attempts
	r.open[number] = true
	return number
}

// Ran notes that a server has begun to carry out a request, so that its effect counts.
func (l *Ledger) Ran(id, zone string, cell int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil {
		return // told by Begin
	}
	if len(r.runs) > 0 {
		switch r.kind.Effect {
		case decide.Unsafe:
			l.check(NoTwice, false, "%q is unsafe and has run twice", id)
		case decide.Keyed:
			last := r.runs[len(r.runs)-1]
			same := r.kind.Scope == decide.ScopeAll || r.kind.Scope == decide.ScopeZone && last.zone == zone || r.kind.Scope == decide.ScopeCell && last.cell == cell
			l.check(NoTwice, same && now.Sub(last.at) <= r.kind.Window+Slack, "%q has run again outside its group or window (%s, then %s after %v)", id, last.zone, zone, now.Sub(last.at))
		}
	}
	r.runs = append(r.runs, run{zone, cell, now})
}

// End notes that a server knows an attempt to be over: answered or its connection closed.
func (l *Ledger) End(id string, number int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil || number < 0 {
		return
	}
	delete(r.open, number)
	if since, overlapped := r.late[number]; overlapped {
		// A server hears of a closed connection a moment after it was closed.
		l.check(NoTwice, now.Sub(since) <= Slack, "%q had two attempts out for %v", id, now.Sub(since))
	} else {
		l.check(NoTwice, true, "")
	}
	l.forget(id, r)
}

// Answer is how a request ended for its client.
type Answer int

// The ways in which a request can end.
const (
	Served  Answer = iota
	Refused        // another try is harmless
	Failed
	Lost      // no whole answer
	Garbled   // an answer that no server made for it
	Unreached // the connection never came up
	Crossed   // the connection was closed as the request set out on it; it is sent anew, as another one
	Left      // its client closed the connection before an answer came
)

// Withdrawn notes that a request crossed with the end of its connection, which
// is sound as long as it was not read.
func (l *Ledger) Withdrawn(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.requests[id]; r != nil {
		l.check(OneAnswer, r.attempts == 0, "%q was sent on, and its connection then closed", id)
		delete(l.requests, id)
	}
}

// Answered notes a client's final answer, or its absence.
func (l *Ledger) Answered(id string, a Answer, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil || r.answered {
		l.check(OneAnswer, false, "%q is answered twice, or was never asked", id)
		return
	}
	r.answered = true
	l.check(OneAnswer, a < Lost && took <= r.kind.Deadline+Slack, "%q ended as %v after %v, deadline %v", id, a, took, r.kind.Deadline)
	if a == Refused && r.kind.Effect == decide.Unsafe {
		l.check(NoTwice, len(r.runs) == 0, "%q is unsafe, has run, and was refused", id)
	}
	l.forget(id, r)
}

func (l *Ledger) forget(id string, r *record) {
	if r.answered && len(r.open) == 0 {
		delete(l.requests, id)
	}
}

// Drained checks an attempt that comes to a server which was told to drain so long ago.
func (l *Ledger) Drained(server string, since, grace time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.check(DrainsKept, since <= grace+Slack, "%s got a request %v after it was listed as draining", server, since)
}

// Watched notes that a draining server was watched to its end or the run's,
// which is a check even if nothing came.
func (l *Ledger) Watched() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.check(DrainsKept, true, "")
}

// Cold checks the work that a cold server was sent within a window.
func (l *Ledger) Cold(server string, sent, most float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.check(ColdSpared, sent <= most, "%s is cold and was sent %.2f core seconds in a window, at most %.2f", server, sent, most)
}

// Report is how often each rule was checked and broken, and what was broken first.
func (l *Ledger) Report() (checked, broken [ruleCount]int, told []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.checked, l.broken, append([]string(nil), l.first...)
}

func (a Answer) String() string {
	return [...]string{"served", "refused", "failed", "lost", "garbled", "unreached", "crossed", "left"}[a]
}
