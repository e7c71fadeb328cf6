package node

import "time"

// source is what a list of servers is followed from.
type source int

const (
	// agent is a process on the node's own machine. It answers at once, and
	// what it has counts as known to the node whether or not a call was open.
	agent source = iota
	// server is a service that many nodes ask. It may hold calls.
	server
	// asked is the same where each call costs the service work, and the module
	// says when one is made.
	asked
)

// What a platform counts as told by a server of lists: what a watch misses that
// has fallen silent counts lateTold after it, or heldTold after the wait is
// over that the call asked for, if that is later. A change on sockets may be
// acted on graceSlack later than the settings' grace says.
const (
	lateTold   = 6 * time.Second
	heldTold   = 2 * time.Second
	graceSlack = 50 * time.Millisecond
	callTime   = 50 * time.Millisecond // what a call takes that discovery answers at once, where the node has little CPU
)

// Bounds of an agent's times, whatever the grace.
const (
	leastAgentTime = 25 * time.Millisecond // for an answer: a busy machine delays every answer by some milliseconds
	leastBackoff   = 5 * time.Millisecond
	mostAgentHold  = 2 * time.Second
	mostAgentTime  = time.Second
	mostSlowTime   = 2 * time.Second // after several calls that fell silent
)

// listTimes bounds what following a list waits for.
type listTimes struct {
	hold    time.Duration // that a watch asks for
	silence time.Duration // a watch that owes something for so long has failed: its answer after the hold, or the next part of it
	whole   time.Duration // for a whole answer, counted from when its first part was due
	fetch   time.Duration // the same as silence for a call that asks for no wait
	again   time.Duration // the same for calls after one that fell silent, until one is answered; 0: they are made like others
	longest time.Duration // to which again grows while call after call falls silent: the agent may be slow
	dial    time.Duration // to connect
	low     time.Duration // wait before a failed call is made again, with jitter of half of it; it doubles
	high    time.Duration // up to this
	second  time.Duration // for a second opinion on a list that has lost most servers
}

// planLists computes the times from the settings' grace for servers that
// drain, so that what counts as told is known before the grace after it is
// over. late checks the longest chains.
func planLists(from source, grace time.Duration) listTimes {
	t := listTimes{hold: 5 * time.Second, silence: heldTold * 3 / 4, whole: lateTold, fetch: heldTold, dial: heldTold,
		low: 50 * time.Millisecond, high: time.Second, second: min(500*time.Millisecond, grace/4)}
	switch from {
	case agent:
		t.hold = clamp(grace/4, leastAgentTime, mostAgentHold)
		t.silence = clamp(grace/5, leastAgentTime, mostAgentTime)
		t.again = clamp(grace*3/20, leastAgentTime, mostAgentTime)
		t.longest = clamp(grace*3/4, t.again, mostSlowTime)
		t.fetch, t.dial, t.whole = t.silence, t.silence, 0
		t.low = clamp(grace/80, leastBackoff, t.low)
		t.high = clamp(grace/16, t.low, t.high)
	case asked:
		// The module waits up to 0.3 s before it asks again, and the service
		// answers in turn.
		t.hold = 20 * time.Second
		t.silence = min(heldTold, grace+700*time.Millisecond)
	}
	return t
}

func clamp(d, least, most time.Duration) time.Duration { return min(max(d, least), most) }

// late is by how much the longest chain of waits between a change and the
// node's knowing of it may pass what the grace allows, where a call is answered
// within so long; 0 or less: it fits. The chains, each wait between calls being
// half as long again at most:
//
//	an agent has the change as a watch begins that never answers, and the next
//	call is not answered either: hold + silence + wait + again + wait + call,
//	and the list has lost most servers: + second
//	an agent has been silent for long, and takes no call that came before it
//	speaks again: longest + wait + call
//	a server's watch falls silent as it begins, which it may for heldTold
//	beyond the hold: hold + silence + wait + call
func (t listTimes) late(from source, grace, call time.Duration) time.Duration {
	first := t.hold + t.silence + t.low*3/2
	if from == agent {
		watch := first + t.again + t.low*3 + call + t.second
		back := t.longest + t.high*3/2 + call
		return max(watch, back) - grace - graceSlack
	}
	return first + call - t.hold - heldTold - grace - graceSlack
}
