package discovery

import "time"

// Source is what a list of servers is followed from.
type Source int

const (
	// Agent is a process on the node's own machine. It answers at once, and what
	// it has counts as known to the node whether or not a call was open.
	Agent Source = iota
	// Server is a service that many nodes ask. It may hold calls.
	Server
	// Asked is the same where each call costs the service work, and the module
	// says when following begins.
	Asked
)

// What a platform counts as known: what a watch misses that has fallen silent
// counts lateTold after it, or heldTold after the wait is over that the call asked
// for, if that is later.
const (
	lateTold = 6 * time.Second
	heldTold = 2 * time.Second
)

// movedTold is within which what discovery has at a new address counts as known.
const movedTold = 4 * time.Second

// Bounds of an agent's times, whatever the grace.
const (
	graceParts     = 8                     // of which a call may owe one before another begins beside it
	leastAgentHold = 25 * time.Millisecond // a busy machine delays every answer by some milliseconds
	mostAgentHold  = 2 * time.Second
	leastAgentStep = 10 * time.Millisecond
	mostAgentStep  = 250 * time.Millisecond // of the first step
	leastBackoff   = 5 * time.Millisecond
	mostAgentCalls = 16
)

// Times bounds what following a list waits for.
type Times struct {
	Hold      time.Duration // that a watch asks for
	FirstStep time.Duration // a call that has owed its answer for so long has another begun beside it
	LastStep  time.Duration // to which that doubles from call to call
	WholeStep time.Duration // the first step of calls for the whole list, where nothing is known yet
	KeepAll   time.Duration // calls younger than this are all kept open; of older ones fewer and fewer
	MostCalls int           // that are open at once, one that is given up among them
	Backoff   time.Duration // wait after a call that failed, with jitter of half of it; it doubles
	Longest   time.Duration // up to this
	Pace      time.Duration // between calls that are answered at once and say nothing new
	Second    time.Duration // for a second opinion on a list that has lost most servers
	Unheard   time.Duration // without an answer, after which the log says so
}

// PlanTimes computes the times from the settings' grace for servers that drain,
// so that what counts as known is known before the grace after it is over where a
// call is answered within half of the grace, even if the first call after the
// change never is.
func PlanTimes(from Source, grace time.Duration) Times {
	t := Times{FirstStep: 500 * time.Millisecond, LastStep: lateTold / 2, MostCalls: 5,
		Backoff: 50 * time.Millisecond, Longest: time.Second, Pace: 100 * time.Millisecond, Second: min(500*time.Millisecond, grace/4)}
	switch from {
	case Agent:
		t.Hold = clamp(grace/graceParts, leastAgentHold, mostAgentHold)
		t.FirstStep = clamp(grace/graceParts, leastAgentStep, mostAgentStep)
		t.LastStep = max(t.FirstStep, grace/graceParts)
		t.WholeStep = t.FirstStep
		t.KeepAll, t.MostCalls = grace, mostAgentCalls
		t.Backoff = clamp(grace/80, leastBackoff, t.Backoff)
		t.Longest = clamp(grace/16, t.Backoff, t.Longest)
		t.Pace = min(t.Pace, t.Longest)
		t.Second = min(t.Second, grace/graceParts)
	case Server:
		t.Hold, t.WholeStep = 5*time.Second, time.Second
	case Asked:
		// The service answers in turn, so that calls beside others are few.
		t.Hold, t.FirstStep, t.WholeStep = 20*time.Second, 600*time.Millisecond, heldTold
	}
	t.Unheard = t.Hold + max(grace, t.FirstStep)
	return t
}

func clamp(d, least, most time.Duration) time.Duration { return min(max(d, least), most) }
