package node

import "time"

// source is what a list of servers is followed from.
type source int

const (
	agent  source = iota // on the node's own machine: it answers at once, at no cost
	server               // that many nodes ask, with calls that it may hold
	asked                // the same where each call costs it work, and the module says when one is made
)

// What a platform counts as told: what a watch misses that has fallen silent
// counts lateTold after it, or heldTold after the wait is over that the call
// asked for, if that is later. A change on sockets may be acted on graceSlack
// later than the settings' grace says.
const (
	lateTold   = 6 * time.Second
	heldTold   = 2 * time.Second
	graceSlack = 50 * time.Millisecond
	callTime   = 50 * time.Millisecond // what a call takes that discovery answers at once, where the node has little CPU
)

// listTimes bounds what following a list waits for.
type listTimes struct {
	hold    time.Duration // that a watch asks for
	silence time.Duration // a watch that owes something for so long has fallen silent: its answer after the hold, or the next part of it
	fetch   time.Duration // the same for a call that asks for no wait
	again   time.Duration // the same for calls after one that fell silent, until one is answered; 0: they are made like others
	dial    time.Duration // to connect
	low     time.Duration // wait before a failed call is made again, with jitter of half of it; it doubles
	high    time.Duration // up to this
	second  time.Duration // for a second opinion on a list that has lost most servers
}

// planLists computes the times from the settings' grace for servers that
// drain, so that what counts as told is known before the grace after it is
// over. The longest chains, each with the wait before the call (half as long
// again at most) and the call itself:
//
//	a watch falls silent as it begins:  hold + silence + 1.5 low + call  <= hold + heldTold + grace
//	an agent comes back from silence:   again + 1.5 high + call          <= grace + graceSlack
//	a whole list has lost most servers: second                           <= grace
func planLists(from source, grace time.Duration) listTimes {
	t := listTimes{hold: 5 * time.Second, silence: heldTold * 3 / 4, fetch: heldTold, dial: heldTold,
		low: 50 * time.Millisecond, high: time.Second, second: min(500*time.Millisecond, grace/4)}
	switch from {
	case agent:
		// Two watches one after another may fall silent in less than lateTold.
		t.hold, t.silence, t.fetch, t.dial = 2*time.Second, time.Second, time.Second, time.Second
		t.again = min(max(grace/3, 100*time.Millisecond), t.silence)
		t.high = min(max(grace/8, 10*time.Millisecond), t.high)
		t.low = min(t.low, t.high)
	case asked:
		// The module waits up to 0.3 s before it asks again, and the service
		// answers in turn.
		t.hold = 20 * time.Second
		t.silence = min(heldTold, grace+700*time.Millisecond)
	}
	return t
}

// late is by how much the longest chain may pass what the grace allows, where
// a call is answered within so long; 0 or less: it fits.
func (t listTimes) late(from source, grace, call time.Duration) time.Duration {
	if from == agent {
		return t.again + t.high*3/2 + call - grace - graceSlack
	}
	return t.silence + t.low*3/2 + call - heldTold - grace - graceSlack
}
